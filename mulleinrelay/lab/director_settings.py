"""The start settings that a platform would give a director of the lab."""

from typing import Any

from ..standins.node_kinds import CACHE, ORIGIN, PARENT
from .fleet.scenario import FleetScenario


def platform_settings(
    places: list[str],
    mine: int,
    directors_by_place: list[int],
    cold_from: float,
    cold_ms: float,
    goal: float = 400.0,
    patience: float = 3000.0,
    effects: bool = False,
    probes: bool = False,
    parent_cold_ms: float | None = None,
    flow: float = 8000.0,
) -> dict[str, Any]:
    """`places`: locations and hubs by name; `mine`: this director's. Request classes: pages, order,
    and pay where `effects` is on. Times in ms; `flow`: KB a second of one transfer.
    """
    case = {
        "idempotency": "safe",
        "slo": goal,
        "deadline": patience,
        "memorySpan": 6000.0,
        "group": "all",
    }
    cases = [case | {"name": "pages"}, case | {"name": "order", "idempotency": "keyed"}]
    cases += [case | {"name": "pay", "idempotency": "unsafe"}] if effects else []
    warm_in = cold_ms or 1.0
    return {
        "allowed": {
            "cancel": True,
            "connIdle": 30000.0,
            "connectTimeout": 400.0,
            "maxAttempts": 6,
            "maxRetryAfter": 1000.0,
            "maxStreams": 64,
            "mayDuplicate": True,
            "mayProbe": True,
            "retryAfter": True,
        },
        "azs": places,
        "shapes": [CACHE, PARENT, ORIGIN],
        "balancers": sum(directors_by_place),
        "myZone": mine,
        "registryMode": "automatic",
        "weights": "nominal",
        "classes": cases,
        "domain": {
            "collapses": True,
            "countByZone": directors_by_place,
            "freshFor": [0.0] * len(cases),
            "mayPassBy": True,
            "midKind": 1,
            "neverKept": [case["name"] != "pages" for case in cases],
            "oneFlowKbPerS": flow,
            "parentStartsAt": cold_from,
            "parentWarmsIn": warm_in if parent_cold_ms is None else parent_cold_ms or 1.0,
            "peersFill": "location",
            "purgeTakes": 1000.0 if parent_cold_ms is None else 6000.0,
            "storeKind": 2,
        },
        "report": {
            "how": "probe" if probes else "none",
            "columns": ["util", "inflight"] if probes else [],
        },
        "rules": {"coldFrom": cold_from, "cold": warm_in, "overloadFor": 1000.0},
    }


def fleet_platform_settings(scenario: FleetScenario, location: str) -> dict[str, Any]:
    """Those of a fleet's director in that location."""
    places = scenario.zones()
    counts = [
        len(scenario.directors_in(place)) if place in scenario.locations else 0 for place in places
    ]
    return platform_settings(
        places,
        places.index(location),
        counts,
        scenario.initial_fraction,
        scenario.slow_start_ms,
        scenario.latency_objective_ms,
        scenario.patience_ms,
        scenario.unsafe_fraction > 0.0,
        scenario.polls_load_reports,
        scenario.parent_slow_start_ms,
        scenario.transfer_rate,
    )

"""The settings that the platform would send to a director of a lab."""

from dataclasses import dataclass
from typing import Any

from ..standins.node_kinds import CACHE, ORIGIN, PARENT
from .fleet.scenario import FleetScenario

MIN_SLOW_START_MS = 1.0  # the settings require a positive duration
# Time until a purge has reached all caches, as directors are told
MAX_PURGE_MS = 1000.0  # in the lab of tenants
MAX_FLEET_PURGE_MS = 6000.0  # in the fleet lab

_REQUEST_CLASS_DEFAULTS = {"memorySpan": 6000.0, "group": "all"}
_ALLOWED_FEATURES = {
    "cancel": True,
    "connIdle": 30000.0,
    "connectTimeout": 400.0,
    "maxAttempts": 6,
    "maxRetryAfter": 1000.0,
    "maxStreams": 64,
    "mayDuplicate": True,
    "mayProbe": True,
    "retryAfter": True,
}


@dataclass(frozen=True, slots=True)
class PlatformOptions:
    """The settings that differ between the labs, or between directors of a lab. Times are in ms.

    Attributes:
        zones: Names of all zones. These are hubs, with the parents and the origin, and locations,
            with the directors and caches.
        own_zone: Index of the director's own zone in `zones`.
        directors_by_zone: Number of directors in each zone, in the order of `zones`.
        initial_fraction: Fraction of its capacity that a cache or parent has when its slow
            start begins.
        slow_start_ms: Duration of the slow start of caches; 0: none.
        parent_slow_start_ms: Duration of the slow start of parents; None: the same as for caches.
        latency_objective_ms: Latency objective of each request class.
        patience_ms: How long clients wait for an answer; the deadline of each request class.
        has_unsafe_class: Whether there is a request class `pay`, of writes without an idempotency
            key, in addition to `pages` and `order`.
        polls_load_reports: Whether directors poll caches for load reports.
        transfer_rate: Rate of one transfer in KB per second.
        purge_ms: Time until a purge has reached all caches.
    """

    zones: list[str]
    own_zone: int
    directors_by_zone: list[int]
    initial_fraction: float
    slow_start_ms: float
    parent_slow_start_ms: float | None = None
    latency_objective_ms: float = 400.0
    patience_ms: float = 3000.0
    has_unsafe_class: bool = False
    polls_load_reports: bool = False
    transfer_rate: float = 8000.0
    purge_ms: float = MAX_PURGE_MS


def platform_settings(options: PlatformOptions) -> dict[str, Any]:
    """Return a director's settings in the format of the platform."""
    classes = _request_classes(options)
    polls = options.polls_load_reports
    return {
        "allowed": dict(_ALLOWED_FEATURES),
        "azs": options.zones,
        "shapes": [CACHE, PARENT, ORIGIN],
        "balancers": sum(options.directors_by_zone),
        "myZone": options.own_zone,
        "registryMode": "automatic",
        "weights": "nominal",
        "classes": classes,
        "domain": _cache_settings(options, classes),
        "report": {
            "how": "probe" if polls else "none",
            "columns": ["util", "inflight"] if polls else [],
        },
        "rules": {
            "coldFrom": options.initial_fraction,
            "cold": options.slow_start_ms or MIN_SLOW_START_MS,
            "overloadFor": 1000.0,
        },
    }


def _cache_settings(options: PlatformOptions, classes: list[dict[str, Any]]) -> dict[str, Any]:
    parent_slow_start_ms = options.parent_slow_start_ms
    if parent_slow_start_ms is None:
        parent_slow_start_ms = options.slow_start_ms
    return {
        "collapses": True,
        "countByZone": options.directors_by_zone,
        "freshFor": [0.0] * len(classes),
        "mayPassBy": True,
        "midKind": 1,
        "neverKept": [request_class["name"] != "pages" for request_class in classes],
        "oneFlowKbPerS": options.transfer_rate,
        "parentStartsAt": options.initial_fraction,
        "parentWarmsIn": parent_slow_start_ms or MIN_SLOW_START_MS,
        "peersFill": "location",
        "purgeTakes": options.purge_ms,
        "storeKind": 2,
    }


def _request_classes(options: PlatformOptions) -> list[dict[str, Any]]:
    defaults = {
        "idempotency": "safe",
        "slo": options.latency_objective_ms,
        "deadline": options.patience_ms,
        **_REQUEST_CLASS_DEFAULTS,
    }
    classes = [defaults | {"name": "pages"}, defaults | {"name": "order", "idempotency": "keyed"}]
    if options.has_unsafe_class:
        classes.append(defaults | {"name": "pay", "idempotency": "unsafe"})
    return classes


def fleet_platform_settings(scenario: FleetScenario, location: str) -> dict[str, Any]:
    """Return the settings of the directors in a location of the fleet lab."""
    zones = scenario.zones()
    directors_by_zone = [
        len(scenario.directors_in(zone)) if zone in scenario.locations else 0 for zone in zones
    ]
    return platform_settings(
        PlatformOptions(
            zones=zones,
            own_zone=zones.index(location),
            directors_by_zone=directors_by_zone,
            initial_fraction=scenario.initial_fraction,
            slow_start_ms=scenario.slow_start_ms,
            parent_slow_start_ms=scenario.parent_slow_start_ms,
            latency_objective_ms=scenario.latency_objective_ms,
            patience_ms=scenario.patience_ms,
            has_unsafe_class=scenario.unsafe_fraction > 0.0,
            polls_load_reports=scenario.polls_load_reports,
            transfer_rate=scenario.transfer_rate,
            purge_ms=MAX_FLEET_PURGE_MS,
        )
    )

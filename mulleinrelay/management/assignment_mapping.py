"""Between the model's tree (RFC 7951 JSON) and what the program holds. Pure.

decimal64 and 64-bit integers are strings in that JSON.
"""

import ipaddress
from typing import Any

from ..cells.model import REJECT, TO_DEFAULT, Assignment, Cell, Limits, Migration, Rollout, Tenant
from ..cells.parser import GROUP_RANGE_PATTERN, LIMIT_FIELDS_BY_KEY
from ..cells.validation import validate_assignment
from ..errors import ConfigError

ATTRIBUTES = {
    "how": "placement_method",
    "load-bound": "load_bound",
    "spread": "propagation_time",
    "skew": "clock_skew",
    "horizon": "retry_horizon",
}
MOVE = {
    "starts": "starts_at",
    "warm-for": "warm_up_duration",
    "shift-for": "shift_duration",
    "drain-for": "drain_duration",
    "warm-share": "warm_up_fraction",
    "held-at": "paused_at",
    "resumed-at": "resumed_at",
    "aborted-at": "aborted_at",
}
RELEASE = {
    "starts": "starts_at",
    "wave-for": "wave_duration",
    "drop-most": "max_success_drop",
    "slower-most": "max_slowdown",
}
DECIMAL = {
    "weight",
    "reserve",
    "load-bound",
    "warm-share",
    "drop-most",
    "slower-most",
    "rate",
    "burst",
    "open-most",
    "body-kb",
    "retries",
}
LONG = {"starts", "held-at", "resumed-at", "aborted-at"}
ABSENT = {
    "warm-for": 10_000.0,
    "drain-for": 30_000.0,
    "warm-share": 0.05,
    "held-at": 0.0,
    "resumed-at": 0.0,
    "aborted-at": 0.0,
    "wave-for": 60_000.0,
    "drop-most": 0.03,
    "slower-most": 1.5,
}


def decimal(value: float) -> str:
    """A decimal64 of six digits in its canonical form."""
    text = f"{value:.6f}".rstrip("0")
    return text + "0" if text.endswith(".") else text


def _told(name: str, value: float) -> Any:
    if name in DECIMAL:
        return decimal(value)
    return str(int(value)) if name in LONG else int(value)


def _limits_tree(limits: Limits) -> dict[str, Any]:
    return {
        key.replace("_", "-"): _told(key.replace("_", "-"), getattr(limits, field))
        for key, field in LIMIT_FIELDS_BY_KEY.items()
    }


def _limits(tree: dict[str, Any], default: Limits) -> Limits:
    held = tree.get("limits", {})
    return Limits(
        *(
            int(held.get(key, default.max_connections))
            if key == "connections"
            else float(held.get(key.replace("_", "-"), getattr(default, field)))
            for key, field in LIMIT_FIELDS_BY_KEY.items()
        )
    )


def charter_tree(charter: Assignment) -> dict[str, Any]:
    """The `assignment` of a charter."""
    found: dict[str, Any] = {
        name: _told(name, getattr(charter, key)) if name != "how" else charter.placement_method
        for name, key in ATTRIBUTES.items()
    }
    found["unknown"] = "reject" if charter.unknown_tenant_policy == REJECT else "default-tenant"
    if charter.default_tenant:
        found["default-tenant"] = charter.default_tenant
    found["limits"] = _limits_tree(charter.limits)
    found["cell"] = [
        {
            "name": cell.name,
            "weight": decimal(cell.weight),
            "shuffle": cell.shuffle_shards,
            "reserve": decimal(cell.failover_quota),
            "return-for": int(cell.return_duration),
            "limits": _limits_tree(cell.limits),
        }
        | _some("cache", cell.caches)
        | _some("neighbour", cell.failover_cells)
        for cell in charter.cells.values()
    ]
    found["tenant"] = [
        {"name": one.name, "weight": decimal(one.weight), "limits": _limits_tree(one.limits)}
        | ({"cell": one.cell} if one.cell else {})
        | _some("address", one.addresses)
        | _some(
            "group",
            [f"{first}-{last}" if first != last else str(first) for first, last in one.groups],
        )
        for one in charter.tenants.values()
    ]
    found["move"] = [
        {"name": one.name, "tenant": list(one.tenants), "from": one.source, "to": one.target}
        | {name: _told(name, getattr(one, key)) for name, key in MOVE.items()}
        for one in charter.migrations.values()
    ]
    found["release"] = [
        {
            "name": one.name,
            "canary": one.canary,
            "taken-back": one.is_rolled_back,
            "shuffle": one.shuffle_shards,
            "limits": _limits_tree(one.limits),
        }
        | _some(
            "wave", [{"number": place, "cell": list(wave)} for place, wave in enumerate(one.waves)]
        )
        | {name: _told(name, getattr(one, key)) for name, key in RELEASE.items()}
        for one in charter.rollouts.values()
    ]
    return {name: held for name, held in found.items() if held != []}


def _some(name: str, held: Any) -> dict[str, list[Any]]:
    return {name: list(held)} if held else {}


def charter_from(tree: dict[str, Any], version: int, written: float) -> Assignment:
    """Of an `assignment` that the model has let pass; raises ConfigError for what only the program
    knows.
    """
    limits = _limits(tree, Limits())
    cells = {
        one["name"]: Cell(
            one["name"],
            float(one.get("weight", 1.0)),
            tuple(one.get("cache", ())),
            int(one.get("shuffle", 0)),
            tuple(one.get("neighbour", ())),
            float(one.get("reserve", 0.0)),
            float(one.get("return-for", 10_000)),
            _limits(one, Limits()),
        )
        for one in tree.get("cell", ())
    }
    tenants = {
        one["name"]: Tenant(
            one["name"],
            one.get("cell", ""),
            float(one.get("weight", 1.0)),
            tuple(_address(one["name"], text) for text in one.get("address", ())),
            tuple(_group(one["name"], text) for text in one.get("group", ())),
            _limits(one, limits),
        )
        for one in tree.get("tenant", ())
    }
    moves = {
        one["name"]: Migration(
            name=one["name"],
            tenants=tuple(one["tenant"]),
            source=one["from"],
            target=one["to"],
            **_figures(one, MOVE),
        )
        for one in tree.get("move", ())
    }
    releases = {
        one["name"]: Rollout(
            name=one["name"],
            canary=one["canary"],
            limits=_limits(one, limits),
            waves=tuple(
                tuple(wave["cell"])
                for wave in sorted(one.get("wave", ()), key=lambda wave: wave["number"])
            ),
            is_rolled_back=bool(one.get("taken-back", False)),
            shuffle_shards=int(one.get("shuffle", -1)),
            **_figures(one, RELEASE),
        )
        for one in tree.get("release", ())
    }
    charter = Assignment(
        version,
        written,
        cells,
        tenants,
        moves,
        releases,
        limits,
        default_tenant=tree.get("default-tenant", ""),
        unknown_tenant_policy=REJECT if tree.get("unknown") == "reject" else TO_DEFAULT,
        **{
            key: tree[name] if name == "how" else float(tree[name])
            for name, key in ATTRIBUTES.items()
            if name in tree
        },
    )
    validate_assignment(charter)
    return charter


def _address(tenant: str, text: str) -> str:
    try:
        ipaddress.ip_network(text)
    except ValueError as wrong:
        raise ConfigError(f"tenant {tenant}: address {wrong}") from None
    return text


def _group(tenant: str, text: str) -> tuple[int, int]:
    form = GROUP_RANGE_PATTERN.fullmatch(text)
    if form is None or not int(form[1]) <= int(form[2] or form[1]) <= 255:
        raise ConfigError(
            f"tenant {tenant}: group {text!r} is no group or range of groups from 0 to 255"
        )
    return int(form[1]), int(form[2] or form[1])


def _figures(one: dict[str, Any], names: dict[str, str]) -> dict[str, float]:
    return {key: float(one.get(name, ABSENT.get(name, 0.0))) for name, key in names.items()}

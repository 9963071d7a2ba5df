"""Conversion between the cell assignment and the `assignment` container of the YANG model.

The `..._FIELDS_BY_LEAF` tables below map leaf names of the YANG model, which gNMI clients use, to
fields of the classes in `cells.model`. In a tree (see `tree`), decimal64 values and 64-bit integers
are strings, as RFC 7951 requires. No I/O.
"""

import ipaddress
from collections.abc import Iterable
from typing import Any

from ..cells.model import (
    REJECT,
    USE_DEFAULT_TENANT,
    Assignment,
    Cell,
    Limits,
    Migration,
    Rollout,
    Tenant,
)
from ..cells.parser import GROUP_RANGE_PATTERN, LIMIT_FIELDS_BY_KEY
from ..cells.validation import validate_assignment
from ..errors import ConfigError
from .tree import Tree

MAX_GROUP = 255  # the group of an object is one byte

PLACEMENT_METHOD_LEAF = "how"
ASSIGNMENT_FIELDS_BY_LEAF = {
    "load-bound": "load_bound",
    "spread": "propagation_time",
    "skew": "clock_skew",
    "horizon": "retry_horizon",
}
MIGRATION_FIELDS_BY_LEAF = {
    "starts": "starts_at",
    "warm-for": "warm_up_duration",
    "shift-for": "shift_duration",
    "drain-for": "drain_duration",
    "warm-share": "warm_up_fraction",
    "held-at": "paused_at",
    "resumed-at": "resumed_at",
    "aborted-at": "aborted_at",
}
ROLLOUT_FIELDS_BY_LEAF = {
    "starts": "starts_at",
    "wave-for": "wave_duration",
    "drop-most": "max_success_drop",
    "slower-most": "max_slowdown",
}
CONNECTIONS_LEAF = "connections"  # the only limit that is an integer
DECIMAL64_LEAVES = {
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
UINT64_LEAVES = {"starts", "held-at", "resumed-at", "aborted-at"}
# For leaves of migrations and rollouts that a tree omits; the YANG module has the same defaults
DEFAULTS_BY_LEAF = {
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


def format_decimal64(value: float) -> str:
    """Return a number as decimal64 with one to six fraction digits (canonical, RFC 7950, 9.3.2)."""
    text = f"{value:.6f}".rstrip("0")
    return text + "0" if text.endswith(".") else text


# From the assignment to the tree


def assignment_to_tree(assignment: Assignment) -> Tree:
    """Return an assignment as content of the `assignment` container, without empty lists."""
    tree: Tree = {PLACEMENT_METHOD_LEAF: assignment.placement_method}
    tree |= _numbers_to_tree(assignment, ASSIGNMENT_FIELDS_BY_LEAF)
    rejects_unknown = assignment.unknown_tenant_policy == REJECT
    tree["unknown"] = "reject" if rejects_unknown else "default-tenant"
    if assignment.default_tenant:
        tree["default-tenant"] = assignment.default_tenant
    tree["limits"] = _limits_to_tree(assignment.limits)
    tree["cell"] = [_cell_to_tree(cell) for cell in assignment.cells.values()]
    tree["tenant"] = [_tenant_to_tree(tenant) for tenant in assignment.tenants.values()]
    tree["move"] = [_migration_to_tree(migration) for migration in assignment.migrations.values()]
    tree["release"] = [_rollout_to_tree(rollout) for rollout in assignment.rollouts.values()]
    return {name: value for name, value in tree.items() if value != []}


def _cell_to_tree(cell: Cell) -> Tree:
    tree: Tree = {
        "name": cell.name,
        "weight": format_decimal64(cell.weight),
        "shuffle": cell.shuffle_shards,
        "reserve": format_decimal64(cell.failover_quota),
        "return-for": int(cell.return_duration),
        "limits": _limits_to_tree(cell.limits),
    }
    return (
        tree
        | _optional_list("cache", cell.caches)
        | _optional_list("neighbour", cell.failover_cells)
    )


def _tenant_to_tree(tenant: Tenant) -> Tree:
    tree: Tree = {
        "name": tenant.name,
        "weight": format_decimal64(tenant.weight),
        "limits": _limits_to_tree(tenant.limits),
    }
    if tenant.cell:
        tree["cell"] = tenant.cell
    groups = [f"{first}-{last}" if first != last else str(first) for first, last in tenant.groups]
    return tree | _optional_list("address", tenant.addresses) | _optional_list("group", groups)


def _migration_to_tree(migration: Migration) -> Tree:
    tree: Tree = {
        "name": migration.name,
        "tenant": list(migration.tenants),
        "from": migration.source,
        "to": migration.target,
    }
    return tree | _numbers_to_tree(migration, MIGRATION_FIELDS_BY_LEAF)


def _rollout_to_tree(rollout: Rollout) -> Tree:
    tree: Tree = {
        "name": rollout.name,
        "canary": rollout.canary,
        "taken-back": rollout.is_rolled_back,
        "shuffle": rollout.shuffle_shards,
        "limits": _limits_to_tree(rollout.limits),
    }
    waves = [{"number": number, "cell": list(cells)} for number, cells in enumerate(rollout.waves)]
    return tree | _optional_list("wave", waves) | _numbers_to_tree(rollout, ROLLOUT_FIELDS_BY_LEAF)


def _limits_to_tree(limits: Limits) -> Tree:
    return _numbers_to_tree(limits, _limit_leaves())


def _limit_leaves() -> dict[str, str]:
    """Return the fields of `Limits` by leaf name.

    The leaf name is the key of the assignment file with `-` instead of `_`.
    """
    return {key.replace("_", "-"): field for key, field in LIMIT_FIELDS_BY_KEY.items()}


def _numbers_to_tree(source: object, fields_by_leaf: dict[str, str]) -> Tree:
    return {
        leaf: _encode_number(leaf, getattr(source, field)) for leaf, field in fields_by_leaf.items()
    }


def _encode_number(leaf: str, value: float) -> str | int:
    if leaf in DECIMAL64_LEAVES:
        return format_decimal64(value)
    return str(int(value)) if leaf in UINT64_LEAVES else int(value)


def _optional_list(name: str, values: Iterable[Any]) -> Tree:
    items = list(values)
    return {name: items} if items else {}


# From the tree to the assignment


def assignment_from_tree(tree: Tree, version: int, written_at: float) -> Assignment:
    """Build an assignment from an `assignment` container that the YANG model has validated.

    Args:
        tree: Content of the container.
        version: Version of the new assignment.
        written_at: Time of the change, in Unix milliseconds.

    Raises:
        ConfigError: If the assignment is inconsistent, or a value is malformed in a way that the
            YANG model cannot check.
    """
    limits = _limits_from_tree(tree, Limits())
    assignment = Assignment(
        version=version,
        written_at=written_at,
        cells={entry["name"]: _cell_from_tree(entry) for entry in tree.get("cell", ())},
        tenants={
            entry["name"]: _tenant_from_tree(entry, limits) for entry in tree.get("tenant", ())
        },
        migrations={entry["name"]: _migration_from_tree(entry) for entry in tree.get("move", ())},
        rollouts={
            entry["name"]: _rollout_from_tree(entry, limits) for entry in tree.get("release", ())
        },
        limits=limits,
        default_tenant=tree.get("default-tenant", ""),
        unknown_tenant_policy=REJECT if tree.get("unknown") == "reject" else USE_DEFAULT_TENANT,
        **_assignment_attributes(tree),
    )
    validate_assignment(assignment)
    return assignment


def _assignment_attributes(tree: Tree) -> dict[str, Any]:
    """Return the placement method and the numbers of `ASSIGNMENT_FIELDS_BY_LEAF`, by field.

    Leaves that the tree omits have no field in the result, so that the defaults of `Assignment`
    apply.
    """
    attributes: dict[str, Any] = {
        field: float(tree[leaf])
        for leaf, field in ASSIGNMENT_FIELDS_BY_LEAF.items()
        if leaf in tree
    }
    if PLACEMENT_METHOD_LEAF in tree:
        attributes["placement_method"] = tree[PLACEMENT_METHOD_LEAF]
    return attributes


def _cell_from_tree(entry: Tree) -> Cell:
    return Cell(
        name=entry["name"],
        weight=float(entry.get("weight", 1.0)),
        caches=tuple(entry.get("cache", ())),
        shuffle_shards=int(entry.get("shuffle", 0)),
        failover_cells=tuple(entry.get("neighbour", ())),
        failover_quota=float(entry.get("reserve", 0.0)),
        return_duration=float(entry.get("return-for", 10_000)),
        limits=_limits_from_tree(entry, Limits()),
    )


def _tenant_from_tree(entry: Tree, default_limits: Limits) -> Tenant:
    name = entry["name"]
    return Tenant(
        name=name,
        cell=entry.get("cell", ""),
        weight=float(entry.get("weight", 1.0)),
        addresses=tuple(_validate_network(name, text) for text in entry.get("address", ())),
        groups=tuple(_parse_group_range(name, text) for text in entry.get("group", ())),
        limits=_limits_from_tree(entry, default_limits),
    )


def _migration_from_tree(entry: Tree) -> Migration:
    return Migration(
        name=entry["name"],
        tenants=tuple(entry["tenant"]),
        source=entry["from"],
        target=entry["to"],
        **_numbers_from_tree(entry, MIGRATION_FIELDS_BY_LEAF),
    )


def _rollout_from_tree(entry: Tree, default_limits: Limits) -> Rollout:
    waves = sorted(entry.get("wave", ()), key=lambda wave: wave["number"])
    return Rollout(
        name=entry["name"],
        canary=entry["canary"],
        limits=_limits_from_tree(entry, default_limits),
        waves=tuple(tuple(wave["cell"]) for wave in waves),
        is_rolled_back=bool(entry.get("taken-back", False)),
        shuffle_shards=int(entry.get("shuffle", -1)),
        **_numbers_from_tree(entry, ROLLOUT_FIELDS_BY_LEAF),
    )


def _limits_from_tree(entry: Tree, default: Limits) -> Limits:
    leaves = entry.get("limits", {})
    values: dict[str, Any] = {
        field: float(leaves.get(leaf, getattr(default, field)))
        for leaf, field in _limit_leaves().items()
        if leaf != CONNECTIONS_LEAF
    }
    values["max_connections"] = int(leaves.get(CONNECTIONS_LEAF, default.max_connections))
    return Limits(**values)


def _numbers_from_tree(entry: Tree, fields_by_leaf: dict[str, str]) -> dict[str, Any]:
    return {
        field: float(entry.get(leaf, DEFAULTS_BY_LEAF.get(leaf, 0.0)))
        for leaf, field in fields_by_leaf.items()
    }


def _validate_network(tenant: str, text: str) -> str:
    """Return the text of an address range unchanged; raise ConfigError if it is not valid."""
    try:
        ipaddress.ip_network(text)
    except ValueError as error:
        raise ConfigError(f"tenant {tenant}: address {error}") from error
    return text


def _parse_group_range(tenant: str, text: str) -> tuple[int, int]:
    """Parse a group such as `3`, or a range such as `3-9`; return the first and last group.

    Raises:
        ConfigError: If the text is not valid, or a group is above `MAX_GROUP`.
    """
    match = GROUP_RANGE_PATTERN.fullmatch(text)
    if match is not None:
        first = int(match[1])
        last = int(match[2] or match[1])
        if first <= last <= MAX_GROUP:
            return first, last
    raise ConfigError(
        f"tenant {tenant}: group {text!r} is not a group or a range of groups from 0 to {MAX_GROUP}"
    )

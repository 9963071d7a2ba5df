"""Formatter of assignments as the text of an assignment file; no I/O.

Keys are written in a fixed order, so that two versions of a file can be compared line by line.
"""

from dataclasses import dataclass

from .model import FILE_FORMAT_VERSION, Assignment, Cell, Limits, Migration, Rollout, Tenant
from .parser import LIMIT_FIELDS_BY_KEY

HEADER = "; written by `mulleinrelay cells`; changed by hand only with a higher version"


@dataclass(slots=True, frozen=True)
class _Section:
    title: str
    values: dict[str, object]  # by key


def format_assignment(assignment: Assignment) -> str:
    """Return the text of an assignment; `parse_assignment` returns an equal assignment for it."""
    sections = [
        _Section("assignment", _assignment_values(assignment)),
        _Section("limits", _limit_values(assignment.limits)),
    ]
    sections += [
        _Section(f"cell {name}", _cell_values(cell)) for name, cell in assignment.cells.items()
    ]
    sections += [
        _Section(f"tenant {name}", _tenant_values(tenant))
        for name, tenant in assignment.tenants.items()
    ]
    sections += [
        _Section(f"move {name}", _migration_values(migration))
        for name, migration in assignment.migrations.items()
    ]
    sections += [
        _Section(f"release {name}", _rollout_values(rollout))
        for name, rollout in assignment.rollouts.items()
    ]
    texts = [_format_section(section) for section in sections]
    return HEADER + "\n" + "\n\n".join(texts) + "\n"


def _assignment_values(assignment: Assignment) -> dict[str, object]:
    return {
        "form": FILE_FORMAT_VERSION,
        "version": assignment.version,
        "written": assignment.written_at,
        "how": assignment.placement_method,
        "load_bound": assignment.load_bound,
        "default_tenant": assignment.default_tenant,
        "unknown": assignment.unknown_tenant_policy,
        "spread_ms": assignment.propagation_time,
        "skew_ms": assignment.clock_skew,
        "horizon_ms": assignment.retry_horizon,
    }


def _limit_values(limits: Limits) -> dict[str, object]:
    return {key: getattr(limits, field) for key, field in LIMIT_FIELDS_BY_KEY.items()}


def _cell_values(cell: Cell) -> dict[str, object]:
    return {
        "weight": cell.weight,
        "caches": cell.caches,
        "shuffle": cell.shuffle_shards,
        "neighbours": cell.failover_cells,
        "reserve": cell.failover_quota,
        "return_ms": cell.return_duration,
    } | _limit_values(cell.limits)


def _tenant_values(tenant: Tenant) -> dict[str, object]:
    groups = tuple(
        f"{first}-{last}" if first != last else str(first) for first, last in tenant.groups
    )
    return {
        "cell": tenant.cell,
        "weight": tenant.weight,
        "addresses": tenant.addresses,
        "groups": groups,
    } | _limit_values(tenant.limits)


def _migration_values(migration: Migration) -> dict[str, object]:
    return {
        "tenants": migration.tenants,
        "from": migration.source,
        "to": migration.target,
        "starts": migration.starts_at,
        "warm_ms": migration.warm_up_duration,
        "shift_ms": migration.shift_duration,
        "drain_ms": migration.drain_duration,
        "warm_share": migration.warm_up_fraction,
        "held_at": migration.paused_at,
        "resumed_at": migration.resumed_at,
        "aborted_at": migration.aborted_at,
    }


def _rollout_values(rollout: Rollout) -> dict[str, object]:
    return {
        "canary": rollout.canary,
        "waves": "; ".join(" ".join(wave) for wave in rollout.waves),
        "starts": rollout.starts_at,
        "wave_ms": rollout.wave_duration,
        "drop_most": rollout.max_success_drop,
        "slower_most": rollout.max_slowdown,
        "taken_back": "yes" if rollout.is_rolled_back else "no",
        "shuffle": rollout.shuffle_shards,
    } | _limit_values(rollout.limits)


def _format_section(section: _Section) -> str:
    """Return the text of a section; keys with an empty text or an empty list are left out."""
    lines = [f"[{section.title}]"]
    lines += [
        f"{key} = {_format_value(value)}"
        for key, value in section.values.items()
        if value not in ("", ())
    ]
    return "\n".join(lines)


def _format_value(value: object) -> str:
    if isinstance(value, tuple):
        return " ".join(value)
    if isinstance(value, float) and value == int(value):
        return repr(int(value))
    return str(value)

"""Validation of references and consistency within an assignment; no I/O.

Each error names the section of the assignment file and, unless all cells are missing, the key, as
in `[tenant acme] cell: cell 'north' does not exist`, even if the assignment was set over gNMI.
"""

from collections.abc import Container

from ..config.ini import NUMBER_LIMIT
from ..errors import ConfigError
from .model import TABLE, USE_DEFAULT_TENANT, Assignment, Migration, Rollout


def validate_assignment(assignment: Assignment) -> None:
    """Check that references exist, required parts are present, and no parts contradict each other.

    Raises:
        ConfigError: If a check fails.
    """
    _validate_assignment_section(assignment)
    _validate_cells(assignment)
    _validate_tenants(assignment)
    _validate_migrations(assignment)
    for rollout in assignment.rollouts.values():
        _validate_rollout(assignment, rollout)


def _require_known(section: str, key: str, kind: str, name: str, known: Container[str]) -> None:
    if name not in known:
        raise ConfigError(f"{kind} {name!r} does not exist", section=section, key=key)


def _validate_assignment_section(assignment: Assignment) -> None:
    if not assignment.cells:
        raise ConfigError("at least one cell is required", section="cell NAME")
    if not any(cell.weight for cell in assignment.cells.values()):
        raise ConfigError(
            "at least one cell must have a weight above 0", section="cell NAME", key="weight"
        )
    if assignment.default_tenant:
        name = assignment.default_tenant
        _require_known("assignment", "default_tenant", "tenant", name, assignment.tenants)
    elif assignment.unknown_tenant_policy == USE_DEFAULT_TENANT:
        raise ConfigError(
            "required if unknown = default_tenant", section="assignment", key="default_tenant"
        )


def _validate_cells(assignment: Assignment) -> None:
    cell_of_cache: dict[str, str] = {}
    for name, cell in assignment.cells.items():
        section = f"cell {name}"
        for other in cell.failover_cells:
            _require_known(section, "neighbours", "cell", other, assignment.cells)
            if other == name:
                raise ConfigError(
                    "a cell cannot be its own neighbour", section=section, key="neighbours"
                )
        for cache in cell.caches:
            if cache in cell_of_cache:
                reason = f"{cache} already belongs to cell {cell_of_cache[cache]}"
                raise ConfigError(reason, section=section, key="caches")
            cell_of_cache[cache] = name


def _validate_tenants(assignment: Assignment) -> None:
    for name, tenant in assignment.tenants.items():
        section = f"tenant {name}"
        if tenant.cell:
            _require_known(section, "cell", "cell", tenant.cell, assignment.cells)
        elif assignment.placement_method == TABLE:
            raise ConfigError(f"required if how = {TABLE}", section=section, key="cell")


def _validate_migrations(assignment: Assignment) -> None:
    migration_of: dict[str, str] = {}
    for name, migration in assignment.migrations.items():
        section = f"move {name}"
        _require_known(section, "from", "cell", migration.source, assignment.cells)
        _require_known(section, "to", "cell", migration.target, assignment.cells)
        if migration.source == migration.target:
            raise ConfigError(
                f"{migration.target!r} is also the cell in the key from", section=section, key="to"
            )
        if not migration.tenants:
            raise ConfigError("at least one tenant is required", section=section, key="tenants")
        for tenant in migration.tenants:
            _require_known(section, "tenants", "tenant", tenant, assignment.tenants)
            if tenant in migration_of:
                reason = f"{tenant} is already moved by {migration_of[tenant]}"
                raise ConfigError(reason, section=section, key="tenants")
            migration_of[tenant] = name
        _validate_order_of_times(section, migration)


def _validate_order_of_times(section: str, migration: Migration) -> None:
    for key, time, earliest in (
        ("held_at", migration.paused_at, migration.starts_at),
        ("aborted_at", migration.aborted_at, migration.starts_at),
        # Without a pause there is nothing to resume: every time is too early.
        ("resumed_at", migration.resumed_at, migration.paused_at or NUMBER_LIMIT),
    ):
        if time and time < earliest:
            raise ConfigError(
                f"{time:.0f} is before the move starts or is held", section=section, key=key
            )


def _validate_rollout(assignment: Assignment, rollout: Rollout) -> None:
    section = f"release {rollout.name}"
    seen: set[str] = set()
    for key, names in (
        ("canary", (rollout.canary,)),
        *(("waves", wave) for wave in rollout.waves),
    ):
        for cell in names:
            _require_known(section, key, "cell", cell, assignment.cells)
            if cell in seen:
                raise ConfigError(f"{cell} is listed twice", section=section, key=key)
            seen.add(cell)

"""What operators may change of an assignment, as pure functions from one version to the next.

A change that would break a rule is an `EditRejectedError`; the caller writes and logs the result.
What is to happen at all directors at one time is set ahead by the propagation time, when each of
them has read the file.
"""

from dataclasses import dataclass, replace

from ..errors import MulleinrelayError
from . import migrations
from .hashing import home_cells
from .model import Assignment, Migration, Rollout


class EditRejectedError(MulleinrelayError):
    """The change can be understood and is not made; the text says why."""


@dataclass(slots=True, frozen=True)
class StageDurations:
    """How long the stages of a migration take, ms."""

    warm_up: float
    shift: float
    drain: float


def start_migration(
    assignment: Assignment,
    name: str,
    tenants: tuple[str, ...],
    target: str,
    now: float,
    durations: StageDurations,
    starts_in: float = 0.0,
) -> Assignment:
    """Adds a migration.

    Args:
        assignment: The version that is changed.
        name: Of the migration.
        tenants: Names of the tenants that migrate.
        target: Name of the cell that they go to.
        now: The time.
        durations: Of its stages.
        starts_in: It starts after so many ms; no sooner than every director has read of it.

    Raises:
        EditRejectedError: If the tenants cannot migrate together or are migrating.
    """
    if name in assignment.migrations:
        raise EditRejectedError(f"there is a move {name} already")
    if target not in assignment.cells:
        raise EditRejectedError(f"there is no cell {target}")
    source = _common_home(assignment, tenants)
    if source == target:
        raise EditRejectedError(f"they stand in {target} already")
    starts_at = now + max(starts_in, assignment.propagation_time + assignment.clock_skew)
    stages = (durations.warm_up, durations.shift, durations.drain)
    migration = Migration(name, tenants, source, target, starts_at, *stages)
    changed = _with_migration(assignment, migration)
    return _with_cell(changed, tenants, source)  # so that no hash places them elsewhere


def _common_home(assignment: Assignment, tenants: tuple[str, ...]) -> str:
    """Returns the cell of all of the tenants, none of which may be migrating."""
    homes = home_cells(assignment)
    for tenant in tenants:
        if tenant not in assignment.tenants:
            raise EditRejectedError(f"there is no tenant {tenant}")
        if (migration := migration_of(assignment, tenant)) is not None:
            raise EditRejectedError(
                f"tenant {tenant} is moved by {migration.name}; abort or end that first"
            )
    sources = {homes[tenant] for tenant in tenants}
    if len(sources) != 1:
        raise EditRejectedError(
            "the tenants of one move must stand in one cell, not in " + ", ".join(sorted(sources))
        )
    return sources.pop()


def _with_migration(assignment: Assignment, migration: Migration) -> Assignment:
    return replace(assignment, migrations=assignment.migrations | {migration.name: migration})


def _with_cell(assignment: Assignment, tenants: tuple[str, ...], cell: str) -> Assignment:
    changed = {name: replace(assignment.tenants[name], cell=cell) for name in tenants}
    return replace(assignment, tenants=assignment.tenants | changed)


def durations_for_demand(
    demand: migrations.MigrationDemand, warm_up: float, drain: float
) -> StageDurations:
    """Returns the shortest migration that the receiving caches can serve.

    Raises:
        EditRejectedError: If they cannot serve the tenants at all.
    """
    shift = migrations.min_shift_duration(demand)
    if shift is None:
        load = demand.load + demand.rate
        capacity = migrations.TARGET_UTILIZATION * demand.capacity
        raise EditRejectedError(
            f"the receiving caches can't bear these tenants even when warm: {load:.0f} "
            f"of {capacity:.0f} hits a second, and the misses beside"
        )
    return StageDurations(warm_up, float(round(shift)), drain)


def rejection_reason(old: Assignment, new: Assignment) -> str:
    """Returns why a file that can be read is not put in force; empty: it is."""
    is_older = new.version < old.version
    is_same_version_changed = new.version == old.version and new != old
    if is_older or is_same_version_changed:
        return (
            f"assignment kept at version {old.version}: the file holds version {new.version}, "
            "which is no later one"
        )
    return ""


def migration_of(assignment: Assignment, tenant: str) -> Migration | None:
    """Returns the migration of a tenant; None: it has none."""
    for migration in assignment.migrations.values():
        if tenant in migration.tenants:
            return migration
    return None


def _required_migration(assignment: Assignment, name: str) -> Migration:
    if name not in assignment.migrations:
        raise EditRejectedError(
            f"there is no move {name}; there are {', '.join(assignment.migrations) or 'none'}"
        )
    return assignment.migrations[name]


def _effective_at(assignment: Assignment, migration: Migration, now: float) -> float:
    """Returns when all directors have read what is written now, no sooner than the start."""
    return max(migration.starts_at, now + assignment.propagation_time + assignment.clock_skew)


def pause_migration(assignment: Assignment, name: str, now: float) -> Assignment:
    """Keeps the migrated fraction where it is, until the migration is resumed.

    Raises:
        EditRejectedError: If it cannot be paused.
    """
    migration = _required_migration(assignment, name)
    pauses_at = _effective_at(assignment, migration, now)
    if migration.aborted_at:
        raise EditRejectedError(f"move {name} is aborted")
    if migration.paused_at and not migration.resumed_at:
        raise EditRejectedError(f"move {name} is held already")
    if migration.paused_at and now < migration.resumed_at:
        wait = migration.resumed_at - now
        raise EditRejectedError(f"move {name} is just being resumed; wait {wait:.0f} ms")
    if migration.paused_at:  # the pause that is over becomes part of the start
        starts_at = migration.starts_at + migration.resumed_at - migration.paused_at
        migration = replace(migration, starts_at=starts_at, resumed_at=0.0)
    running = replace(migration, paused_at=0.0)
    if migrations.stage_at(running, pauses_at) == migrations.MigrationStage.DONE:
        raise EditRejectedError(f"move {name} is done by then")
    return _with_migration(assignment, replace(migration, paused_at=pauses_at))


def resume_migration(assignment: Assignment, name: str, now: float) -> Assignment:
    """Lets a paused migration go on.

    Raises:
        EditRejectedError: If it is not paused.
    """
    migration = _required_migration(assignment, name)
    if not migration.paused_at or migration.resumed_at or migration.aborted_at:
        raise EditRejectedError(f"move {name} is not held")
    resumes_at = max(migration.paused_at, _effective_at(assignment, migration, now))
    return _with_migration(assignment, replace(migration, resumed_at=resumes_at))


def abort_migration(assignment: Assignment, name: str, now: float) -> Assignment:
    """Lets all objects go back; a migration that has not begun anywhere is removed at once.

    Raises:
        EditRejectedError: If it is aborted or done.
    """
    migration = _required_migration(assignment, name)
    if migration.aborted_at:
        raise EditRejectedError(f"move {name} is aborted already")
    if now + assignment.propagation_time + assignment.clock_skew < migration.starts_at:
        others = {key: other for key, other in assignment.migrations.items() if key != name}
        return replace(assignment, migrations=others)
    aborts_at = _effective_at(assignment, migration, now)
    if migrations.stage_at(migration, aborts_at) == migrations.MigrationStage.DONE:
        raise EditRejectedError(
            f"move {name} is done by then; move the tenants back to {migration.source}"
        )
    return _with_migration(assignment, replace(migration, aborted_at=aborts_at))


def end_migrations(assignment: Assignment, now: float) -> tuple[Assignment, list[str]]:
    """Removes migrations that are over, once no client's retry can depend on them.

    Their tenants then have the cell where they ended as their own.

    Returns:
        The new version, and the names of the migrations that were removed.
    """
    grace = assignment.retry_horizon + assignment.propagation_time + assignment.clock_skew
    ended: list[str] = []
    remaining: dict[str, Migration] = {}
    changed = assignment
    for name, migration in assignment.migrations.items():
        ended_at = migrations.ended_at(migration)
        if ended_at is None or now < ended_at + grace:
            remaining[name] = migration
            continue
        ended.append(name)
        cell = migration.source if migration.aborted_at else migration.target
        changed = _with_cell(changed, migration.tenants, cell)
    return replace(changed, migrations=remaining), ended


def start_rollout(assignment: Assignment, rollout: Rollout) -> Assignment:
    """Adds a rollout.

    Raises:
        EditRejectedError: If there is one of this name.
    """
    if rollout.name in assignment.rollouts:
        raise EditRejectedError(f"there is a release {rollout.name} already")
    return replace(assignment, rollouts=assignment.rollouts | {rollout.name: rollout})


def roll_back(assignment: Assignment, name: str) -> Assignment:
    """Takes a rollout back everywhere.

    Raises:
        EditRejectedError: If there is none of this name.
    """
    if name not in assignment.rollouts:
        raise EditRejectedError(
            f"there is no release {name}; there are {', '.join(assignment.rollouts) or 'none'}"
        )
    rolled_back = replace(assignment.rollouts[name], is_rolled_back=True)
    return replace(assignment, rollouts=assignment.rollouts | {name: rolled_back})


def adopt_rollout(assignment: Assignment, name: str) -> Assignment:
    """Makes a rollout's limits those of all tenants of its cells, and removes it.

    Raises:
        EditRejectedError: If there is none of this name in force.
    """
    if name not in assignment.rollouts or assignment.rollouts[name].is_rolled_back:
        raise EditRejectedError(f"there is no release {name} in force")
    rollout = assignment.rollouts[name]
    homes = home_cells(assignment)
    reached = {rollout.canary, *(cell for wave in rollout.waves for cell in wave)}
    tenants = {
        key: replace(tenant, limits=rollout.limits) if homes.get(key) in reached else tenant
        for key, tenant in assignment.tenants.items()
    }
    cells = assignment.cells
    if rollout.shuffle_shards >= 0:
        shards = rollout.shuffle_shards
        cells = {
            key: replace(cell, shuffle_shards=shards) if key in reached else cell
            for key, cell in cells.items()
        }
    others = {key: other for key, other in assignment.rollouts.items() if key != name}
    return replace(assignment, rollouts=others, tenants=tenants, cells=cells)

"""Changes that operators can make to an assignment.

The functions for changes take an assignment and return the changed one, still with the old version
number. A change that would break a rule raises `EditRejectedError`. No I/O and no clock: the time
is an argument, and the caller writes the changed assignment as the next version and logs it.

An event that all directors must execute at the same time is scheduled ahead. It takes place after
the propagation time and the clock skew, when every director has read the file.
"""

from dataclasses import dataclass, replace

from ..errors import MulleinrelayError
from . import migrations
from .hashing import home_cells
from .model import Assignment, Migration, Rollout


class EditRejectedError(MulleinrelayError):
    """Error for a change that would break a rule and is not made, or for an unknown tenant.

    The text says why.
    """


@dataclass(slots=True, frozen=True)
class StageDurations:
    """The durations of a migration's stages, ms."""

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
    """Add a migration, and name the source cell in the entries of its tenants.

    Args:
        assignment: The version to change.
        name: Name of the new migration.
        tenants: Names of the tenants that migrate.
        target: Name of the target cell.
        now: The current time.
        durations: Durations of the stages.
        starts_in: Minimum time until the start, ms. The migration never starts before all directors
            have read it.

    Raises:
        EditRejectedError: If the name is in use, or the target does not exist. If a tenant does not
            exist or already has a migration, even a completed one. If the tenants are not all in
            one cell, or are in the target already.
    """
    if name in assignment.migrations:
        raise EditRejectedError(f"move {name} already exists")
    if target not in assignment.cells:
        raise EditRejectedError(f"cell {target} does not exist")
    source = _common_home(assignment, tenants)
    if source == target:
        raise EditRejectedError(f"the tenants are already in cell {target}")
    starts_at = now + max(starts_in, assignment.propagation_time + assignment.clock_skew)
    stages = (durations.warm_up, durations.shift, durations.drain)
    migration = Migration(name, tenants, source, target, starts_at, *stages)
    changed = _with_migration(assignment, migration)
    # An explicit cell keeps the hash from placing the tenants elsewhere during the migration.
    return _with_cell(changed, tenants, source)


def _common_home(assignment: Assignment, tenants: tuple[str, ...]) -> str:
    """Return the home cell that all tenants share.

    Raises:
        EditRejectedError: If a tenant does not exist or has a migration, even a completed one, or
            if the home cells differ.
    """
    homes = home_cells(assignment)
    for tenant in tenants:
        if tenant not in assignment.tenants:
            raise EditRejectedError(f"tenant {tenant} does not exist")
        if (migration := migration_of(assignment, tenant)) is not None:
            raise EditRejectedError(
                f"tenant {tenant} is already moved by {migration.name}; abort or end this move"
            )
    sources = {homes[tenant] for tenant in tenants}
    if len(sources) != 1:
        raise EditRejectedError(
            "the tenants of a move must be in one cell, but are in " + ", ".join(sorted(sources))
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
    """Return the durations of the stages, with the shortest shift that the caches can serve.

    Raises:
        EditRejectedError: If the receiving caches cannot serve the tenants at all.
    """
    shift = migrations.min_shift_duration(demand)
    if shift is None:
        load = demand.load + demand.rate
        capacity = migrations.TARGET_UTILIZATION * demand.capacity
        raise EditRejectedError(
            f"the receiving caches cannot serve these tenants even when warm: {load:.0f} "
            f"of {capacity:.0f} hits per second, in addition to misses"
        )
    return StageDurations(warm_up, float(round(shift)), drain)


def rejection_reason(old: Assignment, new: Assignment) -> str:
    """Return why a new version must not replace an old one; empty if it may.

    It must not if it has a lower version number, or the same number but another content.
    """
    is_older = new.version < old.version
    is_same_version_changed = new.version == old.version and new != old
    if is_older or is_same_version_changed:
        return (
            f"assignment kept at version {old.version}: the file holds version {new.version}, "
            "which is no later one"
        )
    return ""


def migration_of(assignment: Assignment, tenant: str) -> Migration | None:
    """Return the migration of a tenant; None if the assignment has none.

    A migration that is done or rolled back is returned too, until operators remove it.
    """
    for migration in assignment.migrations.values():
        if tenant in migration.tenants:
            return migration
    return None


def _required_migration(assignment: Assignment, name: str) -> Migration:
    if name not in assignment.migrations:
        raise EditRejectedError(
            f"move {name} does not exist; "
            f"existing moves: {', '.join(assignment.migrations) or 'none'}"
        )
    return assignment.migrations[name]


def _effective_at(assignment: Assignment, migration: Migration, now: float) -> float:
    """Return the earliest time at which a change written now can take effect.

    This is the time when all directors have read the file, but not before the migration starts.
    """
    return max(migration.starts_at, now + assignment.propagation_time + assignment.clock_skew)


def pause_migration(assignment: Assignment, name: str, now: float) -> Assignment:
    """Pause a migration; from the pause on, its migrated fraction stays the same until it resumes.

    Raises:
        EditRejectedError: If the migration does not exist, is aborted or already paused, is about
            to be resumed, or is done before the pause can take effect.
    """
    migration = _required_migration(assignment, name)
    pauses_at = _effective_at(assignment, migration, now)
    if migration.aborted_at:
        raise EditRejectedError(f"move {name} is aborted")
    if migration.paused_at and not migration.resumed_at:
        raise EditRejectedError(f"move {name} is already held")
    if migration.paused_at and now < migration.resumed_at:
        wait = migration.resumed_at - now
        raise EditRejectedError(f"move {name} is about to be resumed; wait {wait:.0f} ms")
    if migration.paused_at:
        # A migration stores only one pause, so an earlier pause is stored as a later start.
        starts_at = migration.starts_at + migration.resumed_at - migration.paused_at
        migration = replace(migration, starts_at=starts_at, resumed_at=0.0)
    running = replace(migration, paused_at=0.0)
    if migrations.stage_at(running, pauses_at) == migrations.MigrationStage.DONE:
        raise EditRejectedError(f"move {name} will be done before it can be held")
    return _with_migration(assignment, replace(migration, paused_at=pauses_at))


def resume_migration(assignment: Assignment, name: str, now: float) -> Assignment:
    """Resume a paused migration.

    Raises:
        EditRejectedError: If the migration does not exist, is not paused or is aborted, or if its
            resumption is already set.
    """
    migration = _required_migration(assignment, name)
    if not migration.paused_at or migration.resumed_at or migration.aborted_at:
        raise EditRejectedError(f"move {name} is not held")
    resumes_at = max(migration.paused_at, _effective_at(assignment, migration, now))
    return _with_migration(assignment, replace(migration, resumed_at=resumes_at))


def abort_migration(assignment: Assignment, name: str, now: float) -> Assignment:
    """Abort a migration; its objects return to the source cell.

    A migration that starts only after all directors have read the new version is removed instead.

    Raises:
        EditRejectedError: If the migration does not exist, is already aborted, or is done before
            the abort can take effect.
    """
    migration = _required_migration(assignment, name)
    if migration.aborted_at:
        raise EditRejectedError(f"move {name} is already aborted")
    if now + assignment.propagation_time + assignment.clock_skew < migration.starts_at:
        others = {key: other for key, other in assignment.migrations.items() if key != name}
        return replace(assignment, migrations=others)
    aborts_at = _effective_at(assignment, migration, now)
    if migrations.stage_at(migration, aborts_at) == migrations.MigrationStage.DONE:
        raise EditRejectedError(
            f"move {name} will be done before it can be aborted; "
            f"move the tenants back to {migration.source}"
        )
    return _with_migration(assignment, replace(migration, aborted_at=aborts_at))


def end_migrations(assignment: Assignment, now: float) -> tuple[Assignment, list[str]]:
    """Remove the migrations that are done or rolled back, once no client's retry depends on them.

    The entries of their tenants then name the cell in which the migration ended.

    Returns:
        The new version, and the names of the removed migrations.
    """
    grace = assignment.retry_horizon + assignment.propagation_time + assignment.clock_skew
    ended: list[str] = []
    remaining: dict[str, Migration] = {}
    changed = assignment
    for name, migration in assignment.migrations.items():
        ends_at = migrations.ends_at(migration)
        if ends_at is None or now < ends_at + grace:
            remaining[name] = migration
            continue
        ended.append(name)
        cell = migration.source if migration.aborted_at else migration.target
        changed = _with_cell(changed, migration.tenants, cell)
    return replace(changed, migrations=remaining), ended


def start_rollout(assignment: Assignment, rollout: Rollout) -> Assignment:
    """Add a rollout; whether its cells exist is checked only when the new version is saved.

    Raises:
        EditRejectedError: If a rollout of this name exists.
    """
    if rollout.name in assignment.rollouts:
        raise EditRejectedError(f"release {rollout.name} already exists")
    return replace(assignment, rollouts=assignment.rollouts | {rollout.name: rollout})


def roll_back(assignment: Assignment, name: str) -> Assignment:
    """Roll back a rollout in all cells; it stays in the assignment.

    Raises:
        EditRejectedError: If no rollout of this name exists.
    """
    if name not in assignment.rollouts:
        raise EditRejectedError(
            f"release {name} does not exist; "
            f"existing releases: {', '.join(assignment.rollouts) or 'none'}"
        )
    rolled_back = replace(assignment.rollouts[name], is_rolled_back=True)
    return replace(assignment, rollouts=assignment.rollouts | {name: rolled_back})


def adopt_rollout(assignment: Assignment, name: str) -> Assignment:
    """Copy a rollout's limits to the tenants whose home is one of its cells; remove the rollout.

    If the rollout sets the number of caches per tenant, this number is copied to its cells. The
    cells of waves that have not started count too.

    Raises:
        EditRejectedError: If no rollout of this name exists, or if operators have rolled it back.
    """
    if name not in assignment.rollouts or assignment.rollouts[name].is_rolled_back:
        raise EditRejectedError(f"release {name} does not exist or was rolled back")
    rollout = assignment.rollouts[name]
    homes = home_cells(assignment)
    rollout_cells = {rollout.canary, *(cell for wave in rollout.waves for cell in wave)}
    tenants = {
        key: replace(tenant, limits=rollout.limits) if homes.get(key) in rollout_cells else tenant
        for key, tenant in assignment.tenants.items()
    }
    cells = assignment.cells
    if rollout.shuffle_shards >= 0:
        shards = rollout.shuffle_shards
        cells = {
            key: replace(cell, shuffle_shards=shards) if key in rollout_cells else cell
            for key, cell in cells.items()
        }
    others = {key: other for key, other in assignment.rollouts.items() if key != name}
    return replace(assignment, rollouts=others, tenants=tenants, cells=cells)

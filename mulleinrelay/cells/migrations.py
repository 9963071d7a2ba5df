"""The stages of a migration, which moves the objects of some tenants from one cell to another.

The stages are computed from the assignment and the time only:

    planned -> warm -> shift -> drain -> done
    warm, shift or drain, after an abort: back -> aborted

The migrated fraction is the fraction of these objects that belong to the target cell now. It rises
slowly to `warm_up_fraction` during the warm-up, and to 1 during the shift. Objects migrate one by
one in the order of their hash. A migrated object therefore stays migrated unless the migration is
aborted, and directors whose clocks differ slightly disagree about a few objects only.

Until the migration is done, the source cell's caches fill misses of the target cell's caches as
sibling caches. They also serve requests that cannot be sent to the target cell's caches. After an
abort, the fraction falls only about as fast as it rises during the shift, because the source cell's
caches may have dropped objects in the meantime.

No I/O and no clock: the time is an argument.
"""

from dataclasses import dataclass
from enum import StrEnum

from .hashing import HASH_RANGE, combine_hashes
from .model import Migration

# Salt of the hash that determines the order in which objects migrate. Without the salt, the objects
# that a cache ranks first by hash would migrate first.
MIGRATION_SALT = 0x6D6F7665
# Maximum load of the receiving caches (those of the target cell) during a migration, as a fraction
# of their capacity. The rest is a reserve: by chance and uneven hashing, some caches get 1.5 times
# the mean load for a second.
TARGET_UTILIZATION = 0.65
MIN_SHIFT_DURATION = 2_000.0  # ms
PROJECTION_STEPS = 2_000  # points in time for which the load is projected
PROJECTION_MARGIN = 1_000.0  # ms after the shift that the projection includes
MIN_DIVISOR = 1e-9  # avoids a division by zero
SAME_FRACTION = 1e-9  # migrated fractions that differ by less are considered equal


class MigrationStage(StrEnum):
    """The stage of a migration; the values appear in logs, records and the output of commands."""

    PLANNED = "planned"
    WARM_UP = "warm"
    SHIFT = "shift"
    DRAIN = "drain"
    DONE = "done"
    ROLLING_BACK = "back"
    ABORTED = "aborted"


@dataclass(slots=True, frozen=True)
class MigrationDemand:
    """The demand of a migration on the receiving caches.

    Attributes:
        rate: Requests per second of the migrating tenants.
        load: Present load of the receiving caches, in hits per second.
        capacity: Capacity of all receiving caches together, in hits per second.
        fill_cost: Cost of a fill, as a multiple of the cost of a hit.
        hit_ratio: Hit ratio once the caches are warm, 0 to 1.
        object_count: Number of objects that the migrating tenants request.
    """

    rate: float
    load: float
    capacity: float
    fill_cost: float
    hit_ratio: float
    object_count: float


@dataclass(slots=True, frozen=True)
class ProjectedLoad:
    """The projected load of the receiving caches at one point in time of a migration.

    Attributes:
        elapsed: Time since the start of the migration, ms.
        fraction: Migrated fraction, 0 to 1.
        utilization: Load divided by the capacity; more than 1 if the caches are overloaded.
    """

    elapsed: float
    fraction: float
    utilization: float


def _planned_fraction(migration: Migration, now: float) -> float:
    """Return the migrated fraction at `now`, ignoring pauses and aborts."""
    elapsed = now - migration.starts_at
    if elapsed <= 0.0:
        return 0.0
    if elapsed < migration.warm_up_duration:
        return migration.warm_up_fraction * elapsed / migration.warm_up_duration
    warm_fraction = migration.warm_up_fraction if migration.warm_up_duration > 0.0 else 0.0
    elapsed -= migration.warm_up_duration
    if elapsed >= migration.shift_duration:
        return 1.0
    return warm_fraction + (1.0 - warm_fraction) * elapsed / migration.shift_duration


def _migration_time(migration: Migration, now: float) -> float:
    """Return the time on the migration's own clock, which stops during a pause."""
    if not migration.paused_at or now < migration.paused_at:
        return now
    if not migration.resumed_at or now < migration.resumed_at:
        return migration.paused_at
    return now - (migration.resumed_at - migration.paused_at)


def _rollback_duration(migration: Migration) -> float:
    return max(migration.shift_duration, 1.0)


def migrated_fraction(migration: Migration, now: float) -> float:
    """Return the fraction of the objects that belong to the target cell at `now`, 0 to 1."""
    if not migration.aborted_at or now < migration.aborted_at:
        return _planned_fraction(migration, _migration_time(migration, now))
    reached = _planned_fraction(migration, _migration_time(migration, migration.aborted_at))
    return max(0.0, reached - (now - migration.aborted_at) / _rollback_duration(migration))


def completes_at(migration: Migration) -> float:
    """Return the time at which the migration is done if it is neither paused nor aborted."""
    return (
        migration.starts_at
        + migration.warm_up_duration
        + migration.shift_duration
        + migration.drain_duration
    )


def ends_at(migration: Migration) -> float | None:
    """Return the time at which the migration is done or rolled back.

    The time is None if a pause keeps the migration from completing and no resumption is set.
    """
    if migration.aborted_at:
        reached = migrated_fraction(migration, migration.aborted_at)
        return migration.aborted_at + reached * _rollback_duration(migration)
    if not migration.paused_at or completes_at(migration) <= migration.paused_at:
        return completes_at(migration)
    if not migration.resumed_at:
        return None
    return completes_at(migration) + migration.resumed_at - migration.paused_at


def is_equivalent(first: Migration, second: Migration, now: float) -> bool:
    """Return whether two versions of a migration place each object in the same cell now.

    The tenants, cells, durations and the warm-up fraction must be equal too. Names, starts, pauses
    and aborts may differ, and with them the future courses.
    """
    return (
        first.tenants == second.tenants
        and first.source == second.source
        and first.target == second.target
        and first.warm_up_duration == second.warm_up_duration
        and first.shift_duration == second.shift_duration
        and first.drain_duration == second.drain_duration
        and first.warm_up_fraction == second.warm_up_fraction
        and abs(migrated_fraction(first, now) - migrated_fraction(second, now)) < SAME_FRACTION
    )


def stage_at(migration: Migration, now: float) -> MigrationStage:
    """Return the stage of a migration at a point in time."""
    if migration.aborted_at and now >= migration.aborted_at:
        if _migration_time(migration, migration.aborted_at) >= completes_at(migration):
            # The migration was done before the abort, so its stage stays `DONE`. Operators cannot
            # write such an abort with `edits.abort_migration`, because only another migration is to
            # return the tenants to the source cell. `migrated_fraction` does not ignore the abort.
            return MigrationStage.DONE
        if migrated_fraction(migration, now) > 0.0:
            return MigrationStage.ROLLING_BACK
        return MigrationStage.ABORTED
    remaining = _migration_time(migration, now) - migration.starts_at
    for stage, duration in (
        (MigrationStage.PLANNED, 0.0),
        (MigrationStage.WARM_UP, migration.warm_up_duration),
        (MigrationStage.SHIFT, migration.shift_duration),
        (MigrationStage.DRAIN, migration.drain_duration),
    ):
        remaining -= duration
        if remaining < 0.0:
            return stage
    return MigrationStage.DONE


def is_migrated(migration: Migration, key: int, fraction: float) -> bool:
    """Return whether an object belongs to the target cell at a given migrated fraction.

    Args:
        migration: The migration. It is not used: objects migrate in the same order in all
            migrations.
        key: Object id.
        fraction: Migrated fraction.
    """
    return combine_hashes(key, MIGRATION_SALT) / HASH_RANGE < fraction


def is_in_progress(migration: Migration, now: float) -> bool:
    """Return whether the migration has started and is neither done nor rolled back.

    Both of its cells serve its tenants during this time.
    """
    return stage_at(migration, now) not in (
        MigrationStage.PLANNED,
        MigrationStage.DONE,
        MigrationStage.ABORTED,
    )


def max_published_fraction(migration: Migration, now: float) -> float:
    """Return the largest migrated fraction up to now in all versions with this migration's start.

    Versions with a pause or an abort have no larger ones. Versions with an earlier start are not
    considered; `edits.pause_migration` replaces the start by a later one at a second pause.
    """
    return _planned_fraction(migration, now)


def project_load(migration: Migration, demand: MigrationDemand) -> list[ProjectedLoad]:
    """Return the load of the receiving caches, from the start until shortly after the shift.

    A migrated object is filled when it is first requested in the target cell, so this request is
    a miss. All other requests have the usual hit ratio.
    """
    duration = migration.warm_up_duration + migration.shift_duration + PROJECTION_MARGIN
    step = max(1.0, duration / PROJECTION_STEPS)
    projected: list[ProjectedLoad] = []
    missing_objects = 0.0
    previous_fraction = 0.0
    elapsed = 0.0
    while elapsed <= duration:
        fraction = migrated_fraction(migration, migration.starts_at + elapsed)
        missing_objects += max(0.0, fraction - previous_fraction) * demand.object_count
        rate = demand.rate * fraction
        migrated_objects = max(fraction * demand.object_count, MIN_DIVISOR)
        first_requests = rate * min(1.0, missing_objects / migrated_objects)
        fills = first_requests + (rate - first_requests) * (1.0 - demand.hit_ratio)
        load = demand.load + rate + fills * (demand.fill_cost - 1.0)
        projected.append(ProjectedLoad(elapsed, fraction, load / demand.capacity))
        missing_objects = max(0.0, missing_objects - first_requests * step / 1_000.0)
        previous_fraction = fraction
        elapsed += step
    return projected


def min_shift_duration(demand: MigrationDemand) -> float | None:
    """Return the shortest shift (ms) that keeps the load within `TARGET_UTILIZATION`.

    The load is highest at the end of the shift, when all requests go to the receiving caches and
    the last objects still have to be filled.

    Returns:
        The duration, at least `MIN_SHIFT_DURATION`; None if the caches cannot serve the tenants
        even when they are warm.
    """
    spare = TARGET_UTILIZATION * demand.capacity - demand.load - demand.rate
    usual_fills = demand.rate * (1.0 - demand.hit_ratio)
    fills = spare / max(demand.fill_cost - 1.0, MIN_DIVISOR) - usual_fills
    if fills <= 0.0:
        return None
    return max(MIN_SHIFT_DURATION, 1000.0 * demand.object_count / fills)

"""The course of a migration, from the assignment and the clock alone; pure.

    planned -> warm -> shift -> drain -> done
    warm, shift or drain, once aborted: back -> aborted

In the warm-up the migrated fraction rises slowly to `warm_up_fraction`, in the shift to 1. Objects
migrate one by one in the order of their hash, so that directors whose clocks differ a little differ
in a few objects only, and a migrated object stays migrated. Until the migration is done the old
cell's caches fill misses as siblings, and serve what the new ones may not be sent. After an abort
the fraction falls as fast as it rose in the shift, as old caches may have dropped their objects.
"""

from dataclasses import dataclass
from enum import StrEnum

from .hashing import HASH_RANGE, combine_hashes
from .model import Migration

# Without it the first objects to migrate would be those that a cache ranks first by hash.
MIGRATION_SALT = 0x6D6F7665
# Fraction of the receiving caches' capacity that a migration may use: chance and an uneven hash
# bring some of them half as much again for a second.
TARGET_UTILIZATION = 0.65
MIN_SHIFT_DURATION = 2_000.0  # ms
PROJECTION_STEPS = 2_000  # points in time at which a load is projected
PROJECTION_MARGIN = 1_000.0  # ms after the shift that are projected too
MIN_DIVISOR = 1e-9  # in place of 0
SAME_FRACTION = 1e-9  # migrated fractions that differ by less are equal


class MigrationStage(StrEnum):
    """Where a migration is; the values are words of the assignment file and of `--json`."""

    PLANNED = "planned"
    WARM_UP = "warm"
    SHIFT = "shift"
    DRAIN = "drain"
    DONE = "done"
    ROLLING_BACK = "back"
    ABORTED = "aborted"


@dataclass(slots=True, frozen=True)
class MigrationDemand:
    """What a migration demands of the receiving caches.

    Attributes:
        rate: Requests a second of the tenants.
        load: What the caches do already, in hits a second.
        capacity: What they can do together, in hits a second.
        fill_cost: Cost of a fill in hits.
        hit_ratio: Fraction of hits once the caches are warm.
        object_count: Objects that the tenants ask for.
    """

    rate: float
    load: float
    capacity: float
    fill_cost: float
    hit_ratio: float
    object_count: float


@dataclass(slots=True, frozen=True)
class ProjectedLoad:
    """The load of the receiving caches at one time of a migration.

    Attributes:
        elapsed: Milliseconds since the start.
        fraction: The migrated fraction.
        utilization: The load over the capacity.
    """

    elapsed: float
    fraction: float
    utilization: float


def _planned_fraction(migration: Migration, now: float) -> float:
    """Returns the migrated fraction as if nothing paused or aborted the migration."""
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


def _without_pause(migration: Migration, now: float) -> float:
    """Returns the time by the migration's own clock, which stands still in a pause."""
    if not migration.paused_at or now < migration.paused_at:
        return now
    if not migration.resumed_at or now < migration.resumed_at:
        return migration.paused_at
    return now - (migration.resumed_at - migration.paused_at)


def _rollback_duration(migration: Migration) -> float:
    return max(migration.shift_duration, 1.0)


def migrated_fraction(migration: Migration, now: float) -> float:
    """Returns the fraction of objects that belong to the new cell, 0 to 1."""
    if not migration.aborted_at or now < migration.aborted_at:
        return _planned_fraction(migration, _without_pause(migration, now))
    reached = _planned_fraction(migration, _without_pause(migration, migration.aborted_at))
    return max(0.0, reached - (now - migration.aborted_at) / _rollback_duration(migration))


def completes_at(migration: Migration) -> float:
    """Returns when the migration is done, by its own clock."""
    return (
        migration.starts_at
        + migration.warm_up_duration
        + migration.shift_duration
        + migration.drain_duration
    )


def ended_at(migration: Migration) -> float | None:
    """Returns when all is done or has gone back; None while it is paused."""
    if migration.aborted_at:
        reached = migrated_fraction(migration, migration.aborted_at)
        return migration.aborted_at + reached * _rollback_duration(migration)
    if not migration.paused_at or completes_at(migration) <= migration.paused_at:
        return completes_at(migration)
    if not migration.resumed_at:
        return None
    return completes_at(migration) + migration.resumed_at - migration.paused_at


def is_equivalent(first: Migration, second: Migration, now: float) -> bool:
    """Returns whether both are one migration at one point now; its future may differ."""
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
    """Returns the stage at a time."""
    if migration.aborted_at and now >= migration.aborted_at:
        if _without_pause(migration, migration.aborted_at) >= completes_at(migration):
            # Too late for an abort; another migration takes the tenants back.
            return MigrationStage.DONE
        if migrated_fraction(migration, now) > 0.0:
            return MigrationStage.ROLLING_BACK
        return MigrationStage.ABORTED
    remaining = _without_pause(migration, now) - migration.starts_at
    for stage_at, duration in (
        (MigrationStage.PLANNED, 0.0),
        (MigrationStage.WARM_UP, migration.warm_up_duration),
        (MigrationStage.SHIFT, migration.shift_duration),
        (MigrationStage.DRAIN, migration.drain_duration),
    ):
        remaining -= duration
        if remaining < 0.0:
            return stage_at
    return MigrationStage.DONE


def is_migrated(migration: Migration, key: int, fraction: float) -> bool:
    """Returns whether an object belongs to the new cell at a migrated fraction.

    Args:
        migration: Every one has the same order of objects.
        key: The object.
        fraction: The migrated fraction.
    """
    return combine_hashes(key, MIGRATION_SALT) / HASH_RANGE < fraction


def is_in_progress(migration: Migration, now: float) -> bool:
    """Returns whether both cells take part in it."""
    return stage_at(migration, now) not in (
        MigrationStage.PLANNED,
        MigrationStage.DONE,
        MigrationStage.ABORTED,
    )


def max_published_fraction(migration: Migration, now: float) -> float:
    """Returns the largest migrated fraction that any version of the file has had up to now."""
    return _planned_fraction(migration, now)


def project_load(migration: Migration, demand: MigrationDemand) -> list[ProjectedLoad]:
    """Returns the load of the receiving caches along the course of a migration.

    An object is filled when it is first requested in its new cell, so objects that migrated at once
    are filled as fast as requests find them; the others have the usual hit ratio.
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
    """Returns the shortest shift (ms) that keeps the receiving caches under their target.

    At its end all requests come and the last objects are new. None: the caches cannot serve the
    tenants even when they are warm.
    """
    spare = TARGET_UTILIZATION * demand.capacity - demand.load - demand.rate
    usual_fills = demand.rate * (1.0 - demand.hit_ratio)
    fills = spare / max(demand.fill_cost - 1.0, MIN_DIVISOR) - usual_fills
    if fills <= 0.0:
        return None
    return max(MIN_SHIFT_DURATION, 1000.0 * demand.object_count / fills)

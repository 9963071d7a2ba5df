"""The course of a move: what share of its tenants' objects has gone over, from the file and the
clock alone.

    planned -> warm -> shift -> drain -> done          abort from warm, shift or drain: back ->
    aborted

In `warm` the share rises slowly to `warm_share`, in `shift` to 1. Objects go one by one in the
order of their hash, so that directors whose clocks differ by a little differ in a few objects only,
and what has gone over stays over. The old cell's caches fill misses as siblings until `done`, and
take what the new ones may not be sent. On the way back the share falls as fast as it rose in
`shift`, as the old caches may have dropped what they held.
"""

from dataclasses import dataclass
from enum import StrEnum

from .hashing import HASH_RANGE, combine_hashes
from .model import Migration

MIGRATION_SALT = (
    0x6D6F7665  # so that the objects that go first are not those that a cache ranks first
)
TARGET_UTILIZATION = (
    0.65  # part of the receiving caches' capacity that a move may fill: chance and an uneven hash
)
# bring some of them half as much again for a second
MIN_SHIFT_DURATION = 2_000.0


class MigrationStage(StrEnum):
    PLANNED = "planned"
    WARM_UP = "warm"
    SHIFT = "shift"
    DRAIN = "drain"
    DONE = "done"
    ROLLING_BACK = "back"
    ABORTED = "aborted"


@dataclass(slots=True, frozen=True)
class MigrationDemand:
    """What the receiving caches see of a move: requests a second, their present load and capacity
    together in the same unit, what a fill costs beside a hit (1), the share of hits once warm, and
    the objects asked for.
    """

    rate: float
    load: float
    capacity: float
    fill_cost: float
    hit_ratio: float
    object_count: float


def _rises(move: Migration, now: float) -> float:
    """The share while nothing holds or aborts it."""
    since = now - move.starts_at
    if since <= 0.0:
        return 0.0
    if since < move.warm_up_duration:
        return move.warm_up_fraction * since / move.warm_up_duration
    warmed = move.warm_up_fraction if move.warm_up_duration > 0.0 else 0.0
    since -= move.warm_up_duration
    return (
        warmed + (1.0 - warmed) * since / move.shift_duration
        if since < move.shift_duration
        else 1.0
    )


def _frozen(move: Migration, now: float) -> float:
    """The time by the move's own clock, which stands while it is held."""
    if not move.paused_at or now < move.paused_at:
        return now
    if not move.resumed_at or now < move.resumed_at:
        return move.paused_at
    return now - (move.resumed_at - move.paused_at)


def _back_for(move: Migration) -> float:
    return max(move.shift_duration, 1.0)


def migrated_fraction(move: Migration, now: float) -> float:
    """The share of objects that stand in the new cell, 0 to 1."""
    if not move.aborted_at or now < move.aborted_at:
        return _rises(move, _frozen(move, now))
    reached = _rises(move, _frozen(move, move.aborted_at))
    return max(0.0, reached - (now - move.aborted_at) / _back_for(move))


def completes_at(move: Migration) -> float:
    """When it is done, by its own clock."""
    return move.starts_at + move.warm_up_duration + move.shift_duration + move.drain_duration


def ended_at(move: Migration) -> float | None:
    """When it is done or all has gone back; None: held."""
    if move.aborted_at:
        return move.aborted_at + migrated_fraction(move, move.aborted_at) * _back_for(move)
    if not move.paused_at or completes_at(move) <= move.paused_at:
        return completes_at(move)
    return completes_at(move) + move.resumed_at - move.paused_at if move.resumed_at else None


def is_same_course(one: Migration, other: Migration, now: float) -> bool:
    """Whether both are the same move, at the same point now; what is still to come may differ."""
    alike = (
        "tenants",
        "source",
        "target",
        "warm_up_duration",
        "shift_duration",
        "drain_duration",
        "warm_up_fraction",
    )
    return (
        all(getattr(one, name) == getattr(other, name) for name in alike)
        and abs(migrated_fraction(one, now) - migrated_fraction(other, now)) < 1e-9
    )


def stage_at(move: Migration, now: float) -> MigrationStage:
    if move.aborted_at and now >= move.aborted_at:
        if _frozen(move, move.aborted_at) >= completes_at(move):
            return (
                MigrationStage.DONE
            )  # too late to go back by an abort; a new move takes them back
        return (
            MigrationStage.ROLLING_BACK
            if migrated_fraction(move, now) > 0.0
            else MigrationStage.ABORTED
        )
    at = _frozen(move, now) - move.starts_at
    for name, span in (
        (MigrationStage.PLANNED, 0.0),
        (MigrationStage.WARM_UP, move.warm_up_duration),
        (MigrationStage.SHIFT, move.shift_duration),
        (MigrationStage.DRAIN, move.drain_duration),
    ):
        at -= span
        if at < 0.0:
            return name
    return MigrationStage.DONE


def is_migrated(move: Migration, key: int, share: float) -> bool:
    """Whether an object stands in the new cell when that share has gone over."""
    return combine_hashes(key, MIGRATION_SALT) / HASH_RANGE < share


def is_in_progress(move: Migration, now: float) -> bool:
    """Whether both cells still have a part in it."""
    return stage_at(move, now) not in (
        MigrationStage.PLANNED,
        MigrationStage.DONE,
        MigrationStage.ABORTED,
    )


def max_published_fraction(move: Migration, now: float) -> float:
    """The largest share that any version of the move has had up to now."""
    return _rises(move, now)


def project_load(move: Migration, demand: MigrationDemand) -> list[tuple[float, float, float]]:
    """(ms from the start, share over, load on the receiving caches over their capacity) along the
    course. An object is filled when it is first looked up in its new place, so those that came at
    once are filled as fast as requests find them; of what is there, the usual share is.
    """
    span = move.warm_up_duration + move.shift_duration + 1_000.0
    step = max(1.0, span / 2_000.0)
    found, lacking, before, at = [], 0.0, 0.0, 0.0
    while at <= span:
        share = migrated_fraction(move, move.starts_at + at)
        lacking += max(0.0, share - before) * demand.object_count
        rate, part = demand.rate * share, lacking / max(share * demand.object_count, 1e-9)
        first = rate * min(1.0, part)
        fills = first + (rate - first) * (1.0 - demand.hit_ratio)
        load = demand.load + rate + fills * (demand.fill_cost - 1.0)
        found.append((at, share, load / demand.capacity))
        lacking = max(0.0, lacking - first * step / 1_000.0)
        before, at = share, at + step
    return found


def min_shift_duration(demand: MigrationDemand) -> float | None:
    """The shortest shift (ms) that keeps the receiving caches under HEAD_ROOM; None: they can't
    bear the tenants even when warm. At the end all requests come and the last objects are new.
    """
    room = TARGET_UTILIZATION * demand.capacity - demand.load - demand.rate
    fills = room / max(demand.fill_cost - 1.0, 1e-9) - demand.rate * (1.0 - demand.hit_ratio)
    if fills <= 0.0:
        return None
    return max(MIN_SHIFT_DURATION, 1000.0 * demand.object_count / fills)

"""New limits by waves: one canary cell, then the others, halted and taken back where the cell
suffers by them.

Each director judges from its own requests. A cell with the release is set against its own past, and
that difference against the same difference of the cells without it: what strikes both is no fault
of the release, and halts it without taking it back. So does a fall in the last wave, with no cell
left to compare with: staff decide.
"""

from dataclasses import dataclass, field
from enum import StrEnum

from .model import Limits, Rollout

SEEN_LEAST = 30.0  # requests of a side before it tells anything
HALVING = 10_000.0
SETTLES = 1_000.0  # ms after a wave's start that count for nothing
GRACE = 2.0  # z of the difference of shares, so that chance takes nothing back


class RolloutPhase(StrEnum):
    WAITING = "waiting"
    CANARY = "canary"
    WAVES = "waves"
    EVERYWHERE = "everywhere"
    HALTED = "halted"
    ROLLED_BACK = "taken back"


@dataclass(slots=True, eq=False)
class CellStatistics:
    """Requests of one cell in one time: served, all, and the delays of the served (sum of ms)."""

    served: float = 0.0
    total: float = 0.0
    total_delay: float = 0.0
    halves_at: float = 0.0

    def add(self, now: float, good: bool, delay: float) -> None:
        if now >= self.halves_at:
            if self.halves_at:
                part = 0.5 ** min(30, 1 + int((now - self.halves_at) / HALVING))
                self.served, self.total, self.total_delay = (
                    self.served * part,
                    self.total * part,
                    self.total_delay * part,
                )
            self.halves_at = now + HALVING
        self.total += 1.0
        if good:
            self.served += 1.0
            self.total_delay += delay

    def success_rate(self) -> float:
        return self.served / self.total if self.total else 1.0

    def mean_delay(self) -> float:
        return self.total_delay / self.served if self.served else 0.0

    def copy(self) -> "CellStatistics":
        return CellStatistics(self.served, self.total, self.total_delay, self.halves_at)


@dataclass(slots=True, eq=False)
class RolloutState:
    """One release at this director."""

    rollout: Rollout
    current: dict[str, CellStatistics] = field(default_factory=dict)  # by cell
    before_rollout: dict[str, CellStatistics] = field(
        default_factory=dict
    )  # as it was when the release reached the cell
    reached_at: dict[str, float] = field(default_factory=dict)  # when it did
    baseline: dict[str, CellStatistics] = field(
        default_factory=dict
    )  # of all cells, when the release began
    wave: int = -1  # -1: not begun; 0: canary; then the waves
    wave_started_at: float = 0.0
    is_halted: bool = False
    rollback_reason: str = ""  # why

    def groups(self) -> list[tuple[str, ...]]:
        return [(self.rollout.canary,), *self.rollout.waves]

    def reached_cells(self) -> list[str]:
        return [cell for group in self.groups()[: self.wave + 1] for cell in group]

    def is_in_force(self, cell: str) -> bool:
        return not self.rollback_reason and cell in self.reached_at

    def phase(self) -> RolloutPhase:
        if self.rollback_reason:
            return RolloutPhase.ROLLED_BACK
        if self.wave < 0:
            return RolloutPhase.WAITING
        if self.is_halted:
            return RolloutPhase.HALTED
        if self.wave >= len(self.rollout.waves):
            return RolloutPhase.EVERYWHERE
        return RolloutPhase.CANARY if self.wave == 0 else RolloutPhase.WAVES

    def record(self, now: float, cell: str, good: bool, delay: float) -> None:
        if self.wave >= 0 and now < self.wave_started_at + SETTLES:
            return
        self.current.setdefault(cell, CellStatistics()).add(now, good, delay)

    def advance(self, now: float) -> str:
        """Goes on, halts or takes back; gives a word where its phase changed. Call it some times a
        second.
        """
        before = self.phase()
        if self.rollout.is_rolled_back and not self.rollback_reason:
            self.rollback_reason = "by staff"
        elif not self.rollback_reason and now >= self.rollout.starts_at:
            if self.wave < 0:
                self._reach(now, 0)
            else:
                self._judge(now)
        after = self.phase()
        return (
            after.value
            + (f" ({self.rollback_reason})" if after == RolloutPhase.ROLLED_BACK else "")
            if after != before
            else ""
        )

    def _reach(self, now: float, wave: int) -> None:
        """What is set side by side is counted from here on, at all cells alike."""
        if wave == 0:
            self.baseline = {cell: record.copy() for cell, record in self.current.items()}
        self.wave, self.wave_started_at = wave, now
        for cell in self.groups()[wave]:
            seen = self.current.get(cell, CellStatistics())
            self.before_rollout[cell] = (
                seen if seen.total >= SEEN_LEAST else self.baseline.get(cell, CellStatistics())
            )
            self.reached_at[cell] = now
        self.current = {}

    def _judge(self, now: float) -> None:
        if (
            self.wave >= len(self.rollout.waves)
            and now >= self.wave_started_at + self.rollout.wave_duration
        ):
            self.is_halted = (
                False  # it has proven itself everywhere; what comes now is not its doing
            )
            return
        verdict = self._compare()
        if verdict == "worse":
            self.rollback_reason = "worse than its past and than the cells without it"
        self.is_halted = verdict == "both"
        last = self.wave >= len(self.rollout.waves)
        if (
            verdict == "well"
            and not last
            and now >= self.wave_started_at + self.rollout.wave_duration
        ):
            self._reach(now, self.wave + 1)

    def _compare(self) -> str:
        """well | worse | both | unclear"""
        reached = self.reached_cells()
        with_it = _sum([self.current.get(cell) for cell in reached])
        its_past = _sum([self.before_rollout.get(cell) for cell in reached])
        others = [cell for cell in self.baseline if cell not in reached]
        without = _sum([self.current.get(cell) for cell in others])
        their_past = _sum([self.baseline.get(cell) for cell in others])
        if with_it.total < SEEN_LEAST or its_past.total < SEEN_LEAST:
            return "unclear"
        fell, slower = _change(its_past, with_it)
        told = without.total >= SEEN_LEAST and their_past.total >= SEEN_LEAST
        others_fell, others_slower = (
            _change(their_past, without) if told else (1.0, 1e9)
        )  # told from nothing
        noise = (
            GRACE
            * _deviation(its_past, with_it)
            * (1.0 / with_it.total + 1.0 / its_past.total) ** 0.5
        )
        bound = self.rollout.max_success_drop + noise
        beyond = slower / max(1.0, others_slower)
        if fell - max(0.0, others_fell) > bound or beyond > self.rollout.max_slowdown:
            return "worse"
        if fell > bound or slower > self.rollout.max_slowdown:
            return "both"
        return "well"


def _sum(records: list[CellStatistics | None]) -> CellStatistics:
    held = [record for record in records if record is not None]
    return CellStatistics(
        sum(r.served for r in held), sum(r.total for r in held), sum(r.total_delay for r in held)
    )


def _change(past: CellStatistics, now: CellStatistics) -> tuple[float, float]:
    """How far the served share fell, and by how much the delay rose (with 5 ms put in against
    noise).
    """
    slower = (
        (now.mean_delay() + 5.0) / (past.mean_delay() + 5.0) if past.served and now.served else 1.0
    )
    return past.success_rate() - now.success_rate(), slower


def _deviation(one: CellStatistics, other: CellStatistics) -> float:
    """The standard deviation of the share of both together, 0.5 at the most."""
    share = (one.served + other.served + 1.0) / (one.total + other.total + 2.0)
    return (share * (1.0 - share)) ** 0.5


def shuffle_shards_by_cell(courses: dict[str, RolloutState]) -> dict[str, int]:
    """How tenants lie over a cell's caches, by cell, where a release that has reached
    it says so.
    """
    return {
        cell: course.rollout.shuffle_shards
        for course in courses.values()
        for cell in course.reached_at
        if course.is_in_force(cell) and course.rollout.shuffle_shards >= 0
    }


def limits_in_force(courses: dict[str, RolloutState], cell: str, own: Limits) -> Limits:
    """The limits of a cell's tenants: those of the newest release that has reached it, else its
    own.
    """
    limits = own
    for course in courses.values():
        if course.is_in_force(cell):
            limits = course.rollout.limits
    return limits

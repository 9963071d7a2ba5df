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


class Phase(StrEnum):
    WAITING = "waiting"
    CANARY = "canary"
    WAVES = "waves"
    EVERYWHERE = "everywhere"
    HALTED = "halted"
    TAKEN_BACK = "taken back"


@dataclass(slots=True, eq=False)
class Record:
    """Requests of one cell in one time: served, all, and the delays of the served (sum of ms)."""

    good: float = 0.0
    total: float = 0.0
    delay: float = 0.0
    due: float = 0.0

    def add(self, now: float, good: bool, delay: float) -> None:
        if now >= self.due:
            if self.due:
                part = 0.5 ** min(30, 1 + int((now - self.due) / HALVING))
                self.good, self.total, self.delay = (
                    self.good * part,
                    self.total * part,
                    self.delay * part,
                )
            self.due = now + HALVING
        self.total += 1.0
        if good:
            self.good += 1.0
            self.delay += delay

    def share(self) -> float:
        return self.good / self.total if self.total else 1.0

    def mean(self) -> float:
        return self.delay / self.good if self.good else 0.0

    def copy(self) -> "Record":
        return Record(self.good, self.total, self.delay, self.due)


@dataclass(slots=True, eq=False)
class Course:
    """One release at this director."""

    release: Rollout
    now: dict[str, Record] = field(default_factory=dict)  # by cell
    past: dict[str, Record] = field(
        default_factory=dict
    )  # as it was when the release reached the cell
    since: dict[str, float] = field(default_factory=dict)  # when it did
    start: dict[str, Record] = field(default_factory=dict)  # of all cells, when the release began
    wave: int = -1  # -1: not begun; 0: canary; then the waves
    wave_at: float = 0.0
    halted: bool = False
    taken_back: str = ""  # why

    def groups(self) -> list[tuple[str, ...]]:
        return [(self.release.canary,), *self.release.waves]

    def reached(self) -> list[str]:
        return [cell for group in self.groups()[: self.wave + 1] for cell in group]

    def has(self, cell: str) -> bool:
        return not self.taken_back and cell in self.since

    def phase(self) -> Phase:
        if self.taken_back:
            return Phase.TAKEN_BACK
        if self.wave < 0:
            return Phase.WAITING
        if self.halted:
            return Phase.HALTED
        if self.wave >= len(self.release.waves):
            return Phase.EVERYWHERE
        return Phase.CANARY if self.wave == 0 else Phase.WAVES

    def saw(self, now: float, cell: str, good: bool, delay: float) -> None:
        if self.wave >= 0 and now < self.wave_at + SETTLES:
            return
        self.now.setdefault(cell, Record()).add(now, good, delay)

    def step(self, now: float) -> str:
        """Goes on, halts or takes back; gives a word where its phase changed. Call it some times a
        second.
        """
        before = self.phase()
        if self.release.is_rolled_back and not self.taken_back:
            self.taken_back = "by staff"
        elif not self.taken_back and now >= self.release.starts_at:
            if self.wave < 0:
                self._reach(now, 0)
            else:
                self._judge(now)
        after = self.phase()
        return (
            after.value + (f" ({self.taken_back})" if after == Phase.TAKEN_BACK else "")
            if after != before
            else ""
        )

    def _reach(self, now: float, wave: int) -> None:
        """What is set side by side is counted from here on, at all cells alike."""
        if wave == 0:
            self.start = {cell: record.copy() for cell, record in self.now.items()}
        self.wave, self.wave_at = wave, now
        for cell in self.groups()[wave]:
            seen = self.now.get(cell, Record())
            self.past[cell] = seen if seen.total >= SEEN_LEAST else self.start.get(cell, Record())
            self.since[cell] = now
        self.now = {}

    def _judge(self, now: float) -> None:
        if (
            self.wave >= len(self.release.waves)
            and now >= self.wave_at + self.release.wave_duration
        ):
            self.halted = False  # it has proven itself everywhere; what comes now is not its doing
            return
        verdict = self._compare()
        if verdict == "worse":
            self.taken_back = "worse than its past and than the cells without it"
        self.halted = verdict == "both"
        last = self.wave >= len(self.release.waves)
        if verdict == "well" and not last and now >= self.wave_at + self.release.wave_duration:
            self._reach(now, self.wave + 1)

    def _compare(self) -> str:
        """well | worse | both | unclear"""
        reached = self.reached()
        with_it = _sum([self.now.get(cell) for cell in reached])
        its_past = _sum([self.past.get(cell) for cell in reached])
        others = [cell for cell in self.start if cell not in reached]
        without = _sum([self.now.get(cell) for cell in others])
        their_past = _sum([self.start.get(cell) for cell in others])
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
        bound = self.release.max_success_drop + noise
        beyond = slower / max(1.0, others_slower)
        if fell - max(0.0, others_fell) > bound or beyond > self.release.max_slowdown:
            return "worse"
        if fell > bound or slower > self.release.max_slowdown:
            return "both"
        return "well"


def _sum(records: list[Record | None]) -> Record:
    held = [record for record in records if record is not None]
    return Record(sum(r.good for r in held), sum(r.total for r in held), sum(r.delay for r in held))


def _change(past: Record, now: Record) -> tuple[float, float]:
    """How far the served share fell, and by how much the delay rose (with 5 ms put in against
    noise).
    """
    slower = (now.mean() + 5.0) / (past.mean() + 5.0) if past.good and now.good else 1.0
    return past.share() - now.share(), slower


def _deviation(one: Record, other: Record) -> float:
    """The standard deviation of the share of both together, 0.5 at the most."""
    share = (one.good + other.good + 1.0) / (one.total + other.total + 2.0)
    return (share * (1.0 - share)) ** 0.5


def shuffles(courses: dict[str, Course]) -> dict[str, int]:
    """How tenants lie over a cell's caches, by cell, where a release that has reached
    it says so.
    """
    return {
        cell: course.release.shuffle_shards
        for course in courses.values()
        for cell in course.since
        if course.has(cell) and course.release.shuffle_shards >= 0
    }


def in_force(courses: dict[str, Course], cell: str, own: Limits) -> Limits:
    """The limits of a cell's tenants: those of the newest release that has reached it, else its
    own.
    """
    limits = own
    for course in courses.values():
        if course.has(cell):
            limits = course.release.limits
    return limits

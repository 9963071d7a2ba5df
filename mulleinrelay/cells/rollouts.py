"""New limits that reach one canary cell first, then others wave by wave; pure.

Each director judges by its own requests and halts a rollout, or rolls it back, where cells suffer
by it. A cell that the rollout has reached is compared with its own past, and that difference with
the same difference of the cells without it: what affects both is no fault of the rollout, and halts
it without rolling it back. So does a drop in the last wave, when no cell is left to compare with:
then operators decide.

Not thread-safe: the admission controller's lock guards the state.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field, replace
from enum import Enum, StrEnum

from .model import KEEP_SHUFFLE_SHARDS, Limits, Rollout

MIN_REQUESTS = 30.0  # of each side, before they are compared
HALF_LIFE = 10_000.0  # ms after which older requests count half
MAX_HALVINGS = 30  # more leave nothing
SETTLING_TIME = 1_000.0  # ms after a wave's start whose requests are not counted
# Standard deviations by which a success rate must differ, so that chance rolls nothing back.
SIGNIFICANCE = 2.0
DELAY_NOISE = 5.0  # ms, added to both delays that are compared: a small change of them is noise
# The others' change where they have too few requests: nothing then counts as the rollout's fault.
UNKNOWN_DROP = 1.0
UNKNOWN_SLOWDOWN = 1e9
NOT_STARTED = -1  # wave; 0 is the canary


class RolloutPhase(StrEnum):
    """Where a rollout is; the values are words of log lines and of `--json`."""

    WAITING = "waiting"
    CANARY = "canary"
    WAVES = "waves"
    EVERYWHERE = "everywhere"
    HALTED = "halted"
    ROLLED_BACK = "taken back"


class ComparisonResult(Enum):
    """What a comparison of cells with and without the rollout says."""

    UNCLEAR = "too few requests"
    GOOD = "no worse than before"
    WORSE = "worse than before and than the cells without it"
    BOTH_WORSE = "worse than before, as are the cells without it"


@dataclass(slots=True, eq=False)
class CellStatistics:
    """Requests of one cell, older ones counted less.

    Attributes:
        served: Requests that were served.
        total: All requests.
        total_delay: Sum of the delays of those that were served, ms.
        halves_at: When the counts are next halved; 0: nothing has been recorded.
    """

    served: float = 0.0
    total: float = 0.0
    total_delay: float = 0.0
    halves_at: float = 0.0

    def add(self, now: float, is_served: bool, delay: float) -> None:
        """Counts one request; `delay` in ms."""
        if now >= self.halves_at:
            if self.halves_at:
                halvings = 1 + int((now - self.halves_at) / HALF_LIFE)
                self._scale(0.5 ** min(MAX_HALVINGS, halvings))
            self.halves_at = now + HALF_LIFE
        self.total += 1.0
        if is_served:
            self.served += 1.0
            self.total_delay += delay

    def _scale(self, factor: float) -> None:
        self.served *= factor
        self.total *= factor
        self.total_delay *= factor

    def success_rate(self) -> float:
        """Returns the fraction of requests that were served; 1 without any."""
        return self.served / self.total if self.total else 1.0

    def mean_delay(self) -> float:
        """Returns the mean delay of those that were served, ms; 0 without any."""
        return self.total_delay / self.served if self.served else 0.0


@dataclass(slots=True, frozen=True)
class _Change:
    """How requests of some cells changed.

    Attributes:
        drop: By how much the success rate fell.
        slowdown: The delay as a multiple of the earlier one.
    """

    drop: float
    slowdown: float


@dataclass(slots=True, eq=False)
class RolloutState:
    """One rollout at this director.

    Attributes:
        rollout: As the assignment has it.
        current: Requests by cell since the last wave began.
        before_rollout: Requests by cell from before the rollout reached it.
        reached_at: When the rollout reached each cell.
        baseline: Requests of all cells from before the rollout began.
        wave: `NOT_STARTED`, 0 for the canary, or the number of the wave.
        wave_started_at: When this wave began.
        is_halted: Whether it waits for operators.
        rollback_reason: Why it was rolled back; empty: it was not.
    """

    rollout: Rollout
    current: dict[str, CellStatistics] = field(default_factory=dict)
    before_rollout: dict[str, CellStatistics] = field(default_factory=dict)
    reached_at: dict[str, float] = field(default_factory=dict)
    baseline: dict[str, CellStatistics] = field(default_factory=dict)
    wave: int = NOT_STARTED
    wave_started_at: float = 0.0
    is_halted: bool = False
    rollback_reason: str = ""

    def groups(self) -> list[tuple[str, ...]]:
        """Returns the cells of the canary and of each wave."""
        return [(self.rollout.canary,), *self.rollout.waves]

    def reached_cells(self) -> list[str]:
        """Returns the cells of the waves that have begun."""
        return [cell for group in self.groups()[: self.wave + 1] for cell in group]

    def is_in_force(self, cell: str) -> bool:
        """Returns whether a cell uses the rollout's limits."""
        return not self.rollback_reason and cell in self.reached_at

    def phase(self) -> RolloutPhase:
        """Returns where the rollout is."""
        if self.rollback_reason:
            return RolloutPhase.ROLLED_BACK
        if self.wave == NOT_STARTED:
            return RolloutPhase.WAITING
        if self.is_halted:
            return RolloutPhase.HALTED
        if self._is_last_wave():
            return RolloutPhase.EVERYWHERE
        return RolloutPhase.CANARY if self.wave == 0 else RolloutPhase.WAVES

    def record(self, now: float, cell: str, is_served: bool, delay: float) -> None:
        """Counts a request of a cell; `delay` in ms."""
        if self.wave >= 0 and now < self.wave_started_at + SETTLING_TIME:
            return
        self.current.setdefault(cell, CellStatistics()).add(now, is_served, delay)

    def advance(self, now: float) -> str:
        """Goes on, halts or rolls back by the clock; to be called some times a second.

        Returns:
            The new phase for the log; empty: it is the same.
        """
        previous = self.phase()
        if not self.rollback_reason:
            if self.rollout.is_rolled_back:
                self.rollback_reason = "by staff"
            elif now >= self.rollout.starts_at:
                if self.wave == NOT_STARTED:
                    self._begin_wave(now, 0)
                else:
                    self._judge(now)
        phase = self.phase()
        if phase == previous:
            return ""
        if phase == RolloutPhase.ROLLED_BACK:
            return f"{phase.value} ({self.rollback_reason})"
        return phase.value

    def _is_last_wave(self) -> bool:
        return self.wave >= len(self.rollout.waves)

    def _begin_wave(self, now: float, wave: int) -> None:
        """Begins a wave; requests are counted anew from here on, in all cells alike."""
        if wave == 0:
            self.baseline = {cell: replace(counts) for cell, counts in self.current.items()}
        self.wave = wave
        self.wave_started_at = now
        for cell in self.groups()[wave]:
            counts = self.current.get(cell)
            if counts is None or counts.total < MIN_REQUESTS:
                counts = self.baseline.get(cell, CellStatistics())
            self.before_rollout[cell] = counts
            self.reached_at[cell] = now
        self.current = {}

    def _judge(self, now: float) -> None:
        is_wave_over = now >= self.wave_started_at + self.rollout.wave_duration
        if self._is_last_wave() and is_wave_over:
            self.is_halted = False  # it has proven itself everywhere; what comes is not its doing
            return
        result = self._compare()
        if result == ComparisonResult.WORSE:
            self.rollback_reason = "worse than its past and than the cells without it"
        self.is_halted = result == ComparisonResult.BOTH_WORSE
        if result == ComparisonResult.GOOD and is_wave_over and not self._is_last_wave():
            self._begin_wave(now, self.wave + 1)

    def _compare(self) -> ComparisonResult:
        reached = self.reached_cells()
        others = [cell for cell in self.baseline if cell not in reached]
        with_rollout = _sum_of(self.current, reached)
        before = _sum_of(self.before_rollout, reached)
        without_rollout = _sum_of(self.current, others)
        others_before = _sum_of(self.baseline, others)
        if with_rollout.total < MIN_REQUESTS or before.total < MIN_REQUESTS:
            return ComparisonResult.UNCLEAR
        change = _change(before, with_rollout)
        if without_rollout.total >= MIN_REQUESTS and others_before.total >= MIN_REQUESTS:
            others_change = _change(others_before, without_rollout)
        else:
            others_change = _Change(UNKNOWN_DROP, UNKNOWN_SLOWDOWN)
        max_drop = self.rollout.max_success_drop + _noise(before, with_rollout)
        drop_beyond_others = change.drop - max(0.0, others_change.drop)
        slowdown_beyond_others = change.slowdown / max(1.0, others_change.slowdown)
        if drop_beyond_others > max_drop or slowdown_beyond_others > self.rollout.max_slowdown:
            return ComparisonResult.WORSE
        if change.drop > max_drop or change.slowdown > self.rollout.max_slowdown:
            return ComparisonResult.BOTH_WORSE
        return ComparisonResult.GOOD


def _sum_of(statistics: dict[str, CellStatistics], cells: Iterable[str]) -> CellStatistics:
    known = [statistics[cell] for cell in cells if cell in statistics]
    return CellStatistics(
        served=sum(counts.served for counts in known),
        total=sum(counts.total for counts in known),
        total_delay=sum(counts.total_delay for counts in known),
    )


def _change(before: CellStatistics, after: CellStatistics) -> _Change:
    slowdown = 1.0
    if before.served and after.served:
        slowdown = (after.mean_delay() + DELAY_NOISE) / (before.mean_delay() + DELAY_NOISE)
    return _Change(before.success_rate() - after.success_rate(), slowdown)


def _noise(before: CellStatistics, after: CellStatistics) -> float:
    """Returns the drop of the success rate that chance alone may bring (two-proportion z-test)."""
    size_factor = (1.0 / after.total + 1.0 / before.total) ** 0.5
    return SIGNIFICANCE * _deviation(before, after) * size_factor


def _deviation(first: CellStatistics, second: CellStatistics) -> float:
    """Returns the standard deviation of one request's success, 0.5 at the most."""
    success_rate = (first.served + second.served + 1.0) / (first.total + second.total + 2.0)
    return (success_rate * (1.0 - success_rate)) ** 0.5


def shuffle_shards_by_cell(states: dict[str, RolloutState]) -> dict[str, int]:
    """Returns the caches of each tenant in the cells where a rollout in force sets them."""
    return {
        cell: state.rollout.shuffle_shards
        for state in states.values()
        for cell in state.reached_at
        if state.is_in_force(cell) and state.rollout.shuffle_shards != KEEP_SHUFFLE_SHARDS
    }


def limits_in_force(states: dict[str, RolloutState], cell: str, tenant_limits: Limits) -> Limits:
    """Returns the limits of a cell's tenants: of the newest rollout there, else their own."""
    limits = tenant_limits
    for state in states.values():
        if state.is_in_force(cell):
            limits = state.rollout.limits
    return limits

"""Rollouts of new limits and shuffle shards to a canary cell first, then to other cells in waves.

Each director evaluates a rollout by its own requests, and halts it or rolls it back if it harms
cells. To do so, the director measures how success rate and delay have changed in the cells with the
rollout, and in the cells without it. If both groups got worse, the rollout is not the cause and is
only halted. If too few requests go to cells without the rollout, or no such cell is left in the
last wave, a decline also only halts the rollout. A halted rollout continues when the cells recover;
until then, operators can roll it back or adopt it.

No I/O and no clock: the time is an argument. Not thread-safe: `CellService` holds its lock during
each call.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field, replace
from enum import Enum, StrEnum

from .model import KEEP_SHUFFLE_SHARDS, Limits, Rollout

MIN_REQUESTS = 30.0  # requests that each side of a comparison needs
HALF_LIFE = 10_000.0  # ms after which the counts are halved
MAX_HALVINGS = 30  # after this many halvings, the counts are practically 0
SETTLING_TIME = 1_000.0  # ms after the start of a wave in which requests are not counted
# Standard deviations by which a drop of the success rate must exceed the tolerated drop, because
# smaller drops may be chance.
SIGNIFICANCE = 2.0
DELAY_NOISE = 5.0  # ms; added to both delays of a comparison, so that small changes have no effect
# Assumed change of the cells without the rollout if they have too few requests. The values are
# larger than any real change, so that no decline is attributed to the rollout.
UNKNOWN_DROP = 1.0
UNKNOWN_SLOWDOWN = 1e9
NOT_STARTED = -1  # number of the wave before the start; the canary is wave 0


class RolloutPhase(StrEnum):
    """The phase of a rollout; the values appear in logs, records and the output of commands."""

    WAITING = "waiting"
    CANARY = "canary"
    WAVES = "waves"
    EVERYWHERE = "everywhere"
    HALTED = "halted"
    ROLLED_BACK = "taken back"


class ComparisonResult(Enum):
    """The result of comparing the cells with the rollout to the cells without it."""

    UNCLEAR = "too few requests"
    GOOD = "no worse than before"
    WORSE = "worse than before and than the cells without it"
    BOTH_WORSE = "worse than before, as are the cells without it"


@dataclass(slots=True, eq=False)
class CellStatistics:
    """Statistics of the requests of one cell; older requests have less weight.

    Attributes:
        served: Weighted number of served requests.
        total: Weighted number of requests.
        total_delay: Weighted sum of the delays of the served requests, ms.
        halves_at: The first request at or after this time halves the numbers before it is counted;
            0 if no request was counted yet.
    """

    served: float = 0.0
    total: float = 0.0
    total_delay: float = 0.0
    halves_at: float = 0.0

    def add(self, now: float, is_served: bool, delay: float) -> None:
        """Count one request; `delay` is in ms."""
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
        """Return the fraction of requests that were served; 1 if there are no requests."""
        return self.served / self.total if self.total else 1.0

    def mean_delay(self) -> float:
        """Return the mean delay of the served requests, ms; 0 if there are none."""
        return self.total_delay / self.served if self.served else 0.0


@dataclass(slots=True, frozen=True)
class _Change:
    """The change of the requests of some cells between two periods.

    Attributes:
        drop: Drop of the success rate; negative if the rate rose.
        slowdown: Mean delay divided by the earlier mean delay, with `DELAY_NOISE` added to both;
            1 if no request was served in one of the periods.
    """

    drop: float
    slowdown: float


@dataclass(slots=True, eq=False)
class RolloutState:
    """The state of one rollout at this director.

    Attributes:
        rollout: The rollout, as the assignment in force describes it.
        current: Statistics by cell since the end of the current wave's settling time; before the
            rollout starts, since the director read it.
        before_rollout: For each cell that the rollout has reached, its statistics from before that.
        reached_at: Time when the rollout reached a cell, by cell.
        baseline: Statistics by cell from before the rollout started in any cell.
        wave: Number of the current wave; `NOT_STARTED` before the start, 0 for the canary.
        wave_started_at: Time when the current wave started; 0 before the first.
        is_halted: Whether the rollout is halted, because by the latest comparison the cells with
            the rollout and those without it got worse; False again once the last wave is over.
        rollback_reason: Reason of the rollback; empty if the rollout was not rolled back.
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

    def cells_by_wave(self) -> list[tuple[str, ...]]:
        """Return the cells of each wave; the canary is the first wave."""
        return [(self.rollout.canary,), *self.rollout.waves]

    def reached_cells(self) -> list[str]:
        """Return the cells of the waves that have started."""
        return [cell for wave_cells in self.cells_by_wave()[: self.wave + 1] for cell in wave_cells]

    def is_in_force(self, cell: str) -> bool:
        """Return whether the rollout has reached a cell and was not rolled back."""
        return not self.rollback_reason and cell in self.reached_at

    def phase(self) -> RolloutPhase:
        """Return the phase of the rollout."""
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
        """Count a request of a cell, unless a wave started less than `SETTLING_TIME` ago.

        `delay` is in ms.
        """
        if self.wave >= 0 and now < self.wave_started_at + SETTLING_TIME:
            return
        self.current.setdefault(cell, CellStatistics()).add(now, is_served, delay)

    def advance(self, now: float) -> str:
        """Start a wave, halt, continue or roll back, if due; to be called several times a second.

        Returns:
            The new phase for the log, with the reason if it is a rollback; empty if the phase is
            unchanged.
        """
        previous = self.phase()
        if not self.rollback_reason:
            if self.rollout.is_rolled_back:
                self.rollback_reason = "by staff"
            elif now >= self.rollout.starts_at:
                if self.wave == NOT_STARTED:
                    self._start_wave(now, 0)
                else:
                    self._evaluate(now)
        phase = self.phase()
        if phase == previous:
            return ""
        if phase == RolloutPhase.ROLLED_BACK:
            return f"{phase.value} ({self.rollback_reason})"
        return phase.value

    def _is_last_wave(self) -> bool:
        return self.wave >= len(self.rollout.waves)

    def _start_wave(self, now: float, wave: int) -> None:
        """Start a wave: keep the statistics of its cells for comparison, and empty `current`.

        For a cell with too few requests in `current`, the statistics from before the rollout are
        kept instead.
        """
        if wave == 0:
            self.baseline = {cell: replace(statistics) for cell, statistics in self.current.items()}
        self.wave = wave
        self.wave_started_at = now
        for cell in self.cells_by_wave()[wave]:
            statistics = self.current.get(cell)
            if statistics is None or statistics.total < MIN_REQUESTS:
                statistics = self.baseline.get(cell, CellStatistics())
            self.before_rollout[cell] = statistics
            self.reached_at[cell] = now
        self.current = {}

    def _evaluate(self, now: float) -> None:
        is_wave_over = now >= self.wave_started_at + self.rollout.wave_duration
        if self._is_last_wave() and is_wave_over:
            self.is_halted = False  # the rollout is complete; later changes have other causes
            return
        result = self._compare()
        if result == ComparisonResult.WORSE:
            self.rollback_reason = "worse than its past and than the cells without it"
        self.is_halted = result == ComparisonResult.BOTH_WORSE
        if result == ComparisonResult.GOOD and is_wave_over and not self._is_last_wave():
            self._start_wave(now, self.wave + 1)

    def _compare(self) -> ComparisonResult:
        reached = self.reached_cells()
        others = [cell for cell in self.baseline if cell not in reached]
        with_rollout = _sum_statistics(self.current, reached)
        before = _sum_statistics(self.before_rollout, reached)
        without_rollout = _sum_statistics(self.current, others)
        others_before = _sum_statistics(self.baseline, others)
        if with_rollout.total < MIN_REQUESTS or before.total < MIN_REQUESTS:
            return ComparisonResult.UNCLEAR
        change = _change_between(before, with_rollout)
        if without_rollout.total >= MIN_REQUESTS and others_before.total >= MIN_REQUESTS:
            others_change = _change_between(others_before, without_rollout)
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


def _sum_statistics(
    statistics_by_cell: dict[str, CellStatistics], cells: Iterable[str]
) -> CellStatistics:
    known = [statistics_by_cell[cell] for cell in cells if cell in statistics_by_cell]
    return CellStatistics(
        served=sum(statistics.served for statistics in known),
        total=sum(statistics.total for statistics in known),
        total_delay=sum(statistics.total_delay for statistics in known),
    )


def _change_between(before: CellStatistics, after: CellStatistics) -> _Change:
    slowdown = 1.0
    if before.served and after.served:
        slowdown = (after.mean_delay() + DELAY_NOISE) / (before.mean_delay() + DELAY_NOISE)
    return _Change(before.success_rate() - after.success_rate(), slowdown)


def _noise(before: CellStatistics, after: CellStatistics) -> float:
    """Return the drop of the success rate that may be due to chance (two-proportion z-test)."""
    size_factor = (1.0 / after.total + 1.0 / before.total) ** 0.5
    return SIGNIFICANCE * _deviation(before, after) * size_factor


def _deviation(first: CellStatistics, second: CellStatistics) -> float:
    """Return the standard deviation of the success of one request, at most 0.5."""
    success_rate = (first.served + second.served + 1.0) / (first.total + second.total + 2.0)
    return (success_rate * (1.0 - success_rate)) ** 0.5


def shuffle_shards_by_cell(states: dict[str, RolloutState]) -> dict[str, int]:
    """Return, by cell, the number of caches per tenant that rollouts in force set.

    The newest rollout that sets the number decides. Cells in which none sets it are missing.
    """
    return {
        cell: state.rollout.shuffle_shards
        for state in states.values()
        for cell in state.reached_at
        if state.is_in_force(cell) and state.rollout.shuffle_shards != KEEP_SHUFFLE_SHARDS
    }


def limits_in_force(states: dict[str, RolloutState], cell: str, tenant_limits: Limits) -> Limits:
    """Return the limits of the newest rollout in force in a cell, else the tenant's own limits."""
    limits = tenant_limits
    for state in states.values():
        if state.is_in_force(cell):
            limits = state.rollout.limits
    return limits

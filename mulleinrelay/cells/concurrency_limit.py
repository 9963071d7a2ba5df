"""Adaptive limit on a cell's open requests, derived from the delays of served requests.

The limit can change at the end of each window, much like additive increase, multiplicative decrease
(AIMD). It grows by a twentieth, at least by one request, while it is used and delays are near their
baseline. It falls by a tenth while delays are high. The baseline is the lowest mean delay of recent
windows. The baseline rises slowly, so that a cell that became permanently slower regains its limit.

No I/O and no clock: the time is an argument. Not thread-safe: `CellService` holds its lock during
each call.
"""


class ConcurrencyLimit:
    """The maximum number of open requests of one cell.

    Attributes:
        minimum: Lower bound of the limit.
        maximum: Upper bound of the limit.
        current: Present limit.
        baseline_delay: Estimated mean delay of the cell without load, ms; 0 if it is not known yet.
    """

    WINDOW = 250.0  # ms over which delays are averaged, or longer until there are enough samples
    MIN_SAMPLES = 8  # served requests that a window needs before it can end
    DECREASE_FACTOR = 0.9  # factor by which the limit changes after a window with high delays
    INCREASE_FRACTION = 0.05  # fraction of the limit added per window, at least one request
    # A window is slow if its mean delay exceeds SLOW_RATIO times the baseline plus SLOW_MARGIN.
    SLOW_RATIO = 2.0
    SLOW_MARGIN = 5.0  # ms; so that a small rise above a very short baseline does not count as slow
    USED_FRACTION = 0.7  # fraction of the limit that must have been open before the limit grows
    BASELINE_DRIFT = 0.01  # fraction by which the baseline rises per window
    MIN_DELAY = 1.0  # ms; shorter delays count as this, because they are within the clock's noise

    def __init__(self, minimum: float, maximum: float) -> None:
        """Create a limit that starts at its maximum."""
        self.minimum = minimum
        self.maximum = max(minimum, maximum)
        self.current = self.maximum
        self.baseline_delay = 0.0
        self._window_ends_at = 0.0
        self._sample_count = 0
        self._total_delay = 0.0
        self._peak_open = 0.0

    def record_open(self, open_count: float) -> None:
        """Record the number of open requests, including the request that is being checked."""
        self._peak_open = max(self._peak_open, open_count)

    def record_completion(self, now: float, delay: float) -> bool:
        """Record a served request and adapt the limit at the end of a window.

        Args:
            now: The current time.
            delay: Time from the request's arrival to its answer, ms, without the time of sending
                the answer.

        Returns:
            Whether the limit was reduced.
        """
        if now >= self._window_ends_at + self.WINDOW:
            # There is no window yet, or the last one ended at least WINDOW ago with too few
            # samples, which are obsolete now.
            self._start_window(now)
        self._sample_count += 1
        self._total_delay += max(delay, self.MIN_DELAY)
        if now < self._window_ends_at or self._sample_count < self.MIN_SAMPLES:
            return False
        previous = self.current
        self._adapt(self._total_delay / self._sample_count)
        self._start_window(now)
        return self.current < previous

    def _adapt(self, mean_delay: float) -> None:
        if self.baseline_delay:
            drifted = self.baseline_delay * (1.0 + self.BASELINE_DRIFT)
            self.baseline_delay = min(drifted, mean_delay)
        else:
            self.baseline_delay = mean_delay
        if mean_delay > self.SLOW_RATIO * self.baseline_delay + self.SLOW_MARGIN:
            self.current = max(self.minimum, self.DECREASE_FACTOR * self.current)
        elif self._peak_open > self.USED_FRACTION * self.current:
            increase = max(1.0, self.INCREASE_FRACTION * self.current)
            self.current = min(self.maximum, self.current + increase)

    def _start_window(self, now: float) -> None:
        self._window_ends_at = now + self.WINDOW
        self._sample_count = 0
        self._total_delay = 0.0
        self._peak_open = 0.0

"""The adaptive limit on a cell's open requests, from the delay of those that were served.

The limit grows additively while it is used and delays stay near their baseline, and falls by a
tenth once a window while they don't (AIMD). The baseline is the lowest mean of recent windows; it
rises slowly, so that a cell that got slower for good is given its capacity back.

Pure and not thread-safe: the admission controller's lock guards it.
"""


class ConcurrencyLimit:
    """How many requests one cell may have open.

    Attributes:
        minimum: The limit never falls below this.
        maximum: The limit never rises above this.
        current: The limit in force.
        baseline_delay: The delay of an unloaded cell, ms; 0: not known yet.
    """

    WINDOW = 250.0  # ms over which delays are averaged
    MIN_SAMPLES = 8  # served requests without which a window is not closed
    DECREASE_FACTOR = 0.9  # of the limit, once a window, while delays are high
    INCREASE_FRACTION = 0.05  # of the limit, once a window; one request at the least
    SLOW_RATIO = 2.0  # a window is slow when its mean is over so many times the baseline ...
    SLOW_MARGIN = 5.0  # ... and so many ms, so that very short delays don't count as slow
    USED_FRACTION = 0.7  # of the limit that must have been open before it grows
    BASELINE_DRIFT = 0.01  # fraction by which the baseline rises a window
    MIN_DELAY = 1.0  # ms: shorter delays are within the clock's noise

    def __init__(self, minimum: float, maximum: float) -> None:
        """Starts at the maximum."""
        self.minimum = minimum
        self.maximum = max(minimum, maximum)
        self.current = self.maximum
        self.baseline_delay = 0.0
        self._window_ends_at = 0.0
        self._sample_count = 0
        self._total_delay = 0.0
        self._peak_open = 0.0

    def record_open(self, open_count: float) -> None:
        """Notes how many requests are open, the new one included."""
        self._peak_open = max(self._peak_open, open_count)

    def record_completion(self, now: float, delay: float) -> bool:
        """Notes a served request and adapts the limit at the end of a window.

        Args:
            now: The time.
            delay: How long it took, ms, the time of sending its answer aside.

        Returns:
            Whether the limit has been reduced.
        """
        if now >= self._window_ends_at + self.WINDOW:
            # The first sample, or the first after a pause: older ones say nothing about now.
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

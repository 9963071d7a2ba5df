"""Decay of counts, so that recent events count more than old ones.

Counts are halved in steps, once in a half-life, rather than a little at each event: no power has to
be computed for most events.

Pure: no I/O, no clock. Times are milliseconds of the caller's clock. Not thread-safe.
"""

# A longer time counts as so many halvings, which leave nothing: keeps the power in range.
MAX_HALVINGS = 30


class StepwiseDecay:
    """Says when counts are to be halved, and how often."""

    __slots__ = ("_half_life", "_next_halving_at")

    def __init__(self, half_life: float) -> None:
        self._half_life = half_life
        self._next_halving_at = 0.0

    def take_factor(self, now: float) -> float:
        """Returns the factor for counts that were last multiplied by this method's answer.

        It is 1 until the next halving is due; the one after it is due a half-life from `now`.
        """
        if now < self._next_halving_at:
            return 1.0
        halvings = 1 + int((now - self._next_halving_at) / self._half_life)
        self._next_halving_at = now + self._half_life
        return 0.5 ** min(MAX_HALVINGS, halvings)

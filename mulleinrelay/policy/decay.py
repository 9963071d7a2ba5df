"""Decay of counts, so that recent events count more than old ones.

Counts are halved once in a half-life instead of being reduced at every event. Most events then need
no exponentiation.

No I/O and no clock: the time is an argument, in ms. Not thread-safe.
"""

# Maximum number of halvings at once. After so many halvings a count is practically 0; the bound
# keeps the power in range.
MAX_HALVINGS = 30


class StepwiseDecay:
    """Schedule of halvings for a set of counts; the caller holds and multiplies the counts."""

    __slots__ = ("_half_life", "_next_halving_at")

    def __init__(self, half_life: float) -> None:
        self._half_life = half_life
        self._next_halving_at = 0.0

    def take_factor(self, now: float) -> float:
        """Return the factor that the caller must multiply all counts of the set with now.

        The factor is 1 until a halving is due. Otherwise it halves the counts once for each
        half-life that has passed, and the next halving is due a half-life after `now`. The caller
        must apply the factor of every call, since each factor is returned only once.
        """
        if now < self._next_halving_at:
            return 1.0
        halvings = 1 + int((now - self._next_halving_at) / self._half_life)
        self._next_halving_at = now + self._half_life
        return 0.5 ** min(MAX_HALVINGS, halvings)

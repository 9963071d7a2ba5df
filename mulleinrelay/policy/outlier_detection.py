"""Whether a member's outcomes call it bad: a sequential test beside a share of the last ones; pure,
in ms.

With hundreds of directors each meets a member every few seconds, and what it knows of it is a
handful of outcomes. A share of the last dozen finds a member that always fails, but half-bad ones
hide behind the good outcomes that are remembered with them. So a cumulative sum of the odds runs
beside it: each outcome adds the logarithm of how much likelier it is of a member with `BAD` of bad
outcomes than of one with `GOOD`, and never below nought, so that good ones of long ago excuse
nothing.

Error rates, as tests show them: a member that fails once in a thousand is called bad less than once
in a thousand hours by each director that meets it up to once a second; one that always fails is
found within 4 outcomes, half of the time within 16, three times in ten within 40, each nineteen
times in twenty.
"""

import math

HALVING, MOST = 16_000.0, 12.0  # of the counts, and their sum at the most
LEAST, SHARE = 1.5, 0.4  # bad outcomes, and their share, that call a member bad at once
GOOD, BAD = 0.01, 0.4  # shares of bad outcomes that the test tells apart
BAD_STEP, GOOD_STEP = math.log(BAD / GOOD), math.log((1.0 - GOOD) / (1.0 - BAD))
CALLED = 10.0  # odds, as a logarithm, at which the sum calls it bad
CLEARED = 3.0  # by so much the sum must have fallen again: six good outcomes in a row
FADES = 64_000.0  # halving of the sum


class OutlierDetector:
    """One member's outcomes at one director."""

    def __init__(self) -> None:
        self.good, self.bad, self.counted = 0.0, 0.0, 0.0
        self.sum, self.summed, self.called = 0.0, 0.0, False

    def mark(self, now: float, bad: float) -> None:
        """An outcome; `bad`: 0, or how much of a bad one it is."""
        if now >= self.counted:
            kept = 0.5 ** min(30, 1 + int((now - self.counted) / HALVING))
            self.good, self.bad, self.counted = self.good * kept, self.bad * kept, now + HALVING
        self.bad, self.good = self.bad + bad, self.good + (0.0 if bad else 1.0)
        if self.good + self.bad > MOST:
            self.good, self.bad = 0.5 * self.good, 0.5 * self.bad
        faded = self.sum * 0.5 ** min(30.0, (now - self.summed) / FADES)
        self.sum, self.summed = min(CALLED, max(0.0, faded + (bad * BAD_STEP or -GOOD_STEP))), now
        if self.called and self.sum <= CALLED - CLEARED:
            self.forget_bad()
        self.called = self.called or self.sum >= CALLED

    def forget_bad(self) -> None:
        """What was bad is disproven."""
        self.bad, self.sum, self.called = 0.0, 0.0, False

    def is_bad(self) -> bool:
        return self.called or (self.bad >= LEAST and self.bad > SHARE * (self.good + self.bad))

    def share(self) -> float:
        """Of bad outcomes, with half of one put in."""
        return (self.bad + 0.5) / (self.good + self.bad + 1.0)

"""Whether a member's outcomes call it bad: a sequential test beside a share of the last ones; pure,
in ms.

With hundreds of directors each meets a member every few seconds, and what it knows of it is a
handful of outcomes. A share of the last dozen finds a member that always fails, but half-bad ones
hide behind the good outcomes that are remembered with them. So a cumulative sum of the odds runs
beside it: each outcome adds the logarithm of how much likelier it is of a member with `OUTLIER_FAILURE_RATE` of bad
outcomes than of one with `GOOD`, and never below nought, so that good ones of long ago excuse
nothing.

Error rates, as tests show them: a member that fails once in a thousand is called bad less than once
in a thousand hours by each director that meets it up to once a second; one that always fails is
found within 4 outcomes, half of the time within 16, three times in ten within 40, each nineteen
times in twenty.
"""

import math

COUNT_HALF_LIFE, MAX_COUNT = 16_000.0, 12.0  # of the counts, and their sum at the most
MIN_FAILURES, MAX_FAILURE_FRACTION = (
    1.5,
    0.4,
)  # bad outcomes, and their share, that call a member bad at once
HEALTHY_FAILURE_RATE, OUTLIER_FAILURE_RATE = (
    0.01,
    0.4,
)  # shares of bad outcomes that the test tells apart
FAILURE_EVIDENCE, SUCCESS_EVIDENCE = (
    math.log(OUTLIER_FAILURE_RATE / HEALTHY_FAILURE_RATE),
    math.log((1.0 - HEALTHY_FAILURE_RATE) / (1.0 - OUTLIER_FAILURE_RATE)),
)
ALARM_EVIDENCE = 10.0  # odds, as a logarithm, at which the sum calls it bad
ALARM_HYSTERESIS = 3.0  # by so much the sum must have fallen again: six good outcomes in a row
EVIDENCE_HALF_LIFE = 64_000.0  # halving of the sum


class OutlierDetector:
    """One member's outcomes at one director."""

    def __init__(self) -> None:
        self.successes, self.failures, self.counted = 0.0, 0.0, 0.0
        self.evidence, self.summed, self.has_alarm = 0.0, 0.0, False

    def record(self, now: float, bad: float) -> None:
        """An outcome; `bad`: 0, or how much of a bad one it is."""
        if now >= self.counted:
            kept = 0.5 ** min(30, 1 + int((now - self.counted) / COUNT_HALF_LIFE))
            self.successes, self.failures, self.counted = (
                self.successes * kept,
                self.failures * kept,
                now + COUNT_HALF_LIFE,
            )
        self.failures, self.successes = self.failures + bad, self.successes + (0.0 if bad else 1.0)
        if self.successes + self.failures > MAX_COUNT:
            self.successes, self.failures = 0.5 * self.successes, 0.5 * self.failures
        faded = self.evidence * 0.5 ** min(30.0, (now - self.summed) / EVIDENCE_HALF_LIFE)
        self.evidence, self.summed = (
            min(ALARM_EVIDENCE, max(0.0, faded + (bad * FAILURE_EVIDENCE or -SUCCESS_EVIDENCE))),
            now,
        )
        if self.has_alarm and self.evidence <= ALARM_EVIDENCE - ALARM_HYSTERESIS:
            self.clear_failures()
        self.has_alarm = self.has_alarm or self.evidence >= ALARM_EVIDENCE

    def clear_failures(self) -> None:
        """What was bad is disproven."""
        self.failures, self.evidence, self.has_alarm = 0.0, 0.0, False

    def is_outlier(self) -> bool:
        return self.has_alarm or (
            self.failures >= MIN_FAILURES
            and self.failures > MAX_FAILURE_FRACTION * (self.successes + self.failures)
        )

    def failure_fraction(self) -> float:
        """Of bad outcomes, with half of one put in."""
        return (self.failures + 0.5) / (self.successes + self.failures + 1.0)

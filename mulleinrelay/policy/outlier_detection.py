"""Outlier detection: whether the outcomes of an endpoint's attempts make it an outlier.

The router ejects an outlier from load balancing, and reinstates it when its outcomes are good
again. An endpoint is an outlier if at least one of two tests finds it:

* Failure fraction: the failures among the most recent outcomes are at least `MIN_FAILURES` and more
  than `MAX_FAILURE_FRACTION` of all. This test finds an endpoint that always fails.
* Sequential test: with hundreds of directors, each of them sends an endpoint a request every few
  seconds and knows few outcomes. The failures of an endpoint that fails half of the time are then
  hidden by the successes that are counted with them. Therefore a cumulative sum of log-likelihood
  ratios (CUSUM; Page 1954, after Wald's sequential probability ratio test) is also computed, the
  *evidence*. Every outcome adds the logarithm of how much likelier it is from an endpoint that
  fails at `OUTLIER_FAILURE_RATE` than from one that fails at `HEALTHY_FAILURE_RATE`. The sum never
  falls below zero, so that old successes do not offset new failures.

The tests of outlier detection check these error rates, with an allowance for chance. A director
that sends an endpoint up to one attempt a second, of which one in a thousand fails, considers this
endpoint an outlier less than once in a thousand hours. In nineteen of twenty cases, an outlier is
found within 4 outcomes if it always fails, within 16 if it fails half of the time, and within 40 if
it fails three times in ten.

No I/O and no clock: the time is an argument, in ms. Not thread-safe.
"""

import math

from .decay import MAX_HALVINGS, StepwiseDecay

# The counts of outcomes are halved at this interval in ms, and when their sum exceeds `MAX_COUNT`.
COUNT_HALF_LIFE = 16_000.0
MAX_COUNT = 12.0
# An endpoint is an outlier if it has at least this many failures, and they are more than this
# fraction of all outcomes.
MIN_FAILURES = 1.5
MAX_FAILURE_FRACTION = 0.4

# The two failure rates between which the sequential test distinguishes.
HEALTHY_FAILURE_RATE = 0.01
OUTLIER_FAILURE_RATE = 0.4
# Evidence that one failure adds and that one success removes (natural logarithms).
FAILURE_EVIDENCE = math.log(OUTLIER_FAILURE_RATE / HEALTHY_FAILURE_RATE)
SUCCESS_EVIDENCE = math.log((1.0 - HEALTHY_FAILURE_RATE) / (1.0 - OUTLIER_FAILURE_RATE))
# Evidence at which the sequential test raises its alarm; also the upper bound of the evidence.
ALARM_EVIDENCE = 10.0
# Decrease of the evidence below `ALARM_EVIDENCE` that ends the alarm: six successes in a row.
ALARM_HYSTERESIS = 3.0
# Half-life of the evidence in ms.
EVIDENCE_HALF_LIFE = 64_000.0


class OutlierDetector:
    """Recent outcomes of one endpoint, as seen by one director.

    Attributes:
        successes: Decayed number of recent successes.
        failures: Decayed number of recent failures; one outcome may count as a fraction of a
            failure.
        evidence: Cumulative log-likelihood ratio of the sequential test, from 0 to
            `ALARM_EVIDENCE`.
        has_alarm: Whether the sequential test has raised its alarm, and the evidence has not
            decreased by `ALARM_HYSTERESIS` since.
    """

    def __init__(self) -> None:
        self.successes = 0.0
        self.failures = 0.0
        self.evidence = 0.0
        self.has_alarm = False
        self._count_decay = StepwiseDecay(COUNT_HALF_LIFE)
        self._evidence_at = 0.0

    def record(self, now: float, failure: float) -> None:
        """Record an outcome.

        Args:
            now: The current time in ms.
            failure: 0 for a success, else the weight of the failure: usually 1, more for a definite
                failure, a fraction if several endpoints may have caused it.
        """
        remaining = self._count_decay.take_factor(now)
        self.successes *= remaining
        self.failures *= remaining
        self.failures += failure
        self.successes += 0.0 if failure else 1.0
        if self.successes + self.failures > MAX_COUNT:
            self.successes *= 0.5
            self.failures *= 0.5
        self._update_evidence(now, failure)

    def clear_failures(self) -> None:
        """Clear failures, evidence and alarm, because the endpoint was shown to work."""
        self.failures = 0.0
        self.evidence = 0.0
        self.has_alarm = False

    def is_outlier(self) -> bool:
        """Return whether at least one test finds that the endpoint fails too often."""
        if self.has_alarm:
            return True
        outcomes = self.successes + self.failures
        return self.failures >= MIN_FAILURES and self.failures > MAX_FAILURE_FRACTION * outcomes

    def failure_fraction(self) -> float:
        """Return the fraction of failures among the recent outcomes, greater than 0 and below 1.

        One outcome that is half a failure is added, so that few outcomes have little effect.
        """
        return (self.failures + 0.5) / (self.successes + self.failures + 1.0)

    def _update_evidence(self, now: float, failure: float) -> None:
        halvings = min(float(MAX_HALVINGS), (now - self._evidence_at) / EVIDENCE_HALF_LIFE)
        evidence = self.evidence * 0.5**halvings
        evidence += failure * FAILURE_EVIDENCE if failure else -SUCCESS_EVIDENCE
        self.evidence = min(ALARM_EVIDENCE, max(0.0, evidence))
        self._evidence_at = now
        if self.has_alarm and self.evidence <= ALARM_EVIDENCE - ALARM_HYSTERESIS:
            self.clear_failures()
        if self.evidence >= ALARM_EVIDENCE:
            self.has_alarm = True

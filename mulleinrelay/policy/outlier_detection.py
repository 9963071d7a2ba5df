"""Outlier detection: whether the outcomes of an endpoint's attempts make it an outlier.

An outlier is ejected from load balancing by the router, and reinstated once its outcomes are good
again. Two tests run side by side, and either of them is enough:

* Failure fraction: the failures among the most recent outcomes, at least `MIN_FAILURES` of them and
  more than `MAX_FAILURE_FRACTION` of all. It finds an endpoint that always fails.
* Sequential test: with hundreds of directors each of them sees an endpoint every few seconds and
  knows a handful of outcomes. An endpoint that fails half of the time then hides behind the
  successes that are counted with the failures. So a cumulative sum of log-likelihood ratios
  (CUSUM; Page 1954, after Wald's sequential probability ratio test) is kept as well. Every outcome
  adds the logarithm of how much likelier it is from an endpoint that fails at
  `OUTLIER_FAILURE_RATE` than from one that fails at `HEALTHY_FAILURE_RATE`. The sum never falls
  below zero, so that successes of long ago excuse nothing.

Error rates, as the tests of outlier detection measure them: an endpoint that fails once in a
thousand attempts is called an outlier less than once in a thousand hours by each director that
sends it up to one attempt a second. One that always fails is found within 4 outcomes, one that
fails half of the time within 16, and one that fails three times in ten within 40, each nineteen
times in twenty.

Pure: no I/O, no clock. Times are milliseconds of the caller's clock. Not thread-safe.
"""

import math

from .decay import MAX_HALVINGS, StepwiseDecay

# The counts of outcomes are halved once in so many ms, and when their sum exceeds the maximum.
COUNT_HALF_LIFE = 16_000.0
MAX_COUNT = 12.0
# Failures, and their fraction of all outcomes, that make an endpoint an outlier at once.
MIN_FAILURES = 1.5
MAX_FAILURE_FRACTION = 0.4

# The two failure rates that the sequential test tells apart.
HEALTHY_FAILURE_RATE = 0.01
OUTLIER_FAILURE_RATE = 0.4
# What one failure adds to the evidence, and what one success takes off it (natural logarithms).
FAILURE_EVIDENCE = math.log(OUTLIER_FAILURE_RATE / HEALTHY_FAILURE_RATE)
SUCCESS_EVIDENCE = math.log((1.0 - HEALTHY_FAILURE_RATE) / (1.0 - OUTLIER_FAILURE_RATE))
# The evidence at which the sequential test raises its alarm; it is capped there.
ALARM_EVIDENCE = 10.0
# The alarm ends once the evidence has fallen by this much: after six successes in a row.
ALARM_HYSTERESIS = 3.0
# The evidence is halved over so many ms.
EVIDENCE_HALF_LIFE = 64_000.0


class OutlierDetector:
    """The outcomes of one endpoint, as seen by one director.

    Attributes:
        successes: Recent successes, older ones decayed.
        failures: Recent failures, older ones decayed; one outcome may be a fraction of a failure.
        evidence: The cumulative log-likelihood ratio of the sequential test, from 0 to
            `ALARM_EVIDENCE`.
        has_alarm: The sequential test has raised its alarm, and the evidence has not fallen by
            `ALARM_HYSTERESIS` since.
    """

    def __init__(self) -> None:
        self.successes = 0.0
        self.failures = 0.0
        self.evidence = 0.0
        self.has_alarm = False
        self._count_decay = StepwiseDecay(COUNT_HALF_LIFE)
        self._evidence_at = 0.0

    def record(self, now: float, failure: float) -> None:
        """Records an outcome.

        Args:
            now: The current time in ms.
            failure: 0 for a success, else the weight of the failure: usually 1, more for a failure
                that is clearer, a fraction where the blame is split between endpoints.
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
        """Forgets all failures, since the endpoint has been shown to work."""
        self.failures = 0.0
        self.evidence = 0.0
        self.has_alarm = False

    def is_outlier(self) -> bool:
        """Whether either test finds that the endpoint fails too often."""
        if self.has_alarm:
            return True
        outcomes = self.successes + self.failures
        return self.failures >= MIN_FAILURES and self.failures > MAX_FAILURE_FRACTION * outcomes

    def failure_fraction(self) -> float:
        """The fraction of failures, from above 0 to below 1.

        One more outcome is assumed that is half a failure, so that few outcomes say little.
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

"""Overload control: keeps retries and hedged requests from amplifying an overload.

A rejected request is retried by its client, and an attempt that a full cache rejects is retried at
the next cache. Together these retries can keep a fleet overloaded after the cause of the overload
has ended (retry amplification; a metastable failure). No director knows the state of the fleet, but
each one knows the fraction of its own requests that it rejects, and decides by that alone:

* Retry budget: each request earns a fraction of a retry (`retries_earned`). The more requests are
  rejected, the less each earns; from `NO_RETRY_FRACTION` on it earns nothing.
* Cost of a retry (`retry_cost`): a retry after an attempt that failed early is cheap, since that
  attempt caused little work. A retry after a rejection has the full cost however quick the
  rejection was, because the endpoint is full, and the other endpoints probably will be soon.
* Retry-After (`retry_after`): rejected clients retry at random times around a short mean.
* Overload mode (`OverloadDetector.is_overloaded`): begins and ends with hysteresis; it is only
  logged.

No I/O and no clock: the time is an argument, in ms. Not thread-safe.
"""

from random import Random

from .decay import StepwiseDecay
from .model import ServiceSettings

# The counts of requests and rejections are halved at this interval in ms.
COUNT_HALF_LIFE = 2000.0
# Fraction of rejected requests above which overload mode begins; the mode ends at half of this
# fraction.
OVERLOAD_FRACTION = 0.1
# Retries that a request earns while no request is rejected.
RETRIES_PER_REQUEST = 0.15
# Fraction of rejected requests from which on a request earns no retries.
NO_RETRY_FRACTION = 0.5
# Mean time in ms after which a rejected client retries. It is short because the request's latency
# objective is near, and a continuing overload rejects the retry immediately.
MEAN_RETRY_AFTER = 100.0
# A failure other than a rejection is early if it occurs within `QUICK_FAILURE_FRACTION` of the
# attempt's expected duration. A retry after an early failure costs `QUICK_FAILURE_COST` tokens.
QUICK_FAILURE_FRACTION = 0.25
QUICK_FAILURE_COST = 0.3


class OverloadDetector:
    """Detector of overload, from one director's requests and rejections in the last seconds.

    Attributes:
        requests: Decayed number of recent requests.
        rejected: Decayed number of recent requests that this director rejected.
        is_overloaded: Whether overload mode is on.
    """

    def __init__(self) -> None:
        self.requests = 0.0
        self.rejected = 0.0
        self.is_overloaded = False
        self._decay = StepwiseDecay(COUNT_HALF_LIFE)

    def record_request(self, now: float) -> bool:
        """Count a received request.

        Returns:
            Whether `is_overloaded` has changed.
        """
        remaining = self._decay.take_factor(now)
        self.requests *= remaining
        self.rejected *= remaining
        self.requests += 1.0
        was_overloaded = self.is_overloaded
        threshold = OVERLOAD_FRACTION / 2 if was_overloaded else OVERLOAD_FRACTION
        self.is_overloaded = self.rejected > threshold * self.requests
        return self.is_overloaded != was_overloaded

    def record_rejection(self) -> None:
        """Count a request that this director has rejected."""
        self.rejected += 1.0

    def rejected_fraction(self) -> float:
        """Return the fraction of recent requests that were rejected, from 0 to 1."""
        return min(1.0, self.rejected / max(1.0, self.requests))

    def retries_earned(self) -> float:
        """Return the fraction of a retry that a received request adds to its retry budget now."""
        return RETRIES_PER_REQUEST * max(0.0, 1.0 - self.rejected_fraction() / NO_RETRY_FRACTION)


def retry_after(random_fraction: float, max_retry_after: float) -> float:
    """Return the Retry-After in ms for a rejected client.

    Args:
        random_fraction: A random number from 0 to 1, so that clients that are rejected together do
            not retry together.
        max_retry_after: Upper bound of the result in ms (`ServiceSettings.max_retry_after`).
    """
    return min(MEAN_RETRY_AFTER * (0.5 + random_fraction), max_retry_after)


def choose_retry_after(random: Random, settings: ServiceSettings) -> float:
    """Return a random Retry-After in ms for a rejected client; 0 if the settings allow none."""
    if not settings.allows_retry_after:
        return 0.0
    return retry_after(random.random(), settings.max_retry_after)


def retry_cost(was_rejected: bool, duration: float, expected_duration: float) -> float:
    """Return how many tokens of the retry budget a retry costs.

    Args:
        was_rejected: Whether the previous attempt was rejected by a full endpoint.
        duration: Time in ms from the sending of the previous attempt to the retry.
        expected_duration: Time in ms that a successful attempt takes.
    """
    if not was_rejected and duration < QUICK_FAILURE_FRACTION * expected_duration:
        return QUICK_FAILURE_COST
    return 1.0

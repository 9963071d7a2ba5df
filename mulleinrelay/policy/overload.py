"""Overload control: keeps retries and hedged requests from amplifying an overload.

A request that is rejected comes back from its client, and an attempt that a full cache rejects is
retried at the next cache. Together they can hold a fleet in overload after its cause has gone
(retry amplification; a metastable failure). No director sees the fleet, but each one sees the
fraction of its own requests that it rejects, and decides by that alone:

* Retry budget: each request earns a fraction of a further attempt (`retries_earned`). The more
  requests are rejected, the less each earns, and from `NO_RETRY_FRACTION` on nothing.
* Cost of a retry (`retry_cost`): a retry after an attempt that failed early is cheap, since that
  attempt caused little work. A retry after a rejection has full cost however quick the rejection
  was: it means that the endpoint is full, and that its siblings are about to be.
* Retry-After (`retry_after`): rejected clients come back at random times around a short mean.
* Overload mode (`OverloadDetector.is_overloaded`): begins and ends with hysteresis; it is only
  logged.

Pure: no I/O, no clock. Times are milliseconds of the caller's clock. Not thread-safe.
"""

from .decay import StepwiseDecay

# The counts of requests and rejections are halved once in so many ms.
COUNT_HALF_LIFE = 2000.0
# Overload mode begins above this fraction of rejected requests, and ends below the half of it.
OVERLOAD_FRACTION = 0.1
# Further attempts that a request earns while none is rejected.
RETRIES_PER_REQUEST = 0.15
# Fraction of rejected requests from which on a request earns no further attempts.
NO_RETRY_FRACTION = 0.5
# Mean ms after which a rejected client retries. Short: its latency objective is running out, and a
# lasting overload rejects it again at once.
MEAN_RETRY_AFTER = 100.0
# A failure within this fraction of the attempt's expected duration is early, and a retry after it
# costs this fraction of a token.
QUICK_FAILURE_FRACTION = 0.25
QUICK_FAILURE_COST = 0.3


class OverloadDetector:
    """Counts one director's requests and rejections of the last seconds.

    Attributes:
        requests: Recent requests, older ones decayed.
        rejected: Those of them that this director rejected.
        is_overloaded: Overload mode is on.
    """

    def __init__(self) -> None:
        self.requests = 0.0
        self.rejected = 0.0
        self.is_overloaded = False
        self._decay = StepwiseDecay(COUNT_HALF_LIFE)

    def record_request(self, now: float) -> bool:
        """Counts a request that has arrived.

        Returns:
            Whether `is_overloaded` has changed with it.
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
        """Counts a request that this director has rejected."""
        self.rejected += 1.0

    def rejected_fraction(self) -> float:
        """The fraction of recent requests that were rejected, from 0 to 1."""
        return min(1.0, self.rejected / max(1.0, self.requests))

    def retries_earned(self) -> float:
        """How many further attempts a request adds to the retry budget now."""
        return RETRIES_PER_REQUEST * max(0.0, 1.0 - self.rejected_fraction() / NO_RETRY_FRACTION)


def retry_after(random_fraction: float, max_retry_after: float) -> float:
    """The Retry-After in ms for a rejected client.

    Args:
        random_fraction: A random number from 0 to 1, which keeps clients that are rejected together
            from coming back together.
        max_retry_after: The longest time that the platform allows, in ms.
    """
    return min(MEAN_RETRY_AFTER * (0.5 + random_fraction), max_retry_after)


def retry_cost(was_rejected: bool, duration: float, expected_duration: float) -> float:
    """How many tokens of the retry budget a retry costs.

    Args:
        was_rejected: The endpoint of the failed attempt rejected it, as it is full.
        duration: After how many ms the attempt failed.
        expected_duration: How many ms a successful attempt would have taken.
    """
    if not was_rejected and duration < QUICK_FAILURE_FRACTION * expected_duration:
        return QUICK_FAILURE_COST
    return 1.0

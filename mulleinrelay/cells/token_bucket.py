"""Request rates: a token bucket, and one that several parties share by weight.

Pure: the time (ms) is passed in. Nothing queues here; a caller is told how long it has to wait and
rejects the request. Not thread-safe: the admission controller's lock guards every bucket.
"""

from dataclasses import dataclass

# ms: sums of floating point numbers are not exact; a shorter wait is no wait.
ROUNDING_MARGIN = 1e-6
MIN_RETRY_AFTER = 100.0  # ms: a shorter pause would let rejected clients come back at once
MAX_RETRY_AFTER = 5_000.0  # ms
LONG_AGO = -1e12  # ms: a time before every other


class TokenBucket:
    """A rate with a burst, by the generic cell rate algorithm (GCRA, ITU-T I.371).

    The state is one number: when the bucket would be full again.

    Attributes:
        interval: Milliseconds between two requests at the rate; 0: no bound.
        tolerance: Milliseconds by which requests may come ahead of the rate.
        full_at: When the bucket is full again.
    """

    __slots__ = ("full_at", "interval", "tolerance")

    def __init__(self, rate: float, burst: float) -> None:
        """Makes a full bucket.

        Args:
            rate: Requests a second; 0: no bound.
            burst: Requests that may come at once; 0: what the rate brings in 100 ms. At least one
                may always come.
        """
        self.interval = 1000.0 / rate if rate > 0.0 else 0.0
        self.tolerance = self.interval * (max(1.0, burst or rate / 10.0) - 1.0)
        self.full_at = 0.0

    def wait_time(self, now: float) -> float:
        """Returns 0 if a request may come now, else the milliseconds until one may."""
        wait = self.full_at - self.tolerance - now
        return wait if wait > ROUNDING_MARGIN else 0.0

    def consume(self, now: float) -> None:
        """Takes the token of one request."""
        if self.interval:
            self.full_at = max(self.full_at, now) + self.interval

    def with_rate(self, rate: float, burst: float) -> "TokenBucket":
        """Returns a bucket of another rate that is as empty as this one."""
        bucket = TokenBucket(rate, burst)
        bucket.full_at = self.full_at
        return bucket


@dataclass(slots=True, eq=False)
class BucketShare:
    """One party's share of a rate.

    Attributes:
        weight: The share is in proportion to this.
        bucket: Holds the guaranteed rate.
        last_requested_at: When the party last asked for a token.
        consumed_count: Tokens taken since `used_rate` was last computed.
        used_rate: Requests a second, smoothed.
    """

    weight: float
    bucket: TokenBucket
    last_requested_at: float = LONG_AGO
    consumed_count: int = 0
    used_rate: float = 0.0


class FairTokenBucket:
    """A rate that parties share by weight.

    Every active party has its guaranteed rate; what the others leave of the total is lent to
    whoever comes first.
    """

    ACTIVE_WINDOW = 1_000.0  # ms: a party that asked within this time is active
    RECOMPUTE_INTERVAL = 100.0  # ms: between two sums over all parties
    IDLE_TIMEOUT = 60.0 * ACTIVE_WINDOW  # ms: an idle party is dropped then
    BURST_S = 0.1  # seconds of a rate that may come at once
    # Requests a second for each token that was taken a millisecond, halved by the smoothing.
    SMOOTHED_PER_S = 500.0
    # A party is taken to want so many times what it used lately, so that it can grow.
    GROWTH_ALLOWANCE = 1.25

    def __init__(self, rate: float) -> None:
        """Makes a full bucket of `rate` requests a second; 0: no bound."""
        self.rate = rate
        self.total_bucket = TokenBucket(rate, self.BURST_S * rate)
        self.shares: dict[str, BucketShare] = {}
        self.computed_at = LONG_AGO
        self.active_weight = 0.0

    def set_rate(self, rate: float) -> None:
        """Changes the total rate; what has been used stays used."""
        if rate != self.rate:
            self.rate = rate
            self.total_bucket = self.total_bucket.with_rate(rate, self.BURST_S * rate)
            self.computed_at = LONG_AGO

    def share_for(self, name: str, weight: float) -> BucketShare:
        """Returns the share of a party, which it gets with its first request."""
        share = self.shares.get(name)
        if share is None:
            share = BucketShare(weight, TokenBucket(0.0, 0.0))
            self.shares[name] = share
            self.computed_at = LONG_AGO
        share.weight = weight
        return share

    def guaranteed_rate(self, share: BucketShare) -> float:
        """Returns the requests a second that a party may always send."""
        return self.rate * share.weight / max(self.active_weight, share.weight)

    def wait_time(self, share: BucketShare, now: float) -> float:
        """Notes the party's demand and returns the ms until its next request; 0: it may come."""
        if not self.rate:
            return 0.0
        was_idle = now >= share.last_requested_at + self.ACTIVE_WINDOW
        share.last_requested_at = now
        if was_idle or now >= self.computed_at + self.RECOMPUTE_INTERVAL:
            self._recompute(now)
        guaranteed_wait = share.bucket.wait_time(now)
        return (
            0.0
            if guaranteed_wait == 0.0
            else min(guaranteed_wait, self.total_bucket.wait_time(now))
        )

    def consume(self, share: BucketShare, now: float) -> None:
        """Takes the token of one request, from the party's own rate while that has some."""
        if not self.rate:
            return
        if share.bucket.wait_time(now) == 0.0:
            share.bucket.consume(now)
        share.consumed_count += 1
        self.total_bucket.consume(now)
        self.total_bucket.full_at = min(self.total_bucket.full_at, now + self.ACTIVE_WINDOW)

    def reachable_rate(self, share: BucketShare) -> float:
        """Returns what a party may reach: its guaranteed rate and what the others leave."""
        used_by_others = sum(
            min(self.guaranteed_rate(other), self.GROWTH_ALLOWANCE * other.used_rate)
            for other in self.shares.values()
            if other is not share
        )
        return max(self.guaranteed_rate(share), self.rate - used_by_others)

    def _recompute(self, now: float) -> None:
        """Renews used rates, drops idle parties and sets the guaranteed rates of active ones."""
        elapsed = now - self.computed_at
        if elapsed >= self.RECOMPUTE_INTERVAL:
            for share in self.shares.values():
                recent = self.SMOOTHED_PER_S * share.consumed_count / elapsed
                share.used_rate = 0.5 * share.used_rate + recent
                share.consumed_count = 0
            self.computed_at = now
        self.shares = {
            name: share
            for name, share in self.shares.items()
            if now < share.last_requested_at + self.IDLE_TIMEOUT
        }
        active = [
            share
            for share in self.shares.values()
            if now < share.last_requested_at + self.ACTIVE_WINDOW
        ]
        self.active_weight = sum(share.weight for share in active)
        for share in active:
            rate = self.guaranteed_rate(share)
            share.bucket = share.bucket.with_rate(rate, self.BURST_S * rate)


def bounded_retry_after(wait: float, maximum: float = MAX_RETRY_AFTER) -> float:
    """Returns the Retry-After (ms) of a rejected request: the known wait, within bounds."""
    return min(max(wait, MIN_RETRY_AFTER), maximum)

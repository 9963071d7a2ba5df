"""Request rates: a token bucket, and a token bucket that several parties share by weight.

Requests are not queued: if there is no token now, the caller gets the time until the next one and
rejects the request. No I/O and no clock: the time (ms) is an argument. Not thread-safe:
`CellService` holds its lock during each call.
"""

from dataclasses import dataclass

# ms; shorter waits are floating-point rounding errors and count as 0.
ROUNDING_MARGIN = 1e-6
MIN_RETRY_AFTER = 100.0  # ms; keeps rejected clients from retrying at once
MAX_RETRY_AFTER = 5_000.0  # ms
DISTANT_PAST = -1e12  # ms; initial value of times, earlier than any time of a clock


class TokenBucket:
    """A token bucket with a rate and a burst (generic cell rate algorithm, GCRA, ITU-T I.371).

    Attributes:
        interval: Time between two requests at the rate, ms; 0 if the rate is not limited.
        tolerance: Time by which a request may be ahead of the rate, ms.
        full_at: Time when the bucket is full again; it is the only value that requests change.
    """

    __slots__ = ("full_at", "interval", "tolerance")

    def __init__(self, rate: float, burst: float) -> None:
        """Create a full bucket.

        Args:
            rate: Requests per second; 0 if they are not limited.
            burst: Number of requests that a full bucket allows at once; 0 for the number that the
                rate allows in 100 ms. A number below 1 counts as 1.
        """
        self.interval = 1000.0 / rate if rate > 0.0 else 0.0
        self.tolerance = self.interval * (max(1.0, burst or rate / 10.0) - 1.0)
        self.full_at = 0.0

    def wait_time(self, now: float) -> float:
        """Return the milliseconds until the next token; 0 if there is one now."""
        wait = self.full_at - self.tolerance - now
        return wait if wait > ROUNDING_MARGIN else 0.0

    def consume(self, now: float) -> None:
        """Take one token."""
        if self.interval:
            self.full_at = max(self.full_at, now) + self.interval

    def with_rate(self, rate: float, burst: float) -> "TokenBucket":
        """Return a bucket with another rate and burst that is full at the same time as this one."""
        bucket = TokenBucket(rate, burst)
        bucket.full_at = self.full_at
        return bucket


@dataclass(slots=True, eq=False)
class BucketShare:
    """One party's share of a rate.

    Attributes:
        weight: Weight of the party; its guaranteed rate is in proportion to the weight.
        bucket: Token bucket with the guaranteed rate.
        last_requested_at: Time of the party's last request, admitted or not.
        consumed_count: Tokens taken since `used_rate` was last computed.
        used_rate: Smoothed number of admitted requests per second.
    """

    weight: float
    bucket: TokenBucket
    last_requested_at: float = DISTANT_PAST
    consumed_count: int = 0
    used_rate: float = 0.0


class FairTokenBucket:
    """A rate that several parties share by weight.

    A party is active for `ACTIVE_WINDOW` after each request. Each active party has a guaranteed
    rate in proportion to its weight. The part of the total rate that parties leave unused is lent
    to whichever party sends the next request.

    Attributes:
        rate: Total rate, requests per second; 0 if it is not limited.
        total_bucket: Token bucket with the total rate.
        shares: Shares by party.
        computed_at: Time when the used rates were last computed; `DISTANT_PAST` if the next request
            must compute the used and the guaranteed rates.
        active_weight: Sum of the weights of all active parties.
    """

    ACTIVE_WINDOW = 1_000.0  # ms for which a party stays active after a request
    RECOMPUTE_INTERVAL = 100.0  # ms between two computations over all parties
    IDLE_TIMEOUT = 60.0 * ACTIVE_WINDOW  # ms from its last request until an idle party is dropped
    BURST_S = 0.1  # seconds of a rate that are allowed at once
    # Converts tokens per millisecond to requests per second (1000), times the weight of the newest
    # value in the smoothing (0.5).
    SMOOTHED_RATE_FACTOR = 500.0
    # A party is expected to use up to this multiple of its recent rate, so that its rate can grow.
    GROWTH_ALLOWANCE = 1.25

    def __init__(self, rate: float) -> None:
        """Create a full bucket of `rate` requests per second; 0 if they are not limited."""
        self.rate = rate
        self.total_bucket = TokenBucket(rate, self.BURST_S * rate)
        self.shares: dict[str, BucketShare] = {}
        self.computed_at = DISTANT_PAST
        self.active_weight = 0.0

    def set_rate(self, rate: float) -> None:
        """Change the total rate; consumed tokens stay consumed."""
        if rate != self.rate:
            self.rate = rate
            self.total_bucket = self.total_bucket.with_rate(rate, self.BURST_S * rate)
            self.computed_at = DISTANT_PAST

    def share_for(self, name: str, weight: float) -> BucketShare:
        """Return the share of a party after setting its weight.

        The share is created on the first call for a party.
        """
        share = self.shares.get(name)
        if share is None:
            share = BucketShare(weight, TokenBucket(0.0, 0.0))
            self.shares[name] = share
            self.computed_at = DISTANT_PAST
        share.weight = weight
        return share

    def guaranteed_rate(self, share: BucketShare) -> float:
        """Return the part of the total rate that a party's weight gives it, requests per second."""
        return self.rate * share.weight / max(self.active_weight, share.weight)

    def wait_time(self, share: BucketShare, now: float) -> float:
        """Record the party's request and return the time until it is allowed, ms.

        The time is 0 if the request is allowed now, by the guaranteed rate or by a loan. If the
        total rate is not limited, the time is 0 and nothing is recorded.
        """
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
        """Take one token from the total bucket, and one from the party's bucket if it has one now.

        Guaranteed requests may overdraw the total bucket, which is full again after at most
        `ACTIVE_WINDOW`.
        """
        if not self.rate:
            return
        if share.bucket.wait_time(now) == 0.0:
            share.bucket.consume(now)
        share.consumed_count += 1
        self.total_bucket.consume(now)
        self.total_bucket.full_at = min(self.total_bucket.full_at, now + self.ACTIVE_WINDOW)

    def reachable_rate(self, share: BucketShare) -> float:
        """Return the rate (requests per second) that a party can reach by borrowing unused rates.

        It is at least the guaranteed rate.
        """
        used_by_others = sum(
            min(self.guaranteed_rate(other), self.GROWTH_ALLOWANCE * other.used_rate)
            for other in self.shares.values()
            if other is not share
        )
        return max(self.guaranteed_rate(share), self.rate - used_by_others)

    def _recompute(self, now: float) -> None:
        """Drop idle parties, and set the guaranteed rates of the active ones.

        The used rates are updated only if `RECOMPUTE_INTERVAL` has passed since `computed_at`.
        """
        elapsed = now - self.computed_at
        if elapsed >= self.RECOMPUTE_INTERVAL:
            for share in self.shares.values():
                recent = self.SMOOTHED_RATE_FACTOR * share.consumed_count / elapsed
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
    """Return the Retry-After (ms) of a rejected request.

    This is the wait, but at least `MIN_RETRY_AFTER` and at most `maximum`.
    """
    return min(max(wait, MIN_RETRY_AFTER), maximum)

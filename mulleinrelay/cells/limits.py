"""What a tenant or a cell may take of one director: rates, requests open, retries, bodies, and fair
shares.

Pure; time (ms) is passed in. Each part says yes or no at once and, where no, in how many
milliseconds it may say yes. Nothing here queues: what is over is turned away.
"""

from dataclasses import dataclass

CLOCKWORK = 1e-6
LEAST_WAIT = 100.0  # ms: the shortest advice; a jam is looked at again at once
LONGEST_WAIT = 5_000.0


class TokenBucket:
    """A rate with a burst, kept as one number: when the allowance would be whole again (GCRA)."""

    __slots__ = ("interval", "tolerance", "full_at")

    def __init__(self, rate: float, burst: float) -> None:
        """`rate` a second; `burst` requests beyond it at once, one at the least. Rate
        0: no bound.
        """
        self.interval = 1000.0 / rate if rate > 0.0 else 0.0
        self.tolerance = self.interval * (max(1.0, burst or rate / 10.0) - 1.0)
        self.full_at = 0.0

    def wait_time(self, now: float) -> float:
        """0: one may come now; else ms until then."""
        late = self.full_at - self.tolerance - now
        return late if late > CLOCKWORK else 0.0

    def consume(self, now: float) -> None:
        if self.interval:
            self.full_at = max(self.full_at, now) + self.interval


class ClientRetryBudget:
    """Clients' retries: each first try earns a part of one, some are saved up."""

    __slots__ = ("earn_ratio", "balance", "maximum")

    def __init__(self, earned: float, most: float = 10.0) -> None:
        self.earn_ratio, self.maximum, self.balance = earned, most, most

    def record_first_attempt(self) -> None:
        self.balance = min(self.maximum, self.balance + self.earn_ratio)

    def can_retry(self) -> bool:
        return self.balance >= 1.0

    def consume(self) -> None:
        self.balance -= 1.0


class ConcurrencyLimit:
    """How many requests a cell may have open: grows while it is used and delays stay near their
    usual, falls by a tenth once a window while they don't. What is usual is the low end of recent
    windows, which forgets slowly, so that a cell that got slower for good is let up again.
    """

    WINDOW, LEAST_SEEN = 250.0, 8
    SHRINK, TOLERANCE, NEAR_FULL = 0.9, 2.0, 0.7
    FORGETS = 0.01  # by how much of itself the usual delay rises a window

    def __init__(self, least: float, most: float) -> None:
        self.minimum, self.maximum = least, max(least, most)
        self.current = self.maximum
        self.baseline_delay = 0.0
        self.ends, self.seen, self.total, self.peak = 0.0, 0, 0.0, 0.0

    def record_open(self, open_now: float) -> None:
        self.peak = max(self.peak, open_now)

    def record_completion(self, now: float, delay: float) -> bool:
        """A request was served after `delay` (ms over its own sending time, 1 at the least). Gives
        whether the width has shrunk.
        """
        if (
            now >= self.ends + self.WINDOW
        ):  # a first word, or after a pause: what was before tells nothing
            self._open(now)
        self.seen += 1
        self.total += max(delay, 1.0)
        if now < self.ends or self.seen < self.LEAST_SEEN:
            return False
        mean = self.total / self.seen
        self.baseline_delay = (
            min(self.baseline_delay * (1.0 + self.FORGETS), mean) if self.baseline_delay else mean
        )
        slow, before = mean > self.TOLERANCE * self.baseline_delay + 5.0, self.current
        if slow:
            self.current = max(self.minimum, self.SHRINK * self.current)
        elif self.peak > self.NEAR_FULL * self.current:
            self.current = min(self.maximum, self.current + max(1.0, 0.05 * self.current))
        self._open(now)
        return self.current < before

    def _open(self, now: float) -> None:
        self.ends, self.seen, self.total, self.peak = now + self.WINDOW, 0, 0.0, 0.0


@dataclass(slots=True, eq=False)
class ConcurrencyShare:
    """One party's part of what several share."""

    weight: float
    maximum: float = 0.0  # bound of its own; 0: none
    open: float = 0.0
    last_requested_at: float = 0.0  # when it last wanted something
    peak: float = 0.0  # the most it had open, or wanted, in this span
    before: float = 0.0  # and in the span before
    span_ends: float = 0.0

    def wants(self, now: float, span: float, amount: float) -> None:
        if now >= self.span_ends:
            self.before = self.peak if now < self.span_ends + span else 0.0
            self.peak, self.span_ends = 0.0, now + span
        self.last_requested_at, self.peak = now, max(self.peak, self.open + amount)

    def demand(self, now: float, span: float) -> float:
        if now >= self.span_ends + span:
            return self.open
        return max(self.open, self.peak, self.before)


class FairShares:
    """Weighted fair shares of a number of open requests, for all that ask for some.

    Each party is sure of its part by weight among those that are active. What they don't use is
    lent; a lender that comes back gets in at once, up to its part, over the bound by HEAD_ROOM at
    most, and until the borrowers have gone down nothing more is lent. Requests are short, so what
    is lent is back within their time.
    """

    DEMAND_WINDOW = (
        1_000.0  # ms: who asked for nothing so long has no part; demand is the peak of two of these
    )
    OVERCOMMIT = 0.25
    RECKONED_FOR = 50.0  # ms: how long sums over all parties hold

    def __init__(self, width: float) -> None:
        self.capacity, self.open = width, 0.0
        self.shares: dict[str, ConcurrencyShare] = {}
        self.reckoned_at, self.weights, self.wanted = -1e12, 0.0, 0.0

    def share_for(self, name: str, weight: float, most: float = 0.0) -> ConcurrencyShare:
        share = self.shares.get(name)
        if share is None:
            share = self.shares[name] = ConcurrencyShare(weight, most)
            self.reckoned_at = -1e12
        elif (share.weight, share.maximum) != (weight, most):
            share.weight, share.maximum, self.reckoned_at = weight, most, -1e12
        return share

    def guaranteed(self, share: ConcurrencyShare) -> float:
        """What the party is sure of; one request at the least."""
        return max(1.0, self.capacity * share.weight / max(self.weights, share.weight))

    def request(self, share: ConcurrencyShare, now: float, amount: float = 1.0) -> bool:
        wanted, active = share.open + amount, now < share.last_requested_at + self.DEMAND_WINDOW
        if now >= share.span_ends or wanted > share.peak:
            share.wants(now, self.DEMAND_WINDOW, amount)
        share.last_requested_at = now
        if not active or now >= self.reckoned_at + self.RECKONED_FOR:
            self._reckon(now)
        if share.maximum and wanted > share.maximum:
            return False
        if self.open + amount + self.wanted <= self.capacity:
            return True
        if share.open + amount <= self.guaranteed(share):
            return (
                self.open + amount <= self.capacity * (1.0 + self.OVERCOMMIT) or share.open == 0.0
            )
        kept = self.wanted - max(
            0.0, min(share.demand(now, self.DEMAND_WINDOW), self.guaranteed(share)) - share.open
        )
        return self.open + amount + max(0.0, kept) <= self.capacity

    def reachable(self, share: ConcurrencyShare, now: float) -> float:
        """The most that a party may have open now, by itself."""
        kept = self.wanted - max(
            0.0, min(share.demand(now, self.DEMAND_WINDOW), self.guaranteed(share)) - share.open
        )
        return max(
            self.guaranteed(share), self.capacity - (self.open - share.open) - max(0.0, kept)
        )

    def acquire(self, share: ConcurrencyShare, amount: float = 1.0) -> None:
        share.open += amount
        self.open += amount

    def release(self, share: ConcurrencyShare, amount: float = 1.0) -> None:
        left, whole = share.open - amount, self.open - amount
        share.open = (
            left if left > 1e-6 else 0.0
        )  # bodies count in fractions, whose sums are not whole
        self.open = whole if whole > 1e-6 else 0.0

    def _reckon(self, now: float) -> None:
        """Sums over the active parties; those that left long ago are forgotten."""
        self.reckoned_at, self.weights, self.wanted = now, 0.0, 0.0
        for name, share in list(self.shares.items()):
            if now < share.last_requested_at + self.DEMAND_WINDOW or share.open > 0.0:
                self.weights += share.weight
            elif now >= share.last_requested_at + 60.0 * self.DEMAND_WINDOW:
                del self.shares[name]
        for (
            share
        ) in self.shares.values():  # what each is sure of, wants, and has not: it is not lent
            if now < share.last_requested_at + 2.0 * self.DEMAND_WINDOW:
                self.wanted += max(
                    0.0,
                    min(share.demand(now, self.DEMAND_WINDOW), self.guaranteed(share)) - share.open,
                )


@dataclass(slots=True, eq=False)
class BucketShare:
    """One party's part of a rate."""

    weight: float
    pace: TokenBucket
    asked: float = -1e12
    taken: int = 0  # since the last reckoning
    used: float = 0.0  # a second, smoothed


class FairTokenBucket:
    """Weighted fair shares of a rate. Each active party has its part for sure; what others leave of
    the whole is lent to whoever comes first.
    """

    ACTIVE, RECOMPUTE_INTERVAL, BURST = 1_000.0, 100.0, 0.1

    def __init__(self, rate: float) -> None:
        """`rate` a second; 0: no bound."""
        self.rate, self.total_bucket = rate, TokenBucket(rate, self.BURST * rate)
        self.shares: dict[str, BucketShare] = {}
        self.computed_at, self.active_weight = -1e12, 0.0

    def set_rate(self, rate: float) -> None:
        if rate != self.rate:
            whole_at, self.rate, self.total_bucket = (
                self.total_bucket.full_at,
                rate,
                TokenBucket(rate, self.BURST * rate),
            )
            self.total_bucket.full_at, self.computed_at = whole_at, -1e12

    def share_for(self, name: str, weight: float) -> BucketShare:
        lane = self.shares.get(name)
        if lane is None:
            lane = self.shares[name] = BucketShare(weight, TokenBucket(0.0, 0.0))
            self.computed_at = -1e12
        lane.weight = weight
        return lane

    def guaranteed_rate(self, lane: BucketShare) -> float:
        return self.rate * lane.weight / max(self.active_weight, lane.weight)

    def wait_time(self, lane: BucketShare, now: float) -> float:
        """0: a request may come; else ms until then."""
        if not self.rate:
            return 0.0
        if now >= lane.asked + self.ACTIVE or now >= self.computed_at + self.RECOMPUTE_INTERVAL:
            lane.asked = now
            self._reckon(now)
        lane.asked = now
        own = lane.pace.wait_time(now)
        return 0.0 if own == 0.0 else min(own, self.total_bucket.wait_time(now))

    def consume(self, lane: BucketShare, now: float) -> None:
        if not self.rate:
            return
        if lane.pace.wait_time(now) == 0.0:
            lane.pace.consume(now)
        lane.taken += 1
        self.total_bucket.consume(now)
        self.total_bucket.full_at = min(self.total_bucket.full_at, now + self.ACTIVE)

    def reachable_rate(self, lane: BucketShare) -> float:
        """What a party may reach: its part, and what the others leave of theirs."""
        return max(
            self.guaranteed_rate(lane),
            self.rate
            - sum(
                min(self.guaranteed_rate(other), 1.25 * other.used)
                for other in self.shares.values()
                if other is not lane
            ),
        )

    def _reckon(self, now: float) -> None:
        span = now - self.computed_at
        if span >= self.RECOMPUTE_INTERVAL:
            for lane in self.shares.values():
                lane.used, lane.taken = 0.5 * lane.used + 500.0 * lane.taken / span, 0
        self.computed_at = now if span >= self.RECOMPUTE_INTERVAL else self.computed_at
        for name in [
            name for name, lane in self.shares.items() if now >= lane.asked + 60.0 * self.ACTIVE
        ]:
            del self.shares[name]
        active = [lane for lane in self.shares.values() if now < lane.asked + self.ACTIVE]
        self.active_weight = sum(lane.weight for lane in active)
        for lane in active:
            whole_at, part = lane.pace.full_at, self.guaranteed_rate(lane)
            lane.pace = TokenBucket(part, self.BURST * part)
            lane.pace.full_at = whole_at


def bounded_retry_after(wait: float, most: float = LONGEST_WAIT) -> float:
    """When to come back, ms: the wait as known, within bounds."""
    return min(max(wait, LEAST_WAIT), most)

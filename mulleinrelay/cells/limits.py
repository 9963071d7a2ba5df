"""What a tenant or a cell may take of one director: rates, requests open, retries, bodies, and fair
shares.

Pure; time (ms) is passed in. Each part says yes or no at once and, where no, in how many
milliseconds it may say yes. Nothing here queues: what is over is turned away.
"""

from dataclasses import dataclass

CLOCKWORK = 1e-6
LEAST_WAIT = 100.0  # ms: the shortest advice; a jam is looked at again at once
LONGEST_WAIT = 5_000.0


class Pace:
    """A rate with a burst, kept as one number: when the allowance would be whole again (GCRA)."""

    __slots__ = ("apart", "ahead", "whole_at")

    def __init__(self, rate: float, burst: float) -> None:
        """`rate` a second; `burst` requests beyond it at once, one at the least. Rate
        0: no bound.
        """
        self.apart = 1000.0 / rate if rate > 0.0 else 0.0
        self.ahead = self.apart * (max(1.0, burst or rate / 10.0) - 1.0)
        self.whole_at = 0.0

    def wait(self, now: float) -> float:
        """0: one may come now; else ms until then."""
        late = self.whole_at - self.ahead - now
        return late if late > CLOCKWORK else 0.0

    def take(self, now: float) -> None:
        if self.apart:
            self.whole_at = max(self.whole_at, now) + self.apart


class Retries:
    """Clients' retries: each first try earns a part of one, some are saved up."""

    __slots__ = ("earned", "saved", "most")

    def __init__(self, earned: float, most: float = 10.0) -> None:
        self.earned, self.most, self.saved = earned, most, most

    def first(self) -> None:
        self.saved = min(self.most, self.saved + self.earned)

    def may(self) -> bool:
        return self.saved >= 1.0

    def take(self) -> None:
        self.saved -= 1.0


class Width:
    """How many requests a cell may have open: grows while it is used and delays stay near their
    usual, falls by a tenth once a window while they don't. What is usual is the low end of recent
    windows, which forgets slowly, so that a cell that got slower for good is let up again.
    """

    WINDOW, LEAST_SEEN = 250.0, 8
    SHRINK, TOLERANCE, NEAR_FULL = 0.9, 2.0, 0.7
    FORGETS = 0.01  # by how much of itself the usual delay rises a window

    def __init__(self, least: float, most: float) -> None:
        self.least, self.most = least, max(least, most)
        self.now_most = self.most
        self.usual = 0.0
        self.ends, self.seen, self.total, self.peak = 0.0, 0, 0.0, 0.0

    def used(self, open_now: float) -> None:
        self.peak = max(self.peak, open_now)

    def saw(self, now: float, delay: float) -> bool:
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
        self.usual = min(self.usual * (1.0 + self.FORGETS), mean) if self.usual else mean
        slow, before = mean > self.TOLERANCE * self.usual + 5.0, self.now_most
        if slow:
            self.now_most = max(self.least, self.SHRINK * self.now_most)
        elif self.peak > self.NEAR_FULL * self.now_most:
            self.now_most = min(self.most, self.now_most + max(1.0, 0.05 * self.now_most))
        self._open(now)
        return self.now_most < before

    def _open(self, now: float) -> None:
        self.ends, self.seen, self.total, self.peak = now + self.WINDOW, 0, 0.0, 0.0


@dataclass(slots=True, eq=False)
class Share:
    """One party's part of what several share."""

    weight: float
    most: float = 0.0  # bound of its own; 0: none
    open: float = 0.0
    asked: float = 0.0  # when it last wanted something
    peak: float = 0.0  # the most it had open, or wanted, in this span
    before: float = 0.0  # and in the span before
    span_ends: float = 0.0

    def wants(self, now: float, span: float, amount: float) -> None:
        if now >= self.span_ends:
            self.before = self.peak if now < self.span_ends + span else 0.0
            self.peak, self.span_ends = 0.0, now + span
        self.asked, self.peak = now, max(self.peak, self.open + amount)

    def demand(self, now: float, span: float) -> float:
        if now >= self.span_ends + span:
            return self.open
        return max(self.open, self.peak, self.before)


class Shares:
    """Weighted fair shares of a number of open requests, for all that ask for some.

    Each party is sure of its part by weight among those that are active. What they don't use is
    lent; a lender that comes back gets in at once, up to its part, over the bound by HEAD_ROOM at
    most, and until the borrowers have gone down nothing more is lent. Requests are short, so what
    is lent is back within their time.
    """

    SPAN = (
        1_000.0  # ms: who asked for nothing so long has no part; demand is the peak of two of these
    )
    HEAD_ROOM = 0.25
    RECKONED_FOR = 50.0  # ms: how long sums over all parties hold

    def __init__(self, width: float) -> None:
        self.width, self.open = width, 0.0
        self.parties: dict[str, Share] = {}
        self.reckoned_at, self.weights, self.wanted = -1e12, 0.0, 0.0

    def party(self, name: str, weight: float, most: float = 0.0) -> Share:
        share = self.parties.get(name)
        if share is None:
            share = self.parties[name] = Share(weight, most)
            self.reckoned_at = -1e12
        elif (share.weight, share.most) != (weight, most):
            share.weight, share.most, self.reckoned_at = weight, most, -1e12
        return share

    def part(self, share: Share) -> float:
        """What the party is sure of; one request at the least."""
        return max(1.0, self.width * share.weight / max(self.weights, share.weight))

    def may(self, share: Share, now: float, amount: float = 1.0) -> bool:
        wanted, active = share.open + amount, now < share.asked + self.SPAN
        if now >= share.span_ends or wanted > share.peak:
            share.wants(now, self.SPAN, amount)
        share.asked = now
        if not active or now >= self.reckoned_at + self.RECKONED_FOR:
            self._reckon(now)
        if share.most and wanted > share.most:
            return False
        if self.open + amount + self.wanted <= self.width:
            return True
        if share.open + amount <= self.part(share):
            return self.open + amount <= self.width * (1.0 + self.HEAD_ROOM) or share.open == 0.0
        kept = self.wanted - max(
            0.0, min(share.demand(now, self.SPAN), self.part(share)) - share.open
        )
        return self.open + amount + max(0.0, kept) <= self.width

    def reach(self, share: Share, now: float) -> float:
        """The most that a party may have open now, by itself."""
        kept = self.wanted - max(
            0.0, min(share.demand(now, self.SPAN), self.part(share)) - share.open
        )
        return max(self.part(share), self.width - (self.open - share.open) - max(0.0, kept))

    def take(self, share: Share, amount: float = 1.0) -> None:
        share.open += amount
        self.open += amount

    def give(self, share: Share, amount: float = 1.0) -> None:
        left, whole = share.open - amount, self.open - amount
        share.open = (
            left if left > 1e-6 else 0.0
        )  # bodies count in fractions, whose sums are not whole
        self.open = whole if whole > 1e-6 else 0.0

    def _reckon(self, now: float) -> None:
        """Sums over the active parties; those that left long ago are forgotten."""
        self.reckoned_at, self.weights, self.wanted = now, 0.0, 0.0
        for name, share in list(self.parties.items()):
            if now < share.asked + self.SPAN or share.open > 0.0:
                self.weights += share.weight
            elif now >= share.asked + 60.0 * self.SPAN:
                del self.parties[name]
        for (
            share
        ) in self.parties.values():  # what each is sure of, wants, and has not: it is not lent
            if now < share.asked + 2.0 * self.SPAN:
                self.wanted += max(
                    0.0, min(share.demand(now, self.SPAN), self.part(share)) - share.open
                )


@dataclass(slots=True, eq=False)
class Lane:
    """One party's part of a rate."""

    weight: float
    pace: Pace
    asked: float = -1e12
    taken: int = 0  # since the last reckoning
    used: float = 0.0  # a second, smoothed


class FairPace:
    """Weighted fair shares of a rate. Each active party has its part for sure; what others leave of
    the whole is lent to whoever comes first.
    """

    ACTIVE, RECKONED_FOR, BURST = 1_000.0, 100.0, 0.1

    def __init__(self, rate: float) -> None:
        """`rate` a second; 0: no bound."""
        self.rate, self.whole = rate, Pace(rate, self.BURST * rate)
        self.lanes: dict[str, Lane] = {}
        self.reckoned_at, self.weights = -1e12, 0.0

    def renew(self, rate: float) -> None:
        if rate != self.rate:
            whole_at, self.rate, self.whole = (
                self.whole.whole_at,
                rate,
                Pace(rate, self.BURST * rate),
            )
            self.whole.whole_at, self.reckoned_at = whole_at, -1e12

    def lane(self, name: str, weight: float) -> Lane:
        lane = self.lanes.get(name)
        if lane is None:
            lane = self.lanes[name] = Lane(weight, Pace(0.0, 0.0))
            self.reckoned_at = -1e12
        lane.weight = weight
        return lane

    def part(self, lane: Lane) -> float:
        return self.rate * lane.weight / max(self.weights, lane.weight)

    def wait(self, lane: Lane, now: float) -> float:
        """0: a request may come; else ms until then."""
        if not self.rate:
            return 0.0
        if now >= lane.asked + self.ACTIVE or now >= self.reckoned_at + self.RECKONED_FOR:
            lane.asked = now
            self._reckon(now)
        lane.asked = now
        own = lane.pace.wait(now)
        return 0.0 if own == 0.0 else min(own, self.whole.wait(now))

    def take(self, lane: Lane, now: float) -> None:
        if not self.rate:
            return
        if lane.pace.wait(now) == 0.0:
            lane.pace.take(now)
        lane.taken += 1
        self.whole.take(now)
        self.whole.whole_at = min(self.whole.whole_at, now + self.ACTIVE)

    def free_for(self, lane: Lane) -> float:
        """What a party may reach: its part, and what the others leave of theirs."""
        return max(
            self.part(lane),
            self.rate
            - sum(
                min(self.part(other), 1.25 * other.used)
                for other in self.lanes.values()
                if other is not lane
            ),
        )

    def _reckon(self, now: float) -> None:
        span = now - self.reckoned_at
        if span >= self.RECKONED_FOR:
            for lane in self.lanes.values():
                lane.used, lane.taken = 0.5 * lane.used + 500.0 * lane.taken / span, 0
        self.reckoned_at = now if span >= self.RECKONED_FOR else self.reckoned_at
        for name in [
            name for name, lane in self.lanes.items() if now >= lane.asked + 60.0 * self.ACTIVE
        ]:
            del self.lanes[name]
        active = [lane for lane in self.lanes.values() if now < lane.asked + self.ACTIVE]
        self.weights = sum(lane.weight for lane in active)
        for lane in active:
            whole_at, part = lane.pace.whole_at, self.part(lane)
            lane.pace = Pace(part, self.BURST * part)
            lane.pace.whole_at = whole_at


def advice(wait: float, most: float = LONGEST_WAIT) -> float:
    """When to come back, ms: the wait as known, within bounds."""
    return min(max(wait, LEAST_WAIT), most)

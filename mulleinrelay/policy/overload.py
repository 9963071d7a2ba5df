"""What keeps further attempts and retries from feeding the overload that made them; pure, times in
ms.

A request that is rejected comes again, and one that a full cache turned away goes to the next:
together they can hold a fleet down after the cause has gone. No director sees the fleet, but each
sees the share of its own requests that it rejects. The more that are, the less each request earns
for further attempts, and none while half are. An attempt that was turned away costs as much as any:
that it ended at once says that the node is full, and its peers are about to be.
"""

COUNT_HALF_LIFE = 2000.0  # of what was counted
OVERLOAD_FRACTION = (
    0.1  # of rejections among requests that is logged as a mode; half of it ends the mode
)
RETRIES_PER_REQUEST = 0.15  # further attempts that a request earns where none is rejected
NO_RETRY_FRACTION = 0.5  # share of rejections at which it earns none
MEAN_RETRY_AFTER = (
    100.0  # mean advice to what is rejected: the goal runs on, a jam is seen again at once
)
QUICK_FAILURE_FRACTION, QUICK_FAILURE_COST = (
    0.25,
    0.3,
)  # a further attempt after one that ended in that part of its work


class OverloadDetector:
    """One director's requests and rejections of the last seconds."""

    def __init__(self) -> None:
        self.requests = self.rejected = self.due = 0.0
        self.is_overloaded = False

    def record_request(self, now: float) -> bool:
        """A request has come; whether the mode changed with it."""
        if now >= self.due:
            kept = 0.5 ** min(30, 1 + int((now - self.due) / COUNT_HALF_LIFE))
            self.requests, self.rejected, self.due = (
                self.requests * kept,
                self.rejected * kept,
                now + COUNT_HALF_LIFE,
            )
        self.requests += 1.0
        before, self.is_overloaded = (
            self.is_overloaded,
            self.rejected
            > (OVERLOAD_FRACTION / 2 if self.is_overloaded else OVERLOAD_FRACTION) * self.requests,
        )
        return before != self.is_overloaded

    def record_rejection(self) -> None:
        self.rejected += 1.0

    def rejected_fraction(self) -> float:
        return min(1.0, self.rejected / max(1.0, self.requests))

    def retries_earned(self) -> float:
        """Further attempts that a request earns now."""
        return RETRIES_PER_REQUEST * max(0.0, 1.0 - self.rejected_fraction() / NO_RETRY_FRACTION)


def retry_after(chance: float, most: float) -> float:
    """When a client is told to come back, so that those rejected together don't come
    back together.
    """
    return min(MEAN_RETRY_AFTER * (0.5 + chance), most)


def retry_cost(turned_away: bool, took: float, work: float) -> float:
    """Of a further attempt after one that took so long, `work` being what it was to take."""
    return QUICK_FAILURE_COST if not turned_away and took < QUICK_FAILURE_FRACTION * work else 1.0

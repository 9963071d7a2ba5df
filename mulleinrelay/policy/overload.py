"""What keeps further attempts and retries from feeding the overload that made them; pure, times in
ms.

A request that is rejected comes again, and one that a full cache turned away goes to the next:
together they can hold a fleet down after the cause has gone. No director sees the fleet, but each
sees the share of its own requests that it rejects. The more that are, the less each request earns
for further attempts, and none while half are. An attempt that was turned away costs as much as any:
that it ended at once says that the node is full, and its peers are about to be.
"""

HALVING = 2000.0  # of what was counted
SHARE = 0.1  # of rejections among requests that is logged as a mode; half of it ends the mode
EARNED = 0.15  # further attempts that a request earns where none is rejected
NONE_AT = 0.5  # share of rejections at which it earns none
COME_BACK = 100.0  # mean advice to what is rejected: the goal runs on, a jam is seen again at once
QUICK, QUICK_COST = 0.25, 0.3  # a further attempt after one that ended in that part of its work


class OverloadDetector:
    """One director's requests and rejections of the last seconds."""

    def __init__(self) -> None:
        self.requests = self.rejected = self.due = 0.0
        self.on = False

    def requested(self, now: float) -> bool:
        """A request has come; whether the mode changed with it."""
        if now >= self.due:
            kept = 0.5 ** min(30, 1 + int((now - self.due) / HALVING))
            self.requests, self.rejected, self.due = (
                self.requests * kept,
                self.rejected * kept,
                now + HALVING,
            )
        self.requests += 1.0
        before, self.on = self.on, self.rejected > (SHARE / 2 if self.on else SHARE) * self.requests
        return before != self.on

    def note_rejected(self) -> None:
        self.rejected += 1.0

    def share(self) -> float:
        return min(1.0, self.rejected / max(1.0, self.requests))

    def earned(self) -> float:
        """Further attempts that a request earns now."""
        return EARNED * max(0.0, 1.0 - self.share() / NONE_AT)


def come_back(chance: float, most: float) -> float:
    """When a client is told to come back, so that those rejected together don't come
    back together.
    """
    return min(COME_BACK * (0.5 + chance), most)


def cost(turned_away: bool, took: float, work: float) -> float:
    """Of a further attempt after one that took so long, `work` being what it was to take."""
    return QUICK_COST if not turned_away and took < QUICK * work else 1.0

"""One director's part of what a cold node may be sent; pure, times and work in ms.

All directors together keep a cold node within what it can do, and none knows what the others send.
So each has an equal part of it, counted over the span in which the node would fall. With hundreds
of directors that part is less than one request, and a rule that lets nothing through beyond the
part leaves the node idle for as long as it is cold. Beyond the part a director draws tickets at
random: each lets one request through, comes as often as the part pays for it, and lapses soon, so
that a moment at which all want the same node finds few tickets in hand.

With directors that draw independently, what all send in a span has a mean of at most FILL, or
TICKET_FILL * (1 + LAPSE), of what the node can do, and spreads as a sum of independent requests
does.
"""

import math
from random import Random

from .model import QuotaShare

SHARE_FRACTION = (
    0.8  # of the node's present capacity that all directors together go to where each has room
)
GRANT_FRACTION = 0.4  # and where they draw: what comes by chance comes in clusters
GRANT_LIFETIME = (
    1.0  # of the span, after which a ticket is of no more use: who asks rarely must find it in hand
)


class SlowStartBudget:
    """What one director may send one cold node."""

    def __init__(self) -> None:
        self.spent: list[tuple[float, float]] = []  # when, work
        self.looked, self.until, self.worth = (
            -math.inf,
            -math.inf,
            0.0,
        )  # the last draw; the ticket in hand

    def spend(self, now: float, work: float) -> None:
        self.spent.append((now, work))
        self.until = -math.inf

    def record_peaks(self, share: QuotaShare, work: float, fits: bool, whole: float) -> None:
        """How large a part of the node's capacity over the span, `whole`, this would take."""
        part = (sum(held for _, held in self.spent) + work) / (SHARE_FRACTION * whole)
        if fits:
            share.peak_used = max(share.peak_used, part)
        else:
            share.peak_rejected = max(share.peak_rejected, part)

    def try_admit(self, now: float, work: float, part: float, span: float, random: Random) -> bool:
        """Whether a request of `work` may go. `part`: of the node's present capacity, work a ms;
        the same for the same moment however often it is asked.
        """
        self.spent = [(at, spent) for at, spent in self.spent if at >= now - span]
        spent = sum(held for _, held in self.spent)
        if spent + work <= SHARE_FRACTION * part * span:
            return True
        if now < self.until and work <= self.worth:
            return True
        since, self.looked = min(now - self.looked, GRANT_LIFETIME * span), now
        left = GRANT_FRACTION * part - spent / span
        if left <= 0.0 or random.random() >= 1.0 - math.exp(-left * since / max(work, 1.0)):
            return False
        self.until, self.worth = now + GRANT_LIFETIME * span - since * random.random(), work
        return True

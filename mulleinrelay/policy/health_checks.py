"""Which nodes a director asks for an echo or a report, and when; pure, times in ms.

What one director asks adds up over hundreds: a node that is doubted by all is asked by all, and
reports are asked for by those who hardly need them. So a doubted node is asked more rarely the more
directors share it, each at a moment of its own, and reports are earned by requests.
"""

import math
from collections.abc import Collection, Hashable, Sequence
from random import Random

ECHO_LEAST, ECHO_EACH = (
    500.0,
    50.0,
)  # a doubted node is asked so often, or once in so much for each sharer
REPORT_EVERY = 500.0  # between two reports of one director at the least
REPORT_EARNED, REPORTS_MOST = 0.2, 4.0  # reports that a request earns; that may be saved up
USUAL_PRICE = 0.014  # of one probe a request, in credit, up to which it earns so many
UNWATCHED = 30_000.0  # a director with hardly a request still asks once in so long


def pace(sharers: int) -> float:
    """How often one director asks a doubted node that so many share."""
    return max(ECHO_LEAST, ECHO_EACH * sharers)


class HealthCheckScheduler:
    """One director's questions."""

    def __init__(self, now: float, random: Random, reports: bool, price: float = 0.0) -> None:
        """`price`: of one probe a request. What reports are worth falls as one over their rate, so
        that the best rate falls with the root of the price.
        """
        self.earns = REPORT_EARNED * math.sqrt(USUAL_PRICE / max(price, USUAL_PRICE))
        self.random, self.reports = random, reports
        self.echoes: dict[
            Hashable, tuple[float, float]
        ] = {}  # doubted nodes: when each is asked, how often
        self.earned = random.random()
        self.report_due = (
            now + REPORT_EVERY * random.random()
        )  # directors start together; they ask apart
        self.watch_due = now + UNWATCHED * random.random()

    def requested(self) -> None:
        self.earned = min(REPORTS_MOST, self.earned + self.earns)

    def doubts(self, node: Hashable, now: float, sharers: int, within: float = math.inf) -> None:
        """It is not reached any more: it is asked for an echo until it answers, first `within` so
        long. `sharers`: directors that may ask it.
        """
        every = pace(sharers)
        first = min(within, every) * (0.25 + 0.75 * self.random.random())
        if node not in self.echoes or first < self.echoes[node][0] - now:
            self.echoes[node] = now + first, every

    def heard(self, node: Hashable) -> None:
        self.echoes.pop(node, None)

    def only(self, nodes: Collection[Hashable]) -> None:
        """No others are asked any more."""
        self.echoes = {node: held for node, held in self.echoes.items() if node in nodes}

    def due(self, now: float, listed: Sequence[Hashable]) -> list[Hashable]:
        """Whom to ask now: doubted nodes at their time, and one of `listed` for a report."""
        found = [node for node, (at, _) in self.echoes.items() if now >= at]
        for node in found:
            every = self.echoes[node][1]
            self.echoes[node] = now + every * (0.75 + 0.5 * self.random.random()), every
        wanted = now >= self.report_due and (self.earned >= 1.0 or now >= self.watch_due)
        if self.reports and listed and wanted:
            self.earned = max(0.0, self.earned - 1.0)
            self.report_due, self.watch_due = now + REPORT_EVERY, now + UNWATCHED
            found.append(self.random.choice(listed))
        return found

"""Which nodes a director asks for an echo or a report, and when; pure, times in ms.

What one director asks adds up over hundreds: a node that is doubted by all is asked by all, and
reports are asked for by those who hardly need them. So a doubted node is asked more rarely the more
directors share it, each at a moment of its own, and reports are earned by requests.
"""

import math
from collections.abc import Collection, Hashable, Sequence
from random import Random

MIN_PING_INTERVAL, PING_INTERVAL_PER_DIRECTOR = (
    500.0,
    50.0,
)  # a doubted node is asked so often, or once in so much for each sharer
MIN_POLL_INTERVAL = 500.0  # between two reports of one director at the least
POLLS_PER_REQUEST, MAX_SAVED_POLLS = 0.2, 4.0  # reports that a request earns; that may be saved up
REFERENCE_POLL_COST = 0.014  # of one probe a request, in credit, up to which it earns so many
MAX_POLL_INTERVAL = 30_000.0  # a director with hardly a request still asks once in so long


def ping_interval(sharers: int) -> float:
    """How often one director asks a doubted node that so many share."""
    return max(MIN_PING_INTERVAL, PING_INTERVAL_PER_DIRECTOR * sharers)


class HealthCheckScheduler:
    """One director's questions."""

    def __init__(self, now: float, random: Random, reports: bool, price: float = 0.0) -> None:
        """`price`: of one probe a request. What reports are worth falls as one over their rate, so
        that the best rate falls with the root of the price.
        """
        self.earns = POLLS_PER_REQUEST * math.sqrt(
            REFERENCE_POLL_COST / max(price, REFERENCE_POLL_COST)
        )
        self.random, self.reports = random, reports
        self.echoes: dict[
            Hashable, tuple[float, float]
        ] = {}  # doubted nodes: when each is asked, how often
        self.saved_polls = random.random()
        self.report_due = (
            now + MIN_POLL_INTERVAL * random.random()
        )  # directors start together; they ask apart
        self.watch_due = now + MAX_POLL_INTERVAL * random.random()

    def record_request(self) -> None:
        self.saved_polls = min(MAX_SAVED_POLLS, self.saved_polls + self.earns)

    def schedule_pings(
        self, node: Hashable, now: float, sharers: int, within: float = math.inf
    ) -> None:
        """It is not reached any more: it is asked for an echo until it answers, first `within` so
        long. `sharers`: directors that may ask it.
        """
        every = ping_interval(sharers)
        first = min(within, every) * (0.25 + 0.75 * self.random.random())
        if node not in self.echoes or first < self.echoes[node][0] - now:
            self.echoes[node] = now + first, every

    def cancel_pings(self, node: Hashable) -> None:
        self.echoes.pop(node, None)

    def cancel_pings_except(self, nodes: Collection[Hashable]) -> None:
        """No others are asked any more."""
        self.echoes = {node: held for node, held in self.echoes.items() if node in nodes}

    def take_due(self, now: float, listed: Sequence[Hashable]) -> list[Hashable]:
        """Whom to ask now: doubted nodes at their time, and one of `listed` for a report."""
        found = [node for node, (at, _) in self.echoes.items() if now >= at]
        for node in found:
            every = self.echoes[node][1]
            self.echoes[node] = now + every * (0.75 + 0.5 * self.random.random()), every
        wanted = now >= self.report_due and (self.saved_polls >= 1.0 or now >= self.watch_due)
        if self.reports and listed and wanted:
            self.saved_polls = max(0.0, self.saved_polls - 1.0)
            self.report_due, self.watch_due = now + MIN_POLL_INTERVAL, now + MAX_POLL_INTERVAL
            found.append(self.random.choice(listed))
        return found

"""Whether a location's caches are reached at all: tells a cut, or the loss of the whole location,
from caches that fail one by one; pure, times in ms.

A director that meets each of its caches every few seconds would find them dead one after the other,
a request or two lost for each, for as long as the cut lasts. But what it sends next to whichever
cache fails alike, and no cache says a word: a few in a row that fail so, with nothing heard of any
in between, tell that the whole location is not reached. No cache is judged for it. A few are asked
for echoes, soon for the first time, since the judgement may be wrong; the first word of any ends
it, and what was shunned for silence meanwhile is taken back with it. Each director hears at a
moment of its own, so that they don't come back together. Where slow caches were taken for a cut,
more must fail in a row the next time.
"""

import math
from collections.abc import Collection, Hashable
from random import Random

PART, LEAST = 0.25, 2  # of the listed caches that must fail in a row, and how many at the least
WITHIN = 5000.0  # failures longer ago don't count: what one director sends may be seconds apart
ASKED_EVERY = 1000.0  # of those asked, one echo in so long, where each is asked at its own pace
REAL = 1000.0  # a cut that lasted less was none, and what failed in it did so for itself
DOUBLINGS_MOST, FORGIVEN = (
    3,
    30_000.0,
)  # of how many must fail, for each that was none; one less in so long


class ZoneReachability:
    """One director's view of its location."""

    def __init__(self) -> None:
        self.nodes: dict[Hashable, None] = {}
        self.failed: dict[Hashable, float] = {}
        self.since: float | None = None  # of the cut: its first failure
        self.began, self.false, self.forgives = (
            0.0,
            0,
            0.0,
        )  # the last cut; judgements that were wrong

    @property
    def cut(self) -> bool:
        return self.since is not None

    def listed(self, nodes: Collection[Hashable], anew: bool) -> None:
        """These are the location's caches now. `anew`: one has started since, and nothing is known
        of it.
        """
        if anew or not nodes:
            self.failed, self.since = {}, None
        self.nodes = dict.fromkeys(nodes)
        self.failed = {node: at for node, at in self.failed.items() if node in self.nodes}

    def fails(self, now: float, node: Hashable) -> bool:
        """It is not reached, or an attempt there is overdue: whether the location counts as cut off
        now.
        """
        if self.cut or node not in self.nodes:
            return False
        if self.false and now > self.forgives:
            self.false, self.forgives = self.false - 1, now + FORGIVEN
        self.failed = {other: at for other, at in self.failed.items() if at > now - WITHIN} | {
            node: now
        }
        wanted = max(LEAST, math.ceil(PART * len(self.nodes))) * 2**self.false
        if len(self.nodes) < LEAST or len(self.failed) < min(wanted, len(self.nodes)):
            return False
        self.since, self.began = min(self.failed.values()), now
        return True

    def heard(self, now: float, node: Hashable) -> float | None:
        """A word of this one; where a cut ends with it, since when it was one, else None. What was
        shunned for silence since then may come back. Infinite where it was too short to be one.
        """
        if node not in self.nodes:
            return None
        self.failed, since, self.since = {}, self.since, None
        if since is None or now > self.began + REAL:
            return since
        self.false, self.forgives = min(DOUBLINGS_MOST, self.false + 1), now + FORGIVEN
        return math.inf

    def asked(self, every: float, random: Random) -> list[Hashable]:
        """Which are asked for echoes while it lasts, each once in `every`."""
        count = max(LEAST, math.ceil(every / ASKED_EVERY))
        return random.sample(list(self.nodes), min(count, len(self.nodes)))

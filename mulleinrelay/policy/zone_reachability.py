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

MIN_FAILED_FRACTION, MIN_FAILED_CACHES = (
    0.25,
    2,
)  # of the listed caches that must fail in a row, and how many at the least
FAILURE_WINDOW = (
    5000.0  # failures longer ago don't count: what one director sends may be seconds apart
)
PING_SPACING = 1000.0  # of those asked, one echo in so long, where each is asked at its own pace
MIN_OUTAGE = 1000.0  # a cut that lasted less was none, and what failed in it did so for itself
MAX_THRESHOLD_DOUBLINGS, FALSE_ALARM_LIFETIME = (
    3,
    30_000.0,
)  # of how many must fail, for each that was none; one less in so long


class ZoneReachability:
    """One director's view of its location."""

    def __init__(self) -> None:
        self.caches: dict[Hashable, None] = {}
        self.recent_failures: dict[Hashable, float] = {}
        self.since: float | None = None  # of the cut: its first failure
        self.began, self.false, self.forgives = (
            0.0,
            0,
            0.0,
        )  # the last cut; judgements that were wrong

    @property
    def is_unreachable(self) -> bool:
        return self.since is not None

    def update_caches(self, nodes: Collection[Hashable], anew: bool) -> None:
        """These are the location's caches now. `anew`: one has started since, and nothing is known
        of it.
        """
        if anew or not nodes:
            self.recent_failures, self.since = {}, None
        self.caches = dict.fromkeys(nodes)
        self.recent_failures = {
            node: at for node, at in self.recent_failures.items() if node in self.caches
        }

    def record_failure(self, now: float, node: Hashable) -> bool:
        """It is not reached, or an attempt there is overdue: whether the location counts as cut off
        now.
        """
        if self.is_unreachable or node not in self.caches:
            return False
        if self.false and now > self.forgives:
            self.false, self.forgives = self.false - 1, now + FALSE_ALARM_LIFETIME
        self.recent_failures = {
            other: at for other, at in self.recent_failures.items() if at > now - FAILURE_WINDOW
        } | {node: now}
        wanted = (
            max(MIN_FAILED_CACHES, math.ceil(MIN_FAILED_FRACTION * len(self.caches)))
            * 2**self.false
        )
        if len(self.caches) < MIN_FAILED_CACHES or len(self.recent_failures) < min(
            wanted, len(self.caches)
        ):
            return False
        self.since, self.began = min(self.recent_failures.values()), now
        return True

    def record_response(self, now: float, node: Hashable) -> float | None:
        """A word of this one; where a cut ends with it, since when it was one, else None. What was
        shunned for silence since then may come back. Infinite where it was too short to be one.
        """
        if node not in self.caches:
            return None
        self.recent_failures, since, self.since = {}, self.since, None
        if since is None or now > self.began + MIN_OUTAGE:
            return since
        self.false, self.forgives = (
            min(MAX_THRESHOLD_DOUBLINGS, self.false + 1),
            now + FALSE_ALARM_LIFETIME,
        )
        return math.inf

    def sample_for_pings(self, every: float, random: Random) -> list[Hashable]:
        """Which are asked for echoes while it lasts, each once in `every`."""
        count = max(MIN_FAILED_CACHES, math.ceil(every / PING_SPACING))
        return random.sample(list(self.caches), min(count, len(self.caches)))

"""How often each object was asked for of late, and at how many caches it belongs; pure, times in
ms.

A share of 2% can't be told from few requests: a director with four a second sees an object that the
whole location asks for once in ten seconds. So a span goes on until its requests tell such a share,
for a while; what all ask for then reaches a further cache at each of hundreds of directors, which
see it rarely.
"""

from collections.abc import Hashable

HOT_FRACTION, MIN_HOT_COUNT = (
    0.02,
    4.0,
)  # share of recent requests, and sightings, for an object at one more cache
WINDOW, MAX_WINDOWS = 10_000.0, 3  # counted over spans, the last one at half weight; a long one


class Popularity:
    """One director's sightings."""

    def __init__(self, now: float) -> None:
        self.counts: dict[Hashable, int] = {}
        self.older: dict[Hashable, int] = {}
        self.total, self.older_total, self.began = 0, 0, now

    def record(self, now: float, what: Hashable) -> bool:
        """It was asked for; whether a new span begins with it."""
        tells = self.total >= MIN_HOT_COUNT / HOT_FRACTION
        if turned := now >= self.began + (WINDOW if tells else MAX_WINDOWS * WINDOW):
            self.older, self.counts, self.older_total, self.total = self.counts, {}, self.total, 0
            self.began = now
        self.counts[what] = self.counts.get(what, 0) + 1
        self.total += 1
        return turned

    def count(self, what: Hashable) -> float:
        """Sightings, older ones at half weight."""
        return self.counts.get(what, 0) + 0.5 * self.older.get(what, 0)

    def cache_count(self, what: Hashable) -> int:
        """At how many caches it belongs: one more for each such share."""
        hot = max(MIN_HOT_COUNT, HOT_FRACTION * (self.total + 0.5 * self.older_total))
        return 1 + int(self.count(what) / hot)

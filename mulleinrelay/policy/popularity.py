"""Popularity of objects: how often each was requested lately, and how many caches should hold it.

Requests are counted per object in windows. An object belongs at one cache, and at one more for each
`HOT_FRACTION` of recent requests that are for it.

Such a fraction cannot be measured with few requests: a director with four requests a second sees an
object that the whole location requests often only once in ten seconds. So a window is extended, up
to `MAX_WINDOWS` times, until it has enough requests to show the fraction. Objects that are hot over
a whole location then spread to more caches at each of hundreds of directors, although each director
rarely sees them.

Pure: no I/O, no clock. Times are milliseconds of the caller's clock. Not thread-safe.
"""

from collections.abc import Hashable

# An object belongs at one more cache for each such fraction of recent requests ...
HOT_FRACTION = 0.02
# ... but for at least so many requests, so that a few by chance don't make an object hot.
MIN_HOT_COUNT = 4.0
# Length of a window in ms; the window before the current one counts with half weight.
WINDOW = 10_000.0
# A window with few requests lasts so many times as long.
MAX_WINDOWS = 3


class Popularity:
    """The requests of one director, counted by object.

    An object is identified by any hashable key.
    """

    def __init__(self, now: float) -> None:
        self._counts: dict[Hashable, int] = {}
        self._previous_counts: dict[Hashable, int] = {}
        self._total = 0
        self._previous_total = 0
        self._window_started_at = now

    def record(self, now: float, key: Hashable) -> bool:
        """Counts a request for an object.

        Returns:
            Whether a new window has begun with it.
        """
        has_enough_requests = self._total >= MIN_HOT_COUNT / HOT_FRACTION
        window = WINDOW if has_enough_requests else MAX_WINDOWS * WINDOW
        is_window_over = now >= self._window_started_at + window
        if is_window_over:
            self._begin_window(now)
        self._counts[key] = self._counts.get(key, 0) + 1
        self._total += 1
        return is_window_over

    def count(self, key: Hashable) -> float:
        """Recent requests for an object; those of the previous window have half weight."""
        return self._counts.get(key, 0) + 0.5 * self._previous_counts.get(key, 0)

    def cache_count(self, key: Hashable) -> int:
        """At how many caches an object belongs, 1 or more."""
        total = self._total + 0.5 * self._previous_total
        requests_per_cache = max(MIN_HOT_COUNT, HOT_FRACTION * total)
        return 1 + int(self.count(key) / requests_per_cache)

    def _begin_window(self, now: float) -> None:
        self._previous_counts = self._counts
        self._previous_total = self._total
        self._counts = {}
        self._total = 0
        self._window_started_at = now

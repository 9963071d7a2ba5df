"""Popularity of objects: how often each was requested recently, and how many caches should hold it.

Requests are counted per object in time windows. An object should be held by one cache, and by one
more for each `HOT_FRACTION` of recent requests that are for it.

Such a small fraction cannot be measured with few requests. A director with four requests a second
may receive only one request in ten seconds for an object that is hot in the whole location.
Therefore a window is extended, up to `MAX_WINDOWS` times its length, until it has enough requests
to show the fraction. Objects that are hot in a whole location are then spread to more caches by
each of hundreds of directors, although each director rarely receives requests for them.

The number of counted objects is bounded, as clients may request new objects at any rate. When the
counts are full, a request for another object is not counted, but reduces each count by one. A count
is therefore too low by at most the number of requests divided by `MAX_OBJECTS`. Source: Misra and
Gries, "Finding repeated elements", Science of Computer Programming 2(2), 1982.

No I/O and no clock: the time is an argument, in ms. Not thread-safe.
"""

from collections.abc import Hashable

# An object should be held by one more cache for each `HOT_FRACTION` of recent requests that are for
# it.
HOT_FRACTION = 0.02
# Minimum number of an object's requests for each additional cache, so that a few random requests do
# not make the object hot.
MIN_HOT_COUNT = 4.0
# Length of a window in ms; the previous window counts with half weight.
WINDOW = 10_000.0
# Maximum multiple of its length to which a window with few requests is extended.
MAX_WINDOWS = 3
MAX_OBJECTS = 4096  # that are counted in a window


class Popularity:
    """Requests of one director, counted by object.

    An object is identified by any hashable key.
    """

    def __init__(self, now: float) -> None:
        self._counts: dict[Hashable, int] = {}
        self._previous_counts: dict[Hashable, int] = {}
        self._total = 0
        self._previous_total = 0
        self._window_started_at = now

    def record(self, now: float, key: Hashable) -> bool:
        """Count a request for the object `key`.

        Returns:
            Whether a new window has begun with this request.
        """
        has_enough_requests = self._total >= MIN_HOT_COUNT / HOT_FRACTION
        window = WINDOW if has_enough_requests else MAX_WINDOWS * WINDOW
        is_window_over = now >= self._window_started_at + window
        if is_window_over:
            self._begin_window(now)
        self._total += 1
        if key in self._counts or len(self._counts) < MAX_OBJECTS:
            self._counts[key] = self._counts.get(key, 0) + 1
        else:
            self._reduce_counts()
        return is_window_over

    def count(self, key: Hashable) -> float:
        """Return an object's number of recent requests; the previous window has half weight."""
        return self._counts.get(key, 0) + 0.5 * self._previous_counts.get(key, 0)

    def cache_count(self, key: Hashable) -> int:
        """Return how many caches should hold an object, 1 or more."""
        total = self._total + 0.5 * self._previous_total
        requests_per_cache = max(MIN_HOT_COUNT, HOT_FRACTION * total)
        return 1 + int(self.count(key) / requests_per_cache)

    def _reduce_counts(self) -> None:
        """Reduce all counts by one, and remove the objects without a count."""
        self._counts = {key: count - 1 for key, count in self._counts.items() if count > 1}

    def _begin_window(self, now: float) -> None:
        self._previous_counts = self._counts
        self._previous_total = self._total
        self._counts = {}
        self._total = 0
        self._window_started_at = now

"""Zone reachability: whether the caches of a zone can be reached at all.

A network partition, or the loss of a whole zone, looks at first like caches that fail one by one. A
director that sends each of its caches a request every few seconds would lose a request or two for
each of them, for as long as the partition lasts.

What is measured: the caches that failed to respond most recently, with no response of any cache in
between. What is decided: once enough different caches have failed so, the zone counts as
unreachable. No single cache is judged by it. A few caches are pinged, soon for the first time, as
the decision may be wrong. The first response of any cache ends it, and the caches that were ejected
for silence meanwhile are reinstated. Every director gets that response at a moment of its own, so
that they don't return to the zone together.

An outage that is over within `MIN_OUTAGE` of its detection was a false alarm: the caches were only
slow. More of them must then fail in a row before the next one.

Pure: no I/O, no clock; the source of randomness is passed in. Times are milliseconds of the
caller's clock. Not thread-safe.
"""

import math
from collections.abc import Collection, Hashable
from random import Random

# Fraction of the zone's caches that must fail in a row, and how many at the least.
MIN_FAILED_FRACTION = 0.25
MIN_FAILED_CACHES = 2
# Failures count for so many ms: what one director sends may be seconds apart.
FAILURE_WINDOW = 5000.0
# While the zone is unreachable so many caches are pinged that one ping is sent about every so many
# ms, as each of them has an interval of its own.
PING_SPACING = 1000.0
# An outage that ends fewer ms after its detection was a false alarm.
MIN_OUTAGE = 1000.0
# Each false alarm doubles how many caches must fail, at most so often.
MAX_THRESHOLD_DOUBLINGS = 3
# One false alarm is forgotten in so many ms.
FALSE_ALARM_LIFETIME = 30_000.0


class ZoneReachability:
    """Whether one director can reach the caches of its zone.

    Attributes:
        caches: The zone's caches, each identified by any hashable key; the values are unused.
        recent_failures: When each of them failed last, in ms, since any of them responded.
    """

    def __init__(self) -> None:
        self.caches: dict[Hashable, None] = {}
        self.recent_failures: dict[Hashable, float] = {}
        self._unreachable_since: float | None = None  # the first failure of the present outage
        self._detected_at = 0.0  # of the last outage
        self._false_alarms = 0
        self._false_alarm_expires_at = 0.0

    @property
    def is_unreachable(self) -> bool:
        """Whether the zone counts as unreachable now."""
        return self._unreachable_since is not None

    def update_caches(self, caches: Collection[Hashable], has_restarted: bool) -> None:
        """Sets the zone's caches.

        Args:
            caches: All caches that are ready.
            has_restarted: One of them has started since the last update. Nothing is known of it, so
                that the zone counts as reachable again.
        """
        if has_restarted or not caches:
            self.recent_failures = {}
            self._unreachable_since = None
        self.caches = dict.fromkeys(caches)
        self.recent_failures = {
            cache: failed_at
            for cache, failed_at in self.recent_failures.items()
            if cache in self.caches
        }

    def record_failure(self, now: float, cache: Hashable) -> bool:
        """Records that a cache could not be reached, or that an attempt there is overdue.

        Returns:
            Whether the zone has become unreachable with it.
        """
        if self.is_unreachable or cache not in self.caches:
            return False
        if self._false_alarms and now > self._false_alarm_expires_at:
            self._false_alarms -= 1
            self._false_alarm_expires_at = now + FALSE_ALARM_LIFETIME
        self.recent_failures = {
            other: failed_at
            for other, failed_at in self.recent_failures.items()
            if failed_at > now - FAILURE_WINDOW
        }
        self.recent_failures[cache] = now
        if not self._have_enough_failed():
            return False
        self._unreachable_since = min(self.recent_failures.values())
        self._detected_at = now
        return True

    def record_response(self, now: float, cache: Hashable) -> float | None:
        """Records that a cache has responded; this ends an outage.

        Returns:
            None where no outage has ended with it. Else the ms from which on caches were ejected
            because of the outage, and may be reinstated; infinite where it was a false alarm, as
            each of these caches was then silent by itself.
        """
        if cache not in self.caches:
            return None
        unreachable_since = self._unreachable_since
        self.recent_failures = {}
        self._unreachable_since = None
        if unreachable_since is None or now > self._detected_at + MIN_OUTAGE:
            return unreachable_since
        self._false_alarms = min(MAX_THRESHOLD_DOUBLINGS, self._false_alarms + 1)
        self._false_alarm_expires_at = now + FALSE_ALARM_LIFETIME
        return math.inf

    def sample_for_pings(self, interval: float, random: Random) -> list[Hashable]:
        """Picks at random the caches to ping while the zone is unreachable.

        Args:
            interval: Each of them is pinged once in so many ms.
            random: The director's source of randomness.
        """
        count = max(MIN_FAILED_CACHES, math.ceil(interval / PING_SPACING))
        return random.sample(list(self.caches), min(count, len(self.caches)))

    def _have_enough_failed(self) -> bool:
        threshold = max(MIN_FAILED_CACHES, math.ceil(MIN_FAILED_FRACTION * len(self.caches)))
        threshold *= 2**self._false_alarms
        if len(self.caches) < MIN_FAILED_CACHES:
            return False  # nothing to compare a single cache with
        return len(self.recent_failures) >= min(threshold, len(self.caches))

"""Zone reachability: whether the caches of a zone can be reached at all.

A network partition, or the loss of a whole zone, looks at first like caches that fail one after the
other. If each cache were judged alone, a director would lose one or two requests for each cache
before it avoids the cache. A director that sends each of its caches a request every few seconds
would then lose requests for as long as the partition lasts.

The input is the set of caches that failed to respond most recently, without a response of any cache
in between. If enough different caches have failed in this way, the zone as a whole is considered
unreachable, without waiting until each cache is ejected. A few caches are pinged. Their first pings
are sent soon, because the decision may be wrong. The first response of any cache ends the outage,
and the caches that were ejected as unreachable during the outage are reinstated. Every director
receives its first response at a different moment, so that directors do not return to the zone
together.

An outage that ends within `MIN_OUTAGE` of its detection was a false alarm: the caches were only
slow. To detect the next outage, more caches must then fail in a row.

No I/O and no clock: the time is an argument, in ms, and the source of randomness is passed in. Not
thread-safe.
"""

import math
from collections.abc import Collection, Hashable
from random import Random

# Fraction of the zone's caches that must fail in a row for an outage, and their minimum number.
MIN_FAILED_FRACTION = 0.25
MIN_FAILED_CACHES = 2
# Time in ms for which a failure counts. It is long because the requests of one director may be
# seconds apart.
FAILURE_WINDOW = 5000.0
# Mean interval in ms between two pings of one director to any cache of an unreachable zone. The
# interval between pings to one cache is given, so this interval determines how many caches are
# pinged.
PING_SPACING = 1000.0
# An outage that ends within this time in ms of its detection was a false alarm.
MIN_OUTAGE = 1000.0
# Each false alarm that has not expired doubles the number of caches that must fail, at most this
# many times.
MAX_THRESHOLD_DOUBLINGS = 3
# One false alarm expires at the first failure that occurs more than this time in ms after the last
# false alarm or the last expiry.
FALSE_ALARM_LIFETIME = 30_000.0


class ZoneReachability:
    """Reachability of the caches of one director's zone.

    Attributes:
        caches: The zone's caches, each identified by any hashable key; the values are unused.
        recent_failures: Time in ms of the last failure of each cache that has failed since the last
            response of any cache. Each new failure removes those older than `FAILURE_WINDOW`.
    """

    def __init__(self) -> None:
        self.caches: dict[Hashable, None] = {}
        self.recent_failures: dict[Hashable, float] = {}
        self._unreachable_since: float | None = None  # time of the current outage's first failure
        self._detected_at = 0.0  # time when the last outage was detected
        self._false_alarms = 0
        self._false_alarm_expires_at = 0.0

    @property
    def is_unreachable(self) -> bool:
        """Whether the zone is considered unreachable now."""
        return self._unreachable_since is not None

    def update_caches(self, caches: Collection[Hashable], has_restarted: bool) -> None:
        """Set the zone's caches; a zone without caches counts as reachable.

        Args:
            caches: All caches that are ready.
            has_restarted: Whether an endpoint of the zone has started since the last update.
                Nothing is known of this endpoint, so the zone is considered reachable again.
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
        """Record that a cache was not reached, or that an attempt there is overdue.

        Failures of endpoints that are not caches of the zone are ignored, and so are failures
        during an outage.

        Returns:
            Whether the zone has become unreachable by this failure.
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
        """Record that a cache has responded, which ends an outage and clears the recent failures.

        Responses of endpoints that are not caches of the zone are ignored.

        Returns:
            None if no outage has ended. Otherwise a time in ms: caches that were ejected at this
            time or later may be reinstated. It is the time of the outage's first failure. After a
            false alarm it is infinite, since each ejected cache was then silent for its own
            reasons.
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
        """Choose at random the caches to ping while the zone is unreachable.

        Args:
            interval: Mean interval in ms at which each chosen cache is pinged.
            random: The director's source of randomness.
        """
        count = max(MIN_FAILED_CACHES, math.ceil(interval / PING_SPACING))
        return random.sample(list(self.caches), min(count, len(self.caches)))

    def _have_enough_failed(self) -> bool:
        threshold = max(MIN_FAILED_CACHES, math.ceil(MIN_FAILED_FRACTION * len(self.caches)))
        threshold *= 2**self._false_alarms
        if len(self.caches) < MIN_FAILED_CACHES:
            return False  # a single cache cannot be compared with another
        return len(self.recent_failures) >= min(threshold, len(self.caches))

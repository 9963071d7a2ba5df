"""Purges: a copy made before an object's last purge must not be served.

No I/O and no clock: the time is an argument, in ms.
"""

from .model import Request

PURGE_MARGIN = 3.0  # ms by which a copy must be younger than the purge
PURGE_LIFETIME_FACTOR = 20.0  # a purge is in force for this multiple of its propagation time
MIN_MAX_AGE = 0.01  # ms; a maximum age of 0 would permit copies of any age


class PurgeHistory:
    """Times of the last purge of each object and group.

    Owns these times; only `record` and `drop_expired` change them.
    """

    def __init__(self, propagation: float) -> None:
        """Create an empty history; a purge takes `propagation` ms to reach all caches."""
        self._lifetime = PURGE_LIFETIME_FACTOR * propagation
        self._purged_at: dict[tuple[str, int], float] = {}

    def __len__(self) -> int:
        """Return the number of objects and groups whose last purge is in the history."""
        return len(self._purged_at)

    def record(self, object_id: int, group: int, purged_at: float) -> None:
        """Record the purge of an object, or of a group if `object_id` is 0."""
        target = ("object", object_id) if object_id else ("group", group)
        self._purged_at[target] = max(self._purged_at.get(target, 0.0), purged_at)

    def last_purge(self, request: Request) -> float:
        """Return when the request's object or its group was last purged; 0 if not in history."""
        return max(
            self._purged_at.get(("object", request.object_id), 0.0),
            self._purged_at.get(("group", request.group), 0.0),
        )

    def max_age(self, request: Request, now: float) -> float:
        """Return the maximum age in ms of a copy that may be served; 0: any age.

        While a purge of the object or its group is in force, only copies made after the last purge
        may be served, and none past the class's freshness lifetime. Otherwise the result is 0.
        """
        purged_at = self.last_purge(request)
        if not purged_at or now - purged_at > self._lifetime:
            return 0.0
        bound = max(MIN_MAX_AGE, now - purged_at - PURGE_MARGIN)
        return min(bound, request.request_class.freshness_lifetime or bound)

    def drop_expired(self, now: float) -> None:
        """Remove the purges that are no longer in force."""
        self._purged_at = {
            target: purged_at
            for target, purged_at in self._purged_at.items()
            if now - purged_at < self._lifetime
        }

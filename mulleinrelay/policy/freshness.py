"""Purges: a copy made before an object's last purge must not be served.

Pure, times in ms.
"""

from .model import Request

PURGE_MARGIN = 3.0  # ms by which a copy must be younger than the purge
PURGE_LIFETIME_FACTOR = 20.0  # multiple of its propagation time for which a purge is in force
MIN_MAX_AGE = 0.01  # ms; 0 would mean any age on the wire


class PurgeHistory:
    """Times of the last purge of each object and group.

    Owns these times; only `record` and `drop_expired` change them.
    """

    def __init__(self, propagation: float) -> None:
        """Create an empty history; `propagation` is how long a purge takes to reach all caches."""
        self._lifetime = PURGE_LIFETIME_FACTOR * propagation
        self._purged_at: dict[tuple[str, int], float] = {}

    def __len__(self) -> int:
        """Return the number of purges in the history."""
        return len(self._purged_at)

    def record(self, object_id: int, group: int, purged_at: float) -> None:
        """Record the purge of an object, or of a group if `object_id` is 0."""
        target = ("object", object_id) if object_id else ("group", group)
        self._purged_at[target] = max(self._purged_at.get(target, 0.0), purged_at)

    def last_purge(self, request: Request) -> float:
        """Return when the request's object or its group was last purged; 0 if never."""
        return max(
            self._purged_at.get(("object", request.object_id), 0.0),
            self._purged_at.get(("group", request.group), 0.0),
        )

    def max_age(self, request: Request, now: float) -> float:
        """Return the maximum age of a copy made after the last purge; 0 if no purge is in force."""
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

"""Purges: no copy that was made before an object's last purge may be served; pure, times in ms."""

from .model import Request

PURGE_MARGIN = 3.0  # ms; a copy must be younger than the purge by so much
PURGE_LIFETIME_FACTOR = 20.0  # a purge binds for this multiple of the time that it takes to spread
MIN_MAX_AGE = 0.01  # ms; 0 would mean any age on the wire


class PurgeHistory:
    """The last purge of each object and group.

    Owns the purge times; changed only by `record` and `drop_expired`.
    """

    def __init__(self, propagation: float) -> None:
        """Starts empty. `propagation`: how long a purge takes to reach all caches."""
        self._lifetime = PURGE_LIFETIME_FACTOR * propagation
        self._purged_at: dict[tuple[str, int], float] = {}

    def __len__(self) -> int:
        """The number of purges that are remembered."""
        return len(self._purged_at)

    def record(self, object_id: int, group: int, purged_at: float) -> None:
        """Remembers the purge of an object, or with `object_id` 0 of a group."""
        target = ("object", object_id) if object_id else ("group", group)
        self._purged_at[target] = max(self._purged_at.get(target, 0.0), purged_at)

    def last_purge(self, request: Request) -> float:
        """When the request's object or its group was last purged; 0: never."""
        return max(
            self._purged_at.get(("object", request.object_id), 0.0),
            self._purged_at.get(("group", request.group), 0.0),
        )

    def max_age(self, request: Request, now: float) -> float:
        """The age that a copy may have by the last purge; 0 where no purge binds it."""
        purged_at = self.last_purge(request)
        if not purged_at or now - purged_at > self._lifetime:
            return 0.0
        bound = max(MIN_MAX_AGE, now - purged_at - PURGE_MARGIN)
        return min(bound, request.request_class.freshness_lifetime or bound)

    def drop_expired(self, now: float) -> None:
        """Forgets the purges that no longer bind."""
        self._purged_at = {
            target: purged_at
            for target, purged_at in self._purged_at.items()
            if now - purged_at < self._lifetime
        }

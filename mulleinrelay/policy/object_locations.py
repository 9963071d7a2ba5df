"""Caches that are believed to hold a part of an object, according to their answers.

No I/O and no clock: the time is an argument, in ms.
"""

from .latency import TrackedEndpoint
from .model import Request

# Time in ms for which a cache that answered with a part of an object is believed to hold that part.
LOCATION_LIFETIME = 8000.0
# Maximum number of parts; beyond it, the part whose last answer is the oldest is forgotten.
MAX_PARTS = 4096


class ObjectLocations:
    """Caches that are believed to hold a part, for each part of each object.

    Owns the times of the caches' answers; only its own methods change them.
    """

    def __init__(self) -> None:
        # In the order of the last answer with the part, the oldest first.
        self._seen_at: dict[tuple[int, int], dict[TrackedEndpoint, float]] = {}

    def record(self, cache: TrackedEndpoint, request: Request, now: float) -> None:
        """Record that the cache has answered with the requested part of the object."""
        key = (request.object_id, request.part)
        holders = self._seen_at.pop(key, None)
        if holders is None:
            holders = {}
            if len(self._seen_at) >= MAX_PARTS:
                del self._seen_at[next(iter(self._seen_at))]
        holders[cache] = now
        self._seen_at[key] = holders

    def remove(self, cache: TrackedEndpoint | None, request: Request) -> None:
        """Record that the cache is no longer believed to hold the part; ignore None."""
        self._seen_at.get((request.object_id, request.part), {}).pop(cache, None)  # type: ignore[arg-type]

    def is_believed_holder(
        self, cache: TrackedEndpoint, request: Request, now: float, purged_at: float
    ) -> bool:
        """Return whether the cache is believed to hold the requested part of the object.

        This is the case if the cache answered with the part within the last `LOCATION_LIFETIME` ms
        and after `purged_at`, and was not removed since.
        """
        seen_at = self._seen_at.get((request.object_id, request.part), {}).get(cache, 0.0)
        return seen_at > max(now - LOCATION_LIFETIME, purged_at)

    def drop_expired(self, now: float) -> None:
        """Remove the parts for which no cache has answered within `LOCATION_LIFETIME`."""
        self._seen_at = {
            key: holders
            for key, holders in self._seen_at.items()
            if any(now - seen_at < LOCATION_LIFETIME for seen_at in holders.values())
        }

"""Which caches are believed to hold an object, from their answers; pure, times in ms."""

from .latency import TrackedEndpoint
from .model import Request

LOCATION_LIFETIME = 8000.0  # ms that an answer makes a cache a believed holder


class ObjectLocations:
    """The believed holders of each part of an object.

    Owns the times of the answers; changed only by its own methods.
    """

    def __init__(self) -> None:
        self._seen_at: dict[tuple[int, int], dict[TrackedEndpoint, float]] = {}

    def record(self, cache: TrackedEndpoint, request: Request, now: float) -> None:
        """The cache has answered with the object."""
        self._seen_at.setdefault((request.object_id, request.part), {})[cache] = now

    def remove(self, cache: TrackedEndpoint | None, request: Request) -> None:
        """The cache is not believed to hold the object any more."""
        self._seen_at.get((request.object_id, request.part), {}).pop(cache, None)  # type: ignore[arg-type]

    def is_believed_holder(
        self, cache: TrackedEndpoint, request: Request, now: float, purged_at: float
    ) -> bool:
        """Whether a recent answer, younger than the object's last purge, came from the cache."""
        seen_at = self._seen_at.get((request.object_id, request.part), {}).get(cache, 0.0)
        return seen_at > max(now - LOCATION_LIFETIME, purged_at)

    def drop_expired(self, now: float) -> None:
        """Forgets the objects that no cache is believed to hold."""
        self._seen_at = {
            key: holders
            for key, holders in self._seen_at.items()
            if any(now - seen_at < LOCATION_LIFETIME for seen_at in holders.values())
        }

"""Detection of request ids that were used before; thread-safe."""

import threading
import time

IDS_PER_MB = 100  # maximum size of each of the two sets, per MB of the director's memory
KEPT_FOR_S = 5.0  # minimum time for which an id is remembered, unless a set is full


class RecentRequestIds:
    """Ids of recent requests. Each request has a new id, and so has a client's retry.

    New ids are added to the current set. When this set is old or full, it becomes the previous set,
    and the ids of the old previous set are forgotten.

    Rejecting known ids protects the director from clients that repeat a request without delay, and
    endpoints from confusing two requests. Only clients that violate the protocol are rejected.
    """

    def __init__(self, memory_mb: float) -> None:
        self.lock = threading.Lock()  # guards all other fields
        self.max_ids = int(IDS_PER_MB * memory_mb)
        self.current: set[str] = set()
        self.previous: set[str] = set()
        self.current_since = time.monotonic()

    def add(self, request_id: str) -> bool:
        """Remember an id; return whether it is new."""
        with self.lock:
            if request_id in self.current or request_id in self.previous:
                return False
            now = time.monotonic()
            if now > self.current_since + KEPT_FOR_S or len(self.current) >= self.max_ids:
                self.previous = self.current
                self.current = set()
                self.current_since = now
            self.current.add(request_id)
            return True

"""Finds requests whose id was used before; thread-safe."""

import threading
import time

IDS_PER_MB = 100  # of the director's memory, in each of two sets
KEPT_FOR_S = 5.0  # for which an id is remembered at the least, unless a set is full


class RecentRequestIds:
    """Ids of recent requests; each request has a new one, also a client's retry.

    Protects the director from requests that come again at full speed, and endpoints from taking
    one request for another. Only a client that breaks the protocol is rejected.
    """

    def __init__(self, memory_mb: float) -> None:
        self.lock = threading.Lock()  # guards all other fields
        self.max_ids = int(IDS_PER_MB * memory_mb)
        self.current: set[str] = set()
        self.previous: set[str] = set()
        self.current_since = time.monotonic()

    def add(self, request_id: str) -> bool:
        """Remembers an id; returns whether it is new."""
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

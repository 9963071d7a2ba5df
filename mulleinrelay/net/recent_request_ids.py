"""Detection of request ids that were used before; thread-safe."""

import threading
import time

IDS_PER_MB = 200  # maximum size of each of the two sets, per MB of the director's memory
MIN_KEPT_FOR_S = 5.0  # minimum time for which an id is remembered


class RecentRequestIds:
    """Ids of recent requests. Each request has a new id, and so has a client's retry.

    New ids are added to the current set. When this set is old, it becomes the previous set, and the
    ids of the old previous set are forgotten. An id is never forgotten earlier to make room for
    others: a client could otherwise send so many requests that an id which may have been executed
    is accepted again. While the current set is full, no request may be accepted.

    Rejecting known ids protects the director from clients that repeat a request without delay, and
    endpoints from confusing two requests. Only clients that violate the protocol are rejected.
    """

    def __init__(self, memory_mb: float, longest_timeout_s: float = 0.0) -> None:
        """Create an empty memory of ids.

        Args:
            memory_mb: Memory limit of the director in MB.
            longest_timeout_s: Longest time for which a request may be open; its id is remembered
                for at least this time.
        """
        self.lock = threading.Lock()  # guards all other fields
        self.max_ids = int(IDS_PER_MB * memory_mb)
        self.kept_for_s = max(MIN_KEPT_FOR_S, longest_timeout_s)
        self.current: set[int] = set()
        self.previous: set[int] = set()
        self.current_since = time.monotonic()

    def is_full(self) -> bool:
        """Return whether no further id can be remembered now."""
        if len(self.current) < self.max_ids:  # the usual case, without the lock
            return False
        with self.lock:
            self._rotate()
            return len(self.current) >= self.max_ids

    def add(self, request_id: str) -> bool:
        """Remember an id; return whether it is new."""
        number = int(request_id, 16)
        with self.lock:
            self._rotate()
            if number in self.current or number in self.previous:
                return False
            self.current.add(number)
            return True

    def forget(self, request_id: str) -> None:
        """Forget the id of a request that no attempt was made for."""
        with self.lock:
            self.current.discard(int(request_id, 16))

    def _rotate(self) -> None:
        """Begin a new set if the current one is old; the caller holds the lock."""
        now = time.monotonic()
        if now > self.current_since + self.kept_for_s:
            self.previous = self.current
            self.current = set()
            self.current_since = now

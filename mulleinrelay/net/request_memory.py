"""Accounts of the memory that received requests take: one for each connection, and their sum."""

import threading

from ..policy.buffer_sharing import may_hold_more


class RequestMemory:
    """Memory for received requests, shared by all client connections. Thread-safe.

    Attributes:
        capacity: Number of bytes that all accounts together should hold at most.
        used: Number of bytes that they hold. Small requests are charged without a check, so the
            number may exceed the capacity.
    """

    def __init__(self, capacity: int) -> None:
        self.capacity = capacity
        self.used = 0
        self._lock = threading.Lock()  # guards `used`

    def add(self, size: int) -> None:
        """Change the number of used bytes by `size`, which may be negative."""
        with self._lock:
            self.used += size


class MemoryAccount:
    """Bytes that the requests of one connection take. Guarded by the lock of the connection.

    Attributes:
        held: Number of bytes that are charged to this account.
    """

    def __init__(self, memory: RequestMemory) -> None:
        self._memory = memory
        self.held = 0

    def may_hold_more(self, size: int = 0) -> bool:
        """Return whether `size` more bytes may be held; 0 to ask about those that are held."""
        return may_hold_more(self.held, size, self._memory.used, self._memory.capacity)

    def charge(self, size: int) -> None:
        """Add bytes to the account without a check."""
        self.held += size
        self._memory.add(size)

    def try_charge(self, size: int) -> bool:
        """Add bytes to the account if they may be held; return whether they were added."""
        is_allowed = self.may_hold_more(size)
        if is_allowed:
            self.charge(size)
        return is_allowed

    def release(self, size: int) -> None:
        """Remove bytes from the account that were charged to it."""
        self.charge(-size)

    def release_all(self) -> None:
        """Remove all bytes from the account, because the connection is closed."""
        self.release(self.held)

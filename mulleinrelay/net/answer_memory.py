"""Memory for large answers that are being received from endpoints, over all upstream connections.

An answer that finds no memory waits in the kernel's receive buffer, and its endpoint is slowed down
by TCP's flow control. The wait ends when other answers have been passed on.
"""

import threading
from collections.abc import Callable

POLL_INTERVAL_S = 0.05  # between two checks of whether a waiting connection was closed


class AnswerMemory:
    """Pool of memory. Thread-safe.

    Attributes:
        capacity: Number of bytes that may be in use. If nothing is in use, a larger answer may use
            the pool alone.
        used: Number of bytes in use.
    """

    def __init__(self, capacity: int) -> None:
        self.capacity = capacity
        self.used = 0
        self._released = threading.Condition(threading.Lock())  # its lock guards `used`

    def acquire(self, size: int, is_closed: Callable[[], bool]) -> bool:
        """Wait until `size` bytes are free, and use them.

        Args:
            size: Number of bytes.
            is_closed: Returns whether the caller's connection was closed meanwhile.

        Returns:
            False if the connection was closed; nothing is in use for the caller then.
        """
        with self._released:
            while self.used and self.used + size > self.capacity:
                if is_closed():
                    return False
                self._released.wait(POLL_INTERVAL_S)
            self.used += size
        return True

    def release(self, size: int) -> None:
        """Free bytes that were acquired, and wake the connections that wait for memory."""
        with self._released:
            self.used -= size
            self._released.notify_all()

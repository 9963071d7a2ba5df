"""Turns of client connections: one connection's thread at a time reads and handles a call.

Without turns, the threads of many busy clients compete with those of all other connections and of
the timers for the interpreter, which gives each of them an equal part. With turns, only one of them
competes, and the turns are shared fairly among the connections (see `policy.fair_queue`).
"""

import threading
import time

from ..policy.fair_queue import FairQueue, Flow


class Turn(Flow):
    """A connection's place in the order of turns, used by the connection's thread only."""

    def __init__(self) -> None:
        super().__init__()
        self.began_at = 0.0  # in monotonic seconds
        # Held while the connection has no turn; the thread that ends a turn releases it.
        self.wake_up = threading.Lock()
        self.wake_up.acquire()


class CallScheduler:
    """Scheduler of turns. Thread-safe."""

    def __init__(self) -> None:
        self._lock = threading.Lock()  # guards `_queue`
        self._queue = FairQueue()

    def begin(self, turn: Turn) -> None:
        """Wait for the turn of a connection. The caller must end it, and not block before."""
        with self._lock:
            has_turn = self._queue.request_turn(turn)
        if not has_turn:
            turn.wake_up.acquire()
        turn.began_at = time.monotonic()

    def end(self, turn: Turn, is_backlogged: bool) -> None:
        """End the turn of a connection, and wake the thread that has the next one.

        Args:
            turn: The turn that ends.
            is_backlogged: Whether the connection has more calls to handle.
        """
        cost = time.monotonic() - turn.began_at
        with self._lock:
            next_turn = self._queue.end_turn(turn, cost, is_backlogged)
        if isinstance(next_turn, Turn):
            next_turn.wake_up.release()

"""Turns of client connections: one connection's thread at a time reads and handles calls.

Without turns, the threads of many busy clients compete with those of all other connections and of
the timers for the interpreter, which gives each of them an equal part. With turns, only one of them
competes, and the turns are shared fairly among the connections (see `policy.fair_queue`).
"""

import threading
import time

from ..policy.fair_queue import FairQueue, Flow

MAX_TURNS = 2  # while one thread is in a system call, another one runs
# A connection with more calls keeps its turn for this time, as each switch of threads costs much
# more than a small call.
QUANTUM_S = 0.002


class Turn(Flow):
    """A connection's place in the order of turns, used by the connection's thread.

    Attributes:
        is_cancelled: Whether the last wait was cancelled; the connection gets no further turn.
    """

    def __init__(self) -> None:
        super().__init__()
        self.is_cancelled = False
        self.began_at = 0.0  # in monotonic seconds
        self.ended_at = time.monotonic()
        # Held while the connection has no turn; the thread that ends a turn releases it.
        self.wake_up = threading.Lock()
        self.wake_up.acquire()


class CallScheduler:
    """Scheduler of turns. Thread-safe."""

    def __init__(self) -> None:
        self._lock = threading.Lock()  # guards `_queue`
        self._queue = FairQueue(MAX_TURNS)

    def begin(self, turn: Turn) -> bool:
        """Wait for the turn of a connection. The caller must end it, and not block before.

        Returns:
            False if the wait was cancelled. There is no turn to end then.
        """
        idle = time.monotonic() - turn.ended_at
        with self._lock:
            has_turn = self._queue.request_turn(turn, idle)
        if not has_turn:
            turn.wake_up.acquire()
        turn.began_at = time.monotonic()
        return not turn.is_cancelled

    def cancel(self, turn: Turn) -> None:
        """End the wait for a turn, because the connection is closed; do nothing if it has ended."""
        with self._lock:
            is_waiting = self._queue.remove(turn)
            if is_waiting:
                turn.is_cancelled = True
        if is_waiting:
            turn.wake_up.release()

    def may_continue(self, turn: Turn) -> bool:
        """Return whether the connection may handle another call in its turn."""
        return time.monotonic() < turn.began_at + QUANTUM_S

    def end(self, turn: Turn, is_backlogged: bool) -> None:
        """End the turn of a connection, and wake the thread that has the next one.

        Args:
            turn: The turn that ends.
            is_backlogged: Whether the connection has more calls to handle.
        """
        turn.ended_at = time.monotonic()
        cost = turn.ended_at - turn.began_at
        with self._lock:
            next_turn = self._queue.end_turn(turn, cost, is_backlogged)
        if isinstance(next_turn, Turn):
            next_turn.wake_up.release()

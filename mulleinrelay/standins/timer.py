"""A timer that calls functions at given times on a thread of its own."""

import contextlib
import heapq
import itertools
import threading
from collections.abc import Callable

from .clock import now_ms


class Timer:
    """A thread that calls each scheduled function when it is due.

    Thread-safe: `condition` guards `calls` and `is_stopped`.
    """

    def __init__(self) -> None:
        # Heap by due time in Unix ms, then by the order of the calls of `call_at`
        self.calls: list[tuple[float, int, Callable[[], None]]] = []
        self.order = itertools.count()
        self.is_stopped = False
        self.condition = threading.Condition()
        threading.Thread(target=self._run, name="stand-in timer", daemon=True).start()

    def call_at(self, due_at: float, call: Callable[[], None]) -> None:
        """Call `call` on the timer's thread at `due_at` (Unix ms)."""
        with self.condition:
            heapq.heappush(self.calls, (due_at, next(self.order), call))
            if self.calls[0][0] == due_at:
                self.condition.notify()

    def stop(self) -> None:
        """Stop the thread and drop all calls that it has not started yet."""
        with self.condition:
            self.is_stopped = True
            self.condition.notify()

    def _run(self) -> None:
        while True:
            with self.condition:
                while not self.is_stopped and (not self.calls or self.calls[0][0] > now_ms()):
                    wait_s = (self.calls[0][0] - now_ms()) / 1000.0 if self.calls else None
                    self.condition.wait(wait_s)
                if self.is_stopped:
                    return
                call = heapq.heappop(self.calls)[2]
            with contextlib.suppress(OSError):  # the peer may have closed its connection
                call()

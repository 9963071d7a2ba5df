"""Simulated time."""

import heapq
import itertools
from collections.abc import Callable

START_TIME_MS = 1_000_000.0


class Clock:
    """A simulated clock with a queue of scheduled calls; calling the clock returns its time.

    Attributes:
        now: Simulated time, ms.
        calls: Heap of (due time, order of scheduling, call).
        order: Counter that numbers the calls in the order of scheduling.
    """

    def __init__(self, now: float = START_TIME_MS) -> None:
        self.now = now
        self.calls: list[tuple[float, int, Callable[[], None]]] = []
        self.order = itertools.count()

    def __call__(self) -> float:
        """Return the simulated time in ms."""
        return self.now

    def call_at(self, due_at: float, call: Callable[[], None]) -> None:
        """Schedule a call for `due_at`, or for now if this time has passed.

        Calls that are due at the same time run in the order of scheduling.
        """
        heapq.heappush(self.calls, (max(due_at, self.now), next(self.order), call))

    def run(self, ends_at: float) -> None:
        """Run all calls that are due by `ends_at`, then set the clock to `ends_at`."""
        while self.calls and self.calls[0][0] <= ends_at:
            self.now, _, call = heapq.heappop(self.calls)
            call()
        self.now = ends_at

"""Simulated time."""

import heapq
import itertools
from collections.abc import Callable

START_TIME_MS = 1_000_000.0


class Clock:
    """A simulated clock with a queue of scheduled calls. Calling the clock returns its time."""

    def __init__(self, now: float = START_TIME_MS) -> None:
        self.now = now
        self.calls: list[tuple[float, int, Callable[[], None]]] = []  # heap by time, then order
        self.order = itertools.count()

    def __call__(self) -> float:
        """Return the simulated time in ms."""
        return self.now

    def call_at(self, due_at: float, call: Callable[[], None]) -> None:
        """Schedule a call; calls that are due at the same time run in scheduling order."""
        heapq.heappush(self.calls, (max(due_at, self.now), next(self.order), call))

    def run(self, ends_at: float) -> None:
        """Run all calls that are due by `ends_at`, then set the clock to `ends_at`."""
        while self.calls and self.calls[0][0] <= ends_at:
            self.now, _, call = heapq.heappop(self.calls)
            call()
        self.now = ends_at

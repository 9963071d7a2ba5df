"""Simulated time."""

import heapq
import itertools
from collections.abc import Callable

FIRST_TIME = 1_000_000.0  # ms


class Clock:
    """A clock that is moved by its scheduled calls. Calling it gives the time in ms."""

    def __init__(self, now: float = FIRST_TIME) -> None:
        self.now = now
        self.calls: list[tuple[float, int, Callable[[], None]]] = []  # heap by time, then order
        self.order = itertools.count()

    def __call__(self) -> float:
        """Return the simulated time in ms."""
        return self.now

    def call_at(self, due_at: float, call: Callable[[], None]) -> None:
        """Schedule a call; calls at the same time run in the order of their scheduling."""
        heapq.heappush(self.calls, (max(due_at, self.now), next(self.order), call))

    def run(self, ends_at: float) -> None:
        """Run all calls up to that time, and move the clock there."""
        while self.calls and self.calls[0][0] <= ends_at:
            self.now, _, call = heapq.heappop(self.calls)
            call()
        self.now = ends_at

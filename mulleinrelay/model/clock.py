"""Simulated time: what is to be done, in order."""

import heapq
import itertools
from collections.abc import Callable


class Clock:
    def __init__(self, begins: float = 1_000_000.0) -> None:
        self.now = begins  # ms
        self.due: list[tuple[float, int, Callable[[], None]]] = []
        self.count = itertools.count()

    def __call__(self) -> float:
        return self.now

    def at(self, due: float, do: Callable[[], None]) -> None:
        heapq.heappush(self.due, (max(due, self.now), next(self.count), do))

    def run(self, until: float) -> None:
        while self.due and self.due[0][0] <= until:
            self.now, _, do = heapq.heappop(self.due)
            do()
        self.now = until

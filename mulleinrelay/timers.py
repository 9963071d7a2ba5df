"""The timers of pending requests, by due time."""

import heapq
from enum import Enum

from .policy.model import Attempt, Request


class TimerKind(Enum):
    """What is to be done when a timer is due."""

    ATTEMPT_TIMEOUT = "attempt timeout"  # the attempt has had its time and is given up
    RESULT_OVERDUE = "result overdue"  # the request must have its result by now
    ROUTER = "router"  # the router wanted to be called


class TimerQueue:
    """Timers by due time; those due at the same time run in the order they were set.

    Owns the heap. Timers are not removed when their subject ends; whoever runs one checks that.
    Not thread-safe; the coordinator guards it with its lock.
    """

    def __init__(self) -> None:
        self._timers: list[tuple[float, int, TimerKind, Request | Attempt]] = []
        self._count = 0

    def add(self, due: float, kind: TimerKind, subject: Request | Attempt) -> None:
        """Sets a timer."""
        self._count += 1
        heapq.heappush(self._timers, (due, self._count, kind, subject))

    def next_due(self) -> float | None:
        """When the next timer is due; None where there is none."""
        return self._timers[0][0] if self._timers else None

    def pop_due(self, now: float) -> tuple[TimerKind, Request | Attempt] | None:
        """Removes the next timer and returns it if it is due; else None."""
        if not self._timers or self._timers[0][0] > now:
            return None
        _, _, kind, subject = heapq.heappop(self._timers)
        return kind, subject

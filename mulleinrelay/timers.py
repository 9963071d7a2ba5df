"""Timers of pending requests, ordered by due time."""

import heapq
from enum import Enum

from .policy.model import Attempt, Request


class TimerKind(Enum):
    """Purpose of a timer."""

    ATTEMPT_TIMEOUT = "attempt timeout"  # the attempt has timed out and is abandoned
    RESULT_OVERDUE = "result overdue"  # the request should have its result by now
    ROUTER = "router"  # the router scheduled a call


class TimerQueue:
    """Queue of timers by due time; timers with the same due time run in the order they were set.

    Owns the heap. Timers are not removed when their subject ends; the code that runs a timer checks
    that. Not thread-safe; the coordinator guards it with its lock.
    """

    def __init__(self) -> None:
        self._timers: list[tuple[float, int, TimerKind, Request | Attempt]] = []
        self._count = 0

    def add(self, due: float, kind: TimerKind, subject: Request | Attempt) -> None:
        """Set a timer."""
        self._count += 1
        heapq.heappush(self._timers, (due, self._count, kind, subject))

    def next_due(self) -> float | None:
        """Return when the next timer is due; None if there is none."""
        return self._timers[0][0] if self._timers else None

    def pop_due(self, now: float) -> tuple[TimerKind, Request | Attempt] | None:
        """Remove and return the next timer if it is due; otherwise return None."""
        if not self._timers or self._timers[0][0] > now:
            return None
        _, _, kind, subject = heapq.heappop(self._timers)
        return kind, subject

"""Timers of pending requests, ordered by due time."""

import heapq
from collections.abc import Container
from enum import Enum

from .policy.model import Attempt, Request


class TimerKind(Enum):
    """Purpose of a timer."""

    ATTEMPT_TIMEOUT = "attempt timeout"  # abandon an attempt that has timed out
    RESULT_OVERDUE = "result overdue"  # fail a request that should have its result by now
    ROUTER = "router"  # pass a `TimerFired` event to the router


def request_of(subject: Request | Attempt) -> Request:
    """Return the request that a timer belongs to."""
    return subject if isinstance(subject, Request) else subject.request


class TimerQueue:
    """Queue of timers by due time; timers with the same due time run in the order they were set.

    Owns the heap. Timers are not removed when their subject (a request or an attempt) ends; the
    code that runs a timer checks whether the subject has ended. `remove_ended` removes the timers
    of ended requests together, so that these requests do not stay in memory until their deadlines.
    Not thread-safe; the coordinator guards the queue with its lock.
    """

    def __init__(self) -> None:
        self._timers: list[tuple[float, int, TimerKind, Request | Attempt]] = []
        self._count = 0

    def __len__(self) -> int:
        return len(self._timers)

    def add(self, due: float, kind: TimerKind, subject: Request | Attempt) -> None:
        """Set a timer that is due at the time `due` in ms."""
        self._count += 1
        heapq.heappush(self._timers, (due, self._count, kind, subject))

    def remove_ended(self, pending: Container[Request]) -> None:
        """Remove all timers whose requests are not contained in `pending`."""
        self._timers = [timer for timer in self._timers if request_of(timer[-1]) in pending]
        heapq.heapify(self._timers)

    def next_due(self) -> float | None:
        """Return when the next timer is due; None if there is no timer."""
        return self._timers[0][0] if self._timers else None

    def pop_due(self, now: float) -> tuple[TimerKind, Request | Attempt] | None:
        """Remove the next timer and return its kind and subject; None if no timer is due."""
        if not self._timers or self._timers[0][0] > now:
            return None
        _, _, kind, subject = heapq.heappop(self._timers)
        return kind, subject

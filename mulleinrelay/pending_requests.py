"""Pending requests: their steps for the network code (see `coordinator`), and their results."""

from collections import deque
from dataclasses import dataclass
from typing import Any

from .policy.model import Attempt, SendAttempt


@dataclass(slots=True, eq=False)
class CancelAttempt:
    """Step for the network code: cancel this attempt."""

    attempt: Attempt


@dataclass(slots=True, eq=False)
class Served:
    """Result of a request whose client receives this answer."""

    answer: Any  # the answer that the caller reported with the attempt


@dataclass(slots=True, eq=False)
class Rejected:
    """Result of a request that was not served and may safely be retried."""

    retry_after_ms: float  # time after which the client should retry; 0: not specified


@dataclass(slots=True, eq=False)
class Failed:
    """Result of a request that failed and may have had its effect."""


@dataclass(slots=True, eq=False)
class ClientGone:
    """Result of a request whose client has left; no answer is sent."""


RequestResult = Served | Rejected | Failed | ClientGone


class PendingRequest:
    """Request whose result has not been taken yet.

    Guarded by the coordinator's lock.

    Attributes:
        next_steps: The steps that the network code must carry out, in order, without the result.
        result: The request's result; only the first result is stored. None: no result yet.
        owner_thread: Identifier of the thread that carries out the steps; 0: none.
    """

    __slots__ = ("next_steps", "owner_thread", "result")

    def __init__(self, owner_thread: int) -> None:
        self.next_steps: deque[SendAttempt | CancelAttempt] = deque()
        self.result: RequestResult | None = None
        self.owner_thread = owner_thread

    def complete(self, result: RequestResult) -> None:
        """Set the result, unless there is one already."""
        if self.result is None:
            self.result = result

    def has_work(self) -> bool:
        """Return whether there are steps to carry out or a result to take."""
        return bool(self.next_steps) or self.result is not None

    def take_step(self) -> SendAttempt | CancelAttempt | None:
        """Remove and return the next step; None if there is none.

        A step is dropped if it would send an attempt that has ended, or an attempt of a request
        that has its result.
        """
        while self.next_steps:
            step = self.next_steps.popleft()
            if isinstance(step, CancelAttempt) or (
                self.result is None and step.attempt.outcome is None
            ):
                return step
        return None

    def cancel(self, attempt: Attempt) -> None:
        """Cancel an attempt: remove the step that sends it, or add a step that cancels it."""
        for step in self.next_steps:
            if isinstance(step, SendAttempt) and step.attempt is attempt:
                self.next_steps.remove(step)
                return
        self.next_steps.append(CancelAttempt(attempt))

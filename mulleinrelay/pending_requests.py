"""A pending request: its steps for the network code, and its result."""

from collections import deque
from dataclasses import dataclass
from typing import Any

from .policy.model import Attempt, SendAttempt


@dataclass(slots=True, eq=False)
class CancelAttempt:
    """A step: cancel this attempt."""

    attempt: Attempt


@dataclass(slots=True, eq=False)
class Served:
    """A result: the client gets this answer."""

    answer: Any  # what the caller reported with the attempt


@dataclass(slots=True, eq=False)
class Rejected:
    """A result: the request was not served, and a retry is safe."""

    retry_after_ms: float


@dataclass(slots=True, eq=False)
class Failed:
    """A result: the request failed and may have had its effect."""


@dataclass(slots=True, eq=False)
class ClientGone:
    """A result: the client is gone; no answer is owed."""


RequestResult = Served | Rejected | Failed | ClientGone


class PendingRequest:
    """A request whose result has not been taken yet.

    Guarded by the coordinator's lock.

    Attributes:
        next_steps: What is to be done for it, in order.
        result: Its result; the first one stays.
        owner_thread: The thread that carries out its steps; 0: none.
    """

    __slots__ = ("next_steps", "owner_thread", "result")

    def __init__(self, owner_thread: int) -> None:
        self.next_steps: deque[SendAttempt | CancelAttempt] = deque()
        self.result: RequestResult | None = None
        self.owner_thread = owner_thread

    def complete(self, result: RequestResult) -> None:
        """Sets the result where there is none."""
        if self.result is None:
            self.result = result

    def has_work(self) -> bool:
        """Whether somebody is to carry out its steps or take its result."""
        return bool(self.next_steps) or self.result is not None

    def take_step(self) -> SendAttempt | CancelAttempt | None:
        """Removes and returns the next step; sendings that are of no use any more are skipped."""
        while self.next_steps:
            step = self.next_steps.popleft()
            if isinstance(step, CancelAttempt) or (
                self.result is None and step.attempt.outcome is None
            ):
                return step
        return None

    def cancel(self, attempt: Attempt) -> None:
        """Cancels an attempt: takes its sending back, or adds a step that cancels it."""
        for step in self.next_steps:
            if isinstance(step, SendAttempt) and step.attempt is attempt:
                self.next_steps.remove(step)
                return
        self.next_steps.append(CancelAttempt(attempt))

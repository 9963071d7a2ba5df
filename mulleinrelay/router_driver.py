"""Driver of the router: passes events to the router, and the ends of attempts that it cancels."""

from collections.abc import Callable
from typing import Any

from .pending_requests import Failed, PendingRequest, Served
from .policy.events import AttemptFinished, ClientLeft, Event, LoadReport, TimerFired, request_of
from .policy.model import Attempt, CacheStatus, Outcome, Request
from .policy.router import Router
from .router_actions import PendingActions
from .structured_log import StructuredLog
from .timers import TimerKind


class RouterDriver:
    """Driver that passes events to the router, which stores its actions in `actions`.

    Not thread-safe; the coordinator guards it with its lock.

    Attributes:
        router: The router.
        actions: The router's pending actions.
    """

    def __init__(
        self,
        router: Router,
        actions: PendingActions,
        clock: Callable[[], float],
        log: StructuredLog,
    ) -> None:
        self.router = router
        self.actions = actions
        self._clock = clock
        self._log = log

    def handle(self, event: Event) -> None:
        """Let the router handle an event, and then the ends of the attempts that it cancelled.

        If the router raises an exception, the event's request fails.
        """
        events: list[Event] = [event]
        while events:
            try:
                self.router.handle(self._clock(), events, self.actions)
            except Exception as error:  # only the event's request fails; the director continues
                self._log.exception(f"router, {type(event).__name__}", error)
                self._fail_request_of(event)
            cancelled = self.actions.take_cancelled()
            now = self._clock()
            events = [
                AttemptFinished.cancelled(attempt, now)
                for attempt in cancelled
                if attempt.outcome is None
            ]

    def finish_attempt(
        self,
        attempt: Attempt,
        outcome: Outcome,
        cache_status: CacheStatus = CacheStatus.UNKNOWN,
        first_byte_delay: float = 0.0,
        load: LoadReport | None = None,
        answer: Any = None,
    ) -> None:
        """Report the end of an attempt to the router, unless the attempt has ended already.

        A served attempt sets the request's result to its answer, unless the request is complete.
        The arguments are those of `RequestCoordinator.report_outcome`.
        """
        if attempt.outcome is not None:
            return
        request = attempt.request
        is_served = outcome == Outcome.SERVED
        pending = self.actions.requests.get(request)
        if is_served and not request.is_complete and pending is not None:
            pending.complete(Served(answer))
        is_complete = request.is_complete or is_served
        elapsed = self._clock() - attempt.sent_at
        self.handle(
            AttemptFinished(
                attempt, outcome, elapsed, is_complete, cache_status, first_byte_delay, load
            )
        )

    def run_timer(
        self, kind: TimerKind, subject: Request | Attempt, pending: PendingRequest
    ) -> None:
        """Carry out the purpose of a due timer (see `TimerKind`), unless its subject has ended."""
        if isinstance(subject, Request):
            if kind == TimerKind.RESULT_OVERDUE:
                self._fail_overdue(subject, pending)
            elif not subject.is_complete:
                self.handle(TimerFired(subject))
        elif subject.outcome is None:
            if kind == TimerKind.ATTEMPT_TIMEOUT:
                pending.cancel(subject)
                self.finish_attempt(subject, Outcome.TIMEOUT)
            else:
                self.handle(TimerFired(subject))

    def _fail_overdue(self, request: Request, pending: PendingRequest) -> None:
        """Fail the request if it has no result, so that its client does not wait any longer."""
        if pending.result is None:
            self._log.event("overdue", attempts=len(request.attempts))
            pending.complete(Failed())
            self.handle(ClientLeft(request))

    def _fail_request_of(self, event: Event) -> None:
        request = request_of(event)
        if request is None:
            return
        request.is_complete = True
        pending = self.actions.requests.get(request)
        if pending is not None:
            pending.complete(Failed())

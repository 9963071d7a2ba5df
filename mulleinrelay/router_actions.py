"""Store of the router's actions: steps of pending requests, timers and health checks."""

from collections.abc import Callable

from .endpoint_registry import EndpointRegistry
from .pending_requests import Failed, PendingRequest, Rejected, RequestResult
from .policy.actions import SendOptions
from .policy.latency import TrackedEndpoint
from .policy.model import Attempt, EndpointAddress, Request, SendAttempt
from .structured_log import StructuredLog
from .timers import TimerKind, TimerQueue

# The timers of ended requests are removed if there are more timers than this in all. A pending
# request has about five.
TIMERS_PER_REQUEST = 8
MIN_TIMERS = 512


class PendingActions:
    """The router's `ActionSink`: stores the actions until the network code carries them out.

    Not thread-safe; the coordinator guards it with its lock.

    Attributes:
        requests: The pending requests, each with its steps; the coordinator adds and removes them.
        timers: The timers of the router and of the coordinator.
    """

    def __init__(
        self,
        registry: EndpointRegistry,
        clock: Callable[[], float],
        log: StructuredLog,
        wake: Callable[[float], None],
    ) -> None:
        """Create an empty store.

        Args:
            registry: The endpoints and their addresses.
            clock: Returns the time in ms.
            log: The log of the director.
            wake: Called with the due time of each new timer, and with 0 for a new health check, to
                wake the thread that waits for them.
        """
        self._registry = registry
        self._clock = clock
        self._log = log
        self._wake = wake
        self.requests: dict[Request, PendingRequest] = {}
        self.timers = TimerQueue()
        self._health_checks: list[tuple[TrackedEndpoint, EndpointAddress]] = []
        self._cancelled: list[Attempt] = []

    def set_timer(self, delay: float, kind: TimerKind, subject: Request | Attempt) -> None:
        """Set a timer that is due in `delay` ms; at once if the delay is negative.

        The lateness of a timer counts as a lack of CPU time, so it must not include the time by
        which a request was overdue before its timers were set.
        """
        if len(self.timers) > MIN_TIMERS + TIMERS_PER_REQUEST * len(self.requests):
            self.timers.remove_ended(self.requests)
        due = self._clock() + max(0.0, delay)
        self.timers.add(due, kind, subject)
        self._wake(due)

    def has_health_checks(self) -> bool:
        """Return whether there are health checks to send."""
        return bool(self._health_checks)

    def take_health_checks(self) -> list[tuple[TrackedEndpoint, EndpointAddress]]:
        """Remove and return the health checks to send."""
        health_checks = self._health_checks
        self._health_checks = []
        return health_checks

    def take_cancelled(self) -> list[Attempt]:
        """Remove and return the attempts that the router cancelled.

        The caller must report to the router that they have ended.
        """
        cancelled = self._cancelled
        self._cancelled = []
        return cancelled

    # ActionSink

    def send_attempt(self, attempt: Attempt, options: SendOptions) -> None:
        """Add a step that sends the attempt, and set a timer for the attempt's timeout.

        Nothing is done if the request is not pending.
        """
        pending = self.requests.get(attempt.request)
        if pending is None:
            return
        endpoint = attempt.endpoint
        source = attempt.fill_source if attempt.fill_source is not endpoint else None
        addresses = self._registry.addresses
        attempt.addresses = tuple(
            (each, addresses[each]) for each in (endpoint, source) if each is not None
        )
        pending.next_steps.append(
            SendAttempt(
                attempt,
                addresses[endpoint],
                addresses[source].name if source else "",
                options.max_age,
                options.retention_rank,
                options.allow_coalescing,
                options.only_if_cached,
                options.store_at_parent,
                options.revalidate,
            )
        )
        self.set_timer(attempt.timeout, TimerKind.ATTEMPT_TIMEOUT, attempt)

    def cancel_attempt(self, attempt: Attempt) -> None:
        """Remove the step that would send the attempt, or add a step that cancels the attempt.

        `take_cancelled` then returns the attempt. Nothing is done if the attempt has ended.
        """
        if attempt.outcome is None:
            pending = self.requests.get(attempt.request)
            if pending is not None:
                pending.cancel(attempt)
            self._cancelled.append(attempt)

    def reject_request(self, request: Request, retry_after: float) -> None:
        """Set the request's result to a rejection, unless it has a result."""
        self._complete(request, Rejected(retry_after))

    def fail_request(self, request: Request) -> None:
        """Set the request's result to a failure, unless it has a result."""
        self._complete(request, Failed())

    def _complete(self, request: Request, result: RequestResult) -> None:
        pending = self.requests.get(request)
        if pending is not None:
            pending.complete(result)

    def schedule_timer(self, delay: float, subject: Request | Attempt) -> None:
        """Set a timer that passes a `TimerFired` event for the subject to the router."""
        self.set_timer(delay, TimerKind.ROUTER, subject)

    def check_health(self, endpoint: TrackedEndpoint) -> None:
        """Add a health check, and wake the thread that sends it."""
        self._health_checks.append((endpoint, self._registry.addresses[endpoint]))
        self._wake(0.0)

    def subscribe_to_endpoints(self) -> None:
        """Do nothing, since the event stream with the endpoint list is always read."""

    def log(self, text: str) -> None:
        """Write the router's text to the log, as a log event."""
        self._log.event("mode", text=text)

"""Pending requests between the threads of the network code and the router.

One lock guards the router and the state of every request; nothing here touches a socket. A request
is accepted, its steps are carried out until its result, and whoever comes second (a late answer,
the client's leaving, a timer) finds it complete. The thread whose call changed a request carries
out its steps until there are none; only one thread does at a time, so that they are carried out in
order and the result comes last.
"""

import threading
from collections.abc import Callable
from typing import Any

from .endpoint_registry import EndpointOverrides, EndpointRegistry
from .pending_requests import (
    CancelAttempt,
    ClientGone,
    Failed,
    PendingRequest,
    Rejected,
    RequestResult,
    Served,
)
from .policy.admission import SchedulingDelay
from .policy.events import (
    ClientLeft,
    HealthCheckFinished,
    LoadReport,
    PurgeReceived,
    RequestReceived,
    TimerFired,
)
from .policy.latency import TrackedEndpoint
from .policy.model import (
    Attempt,
    CachePool,
    CacheStatus,
    EndpointAddress,
    EndpointState,
    EndpointUpdate,
    Outcome,
    Request,
    RequestClass,
    SendAttempt,
    ServiceSettings,
)
from .policy.router import Router
from .router_actions import PendingActions
from .router_driver import RouterDriver
from .structured_log import StructuredLog
from .timers import TimerKind

__all__ = [
    "CancelAttempt",
    "ClientGone",
    "Failed",
    "Rejected",
    "RequestCoordinator",
    "RequestResult",
    "SendAttempt",
    "Served",
]

# A request without a result so long after its client's deadline is failed by the coordinator.
RESULT_SLACK = 8.0  # ms
IDLE_WAIT = 1000.0  # ms until the next call where no timer is set


class RequestCoordinator:
    """The network code's view of the router.

    Thread-safe. `lock` guards the router with all its objects, the endpoint registry, and the
    actions with pending requests, timers and health checks. Methods with an underscore are called
    under the lock.
    """

    def __init__(
        self, clock: Callable[[], float], seed: int, settings: ServiceSettings, log: StructuredLog
    ) -> None:
        """`clock` gives ms; the same seed and calls give the same decisions."""
        self.clock = clock
        self.settings = settings
        self.lock = threading.Lock()
        # Guarded by `lock`:
        self.registry = EndpointRegistry()
        self.scheduling_delay = SchedulingDelay()
        router = Router(clock(), seed, settings)
        self._actions = PendingActions(self.registry, self._now, log, self._wake)
        self._driver = RouterDriver(router, self._actions, self._now, log)
        self._timer_changed = threading.Condition(self.lock)  # an earlier timer or a health check
        self._waiting_until = 0.0  # when the thread in `wait_until` wakes by itself; 0: none waits

    @property
    def router(self) -> Router:
        """The router; used under the lock."""
        return self._driver.router

    @property
    def pending_requests(self) -> dict[Request, PendingRequest]:
        """The requests whose result has not been taken; read under the lock."""
        return self._actions.requests

    # Requests

    def accept(
        self,
        request_class: RequestClass,
        object_id: int,
        part: int,
        group: int,
        size_kb: float,
        remaining_time: float,
        is_retry: bool,
        context: Any = None,
        has_capacity: bool = True,
        pool: CachePool | None = None,
    ) -> Request:
        """Takes a request; the calling thread carries out its steps, and until then nobody else.

        `remaining_time` is ms until the client's deadline. Without `has_capacity` to see the
        request through, the router ends it at once. With a pool it is confined to that.
        """
        now = self.clock()
        with self.lock:
            request = Request(
                context,
                request_class,
                object_id,
                part,
                group,
                size_kb,
                now,
                now + remaining_time,
                is_retry,
                pool=pool,
            )
            self.pending_requests[request] = PendingRequest(threading.get_ident())
            self._actions.set_timer(
                remaining_time + RESULT_SLACK, TimerKind.RESULT_OVERDUE, request
            )
            self._driver.handle(RequestReceived(request) if has_capacity else TimerFired(request))
        return request

    def next_step(self, request: Request) -> SendAttempt | CancelAttempt | RequestResult | None:
        """What is to be done next for the request; its result comes last, and once.

        Returns:
            None where nothing is to be done, or where another thread carries out the steps, which
            then takes those that have come meanwhile.
        """
        with self.lock:
            pending = self.pending_requests.get(request)
            thread = threading.get_ident()
            if pending is None or pending.owner_thread not in (0, thread):
                return None
            pending.owner_thread = thread
            step = pending.take_step()
            if step is not None:
                return step
            pending.owner_thread = 0
            if pending.result is not None:
                del self.pending_requests[request]
            return pending.result

    def report_outcome(
        self,
        attempt: Attempt,
        outcome: Outcome,
        note: CacheStatus = CacheStatus.UNKNOWN,
        waited: float = 0.0,
        load: LoadReport | None = None,
        answer: Any = None,
    ) -> None:
        """Reports how an attempt ended. What comes for one that has ended is dropped.

        Args:
            attempt: The attempt.
            outcome: How it ended.
            note: What the endpoint reported of the answer's way.
            waited: The fill source's delay in ms, as reported; 0 where it was not.
            load: The load report that came with it.
            answer: What the client gets where it was served.
        """
        with self.lock:
            self._driver.finish_attempt(attempt, outcome, note, waited, load, answer)

    def can_begin(self, attempt: Attempt) -> bool:
        """Whether an attempt that was decided may still go out.

        Asked when its first byte is to be written, which may be long after. What came between (a
        drain, another machine at the address, a purge, the client's leaving, another answer) may
        forbid it; it is then reported as not sent, and the router decides anew.
        """
        with self.lock:
            pending = self.pending_requests.get(attempt.request)
            if pending is None or pending.result is not None or attempt.outcome is not None:
                return False
            has_same_addresses = all(
                self.registry.is_current(endpoint, address)
                for endpoint, address in attempt.addresses
            )
            return has_same_addresses and self.router.can_begin(self.clock(), attempt)

    def can_health_check(self, endpoint: TrackedEndpoint, address: EndpointAddress) -> bool:
        """Whether an endpoint may get a health check there, when it is to be written."""
        with self.lock:
            return self.registry.is_current(endpoint, address) and endpoint.is_ready

    def client_left(self, request: Request) -> None:
        """The client has left."""
        with self.lock:
            pending = self.pending_requests.get(request)
            if pending is not None and pending.result is None:
                pending.complete(ClientGone())
                self._driver.handle(ClientLeft(request))

    def discard(self, request: Request) -> None:
        """Nobody carries out this request's steps any more.

        Whoever holds the connections of its attempts gives these up.
        """
        self.client_left(request)
        with self.lock:
            self.pending_requests.pop(request, None)

    def finish_pending_requests(self) -> list[Request]:
        """Gives all pending requests their result; returns those whose steps are to be done."""
        with self.lock:
            unfinished = [
                request
                for request, pending in self.pending_requests.items()
                if pending.result is None
            ]
            for request in unfinished:
                self._driver.handle(TimerFired(request))
        return unfinished

    def pending_count(self) -> int:
        """The number of requests whose result has not been taken."""
        return len(self.pending_requests)

    def cpu_utilization(self) -> float:
        """0 where timers run when they are due, near 1 where this director itself is late."""
        return self.scheduling_delay.utilization(self.clock())

    # Endpoints

    @property
    def endpoints(self) -> dict[str, TrackedEndpoint]:
        """The endpoints by name; read under the lock."""
        return self.registry.endpoints

    @property
    def addresses(self) -> dict[TrackedEndpoint, EndpointAddress]:
        """Where each endpoint is found; read under the lock."""
        return self.registry.addresses

    @property
    def endpoint_updates(self) -> dict[str, EndpointUpdate]:
        """What the list said last of each endpoint, by name; read under the lock."""
        return self.registry.updates

    @property
    def overrides(self) -> EndpointOverrides | None:
        """What operators want over the list; set under the lock."""
        return self.registry.overrides

    @overrides.setter
    def overrides(self, overrides: EndpointOverrides | None) -> None:
        self.registry.overrides = overrides

    def ready_caches(self) -> list[tuple[str, TrackedEndpoint, float]]:
        """The ready caches of this zone by name, each with the fraction of its capacity it has."""
        with self.lock:
            return self.registry.fractions_by_name(
                self.router.endpoints.caches, self.router.slow_start, self.clock()
            )

    def update_endpoints(self, entries: list[EndpointUpdate], whole: bool) -> None:
        """The endpoint list has changed; with a full snapshot (`whole`) the rest is gone."""
        with self.lock:
            self._driver.handle(self.registry.accept(self.clock(), entries, whole))
            self.registry.drop_removed(self.router.endpoints.known)

    def change_overrides(self, make: Callable[[EndpointOverrides], list[str]]) -> None:
        """Operators' wishes change: `make` changes them and returns the names concerned."""
        with self.lock:
            event = self.registry.reapply(make)
            if event is not None:
                self._driver.handle(event)
                self.registry.drop_removed(self.router.endpoints.known)

    def endpoint_states(
        self,
    ) -> list[tuple[EndpointUpdate, EndpointState, TrackedEndpoint, float | None, float]]:
        """For operators, by name: what is listed, what this director goes by, and what it measured.

        Returns:
            A tuple for each endpoint: its entry, effective state, statistics, smoothed delay in ms
            (None: not measured) and the fraction of its capacity that it has at the least.
        """
        with self.lock:
            return self.registry.states(self.router.slow_start, self.clock())

    def report_health_check(
        self, node: TrackedEndpoint, load: LoadReport | None, well: bool = True
    ) -> None:
        """Reports a health check's result: the load report, and whether it was answered."""
        with self.lock:
            self._driver.handle(HealthCheckFinished(node, load, well))

    # Purges

    def apply_purge(self, key: int, group: int, at: float) -> None:
        """An object (or with `key` 0 a group) was purged at that time."""
        with self.lock:
            self._driver.handle(PurgeReceived(key, group, self.clock() - at))

    def active_purge_count(self) -> int:
        """The number of purges that are remembered."""
        return len(self.router.purges)

    # Time

    def run_due_timers(
        self,
    ) -> tuple[float, list[tuple[TrackedEndpoint, EndpointAddress]], list[Request]]:
        """Runs the timers that are due.

        Returns:
            When to call again, the health checks to be sent, and the requests whose steps are to
            be carried out.
        """
        with self.lock:
            now = self.clock()
            first_due = self._actions.timers.next_due()
            if first_due is not None and first_due <= now:
                self.scheduling_delay.record(now, now - first_due)
            changed: dict[Request, None] = {}
            while (timer := self._actions.timers.pop_due(now)) is not None:
                kind, subject = timer
                request = subject if isinstance(subject, Request) else subject.request
                pending = self.pending_requests.get(request)
                if pending is None:
                    continue
                self._driver.run_timer(kind, subject, pending)
                if pending.has_work():
                    changed[request] = None
            next_due = self._actions.timers.next_due()
            return (
                now + IDLE_WAIT if next_due is None else next_due,
                self._actions.take_health_checks(),
                list(changed),
            )

    def wait_until(self, until: float) -> None:
        """Blocks until that time, or until an earlier timer or a health check is wanted."""
        with self.lock:
            self._waiting_until = until
            remaining = until - self.clock()
            next_due = self._actions.timers.next_due()
            if (
                remaining > 0.0
                and not self._actions.has_health_checks()
                and (next_due is None or next_due >= until)
            ):
                self._timer_changed.wait(remaining / 1000.0)
            self._waiting_until = 0.0

    # Inside, under the lock

    def _now(self) -> float:
        return self.clock()

    def _wake(self, due: float) -> None:
        """Wakes the thread in `wait_until` where something is due before it wakes by itself."""
        if due < self._waiting_until:
            self._timer_changed.notify_all()

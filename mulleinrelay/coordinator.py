"""Coordinator of pending requests, between the threads of the network code and the router.

One lock guards the router and the state of every request; this module uses no sockets. A *step* of
a request tells the network code to send an attempt, to cancel an attempt, or to give the client the
request's result. A request is accepted, and its steps are carried out until it has a result. Later
events (a late answer, a client that leaves, a timer) do not change the result.

The thread whose call changed a request carries out the request's steps until there are none. Only
one thread at a time does this for a request, so that the steps are carried out in order and the
result comes last.
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
from .timers import TimerKind, request_of

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

# Time in ms after the client's deadline when the coordinator fails a request without a result.
RESULT_GRACE_PERIOD = 8.0
IDLE_WAIT = 1000.0  # ms until the next call of `run_due_timers` if no timer is set


class RequestCoordinator:
    """Interface of the network code to the router.

    Thread-safe. `lock` guards the router with all its objects, the endpoint registry, and the
    stored actions of the router (pending requests, timers, health checks). `pending_count`,
    `cpu_utilization` and `active_purge_count` read without the lock. Methods whose names begin with
    an underscore must be called while the lock is held.
    """

    def __init__(
        self, clock: Callable[[], float], seed: int, settings: ServiceSettings, log: StructuredLog
    ) -> None:
        """Create a coordinator without requests and endpoints.

        Args:
            clock: Returns the time in ms.
            seed: Seed of the router's random numbers. The same seed and the same calls lead to the
                same decisions.
            settings: The settings of the service.
            log: The log of the director.
        """
        self.clock = clock
        self.settings = settings
        self.lock = threading.Lock()
        # Guarded by `lock`, with the exceptions that the class names:
        self.registry = EndpointRegistry()
        self.scheduling_delay = SchedulingDelay()
        router = Router(clock(), seed, settings)
        self._actions = PendingActions(self.registry, self._now, log, self._wake)
        self._driver = RouterDriver(router, self._actions, self._now, log)
        # Notified of a new health check, and of a new timer that is due before the end of the wait
        # in `wait_until`.
        self._timer_changed = threading.Condition(self.lock)
        self._waiting_until = 0.0  # end of the wait in `wait_until`; 0: no thread is waiting

    @property
    def router(self) -> Router:
        """The router; used while the lock is held."""
        return self._driver.router

    @property
    def pending_requests(self) -> dict[Request, PendingRequest]:
        """The requests whose result has not been taken; read while the lock is held."""
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
        """Accept a request and let the router handle it.

        The request's steps are reserved for the calling thread until `next_step` returns None or
        the result to that thread.

        Args:
            request_class: The request's class.
            object_id: The requested object.
            part: The requested part of the object.
            group: The group that the object is purged with.
            size_kb: Size of the answer in KB; 0: unknown.
            remaining_time: Time in ms until the client's deadline.
            is_retry: Whether the client has sent the request before.
            context: Data of the caller, kept with the request.
            has_capacity: Whether the director has the capacity for the request. If not, the router
                rejects the request immediately, without an attempt.
            pool: The caches that the request is confined to; None: all caches of the zone.
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
                remaining_time + RESULT_GRACE_PERIOD, TimerKind.RESULT_OVERDUE, request
            )
            self._driver.handle(RequestReceived(request) if has_capacity else TimerFired(request))
        return request

    def next_step(self, request: Request) -> SendAttempt | CancelAttempt | RequestResult | None:
        """Return the next step of the request; the result is the last step, and is returned once.

        Returns:
            The step; None if there is nothing to do, if the result was returned before, or if
            another thread carries out the request's steps. That thread then also carries out the
            steps that were added in the meantime.
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
        cache_status: CacheStatus = CacheStatus.UNKNOWN,
        first_byte_delay: float = 0.0,
        load: LoadReport | None = None,
        answer: Any = None,
    ) -> None:
        """Report how an attempt ended; ignore the report if the attempt has ended already.

        Args:
            attempt: The attempt.
            outcome: How the attempt ended.
            cache_status: How the endpoint obtained the answer, as reported by the endpoint.
            first_byte_delay: Time in ms until the fill source's first byte, as reported by the
                endpoint; 0 if not reported.
            load: The load report that was received with the answer; None if there was none.
            answer: The answer that the client receives if this attempt serves the request, that is,
                if the request has no result yet; None if there is no answer.
        """
        with self.lock:
            self._driver.finish_attempt(
                attempt, outcome, cache_status, first_byte_delay, load, answer
            )

    def can_begin(self, attempt: Attempt) -> bool:
        """Return whether an attempt may still be sent.

        The caller asks when the attempt's first byte is about to be written, which may be long
        after the router's decision. Events in between (a drain, another machine at the address, a
        purge, a client that left, another answer) may forbid it. The caller then reports the
        attempt as not sent, and the router decides again.
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
        """Return whether a health check may be sent to the endpoint at this address.

        The caller asks when the health check is about to be written, since the endpoint may have
        restarted, or may be draining or removed by then.
        """
        with self.lock:
            return self.registry.is_current(endpoint, address) and endpoint.is_ready

    def client_left(self, request: Request) -> None:
        """Record that the client has left, which completes a request that has no result yet."""
        with self.lock:
            pending = self.pending_requests.get(request)
            if pending is not None and pending.result is None:
                pending.complete(ClientGone())
                self._driver.handle(ClientLeft(request))

    def discard(self, request: Request) -> None:
        """Remove the request as if its client had left; its remaining steps are not carried out.

        The caller must release the connections of the request's attempts.
        """
        self.client_left(request)
        with self.lock:
            self.pending_requests.pop(request, None)

    def finish_pending_requests(self) -> list[Request]:
        """Reject or fail all requests without a result; return them.

        The caller must carry out the steps of the returned requests.
        """
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
        """Return the number of requests whose result has not been taken."""
        return len(self.pending_requests)

    def cpu_utilization(self) -> float:
        """Return the utilization of this director's CPU time.

        It is 0 while timers run when they are due, and grows with their delay to almost 1.
        """
        return self.scheduling_delay.utilization(self.clock())

    # Endpoints

    @property
    def endpoints(self) -> dict[str, TrackedEndpoint]:
        """The endpoints by name; read while the lock is held."""
        return self.registry.endpoints

    @property
    def addresses(self) -> dict[TrackedEndpoint, EndpointAddress]:
        """The current address of each endpoint; read while the lock is held."""
        return self.registry.addresses

    @property
    def endpoint_updates(self) -> dict[str, EndpointUpdate]:
        """The latest entry of each endpoint in the endpoint list, by name, without overrides.

        Read while the lock is held.
        """
        return self.registry.updates

    @property
    def overrides(self) -> EndpointOverrides | None:
        """Operators' overrides of the endpoint list; None without management.

        Set while the lock is held.
        """
        return self.registry.overrides

    @overrides.setter
    def overrides(self, overrides: EndpointOverrides | None) -> None:
        self.registry.overrides = overrides

    def ready_caches(self) -> list[tuple[str, TrackedEndpoint, float]]:
        """Return the zone's ready caches, sorted by name.

        Returns:
            A tuple for each cache: its name, its endpoint object and a lower bound of the fraction
            of its capacity that is available.
        """
        with self.lock:
            return self.registry.fractions_by_name(
                self.router.endpoints.caches, self.router.slow_start, self.clock()
            )

    def update_endpoints(self, entries: list[EndpointUpdate], is_full_snapshot: bool) -> None:
        """Apply an update of the endpoint list.

        Args:
            entries: New or changed entries.
            is_full_snapshot: Whether endpoints without an entry are removed.
        """
        with self.lock:
            self._driver.handle(self.registry.accept(self.clock(), entries, is_full_snapshot))
            self.registry.drop_removed(self.router.endpoints.known)

    def change_overrides(self, change: Callable[[EndpointOverrides], list[str]]) -> None:
        """Change the operators' overrides of the endpoint list, and tell the router the effects.

        The property `overrides` must have been set before.

        Args:
            change: Changes the overrides and returns the names of the affected endpoints.
        """
        with self.lock:
            event = self.registry.reapply(change)
            if event is not None:
                self._driver.handle(event)
                self.registry.drop_removed(self.router.endpoints.known)

    def endpoint_states(
        self,
    ) -> list[tuple[EndpointUpdate, EndpointState, TrackedEndpoint, float | None, float]]:
        """Return the state of each listed endpoint for operators, sorted by name.

        Returns:
            A tuple for each endpoint: its entry in the endpoint list, its state at this director
            after overrides, its endpoint object with the measurements, the smoothed delay of fills
            through it in ms (None: not measured) and a lower bound of the fraction of its capacity
            that is available.
        """
        with self.lock:
            return self.registry.states(self.router.slow_start, self.clock())

    def report_health_check(
        self, endpoint: TrackedEndpoint, load: LoadReport | None, is_healthy: bool = True
    ) -> None:
        """Report the result of a health check.

        Args:
            endpoint: The endpoint.
            load: The load report that was received with the result; None if there was none.
            is_healthy: Whether the health check was answered.
        """
        with self.lock:
            self._driver.handle(HealthCheckFinished(endpoint, load, is_healthy))

    # Purges

    def apply_purge(self, object_id: int, group: int, purged_at: float) -> None:
        """Apply the purge of an object or group.

        Args:
            object_id: The purged object; 0: the whole group.
            group: The purged group if `object_id` is 0; otherwise unused.
            purged_at: Time of the purge in ms, by the coordinator's clock.
        """
        with self.lock:
            self._driver.handle(PurgeReceived(object_id, group, self.clock() - purged_at))

    def active_purge_count(self) -> int:
        """Return the number of objects and groups in the router's purge history."""
        return len(self.router.purges)

    # Time

    def run_due_timers(
        self,
    ) -> tuple[float, list[tuple[TrackedEndpoint, EndpointAddress]], list[Request]]:
        """Run the timers that are due, and record how late the first of them is.

        Returns:
            The time in ms when the caller must call again, the health checks that it must send, and
            the requests whose steps it must carry out.
        """
        with self.lock:
            now = self.clock()
            first_due = self._actions.timers.next_due()
            if first_due is not None and first_due <= now:
                self.scheduling_delay.record(now, now - first_due)
            requests_with_work: dict[Request, None] = {}
            while (timer := self._actions.timers.pop_due(now)) is not None:
                kind, subject = timer
                request = request_of(subject)
                pending = self.pending_requests.get(request)
                if pending is None:
                    continue
                self._driver.run_timer(kind, subject, pending)
                if pending.has_work():
                    requests_with_work[request] = None
            next_due = self._actions.timers.next_due()
            return (
                now + IDLE_WAIT if next_due is None else next_due,
                self._actions.take_health_checks(),
                list(requests_with_work),
            )

    def wait_until(self, until: float) -> None:
        """Block until the time `until`, or until a health check or an earlier timer is added.

        Return at once if there is such a health check or timer already.
        """
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

    # Private methods, called while the lock is held

    def _now(self) -> float:
        return self.clock()

    def _wake(self, due: float) -> None:
        """Wake the thread in `wait_until` if the time `due` is before the end of its wait."""
        if due < self._waiting_until:
            self._timer_changed.notify_all()

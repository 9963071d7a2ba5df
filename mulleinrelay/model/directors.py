"""A simulated director: the real router with simulated messages and timers."""

from collections import deque
from typing import TYPE_CHECKING, Any

from ..net.resp import CACHE_STATUS_BY_WORD, OUTCOME_BY_WORD
from ..policy.actions import SendOptions
from ..policy.events import (
    AttemptFinished,
    EndpointEntry,
    EndpointsUpdated,
    Event,
    HealthCheckFinished,
    PurgeReceived,
    RequestReceived,
    TimerFired,
)
from ..policy.latency import TrackedEndpoint
from ..policy.model import Attempt, CacheStatus, EndpointState, Outcome, Request, ServiceSettings
from ..policy.router import Router

if TYPE_CHECKING:
    from .clients import PendingRequest
    from .simulation import Simulation

ENDPOINT_STATES = {
    "SERVING": EndpointState.READY,
    "DRAINING": EndpointState.DRAINING,
    "DELETED": EndpointState.GONE,
}
PURGE_GROUP_MASK = 0xFF  # bits of an object id that give the object's group


class SimulatedDirector:
    """A director, which is also the `ActionSink` of its router.

    Attributes:
        simulation: The simulation, which carries attempts to nodes and results to clients.
        endpoints: Endpoints by their name in the endpoint list.
        endpoint_names: Names in the endpoint list, by endpoint.
        open_requests: The router's requests that have no result yet, and for each of them the
            client's request.
        has_exited: Whether the director was killed or shut down. The simulation sets it, and
            replaces the director with a new one: after a kill when the fault ends, after a shutdown
            at once.
    """

    def __init__(
        self,
        simulation: "Simulation",
        number: int,
        settings: ServiceSettings,
        zone_numbers: dict[str, int],
        kind_numbers: dict[str, int],
        seed: int,
    ) -> None:
        """Create a director without endpoints.

        Args:
            simulation: The simulation that the director belongs to.
            number: Number of the director.
            settings: Settings of the router.
            zone_numbers: Number of each zone, by the zone's name in the endpoint list.
            kind_numbers: Number of each kind of node, by the kind's name in the endpoint list.
            seed: Seed of the router's random numbers.
        """
        self.simulation = simulation
        self.number = number
        self.settings = settings
        self.zone_numbers = zone_numbers
        self.kind_numbers = kind_numbers
        self.router = Router(simulation.clock(), seed, settings)
        self.endpoints: dict[str, TrackedEndpoint] = {}
        self.endpoint_names: dict[TrackedEndpoint, str] = {}
        self.open_requests: dict[Request, PendingRequest] = {}
        self.has_exited = False
        self._cancelled: deque[Attempt] = deque()

    # Called by the simulation

    def update_endpoints(self, rows: list[dict[str, Any]], is_full_snapshot: bool = False) -> None:
        """Apply an endpoint update; a full snapshot removes all endpoints without a row."""
        self._handle(
            EndpointsUpdated([self._endpoint_entry(row) for row in rows], is_full_snapshot)
        )

    def receive_request(self, pending: "PendingRequest", remaining_ms: float) -> None:
        """Pass a client's request to the router; the client waits for `remaining_ms` more."""
        now = self.simulation.clock()
        plan = pending.plan
        class_index = self.simulation.class_indices[plan.request_class]
        request = Request(
            pending,
            self.settings.request_classes[class_index],
            plan.object_id,
            0,
            plan.object_id & PURGE_GROUP_MASK,
            plan.size_kb,
            now,
            now + remaining_ms,
            pending.tries > 1,
        )
        self.open_requests[request] = pending
        self._handle(RequestReceived(request))

    def receive_answer(
        self, attempt: Attempt, word: str, reason: str, first_byte_delay: float
    ) -> None:
        """Process a node's answer, unless the attempt has ended or the director has exited.

        Args:
            attempt: The answered attempt.
            word: First word of the answer, which gives the outcome.
            reason: How the node obtained the answer, as reported by the node; empty if not
                reported.
            first_byte_delay: Delay of the fill source in ms, as reported by the node; 0 if not
                reported.
        """
        if not self.has_exited and attempt.outcome is None:
            self.finish_attempt(
                attempt,
                OUTCOME_BY_WORD[word.encode()],
                CACHE_STATUS_BY_WORD.get(reason, CacheStatus.UNKNOWN),
                first_byte_delay,
            )

    def finish_attempt(
        self,
        attempt: Attempt,
        outcome: Outcome,
        cache_status: CacheStatus = CacheStatus.UNKNOWN,
        first_byte_delay: float = 0.0,
    ) -> None:
        """Report the end of an attempt to the router, and complete its request if it was served.

        Nothing is done if the attempt has already ended or the director has exited.
        """
        if self.has_exited or attempt.outcome is not None:
            return
        request = attempt.request
        is_served = outcome == Outcome.SERVED
        elapsed = self.simulation.clock() - attempt.sent_at
        if is_served and not request.is_complete:
            self._complete(request, "served", 0.0)
        self._handle(
            AttemptFinished(
                attempt,
                outcome,
                elapsed,
                request.is_complete or is_served,
                cache_status,
                first_byte_delay,
                None,
            )
        )

    def receive_health_check_answer(self, name: str) -> None:
        """Process the answer of an endpoint to a health check, with an empty load report."""
        self._handle(HealthCheckFinished(self.endpoints[name], {}))

    def receive_purge(self, object_id: int, age: float) -> None:
        """Process the notification that an object was purged `age` ms ago."""
        self._handle(PurgeReceived(object_id, 0, age))

    def finish_request(self, request: Request) -> None:
        """Fire the timer of an open request, so that a shutdown gives it a final result."""
        self._handle(TimerFired(request))

    # Internal

    def _handle(self, event: Event) -> None:
        """Pass an event to the router, then one event for each attempt that it cancelled."""
        events: deque[Event] = deque([event])
        while events:
            now = self.simulation.clock()
            self.router.handle(now, [events.popleft()], self)
            while self._cancelled:
                attempt = self._cancelled.popleft()
                if attempt.outcome is None:
                    events.append(AttemptFinished.cancelled(attempt, now))

    def _endpoint_entry(self, row: dict[str, Any]) -> EndpointEntry:
        name = row["id"]
        endpoint = self.endpoints.get(name)
        if endpoint is None:
            endpoint = TrackedEndpoint(int(name.rpartition("-")[2], 16))
            self.endpoints[name] = endpoint
            self.endpoint_names[endpoint] = name
        return EndpointEntry(
            endpoint,
            ENDPOINT_STATES[row["state"]],
            float(row["weight"]),
            self.kind_numbers[row["kind"]],
            self.zone_numbers[row["zone"]],
            0,
            float(row["started_ms"]),
        )

    def _time_out(self, attempt: Attempt) -> None:
        if attempt.outcome is None:
            self.finish_attempt(attempt, Outcome.TIMEOUT)

    def _fire_timer(self, subject: Request | Attempt) -> None:
        is_over = (
            subject.is_complete if isinstance(subject, Request) else subject.outcome is not None
        )
        if not self.has_exited and not is_over:
            self._handle(TimerFired(subject))

    def _complete(self, request: Request, outcome: str, retry_after: float) -> None:
        pending = self.open_requests.pop(request, None)
        if pending is not None:
            self.simulation.on_result(self, pending, outcome, retry_after)

    # Methods of ActionSink

    def send_attempt(self, attempt: Attempt, options: SendOptions) -> None:
        """Send the attempt over the simulated network and schedule its timeout."""
        clock = self.simulation.clock
        fields = _command_fields(attempt, options, self._source_name(attempt))
        self.simulation.send_attempt(self, attempt, self.endpoint_names[attempt.endpoint], fields)
        clock.call_at(clock() + attempt.timeout, lambda: self._time_out(attempt))

    def _source_name(self, attempt: Attempt) -> str:
        source = attempt.fill_source
        return "" if source is None or source is attempt.endpoint else self.endpoint_names[source]

    def cancel_attempt(self, attempt: Attempt) -> None:
        """Queue the attempt, to report it as cancelled after the router's present event."""
        if attempt.outcome is None:
            self._cancelled.append(attempt)

    def reject_request(self, request: Request, retry_after: float) -> None:
        """Tell the client that its request was rejected."""
        self._complete(request, "rejected", retry_after)

    def fail_request(self, request: Request) -> None:
        """Tell the client that its request failed."""
        self._complete(request, "failed", 0.0)

    def schedule_timer(self, delay: float, subject: Request | Attempt) -> None:
        """Schedule a timer on the simulated clock."""
        clock = self.simulation.clock
        clock.call_at(clock() + delay, lambda: self._fire_timer(subject))

    def check_health(self, endpoint: TrackedEndpoint) -> None:
        """Send a health check over the simulated network."""
        self.simulation.check_health(self, self.endpoint_names[endpoint])

    def subscribe_to_endpoints(self) -> None:
        """Do nothing, as the simulation sends endpoint updates without a subscription."""

    def log(self, text: str) -> None:
        """Do nothing, as the simulation writes no log."""


def _command_fields(attempt: Attempt, options: SendOptions, source_name: str) -> dict[str, str]:
    """Return the fields of the PULL command for an attempt, as simulated nodes read them."""
    request = attempt.request
    plan = request.context.plan
    flags = {
        "collapse": options.allow_coalescing,
        "only-if-cached": options.only_if_cached,
        "no-store-up": not options.store_at_parent,
    }
    fields = {
        "lane": plan.request_class,
        "name": f"{request.object_id:016x}",
        "piece": "0",
        "miss": source_name,
        "prio": str(options.retention_rank),
        "f": "+".join(flag for flag, is_set in flags.items() if is_set),
        "dedupe": plan.idempotency_key or f"mark-{request.context.number}-{request.context.tries}",
    }
    if options.max_age > 0.0:
        fields["within"] = f"{max(1.0, options.max_age):.0f}"
    return fields

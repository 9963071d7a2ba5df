"""One director of the model: the router, and what carries its actions out."""

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

STATES = {
    "SERVING": EndpointState.READY,
    "DRAINING": EndpointState.DRAINING,
    "DELETED": EndpointState.GONE,
}
GROUP_MASK = 0xFF  # of an object's number: the group that it is purged with


class Modelled:
    """One director and its router's `ActionSink`.

    Owns its endpoints by name and its open requests. `world` brings attempts to endpoints and
    results to clients; `gone` is set by it.
    """

    def __init__(
        self,
        world: "Simulation",
        number: int,
        settings: ServiceSettings,
        zone_of: dict[str, int],
        kinds: dict[str, int],
        seed: int,
    ) -> None:
        """`zone_of` and `kinds` give the numbers of the names in the endpoint list."""
        self.world = world
        self.number = number
        self.settings = settings
        self.zone_of = zone_of
        self.kinds = kinds
        self.router = Router(world.clock(), seed, settings)
        self.endpoints: dict[str, TrackedEndpoint] = {}
        self.names: dict[TrackedEndpoint, str] = {}
        self.open: dict[Request, PendingRequest] = {}
        self.gone = False  # killed; a new one stands in its place
        self._cancelled: deque[Attempt] = deque()

    # Called by the world

    def list(self, rows: list[dict[str, Any]], whole: bool = False) -> None:
        """The endpoint list has changed; with a full snapshot (`whole`) the rest is gone."""
        self._handle(EndpointsUpdated([self._entry(row) for row in rows], whole))

    def ask(self, pending: "PendingRequest", left: float) -> None:
        """A client sends a request and waits so many ms."""
        now = self.world.clock()
        wanted = pending.wanted
        number = self.world.class_indices[wanted.request_class]
        request = Request(
            pending,
            self.settings.request_classes[number],
            wanted.object_id,
            0,
            wanted.object_id & GROUP_MASK,
            wanted.size_kb,
            now,
            now + left,
            pending.tries > 1,
        )
        self.open[request] = pending
        self._handle(RequestReceived(request))

    def answered(self, attempt: Attempt, word: str, why: str, waited: float) -> None:
        """An endpoint has answered an attempt."""
        if not self.gone and attempt.outcome is None:
            self.ended(
                attempt,
                OUTCOME_BY_WORD[word.encode()],
                CACHE_STATUS_BY_WORD.get(why, CacheStatus.UNKNOWN),
                waited,
            )

    def ended(
        self,
        attempt: Attempt,
        outcome: Outcome,
        note: CacheStatus = CacheStatus.UNKNOWN,
        waited: float = 0.0,
    ) -> None:
        """An attempt has ended; `waited` is the fill source's delay in ms, as reported."""
        if self.gone or attempt.outcome is not None:
            return
        request = attempt.request
        is_served = outcome == Outcome.SERVED
        elapsed = self.world.clock() - attempt.sent_at
        if is_served and not request.is_complete:
            self._complete(request, "served", 0.0)
        self._handle(
            AttemptFinished(
                attempt,
                outcome,
                elapsed,
                request.is_complete or is_served,
                note,
                waited,
                None,
            )
        )

    def health_check_answered(self, name: str) -> None:
        """An endpoint has answered a health check."""
        self._handle(HealthCheckFinished(self.endpoints[name], {}))

    def purged(self, object_id: int, age: float) -> None:
        """An object was purged `age` ms ago."""
        self._handle(PurgeReceived(object_id, 0, age))

    def finish(self, request: Request) -> None:
        """The director shuts down: the request gets its final answer."""
        self._handle(TimerFired(request))

    # Inside

    def _handle(self, event: Event) -> None:
        """Has the router handle an event, and then each attempt that it cancelled."""
        events: deque[Event] = deque([event])
        while events:
            now = self.world.clock()
            self.router.handle(now, [events.popleft()], self)
            while self._cancelled:
                attempt = self._cancelled.popleft()
                if attempt.outcome is None:
                    events.append(AttemptFinished.cancelled(attempt, now))

    def _entry(self, row: dict[str, Any]) -> EndpointEntry:
        name = row["id"]
        endpoint = self.endpoints.get(name)
        if endpoint is None:
            endpoint = TrackedEndpoint(int(name.rpartition("-")[2], 16))
            self.endpoints[name] = endpoint
            self.names[endpoint] = name
        return EndpointEntry(
            endpoint,
            STATES[row["state"]],
            float(row["weight"]),
            self.kinds[row["kind"]],
            self.zone_of[row["zone"]],
            0,
            float(row["started_ms"]),
        )

    def _time_out(self, attempt: Attempt) -> None:
        if attempt.outcome is None:
            self.ended(attempt, Outcome.TIMEOUT)

    def _fire_timer(self, subject: Request | Attempt) -> None:
        is_over = (
            subject.is_complete if isinstance(subject, Request) else subject.outcome is not None
        )
        if not self.gone and not is_over:
            self._handle(TimerFired(subject))

    def _complete(self, request: Request, result: str, retry_after: float) -> None:
        pending = self.open.pop(request, None)
        if pending is not None:
            self.world.on_result(self, pending, result, retry_after)

    # ActionSink

    def send_attempt(self, attempt: Attempt, options: SendOptions) -> None:
        """Sends the attempt through the model's network, and sets its timeout."""
        clock = self.world.clock
        fields = _fields(attempt, options, self._source_name(attempt))
        self.world.send_attempt(self, attempt, self.names[attempt.endpoint], fields)
        clock.call_at(clock() + attempt.timeout, lambda: self._time_out(attempt))

    def _source_name(self, attempt: Attempt) -> str:
        source = attempt.fill_source
        return "" if source is None or source is attempt.endpoint else self.names[source]

    def cancel_attempt(self, attempt: Attempt) -> None:
        """Has the attempt reported back as cancelled."""
        if attempt.outcome is None:
            self._cancelled.append(attempt)

    def reject_request(self, request: Request, retry_after: float) -> None:
        """Answers the client."""
        self._complete(request, "rejected", retry_after)

    def fail_request(self, request: Request) -> None:
        """Answers the client."""
        self._complete(request, "failed", 0.0)

    def schedule_timer(self, delay: float, subject: Request | Attempt) -> None:
        """Sets a timer of the model's clock."""
        clock = self.world.clock
        clock.call_at(clock() + delay, lambda: self._fire_timer(subject))

    def check_health(self, endpoint: TrackedEndpoint) -> None:
        """Sends a health check through the model's network."""
        self.world.check_health(self, self.names[endpoint])

    def subscribe_to_endpoints(self) -> None:
        """The endpoint list is always read."""

    def log(self, text: str) -> None:
        """The model writes no log."""


def _fields(attempt: Attempt, options: SendOptions, source_name: str) -> dict[str, str]:
    """The attempt's fields as the stand-in endpoints read them."""
    request = attempt.request
    wanted = request.context.wanted
    flags = {
        "collapse": options.allow_coalescing,
        "only-if-cached": options.only_if_cached,
        "no-store-up": not options.store_at_parent,
    }
    fields = {
        "lane": wanted.request_class,
        "name": f"{request.object_id:016x}",
        "piece": "0",
        "miss": source_name,
        "prio": str(options.retention_rank),
        "f": "+".join(flag for flag, is_set in flags.items() if is_set),
        "dedupe": wanted.idempotency_key
        or f"mark-{request.context.number}-{request.context.tries}",
    }
    if options.max_age > 0.0:
        fields["within"] = f"{max(1.0, options.max_age):.0f}"
    return fields

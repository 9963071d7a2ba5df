"""The decision module for the network code: pick, report, tick.

The only code that knows the module's calls and its Writer. One lock guards the module and the state
of every request; nothing here touches a socket. A request has one life: it is taken, picked for
until its verdict, and whoever comes second (a late answer, the client's leaving, a timer) finds it
ended. The thread whose call moved a request picks for it until there is nothing to do; only one
thread does at a time, so that all that is done for a request is done in order and its verdict comes
last.
"""

import heapq
import threading
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Any, Protocol

from .policy.admission import SchedulingDelay
from .policy.model import (
    UNKNOWN_ADDRESS,
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
from .policy.router import Router, TrackedEndpoint
from .structured_log import StructuredLog

ANSWER_SLACK = (
    8.0  # a request without a verdict so long after its client's time is failed by the caller
)


class EndpointOverrides(Protocol):
    """What staff want of nodes, over the list. Called under the lock."""

    def update_endpoints(self, now: float, entries: list[EndpointUpdate], whole: bool) -> None: ...
    def effective_state(self, entry: EndpointUpdate) -> EndpointState: ...


@dataclass(slots=True, eq=False)
class CancelAttempt:
    """Call this attempt off."""

    attempt: Attempt


@dataclass(slots=True, eq=False)
class Served:
    answer: Any  # what the caller reported with the attempt


@dataclass(slots=True, eq=False)
class Rejected:
    retry_after_ms: float


@dataclass(slots=True, eq=False)
class Failed:
    pass


@dataclass(slots=True, eq=False)
class ClientGone:
    """The client is gone; no answer is owed."""


RequestResult = Served | Rejected | Failed | ClientGone


class PendingRequest:
    """A request that is not over: what is to be done for it, and its verdict."""

    __slots__ = ("next_steps", "result", "owner_thread")

    def __init__(self, holder: int) -> None:
        self.next_steps: deque[SendAttempt | CancelAttempt] = deque()
        self.result: RequestResult | None = None
        self.owner_thread = holder  # the thread that picks for it; 0: none

    def complete(self, verdict: RequestResult) -> None:
        if self.result is None:
            self.result = verdict


class RequestCoordinator:
    def __init__(
        self, clock: Callable[[], float], seed: int, terms: ServiceSettings, log: StructuredLog
    ) -> None:
        self.clock, self.settings, self.log_events = clock, terms, log
        self.lock = threading.Lock()
        self.timer_changed = threading.Condition(
            self.lock
        )  # rung when the next timer has moved forward
        self.pending_requests: dict[Request, PendingRequest] = {}
        self.endpoints: dict[str, TrackedEndpoint] = {}
        self.addresses: dict[TrackedEndpoint, EndpointAddress] = {}
        self.endpoint_updates: dict[
            str, EndpointUpdate
        ] = {}  # as the list told them last, those that have gone left out
        self.overrides: EndpointOverrides | None = None  # what staff want over the list
        self.timers: list[tuple[float, int, str, Request | Attempt]] = []
        self.timer_count, self.resting_until = 0, 0.0
        self.lateness = SchedulingDelay()
        self.probes: list[tuple[TrackedEndpoint, EndpointAddress]] = []
        self.called_off: list[Attempt] = []
        self.calls: list[tuple[str, tuple[Any, ...]]] = []
        self.router = Router(clock(), seed, terms)

    # For the network code: requests

    def accept(
        self,
        request_class: RequestClass,
        key: int,
        part: int,
        group: int,
        size: float,
        left: float,
        repeated: bool,
        ticket: Any = None,
        room: bool = True,
        pool: CachePool | None = None,
    ) -> Request:
        """A request has come; the caller now picks for it, and until then nobody else does. Where
        there is no room to see it through, the module ends it at once. With a pool it is confined
        to that.
        """
        now = self.clock()
        with self.lock:
            request = Request(
                ticket, request_class, key, part, group, size, now, now + left, repeated, pool=pool
            )
            self.pending_requests[request] = PendingRequest(threading.get_ident())
            self._set_timer(left + ANSWER_SLACK, "overdue", request)
            self._play("requested" if room else "woken", request)
        return request

    def next_step(self, request: Request) -> SendAttempt | CancelAttempt | RequestResult | None:
        """What is to be done next for the request; a verdict comes last, and once. None where
        nothing is to be done, or where another thread is at it, which picks what has come
        meanwhile.
        """
        with self.lock:
            life, here = self.pending_requests.get(request), threading.get_ident()
            if life is None or life.owner_thread not in (0, here):
                return None
            life.owner_thread = here
            while life.next_steps:
                step = life.next_steps.popleft()
                if isinstance(step, CancelAttempt) or (
                    life.result is None and step.attempt.outcome is None
                ):
                    return step
            life.owner_thread = 0
            if life.result is not None:
                del self.pending_requests[request]
            return life.result

    def report_outcome(
        self,
        attempt: Attempt,
        outcome: Outcome,
        note: CacheStatus = CacheStatus.UNKNOWN,
        waited: float = 0.0,
        load: dict[str, float] | None = None,
        answer: Any = None,
    ) -> None:
        """How an attempt went. What comes for an attempt that is over is dropped."""
        with self.lock:
            self._ended(attempt, outcome, note, waited, load, answer)

    def can_begin(self, attempt: Attempt) -> bool:
        """Whether an attempt that was decided may still go out: asked when its first byte is to be
        written, which may be long after. What came between (a drain, another machine at the
        address, a purge, the client's leaving, another answer) holds; an attempt that may not is
        reported as moot, and what is to be done instead is decided anew.
        """
        with self.lock:
            life = self.pending_requests.get(attempt.request)
            if life is None or life.result is not None or attempt.outcome is not None:
                return False
            here = all(
                self.addresses.get(node) is place and not place.is_removed
                for node, place in attempt.addresses
            )
            return here and self.router.may_begin(self.clock(), attempt)

    def can_health_check(self, node: TrackedEndpoint, place: EndpointAddress) -> bool:
        """Whether a node may be asked for an echo or a report there, when the first byte is to be
        written.
        """
        with self.lock:
            return (
                self.addresses.get(node) is place
                and not place.is_removed
                and self.router.may_ask(node)
            )

    def client_left(self, request: Request) -> None:
        """The client has left."""
        with self.lock:
            life = self.pending_requests.get(request)
            if life is not None and life.result is None:
                life.complete(ClientGone())
                self._play("end", request)

    def discard(self, request: Request) -> None:
        """Nobody will pick for this request any more; who holds the links of its attempts gives
        them up.
        """
        self.client_left(request)
        with self.lock:
            self.pending_requests.pop(request, None)

    def finish_pending_requests(self) -> list[Request]:
        """The final answer at once for all that is open; to be picked for."""
        with self.lock:
            still = [
                request for request, life in self.pending_requests.items() if life.result is None
            ]
            for request in still:
                self._play("woken", request)
        return still

    def pending_count(self) -> int:
        return len(self.pending_requests)

    def cpu_pressure(self) -> float:
        """0 where timers come when they are due, near 1 where this director is itself
        what is late.
        """
        return self.lateness.utilization(self.clock())

    def ready_caches(self) -> list[tuple[str, TrackedEndpoint, float]]:
        """Those of this location by name, each with the share of its capacity that it has at the
        least.
        """
        with self.lock:
            now, director = self.clock(), self.router
            director.now = max(director.now, now)
            return sorted(
                (
                    (self.addresses[member].name, member, director.warmth(member))
                    for member in director.caches
                ),
                key=lambda entry: entry[0],
            )

    # For the network code: nodes, events and time

    def update_endpoints(self, entries: list[EndpointUpdate], whole: bool) -> None:
        with self.lock:
            entries = [held for entry in entries if (held := self._as_known(entry)) is not None]
            self.endpoint_updates = {} if whole else self.endpoint_updates
            for entry in entries:
                if entry.state == EndpointState.GONE:
                    self.endpoint_updates.pop(entry.name, None)
                else:
                    self.endpoint_updates[entry.name] = entry
            if self.overrides is not None:
                self.overrides.update_endpoints(self.clock(), entries, whole)
            self._list(entries, whole)

    def _as_known(self, entry: EndpointUpdate) -> EndpointUpdate | None:
        """What was left out of a row is as it was; None where that is not known."""
        known = self.endpoint_updates.get(entry.name)
        if known is None:
            return (
                entry
                if entry.address != UNKNOWN_ADDRESS or entry.state == EndpointState.GONE
                else None
            )
        partial = entry.address == UNKNOWN_ADDRESS or entry.state == EndpointState.GONE
        return replace(known, state=entry.state) if partial else entry

    def change_overrides(self, make: Callable[["EndpointOverrides"], list[str]]) -> None:
        """What staff want has changed: `make` changes the intent and gives the nodes that it
        touches.
        """
        with self.lock:
            touched = [
                self.endpoint_updates[name]
                for name in make(self.overrides)
                if name in self.endpoint_updates
            ]
            if touched:
                self._list(touched, False)

    def endpoint_states(
        self,
    ) -> list[tuple[EndpointUpdate, EndpointState, TrackedEndpoint, float | None, float]]:
        """For staff, by name: as the list tells a node, the state that this director goes by, what
        it believes, the smoothed delay (ms; None: not measured) and its warmth.
        """
        with self.lock:
            now, director = self.clock(), self.router
            director.now = max(director.now, now)
            return [
                (
                    entry,
                    self._state(entry),
                    member,
                    member.recent.mean(now),
                    director.warmth(member),
                )
                for name, entry in sorted(self.endpoint_updates.items())
                if (member := self.endpoints.get(name))
            ]

    def active_purge_count(self) -> int:
        return len(self.router.purges)

    def _state(self, entry: EndpointUpdate) -> EndpointState:
        return self.overrides.effective_state(entry) if self.overrides is not None else entry.state

    def _list(self, entries: list[EndpointUpdate], whole: bool) -> None:
        """Tells the module, under the lock."""
        rows, named = [], set()
        for entry in entries:
            member = self.endpoints.get(entry.name)
            if member is None:
                member = self.endpoints[entry.name] = TrackedEndpoint(_key(entry.name))
            named.add(entry.name)
            place = self.addresses.get(member)
            if (
                place is None
                or place.address != entry.address
                or member.started_at != entry.started_at
            ):
                if place is not None:
                    place.is_removed = True
                place = self.addresses[member] = EndpointAddress(entry.name, entry.address)
            place.is_removed = entry.state == EndpointState.GONE
            rows.append(
                (
                    member,
                    self._state(entry),
                    entry.weight,
                    entry.kind,
                    entry.zone,
                    entry.advertised_cell,
                    entry.started_at,
                )
            )
        if whole:
            for name, member in self.endpoints.items():
                self.addresses[member].is_removed |= name not in named
        self._play("listed", rows, whole, False)
        for name, member in list(
            self.endpoints.items()
        ):  # those that have gone would add up with time
            if self.addresses[member].is_removed and member not in self.router.members:
                del self.endpoints[name], self.addresses[member]

    def apply_purge(self, key: int, group: int, at: float) -> None:
        with self.lock:
            self._play("purged", key, group, self.clock() - at)

    def report_health_check(
        self, node: TrackedEndpoint, load: dict[str, float] | None, well: bool = True
    ) -> None:
        """What a probe brought."""
        with self.lock:
            self._play("told", node, load, well)

    def run_due_timers(
        self,
    ) -> tuple[float, list[tuple[TrackedEndpoint, EndpointAddress]], list[Request]]:
        """Runs the timers that are due; gives when to call again, the nodes to be probed, and the
        requests to be picked for.
        """
        with self.lock:
            now, moved = self.clock(), {}
            if self.timers and self.timers[0][0] <= now:
                self.lateness.record(now, now - self.timers[0][0])
            while self.timers and self.timers[0][0] <= now:
                _, _, what, about = heapq.heappop(self.timers)
                request = about if isinstance(about, Request) else about.request
                if (life := self.pending_requests.get(request)) is None:
                    continue
                if what == "timeout":
                    if about.outcome is None:
                        self._call_off(about)
                        self._ended(about, Outcome.TIMEOUT, CacheStatus.UNKNOWN, 0.0, None, None)
                elif what == "overdue":
                    if (
                        life.result is None
                    ):  # the module gave none; its client must not wait in vain
                        self.log_events.event("overdue", attempts=len(request.attempts))
                        life.complete(Failed())
                        self._play("end", request)
                elif not (about.is_complete if request is about else about.outcome is not None):
                    self._play("woken", about)
                if life.next_steps or life.result is not None:
                    moved[request] = None
            probes, self.probes = self.probes, []
            return self.timers[0][0] if self.timers else now + 1000.0, probes, list(moved)

    def wait_until(self, until: float) -> None:
        """Blocks until then, or until an earlier timer or a probe is wanted."""
        with self.lock:
            self.resting_until = until
            left = until - self.clock()
            if left > 0.0 and not self.probes and (not self.timers or self.timers[0][0] >= until):
                self.timer_changed.wait(left / 1000.0)
            self.resting_until = 0.0

    # Inside, under the lock

    def _play(self, method: str, *arguments: Any) -> None:
        """One round of the module, and further ones for the attempts that it called off."""
        calls = [(method, arguments)]
        while calls:
            try:
                self.router.round(self.clock(), calls, self)
            except Exception as broken:
                self.log_events.exception(f"module, {method}", broken)
                if arguments and isinstance(arguments[0], Request | Attempt):
                    about = (
                        arguments[0] if isinstance(arguments[0], Request) else arguments[0].request
                    )
                    about.is_complete = True
                    if (life := self.pending_requests.get(about)) is not None:
                        life.complete(Failed())
            called_off, self.called_off = self.called_off, []
            now = self.clock()
            calls = [
                (
                    "answered",
                    (
                        attempt,
                        Outcome.CANCELLED,
                        now - attempt.sent_at,
                        attempt.request.is_complete,
                        CacheStatus.UNKNOWN,
                        0.0,
                        None,
                    ),
                )
                for attempt in called_off
                if attempt.outcome is None
            ]

    def _ended(
        self,
        attempt: Attempt,
        outcome: Outcome,
        note: CacheStatus,
        waited: float,
        load: dict[str, float] | None,
        answer: Any,
    ) -> None:
        if attempt.outcome is not None:
            return
        request = attempt.request
        life = self.pending_requests.get(request)
        if outcome == Outcome.SERVED and not request.is_complete and life is not None:
            life.complete(Served(answer))
        closed = request.is_complete or outcome == Outcome.SERVED
        self._play(
            "answered", attempt, outcome, self.clock() - attempt.sent_at, closed, note, waited, load
        )

    def _call_off(self, attempt: Attempt) -> None:
        life = self.pending_requests.get(attempt.request)
        if life is not None:
            waiting = next(
                (
                    step
                    for step in life.next_steps
                    if isinstance(step, SendAttempt) and step.attempt is attempt
                ),
                None,
            )
            if waiting is not None:  # never sent
                life.next_steps.remove(waiting)
            else:
                life.next_steps.append(CancelAttempt(attempt))

    def _set_timer(self, delay: float, what: str, about: Request | Attempt) -> None:
        due = self.clock() + delay
        self.timer_count += 1
        heapq.heappush(self.timers, (due, self.timer_count, what, about))
        if due < self.resting_until:
            self.timer_changed.notify_all()

    # The module's Writer

    def send(
        self,
        attempt: Attempt,
        max_age: float,
        rank: int,
        join: bool,
        held_only: bool,
        parent_keeps: bool,
        renew: bool,
    ) -> None:
        source = (
            attempt.fill_source
            if attempt.fill_source is not None and attempt.fill_source is not attempt.endpoint
            else None
        )
        life = self.pending_requests.get(attempt.request)
        if life is None:
            return
        attempt.addresses = tuple(
            (node, self.addresses[node]) for node in (attempt.endpoint, source) if node is not None
        )
        named = self.addresses[source].name if source else ""
        life.next_steps.append(
            SendAttempt(
                attempt,
                self.addresses[attempt.endpoint],
                named,
                max_age,
                rank,
                join,
                held_only,
                parent_keeps,
                renew,
            )
        )
        self._set_timer(attempt.timeout, "timeout", attempt)

    def abandon(self, attempt: Attempt) -> None:
        if attempt.outcome is None:
            self._call_off(attempt)
            self.called_off.append(attempt)

    def reject(self, request: Request, come_back: float) -> None:
        if (life := self.pending_requests.get(request)) is not None:
            life.complete(Rejected(come_back))

    def fail(self, request: Request) -> None:
        if (life := self.pending_requests.get(request)) is not None:
            life.complete(Failed())

    def wake(self, delay: float, about: Request | Attempt) -> None:
        self._set_timer(delay, "wake", about)

    def probe(self, node: TrackedEndpoint) -> None:
        self.probes.append((node, self.addresses[node]))
        self.timer_changed.notify_all()

    def subscribe(self) -> None:
        """The event stream is always read."""

    def log(self, text: str) -> None:
        self.log_events.event("mode", text=text)


def _key(name: str) -> int:
    """The same number at every director, for the hash."""
    digits = name.rpartition("-")[2]
    try:
        return int(digits, 16)
    except ValueError:
        return int.from_bytes(name.encode(), "big")

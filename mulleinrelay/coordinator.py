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

    def told(self, now: float, entries: list[EndpointUpdate], whole: bool) -> None: ...
    def state(self, entry: EndpointUpdate) -> EndpointState: ...


@dataclass(slots=True, eq=False)
class CancelAttempt:
    """Call this attempt off."""

    attempt: Attempt


@dataclass(slots=True, eq=False)
class Served:
    answer: Any  # what the caller reported with the attempt


@dataclass(slots=True, eq=False)
class Rejected:
    come_back: float


@dataclass(slots=True, eq=False)
class Failed:
    pass


@dataclass(slots=True, eq=False)
class ClientGone:
    """The client is gone; no answer is owed."""


RequestResult = Served | Rejected | Failed | ClientGone


class PendingRequest:
    """A request that is not over: what is to be done for it, and its verdict."""

    __slots__ = ("steps", "verdict", "holder")

    def __init__(self, holder: int) -> None:
        self.steps: deque[SendAttempt | CancelAttempt] = deque()
        self.verdict: RequestResult | None = None
        self.holder = holder  # the thread that picks for it; 0: none

    def settle(self, verdict: RequestResult) -> None:
        if self.verdict is None:
            self.verdict = verdict


class RequestCoordinator:
    def __init__(
        self, clock: Callable[[], float], seed: int, terms: ServiceSettings, log: StructuredLog
    ) -> None:
        self.clock, self.terms, self.log_to = clock, terms, log
        self.lock = threading.Lock()
        self.early = threading.Condition(self.lock)  # rung when the next timer has moved forward
        self.lives: dict[Request, PendingRequest] = {}
        self.nodes: dict[str, TrackedEndpoint] = {}
        self.places: dict[TrackedEndpoint, EndpointAddress] = {}
        self.entries: dict[
            str, EndpointUpdate
        ] = {}  # as the list told them last, those that have gone left out
        self.intent: EndpointOverrides | None = None  # what staff want over the list
        self.timers: list[tuple[float, int, str, Request | Attempt]] = []
        self.timer_count, self.resting_until = 0, 0.0
        self.lateness = SchedulingDelay()
        self.probes: list[tuple[TrackedEndpoint, EndpointAddress]] = []
        self.called_off: list[Attempt] = []
        self.calls: list[tuple[str, tuple[Any, ...]]] = []
        self.director = Router(clock(), seed, terms)

    # For the network code: requests

    def take(
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
            self.lives[request] = PendingRequest(threading.get_ident())
            self._set_timer(left + ANSWER_SLACK, "overdue", request)
            self._play("requested" if room else "woken", request)
        return request

    def pick(self, request: Request) -> SendAttempt | CancelAttempt | RequestResult | None:
        """What is to be done next for the request; a verdict comes last, and once. None where
        nothing is to be done, or where another thread is at it, which picks what has come
        meanwhile.
        """
        with self.lock:
            life, here = self.lives.get(request), threading.get_ident()
            if life is None or life.holder not in (0, here):
                return None
            life.holder = here
            while life.steps:
                step = life.steps.popleft()
                if isinstance(step, CancelAttempt) or (
                    life.verdict is None and step.attempt.outcome is None
                ):
                    return step
            life.holder = 0
            if life.verdict is not None:
                del self.lives[request]
            return life.verdict

    def report(
        self,
        attempt: Attempt,
        outcome: Outcome,
        note: CacheStatus = CacheStatus.NONE,
        waited: float = 0.0,
        load: dict[str, float] | None = None,
        answer: Any = None,
    ) -> None:
        """How an attempt went. What comes for an attempt that is over is dropped."""
        with self.lock:
            self._ended(attempt, outcome, note, waited, load, answer)

    def may_begin(self, attempt: Attempt) -> bool:
        """Whether an attempt that was decided may still go out: asked when its first byte is to be
        written, which may be long after. What came between (a drain, another machine at the
        address, a purge, the client's leaving, another answer) holds; an attempt that may not is
        reported as moot, and what is to be done instead is decided anew.
        """
        with self.lock:
            life = self.lives.get(attempt.request)
            if life is None or life.verdict is not None or attempt.outcome is not None:
                return False
            here = all(
                self.places.get(node) is place and not place.gone for node, place in attempt.ways
            )
            return here and self.director.may_begin(self.clock(), attempt)

    def may_ask(self, node: TrackedEndpoint, place: EndpointAddress) -> bool:
        """Whether a node may be asked for an echo or a report there, when the first byte is to be
        written.
        """
        with self.lock:
            return self.places.get(node) is place and not place.gone and self.director.may_ask(node)

    def forget(self, request: Request) -> None:
        """The client has left."""
        with self.lock:
            life = self.lives.get(request)
            if life is not None and life.verdict is None:
                life.settle(ClientGone())
                self._play("end", request)

    def drop(self, request: Request) -> None:
        """Nobody will pick for this request any more; who holds the links of its attempts gives
        them up.
        """
        self.forget(request)
        with self.lock:
            self.lives.pop(request, None)

    def wind_up(self) -> list[Request]:
        """The final answer at once for all that is open; to be picked for."""
        with self.lock:
            still = [request for request, life in self.lives.items() if life.verdict is None]
            for request in still:
                self._play("woken", request)
        return still

    def open_requests(self) -> int:
        return len(self.lives)

    def short_of_time(self) -> float:
        """0 where timers come when they are due, near 1 where this director is itself
        what is late.
        """
        return self.lateness.fullness(self.clock())

    def ready_caches(self) -> list[tuple[str, TrackedEndpoint, float]]:
        """Those of this location by name, each with the share of its capacity that it has at the
        least.
        """
        with self.lock:
            now, director = self.clock(), self.director
            director.now = max(director.now, now)
            return sorted(
                (
                    (self.places[member].name, member, director.warmth(member))
                    for member in director.caches
                ),
                key=lambda entry: entry[0],
            )

    # For the network code: nodes, events and time

    def listed(self, entries: list[EndpointUpdate], whole: bool) -> None:
        with self.lock:
            entries = [held for entry in entries if (held := self._as_known(entry)) is not None]
            self.entries = {} if whole else self.entries
            for entry in entries:
                if entry.state == EndpointState.GONE:
                    self.entries.pop(entry.name, None)
                else:
                    self.entries[entry.name] = entry
            if self.intent is not None:
                self.intent.told(self.clock(), entries, whole)
            self._list(entries, whole)

    def _as_known(self, entry: EndpointUpdate) -> EndpointUpdate | None:
        """What was left out of a row is as it was; None where that is not known."""
        known = self.entries.get(entry.name)
        if known is None:
            return (
                entry
                if entry.address != UNKNOWN_ADDRESS or entry.state == EndpointState.GONE
                else None
            )
        partial = entry.address == UNKNOWN_ADDRESS or entry.state == EndpointState.GONE
        return replace(known, state=entry.state) if partial else entry

    def wanted(self, make: Callable[["EndpointOverrides"], list[str]]) -> None:
        """What staff want has changed: `make` changes the intent and gives the nodes that it
        touches.
        """
        with self.lock:
            touched = [self.entries[name] for name in make(self.intent) if name in self.entries]
            if touched:
                self._list(touched, False)

    def boxes(
        self,
    ) -> list[tuple[EndpointUpdate, EndpointState, TrackedEndpoint, float | None, float]]:
        """For staff, by name: as the list tells a node, the state that this director goes by, what
        it believes, the smoothed delay (ms; None: not measured) and its warmth.
        """
        with self.lock:
            now, director = self.clock(), self.director
            director.now = max(director.now, now)
            return [
                (
                    entry,
                    self._state(entry),
                    member,
                    member.recent.mean(now),
                    director.warmth(member),
                )
                for name, entry in sorted(self.entries.items())
                if (member := self.nodes.get(name))
            ]

    def purges_binding(self) -> int:
        return len(self.director.purges)

    def _state(self, entry: EndpointUpdate) -> EndpointState:
        return self.intent.state(entry) if self.intent is not None else entry.state

    def _list(self, entries: list[EndpointUpdate], whole: bool) -> None:
        """Tells the module, under the lock."""
        rows, named = [], set()
        for entry in entries:
            member = self.nodes.get(entry.name)
            if member is None:
                member = self.nodes[entry.name] = TrackedEndpoint(_key(entry.name))
            named.add(entry.name)
            place = self.places.get(member)
            if place is None or place.address != entry.address or member.started != entry.started:
                if place is not None:
                    place.gone = True
                place = self.places[member] = EndpointAddress(entry.name, entry.address)
            place.gone = entry.state == EndpointState.GONE
            rows.append(
                (
                    member,
                    self._state(entry),
                    entry.share,
                    entry.kind,
                    entry.zone,
                    entry.listed_cell,
                    entry.started,
                )
            )
        if whole:
            for name, member in self.nodes.items():
                self.places[member].gone |= name not in named
        self._play("listed", rows, whole, False)
        for name, member in list(self.nodes.items()):  # those that have gone would add up with time
            if self.places[member].gone and member not in self.director.members:
                del self.nodes[name], self.places[member]

    def purged(self, key: int, group: int, at: float) -> None:
        with self.lock:
            self._play("purged", key, group, self.clock() - at)

    def told(self, node: TrackedEndpoint, load: dict[str, float] | None, well: bool = True) -> None:
        """What a probe brought."""
        with self.lock:
            self._play("told", node, load, well)

    def tick(self) -> tuple[float, list[tuple[TrackedEndpoint, EndpointAddress]], list[Request]]:
        """Runs the timers that are due; gives when to call again, the nodes to be probed, and the
        requests to be picked for.
        """
        with self.lock:
            now, moved = self.clock(), {}
            if self.timers and self.timers[0][0] <= now:
                self.lateness.note(now, now - self.timers[0][0])
            while self.timers and self.timers[0][0] <= now:
                _, _, what, about = heapq.heappop(self.timers)
                request = about if isinstance(about, Request) else about.request
                if (life := self.lives.get(request)) is None:
                    continue
                if what == "timeout":
                    if about.outcome is None:
                        self._call_off(about)
                        self._ended(about, Outcome.TIMEOUT, CacheStatus.NONE, 0.0, None, None)
                elif what == "overdue":
                    if (
                        life.verdict is None
                    ):  # the module gave none; its client must not wait in vain
                        self.log_to.event("overdue", attempts=len(request.attempts))
                        life.settle(Failed())
                        self._play("end", request)
                elif not (about.ended if request is about else about.outcome is not None):
                    self._play("woken", about)
                if life.steps or life.verdict is not None:
                    moved[request] = None
            probes, self.probes = self.probes, []
            return self.timers[0][0] if self.timers else now + 1000.0, probes, list(moved)

    def rest(self, until: float) -> None:
        """Blocks until then, or until an earlier timer or a probe is wanted."""
        with self.lock:
            self.resting_until = until
            left = until - self.clock()
            if left > 0.0 and not self.probes and (not self.timers or self.timers[0][0] >= until):
                self.early.wait(left / 1000.0)
            self.resting_until = 0.0

    # Inside, under the lock

    def _play(self, method: str, *arguments: Any) -> None:
        """One round of the module, and further ones for the attempts that it called off."""
        calls = [(method, arguments)]
        while calls:
            try:
                self.director.round(self.clock(), calls, self)
            except Exception as broken:
                self.log_to.fault(f"module, {method}", broken)
                if arguments and isinstance(arguments[0], Request | Attempt):
                    about = (
                        arguments[0] if isinstance(arguments[0], Request) else arguments[0].request
                    )
                    about.ended = True
                    if (life := self.lives.get(about)) is not None:
                        life.settle(Failed())
            called_off, self.called_off = self.called_off, []
            now = self.clock()
            calls = [
                (
                    "answered",
                    (
                        attempt,
                        Outcome.CANCELLED,
                        now - attempt.sent,
                        attempt.request.ended,
                        CacheStatus.NONE,
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
        life = self.lives.get(request)
        if outcome == Outcome.SERVED and not request.ended and life is not None:
            life.settle(Served(answer))
        closed = request.ended or outcome == Outcome.SERVED
        self._play(
            "answered", attempt, outcome, self.clock() - attempt.sent, closed, note, waited, load
        )

    def _call_off(self, attempt: Attempt) -> None:
        life = self.lives.get(attempt.request)
        if life is not None:
            waiting = next(
                (
                    step
                    for step in life.steps
                    if isinstance(step, SendAttempt) and step.attempt is attempt
                ),
                None,
            )
            if waiting is not None:  # never sent
                life.steps.remove(waiting)
            else:
                life.steps.append(CancelAttempt(attempt))

    def _set_timer(self, delay: float, what: str, about: Request | Attempt) -> None:
        due = self.clock() + delay
        self.timer_count += 1
        heapq.heappush(self.timers, (due, self.timer_count, what, about))
        if due < self.resting_until:
            self.early.notify_all()

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
            attempt.source
            if attempt.source is not None and attempt.source is not attempt.node
            else None
        )
        life = self.lives.get(attempt.request)
        if life is None:
            return
        attempt.ways = tuple(
            (node, self.places[node]) for node in (attempt.node, source) if node is not None
        )
        named = self.places[source].name if source else ""
        life.steps.append(
            SendAttempt(
                attempt,
                self.places[attempt.node],
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
        if (life := self.lives.get(request)) is not None:
            life.settle(Rejected(come_back))

    def fail(self, request: Request) -> None:
        if (life := self.lives.get(request)) is not None:
            life.settle(Failed())

    def wake(self, delay: float, about: Request | Attempt) -> None:
        self._set_timer(delay, "wake", about)

    def probe(self, node: TrackedEndpoint) -> None:
        self.probes.append((node, self.places[node]))
        self.early.notify_all()

    def subscribe(self) -> None:
        """The event stream is always read."""

    def log(self, text: str) -> None:
        self.log_to.event("mode", text=text)


def _key(name: str) -> int:
    """The same number at every director, for the hash."""
    digits = name.rpartition("-")[2]
    try:
        return int(digits, 16)
    except ValueError:
        return int.from_bytes(name.encode(), "big")

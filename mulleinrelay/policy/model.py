"""The types that the decision module and its callers share. No decision and no tuned value stands
here.

A caller makes one `policy.Director(now, seed, terms)` for each director and calls
`director.round(now, inbox, out)` with all that came in since the last call. `inbox` holds plain
tuples (name of a Director method, arguments) in arrival order; `out` is a Writer. Times are
milliseconds.
"""

import math
from dataclasses import dataclass, field
from enum import IntEnum
from typing import Any, Protocol

IDEMPOTENT, KEYED, UNSAFE = "idempotent", "keyed", "unsafe"
UNKNOWN_ADDRESS = ("", 0)  # the address of a node of which only the name and the state are told


class EndpointState(IntEnum):
    READY = 0
    GONE = 1
    DRAINING = 2


class Outcome(IntEnum):
    """How an attempt ended; the last four prove that it never ran."""

    SERVED = 0
    ERROR = 1
    TIMEOUT = 2
    RESET = 3
    CANCELLED = 4
    TURNED_AWAY = 5
    UNCONNECTED = 6
    MOOT = 7
    MISS = 8

    @property
    def never_ran(self) -> bool:
        return self >= Outcome.TURNED_AWAY


class CacheStatus(IntEnum):
    """What a cache tells of an answer's way, where it tells."""

    NONE = 0
    HIT = 1
    FILLED = 2
    FILLED_BY_ORIGIN = 3
    JOINED = 4
    STALE = 5
    SOURCE_REFUSED = 6
    SOURCE_LOST = 7
    SOURCE_LACKS = 8
    NO_PLACE = 9
    ORIGIN_BROKE = 10


@dataclass(slots=True, eq=False)
class RequestClass:
    repeat: str  # IDEMPOTENT, KEYED or UNSAFE
    latency_goal: float
    goal_stretch: float  # the goal grows by this multiple of the answer's own sending time
    client_timeout: float
    memory_span: float  # how long a keyed repeat is known
    group: str  # which nodes know it: "all", "zone" or "cell"
    fresh_for: float
    never_kept: bool  # runs at the origin
    credit: float = 1.0  # of a request served in time


@dataclass(slots=True)
class SlowStartPolicy:
    """What a node that has just started can take."""

    starts_at: float  # share of its capacity at the start
    warm_in: float
    span: float
    multiple: float  # of what it can do then; sent more for the span, by all together, it falls


@dataclass(slots=True, eq=False)
class ServiceSettings:
    """What a director is told at its start about the service it stands in."""

    request_classes: list[RequestClass]
    zone: int
    directors: int
    directors_here: int  # in this director's own location
    parent_kind: int
    origin_kind: int
    sized: bool  # the list tells sizes of nodes
    flow: float  # KB a millisecond of one transfer; 0 where not told
    attempts_most: int
    two_attempts: bool  # an idempotent request may have two attempts out at once
    may_cancel: bool
    may_probe: bool
    may_advise: bool  # clients are told when to come back
    advice_most: float
    may_pass_by: bool
    joins: bool
    siblings: bool
    must_subscribe: bool
    reports: list[str]  # names of a load report's values
    asks_reports: bool  # they come to probes only
    cold_cache: SlowStartPolicy
    cold_parent: SlowStartPolicy
    purge_span: float
    probe_price: float = 0.0  # of one probe a request, in credit; 0 where not told


@dataclass(slots=True, eq=False)
class Endpoint:
    """A cache, a parent or the origin, as the list tells of it."""

    key: int
    zone: int = -1
    kind: int = -1
    listed_cell: int = -1  # the list's own word; what a tenant is confined to is a Pool
    share: float = 1.0
    state: EndpointState = EndpointState.GONE
    started: float = 0.0


@dataclass(slots=True, eq=False)
class Attempt:
    request: "Request"
    number: int
    node: Endpoint
    source: Endpoint | None
    sent: float
    timeout: float
    outcome: Outcome | None = None
    bag: Any = None  # the module's own notes on it
    purged: float = 0.0  # the purge that bounds the age of its copy; 0: none does
    ways: tuple[
        tuple[Endpoint, "EndpointAddress"], ...
    ] = ()  # the caller's: where node and source were when decided
    tag: str = ""  # the caller's: of the client's copy, as the node was told


@dataclass(slots=True, eq=False)
class RetryBudget:
    """Further attempts that may go now, for all requests that share it."""

    again: float


@dataclass(slots=True, eq=False)
class QuotaShare:
    """This director's part of a limit that directors have in common: `part` until then, and after
    that, however long it was stopped meanwhile, only `least`. Where it is `watched`, the largest
    parts that it used and that it was refused since somebody last looked.
    """

    part: float
    until: float = math.inf
    least: float = 0.0
    watched: bool = False
    used: float = 0.0
    refused: float = 0.0

    def held(self, now: float) -> float:
        return self.part if now < self.until else self.least


@dataclass(slots=True, eq=False)
class CachePool:
    """What a request is confined to: the caches it may go to, those that are taken where none of
    these may be sent to, those that may fill it as siblings besides, and further attempts that it
    shares with others.
    """

    caches: dict[Endpoint, None]
    spare: dict[Endpoint, None]
    helpers: dict[Endpoint, None]
    purse: RetryBudget


@dataclass(slots=True, eq=False)
class Request:
    ticket: Any  # the caller's own, for the way back
    request_class: RequestClass
    key: int
    part: int
    group: int
    size: float  # KB; 0 where not told
    arrived: float
    until: float  # when the client stops waiting
    repeated: bool = False
    ended: bool = False
    attempts: list[Attempt] = field(default_factory=list)
    pool: CachePool | None = None  # None: all caches of the location


@dataclass(slots=True, eq=False)
class ClientRequest:
    """A request as its client worded it; the texts and the body go on with each
    attempt, unchanged.
    """

    request_class: str
    mark: str
    object: str
    part: str
    idempotency_key: str  # by which a repeat is known; empty: none
    tag: str  # of the copy that the client holds; empty: none
    body: memoryview
    left: float  # ms that the client waits
    group: int
    size: float
    repeated: bool
    tenant: str = ""  # as the client names it, in a field of our own


@dataclass(slots=True, eq=False)
class EndpointAddress:
    """Where a node is found: its name and address on the wire. A machine that starts again gets a
    new one.
    """

    name: str
    address: tuple[str, int]
    gone: bool = False


@dataclass(slots=True, eq=False)
class EndpointUpdate:
    """One node as the list tells of it."""

    name: str
    address: tuple[str, int]
    state: EndpointState
    share: float
    kind: int
    zone: int
    listed_cell: int
    started: float


@dataclass(slots=True, eq=False)
class SendAttempt:
    """Send this attempt."""

    attempt: Attempt
    place: EndpointAddress
    source: str  # the name of the node that a miss is filled from; empty: no fill
    max_age: float
    rank: int
    join: bool
    held_only: bool
    parent_keeps: bool
    renew: bool


class ActionSink(Protocol):
    """Where decisions go, one method an action."""

    def send(
        self,
        attempt: Attempt,
        max_age: float,
        rank: int,
        join: bool,
        held_only: bool,
        parent_keeps: bool,
        renew: bool,
    ) -> None: ...
    def abandon(self, attempt: Attempt) -> None: ...
    def reject(self, request: Request, come_back: float) -> None: ...
    def fail(self, request: Request) -> None: ...
    def wake(self, delay: float, about: Any) -> None: ...
    def probe(self, node: Endpoint) -> None: ...
    def subscribe(self) -> None: ...
    def log(self, text: str) -> None: ...

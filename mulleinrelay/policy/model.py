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
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from .latency import TrackedEndpoint

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
    REJECTED = 5
    CONNECT_FAILED = 6
    NOT_SENT = 7
    MISS = 8

    @property
    def is_never_executed(self) -> bool:
        return self >= Outcome.REJECTED


class CacheStatus(IntEnum):
    """What a cache tells of an answer's way, where it tells."""

    UNKNOWN = 0
    HIT = 1
    FILLED = 2
    FILLED_BY_ORIGIN = 3
    COALESCED = 4
    STALE = 5
    SOURCE_REJECTED = 6
    SOURCE_FAILED = 7
    SOURCE_MISS = 8
    NOT_STORED = 9
    ORIGIN_FAILED = 10


@dataclass(slots=True, eq=False)
class RequestClass:
    idempotency: str  # IDEMPOTENT, KEYED or UNSAFE
    latency_objective: float
    objective_stretch: float  # the goal grows by this multiple of the answer's own sending time
    client_timeout: float
    key_retention: float  # how long a keyed repeat is known
    key_scope: str  # which nodes know it: "all", "zone" or "cell"
    freshness_lifetime: float
    is_uncacheable: bool  # runs at the origin
    priority_weight: float = 1.0  # of a request served in time


@dataclass(slots=True)
class SlowStartPolicy:
    """What a node that has just started can take."""

    initial_fraction: float  # share of its capacity at the start
    duration: float
    overload_window: float
    overload_factor: (
        float  # of what it can do then; sent more for the span, by all together, it falls
    )


@dataclass(slots=True, eq=False)
class ServiceSettings:
    """What a director is told at its start about the service it stands in."""

    request_classes: list[RequestClass]
    zone: int
    director_count: int
    local_director_count: int  # in this director's own location
    parent_kind: int
    origin_kind: int
    advertises_weights: bool  # the list tells sizes of nodes
    transfer_rate: float  # KB a millisecond of one transfer; 0 where not told
    max_attempts: int
    allows_hedging: bool  # an idempotent request may have two attempts out at once
    allows_cancel: bool
    allows_health_checks: bool
    allows_retry_after: bool  # clients are told when to come back
    max_retry_after: float
    allows_cache_bypass: bool
    allows_coalescing: bool
    allows_sibling_fills: bool
    requires_subscription: bool
    load_report_fields: list[str]  # names of a load report's values
    polls_load_reports: bool  # they come to probes only
    cache_slow_start: SlowStartPolicy
    parent_slow_start: SlowStartPolicy
    purge_propagation: float
    health_check_cost: float = 0.0  # of one probe a request, in credit; 0 where not told


@dataclass(slots=True, eq=False)
class Endpoint:
    """A cache, a parent or the origin, as the list tells of it."""

    hash_key: int
    zone: int = -1
    kind: int = -1
    advertised_cell: int = -1  # the list's own word; what a tenant is confined to is a Pool
    weight: float = 1.0
    state: EndpointState = EndpointState.GONE
    started_at: float = 0.0

    @property
    def is_ready(self) -> bool:
        """Whether it may be sent new work; one that is draining may not."""
        return self.state == EndpointState.READY


@dataclass(slots=True, eq=False)
class Attempt:
    request: "Request"
    number: int
    endpoint: "TrackedEndpoint"
    fill_source: "TrackedEndpoint | None"
    sent_at: float
    timeout: float
    outcome: Outcome | None = None
    expects_hit: Any = None  # the module's own notes on it
    purged_at: float = 0.0  # the purge that bounds the age of its copy; 0: none does
    addresses: tuple[
        tuple["TrackedEndpoint", "EndpointAddress"], ...
    ] = ()  # the caller's: where node and source were when decided
    entity_tag: str = ""  # the caller's: of the client's copy, as the node was told


@dataclass(slots=True, eq=False)
class RetryBudget:
    """Further attempts that may go now, for all requests that share it."""

    tokens: float


@dataclass(slots=True, eq=False)
class QuotaShare:
    """This director's part of a limit that directors have in common: `part` until then, and after
    that, however long it was stopped meanwhile, only `least`. Where it is `watched`, the largest
    parts that it used and that it was refused since somebody last looked.
    """

    fraction: float
    expires_at: float = math.inf
    fallback_fraction: float = 0.0
    is_tracked: bool = False
    peak_used: float = 0.0
    peak_rejected: float = 0.0

    def fraction_at(self, now: float) -> float:
        return self.fraction if now < self.expires_at else self.fallback_fraction


@dataclass(slots=True, eq=False)
class CachePool:
    """What a request is confined to: the caches it may go to, those that are taken where none of
    these may be sent to, those that may fill it as siblings besides, and further attempts that it
    shares with others.
    """

    caches: dict[Endpoint, None]
    failover_caches: dict[Endpoint, None]
    migration_sources: dict[Endpoint, None]
    retry_budget: RetryBudget


@dataclass(slots=True, eq=False)
class Request:
    context: Any  # the caller's own, for the way back
    request_class: RequestClass
    object_id: int
    part: int
    group: int
    size_kb: float  # KB; 0 where not told
    arrived_at: float
    deadline: float  # when the client stops waiting
    is_retry: bool = False
    is_complete: bool = False
    attempts: list[Attempt] = field(default_factory=list)
    pool: CachePool | None = None  # None: all caches of the location


@dataclass(slots=True, eq=False)
class ClientRequest:
    """A request as its client worded it; the texts and the body go on with each
    attempt, unchanged.
    """

    request_class: str
    request_id: str
    object: str
    part: str
    idempotency_key: str  # by which a repeat is known; empty: none
    entity_tag: str  # of the copy that the client holds; empty: none
    body: memoryview
    remaining_time: float  # ms that the client waits
    group: int
    size_kb: float
    is_retry: bool
    tenant: str = ""  # as the client names it, in a field of our own


@dataclass(slots=True, eq=False)
class EndpointAddress:
    """Where a node is found: its name and address on the wire. A machine that starts again gets a
    new one.
    """

    name: str
    address: tuple[str, int]
    is_removed: bool = False


@dataclass(slots=True, eq=False)
class EndpointUpdate:
    """One node as the list tells of it."""

    name: str
    address: tuple[str, int]
    state: EndpointState
    weight: float
    kind: int
    zone: int
    advertised_cell: int
    started_at: float


@dataclass(slots=True, eq=False)
class SendAttempt:
    """Send this attempt."""

    attempt: Attempt
    address: EndpointAddress
    fill_source: str  # the name of the node that a miss is filled from; empty: no fill
    max_age: float
    retention_rank: int
    allow_coalescing: bool
    only_if_cached: bool
    store_at_parent: bool
    revalidate: bool

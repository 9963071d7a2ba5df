"""The types that the router and its callers share. No decision and no tuned value stands here.

A caller makes one `Router(now, seed, settings)` for each director and calls
`router.handle(now, events, sink)` with what came in since the last call (see `events`, `actions`).
Times are milliseconds, sizes KB.
"""

import math
from dataclasses import dataclass, field
from enum import IntEnum
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from .latency import TrackedEndpoint


# Values of `RequestClass.idempotency`
IDEMPOTENT = "idempotent"  # may run any number of times
KEYED = "keyed"  # runs once as long as its idempotency key is remembered
UNSAFE = "unsafe"  # must not be sent again once it may have run
UNKNOWN_ADDRESS = ("", 0)  # of an endpoint of which an update has only the name and the state


class EndpointState(IntEnum):
    """The state of an endpoint in the endpoint list."""

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
        """Whether the attempt provably had no effect."""
        return self >= Outcome.REJECTED


class CacheStatus(IntEnum):
    """How a cache came by its answer, where it reports it."""

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
    """What the requests of one class need and may do."""

    idempotency: str  # IDEMPOTENT, KEYED or UNSAFE
    latency_objective: float
    objective_stretch: float  # the objective grows by this multiple of the answer's sending time
    client_timeout: float
    key_retention: float  # how long an idempotency key is remembered
    key_scope: str  # which endpoints remember it: "all", "zone" or "cell"
    freshness_lifetime: float
    is_uncacheable: bool  # it runs at the origin
    priority_weight: float = 1.0  # of a request served in time


@dataclass(slots=True)
class SlowStartPolicy:
    """What an endpoint that has just started can take."""

    initial_fraction: float  # of its capacity, at the start
    duration: float
    overload_window: float
    overload_factor: float  # it fails when sent this multiple of its capacity over the window


@dataclass(slots=True, eq=False)
class ServiceSettings:
    """What a director gets at its start about the service that it is part of."""

    request_classes: list[RequestClass]
    zone: int
    director_count: int
    local_director_count: int  # in this director's zone
    parent_kind: int
    origin_kind: int
    advertises_weights: bool  # the endpoint list has their sizes
    transfer_rate: float  # KB a millisecond of one transfer; 0 where not known
    max_attempts: int
    allows_hedging: bool  # a request may have two attempts in flight
    allows_cancel: bool
    allows_health_checks: bool
    allows_retry_after: bool  # a rejection says when to retry
    max_retry_after: float
    allows_cache_bypass: bool
    allows_coalescing: bool
    allows_sibling_fills: bool
    requires_subscription: bool
    load_report_fields: list[str]  # names of a load report's values
    polls_load_reports: bool  # they come with health checks only
    cache_slow_start: SlowStartPolicy
    parent_slow_start: SlowStartPolicy
    purge_propagation: float
    health_check_cost: float = 0.0  # of one check a request, in priority weight; 0: not known


@dataclass(slots=True, eq=False)
class Endpoint:
    """A cache, a parent or the origin, as the endpoint list has it."""

    hash_key: int
    zone: int = -1
    kind: int = -1
    advertised_cell: int = -1  # by the list; what a tenant is confined to is a CachePool
    weight: float = 1.0
    state: EndpointState = EndpointState.GONE
    started_at: float = 0.0

    @property
    def is_ready(self) -> bool:
        """Whether it may be sent new work; one that is draining may not."""
        return self.state == EndpointState.READY


@dataclass(slots=True, eq=False)
class Attempt:
    """One sending of a request to an endpoint.

    Attributes:
        request: The request.
        number: Its place among the request's attempts, from 0.
        endpoint: Where it is sent.
        fill_source: Where a miss is filled from; the endpoint itself where it is not.
        sent_at: When it was decided.
        timeout: How long after that it is given up.
        outcome: How it ended; None while it is in flight.
        expects_hit: Whether the router believed that the endpoint holds the object.
        purged_at: The object's last purge when it was decided; 0: none.
        addresses: The caller's: where endpoint and source were found when it was decided.
        entity_tag: The caller's: of the client's copy, as sent to the endpoint.
    """

    request: "Request"
    number: int
    endpoint: "TrackedEndpoint"
    fill_source: "TrackedEndpoint | None"
    sent_at: float
    timeout: float
    outcome: Outcome | None = None
    expects_hit: bool = False
    purged_at: float = 0.0
    addresses: tuple[tuple["TrackedEndpoint", "EndpointAddress"], ...] = ()
    entity_tag: str = ""


@dataclass(slots=True, eq=False)
class RetryBudget:
    """Retries that may go now, for all requests that share the budget."""

    tokens: float


@dataclass(slots=True, eq=False)
class QuotaShare:
    """This director's share of a limit that directors have in common.

    Attributes:
        fraction: The share until `expires_at`.
        expires_at: When a borrowed share ends, however long the director was stopped meanwhile.
        fallback_fraction: The share after that.
        is_tracked: Whether the peaks are recorded.
        peak_used: The largest share used since the peaks were last read.
        peak_rejected: The largest share that was asked for in vain since then.
    """

    fraction: float
    expires_at: float = math.inf
    fallback_fraction: float = 0.0
    is_tracked: bool = False
    peak_used: float = 0.0
    peak_rejected: float = 0.0

    def fraction_at(self, now: float) -> float:
        """The share at that time."""
        return self.fraction if now < self.expires_at else self.fallback_fraction


@dataclass(slots=True, eq=False)
class CachePool:
    """What a request is confined to.

    Attributes:
        caches: The caches that it may go to.
        failover_caches: Those that are taken where none of `caches` may be sent to.
        migration_sources: Further caches that may fill it, since they served it before.
        retry_budget: What pays for its retries, shared with other requests.
    """

    caches: dict[Endpoint, None]
    failover_caches: dict[Endpoint, None]
    migration_sources: dict[Endpoint, None]
    retry_budget: RetryBudget


@dataclass(slots=True, eq=False)
class Request:
    """A client's request."""

    context: Any  # the caller's own
    request_class: RequestClass
    object_id: int
    part: int
    group: int
    size_kb: float  # KB; 0 where not known
    arrived_at: float
    deadline: float  # when the client stops waiting
    is_retry: bool = False
    is_complete: bool = False
    attempts: list[Attempt] = field(default_factory=list)
    pool: CachePool | None = None  # None: all caches of the location


@dataclass(slots=True, eq=False)
class ClientRequest:
    """A request as its client sent it.

    Texts and body are forwarded with each attempt unchanged; the body is not copied.
    """

    request_class: str
    request_id: str
    object: str
    part: str
    idempotency_key: str  # empty: none
    entity_tag: str  # of the client's copy; empty: none
    body: memoryview
    remaining_time: float  # ms that the client waits
    group: int
    size_kb: float
    is_retry: bool
    tenant: str = ""  # as the client names it


@dataclass(slots=True, eq=False)
class EndpointAddress:
    """Where an endpoint is found; one that starts again gets a new object."""

    name: str
    address: tuple[str, int]
    is_removed: bool = False


@dataclass(slots=True, eq=False)
class EndpointUpdate:
    """One endpoint in an update of the endpoint list."""

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
    """A step for the network code: send this attempt."""

    attempt: Attempt
    address: EndpointAddress
    fill_source: str  # name of the endpoint that a miss is filled from; empty: no fill
    max_age: float
    retention_rank: int
    allow_coalescing: bool
    only_if_cached: bool
    store_at_parent: bool
    revalidate: bool

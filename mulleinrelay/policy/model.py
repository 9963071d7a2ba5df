"""Types that the router and its callers share, without decisions or tuned values.

A caller creates one `Router(now, seed, settings)` for each director and calls `router.handle(now,
events, sink)` with the events received since the last call (see `events` and `actions`). Times and
durations are milliseconds, sizes KB.
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
# Address in an update that has only the endpoint's name and state
UNKNOWN_ADDRESS = ("", 0)


class EndpointState(IntEnum):
    """State of an endpoint in the endpoint list; GONE: not listed, or removed from the list."""

    READY = 0
    GONE = 1
    DRAINING = 2


class Outcome(IntEnum):
    """Outcome of an attempt; REJECTED and all later members prove that the attempt never ran."""

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
    """How an endpoint obtained its answer, or why it gave none; UNKNOWN if not reported."""

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
    """Properties that all requests of one class have in common."""

    idempotency: str  # IDEMPOTENT, KEYED or UNSAFE
    latency_objective: float  # time from a request's arrival within which its answer is in time
    objective_stretch: float  # the objective grows by this multiple of the answer's transfer time
    client_timeout: float  # upper bound of the objective: time for which clients wait
    key_retention: float  # how long endpoints remember an idempotency key
    key_scope: str  # the endpoints that remember the key: "all", "zone" or "cell"
    freshness_lifetime: float  # age up to which a copy is fresh; 0: fresh until it is purged
    is_uncacheable: bool  # the request must run at the origin
    priority_weight: float = 1.0  # value of a request that is served in time


@dataclass(slots=True)
class SlowStartPolicy:
    """Load that an endpoint can serve while it warms up after its start."""

    initial_fraction: float  # fraction of its capacity that the endpoint has at its start
    duration: float  # time after which it has its whole capacity
    overload_window: float  # time over which its load is averaged
    # The endpoint fails if its averaged load exceeds this multiple of its present capacity.
    overload_factor: float


@dataclass(slots=True, eq=False)
class ServiceSettings:
    """Settings of the service, given to a director at its start."""

    request_classes: list[RequestClass]
    zone: int  # the director's zone
    director_count: int  # directors in all zones
    local_director_count: int  # directors in this director's zone, 1 or more
    parent_kind: int  # `Endpoint.kind` of parents
    origin_kind: int  # `Endpoint.kind` of the origin
    advertises_weights: bool  # the endpoint list contains endpoint weights
    transfer_rate: float  # KB per ms of one transfer; 0: unknown
    max_attempts: int  # maximum number of attempts of one request
    allows_hedging: bool  # a request may have two attempts in flight
    allows_cancel: bool  # an attempt in flight may be cancelled
    allows_health_checks: bool
    allows_retry_after: bool  # a rejection may specify after which time to retry
    max_retry_after: float  # upper bound of the time that a rejection specifies
    allows_cache_bypass: bool  # an attempt may go directly to a parent or the origin
    allows_coalescing: bool  # a cache may wait for a fill of the same object in progress
    allows_sibling_fills: bool  # a miss may be filled from another cache of the zone
    requires_subscription: bool  # the router must subscribe to the endpoint list
    load_report_fields: list[str]  # names of a load report's values, in their order
    polls_load_reports: bool  # load reports are received with health checks only
    cache_slow_start: SlowStartPolicy
    parent_slow_start: SlowStartPolicy
    purge_propagation: float  # time until a purge has reached all caches
    # Cost of sending one health check with each request, in the unit of
    # `RequestClass.priority_weight`; 0: unknown
    health_check_cost: float = 0.0


@dataclass(slots=True, eq=False)
class Endpoint:
    """Cache, parent or origin as described by the endpoint list."""

    hash_key: int  # number of the endpoint in the rendezvous hash
    zone: int = -1
    kind: int = -1  # cache kinds are all numbers but the settings' `parent_kind` and `origin_kind`
    # Cell in the endpoint list; not used to choose a tenant's caches, which are in a `CachePool`
    advertised_cell: int = -1
    weight: float = 1.0  # capacity: number of transfers served at full speed at the same time
    state: EndpointState = EndpointState.GONE
    started_at: float = 0.0  # time of the endpoint's start; 0: unknown

    @property
    def is_ready(self) -> bool:
        """Whether the endpoint may be sent new work; a draining or removed endpoint may not."""
        return self.state == EndpointState.READY


@dataclass(slots=True, eq=False)
class Attempt:
    """One transmission of a request to an endpoint.

    Attributes:
        request: The request.
        number: Index among the request's attempts, from 0.
        endpoint: The endpoint that the attempt is sent to.
        fill_source: The endpoint that a miss is filled from; `endpoint` itself if a miss is not
            filled, or if the attempt goes directly to a parent or the origin; None if the request
            is uncacheable and there is no origin.
        sent_at: When the router decided on the attempt, which may be before it is written.
        timeout: Time in ms after `sent_at` when the attempt is abandoned.
        outcome: How the attempt ended; None until the router has handled the attempt's end.
        expects_hit: Whether the router believed, at `sent_at`, that the endpoint holds the object.
        purged_at: Time of the last purge of the object or its group before `sent_at`; 0: none.
        addresses: Endpoint and fill source, each with its address at `sent_at`; set by the caller.
        entity_tag: Entity tag of the client's copy, as sent to the endpoint; empty: none. Set by
            the caller.
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
    """Token bucket of retries for all requests that share the budget."""

    tokens: float  # a retry at full cost takes one token


@dataclass(slots=True, eq=False)
class QuotaShare:
    """This director's share of a limit that all directors have in common.

    Attributes:
        fraction: The share until `expires_at`, as a fraction of the limit.
        expires_at: When a borrowed part of the share expires. The time is stored here so that the
            part also expires while the director is suspended; infinite: never.
        fallback_fraction: The share from `expires_at` on.
        is_tracked: Whether the router records `peak_used` and `peak_rejected`.
        peak_used: Largest share that an admitted request needed since the quota exchange last read
            and cleared the two peaks, as a fraction of the limit.
        peak_rejected: Largest share that a rejected request would have needed in the same time.
    """

    fraction: float
    expires_at: float = math.inf
    fallback_fraction: float = 0.0
    is_tracked: bool = False
    peak_used: float = 0.0
    peak_rejected: float = 0.0

    def fraction_at(self, now: float) -> float:
        """Return the share at the time `now`, as a fraction of the limit."""
        return self.fraction if now < self.expires_at else self.fallback_fraction


@dataclass(slots=True, eq=False)
class CachePool:
    """Caches that a request of a tenant is confined to.

    Only the keys of the dictionaries are used.

    Attributes:
        caches: The caches that the request may be sent to.
        failover_caches: Caches that are used if none of `caches` can be chosen.
        migration_sources: Additional fill sources: caches that served the tenant before a
            migration.
        retry_budget: Budget for the request's retries, shared by all requests of the tenant.
    """

    caches: dict[Endpoint, None]
    failover_caches: dict[Endpoint, None]
    migration_sources: dict[Endpoint, None]
    retry_budget: RetryBudget


@dataclass(slots=True, eq=False)
class Request:
    """Request of a client as the router sees it, with its attempts and its progress."""

    context: Any  # set and used by the router's caller only
    request_class: RequestClass
    object_id: int
    part: int  # requested part of the object; a cache is chosen for each part separately
    group: int  # the group that the object is purged with
    size_kb: float  # size of the answer; 0: unknown
    arrived_at: float
    deadline: float  # when the client stops waiting
    is_retry: bool = False  # the client has sent the request before
    is_complete: bool = False  # no further attempt is sent
    attempts: list[Attempt] = field(default_factory=list)
    pool: CachePool | None = None  # None: all caches of the director's zone


@dataclass(slots=True, eq=False)
class ClientRequest:
    """Request as it was received from the client.

    Strings and body are forwarded unchanged with each attempt; the body is not copied.
    """

    request_class: str  # name of the class
    request_id: str
    object: str
    part: str
    idempotency_key: str  # empty: none
    entity_tag: str  # entity tag of the client's copy; empty: none
    body: memoryview
    remaining_time: float  # ms until the client's deadline
    group: int
    size_kb: float  # size of the answer; 0: unknown
    is_retry: bool
    tenant: str = ""  # as named by the client; empty: none


@dataclass(slots=True, eq=False)
class EndpointAddress:
    """Address of an endpoint; an endpoint that restarts or moves gets a new object."""

    name: str  # of the endpoint
    address: tuple[str, int]  # host and port
    is_removed: bool = False  # the endpoint has restarted, has moved, or is no longer listed


@dataclass(slots=True, eq=False)
class EndpointUpdate:
    """One endpoint in an update of the endpoint list (see the fields of `Endpoint`)."""

    name: str
    address: tuple[str, int]  # host and port; `UNKNOWN_ADDRESS`: only name and state are valid
    state: EndpointState
    weight: float
    kind: int
    zone: int
    advertised_cell: int
    started_at: float


@dataclass(slots=True, eq=False)
class SendAttempt:
    """Step for the network code: send this attempt, with the options of `SendOptions`."""

    attempt: Attempt
    address: EndpointAddress  # of the attempt's endpoint
    # Name of the endpoint that a miss is filled from; empty if `Attempt.fill_source` is None or the
    # attempt's own endpoint
    fill_source: str
    max_age: float
    retention_rank: int
    allow_coalescing: bool
    only_if_cached: bool
    store_at_parent: bool
    revalidate: bool

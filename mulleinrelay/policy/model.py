"""Types that the router and its callers share, without decisions or tuned values.

A caller creates one `Router(now, seed, settings)` for each director and calls `router.handle(now,
events, sink)` with the events received since the last call (see `events` and `actions`). Times are
milliseconds, sizes KB.
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
UNKNOWN_ADDRESS = ("", 0)  # of an endpoint whose update has only a name and a state


class EndpointState(IntEnum):
    """State of an endpoint in the endpoint list."""

    READY = 0
    GONE = 1
    DRAINING = 2


class Outcome(IntEnum):
    """Outcome of an attempt; the members from REJECTED on prove that it never ran."""

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
    """How a cache obtained its answer, if it reports this."""

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
    latency_objective: float
    objective_stretch: float  # the objective grows by this multiple of the answer's transfer time
    client_timeout: float
    key_retention: float  # how long an idempotency key is remembered
    key_scope: str  # the endpoints that remember it: "all", "zone" or "cell"
    freshness_lifetime: float
    is_uncacheable: bool  # the request runs at the origin
    priority_weight: float = 1.0  # value of a request that is served in time


@dataclass(slots=True)
class SlowStartPolicy:
    """Load that an endpoint can serve while it warms up after its start."""

    initial_fraction: float  # of its capacity, at the start
    duration: float
    overload_window: float
    overload_factor: float  # the endpoint fails above this multiple of its capacity over the window


@dataclass(slots=True, eq=False)
class ServiceSettings:
    """Settings of the service, given to a director at its start."""

    request_classes: list[RequestClass]
    zone: int
    director_count: int
    local_director_count: int  # in this director's zone
    parent_kind: int
    origin_kind: int
    advertises_weights: bool  # the endpoint list contains endpoint weights
    transfer_rate: float  # KB per ms of one transfer; 0: unknown
    max_attempts: int
    allows_hedging: bool  # a request may have two attempts in flight
    allows_cancel: bool
    allows_health_checks: bool
    allows_retry_after: bool  # a rejection specifies when to retry
    max_retry_after: float
    allows_cache_bypass: bool
    allows_coalescing: bool
    allows_sibling_fills: bool
    requires_subscription: bool
    load_report_fields: list[str]  # names of a load report's values
    polls_load_reports: bool  # load reports are received with health checks only
    cache_slow_start: SlowStartPolicy
    parent_slow_start: SlowStartPolicy
    purge_propagation: float
    # Cost of one health check for each request, in priority weight; 0: unknown
    health_check_cost: float = 0.0


@dataclass(slots=True, eq=False)
class Endpoint:
    """Cache, parent or origin as described by the endpoint list."""

    hash_key: int
    zone: int = -1
    kind: int = -1
    advertised_cell: int = -1  # by the endpoint list; a tenant's caches are in a CachePool instead
    weight: float = 1.0
    state: EndpointState = EndpointState.GONE
    started_at: float = 0.0

    @property
    def is_ready(self) -> bool:
        """Whether the endpoint may be sent new work; a draining one may not."""
        return self.state == EndpointState.READY


@dataclass(slots=True, eq=False)
class Attempt:
    """One transmission of a request to an endpoint.

    Attributes:
        request: The request.
        number: Index among the request's attempts, from 0.
        endpoint: The endpoint that it is sent to.
        fill_source: The source that a miss is filled from; the endpoint itself if a miss is not
            filled.
        sent_at: When the attempt was decided.
        timeout: Time after `sent_at` when the attempt is abandoned.
        outcome: How the attempt ended; None while it is in flight.
        expects_hit: Whether the router believed that the endpoint holds the object.
        purged_at: Time of the object's last purge before the attempt was decided; 0: none.
        addresses: Addresses of endpoint and source when the attempt was decided; set by the caller.
        entity_tag: Entity tag of the client's copy, as sent to the endpoint; set by the caller.
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

    tokens: float


@dataclass(slots=True, eq=False)
class QuotaShare:
    """This director's share of a limit that all directors have in common.

    Attributes:
        fraction: The share until `expires_at`.
        expires_at: When a borrowed share expires, even if the director was suspended in the
            meantime.
        fallback_fraction: The share after that.
        is_tracked: Whether the peaks are recorded.
        peak_used: Largest share used since the peaks were last read.
        peak_rejected: Largest share that was requested and not granted since then.
    """

    fraction: float
    expires_at: float = math.inf
    fallback_fraction: float = 0.0
    is_tracked: bool = False
    peak_used: float = 0.0
    peak_rejected: float = 0.0

    def fraction_at(self, now: float) -> float:
        """Return the share at that time."""
        return self.fraction if now < self.expires_at else self.fallback_fraction


@dataclass(slots=True, eq=False)
class CachePool:
    """Caches that a request is confined to.

    Attributes:
        caches: The caches that the request may be sent to.
        failover_caches: Caches that are used if none of `caches` is available.
        migration_sources: Additional fill sources: caches that served the tenant before a
            migration.
        retry_budget: Budget for the request's retries, shared with other requests.
    """

    caches: dict[Endpoint, None]
    failover_caches: dict[Endpoint, None]
    migration_sources: dict[Endpoint, None]
    retry_budget: RetryBudget


@dataclass(slots=True, eq=False)
class Request:
    """Request of a client as the router sees it, with its attempts and its progress."""

    context: Any  # set and used by the caller only
    request_class: RequestClass
    object_id: int
    part: int
    group: int
    size_kb: float  # KB; 0: unknown
    arrived_at: float
    deadline: float  # when the client stops waiting
    is_retry: bool = False
    is_complete: bool = False
    attempts: list[Attempt] = field(default_factory=list)
    pool: CachePool | None = None  # None: all caches of the location


@dataclass(slots=True, eq=False)
class ClientRequest:
    """Request as it was received from the client.

    Texts and body are forwarded unchanged with each attempt; the body is not copied.
    """

    request_class: str
    request_id: str
    object: str
    part: str
    idempotency_key: str  # empty: none
    entity_tag: str  # of the client's copy; empty: none
    body: memoryview
    remaining_time: float  # ms until the client's deadline
    group: int
    size_kb: float
    is_retry: bool
    tenant: str = ""  # as named by the client


@dataclass(slots=True, eq=False)
class EndpointAddress:
    """Address of an endpoint; a restarted endpoint gets a new object."""

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
    """Step for the network code: send this attempt."""

    attempt: Attempt
    address: EndpointAddress
    fill_source: str  # name of the endpoint that a miss is filled from; empty: no fill
    max_age: float
    retention_rank: int
    allow_coalescing: bool
    only_if_cached: bool
    store_at_parent: bool
    revalidate: bool

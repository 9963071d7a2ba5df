"""The content of an assignment file as plain data; nothing is decided here.

Points in time are Unix milliseconds, durations milliseconds, rates requests a second. Names are
compared as written.
"""

from dataclasses import dataclass, field

FILE_FORMAT_VERSION = 1  # files with another one are rejected

# Ways to place the tenants that name no cell (key `how`).
TABLE = "table"
RENDEZVOUS = "rendezvous"

# What happens to requests of unknown tenants (key `unknown`).
USE_DEFAULT_TENANT = "default_tenant"
REJECT = "reject"

KEEP_SHUFFLE_SHARDS = -1  # in a rollout: the cell's own number of caches for each tenant


@dataclass(slots=True, frozen=True)
class Limits:
    """A tenant's or a cell's quota at each director; 0 stands for no bound of its own.

    Attributes:
        rate: Requests a second.
        burst: Requests that may come at once beyond the rate; 0: what the rate brings in 100 ms.
        max_open_requests: Requests open at one time.
        max_body_kb: KB of bodies that open requests brought.
        retry_ratio: Clients' retries for each first attempt.
        max_connections: Connections from the tenant's address ranges.
    """

    rate: float = 0.0
    burst: float = 0.0
    max_open_requests: float = 0.0
    max_body_kb: float = 0.0
    retry_ratio: float = 0.2
    max_connections: int = 0


@dataclass(slots=True, frozen=True)
class Cell:
    """A part of the fleet that some tenants are confined to.

    Attributes:
        name: Its name.
        weight: Tenants and caches are placed in proportion to it; 0: none by hash.
        caches: Its caches by name; none: by hash, from those that no cell names.
        shuffle_shards: Caches of each tenant, by the tenant's own hash; 0: all of the cell's.
        failover_cells: Where its tenants go when it is lost, in this order of preference.
        failover_quota: Fraction of such a cell's limits that they may take there together.
        return_duration: Its objects come back over this time.
        limits: Its own limits.
    """

    name: str
    weight: float = 1.0
    caches: tuple[str, ...] = ()
    shuffle_shards: int = 0
    failover_cells: tuple[str, ...] = ()
    failover_quota: float = 0.0
    return_duration: float = 10_000.0
    limits: Limits = field(default_factory=Limits)


@dataclass(slots=True, frozen=True)
class Tenant:
    """A customer whose requests share one quota.

    Attributes:
        name: Its name.
        cell: Its home cell; empty: by hash.
        weight: Its load, for the placement, and its weight among the tenants of its cell.
        addresses: CIDR ranges of its clients.
        groups: Ranges of its object groups, both ends included.
        limits: Its quota.
    """

    name: str
    cell: str = ""
    weight: float = 1.0
    addresses: tuple[str, ...] = ()
    groups: tuple[tuple[int, int], ...] = ()
    limits: Limits = field(default_factory=Limits)


@dataclass(slots=True, frozen=True)
class Migration:
    """Tenants on their way from one cell to another.

    Attributes:
        name: Its name.
        tenants: Names of the tenants.
        source: Name of the cell that they leave.
        target: Name of the cell that they go to.
        starts_at: When it starts.
        warm_up_duration: The first few objects migrate over this time.
        shift_duration: The other objects migrate over this time.
        drain_duration: The old cell's caches fill misses for this time after.
        warm_up_fraction: Fraction of the objects that migrate in the warm-up.
        paused_at: When it is paused; 0: not paused.
        resumed_at: When it goes on; 0: not resumed.
        aborted_at: When it turns back; 0: not aborted.
    """

    name: str
    tenants: tuple[str, ...]
    source: str
    target: str
    starts_at: float
    warm_up_duration: float
    shift_duration: float
    drain_duration: float
    warm_up_fraction: float = 0.05
    paused_at: float = 0.0
    resumed_at: float = 0.0
    aborted_at: float = 0.0


@dataclass(slots=True, frozen=True)
class Rollout:
    """Limits and shuffle shards that reach one cell first, then others wave by wave.

    Attributes:
        name: Its name.
        canary: Name of the first cell.
        waves: Names of the cells of each wave after the canary.
        starts_at: When the canary gets it.
        wave_duration: The least time between two waves.
        limits: The new limits of the cells' tenants.
        max_success_drop: Drop of the success rate, beyond that of the other cells, that is borne.
        max_slowdown: Growth of the delay, beyond that of the other cells, that is borne; a factor.
        is_rolled_back: Whether operators have rolled it back.
        shuffle_shards: Caches of each tenant; `KEEP_SHUFFLE_SHARDS`: as the cell has it.
    """

    name: str
    canary: str
    waves: tuple[tuple[str, ...], ...]
    starts_at: float
    wave_duration: float
    limits: Limits
    max_success_drop: float = 0.03
    max_slowdown: float = 1.5
    is_rolled_back: bool = False
    shuffle_shards: int = KEEP_SHUFFLE_SHARDS


@dataclass(slots=True, frozen=True)
class Assignment:
    """One version of the cell assignment.

    Attributes:
        version: Its number; each change has a higher one.
        written_at: When it was written.
        cells: All cells by name.
        tenants: All tenants by name.
        migrations: Migrations by name, also those that are over until operators end them.
        rollouts: Rollouts by name, the oldest first.
        limits: Limits of tenants that set none.
        placement_method: `TABLE` or `RENDEZVOUS`.
        load_bound: A cell gets no more than this multiple of its share of the tenants' load.
        default_tenant: Whose quota requests of unknown tenants use; empty: there is none.
        unknown_tenant_policy: `USE_DEFAULT_TENANT` or `REJECT`.
        propagation_time: Every director has read a version so long after it was written.
        clock_skew: The clocks of directors and of operators' machines differ by no more.
        retry_horizon: A client's last retry comes no later than this after its first attempt.
    """

    version: int
    written_at: float
    cells: dict[str, Cell]
    tenants: dict[str, Tenant]
    migrations: dict[str, Migration] = field(default_factory=dict)
    rollouts: dict[str, Rollout] = field(default_factory=dict)
    limits: Limits = field(default_factory=Limits)
    placement_method: str = RENDEZVOUS
    load_bound: float = 1.25
    default_tenant: str = ""
    unknown_tenant_policy: str = USE_DEFAULT_TENANT
    propagation_time: float = 5_000.0
    clock_skew: float = 500.0
    retry_horizon: float = 12_000.0

"""Data classes for the content of an assignment file, without logic.

Times are in Unix milliseconds, durations in milliseconds, and rates in requests per second. Names
are case-sensitive.
"""

from dataclasses import dataclass, field

FILE_FORMAT_VERSION = 1  # files with another format version are rejected

# Placement methods of tenants (key `how`).
TABLE = "table"  # each tenant's entry must name a cell
RENDEZVOUS = "rendezvous"  # tenants whose entries name no cell are placed by hash

# Policies for requests of unknown tenants (key `unknown`).
USE_DEFAULT_TENANT = "default_tenant"
REJECT = "reject"

KEEP_SHUFFLE_SHARDS = -1  # in a rollout: each cell keeps its number of caches per tenant


@dataclass(slots=True, frozen=True)
class Limits:
    """The quota of a tenant or a cell at each director.

    A value of 0 sets no limit, except for `burst` and `retry_ratio`; limits of the cell and of the
    director still apply. For a cell, only `rate` and `max_open_requests` have an effect.

    Attributes:
        rate: Requests per second.
        burst: Requests that may arrive at once, at least 1; 0 for the number that the rate allows
            in 100 ms.
        max_open_requests: Maximum number of open requests; a request with a body counts as more
            than one.
        max_body_kb: Maximum size of the bodies of all open requests together, KB.
        retry_ratio: Retries of idempotent requests that clients may send for each first attempt;
            with 0, they may only use up the budget that each tenant has at the start.
        max_connections: Maximum number of connections from the tenant's address ranges.
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
        name: Name of the cell.
        weight: Weight in the placement of tenants and caches by hash, and in the cell's share of
            each director's capacity; with 0, the hash places no tenant or cache in the cell.
        caches: Names of the cell's caches; empty if the cell gets caches by hash, from those that
            no cell names.
        shuffle_shards: Number of caches of each tenant, chosen by the tenant's hash; 0 for all
            caches of the cell.
        failover_cells: Cells that serve the tenants if the cell is lost, in order of preference.
        failover_quota: Fraction of a failover cell's limits that all tenants of this cell may use
            together while this cell is lost or recovering.
        return_duration: Time over which the objects return to the cell once it is no longer lost.
        limits: Limits of the cell.
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
        name: Name of the tenant.
        cell: Name of the home cell; empty if the tenant is placed by hash.
        weight: Load of the tenant in the placement, and its weight in the shares of its cell.
        addresses: CIDR ranges of the tenant's clients.
        groups: Ranges of the tenant's object groups; both ends are inclusive.
        limits: Quota of the tenant.
    """

    name: str
    cell: str = ""
    weight: float = 1.0
    addresses: tuple[str, ...] = ()
    groups: tuple[tuple[int, int], ...] = ()
    limits: Limits = field(default_factory=Limits)


@dataclass(slots=True, frozen=True)
class Migration:
    """A migration of tenants from one cell to another.

    Attributes:
        name: Name of the migration.
        tenants: Names of the tenants.
        source: Name of the cell that the tenants leave.
        target: Name of the cell that the tenants go to.
        starts_at: Time of the start.
        warm_up_duration: Time in which the first few objects migrate.
        shift_duration: Time after the warm-up in which all other objects migrate.
        drain_duration: Time after the shift in which the source cell's caches still fill misses.
        warm_up_fraction: Fraction of the objects that migrate during the warm-up.
        paused_at: Time of the latest pause; 0 if there is none.
        resumed_at: Time at which this pause ends; 0 if no resumption is set.
        aborted_at: Time of the abort, from which objects return; 0 if there is none.
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
    """A rollout of limits and shuffle shards to a canary cell, then to other cells in waves.

    Attributes:
        name: Name of the rollout.
        canary: Name of the first cell.
        waves: Names of the cells of each wave after the canary.
        starts_at: Time at which the rollout reaches the canary.
        wave_duration: Minimum time between two waves.
        limits: New limits of the tenants whose home is a cell that the rollout has reached.
        max_success_drop: Tolerated drop of the success rate (0 to 1), beyond the drop in the cells
            without the rollout.
        max_slowdown: Tolerated factor by which the mean delay grows, beyond the factor in the cells
            without the rollout.
        is_rolled_back: Whether operators have rolled it back; rollbacks by directors are not
            stored here.
        shuffle_shards: Number of caches of each tenant; 0 for all caches of the cell, or
            `KEEP_SHUFFLE_SHARDS`.
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
    """One version of the assignment of tenants and caches to cells.

    Attributes:
        version: Version number; each change increases it.
        written_at: Time at which the version was written.
        cells: Cells by name.
        tenants: Tenants by name.
        migrations: Migrations by name. Migrations that are done or rolled back stay until
            operators remove them.
        rollouts: Rollouts by name, oldest first.
        limits: Default limits of tenants.
        placement_method: `TABLE` or `RENDEZVOUS`.
        load_bound: Maximum load of a cell in the placement by hash, as a multiple of the cell's
            share of the tenants' load.
        default_tenant: Tenant whose quota is used by requests of unknown tenants; empty if there
            is none.
        unknown_tenant_policy: `USE_DEFAULT_TENANT` or `REJECT`.
        propagation_time: Time after which all directors have read a new version.
        clock_skew: Maximum difference between the clocks of directors and operators' machines.
        retry_horizon: Maximum time between a client's first attempt and its last retry.
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

"""What an assignment file says, as plain data. No decision stands here.

Times are Unix milliseconds, spans milliseconds, rates requests a second. Names are compared as
written.
"""

from dataclasses import dataclass, field

FILE_FORMAT_VERSION = 1  # of the file; a newer one is not read
TABLE, RENDEZVOUS = "table", "rendezvous"
TO_DEFAULT, REJECT = "default_tenant", "reject"


@dataclass(slots=True, frozen=True)
class Limits:
    """Bounds at each director; 0 stands for no bound of its own."""

    rate: float = 0.0  # requests a second
    burst: float = (
        0.0  # requests that may come at once beyond the rate; 0: what the rate brings in 100 ms
    )
    max_open_requests: float = 0.0  # requests open at one time
    max_body_kb: float = 0.0  # KB of bodies that open requests brought
    retry_ratio: float = 0.2  # clients' retries for each first try
    max_connections: int = 0  # of the tenant's address ranges


@dataclass(slots=True, frozen=True)
class Cell:
    name: str
    weight: float = 1.0
    caches: tuple[str, ...] = ()  # by name; none: by hash, from those that no cell names
    shuffle_shards: int = 0  # caches of each tenant, by its own hash; 0: all of the cell's
    failover_cells: tuple[str, ...] = ()  # where its tenants go when it is lost, in this order
    failover_quota: float = 0.0  # part of each neighbour's bounds that they may take together
    return_duration: float = 10_000.0  # over so long they come back
    limits: Limits = field(default_factory=Limits)


@dataclass(slots=True, frozen=True)
class Tenant:
    name: str
    cell: str = ""  # empty: by hash
    weight: float = 1.0
    addresses: tuple[str, ...] = ()  # CIDR ranges
    groups: tuple[tuple[int, int], ...] = ()  # of objects, both ends included
    limits: Limits = field(default_factory=Limits)


@dataclass(slots=True, frozen=True)
class Migration:
    """Tenants on their way from one cell to another."""

    name: str
    tenants: tuple[str, ...]
    source: str
    target: str
    starts_at: float
    warm_up_duration: float
    shift_duration: float
    drain_duration: float
    warm_up_fraction: float = 0.05
    paused_at: float = 0.0  # 0: not held
    resumed_at: float = 0.0  # 0: held for good
    aborted_at: float = 0.0  # 0: not aborted


@dataclass(slots=True, frozen=True)
class Rollout:
    """Limits, and how tenants lie over a cell's caches, that go to one cell first, then on by
    waves.
    """

    name: str
    canary: str
    waves: tuple[tuple[str, ...], ...]
    starts_at: float
    wave_duration: float
    limits: Limits
    max_success_drop: float = 0.03  # of the served share, beyond what the other cells lose
    max_slowdown: float = 1.5  # times its own past, beyond the same of the other cells
    is_rolled_back: bool = False  # by staff
    shuffle_shards: int = -1  # caches of each tenant; -1: as the cell has it


@dataclass(slots=True, frozen=True)
class Assignment:
    """One version of the assignment."""

    version: int
    written_at: float
    cells: dict[str, Cell]
    tenants: dict[str, Tenant]
    migrations: dict[str, Migration] = field(default_factory=dict)
    rollouts: dict[str, Rollout] = field(default_factory=dict)
    limits: Limits = field(default_factory=Limits)  # of tenants that set none
    placement_method: str = RENDEZVOUS
    load_bound: float = 1.25
    default_tenant: str = ""
    unknown_tenant_policy: str = TO_DEFAULT
    propagation_time: float = (
        5_000.0  # within so long of its writing every director has read a version
    )
    clock_skew: float = 500.0  # by which clocks of directors and of who writes may differ
    retry_horizon: float = (
        12_000.0  # a client's last retry comes so long after its first try at the latest
    )

"""What cells use of this director, and the checks of a request against it.

Each cell has a fair share of the director's rate and open requests, and each tenant a fair share of
its cell's. Pure and not thread-safe: the admission controller's lock guards the state.
"""

from dataclasses import dataclass

from ..policy.model import CachePool
from .admission_types import AdmissionGrant
from .cell_state import CellState, DirectorCapacity
from .failover import FailoverQuota, HostLimits
from .fair_share import FairShares
from .model import Cell
from .tenant_state import TenantCellLimits, TenantState
from .token_bucket import BucketShare, FairTokenBucket

WAIT_FOR_BODIES = 1_000.0  # ms: Retry-After while bodies of open requests fill the tenant's quota
NARROW_ABOVE = 0.5  # fraction of a cell's capacity in use, above which lending is narrowed


@dataclass(slots=True, frozen=True)
class Shortage:
    """A limit that a request does not fit into.

    Attributes:
        reason: In words.
        wait: When it may fit, ms; 0: not known.
    """

    reason: str
    wait: float


@dataclass(slots=True, frozen=True)
class FailoverTerms:
    """What a failover cell may give to a lost cell's tenants.

    Attributes:
        lost_cell: Name of the lost cell.
        quota: Fraction of the failover cell's limits.
        host_capacity_fraction: Of the failover cell's caches while they warm up, 0 to 1.
    """

    lost_cell: str
    quota: float
    host_capacity_fraction: float


@dataclass(slots=True, eq=False)
class _BucketShares:
    """The shares of rates that a request uses: its cell's and, within that, its tenant's."""

    cell: BucketShare
    tenant: BucketShare


@dataclass(slots=True, eq=False)
class Candidate:
    """A request whose cell is known, while it is checked against limits.

    Attributes:
        tenant: Whose request it is.
        tenant_weight: The tenant's weight among those of its cell.
        tenant_state: What the tenant uses of its quota.
        cell: The cell that is to serve it.
        body_kb: KB of its body.
        slots: Its size in open requests; a body counts as more than one.
        failover: Set where the tenant's own cell is lost.
        limits: The tenant's limits in the cell; set by the check.
        bucket_shares: Set by the check where a rate is bounded.
        failover_quota: Set by the check where the tenant's own cell is lost.
    """

    tenant: str
    tenant_weight: float
    tenant_state: TenantState
    cell: Cell
    body_kb: float
    slots: float
    failover: FailoverTerms | None = None
    limits: TenantCellLimits | None = None
    bucket_shares: _BucketShares | None = None
    failover_quota: FailoverQuota | None = None


class CellQuotas:
    """The state of all cells at one director.

    Attributes:
        capacity: What the director has.
        cell_states: By cell.
        cell_shares: The cells' shares of the director's open requests.
        cell_rates: The cells' shares of the director's rate.
    """

    def __init__(self, capacity: DirectorCapacity) -> None:
        """Starts without any cell."""
        self.capacity = capacity
        self.cell_states: dict[str, CellState] = {}
        self.cell_shares = FairShares(capacity.max_open_requests)
        self.cell_rates = FairTokenBucket(capacity.rate)

    def set_cells(self, cells: dict[str, Cell]) -> None:
        """Takes over the cells of a new assignment; what is in use stays counted."""
        states = {}
        for name, cell in cells.items():
            state = self.cell_states.get(name)
            if state is None:
                state = CellState(self.capacity, cell.limits)
            elif state.limits != cell.limits:
                state.set_limits(self.capacity, cell.limits)
            states[name] = state
        self.cell_states = states

    def check(self, now: float, candidate: Candidate) -> Shortage | None:
        """Returns the first limit that a request does not fit into; None: it fits.

        Demand is noted also where it does not fit, up to the limit that was short.
        """
        limits = self._limits(now, candidate)
        candidate.limits = limits
        shortage = self._find_shortage(now, candidate, limits)
        if shortage is not None:
            limits.cell_state.rejected_count += 1
        return shortage

    def acquire(self, now: float, candidate: Candidate, pool: CachePool) -> AdmissionGrant:
        """Uses up the limits that a request has been checked against.

        Args:
            now: The time.
            candidate: The request, just after its check.
            pool: The caches that it is confined to.
        """
        limits = candidate.limits
        if limits is None:
            raise ValueError("a request is checked before it is admitted")
        state = candidate.tenant_state
        cell_state = limits.cell_state
        if candidate.failover_quota is not None:
            candidate.failover_quota.acquire(now)
        state.token_bucket.consume(now)
        state.admitted_count += 1
        if candidate.bucket_shares is not None:
            self.cell_rates.consume(candidate.bucket_shares.cell, now)
            cell_state.token_bucket.consume(candidate.bucket_shares.tenant, now)
        cell_state.shares.acquire(limits.share, candidate.slots)
        self.cell_shares.acquire(limits.cell_share, candidate.slots)
        state.open_body_kb += candidate.body_kb
        return AdmissionGrant(
            candidate.tenant,
            candidate.cell.name,
            pool,
            candidate.slots,
            candidate.body_kb,
            state,
            cell_state,
            limits.share,
            limits.cell_share,
            candidate.failover_quota,
        )

    def release(self, grant: AdmissionGrant) -> None:
        """Releases what an admitted request used; to be called once."""
        grant.cell_state.shares.release(grant.share, grant.slots)
        self.cell_shares.release(grant.cell_share, grant.slots)
        if grant.body_kb:
            state = grant.tenant_state
            state.open_body_kb = max(0.0, state.open_body_kb - grant.body_kb)
        if grant.failover_quota is not None:
            grant.failover_quota.release()

    def _limits(self, now: float, candidate: Candidate) -> TenantCellLimits:
        cell = candidate.cell
        tenant_state = candidate.tenant_state
        limits = tenant_state.cell_limits.get(cell.name)
        if limits is None or limits.is_stale(now):
            cell_state = self.cell_states[cell.name]
            weight = candidate.tenant_weight
            maximum = tenant_state.limits.max_open_requests
            limits = TenantCellLimits(
                cell_state=cell_state,
                share=cell_state.shares.share_for(candidate.tenant, weight, maximum),
                cell_share=self.cell_shares.share_for(cell.name, cell.weight),
            )
            tenant_state.cell_limits[cell.name] = limits
        return limits

    def _find_shortage(
        self, now: float, candidate: Candidate, limits: TenantCellLimits
    ) -> Shortage | None:
        if wait := self._wait_for_rates(now, candidate, limits):
            return Shortage("rate of the cell", wait)
        if not candidate.tenant_state.has_space_for_body(candidate.body_kb):
            return Shortage("bodies of the tenant", WAIT_FOR_BODIES)
        if shortage := self._check_concurrency(now, candidate, limits):
            return shortage
        if candidate.failover is not None:
            return self._check_failover(now, candidate, candidate.failover, limits)
        return None

    def _wait_for_rates(self, now: float, candidate: Candidate, limits: TenantCellLimits) -> float:
        """Returns 0 if the rates allow the request now, else the milliseconds until they do."""
        cell_state = limits.cell_state
        if not self.cell_rates.rate and not cell_state.limits.rate:
            return 0.0
        cell_share = self.cell_rates.share_for(candidate.cell.name, candidate.cell.weight)
        tenant_bucket = cell_state.token_bucket
        tenant_share = tenant_bucket.share_for(candidate.tenant, candidate.tenant_weight)
        cell_state.follow_director_rate(now, self.cell_rates, cell_share)
        candidate.bucket_shares = _BucketShares(cell_share, tenant_share)
        wait = self.cell_rates.wait_time(cell_share, now)
        if not wait:
            wait = tenant_bucket.wait_time(tenant_share, now)
        return wait

    def _check_concurrency(
        self, now: float, candidate: Candidate, limits: TenantCellLimits
    ) -> Shortage | None:
        slots = candidate.slots
        cell_state = limits.cell_state
        shares = cell_state.shares
        cell_state.concurrency_limit.record_open(shares.open + slots)
        if shares.open + slots > NARROW_ABOVE * shares.capacity:
            # So much less is lent inside the cell that a lender that comes back, over the capacity
            # by OVERCOMMIT, still fits into what the cell may have.
            reachable = self.cell_shares.reachable(limits.cell_share, now)
            limit = min(cell_state.concurrency_limit.current, reachable)
            shares.capacity = limit / (1.0 + FairShares.OVERCOMMIT)
        if not shares.request(limits.share, now, slots):
            return Shortage("share of the tenant", 0.0)
        if not self.cell_shares.request(limits.cell_share, now, slots):
            return Shortage("share of the cell", 0.0)
        return None

    def _check_failover(
        self, now: float, candidate: Candidate, terms: FailoverTerms, limits: TenantCellLimits
    ) -> Shortage | None:
        cell_state = limits.cell_state
        rate = cell_state.token_bucket.rate
        if not rate and candidate.bucket_shares is not None:
            rate = self.cell_rates.guaranteed_rate(candidate.bucket_shares.cell)
        concurrency = cell_state.concurrency_limit.current
        host = HostLimits(terms.host_capacity_fraction, concurrency, rate)
        quota = cell_state.failover_quota(terms.lost_cell)
        if wait := quota.wait_time(now, terms.quota, host):
            return Shortage("reserve of the neighbour", wait)
        candidate.failover_quota = quota
        return None

"""Quotas of the cells at one director, and the check of a request against them.

Each cell has a fair share of the director's rate and open requests, and each tenant has a fair
share of its cell's rate and open requests. No I/O and no clock: the time is an argument. Not
thread-safe: `CellService` holds its lock during each call.
"""

from dataclasses import dataclass

from ..policy.model import CachePool
from .admission_types import AdmissionGrant
from .cell_state import CellState, DirectorCapacity
from .failover import FailoverCellLimits, FailoverQuota
from .fair_share import FairShares
from .model import Cell
from .tenant_state import TenantCellLimits, TenantState
from .token_bucket import BucketShare, FairTokenBucket

WAIT_FOR_BODIES = 1_000.0  # ms: Retry-After while bodies of open requests fill the tenant's quota
# Used fraction of the capacity that a cell's tenants share. Above it, this capacity is set below
# the cell's limit, so that the tenants lend less.
RESTRICT_LENDING_ABOVE = 0.5


@dataclass(slots=True, frozen=True)
class ExceededLimit:
    """A limit that a request would exceed.

    Attributes:
        reason: Name of the limit, in words.
        wait: Time until the request may fit, ms; 0 if it is not known.
    """

    reason: str
    wait: float


@dataclass(slots=True, frozen=True)
class FailoverTerms:
    """The terms on which a failover cell serves the tenants of a lost or recovering cell.

    Attributes:
        lost_cell: Name of the lost or recovering cell.
        quota: Fraction of the failover cell's limits that these tenants may use.
        failover_capacity_fraction: Capacity fraction of the failover cell's caches, 0 to 1; less
            than 1 during slow start.
    """

    lost_cell: str
    quota: float
    failover_capacity_fraction: float


@dataclass(slots=True, eq=False)
class _BucketShares:
    """The cell's share of the director's rate, and the tenant's share of the cell's rate."""

    cell: BucketShare
    tenant: BucketShare


@dataclass(slots=True, eq=False)
class AdmissionCandidate:
    """A placed request that is checked against the quotas.

    Attributes:
        tenant: The request's tenant.
        tenant_weight: Weight of the tenant among the tenants of its cell.
        tenant_state: The tenant's usage of its quota.
        cell: Cell that is to serve the request.
        body_kb: Size of the body, KB.
        slots: Number of open requests that the request counts as: 1, and more if it has a body.
        failover: Terms of the failover; None if the request does not fail over.
        limits: The tenant's limits in the cell; None until `CellQuotas.check` sets them.
        bucket_shares: The cell's and the tenant's shares of the rates. `CellQuotas.check` sets
            them; they stay None if neither the director's nor the cell's rate is limited.
        failover_quota: Quota in the failover cell. `CellQuotas.check` sets it when it finds that
            the request fits; it stays None if the request does not fail over.
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
    """The quotas of all cells at one director.

    Attributes:
        capacity: Capacity of the director.
        cell_states: States of the cells, by name.
        cell_shares: The cells' shares of the director's open requests.
        cell_rates: The cells' shares of the director's rate.
    """

    def __init__(self, capacity: DirectorCapacity) -> None:
        """Create quotas without any cell."""
        self.capacity = capacity
        self.cell_states: dict[str, CellState] = {}
        self.cell_shares = FairShares(capacity.max_open_requests)
        self.cell_rates = FairTokenBucket(capacity.rate)

    def set_cells(self, cells: dict[str, Cell]) -> None:
        """Replace the cells by those of a new assignment.

        Cells that stay keep their state, and their open requests stay counted.
        """
        states = {}
        for name, cell in cells.items():
            state = self.cell_states.get(name)
            if state is None:
                state = CellState(self.capacity, cell.limits)
            elif state.limits != cell.limits:
                state.set_limits(self.capacity, cell.limits)
            states[name] = state
        self.cell_states = states

    def check(self, now: float, candidate: AdmissionCandidate) -> ExceededLimit | None:
        """Return the first limit that a request would exceed; None if it fits into all limits.

        Each rate and each share that is checked records the request's demand, even if the request
        is rejected. The candidate keeps the found limits and shares for `acquire`. A rejection is
        counted in the state of the cell.
        """
        limits = self._limits(now, candidate)
        candidate.limits = limits
        exceeded = self._find_exceeded_limit(now, candidate, limits)
        if exceeded is not None:
            limits.cell_state.rejected_count += 1
        return exceeded

    def acquire(self, now: float, candidate: AdmissionCandidate, pool: CachePool) -> AdmissionGrant:
        """Consume the quota of a request that has passed `check`.

        Args:
            now: The current time.
            candidate: The checked request.
            pool: The caches that the request is confined to.

        Raises:
            ValueError: If the request was not checked.
        """
        limits = candidate.limits
        if limits is None:
            raise ValueError("acquire was called for a request that was not checked")
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
        """Release the quota of an admitted request; to be called once for each grant."""
        grant.cell_state.shares.release(grant.share, grant.slots)
        self.cell_shares.release(grant.cell_share, grant.slots)
        if grant.body_kb:
            state = grant.tenant_state
            state.open_body_kb = max(0.0, state.open_body_kb - grant.body_kb)
        if grant.failover_quota is not None:
            grant.failover_quota.release()

    def _limits(self, now: float, candidate: AdmissionCandidate) -> TenantCellLimits:
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

    def _find_exceeded_limit(
        self, now: float, candidate: AdmissionCandidate, limits: TenantCellLimits
    ) -> ExceededLimit | None:
        if wait := self._wait_for_rates(now, candidate, limits):
            return ExceededLimit("rate of the cell", wait)
        if not candidate.tenant_state.has_space_for_body(candidate.body_kb):
            return ExceededLimit("bodies of the tenant", WAIT_FOR_BODIES)
        if exceeded := self._check_concurrency(now, candidate, limits):
            return exceeded
        if candidate.failover is not None:
            return self._check_failover(now, candidate, candidate.failover, limits)
        return None

    def _wait_for_rates(
        self, now: float, candidate: AdmissionCandidate, limits: TenantCellLimits
    ) -> float:
        """Return the time (ms) until the director's rate allows the request.

        If that rate allows the request now or is not limited, return the time until the cell's rate
        allows it; 0 if the cell's rate does so now or is not limited either.
        """
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
        self, now: float, candidate: AdmissionCandidate, limits: TenantCellLimits
    ) -> ExceededLimit | None:
        slots = candidate.slots
        cell_state = limits.cell_state
        shares = cell_state.shares
        cell_state.concurrency_limit.record_open(shares.open + slots)
        if shares.open + slots > RESTRICT_LENDING_ABOVE * shares.capacity:
            # Keeps the capacity that tenants share below the cell's limit. A tenant that lent its
            # share and sends requests again may exceed the capacity by OVERCOMMIT. The cell then
            # still stays within its limit.
            reachable = self.cell_shares.reachable(limits.cell_share, now)
            limit = min(cell_state.concurrency_limit.current, reachable)
            shares.capacity = limit / (1.0 + FairShares.OVERCOMMIT)
        if not shares.request(limits.share, now, slots):
            return ExceededLimit("share of the tenant", 0.0)
        if not self.cell_shares.request(limits.cell_share, now, slots):
            return ExceededLimit("share of the cell", 0.0)
        return None

    def _check_failover(
        self,
        now: float,
        candidate: AdmissionCandidate,
        terms: FailoverTerms,
        limits: TenantCellLimits,
    ) -> ExceededLimit | None:
        cell_state = limits.cell_state
        rate = cell_state.token_bucket.rate
        if not rate and candidate.bucket_shares is not None:
            rate = self.cell_rates.guaranteed_rate(candidate.bucket_shares.cell)
        concurrency = cell_state.concurrency_limit.current
        failover_limits = FailoverCellLimits(terms.failover_capacity_fraction, concurrency, rate)
        quota = cell_state.failover_quota(terms.lost_cell)
        if wait := quota.wait_time(now, terms.quota, failover_limits):
            return ExceededLimit("reserve of the neighbour", wait)
        candidate.failover_quota = quota
        return None

"""One cell at this director: its rate, its concurrency limit and its tenants' shares of these.

Pure and not thread-safe: the admission controller's lock guards the state.
"""

from dataclasses import dataclass

from .concurrency_limit import ConcurrencyLimit
from .failover import FailoverQuota
from .fair_share import FairShares
from .model import Limits
from .token_bucket import LONG_AGO, BucketShare, FairTokenBucket

MIN_CONCURRENCY = 4.0  # open requests that a cell may always have, however slow it is


@dataclass(slots=True, frozen=True)
class DirectorCapacity:
    """What the director itself has.

    Attributes:
        max_open_requests: Requests that may be open.
        rate: Requests a second that it can serve; 0: no bound.
        max_retry_after: The longest Retry-After of a rejected request, ms.
    """

    max_open_requests: float
    rate: float = 0.0
    max_retry_after: float = 5_000.0


class CellState:
    """What one cell uses of this director.

    Attributes:
        limits: The cell's own limits.
        token_bucket: Its rate, shared by its tenants.
        concurrency_limit: How many requests it may have open.
        shares: Its tenants' shares of that.
        failover_quotas: By lost cell, what that one's tenants may take here.
        served_count: Requests that were served in time.
        completed_count: Requests that are over and whose client still waited.
        rejected_count: Requests that were rejected for a limit of the cell.
        rate_updated_at: When the rate was last taken from the director's.
    """

    def __init__(self, capacity: DirectorCapacity, limits: Limits) -> None:
        """Starts with nothing open, at the highest concurrency limit."""
        self.limits = limits
        self.token_bucket = FairTokenBucket(limits.rate)
        self.failover_quotas: dict[str, FailoverQuota] = {}
        self.served_count = 0
        self.completed_count = 0
        self.rejected_count = 0
        self.rate_updated_at = LONG_AGO
        maximum = self._max_open_requests(capacity, limits)
        self.concurrency_limit = ConcurrencyLimit(min(MIN_CONCURRENCY, maximum), maximum)
        self.shares = FairShares(maximum)

    @staticmethod
    def _max_open_requests(capacity: DirectorCapacity, limits: Limits) -> float:
        cell_maximum = limits.max_open_requests or capacity.max_open_requests
        return min(capacity.max_open_requests, cell_maximum)

    def set_limits(self, capacity: DirectorCapacity, limits: Limits) -> None:
        """Takes over new limits; open requests stay counted where they were admitted."""
        self.limits = limits
        self.token_bucket.set_rate(limits.rate)
        maximum = self._max_open_requests(capacity, limits)
        self.concurrency_limit = ConcurrencyLimit(min(MIN_CONCURRENCY, maximum), maximum)
        self.shares.capacity = maximum

    def failover_quota(self, lost_cell: str) -> FailoverQuota:
        """Returns the quota of a lost cell's tenants here, making it where needed."""
        return self.failover_quotas.setdefault(lost_cell, FailoverQuota())

    def follow_director_rate(
        self, now: float, director_bucket: FairTokenBucket, cell_share: BucketShare
    ) -> None:
        """Shares what the cell may reach of the director's rate among its tenants.

        That is done for a cell without a rate of its own, some times a second.
        """
        if self.limits.rate or not director_bucket.rate:
            return
        if now >= self.rate_updated_at + FairTokenBucket.RECOMPUTE_INTERVAL:
            self.rate_updated_at = now
            self.token_bucket.set_rate(director_bucket.reachable_rate(cell_share))

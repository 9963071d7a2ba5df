"""State of one cell at this director: its limits, their use by tenants, and request counts.

The limits are the rate and the concurrency limit, which the cell's tenants share, and the failover
quotas of the tenants of lost cells.

No I/O and no clock: the time is an argument. Not thread-safe: `CellService` holds its lock during
each call.
"""

from dataclasses import dataclass

from .concurrency_limit import ConcurrencyLimit
from .failover import FailoverQuota
from .fair_share import FairShares
from .model import Limits
from .token_bucket import DISTANT_PAST, BucketShare, FairTokenBucket

MIN_CONCURRENCY = 4.0  # open requests that even a slow cell may have


@dataclass(slots=True, frozen=True)
class DirectorCapacity:
    """The capacity of one director.

    Attributes:
        max_open_requests: Maximum number of open requests.
        rate: Maximum number of requests per second; 0 if it is not limited.
        max_retry_after: Longest Retry-After of a rejected request, ms.
    """

    max_open_requests: float
    rate: float = 0.0
    max_retry_after: float = 5_000.0


class CellState:
    """The usage of this director by one cell.

    Attributes:
        limits: The cell's limits from the assignment.
        token_bucket: The cell's rate, shared by its tenants.
        concurrency_limit: Adaptive limit on the cell's open requests.
        shares: The tenants' shares of the cell's open requests.
        failover_quotas: Quotas that the tenants of lost cells have in this cell, by lost cell.
        served_count: Number of served requests whose client was still waiting.
        completed_count: Number of completed requests whose client was still waiting.
        rejected_count: Number of requests that `CellQuotas.check` rejected in this cell.
        rate_updated_at: Time when the cell's rate was last derived from the director's rate;
            `DISTANT_PAST` before the first time.
    """

    def __init__(self, capacity: DirectorCapacity, limits: Limits) -> None:
        """Create a cell without open requests, with the highest concurrency limit."""
        self.limits = limits
        self.token_bucket = FairTokenBucket(limits.rate)
        self.failover_quotas: dict[str, FailoverQuota] = {}
        self.served_count = 0
        self.completed_count = 0
        self.rejected_count = 0
        self.rate_updated_at = DISTANT_PAST
        maximum = self._max_open_requests(capacity, limits)
        self.concurrency_limit = ConcurrencyLimit(min(MIN_CONCURRENCY, maximum), maximum)
        self.shares = FairShares(maximum)

    @staticmethod
    def _max_open_requests(capacity: DirectorCapacity, limits: Limits) -> float:
        cell_maximum = limits.max_open_requests or capacity.max_open_requests
        return min(capacity.max_open_requests, cell_maximum)

    def set_limits(self, capacity: DirectorCapacity, limits: Limits) -> None:
        """Replace the limits; open requests stay counted.

        The concurrency limit starts again at its maximum.
        """
        self.limits = limits
        self.token_bucket.set_rate(limits.rate)
        maximum = self._max_open_requests(capacity, limits)
        self.concurrency_limit = ConcurrencyLimit(min(MIN_CONCURRENCY, maximum), maximum)
        self.shares.capacity = maximum

    def failover_quota(self, lost_cell: str) -> FailoverQuota:
        """Return the quota that a lost cell's tenants have in this cell; create it if needed."""
        return self.failover_quotas.setdefault(lost_cell, FailoverQuota())

    def follow_director_rate(
        self, now: float, director_bucket: FairTokenBucket, cell_share: BucketShare
    ) -> None:
        """Derive the rate of the cell from the director's rate.

        The new rate is the part of the director's rate that the cell can reach by borrowing; the
        cell's tenants share it. The rate stays unchanged if the cell has a rate limit of its own,
        or if the director's rate is not limited. It also stays unchanged until
        `FairTokenBucket.RECOMPUTE_INTERVAL` has passed since the last update.
        """
        if self.limits.rate or not director_bucket.rate:
            return
        if now >= self.rate_updated_at + FairTokenBucket.RECOMPUTE_INTERVAL:
            self.rate_updated_at = now
            self.token_bucket.set_rate(director_bucket.reachable_rate(cell_share))

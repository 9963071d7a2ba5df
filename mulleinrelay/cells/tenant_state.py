"""State of one tenant at this director: the usage of its quota and of the cells that serve it.

No I/O and no clock: the time is an argument. Not thread-safe: `CellService` holds its lock during
each call.
"""

from dataclasses import dataclass

from .cell_state import CellState
from .fair_share import ConcurrencyShare
from .model import Limits
from .retry_budget import ClientRetryBudget
from .token_bucket import TokenBucket

# Time (ms) after the last request for which cached shares are reused. It is shorter than
# `FairShares.IDLE_TIMEOUT`, so that no dropped share is reused.
SHARE_REUSE_TIME = 30_000.0


@dataclass(slots=True, eq=False)
class TenantCellLimits:
    """A tenant's limits in one cell, cached to avoid a lookup for each request.

    Attributes:
        cell_state: State of the cell.
        share: The tenant's share of the cell's open requests.
        cell_share: The cell's share of the director's open requests.
    """

    cell_state: CellState
    share: ConcurrencyShare
    cell_share: ConcurrencyShare

    def is_stale(self, now: float) -> bool:
        """Return whether one of the shares may have been dropped; both are then looked up again."""
        return (
            now > self.share.last_requested_at + SHARE_REUSE_TIME
            or now > self.cell_share.last_requested_at + SHARE_REUSE_TIME
        )


class TenantState:
    """The usage of this director by one tenant.

    Attributes:
        limits: Quota of the tenant.
        token_bucket: Token bucket of the tenant's rate.
        retry_budget: Budget of the retries of the tenant's clients.
        open_body_kb: Total size of the bodies of the tenant's open requests, KB.
        rejected_count: Number of rejected requests.
        admitted_count: Number of admitted requests.
        last_used_at: Time of the tenant's last request, admitted or not; 0 before the first.
        cell_limits: The tenant's cached limits in each cell, by cell.
    """

    __slots__ = (
        "admitted_count",
        "cell_limits",
        "last_used_at",
        "limits",
        "open_body_kb",
        "rejected_count",
        "retry_budget",
        "token_bucket",
    )

    def __init__(self, limits: Limits) -> None:
        """Create a state in which no quota is used."""
        self.set_limits(limits)
        self.open_body_kb = 0.0
        self.rejected_count = 0
        self.admitted_count = 0
        self.last_used_at = 0.0

    def set_limits(self, limits: Limits) -> None:
        """Replace the quota.

        The token bucket and the retry budget are full again, and `cell_limits` is empty.
        """
        self.limits = limits
        self.token_bucket = TokenBucket(limits.rate, limits.burst)
        self.retry_budget = ClientRetryBudget(limits.retry_ratio)
        self.cell_limits: dict[str, TenantCellLimits] = {}

    def has_space_for_body(self, body_kb: float) -> bool:
        """Return whether the quota has room for the body of one more open request."""
        limit = self.limits.max_body_kb
        return not limit or self.open_body_kb + body_kb <= limit

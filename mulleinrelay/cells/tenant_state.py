"""One tenant at this director: what it uses of its own quota, and of the cells that serve it.

Pure and not thread-safe: the admission controller's lock guards the state.
"""

from dataclasses import dataclass

from .cell_state import CellState
from .fair_share import ConcurrencyShare
from .model import Limits
from .retry_budget import ClientRetryBudget
from .token_bucket import TokenBucket

# ms for which looked-up shares are used after their last request. It is less than the time after
# which `FairShares` drops an idle share, so that no dropped one is used.
SHARES_REUSED_FOR = 30_000.0


@dataclass(slots=True, eq=False)
class TenantCellLimits:
    """A tenant's limits in one cell, looked up once as long as they are in use.

    Attributes:
        cell_state: The cell's state here.
        share: The tenant's share of the cell's open requests.
        cell_share: The cell's share of the director's open requests.
    """

    cell_state: CellState
    share: ConcurrencyShare
    cell_share: ConcurrencyShare

    def is_stale(self, now: float) -> bool:
        """Returns whether a share may have been dropped and is to be looked up again."""
        return (
            now > self.share.last_requested_at + SHARES_REUSED_FOR
            or now > self.cell_share.last_requested_at + SHARES_REUSED_FOR
        )


class TenantState:
    """What one tenant uses of this director.

    Attributes:
        limits: Its quota.
        token_bucket: Its rate.
        retry_budget: Its clients' retries.
        open_body_kb: KB of bodies that its open requests brought.
        rejected_count: Requests that were rejected.
        admitted_count: Requests that were admitted.
        last_used_at: When its last request came.
        cell_limits: Its limits by cell.
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
        """Starts with nothing used."""
        self.set_limits(limits)
        self.open_body_kb = 0.0
        self.rejected_count = 0
        self.admitted_count = 0
        self.last_used_at = 0.0

    def set_limits(self, limits: Limits) -> None:
        """Takes over a new quota, of which nothing is used yet."""
        self.limits = limits
        self.token_bucket = TokenBucket(limits.rate, limits.burst)
        self.retry_budget = ClientRetryBudget(limits.retry_ratio)
        self.cell_limits: dict[str, TenantCellLimits] = {}

    def has_space_for_body(self, body_kb: float) -> bool:
        """Returns whether a request with such a body may be open besides the others."""
        limit = self.limits.max_body_kb
        return not limit or self.open_body_kb + body_kb <= limit

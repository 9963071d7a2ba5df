"""A cell that is lost: which cell takes over its tenants, how much, and how they return; pure.

A cell is lost at this director while none of its caches here is ready. Its tenants go to the first
failover cell that is available, within the failover quota: a fraction of what that cell may have
open and take a second, scaled by the capacity that its caches have while they warm up. When the
cell is back its tenants' objects return one by one over `return_duration`, so that neither cell
sees a jump.

Not thread-safe: the admission controller's lock guards the state.
"""

from dataclasses import dataclass

from .hashing import HASH_RANGE, combine_hashes
from .model import Cell
from .token_bucket import TokenBucket

# Without it the first objects to return would be those that a cache ranks first by hash.
RECOVERY_SALT = 0x72657475726E
WAIT_WITHOUT_QUOTA = 1_000.0  # ms: nothing may come while the caches have no capacity yet
WAIT_FOR_OPEN_REQUEST = 200.0  # ms: about the time in which an open request ends
RATE_TOLERANCE = 0.01  # a rate that changed by a smaller fraction is not set anew


@dataclass(slots=True, eq=False)
class CellAvailability:
    """Whether a cell can serve its tenants at this director.

    Attributes:
        cell: The cell.
        ready_caches: How many of its caches here are ready.
        total_capacity: Sum of their capacity fractions; `ready_caches` when none is warming up.
        is_lost: Whether none is ready.
        recovering_since: When it came back; 0: it has not been lost, or all objects have returned.
        has_been_ready: Whether a cache was ever ready; the first ones are no recovery.
    """

    cell: Cell
    ready_caches: int = 0
    total_capacity: float = 0.0
    is_lost: bool = False
    recovering_since: float = 0.0
    has_been_ready: bool = False

    def update_caches(self, now: float, ready_caches: int, total_capacity: float) -> str:
        """Takes over a new endpoint list; returns `lost` or `back` on that change, else nothing."""
        self.ready_caches = ready_caches
        self.total_capacity = total_capacity
        was_lost = self.is_lost
        self.is_lost = not ready_caches
        if self.is_lost:
            self.recovering_since = 0.0
            return "" if was_lost else "lost"
        is_first = not self.has_been_ready
        self.has_been_ready = True
        if not was_lost or is_first:
            return ""
        self.recovering_since = now
        return "back"

    def home_fraction(self, now: float) -> float:
        """Returns the fraction of its objects that it serves itself; ends the recovery at 1."""
        if self.is_lost:
            return 0.0
        if not self.recovering_since:
            return 1.0
        fraction = (now - self.recovering_since) / max(self.cell.return_duration, 1.0)
        if fraction >= 1.0:
            self.recovering_since = 0.0
        return min(fraction, 1.0)

    def capacity_fraction(self) -> float:
        """Returns the mean capacity fraction of its ready caches, 0 to 1."""
        return self.total_capacity / self.ready_caches if self.ready_caches else 0.0


def is_served_at_home(key: int, home_fraction: float) -> bool:
    """Returns whether an object's own cell serves it at this home fraction."""
    if home_fraction >= 1.0:
        return True
    return home_fraction > 0.0 and combine_hashes(key, RECOVERY_SALT) / HASH_RANGE < home_fraction


def find_failover_host(
    availability: dict[str, CellAvailability], cell: Cell
) -> CellAvailability | None:
    """Returns the cell that takes over a cell's tenants now; None: they are rejected.

    A cell that is recovering takes over nobody: its own tenants are still elsewhere.
    """
    for name in cell.failover_cells:
        host = availability.get(name)
        if host is not None and not host.is_lost and not host.recovering_since:
            return host
    return None


@dataclass(slots=True, frozen=True)
class HostLimits:
    """What a failover cell has for all its requests, its own tenants' included.

    Attributes:
        capacity_fraction: Of its caches while they warm up, 0 to 1.
        concurrency: Requests that it may have open.
        rate: Requests a second that it may take; 0: no bound.
    """

    capacity_fraction: float
    concurrency: float
    rate: float


class FailoverQuota:
    """The bound on what one lost cell's tenants may take at one failover cell."""

    def __init__(self) -> None:
        """Starts with no request open."""
        self.open = 0
        self.rate = 0.0  # requests a second; 0: no bound
        self.token_bucket = TokenBucket(0.0, 0.0)

    def wait_time(self, now: float, quota: float, host: HostLimits) -> float:
        """Returns 0 if one more request may come, else when to ask again, ms.

        Args:
            now: The time.
            quota: The failover quota of the lost cell.
            host: The limits of the failover cell; a new rate is taken over.
        """
        fraction = quota * host.capacity_fraction
        if fraction <= 0.0:
            return WAIT_WITHOUT_QUOTA
        if self.open + 1 > max(1.0, fraction * host.concurrency):
            return WAIT_FOR_OPEN_REQUEST
        if not host.rate:
            return 0.0
        rate = fraction * host.rate
        if abs(rate - self.rate) > RATE_TOLERANCE * self.rate:
            self.rate = rate
            self.token_bucket = self.token_bucket.with_rate(rate, 0.0)
        return self.token_bucket.wait_time(now)

    def acquire(self, now: float) -> None:
        """Counts one more request."""
        self.open += 1
        self.token_bucket.consume(now)

    def release(self) -> None:
        """Counts one request as over."""
        self.open = max(0, self.open - 1)

"""Failover of the tenants of a lost cell to another cell, and their return.

A cell is lost at this director while none of its caches in the director's zone is ready. Its
tenants go to the first failover cell that is available, within the failover quota. The quota is a
fraction of the failover cell's limits on open requests and on the rate, scaled by the capacity
fraction of the failover cell's caches during slow start. When the lost cell recovers, its tenants'
objects return one by one over `return_duration`, so that the load of neither cell jumps.

No I/O and no clock: the time is an argument. Not thread-safe: `CellService` holds its lock during
each call.
"""

from dataclasses import dataclass

from .hashing import HASH_RANGE, combine_hashes
from .model import Cell
from .token_bucket import TokenBucket

# Salt of the hash that determines the order in which objects return to a recovered cell. Without
# the salt, the objects that a cache ranks first by hash would return first.
RECOVERY_SALT = 0x72657475726E
# ms; wait time of a request while the quota is 0 or the failover cell's caches have no capacity yet
WAIT_WITHOUT_QUOTA = 1_000.0
WAIT_FOR_OPEN_REQUEST = 200.0  # ms; typical time until an open request completes
RATE_TOLERANCE = 0.01  # fraction; the rate is not updated for smaller changes


@dataclass(slots=True, eq=False)
class CellAvailability:
    """The ability of a cell to serve its tenants at this director.

    Attributes:
        cell: The cell.
        ready_caches: Number of the cell's ready caches in this director's zone.
        total_capacity: Sum of the capacity fractions of these caches; equal to `ready_caches` if
            none is in slow start.
        is_lost: Whether no cache was ready at the last update; False before the first update.
        recovering_since: Time when the recovery began; 0 while the cell is not recovering. The
            recovery ends when `home_fraction` returns 1.
        has_been_ready: Whether a cache was ever ready. The first ready cache after the director's
            start begins no recovery.
    """

    cell: Cell
    ready_caches: int = 0
    total_capacity: float = 0.0
    is_lost: bool = False
    recovering_since: float = 0.0
    has_been_ready: bool = False

    def update_caches(self, now: float, ready_caches: int, total_capacity: float) -> str:
        """Record the number and capacity of the ready caches.

        Returns:
            "lost" if this update made the cell lost, "back" if it began a recovery; otherwise an
            empty string.
        """
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
        """Return the fraction of its objects that the cell serves itself, 0 to 1.

        The fraction rises from 0 to 1 during a recovery. The call that finds 1 ends the recovery.
        """
        if self.is_lost:
            return 0.0
        if not self.recovering_since:
            return 1.0
        fraction = (now - self.recovering_since) / max(self.cell.return_duration, 1.0)
        if fraction >= 1.0:
            self.recovering_since = 0.0
        return min(fraction, 1.0)

    def capacity_fraction(self) -> float:
        """Return the mean capacity fraction of the cell's ready caches, 0 to 1; 0 without any."""
        return self.total_capacity / self.ready_caches if self.ready_caches else 0.0


def is_served_at_home(key: int, home_fraction: float) -> bool:
    """Return whether a cell serves an object itself at a home fraction (see `home_fraction`)."""
    if home_fraction >= 1.0:
        return True
    return home_fraction > 0.0 and combine_hashes(key, RECOVERY_SALT) / HASH_RANGE < home_fraction


def find_failover_cell(
    availability: dict[str, CellAvailability], cell: Cell
) -> CellAvailability | None:
    """Return the failover cell for the tenants of a lost or recovering cell.

    The result is None if no failover cell is available.

    The first available cell in the order of preference is chosen. A recovering cell serves no
    tenants of other cells, because some of its own objects are still served elsewhere.
    """
    for name in cell.failover_cells:
        failover_cell = availability.get(name)
        if (
            failover_cell is not None
            and not failover_cell.is_lost
            and not failover_cell.recovering_since
        ):
            return failover_cell
    return None


@dataclass(slots=True, frozen=True)
class FailoverCellLimits:
    """The limits of a failover cell for all requests, including those of its own tenants.

    Attributes:
        capacity_fraction: Capacity fraction of its caches, 0 to 1; less than 1 during slow start.
        concurrency: Maximum number of open requests.
        rate: Maximum number of requests per second; 0 if it is not limited.
    """

    capacity_fraction: float
    concurrency: float
    rate: float


class FailoverQuota:
    """The quota of one lost cell's tenants in one failover cell.

    Attributes:
        open: Number of these tenants' open requests.
        rate: Requests per second of the token bucket; 0 as long as they were never limited.
        token_bucket: Token bucket of these tenants' requests.
    """

    def __init__(self) -> None:
        """Create an unused quota."""
        self.open = 0
        self.rate = 0.0
        self.token_bucket = TokenBucket(0.0, 0.0)

    def wait_time(self, now: float, quota: float, cell_limits: FailoverCellLimits) -> float:
        """Return the time (ms) until one more request may be admitted; 0 if that is now.

        If `quota` and the cell's capacity fraction are above 0, at least one open request is
        allowed.

        Args:
            now: The current time.
            quota: Fraction of the failover cell's limits that the lost cell's tenants may use.
            cell_limits: Limits of the failover cell; a changed rate updates the token bucket.
        """
        fraction = quota * cell_limits.capacity_fraction
        if fraction <= 0.0:
            return WAIT_WITHOUT_QUOTA
        if self.open + 1 > max(1.0, fraction * cell_limits.concurrency):
            return WAIT_FOR_OPEN_REQUEST
        if not cell_limits.rate:
            return 0.0
        rate = fraction * cell_limits.rate
        if abs(rate - self.rate) > RATE_TOLERANCE * self.rate:
            self.rate = rate
            self.token_bucket = self.token_bucket.with_rate(rate, 0.0)
        return self.token_bucket.wait_time(now)

    def acquire(self, now: float) -> None:
        """Count one more open request and take one token."""
        self.open += 1
        self.token_bucket.consume(now)

    def release(self) -> None:
        """Count one request as completed."""
        self.open = max(0, self.open - 1)

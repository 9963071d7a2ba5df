"""A cell that is lost: who takes its tenants in, how much, and how they return.

A cell is lost at this director while none of its caches here is ready. Its tenants go to the first
named neighbour that stands, within `reserve` of what that neighbour may have open and take a
second, scaled by how warm its caches are: a neighbour whose own caches are cold takes in so much
less. When the cell is back its tenants' objects return one by one over `return_for`, so that
neither side sees a jump.
"""

from dataclasses import dataclass

from .hashing import HASH_RANGE, combine_hashes
from .model import Cell
from .token_bucket import TokenBucket

RECOVERY_SALT = 0x72657475726E


@dataclass(slots=True, eq=False)
class CellAvailability:
    """One cell at this director."""

    cell: Cell
    ready_caches: int = 0  # caches here
    total_warmth: float = 0.0  # their warmth together; as many as `ready` when all are warm
    is_lost: bool = False
    recovering_since: float = 0.0  # 0: it has not been lost, or all have returned
    has_been_ready: bool = False

    def update_caches(self, now: float, ready: int, warm: float) -> str:
        """The list has changed; gives a word where the cell's mode has, else an empty one."""
        self.ready_caches, self.total_warmth = ready, warm
        if ready:
            came, self.is_lost = self.is_lost, False
            first, self.has_been_ready = not self.has_been_ready, True
            if came and not first:
                self.recovering_since = now
                return "back"
            return ""
        went, self.is_lost, self.recovering_since = not self.is_lost, True, 0.0
        return "lost" if went else ""

    def home_fraction(self, now: float) -> float:
        """The share of its objects that are looked up at home."""
        if self.is_lost:
            return 0.0
        if not self.recovering_since:
            return 1.0
        share = (now - self.recovering_since) / max(self.cell.return_duration, 1.0)
        if share >= 1.0:
            self.recovering_since = 0.0
        return min(share, 1.0)

    def mean_warmth(self) -> float:
        return self.total_warmth / self.ready_caches if self.ready_caches else 0.0


def is_served_at_home(key: int, share: float) -> bool:
    return share >= 1.0 or (share > 0.0 and combine_hashes(key, RECOVERY_SALT) / HASH_RANGE < share)


def find_failover_host(
    standings: dict[str, CellAvailability], cell: Cell
) -> CellAvailability | None:
    """The neighbour that takes in a cell's tenants now; None: nobody, they are rejected. A
    neighbour that is coming back itself takes nobody in: its own tenants are still elsewhere.
    """
    for name in cell.failover_cells:
        found = standings.get(name)
        if found is not None and not found.is_lost and not found.recovering_since:
            return found
    return None


class FailoverQuota:
    """The bound on what a cell's tenants may take at one neighbour."""

    def __init__(self) -> None:
        self.open = 0
        self.token_bucket, self.rate = TokenBucket(0.0, 0.0), 0.0

    def wait_time(
        self, now: float, reserve: float, warmth: float, width: float, rate: float
    ) -> float:
        """0: one more may come; else when to ask again, ms."""
        part = reserve * warmth
        if part <= 0.0:
            return 1_000.0
        if self.open + 1 > max(1.0, part * width):
            return 200.0
        if rate:
            if abs(part * rate - self.rate) > 0.01 * self.rate:  # a new rate keeps what was used up
                whole_at, self.rate = self.token_bucket.full_at, part * rate
                self.token_bucket = TokenBucket(self.rate, 0.0)
                self.token_bucket.full_at = whole_at
            return self.token_bucket.wait_time(now)
        return 0.0

    def acquire(self, now: float) -> None:
        self.open += 1
        self.token_bucket.consume(now)

    def release(self) -> None:
        self.open = max(0, self.open - 1)

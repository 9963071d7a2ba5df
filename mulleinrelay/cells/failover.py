"""A cell that is lost: who takes its tenants in, how much, and how they return.

A cell is lost at this director while none of its caches here is ready. Its tenants go to the first
named neighbour that stands, within `reserve` of what that neighbour may have open and take a
second, scaled by how warm its caches are: a neighbour whose own caches are cold takes in so much
less. When the cell is back its tenants' objects return one by one over `return_for`, so that
neither side sees a jump.
"""

from dataclasses import dataclass

from .hashing import SCALE, mixed
from .limits import Pace
from .model import Cell

SALT = 0x72657475726E


@dataclass(slots=True, eq=False)
class CellAvailability:
    """One cell at this director."""

    cell: Cell
    ready: int = 0  # caches here
    warm: float = 0.0  # their warmth together; as many as `ready` when all are warm
    lost: bool = False
    back_since: float = 0.0  # 0: it has not been lost, or all have returned
    was_ready: bool = False

    def told(self, now: float, ready: int, warm: float) -> str:
        """The list has changed; gives a word where the cell's mode has, else an empty one."""
        self.ready, self.warm = ready, warm
        if ready:
            came, self.lost = self.lost, False
            first, self.was_ready = not self.was_ready, True
            if came and not first:
                self.back_since = now
                return "back"
            return ""
        went, self.lost, self.back_since = not self.lost, True, 0.0
        return "lost" if went else ""

    def home_share(self, now: float) -> float:
        """The share of its objects that are looked up at home."""
        if self.lost:
            return 0.0
        if not self.back_since:
            return 1.0
        share = (now - self.back_since) / max(self.cell.return_duration, 1.0)
        if share >= 1.0:
            self.back_since = 0.0
        return min(share, 1.0)

    def warmth(self) -> float:
        return self.warm / self.ready if self.ready else 0.0


def at_home(key: int, share: float) -> bool:
    return share >= 1.0 or (share > 0.0 and mixed(key, SALT) / SCALE < share)


def host(standings: dict[str, CellAvailability], cell: Cell) -> CellAvailability | None:
    """The neighbour that takes in a cell's tenants now; None: nobody, they are rejected. A
    neighbour that is coming back itself takes nobody in: its own tenants are still elsewhere.
    """
    for name in cell.failover_cells:
        found = standings.get(name)
        if found is not None and not found.lost and not found.back_since:
            return found
    return None


class FailoverQuota:
    """The bound on what a cell's tenants may take at one neighbour."""

    def __init__(self) -> None:
        self.open = 0
        self.pace, self.rate = Pace(0.0, 0.0), 0.0

    def wait(self, now: float, reserve: float, warmth: float, width: float, rate: float) -> float:
        """0: one more may come; else when to ask again, ms."""
        part = reserve * warmth
        if part <= 0.0:
            return 1_000.0
        if self.open + 1 > max(1.0, part * width):
            return 200.0
        if rate:
            if abs(part * rate - self.rate) > 0.01 * self.rate:  # a new rate keeps what was used up
                whole_at, self.rate = self.pace.whole_at, part * rate
                self.pace = Pace(self.rate, 0.0)
                self.pace.whole_at = whole_at
            return self.pace.wait(now)
        return 0.0

    def take(self, now: float) -> None:
        self.open += 1
        self.pace.take(now)

    def give(self) -> None:
        self.open = max(0, self.open - 1)

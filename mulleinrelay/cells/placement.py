"""Which cell a tenant's request is confined to now, with which pool: homes, moves, lost cells and
keys of repeats taken together. Pure; a director's caches are opaque nodes with a name and a warmth.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum
from typing import Any

from ..errors import ConfigError
from ..policy.model import IDEMPOTENT, KEYED, CachePool, RequestClass, RetryBudget
from . import failover, migrations
from .failover import CellAvailability
from .hashing import caches_by_cell, home_cells, shuffle_shard
from .model import Assignment, Cell, Migration
from .sticky_routing import IdempotencyKeyCache, MigrationSide, choose_side

PURSE_AT_FIRST = 2.0  # further attempts of a tenant that has just come; its requests earn more
POOLS_MOST = 20_000  # kept; beyond, all are made anew as they are wanted
RECEIPTS_MOST = 20_000


class PlacementFailure(Enum):
    """Why a request goes to no cell."""

    CELL_LOST = "its cell is lost and no neighbour takes it in"
    MAY_HAVE_RUN = "its first try may have run in another cell"
    NO_CELL = "its tenant has no cell"


@dataclass(slots=True, eq=False)
class CellPlacement:
    """Where a request goes: the cell that bears it, the pool, and whose guest it is (empty: at
    home).
    """

    cell: str
    pool: CachePool
    failed_over_from: str = ""


def _settled(now: float, home: str, move: Migration | None) -> str | None:
    """The one cell in which all of a tenant's objects stand; None: a move has them in two."""
    if move is None:
        return home
    stage = migrations.stage_at(move, now)
    if stage in (migrations.MigrationStage.PLANNED, migrations.MigrationStage.ABORTED):
        return move.source
    return move.target if stage == migrations.MigrationStage.DONE else None


def settled_homes(charter: Assignment) -> dict[str, str]:
    """The homes of all tenants; raises ConfigError where a move's tenants don't stand where it
    begins. It takes seconds for a large table.
    """
    found = home_cells(charter)
    for name, move in charter.migrations.items():
        for tenant in move.tenants:
            if found.get(tenant) != move.source:
                raise ConfigError(
                    f"[move {name}] from: tenant {tenant} stands in "
                    f"{found.get(tenant) or 'no cell'}, not in {move.source}"
                )
    return found


class Placement:
    def __init__(
        self, charter: Assignment, may_pass_by: bool, found: dict[str, str] | None = None
    ) -> None:
        """`found`: its homes, where they have been reckoned already."""
        self.can_bypass_caches = may_pass_by
        self.idempotency_keys = IdempotencyKeyCache(RECEIPTS_MOST)
        self.caches: list[tuple[str, Any, float]] = []  # the ready ones here: name, node, warmth
        self.availability: dict[str, CellAvailability] = {}
        self.unsettled_until: dict[
            str, float
        ] = {}  # tenants that changed cells without a move, and until when
        self.homes: dict[str, str] = {}
        self.retry_budgets: dict[str, RetryBudget] = {}
        self.shuffle_shards: dict[str, int] = {}  # cells whose tenants lie otherwise by a release
        self._take_over(charter, found or settled_homes(charter))
        self.caches_by_cell: dict[str, list[str]] = {name: [] for name in charter.cells}
        self.nodes: dict[str, Any] = {}
        # What another director may still do by the version before, or this one did before it was
        # restarted
        self.uncertain_until = (
            charter.written_at
            + charter.propagation_time
            + charter.clock_skew
            + charter.retry_horizon
        )

    # What comes in

    def replace_assignment(
        self, now: float, charter: Assignment, found: dict[str, str]
    ) -> list[str]:
        """A new version and its homes; gives words on what changed its mode. Tenants whose cell it
        changes without a move change at once, which is said.
        """
        before = {
            name: (home, self.migrations_by_tenant.get(name)) for name, home in self.homes.items()
        }
        self._take_over(charter, found)
        until = now + charter.retry_horizon + charter.clock_skew + charter.propagation_time
        jumped = [
            name
            for name in self.homes
            if name in before
            and self._jumps(
                now, *before[name], self.homes[name], self.migrations_by_tenant.get(name)
            )
        ]
        self.unsettled_until = {
            name: end for name, end in self.unsettled_until.items() if now < end
        }
        self.unsettled_until |= dict.fromkeys(jumped, until)
        words = [f"{len(jumped)} tenants change cells without a move"] if jumped else []
        return words + self._stand(now)

    def _jumps(
        self, now: float, home: str, old: Migration | None, new_home: str, new: Migration | None
    ) -> bool:
        """Whether a tenant's objects may change cells other than by the course of a move."""
        if old is not None and new is not None and migrations.is_same_course(old, new, now):
            return False
        before, after = (_settled(now, at, move) for at, move in ((home, old), (new_home, new)))
        return before is None or before != after

    def set_shuffle_shards(self, shuffles: dict[str, int]) -> None:
        """Caches of each tenant by cell, where a release in force says so; -1: as the
        cell has it.
        """
        shuffles = {cell: count for cell, count in shuffles.items() if count >= 0}
        if shuffles != self.shuffle_shards:
            self.shuffle_shards = shuffles
            self._forget()

    def update_caches(self, now: float, caches: Iterable[tuple[str, Any, float]]) -> list[str]:
        """The ready caches of this location: name, node, warmth (0 to 1). Gives words on changes of
        mode.
        """
        self.caches = sorted(caches, key=lambda entry: entry[0])
        return self._stand(now)

    def _take_over(self, charter: Assignment, found: dict[str, str]) -> None:
        self.assignment, self.homes = charter, found
        self.migrations_by_tenant = {
            tenant: move for move in charter.migrations.values() for tenant in move.tenants
        }
        self.availability = {
            name: self.availability.get(name) or CellAvailability(cell)
            for name, cell in charter.cells.items()
        }
        for name, standing in self.availability.items():
            standing.cell = charter.cells[name]
        self.pools: dict[tuple[str, str, str], CellPlacement] = {}
        # tenants at home in cells that stand: all their idempotent requests go alike
        self.stable_placements: dict[str, CellPlacement] = {}

    def _stand(self, now: float) -> list[str]:
        self.caches_by_cell = caches_by_cell(self.assignment, [name for name, _, _ in self.caches])
        self.nodes = {name: node for name, node, _ in self.caches}
        warmth = {name: warm for name, _, warm in self.caches}
        self._forget()
        words = []
        for name, standing in self.availability.items():
            here = self.caches_by_cell[name]
            word = standing.update_caches(now, len(here), sum(warmth[cache] for cache in here))
            if word:
                words.append(f"cell {name} {word}")
        return words

    # Where to

    def place(
        self,
        now: float,
        tenant: str,
        key: int,
        request_class: RequestClass,
        idempotency_key: str,
        repeated: bool,
    ) -> CellPlacement | PlacementFailure:
        home = self.homes.get(tenant)
        if home is None:
            return PlacementFailure.NO_CELL
        anywhere = request_class.idempotency != KEYED or request_class.key_scope != "cell"
        known = None
        if idempotency_key and request_class.idempotency == KEYED:
            known = self.idempotency_keys.find_cell(tenant, idempotency_key, now)
        repeated = repeated or known is not None
        move = self.migrations_by_tenant.get(tenant)
        if (
            not anywhere
            and repeated
            and known is None
            and (now < self.uncertain_until or now < self.unsettled_until.get(tenant, 0.0))
        ):
            return PlacementFailure.MAY_HAVE_RUN
        cell, other = known if known in self.availability else home, ""
        if move is not None:
            to = choose_side(move, key, repeated, anywhere, known, now, self.assignment.clock_skew)
            if to == MigrationSide.NEITHER:
                return PlacementFailure.MAY_HAVE_RUN
            cell, other = self._sides(now, move, key, to, anywhere)
        found = self._at(now, tenant, key, cell, other, request_class, anywhere, repeated)
        standing = self.availability[home]
        idempotent = request_class.idempotency == IDEMPOTENT
        if move is None and idempotent and not standing.is_lost and not standing.recovering_since:
            self.stable_placements[tenant] = found
        return found

    def record_admission(
        self,
        now: float,
        tenant: str,
        idempotency_key: str,
        request_class: RequestClass,
        spot: CellPlacement,
    ) -> None:
        """The request is taken: its repeats go the same way."""
        if idempotency_key and request_class.idempotency == KEYED:
            kept = (
                request_class.key_retention
                + request_class.client_timeout
                + self.assignment.retry_horizon
            )
            self.idempotency_keys.record(tenant, idempotency_key, spot.cell, now, kept)

    def _sides(
        self, now: float, move: Migration, key: int, to: MigrationSide, anywhere: bool
    ) -> tuple[str, str]:
        """The cell that a moving object goes to, and the other one while that has a part in it."""
        under_way = migrations.is_in_progress(move, now)
        if (
            to == MigrationSide.TARGET
            and under_way
            and anywhere
            and not failover.is_served_at_home(
                key, self.availability[move.target].home_fraction(now)
            )
        ):
            to = (
                MigrationSide.SOURCE
            )  # the receiving cell fell away: the old one takes its tenants as before
        cell, other = (
            (move.target, move.source) if to == MigrationSide.TARGET else (move.source, move.target)
        )
        return cell, other if under_way and self.caches_by_cell[other] else ""

    def _at(
        self,
        now: float,
        tenant: str,
        key: int,
        cell: str,
        other: str,
        request_class: RequestClass,
        anywhere: bool,
        repeated: bool,
    ) -> CellPlacement | PlacementFailure:
        """`other`: the other side of a move. `anywhere`: it need not stay with the nodes of one
        cell.
        """
        standing = self.availability[cell]
        if request_class.is_uncacheable and self.can_bypass_caches:  # needs no cache
            return self._spot(tenant, cell, other)
        if not anywhere:
            if standing.is_lost:
                return PlacementFailure.MAY_HAVE_RUN if repeated else PlacementFailure.CELL_LOST
            return self._spot(tenant, cell, other)
        if failover.is_served_at_home(key, standing.home_fraction(now)):
            return self._spot(tenant, cell, other)
        host = failover.find_failover_host(self.availability, standing.cell)
        if host is None:
            return (
                PlacementFailure.CELL_LOST if standing.is_lost else self._spot(tenant, cell, other)
            )
        return CellPlacement(
            host.cell.name, self._spot(tenant, host.cell.name, "").pool, failed_over_from=cell
        )

    def _spot(self, tenant: str, cell: str, other: str) -> CellPlacement:
        """At home in `cell`; made once and kept until the list or the file changes."""
        spot = self.pools.get((tenant, cell, other))
        if spot is None:
            if len(self.pools) >= POOLS_MOST:
                self._forget()
            caches = self._nodes(tenant, self.assignment.cells[cell])
            aside = self._nodes(tenant, self.assignment.cells[other]) if other else {}
            move = self.migrations_by_tenant.get(tenant)
            old = move is not None and move.source == other
            helps = old or (move is not None and move.aborted_at > 0.0)  # what went over comes back
            if cell in self.shuffle_shards:  # what a tenant left behind by the release fills it
                aside, helps = (
                    aside | {self.nodes[name]: None for name in self.caches_by_cell[cell]},
                    True,
                )
            pool = CachePool(
                caches, aside if old else {}, aside if helps else {}, self.retry_budget(tenant)
            )
            spot = self.pools[tenant, cell, other] = CellPlacement(cell, pool)
        return spot

    def _forget(self) -> None:
        self.pools.clear()
        self.stable_placements.clear()

    def _nodes(self, tenant: str, cell: Cell) -> dict[Any, None]:
        count = self.shuffle_shards.get(cell.name, cell.shuffle_shards)
        return {
            self.nodes[name]: None
            for name in shuffle_shard(tenant, self.caches_by_cell[cell.name], count)
        }

    def retry_budget(self, tenant: str) -> RetryBudget:
        found = self.retry_budgets.get(tenant)
        if found is None:
            if len(self.retry_budgets) >= POOLS_MOST:
                self.retry_budgets.clear()
                self._forget()
            found = self.retry_budgets[tenant] = RetryBudget(PURSE_AT_FIRST)
        return found

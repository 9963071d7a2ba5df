"""Which cell and which caches a tenant's request goes to now; pure.

Home cells, migrations, lost cells and idempotency keys are taken together here. A director's caches
are opaque: a name, an endpoint and its capacity fraction (0 to 1).

Not thread-safe: the admission controller's lock guards the state.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from ..errors import ConfigError
from ..policy.model import IDEMPOTENT, KEYED, CachePool, Endpoint, RetryBudget
from . import failover, migrations
from .failover import CellAvailability
from .hashing import caches_by_cell, home_cells, shuffle_shard
from .model import Assignment, Cell, Migration
from .placement_types import CellPlacement, PlacementFailure, PlacementRequest, ReadyCache
from .sticky_routing import IdempotencyKeyCache, MigrationSide, RequestHistory, choose_side

INITIAL_RETRY_TOKENS = 2.0  # retries of a tenant that has just come; its requests earn more
MAX_CACHED_TENANTS = 20_000  # with a pool or a retry budget; beyond, all are made anew when needed
MAX_IDEMPOTENCY_KEYS = 20_000


@dataclass(slots=True, eq=False)  # not frozen: it is made for each request, which costs less
class _Route:
    """The cell of an object, and the other side of its migration; empty: it has no part in it."""

    cell: str
    other_cell: str = ""


def _only_cell(now: float, home: str, migration: Migration | None) -> str | None:
    """Returns the cell of all of a tenant's objects; None while a migration splits them."""
    if migration is None:
        return home
    stage = migrations.stage_at(migration, now)
    if stage in (migrations.MigrationStage.PLANNED, migrations.MigrationStage.ABORTED):
        return migration.source
    return migration.target if stage == migrations.MigrationStage.DONE else None


def checked_home_cells(assignment: Assignment) -> dict[str, str]:
    """Returns the home cell of each tenant; it takes seconds for a large assignment.

    Raises:
        ConfigError: If a migration's tenants are not in the cell where it begins.
    """
    homes = home_cells(assignment)
    for name, migration in assignment.migrations.items():
        for tenant in migration.tenants:
            if homes.get(tenant) != migration.source:
                place = homes.get(tenant) or "no cell"
                raise ConfigError(
                    f"tenant {tenant} stands in {place}, not in {migration.source}",
                    section=f"move {name}",
                    key="from",
                )
    return homes


class Placement:
    """Places requests by one assignment at a time.

    Attributes:
        assignment: The version in force.
        can_bypass_caches: Whether requests that are not cacheable go past the caches.
        homes: Home cell by tenant.
        migrations_by_tenant: The migration of each tenant that has one.
        idempotency_keys: The cell that each key went to.
        caches: The ready caches of this location, by name.
        caches_by_cell: Names of these by cell.
        availability: State of each cell.
        unsettled_until: Tenants that changed cells without a migration, and until when their
            retries are uncertain.
        uncertain_until: Until then other directors may still use the version before, or this one
            did before it was restarted.
        retry_budgets: The director's retries for each tenant.
        shuffle_shards: Caches of each tenant in the cells where a rollout sets them.
        stable_placements: Of tenants at home in cells that are available: all their idempotent
            requests go the same way.
    """

    def __init__(
        self, assignment: Assignment, can_bypass_caches: bool, homes: dict[str, str] | None = None
    ) -> None:
        """Starts without any cache.

        Args:
            assignment: The first version.
            can_bypass_caches: Whether requests that are not cacheable go past the caches.
            homes: Home cells, where they have been computed already.

        Raises:
            ConfigError: If a migration does not begin where its tenants are.
        """
        self.can_bypass_caches = can_bypass_caches
        self.idempotency_keys = IdempotencyKeyCache(MAX_IDEMPOTENCY_KEYS)
        self.caches: list[ReadyCache] = []
        self.availability: dict[str, CellAvailability] = {}
        self.unsettled_until: dict[str, float] = {}
        self.retry_budgets: dict[str, RetryBudget] = {}
        self.shuffle_shards: dict[str, int] = {}
        self._placements: dict[tuple[str, str, str], CellPlacement] = {}  # by tenant and route
        self.stable_placements: dict[str, CellPlacement] = {}
        self._use_assignment(assignment, homes or checked_home_cells(assignment))
        self.caches_by_cell: dict[str, list[str]] = {name: [] for name in assignment.cells}
        self._endpoints: dict[str, Endpoint] = {}
        self.uncertain_until = (
            assignment.written_at
            + assignment.propagation_time
            + assignment.clock_skew
            + assignment.retry_horizon
        )

    # Changes of the assignment and of the endpoint list

    def replace_assignment(
        self, now: float, assignment: Assignment, homes: dict[str, str]
    ) -> list[str]:
        """Takes over a new version; tenants that change cells without a migration do so at once.

        Args:
            now: The time.
            assignment: The new version.
            homes: Its home cells.

        Returns:
            Texts for the log, on changes of cells.
        """
        old_homes = self.homes
        old_migrations = self.migrations_by_tenant
        self._use_assignment(assignment, homes)
        moved_at_once = [
            name
            for name in old_homes
            if name in homes and self._moves_at_once(now, name, old_homes, old_migrations)
        ]
        uncertain_until = (
            now + assignment.retry_horizon + assignment.clock_skew + assignment.propagation_time
        )
        self.unsettled_until = {
            name: until for name, until in self.unsettled_until.items() if now < until
        }
        self.unsettled_until |= dict.fromkeys(moved_at_once, uncertain_until)
        texts = self._update_availability(now)
        if moved_at_once:
            texts.insert(0, f"{len(moved_at_once)} tenants change cells without a move")
        return texts

    def _moves_at_once(
        self,
        now: float,
        tenant: str,
        old_homes: dict[str, str],
        old_migrations: dict[str, Migration],
    ) -> bool:
        """Returns whether objects may change cells other than by the course of a migration."""
        old = old_migrations.get(tenant)
        new = self.migrations_by_tenant.get(tenant)
        if old is not None and new is not None and migrations.is_equivalent(old, new, now):
            return False
        old_cell = _only_cell(now, old_homes[tenant], old)
        return old_cell is None or old_cell != _only_cell(now, self.homes[tenant], new)

    def set_shuffle_shards(self, shuffle_shards: dict[str, int]) -> None:
        """Sets the caches of each tenant in cells where a rollout says so; negative: it doesn't."""
        shuffle_shards = {cell: count for cell, count in shuffle_shards.items() if count >= 0}
        if shuffle_shards != self.shuffle_shards:
            self.shuffle_shards = shuffle_shards
            self._drop_placements()

    def update_caches(self, now: float, caches: Iterable[ReadyCache]) -> list[str]:
        """Takes over the ready caches of this location; returns texts for the log."""
        self.caches = sorted(caches, key=lambda entry: entry[0])
        return self._update_availability(now)

    def _use_assignment(self, assignment: Assignment, homes: dict[str, str]) -> None:
        self.assignment = assignment
        self.homes = homes
        self.migrations_by_tenant = {
            tenant: migration
            for migration in assignment.migrations.values()
            for tenant in migration.tenants
        }
        self.availability = {
            name: self.availability.get(name) or CellAvailability(cell)
            for name, cell in assignment.cells.items()
        }
        for name, availability in self.availability.items():
            availability.cell = assignment.cells[name]
        self._drop_placements()

    def _update_availability(self, now: float) -> list[str]:
        names = [name for name, _, _ in self.caches]
        self.caches_by_cell = caches_by_cell(self.assignment, names)
        self._endpoints = {name: endpoint for name, endpoint, _ in self.caches}
        fractions = {name: fraction for name, _, fraction in self.caches}
        self._drop_placements()
        texts = []
        for name, availability in self.availability.items():
            cell_caches = self.caches_by_cell[name]
            total_capacity = sum(fractions[cache] for cache in cell_caches)
            if change := availability.update_caches(now, len(cell_caches), total_capacity):
                texts.append(f"cell {name} {change}")
        return texts

    def _drop_placements(self) -> None:
        self._placements.clear()
        self.stable_placements.clear()

    # The placement of one request

    def place(self, now: float, request: PlacementRequest) -> CellPlacement | PlacementFailure:
        """Returns the cell and the caches of a request, or why it has none."""
        tenant = request.tenant
        home = self.homes.get(tenant)
        if home is None:
            return PlacementFailure.NO_CELL
        history = self._history(now, request)
        if self._is_uncertain(now, tenant, history):
            return PlacementFailure.MAY_HAVE_RUN
        route = _Route(home)
        if history.known_cell in self.availability:
            route = _Route(history.known_cell)
        migration = self.migrations_by_tenant.get(tenant)
        if migration is not None:
            clock_skew = self.assignment.clock_skew
            side = choose_side(migration, request.key, history, now, clock_skew)
            if side == MigrationSide.NEITHER:
                return PlacementFailure.MAY_HAVE_RUN
            route = self._route_in_migration(now, migration, request.key, side, history)
        placement = self._place_on_route(now, request, route, history)
        if migration is None and isinstance(placement, CellPlacement):
            self._cache_if_stable(request, home, placement)
        return placement

    def record_admission(
        self, now: float, request: PlacementRequest, placement: CellPlacement
    ) -> None:
        """Notes the cell of an admitted request: its retries go the same way."""
        request_class = request.request_class
        if request.idempotency_key and request_class.idempotency == KEYED:
            lifetime = (
                request_class.key_retention
                + request_class.client_timeout
                + self.assignment.retry_horizon
            )
            self.idempotency_keys.record(
                request.tenant, request.idempotency_key, placement.cell, now, lifetime
            )

    def _history(self, now: float, request: PlacementRequest) -> RequestHistory:
        request_class = request.request_class
        is_keyed = request_class.idempotency == KEYED
        known_cell = None
        if request.idempotency_key and is_keyed:
            known_cell = self.idempotency_keys.find_cell(
                request.tenant, request.idempotency_key, now
            )
        return RequestHistory(
            is_retry=request.is_retry or known_cell is not None,
            can_run_anywhere=not is_keyed or request_class.key_scope != "cell",
            known_cell=known_cell,
        )

    def _is_uncertain(self, now: float, tenant: str, history: RequestHistory) -> bool:
        """Returns whether another director may have run the request in another cell."""
        if history.can_run_anywhere or not history.is_retry or history.known_cell is not None:
            return False
        return now < self.uncertain_until or now < self.unsettled_until.get(tenant, 0.0)

    def _cache_if_stable(
        self, request: PlacementRequest, home: str, placement: CellPlacement
    ) -> None:
        availability = self.availability[home]
        is_available = not availability.is_lost and not availability.recovering_since
        if is_available and request.request_class.idempotency == IDEMPOTENT:
            self.stable_placements[request.tenant] = placement

    def _route_in_migration(
        self,
        now: float,
        migration: Migration,
        key: int,
        side: MigrationSide,
        history: RequestHistory,
    ) -> _Route:
        """Returns the cell of a migrating object, and the other one while that takes part."""
        is_in_progress = migrations.is_in_progress(migration, now)
        if side == MigrationSide.TARGET and is_in_progress and history.can_run_anywhere:
            home_fraction = self.availability[migration.target].home_fraction(now)
            if not failover.is_served_at_home(key, home_fraction):
                # The receiving cell was lost: the old one serves its tenants as before.
                side = MigrationSide.SOURCE
        if side == MigrationSide.TARGET:
            route = _Route(migration.target, migration.source)
        else:
            route = _Route(migration.source, migration.target)
        if not is_in_progress or not self.caches_by_cell[route.other_cell]:
            route.other_cell = ""
        return route

    def _place_on_route(
        self, now: float, request: PlacementRequest, route: _Route, history: RequestHistory
    ) -> CellPlacement | PlacementFailure:
        availability = self.availability[route.cell]
        needs_no_cache = request.request_class.is_uncacheable and self.can_bypass_caches
        if needs_no_cache:
            return self._place_at_home(request.tenant, route)
        if not history.can_run_anywhere:
            if not availability.is_lost:
                return self._place_at_home(request.tenant, route)
            is_retry = history.is_retry
            return PlacementFailure.MAY_HAVE_RUN if is_retry else PlacementFailure.CELL_LOST
        if failover.is_served_at_home(request.key, availability.home_fraction(now)):
            return self._place_at_home(request.tenant, route)
        host = failover.find_failover_host(self.availability, availability.cell)
        if host is not None:
            at_host = self._place_at_home(request.tenant, _Route(host.cell.name))
            return CellPlacement(host.cell.name, at_host.pool, failed_over_from=route.cell)
        if availability.is_lost:
            return PlacementFailure.CELL_LOST
        return self._place_at_home(request.tenant, route)

    def _place_at_home(self, tenant: str, route: _Route) -> CellPlacement:
        """Returns the placement in the route's cell, made once for each list and assignment."""
        placement = self._placements.get((tenant, route.cell, route.other_cell))
        if placement is None:
            if len(self._placements) >= MAX_CACHED_TENANTS:
                self._drop_placements()
            placement = CellPlacement(route.cell, self._pool(tenant, route))
            self._placements[tenant, route.cell, route.other_cell] = placement
        return placement

    def _pool(self, tenant: str, route: _Route) -> CachePool:
        cells = self.assignment.cells
        caches = self._shard(tenant, cells[route.cell])
        other_caches = self._shard(tenant, cells[route.other_cell]) if route.other_cell else {}
        migration = self.migrations_by_tenant.get(tenant)
        is_from_old_cell = migration is not None and migration.source == route.other_cell
        is_aborted = migration is not None and migration.aborted_at > 0.0
        can_fill = is_from_old_cell or is_aborted  # after an abort what migrated comes back
        if route.cell in self.shuffle_shards:
            # The caches that the tenant left behind by the rollout fill the new ones.
            all_caches = self.caches_by_cell[route.cell]
            other_caches = other_caches | {self._endpoints[name]: None for name in all_caches}
            can_fill = True
        return CachePool(
            caches,
            failover_caches=other_caches if is_from_old_cell else {},
            migration_sources=other_caches if can_fill else {},
            retry_budget=self.retry_budget(tenant),
        )

    def _shard(self, tenant: str, cell: Cell) -> dict[Endpoint, None]:
        """Returns the tenant's caches in a cell."""
        count = self.shuffle_shards.get(cell.name, cell.shuffle_shards)
        names = shuffle_shard(tenant, self.caches_by_cell[cell.name], count)
        return {self._endpoints[name]: None for name in names}

    def retry_budget(self, tenant: str) -> RetryBudget:
        """Returns the budget of the director's retries for a tenant, making it where needed."""
        budget = self.retry_budgets.get(tenant)
        if budget is None:
            if len(self.retry_budgets) >= MAX_CACHED_TENANTS:
                self.retry_budgets.clear()
                self._drop_placements()
            budget = RetryBudget(INITIAL_RETRY_TOKENS)
            self.retry_budgets[tenant] = budget
        return budget

"""Placement of requests: the cell and the caches that a tenant's request goes to.

The placement combines home cells, migrations, lost cells and idempotency keys. Each ready cache of
this director's zone has a name, an endpoint and a capacity fraction (0 to 1). The endpoint is
opaque: it is only passed on.

No I/O and no clock: the time is an argument. Not thread-safe: `CellService` holds its lock during
each call.
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

# Retries that the director may send for a tenant at first; the tenant's requests earn more.
INITIAL_RETRY_TOKENS = 2.0
# Maximum number of cached placements, and of cached retry budgets; a full cache is cleared and
# refilled on demand.
MAX_CACHED_TENANTS = 20_000
MAX_IDEMPOTENCY_KEYS = 20_000


@dataclass(slots=True, eq=False)  # not frozen: each request creates one, and frozen costs more
class _Route:
    """The cell of an object, and the other cell of its tenant's migration.

    The other cell is empty if no migration is in progress, or if the other cell has no ready cache.
    """

    cell: str
    other_cell: str = ""


@dataclass(frozen=True, slots=True)
class _UnsettledMove:
    """A change of a tenant's cell, without a migration, that other directors may not know yet.

    Attributes:
        previous_cell: The tenant's cell at directors that do not know the change; None if that is
            not a single cell, or is not known.
        settled_at: Time from which every director knows the change.
    """

    previous_cell: str | None
    settled_at: float


def _only_cell(now: float, home: str, migration: Migration | None) -> str | None:
    """Return the cell of all objects of a tenant.

    The result is None while a migration is in progress, because the objects may then be in two
    cells.
    """
    if migration is None:
        return home
    stage = migrations.stage_at(migration, now)
    if stage in (migrations.MigrationStage.PLANNED, migrations.MigrationStage.ABORTED):
        return migration.source
    return migration.target if stage == migrations.MigrationStage.DONE else None


def _settled_at(assignment: Assignment) -> float:
    """Return the time from which every director knows this version of the assignment."""
    return assignment.written_at + assignment.propagation_time + assignment.clock_skew


def checked_home_cells(assignment: Assignment) -> dict[str, str]:
    """Return the home cell of each tenant; this takes seconds for a large assignment.

    Raises:
        ConfigError: If a tenant's home is not the source cell of its migration.
    """
    homes = home_cells(assignment)
    for name, migration in assignment.migrations.items():
        for tenant in migration.tenants:
            if homes.get(tenant) != migration.source:
                place = homes.get(tenant) or "no cell"
                raise ConfigError(
                    f"tenant {tenant} is in {place}, not in {migration.source}",
                    section=f"move {name}",
                    key="from",
                )
    return homes


class Placement:
    """The placement of requests by the assignment in force.

    Attributes:
        assignment: The assignment in force.
        can_bypass_caches: Whether uncacheable requests bypass the caches.
        homes: Name of each tenant's home cell, by tenant; tenants without a cell are missing.
        migrations_by_tenant: Migrations by tenant; tenants without a migration are missing.
        idempotency_keys: Cells to which the requests with idempotency keys went.
        caches: Ready caches in this director's zone, sorted by name.
        caches_by_cell: Names of these caches by cell.
        availability: Availability of each cell, by cell.
        unsettled_until: For tenants that changed cells without a migration, the time until which
            the cell of their first attempts is uncertain.
        unsettled_moves: For tenants that changed cells without a migration, the change, until every
            director knows it.
        uncertain_until: Time until which a retry may follow a first attempt that was placed by a
            version older than this placement's first version. Another director, or this director
            before a restart, may have placed it.
        retry_budgets: Budgets of the director's own retries, by tenant.
        shuffle_shards: Number of caches of each tenant by cell, for the cells where a rollout sets
            it.
        stable_placements: Cached placements by tenant, for tenants that do not migrate and whose
            home cell is neither lost nor recovering. All idempotent requests of such a tenant have
            the same placement.
    """

    def __init__(
        self, assignment: Assignment, can_bypass_caches: bool, homes: dict[str, str] | None = None
    ) -> None:
        """Create a placement that knows no cache yet.

        Args:
            assignment: The first version of the assignment.
            can_bypass_caches: Whether uncacheable requests bypass the caches.
            homes: Name of each tenant's home cell, by tenant; None to compute them.

        Raises:
            ConfigError: If `homes` is None and a tenant's home is not the source cell of its
                migration.
        """
        self.can_bypass_caches = can_bypass_caches
        self.idempotency_keys = IdempotencyKeyCache(MAX_IDEMPOTENCY_KEYS)
        self.caches: list[ReadyCache] = []
        self.availability: dict[str, CellAvailability] = {}
        self.unsettled_until: dict[str, float] = {}
        self.unsettled_moves: dict[str, _UnsettledMove] = {}
        self.retry_budgets: dict[str, RetryBudget] = {}
        self.shuffle_shards: dict[str, int] = {}
        self._placements: dict[tuple[str, str, str], CellPlacement] = {}  # by tenant and route
        self.stable_placements: dict[str, CellPlacement] = {}
        self._use_assignment(assignment, homes or checked_home_cells(assignment))
        self.caches_by_cell: dict[str, list[str]] = {name: [] for name in assignment.cells}
        self._endpoints: dict[str, Endpoint] = {}
        self._first_retry_horizon = assignment.retry_horizon
        self.uncertain_until = _settled_at(assignment) + assignment.retry_horizon

    # Updates of the assignment and of the endpoint list

    def replace_assignment(
        self, now: float, assignment: Assignment, homes: dict[str, str]
    ) -> list[str]:
        """Put a new version in force.

        Tenants that change cells without a migration do so at once. For a while, the cell of their
        earlier attempts is then uncertain. Requests that must be repeated in the same cell go to
        the earlier cell until every director knows the new version, since a director that does not
        know it would repeat them there.

        Args:
            now: The current time.
            assignment: The new version.
            homes: Name of each tenant's home cell in the new version, by tenant.

        Returns:
            Messages for the log about changes of cells.
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
        self._record_unsettled_moves(now, moved_at_once, old_homes, old_migrations)
        messages = self._update_availability(now)
        if moved_at_once:
            messages.insert(0, f"{len(moved_at_once)} tenants change cells without a move")
        return messages

    def _record_unsettled_moves(
        self,
        now: float,
        tenants: list[str],
        old_homes: dict[str, str],
        old_migrations: dict[str, Migration],
    ) -> None:
        """Record the changes of cells that other directors may not know yet.

        After two such changes within that time, other directors may use either earlier cell, so
        that neither is certain.
        """
        pending = {
            tenant: move for tenant, move in self.unsettled_moves.items() if now < move.settled_at
        }
        settled_at = _settled_at(self.assignment)
        for tenant in tenants:
            previous_cell = None
            if tenant not in pending:
                previous_cell = _only_cell(now, old_homes[tenant], old_migrations.get(tenant))
            pending[tenant] = _UnsettledMove(previous_cell, settled_at)
        self.unsettled_moves = pending

    def _moves_at_once(
        self,
        now: float,
        tenant: str,
        old_homes: dict[str, str],
        old_migrations: dict[str, Migration],
    ) -> bool:
        """Return whether the new version changes the cell of a tenant's objects at once.

        This is also assumed if a migration of the old version is in progress, and the new version
        has no equivalent migration (see `migrations.is_equivalent`).
        """
        old = old_migrations.get(tenant)
        new = self.migrations_by_tenant.get(tenant)
        if old is not None and new is not None and migrations.is_equivalent(old, new, now):
            return False
        old_cell = _only_cell(now, old_homes[tenant], old)
        return old_cell is None or old_cell != _only_cell(now, self.homes[tenant], new)

    def set_shuffle_shards(self, shuffle_shards: dict[str, int]) -> None:
        """Set the number of caches of each tenant, by cell; negative numbers are ignored.

        A changed number drops all cached placements.
        """
        shuffle_shards = {cell: count for cell, count in shuffle_shards.items() if count >= 0}
        if shuffle_shards != self.shuffle_shards:
            self.shuffle_shards = shuffle_shards
            self._drop_placements()

    def update_caches(self, now: float, caches: Iterable[ReadyCache]) -> list[str]:
        """Replace the list of ready caches in this zone and return messages for the log."""
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
        messages = []
        for name, availability in self.availability.items():
            cell_caches = self.caches_by_cell[name]
            total_capacity = sum(fractions[cache] for cache in cell_caches)
            if change := availability.update_caches(now, len(cell_caches), total_capacity):
                messages.append(f"cell {name} {change}")
        return messages

    def _drop_placements(self) -> None:
        self._placements.clear()
        self.stable_placements.clear()

    # The placement of one request

    def place(self, now: float, request: PlacementRequest) -> CellPlacement | PlacementFailure:
        """Return the cell and the caches of a request, or the reason why it cannot be placed."""
        tenant = request.tenant
        home = self.homes.get(tenant)
        if home is None:
            return PlacementFailure.NO_CELL
        history = self._history(now, request)
        if self._is_uncertain(now, tenant, history):
            return PlacementFailure.MAY_HAVE_RUN
        cell = self._cell_of_sticky_request(now, tenant, history)
        if isinstance(cell, PlacementFailure):
            return cell
        if cell:
            return self._place_on_route(now, request, _Route(cell), history)
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
        """Record the cell of an admitted request with an idempotency key, for its retries.

        Requests without a key, or of a class that is not `KEYED`, are not recorded.
        """
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
        """Return whether a retry must go to the cell of its first attempt, but the cell is unknown.

        This is so for some time after this placement's first version was written, and after the
        tenant changed cells without a migration. Another director, or this director before a
        restart, may then have used another cell.
        """
        if history.can_run_anywhere or not history.is_retry or history.known_cell is not None:
            return False
        return now < self.uncertain_until or now < self.unsettled_until.get(tenant, 0.0)

    def _cell_of_sticky_request(
        self, now: float, tenant: str, history: RequestHistory
    ) -> str | PlacementFailure:
        """Return the cell in which a request must be placed so that a retry can be recognized.

        The result is empty if the tenant's home cell and migration determine the cell, and a
        failure if no cell is certain, for instance because the known cell was removed.
        """
        if history.can_run_anywhere:
            return ""
        known_cell = history.known_cell
        if known_cell is not None:
            if known_cell not in self.availability:
                return PlacementFailure.MAY_HAVE_RUN
            migration = self.migrations_by_tenant.get(tenant)
            is_migrating = migration is not None and known_cell in (
                migration.source,
                migration.target,
            )
            return "" if is_migrating else known_cell
        return "" if history.is_retry else self._cell_of_first_try(now, tenant)

    def _cell_of_first_try(self, now: float, tenant: str) -> str | PlacementFailure:
        """Return the cell that directors use which do not know the latest version yet.

        The result is empty if every director knows the tenant's cell.
        """
        # Other directors may not know this placement's first version yet.
        if now < self.uncertain_until - self._first_retry_horizon:
            return PlacementFailure.UNSETTLED
        move = self.unsettled_moves.get(tenant)
        if move is None or now >= move.settled_at:
            return ""
        if move.previous_cell not in self.availability:
            return PlacementFailure.UNSETTLED
        return move.previous_cell

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
        """Return the route of an object whose tenant has a migration.

        The other cell is set if the migration is in progress and the other cell has a ready cache.
        """
        is_in_progress = migrations.is_in_progress(migration, now)
        if side == MigrationSide.TARGET and is_in_progress and history.can_run_anywhere:
            home_fraction = self.availability[migration.target].home_fraction(now)
            if not failover.is_served_at_home(key, home_fraction):
                # The target cell is lost or recovering, so the source cell serves the object.
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
            return self._place_in_cell(request.tenant, route)
        if not history.can_run_anywhere:
            if not availability.is_lost:
                return self._place_in_cell(request.tenant, route)
            is_retry = history.is_retry
            return PlacementFailure.MAY_HAVE_RUN if is_retry else PlacementFailure.CELL_LOST
        if failover.is_served_at_home(request.key, availability.home_fraction(now)):
            return self._place_in_cell(request.tenant, route)
        failover_cell = failover.find_failover_cell(self.availability, availability.cell)
        if failover_cell is not None:
            at_failover_cell = self._place_in_cell(request.tenant, _Route(failover_cell.cell.name))
            return CellPlacement(
                failover_cell.cell.name, at_failover_cell.pool, failed_over_from=route.cell
            )
        if availability.is_lost:
            return PlacementFailure.CELL_LOST
        return self._place_in_cell(request.tenant, route)

    def _place_in_cell(self, tenant: str, route: _Route) -> CellPlacement:
        """Return the placement in the route's cell.

        The placement is cached until the ready caches, the assignment or the shuffle shards change,
        or until the cache of placements or of retry budgets is full.
        """
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
        is_migrated = migration is not None and migration.source == route.other_cell
        is_aborted = migration is not None and migration.aborted_at > 0.0
        # After an abort, migrated objects return, so the target cell's caches may fill the source
        # cell's caches.
        can_fill = is_migrated or is_aborted
        if route.cell in self.shuffle_shards:
            # A rollout changes which caches of the cell the tenant uses. The caches that the tenant
            # used before may fill the new ones, so all caches of the cell are fill sources.
            all_caches = self.caches_by_cell[route.cell]
            other_caches = other_caches | {self._endpoints[name]: None for name in all_caches}
            can_fill = True
        return CachePool(
            caches,
            failover_caches=other_caches if is_migrated else {},
            migration_sources=other_caches if can_fill else {},
            retry_budget=self.retry_budget(tenant),
        )

    def _shard(self, tenant: str, cell: Cell) -> dict[Endpoint, None]:
        """Return the endpoints of the tenant's ready caches in a cell."""
        count = self.shuffle_shards.get(cell.name, cell.shuffle_shards)
        names = shuffle_shard(tenant, self.caches_by_cell[cell.name], count)
        return {self._endpoints[name]: None for name in names}

    def retry_budget(self, tenant: str) -> RetryBudget:
        """Return the budget of the director's own retries for a tenant; create it if needed."""
        budget = self.retry_budgets.get(tenant)
        if budget is None:
            if len(self.retry_budgets) >= MAX_CACHED_TENANTS:
                self.retry_budgets.clear()
                self._drop_placements()
            budget = RetryBudget(INITIAL_RETRY_TOKENS)
            self.retry_budgets[tenant] = budget
        return budget

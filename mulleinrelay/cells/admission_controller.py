"""Admission control by tenant and cell.

For each request, the controller finds the tenant and the cell, and admits or rejects the request.
It owns all state of the cells at one director. The routing policy chooses the endpoint of an
admitted request from the pool that the controller returns, and never sees rejected requests.

No I/O and no clock: the time (Unix milliseconds) is an argument. Endpoints are opaque: the
controller only passes them on. Not thread-safe: `CellService` holds its lock during each call.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

from ..policy.model import IDEMPOTENT, KEYED
from . import migrations, rollouts
from .admission_types import AdmissionGrant, AdmissionRejection, AdmissionRequest
from .cell_quotas import AdmissionCandidate, CellQuotas, FailoverTerms
from .cell_state import DirectorCapacity
from .model import Assignment, Limits
from .placement import Placement, checked_home_cells
from .placement_types import CellPlacement, PlacementFailure, PlacementRequest, ReadyCache
from .status import status_report
from .tenant_resolution import TenantResolver
from .tenant_state import TenantState
from .token_bucket import bounded_retry_after

__all__ = [
    "AdmissionController",
    "AdmissionGrant",
    "AdmissionRejection",
    "AdmissionRequest",
    "DirectorCapacity",
    "PreparedAssignment",
    "prepare_assignment",
]

MAX_TENANT_STATES = 20_000  # at this size, the least recently used half is dropped
BODY_KB_PER_SLOT = 16.0  # KB of body that count as one more open request
DEFAULT_WAIT = 1_000.0  # ms: Retry-After if the real wait is not known


@dataclass(slots=True, eq=False)
class PreparedAssignment:
    """An assignment and the indexes that are computed from it.

    The indexes are computed in advance, so that putting the assignment in force is quick.

    Attributes:
        assignment: The assignment.
        tenant_resolver: Index that finds the tenant of a request.
        homes: Name of each tenant's home cell, by tenant; tenants without a cell are missing.
    """

    assignment: Assignment
    tenant_resolver: TenantResolver
    homes: dict[str, str]


def prepare_assignment(assignment: Assignment) -> PreparedAssignment:
    """Compute the indexes of an assignment; this takes seconds for a large assignment.

    Raises:
        ConfigError: If two address or group ranges partially overlap, if two tenants have the same
            range, or if a tenant's home is not the source cell of its migration.
    """
    return PreparedAssignment(
        assignment, TenantResolver(assignment), checked_home_cells(assignment)
    )


class AdmissionController:
    """Admission control of one director, by the assignment in force.

    Attributes:
        assignment: The assignment in force.
        tenant_resolver: Index that finds the tenant of a request.
        placement: Component that finds the cell and the caches of a request.
        capacity: Capacity of this director.
        tenant_states: States of the tenants that have sent requests, by tenant.
        unknown_tenant: State that counts the rejected requests of unknown tenants.
        cell_quotas: Quotas of the cells at this director, and their usage.
        rollout_states: States of the rollouts, by name of the rollout.
        migration_stages: Last logged stage of each migration, by name of the migration; `PLANNED`
            if no stage was logged yet.
    """

    def __init__(
        self,
        now: float,
        assignment: Assignment,
        capacity: DirectorCapacity,
        can_bypass_caches: bool,
    ) -> None:
        """Create a controller that knows no cache yet.

        Args:
            now: The current time; not used.
            assignment: The first version of the assignment.
            capacity: Capacity of this director.
            can_bypass_caches: Whether uncacheable requests bypass the caches.

        Raises:
            ConfigError: As for `prepare_assignment`.
        """
        self.capacity = capacity
        self.tenant_states: dict[str, TenantState] = {}
        self.cell_quotas = CellQuotas(capacity)
        self.rollout_states: dict[str, rollouts.RolloutState] = {}
        prepared = prepare_assignment(assignment)
        self.placement = Placement(assignment, can_bypass_caches, prepared.homes)
        self.unknown_tenant = TenantState(assignment.limits)
        self.migration_stages: dict[str, migrations.MigrationStage] = {}
        self._use_assignment(prepared)

    # Updates of the assignment and the endpoint list, and periodic work

    def replace_assignment(
        self, now: float, assignment: Assignment | PreparedAssignment
    ) -> list[str]:
        """Put a new version of the assignment in force.

        Open requests stay counted, and idempotency keys stay known. A tenant whose limits change
        gets a full token bucket and a full retry budget. A cell whose limits change gets its
        highest concurrency limit.

        Returns:
            Messages for the log.

        Raises:
            ConfigError: As for `prepare_assignment`, if the assignment is not prepared yet; the old
                version then stays in force.
        """
        if isinstance(assignment, PreparedAssignment):
            prepared = assignment
        else:
            prepared = prepare_assignment(assignment)
        new = prepared.assignment
        messages = self.placement.replace_assignment(now, new, prepared.homes)
        self._use_assignment(prepared)
        summary = f"version {new.version}: {len(new.cells)} cells, {len(new.tenants)} tenants"
        return [summary, *messages]

    def _use_assignment(self, prepared: PreparedAssignment) -> None:
        assignment = prepared.assignment
        self.assignment = assignment
        self.tenant_resolver = prepared.tenant_resolver
        self.rollout_states = {
            name: self.rollout_states.get(name) or rollouts.RolloutState(rollout)
            for name, rollout in assignment.rollouts.items()
        }
        for name, state in self.rollout_states.items():
            state.rollout = assignment.rollouts[name]
        self.cell_quotas.set_cells(assignment.cells)
        self._update_tenant_limits()
        self.placement.set_shuffle_shards(rollouts.shuffle_shards_by_cell(self.rollout_states))
        self.migration_stages = {
            name: self.migration_stages.get(name, migrations.MigrationStage.PLANNED)
            for name in assignment.migrations
        }

    def _update_tenant_limits(self) -> None:
        for name, state in self.tenant_states.items():
            limits = self._limits_of(name)
            state.cell_limits.clear()
            if limits != state.limits:
                state.set_limits(limits)

    def _limits_of(self, tenant: str) -> Limits:
        known = self.assignment.tenants.get(tenant)
        tenant_limits = known.limits if known is not None else self.assignment.limits
        home = self.placement.homes.get(tenant, "")
        return rollouts.limits_in_force(self.rollout_states, home, tenant_limits)

    def update_caches(self, now: float, caches: Iterable[ReadyCache]) -> list[str]:
        """Replace the list of ready caches in this zone and return messages for the log."""
        return self.placement.update_caches(now, caches)

    def step(self, now: float) -> list[str]:
        """Advance the rollouts, and find the migrations that have entered a new stage.

        The caller does this several times a second.

        Returns:
            Messages for the log about changed rollouts and migrations.
        """
        return self._log_migrations(now) + self._advance_rollouts(now)

    def _log_migrations(self, now: float) -> list[str]:
        messages = []
        for name, migration in self.assignment.migrations.items():
            stage = migrations.stage_at(migration, now)
            if stage != self.migration_stages[name]:
                self.migration_stages[name] = stage
                fraction = migrations.migrated_fraction(migration, now)
                messages.append(
                    f"move {name} {stage.value}: "
                    f"{fraction:.2f} of {migration.source} in {migration.target}"
                )
        return messages

    def _advance_rollouts(self, now: float) -> list[str]:
        messages = []
        for name, state in self.rollout_states.items():
            if change := state.advance(now):
                wave_count = len(state.rollout.waves)
                messages.append(f"release {name} {change}, wave {state.wave} of {wave_count}")
                self._update_tenant_limits()
                shuffle_shards = rollouts.shuffle_shards_by_cell(self.rollout_states)
                self.placement.set_shuffle_shards(shuffle_shards)
        return messages

    # Connections and requests

    def can_admit_connection(self, address: str, open_connections: int) -> bool:
        """Return whether one more connection from an address is allowed.

        Args:
            address: The client's address.
            open_connections: Number of open connections from all addresses of the tenant to which
                `address` belongs.
        """
        tenant = self.tenant_resolver.tenant_of_address(address)
        limit = self._limits_of(tenant).max_connections if tenant else 0
        return not limit or open_connections < limit

    def admit_request(
        self, now: float, request: AdmissionRequest
    ) -> AdmissionGrant | AdmissionRejection:
        """Admit or reject a request.

        The caller must pass the grant of an admitted request to `complete_request` later. Only
        admitted requests consume quota. A request that `CellQuotas.check` rejects still counts as
        demand in the rates and shares that were checked until then.

        The retry budget of the tenant's clients limits only retries of idempotent requests. Every
        other admitted request counts as a first attempt, which earns a fraction of a retry.
        """
        tenant = self.tenant_resolver.resolve(request.tenant_name, request.address, request.group)
        if tenant is None:
            return self._reject(self.unknown_tenant, request, "unknown tenant", DEFAULT_WAIT)
        state = self.tenant_states.get(tenant) or self._add_tenant_state(tenant)
        state.last_used_at = now
        is_idempotent = request.request_class.idempotency == IDEMPOTENT
        uses_retry_budget = is_idempotent and request.is_retry
        if wait := state.token_bucket.wait_time(now):
            return self._reject(state, request, "rate of the tenant", wait)
        if uses_retry_budget and not state.retry_budget.can_retry():
            return self._reject(state, request, "retries of the tenant", DEFAULT_WAIT)
        placement_request = None
        placement = self.placement.stable_placements.get(tenant) if is_idempotent else None
        if placement is None:
            placement_request = _placement_request(tenant, request)
            result = self.placement.place(now, placement_request)
            if isinstance(result, PlacementFailure):
                return self._reject_unplaced(state, request, result)
            placement = result
        candidate = self._build_candidate(request, tenant, state, placement)
        if exceeded := self.cell_quotas.check(now, candidate):
            return self._reject(state, request, exceeded.reason, exceeded.wait)
        # A request with a stable placement is idempotent. Its retries may run in any cell, so its
        # cell need not be recorded.
        if placement_request is not None:
            self.placement.record_admission(now, placement_request, placement)
        if uses_retry_budget:
            state.retry_budget.consume()
        else:
            state.retry_budget.record_first_attempt()
        return self.cell_quotas.acquire(now, candidate, placement.pool)

    def complete_request(
        self,
        now: float,
        grant: AdmissionGrant,
        is_served: bool,
        is_client_waiting: bool,
        delay: float,
    ) -> str:
        """Release the quota of a request and record its outcome; a second call does nothing.

        Args:
            now: The current time.
            grant: The grant of the request.
            is_served: Whether the request was served.
            is_client_waiting: Whether the client had neither disconnected nor cancelled the
                request. If False, the outcome is not counted for the cell and the rollouts. The
                delay of a served request still counts for the cell's concurrency limit.
            delay: Time from the request's arrival to its answer, ms, without the time of sending
                the answer.

        Returns:
            A message for the log if the cell's concurrency limit was reduced, else an empty string.
        """
        if grant.is_completed:
            return ""
        grant.is_completed = True
        self.cell_quotas.release(grant)
        cell_state = grant.cell_state
        if is_client_waiting:
            cell_state.completed_count += 1
            cell_state.served_count += is_served
            for state in self.rollout_states.values():
                state.record(now, grant.cell, is_served, delay)
        concurrency_limit = cell_state.concurrency_limit
        if is_served and concurrency_limit.record_completion(now, delay):
            limit = concurrency_limit.current
            return f"cell {grant.cell}: concurrency limit reduced to {limit:.0f} open requests"
        return ""

    def status(self, now: float) -> dict[str, Any]:
        """Return the state of cells, migrations and rollouts, in the form of `status_report`."""
        return status_report(self, now)

    # Steps of an admission

    def _build_candidate(
        self, request: AdmissionRequest, tenant: str, state: TenantState, placement: CellPlacement
    ) -> AdmissionCandidate:
        body_kb = request.body_bytes / 1024.0
        candidate = AdmissionCandidate(
            tenant,
            self.assignment.tenants[tenant].weight,
            state,
            self.assignment.cells[placement.cell],
            body_kb,
            slots=1.0 + body_kb / BODY_KB_PER_SLOT,
        )
        if placement.failed_over_from:
            lost_cell = self.assignment.cells[placement.failed_over_from]
            candidate.failover = FailoverTerms(
                lost_cell=lost_cell.name,
                quota=lost_cell.failover_quota,
                failover_capacity_fraction=self.placement.availability[
                    placement.cell
                ].capacity_fraction(),
            )
        return candidate

    def _add_tenant_state(self, tenant: str) -> TenantState:
        if len(self.tenant_states) >= MAX_TENANT_STATES:
            # Open requests stay counted in the cells, and their grants still refer to the dropped
            # state. The tenant's next request gets a new state with unused quotas.
            states_by_last_use = sorted(
                self.tenant_states.items(), key=lambda item: item[1].last_used_at
            )
            self.tenant_states = dict(states_by_last_use[MAX_TENANT_STATES // 2 :])
        state = TenantState(self._limits_of(tenant))
        self.tenant_states[tenant] = state
        return state

    # Rejections

    def _reject_unplaced(
        self, state: TenantState, request: AdmissionRequest, failure: PlacementFailure
    ) -> AdmissionRejection:
        rejection = self._reject(state, request, failure.value, DEFAULT_WAIT)
        if failure == PlacementFailure.MAY_HAVE_RUN:
            rejection.is_never_executed = False
        return rejection

    def _reject(
        self, state: TenantState, request: AdmissionRequest, reason: str, wait: float
    ) -> AdmissionRejection:
        state.rejected_count += 1
        retry_after = bounded_retry_after(wait, self.capacity.max_retry_after)
        return AdmissionRejection(reason, retry_after, _is_never_executed(request))


def _placement_request(tenant: str, request: AdmissionRequest) -> PlacementRequest:
    return PlacementRequest(
        tenant,
        request.key_number(),
        request.request_class,
        request.idempotency_key,
        request.is_retry,
    )


def _is_never_executed(request: AdmissionRequest) -> bool:
    """Return whether the client can repeat a rejected request without harm.

    The director sends no attempt of a rejected request. If the request is a retry, its first
    attempt may have run. This is harmless if the request is idempotent, or if all endpoints know
    its idempotency key and so drop duplicates.
    """
    request_class = request.request_class
    is_known_everywhere = request_class.idempotency == KEYED and request_class.key_scope == "all"
    return not request.is_retry or request_class.idempotency == IDEMPOTENT or is_known_everywhere

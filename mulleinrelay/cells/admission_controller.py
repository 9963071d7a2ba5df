"""All that cells decide at one director: whose request, which cell and pool, and whether there is
room.

Pure: time is passed in, nodes are opaque. The decision module still picks the node, of the pool
given here. What is turned away here has cost no round of the module.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

from ..policy.model import IDEMPOTENT, KEYED, CachePool, RequestClass
from . import migrations, rollouts
from .concurrency_limit import ConcurrencyLimit
from .failover import FailoverQuota
from .fair_share import ConcurrencyShare, FairShares
from .model import Assignment, Cell, Limits
from .placement import Placement, PlacementFailure, settled_homes
from .retry_budget import ClientRetryBudget
from .tenant_resolution import TenantResolver
from .token_bucket import BucketShare, FairTokenBucket, TokenBucket, bounded_retry_after

ACCOUNTS_MOST = 20_000
BODY_SLOT = 16.0  # KB of a body that count as one more open request
WIDTH_LEAST = 4.0
SEAT_KEPT = 30_000.0  # ms, less than shares remember a party
LOST_WAIT = 1_000.0
TENANTS_TOLD = 50  # of those that were turned away most


@dataclass(slots=True, frozen=True)
class DirectorCapacity:
    """What the director itself has."""

    max_open_requests: float  # requests open
    rate: float = 0.0  # requests a second that it can bear; 0: not bounded here
    max_retry_after: float = 5_000.0


@dataclass(slots=True, eq=False)
class AdmissionRequest:
    """What tells whose request it is and how it may be repeated."""

    tenant_name: str
    address: str
    group: int
    key: int | str  # the object; as hex digits it is read only where it is wanted
    request_class: RequestClass
    idempotency_key: str = ""
    is_retry: bool = False
    body_bytes: int = 0  # bytes


@dataclass(slots=True, eq=False)
class AdmissionRejection:
    """Turned away. `harmless`: nothing of it can have run, so it is rejected; else it fails."""

    reason: str
    retry_after_ms: float
    is_never_executed: bool


class TenantState:
    """One tenant at this director."""

    __slots__ = (
        "limits",
        "token_bucket",
        "retry_budget",
        "open_body_kb",
        "rejected_count",
        "admitted_count",
        "last_used_at",
        "cell_limits",
    )

    def __init__(self, limits: Limits) -> None:
        self.set_limits(limits)
        self.open_body_kb, self.rejected_count, self.admitted_count, self.last_used_at = (
            0.0,
            0,
            0,
            0.0,
        )

    def set_limits(self, limits: Limits) -> None:
        self.limits = limits
        self.token_bucket, self.retry_budget = (
            TokenBucket(limits.rate, limits.burst),
            ClientRetryBudget(limits.retry_ratio),
        )
        self.cell_limits: dict[str, TenantCellLimits] = {}  # by cell


@dataclass(slots=True, eq=False)
class TenantCellLimits:
    """A tenant's place in one cell: looked up once, as long as its shares are in use."""

    cell: Cell
    cell_state: "CellState"
    share: ConcurrencyShare
    cell_share: ConcurrencyShare
    weight: float


class CellState:
    """One cell at this director: its width, its tenants' shares of that, and its rate."""

    def __init__(self, board: DirectorCapacity, limits: Limits) -> None:
        self.token_bucket = FairTokenBucket(limits.rate)
        self.limits = limits
        most = min(board.max_open_requests, limits.max_open_requests or board.max_open_requests)
        self.concurrency_limit = ConcurrencyLimit(min(WIDTH_LEAST, most), most)
        self.shares = FairShares(most)
        self.failover_quotas: dict[str, FailoverQuota] = {}
        self.served_count, self.completed_count, self.rejected_count = 0, 0, 0
        self.rate_updated_at = -1e12


@dataclass(slots=True, eq=False)
class AdmissionGrant:
    """Room for one request, to be settled once."""

    tenant: str
    cell: str
    pool: CachePool
    slots: float
    body_kb: float
    tenant_state: TenantState
    cell_state: CellState
    share: ConcurrencyShare
    cell_share: ConcurrencyShare
    failover_quota: FailoverQuota | None
    is_completed: bool = field(default=False)


@dataclass(slots=True, eq=False)
class PreparedAssignment:
    """A charter with what is reckoned from it alone, so that taking it over holds no request up."""

    assignment: Assignment
    tenant_resolver: TenantResolver
    homes: dict[str, str]


def prepare_assignment(charter: Assignment) -> PreparedAssignment:
    """Raises ConfigError where the charter can't be used."""
    return PreparedAssignment(charter, TenantResolver(charter), settled_homes(charter))


class AdmissionController:
    def __init__(
        self, now: float, charter: Assignment, board: DirectorCapacity, may_pass_by: bool
    ) -> None:
        self.capacity = board
        self.tenant_states: dict[str, TenantState] = {}
        self.cell_states: dict[str, CellState] = {}
        self.cell_shares = FairShares(board.max_open_requests)
        self.cell_rates = FairTokenBucket(board.rate)
        self.rollout_states: dict[str, rollouts.RolloutState] = {}
        ready = prepare_assignment(charter)
        self.placement = Placement(charter, may_pass_by, ready.homes)
        self.unknown_tenant = TenantState(charter.limits)  # whose requests name no tenant of ours
        self.migration_stages: dict[str, migrations.MigrationStage] = {}
        self.step_due = 0.0
        self._take_over(now, ready)

    # What changes

    def replace_assignment(self, now: float, ready: "Assignment | PreparedAssignment") -> list[str]:
        """A new version of the file is in force; gives words for the log. Raises ConfigError, and
        then the old one stays. Accounts, widths and idempotency keys are kept.
        """
        ready = ready if isinstance(ready, PreparedAssignment) else prepare_assignment(ready)
        charter = ready.assignment
        words = self.placement.replace_assignment(now, charter, ready.homes)
        self._take_over(now, ready)
        first = (
            f"version {charter.version}: {len(charter.cells)} cells, {len(charter.tenants)} tenants"
        )
        return [first, *words]

    def _take_over(self, now: float, ready: "PreparedAssignment") -> None:
        charter = ready.assignment
        self.assignment, self.tenant_resolver = charter, ready.tenant_resolver
        self.rollout_states = {
            name: self.rollout_states.get(name) or rollouts.RolloutState(release)
            for name, release in charter.rollouts.items()
        }
        for name, course in self.rollout_states.items():
            course.rollout = charter.rollouts[name]
        for name, cell in charter.cells.items():
            room = self.cell_states.get(name)
            if room is None or room.limits != cell.limits:
                self.cell_states[name] = self._renewed(room, cell.limits)
        self.cell_states = {name: self.cell_states[name] for name in charter.cells}
        self._renew_accounts()
        self.placement.set_shuffle_shards(rollouts.shuffle_shards_by_cell(self.rollout_states))
        self.migration_stages = {
            name: self.migration_stages.get(name, migrations.MigrationStage.PLANNED)
            for name in charter.migrations
        }

    def _renewed(self, old: CellState | None, limits: Limits) -> CellState:
        room = CellState(self.capacity, limits)
        if old is not None:  # what is open stays counted where it was taken
            old.token_bucket.set_rate(limits.rate)
            old.limits, old.concurrency_limit = limits, room.concurrency_limit
            old.shares.capacity = room.shares.capacity
            return old
        return room

    def _renew_accounts(self) -> None:
        for name, account in self.tenant_states.items():
            limits = self._limits(name)
            account.cell_limits.clear()
            if limits != account.limits:
                account.set_limits(limits)

    def _limits(self, tenant: str) -> Limits:
        known = self.assignment.tenants.get(tenant)
        own = known.limits if known is not None else self.assignment.limits
        return rollouts.limits_in_force(
            self.rollout_states, self.placement.homes.get(tenant, ""), own
        )

    def update_caches(self, now: float, caches: Iterable[tuple[str, Any, float]]) -> list[str]:
        """The ready caches of this location have changed: name, node, warmth."""
        return self.placement.update_caches(now, caches)

    def step(self, now: float) -> list[str]:
        """Releases and moves go on by the clock; gives words for the log. To be called some times a
        second."""
        words = []
        for name, move in self.assignment.migrations.items():
            if (stage := migrations.stage_at(move, now)) != self.migration_stages[name]:
                self.migration_stages[name] = stage
                share = migrations.migrated_fraction(move, now)
                words.append(
                    f"move {name} {stage.value}: {share:.2f} of {move.source} in {move.target}"
                )
        for name, course in self.rollout_states.items():
            if word := course.advance(now):
                words.append(
                    f"release {name} {word}, wave {course.wave} of {len(course.rollout.waves)}"
                )
                self._renew_accounts()
                self.placement.set_shuffle_shards(
                    rollouts.shuffle_shards_by_cell(self.rollout_states)
                )
        return words

    # One request

    def can_admit_connection(self, address: str, held: int) -> bool:
        """Whether one more connection from an address may come, where its tenant holds so many."""
        tenant = self.tenant_resolver.tenant_of_address(address)
        most = self._limits(tenant).max_connections if tenant else 0
        return not most or held < most

    def admit_request(
        self, now: float, asking: AdmissionRequest
    ) -> AdmissionGrant | AdmissionRejection:
        tenant = self.tenant_resolver.resolve(asking.tenant_name, asking.address, asking.group)
        if tenant is None:
            self.unknown_tenant.rejected_count += 1
            return self._denied(asking, "unknown tenant", LOST_WAIT)
        account = self.tenant_states.get(tenant) or self._open_account(tenant)
        account.last_used_at = now
        retry = asking.is_retry and asking.request_class.idempotency == IDEMPOTENT
        if wait := account.token_bucket.wait_time(now):
            return self._deny(account, asking, "rate of the tenant", wait)
        if retry and not account.retry_budget.can_retry():
            return self._deny(account, asking, "retries of the tenant", LOST_WAIT)
        spot = (
            self.placement.stable_placements.get(tenant)
            if asking.request_class.idempotency == IDEMPOTENT
            else None
        )
        if spot is None:
            key = int(asking.key, 16) if isinstance(asking.key, str) else asking.key
            spot = self.placement.place(
                now, tenant, key, asking.request_class, asking.idempotency_key, asking.is_retry
            )
        if isinstance(spot, PlacementFailure):
            account.rejected_count += 1
            harmless = spot != PlacementFailure.MAY_HAVE_RUN and self._harmless(asking)
            return AdmissionRejection(
                spot.value, bounded_retry_after(LOST_WAIT, self.capacity.max_retry_after), harmless
            )
        seat = account.cell_limits.get(spot.cell)
        if (
            seat is None
            or now > seat.share.last_requested_at + SEAT_KEPT
            or now > seat.cell_share.last_requested_at + SEAT_KEPT
        ):
            seat = self._take_seat(account, tenant, spot.cell)
        room, share, cell_share = seat.cell_state, seat.share, seat.cell_share
        body = asking.body_bytes / 1024.0
        amount = 1.0 + body / BODY_SLOT
        lanes = None
        if self.cell_rates.rate or room.limits.rate:
            lane = self.cell_rates.share_for(spot.cell, seat.cell.weight)
            lanes = lane, self._lane(now, room, lane, tenant, seat.weight)
            if wait := self.cell_rates.wait_time(lane, now) or room.token_bucket.wait_time(
                lanes[1], now
            ):
                return self._deny(account, asking, "rate of the cell", wait, room)
        if account.limits.max_body_kb and account.open_body_kb + body > account.limits.max_body_kb:
            return self._deny(account, asking, "bodies of the tenant", LOST_WAIT, room)
        room.concurrency_limit.record_open(room.shares.open + amount)
        if room.shares.open + amount > 0.5 * room.shares.capacity:
            # So much less is lent inside the cell that a lender's return still fits into what it
            # may have
            reach = self.cell_shares.reachable(cell_share, now)
            room.shares.capacity = min(room.concurrency_limit.current, reach) / (
                1.0 + FairShares.OVERCOMMIT
            )
        if not room.shares.request(share, now, amount):
            return self._deny(account, asking, "share of the tenant", 0.0, room)
        if not self.cell_shares.request(cell_share, now, amount):
            return self._deny(account, asking, "share of the cell", 0.0, room)
        guests = None
        if spot.failed_over_from:
            guests = room.failover_quotas.setdefault(spot.failed_over_from, FailoverQuota())
            home, host = (
                self.assignment.cells[spot.failed_over_from],
                self.placement.availability[spot.cell],
            )
            rate = room.token_bucket.rate or (
                self.cell_rates.guaranteed_rate(lanes[0]) if lanes else 0.0
            )
            if wait := guests.wait_time(
                now, home.failover_quota, host.mean_warmth(), room.concurrency_limit.current, rate
            ):
                return self._deny(account, asking, "reserve of the neighbour", wait, room)
            guests.acquire(now)
        account.token_bucket.consume(now)
        account.admitted_count += 1
        if retry:
            account.retry_budget.consume()
        else:
            account.retry_budget.record_first_attempt()
        if lanes:
            self.cell_rates.consume(lanes[0], now)
            room.token_bucket.consume(lanes[1], now)
        share.open += amount
        room.shares.open += amount
        cell_share.open += amount
        self.cell_shares.open += amount
        account.open_body_kb += body
        if asking.idempotency_key:
            self.placement.record_admission(
                now, tenant, asking.idempotency_key, asking.request_class, spot
            )
        return AdmissionGrant(
            tenant, spot.cell, spot.pool, amount, body, account, room, share, cell_share, guests
        )

    def complete_request(
        self, now: float, grant: AdmissionGrant, good: bool, owed: bool, delay: float
    ) -> str:
        """The request is over; `good`: served, `owed`: its client still waited, `delay`: ms, its
        sending time aside. Gives a word where the cell's width has shrunk.
        """
        if grant.is_completed:
            return ""
        grant.is_completed = True
        room, amount = grant.cell_state, grant.slots
        room.shares.release(grant.share, amount)
        self.cell_shares.release(grant.cell_share, amount)
        if grant.body_kb:
            grant.tenant_state.open_body_kb = max(
                0.0, grant.tenant_state.open_body_kb - grant.body_kb
            )
        if grant.failover_quota is not None:
            grant.failover_quota.release()
        if owed:
            room.completed_count += 1
            room.served_count += good
            if self.rollout_states:
                for course in self.rollout_states.values():
                    course.record(now, grant.cell, good, delay)
        if good and room.concurrency_limit.record_completion(now, delay):
            return (
                f"cell {grant.cell} narrowed to {room.concurrency_limit.current:.0f} requests open"
            )
        return ""

    def _lane(
        self, now: float, room: CellState, lane: BucketShare, tenant: str, weight: float
    ) -> BucketShare:
        own = room.token_bucket.share_for(tenant, weight)
        if (
            not room.limits.rate
            and self.cell_rates.rate
            and now >= room.rate_updated_at + FairTokenBucket.RECOMPUTE_INTERVAL
        ):
            room.rate_updated_at = (
                now  # what the cell may reach of the director's rate is shared by its tenants
            )
            room.token_bucket.set_rate(self.cell_rates.reachable_rate(lane))
        return own

    def _take_seat(self, account: TenantState, tenant: str, cell: str) -> TenantCellLimits:
        room, weight = self.cell_states[cell], self.assignment.tenants[tenant].weight
        held = self.assignment.cells[cell]
        seat = account.cell_limits[cell] = TenantCellLimits(
            held,
            room,
            room.shares.share_for(tenant, weight, account.limits.max_open_requests),
            self.cell_shares.share_for(cell, held.weight),
            weight,
        )
        return seat

    def _open_account(self, tenant: str) -> TenantState:
        # the least lately used half goes; what is open is in the grants
        if len(self.tenant_states) >= ACCOUNTS_MOST:
            kept = sorted(self.tenant_states.items(), key=lambda held: held[1].last_used_at)[
                ACCOUNTS_MOST // 2 :
            ]
            self.tenant_states = dict(kept)
        account = self.tenant_states[tenant] = TenantState(self._limits(tenant))
        return account

    def _deny(
        self,
        account: TenantState,
        asking: AdmissionRequest,
        why: str,
        wait: float,
        room: CellState | None = None,
    ) -> AdmissionRejection:
        account.rejected_count += 1
        if room is not None:
            room.rejected_count += 1
        return self._denied(asking, why, wait)

    def _denied(self, asking: AdmissionRequest, why: str, wait: float) -> AdmissionRejection:
        return AdmissionRejection(
            why, bounded_retry_after(wait, self.capacity.max_retry_after), self._harmless(asking)
        )

    def _harmless(self, asking: AdmissionRequest) -> bool:
        """Whether a client that is rejected may come again: no attempt of this request has gone
        out, but what it repeats may have run.
        """
        case = asking.request_class
        everywhere = case.idempotency == KEYED and case.key_scope == "all"
        return not asking.is_retry or case.idempotency == IDEMPOTENT or everywhere

    # For staff

    def status(self, now: float) -> dict[str, Any]:
        """Cells, moves and releases as this director has them; plain figures."""
        held = self.placement
        most = sorted(self.tenant_states.items(), key=lambda one: (-one[1].rejected_count, one[0]))
        return {
            "version": self.assignment.version,
            "at": round(now),
            "open": self.cell_shares.open,
            "unknown_denied": self.unknown_tenant.rejected_count,
            "cells": {
                name: {
                    "caches": held.caches_by_cell[name],
                    "lost": held.availability[name].is_lost,
                    "home_share": round(held.availability[name].home_fraction(now), 3),
                    "warmth": round(held.availability[name].mean_warmth(), 3),
                    "open": room.shares.open,
                    "width": round(room.concurrency_limit.current, 1),
                    "served": room.served_count,
                    "settled": room.completed_count,
                    "denied": room.rejected_count,
                }
                for name, room in self.cell_states.items()
            },
            "moves": {
                name: {
                    "stage": migrations.stage_at(move, now).value,
                    "from": move.source,
                    "to": move.target,
                    "share": round(migrations.migrated_fraction(move, now), 4),
                }
                for name, move in self.assignment.migrations.items()
            },
            "releases": {
                name: {
                    "phase": course.phase().value,
                    "wave": course.wave,
                    "why": course.rollback_reason,
                    "cells": sorted(course.reached_at),
                }
                for name, course in self.rollout_states.items()
            },
            "tenants": {
                name: {
                    "home": held.homes.get(name, ""),
                    "granted": account.admitted_count,
                    "denied": account.rejected_count,
                }
                for name, account in most[:TENANTS_TOLD]
            },
        }

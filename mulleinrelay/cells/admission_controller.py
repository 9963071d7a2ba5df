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
from .failover import FailoverQuota
from .limits import FairPace, Lane, Pace, Retries, Share, Shares, Width, advice
from .model import Assignment, Cell, Limits
from .placement import Placement, Unplaced, settled_homes
from .tenant_resolution import TenantResolver

ACCOUNTS_MOST = 20_000
BODY_SLOT = 16.0  # KB of a body that count as one more open request
WIDTH_LEAST = 4.0
SEAT_KEPT = 30_000.0  # ms, less than shares remember a party
LOST_WAIT = 1_000.0
TENANTS_TOLD = 50  # of those that were turned away most


@dataclass(slots=True, frozen=True)
class DirectorCapacity:
    """What the director itself has."""

    open_most: float  # requests open
    rate: float = 0.0  # requests a second that it can bear; 0: not bounded here
    come_back_most: float = 5_000.0


@dataclass(slots=True, eq=False)
class Asking:
    """What tells whose request it is and how it may be repeated."""

    told: str
    address: str
    group: int
    key: int | str  # the object; as hex digits it is read only where it is wanted
    request_class: RequestClass
    idempotency_key: str = ""
    repeated: bool = False
    body: int = 0  # bytes


@dataclass(slots=True, eq=False)
class AdmissionRejection:
    """Turned away. `harmless`: nothing of it can have run, so it is rejected; else it fails."""

    reason: str
    retry_after_ms: float
    is_never_executed: bool


class TenantState:
    """One tenant at this director."""

    __slots__ = ("limits", "pace", "retries", "body", "denied", "granted", "used", "seats")

    def __init__(self, limits: Limits) -> None:
        self.renew(limits)
        self.body, self.denied, self.granted, self.used = 0.0, 0, 0, 0.0

    def renew(self, limits: Limits) -> None:
        self.limits = limits
        self.pace, self.retries = Pace(limits.rate, limits.burst), Retries(limits.retry_ratio)
        self.seats: dict[str, TenantCellLimits] = {}  # by cell


@dataclass(slots=True, eq=False)
class TenantCellLimits:
    """A tenant's place in one cell: looked up once, as long as its shares are in use."""

    cell: Cell
    room: "CellState"
    share: Share
    cell_share: Share
    weight: float


class CellState:
    """One cell at this director: its width, its tenants' shares of that, and its rate."""

    def __init__(self, board: DirectorCapacity, limits: Limits) -> None:
        self.rates = FairPace(limits.rate)
        self.limits = limits
        most = min(board.open_most, limits.max_open_requests or board.open_most)
        self.width = Width(min(WIDTH_LEAST, most), most)
        self.shares = Shares(most)
        self.guests: dict[str, FailoverQuota] = {}
        self.good, self.total, self.denied = 0, 0, 0
        self.rated_at = -1e12


@dataclass(slots=True, eq=False)
class AdmissionGrant:
    """Room for one request, to be settled once."""

    tenant: str
    cell: str
    pool: CachePool
    amount: float
    body: float
    account: TenantState
    room: CellState
    share: Share
    cell_share: Share
    guests: FailoverQuota | None
    settled: bool = field(default=False)


@dataclass(slots=True, eq=False)
class PreparedAssignment:
    """A charter with what is reckoned from it alone, so that taking it over holds no request up."""

    assignment: Assignment
    naming: TenantResolver
    homes: dict[str, str]


def prepare_assignment(charter: Assignment) -> PreparedAssignment:
    """Raises ConfigError where the charter can't be used."""
    return PreparedAssignment(charter, TenantResolver(charter), settled_homes(charter))


class AdmissionController:
    def __init__(
        self, now: float, charter: Assignment, board: DirectorCapacity, may_pass_by: bool
    ) -> None:
        self.board = board
        self.accounts: dict[str, TenantState] = {}
        self.rooms: dict[str, CellState] = {}
        self.cells = Shares(board.open_most)
        self.rates = FairPace(board.rate)
        self.courses: dict[str, rollouts.Course] = {}
        ready = prepare_assignment(charter)
        self.placement = Placement(charter, may_pass_by, ready.homes)
        self.unknown = TenantState(charter.limits)  # whose requests name no tenant of ours
        self.stages: dict[str, migrations.MigrationStage] = {}
        self.step_due = 0.0
        self._take_over(now, ready)

    # What changes

    def replace_assignment(self, now: float, ready: "Assignment | PreparedAssignment") -> list[str]:
        """A new version of the file is in force; gives words for the log. Raises ConfigError, and
        then the old one stays. Accounts, widths and idempotency keys are kept.
        """
        ready = ready if isinstance(ready, PreparedAssignment) else prepare_assignment(ready)
        charter = ready.assignment
        words = self.placement.renew(now, charter, ready.homes)
        self._take_over(now, ready)
        first = (
            f"version {charter.version}: {len(charter.cells)} cells, {len(charter.tenants)} tenants"
        )
        return [first, *words]

    def _take_over(self, now: float, ready: "PreparedAssignment") -> None:
        charter = ready.assignment
        self.assignment, self.naming = charter, ready.naming
        self.courses = {
            name: self.courses.get(name) or rollouts.Course(release)
            for name, release in charter.rollouts.items()
        }
        for name, course in self.courses.items():
            course.release = charter.rollouts[name]
        for name, cell in charter.cells.items():
            room = self.rooms.get(name)
            if room is None or room.limits != cell.limits:
                self.rooms[name] = self._renewed(room, cell.limits)
        self.rooms = {name: self.rooms[name] for name in charter.cells}
        self._renew_accounts()
        self.placement.reshuffle(rollouts.shuffles(self.courses))
        self.stages = {
            name: self.stages.get(name, migrations.MigrationStage.PLANNED)
            for name in charter.migrations
        }

    def _renewed(self, old: CellState | None, limits: Limits) -> CellState:
        room = CellState(self.board, limits)
        if old is not None:  # what is open stays counted where it was taken
            old.rates.renew(limits.rate)
            old.limits, old.width = limits, room.width
            old.shares.width = room.shares.width
            return old
        return room

    def _renew_accounts(self) -> None:
        for name, account in self.accounts.items():
            limits = self._limits(name)
            account.seats.clear()
            if limits != account.limits:
                account.renew(limits)

    def _limits(self, tenant: str) -> Limits:
        known = self.assignment.tenants.get(tenant)
        own = known.limits if known is not None else self.assignment.limits
        return rollouts.in_force(self.courses, self.placement.homes.get(tenant, ""), own)

    def update_caches(self, now: float, caches: Iterable[tuple[str, Any, float]]) -> list[str]:
        """The ready caches of this location have changed: name, node, warmth."""
        return self.placement.listed(now, caches)

    def step(self, now: float) -> list[str]:
        """Releases and moves go on by the clock; gives words for the log. To be called some times a
        second."""
        words = []
        for name, move in self.assignment.migrations.items():
            if (stage := migrations.stage(move, now)) != self.stages[name]:
                self.stages[name] = stage
                share = migrations.shifted(move, now)
                words.append(
                    f"move {name} {stage.value}: {share:.2f} of {move.source} in {move.target}"
                )
        for name, course in self.courses.items():
            if word := course.step(now):
                words.append(
                    f"release {name} {word}, wave {course.wave} of {len(course.release.waves)}"
                )
                self._renew_accounts()
                self.placement.reshuffle(rollouts.shuffles(self.courses))
        return words

    # One request

    def can_admit_connection(self, address: str, held: int) -> bool:
        """Whether one more connection from an address may come, where its tenant holds so many."""
        tenant = self.naming.of_address(address)
        most = self._limits(tenant).max_connections if tenant else 0
        return not most or held < most

    def admit_request(self, now: float, asking: Asking) -> AdmissionGrant | AdmissionRejection:
        tenant = self.naming.tenant(asking.told, asking.address, asking.group)
        if tenant is None:
            self.unknown.denied += 1
            return self._denied(asking, "unknown tenant", LOST_WAIT)
        account = self.accounts.get(tenant) or self._open_account(tenant)
        account.used = now
        retry = asking.repeated and asking.request_class.idempotency == IDEMPOTENT
        if wait := account.pace.wait(now):
            return self._deny(account, asking, "rate of the tenant", wait)
        if retry and not account.retries.may():
            return self._deny(account, asking, "retries of the tenant", LOST_WAIT)
        spot = (
            self.placement.steady.get(tenant)
            if asking.request_class.idempotency == IDEMPOTENT
            else None
        )
        if spot is None:
            key = int(asking.key, 16) if isinstance(asking.key, str) else asking.key
            spot = self.placement.spot(
                now, tenant, key, asking.request_class, asking.idempotency_key, asking.repeated
            )
        if isinstance(spot, Unplaced):
            account.denied += 1
            harmless = spot != Unplaced.UNPROVEN and self._harmless(asking)
            return AdmissionRejection(
                spot.value, advice(LOST_WAIT, self.board.come_back_most), harmless
            )
        seat = account.seats.get(spot.cell)
        if (
            seat is None
            or now > seat.share.asked + SEAT_KEPT
            or now > seat.cell_share.asked + SEAT_KEPT
        ):
            seat = self._take_seat(account, tenant, spot.cell)
        room, share, cell_share = seat.room, seat.share, seat.cell_share
        body = asking.body / 1024.0
        amount = 1.0 + body / BODY_SLOT
        lanes = None
        if self.rates.rate or room.limits.rate:
            lane = self.rates.lane(spot.cell, seat.cell.weight)
            lanes = lane, self._lane(now, room, lane, tenant, seat.weight)
            if wait := self.rates.wait(lane, now) or room.rates.wait(lanes[1], now):
                return self._deny(account, asking, "rate of the cell", wait, room)
        if account.limits.max_body_kb and account.body + body > account.limits.max_body_kb:
            return self._deny(account, asking, "bodies of the tenant", LOST_WAIT, room)
        room.width.used(room.shares.open + amount)
        if room.shares.open + amount > 0.5 * room.shares.width:
            # So much less is lent inside the cell that a lender's return still fits into what it
            # may have
            reach = self.cells.reach(cell_share, now)
            room.shares.width = min(room.width.now_most, reach) / (1.0 + Shares.HEAD_ROOM)
        if not room.shares.may(share, now, amount):
            return self._deny(account, asking, "share of the tenant", 0.0, room)
        if not self.cells.may(cell_share, now, amount):
            return self._deny(account, asking, "share of the cell", 0.0, room)
        guests = None
        if spot.guest_of:
            guests = room.guests.setdefault(spot.guest_of, FailoverQuota())
            home, host = self.assignment.cells[spot.guest_of], self.placement.standings[spot.cell]
            rate = room.rates.rate or (self.rates.part(lanes[0]) if lanes else 0.0)
            if wait := guests.wait(
                now, home.failover_quota, host.warmth(), room.width.now_most, rate
            ):
                return self._deny(account, asking, "reserve of the neighbour", wait, room)
            guests.take(now)
        account.pace.take(now)
        account.granted += 1
        if retry:
            account.retries.take()
        else:
            account.retries.first()
        if lanes:
            self.rates.take(lanes[0], now)
            room.rates.take(lanes[1], now)
        share.open += amount
        room.shares.open += amount
        cell_share.open += amount
        self.cells.open += amount
        account.body += body
        if asking.idempotency_key:
            self.placement.note(now, tenant, asking.idempotency_key, asking.request_class, spot)
        return AdmissionGrant(
            tenant, spot.cell, spot.pool, amount, body, account, room, share, cell_share, guests
        )

    def complete_request(
        self, now: float, grant: AdmissionGrant, good: bool, owed: bool, delay: float
    ) -> str:
        """The request is over; `good`: served, `owed`: its client still waited, `delay`: ms, its
        sending time aside. Gives a word where the cell's width has shrunk.
        """
        if grant.settled:
            return ""
        grant.settled = True
        room, amount = grant.room, grant.amount
        room.shares.give(grant.share, amount)
        self.cells.give(grant.cell_share, amount)
        if grant.body:
            grant.account.body = max(0.0, grant.account.body - grant.body)
        if grant.guests is not None:
            grant.guests.give()
        if owed:
            room.total += 1
            room.good += good
            if self.courses:
                for course in self.courses.values():
                    course.saw(now, grant.cell, good, delay)
        if good and room.width.saw(now, delay):
            return f"cell {grant.cell} narrowed to {room.width.now_most:.0f} requests open"
        return ""

    def _lane(self, now: float, room: CellState, lane: Lane, tenant: str, weight: float) -> Lane:
        own = room.rates.lane(tenant, weight)
        if (
            not room.limits.rate
            and self.rates.rate
            and now >= room.rated_at + FairPace.RECKONED_FOR
        ):
            room.rated_at = (
                now  # what the cell may reach of the director's rate is shared by its tenants
            )
            room.rates.renew(self.rates.free_for(lane))
        return own

    def _take_seat(self, account: TenantState, tenant: str, cell: str) -> TenantCellLimits:
        room, weight = self.rooms[cell], self.assignment.tenants[tenant].weight
        held = self.assignment.cells[cell]
        seat = account.seats[cell] = TenantCellLimits(
            held,
            room,
            room.shares.party(tenant, weight, account.limits.max_open_requests),
            self.cells.party(cell, held.weight),
            weight,
        )
        return seat

    def _open_account(self, tenant: str) -> TenantState:
        # the least lately used half goes; what is open is in the grants
        if len(self.accounts) >= ACCOUNTS_MOST:
            kept = sorted(self.accounts.items(), key=lambda held: held[1].used)[
                ACCOUNTS_MOST // 2 :
            ]
            self.accounts = dict(kept)
        account = self.accounts[tenant] = TenantState(self._limits(tenant))
        return account

    def _deny(
        self,
        account: TenantState,
        asking: Asking,
        why: str,
        wait: float,
        room: CellState | None = None,
    ) -> AdmissionRejection:
        account.denied += 1
        if room is not None:
            room.denied += 1
        return self._denied(asking, why, wait)

    def _denied(self, asking: Asking, why: str, wait: float) -> AdmissionRejection:
        return AdmissionRejection(
            why, advice(wait, self.board.come_back_most), self._harmless(asking)
        )

    def _harmless(self, asking: Asking) -> bool:
        """Whether a client that is rejected may come again: no attempt of this request has gone
        out, but what it repeats may have run.
        """
        case = asking.request_class
        everywhere = case.idempotency == KEYED and case.key_scope == "all"
        return not asking.repeated or case.idempotency == IDEMPOTENT or everywhere

    # For staff

    def status(self, now: float) -> dict[str, Any]:
        """Cells, moves and releases as this director has them; plain figures."""
        held = self.placement
        most = sorted(self.accounts.items(), key=lambda one: (-one[1].denied, one[0]))
        return {
            "version": self.assignment.version,
            "at": round(now),
            "open": self.cells.open,
            "unknown_denied": self.unknown.denied,
            "cells": {
                name: {
                    "caches": held.by_cell[name],
                    "lost": held.standings[name].lost,
                    "home_share": round(held.standings[name].home_share(now), 3),
                    "warmth": round(held.standings[name].warmth(), 3),
                    "open": room.shares.open,
                    "width": round(room.width.now_most, 1),
                    "served": room.good,
                    "settled": room.total,
                    "denied": room.denied,
                }
                for name, room in self.rooms.items()
            },
            "moves": {
                name: {
                    "stage": migrations.stage(move, now).value,
                    "from": move.source,
                    "to": move.target,
                    "share": round(migrations.shifted(move, now), 4),
                }
                for name, move in self.assignment.migrations.items()
            },
            "releases": {
                name: {
                    "phase": course.phase().value,
                    "wave": course.wave,
                    "why": course.taken_back,
                    "cells": sorted(course.since),
                }
                for name, course in self.courses.items()
            },
            "tenants": {
                name: {
                    "home": held.homes.get(name, ""),
                    "granted": account.granted,
                    "denied": account.denied,
                }
                for name, account in most[:TENANTS_TOLD]
            },
        }

"""One director's quota units of one limit; pure, times in ms of its own steady clock.

A limit is divided into `UNITS_PER_LIMIT` units. Each unit has one owner, which never changes, by
the number of directors that the limit is configured for. An owner that does not need some of its
units lends them for a while. At any time at most one director may use a unit:

- The owner locks the units of a lease before it answers, until `LEASE_DURATION` after that, and
  then for one window more.
- The borrower may use them until LEASE_DURATION * (1 - 2 * MAX_CLOCK_DRIFT) after it *sent the
  request*: that was before the owner locked them, and two clocks that drift apart by
  MAX_CLOCK_DRIFT do not bring the borrower beyond the owner's lock (docs/budgets.md has the sum).
- A grant counts once, for the request of this incarnation that it answers, and only while that is
  remembered. A request that arrives again gets the first answer again and locks nothing more.
- A director that has restarted does not know what it has lent: it uses only the reserved units,
  which are never lent, until all leases of an earlier incarnation have expired. Nor does it know
  what it has used: it uses nothing for one window.

So whatever is lost, duplicated, delayed or reordered, and whichever director crashes or is
suspended, no unit is used twice; a loss only costs time. A director that receives nothing has its
own units back within LEASE_DURATION and one window.

Limits count use over a window. Units that are lent have not been used for a window, and their owner
does not use them for a window after their return, so that no window sees two directors use the
same unit.
"""

import math
from dataclasses import dataclass, field

UNITS_PER_LIMIT = 1 << 20
MAX_CLOCK_DRIFT = 0.01  # relative, between two directors' clocks
LEASE_DURATION = 2_000.0  # ms for which the owner locks what it lends
RESERVED_FRACTION = 0.05  # of the owned units: never lent, and usable soon after a start

MemberId = tuple[str, str, int]
"""Name, host and port of a director, as in membership."""


@dataclass(slots=True, frozen=True)
class LeaseRequest:
    """Asks one other director for units, or to renew the lease of an earlier request."""

    number: int
    units: int
    renews: int = 0


@dataclass(slots=True, frozen=True)
class LeaseGrant:
    """The answer to the request of that number."""

    number: int
    units: int


@dataclass(slots=True, frozen=True)
class LeaseRelease:
    """The borrower does not use the units of that request any more."""

    number: int


@dataclass(slots=True)
class GrantedLease:
    """Units that this director has lent: locked until then, and for one window more."""

    units: int
    locked_until: float


@dataclass(slots=True)
class BorrowedLease:
    """Units of another director that this one may use before they expire."""

    lender: MemberId
    units: int
    expires_at: float


@dataclass(slots=True)
class PendingRequest:
    """A request that may still be answered."""

    lender: MemberId
    sent_at: float
    renews: int = 0


@dataclass(slots=True)
class LeaseLedger:
    """What one director owns, has lent and has borrowed of one limit.

    Attributes:
        owned: Units that this director owns.
        window: Milliseconds over which use is counted.
        started_at: When this incarnation started to use the limit.
        incarnation: Of this process, greater than that of any before it under the same name.
        lease_duration: See `LEASE_DURATION`.
        max_clock_drift: See `MAX_CLOCK_DRIFT`.
        reserved_fraction: See `RESERVED_FRACTION`.
        last_number: Number of the last request.
        granted: Leases granted, by borrower, its incarnation and its request's number.
        borrowed: Leases borrowed, by the number of the own request.
        pending: Own requests that may still be answered, by number.
    """

    owned: int
    window: float
    started_at: float
    incarnation: int
    lease_duration: float = LEASE_DURATION
    max_clock_drift: float = MAX_CLOCK_DRIFT
    reserved_fraction: float = RESERVED_FRACTION
    last_number: int = 0
    granted: dict[tuple[MemberId, int, int], GrantedLease] = field(default_factory=dict)
    borrowed: dict[int, BorrowedLease] = field(default_factory=dict)
    pending: dict[int, PendingRequest] = field(default_factory=dict)

    # What may be used

    @property
    def reserved(self) -> int:
        """Owned units that are never lent."""
        return math.ceil(self.owned * self.reserved_fraction)

    def usable(self, now: float) -> int:
        """Returns the units that this director may use."""
        return self.usable_owned(now) + sum(
            lease.units for lease in self.borrowed.values() if now < lease.expires_at
        )

    def usable_owned(self, now: float) -> int:
        """Returns the owned units that neither are lent nor may be from before a restart."""
        age = (now - self.started_at) / (1.0 + 2.0 * self.max_clock_drift)
        if age < self.window:  # an earlier incarnation may just have used all of it
            return 0
        if age < self.lease_duration + self.window:
            return self.reserved
        return self.owned - sum(
            lease.units for lease in self.granted.values() if now < lease.locked_until + self.window
        )

    def lendable(self, now: float, used: int) -> int:
        """Returns the owned units that may be lent.

        Args:
            now: Time in ms.
            used: The most units that this director has used at one time in the last window.
        """
        return max(0, self.usable_owned(now) - max(used, self.reserved))

    # As the borrower

    def request(self, now: float, lender: MemberId, units: int, renews: int = 0) -> LeaseRequest:
        """Records and returns a request that is to be sent to the lender now.

        Args:
            now: Time in ms.
            lender: The director that is asked.
            units: Units that are wanted; for a renewal, those of the lease.
            renews: Number of the lease to renew; 0 asks for a new one.
        """
        self.last_number += 1
        self.pending[self.last_number] = PendingRequest(lender, now, renews)
        return LeaseRequest(self.last_number, units, renews)

    def accept_grant(
        self, now: float, lender: MemberId, incarnation: int, grant: LeaseGrant
    ) -> bool:
        """Takes over the units of a grant.

        Args:
            now: Time in ms.
            lender: The director that sent the grant.
            incarnation: Of the borrower, as the request had it.
            grant: The grant.

        Returns:
            Whether the grant counts.
        """
        request = self.pending.get(grant.number)
        if request is None or request.lender != lender:
            return False
        if incarnation != self.incarnation or grant.units <= 0:
            return False
        del self.pending[grant.number]
        expires_at = request.sent_at + self.lease_duration * (1.0 - 2.0 * self.max_clock_drift)
        if request.renews:
            lease = self.borrowed.get(request.renews)
            if lease is None or lease.lender != lender or lease.units != grant.units:
                # Released or expired meanwhile: what the lender has locked for it expires by itself
                return False
            lease.expires_at = max(lease.expires_at, expires_at)
            return True
        if now < expires_at:
            self.borrowed[grant.number] = BorrowedLease(lender, grant.units, expires_at)
        return now < expires_at

    def release(self, number: int) -> LeaseRelease | None:
        """Gives a borrowed lease up; returns what is to be sent to its lender, if there is one."""
        lease = self.borrowed.pop(number, None)
        return LeaseRelease(number) if lease is not None else None

    # As the lender

    def grant(
        self, now: float, borrower: MemberId, incarnation: int, request: LeaseRequest, used: int
    ) -> LeaseGrant | None:
        """Locks units for a borrower, before anybody learns of it.

        Args:
            now: Time in ms.
            borrower: The director that asks.
            incarnation: Of the borrower.
            request: Its request.
            used: See `lendable`.

        Returns:
            The grant that is to be sent; None: the request is not answered.
        """
        lease = self.granted.get((borrower, incarnation, request.number))
        if lease is not None:  # a duplicate: the same answer, as long as it may still be of use
            return LeaseGrant(request.number, lease.units) if now < lease.locked_until else None
        if request.renews:
            lease = self.granted.get((borrower, incarnation, request.renews))
            if lease is None or now >= lease.locked_until:
                return None
            lease.locked_until = max(lease.locked_until, now + self.lease_duration)
            return LeaseGrant(request.number, lease.units)
        units = min(request.units, self.lendable(now, used))
        if units <= 0:
            return None
        self.granted[borrower, incarnation, request.number] = GrantedLease(
            units, now + self.lease_duration
        )
        return LeaseGrant(request.number, units)

    def accept_release(
        self, now: float, borrower: MemberId, incarnation: int, release: LeaseRelease
    ) -> None:
        """Unlocks the units of a lease one window from now."""
        lease = self.granted.get((borrower, incarnation, release.number))
        if lease is not None:
            lease.locked_until = min(lease.locked_until, now)

    # Time

    def remove_expired(self, now: float) -> None:
        """Forgets leases and requests that can have no effect any more."""
        self.granted = {
            key: lease
            for key, lease in self.granted.items()
            if now < lease.locked_until + self.window
        }
        self.borrowed = {
            number: lease for number, lease in self.borrowed.items() if now < lease.expires_at
        }
        self.pending = {
            number: request
            for number, request in self.pending.items()
            if now < request.sent_at + self.lease_duration
        }

"""Quota units of one limit at one director. No I/O; times in ms of the director's monotonic clock.

A limit is divided into `UNITS_PER_LIMIT` units. Each unit has one owner, which never changes and
follows from the number of directors that the limit is configured for. An owner that does not need
some of its units lends them for a limited time, as a *lease*. An *incarnation* is one run of a
director from its start to the next restart. At any time at most one director may use a unit:

- The owner locks the units of a lease before it sends the grant. It unlocks them one window after
  the lease was released or `LEASE_DURATION_MS` has passed.
- The borrower may use the units until LEASE_DURATION_MS * (1 - 2 * MAX_CLOCK_DRIFT) after it *sent
  the request*. The owner locks the units later than that, when the request arrives. Even if the
  rates of both clocks are wrong by MAX_CLOCK_DRIFT, the borrower's use therefore ends before the
  owner's lock (derivation in docs/budgets.md).
- A grant is accepted once, for the pending request of this incarnation that it answers. A duplicate
  request gets the same grant again and locks no further units.
- A director that has restarted does not know which units it has lent. Until all leases that an
  earlier incarnation granted have expired, it uses only the reserved units, which are never lent.
  It does not know its recent use either, so it uses no units for one window.

Lost, duplicated, delayed or reordered messages and crashed or paused directors therefore never lead
to the use of a unit by two directors; a loss only delays the use. A director that receives no
messages can use its own units again within LEASE_DURATION_MS and one window.

Limits count use over a window. An owner therefore lends only units that it has not used for a
window, and uses them again one window after their return. No window thus contains the use of one
unit by two directors.
"""

import math
from dataclasses import dataclass, field

UNITS_PER_LIMIT = 1 << 20
MAX_CLOCK_DRIFT = 0.01  # largest relative error of the rate of a director's clock
LEASE_DURATION_MS = 2_000.0  # the owner locks the units of a lease for this time and one window
RESERVED_FRACTION = 0.05  # of the owned units: never lent, usable one window after a start

MemberId = tuple[str, str, int]
"""Name, host and port of a director, as in membership."""


@dataclass(slots=True, frozen=True)
class LeaseRequest:
    """Request for units of another director, or for the renewal of an earlier lease."""

    number: int  # of the request; a lease has the number of the request that obtained it
    units: int
    renews: int = 0  # number of the lease to renew; 0: a new lease


@dataclass(slots=True, frozen=True)
class LeaseGrant:
    """Response to the lease request with the same number."""

    number: int
    units: int


@dataclass(slots=True, frozen=True)
class LeaseRelease:
    """Notice that the borrower no longer uses the units of a lease."""

    number: int  # of the lease


@dataclass(slots=True)
class GrantedLease:
    """Lent units, which stay locked for one more window after `locked_until`."""

    units: int
    locked_until: float


@dataclass(slots=True)
class BorrowedLease:
    """Borrowed units, which this director may use until `expires_at`."""

    lender: MemberId
    units: int
    expires_at: float


@dataclass(slots=True)
class PendingRequest:
    """Lease request of this director whose grant may still arrive."""

    lender: MemberId
    sent_at: float
    renews: int = 0  # number of the lease to renew; 0: a new lease


@dataclass(slots=True)
class LeaseLedger:
    """Owned, lent and borrowed units of one limit at one director.

    Attributes:
        owned: Number of units that this director owns.
        window: Milliseconds over which use is counted.
        started_at: Time at which this incarnation started to use the limit.
        incarnation: Number of this incarnation; greater than those of all earlier incarnations of
            the director.
        lease_duration: See `LEASE_DURATION_MS`.
        max_clock_drift: See `MAX_CLOCK_DRIFT`.
        reserved_fraction: See `RESERVED_FRACTION`.
        last_number: Number of the last request that this director sent.
        granted: Leases to other directors, by borrower, the borrower's incarnation and the number
            of the borrower's request.
        borrowed: Leases from other directors, by the number of this director's request.
        pending: This director's requests whose grant may still arrive, by number.
    """

    owned: int
    window: float
    started_at: float
    incarnation: int
    lease_duration: float = LEASE_DURATION_MS
    max_clock_drift: float = MAX_CLOCK_DRIFT
    reserved_fraction: float = RESERVED_FRACTION
    last_number: int = 0
    granted: dict[tuple[MemberId, int, int], GrantedLease] = field(default_factory=dict)
    borrowed: dict[int, BorrowedLease] = field(default_factory=dict)
    pending: dict[int, PendingRequest] = field(default_factory=dict)

    # Usable units

    @property
    def reserved(self) -> int:
        """Number of owned units that are never lent."""
        return math.ceil(self.owned * self.reserved_fraction)

    def usable(self, now: float) -> int:
        """Return the number of units, owned and borrowed, that this director may use."""
        return self.usable_owned(now) + sum(
            lease.units for lease in self.borrowed.values() if now < lease.expires_at
        )

    def usable_owned(self, now: float) -> int:
        """Return the number of owned units that this director may use.

        Lent units are excluded. For some time after a restart, so are the units that an earlier
        incarnation may have used or lent.
        """
        # The age is divided because this director's clock may be faster than a borrower's clock.
        age = (now - self.started_at) / (1.0 + 2.0 * self.max_clock_drift)
        if age < self.window:  # an earlier incarnation may just have used all units
            return 0
        if age < self.lease_duration + self.window:
            return self.reserved
        return self.owned - sum(
            lease.units for lease in self.granted.values() if now < lease.locked_until + self.window
        )

    def lendable(self, now: float, used: int) -> int:
        """Return the number of owned units that may be lent now.

        Args:
            now: Time in ms.
            used: Number of units that this director keeps: the most that it used within the last
                window, or the number that it needs if that is greater.
        """
        return max(0, self.usable_owned(now) - max(used, self.reserved))

    # As the borrower

    def request(self, now: float, lender: MemberId, units: int, renews: int = 0) -> LeaseRequest:
        """Record and return a request, which the caller sends to the lender immediately.

        Args:
            now: Time in ms.
            lender: Director that receives the request.
            units: Number of requested units; for a renewal, the units of the lease.
            renews: Number of the lease to renew; 0 for a new lease.
        """
        self.last_number += 1
        self.pending[self.last_number] = PendingRequest(lender, now, renews)
        return LeaseRequest(self.last_number, units, renews)

    def accept_grant(
        self, now: float, lender: MemberId, incarnation: int, grant: LeaseGrant
    ) -> bool:
        """Borrow the units of a grant.

        Args:
            now: Time in ms.
            lender: Director that sent the grant.
            incarnation: Incarnation of the borrower that the grant names.
            grant: The grant.

        Returns:
            Whether the units were borrowed, or the lease was renewed. A grant has no effect if it
            has no units or matches no pending request of this incarnation. A grant of a new lease
            also has none if it arrives after the end of the lease. A renewal has none if the lease
            is no longer borrowed or has another number of units.
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
                # The lease was released or has expired. No message is needed to unlock the units,
                # as the lender's lock expires.
                return False
            lease.expires_at = max(lease.expires_at, expires_at)
            return True
        if now < expires_at:
            self.borrowed[grant.number] = BorrowedLease(lender, grant.units, expires_at)
        return now < expires_at

    def release(self, number: int) -> LeaseRelease | None:
        """Release the borrowed lease with this number.

        Returns:
            The message that the caller sends to the lender; None if no lease with this number is
            borrowed.
        """
        lease = self.borrowed.pop(number, None)
        return LeaseRelease(number) if lease is not None else None

    # As the lender

    def grant(
        self, now: float, borrower: MemberId, incarnation: int, request: LeaseRequest, used: int
    ) -> LeaseGrant | None:
        """Lock units for a borrower before the grant is sent, or renew a lease.

        Args:
            now: Time in ms.
            borrower: Director that sent the request.
            incarnation: Incarnation of the borrower.
            request: The request.
            used: Number of units that this director keeps, as in `lendable`.

        Returns:
            The grant to send; it may have fewer units than requested. None if the request gets no
            response: no units may be lent, or the lease that the request obtained or is to renew
            is not known or has expired.
        """
        lease = self.granted.get((borrower, incarnation, request.number))
        if lease is not None:  # duplicate request: same grant until the lease expires
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
        """End a lease that its borrower has released; the units are unlocked one window later."""
        lease = self.granted.get((borrower, incarnation, release.number))
        if lease is not None:
            lease.locked_until = min(lease.locked_until, now)

    # Time

    def remove_expired(self, now: float) -> None:
        """Remove leases and requests that have no effect any more."""
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

"""Quota exchange: decides when a director borrows, lends, renews and releases quota units.

No I/O; times in ms. Each limit has one `QuotaShare`, through which exchange and router communicate.
The exchange sets the fraction of the limit that the router may use. The router reports the largest
fraction that it used, and the largest fraction that rejected requests would have needed.
"""

import math
from collections import Counter, defaultdict
from collections.abc import Sequence
from contextlib import AbstractContextManager, nullcontext
from dataclasses import dataclass, field
from random import Random

from ..errors import ProtocolError
from ..policy.model import QuotaShare
from .lease_ledger import (
    LEASE_DURATION_MS,
    UNITS_PER_LIMIT,
    LeaseGrant,
    LeaseLedger,
    LeaseRelease,
    LeaseRequest,
    MemberId,
)
from .lease_messages import LeaseCodec, LeaseMessage, LeaseMessageKind

TICK_INTERVAL_MS = 100.0
REQUEST_TIMEOUT_MS = 2.0 * TICK_INTERVAL_MS  # after which the same lender may be asked again
MAX_REQUESTS_PER_TICK = 3  # requests for new leases, per limit
MAX_BORROWED_LEASES = 64  # at the same time, per limit
MAX_LEASES_PER_LENDER = 3  # more than 1, as a lender may have had few units for the first lease
MAX_MESSAGES_PER_PAYLOAD = 2 * MAX_BORROWED_LEASES  # further messages are ignored
# Units are borrowed ahead of use, so that fewer requests are rejected before the units arrive. The
# demand is at least the larger of a share's two peaks, each times one of these factors.
USED_HEADROOM = 1.25  # factor on the fraction that was used
REJECTED_HEADROOM = 2.0  # factor on the fraction that rejected requests would have needed
RENEWAL_FRACTION = 0.5  # fraction of a lease's duration that is left when its renewal is requested
DEMAND_HALF_LIFE_MS = 400.0  # smooths demand, so that units do not move with each request
PEAKS_PER_WINDOW = 4  # intervals into which the last window is divided to track peak use
MIN_LEASE_FRACTION = 0.05  # of an owner's units; smaller leases are not worth a datagram
REQUEST_NUMBER_LIMIT = 1 << 40  # exclusive bound of the random start of the request numbers
THOUSANDTHS_PER_LIMIT = 1000.0  # amounts in the status are in thousandths of the shared limit


@dataclass(slots=True, frozen=True)
class LimitDefinition:
    """Definition of a limit that several directors share.

    Attributes:
        name: Name of the limit, the same at all directors.
        owners: Number of directors that own the limit in equal parts.
        window: Milliseconds over which use is counted.
        share: The share through which this director's router and the exchange communicate.
        location: Location of the directors that share the limit; empty for the whole fleet.
    """

    name: str
    owners: int
    window: float
    share: QuotaShare
    location: str = ""


@dataclass(slots=True)
class SharedLimit:
    """State of one shared limit at one director.

    Attributes:
        definition: Definition of the limit.
        ledger: Owned, lent and borrowed units of the limit.
        demand: Fraction of the limit that this director wants; may exceed 1. Each `record_use`
            lets it decay as much as in `TICK_INTERVAL_MS`, with the half-life
            `DEMAND_HALF_LIFE_MS`.
        peaks: The largest fraction used in the current quarter of a window and in each of the up to
            `PEAKS_PER_WINDOW` quarters before it, the newest first.
        peak_started_at: Start time of the current quarter.
    """

    definition: LimitDefinition
    ledger: LeaseLedger
    demand: float = 0.0
    peaks: list[float] = field(default_factory=lambda: [0.0])
    peak_started_at: float = 0.0

    def record_use(self, now: float) -> None:
        """Update peaks and demand from what the router has reported since the last call."""
        share = self.definition.share
        quarter = self.ledger.window / PEAKS_PER_WINDOW
        while now >= self.peak_started_at + quarter:
            self.peak_started_at = max(self.peak_started_at + quarter, now - self.ledger.window)
            self.peaks = [0.0, *self.peaks[:PEAKS_PER_WINDOW]]
        self.peaks[0] = max(self.peaks[0], share.peak_used)
        wanted = max(share.peak_used * USED_HEADROOM, share.peak_rejected * REJECTED_HEADROOM)
        self.demand = max(wanted, self.demand * 0.5 ** (TICK_INTERVAL_MS / DEMAND_HALF_LIFE_MS))
        share.peak_used = 0.0
        share.peak_rejected = 0.0

    def units_in_use(self) -> int:
        """Return the most units used at a time in the last window, or the demand if greater."""
        return math.ceil(UNITS_PER_LIMIT * max(*self.peaks, self.demand))

    def lenders_with_pending_request(self, now: float) -> set[MemberId]:
        """Return the lenders of requests sent within `REQUEST_TIMEOUT_MS` and not granted yet."""
        return {
            request.lender
            for request in self.ledger.pending.values()
            if now < request.sent_at + REQUEST_TIMEOUT_MS
        }

    def leases_being_renewed(self, now: float) -> set[int]:
        """Return the numbers of leases whose renewal was requested within `REQUEST_TIMEOUT_MS`.

        Granted renewals do not count. The result also contains 0, which is not the number of a
        lease, if a new lease was requested within that time and not granted yet.
        """
        return {
            request.renews
            for request in self.ledger.pending.values()
            if now < request.sent_at + REQUEST_TIMEOUT_MS
        }


Outbox = defaultdict[MemberId, list[LeaseMessage]]


class QuotaExchange:
    """Exchange of quota units for all limits that one director shares; a `Delegate` of membership.

    The thread of membership calls the exchange, while other threads use the shares in the router.
    The constructor's `lock` guards the shares; the class is otherwise not thread-safe.

    Attributes:
        limits: The shared limits, by name.
        counts: Numbers of requests sent for new leases, grants sent for new leases, grants accepted
            (also of renewals), leases released, and messages or payloads that could not be used.
    """

    def __init__(
        self,
        now: float,
        random: Random,
        incarnation: int,
        clock_offset: float = 0.0,
        lock: AbstractContextManager | None = None,
    ) -> None:
        """Create an exchange without limits.

        Args:
            now: Time in ms.
            random: Draws lenders and the start of the request numbers.
            incarnation: Incarnation of this director.
            clock_offset: Milliseconds by which the router's clock is ahead of the clock of `now`.
            lock: Lock that is held while shares change. It keeps units from being lent while the
                router uses the units to admit a request. None: no lock.
        """
        self.limits: dict[str, SharedLimit] = {}
        self.counts = {"asked": 0, "lent": 0, "borrowed": 0, "given back": 0, "unusable": 0}
        self._random = random
        self._incarnation = incarnation
        self._next_tick_at = now
        self._clock_offset = clock_offset
        self._lock = lock or nullcontext()
        self._codec = LeaseCodec()

    def add(self, now: float, definition: LimitDefinition) -> None:
        """Add a limit; at first this director may use no units of the limit."""
        units = UNITS_PER_LIMIT // max(1, definition.owners)
        ledger = LeaseLedger(units, definition.window, now, self._incarnation)
        # The numbers start at random, so that a grant for a request of an earlier incarnation
        # matches no request of this incarnation.
        ledger.last_number = self._random.randrange(REQUEST_NUMBER_LIMIT)
        self.limits[definition.name] = SharedLimit(definition, ledger)
        definition.share.is_tracked = True
        definition.share.fraction = 0.0

    # Delegate of membership

    def next_wake_at(self) -> float:
        """Return the time of the next required tick."""
        return self._next_tick_at

    def tick(
        self, now: float, incarnation: int, members: list[tuple[MemberId, str]]
    ) -> list[tuple[MemberId, bytes]]:
        """Renew, release and request leases, once in `TICK_INTERVAL_MS`; update the shares.

        Args:
            now: Time in ms.
            incarnation: Current incarnation of this director in its membership.
            members: The other directors that are alive, each with its location.

        Returns:
            The payloads to send, each as (recipient, payload).
        """
        if now < self._next_tick_at:
            return []
        self._next_tick_at = now + TICK_INTERVAL_MS
        outbox: Outbox = defaultdict(list)
        with self._lock:
            for limit in self.limits.values():
                limit.ledger.incarnation = incarnation
                limit.record_use(now)
                self._renew_or_release(now, limit, outbox)
                self._request_missing_units(now, limit, outbox, members)
                self._update_share(now, limit)
        return [(member_id, self._codec.encode(messages)) for member_id, messages in outbox.items()]

    def receive(
        self, now: float, member_id: MemberId, payload: bytes
    ) -> list[tuple[MemberId, bytes]]:
        """Handle the messages of one payload.

        Args:
            now: Time in ms.
            member_id: Director that sent the payload.
            payload: The encoded messages.

        Returns:
            The payloads to send, each as (recipient, payload): none, or one with all responses.
        """
        try:
            messages = self._codec.decode(payload)
        except ProtocolError:
            self.counts["unusable"] += 1
            return []
        responses = []
        for message in messages[:MAX_MESSAGES_PER_PAYLOAD]:
            limit = self.limits.get(message.limit)
            if limit is None or message.number < 0 or message.units < 0:
                self.counts["unusable"] += 1
                continue
            with self._lock:
                response = self._handle(now, member_id, limit, message)
                self._update_share(now, limit)
            if response is not None:
                responses.append(response)
        return [(member_id, self._codec.encode(responses))] if responses else []

    def _update_share(self, now: float, limit: SharedLimit) -> None:
        """Set the fractions that the router may use before and after the next lease expires.

        After a borrowed lease has expired, the router may use only owned units until the next
        update.
        """
        share = limit.definition.share
        ledger = limit.ledger
        first_expiry = min(
            (lease.expires_at for lease in ledger.borrowed.values()), default=math.inf
        )
        share.fallback_fraction = ledger.usable_owned(now) / UNITS_PER_LIMIT
        share.expires_at = self._clock_offset + first_expiry
        share.fraction = ledger.usable(now) / UNITS_PER_LIMIT

    def _handle(
        self, now: float, member_id: MemberId, limit: SharedLimit, message: LeaseMessage
    ) -> LeaseMessage | None:
        """Handle one message; return the response, or None if there is none."""
        ledger = limit.ledger
        if message.kind == LeaseMessageKind.REQUEST:
            return self._handle_request(now, member_id, limit, message)
        if message.kind == LeaseMessageKind.GRANT:
            grant = LeaseGrant(message.number, message.units)
            self.counts["borrowed"] += ledger.accept_grant(
                now, member_id, message.incarnation, grant
            )
        elif message.kind == LeaseMessageKind.RELEASE:
            release = LeaseRelease(message.number)
            ledger.accept_release(now, member_id, message.incarnation, release)
        return None

    def _handle_request(
        self, now: float, member_id: MemberId, limit: SharedLimit, message: LeaseMessage
    ) -> LeaseMessage | None:
        ledger = limit.ledger
        limit.record_use(now)
        used = limit.units_in_use()
        request = LeaseRequest(message.number, message.units, message.renews)
        if not request.renews and ledger.lendable(now, used) < MIN_LEASE_FRACTION * ledger.owned:
            return None
        grant = ledger.grant(now, member_id, message.incarnation, request, used)
        if grant is None:
            return None
        self.counts["lent"] += not request.renews
        return LeaseMessage(
            limit.definition.name,
            LeaseMessageKind.GRANT,
            message.incarnation,
            grant.number,
            grant.units,
        )

    # As the borrower

    def _renew_or_release(self, now: float, limit: SharedLimit, outbox: Outbox) -> None:
        """Release borrowed leases that are not needed, and request renewal of those ending soon."""
        ledger = limit.ledger
        wanted = math.ceil(UNITS_PER_LIMIT * limit.demand)
        ledger.remove_expired(now)
        surplus = ledger.usable(now) - wanted
        being_renewed = limit.leases_being_renewed(now)
        for number, lease in sorted(ledger.borrowed.items()):
            if lease.units <= surplus:
                surplus -= lease.units
                ledger.release(number)
                self.counts["given back"] += 1
                release = LeaseMessage(
                    limit.definition.name, LeaseMessageKind.RELEASE, ledger.incarnation, number
                )
                outbox[lease.lender].append(release)
            elif (
                now > lease.expires_at - RENEWAL_FRACTION * LEASE_DURATION_MS
                and number not in being_renewed
            ):
                request = ledger.request(now, lease.lender, lease.units, number)
                outbox[lease.lender].append(_request_message(limit, request))

    def _request_missing_units(
        self,
        now: float,
        limit: SharedLimit,
        outbox: Outbox,
        members: Sequence[tuple[MemberId, str]],
    ) -> None:
        """Request the units that are missing for the demand from a few random members.

        Each of these members is asked for all missing units. Nothing is requested if less than
        `MIN_LEASE_FRACTION` of the owned units is missing.
        """
        ledger = limit.ledger
        wanted = math.ceil(UNITS_PER_LIMIT * min(1.0, limit.demand))
        missing = wanted - ledger.usable(now)
        capacity = MAX_BORROWED_LEASES - len(ledger.borrowed)
        leases_by_lender = Counter(lease.lender for lease in ledger.borrowed.values())
        awaited_lenders = limit.lenders_with_pending_request(now)
        candidates = [
            member_id
            for member_id, location in members
            if limit.definition.location in ("", location)
            and member_id not in awaited_lenders
            and leases_by_lender[member_id] < MAX_LEASES_PER_LENDER
        ]
        if missing < MIN_LEASE_FRACTION * ledger.owned or capacity <= 0 or not candidates:
            return
        count = min(MAX_REQUESTS_PER_TICK, capacity, len(candidates))
        for member_id in self._random.sample(candidates, count):
            request = ledger.request(now, member_id, missing)
            self.counts["asked"] += 1
            outbox[member_id].append(_request_message(limit, request))

    # For operators

    def status(self, now: float) -> dict[str, object]:
        """Return this director's state of all shared limits, as a JSON object for operators.

        Amounts are in thousandths of the limit that all directors share. The keys must not change,
        because they appear in the records and in `--json` output.
        """
        return {
            "counts": dict(self.counts),
            "limits": {name: _limit_status(limit, now) for name, limit in self.limits.items()},
        }


def _request_message(limit: SharedLimit, request: LeaseRequest) -> LeaseMessage:
    return LeaseMessage(
        limit.definition.name,
        LeaseMessageKind.REQUEST,
        limit.ledger.incarnation,
        request.number,
        request.units,
        request.renews,
    )


def _limit_status(limit: SharedLimit, now: float) -> dict[str, object]:
    ledger = limit.ledger
    return {
        "own": _thousandths(ledger.owned),
        "at_home": _thousandths(ledger.usable_owned(now)),
        "usable": _thousandths(ledger.usable(now)),
        "wanted": round(THOUSANDTHS_PER_LIMIT * limit.demand, 2),
        "lent": [
            {
                "to": borrower[0],
                "part": _thousandths(lease.units),
                "for_ms": round(lease.locked_until - now),
            }
            for (borrower, _, _), lease in ledger.granted.items()
        ],
        "borrowed": [
            {
                "from": lease.lender[0],
                "part": _thousandths(lease.units),
                "for_ms": round(lease.expires_at - now),
            }
            for lease in ledger.borrowed.values()
        ],
    }


def _thousandths(units: int) -> float:
    return round(THOUSANDTHS_PER_LIMIT * units / UNITS_PER_LIMIT, 2)

"""When a director borrows quota units, from whom and how many, and when it releases them.

Pure, times in ms. For each limit there is one `QuotaShare`, through which the decision module
learns its fraction and reports what it used and had to reject.
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
    LEASE_DURATION,
    UNITS_PER_LIMIT,
    LeaseGrant,
    LeaseLedger,
    LeaseRelease,
    LeaseRequest,
    MemberId,
)
from .lease_messages import LeaseCodec, LeaseMessage, LeaseMessageKind

TICK_INTERVAL = 100.0
REQUEST_TIMEOUT = 2.0 * TICK_INTERVAL  # after which the same director may be asked again
MAX_REQUESTS_PER_TICK = 3  # for one limit
MAX_BORROWED_LEASES = 64  # at one time, for one limit
MAX_LEASES_PER_LENDER = 3  # several, as what it could lend first may have been little
MAX_MESSAGES_PER_PAYLOAD = 2 * MAX_BORROWED_LEASES  # more are ignored
# Borrowed ahead of use, so that no request has to wait for units
USED_HEADROOM = 1.25  # factor on the fraction that was used
REJECTED_HEADROOM = 2.0  # factor on the fraction at which requests were rejected
RENEW_AT = 0.5  # fraction of a lease that is left when it is renewed
DEMAND_HALF_LIFE = 400.0  # units do not move with each request
PEAKS_PER_WINDOW = 4  # into which the use of the last window is divided
MIN_LEASE_FRACTION = 0.05  # of an owner's units: fewer are not worth a datagram
REQUEST_NUMBER_LIMIT = 1 << 40  # request numbers start below it, at random
THOUSANDTHS = 1000.0  # unit of the status, of the complete limit


@dataclass(slots=True, frozen=True)
class QuotaSource:
    """A limit that directors have in common.

    Attributes:
        name: Its name, the same at all directors.
        owners: Directors that own it in equal parts.
        window: Milliseconds over which use is counted.
        share: What the decision module reads and writes.
        location: Location of the directors that share it; empty: all of the fleet.
    """

    name: str
    owners: int
    window: float
    share: QuotaShare
    location: str = ""


@dataclass(slots=True)
class SharedLimit:
    """One limit at one director.

    Attributes:
        source: What it is.
        ledger: Its units.
        demand: Fraction of the limit that this director wants, fading.
        peaks: The largest fraction used in each quarter of the last window, the newest first.
        peak_started_at: When the newest quarter started.
    """

    source: QuotaSource
    ledger: LeaseLedger
    demand: float = 0.0
    peaks: list[float] = field(default_factory=lambda: [0.0])
    peak_started_at: float = 0.0

    def record_use(self, now: float) -> None:
        """Takes over what the decision module has noted since the last call."""
        share = self.source.share
        quarter = self.ledger.window / PEAKS_PER_WINDOW
        while now >= self.peak_started_at + quarter:
            self.peak_started_at = max(self.peak_started_at + quarter, now - self.ledger.window)
            self.peaks = [0.0, *self.peaks[:PEAKS_PER_WINDOW]]
        self.peaks[0] = max(self.peaks[0], share.peak_used)
        wanted = max(share.peak_used * USED_HEADROOM, share.peak_rejected * REJECTED_HEADROOM)
        self.demand = max(wanted, self.demand * 0.5 ** (TICK_INTERVAL / DEMAND_HALF_LIFE))
        share.peak_used = 0.0
        share.peak_rejected = 0.0

    def units_in_use(self) -> int:
        """Returns the units that were used of late or are about to be wanted."""
        return math.ceil(UNITS_PER_LIMIT * max(*self.peaks, self.demand))

    def lenders_with_pending_request(self, now: float) -> set[MemberId]:
        """Returns the directors whose answer may still come."""
        return {
            request.lender
            for request in self.ledger.pending.values()
            if now < request.sent_at + REQUEST_TIMEOUT
        }

    def leases_being_renewed(self, now: float) -> set[int]:
        """Returns the numbers of the leases whose renewal may still be answered."""
        return {
            request.renews
            for request in self.ledger.pending.values()
            if now < request.sent_at + REQUEST_TIMEOUT
        }


Outbox = defaultdict[MemberId, list[LeaseMessage]]


class QuotaExchange:
    """All limits that one director shares; the `Delegate` of its membership.

    Not thread-safe but for `guard`: the membership's thread calls it, while the decision module
    uses the shares in others.
    """

    def __init__(
        self,
        now: float,
        random: Random,
        incarnation: int,
        time_offset: float = 0.0,
        guard: AbstractContextManager | None = None,
    ) -> None:
        """Makes an exchange without limits.

        Args:
            now: Time in ms.
            random: Draws lenders and first request numbers.
            incarnation: Of this director.
            time_offset: Milliseconds that the decision module's clock is ahead of this one's.
            guard: Lock that is held while shares change, so that no units are lent by which a
                request is just being decided.
        """
        self.limits: dict[str, SharedLimit] = {}
        self.counts = {"asked": 0, "lent": 0, "borrowed": 0, "given back": 0, "unusable": 0}
        self._random = random
        self._incarnation = incarnation
        self._next_tick_at = now
        self._time_offset = time_offset
        self._guard = guard or nullcontext()
        self._codec = LeaseCodec()

    def add(self, now: float, source: QuotaSource) -> None:
        """Adds a limit, of which nothing may be used at first."""
        units = UNITS_PER_LIMIT // max(1, source.owners)
        ledger = LeaseLedger(units, source.window, now, self._incarnation)
        # Answers to an earlier incarnation's requests should not fit
        ledger.last_number = self._random.randrange(REQUEST_NUMBER_LIMIT)
        self.limits[source.name] = SharedLimit(source, ledger)
        source.share.is_tracked = True
        source.share.fraction = 0.0

    # As the delegate of membership

    def next_wake_at(self) -> float:
        """Returns when the next tick does something."""
        return self._next_tick_at

    def tick(
        self, now: float, incarnation: int, members: list[tuple[MemberId, str]]
    ) -> list[tuple[MemberId, bytes]]:
        """Renews, releases and requests leases once an interval.

        Args:
            now: Time in ms.
            incarnation: Of this director, as membership has it now.
            members: Alive members with their locations.

        Returns:
            Payloads and their recipients.
        """
        if now < self._next_tick_at:
            return []
        self._next_tick_at = now + TICK_INTERVAL
        outbox: Outbox = defaultdict(list)
        with self._guard:
            for limit in self.limits.values():
                limit.ledger.incarnation = incarnation
                limit.record_use(now)
                self._renew_or_release(now, limit, outbox)
                self._request_missing(now, limit, outbox, members)
                self._update_share(now, limit)
        return [(member_id, self._codec.encode(messages)) for member_id, messages in outbox.items()]

    def receive(
        self, now: float, member_id: MemberId, payload: bytes
    ) -> list[tuple[MemberId, bytes]]:
        """Handles the messages of one payload; returns answers and their recipients."""
        try:
            messages = self._codec.decode(payload)
        except ProtocolError:
            self.counts["unusable"] += 1
            return []
        answers = []
        for message in messages[:MAX_MESSAGES_PER_PAYLOAD]:
            limit = self.limits.get(message.limit)
            if limit is None or message.number < 0 or message.units < 0:
                self.counts["unusable"] += 1
                continue
            with self._guard:
                answer = self._handle(now, member_id, limit, message)
                self._update_share(now, limit)
            if answer is not None:
                answers.append(answer)
        return [(member_id, self._codec.encode(answers))] if answers else []

    def _update_share(self, now: float, limit: SharedLimit) -> None:
        """Sets the decision module's fraction, and when it ends should nothing follow."""
        share = limit.source.share
        ledger = limit.ledger
        first_expiry = min(
            (lease.expires_at for lease in ledger.borrowed.values()), default=math.inf
        )
        share.fallback_fraction = ledger.usable_owned(now) / UNITS_PER_LIMIT
        share.expires_at = self._time_offset + first_expiry
        share.fraction = ledger.usable(now) / UNITS_PER_LIMIT

    def _handle(
        self, now: float, member_id: MemberId, limit: SharedLimit, message: LeaseMessage
    ) -> LeaseMessage | None:
        """Handles one message; returns the answer, if there is one."""
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
            limit.source.name,
            LeaseMessageKind.GRANT,
            message.incarnation,
            grant.number,
            grant.units,
        )

    # As the borrower

    def _renew_or_release(self, now: float, limit: SharedLimit, outbox: Outbox) -> None:
        """Releases leases that are not needed any more, and renews those that end soon."""
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
                    limit.source.name, LeaseMessageKind.RELEASE, ledger.incarnation, number
                )
                outbox[lease.lender].append(release)
            elif now > lease.expires_at - RENEW_AT * LEASE_DURATION and number not in being_renewed:
                request = ledger.request(now, lease.lender, lease.units, number)
                outbox[lease.lender].append(_request_message(limit, request))

    def _request_missing(
        self,
        now: float,
        limit: SharedLimit,
        outbox: Outbox,
        members: Sequence[tuple[MemberId, str]],
    ) -> None:
        """Requests what is missing of the demand, from a few random members at a time."""
        ledger = limit.ledger
        wanted = math.ceil(UNITS_PER_LIMIT * min(1.0, limit.demand))
        missing = wanted - ledger.usable(now)
        capacity = MAX_BORROWED_LEASES - len(ledger.borrowed)
        leases_by_lender = Counter(lease.lender for lease in ledger.borrowed.values())
        waiting_for = limit.lenders_with_pending_request(now)
        candidates = [
            member_id
            for member_id, location in members
            if limit.source.location in ("", location)
            and member_id not in waiting_for
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
        """Returns all limits as JSON objects; parts are thousandths of the complete limit.

        The keys are those of records and of `--json` output, which keep their form.
        """
        return {
            "counts": dict(self.counts),
            "limits": {name: _limit_status(limit, now) for name, limit in self.limits.items()},
        }


def _request_message(limit: SharedLimit, request: LeaseRequest) -> LeaseMessage:
    return LeaseMessage(
        limit.source.name,
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
        "wanted": round(THOUSANDTHS * limit.demand, 2),
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
    return round(THOUSANDTHS * units / UNITS_PER_LIMIT, 2)

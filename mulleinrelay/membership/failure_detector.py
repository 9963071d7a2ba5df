"""Failure detection: pings, indirect pings, suspicion and local health; pure, times in ms.

SWIM (Das, Gupta, Motivala: "SWIM: Scalable Weakly-consistent Infection-style Process Group
Membership Protocol", 2002) with the extensions of Lifeguard (Dadgar, Phillips, Currey: "Lifeguard:
SWIM-ing with Situational Awareness", 2017):

- Each period one member is pinged, in rounds of random order. Where no ack comes in time, others
  are asked to ping it as well (indirect ping); where that brings none either, it is suspected.
- A suspect that refutes in time is alive again; one that doesn't counts as dead. The timeout grows
  with the logarithm of the fleet's size and shrinks with each other director that suspects the
  member too ("dynamic suspicion", Lifeguard IV-B).
- A director that itself fails to get acks and nacks takes itself for slow, and gives all others
  more time ("local health multiplier", Lifeguard IV-A).
"""

import math
from dataclasses import dataclass
from random import Random

from .datagrams import DatagramFactory, OutgoingDatagram
from .member_table import MemberEntry, MemberTable
from .messages import Address, MemberId, MemberState, MemberUpdate, Message, MessageKind

PING_INTERVAL = 500.0
PING_INTERVAL_JITTER = 0.2  # each interval is from 0.9 to 1.1 of it
ACK_TIMEOUT = 150.0  # until indirect pings are asked for, while this director is healthy
INDIRECT_PINGS = 3  # members that are asked for one
MIN_SUSPICION_INTERVALS = 1.5  # ping intervals by log10 of the fleet's size
MAX_SUSPICION_FACTOR = 3.0  # times that, where no other director suspects the member
SUSPICION_CONFIRMATIONS = 3  # other directors that suspect it too, for the least timeout
MAX_HEALTH_SCORE = 8  # timeouts are at most this plus one times as long
FINAL_PINGS = (0.3, 0.5, 0.7)  # fractions of the suspicion timeout after which a suspect is pinged
SUSPICION_CHECK_INTERVAL = 0.2 * PING_INTERVAL  # while any member is suspect
SUSPENSION_PENALTY = 2  # on the health score, after this director itself was stopped
SEQUENCE_START_LIMIT = 1 << 30  # sequence numbers start below it, at random


@dataclass(slots=True, frozen=True)
class PingRequester:
    """The director that asked for an indirect ping, and the number that its answer carries."""

    address: Address
    number: int


@dataclass(slots=True)
class PendingPing:
    """A ping that was sent and not yet answered.

    Attributes:
        member_id: Whom it went to.
        number: Its sequence number.
        sent_at: When it was sent.
        requester: Who asked for it; None for this director's own pings.
        precedence: Of the update that a failure would put in doubt.
        has_indirect_pings: Whether others were asked to ping the member too.
        nacks: Answers of others that they have got no ack either.
    """

    member_id: MemberId
    number: int
    sent_at: float
    requester: PingRequester | None = None
    precedence: tuple[int, int, int] = (0, 0, 0)
    has_indirect_pings: bool = False
    nacks: int = 0


class FailureDetector:
    """Pings the members of a table and sets their state.

    Attributes:
        health_score: 0 while this director itself is healthy, up to `MAX_HEALTH_SCORE`.
        next_ping_at: When the next member is pinged.
    """

    def __init__(
        self, now: float, table: MemberTable, datagrams: DatagramFactory, random: Random
    ) -> None:
        self._table = table
        self._datagrams = datagrams
        self._random = random
        self._last_number = random.randrange(SEQUENCE_START_LIMIT)
        self._pending: dict[int, PendingPing] = {}
        self._ping_order: list[MemberId] = []  # members that this round still has to ping
        self.health_score = 0
        self.next_ping_at = now + PING_INTERVAL * random.random()

    def next_wake_at(self, last_tick_at: float) -> float:
        """Returns when a tick is wanted at the latest."""
        due_times = [self.next_ping_at]
        for ping in self._pending.values():
            if ping.requester is None and not ping.has_indirect_pings:
                due_times.append(ping.sent_at + self._ack_timeout())
        entries = self._table.entries.values()
        if any(entry.update.state == MemberState.SUSPECT for entry in entries):
            due_times.append(last_tick_at + SUSPICION_CHECK_INTERVAL)
        return min(due_times)

    # Received messages

    def handle_ack(self, message: Message) -> list[OutgoingDatagram]:
        """Completes a ping; the ack of an indirect ping is passed on to who asked for it."""
        ping = self._pending.pop(message.number, None)
        if ping is None:
            return []
        if ping.requester is not None:
            return [self._answer(ping.requester, MessageKind.ACK)]
        self.health_score = max(0, self.health_score - 1)
        return []

    def handle_nack(self, message: Message) -> None:
        """Notes that a director which was asked to ping a member has got no ack."""
        if ping := self._pending.get(message.number):
            ping.nacks += 1

    def handle_indirect_ping(
        self, now: float, requester: PingRequester, target: MemberUpdate
    ) -> list[OutgoingDatagram]:
        """Pings a member for another director."""
        number = self._next_number()
        self._pending[number] = PendingPing(target.member_id, number, now, requester)
        return [self._ping(target, number)]

    def notify_suspect(self, update: MemberUpdate) -> list[OutgoingDatagram]:
        """Pings a suspect, so that it learns of the suspicion and can refute it."""
        return [self._ping(update, self._next_number())]

    # Time

    def handle_suspension(self, now: float) -> None:
        """This director was stopped: pending pings prove nothing, suspicions start anew."""
        self._pending.clear()
        self.health_score = min(MAX_HEALTH_SCORE, self.health_score + SUSPENSION_PENALTY)
        for entry in self._table.entries.values():
            if entry.update.state == MemberState.SUSPECT:
                entry.state_since = now

    def check_pending_pings(self, now: float) -> list[OutgoingDatagram]:
        """Asks for indirect pings where an ack is late, then suspects the member."""
        out = []
        for number, ping in list(self._pending.items()):
            entry = self._table.entries.get(ping.member_id)
            if ping.requester is not None:
                if now > ping.sent_at + PING_INTERVAL:
                    del self._pending[number]
                    out.append(self._answer(ping.requester, MessageKind.NACK))
            elif entry is None or not entry.is_active:
                del self._pending[number]
            elif not ping.has_indirect_pings and now > ping.sent_at + self._ack_timeout():
                ping.has_indirect_pings = True
                out += self._request_indirect_pings(ping, entry.update)
            elif now > ping.sent_at + PING_INTERVAL * self._health_factor() + self._ack_timeout():
                del self._pending[number]
                out.append(self._suspect(now, ping, entry))
        return out

    def check_suspects(self, now: float) -> list[OutgoingDatagram]:
        """Pings suspects some last times; those whose timeout is over have died."""
        cluster_size = self._table.cluster_size()
        out = []
        for member_id, entry in list(self._table.entries.items()):
            if entry.update.state != MemberState.SUSPECT:
                continue
            timeout = self._suspicion_timeout(cluster_size, len(entry.suspected_by))
            sent = entry.final_pings_sent
            if now > entry.state_since + timeout:
                self._table.set_state(now, member_id, MemberState.DEAD)
            elif sent < len(FINAL_PINGS) and now > entry.state_since + FINAL_PINGS[sent] * timeout:
                entry.final_pings_sent += 1
                out.append(self._ping(entry.update, self._next_number()))
        return out

    def ping_if_due(self, now: float) -> list[OutgoingDatagram]:
        """Pings the next member once an interval, and lets the table forget old ones."""
        if now < self.next_ping_at:
            return []
        jitter = 1.0 - 0.5 * PING_INTERVAL_JITTER + PING_INTERVAL_JITTER * self._random.random()
        self.next_ping_at = now + PING_INTERVAL * jitter
        self._table.remove_expired(now)
        entry = self._next_to_ping()
        if entry is None:
            return []
        update = entry.update
        number = self._next_number()
        self._pending[number] = PendingPing(
            update.member_id, number, now, precedence=update.precedence
        )
        return [self._ping(update, number)]

    def _next_to_ping(self) -> MemberEntry | None:
        """Takes the next active member of this round; a new round has a new random order.

        So no member waits longer than two rounds for its ping (SWIM, 4.3).
        """
        while self._ping_order:
            entry = self._table.entries.get(self._ping_order.pop())
            if entry is not None and entry.is_active:
                return entry
        self._ping_order = [update.member_id for update in self._table.active_members()]
        self._random.shuffle(self._ping_order)
        if not self._ping_order:
            return None
        return self._table.entries[self._ping_order.pop()]

    def _request_indirect_pings(
        self, ping: PendingPing, update: MemberUpdate
    ) -> list[OutgoingDatagram]:
        """Pings the member again, and asks some others to ping it too."""
        others = [
            other
            for other in self._table.active_members()
            if other.member_id != ping.member_id and other.state == MemberState.ALIVE
        ]
        out = [self._ping(update, ping.number)]
        for other in self._random.sample(others, min(INDIRECT_PINGS, len(others))):
            out.append(
                self._datagrams.with_broadcasts(
                    other.address, MessageKind.INDIRECT_PING, ping.number, update, other.member_id
                )
            )
        return out

    def _suspect(self, now: float, ping: PendingPing, entry: MemberEntry) -> OutgoingDatagram:
        """Suspects a member that has not acknowledged a ping, or confirms its suspicion.

        Where none of the others that were asked has sent a nack, the fault may be on this side:
        then the own health score gets worse too.
        """
        has_others = self._table.cluster_size() - 2 > 0
        if has_others and not ping.nacks:
            self.health_score = min(MAX_HEALTH_SCORE, self.health_score + 1)
        is_unchanged = entry.update.precedence == ping.precedence
        if is_unchanged and entry.update.state == MemberState.ALIVE:
            self._table.set_state(now, ping.member_id, MemberState.SUSPECT)
        elif entry.update.state == MemberState.SUSPECT:
            self._table.merge(now, entry.update, self._table.local.member_id)
        return self._ping(entry.update, self._next_number())

    # Timeouts

    def _health_factor(self) -> int:
        return 1 + self.health_score

    def _ack_timeout(self) -> float:
        return ACK_TIMEOUT * self._health_factor()

    def _suspicion_timeout(self, cluster_size: int, suspecting: int) -> float:
        """Returns how long a suspect may take to refute (Lifeguard, IV-B).

        Args:
            cluster_size: Of the fleet before this check has found any member dead.
            suspecting: Directors that suspect the member.
        """
        least = MIN_SUSPICION_INTERVALS * max(1.0, math.log10(cluster_size)) * PING_INTERVAL
        confirmations = max(1, min(SUSPICION_CONFIRMATIONS, self._table.cluster_size() - 2))
        agreement = math.log(min(suspecting, confirmations + 1)) / math.log(confirmations + 1)
        factor = MAX_SUSPICION_FACTOR - (MAX_SUSPICION_FACTOR - 1.0) * agreement
        return least * factor * self._health_factor()

    # Datagrams

    def _next_number(self) -> int:
        self._last_number += 1
        return self._last_number

    def _ping(self, update: MemberUpdate, number: int) -> OutgoingDatagram:
        return self._datagrams.with_broadcasts(
            update.address, MessageKind.PING, number, recipient=update.member_id
        )

    def _answer(self, requester: PingRequester, kind: MessageKind) -> OutgoingDatagram:
        return self._datagrams.with_broadcasts(requester.address, kind, requester.number)

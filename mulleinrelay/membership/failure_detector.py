"""Failure detection: pings, indirect pings, suspicion and local health. No I/O; times in ms.

It implements SWIM (Das, Gupta, Motivala: "SWIM: Scalable Weakly-consistent Infection-style Process
Group Membership Protocol", 2002) with the extensions of Lifeguard (Dadgar, Phillips, Currey:
"Lifeguard: SWIM-ing with Situational Awareness", 2017):

- A director pings one member per ping interval. Each round of pings goes through all active members
  in a random order. If no ack arrives in time, other members are asked to ping the member as well
  (indirect ping). If no ack arrives then either, the member becomes suspect.
- A suspect that refutes the suspicion in time is alive again; otherwise it becomes dead. The
  suspicion timeout grows with the logarithm of the fleet's size. It shrinks with each further
  director that reports the member as suspect ("dynamic suspicion", Lifeguard IV-B).
- A director that receives neither an ack nor a nack assumes that it may be slow itself, and
  increases its timeouts for all members ("local health multiplier", Lifeguard IV-A).
"""

import math
from dataclasses import dataclass, field
from random import Random

from .datagrams import DatagramFactory, OutgoingDatagram
from .member_table import MemberEntry, MemberTable
from .messages import Address, MemberId, MemberState, MemberUpdate, Message, MessageKind

PING_INTERVAL_MS = 500.0
PING_INTERVAL_JITTER = 0.2  # relative width: each interval is 0.9 to 1.1 times PING_INTERVAL_MS
ACK_TIMEOUT_MS = 150.0  # after which indirect pings are requested, at health score 0
INDIRECT_PINGS = 3  # members that are asked to ping a member that sent no ack
# Minimum suspicion timeout: ping intervals per log10 of the fleet's size. The log10 counts as at
# least 1.
MIN_SUSPICION_INTERVALS = 1.5
MAX_SUSPICION_FACTOR = 3.0  # maximum suspicion timeout, as a multiple of the minimum
# Further suspecting directors that reduce the timeout to the minimum (fewer in a small fleet)
SUSPICION_CONFIRMATIONS = 3
MAX_HEALTH_SCORE = 8  # timeouts are multiplied by the score plus one
# Fractions of the suspicion timeout after which a suspect is pinged again
SUSPECT_PING_FRACTIONS = (0.3, 0.5, 0.7)
SUSPICION_CHECK_INTERVAL_MS = 0.2 * PING_INTERVAL_MS  # while any member is suspect
PAUSE_HEALTH_PENALTY = 2  # added to the health score after this process was paused
SEQUENCE_START_LIMIT = 1 << 30  # exclusive bound of the random first sequence number


@dataclass(slots=True, frozen=True)
class PingRequester:
    """A director that requested an indirect ping, and the sequence number of its request."""

    address: Address
    sequence_number: int


@dataclass(slots=True)
class PendingPing:
    """A ping whose ack is still awaited.

    Pings that only tell a suspect of the suspicion are not recorded.

    Attributes:
        member_id: Member that was pinged.
        sequence_number: Sequence number of the ping.
        sent_at: Time at which the ping was sent.
        requester: Director that requested this indirect ping; None for this director's own ping.
        precedence: Precedence of the member's update when the ping was sent. The member becomes
            suspect only if its update has not changed since. Unused for an indirect ping.
        has_indirect_pings: Whether other members were asked to ping the member too.
        helpers: These other members, which forward an ack.
        nacks: Number of members that were asked for an indirect ping and sent a nack, as they have
            received no ack either.
    """

    member_id: MemberId
    sequence_number: int
    sent_at: float
    requester: PingRequester | None = None
    precedence: tuple[int, int, int] = (0, 0, 0)
    has_indirect_pings: bool = False
    nacks: int = 0
    helpers: set[MemberId] = field(default_factory=set)

    def may_be_acked_by(self, sender: MemberId) -> bool:
        """Return whether an ack of this sender says that the pinged member is alive.

        Another director may have started at the address of a member that is gone.
        """
        return sender == self.member_id or sender in self.helpers


class FailureDetector:
    """Failure detector that pings the members of a table and updates their states.

    Attributes:
        health_score: Score of this director's own health, from 0 (healthy) to `MAX_HEALTH_SCORE`.
        next_ping_at: Time of the next ping of a round.
    """

    def __init__(
        self, now: float, table: MemberTable, datagrams: DatagramFactory, random: Random
    ) -> None:
        self._table = table
        self._datagrams = datagrams
        self._random = random
        self._last_sequence_number = random.randrange(SEQUENCE_START_LIMIT)
        self._pending: dict[int, PendingPing] = {}
        self._ping_order: list[MemberId] = []  # members that are still to be pinged in this round
        self.health_score = 0
        self.next_ping_at = now + PING_INTERVAL_MS * random.random()

    def next_wake_at(self, last_tick_at: float) -> float:
        """Return the time of the next required tick, after a last tick at `last_tick_at`."""
        due_times = [self.next_ping_at]
        for ping in self._pending.values():
            if ping.requester is None and not ping.has_indirect_pings:
                due_times.append(ping.sent_at + self._ack_timeout())
        entries = self._table.entries.values()
        if any(entry.update.state == MemberState.SUSPECT for entry in entries):
            due_times.append(last_tick_at + SUSPICION_CHECK_INTERVAL_MS)
        return min(due_times)

    # Received messages

    def handle_ack(self, message: Message) -> list[OutgoingDatagram]:
        """Complete the pending ping with the ack's number.

        The ack is ignored if there is no such ping, or if its sender is neither the pinged member
        nor a member that was asked to ping it.

        The ack of an indirect ping is forwarded to the director that requested the ping. The ack of
        this director's own ping lowers, that is improves, this director's health score.
        """
        ping = self._pending.get(message.number)
        if ping is None or not ping.may_be_acked_by(message.sender.member_id):
            return []
        del self._pending[message.number]
        if ping.requester is not None:
            return [self._reply(ping.requester, MessageKind.ACK)]
        self.health_score = max(0, self.health_score - 1)
        return []

    def handle_nack(self, message: Message) -> None:
        """Count a nack: its sender was asked for an indirect ping and received no ack in time.

        A nack for a ping that is no longer pending is ignored.
        """
        if ping := self._pending.get(message.number):
            ping.nacks += 1

    def handle_indirect_ping(
        self, now: float, requester: PingRequester, target: MemberUpdate
    ) -> list[OutgoingDatagram]:
        """Ping a member on behalf of another director."""
        number = self._next_sequence_number()
        self._pending[number] = PendingPing(target.member_id, number, now, requester)
        return [self._ping(target, number)]

    def notify_suspect(self, update: MemberUpdate) -> list[OutgoingDatagram]:
        """Ping a suspect, so that it learns of the suspicion and can refute it."""
        return [self._ping(update, self._next_sequence_number())]

    # Periodic checks

    def handle_pause(self, now: float) -> None:
        """Discard the pending pings and restart all suspicion timeouts after a pause.

        While this process was paused it received no acks, so the missing acks prove nothing. The
        pause also raises the health score.
        """
        self._pending.clear()
        self.health_score = min(MAX_HEALTH_SCORE, self.health_score + PAUSE_HEALTH_PENALTY)
        for entry in self._table.entries.values():
            if entry.update.state == MemberState.SUSPECT:
                entry.state_since = now

    def check_pending_pings(self, now: float) -> list[OutgoingDatagram]:
        """Handle pings whose ack is overdue.

        For a ping of its own, this director first requests indirect pings. If there is still no ack
        later, it suspects the member. Pings of members that have departed are only removed. For a
        ping that another director requested, that director gets a nack.
        """
        outgoing = []
        for number, ping in list(self._pending.items()):
            entry = self._table.entries.get(ping.member_id)
            if ping.requester is not None:
                if now > ping.sent_at + PING_INTERVAL_MS:
                    del self._pending[number]
                    outgoing.append(self._reply(ping.requester, MessageKind.NACK))
            elif entry is None or not entry.is_active:
                del self._pending[number]
            elif not ping.has_indirect_pings and now > ping.sent_at + self._ack_timeout():
                ping.has_indirect_pings = True
                outgoing += self._request_indirect_pings(ping, entry.update)
            elif (
                now > ping.sent_at + PING_INTERVAL_MS * self._health_factor() + self._ack_timeout()
            ):
                del self._pending[number]
                outgoing.append(self._suspect(now, ping, entry))
        return outgoing

    def check_suspects(self, now: float) -> list[OutgoingDatagram]:
        """Ping suspects again; declare suspects dead when their suspicion timeout has expired."""
        cluster_size = self._table.cluster_size()
        outgoing = []
        for member_id, entry in list(self._table.entries.items()):
            if entry.update.state != MemberState.SUSPECT:
                continue
            timeout = self._suspicion_timeout(cluster_size, len(entry.suspected_by))
            sent = entry.suspect_pings_sent
            if now > entry.state_since + timeout:
                self._table.set_state(now, member_id, MemberState.DEAD)
            elif (
                sent < len(SUSPECT_PING_FRACTIONS)
                and now > entry.state_since + SUSPECT_PING_FRACTIONS[sent] * timeout
            ):
                entry.suspect_pings_sent += 1
                outgoing.append(self._ping(entry.update, self._next_sequence_number()))
        return outgoing

    def ping_if_due(self, now: float) -> list[OutgoingDatagram]:
        """Ping the next member of the round, once per ping interval.

        At the same time, remove from the table the members that departed more than
        `DEPARTED_RETENTION_MS` ago.
        """
        if now < self.next_ping_at:
            return []
        jitter = 1.0 - 0.5 * PING_INTERVAL_JITTER + PING_INTERVAL_JITTER * self._random.random()
        self.next_ping_at = now + PING_INTERVAL_MS * jitter
        self._table.remove_expired(now)
        entry = self._next_to_ping()
        if entry is None:
            return []
        update = entry.update
        number = self._next_sequence_number()
        self._pending[number] = PendingPing(
            update.member_id, number, now, precedence=update.precedence
        )
        return [self._ping(update, number)]

    def _next_to_ping(self) -> MemberEntry | None:
        """Return the next active member of this round; None if no other member is active.

        Each round has a new random order. A member thus waits at most two rounds for its ping
        (SWIM, 4.3).
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
        """Ping the member again, and ask up to `INDIRECT_PINGS` alive members to ping it too."""
        others = [
            other
            for other in self._table.active_members()
            if other.member_id != ping.member_id and other.state == MemberState.ALIVE
        ]
        outgoing = [self._ping(update, ping.sequence_number)]
        for other in self._random.sample(others, min(INDIRECT_PINGS, len(others))):
            ping.helpers.add(other.member_id)
            outgoing.append(
                self._datagrams.with_broadcasts(
                    other.address,
                    MessageKind.INDIRECT_PING,
                    ping.sequence_number,
                    update,
                    other.member_id,
                )
            )
        return outgoing

    def _suspect(self, now: float, ping: PendingPing, entry: MemberEntry) -> OutgoingDatagram:
        """Suspect a member that sent no ack, or confirm the suspicion if it is suspect already.

        An alive member is not suspected if its update has changed since the ping. In each case the
        member is pinged again, so that it learns of a suspicion.

        If the fleet has further members but none has sent a nack, the fault may be local. The
        health score is then raised as well.
        """
        has_others = self._table.cluster_size() - 2 > 0
        if has_others and not ping.nacks:
            self.health_score = min(MAX_HEALTH_SCORE, self.health_score + 1)
        is_unchanged = entry.update.precedence == ping.precedence
        if is_unchanged and entry.update.state == MemberState.ALIVE:
            self._table.set_state(now, ping.member_id, MemberState.SUSPECT)
        elif entry.update.state == MemberState.SUSPECT:
            self._table.merge(now, entry.update, self._table.local.member_id)
        return self._ping(entry.update, self._next_sequence_number())

    # Timeouts

    def _health_factor(self) -> int:
        return 1 + self.health_score

    def _ack_timeout(self) -> float:
        return ACK_TIMEOUT_MS * self._health_factor()

    def _suspicion_timeout(self, cluster_size: int, suspector_count: int) -> float:
        """Return the ms that a suspect has to refute the suspicion (Lifeguard, IV-B).

        Args:
            cluster_size: Number of active members, including this director, at the beginning of
                the current check of all suspects.
            suspector_count: Number of directors that have reported the member as suspect, at least
                1; this director may be among them.
        """
        min_timeout = (
            MIN_SUSPICION_INTERVALS * max(1.0, math.log10(cluster_size)) * PING_INTERVAL_MS
        )
        confirmations = max(1, min(SUSPICION_CONFIRMATIONS, self._table.cluster_size() - 2))
        agreement = math.log(min(suspector_count, confirmations + 1)) / math.log(confirmations + 1)
        factor = MAX_SUSPICION_FACTOR - (MAX_SUSPICION_FACTOR - 1.0) * agreement
        return min_timeout * factor * self._health_factor()

    # Datagrams

    def _next_sequence_number(self) -> int:
        self._last_sequence_number += 1
        return self._last_sequence_number

    def _ping(self, update: MemberUpdate, number: int) -> OutgoingDatagram:
        return self._datagrams.with_broadcasts(
            update.address, MessageKind.PING, number, recipient=update.member_id
        )

    def _reply(self, requester: PingRequester, kind: MessageKind) -> OutgoingDatagram:
        return self._datagrams.with_broadcasts(requester.address, kind, requester.sequence_number)

"""Membership protocol of one director: handles received datagrams and periodic work. No I/O.

It implements SWIM (Das, Gupta, Motivala 2002) with parts of Lifeguard (Dadgar, Phillips, Currey
2017), in the terms of hashicorp/memberlist. `failure_detector.py` describes the implemented parts.
Member updates spread as gossip, which is piggybacked on the datagrams of failure detection
(`broadcast_queue.py`), and by push/pull synchronization (`state_sync.py`).
"""

from random import Random
from typing import Protocol

import msgspec

from .datagrams import NO_SEQUENCE_NUMBER, DatagramFactory, OutgoingDatagram
from .failure_detector import PING_INTERVAL_MS, FailureDetector, PingRequester
from .member_table import MemberEvent, MemberEventKind, MemberTable
from .messages import (
    Address,
    DatagramCodec,
    DropReason,
    InvalidDatagramError,
    MemberId,
    MemberState,
    MemberUpdate,
    Message,
    MessageKind,
)
from .state_sync import StateSync

# A longer time between two ticks means that the process was paused
PAUSE_THRESHOLD_MS = 4.0 * PING_INTERVAL_MS
SUSPECT_NOTIFICATIONS = 3  # expected number of directors that notify a suspect of the suspicion
REFUTATION_FANOUT = 4  # members that receive a refutation immediately
LEAVE_FANOUT = 6  # members that are notified immediately when this director leaves
MAX_DATAGRAMS_PER_WINDOW = 400  # decoded per RATE_WINDOW_MS; further datagrams are dropped
RATE_WINDOW_MS = 1000.0


class Delegate(Protocol):
    """Component that exchanges its own messages between members (`Delegate` of memberlist).

    A delegate does no I/O. The protocol calls it with times of the protocol's clock, and under the
    lock that guards the protocol.
    """

    def next_wake_at(self) -> float:
        """Return the time of the next required tick."""

    def tick(
        self, now: float, incarnation: int, members: list[tuple[MemberId, str]]
    ) -> list[tuple[MemberId, bytes]]:
        """Do the work that is due; return the recipient and the payload of each message to send.

        Args:
            now: Time in ms.
            incarnation: Current incarnation of this director.
            members: The other alive members with their locations.
        """

    def receive(
        self, now: float, member_id: MemberId, payload: bytes
    ) -> list[tuple[MemberId, bytes]]:
        """Handle a payload from an alive or suspect member; return responses as `tick` does."""

    def status(self, now: float) -> dict[str, object]:
        """Return the status for operators, as a JSON object."""


class SwimProtocol:
    """SWIM protocol of one director.

    `receive`, `tick` and `leave` return the datagrams to send. Member events accumulate in the
    table until `take_events`. The class is not thread-safe: the owner calls it under a lock.

    Attributes:
        table: Member table of this director.
        detector: Failure detector of this director.
        delegate: Component that sends and receives user messages; None to ignore received ones.
        dropped_datagrams: Number of datagrams dropped so far, by reason.
    """

    def __init__(
        self,
        now: float,
        table: MemberTable,
        codec: DatagramCodec,
        seeds: list[Address],
        random: Random,
    ) -> None:
        self.table = table
        self.delegate: Delegate | None = None
        self.dropped_datagrams: dict[DropReason, int] = {}
        self._codec = codec
        self._random = random
        self._datagrams = DatagramFactory(codec, table)
        # Both components draw random numbers when they are created. Another order would change the
        # runs of simulations with a given seed.
        self.detector = FailureDetector(now, table, self._datagrams, random)
        self._sync = StateSync(now, table, self._datagrams, seeds, random)
        self._last_tick_at = now
        self._rate_window_start = 0.0
        self._datagrams_in_window = 0
        self._has_left = False

    def take_events(self) -> list[MemberEvent]:
        """Return the events since the last call, and clear them."""
        events = self.table.events
        self.table.events = []
        return events

    def next_wake_at(self) -> float:
        """Return the time of the next required `tick`."""
        due = min(self.detector.next_wake_at(self._last_tick_at), self._sync.next_wake_at())
        return due if self.delegate is None else min(due, self.delegate.next_wake_at())

    # Datagrams

    def receive(self, now: float, address: Address, data: bytes) -> list[OutgoingDatagram]:
        """Handle one datagram; nothing is done after `leave`.

        Args:
            now: Time in ms.
            address: Address that the datagram came from.
            data: Content of the datagram, not validated yet.

        Returns:
            Datagrams to send.
        """
        if now >= self._rate_window_start + RATE_WINDOW_MS:
            self._rate_window_start = now
            self._datagrams_in_window = 0
        self._datagrams_in_window += 1
        if self._has_left:
            return []
        if self._datagrams_in_window > MAX_DATAGRAMS_PER_WINDOW:
            self._count_drop(DropReason.RATE_LIMITED)
            return []
        try:
            message = self._codec.decode(data)
        except InvalidDatagramError as error:
            self._count_drop(error.reason)
            return []
        if message.sender.member_id == self.table.local.member_id:
            self._count_drop(DropReason.OWN_DATAGRAM)
            return []
        return self._handle(now, address, message)

    def _count_drop(self, reason: DropReason) -> None:
        self.dropped_datagrams[reason] = self.dropped_datagrams.get(reason, 0) + 1

    def _handle(self, now: float, address: Address, message: Message) -> list[OutgoingDatagram]:
        sender = message.sender
        self.table.merge(now, sender, sender.member_id)
        entry = self.table.entries.get(sender.member_id)
        is_trusted = False
        # The second condition excludes delayed datagrams from before the sender's last restart or
        # refutation.
        if entry is not None and entry.update.precedence[:2] == sender.precedence[:2]:
            entry.last_received_at = now
            # A sender that this director considers dead or left is not trusted: its updates may be
            # out of date, or wrong because the sender receives no datagrams. The response to a ping
            # or sync request tells the sender how it is seen, so that it can refute this.
            is_trusted = entry.is_active
        outgoing: list[OutgoingDatagram] = []
        previous = self.table.local
        has_changes = self._merge_updates(now, message, is_trusted, outgoing)
        if message.kind == MessageKind.SYNC_PAGE:
            self._sync.handle_page(now, message.number, has_changes)
        if previous.precedence != self.table.local.precedence:
            outgoing += self._announce_refutation()
        outgoing += self._respond(now, address, message, is_trusted)
        return outgoing

    def _merge_updates(
        self, now: float, message: Message, is_trusted: bool, outgoing: list[OutgoingDatagram]
    ) -> bool:
        """Merge the updates of a message; ping some members that the message reports as suspect.

        A suspect is pinged only if the update changed the table (see `_notify_suspect`).

        Args:
            now: Time in ms.
            message: The message.
            is_trusted: Whether the sender's updates about other members are accepted. Updates
                about this director are always accepted.
            outgoing: Datagrams to send are appended to this list.

        Returns:
            Whether any update changed the table.
        """
        has_changes = False
        local_id = self.table.local.member_id
        for update in message.updates:
            if not is_trusted and update.member_id != local_id:
                continue
            if self.table.merge(now, update, message.sender.member_id):
                has_changes = True
                if update.state == MemberState.SUSPECT:
                    outgoing += self._notify_suspect(update)
        return has_changes

    def _respond(
        self, now: float, address: Address, message: Message, is_trusted: bool
    ) -> list[OutgoingDatagram]:
        sender_id = message.sender.member_id
        match message.kind:
            case MessageKind.PING:
                return [
                    self._datagrams.with_broadcasts(
                        address, MessageKind.ACK, message.number, recipient=sender_id
                    )
                ]
            case MessageKind.ACK:
                return self.detector.handle_ack(message)
            case MessageKind.INDIRECT_PING if message.target is not None and is_trusted:
                requester = PingRequester(address, message.number)
                return self.detector.handle_indirect_ping(now, requester, message.target)
            case MessageKind.NACK:
                self.detector.handle_nack(message)
            case MessageKind.USER_MESSAGE if self.delegate is not None and is_trusted:
                return self._wrap_payloads(self.delegate.receive(now, sender_id, message.payload))
            case MessageKind.SYNC_REQUEST:
                return self._sync.handle_request(address, sender_id, message.number)
        return []

    def _notify_suspect(self, update: MemberUpdate) -> list[OutgoingDatagram]:
        """Ping a suspect, with a probability of `SUSPECT_NOTIFICATIONS` / fleet size.

        Each director that learns of the suspicion does this, so the suspect receives about
        `SUSPECT_NOTIFICATIONS` pings. The pings inform the suspect early, as it may have little
        time left to refute the suspicion.
        """
        if update.member_id == self.table.local.member_id:
            return []
        if self._random.random() * self.table.cluster_size() >= SUSPECT_NOTIFICATIONS:
            return []
        return self.detector.notify_suspect(update)

    def _announce_refutation(self) -> list[OutgoingDatagram]:
        members = self.table.active_members()
        return [
            self._datagrams.with_broadcasts(
                update.address, MessageKind.ACK, NO_SEQUENCE_NUMBER, recipient=update.member_id
            )
            for update in self._random.sample(members, min(REFUTATION_FANOUT, len(members)))
        ]

    def _wrap_payloads(self, payloads: list[tuple[MemberId, bytes]]) -> list[OutgoingDatagram]:
        return [
            self._datagrams.with_payload((host, port), payload)
            for (_, host, port), payload in payloads
        ]

    # Periodic work

    def tick(self, now: float) -> list[OutgoingDatagram]:
        """Do the work that is due; return the datagrams to send."""
        if self._has_left:
            return []
        if now > self._last_tick_at + PAUSE_THRESHOLD_MS:
            self._handle_pause(now)
        self._last_tick_at = now
        outgoing = self.detector.check_pending_pings(now)
        outgoing += self.detector.check_suspects(now)
        outgoing += self.detector.ping_if_due(now)
        outgoing += self._tick_delegate(now)
        outgoing += self._sync.sync_if_due(now)
        outgoing += self._sync.reconnect_if_due(now)
        return outgoing

    def _tick_delegate(self, now: float) -> list[OutgoingDatagram]:
        if self.delegate is None:
            return []
        members = [
            (update.member_id, update.location)
            for update in self.table.active_members()
            if update.state == MemberState.ALIVE
        ]
        return self._wrap_payloads(self.delegate.tick(now, self.table.local.incarnation, members))

    def _handle_pause(self, now: float) -> None:
        """Discard pending pings, restart suspicion timeouts, make a sync due, and add an event.

        After a pause of this process its view of the other members is out of date.
        """
        self.detector.handle_pause(now)
        self._sync.sync_soon(now)
        self.table.events.append(MemberEvent(MemberEventKind.PAUSED, self.table.local))

    def leave(self) -> list[OutgoingDatagram]:
        """Leave the fleet; return datagrams that tell some members, which spread the update.

        From then on `receive` and `tick` do nothing.
        """
        self.table.local = msgspec.structs.replace(self.table.local, state=MemberState.LEFT)
        self._has_left = True
        members = self.table.active_members()
        return [
            self._datagrams.with_updates(
                update.address, MessageKind.ACK, NO_SEQUENCE_NUMBER, [self.table.local]
            )
            for update in self._random.sample(members, min(LEAVE_FANOUT, len(members)))
        ]

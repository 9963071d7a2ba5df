"""The membership protocol of one director: what it does with datagrams and as time passes. Pure.

SWIM (Das, Gupta, Motivala 2002) with parts of Lifeguard (Dadgar, Phillips, Currey 2017), in the
terms of hashicorp/memberlist; `failure_detector.py` has what is followed. Member updates spread as
gossip that is piggybacked on the datagrams of failure detection (`broadcast_queue.py`), and by
push/pull (`state_sync.py`).
"""

from random import Random
from typing import Protocol

import msgspec

from .datagrams import NO_NUMBER, DatagramFactory, OutgoingDatagram
from .failure_detector import PING_INTERVAL, FailureDetector, PingRequester
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

SUSPENSION_THRESHOLD = (
    4.0 * PING_INTERVAL
)  # between two ticks: longer, and this director was stopped
SUSPECT_NOTIFICATIONS = 3  # directors, of all that hear of a suspicion, that notify the suspect
REFUTATION_FANOUT = 4  # members that a refutation is sent to at once
LEAVE_FANOUT = 6  # members that are notified at once when this director leaves
MAX_DATAGRAMS_PER_WINDOW = 400  # that are read; more are dropped unread
RATE_WINDOW = 1000.0  # ms


class Delegate(Protocol):
    """What exchanges messages of its own between members (`Delegate` of memberlist).

    It is as pure as the protocol and is called with the same time, under the same lock.
    """

    def next_wake_at(self) -> float:
        """Returns when a tick is wanted at the latest."""

    def tick(
        self, now: float, incarnation: int, members: list[tuple[MemberId, str]]
    ) -> list[tuple[MemberId, bytes]]:
        """Takes the alive members with their locations; returns payloads and their recipients."""

    def receive(
        self, now: float, member_id: MemberId, payload: bytes
    ) -> list[tuple[MemberId, bytes]]:
        """Takes a payload of a member that is trusted; returns payloads and their recipients."""

    def status(self, now: float) -> dict[str, object]:
        """Returns what is shown to operators, as JSON objects."""


class SwimProtocol:
    """The protocol: `receive` and `tick` return datagrams to send, events gather in the table.

    Not thread-safe: the owner calls it under a lock.

    Attributes:
        table: The members.
        detector: Failure detection.
        delegate: Receiver of user messages; None: they are ignored.
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
        # The order of these two is the order of their random draws
        self.detector = FailureDetector(now, table, self._datagrams, random)
        self._sync = StateSync(now, table, self._datagrams, seeds, random)
        self._last_tick_at = now
        self._rate_window_start = 0.0
        self._datagrams_in_window = 0
        self._has_left = False

    def take_events(self) -> list[MemberEvent]:
        """Returns the events since the last call, and forgets them."""
        events = self.table.events
        self.table.events = []
        return events

    def next_wake_at(self) -> float:
        """Returns when `tick` is wanted at the latest."""
        due = min(self.detector.next_wake_at(self._last_tick_at), self._sync.next_wake_at())
        return due if self.delegate is None else min(due, self.delegate.next_wake_at())

    # Datagrams

    def receive(self, now: float, address: Address, data: bytes) -> list[OutgoingDatagram]:
        """Handles one datagram.

        Args:
            now: Time in ms.
            address: Where it comes from.
            data: Its bytes, of which nothing is assumed.

        Returns:
            Datagrams to send.
        """
        if now >= self._rate_window_start + RATE_WINDOW:
            self._rate_window_start = now
            self._datagrams_in_window = 0
        self._datagrams_in_window += 1
        if self._has_left:
            return []
        if self._datagrams_in_window > MAX_DATAGRAMS_PER_WINDOW:
            self._count_drop(DropReason.RATE)
            return []
        try:
            message = self._codec.decode(data)
        except InvalidDatagramError as error:
            self._count_drop(error.reason)
            return []
        if message.sender.member_id == self.table.local.member_id:
            self._count_drop(DropReason.SELF)
            return []
        return self._handle(now, address, message)

    def _count_drop(self, reason: DropReason) -> None:
        self.dropped_datagrams[reason] = self.dropped_datagrams.get(reason, 0) + 1

    def _handle(self, now: float, address: Address, message: Message) -> list[OutgoingDatagram]:
        sender = message.sender
        self.table.merge(now, sender, sender.member_id)
        entry = self.table.entries.get(sender.member_id)
        is_trusted = False
        if entry is not None and entry.update.precedence[:2] == sender.precedence[:2]:
            entry.last_received_at = now
            # A sender that counts as dead learns so and may refute it; what it says of others may
            # be long out of date, or come of its receiving nothing.
            is_trusted = entry.is_active
        out: list[OutgoingDatagram] = []
        before = self.table.local
        has_news = self._merge_updates(now, message, is_trusted, out)
        if message.kind == MessageKind.SYNC_PAGE:
            self._sync.handle_page(now, message.number, has_news)
        if before.precedence != self.table.local.precedence:
            out += self._announce_refutation()
        out += self._answer(now, address, message, is_trusted)
        return out

    def _merge_updates(
        self, now: float, message: Message, is_trusted: bool, out: list[OutgoingDatagram]
    ) -> bool:
        """Merges the updates that came along, and notifies suspects.

        Args:
            now: Time in ms.
            message: The message.
            is_trusted: Whether its sender is believed on others than this director.
            out: Datagrams to send are appended here.

        Returns:
            Whether any update has changed anything.
        """
        has_news = False
        local_id = self.table.local.member_id
        for update in message.updates:
            if not is_trusted and update.member_id != local_id:
                continue
            if self.table.merge(now, update, message.sender.member_id):
                has_news = True
                if update.state == MemberState.SUSPECT:
                    out += self._notify_suspect(update)
        return has_news

    def _answer(
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
                return self._wrap(self.delegate.receive(now, sender_id, message.payload))
            case MessageKind.SYNC_REQUEST:
                return self._sync.handle_request(address, sender_id, message.number)
        return []

    def _notify_suspect(self, update: MemberUpdate) -> list[OutgoingDatagram]:
        """Pings a suspect with the odds by which some of all that hear of it do so.

        The suspect may have little time left to refute.
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
                update.address, MessageKind.ACK, NO_NUMBER, recipient=update.member_id
            )
            for update in self._random.sample(members, min(REFUTATION_FANOUT, len(members)))
        ]

    def _wrap(self, payloads: list[tuple[MemberId, bytes]]) -> list[OutgoingDatagram]:
        return [
            self._datagrams.with_payload((host, port), payload)
            for (_, host, port), payload in payloads
        ]

    # Time

    def tick(self, now: float) -> list[OutgoingDatagram]:
        """Does what is due and returns datagrams to send."""
        if self._has_left:
            return []
        if now > self._last_tick_at + SUSPENSION_THRESHOLD:
            self._handle_suspension(now)
        self._last_tick_at = now
        out = self.detector.check_pending_pings(now)
        out += self.detector.check_suspects(now)
        out += self.detector.ping_if_due(now)
        out += self._tick_delegate(now)
        out += self._sync.sync_if_due(now)
        out += self._sync.reconnect_if_due(now)
        return out

    def _tick_delegate(self, now: float) -> list[OutgoingDatagram]:
        if self.delegate is None:
            return []
        members = [
            (update.member_id, update.location)
            for update in self.table.active_members()
            if update.state == MemberState.ALIVE
        ]
        return self._wrap(self.delegate.tick(now, self.table.local.incarnation, members))

    def _handle_suspension(self, now: float) -> None:
        """This director was stopped, so that what it believes of others is out of date."""
        self.detector.handle_suspension(now)
        self._sync.sync_soon(now)
        self.table.events.append(MemberEvent(MemberEventKind.SUSPENDED, self.table.local))

    def leave(self) -> list[OutgoingDatagram]:
        """Leaves the fleet; returns datagrams to some members, which pass it on."""
        self.table.local = msgspec.structs.replace(self.table.local, state=MemberState.LEFT)
        self._has_left = True
        members = self.table.active_members()
        return [
            self._datagrams.with_updates(
                update.address, MessageKind.ACK, NO_NUMBER, [self.table.local]
            )
            for update in self._random.sample(members, min(LEAVE_FANOUT, len(members)))
        ]

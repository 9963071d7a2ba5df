"""Datagrams to be sent, with the member updates that they carry; pure."""

from typing import NamedTuple

from .member_table import MemberTable
from .messages import Address, DatagramCodec, MemberId, MemberState, MemberUpdate, MessageKind

UPDATES_PER_DATAGRAM = 14  # as many as usually fit into MAX_DATAGRAM_BYTES
NO_NUMBER = 0  # of a message that expects no answer


class OutgoingDatagram(NamedTuple):
    """A datagram and where it goes."""

    address: Address
    data: bytes


class DatagramFactory:
    """Makes the datagrams of one director out of its table."""

    def __init__(self, codec: DatagramCodec, table: MemberTable) -> None:
        self._codec = codec
        self._table = table

    def with_broadcasts(
        self,
        address: Address,
        kind: MessageKind,
        number: int,
        target: MemberUpdate | None = None,
        recipient: MemberId | None = None,
    ) -> OutgoingDatagram:
        """Returns a message with queued updates piggybacked, which counts their transmission.

        Args:
            address: Where it goes.
            kind: See `Message`, as for `number` and `target`.
            number: Sequence number of the ping.
            target: Whom an indirect ping is for.
            recipient: Who receives it, if that is known: where it is not believed alive, that
                update goes first, so that it can refute it ("buddy system" of Lifeguard).
        """
        first = []
        if recipient is not None:
            entry = self._table.entries.get(recipient)
            if entry is not None and entry.update.state > MemberState.ALIVE:
                first = [recipient]
        updates = self._table.take_broadcasts(UPDATES_PER_DATAGRAM, first)
        return self._make(address, kind, number, target, updates)

    def with_updates(
        self, address: Address, kind: MessageKind, number: int, updates: list[MemberUpdate]
    ) -> OutgoingDatagram:
        """Returns a message with just these updates."""
        return self._make(address, kind, number, None, updates)

    def with_payload(self, address: Address, payload: bytes) -> OutgoingDatagram:
        """Returns a message for the recipient's delegate."""
        data = self._codec.encode(
            MessageKind.USER_MESSAGE, NO_NUMBER, self._table.local, None, [], payload
        )
        return OutgoingDatagram(address, data)

    def _make(
        self,
        address: Address,
        kind: MessageKind,
        number: int,
        target: MemberUpdate | None,
        updates: list[MemberUpdate],
    ) -> OutgoingDatagram:
        data = self._codec.encode(kind, number, self._table.local, target, updates)
        return OutgoingDatagram(address, data)

"""Construction of outgoing datagrams with the member updates that they carry, without I/O."""

from typing import NamedTuple

from .member_table import MemberTable
from .messages import Address, DatagramCodec, MemberId, MemberState, MemberUpdate, MessageKind

UPDATES_PER_DATAGRAM = 14  # usually the most that fit into MAX_DATAGRAM_BYTES
NO_SEQUENCE_NUMBER = 0  # number of a message that has neither a sequence number nor a digest


class OutgoingDatagram(NamedTuple):
    """An encoded datagram and its destination."""

    address: Address
    data: bytes


class DatagramFactory:
    """Factory of one director's datagrams, with member updates from its member table."""

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
        """Return a datagram with piggybacked updates, and count the updates' transmission.

        Args:
            address: Destination of the datagram.
            kind: Kind of the message.
            number: Sequence number of a ping. An ack, a nack and a request for an indirect ping
                repeat it. `NO_SEQUENCE_NUMBER` if the message belongs to no ping.
            target: Member to ping; None unless the kind is `INDIRECT_PING`.
            recipient: Member at the destination; None if only the address is known. If this
                director does not consider the member alive, the update about it goes first, so that
                the member can refute it ("buddy system" of Lifeguard).
        """
        preferred = []
        if recipient is not None:
            entry = self._table.entries.get(recipient)
            if entry is not None and entry.update.state > MemberState.ALIVE:
                preferred = [recipient]
        updates = self._table.take_broadcasts(UPDATES_PER_DATAGRAM, preferred)
        return self._build(address, kind, number, target, updates)

    def with_updates(
        self, address: Address, kind: MessageKind, number: int, updates: list[MemberUpdate]
    ) -> OutgoingDatagram:
        """Return a datagram with the given updates instead of queued ones.

        Args:
            address: Destination of the datagram.
            kind: Kind of the message.
            number: Digest of the member table in a sync message, otherwise `NO_SEQUENCE_NUMBER`.
            updates: The updates; the last ones are left out if they do not fit.
        """
        return self._build(address, kind, number, None, updates)

    def with_payload(self, address: Address, payload: bytes) -> OutgoingDatagram:
        """Return a datagram with a payload for the recipient's `swim.Delegate`, without updates."""
        data = self._codec.encode(
            MessageKind.USER_MESSAGE, NO_SEQUENCE_NUMBER, self._table.local, None, [], payload
        )
        return OutgoingDatagram(address, data)

    def _build(
        self,
        address: Address,
        kind: MessageKind,
        number: int,
        target: MemberUpdate | None,
        updates: list[MemberUpdate],
    ) -> OutgoingDatagram:
        data = self._codec.encode(kind, number, self._table.local, target, updates)
        return OutgoingDatagram(address, data)

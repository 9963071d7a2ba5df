"""Messages between directors and their encoding: MessagePack behind a keyed checksum. Pure.

A datagram is the checksum (8 bytes of BLAKE2b with the fleet's key) and then one `Message` as a
MessagePack array, whose order of fields is the wire format.

The checksum rejects datagrams of other fleets and damaged ones. It hides nothing and does not
prove which director of the fleet has sent a datagram. A datagram that cannot be used is counted by
its `DropReason` and dropped.
"""

import hashlib
from enum import IntEnum, StrEnum

import msgspec

from ..errors import ProtocolError

PROTOCOL_VERSION = 1
MAX_DATAGRAM_BYTES = 1400  # below the usual path MTU, so that no datagram is fragmented
CHECKSUM_BYTES = 8
MAX_TEXT_CHARS = 64  # of a name, a location or a host
MAX_PORT = 65_535
INCARNATION_LIMIT = 2**53  # first value that is too large: readers of JSON have doubles
REFUTATION_LIMIT = 2**31  # first value that is too large
# Room for the array around the updates, when their number is cut to what may fit
ENCODING_MARGIN_BYTES = 64

Address = tuple[str, int]
MemberId = tuple[str, str, int]
"""Name, host and port."""


class MemberState(IntEnum):
    """State of a member, in the order in which one overrides another of the same incarnation."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


class MessageKind(IntEnum):
    """What a datagram asks or answers; the names are those of SWIM and hashicorp/memberlist."""

    PING = 0
    ACK = 1
    INDIRECT_PING = 2  # asks the recipient to ping the target
    NACK = 3  # the target of an indirect ping has not answered in time
    SYNC_REQUEST = 4  # push/pull: some of the sender's table; wants pages in return
    SYNC_PAGE = 5  # one page of the answer
    USER_MESSAGE = 6  # carries `payload` for the delegate: quota leases


class DropReason(StrEnum):
    """Why a datagram was dropped; the values are keys of the status that operators read."""

    LENGTH = "length"
    CHECKSUM = "checksum"
    FORM = "form"  # not the MessagePack array of a message
    VERSION = "version"
    FLEET = "fleet"
    UPDATE = "word"  # a member update with a value out of bounds
    SELF = "own"  # sent by this director itself
    RATE = "too many"  # over the number that is read each second


class InvalidDatagramError(ProtocolError):
    """A datagram that is dropped; the message is the value of its reason."""

    def __init__(self, reason: DropReason) -> None:
        super().__init__(reason.value)
        self.reason = reason


class MemberUpdate(msgspec.Struct, array_like=True, frozen=True, forbid_unknown_fields=True):
    """The state of one member as some director knows it (an "alive", "suspect", "dead" message).

    Attributes:
        name: Name of the director, `LB_NAME`.
        host: Host at which other directors reach it.
        port: UDP port at which they reach it.
        location: Location (zone) of the director.
        incarnation: Number of its start: Unix milliseconds at that time, so that it only grows.
        refutation_count: How many suspicions it has refuted in this incarnation. Together with
            `incarnation` it is the incarnation number of the SWIM paper.
        state: The state that the update asserts.
    """

    name: str
    host: str
    port: int
    location: str
    incarnation: int
    refutation_count: int
    state: MemberState

    @property
    def member_id(self) -> MemberId:
        """What distinguishes members; a name may be used twice by mistake."""
        return (self.name, self.host, self.port)

    @property
    def address(self) -> Address:
        """Where the member receives datagrams."""
        return (self.host, self.port)

    @property
    def precedence(self) -> tuple[int, int, int]:
        """Of two updates about one member the greater is the valid one."""
        return (self.incarnation, self.refutation_count, int(self.state))


class Message(msgspec.Struct, array_like=True, frozen=True):
    """One datagram, decoded.

    Attributes:
        version: `PROTOCOL_VERSION` of the sender.
        fleet: Name of the fleet.
        kind: What the message asks or answers.
        number: Sequence number of a ping, which its answer repeats; digest of the sender's table
            in `SYNC_REQUEST` and `SYNC_PAGE`.
        sender: The sender's own state.
        target: Whom to ping; None unless the kind is `INDIRECT_PING`.
        updates: Member updates that are piggybacked, or a page of the table.
        payload: Bytes for the delegate; empty unless the kind is `USER_MESSAGE`.
    """

    version: int
    fleet: str
    kind: MessageKind
    number: int
    sender: MemberUpdate
    target: MemberUpdate | None
    updates: list[MemberUpdate]
    payload: bytes = b""


class DatagramCodec:
    """Encodes and decodes the datagrams of one fleet."""

    def __init__(self, fleet: str, key: bytes) -> None:
        self.fleet = fleet
        self._key = hashlib.blake2b(key, digest_size=32).digest()
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder = msgspec.msgpack.Decoder(Message)

    def checksum(self, body: bytes) -> bytes:
        """Returns the keyed checksum that precedes a body."""
        return hashlib.blake2b(body, digest_size=CHECKSUM_BYTES, key=self._key).digest()

    def encode(
        self,
        kind: MessageKind,
        number: int,
        sender: MemberUpdate,
        target: MemberUpdate | None,
        updates: list[MemberUpdate],
        payload: bytes = b"",
    ) -> bytes:
        """Returns a datagram of `MAX_DATAGRAM_BYTES` at most, with as many updates as fit.

        Args:
            kind: See `Message`, as for the others.
            number: Sequence number or digest.
            sender: Own state.
            target: Whom to ping.
            updates: The most important first: the last ones are left out where they don't fit.
            payload: Bytes for the delegate.
        """
        while True:
            message = Message(
                PROTOCOL_VERSION, self.fleet, kind, number, sender, target, updates, payload
            )
            body = self._encoder.encode(message)
            length = len(body) + CHECKSUM_BYTES
            if length <= MAX_DATAGRAM_BYTES or not updates:
                return self.checksum(body) + body
            fitting = len(updates) * MAX_DATAGRAM_BYTES // (length + ENCODING_MARGIN_BYTES)
            updates = updates[:fitting]

    def decode(self, data: bytes) -> Message:
        """Returns the message of a datagram.

        Raises:
            InvalidDatagramError: If it is not a datagram of this fleet with usable values.
        """
        if not CHECKSUM_BYTES < len(data) <= MAX_DATAGRAM_BYTES:
            raise InvalidDatagramError(DropReason.LENGTH)
        body = data[CHECKSUM_BYTES:]
        if self.checksum(body) != data[:CHECKSUM_BYTES]:
            raise InvalidDatagramError(DropReason.CHECKSUM)
        try:
            message = self._decoder.decode(body)
        except msgspec.MsgspecError as error:
            raise InvalidDatagramError(DropReason.FORM) from error
        if message.version != PROTOCOL_VERSION:
            raise InvalidDatagramError(DropReason.VERSION)
        if message.fleet != self.fleet:
            raise InvalidDatagramError(DropReason.FLEET)
        updates = [message.sender, *message.updates]
        if message.target is not None:
            updates.append(message.target)
        if not all(_is_within_bounds(update) for update in updates):
            raise InvalidDatagramError(DropReason.UPDATE)
        return message


def _is_within_bounds(update: MemberUpdate) -> bool:
    texts = (update.name, update.host, update.location)
    return (
        0 < update.port <= MAX_PORT
        and 0 <= update.incarnation < INCARNATION_LIMIT
        and 0 <= update.refutation_count < REFUTATION_LIMIT
        and all(0 < len(text) <= MAX_TEXT_CHARS for text in texts)
    )

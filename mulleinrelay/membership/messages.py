"""Messages between directors and their encoding, without I/O.

A datagram consists of a checksum (8 bytes of BLAKE2b, keyed with the fleet's key) and one `Message`
as a MessagePack array. The order of the fields is the wire format.

The checksum reveals damaged datagrams and datagrams of fleets with another key. It does not
encrypt, and it does not prove which director of the fleet sent a datagram. Invalid datagrams are
dropped and counted by `DropReason`.
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
INCARNATION_LIMIT = 2**53  # exclusive; JSON readers store numbers as doubles, exact below it
REFUTATION_LIMIT = 2**31  # exclusive
# Added to the length of a datagram that is too long, before the number of its updates is reduced in
# proportion: the other fields do not become shorter.
ENCODING_MARGIN_BYTES = 64

Address = tuple[str, int]
MemberId = tuple[str, str, int]
"""Name, host and port."""


class MemberState(IntEnum):
    """State of a member.

    Of two updates with equal incarnation and refutation count, the greater state overrides the
    smaller one.
    """

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


class MessageKind(IntEnum):
    """Kind of a message; the names follow SWIM and hashicorp/memberlist."""

    PING = 0
    ACK = 1
    INDIRECT_PING = 2  # asks the recipient to ping the target
    NACK = 3  # the target of an indirect ping has not sent an ack in time
    SYNC_REQUEST = 4  # push/pull: carries a part of the sender's table and requests pages
    SYNC_PAGE = 5  # one page of the response to a sync request
    USER_MESSAGE = 6  # carries `payload` for the delegate, which exchanges quota leases


class DropReason(StrEnum):
    """Reason why a datagram was dropped; the values are keys of the status for operators."""

    INVALID_LENGTH = "length"
    CHECKSUM_MISMATCH = "checksum"
    MALFORMED = "form"  # not the MessagePack array of a message
    VERSION_MISMATCH = "version"
    OTHER_FLEET = "fleet"
    INVALID_UPDATE = "word"  # a member update with a value out of bounds
    OWN_DATAGRAM = "own"  # sent by this director itself
    RATE_LIMITED = "too many"  # exceeds the number of datagrams that are decoded per second


class InvalidDatagramError(ProtocolError):
    """Error for a datagram that is dropped; the error's text is the value of the drop reason."""

    def __init__(self, reason: DropReason) -> None:
        super().__init__(reason.value)
        self.reason = reason


class MemberUpdate(msgspec.Struct, array_like=True, frozen=True, forbid_unknown_fields=True):
    """The state of one member as reported by a director (SWIM's alive, suspect and dead messages).

    Attributes:
        name: Name of the director, from the platform's configuration.
        host: Host at which other directors reach the director.
        port: UDP port at which other directors reach the director.
        location: Location (zone) of the director.
        incarnation: Unix milliseconds at which the director started. It grows with each restart: if
            the clock was set back, the director takes its previous incarnation plus one.
        refutation_count: Number that the director increases in this incarnation to refute a
            suspicion or a declaration of its death. Together with `incarnation` it corresponds to
            the incarnation number of the SWIM paper.
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
        """Identity of the member. A name alone is not enough: it may be used twice by mistake."""
        return (self.name, self.host, self.port)

    @property
    def address(self) -> Address:
        """Address at which the member receives datagrams."""
        return (self.host, self.port)

    @property
    def precedence(self) -> tuple[int, int, int]:
        """Sort key of updates about one member: the greater update overrides the smaller one."""
        return (self.incarnation, self.refutation_count, int(self.state))


class Message(msgspec.Struct, array_like=True, frozen=True):
    """The decoded content of a datagram.

    Attributes:
        version: `PROTOCOL_VERSION` of the sender.
        fleet: Name of the sender's fleet.
        kind: Kind of the message.
        number: Sequence number of a ping or of a request for an indirect ping, which the ack or
            nack repeats. In `SYNC_REQUEST` and `SYNC_PAGE`, the digest of the sender's table. In
            other messages, and in acks that answer no ping, 0.
        sender: The sender's own state.
        target: Member to ping; None unless the kind is `INDIRECT_PING`.
        updates: Piggybacked member updates or, in a sync message, a part of the sender's table.
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
    """Codec of the datagrams of one fleet."""

    def __init__(self, fleet: str, key: bytes) -> None:
        self.fleet = fleet
        self._key = hashlib.blake2b(key, digest_size=32).digest()
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder = msgspec.msgpack.Decoder(Message)

    def checksum(self, body: bytes) -> bytes:
        """Return the keyed checksum of a message body."""
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
        """Return a datagram, without the updates that do not fit into `MAX_DATAGRAM_BYTES`.

        Only updates are left out: a datagram with too long a payload exceeds the maximum.

        Args:
            kind: Kind of the message.
            number: Sequence number or digest, as in `Message`.
            sender: The sender's own state.
            target: Member to ping; None unless the kind is `INDIRECT_PING`.
            updates: Updates in descending order of importance; the last ones are left out if they
                do not fit.
            payload: Bytes for the delegate; empty unless the kind is `USER_MESSAGE`.
        """
        while True:
            message = Message(
                PROTOCOL_VERSION, self.fleet, kind, number, sender, target, updates, payload
            )
            body = self._encoder.encode(message)
            length = len(body) + CHECKSUM_BYTES
            if length <= MAX_DATAGRAM_BYTES or not updates:
                return self.checksum(body) + body
            fitting_count = len(updates) * MAX_DATAGRAM_BYTES // (length + ENCODING_MARGIN_BYTES)
            updates = updates[:fitting_count]

    def decode(self, data: bytes) -> Message:
        """Return the message in a datagram.

        Raises:
            InvalidDatagramError: If `data` is not a datagram of this fleet and version with valid
                values.
        """
        if not CHECKSUM_BYTES < len(data) <= MAX_DATAGRAM_BYTES:
            raise InvalidDatagramError(DropReason.INVALID_LENGTH)
        body = data[CHECKSUM_BYTES:]
        if self.checksum(body) != data[:CHECKSUM_BYTES]:
            raise InvalidDatagramError(DropReason.CHECKSUM_MISMATCH)
        try:
            message = self._decoder.decode(body)
        except msgspec.MsgspecError as error:
            raise InvalidDatagramError(DropReason.MALFORMED) from error
        if message.version != PROTOCOL_VERSION:
            raise InvalidDatagramError(DropReason.VERSION_MISMATCH)
        if message.fleet != self.fleet:
            raise InvalidDatagramError(DropReason.OTHER_FLEET)
        updates = [message.sender, *message.updates]
        if message.target is not None:
            updates.append(message.target)
        if not all(_is_within_bounds(update) for update in updates):
            raise InvalidDatagramError(DropReason.INVALID_UPDATE)
        return message


def _is_within_bounds(update: MemberUpdate) -> bool:
    texts = (update.name, update.host, update.location)
    return (
        0 < update.port <= MAX_PORT
        and 0 <= update.incarnation < INCARNATION_LIMIT
        and 0 <= update.refutation_count < REFUTATION_LIMIT
        and all(0 < len(text) <= MAX_TEXT_CHARS for text in texts)
    )

"""What directors say to each other, and its bytes: MessagePack behind a keyed checksum. Pure.

The checksum keeps strangers and other fleets' strays out and finds broken bytes; it hides nothing
and proves nobody's identity within a fleet. A datagram that can't be used is named by its reason
and dropped.
"""

import hashlib
from enum import IntEnum

import msgspec

PROTOCOL_VERSION = 1
MAX_DATAGRAM_BYTES = 1400  # bytes: below the usual path's limit, so that none is split
CHECKSUM_BYTES = 8  # bytes of the checksum
MAX_TEXT_CHARS = 64  # characters of a name, a location or a host


class MemberState(IntEnum):
    """Of one life, in the order in which one word outweighs another."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


class MessageKind(IntEnum):
    PING = 0
    ACK = 1
    INDIRECT_PING = 2  # ping this one for me
    NACK = 3  # the asked one's word that it heard nothing either
    SYNC_REQUEST = 4  # a page of all that is known; wants pages back
    SYNC_PAGE = 5
    USER_MESSAGE = 6  # of what travels along: budgets


class MemberUpdate(msgspec.Struct, array_like=True, frozen=True, forbid_unknown_fields=True):
    """One director's state as somebody tells it. `life`: the number of its start, which only grows;
    `count`: how often it has denied a suspicion in this life.
    """

    name: str
    host: str
    port: int
    location: str
    incarnation: int
    refutation_count: int
    state: MemberState

    @property
    def member_id(self) -> tuple[str, str, int]:
        return (self.name, self.host, self.port)

    @property
    def precedence(self) -> tuple[int, int, int]:
        """Of two words on one director the greater holds."""
        return (self.incarnation, self.refutation_count, int(self.state))


class Message(msgspec.Struct, array_like=True, frozen=True):
    version: int
    fleet: str
    kind: MessageKind
    number: int
    sender: MemberUpdate
    target: MemberUpdate | None
    updates: list[MemberUpdate]
    payload: bytes = b""


class InvalidDatagramError(Exception):
    """A datagram that is dropped; the text is its reason, one of few."""


class DatagramCodec:
    """Of one fleet."""

    def __init__(self, fleet: str, key: bytes) -> None:
        self.fleet, self.key = fleet, hashlib.blake2b(key, digest_size=32).digest()
        self.encoder, self.decoder = msgspec.msgpack.Encoder(), msgspec.msgpack.Decoder(Message)

    def _seal(self, body: bytes) -> bytes:
        return hashlib.blake2b(body, digest_size=CHECKSUM_BYTES, key=self.key).digest()

    def encode(
        self,
        kind: MessageKind,
        number: int,
        sender: MemberUpdate,
        about: MemberUpdate | None,
        words: list[MemberUpdate],
        part: bytes = b"",
    ) -> bytes:
        """Of `words` as many as fit, the first ones first."""
        while True:
            body = self.encoder.encode(
                Message(PROTOCOL_VERSION, self.fleet, kind, number, sender, about, words, part)
            )
            if len(body) + CHECKSUM_BYTES <= MAX_DATAGRAM_BYTES or not words:
                return self._seal(body) + body
            words = words[: len(words) * MAX_DATAGRAM_BYTES // (len(body) + CHECKSUM_BYTES + 64)]

    def decode(self, data: bytes) -> Message:
        """Raises UnusableError."""
        if not CHECKSUM_BYTES < len(data) <= MAX_DATAGRAM_BYTES:
            raise InvalidDatagramError("length")
        body = data[CHECKSUM_BYTES:]
        if self._seal(body) != data[:CHECKSUM_BYTES]:
            raise InvalidDatagramError("checksum")
        try:
            message = self.decoder.decode(body)
        except msgspec.MsgspecError:
            raise InvalidDatagramError("form") from None
        if message.version != PROTOCOL_VERSION:
            raise InvalidDatagramError("version")
        if message.fleet != self.fleet:
            raise InvalidDatagramError("fleet")
        held = [message.sender, *message.updates] + ([message.target] if message.target else [])
        if not all(usable(word) for word in held):
            raise InvalidDatagramError("word")
        return message


def usable(word: MemberUpdate) -> bool:
    texts = (word.name, word.host, word.location)
    return (
        0 < word.port < 65536
        and 0 <= word.incarnation < 2**53
        and 0 <= word.refutation_count < 2**31
        and all(0 < len(text) <= MAX_TEXT_CHARS for text in texts)
    )

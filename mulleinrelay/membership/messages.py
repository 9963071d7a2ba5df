"""What directors say to each other, and its bytes: MessagePack behind a keyed checksum. Pure.

The checksum keeps strangers and other fleets' strays out and finds broken bytes; it hides nothing
and proves nobody's identity within a fleet. A datagram that can't be used is named by its reason
and dropped.
"""

import hashlib
from enum import IntEnum

import msgspec

VERSION = 1
LENGTH_MOST = 1400  # bytes: below the usual path's limit, so that none is split
SEAL = 8  # bytes of the checksum
ID_MOST = 64  # characters of a name, a location or a host


class State(IntEnum):
    """Of one life, in the order in which one word outweighs another."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


class Kind(IntEnum):
    PING = 0
    ACK = 1
    ASK = 2  # ping this one for me
    NONE_HEARD = 3  # the asked one's word that it heard nothing either
    SYNC = 4  # a page of all that is known; wants pages back
    PAGE = 5
    PART = 6  # of what travels along: budgets


class Word(msgspec.Struct, array_like=True, frozen=True, forbid_unknown_fields=True):
    """One director's state as somebody tells it. `life`: the number of its start, which only grows;
    `count`: how often it has denied a suspicion in this life.
    """

    name: str
    host: str
    port: int
    location: str
    life: int
    count: int
    state: State

    @property
    def who(self) -> tuple[str, str, int]:
        return (self.name, self.host, self.port)

    @property
    def weight(self) -> tuple[int, int, int]:
        """Of two words on one director the greater holds."""
        return (self.life, self.count, int(self.state))


class Message(msgspec.Struct, array_like=True, frozen=True):
    version: int
    fleet: str
    kind: Kind
    number: int
    sender: Word
    about: Word | None
    words: list[Word]
    part: bytes = b""


class UnusableError(Exception):
    """A datagram that is dropped; the text is its reason, one of few."""


class Codec:
    """Of one fleet."""

    def __init__(self, fleet: str, key: bytes) -> None:
        self.fleet, self.key = fleet, hashlib.blake2b(key, digest_size=32).digest()
        self.encoder, self.decoder = msgspec.msgpack.Encoder(), msgspec.msgpack.Decoder(Message)

    def _seal(self, body: bytes) -> bytes:
        return hashlib.blake2b(body, digest_size=SEAL, key=self.key).digest()

    def encode(
        self,
        kind: Kind,
        number: int,
        sender: Word,
        about: Word | None,
        words: list[Word],
        part: bytes = b"",
    ) -> bytes:
        """Of `words` as many as fit, the first ones first."""
        while True:
            body = self.encoder.encode(
                Message(VERSION, self.fleet, kind, number, sender, about, words, part)
            )
            if len(body) + SEAL <= LENGTH_MOST or not words:
                return self._seal(body) + body
            words = words[: len(words) * LENGTH_MOST // (len(body) + SEAL + 64)]

    def decode(self, data: bytes) -> Message:
        """Raises UnusableError."""
        if not SEAL < len(data) <= LENGTH_MOST:
            raise UnusableError("length")
        body = data[SEAL:]
        if self._seal(body) != data[:SEAL]:
            raise UnusableError("checksum")
        try:
            message = self.decoder.decode(body)
        except msgspec.MsgspecError:
            raise UnusableError("form") from None
        if message.version != VERSION:
            raise UnusableError("version")
        if message.fleet != self.fleet:
            raise UnusableError("fleet")
        held = [message.sender, *message.words] + ([message.about] if message.about else [])
        if not all(usable(word) for word in held):
            raise UnusableError("word")
        return message


def usable(word: Word) -> bool:
    texts = (word.name, word.host, word.location)
    return (
        0 < word.port < 65536
        and 0 <= word.life < 2**53
        and 0 <= word.count < 2**31
        and all(0 < len(text) <= ID_MOST for text in texts)
    )

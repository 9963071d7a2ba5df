"""Messages about leases and their encoding: MessagePack arrays, whose order is the wire format.

They are the payload of a membership datagram, which has the checksum. Pure.
"""

from collections.abc import Sequence
from enum import StrEnum

import msgspec

from ..errors import ProtocolError


class LeaseMessageKind(StrEnum):
    """What a lease message does; the values are the wire format."""

    REQUEST = "a"
    GRANT = "l"
    RELEASE = "b"


class LeaseMessage(msgspec.Struct, array_like=True, frozen=True, forbid_unknown_fields=True):
    """One message about one lease of one limit.

    Attributes:
        limit: Name of the limit.
        kind: A `LeaseMessageKind`; text, so that a kind of a later version is ignored rather than
            spoiling all messages that came with it.
        incarnation: Of the borrower.
        number: Number of the borrower's request; it names the lease.
        units: Quota units that are requested or granted; 0 in a release.
        renews: Number of the lease that a request renews; 0 for a new one.
    """

    limit: str
    kind: str
    incarnation: int
    number: int
    units: int = 0
    renews: int = 0


class LeaseCodec:
    """Encodes and decodes the messages of one payload."""

    def __init__(self) -> None:
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder = msgspec.msgpack.Decoder(list[LeaseMessage])

    def encode(self, messages: Sequence[LeaseMessage]) -> bytes:
        """Returns the payload."""
        return self._encoder.encode(messages)

    def decode(self, payload: bytes) -> list[LeaseMessage]:
        """Returns the messages of a payload.

        Raises:
            ProtocolError: If it is not a list of lease messages.
        """
        try:
            return self._decoder.decode(payload)
        except msgspec.MsgspecError as error:
            raise ProtocolError("not a list of lease messages") from error

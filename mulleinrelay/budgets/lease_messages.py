"""Lease messages and their encoding as MessagePack arrays, without I/O.

The order of the fields is part of the wire format. The messages are the payload of a membership
datagram, which also contains a checksum.
"""

from collections.abc import Sequence
from enum import StrEnum

import msgspec

from ..errors import ProtocolError


class LeaseMessageKind(StrEnum):
    """Kind of a lease message; the values are part of the wire format."""

    REQUEST = "a"
    GRANT = "l"
    RELEASE = "b"


class LeaseMessage(msgspec.Struct, array_like=True, frozen=True, forbid_unknown_fields=True):
    """One message about one lease of one limit.

    Attributes:
        limit: Name of the limit.
        kind: A `LeaseMessageKind`. The type is str, so that a message of an unknown kind from a
            later version does not invalidate the other messages of the payload.
        incarnation: Incarnation of the borrower.
        number: Number of the borrower's request; in a release, of the request that obtained the
            lease.
        units: Number of quota units that are requested or granted; 0 in a release.
        renews: Number of the lease that a request renews; 0 for a new lease.
    """

    limit: str
    kind: str
    incarnation: int
    number: int
    units: int = 0
    renews: int = 0


class LeaseCodec:
    """Codec of the lease messages in one payload."""

    def __init__(self) -> None:
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder = msgspec.msgpack.Decoder(list[LeaseMessage])

    def encode(self, messages: Sequence[LeaseMessage]) -> bytes:
        """Return the payload with the given messages."""
        return self._encoder.encode(messages)

    def decode(self, payload: bytes) -> list[LeaseMessage]:
        """Return the messages of a payload.

        Raises:
            ProtocolError: If the payload is not a list of lease messages.
        """
        try:
            return self._decoder.decode(payload)
        except msgspec.MsgspecError as error:
            raise ProtocolError("not a list of lease messages") from error

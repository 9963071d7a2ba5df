"""Encoding of client calls to directors in framed Thrift, and decoding of the replies.

The load generators of both labs use this module. It does no I/O.
"""

import enum
import struct
from dataclasses import dataclass

from ..net import thrift

DEFAULT_RETRY_DELAY = 100.0  # ms until a retry if the rejection specifies no delay
MAX_IN_FLIGHT = 32  # unanswered requests per connection
MAX_FRAME_BYTES = 300_000  # of the frame of a reply
HEALTH_METHOD = b"isWell"
SERVE_METHOD = b"serve"
# Lower bound of the field `patience`, the time for which the client still waits; directors reject
# negative numbers
MIN_PATIENCE_MS = 1.0

_MAP_OF_STRINGS = b"\x0b\x0b"
_STOP = b"\x00"


class ReplyOutcome(enum.StrEnum):
    """Outcome that a reply reports; its values appear in the figures and records of the labs.

    INVALID is a Thrift exception or a result that the protocol does not define.
    """

    SERVED = "served"
    REJECTED = "rejected"
    FAILED = "failed"
    INVALID = "bad"


_OUTCOMES = {0: ReplyOutcome.SERVED, 1: ReplyOutcome.REJECTED, 2: ReplyOutcome.FAILED}


@dataclass(frozen=True, slots=True)
class ServerReply:
    """Reply of a director to one call.

    Attributes:
        number: Sequence number of the call.
        outcome: Outcome that the reply reports.
        retry_after_ms: Delay before a retry that a rejection asks for; 0 if none is given.
    """

    number: int
    outcome: ReplyOutcome
    retry_after_ms: float = 0.0


def encode_serve_call(number: int, fields: dict[str, str], body: bytes = b"") -> bytes:
    """Return a frame with a call of `serve`.

    Args:
        number: Sequence number of the call on its connection.
        fields: Values of the request's fields by field name.
        body: Body of the request; empty for a read.
    """
    pairs = b"".join(
        struct.pack(">i", len(text)) + text.encode() for pair in fields.items() for text in pair
    )
    message = (
        struct.pack(">Ii", thrift.VERSION | thrift.CALL, len(SERVE_METHOD))
        + SERVE_METHOD
        + struct.pack(">i", number)
        + b"\x0d\x00\x01"
        + _MAP_OF_STRINGS
        + struct.pack(">i", len(fields))
        + pairs
        + b"\x0b\x00\x02"
        + struct.pack(">i", len(body))
        + body
        + _STOP
    )
    return struct.pack(">i", len(message)) + message


def encode_health_call() -> bytes:
    """Return a frame with a call that asks whether the director is healthy."""
    message = (
        struct.pack(">Ii", thrift.VERSION | thrift.CALL, len(HEALTH_METHOD))
        + HEALTH_METHOD
        + struct.pack(">i", 1)
        + b"\x02\x00\x01\x00"
        + _STOP
    )
    return struct.pack(">i", len(message)) + message


def is_healthy_reply(frame: memoryview) -> bool:
    """Return whether the reply to a health call says that the director is healthy."""
    return bytes(frame[-5:]).find(b"\x01") >= 0


def decode_reply(frame: memoryview) -> ServerReply:
    """Decode the reply to a `serve` call.

    Raises:
        ThriftError: If the frame is not a valid reply.
        ValueError: If the delay before a retry is not a number.
    """
    reader = thrift.ValueReader(frame)
    kind = struct.unpack(">I", reader.read_bytes(4))[0] & 0xFF
    reader.read_binary()
    number = reader.read_i32()
    if kind == thrift.EXCEPTION:
        return ServerReply(number, ReplyOutcome.INVALID)
    reader.read_byte()
    result_id = reader.read_i16()
    retry_after_ms = 0.0
    while result_id == 1 and (field_type := reader.read_byte()) != 0:
        reader.read_i16()
        if field_type == thrift.MAP:
            retry_after_ms = float(reader.read_string_map().get("pause", "0"))
        else:
            reader.skip_value(field_type)
    return ServerReply(number, _OUTCOMES.get(result_id, ReplyOutcome.INVALID), retry_after_ms)

"""Thrift with framed transport and strict binary protocol, for the clients' service.

This module uses no sockets and no clocks. The platform defines the names of fields and methods on
the wire.
"""

import re
import struct
from collections.abc import Iterator
from dataclasses import dataclass

from ..errors import ProtocolError
from ..policy.model import ClientRequest
from .receive_buffer import ReceiveBuffer

Pieces = list[memoryview | bytes]  # buffers of one message, to be written in order

# Value types (TType)
BOOL = 2
BYTE = 3
DOUBLE = 4
I16 = 6
I32 = 8
I64 = 10
STRING = 11
STRUCT = 12
MAP = 13
SET = 14
LIST = 15
BYTES_OF_TYPE = {BOOL: 1, BYTE: 1, DOUBLE: 8, I16: 2, I32: 4, I64: 8}  # types of a fixed size

# Message types (TMessageType)
CALL = 1
REPLY = 2
EXCEPTION = 3
ONEWAY = 4

# Types of a TApplicationException
UNKNOWN_METHOD = 1
INTERNAL_ERROR = 6
PROTOCOL_ERROR = 7

VERSION = 0x80010000  # of the strict binary protocol; the lowest byte holds the message type
VERSION_MASK = 0xFFFFFF00
MAX_NESTING = 16
# Only so many characters of a method's name are kept. Answers and log lines repeat the name.
MAX_METHOD_LENGTH = 64
# Values in a message that are read one by one. A client's request has about 30.
MAX_VALUES = 1024
MAX_FIELDS = 64  # in a client's string map
MAX_BODY_BYTES = 48_000  # of a request's body
MAX_FRAME_BYTES = MAX_BODY_BYTES + 16_384
# A small body is copied. As a view, it would keep a block of memory, which holds other calls too.
MAX_COPIED_BODY_BYTES = 4096
MAX_GROUP = 255
LENGTH_BYTES = 4  # of the length prefix of a frame
TRUNCATED_FRAME_BYTES = 256  # with method and sequence number of the call

I32_FORMAT = struct.Struct(">i")
U32_FORMAT = struct.Struct(">I")
I16_FORMAT = struct.Struct(">h")
STOP = b"\0"  # ends a struct

# Formats of the clients' fields
TOKEN = re.compile(r"[0-9A-Za-z_.:-]{1,128}", re.ASCII)  # copied unchanged to an attempt's fields
HEX_NUMBER = re.compile(r"[0-9a-fA-F]{16}", re.ASCII)
NUMBER = re.compile(r"[0-9]{1,9}", re.ASCII)
DECIMAL = re.compile(r"[0-9]{1,9}(\.[0-9]{1,9})?", re.ASCII)


class ThriftError(ProtocolError):
    """Error for bytes that violate the protocol, or for an invalid call."""


class FrameDecoder:
    """Decoder that splits received bytes into frames. Not thread-safe.

    Attributes:
        buffer: The received bytes that are not decoded yet.
        expected_length: Length of the first unread frame with its length prefix; 0 if it is unknown
            or the frame is being truncated.
        is_truncated: Whether only the first `TRUNCATED_FRAME_BYTES` of the frame that was yielded
            last are left.
    """

    def __init__(self, size: int = 4096, max_frame_bytes: int = MAX_FRAME_BYTES) -> None:
        """Create a decoder whose buffer has blocks of at least `size` bytes.

        Frames of more than `max_frame_bytes`, without the length prefix, are invalid.
        """
        self.buffer = ReceiveBuffer(size)
        self.max_frame_bytes = max_frame_bytes
        self.expected_length = 0
        self.is_truncated = False
        # The frame that is being truncated: its first bytes, and the number of bytes that follow
        # those that were read so far.
        self._frame_start = bytearray()
        self._missing_bytes = 0

    def writable_view(self) -> memoryview:
        """Return the memory to which the next received bytes must be written."""
        return self.buffer.writable_view(self.expected_length)

    def decode(self, length: int) -> Iterator[memoryview]:
        """Yield the frames that are complete, without their length prefixes.

        Args:
            length: Number of bytes that were written to the writable view since the last call.

        Raises:
            ThriftError: If bytes are not a valid frame; all frames before them have been yielded.
        """
        buffer = self.buffer
        buffer.end += length
        self.expected_length = 0
        if self._missing_bytes:
            self._discard_missing_bytes()
            if self._missing_bytes:
                return
            self.is_truncated = True
            yield memoryview(bytes(self._frame_start))
        self.is_truncated = False
        while len(buffer) >= LENGTH_BYTES:
            size = I32_FORMAT.unpack_from(buffer.view, buffer.start)[0]
            if not 0 < size <= self.max_frame_bytes:
                raise ThriftError(f"a frame of {size} bytes")
            if len(buffer) < LENGTH_BYTES + size:
                self.expected_length = LENGTH_BYTES + size
                break
            yield buffer.take(LENGTH_BYTES + size)[LENGTH_BYTES:]

    def needs_large_block(self) -> bool:
        """Return whether the incomplete frame is too large for a block of minimum size."""
        return self.expected_length > self.buffer.size

    def is_within_frame(self) -> bool:
        """Return whether a part of a frame was received."""
        return bool(len(self.buffer) or self._missing_bytes)

    def truncate_frame(self) -> None:
        """Keep only the first bytes of the incomplete frame, whose length is known.

        The frame is yielded when its last byte is received.
        """
        self._missing_bytes = self.expected_length - LENGTH_BYTES
        self._frame_start = bytearray()
        self.buffer.take(LENGTH_BYTES)
        self.expected_length = 0
        self._discard_missing_bytes()

    def from_next_frame(self, peeked: bytes) -> bytes:
        """Return the bytes from the start of the next frame on: unread ones, and `peeked` ones.

        Args:
            peeked: The bytes that follow the received ones.
        """
        return (bytes(self.buffer.unread()) + peeked)[self._missing_bytes :]

    def _discard_missing_bytes(self) -> None:
        """Consume the received bytes of the frame that is being truncated."""
        received = self.buffer.take(min(len(self.buffer), self._missing_bytes))
        self._missing_bytes -= len(received)
        self._frame_start += received[: TRUNCATED_FRAME_BYTES - len(self._frame_start)]


class ValueReader:
    """Sequential reader of the values in a frame. Each method may raise ThriftError.

    The number of values that are read one by one is limited, so that no message takes much CPU
    time, whatever its form.
    """

    def __init__(self, frame: memoryview) -> None:
        self.frame = frame
        self.offset = 0
        self._values_left = MAX_VALUES

    def _count_values(self, count: int) -> None:
        """Count values that are about to be read one by one."""
        self._values_left -= count
        if self._values_left < 0:
            raise ThriftError(f"more than {MAX_VALUES} values")

    def read_field_type(self) -> int:
        """Read the type of the next field of a struct; 0 at the end of the struct."""
        self._count_values(1)
        return self.read_byte()

    def read_bytes(self, length: int) -> memoryview:
        """Read `length` bytes."""
        end = self.offset + length
        if length < 0 or end > len(self.frame):
            raise ThriftError(f"{length} bytes wanted at {self.offset} of {len(self.frame)}")
        value = self.frame[self.offset : end]
        self.offset = end
        return value

    def read_byte(self) -> int:
        """Read an unsigned byte."""
        return self.read_bytes(1)[0]

    def read_i16(self) -> int:
        """Read a signed integer of two bytes."""
        return I16_FORMAT.unpack(self.read_bytes(2))[0]

    def read_i32(self) -> int:
        """Read a signed integer of four bytes."""
        return I32_FORMAT.unpack(self.read_bytes(4))[0]

    def read_binary(self) -> memoryview:
        """Read a byte string after its length prefix."""
        return self.read_bytes(self.read_i32())

    def read_text(self) -> str:
        """Read a UTF-8 string."""
        try:
            return str(self.read_binary(), "utf-8")
        except UnicodeDecodeError as error:
            raise ThriftError("a string that is not UTF-8") from error

    def read_size(self, maximum: int) -> int:
        """Read the number of entries of a collection, which must not exceed `maximum`."""
        size = self.read_i32()
        if not 0 <= size <= maximum:
            raise ThriftError(f"a collection of {size}")
        return size

    def read_string_map(self) -> dict[str, str]:
        """Read a map whose keys and values are strings."""
        key_type = self.read_byte()
        value_type = self.read_byte()
        size = self.read_size(MAX_FIELDS)
        self._count_values(2 * size)
        if size and (key_type, value_type) != (STRING, STRING):
            raise ThriftError("a map that is not of strings")
        return {self.read_text(): self.read_text() for _ in range(size)}

    def skip_value(self, value_type: int, depth: int = 0) -> None:
        """Skip a value of any type; `depth` is the number of enclosing values."""
        if depth > MAX_NESTING:
            raise ThriftError("nested too deep")
        if value_type in BYTES_OF_TYPE:
            self.read_bytes(BYTES_OF_TYPE[value_type])
        elif value_type == STRING:
            self.read_binary()
        elif value_type == STRUCT:
            while (field_type := self.read_field_type()) != 0:
                self.read_i16()
                self.skip_value(field_type, depth + 1)
        elif value_type == MAP:
            self._skip_map(depth)
        elif value_type in (SET, LIST):
            self._skip_entries((self.read_byte(),), depth)
        else:
            raise ThriftError(f"an unknown type {value_type}")

    def _skip_map(self, depth: int) -> None:
        key_type = self.read_byte()
        value_type = self.read_byte()
        self._skip_entries((key_type, value_type), depth)

    def _skip_entries(self, types: tuple[int, ...], depth: int) -> None:
        """Skip the size and the entries of a collection; each entry has values of these types."""
        size = self.read_size(len(self.frame))
        if all(each in BYTES_OF_TYPE for each in types):
            self.read_bytes(size * sum(BYTES_OF_TYPE[each] for each in types))
            return
        self._count_values(size * len(types))
        for _ in range(size):
            for each in types:
                self.skip_value(each, depth + 1)


@dataclass(slots=True, eq=False)
class MethodCall:
    """A call of a client, of which only the head is read.

    A function for the method reads the arguments later.

    Attributes:
        method: Name of the method, at most its first `MAX_METHOD_LENGTH` characters.
        kind: CALL or ONEWAY.
        sequence_number: Number of the call, chosen by the client and repeated in the answer.
        arguments: Reader that is positioned before the arguments.
        received_at: Time at which the call was received, in monotonic seconds. If it is not known,
            the earliest time that is possible.
        is_truncated: Whether the end of the arguments was discarded for lack of memory.
        charged_bytes: Memory that is charged to the connection's account for the call.
    """

    method: str
    kind: int
    sequence_number: int
    arguments: ValueReader
    received_at: float = 0.0
    is_truncated: bool = False
    charged_bytes: int = 0


def read_call(frame: memoryview) -> MethodCall:
    """Read the head of a message.

    Raises:
        ThriftError: If the message is not a call of the strict binary protocol.
    """
    reader = ValueReader(frame)
    word = U32_FORMAT.unpack(reader.read_bytes(4))[0]
    if word & VERSION_MASK != VERSION:
        raise ThriftError("not a message of the strict binary protocol")
    method = reader.read_text()[:MAX_METHOD_LENGTH]
    call = MethodCall(method, word & 0xFF, reader.read_i32(), reader)
    if call.kind not in (CALL, ONEWAY):
        raise ThriftError(f"a message of type {call.kind}")
    return call


def read_serve(reader: ValueReader, tenant_field: str = "") -> ClientRequest:
    """Read the arguments of `serve` and check the format of each field.

    Args:
        reader: Reader that is positioned before the arguments.
        tenant_field: Name of the field that holds the client's tenant, which only clients of our
            own installations send; empty if no field holds it.

    Raises:
        ThriftError: If the arguments cannot be read, or a field is missing or has a wrong format.
    """
    fields = None
    body = reader.frame[:0]
    while (value_type := reader.read_field_type()) != 0:
        field_number = reader.read_i16()
        if (field_number, value_type) == (1, MAP):
            fields = reader.read_string_map()
        elif (field_number, value_type) == (2, STRING):
            body = reader.read_binary()
            if len(body) > MAX_BODY_BYTES:
                raise ThriftError(f"a body of {len(body)} bytes")
        else:
            reader.skip_value(value_type)
    if fields is None:
        raise ThriftError("no fields")
    if len(body) <= MAX_COPIED_BODY_BYTES:
        body = memoryview(bytes(body))
    return _client_request(fields, body, tenant_field)


def _client_request(fields: dict[str, str], body: memoryview, tenant_field: str) -> ClientRequest:
    def read(name: str, form: re.Pattern[str], default: str | None = None) -> str:
        value = fields.get(name)
        if value is None and default is not None:
            return default
        if value is None:
            raise ThriftError(f"the field {name} is missing")
        if not form.fullmatch(value):
            raise ThriftError(f"the field {name} cannot be read")
        return value

    group = int(read("batch", NUMBER, "0"))
    if group > MAX_GROUP:
        raise ThriftError("the field batch is out of range")
    return ClientRequest(
        request_class=read("route", TOKEN),
        request_id=read("trace", HEX_NUMBER),
        object=read("entity", HEX_NUMBER),
        part=read("nth", NUMBER, "0"),
        idempotency_key=read("nonce", TOKEN, ""),
        entity_tag=read("got", TOKEN, ""),
        body=body,
        remaining_time=float(read("patience", DECIMAL)),
        group=group,
        size_kb=float(read("size", DECIMAL, "0")),
        is_retry="redo" in fields,
        tenant=read(tenant_field, TOKEN, "") if tenant_field else "",
    )


def read_cancelled_number(reader: ValueReader) -> int:
    """Read the argument of `forget`: the sequence number of the cancelled call.

    Raises:
        ThriftError: If the argument is missing or cannot be read.
    """
    number = None
    while (value_type := reader.read_field_type()) != 0:
        if (reader.read_i16(), value_type) == (1, I32):
            number = reader.read_i32()
        else:
            reader.skip_value(value_type)
    if number is None:
        raise ThriftError("no sequence number")
    return number


def peek_cancelled_number(call: MethodCall) -> int | None:
    """Return the sequence number in a `forget` call without consuming the arguments.

    The result is None if the number cannot be read.
    """
    try:
        return read_cancelled_number(ValueReader(call.arguments.frame[call.arguments.offset :]))
    except ThriftError:
        return None


def contains_cancellation(received: bytes, number: int) -> bool:
    """Return whether one of the received bytes' complete `forget` calls has this sequence number.

    The bytes must start at the beginning of a frame. They are decoded only if they contain the
    argument of such a call, so that the search takes little CPU time in a flood of small frames.
    """
    argument = _encode_field_head(I32, 1) + I32_FORMAT.pack(number)
    return argument in received and number in cancelled_numbers(received)


def cancelled_numbers(received: bytes) -> set[int]:
    """Return the sequence numbers in all complete `forget` calls among the received bytes.

    The bytes must start at the beginning of a frame.
    """
    decoder = FrameDecoder(len(received))
    decoder.writable_view()[:] = received
    numbers: set[int] = set()
    try:
        for frame in decoder.decode(len(received)):
            call = read_call(frame)
            if call.method == "forget" and (number := peek_cancelled_number(call)) is not None:
                numbers.add(number)
    except ThriftError:  # bytes after a framing error are never handled as calls
        pass
    return numbers


def _encode_text(text: str) -> bytes:
    data = text.encode()
    return I32_FORMAT.pack(len(data)) + data


def _encode_field_head(value_type: int, number: int) -> bytes:
    return bytes((value_type,)) + I16_FORMAT.pack(number)


def _encode_string_map(fields: dict[str, str]) -> bytes:
    pairs = b"".join(_encode_text(key) + _encode_text(value) for key, value in fields.items())
    return bytes((STRING, STRING)) + I32_FORMAT.pack(len(fields)) + pairs


def _encode_head(kind: int, method: str, sequence_number: int) -> bytes:
    return U32_FORMAT.pack(VERSION | kind) + _encode_text(method) + I32_FORMAT.pack(sequence_number)


def _encode_frame(start: bytes, body: memoryview | bytes = b"", end: bytes = b"") -> Pieces:
    length = I32_FORMAT.pack(len(start) + len(body) + len(end))
    return [length + start, body, end] if len(body) else [length + start + end]


def reply(
    method: str,
    sequence_number: int,
    body: memoryview | bytes,
    fields: dict[str, str],
    is_good: bool,
) -> Pieces:
    """Encode a reply with an Answer struct, which consists of body, fields and success flag."""
    start = (
        _encode_head(REPLY, method, sequence_number)
        + _encode_field_head(STRUCT, 0)
        + _encode_field_head(STRING, 1)
        + I32_FORMAT.pack(len(body))
    )
    end = (
        _encode_field_head(MAP, 2)
        + _encode_string_map(fields)
        + _encode_field_head(BOOL, 3)
        + bytes((is_good,))
        + STOP
        + STOP
    )
    return _encode_frame(start, body, end)


def declared_exception(
    method: str, sequence_number: int, field_number: int, fields: dict[str, str]
) -> Pieces:
    """Encode a reply with an exception that the method declares under this field number."""
    exception = _encode_field_head(MAP, 1) + _encode_string_map(fields) + STOP
    head = _encode_head(REPLY, method, sequence_number)
    return _encode_frame(head + _encode_field_head(STRUCT, field_number) + exception + STOP)


def rejected_reply(sequence_number: int, retry_after_ms: float) -> Pieces:
    """Encode the answer to a request that was not executed, which the client may retry.

    The answer names the time before the retry if `retry_after_ms` is positive.
    """
    fields = {"pause": str(round(retry_after_ms))} if retry_after_ms > 0 else {}
    return declared_exception("serve", sequence_number, 1, fields)


def failed_reply(sequence_number: int) -> Pieces:
    """Encode the answer to a request that has failed and may have been executed."""
    return declared_exception("serve", sequence_number, 2, {})


def application_exception(method: str, sequence_number: int, kind: int, text: str) -> Pieces:
    """Encode a TApplicationException."""
    return _encode_frame(
        _encode_head(EXCEPTION, method, sequence_number)
        + _encode_field_head(STRING, 1)
        + _encode_text(text)
        + _encode_field_head(I32, 2)
        + I32_FORMAT.pack(kind)
        + STOP
    )

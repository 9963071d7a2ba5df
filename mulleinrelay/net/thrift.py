"""Thrift, framed transport and strict binary protocol, as the clients' service speaks it.

Pure: no sockets, no clocks. Names of fields and methods on the wire are the platform's.
"""

import re
import struct
from collections.abc import Iterator
from dataclasses import dataclass

from ..errors import ProtocolError
from ..policy.model import ClientRequest
from .receive_buffer import ReceiveBuffer

Pieces = list[memoryview | bytes]  # of one message, to be written one after the other

# Types of values (TType).
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
BYTES_OF_TYPE = {BOOL: 1, BYTE: 1, DOUBLE: 8, I16: 2, I32: 4, I64: 8}  # those of a fixed size

# Types of messages (TMessageType).
CALL = 1
REPLY = 2
EXCEPTION = 3
ONEWAY = 4

# Types of a TApplicationException.
UNKNOWN_METHOD = 1
INTERNAL_ERROR = 6
PROTOCOL_ERROR = 7

VERSION = 0x80010000  # of the strict binary protocol; the lowest byte holds the message type
VERSION_MASK = 0xFFFFFF00
MAX_NESTING = 16
MAX_FIELDS = 64  # of the clients' string map
MAX_BODY_BYTES = 48_000  # a write brings no more
MAX_FRAME_BYTES = MAX_BODY_BYTES + 16_384
MAX_GROUP = 255
LENGTH_BYTES = 4  # before each frame

I32_FORMAT = struct.Struct(">i")
U32_FORMAT = struct.Struct(">I")
I16_FORMAT = struct.Struct(">h")
STOP = b"\0"  # ends a struct

# Forms of the clients' fields.
TOKEN = re.compile(r"[0-9A-Za-z_.:-]{1,128}", re.ASCII)  # goes unchanged into an attempt's fields
HEX_NUMBER = re.compile(r"[0-9a-fA-F]{16}", re.ASCII)
NUMBER = re.compile(r"[0-9]{1,9}", re.ASCII)
DECIMAL = re.compile(r"[0-9]{1,9}(\.[0-9]{1,9})?", re.ASCII)


class ThriftError(ProtocolError):
    """Bytes that do not follow the protocol, or a call that cannot be used."""


class FrameDecoder:
    """Cuts received bytes into frames. Not thread-safe."""

    def __init__(self, size: int = 4096, max_frame_bytes: int = MAX_FRAME_BYTES) -> None:
        """Creates a decoder whose buffer has blocks of `size` bytes."""
        self.buffer = ReceiveBuffer(size)
        self.max_frame_bytes = max_frame_bytes
        self.expected_length = 0  # of the first unread frame, its length included; 0: not known

    def writable_view(self) -> memoryview:
        """Returns the memory for the next bytes."""
        return self.buffer.writable_view(self.expected_length)

    def decode(self, length: int) -> Iterator[memoryview]:
        """Yields the frames that are complete now, without their length.

        Args:
            length: Bytes that were written to the writable view since the last call.

        Raises:
            ThriftError: Where bytes cannot be a frame; the frames before them have been yielded.
        """
        buffer = self.buffer
        buffer.end += length
        self.expected_length = 0
        while len(buffer) >= LENGTH_BYTES:
            size = I32_FORMAT.unpack_from(buffer.view, buffer.start)[0]
            if not 0 < size <= self.max_frame_bytes:
                raise ThriftError(f"a frame of {size} bytes")
            if len(buffer) < LENGTH_BYTES + size:
                self.expected_length = LENGTH_BYTES + size
                break
            yield buffer.take(LENGTH_BYTES + size)[LENGTH_BYTES:]


class ValueReader:
    """Reads values one after the other from a frame; each method raises ThriftError."""

    def __init__(self, frame: memoryview) -> None:
        self.frame = frame
        self.offset = 0

    def read_bytes(self, length: int) -> memoryview:
        """Reads that many bytes."""
        end = self.offset + length
        if length < 0 or end > len(self.frame):
            raise ThriftError(f"{length} bytes wanted at {self.offset} of {len(self.frame)}")
        found = self.frame[self.offset : end]
        self.offset = end
        return found

    def read_byte(self) -> int:
        """Reads an unsigned byte."""
        return self.read_bytes(1)[0]

    def read_i16(self) -> int:
        """Reads a signed number of two bytes."""
        return I16_FORMAT.unpack(self.read_bytes(2))[0]

    def read_i32(self) -> int:
        """Reads a signed number of four bytes."""
        return I32_FORMAT.unpack(self.read_bytes(4))[0]

    def read_binary(self) -> memoryview:
        """Reads a string of bytes with its length before it."""
        return self.read_bytes(self.read_i32())

    def read_text(self) -> str:
        """Reads a string of UTF-8."""
        try:
            return str(self.read_binary(), "utf-8")
        except UnicodeDecodeError as error:
            raise ThriftError("a string that is not UTF-8") from error

    def read_size(self, maximum: int) -> int:
        """Reads the number of entries of a collection."""
        size = self.read_i32()
        if not 0 <= size <= maximum:
            raise ThriftError(f"a collection of {size}")
        return size

    def read_string_map(self) -> dict[str, str]:
        """Reads a map whose keys and values are strings."""
        key_type = self.read_byte()
        value_type = self.read_byte()
        size = self.read_size(MAX_FIELDS)
        if size and (key_type, value_type) != (STRING, STRING):
            raise ThriftError("a map that is not of strings")
        return {self.read_text(): self.read_text() for _ in range(size)}

    def skip_value(self, value_type: int, depth: int = 0) -> None:
        """Skips a value of any type; `depth` counts the values that it is nested in."""
        if depth > MAX_NESTING:
            raise ThriftError("nested too deep")
        if value_type in BYTES_OF_TYPE:
            self.read_bytes(BYTES_OF_TYPE[value_type])
        elif value_type == STRING:
            self.read_binary()
        elif value_type == STRUCT:
            while (field_type := self.read_byte()) != 0:
                self.read_i16()
                self.skip_value(field_type, depth + 1)
        elif value_type == MAP:
            self._skip_map(depth)
        elif value_type in (SET, LIST):
            entry_type = self.read_byte()
            for _ in range(self.read_size(len(self.frame))):
                self.skip_value(entry_type, depth + 1)
        else:
            raise ThriftError(f"an unknown type {value_type}")

    def _skip_map(self, depth: int) -> None:
        key_type = self.read_byte()
        value_type = self.read_byte()
        for _ in range(self.read_size(len(self.frame))):
            self.skip_value(key_type, depth + 1)
            self.skip_value(value_type, depth + 1)


@dataclass(slots=True, eq=False)
class MethodCall:
    """The head of a message; its arguments are read by the function for that method.

    Attributes:
        method: Name of the method.
        kind: CALL or ONEWAY.
        sequence_number: The client's number for the call, which the answer bears.
        arguments: Reader that stands before the arguments.
        read_at: When it was read from the socket, in monotonic seconds.
    """

    method: str
    kind: int
    sequence_number: int
    arguments: ValueReader
    read_at: float = 0.0


def read_call(frame: memoryview) -> MethodCall:
    """Reads the head of a message.

    Raises:
        ThriftError: If it is no call of the strict binary protocol.
    """
    reader = ValueReader(frame)
    word = U32_FORMAT.unpack(reader.read_bytes(4))[0]
    if word & VERSION_MASK != VERSION:
        raise ThriftError("not a message of the strict binary protocol")
    call = MethodCall(reader.read_text(), word & 0xFF, reader.read_i32(), reader)
    if call.kind not in (CALL, ONEWAY):
        raise ThriftError(f"a message of type {call.kind}")
    return call


def read_serve(reader: ValueReader, tenant_field: str = "") -> ClientRequest:
    """Reads the arguments of `serve` and checks the form of each field.

    Args:
        reader: Stands before the arguments.
        tenant_field: The field in which clients of our own installations name their tenant;
            empty: none.

    Raises:
        ThriftError: If they cannot be read, or a field is missing or has the wrong form.
    """
    fields = None
    body = reader.frame[:0]
    while (value_type := reader.read_byte()) != 0:
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
    """Reads the argument of `forget`: the sequence number of the call that is cancelled.

    Raises:
        ThriftError: If there is none.
    """
    found = None
    while (value_type := reader.read_byte()) != 0:
        if (reader.read_i16(), value_type) == (1, I32):
            found = reader.read_i32()
        else:
            reader.skip_value(value_type)
    if found is None:
        raise ThriftError("no sequence number")
    return found


def peek_cancelled_number(call: MethodCall) -> int | None:
    """Returns the number that a `forget` cancels, without consuming its arguments.

    None where it cannot be read.
    """
    try:
        return read_cancelled_number(ValueReader(call.arguments.frame[call.arguments.offset :]))
    except ThriftError:
        return None


def cancelled_numbers(received: bytes) -> set[int]:
    """Returns the sequence numbers that complete calls among bytes not consumed yet cancel."""
    decoder = FrameDecoder(len(received))
    decoder.writable_view()[:] = received
    found: set[int] = set()
    try:
        for frame in decoder.decode(len(received)):
            call = read_call(frame)
            if call.method == "forget" and (number := peek_cancelled_number(call)) is not None:
                found.add(number)
    except ThriftError:  # what comes behind it is never read as a call
        pass
    return found


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
    """Encodes a reply that holds an Answer struct: body, fields and whether all is well."""
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
    """Encodes a reply with one of the exceptions that a method declares, by its field number."""
    exception = _encode_field_head(MAP, 1) + _encode_string_map(fields) + STOP
    head = _encode_head(REPLY, method, sequence_number)
    return _encode_frame(head + _encode_field_head(STRUCT, field_number) + exception + STOP)


def rejected_reply(sequence_number: int, retry_after_ms: float) -> Pieces:
    """Encodes the answer to a request that was not executed; the client may retry."""
    fields = {"pause": str(round(retry_after_ms))} if retry_after_ms > 0 else {}
    return declared_exception("serve", sequence_number, 1, fields)


def failed_reply(sequence_number: int) -> Pieces:
    """Encodes the answer to a request that failed and may have been executed."""
    return declared_exception("serve", sequence_number, 2, {})


def application_exception(method: str, sequence_number: int, kind: int, text: str) -> Pieces:
    """Encodes a TApplicationException."""
    return _encode_frame(
        _encode_head(EXCEPTION, method, sequence_number)
        + _encode_field_head(STRING, 1)
        + _encode_text(text)
        + _encode_field_head(I32, 2)
        + I32_FORMAT.pack(kind)
        + STOP
    )

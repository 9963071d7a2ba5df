"""Framed transport and strict binary protocol of the clients' service; pure, no sockets."""

import re
import struct
from collections.abc import Iterator
from dataclasses import dataclass

from ..policy.model import ClientRequest
from .receive_buffer import ReceiveBuffer

BOOL, BYTE, DOUBLE, I16, I32, I64, STRING, STRUCT, MAP, SET, LIST = (
    2,
    3,
    4,
    6,
    8,
    10,
    11,
    12,
    13,
    14,
    15,
)
FIXED = {BOOL: 1, BYTE: 1, DOUBLE: 8, I16: 2, I32: 4, I64: 8}
CALL, REPLY, EXCEPTION, ONEWAY = 1, 2, 3, 4
UNKNOWN_METHOD, INTERNAL_ERROR, PROTOCOL_ERROR = 1, 6, 7  # TApplicationException
VERSION, DEPTH_MOST, FIELDS_MOST = 0x80010000, 16, 64
MAX_BODY_BYTES = 48_000  # a write brings no more
MAX_FRAME_BYTES = MAX_BODY_BYTES + 16_384
INT, UINT, SHORT = struct.Struct(">i"), struct.Struct(">I"), struct.Struct(">h")
STOP = b"\0"
TOKEN = re.compile(
    r"[0-9A-Za-z_.:-]{1,128}", re.ASCII
)  # what goes on unchanged in an attempt's fields
HEX = re.compile(r"[0-9a-fA-F]{16}", re.ASCII)
GROUP_MOST = 255
NUMBER = re.compile(r"[0-9]{1,9}", re.ASCII)
DECIMAL = re.compile(r"[0-9]{1,9}(\.[0-9]{1,9})?", re.ASCII)


class ThriftError(Exception):
    """Bytes that do not follow the protocol."""


class FrameDecoder:
    """Cuts what is received into frames."""

    def __init__(self, size: int = 4096, most: int = MAX_FRAME_BYTES) -> None:
        self.buffer, self.most = ReceiveBuffer(size), most
        self.whole = 0

    def writable_view(self) -> memoryview:
        return self.buffer.writable_view(self.whole)

    def decode(self, length: int) -> Iterator[memoryview]:
        """Call with the number of bytes written to the room; gives the frames that are whole now,
        and those before bytes that can't be read, before it raises.
        """
        intake = self.buffer
        intake.end += length
        self.whole = 0
        while len(intake) >= 4:
            size = INT.unpack_from(intake.view, intake.start)[0]
            if not 0 < size <= self.most:
                raise ThriftError(f"a frame of {size} bytes")
            if len(intake) < 4 + size:
                self.whole = 4 + size
                break
            yield intake.take(4 + size)[4:]


class ValueReader:
    """Reads values off one frame."""

    def __init__(self, frame: memoryview) -> None:
        self.frame, self.offset = frame, 0

    def read_bytes(self, length: int) -> memoryview:
        end = self.offset + length
        if length < 0 or end > len(self.frame):
            raise ThriftError(f"{length} bytes wanted at {self.offset} of {len(self.frame)}")
        found, self.offset = self.frame[self.offset : end], end
        return found

    def read_byte(self) -> int:
        return self.read_bytes(1)[0]

    def read_i16(self) -> int:
        return SHORT.unpack(self.read_bytes(2))[0]

    def read_i32(self) -> int:
        return INT.unpack(self.read_bytes(4))[0]

    def read_binary(self) -> memoryview:
        return self.read_bytes(self.read_i32())

    def read_text(self) -> str:
        try:
            return str(self.read_binary(), "utf-8")
        except UnicodeDecodeError:
            raise ThriftError("a string that is not UTF-8") from None

    def read_size(self, most: int) -> int:
        count = self.read_i32()
        if not 0 <= count <= most:
            raise ThriftError(f"a collection of {count}")
        return count

    def read_string_map(self) -> dict[str, str]:
        key, value = self.read_byte(), self.read_byte()
        count = self.read_size(FIELDS_MOST)
        if count and (key, value) != (STRING, STRING):
            raise ThriftError("a map that is not of strings")
        return {self.read_text(): self.read_text() for _ in range(count)}

    def skip_value(self, kind: int, depth: int = 0) -> None:
        if depth > DEPTH_MOST:
            raise ThriftError("nested too deep")
        if kind in FIXED:
            self.read_bytes(FIXED[kind])
        elif kind == STRING:
            self.read_binary()
        elif kind == STRUCT:
            while (inner := self.read_byte()) != 0:
                self.read_i16()
                self.skip_value(inner, depth + 1)
        elif kind == MAP:
            kinds = self.read_byte(), self.read_byte()
            for _ in range(self.read_size(len(self.frame))):
                self.skip_value(kinds[0], depth + 1)
                self.skip_value(kinds[1], depth + 1)
        elif kind in (SET, LIST):
            inner = self.read_byte()
            for _ in range(self.read_size(len(self.frame))):
                self.skip_value(inner, depth + 1)
        else:
            raise ThriftError(f"an unknown type {kind}")


@dataclass(slots=True, eq=False)
class MethodCall:
    """The head of a message; its arguments are read by the method's own function."""

    method: str
    kind: int
    sequence_number: int
    arguments: ValueReader
    read_at: float = 0.0  # monotonic seconds


def read_call(frame: memoryview) -> MethodCall:
    reader = ValueReader(frame)
    word = UINT.unpack(reader.read_bytes(4))[0]
    if word & 0xFFFFFF00 != VERSION:
        raise ThriftError("not a message of the strict binary protocol")
    call = MethodCall(reader.read_text(), word & 0xFF, reader.read_i32(), reader)
    if call.kind not in (CALL, ONEWAY):
        raise ThriftError(f"a message of type {call.kind}")
    return call


def read_serve(reader: ValueReader, tenant_field: str = "") -> ClientRequest:
    """The arguments of `serve`, each field checked by its form. `tenant_field`: where our own
    installations' clients name their tenant; empty: nowhere.
    """
    fields, body = None, reader.frame[:0]
    while (kind := reader.read_byte()) != 0:
        number = reader.read_i16()
        if (number, kind) == (1, MAP):
            fields = reader.read_string_map()
        elif (number, kind) == (2, STRING):
            body = reader.read_binary()
            if len(body) > MAX_BODY_BYTES:
                raise ThriftError(f"a body of {len(body)} bytes")
        else:
            reader.skip_value(kind)
    if fields is None:
        raise ThriftError("no fields")
    return _asked(fields, body, tenant_field)


def _asked(fields: dict[str, str], body: memoryview, tenant_field: str) -> ClientRequest:
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
    if group > GROUP_MOST:
        raise ThriftError("the field batch is out of range")
    return ClientRequest(
        request_class=read("route", TOKEN),
        request_id=read("trace", HEX),
        object=read("entity", HEX),
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
    """The argument of `forget`: the number of the call that its client no longer waits for."""
    found = None
    while (kind := reader.read_byte()) != 0:
        if (reader.read_i16(), kind) == (1, I32):
            found = reader.read_i32()
        else:
            reader.skip_value(kind)
    if found is None:
        raise ThriftError("no sequence number")
    return found


def peek_cancelled_number(call: MethodCall) -> int | None:
    """The same, ahead of the call's turn; None where it can't be read."""
    try:
        return read_cancelled_number(ValueReader(call.arguments.frame[call.arguments.offset :]))
    except ThriftError:
        return None


def cancelled_numbers(received: bytes) -> set[int]:
    """The numbers that whole calls among what was received, and is not taken yet, call off."""
    frames, found = FrameDecoder(len(received)), set()
    frames.writable_view()[:] = received
    try:
        for frame in frames.decode(len(received)):
            if (call := read_call(frame)).method == "forget":
                found.add(peek_cancelled_number(call))
    except ThriftError:  # what comes behind it is never taken
        pass
    return found - {None}


def _text(held: str | bytes) -> bytes:
    data = held.encode() if isinstance(held, str) else held
    return INT.pack(len(data)) + data


def _field(kind: int, number: int) -> bytes:
    return bytes((kind,)) + SHORT.pack(number)


def _strings(fields: dict[str, str]) -> bytes:
    pairs = b"".join(_text(key) + _text(value) for key, value in fields.items())
    return bytes((STRING, STRING)) + INT.pack(len(fields)) + pairs


def _message(
    kind: int,
    method: str,
    number: int,
    head: bytes,
    body: memoryview | bytes = b"",
    tail: bytes = b"",
) -> list[memoryview | bytes]:
    start = UINT.pack(VERSION | kind) + _text(method) + INT.pack(number) + head
    length = INT.pack(len(start) + len(body) + len(tail))
    return [length + start, body, tail] if len(body) else [length + start + tail]


def reply(
    method: str, number: int, body: memoryview | bytes, fields: dict[str, str], good: bool
) -> list[memoryview | bytes]:
    """A whole Answer, as pieces to be written one after the other."""
    head = _field(STRUCT, 0) + _field(STRING, 1) + INT.pack(len(body))
    tail = _field(MAP, 2) + _strings(fields) + _field(BOOL, 3) + bytes((good,)) + STOP + STOP
    return _message(REPLY, method, number, head, body, tail)


def declared_exception(
    method: str, number: int, place: int, fields: dict[str, str]
) -> list[memoryview | bytes]:
    """One of the exceptions that `serve` declares, by its place."""
    held = _field(MAP, 1) + _strings(fields) + STOP
    return _message(REPLY, method, number, _field(STRUCT, place) + held + STOP)


def rejected_reply(number: int, come_back: float) -> list[memoryview | bytes]:
    return declared_exception(
        "serve", number, 1, {"pause": str(round(come_back))} if come_back > 0 else {}
    )


def failed_reply(number: int) -> list[memoryview | bytes]:
    return declared_exception("serve", number, 2, {})


def application_exception(
    method: str, number: int, kind: int, text: str
) -> list[memoryview | bytes]:
    head = _field(STRING, 1) + _text(text) + _field(I32, 2) + INT.pack(kind) + STOP
    return _message(EXCEPTION, method, number, head)

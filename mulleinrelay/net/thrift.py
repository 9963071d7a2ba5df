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
BODY_MOST = 48_000  # a write brings no more
FRAME_MOST = BODY_MOST + 16_384
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


class Frames:
    """Cuts what is received into frames."""

    def __init__(self, size: int = 4096, most: int = FRAME_MOST) -> None:
        self.intake, self.most = ReceiveBuffer(size), most
        self.whole = 0

    def room(self) -> memoryview:
        return self.intake.room(self.whole)

    def filled(self, length: int) -> Iterator[memoryview]:
        """Call with the number of bytes written to the room; gives the frames that are whole now,
        and those before bytes that can't be read, before it raises.
        """
        intake = self.intake
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


class Reader:
    """Reads values off one frame."""

    def __init__(self, frame: memoryview) -> None:
        self.frame, self.place = frame, 0

    def bytes(self, length: int) -> memoryview:
        end = self.place + length
        if length < 0 or end > len(self.frame):
            raise ThriftError(f"{length} bytes wanted at {self.place} of {len(self.frame)}")
        found, self.place = self.frame[self.place : end], end
        return found

    def byte(self) -> int:
        return self.bytes(1)[0]

    def short(self) -> int:
        return SHORT.unpack(self.bytes(2))[0]

    def int(self) -> int:
        return INT.unpack(self.bytes(4))[0]

    def binary(self) -> memoryview:
        return self.bytes(self.int())

    def text(self) -> str:
        try:
            return str(self.binary(), "utf-8")
        except UnicodeDecodeError:
            raise ThriftError("a string that is not UTF-8") from None

    def count(self, most: int) -> int:
        count = self.int()
        if not 0 <= count <= most:
            raise ThriftError(f"a collection of {count}")
        return count

    def strings(self) -> dict[str, str]:
        key, value = self.byte(), self.byte()
        count = self.count(FIELDS_MOST)
        if count and (key, value) != (STRING, STRING):
            raise ThriftError("a map that is not of strings")
        return {self.text(): self.text() for _ in range(count)}

    def skip(self, kind: int, depth: int = 0) -> None:
        if depth > DEPTH_MOST:
            raise ThriftError("nested too deep")
        if kind in FIXED:
            self.bytes(FIXED[kind])
        elif kind == STRING:
            self.binary()
        elif kind == STRUCT:
            while (inner := self.byte()) != 0:
                self.short()
                self.skip(inner, depth + 1)
        elif kind == MAP:
            kinds = self.byte(), self.byte()
            for _ in range(self.count(len(self.frame))):
                self.skip(kinds[0], depth + 1)
                self.skip(kinds[1], depth + 1)
        elif kind in (SET, LIST):
            inner = self.byte()
            for _ in range(self.count(len(self.frame))):
                self.skip(inner, depth + 1)
        else:
            raise ThriftError(f"an unknown type {kind}")


@dataclass(slots=True, eq=False)
class Call:
    """The head of a message; its arguments are read by the method's own function."""

    method: str
    kind: int
    number: int
    rest: Reader
    read_at: float = 0.0  # monotonic seconds


def read_call(frame: memoryview) -> Call:
    reader = Reader(frame)
    word = UINT.unpack(reader.bytes(4))[0]
    if word & 0xFFFFFF00 != VERSION:
        raise ThriftError("not a message of the strict binary protocol")
    call = Call(reader.text(), word & 0xFF, reader.int(), reader)
    if call.kind not in (CALL, ONEWAY):
        raise ThriftError(f"a message of type {call.kind}")
    return call


def read_serve(reader: Reader, tenant_field: str = "") -> ClientRequest:
    """The arguments of `serve`, each field checked by its form. `tenant_field`: where our own
    installations' clients name their tenant; empty: nowhere.
    """
    fields, body = None, reader.frame[:0]
    while (kind := reader.byte()) != 0:
        number = reader.short()
        if (number, kind) == (1, MAP):
            fields = reader.strings()
        elif (number, kind) == (2, STRING):
            body = reader.binary()
            if len(body) > BODY_MOST:
                raise ThriftError(f"a body of {len(body)} bytes")
        else:
            reader.skip(kind)
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


def read_forget(reader: Reader) -> int:
    """The argument of `forget`: the number of the call that its client no longer waits for."""
    found = None
    while (kind := reader.byte()) != 0:
        if (reader.short(), kind) == (1, I32):
            found = reader.int()
        else:
            reader.skip(kind)
    if found is None:
        raise ThriftError("no sequence number")
    return found


def forgotten(call: Call) -> int | None:
    """The same, ahead of the call's turn; None where it can't be read."""
    try:
        return read_forget(Reader(call.rest.frame[call.rest.place :]))
    except ThriftError:
        return None


def called_off(received: bytes) -> set[int]:
    """The numbers that whole calls among what was received, and is not taken yet, call off."""
    frames, found = Frames(len(received)), set()
    frames.room()[:] = received
    try:
        for frame in frames.filled(len(received)):
            if (call := read_call(frame)).method == "forget":
                found.add(forgotten(call))
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


def answer(
    method: str, number: int, body: memoryview | bytes, fields: dict[str, str], good: bool
) -> list[memoryview | bytes]:
    """A whole Answer, as pieces to be written one after the other."""
    head = _field(STRUCT, 0) + _field(STRING, 1) + INT.pack(len(body))
    tail = _field(MAP, 2) + _strings(fields) + _field(BOOL, 3) + bytes((good,)) + STOP + STOP
    return _message(REPLY, method, number, head, body, tail)


def thrown(
    method: str, number: int, place: int, fields: dict[str, str]
) -> list[memoryview | bytes]:
    """One of the exceptions that `serve` declares, by its place."""
    held = _field(MAP, 1) + _strings(fields) + STOP
    return _message(REPLY, method, number, _field(STRUCT, place) + held + STOP)


def rejected(number: int, come_back: float) -> list[memoryview | bytes]:
    return thrown("serve", number, 1, {"pause": str(round(come_back))} if come_back > 0 else {})


def failed(number: int) -> list[memoryview | bytes]:
    return thrown("serve", number, 2, {})


def application_exception(
    method: str, number: int, kind: int, text: str
) -> list[memoryview | bytes]:
    head = _field(STRING, 1) + _text(text) + _field(I32, 2) + INT.pack(kind) + STOP
    return _message(EXCEPTION, method, number, head)

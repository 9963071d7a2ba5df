"""Frame codec of the simulator's wire: bytes to plain tuples and back. The wire's own words end
here.
"""

import struct
from collections.abc import Iterator
from typing import Any, BinaryIO

HEADER = struct.Struct("<IIdI")
HEADER_REST = 12  # the bytes of the header that the length field counts
EVENT_SIZE, ACTION_SIZE, ENTRY_SIZE = 56, 40, 23
ENTRY = struct.Struct("<HBf6sBdB")

SELECT, BEGIN, MEMBERSHIP, NEW_REQUEST, OPENED, ANSWER = 130, 10, 20, 30, 40, 50
VANISHED, FIRED, PONG, PEER_DATA, HALT, STRUCK_OUT, LEDGER = 60, 70, 80, 90, 100, 110, 120

EVENTS = {
    SELECT: struct.Struct("<xI"),
    BEGIN: struct.Struct("<xQII"),
    MEMBERSHIP: struct.Struct("<xHBQ"),
    NEW_REQUEST: struct.Struct("<xQHIQdfffH"),
    OPENED: struct.Struct("<xQ6sHd"),
    ANSWER: struct.Struct("<xQH6sBdBIdB4f"),
    VANISHED: struct.Struct("<xQ"),
    FIRED: struct.Struct("<xQ"),
    PONG: struct.Struct("<x6sBdB4f"),
    PEER_DATA: struct.Struct("<xIII"),
    HALT: struct.Struct("<x"),
    STRUCK_OUT: struct.Struct("<xQHd"),
    LEDGER: struct.Struct("<xHII"),
}
TAIL_FIELDS = {BEGIN: 1, PEER_DATA: 1, LEDGER: 1}  # place of the offset; the length follows it

INSTANCE, DELIVER_VIA, PASS_ON, ABANDON, REFUSE, SURRENDER = 60, 10, 30, 130, 120, 100
SET_TIMER, ASK_LOAD, POST, NOTE_DOWN, FAULT, KEEP_INFORMED = 50, 40, 80, 70, 110, 90

ACTIONS = {
    INSTANCE: struct.Struct("<BI"),
    DELIVER_VIA: struct.Struct("<BQd6sB6sdB"),
    PASS_ON: struct.Struct("<BQ6sd"),
    ABANDON: struct.Struct("<BQH"),
    REFUSE: struct.Struct("<BQd"),
    SURRENDER: struct.Struct("<BQ"),
    SET_TIMER: struct.Struct("<BQd"),
    ASK_LOAD: struct.Struct("<B6s"),
    POST: struct.Struct("<BIII"),
    NOTE_DOWN: struct.Struct("<BII"),
    FAULT: struct.Struct("<BII"),
    KEEP_INFORMED: struct.Struct("<BB"),
}


class WireError(Exception):
    """A frame that does not follow the wire page; the text says what was wrong and where."""


def _exactly(stream: BinaryIO, size: int, what: str, may_end: bool = False) -> bytes:
    data = b""
    while len(data) < size:
        more = stream.read(size - len(data))
        if not more:
            if may_end and not data:
                return b""
            raise WireError(f"input ended inside {what}: {len(data)} of {size} bytes")
        data += more
    return data


def read_frame(stream: BinaryIO) -> tuple[float, int, list[tuple[int, tuple[Any, ...]]]] | None:
    """One batch as (clock, number, [(code, fields)]); None when the input ended between frames."""
    head = _exactly(stream, HEADER.size, "a frame header", may_end=True)
    if not head:
        return None
    count, length, clock, number = HEADER.unpack(head)
    size = length - HEADER_REST
    if size < count * EVENT_SIZE:
        raise WireError(f"batch {number}: length {length} is too short for {count} records")
    return clock, number, list(_records(_exactly(stream, size, f"batch {number}"), count, number))


def _records(body: bytes, count: int, number: int) -> Iterator[tuple[int, tuple[Any, ...]]]:
    tail_at = count * EVENT_SIZE
    for place in range(count):
        code = body[place * EVENT_SIZE]
        form = EVENTS.get(code)
        if form is None:
            raise WireError(f"batch {number}, record {place}: unknown code {code}")
        fields = form.unpack_from(body, place * EVENT_SIZE)
        spot = TAIL_FIELDS.get(code)
        if spot is not None:
            start, size = tail_at + fields[spot], fields[spot + 1]
            size *= ENTRY_SIZE if code == LEDGER else 1
            if start + size > len(body):
                raise WireError(f"batch {number}, record {place}: its entry lies outside the tail")
            held: Any = body[start : start + size]
            if code == LEDGER:
                held = list(ENTRY.iter_unpack(held))
            fields = (*fields[:spot], held)
        yield code, fields


class Reply:
    """The actions of one reply, in the order written."""

    def __init__(self) -> None:
        self.records: list[bytes] = []
        self.tail = b""

    def add(self, code: int, *fields: Any) -> None:
        self.records.append(ACTIONS[code].pack(code, *fields).ljust(ACTION_SIZE, b"\0"))

    def add_bytes(self, code: int, held: bytes, *fields: Any) -> None:
        self.add(code, *fields, len(self.tail), len(held))
        self.tail += held

    def frame(self, number: int) -> bytes:
        body = b"".join(self.records) + self.tail
        return struct.pack("<III", len(self.records), 4 + len(body), number) + body

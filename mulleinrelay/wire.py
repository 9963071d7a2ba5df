"""Frame codec of the simulator's wire protocol: decodes received batches and encodes replies.

The codes are named in the terms of `policy/events.py` and `policy/actions.py` and not in the
protocol's own terms. A frame is a received batch or the reply to a batch. It consists of a header,
records of a fixed size, and a tail with data of variable length. Multi-byte numbers are
little-endian.
"""

import struct
from collections.abc import Iterator
from typing import Any, BinaryIO, NamedTuple

from .errors import ProtocolError

# In both headers, the length is the number of bytes that follow the field with the length.
HEADER = struct.Struct("<IIdI")  # number of records, length, clock in ms, batch number
HEADER_REST = 12  # bytes of the header that are included in the length
REPLY_HEADER = struct.Struct("<III")  # number of records, length, batch number
REPLY_HEADER_REST = 4  # bytes of the reply's header that are included in the length
EVENT_SIZE = 56  # bytes of a received record
ACTION_SIZE = 40  # bytes of a record in a reply
ENDPOINT_ROW = struct.Struct("<HBf6sBdB")  # cell, kind, weight, address, state, start in ms, zone

# Codes of received records
SELECT_INSTANCE = 130  # selects the instance (director) that the following records are for
BEGIN = 10
ENDPOINT_LIST = 20
NEW_REQUEST = 30
CONNECTION_OPENED = 40
ATTEMPT_FINISHED = 50
CLIENT_LEFT = 60
TIMER_FIRED = 70
HEALTH_CHECK_FINISHED = 80
PEER_DATA = 90
HALT = 100
PURGE = 110
ENDPOINT_ROWS = 120  # the rows that an endpoint list refers to

EVENTS = {
    SELECT_INSTANCE: struct.Struct("<xI"),
    BEGIN: struct.Struct("<xQII"),
    ENDPOINT_LIST: struct.Struct("<xHBQ"),
    NEW_REQUEST: struct.Struct("<xQHIQdfffH"),
    CONNECTION_OPENED: struct.Struct("<xQ6sHd"),
    ATTEMPT_FINISHED: struct.Struct("<xQH6sBdBIdB4f"),
    CLIENT_LEFT: struct.Struct("<xQ"),
    TIMER_FIRED: struct.Struct("<xQ"),
    HEALTH_CHECK_FINISHED: struct.Struct("<x6sBdB4f"),
    PEER_DATA: struct.Struct("<xIII"),
    HALT: struct.Struct("<x"),
    PURGE: struct.Struct("<xQHd"),
    ENDPOINT_ROWS: struct.Struct("<xHII"),
}
# Index of a record's field that contains an offset in the tail. The field after it contains the
# length of the data there, in bytes, or in rows for `ENDPOINT_ROWS`.
TAIL_FIELDS = {BEGIN: 1, PEER_DATA: 1, ENDPOINT_ROWS: 1}

# Codes of records in a reply
FOR_INSTANCE = 60  # names the instance (director) that the following records are from
SEND_ATTEMPT = 10
FORWARD = 30
CANCEL_ATTEMPT = 130
REJECT_REQUEST = 120
FAIL_REQUEST = 100
SCHEDULE_TIMER = 50
CHECK_HEALTH = 40
SEND_PEER_DATA = 80
LOG = 70
FAULT = 110
SUBSCRIBE = 90

ACTIONS = {
    FOR_INSTANCE: struct.Struct("<BI"),
    SEND_ATTEMPT: struct.Struct("<BQd6sB6sdB"),
    FORWARD: struct.Struct("<BQ6sd"),
    CANCEL_ATTEMPT: struct.Struct("<BQH"),
    REJECT_REQUEST: struct.Struct("<BQd"),
    FAIL_REQUEST: struct.Struct("<BQ"),
    SCHEDULE_TIMER: struct.Struct("<BQd"),
    CHECK_HEALTH: struct.Struct("<B6s"),
    SEND_PEER_DATA: struct.Struct("<BIII"),
    LOG: struct.Struct("<BII"),
    FAULT: struct.Struct("<BII"),
    SUBSCRIBE: struct.Struct("<BB"),
}

Fields = tuple[Any, ...]  # of one record, as unpacked by its struct
# One received record: its code and fields. The referenced data replaces the two fields that refer
# to the tail. A record is a plain tuple for speed, as there are several for each request.
Record = tuple[int, Fields]


class Batch(NamedTuple):
    """Received batch of records; `clock` is the simulated time in ms.

    The reply has the same `number`.
    """

    clock: float
    number: int
    records: list[Record]


class WireError(ProtocolError):
    """Error for input that violates the protocol; the message has the cause and the location."""


def _read_exactly(stream: BinaryIO, size: int, section: str, allow_end: bool = False) -> bytes:
    data = b""
    while len(data) < size:
        chunk = stream.read(size - len(data))
        if not chunk:
            if allow_end and not data:
                return b""
            raise WireError(f"input ended inside {section}: {len(data)} of {size} bytes")
        data += chunk
    return data


def read_frame(stream: BinaryIO) -> Batch | None:
    """Read one batch.

    Returns:
        The batch; None if the input ended between batches.

    Raises:
        WireError: If the input ended inside a batch, or the batch is malformed.
    """
    header = _read_exactly(stream, HEADER.size, "a frame header", allow_end=True)
    if not header:
        return None
    count, length, clock, number = HEADER.unpack(header)
    size = length - HEADER_REST
    if size < count * EVENT_SIZE:
        raise WireError(f"batch {number}: length {length} is too short for {count} records")
    body = _read_exactly(stream, size, f"batch {number}")
    return Batch(clock, number, list(_records(body, count, number)))


def _records(body: bytes, count: int, batch: int) -> Iterator[Record]:
    tail_at = count * EVENT_SIZE
    for index in range(count):
        code = body[index * EVENT_SIZE]
        layout = EVENTS.get(code)
        if layout is None:
            raise WireError(f"batch {batch}, record {index}: unknown code {code}")
        fields = layout.unpack_from(body, index * EVENT_SIZE)
        offset_field = TAIL_FIELDS.get(code)
        if offset_field is not None:
            start = tail_at + fields[offset_field]
            size = fields[offset_field + 1]
            if code == ENDPOINT_ROWS:
                size *= ENDPOINT_ROW.size
            if start + size > len(body):
                raise WireError(f"batch {batch}, record {index}: its entry lies outside the tail")
            entry: Any = body[start : start + size]
            if code == ENDPOINT_ROWS:
                entry = list(ENDPOINT_ROW.iter_unpack(entry))
            fields = (*fields[:offset_field], entry)
        yield code, fields


class Reply:
    """Actions of one reply, in the order of `add` calls; owns the records and the tail."""

    def __init__(self) -> None:
        self._records: list[bytes] = []
        self._tail = b""

    def add(self, code: int, *fields: Any) -> None:
        """Add a record."""
        self._records.append(ACTIONS[code].pack(code, *fields).ljust(ACTION_SIZE, b"\0"))

    def add_bytes(self, code: int, entry: bytes, *fields: Any) -> None:
        """Add bytes to the tail, and a record that ends with a reference to them."""
        self.add(code, *fields, len(self._tail), len(entry))
        self._tail += entry

    def frame(self, number: int) -> bytes:
        """Return the encoded reply to the batch with this number."""
        body = b"".join(self._records) + self._tail
        header = REPLY_HEADER.pack(len(self._records), REPLY_HEADER_REST + len(body), number)
        return header + body

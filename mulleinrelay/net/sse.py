"""The protocol of the event stream: an HTTP response with server-sent events as JSON.

The body may be chunked. This module uses no sockets and no clocks.
"""

import re
from dataclasses import dataclass
from typing import Any

from ..config.platform import JsonSection
from ..errors import ConfigError, ProtocolError
from ..policy.model import UNKNOWN_ADDRESS, EndpointState, EndpointUpdate

MAX_LINE_BYTES = 4_194_304  # the first event contains the complete endpoint list
MAX_HEAD_BYTES = 16_384
MAX_DATA_LINES = 1024  # in one event; each line may have up to MAX_LINE_BYTES
MAX_CHUNK_HEAD_BYTES = 64
CHUNK_LENGTH = re.compile(rb"[0-9a-fA-F]+")
HEAD_END = b"\r\n\r\n"
LINE_END_BYTES = 2  # CR LF after each chunk
STATE_BY_WORD = {
    "SERVING": EndpointState.READY,
    "DRAINING": EndpointState.DRAINING,
    "DELETED": EndpointState.GONE,
}


class SseError(ProtocolError):
    """Error for bytes that violate the protocol, or for a response other than the event stream."""


@dataclass(slots=True, eq=False)
class ServerSentEvent:
    """One event: the number in its `id` line (None if it has none) and its unparsed data."""

    number: int | None
    data: str


def stream_request(host: str, last_event_number: int) -> bytes:
    """Encode the HTTP request for the events after this event number."""
    return (
        f"GET /bus/read HTTP/1.1\r\nHost: {host}\r\nAccept: text/event-stream\r\n"
        f"Last-Event-ID: {last_event_number}\r\n\r\n"
    ).encode()


class SseDecoder:
    """Decoder of one HTTP response into events. Not thread-safe.

    Attributes:
        line_count: Number of complete lines so far; the response head counts as one.
        is_finished: Whether the last chunk was received; always False if the body is not chunked.
    """

    def __init__(self) -> None:
        self.head = b""
        self.is_head_read = False
        self.is_chunked = False
        self.chunk_bytes_left = 0  # missing bytes of the current chunk, including its line end
        self.unread_chunks = b""
        self.partial_line = b""
        # Whether the last byte was a CR, which ends a line with or without a LF after it.
        self.ended_with_return = False
        self.is_finished = False
        self.line_count = 0
        self.number: int | None = None
        self.data: list[str] = []

    def feed(self, piece: bytes) -> list[ServerSentEvent]:
        """Decode received bytes and return the events that are complete.

        Raises:
            SseError: If the bytes violate the protocol.
        """
        if not self.is_head_read:
            self.head += piece
            end = self.head.find(HEAD_END)
            if end < 0:
                if len(self.head) > MAX_HEAD_BYTES:
                    raise SseError(f"a response head of over {MAX_HEAD_BYTES} bytes")
                return []
            piece = self.head[end + len(HEAD_END) :]
            self._read_head(self.head[:end].decode("latin-1"))
        return self._read_lines(self._unchunk(piece) if self.is_chunked else piece)

    def _read_head(self, head: str) -> None:
        first, *lines = head.split("\r\n")
        status = first.split(" ", 2)
        if len(status) < 2 or not status[0].startswith("HTTP/1.") or status[1] != "200":
            raise SseError(f"unexpected response {first[:80]!r}")
        headers = {
            name.strip().lower(): value.strip().lower()
            for name, _, value in (line.partition(":") for line in lines)
        }
        self.is_chunked = headers.get("transfer-encoding", "").endswith("chunked")
        self.is_head_read = True
        self.line_count = 1

    def _unchunk(self, piece: bytes) -> bytes:
        """Return the received part of the body, without the heads and line ends of chunks."""
        self.unread_chunks += piece
        body = []
        while self.unread_chunks:
            if self.chunk_bytes_left > LINE_END_BYTES:
                part = self.unread_chunks[: self.chunk_bytes_left - LINE_END_BYTES]
                body.append(part)
                self.chunk_bytes_left -= len(part)
                self.unread_chunks = self.unread_chunks[len(part) :]
            elif self.chunk_bytes_left:
                if len(self.unread_chunks) < self.chunk_bytes_left:
                    break
                self.unread_chunks = self.unread_chunks[self.chunk_bytes_left :]
                self.chunk_bytes_left = 0
            elif not self._read_chunk_head():
                break
        return b"".join(body)

    def _read_chunk_head(self) -> bool:
        """Read the length of a chunk.

        Returns:
            False if the line with the length is incomplete, or if the chunk is the last one.
        """
        line, end, rest = self.unread_chunks.partition(b"\r\n")
        if not end:
            if len(line) > MAX_CHUNK_HEAD_BYTES:
                raise SseError(f"a chunk head of over {MAX_CHUNK_HEAD_BYTES} bytes")
            return False
        digits = line.partition(b";")[0].strip()
        if not CHUNK_LENGTH.fullmatch(digits):
            raise SseError(f"a chunk of length {line[:16]!r}")
        length = int(digits, 16)
        if not length:
            self.is_finished = True
            return False
        self.chunk_bytes_left = length + LINE_END_BYTES
        self.unread_chunks = rest
        return True

    def _read_lines(self, piece: bytes) -> list[ServerSentEvent]:
        if piece and self.ended_with_return:
            piece = piece.removeprefix(b"\n")
            self.ended_with_return = False
        if piece:
            self.ended_with_return = piece.endswith(b"\r")
        self.partial_line += piece.replace(b"\r\n", b"\n").replace(b"\r", b"\n")
        *lines, self.partial_line = self.partial_line.split(b"\n")
        self.line_count += len(lines)
        if len(self.partial_line) > MAX_LINE_BYTES:
            raise SseError(f"a line of over {MAX_LINE_BYTES} bytes")
        events = (self._read_line(line.decode("utf-8", "replace")) for line in lines)
        return [event for event in events if event is not None]

    def _read_line(self, line: str) -> ServerSentEvent | None:
        """Decode one line; return the event that ends with it, or None."""
        if not line:
            event = ServerSentEvent(self.number, "\n".join(self.data)) if self.data else None
            self.number = None
            self.data = []
            return event
        name, _, value = line.partition(":")
        value = value.removeprefix(" ")
        if name == "data":
            self.data.append(value)
            if len(self.data) > MAX_DATA_LINES:
                raise SseError(f"an event of over {MAX_DATA_LINES} data lines")
        elif name == "id" and value.isascii() and value.isdecimal():
            self.number = int(value)
        return None


@dataclass(slots=True, eq=False)
class EndpointListEvent:
    """Update of the endpoint list, or a snapshot of the complete list.

    Attributes:
        entries: The listed endpoints.
        is_full_snapshot: Whether all endpoints that are not listed are gone.
        errors: One error message for each entry that is left out because it cannot be read.
    """

    entries: list[EndpointUpdate]
    is_full_snapshot: bool
    errors: list[str]


@dataclass(slots=True, eq=False)
class PurgeEvent:
    """Purge of one object or of a group of objects.

    Attributes:
        object_id: The purged object; 0 if the group is purged.
        group: The purged group; not used if a single object is purged.
        issued_at: Time of the purge in Unix milliseconds; older copies must not be served.
    """

    object_id: int
    group: int
    issued_at: float


def restrictive_part(event: EndpointListEvent | PurgeEvent) -> EndpointListEvent | PurgeEvent:
    """Return the part of an event that is applied at once even if earlier events are missing.

    This part is a purge, or the endpoints that must not be used. Ready endpoints are left out.
    """
    if isinstance(event, PurgeEvent):
        return event
    return EndpointListEvent(
        [entry for entry in event.entries if entry.state != EndpointState.READY], False, []
    )


def event_number(data: Any, line_number: int | None) -> int | None:
    """Return the number in an event's data, or `line_number` if the data contain none.

    Args:
        data: Data of the event, parsed from JSON.
        line_number: Number in the event's `id` line; None if it has none.

    Raises:
        ConfigError: If the event is not an object or its number is not an integer.
    """
    return JsonSection(data, "event").integer("offset", line_number)


def parse_event(
    data: Any, zones: dict[str, int], kinds: dict[str, int]
) -> EndpointListEvent | PurgeEvent:
    """Parse the data of an event.

    Args:
        data: Data of the event, parsed from JSON.
        zones: Zone numbers by name.
        kinds: Numbers of the kinds of endpoints by name.

    Raises:
        ConfigError: If the event cannot be read; the message names the key.
        ValueError: If the id of a purged object is not a hexadecimal number.
    """
    event = JsonSection(data, "event")
    if "ban" in event.values:
        ban = event.section("ban")
        if "url" in ban.values:
            return PurgeEvent(int(ban.text("url"), 16), ban.integer("tag", 0), ban.number("ts"))
        return PurgeEvent(0, ban.integer("tag"), ban.number("ts"))
    topology = event.section("topology")
    listed = EndpointListEvent([], topology.flag("full", False), [])
    for row in topology.sections("servers"):
        try:
            listed.entries.append(_parse_endpoint(row, zones, kinds))
        except ConfigError as error:  # the other entries are still valid
            departure = _parse_departure(row)
            if departure is None:
                listed.errors.append(str(error))
            else:
                listed.entries.append(departure)
    return listed


def _parse_endpoint(
    row: JsonSection, zones: dict[str, int], kinds: dict[str, int]
) -> EndpointUpdate:
    return EndpointUpdate(
        row.text("id"),
        row.address("addr"),
        row.choice("state", STATE_BY_WORD),
        row.number("weight", 1.0),
        row.choice("kind", kinds),
        row.choice("zone", zones),
        row.integer("cell", 0),
        float(row.number("started_ms", 0)),
    )


def _parse_departure(row: JsonSection) -> EndpointUpdate | None:
    """Parse an entry of an endpoint that is draining or gone, using only its name and state.

    The other fields may be missing or outdated. The result is None if the endpoint is neither
    draining nor gone.
    """
    name = row.values.get("id")
    state = row.values.get("state")
    if not isinstance(name, str) or state not in ("DELETED", "DRAINING"):
        return None
    return EndpointUpdate(name, UNKNOWN_ADDRESS, STATE_BY_WORD[state], 1.0, -1, -1, 0, 0.0)

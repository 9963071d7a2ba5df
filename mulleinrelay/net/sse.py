"""The event stream: an HTTP response head, then server-sent events, plain or in chunks, and what
the events say; pure, no sockets.
"""

from dataclasses import dataclass
from typing import Any

from ..config.platform import JsonSection
from ..errors import ConfigError
from ..policy.model import UNKNOWN_ADDRESS, EndpointState, EndpointUpdate

LINE_MOST = 4_194_304  # the first event holds the whole list
HEAD_MOST = 16_384
DATA_LINES_MOST = 1024  # of one event; each may be long
STATES = {
    "SERVING": EndpointState.READY,
    "DRAINING": EndpointState.DRAINING,
    "DELETED": EndpointState.GONE,
}


class SseError(Exception):
    """Bytes that do not follow the protocol, or an answer other than the stream."""


@dataclass(slots=True, eq=False)
class ServerSentEvent:
    number: int | None
    data: str


def stream_request(host: str, last: int) -> bytes:
    """The call that opens the stream after the event numbered `last`."""
    return (
        f"GET /bus/read HTTP/1.1\r\nHost: {host}\r\nAccept: text/event-stream\r\n"
        f"Last-Event-ID: {last}\r\n\r\n"
    ).encode()


class SseDecoder:
    """Turns received bytes into events."""

    def __init__(self) -> None:
        self.head, self.chunked, self.left = b"", None, 0  # chunked: None until the head is read
        self.held, self.raw = b"", b""
        self.returned = (
            False  # the last byte was a CR, which ends a line whether or not a LF follows
        )
        self.is_finished = False  # the last chunk has come
        self.line_count = 0  # whole ones so far; the head counts as one
        self.number: int | None = None
        self.data: list[str] = []

    def feed(self, piece: bytes) -> list[ServerSentEvent]:
        if self.chunked is None:
            self.head += piece
            end = self.head.find(b"\r\n\r\n")
            if end < 0:
                if len(self.head) > HEAD_MOST:
                    raise SseError("a head without its end")
                return []
            piece = self.head[end + 4 :]
            self._read_head(self.head[:end].decode("latin-1"))
        return self._lines(self._unchunk(piece) if self.chunked else piece)

    def _read_head(self, head: str) -> None:
        first, *lines = head.split("\r\n")
        status = first.split(" ", 2)
        if len(status) < 2 or not status[0].startswith("HTTP/1.") or status[1] != "200":
            raise SseError(f"answered {first[:80]!r}")
        named = {
            name.strip().lower(): value.strip().lower()
            for name, _, value in (line.partition(":") for line in lines)
        }
        self.chunked = named.get("transfer-encoding", "").endswith("chunked")
        self.line_count = 1

    def _unchunk(self, piece: bytes) -> bytes:
        """`left` counts the bytes of a chunk still to come, its line end included."""
        out, self.raw = [], self.raw + piece
        while self.raw:
            if self.left > 2:
                part = self.raw[: self.left - 2]
                out.append(part)
                self.left -= len(part)
                self.raw = self.raw[len(part) :]
            elif self.left:
                if len(self.raw) < self.left:
                    break
                self.raw, self.left = self.raw[self.left :], 0
            else:
                line, end, rest = self.raw.partition(b"\r\n")
                if not end:
                    if len(line) > 64:
                        raise SseError("a chunk without its length")
                    break
                try:
                    length = int(line.partition(b";")[0], 16)
                except ValueError:
                    raise SseError(f"a chunk of length {line[:16]!r}") from None
                if length <= 0:
                    self.is_finished = True
                    break
                self.left, self.raw = length + 2, rest
        return b"".join(out)

    def _lines(self, piece: bytes) -> list[ServerSentEvent]:
        if piece and self.returned:
            piece = piece.removeprefix(b"\n")
            self.returned = False
        if piece:
            self.returned = piece.endswith(b"\r")
        self.held += piece.replace(b"\r\n", b"\n").replace(b"\r", b"\n")
        *lines, self.held = self.held.split(b"\n")
        self.line_count += len(lines)
        if len(self.held) > LINE_MOST:
            raise SseError("a line without its end")
        return [event for line in lines if (event := self._line(line.decode("utf-8", "replace")))]

    def _line(self, line: str) -> ServerSentEvent | None:
        if not line:
            event = ServerSentEvent(self.number, "\n".join(self.data)) if self.data else None
            self.number, self.data = None, []
            return event
        name, _, value = line.partition(":")
        value = value.removeprefix(" ")
        if name == "data":
            self.data.append(value)
            if len(self.data) > DATA_LINES_MOST:
                raise SseError("an event without its end")
        elif name == "id" and value.isdecimal():
            self.number = int(value)
        return None


@dataclass(slots=True, eq=False)
class EndpointListEvent:
    entries: list[EndpointUpdate]
    is_full_snapshot: bool
    errors: list[str]  # entries that can't be read, and why


@dataclass(slots=True, eq=False)
class PurgeEvent:
    object_id: int  # 0: the whole group
    group: int
    issued_at: float


def restrictive_part(event: EndpointListEvent | PurgeEvent) -> EndpointListEvent | PurgeEvent:
    """What of an event holds at once, though others before it are yet to come: all but who is
    ready.
    """
    if isinstance(event, PurgeEvent):
        return event
    return EndpointListEvent(
        [entry for entry in event.entries if entry.state != EndpointState.READY], False, []
    )


def event_number(held: Any, number: int | None) -> int | None:
    """The number that an event gives itself, else that of its line."""
    return JsonSection(held, "event").integer("offset", number)


def _leaving(row: JsonSection) -> EndpointUpdate | None:
    """Of one that leaves the name is enough: what else is told of it may be left out or out of
    date.
    """
    name, state = row.values.get("id"), row.values.get("state")
    if not isinstance(name, str) or state not in ("DELETED", "DRAINING"):
        return None
    return EndpointUpdate(name, UNKNOWN_ADDRESS, STATES[state], 1.0, -1, -1, 0, 0.0)


def parse_event(
    held: Any, zones: dict[str, int], kinds: dict[str, int]
) -> EndpointListEvent | PurgeEvent:
    """What an event says. Raises ConfigError or ValueError, with the key, where it can't be
    read.
    """
    event = JsonSection(held, "event")
    if "ban" in event.values:
        ban = event.section("ban")
        if "url" in ban.values:
            return PurgeEvent(int(ban.text("url"), 16), ban.integer("tag", 0), ban.number("ts"))
        return PurgeEvent(0, ban.integer("tag"), ban.number("ts"))
    topology = event.section("topology")
    listed = EndpointListEvent([], topology.flag("full", False), [])
    for row in topology.sections("servers"):
        try:
            listed.entries.append(
                EndpointUpdate(
                    row.text("id"),
                    row.address("addr"),
                    row.choice("state", STATES),
                    row.number("weight", 1.0),
                    row.choice("kind", kinds),
                    row.choice("zone", zones),
                    row.integer("cell", 0),
                    float(row.number("started_ms", 0)),
                )
            )
        except ConfigError as wrong:  # the others count
            if (leaving := _leaving(row)) is None:
                listed.errors.append(str(wrong))
            else:
                listed.entries.append(leaving)
    return listed

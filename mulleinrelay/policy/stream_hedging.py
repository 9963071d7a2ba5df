"""Hedged connections of the event stream: when to open another one, and which one to close.

A connection that delivers nothing may be dead, or its server may be slow. A new connection helps
only in the first case; in the second one it would have to wait as long again. Therefore, a
connection that is overdue is kept, and another one is opened beside it, which gets the missed
events as well. The first one that delivers something replaces the others. A server is thus heard
however long it takes for its response head or for a line, and a dead connection delays the events
by the timeout only.

No I/O and no clock: the time is an argument, in *seconds* of any one clock. Not thread-safe.
"""

from collections.abc import Sequence
from dataclasses import dataclass

# From the opening of a connection to its complete response head. Three silent connections in a row
# must fit into 7 s.
HEAD_TIMEOUT_S = 1.5
SILENCE_TIMEOUT_S = 2.5  # without any bytes; the server sends a comment line every second
LINE_TIMEOUT_S = 5.0  # from one complete line to the next, even if bytes trickle in between
MAX_CONNECTIONS = 4
OPENING_INTERVAL_S = 1.5  # between two openings
# Between two openings while there are MAX_CONNECTIONS, so that a slow server is not overloaded.
REPLACEMENT_INTERVAL_S = 2.5
# The oldest connection without a line after its response head is kept for this time.
MAX_FIRST_LINE_WAIT_S = 30.0
HEAD_LINES = 1  # the response head counts as one line


@dataclass(slots=True, eq=False)
class StreamProgress:
    """What one connection has delivered so far.

    Attributes:
        opened_at: Time at which the connection was opened.
        last_byte_at: Time at which bytes were last received; before that, `opened_at`.
        last_line_at: Time at which a line was last completed; before that, `opened_at`.
        line_count: Number of complete lines; the response head counts as one.
    """

    opened_at: float
    last_byte_at: float
    last_line_at: float
    line_count: int = 0

    @classmethod
    def opened(cls, now: float) -> "StreamProgress":
        """Return the progress of a connection that is opened now."""
        return cls(now, now, now)

    def record_bytes(self, now: float, line_count: int) -> None:
        """Record that bytes were received, and how many lines are complete now."""
        self.last_byte_at = now
        if line_count > self.line_count:
            self.last_line_at = now
            self.line_count = line_count

    def overdue_at(self) -> float:
        """Return the time from which the connection is overdue if it delivers nothing more."""
        if not self.line_count:
            return self.opened_at + HEAD_TIMEOUT_S
        return min(self.last_byte_at + SILENCE_TIMEOUT_S, self.last_line_at + LINE_TIMEOUT_S)

    def is_silent(self, now: float) -> bool:
        """Return whether no bytes were received for `SILENCE_TIMEOUT_S`."""
        return now >= self.last_byte_at + SILENCE_TIMEOUT_S


def next_opening(connections: Sequence[StreamProgress], last_opened_at: float) -> float:
    """Return the time at which another connection is due if none delivers anything until then.

    Args:
        connections: The open connections; at least one.
        last_opened_at: Time at which a connection was last opened, also if it has ended.
    """
    is_full = len(connections) >= MAX_CONNECTIONS
    interval = REPLACEMENT_INTERVAL_S if is_full else OPENING_INTERVAL_S
    return max(last_opened_at + interval, *(each.overdue_at() for each in connections))


def choose_dropped(connections: Sequence[StreamProgress], now: float) -> StreamProgress | None:
    """Return the connection to close before another one is opened; None if there is room.

    A connection that has delivered lines and gone silent is dropped first, then the second oldest
    one. The oldest one is kept for `MAX_FIRST_LINE_WAIT_S`.

    Args:
        connections: The open connections, the oldest first.
        now: The current time.
    """
    if len(connections) < MAX_CONNECTIONS:
        return None
    for connection in connections:
        if connection.line_count > HEAD_LINES and connection.is_silent(now):
            return connection
    is_waiting_too_long = now > connections[0].opened_at + MAX_FIRST_LINE_WAIT_S
    return connections[0] if is_waiting_too_long else connections[1]


def choose_replaced(
    connections: Sequence[StreamProgress],
    delivering: StreamProgress,
    has_delivered_event: bool,
    now: float,
) -> list[StreamProgress]:
    """Return the connections that are not needed any more, because another one delivers lines.

    Newer connections are not needed. An older one is kept if it receives bytes and the delivering
    one has sent only comments: it may be in the middle of a long line.

    Args:
        connections: The open connections, the oldest first.
        delivering: The connection that has just completed a line.
        has_delivered_event: Whether it has just completed an event.
        now: The current time.
    """
    if delivering.line_count <= HEAD_LINES:
        return []
    position = connections.index(delivering)
    replaced = list(connections[position + 1 :])
    for older in connections[:position]:
        if has_delivered_event or older.is_silent(now):
            replaced.append(older)
    return replaced

"""Event stream of the fleet lab: endpoint updates and purges, with a delay for each director."""

import random
import socket
from dataclasses import dataclass
from typing import Any

import orjson

from ...standins.clock import now_ms
from ...standins.event_loop import EventLoop, LoopConnection
from . import addresses
from .control_channel import RecordFile
from .node_server import read_director_line

KEEP_ALIVE_INTERVAL_MS = 1000.0
POLL_INTERVAL_MS = 20.0  # between checks for events that are due
PURGE_DELAY_DIVISOR = 3.0  # purges are delivered faster than endpoint updates, by this factor
RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n: on\n\n"


@dataclass(slots=True)
class _Reader:
    """A director's connection to the stream.

    Attributes:
        director: Number of the director; NO_DIRECTOR until the first line is received.
        position: Number of events that the director has: those up to its Last-Event-ID, and those
            sent since.
        request_head: Head of the HTTP request, as far as it is received.
    """

    director: int = addresses.NO_DIRECTOR
    position: int = 0
    request_head: bytes = b""


class FleetEventStream:
    """Event stream to all directors, with a random delay for each event and director.

    Attributes:
        events: Creation time in Unix ms and body of each event.
        due_at: Time in Unix ms at which an event is due, by director and index of the event. It
            does not include the delay in `late_by`.
        late_by: Additional delay of all events in ms, by director.
        purge_notified_at: Time in Unix ms at which a director was first notified of a purge of an
            object, by director and object.
        proxy_ports: Port of the fault proxy of each node, by the node's name.
    """

    def __init__(
        self,
        loop: EventLoop,
        records: RecordFile,
        update_delay_ms: tuple[float, float],
        rng: random.Random,
    ) -> None:
        self.loop = loop
        self.records = records
        self.update_delay_ms = update_delay_ms
        self.random = rng
        self.events: list[tuple[float, dict[str, Any]]] = []
        self.due_at: dict[tuple[int, int], float] = {}
        self.late_by: dict[int, float] = {}
        self.purge_notified_at: dict[tuple[int, str], float] = {}
        self.readers: dict[LoopConnection, _Reader] = {}
        self.proxy_ports: dict[str, int] = {}
        self.port: int = loop.listen("127.0.0.1", 0, self._on_connection).getsockname()[1]
        loop.call_every(KEEP_ALIVE_INTERVAL_MS, self._keep_alive)
        loop.call_every(POLL_INTERVAL_MS, self._send_due)

    def publish_endpoints(self, rows: list[dict[str, Any]]) -> None:
        """Publish an endpoint update; the first event is marked as a full snapshot."""
        topology = {"version": len(self.events) + 1, "full": not self.events, "servers": rows}
        self.events.append((now_ms(), {"topology": topology}))

    def publish_purge(self, object_id: str, now: float) -> None:
        """Publish a purge of an object."""
        self.events.append((now, {"ban": {"url": object_id, "ts": round(now)}}))

    def event_for(self, director: int, index: int) -> dict[str, Any]:
        """Return an event as it is sent to a director.

        The addresses in an endpoint update are those at which this director reaches the nodes.

        Args:
            director: Number of the director.
            index: Index of the event in `events`.
        """
        event = self.events[index][1]
        if "topology" in event:
            rows = [
                row | {"addr": f"{addresses.proxy_address(director)}:{self.proxy_ports[row['id']]}"}
                for row in event["topology"]["servers"]
            ]
            event = {"topology": event["topology"] | {"servers": rows}}
        return {"offset": index + 1} | event

    def _on_connection(self, accepted: socket.socket) -> None:
        connection = LoopConnection(self.loop, accepted)
        reader = _Reader()

        def on_director(director: int) -> None:
            reader.director = director

        def on_data(data: bytes) -> None:
            reader.request_head += data
            if b"\r\n\r\n" in reader.request_head and connection not in self.readers:
                self._start_stream(connection, reader)

        def on_close() -> None:
            self.readers.pop(connection, None)

        connection.on_close = on_close
        read_director_line(connection, on_director, on_data)

    def _start_stream(self, connection: LoopConnection, reader: _Reader) -> None:
        reader.position = int(
            reader.request_head.lower().partition(b"last-event-id:")[2].split()[0]
        )
        self.records.add("read", now_ms(), reader.director, reader.position)
        connection.write(RESPONSE)
        self.readers[connection] = reader
        self._send(connection, reader)

    def _keep_alive(self) -> None:
        for connection in list(self.readers):
            connection.write(b": on\n\n")

    def _send_due(self) -> None:
        for connection, reader in list(self.readers.items()):
            if reader.position < len(self.events):
                self._send(connection, reader)

    def _send(self, connection: LoopConnection, reader: _Reader) -> None:
        now = now_ms()
        while reader.position < len(self.events) and not connection.is_closed:
            due_at = self._event_due_at(reader.director, reader.position)
            if now < due_at + self.late_by.get(reader.director, 0.0):
                break
            event = self.event_for(reader.director, reader.position)
            number = reader.position + 1
            connection.write(b"id: %d\ndata: %s\n\n" % (number, orjson.dumps(event)))
            self._record_notification(reader, event, now)
            reader.position = number

    def _event_due_at(self, director: int, index: int) -> float:
        key = (director, index)
        if key not in self.due_at:
            created_at, event = self.events[index]
            delay = 0.0 if index == 0 else self.random.uniform(*self.update_delay_ms)
            self.due_at[key] = created_at + (
                delay / PURGE_DELAY_DIVISOR if "ban" in event else delay
            )
        return self.due_at[key]

    def _record_notification(self, reader: _Reader, event: dict[str, Any], now: float) -> None:
        if "ban" in event:
            self.purge_notified_at.setdefault((reader.director, event["ban"]["url"]), now)
            return
        if reader.position == 0:  # the initial snapshot is not recorded
            return
        for row in event["topology"]["servers"]:
            self.records.add(
                "told", now, reader.director, row["id"], row["state"], row["started_ms"]
            )

"""Threaded servers for the stand-ins: nodes that speak RESP, and the event stream.

A node is the stand-in of a cache, a parent or the origin.
`LoopbackEnvironment` runs these servers for process tests and for the lab of tenants
(`lab/runner.py`), and injects faults into them.
"""

import contextlib
import socket
import threading
import time
from collections.abc import Iterable
from typing import Any

import orjson

from ..net import resp
from .clock import now_ms
from .event_loop import RESET_ON_CLOSE
from .node_protocol import CancelledCommands, decode_fields
from .nodes import NodeFleet, SimulatedNode
from .timer import Timer

MAX_HEAD_BYTES = 8192  # of the head of an HTTP request
KEEP_ALIVE_S = 0.5  # interval between the comment lines that are sent on an idle event stream
RESTART_DELAY_S = 0.05  # until a restarted node listens again
SLOWDOWN = 10.0  # multiplies the work time and the answer delay of a node with the fault `slow`


class ThreadedServer:
    """A TCP server on loopback with one thread per connection.

    `lock` guards `connections`. The threads are daemon threads; `close` ends them by shutting
    their sockets down.
    """

    def __init__(self) -> None:
        self.address = ("127.0.0.1", 0)
        self.lock = threading.Lock()
        self.connections: dict[socket.socket, None] = {}
        self.listener: socket.socket | None = None
        self.listen()

    def listen(self) -> None:
        """Listen at `address`; the first call selects a free port, and later calls reuse it."""
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind(self.address)
        listener.listen(256)
        self.address = listener.getsockname()
        self.listener = listener
        threading.Thread(target=self._accept, args=(listener,), daemon=True).start()

    def serve_connection(self, connection: socket.socket) -> None:
        """Serve a connection until it ends; called on the connection's own thread."""
        raise NotImplementedError

    def close(self, reset: bool = False) -> None:
        """Stop listening and end all connections, with TCP resets if `reset` is set."""
        if self.listener is not None:
            with contextlib.suppress(OSError):
                self.listener.shutdown(socket.SHUT_RDWR)
            self.listener.close()
        with self.lock:
            connections = list(self.connections)
        for connection in connections:
            with contextlib.suppress(OSError):
                if reset:
                    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
                connection.shutdown(socket.SHUT_RDWR)

    def _accept(self, listener: socket.socket) -> None:
        while True:
            try:
                connection, _ = listener.accept()
            except OSError:
                return
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            with self.lock:
                self.connections[connection] = None
            threading.Thread(target=self._run_connection, args=(connection,), daemon=True).start()

    def _run_connection(self, connection: socket.socket) -> None:
        try:
            self.serve_connection(connection)
        except (OSError, ValueError, resp.RespError):
            pass  # the peer has closed the connection or violated the protocol
        finally:
            with self.lock:
                self.connections.pop(connection, None)
            connection.close()


class NodeServer(ThreadedServer):
    """A TCP server for one node: a cache, a parent or the origin."""

    def __init__(self, fleet: NodeFleet, node: SimulatedNode, timer: Timer) -> None:
        self.fleet = fleet
        self.node = node
        self.timer = timer
        super().__init__()

    def serve_connection(self, connection: socket.socket) -> None:
        """Answer commands until the connection ends.

        If the node is not alive after a PULL, because it crashed under its load, the whole server
        is closed.
        """
        arrays = resp.ArrayDecoder()
        session = _NodeSession(connection)
        while (length := connection.recv_into(arrays.writable_view())) > 0:
            for items in arrays.decode(length):
                word, command_id, *rest = resp.parse_command(items)
                if word == b"PULL":
                    self._handle_pull(session, command_id, rest[0])
                    if not self.node.is_alive:
                        self.close(reset=True)
                        return
                elif word == b"KILL":
                    session.cancelled.add(command_id)
                elif not self.node.is_silent:
                    session.send_answer(command_id, (b"FIT", b"-"))

    def _handle_pull(self, session: "_NodeSession", command_id: bytes, fields: bytes) -> None:
        reply = self.fleet.handle_pull(self.node.spec.name, decode_fields(fields))
        if self.node.is_alive and reply.due_at is not None:
            self.timer.call_at(reply.due_at, lambda: session.send_answer(command_id, reply.items))


class _NodeSession:
    """One connection to a node; `write_lock` keeps concurrent answers from interleaving."""

    def __init__(self, connection: socket.socket) -> None:
        self.connection = connection
        self.cancelled = CancelledCommands()
        self.write_lock = threading.Lock()

    def send_answer(self, command_id: bytes, items: tuple[bytes, ...]) -> None:
        if command_id not in self.cancelled:
            with self.write_lock:
                self.connection.sendall(resp.command(command_id, *items))


class EventStreamServer(ThreadedServer):
    """A server of the event stream, which stores all events and sends them to each reader.

    A reader names the last event that it has received in the header Last-Event-ID of its request,
    and receives all later events. `new_events` guards `events`.
    """

    def __init__(self) -> None:
        self.events: list[bytes] = []
        self.new_events = threading.Condition()
        self.is_stopped = False
        super().__init__()

    def publish(self, event: dict[str, Any]) -> None:
        """Store an event and wake the threads that send it to the readers."""
        with self.new_events:
            number = len(self.events) + 1
            body = orjson.dumps({"offset": number} | event)
            self.events.append(b"id: %d\ndata: %s\n\n" % (number, body))
            self.new_events.notify_all()

    def serve_connection(self, connection: socket.socket) -> None:
        """Send the events after the request's Last-Event-ID, including those published later."""
        head = b""
        while b"\r\n\r\n" not in head and len(head) < MAX_HEAD_BYTES:
            data = connection.recv(4096)
            if not data:
                return
            head += data
        position = int(head.lower().partition(b"last-event-id:")[2].split()[0])
        connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n")
        while not self.is_stopped:
            with self.new_events:
                if position >= len(self.events):
                    self.new_events.wait(KEEP_ALIVE_S)
                unsent = self.events[position:]
                position = len(self.events)
            connection.sendall(b"".join(unsent) or b": on\n\n")

    def close(self, reset: bool = False) -> None:
        """Stop listening and end all streams."""
        self.is_stopped = True
        super().close(reset)


class LoopbackEnvironment:
    """Servers for a fleet of nodes and its event stream, with fault injection.

    Attributes:
        fleet: State of the nodes that the servers serve.
        endpoints_version: Version of the endpoint update that was published last.
    """

    def __init__(self, fleet: NodeFleet) -> None:
        self.fleet = fleet
        self.timer = Timer()
        self.stream = EventStreamServer()
        self.servers = {
            name: NodeServer(fleet, node, self.timer) for name, node in fleet.nodes.items()
        }
        self.endpoints_version = 0
        self.publish_endpoints(fleet.nodes)

    def endpoint_row(self, name: str) -> dict[str, Any]:
        """Return a node's entry in the endpoint list."""
        node = self.fleet.nodes[name]
        host, port = self.servers[name].address
        return {
            "id": name,
            "addr": f"{host}:{port}",
            "zone": node.spec.zone,
            "kind": node.spec.kind,
            "cell": 0,
            "state": node.state,
            "weight": node.spec.weight,
            "started_ms": round(node.started_at),
        }

    def publish_endpoints(self, names: Iterable[str]) -> None:
        """Publish an endpoint update with the entries of these nodes.

        The first update is marked as a full snapshot, and later ones as changes.
        """
        rows = [self.endpoint_row(name) for name in names]
        self.endpoints_version += 1
        self.stream.publish(
            {
                "topology": {
                    "version": self.endpoints_version,
                    "full": self.endpoints_version == 1,
                    "servers": rows,
                }
            }
        )

    def inject_fault(self, fault: str, name: str) -> None:
        """Start or end a fault or a drain of a node, or purge an object.

        Args:
            fault: `kill` stops a node without notifying the directors; `revive` starts it again
                without stored copies, and notifies them; `cold` does both. `slow` and `silent` (no
                answers) last until `well`. `drain` announces that the node is draining, and `ready`
                that it serves again. `purge` announces a purge to the directors; the nodes keep
                their copies.
            name: Name of the node; with `purge`, the id of the object.
        """
        if fault == "purge":
            self.fleet.purged_at[name] = now_ms()
            self.stream.publish({"ban": {"url": name, "ts": round(now_ms())}})
            return
        node = self.fleet.nodes[name]
        with self.fleet.lock:
            if fault in ("kill", "cold"):
                node.is_alive = False
            if fault in ("revive", "cold"):
                node.reset()
                node.started_at = now_ms()
                node.state = "SERVING"
            node.slowdown = {"slow": SLOWDOWN, "well": 1.0}.get(fault, node.slowdown)
            node.is_silent = {"silent": True, "well": False}.get(fault, node.is_silent)
            node.state = {"drain": "DRAINING", "ready": "SERVING"}.get(fault, node.state)
        if fault in ("kill", "cold"):
            self.servers[name].close(reset=True)
        if fault in ("revive", "cold"):
            time.sleep(RESTART_DELAY_S)
            node.is_alive = True
            self.servers[name].listen()
        if fault in ("revive", "cold", "drain", "ready"):
            self.publish_endpoints([name])

    def close(self) -> None:
        """Stop the timer and close all servers."""
        self.timer.stop()
        for server in (*self.servers.values(), self.stream):
            server.close()

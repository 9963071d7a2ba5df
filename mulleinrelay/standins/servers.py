"""The sockets of the stand-ins: RESP for nodes, server-sent events for the list and purges, and
faults.
"""

import socket
import struct
import threading
import time
from collections.abc import Iterable

import orjson

from ..net import resp
from .fleet import Fleet, Node, Timer, now_ms

DIE = struct.pack("ii", 1, 0)  # SO_LINGER: a process that dies resets its connections


class Server:
    """Listens on loopback, a thread for each connection."""

    def __init__(self) -> None:
        self.address = ("127.0.0.1", 0)
        self.lock, self.connections = threading.Lock(), dict[socket.socket, None]()
        self.listener: socket.socket | None = None
        self.listen()

    def listen(self) -> None:
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind(self.address)
        listener.listen(256)
        self.address, self.listener = listener.getsockname(), listener
        threading.Thread(target=self._accept, args=(listener,), daemon=True).start()

    def _accept(self, listener: socket.socket) -> None:
        while True:
            try:
                connection, _ = listener.accept()
            except OSError:
                return
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            with self.lock:
                self.connections[connection] = None
            threading.Thread(target=self._talk, args=(connection,), daemon=True).start()

    def _talk(self, connection: socket.socket) -> None:
        try:
            self.talk(connection)
        except (OSError, ValueError, resp.RespError):
            pass
        finally:
            with self.lock:
                self.connections.pop(connection, None)
            connection.close()

    def talk(self, connection: socket.socket) -> None:
        raise NotImplementedError

    def close(self, reset: bool = False) -> None:
        if self.listener is not None:
            try:
                self.listener.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass
            self.listener.close()
        with self.lock:
            held = list(self.connections)
        for connection in held:
            try:
                if reset:
                    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, DIE)
                connection.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass


class NodeServer(Server):
    """One cache, parent or the origin on a socket."""

    def __init__(self, fleet: Fleet, node: Node, timer: Timer) -> None:
        self.fleet, self.node, self.timer = fleet, node, timer
        super().__init__()

    def talk(self, connection: socket.socket) -> None:
        arrays, writing, over = resp.ArrayDecoder(), threading.Lock(), set[bytes]()

        def answer(about: bytes, words: tuple[bytes, ...]) -> None:
            if about not in over:
                with writing:
                    connection.sendall(resp.command(about, *words))

        while (length := connection.recv_into(arrays.writable_view())) > 0:
            for items in arrays.decode(length):
                word, about, *rest = [bytes(item) for item in items]
                if word == b"PULL":
                    reply = self.fleet.pull(self.node.spec.name, _fields(rest[0]))
                    if not self.node.alive:
                        return self.close(reset=True)
                    if reply.due is not None:
                        self.timer.at(
                            reply.due, lambda about=about, words=reply.words: answer(about, words)
                        )
                elif word == b"KILL":
                    over.add(about)
                    if len(over) > 10_000:
                        over.clear()
                elif not self.node.silent:
                    answer(about, (b"FIT", b"-"))


def _fields(text: bytes) -> dict[str, str]:
    return dict(pair.split("=", 1) for pair in text.decode().split(",") if "=" in pair)


class Stream(Server):
    """The event stream: keeps all events, and sends each reader those after its last."""

    def __init__(self) -> None:
        self.events: list[bytes] = []
        self.more = threading.Condition()
        self.ended = False
        super().__init__()

    def tell(self, held: dict) -> None:
        with self.more:
            number = len(self.events) + 1
            self.events.append(
                b"id: %d\ndata: %s\n\n" % (number, orjson.dumps({"offset": number} | held))
            )
            self.more.notify_all()

    def talk(self, connection: socket.socket) -> None:
        head = b""
        while b"\r\n\r\n" not in head and len(head) < 8192:
            if not (piece := connection.recv(4096)):
                return
            head += piece
        place = int(head.lower().partition(b"last-event-id:")[2].split()[0])
        connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n")
        while not self.ended:
            with self.more:
                if place >= len(self.events):
                    self.more.wait(0.5)
                pieces, place = self.events[place:], len(self.events)
            connection.sendall(b"".join(pieces) or b": on\n\n")

    def close(self, reset: bool = False) -> None:
        self.ended = True
        super().close(reset)


class World:
    """A fleet on sockets, its event stream, and faults by name."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet, self.timer, self.stream = fleet, Timer(), Stream()
        self.servers = {
            name: NodeServer(fleet, node, self.timer) for name, node in fleet.nodes.items()
        }
        self.version = 0
        self.list(fleet.nodes)

    def row(self, name: str) -> dict:
        node, (host, port) = self.fleet.nodes[name], self.servers[name].address
        return {
            "id": name,
            "addr": f"{host}:{port}",
            "zone": node.spec.zone,
            "kind": node.spec.kind,
            "cell": 0,
            "state": node.state,
            "weight": node.spec.weight,
            "started_ms": round(node.started),
        }

    def list(self, names: Iterable[str]) -> None:
        rows, self.version = [self.row(name) for name in names], self.version + 1
        self.stream.tell(
            {"topology": {"version": self.version, "full": self.version == 1, "servers": rows}}
        )

    def strike(self, what: str, name: str) -> None:
        """A fault: kill | revive | cold | slow | silent | well | drain | ready | purge (NAME is an
        object)."""
        if what == "purge":
            self.fleet.purged[name] = now_ms()
            return self.stream.tell({"ban": {"url": name, "ts": round(now_ms())}})
        node = self.fleet.nodes[name]
        with self.fleet.lock:
            if what in ("kill", "cold"):
                node.alive = False
            if what in ("revive", "cold"):
                node.forget()
                node.started, node.state = now_ms(), "SERVING"
            node.slow = {"slow": 10.0, "well": 1.0}.get(what, node.slow)
            node.silent = {"silent": True, "well": False}.get(what, node.silent)
            node.state = {"drain": "DRAINING", "ready": "SERVING"}.get(what, node.state)
        if what in ("kill", "cold"):
            self.servers[name].close(reset=True)
        if what in ("revive", "cold"):
            time.sleep(0.05)
            node.alive = True
            self.servers[name].listen()
        if what in ("revive", "cold", "drain", "ready"):
            self.list([name])

    def close(self) -> None:
        self.timer.stop()
        for server in (*self.servers.values(), self.stream):
            server.close()

"""A relay in user space on the paths between directors and what they talk to: a process of its own.
What it does with bytes and datagrams is decided in `paths.py`.

What it can't do as a network does: a connection through a cut comes up at the relay, and only then
stays silent; lost bytes show as a delay.
"""

import random
import socket
import sys
from dataclasses import dataclass, field

from ...standins.clock import now_ms
from ...standins.event_loop import READ, EventLoop, LoopConnection
from . import addresses
from .channel import obey, say
from .network_rules import DOWN, UP, ActiveRules, StreamState, decode_rule

DATAGRAM_MOST = 65_000


@dataclass(slots=True, eq=False)
class Way:
    """One direction of a connection."""

    name: str
    source: LoopConnection
    target: LoopConnection
    lane: StreamState = field(default_factory=StreamState)
    held: list[bytes] = field(default_factory=list)  # while it is cut


class Pair:
    """A director's connection and the one that goes on to its target."""

    def __init__(
        self,
        relay: "Relay",
        kind: str,
        name: str,
        director: int,
        near: LoopConnection,
        beyond: LoopConnection,
    ) -> None:
        self.relay, self.kind, self.name, self.director = relay, kind, name, director
        self.near, self.beyond = near, beyond
        self.ways = [Way(UP, near, beyond), Way(DOWN, beyond, near)]
        for way in self.ways:
            way.source.on_data = lambda data, way=way: self.pass_on(way, data)
            way.source.on_close = lambda way=way: self.pass_on(way, None)

    def pass_on(self, way: Way, data: bytes | None) -> None:
        book, now = self.relay.book, now_ms()
        if way.held or book.cuts_path(self.kind, self.director, self.name, way.name):
            if data is None:  # given up at one side: what is held never comes, as in a dead network
                return self.reset()
            way.held.append(data)
            return
        due = book.stream_due_at(
            self.kind,
            self.director,
            self.name,
            way.name,
            now,
            len(data or b""),
            way.lane,
            self.relay.random,
        )
        if due <= now:
            self._put(way, data)
        else:
            self.relay.loop.call_at(due, lambda: self._put(way, data))

    def _put(self, way: Way, data: bytes | None) -> None:
        if data is not None:
            way.target.write(data)
        else:
            self.reset()

    def look_again(self) -> None:
        """The rules have changed."""
        if self.relay.book.resets_path(self.kind, self.director, self.name):
            return self.reset()
        for way in self.ways:
            if way.held and not self.relay.book.cuts_path(
                self.kind, self.director, self.name, way.name
            ):
                held, way.held = way.held, []
                for data in held:
                    self.pass_on(way, data)

    def reset(self) -> None:
        self.near.close(reset=True)
        self.beyond.close(reset=True)
        self.relay.pairs.pop(self, None)


class Relay:
    def __init__(self, first: dict) -> None:
        self.loop, self.book, self.random = EventLoop(), ActiveRules(), random.Random(first["seed"])
        self.pairs: dict[Pair, None] = {}
        self.targets = {held["name"]: held for held in first["targets"]}
        self.ports: dict[str, int] = {}
        self.listeners: dict[str, socket.socket] = {}
        self.gates: dict[int, socket.socket] = {}
        for name in self.targets:
            self.listen(name)
        for director in first.get("datagrams", ()):
            self.gates[director] = self._gate(director, first["datagram_port"])
        self.datagram_port = first.get("datagram_port", 0)
        obey(self.loop, self.obeyed)

    def listen(self, name: str) -> None:
        if name not in self.listeners:
            listener = self.loop.listen(
                "", self.ports.get(name, 0), lambda made: self.welcome(name, made), True
            )
            self.ports[name], self.listeners[name] = listener.getsockname()[1], listener

    def welcome(self, name: str, connection: socket.socket) -> None:
        held, director = self.targets[name], addresses.director_of(connection.getsockname()[0])
        near = LoopConnection(self.loop, connection)
        if director < 0 or self.book.resets_path(held["kind"], director, name):
            return near.close(reset=True)
        beyond = self.loop.connect(tuple(held["to"]))
        beyond.write(b"@%d\n" % director)  # tells the target who has come
        self.pairs[Pair(self, held["kind"], name, director, near, beyond)] = None

    def obeyed(self, held: dict) -> None:
        if "rule" in held:
            self.book.rules[held["rule"]] = decode_rule(held["held"])
        elif "lift" in held:
            self.book.rules.pop(held["lift"], None)
        elif "deaf" in held:
            if (listener := self.listeners.pop(held["deaf"], None)) is not None:
                self.loop.stop_listening(listener)
            return
        elif "hears" in held:
            return self.listen(held["hears"])
        for pair in list(self.pairs):
            pair.look_again()

    # Datagrams between directors

    def _gate(self, director: int, port: int) -> socket.socket:
        gate = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        gate.bind((addresses.peer(director), port))
        gate.setblocking(False)
        self.loop.selector.register(gate, READ, lambda _: self.carry(director, gate))
        return gate

    def carry(self, to: int, gate: socket.socket) -> None:
        """What came for a director goes on from the address at which its sender is known."""
        for _ in range(64):
            try:
                data, (host, port) = gate.recvfrom(DATAGRAM_MOST)
            except OSError:
                return
            sender = addresses.director_of(host)
            if sender not in self.gates or not host.startswith(f"127.{addresses.OWN_NETWORK}."):
                continue
            now = now_ms()
            first = self.book.datagram_due_times("director", sender, str(to), UP, now, self.random)
            for due in first:  # a rule may name the sender, or, the other way, the one it is for
                for again in self.book.datagram_due_times(
                    "director", to, str(sender), DOWN, due, self.random
                ):
                    self.loop.call_at(
                        again, lambda data=data, sender=sender: self._send(sender, to, data)
                    )

    def _send(self, sender: int, to: int, data: bytes) -> None:
        try:
            self.gates[sender].sendto(data, (addresses.own(to), self.datagram_port))
        except OSError:  # nobody there
            pass


def main() -> None:
    import orjson

    relay = Relay(orjson.loads(sys.stdin.buffer.raw.readline()))
    say(ports=relay.ports)
    relay.loop.run()


if __name__ == "__main__":
    main()

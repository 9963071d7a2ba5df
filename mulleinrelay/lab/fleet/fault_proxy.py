"""A fault proxy on the paths between directors and their targets: a process in user space.

What it does with bytes and datagrams is decided in `network_rules.py`. It can't do all that a
network does: a connection through a cut is accepted by the proxy, and only then stays silent; lost
bytes show as a delay.
"""

import contextlib
import random
import socket
from dataclasses import dataclass, field

from ...standins.clock import now_ms
from ...standins.event_loop import READ, EventLoop, LoopConnection
from . import addresses
from .control_channel import Message, receive_first_message, receive_messages, send_message
from .network_rules import DOWN, UP, ActiveRules, StreamState, decode_rule

MAX_DATAGRAM_BYTES = 65_000
DATAGRAMS_AT_A_TIME = 64


@dataclass(frozen=True, slots=True)
class ProxyTarget:
    """What a proxy's listener leads to: the kind of its paths, and its address."""

    path_kind: str
    address: tuple[str, int]


@dataclass(slots=True, eq=False)
class _Stream:
    """One direction of a connection; `held` are the bytes that a cut holds back."""

    direction: str
    source: LoopConnection
    target: LoopConnection
    state: StreamState = field(default_factory=StreamState)
    held: list[bytes] = field(default_factory=list)


class ProxiedConnection:
    """A director's connection, and the proxy's own to its target."""

    def __init__(
        self,
        proxy: "FaultProxy",
        target_name: str,
        director: int,
        near: LoopConnection,
        far: LoopConnection,
    ) -> None:
        self.proxy = proxy
        self.path = (proxy.targets[target_name].path_kind, director, target_name)
        self.near = near
        self.far = far
        self.streams = [_Stream(UP, near, far), _Stream(DOWN, far, near)]
        for stream in self.streams:
            self._read_from(stream)

    def apply_rules(self) -> None:
        """Follow a change of the rules."""
        if self.proxy.rules.resets_path(*self.path):
            self.reset()
            return
        for stream in self.streams:
            if stream.held and not self._is_cut(stream):
                held = stream.held
                stream.held = []
                for data in held:
                    self._forward(stream, data)

    def reset(self) -> None:
        """End both connections with a TCP reset."""
        self.near.close(reset=True)
        self.far.close(reset=True)
        self.proxy.connections.pop(self, None)

    def _read_from(self, stream: _Stream) -> None:
        stream.source.on_data = lambda data: self._forward(stream, data)
        stream.source.on_close = lambda: self._forward(stream, None)

    def _is_cut(self, stream: _Stream) -> bool:
        return self.proxy.rules.cuts_path(*self.path, stream.direction)

    def _forward(self, stream: _Stream, data: bytes | None) -> None:
        """Send bytes on at their time; None: the source has closed its connection."""
        now = now_ms()
        if stream.held or self._is_cut(stream):
            if data is None:  # one side has given up: what is held never arrives
                self.reset()
                return
            stream.held.append(data)
            return
        due_at = self.proxy.rules.stream_due_at(
            *self.path, stream.direction, now, len(data or b""), stream.state, self.proxy.random
        )
        if due_at <= now:
            self._deliver(stream, data)
        else:
            self.proxy.loop.call_at(due_at, lambda: self._deliver(stream, data))

    def _deliver(self, stream: _Stream, data: bytes | None) -> None:
        if data is not None:
            stream.target.write(data)
        else:
            self.reset()


class FaultProxy:
    """Listeners for all targets, and sockets for the datagrams of directors."""

    def __init__(self, first: Message) -> None:
        """Listen for the targets that the lab's first command names."""
        self.loop = EventLoop()
        self.rules = ActiveRules()
        self.random = random.Random(first["seed"])
        self.connections: dict[ProxiedConnection, None] = {}
        self.targets = {
            target["name"]: ProxyTarget(target["kind"], (target["to"][0], target["to"][1]))
            for target in first["targets"]
        }
        self.ports: dict[str, int] = {}
        self.listeners: dict[str, socket.socket] = {}
        self.datagram_port = first.get("datagram_port", 0)
        self.datagram_sockets: dict[int, socket.socket] = {}
        for name in self.targets:
            self.listen(name)
        for director in first.get("datagrams", ()):
            self.datagram_sockets[director] = self._open_datagram_socket(director)
        receive_messages(self.loop, self.on_command)

    def listen(self, name: str) -> None:
        """Listen for a target at all loopback addresses; always at the same port."""
        if name not in self.listeners:
            listener = self.loop.listen(
                "", self.ports.get(name, 0), lambda made: self._on_connection(name, made), True
            )
            self.ports[name] = listener.getsockname()[1]
            self.listeners[name] = listener

    def on_command(self, command: Message) -> None:
        """Execute a command of the lab; its keys say which."""
        if "deaf" in command:
            listener = self.listeners.pop(command["deaf"], None)
            if listener is not None:
                self.loop.stop_listening(listener)
            return
        if "hears" in command:
            self.listen(command["hears"])
            return
        if "rule" in command:
            self.rules.rules[command["rule"]] = decode_rule(command["held"])
        elif "lift" in command:
            self.rules.rules.pop(command["lift"], None)
        for connection in list(self.connections):
            connection.apply_rules()

    def _on_connection(self, name: str, accepted: socket.socket) -> None:
        target = self.targets[name]
        director = addresses.director_of(accepted.getsockname()[0])
        near = LoopConnection(self.loop, accepted)
        is_unknown = director == addresses.NO_DIRECTOR
        if is_unknown or self.rules.resets_path(target.path_kind, director, name):
            near.close(reset=True)
            return
        far = self.loop.connect(target.address)
        far.write(b"@%d\n" % director)  # names the director to the target
        self.connections[ProxiedConnection(self, name, director, near, far)] = None

    def _open_datagram_socket(self, director: int) -> socket.socket:
        opened = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        opened.bind((addresses.advertised_address(director), self.datagram_port))
        opened.setblocking(False)
        self.loop.selector.register(opened, READ, lambda _: self._on_datagrams(director, opened))
        return opened

    def _on_datagrams(self, receiver: int, opened: socket.socket) -> None:
        """Forward datagrams for a director from the address at which it knows their senders."""
        for _ in range(DATAGRAMS_AT_A_TIME):
            try:
                data, (host, _) = opened.recvfrom(MAX_DATAGRAM_BYTES)
            except OSError:
                return
            sender = addresses.director_of(host)
            is_own_address = host.startswith(f"127.{addresses.LISTEN_NETWORK}.")
            if sender in self.datagram_sockets and is_own_address:
                self._forward_datagram(sender, receiver, data)

    def _forward_datagram(self, sender: int, receiver: int, data: bytes) -> None:
        """Apply the rules that name the sender, then those that name the receiver."""
        rules = self.rules
        for due_at in rules.datagram_due_times(
            "director", sender, str(receiver), UP, now_ms(), self.random
        ):
            for later in rules.datagram_due_times(
                "director", receiver, str(sender), DOWN, due_at, self.random
            ):
                self.loop.call_at(later, lambda: self._send_datagram(sender, receiver, data))

    def _send_datagram(self, sender: int, receiver: int, data: bytes) -> None:
        address = (addresses.listen_address(receiver), self.datagram_port)
        with contextlib.suppress(OSError):  # nobody listens there
            self.datagram_sockets[sender].sendto(data, address)


def main() -> None:
    """Forward until the lab closes standard input."""
    proxy = FaultProxy(receive_first_message())
    send_message(ports=proxy.ports)
    proxy.loop.run()


if __name__ == "__main__":
    main()

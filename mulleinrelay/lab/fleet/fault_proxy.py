"""Fault proxy: a process that forwards traffic between directors and targets and injects faults.

A target is a node, the event stream or another director. `network_rules.py` decides the treatment
of bytes and datagrams. As the proxy runs in user space, it cannot imitate a network in all
respects: during a cut it still accepts connections, which then carry no data, and lost bytes of a
connection appear as a delay.
"""

import contextlib
import random
import socket
from dataclasses import dataclass, field

from ...standins.clock import now_ms
from ...standins.event_loop import READ, EventLoop, LoopConnection
from ...standins.reserved_port import ReservedPort
from . import addresses
from .control_channel import Message, receive_first_message, receive_messages, send_message
from .network_rules import DOWN, UP, ActiveRules, StreamState, decode_rule

MAX_DATAGRAM_BYTES = 65_000
MAX_DATAGRAMS_PER_WAKEUP = 64


@dataclass(frozen=True, slots=True)
class ProxyTarget:
    """The target of a listener: its address and the kind of the paths to it."""

    path_kind: str
    address: tuple[str, int]


@dataclass(slots=True, eq=False)
class _Stream:
    """One direction of a connection; `held` contains the bytes that a cut holds back."""

    direction: str
    source: LoopConnection
    target: LoopConnection
    state: StreamState = field(default_factory=StreamState)
    held: list[bytes] = field(default_factory=list)


class ProxiedConnection:
    """A director's connection to the proxy, and the proxy's connection to the target.

    Attributes:
        path: The path that the rules match: its kind, the director and the name of the target.
        streams: Both directions, each of which reads from one connection and writes to the other.
    """

    def __init__(
        self,
        proxy: "FaultProxy",
        target_name: str,
        director: int,
        director_side: LoopConnection,
        target_side: LoopConnection,
    ) -> None:
        self.proxy = proxy
        self.path = (proxy.targets[target_name].path_kind, director, target_name)
        self.director_side = director_side
        self.target_side = target_side
        self.streams = [
            _Stream(UP, director_side, target_side),
            _Stream(DOWN, target_side, director_side),
        ]
        for stream in self.streams:
            self._read_from(stream)

    def apply_rules(self) -> None:
        """Apply the changed rules: reset both connections, or send held bytes if a cut is over."""
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
        """Close both connections with a TCP reset."""
        self.director_side.close(reset=True)
        self.target_side.close(reset=True)
        self.proxy.connections.pop(self, None)

    def _read_from(self, stream: _Stream) -> None:
        stream.source.on_data = lambda data: self._forward(stream, data)
        stream.source.on_close = lambda: self._forward(stream, None)

    def _is_cut(self, stream: _Stream) -> bool:
        return self.proxy.rules.cuts_path(*self.path, stream.direction)

    def _forward(self, stream: _Stream, data: bytes | None) -> None:
        """Forward bytes when the rules let them pass, and hold them during a cut.

        If `data` is None, the source has closed its connection, and both connections are reset.
        """
        now = now_ms()
        if stream.held or self._is_cut(stream):
            if data is None:  # the held bytes are discarded
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
    """Proxy with a listener for each target and a socket for the datagrams to each director.

    Only one of the lab's proxies has sockets for datagrams.

    Attributes:
        reserved_ports: Reservation of the port of each target's listener, by the target's name. It
            remains while the listener is closed.
        listeners: Open listeners by the target's name.
        datagram_sockets: Sockets at the advertised addresses of the directors, by director.
    """

    def __init__(self, first_message: Message) -> None:
        """Open the listeners and datagram sockets that the lab's first message requests."""
        self.loop = EventLoop()
        self.rules = ActiveRules()
        self.random = random.Random(first_message["seed"])
        self.connections: dict[ProxiedConnection, None] = {}
        self.targets = {
            target["name"]: ProxyTarget(target["kind"], (target["to"][0], target["to"][1]))
            for target in first_message["targets"]
        }
        self.reserved_ports = {name: ReservedPort("") for name in self.targets}
        self.listeners: dict[str, socket.socket] = {}
        self.datagram_port = first_message.get("datagram_port", 0)
        self.datagram_sockets: dict[int, socket.socket] = {}
        for name in self.targets:
            self.listen(name)
        for director in first_message.get("datagrams", ()):
            self.datagram_sockets[director] = self._open_datagram_socket(director)
        receive_messages(self.loop, self.on_command)

    def listen(self, name: str) -> None:
        """Listen at the port reserved for the target, at all loopback addresses.

        Do nothing if the proxy already listens there.
        """
        if name not in self.listeners:
            self.listeners[name] = self.loop.listen(
                "",
                self.reserved_ports[name].port,
                lambda accepted: self._on_connection(name, accepted),
                True,
            )

    def ports(self) -> dict[str, int]:
        """Return the proxy's port for each target, by the target's name."""
        return {name: reserved.port for name, reserved in self.reserved_ports.items()}

    def on_command(self, command: Message) -> None:
        """Execute a command of the lab; its keys determine the kind of command."""
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
        director_side = LoopConnection(self.loop, accepted)
        is_unknown = director == addresses.NO_DIRECTOR
        if is_unknown or self.rules.resets_path(target.path_kind, director, name):
            director_side.close(reset=True)
            return
        target_side = self.loop.connect(target.address)
        target_side.write(b"@%d\n" % director)  # identifies the director to the target
        self.connections[ProxiedConnection(self, name, director, director_side, target_side)] = None

    def _open_datagram_socket(self, director: int) -> socket.socket:
        datagram_socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        datagram_socket.bind((addresses.advertised_address(director), self.datagram_port))
        datagram_socket.setblocking(False)
        self.loop.selector.register(
            datagram_socket, READ, lambda _: self._on_datagrams(director, datagram_socket)
        )
        return datagram_socket

    def _on_datagrams(self, receiver: int, datagram_socket: socket.socket) -> None:
        """Forward datagrams to a director, each from the advertised address of its sender.

        Datagrams from an address at which no director listens are dropped.
        """
        for _ in range(MAX_DATAGRAMS_PER_WAKEUP):
            try:
                data, (host, _) = datagram_socket.recvfrom(MAX_DATAGRAM_BYTES)
            except OSError:
                return
            sender = addresses.director_of(host)
            is_director_address = host.startswith(f"127.{addresses.LISTEN_NETWORK}.")
            if sender in self.datagram_sockets and is_director_address:
                self._forward_datagram(sender, receiver, data)

    def _forward_datagram(self, sender: int, receiver: int, data: bytes) -> None:
        """Schedule the delivery of a datagram.

        The rules for its sender apply first, and then those for its receiver.
        """
        rules = self.rules
        for due_at in rules.datagram_due_times(
            "director", sender, str(receiver), UP, now_ms(), self.random
        ):
            for receiver_due_at in rules.datagram_due_times(
                "director", receiver, str(sender), DOWN, due_at, self.random
            ):
                self.loop.call_at(
                    receiver_due_at, lambda: self._send_datagram(sender, receiver, data)
                )

    def _send_datagram(self, sender: int, receiver: int, data: bytes) -> None:
        address = (addresses.listen_address(receiver), self.datagram_port)
        with contextlib.suppress(OSError):  # the receiver is not running
            self.datagram_sockets[sender].sendto(data, address)


def main() -> None:
    """Forward traffic until the lab closes standard input."""
    proxy = FaultProxy(receive_first_message())
    send_message(ports=proxy.ports())
    proxy.loop.run()


if __name__ == "__main__":
    main()

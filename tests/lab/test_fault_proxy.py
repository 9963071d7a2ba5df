"""The fault proxy as a process, with real sockets on both sides."""

import errno
import socket
import time

import pytest
from helpers import StandInServer, wait_for

from mulleinrelay.lab.fleet import addresses
from mulleinrelay.lab.fleet.control_channel import LabProcess
from mulleinrelay.lab.fleet.network_rules import NetworkRule, encode_rule
from mulleinrelay.standins.reserved_port import ReservedPort

WAIT_S = 20.0  # timeout of waits for something that must happen
SILENCE_S = 0.4  # time during which nothing may be received
MARKER = "marker"  # target that only shows which commands are executed; no rule matches it


class EchoServer(StandInServer):
    """A target that echoes and keeps all bytes after the line that identifies the director.

    The lines are kept in `director_lines`.
    """

    def __init__(self):
        self.director_lines, self.received = [], []
        super().__init__()

    def serve_connection(self, connection):
        with connection, connection.makefile("rb", buffering=0) as stream:
            self.director_lines.append(stream.readline())
            while chunk := connection.recv(65536):
                self.received.append(chunk)
                connection.sendall(chunk)


class ProxySetup:
    def __init__(self, tmp_path):
        self.echo, self.last_rule = EchoServer(), 0
        # Reserved at the same address as the datagram port of a lab
        self.datagram_port = ReservedPort(addresses.RESERVATION_ADDRESS, socket.SOCK_DGRAM)
        target_address = list(self.echo.socket.getsockname())
        self.process = LabProcess(
            "fault_proxy",
            str(tmp_path / "relay.log"),
            {
                "seed": "1",
                "targets": [
                    {"name": "c-1", "kind": "cache", "to": target_address},
                    {"name": MARKER, "kind": "marker", "to": target_address},
                ],
                "datagrams": [1, 2],
                "datagram_port": self.datagram_port.port,
            },
        )
        self.ports = self.process.receive()["ports"]
        self.port = self.ports["c-1"]

    def execute(self, command):
        """Send a command to the proxy and wait until it has executed it.

        The proxy executes commands in order but does not confirm them. Two further commands close
        and reopen the listener of the marker, and the method waits until both have taken effect.
        """
        self.process.send(command)
        self.process.send({"deaf": MARKER})
        assert wait_for(self.refuses_marker, WAIT_S)
        self.process.send({"hears": MARKER})
        assert wait_for(lambda: not self.refuses_marker(), WAIT_S)

    def refuses_marker(self):
        """Return whether a connection to the marker is refused.

        The connection goes to an address that belongs to no director, so the proxy resets it
        without forwarding anything to the target.
        """
        with socket.socket() as probe:
            probe.settimeout(WAIT_S)
            return probe.connect_ex(("127.0.0.1", self.ports[MARKER])) == errno.ECONNREFUSED

    def add_rule(self, rule):
        self.last_rule += 1
        self.execute({"rule": self.last_rule, "held": encode_rule(rule)})

    def remove_rule(self):
        self.execute({"lift": self.last_rule})

    def connect(self, director=1):
        return socket.create_connection(
            (addresses.proxy_address(director), self.port), timeout=WAIT_S
        )

    def close(self):
        self.process.stop()
        self.echo.close()
        self.datagram_port.release()


@pytest.fixture
def setup(tmp_path):
    proxy_setup = ProxySetup(tmp_path)
    yield proxy_setup
    proxy_setup.close()


def exchange(connection, text):
    """Send the text and return the answer, or b"" if the connection was closed without a reset."""
    connection.sendall(text)
    return connection.recv(100)


def assert_unanswered(connection, text):
    """Send the text and check that nothing is received within SILENCE_S."""
    connection.sendall(text)
    connection.settimeout(SILENCE_S)
    with pytest.raises(TimeoutError):
        connection.recv(100)
    connection.settimeout(WAIT_S)


def assert_is_reset(get_connection):
    """Check that the proxy resets the connection that `get_connection` returns or opens.

    `get_connection` itself may raise the error, because `connect` reports a reset that follows the
    handshake immediately. Nothing is sent, because bytes that reach a closed socket also cause a
    reset.
    """
    with pytest.raises(ConnectionResetError):
        get_connection().recv(100)


def test_bytes_are_forwarded_and_the_target_learns_the_director(setup):
    assert (
        exchange(setup.connect(1), b"one") == b"one"
        and exchange(setup.connect(300), b"two") == b"two"
    )
    assert sorted(setup.echo.director_lines) == [b"@1\n", b"@300\n"]


@pytest.mark.parametrize(("direction", "received"), [("both", []), ("up", []), ("down", [b"lost"])])
def test_bytes_held_by_a_cut_arrive_after_it(setup, direction, received):
    affected, other = setup.connect(1), setup.connect(2)
    assert exchange(affected, b"a") == b"a"
    setup.add_rule(NetworkRule(("cache",), frozenset({1}), direction=direction, is_cut=True))
    assert_unanswered(affected, b"lost")
    assert exchange(other, b"b") == b"b"

    def is_received_as_expected():
        return [chunk for chunk in setup.echo.received if chunk == b"lost"] == received

    assert wait_for(is_received_as_expected, WAIT_S)
    assert_unanswered(setup.connect(1), b"new")
    assert is_received_as_expected()
    setup.remove_rule()
    assert affected.recv(100) == b"lost"


def test_a_reset_rule_ends_connections_and_rejects_new_ones(setup):
    affected, other = setup.connect(1), setup.connect(2)
    assert exchange(affected, b"a") == b"a" and exchange(other, b"b") == b"b"
    setup.add_rule(NetworkRule(("cache",), frozenset({1}), is_reset=True))
    assert_is_reset(lambda: affected)
    assert_is_reset(lambda: setup.connect(1))
    assert exchange(other, b"z") == b"z"
    setup.remove_rule()
    assert exchange(setup.connect(1), b"w") == b"w"


def test_connections_to_a_crashed_target_are_refused(setup):
    setup.execute({"deaf": "c-1"})
    with pytest.raises(ConnectionRefusedError):
        setup.connect()
    with socket.socket() as other, pytest.raises(OSError, match="in use"):
        other.bind(("127.0.0.1", setup.port))  # it stays reserved, so the proxy can listen again
    setup.execute({"hears": "c-1"})
    assert exchange(setup.connect(), b"back") == b"back"


def test_a_delay_applies_in_both_directions(setup):
    affected = setup.connect()
    assert exchange(affected, b"a") == b"a"
    setup.add_rule(NetworkRule(("cache",), delay_ms=60.0))
    started_at = time.monotonic()
    assert exchange(affected, b"b") == b"b" and time.monotonic() - started_at >= 0.115


def test_datagrams_keep_their_sender_and_follow_rules(setup):
    sockets, port = {}, setup.datagram_port.port
    for director in (1, 2):
        sockets[director] = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sockets[director].bind((addresses.listen_address(director), port))
        sockets[director].settimeout(WAIT_S)
    try:
        sockets[1].sendto(b"hail", (addresses.advertised_address(2), port))
        assert sockets[2].recvfrom(100) == (
            b"hail",
            (addresses.advertised_address(1), port),
        )
        sockets[2].sendto(b"well", (addresses.advertised_address(1), port))
        assert sockets[1].recvfrom(100) == (
            b"well",
            (addresses.advertised_address(2), port),
        )
        setup.add_rule(NetworkRule(("director",), frozenset({1}), direction="up", is_cut=True))
        sockets[1].sendto(b"lost", (addresses.advertised_address(2), port))
        sockets[2].sendto(b"comes", (addresses.advertised_address(1), port))
        assert sockets[1].recv(100) == b"comes"
        sockets[2].settimeout(SILENCE_S)
        with pytest.raises(TimeoutError):
            sockets[2].recv(100)
    finally:
        for director_socket in sockets.values():
            director_socket.close()

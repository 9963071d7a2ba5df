"""A fault proxy as a process, with real sockets on both sides."""

import socket
import threading
import time

import pytest

from mulleinrelay.lab.fleet import addresses
from mulleinrelay.lab.fleet.control_channel import LabProcess
from mulleinrelay.lab.fleet.network_rules import NetworkRule, encode_rule

DATAGRAMS = 7461


class EchoServer:
    """A target that says back what it hears, and keeps the line that names the director."""

    def __init__(self):
        self.listener, self.named, self.heard = socket.create_server(("127.0.0.1", 0)), [], []
        threading.Thread(target=self._run, daemon=True).start()

    def _run(self):
        while True:
            try:
                connection, _ = self.listener.accept()
            except OSError:
                return
            threading.Thread(target=self._talk, args=(connection,), daemon=True).start()

    def _talk(self, connection):
        head = b""
        while not head.endswith(b"\n"):
            head += connection.recv(1)
        self.named.append(head)
        try:
            while piece := connection.recv(65536):
                self.heard.append(piece)
                connection.sendall(piece)
        except OSError:
            pass
        connection.close()


class ProxySetup:
    def __init__(self, tmp_path):
        self.echo, self.rules = EchoServer(), 0
        self.process = LabProcess(
            "fault_proxy",
            str(tmp_path / "relay.log"),
            {
                "seed": "1",
                "targets": [
                    {"name": "c-1", "kind": "cache", "to": list(self.echo.listener.getsockname())}
                ],
                "datagrams": [1, 2],
                "datagram_port": DATAGRAMS,
            },
        )
        self.port = self.process.receive()["ports"]["c-1"]

    def rule(self, rule):
        self.rules += 1
        self.process.send({"rule": self.rules, "held": encode_rule(rule)})
        time.sleep(0.1)

    def lift(self):
        self.process.send({"lift": self.rules})

    def connect(self, director=1):
        made = socket.create_connection((addresses.proxy_address(director), self.port), timeout=2.0)
        made.settimeout(0.4)
        return made


@pytest.fixture
def setup(tmp_path):
    made = ProxySetup(tmp_path)
    yield made
    made.process.stop()
    made.echo.listener.close()


def exchange(connection, text):
    """What comes back: the text, nothing within 0.4 s, or the connection's end."""
    try:
        connection.sendall(text)
        return connection.recv(100)
    except TimeoutError:
        return None
    except OSError:
        return b""


def test_bytes_pass_and_the_target_learns_the_director(setup):
    assert (
        exchange(setup.connect(1), b"one") == b"one"
        and exchange(setup.connect(300), b"two") == b"two"
    )
    assert sorted(setup.echo.named) == [b"@1\n", b"@300\n"]


@pytest.mark.parametrize(("way", "heard"), [("both", []), ("up", []), ("down", [b"lost"])])
def test_bytes_held_by_a_cut_arrive_after_it(setup, way, heard):
    mine, other = setup.connect(1), setup.connect(2)
    assert exchange(mine, b"a") == b"a"
    setup.rule(NetworkRule(("cache",), frozenset({1}), direction=way, is_cut=True))
    assert exchange(mine, b"lost") is None and exchange(other, b"b") == b"b"
    assert [piece for piece in setup.echo.heard if piece == b"lost"] == heard
    assert exchange(setup.connect(1), b"new") is None
    setup.lift()
    assert mine.recv(100) == b"lost"


def test_a_reset_rule_ends_connections_and_rejects_new_ones(setup):
    mine, other = setup.connect(1), setup.connect(2)
    assert exchange(mine, b"a") == b"a" and exchange(other, b"b") == b"b"
    setup.rule(NetworkRule(("cache",), frozenset({1}), is_reset=True))
    assert (
        exchange(mine, b"x") == b""
        and exchange(setup.connect(1), b"y") == b""
        and exchange(other, b"z") == b"z"
    )
    setup.lift()
    time.sleep(0.1)
    assert exchange(setup.connect(1), b"w") == b"w"


def test_a_target_that_crashed_refuses_connections(setup):
    setup.process.send({"deaf": "c-1"})
    time.sleep(0.1)
    with pytest.raises(ConnectionRefusedError):
        setup.connect()
    setup.process.send({"hears": "c-1"})
    time.sleep(0.1)
    assert exchange(setup.connect(), b"back") == b"back"


def test_a_delay_applies_in_both_directions(setup):
    mine = setup.connect()
    assert exchange(mine, b"a") == b"a"
    setup.rule(NetworkRule(("cache",), delay_ms=60.0))
    begun = time.monotonic()
    assert exchange(mine, b"b") == b"b" and time.monotonic() - begun >= 0.115


def test_datagrams_keep_their_sender_and_follow_rules(setup):
    gates = {}
    for director in (1, 2):
        gates[director] = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        gates[director].bind((addresses.listen_address(director), DATAGRAMS))
        gates[director].settimeout(0.4)
    try:
        gates[1].sendto(b"hail", (addresses.advertised_address(2), DATAGRAMS))
        assert gates[2].recvfrom(100) == (b"hail", (addresses.advertised_address(1), DATAGRAMS))
        gates[2].sendto(b"well", (addresses.advertised_address(1), DATAGRAMS))
        assert gates[1].recvfrom(100) == (b"well", (addresses.advertised_address(2), DATAGRAMS))
        setup.rule(NetworkRule(("director",), frozenset({1}), direction="up", is_cut=True))
        gates[1].sendto(b"lost", (addresses.advertised_address(2), DATAGRAMS))
        gates[2].sendto(b"comes", (addresses.advertised_address(1), DATAGRAMS))
        assert gates[1].recv(100) == b"comes"
        with pytest.raises(TimeoutError):
            gates[2].recv(100)
    finally:
        for gate in gates.values():
            gate.close()

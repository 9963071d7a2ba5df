"""A relay as a process, with real sockets on both sides."""

import socket
import threading
import time

import pytest

from mulleinrelay.lab.fleet import addresses
from mulleinrelay.lab.fleet.channel import Helper
from mulleinrelay.lab.fleet.network_rules import NetworkRule, encode_rule

DATAGRAMS = 7461


class Echo:
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


class Relayed:
    def __init__(self, tmp_path):
        self.echo, self.rules = Echo(), 0
        self.helper = Helper(
            "relay",
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
        self.port = self.helper.hear()["ports"]["c-1"]

    def rule(self, rule):
        self.rules += 1
        self.helper.tell({"rule": self.rules, "held": encode_rule(rule)})
        time.sleep(0.1)

    def lift(self):
        self.helper.tell({"lift": self.rules})

    def connect(self, director=1):
        made = socket.create_connection((addresses.far(director), self.port), timeout=2.0)
        made.settimeout(0.4)
        return made


@pytest.fixture
def relayed(tmp_path):
    made = Relayed(tmp_path)
    yield made
    made.helper.end()
    made.echo.listener.close()


def said(connection, text):
    """What comes back: the text, nothing within 0.4 s, or the connection's end."""
    try:
        connection.sendall(text)
        return connection.recv(100)
    except TimeoutError:
        return None
    except OSError:
        return b""


def test_bytes_pass_and_the_target_learns_who_has_come(relayed):
    assert (
        said(relayed.connect(1), b"one") == b"one" and said(relayed.connect(300), b"two") == b"two"
    )
    assert sorted(relayed.echo.named) == [b"@1\n", b"@300\n"]


@pytest.mark.parametrize("way, heard", [("both", []), ("up", []), ("down", [b"lost"])])
def test_what_a_cut_holds_comes_once_it_is_over(relayed, way, heard):
    mine, other = relayed.connect(1), relayed.connect(2)
    assert said(mine, b"a") == b"a"
    relayed.rule(NetworkRule(("cache",), frozenset({1}), direction=way, is_cut=True))
    assert said(mine, b"lost") is None and said(other, b"b") == b"b"
    assert [piece for piece in relayed.echo.heard if piece == b"lost"] == heard
    assert said(relayed.connect(1), b"new") is None
    relayed.lift()
    assert mine.recv(100) == b"lost"


def test_a_cut_with_resets_ends_connections_and_meets_new_ones(relayed):
    mine, other = relayed.connect(1), relayed.connect(2)
    assert said(mine, b"a") == b"a" and said(other, b"b") == b"b"
    relayed.rule(NetworkRule(("cache",), frozenset({1}), is_reset=True))
    assert (
        said(mine, b"x") == b""
        and said(relayed.connect(1), b"y") == b""
        and said(other, b"z") == b"z"
    )
    relayed.lift()
    time.sleep(0.1)
    assert said(relayed.connect(1), b"w") == b"w"


def test_a_target_that_died_refuses_connections(relayed):
    relayed.helper.tell({"deaf": "c-1"})
    time.sleep(0.1)
    with pytest.raises(ConnectionRefusedError):
        relayed.connect()
    relayed.helper.tell({"hears": "c-1"})
    time.sleep(0.1)
    assert said(relayed.connect(), b"back") == b"back"


def test_delay_takes_its_time_both_ways(relayed):
    mine = relayed.connect()
    assert said(mine, b"a") == b"a"
    relayed.rule(NetworkRule(("cache",), delay_ms=60.0))
    begun = time.monotonic()
    assert said(mine, b"b") == b"b" and time.monotonic() - begun >= 0.115


def test_datagrams_pass_with_their_sender_and_meet_rules(relayed):
    gates = {}
    for director in (1, 2):
        gates[director] = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        gates[director].bind((addresses.own(director), DATAGRAMS))
        gates[director].settimeout(0.4)
    try:
        gates[1].sendto(b"hail", (addresses.peer(2), DATAGRAMS))
        assert gates[2].recvfrom(100) == (b"hail", (addresses.peer(1), DATAGRAMS))
        gates[2].sendto(b"well", (addresses.peer(1), DATAGRAMS))
        assert gates[1].recvfrom(100) == (b"well", (addresses.peer(2), DATAGRAMS))
        relayed.rule(NetworkRule(("director",), frozenset({1}), direction="up", is_cut=True))
        gates[1].sendto(b"lost", (addresses.peer(2), DATAGRAMS))
        gates[2].sendto(b"comes", (addresses.peer(1), DATAGRAMS))
        assert gates[1].recv(100) == b"comes"
        with pytest.raises(TimeoutError):
            gates[2].recv(100)
    finally:
        for gate in gates.values():
            gate.close()

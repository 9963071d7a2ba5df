"""Writing to a peer that reads late, little or nothing."""

import socket
import threading
import time

import pytest
from helpers import (
    wait_for,
)

from mulleinrelay.net import write_queue as outlet_module
from mulleinrelay.net.write_queue import WriteQueue

pytestmark = pytest.mark.usefixtures("short_drains")


def test_queue_asks_before_first_byte_of_message_that_waited():
    # Guards against an attempt that leaves minutes late, when its node reads on, and one cut in the
    # middle.
    ours, theirs = socket.socketpair()
    ours.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
    outlet, stale, dropped = WriteQueue(threading.Lock()), set(), []
    outlet.find_stale, outlet.on_withdrawn = (
        lambda owner: owner if owner in stale else None,
        dropped.append,
    )
    assert outlet.attach(ours)
    with outlet.lock:
        outlet.write("a", [b"a" * 500_000])
        outlet.write("b", [b"b" * 10, b"b" * 10])
        outlet.write("c", [b"c" * 10, b"c" * 10])
        stale.update("ab")  # the first has begun, so it goes on
    got = b""
    while len(got) < 500_020:
        got += theirs.recv(65_536)
    assert got == b"a" * 500_000 + b"c" * 20 and dropped == ["b"]
    assert (
        wait_for(lambda: not outlet.is_writing) and outlet.pending_bytes == 0 and not outlet.pending
    )
    ours.close()
    theirs.close()


@pytest.mark.parametrize("takes", [True, False])
def test_queue_ends_peer_that_reads_nothing_but_not_one_that_reads_little(takes, monkeypatch):
    monkeypatch.setattr(outlet_module, "POLL_INTERVAL_MS", 20)
    ours, theirs = socket.socketpair()
    ours.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
    outlet = WriteQueue(threading.Lock(), write_timeout_s=0.3)
    assert outlet.attach(ours)
    with outlet.lock:
        outlet.write(1, [bytes(2_000_000)])
    ends = time.monotonic() + 0.9
    while time.monotonic() < ends:
        if takes:
            theirs.recv(4096)
        time.sleep(0.02)
    assert outlet.is_shut_down != takes
    theirs.close()
    ours.close()


def test_message_can_be_withdrawn_while_nothing_of_it_is_written():
    ours, theirs = socket.socketpair()
    outlet = WriteQueue(threading.Lock())
    with outlet.lock:
        outlet.write("a", [b"first", b"second"])
        outlet.write("b", [b"third"])
        assert outlet.withdraw("a") and not outlet.withdraw("a") and outlet.is_unwritten("b")
    assert outlet.attach(ours) and theirs.recv(100) == b"third" and outlet.pending_bytes == 0
    ours.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
    with outlet.lock:
        outlet.write("c", [b"x" * 1_000_000])
        outlet.write("d", [b"last"])
        assert outlet.withdraw("d") and not outlet.withdraw("c")
    left = 1_000_000
    while left:
        left -= len(theirs.recv(65_536))
    theirs.close()
    ours.close()

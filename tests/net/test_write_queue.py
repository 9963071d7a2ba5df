"""Writing to a peer that reads late, little or nothing."""

import socket
import threading
import time

import pytest
from helpers import (
    wait_for,
)

from mulleinrelay.net import write_queue as queue_module
from mulleinrelay.net.write_queue import WriteQueue

pytestmark = pytest.mark.usefixtures("short_drains")


def test_queue_asks_before_first_byte_of_message_that_waited():
    # Guards against an attempt that leaves minutes late, when its node reads on, and one cut in the
    # middle.
    ours, theirs = socket.socketpair()
    ours.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
    queue, stale, dropped = WriteQueue(threading.Lock()), set(), []
    queue.find_stale, queue.on_withdrawn = (
        lambda owner: owner if owner in stale else None,
        dropped.append,
    )
    assert queue.attach(ours)
    with queue.lock:
        queue.write("a", [b"a" * 500_000])
        queue.write("b", [b"b" * 10, b"b" * 10])
        queue.write("c", [b"c" * 10, b"c" * 10])
        stale.update("ab")  # the first has begun, so it goes on
    got = b""
    while len(got) < 500_020:
        got += theirs.recv(65_536)
    assert got == b"a" * 500_000 + b"c" * 20 and dropped == ["b"]
    assert wait_for(lambda: not queue.is_writing) and queue.pending_bytes == 0 and not queue.pending
    ours.close()
    theirs.close()


@pytest.mark.parametrize("takes", [True, False])
def test_queue_ends_peer_that_reads_nothing_but_not_one_that_reads_little(takes, monkeypatch):
    monkeypatch.setattr(queue_module, "POLL_INTERVAL_MS", 20)
    ours, theirs = socket.socketpair()
    ours.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
    queue = WriteQueue(threading.Lock(), write_timeout_s=0.3)
    assert queue.attach(ours)
    with queue.lock:
        queue.write(1, [bytes(2_000_000)])
    ends = time.monotonic() + 0.9
    while time.monotonic() < ends:
        if takes:
            theirs.recv(4096)
        time.sleep(0.02)
    assert queue.is_shut_down != takes
    theirs.close()
    ours.close()


def test_message_can_be_withdrawn_while_nothing_of_it_is_written():
    ours, theirs = socket.socketpair()
    queue = WriteQueue(threading.Lock())
    with queue.lock:
        queue.write("a", [b"first", b"second"])
        queue.write("b", [b"third"])
        assert queue.withdraw("a") and not queue.withdraw("a") and queue.is_unwritten("b")
    assert queue.attach(ours) and theirs.recv(100) == b"third" and queue.pending_bytes == 0
    ours.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
    with queue.lock:
        queue.write("c", [b"x" * 1_000_000])
        queue.write("d", [b"last"])
        assert queue.withdraw("d") and not queue.withdraw("c")
    left = 1_000_000
    while left:
        left -= len(theirs.recv(65_536))
    theirs.close()
    ours.close()

"""Writes to a peer that reads late, slowly or not at all."""

import socket
import threading
import time
from types import SimpleNamespace

import pytest
from helpers import (
    wait_for,
)

from mulleinrelay.net import write_queue as queue_module
from mulleinrelay.net.write_queue import WriteQueue

pytestmark = pytest.mark.usefixtures("short_drains")


def test_queue_drops_stale_messages_before_their_first_byte():
    # A stale attempt must not be sent when its endpoint reads again, and a message that was partly
    # written must be completed.
    local, remote = socket.socketpair()
    local.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
    queue, stale_owners, withdrawn = WriteQueue(threading.Lock()), set(), []
    queue.find_stale, queue.on_withdrawn = (
        lambda owner: owner if owner in stale_owners else None,
        withdrawn.append,
    )
    assert queue.attach(local)
    with queue.lock:
        queue.write("a", [b"a" * 500_000])
        queue.write("b", [b"b" * 10, b"b" * 10])
        queue.write("c", [b"c" * 10, b"c" * 10])
        stale_owners.update("ab")  # "a" is partly written, so it is completed
    received = b""
    while len(received) < 500_020:
        received += remote.recv(65_536)
    assert received == b"a" * 500_000 + b"c" * 20 and withdrawn == ["b"]
    assert wait_for(lambda: not queue.is_writing) and queue.pending_bytes == 0 and not queue.pending
    local.close()
    remote.close()


@pytest.mark.parametrize("is_reading", [True, False])
def test_queue_disconnects_peer_that_reads_nothing_but_not_one_that_reads_slowly(
    is_reading, monkeypatch
):
    now = 0.0  # the queue's clock, in seconds
    monkeypatch.setattr(queue_module, "time", SimpleNamespace(monotonic=lambda: now))
    monkeypatch.setattr(queue_module, "POLL_INTERVAL_MS", 20)
    local, remote = socket.socketpair()
    local.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
    queue = WriteQueue(threading.Lock(), write_timeout_s=0.3)
    assert queue.attach(local)
    with queue.lock:
        queue.write(1, [bytes(2_000_000)])
    for _ in range(45):
        unwritten = queue.pending_bytes
        while is_reading and queue.pending_bytes == unwritten:
            assert remote.recv(4096)  # empty if the queue has shut down the connection
        now += 0.02
        time.sleep(0.005)
    assert wait_for(lambda: queue.is_shut_down, 0.1 if is_reading else 10.0) != is_reading
    remote.close()
    local.close()


def test_message_can_be_withdrawn_while_it_is_unwritten():
    local, remote = socket.socketpair()
    queue = WriteQueue(threading.Lock())
    with queue.lock:
        queue.write("a", [b"first", b"second"])
        queue.write("b", [b"third"])
        assert queue.withdraw("a") and not queue.withdraw("a") and queue.is_unwritten("b")
    assert queue.attach(local) and remote.recv(100) == b"third" and queue.pending_bytes == 0
    local.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
    with queue.lock:
        queue.write("c", [b"x" * 1_000_000])
        queue.write("d", [b"last"])
        assert queue.withdraw("d") and not queue.withdraw("c")
    remaining = 1_000_000
    while remaining:
        remaining -= len(remote.recv(65_536))
    remote.close()
    local.close()

"""Turns of client connections: order, number, and their end in every case."""

import socket
import threading

import pytest
from helpers import IS_WELL_CALL, RunningDirector, call_frame, hold_calls, wait_for

from mulleinrelay.net.call_scheduler import CallScheduler, Turn
from mulleinrelay.net.client_connection import LINGER_S, ClientConnection
from mulleinrelay.net.request_handler import RequestHandler

pytestmark = pytest.mark.usefixtures("short_drains", "long_timeouts")

BAD_CALL = call_frame("serve", 1, b"\x00")


def record_calls(monkeypatch):
    """Record the connections whose calls are handled, in order, and the most at a time."""
    handle_call, lock = RequestHandler.handle_call, threading.Lock()
    record = {"order": [], "now": 0, "most": 0}

    def handle(handler, client, call):
        with lock:
            record["order"].append(client)
            record["now"] += 1
            record["most"] = max(record["most"], record["now"])
        handle_call(handler, client, call)
        with lock:
            record["now"] -= 1

    monkeypatch.setattr(RequestHandler, "handle_call", handle)
    return record


@pytest.mark.parametrize("flooding_count", [1, 4, 24])
def test_usual_client_is_handled_before_the_remaining_calls_of_floods(flooding_count, monkeypatch):
    # Guards against answers that are late because the threads of many bad clients compete with the
    # threads of usual requests. The first call is held until all others have arrived.
    record = record_calls(monkeypatch)
    with RunningDirector() as running:
        resume = hold_calls(monkeypatch, RequestHandler, "handle_call")
        flooding = [running.connect_client() for _ in range(flooding_count)]
        for client in flooding:
            client.socket.sendall(IS_WELL_CALL * 40)
        assert resume.reached.wait(10.0)
        clients = running.director.listener.clients
        assert wait_for(lambda: len(clients) == flooding_count)
        flooding_connections = list(clients)
        usual = running.connect_client()
        usual.socket.sendall(IS_WELL_CALL)
        queue = running.director.listener.scheduler._queue
        assert wait_for(lambda: len(queue._waiting) == flooding_count)
        resume.set()
        assert usual.read_answer()[:2] == (1, 0)
        for client in flooding:
            assert [client.read_answer()[1] for _ in range(40)] == [0] * 40
        before = next(
            index
            for index, connection in enumerate(record["order"])
            if connection not in flooding_connections
        )
        # Each flooding client may have one call handled in the meantime, and the first one two.
        assert before <= flooding_count + 1
        assert record["most"] == 1


def test_turn_ends_if_a_call_raises(monkeypatch):
    # Guards against a director that handles no further call after one exception.
    with RunningDirector() as running:
        with monkeypatch.context() as patch:
            patch.setattr(RequestHandler, "handle_call", lambda *_: 1 / 0)
            failing = running.connect_client()
            failing.socket.sendall(IS_WELL_CALL)
            with pytest.raises((EOFError, ConnectionError)):
                failing.read_frame()
        other = running.connect_client()
        other.socket.sendall(IS_WELL_CALL)
        assert other.read_answer()[:2] == (1, 0)


def test_partial_calls_and_silent_clients_hold_no_turn():
    with RunningDirector() as running:
        for data in (b"", IS_WELL_CALL[:3], IS_WELL_CALL + b"\0\0", b"\xff\xff\xff\xff"):
            running.connect_client().socket.sendall(data)
        other = running.connect_client()
        other.socket.sendall(IS_WELL_CALL)
        assert other.read_answer()[:2] == (1, 0)


def test_turns_exclude_each_other_and_all_threads_get_theirs():
    scheduler, inside, most, counts = CallScheduler(), [0], [0], [0] * 8

    def run(index):
        turn = Turn()
        for _ in range(200):
            scheduler.begin(turn)
            inside[0] += 1
            most[0] = max(most[0], inside[0])
            counts[index] += 1
            inside[0] -= 1
            scheduler.end(turn, True)

    threads = [threading.Thread(target=run, args=(index,), daemon=True) for index in range(8)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join(30.0)
    assert counts == [200] * 8 and most == [1]


@pytest.mark.parametrize("how", ["half_close", "bad calls"])
def test_flood_after_the_half_close_is_read_at_a_limited_rate(how, monkeypatch):
    # Guards against a closed connection whose input is read as fast as the client sends it.
    reads = []
    discard = ClientConnection._discard_received

    def record_read(connection):
        reads.append(connection)
        return discard(connection)

    monkeypatch.setattr(ClientConnection, "_discard_received", record_read)
    with RunningDirector() as running:
        client = running.connect_client()
        client.socket.sendall(IS_WELL_CALL)
        client.read_answer()
        if how == "half_close":
            next(iter(running.director.listener.clients)).half_close()
        stop = threading.Event()

        def flood():
            try:
                while not stop.is_set():
                    client.socket.sendall(BAD_CALL * 1000)
            except OSError:
                pass

        thread = threading.Thread(target=flood, daemon=True)
        thread.start()
        assert wait_for(lambda: not running.director.listener.clients)
        stop.set()
        client.socket.shutdown(socket.SHUT_RDWR)
        thread.join(10.0)
        assert 0 < len(reads) < 100 * LINGER_S / 0.02

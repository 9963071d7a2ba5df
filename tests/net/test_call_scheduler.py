"""Turns of client connections: order, number, and their end in every case."""

import contextlib
import socket
import threading
import time

import pytest
from helpers import IS_WELL_CALL, RunningDirector, call_frame, hold_calls, wait_for

from mulleinrelay.net import call_scheduler
from mulleinrelay.net.call_scheduler import CallScheduler, Turn
from mulleinrelay.net.client_connection import LINGER_S, ClientConnection
from mulleinrelay.net.request_handler import RequestHandler
from mulleinrelay.policy import fair_queue
from mulleinrelay.policy.fair_queue import FairQueue

pytestmark = pytest.mark.usefixtures("short_drains", "long_timeouts")

BAD_CALL = call_frame("serve", 1, b"\x00")


def count_concurrent_calls(monkeypatch):
    """Return a record of how many calls are handled at the same time: now, and at most."""
    handle_call, lock = RequestHandler.handle_call, threading.Lock()
    record = {"now": 0, "most": 0}

    def handle(handler, client, call):
        with lock:
            record["now"] += 1
            record["most"] = max(record["most"], record["now"])
        handle_call(handler, client, call)
        with lock:
            record["now"] -= 1

    monkeypatch.setattr(RequestHandler, "handle_call", handle)
    return record


@pytest.mark.parametrize("flooding_count", [3, 4, 24])
def test_usual_client_has_its_turn_before_the_remaining_calls_of_floods(
    flooding_count, monkeypatch
):
    # Guards against answers that are late because the threads of many bad clients compete with the
    # threads of usual requests. The first calls are held until all others have arrived.
    monkeypatch.setattr(call_scheduler, "QUANTUM_S", 0.0)  # one call in a turn
    record = count_concurrent_calls(monkeypatch)
    begin_turn, turns = FairQueue._begin_turn, []
    monkeypatch.setattr(
        FairQueue, "_begin_turn", lambda queue, flow: (turns.append(flow), begin_turn(queue, flow))
    )
    with RunningDirector() as running:
        usual = running.connect_client()
        usual.socket.sendall(IS_WELL_CALL)
        assert usual.read_answer()[:2] == (1, 0)
        (usual_connection,) = running.director.listener.clients
        resume = hold_calls(monkeypatch, RequestHandler, "handle_call")
        flooding = [running.connect_client() for _ in range(flooding_count)]
        for client in flooding:
            client.socket.sendall(IS_WELL_CALL * 40)
        queue = running.director.listener.scheduler._queue
        waiting_count = flooding_count - call_scheduler.MAX_TURNS
        assert wait_for(lambda: len(queue._waiting) == waiting_count)
        time.sleep(2.0 * fair_queue.IDLE_RESET_S)
        usual.socket.sendall(IS_WELL_CALL)
        assert wait_for(lambda: len(queue._waiting) == waiting_count + 1)
        turns.clear()
        resume.set()
        assert usual.read_answer()[:2] == (1, 0)
        for client in flooding:
            assert [client.read_answer()[1] for _ in range(40)] == [0] * 40
        # The threads whose calls were held may request another turn first.
        assert turns.index(usual_connection.turn) <= flooding_count
        assert record["most"] <= call_scheduler.MAX_TURNS


def test_turn_with_small_calls_handles_many_of_them(monkeypatch):
    # Guards against a switch of threads for each call, which slows down all connections.
    monkeypatch.setattr(call_scheduler, "QUANTUM_S", 60.0)
    begin, turns = CallScheduler.begin, []
    monkeypatch.setattr(
        CallScheduler, "begin", lambda each, turn: (turns.append(turn), begin(each, turn))
    )
    with RunningDirector() as running:
        client = running.connect_client()
        client.socket.sendall(IS_WELL_CALL * 60)
        assert [client.read_answer()[1] for _ in range(60)] == [0] * 60
        assert len(turns) <= 3  # the calls may arrive in several segments


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
    assert counts == [200] * 8 and most[0] <= call_scheduler.MAX_TURNS


def test_cancelled_wait_ends_without_a_turn():
    scheduler, results = CallScheduler(), []
    held = [Turn() for _ in range(call_scheduler.MAX_TURNS)]
    for turn in held:
        assert scheduler.begin(turn)
    waiting = Turn()
    thread = threading.Thread(target=lambda: results.append(scheduler.begin(waiting)), daemon=True)
    thread.start()
    assert wait_for(lambda: scheduler._queue._waiting)
    scheduler.cancel(waiting)
    scheduler.cancel(waiting)  # a second time, it does nothing
    thread.join(10.0)
    assert results == [False]
    for turn in held:
        scheduler.cancel(turn)  # it has its turn, which is not cancelled
        scheduler.end(turn, False)
    assert scheduler.begin(held[0])


def test_clients_that_have_left_are_removed_before_an_idle_client_is_evicted(monkeypatch):
    # Guards against a table full of connections whose clients have left while their calls wait.
    with RunningDirector() as running:
        listener = running.director.listener
        listener.max_clients = 8
        idle = running.connect_client()
        idle.send()
        assert idle.read_answer()[:2] == (1, 0)
        resume = hold_calls(monkeypatch, RequestHandler, "handle_call")
        leaving = [running.connect_client() for _ in range(6)]
        for client in leaving:
            client.socket.sendall(IS_WELL_CALL * 3)
        queue = listener.scheduler._queue
        assert wait_for(lambda: len(queue._waiting) == 6 - call_scheduler.MAX_TURNS)
        for client in leaving:
            client.close()
        for _ in range(3):
            running.connect_client()
        assert wait_for(lambda: not queue._waiting)
        resume.set()
        idle.send(entity="00000000000000cd")
        assert idle.read_answer()[:2] == (2, 0)


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
        with contextlib.suppress(OSError):  # the director has reset the connection
            client.socket.shutdown(socket.SHUT_RDWR)
        thread.join(10.0)
        assert 0 < len(reads) < 100 * LINGER_S / 0.02

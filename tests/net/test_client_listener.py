"""Connections of clients: eviction, drain, half-close and clients that do not read."""

import threading
import time

import pytest
from helpers import (
    HIT_ANSWER,
    IS_WELL_CALL,
    RunningDirector,
    hold_calls,
    serve_frame,
    wait_for,
)

from mulleinrelay.net import client_connection
from mulleinrelay.net.client_listener import ClientListener
from mulleinrelay.net.request_handler import RequestHandler

pytestmark = pytest.mark.usefixtures("short_drains")


def test_call_that_crosses_end_of_drain_is_answered(monkeypatch):
    # Guards against an end of all connections on a word that none owes an answer which a call has
    # overtaken.
    owes, crossed = ClientListener.has_pending_writes, []

    def cross(front):
        idle = not owes(front)
        if idle and running.director.stop_requested.is_set() and not crossed:
            crossed.append(caller.send())
            assert wait_for(running.director.coordinator.pending_count)
            return False
        return not idle

    monkeypatch.setattr(ClientListener, "has_pending_writes", cross)
    with RunningDirector(lambda fields: time.sleep(0.2) or HIT_ANSWER) as running:
        caller, rests = running.connect_client(), running.connect_client()
        caller.socket.sendall(IS_WELL_CALL)
        rests.socket.sendall(IS_WELL_CALL)
        assert caller.read_answer()[1] == rests.read_answer()[1] == 0
        running.director.stop()
        assert caller.read_answer()[1:] == (0, {}, b"bytes")
        with pytest.raises(EOFError):
            rests.read_answer()
        rests.close()
        with pytest.raises(EOFError):
            caller.read_answer()
        caller.close()
        assert running.director.stopped.wait(5.0)


def test_client_accepted_by_the_system_before_drain_ends_is_answered(monkeypatch):
    # Guards against a listener that closes over connections on which calls have come.
    free = hold_calls(
        monkeypatch,
        ClientListener,
        "_admit",
        lambda *_: threading.current_thread().name == "accept",
    )
    with RunningDirector() as running:
        first = running.connect_client()
        assert free.reached.wait(5.0)
        behind = running.connect_client()
        for caller in (first, behind):
            caller.send()
        running.director.stop()
        assert behind.read_answer()[:2] == (1, 0)
        free.set()
        assert first.read_answer()[:2] == (1, 0)
        for caller in (first, behind):
            caller.close()
        assert running.director.stopped.wait(5.0)


def test_call_that_crosses_half_close_is_neither_begun_nor_met_with_a_reset():
    # Guards against a close over unread bytes, which may take the last answer along, and against a
    # request that is sent on here and once more by its client.
    with RunningDirector() as running:
        caller = running.connect_client()
        caller.send()
        assert wait_for(
            lambda: (
                len(running.commands()) == 1 and not running.director.listener.has_pending_writes()
            )
        )
        (client,) = running.director.listener.clients
        client.close_if_idle()
        caller.send()
        time.sleep(0.02)  # it is read and left unused; an answer or a reset would come by now
        assert caller.read_answer() == (1, 0, {}, b"bytes")
        with pytest.raises(EOFError):
            caller.read_answer()
        assert len(running.commands()) == 1 and running.director.listener.clients
        caller.close()
        assert wait_for(lambda: not running.director.listener.clients)


def test_idle_connection_on_which_a_call_has_come_is_not_closed(allow_client_reads):
    with RunningDirector() as running:
        caller = running.connect_client()
        caller.send()
        assert wait_for(lambda: running.director.listener.clients)
        (client,) = running.director.listener.clients
        assert wait_for(client._has_unread_bytes)
        client.close_if_idle()
        allow_client_reads.set()
        assert caller.read_answer()[:2] == (1, 0)


def test_call_that_is_read_and_not_begun_counts_as_open(monkeypatch):
    # Guards against the end of a connection, or of the drain, between a call's reading and its
    # begin.
    go = hold_calls(monkeypatch, RequestHandler, "handle_call")
    with RunningDirector() as running:
        caller, table = running.connect_client(), running.director.listener
        caller.send()
        caller.send(entity="00000000000000cd")
        assert wait_for(lambda: any(client.pending_calls for client in table.clients))
        (client,) = table.clients
        assert table.has_pending_writes() and not client.close_if_idle()
        running.director.stop()
        go.set()
        assert {caller.read_answer()[:2] for _ in range(2)} == {(1, 0), (2, 0)}
        caller.close()
        assert running.director.stopped.wait(5.0)


def test_lingering_close_ends_after_a_while():
    with RunningDirector() as running:
        caller = running.connect_client()
        caller.socket.sendall(IS_WELL_CALL)
        assert caller.read_answer()[1] == 0
        (client,) = running.director.listener.clients
        client.close_if_idle()
        assert wait_for(lambda: not running.director.listener.clients)


def test_drain_waits_for_rest_of_partial_call():
    with RunningDirector() as running:
        caller, bad = running.connect_client(), running.connect_client()
        whole = serve_frame(
            7, {"route": "pages", "trace": "f" * 16, "patience": "3000", "entity": "ab" * 8}
        )
        for half in (caller, bad):
            half.socket.sendall(whole[:20])
        clients = running.director.listener.clients
        assert wait_for(
            lambda: [client.partial_call_since > 0.0 for client in clients] == [True] * 2
        )
        running.director.stop()
        assert wait_for(lambda: running.director.listener.listener is None)
        caller.socket.sendall(whole[20:])
        assert caller.read_answer()[:2] == (7, 0)
        caller.close()
        assert running.director.stopped.wait(4.0)  # the other one is not waited for for ever


def test_flood_of_bad_calls_is_ended_and_told_why(allow_client_reads):
    # Guards against one who is never idle, as there is always more of it to be read.
    with RunningDirector() as running:
        bad, good = running.connect_client(), running.connect_client()
        for _ in range(200):
            bad.send("nope")
        good.send()
        allow_client_reads.set()
        assert [bad.read_answer()[1] for _ in range(9)] == ["an unknown request class"] * 9
        with pytest.raises(EOFError):
            bad.read_answer()
        assert good.read_answer()[:2] == (1, 0) and running.log.event_names.count("bad frame") == 1
        assert wait_for(lambda: len(running.director.listener.clients) == 1)


def test_client_that_asks_and_does_not_read_is_ended():
    # Guards against a memory full of small answers, which no bound on their bytes would notice.
    with RunningDirector() as running:
        bad, good = running.connect_client(), running.connect_client()
        good.socket.sendall(IS_WELL_CALL)
        assert good.read_answer()[1] == 0
        with pytest.raises(OSError):
            for _ in range(10_000):
                bad.socket.sendall(IS_WELL_CALL * 1000)
        assert wait_for(lambda: len(running.director.listener.clients) == 1)
        good.send()
        assert good.read_answer()[:2] == (1, 0)


def test_client_that_does_not_read_delays_nobody_else():
    # Guards against a thread that waits for one client, and against a memory full of what it has
    # not read.
    with RunningDirector((b"DONE", b"why=HIT", bytes(240_000))) as running:
        stalled, other = running.connect_client(), running.connect_client()
        front = running.director.listener
        running.director.request_handler.config.memory_mb = 10
        for _ in range(30):
            stalled.send()
        assert wait_for(lambda: not running.director.coordinator.pending_count())
        other.send()
        assert other.read_answer()[:2] == (1, 0)
        assert (
            wait_for(lambda: len(front.clients) == 1)
            and "client does not read" in running.log.event_names
        )
        with pytest.raises((EOFError, ConnectionError)):  # what was cut is not whole
            for _ in range(30):
                stalled.read_answer()


def test_lack_of_threads_gives_a_plain_outcome(monkeypatch):
    with RunningDirector() as running:
        caller = running.connect_client()
        caller.socket.sendall(IS_WELL_CALL)
        caller.read_answer()
        start = threading.Thread.start

        def refuse(thread):
            if thread.name in ("client", "upstream"):
                raise RuntimeError("can't start new thread")
            start(thread)

        monkeypatch.setattr(threading.Thread, "start", refuse)
        caller.send("pay")
        assert caller.read_answer()[:2] == (1, 1) and not running.commands()
        with pytest.raises((EOFError, ConnectionError)):
            running.connect_client().read_answer()
        assert len(running.director.listener.clients) == 1
        monkeypatch.undo()
        caller.send("pay")
        assert caller.read_answer()[:2] == (2, 0)


def test_flood_of_connections_evicts_no_client_that_calls(monkeypatch):
    # Guards against a table that one ended connection opens to many, past all descriptors.
    monkeypatch.setattr(client_connection, "FIRST_CALL_TIMEOUT_S", 0.5)
    with RunningDirector() as running:
        table, most = running.director.listener, 0
        table.max_clients = 8
        held, good = [], running.connect_client()
        for number in range(60):
            held.append(running.connect_client())
            if number % 2:
                held[-1].socket.sendall(IS_WELL_CALL)  # asks once and stays
            good.send()
            assert good.read_answer()[:2] == (number + 1, 0)
            most = max(most, len(table.clients))
        assert most <= 8
        silent = running.connect_client()
        silent.socket.sendall(IS_WELL_CALL[:9])
        with pytest.raises((EOFError, ConnectionError)):
            silent.read_answer()
        good.send()
        assert good.read_answer()[:2] == (61, 0)

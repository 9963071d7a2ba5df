"""Connections of clients: eviction, drain, half-close and clients that do not read."""

import threading
import time

import pytest
from helpers import (
    HIT,
    WELL,
    Running,
    held_back,
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
        if idle and director.service.stop_requested.is_set() and not crossed:
            crossed.append(caller.send())
            assert wait_for(director.service.coordinator.pending_count)
            return False
        return not idle

    monkeypatch.setattr(ClientListener, "has_pending_writes", cross)
    with Running(lambda fields: time.sleep(0.2) or HIT) as director:
        caller, rests = director.caller(), director.caller()
        caller.socket.sendall(WELL)
        rests.socket.sendall(WELL)
        assert caller.answer()[1] == rests.answer()[1] == 0
        director.service.stop()
        assert caller.answer()[1:] == (0, {}, b"bytes")
        with pytest.raises(EOFError):
            rests.answer()
        rests.close()
        with pytest.raises(EOFError):
            caller.answer()
        caller.close()
        assert director.service.stopped.wait(5.0)


def test_client_accepted_by_the_system_before_drain_ends_is_answered(monkeypatch):
    # Guards against a listener that closes over connections on which calls have come.
    free = held_back(
        monkeypatch,
        ClientListener,
        "_admit",
        lambda *_: threading.current_thread().name == "accept",
    )
    with Running() as director:
        first = director.caller()
        assert free.met.wait(5.0)
        behind = director.caller()
        for caller in (first, behind):
            caller.send()
        director.service.stop()
        assert behind.answer()[:2] == (1, 0)
        free.set()
        assert first.answer()[:2] == (1, 0)
        for caller in (first, behind):
            caller.close()
        assert director.service.stopped.wait(5.0)


def test_call_that_crosses_half_close_is_neither_begun_nor_met_with_a_reset():
    # Guards against a close over unread bytes, which may take the last answer along, and against a
    # request that is sent on here and once more by its client.
    with Running() as director:
        caller = director.caller()
        caller.send()
        assert wait_for(
            lambda: (
                len(director.heard()) == 1 and not director.service.listener.has_pending_writes()
            )
        )
        (client,) = director.service.listener.clients
        client.close_if_idle()
        caller.send()
        time.sleep(0.02)  # it is read and left unused; an answer or a reset would come by now
        assert caller.answer() == (1, 0, {}, b"bytes")
        with pytest.raises(EOFError):
            caller.answer()
        assert len(director.heard()) == 1 and director.service.listener.clients
        caller.close()
        assert wait_for(lambda: not director.service.listener.clients)


def test_idle_connection_on_which_a_call_has_come_is_not_closed(reading):
    with Running() as director:
        caller = director.caller()
        caller.send()
        assert wait_for(lambda: director.service.listener.clients)
        (client,) = director.service.listener.clients
        assert wait_for(client._has_unread_bytes)
        client.close_if_idle()
        reading.set()
        assert caller.answer()[:2] == (1, 0)


def test_call_that_is_read_and_not_begun_counts_as_open(monkeypatch):
    # Guards against the end of a connection, or of the drain, between a call's reading and its
    # begin.
    go = held_back(monkeypatch, RequestHandler, "handle_call")
    with Running() as director:
        caller, table = director.caller(), director.service.listener
        caller.send()
        caller.send(entity="00000000000000cd")
        assert wait_for(lambda: any(client.pending_calls for client in table.clients))
        (client,) = table.clients
        assert table.has_pending_writes() and not client.close_if_idle()
        director.service.stop()
        go.set()
        assert {caller.answer()[:2] for _ in range(2)} == {(1, 0), (2, 0)}
        caller.close()
        assert director.service.stopped.wait(5.0)


def test_lingering_close_ends_after_a_while():
    with Running() as director:
        caller = director.caller()
        caller.socket.sendall(WELL)
        assert caller.answer()[1] == 0
        (client,) = director.service.listener.clients
        client.close_if_idle()
        assert wait_for(lambda: not director.service.listener.clients)


def test_drain_waits_for_rest_of_partial_call():
    with Running() as director:
        caller, bad = director.caller(), director.caller()
        whole = serve_frame(
            7, {"route": "pages", "trace": "f" * 16, "patience": "3000", "entity": "ab" * 8}
        )
        for half in (caller, bad):
            half.socket.sendall(whole[:20])
        clients = director.service.listener.clients
        assert wait_for(
            lambda: [client.partial_call_since > 0.0 for client in clients] == [True] * 2
        )
        director.service.stop()
        assert wait_for(lambda: director.service.listener.listener is None)
        caller.socket.sendall(whole[20:])
        assert caller.answer()[:2] == (7, 0)
        caller.close()
        assert director.service.stopped.wait(4.0)  # the other one is not waited for for ever


def test_flood_of_bad_calls_is_ended_and_told_why(reading):
    # Guards against one who is never idle, as there is always more of it to be read.
    with Running() as director:
        bad, good = director.caller(), director.caller()
        for _ in range(200):
            bad.send("nope")
        good.send()
        reading.set()
        assert [bad.answer()[1] for _ in range(9)] == ["an unknown request class"] * 9
        with pytest.raises(EOFError):
            bad.answer()
        assert good.answer()[:2] == (1, 0) and director.sink.events.count("bad frame") == 1
        assert wait_for(lambda: len(director.service.listener.clients) == 1)


def test_client_that_asks_and_does_not_read_is_ended():
    # Guards against a memory full of small answers, which no bound on their bytes would notice.
    with Running() as director:
        bad, good = director.caller(), director.caller()
        good.socket.sendall(WELL)
        assert good.answer()[1] == 0
        with pytest.raises(OSError):
            for _ in range(10_000):
                bad.socket.sendall(WELL * 1000)
        assert wait_for(lambda: len(director.service.listener.clients) == 1)
        good.send()
        assert good.answer()[:2] == (1, 0)


def test_client_that_does_not_read_delays_nobody_else():
    # Guards against a thread that waits for one client, and against a memory full of what it has
    # not read.
    with Running((b"DONE", b"why=HIT", bytes(240_000))) as director:
        stalled, other = director.caller(), director.caller()
        front = director.service.listener
        director.service.request_handler.config.memory_mb = 10
        for _ in range(30):
            stalled.send()
        assert wait_for(lambda: not director.service.coordinator.pending_count())
        other.send()
        assert other.answer()[:2] == (1, 0)
        assert (
            wait_for(lambda: len(front.clients) == 1)
            and "client does not read" in director.sink.events
        )
        with pytest.raises((EOFError, ConnectionError)):  # what was cut is not whole
            for _ in range(30):
                stalled.answer()


def test_lack_of_threads_gives_a_plain_outcome(monkeypatch):
    with Running() as director:
        caller = director.caller()
        caller.socket.sendall(WELL)
        caller.answer()
        start = threading.Thread.start

        def refuse(thread):
            if thread.name in ("client", "upstream"):
                raise RuntimeError("can't start new thread")
            start(thread)

        monkeypatch.setattr(threading.Thread, "start", refuse)
        caller.send("pay")
        assert caller.answer()[:2] == (1, 1) and not director.heard()
        with pytest.raises((EOFError, ConnectionError)):
            director.caller().answer()
        assert len(director.service.listener.clients) == 1
        monkeypatch.undo()
        caller.send("pay")
        assert caller.answer()[:2] == (2, 0)


def test_flood_of_connections_evicts_no_client_that_calls(monkeypatch):
    # Guards against a table that one ended connection opens to many, past all descriptors.
    monkeypatch.setattr(client_connection, "FIRST_CALL_TIMEOUT_S", 0.5)
    with Running() as director:
        table, most = director.service.listener, 0
        table.max_clients = 8
        held, good = [], director.caller()
        for number in range(60):
            held.append(director.caller())
            if number % 2:
                held[-1].socket.sendall(WELL)  # asks once and stays
            good.send()
            assert good.answer()[:2] == (number + 1, 0)
            most = max(most, len(table.clients))
        assert most <= 8
        silent = director.caller()
        silent.socket.sendall(WELL[:9])
        with pytest.raises((EOFError, ConnectionError)):
            silent.answer()
        good.send()
        assert good.answer()[:2] == (61, 0)

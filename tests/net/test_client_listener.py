"""Client connections: eviction, drain, half-close and clients that do not read."""

import threading
import time

import pytest
from helpers import (
    HIT_ANSWER,
    IS_WELL_CALL,
    RunningDirector,
    call_frame,
    hold_calls,
    serve_frame,
    wait_for,
)

from mulleinrelay.net import client_connection
from mulleinrelay.net.client_listener import ClientListener
from mulleinrelay.net.request_handler import RequestHandler

pytestmark = pytest.mark.usefixtures("short_drains", "long_timeouts")


def test_call_that_arrives_at_the_end_of_a_drain_is_answered(monkeypatch):
    # A call may arrive after the check that no answer is outstanding and before the connections are
    # closed. It must be answered before the drain ends.
    has_pending_writes, late_calls = ClientListener.has_pending_writes, []
    may_answer = threading.Event()

    def send_late_call(listener):
        is_idle = not has_pending_writes(listener)
        if is_idle and running.director.stop_requested.is_set() and not late_calls:
            late_calls.append(client.send())
            assert wait_for(running.director.coordinator.pending_count)
            may_answer.set()
            return False
        return not is_idle

    monkeypatch.setattr(ClientListener, "has_pending_writes", send_late_call)

    def answer_late(fields):
        # The delay lets the drain check the connections before the request is answered.
        return may_answer.wait(10.0) and (time.sleep(0.2) or HIT_ANSWER)

    with RunningDirector(answer_late) as running:
        client, idle_client = running.connect_client(), running.connect_client()
        client.socket.sendall(IS_WELL_CALL)
        idle_client.socket.sendall(IS_WELL_CALL)
        assert client.read_answer()[1] == idle_client.read_answer()[1] == 0
        running.director.stop()
        assert client.read_answer()[1:] == (0, {}, b"bytes")
        with pytest.raises(EOFError):
            idle_client.read_answer()
        idle_client.close()
        with pytest.raises(EOFError):
            client.read_answer()
        client.close()
        assert running.director.stopped.wait(5.0)


def test_client_in_the_kernel_backlog_at_a_drain_is_answered(monkeypatch):
    # The listener must not be closed while the kernel's backlog holds connections with calls.
    resume_accepting = hold_calls(
        monkeypatch,
        ClientListener,
        "_admit",
        lambda *_: threading.current_thread().name == "accept",
    )
    with RunningDirector() as running:
        first_client = running.connect_client()
        assert resume_accepting.reached.wait(5.0)
        second_client = running.connect_client()
        for client in (first_client, second_client):
            client.send()
        running.director.stop()
        assert second_client.read_answer()[:2] == (1, 0)
        resume_accepting.set()
        assert first_client.read_answer()[:2] == (1, 0)
        for client in (first_client, second_client):
            client.close()
        assert running.director.stopped.wait(5.0)


def test_call_that_crosses_half_close_is_neither_started_nor_reset(monkeypatch):
    # The client sends a second call before it notices the half-close. Closing the socket with
    # unread bytes could lose the first answer. If the second call were executed, the client's retry
    # on a new connection would execute it twice.
    # The timeout of the lingering close is long, so that the close of the client ends it.
    monkeypatch.setattr(client_connection, "LINGER_S", 60.0)
    with RunningDirector() as running:
        client = running.connect_client()
        client.send()
        assert wait_for(
            lambda: (
                len(running.commands()) == 1 and not running.director.listener.has_pending_writes()
            )
        )
        (connection,) = running.director.listener.clients
        connection.close_if_idle()
        client.send()
        time.sleep(0.02)  # enough for the director to read the call and to answer or reset
        assert client.read_answer() == (1, 0, {}, b"bytes")
        with pytest.raises(EOFError):
            client.read_answer()
        assert len(running.commands()) == 1 and running.director.listener.clients
        client.close()
        assert wait_for(lambda: not running.director.listener.clients)


def test_idle_connection_with_a_received_call_is_not_closed(allow_client_reads):
    with RunningDirector() as running:
        client = running.connect_client()
        client.send()
        assert wait_for(lambda: running.director.listener.clients)
        (connection,) = running.director.listener.clients
        assert wait_for(connection._has_unread_bytes)
        connection.close_if_idle()
        allow_client_reads.set()
        assert client.read_answer()[:2] == (1, 0)


def test_call_that_is_read_but_not_started_counts_as_open(monkeypatch):
    # Neither a connection nor the drain may end between the read of a call and its start.
    resume = hold_calls(monkeypatch, RequestHandler, "handle_call")
    with RunningDirector() as running:
        client, listener = running.connect_client(), running.director.listener
        client.send()
        client.send(entity="00000000000000cd")
        assert wait_for(lambda: any(connection.pending_calls for connection in listener.clients))
        (connection,) = listener.clients
        assert listener.has_pending_writes() and not connection.close_if_idle()
        running.director.stop()
        resume.set()
        assert {client.read_answer()[:2] for _ in range(2)} == {(1, 0), (2, 0)}
        client.close()
        assert running.director.stopped.wait(5.0)


def test_lingering_close_times_out():
    with RunningDirector() as running:
        client = running.connect_client()
        client.socket.sendall(IS_WELL_CALL)
        assert client.read_answer()[1] == 0
        (connection,) = running.director.listener.clients
        connection.close_if_idle()
        assert wait_for(lambda: not running.director.listener.clients)


def test_drain_waits_for_rest_of_partial_call(monkeypatch):
    partial_call_timeout_s = client_connection.DRAIN_PARTIAL_CALL_S
    monkeypatch.setattr(client_connection, "FIRST_CALL_TIMEOUT_S", 60.0)
    monkeypatch.setattr(client_connection, "DRAIN_PARTIAL_CALL_S", 60.0)
    with RunningDirector() as running:
        client, stalled_client = running.connect_client(), running.connect_client()
        request_frame = serve_frame(
            7, {"route": "pages", "trace": "f" * 16, "patience": "3000", "entity": "ab" * 8}
        )
        for slow_client in (client, stalled_client):
            slow_client.socket.sendall(request_frame[:20])
        connections = running.director.listener.clients
        assert wait_for(
            lambda: (
                [connection.partial_call_since > 0.0 for connection in connections] == [True] * 2
            )
        )
        running.director.stop()
        assert wait_for(lambda: running.director.listener.listener is None)
        client.socket.sendall(request_frame[20:])
        assert client.read_answer()[:2] == (7, 0)
        client.close()
        # The partial call of the stalled client delays the drain only until a timeout.
        monkeypatch.setattr(client_connection, "DRAIN_PARTIAL_CALL_S", partial_call_timeout_s)
        assert running.director.stopped.wait(4.0)


def test_flood_of_bad_calls_closes_the_connection_and_is_logged(allow_client_reads):
    # A client that floods its connection is never idle, because unread bytes are always pending.
    # The connection must therefore be closed because of its bad calls.
    with RunningDirector() as running:
        flooding_client, other_client = running.connect_client(), running.connect_client()
        for _ in range(200):
            flooding_client.send("nope")
        other_client.send()
        allow_client_reads.set()
        assert [flooding_client.read_answer()[1] for _ in range(9)] == [
            "an unknown request class"
        ] * 9
        with pytest.raises(EOFError):
            flooding_client.read_answer()
        assert (
            other_client.read_answer()[:2] == (1, 0)
            and running.log.event_names.count("bad frame") == 1
        )
        assert wait_for(lambda: len(running.director.listener.clients) == 1)


def test_client_that_calls_and_does_not_read_is_disconnected():
    # Many small unread answers could fill the memory with their overhead, which the limit on the
    # bytes of unread answers does not count.
    with RunningDirector() as running:
        flooding_client, other_client = running.connect_client(), running.connect_client()
        other_client.socket.sendall(IS_WELL_CALL)
        assert other_client.read_answer()[1] == 0
        with pytest.raises(OSError):
            for _ in range(10_000):
                flooding_client.socket.sendall(IS_WELL_CALL * 1000)
        assert wait_for(lambda: len(running.director.listener.clients) == 1)
        other_client.send()
        assert other_client.read_answer()[:2] == (1, 0)


def test_reply_does_not_repeat_a_long_method_name():
    # Guards against replies that repeat the name of an unknown method: 256 unread ones of 60 KB on
    # each of 20 connections exceeded the memory limit of 192 MB.
    with RunningDirector() as running:
        client = running.connect_client()
        client.socket.sendall(call_frame("m" * 60_000, 1, b"\0"))
        assert len(client.read_frame()) < 200


def test_unread_replies_disconnect_the_client_that_has_most_of_them():
    # Guards against a limit that counted only objects, and that closed whoever was answered last.
    with RunningDirector((b"DONE", b"why=HIT", bytes(240_000))) as running:
        listener, clients = running.director.listener, []
        for _ in range(2):
            clients.append(running.connect_client())
            clients[-1].send()
            assert clients[-1].read_answer()[1] == 0
        stalled, usual = list(listener.clients)
        for connection in (stalled, usual):
            with connection.lock:
                connection.write_queue.is_writing = True  # as if the client did not read
        for _ in range(5):
            clients[0].send()
        assert wait_for(lambda: stalled.unread_bytes() > 5 * 240_000)
        listener.max_unread_bytes = stalled.unread_bytes()
        clients[1].socket.sendall(IS_WELL_CALL)
        assert wait_for(lambda: stalled.write_queue.is_shut_down)
        assert not usual.write_queue.is_shut_down


def test_client_that_does_not_read_delays_no_other_client():
    # No thread may block on a client that does not read, and the unread answers of this client must
    # not fill the memory.
    with RunningDirector((b"DONE", b"why=HIT", bytes(240_000))) as running:
        stalled_client, other_client = running.connect_client(), running.connect_client()
        listener = running.director.listener
        listener.max_unread_bytes = 2_000_000
        for _ in range(30):
            stalled_client.send()
        assert wait_for(lambda: not running.director.coordinator.pending_count())
        other_client.send()
        assert other_client.read_answer()[:2] == (1, 0)
        assert (
            wait_for(lambda: len(listener.clients) == 1)
            and "client does not read" in running.log.event_names
        )
        with pytest.raises((EOFError, ConnectionError)):  # the last answer is truncated
            for _ in range(30):
                stalled_client.read_answer()


def test_lack_of_threads_rejects_requests_and_connections(monkeypatch):
    with RunningDirector() as running:
        client = running.connect_client()
        client.socket.sendall(IS_WELL_CALL)
        client.read_answer()
        start = threading.Thread.start

        def fail_to_start(thread):
            if thread.name in ("client", "upstream"):
                raise RuntimeError("can't start new thread")
            start(thread)

        with monkeypatch.context() as context:
            context.setattr(threading.Thread, "start", fail_to_start)
            client.send("pay")
            assert client.read_answer()[:2] == (1, 1) and not running.commands()
            with pytest.raises((EOFError, ConnectionError)):
                running.connect_client().read_answer()
            assert len(running.director.listener.clients) == 1
        client.send("pay")
        assert client.read_answer()[:2] == (2, 0)


def test_flood_of_connections_evicts_no_active_client(monkeypatch):
    # New connections must not evict a client that sends requests. Each evicted connection must make
    # room for only one new connection, or the director's file descriptors would be used up.
    with RunningDirector() as running:
        listener, max_count = running.director.listener, 0
        listener.max_clients = 8
        other_clients, active_client = [], running.connect_client()
        for number in range(60):
            other_clients.append(running.connect_client())
            if number % 2:
                other_clients[-1].socket.sendall(IS_WELL_CALL)  # calls once and stays connected
            active_client.send()
            assert active_client.read_answer()[:2] == (number + 1, 0)
            max_count = max(max_count, len(listener.clients))
        assert max_count <= 8
        monkeypatch.setattr(client_connection, "FIRST_CALL_TIMEOUT_S", 0.5)
        silent_client = running.connect_client()
        silent_client.socket.sendall(IS_WELL_CALL[:9])
        with pytest.raises((EOFError, ConnectionError)):
            silent_client.read_answer()
        active_client.send()
        assert active_client.read_answer()[:2] == (61, 0)

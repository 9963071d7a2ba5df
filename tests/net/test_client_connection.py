"""A client's calls, cancellations and leaving, in every order; the tests hold threads back."""

import socket
import struct
import threading
import time

import pytest
from helpers import (
    HIT_ANSWER,
    IS_WELL_CALL,
    RunningDirector,
    call_frame,
    cancel_frame,
    hold_calls,
    serve_frame,
    wait_for,
    wait_for_attempt,
)

from mulleinrelay.coordinator import RequestCoordinator
from mulleinrelay.net import client_connection
from mulleinrelay.net import client_connection as connection_module
from mulleinrelay.net.client_connection import ClientConnection
from mulleinrelay.net.request_handler import RequestHandler
from mulleinrelay.net.thrift import FrameDecoder

pytestmark = pytest.mark.usefixtures("short_drains")

FULL = (b"WAIT", b"-", b"")


@pytest.mark.parametrize("calls", [20, 300])  # all that came can be read ahead, or not
def test_no_request_begins_for_client_that_sent_many_and_left(calls, allow_client_reads):
    # Guards against attempts that begin long after the client that they are for has closed its
    # connection.
    with RunningDirector() as running:
        leaver, stayer = running.connect_client(), running.connect_client()
        for number in range(calls):
            leaver.send("order", entity=f"{number:016x}")
        leaver.close()
        stayer.send(entity="00000000000000cd")
        allow_client_reads.set()
        assert stayer.read_answer()[:2] == (1, 0)
        assert wait_for(lambda: len(running.director.listener.clients) == 1)
        assert [fields["name"][-2:] for _, _, fields, _ in running.commands()] == ["cd"]


LEAVES = {
    "closes": lambda caller: caller.close(),
    "cancels": lambda caller: caller.socket.sendall(cancel_frame(1)),
    "cancels behind a call": lambda caller: caller.socket.sendall(IS_WELL_CALL + cancel_frame(1)),
    "closes behind a call": lambda caller: (caller.socket.sendall(IS_WELL_CALL), caller.close()),
    "resets": lambda caller: (
        caller.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)),
        caller.close(),
    ),
}


@pytest.mark.parametrize("how", [*LEAVES, "calls", "cancels another"])
def test_no_retry_begins_for_client_whose_leaving_is_not_read_yet(how, monkeypatch):
    # Guards against a director that is late itself: its links' threads run before that of the
    # client.
    left = threading.Event()
    read = hold_calls(monkeypatch, ClientConnection, "read_calls", lambda client: client.has_called)
    stays = {
        "calls": lambda caller: caller.socket.sendall(IS_WELL_CALL),
        "cancels another": lambda caller: caller.socket.sendall(cancel_frame(2)),
    }

    with RunningDirector(lambda fields: left.wait(5.0) and FULL) as running:
        caller = running.connect_client()
        caller.send()
        assert wait_for(running.commands)
        (LEAVES | stays)[how](caller)
        (client,) = running.director.listener.clients
        assert wait_for(lambda: client._peek() is not None)
        left.set()
        assert wait_for(lambda: not running.director.coordinator.pending_count())
        assert (len(running.commands()) == 1) is (how in LEAVES)
        read.set()


@pytest.mark.parametrize("how", ["forget", "close"])
def test_nothing_is_sent_for_client_that_left_while_its_request_waited_for_the_coordinator(how):
    # Its request has been read; then its thread waits, for the module here, or for the core.
    with RunningDirector() as running:
        caller, other = running.connect_client(), running.connect_client()
        other.send()
        assert other.read_answer()[:2] == (1, 0)  # the link is up
        with running.director.coordinator.lock:
            caller.send()
            assert wait_for(
                lambda: any(client.open_requests for client in running.director.listener.clients)
            )
            if how == "forget":
                caller.socket.sendall(cancel_frame(1))
            else:
                caller.close()
            time.sleep(2.0 * connection_module.RECENT_READ_S)
        assert wait_for(lambda: not running.director.coordinator.pending_count())
        other.send(entity="00000000000000cd")
        assert other.read_answer()[:2] == (2, 0)
        assert [fields["name"][-2:] for _, _, fields, _ in running.commands()] == ["ab", "cd"]


def test_cancellation_that_is_read_and_not_handled_yet_prevents_retry(monkeypatch):
    left = threading.Event()
    go = hold_calls(
        monkeypatch,
        RequestHandler,
        "handle_call",
        lambda front, client, call: call.method == "forget",
    )
    with RunningDirector(lambda fields: left.wait(5.0) and FULL) as running:
        caller = running.connect_client()
        caller.send()
        assert wait_for(running.commands)
        caller.socket.sendall(cancel_frame(1))
        (client,) = running.director.listener.clients
        assert wait_for(lambda: client.pending_calls)
        left.set()
        assert wait_for(lambda: not running.director.coordinator.pending_count())
        assert len(running.commands()) == 1
        go.set()


@pytest.mark.parametrize("together", [True, False])
@pytest.mark.parametrize(
    "wrong", [b"\xff\xff\xff\xff" * 20, b"\0\0\0\x05hello", b"\x7f\xff\xff\xff"]
)
def test_request_before_unreadable_bytes_is_answered(wrong, together):
    # Guards against a request that is lost with the rest of its connection, and an answer that a
    # reset over unread bytes takes along.
    answer = threading.Event()
    with RunningDirector(lambda fields: answer.wait(5.0) and HIT_ANSWER) as running:
        caller = running.connect_client()
        whole = serve_frame(
            7, {"route": "pages", "trace": "e" * 16, "patience": "3000", "entity": "ab" * 8}
        )
        caller.socket.sendall(whole + wrong if together else whole)
        assert wait_for(running.commands)
        if not together:
            caller.socket.sendall(wrong)
        (client,) = running.director.listener.clients
        assert wait_for(lambda: client.framing_error)
        caller.socket.sendall(wrong)
        answer.set()
        assert caller.read_answer() == (7, 0, {}, b"bytes")
        with pytest.raises(EOFError):
            caller.read_answer()
        assert wait_for(lambda: not running.director.listener.clients)  # though it does not close


def test_client_that_sends_unreadable_bytes_and_leaves_is_not_waited_for():
    with RunningDirector(None) as running:
        caller = running.connect_client()
        caller.send()
        assert wait_for(running.commands)
        caller.socket.sendall(b"\xff" * 100)
        caller.close()
        assert wait_for(lambda: not running.director.listener.clients, 1.0)
        assert not running.director.coordinator.pending_count()


def test_result_that_comes_before_request_is_registered_is_answered_once(monkeypatch):
    # Guards against an answer that finds no number to go to, and a number that is owed for ever.
    take = RequestCoordinator.accept

    def taken(coordinator, *arguments, **named):
        request = take(coordinator, *arguments, **named)
        other = threading.Thread(
            target=lambda: [
                running.director.request_handler.run_request(still)
                for still in coordinator.finish_pending_requests()
            ]
        )
        other.start()
        other.join()
        return request

    monkeypatch.setattr(RequestCoordinator, "accept", taken)
    with RunningDirector() as running:
        caller = running.connect_client()
        caller.send()
        assert caller.read_answer()[:2] == (1, 1)
        caller.socket.sendall(IS_WELL_CALL)
        assert caller.read_answer()[:2] == (1, 0)  # and nothing between
        assert (
            not running.director.listener.has_pending_writes()
            and not running.director.coordinator.pending_count()
        )


def test_call_is_not_begun_where_its_cancellation_has_come_behind_it(allow_client_reads):
    with RunningDirector() as running:
        caller = running.connect_client()
        for number in range(1, 9):
            caller.send(entity=f"{number:016x}")
        for number in (2, 5, 8):
            caller.socket.sendall(cancel_frame(number))
        allow_client_reads.set()
        assert sorted(caller.read_answer()[0] for _ in range(5)) == [1, 3, 4, 6, 7]
        assert sorted(int(fields["name"], 16) for _, _, fields, _ in running.commands()) == [
            1,
            3,
            4,
            6,
            7,
        ]
        unreadable, well = call_frame("forget", 0, b"\x0b", 4), call_frame("isWell", 9, b"\0")
        caller.socket.sendall(cancel_frame(1) + unreadable + well)
        assert caller.read_answer()[:2] == (
            9,
            0,
        )  # one that is over, one that can't be read: no harm


def test_call_is_in_system_buffer_or_pending_at_every_moment(monkeypatch):
    # Guards against an end between the bytes' leaving the system's buffer and the call's arrival in
    # the list.
    answer = threading.Event()
    go = hold_calls(
        monkeypatch, FrameDecoder, "decode", lambda *_: threading.current_thread().name == "client"
    )
    with RunningDirector(lambda fields: answer.wait(10.0) and HIT_ANSWER) as running:
        caller = running.connect_client()
        caller.send()
        assert go.reached.wait(5.0)
        (client,) = running.director.listener.clients
        ended = []
        ender = threading.Thread(target=lambda: ended.append(client.close_if_idle()))
        ender.start()
        time.sleep(0.05)  # an end that does not wait for the reader has happened by now
        go.set()
        ender.join()
        answer.set()  # not before: once it is answered, it may be ended
        assert ended == [False] and caller.read_answer()[:2] == (1, 0)


def test_time_that_call_waits_behind_others_is_taken_off_its_deadline(monkeypatch):
    go = hold_calls(monkeypatch, RequestHandler, "handle_call")
    with RunningDirector(None) as running:
        caller = running.connect_client()
        caller.send(patience="2000")
        assert wait_for(lambda: running.director.listener.clients)
        time.sleep(0.3)
        go.set()
        attempt = wait_for_attempt(running)
        assert attempt.request.deadline - attempt.request.arrived_at < 1750.0


@pytest.mark.parametrize(
    ("called", "halfway", "owes", "after", "late"),
    [
        (False, 0.0, False, 1.5, False),
        (False, 0.0, False, 2.5, True),
        (False, 900.0, False, 2.5, True),  # a call that comes byte by byte
        (True, 0.0, False, 4.5, False),
        (True, 0.0, False, 6.5, True),
        (True, 0.0, True, 6.5, False),
        (True, 1003.0, False, 5.0, False),
        (True, 1003.0, False, 6.5, True),
    ],
)
def test_connection_is_overdue_after_its_timeout(called, halfway, owes, after, late):
    held = client_connection.ClientConnection(None)
    held.has_called, held.partial_call_since, held.last_used_at = called, halfway, 1000.0
    held.open_requests = {1: None} if owes else {}
    assert held.is_overdue(1000.0 + after) == late

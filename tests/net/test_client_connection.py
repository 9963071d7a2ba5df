"""A client's calls, cancellations and leaving, in every order; the tests hold threads back."""

import socket
import struct
import threading
import time

import pytest
from helpers import (
    HIT,
    WELL,
    Running,
    call_frame,
    cancel_frame,
    held_back,
    serve_frame,
    wait_for,
    waiting_attempt,
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
def test_no_request_begins_for_client_that_sent_many_and_left(calls, reading):
    # Guards against attempts that begin long after the client that they are for has closed its
    # connection.
    with Running() as director:
        leaver, stayer = director.caller(), director.caller()
        for number in range(calls):
            leaver.send("order", entity=f"{number:016x}")
        leaver.close()
        stayer.send(entity="00000000000000cd")
        reading.set()
        assert stayer.answer()[:2] == (1, 0)
        assert wait_for(lambda: len(director.service.listener.clients) == 1)
        assert [fields["name"][-2:] for _, _, fields, _ in director.heard()] == ["cd"]


LEAVES = {
    "closes": lambda caller: caller.close(),
    "cancels": lambda caller: caller.socket.sendall(cancel_frame(1)),
    "cancels behind a call": lambda caller: caller.socket.sendall(WELL + cancel_frame(1)),
    "closes behind a call": lambda caller: (caller.socket.sendall(WELL), caller.close()),
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
    read = held_back(monkeypatch, ClientConnection, "read_calls", lambda client: client.has_called)
    stays = {
        "calls": lambda caller: caller.socket.sendall(WELL),
        "cancels another": lambda caller: caller.socket.sendall(cancel_frame(2)),
    }

    with Running(lambda fields: left.wait(5.0) and FULL) as director:
        caller = director.caller()
        caller.send()
        assert wait_for(director.heard)
        (LEAVES | stays)[how](caller)
        (client,) = director.service.listener.clients
        assert wait_for(lambda: client._peek() is not None)
        left.set()
        assert wait_for(lambda: not director.service.coordinator.pending_count())
        assert (len(director.heard()) == 1) is (how in LEAVES)
        read.set()


@pytest.mark.parametrize("how", ["forget", "close"])
def test_nothing_is_sent_for_client_that_left_while_its_request_waited_for_the_coordinator(how):
    # Its request has been read; then its thread waits, for the module here, or for the core.
    with Running() as director:
        caller, other = director.caller(), director.caller()
        other.send()
        assert other.answer()[:2] == (1, 0)  # the link is up
        with director.service.coordinator.lock:
            caller.send()
            assert wait_for(
                lambda: any(client.open_requests for client in director.service.listener.clients)
            )
            if how == "forget":
                caller.socket.sendall(cancel_frame(1))
            else:
                caller.close()
            time.sleep(2.0 * connection_module.RECENT_READ_S)
        assert wait_for(lambda: not director.service.coordinator.pending_count())
        other.send(entity="00000000000000cd")
        assert other.answer()[:2] == (2, 0)
        assert [fields["name"][-2:] for _, _, fields, _ in director.heard()] == ["ab", "cd"]


def test_cancellation_that_is_read_and_not_handled_yet_prevents_retry(monkeypatch):
    left = threading.Event()
    go = held_back(
        monkeypatch,
        RequestHandler,
        "handle_call",
        lambda front, client, call: call.method == "forget",
    )
    with Running(lambda fields: left.wait(5.0) and FULL) as director:
        caller = director.caller()
        caller.send()
        assert wait_for(director.heard)
        caller.socket.sendall(cancel_frame(1))
        (client,) = director.service.listener.clients
        assert wait_for(lambda: client.pending_calls)
        left.set()
        assert wait_for(lambda: not director.service.coordinator.pending_count())
        assert len(director.heard()) == 1
        go.set()


@pytest.mark.parametrize("together", [True, False])
@pytest.mark.parametrize(
    "wrong", [b"\xff\xff\xff\xff" * 20, b"\0\0\0\x05hello", b"\x7f\xff\xff\xff"]
)
def test_request_before_unreadable_bytes_is_answered(wrong, together):
    # Guards against a request that is lost with the rest of its connection, and an answer that a
    # reset over unread bytes takes along.
    answer = threading.Event()
    with Running(lambda fields: answer.wait(5.0) and HIT) as director:
        caller = director.caller()
        whole = serve_frame(
            7, {"route": "pages", "trace": "e" * 16, "patience": "3000", "entity": "ab" * 8}
        )
        caller.socket.sendall(whole + wrong if together else whole)
        assert wait_for(director.heard)
        if not together:
            caller.socket.sendall(wrong)
        (client,) = director.service.listener.clients
        assert wait_for(lambda: client.framing_error)
        caller.socket.sendall(wrong)
        answer.set()
        assert caller.answer() == (7, 0, {}, b"bytes")
        with pytest.raises(EOFError):
            caller.answer()
        assert wait_for(lambda: not director.service.listener.clients)  # though it does not close


def test_client_that_sends_unreadable_bytes_and_leaves_is_not_waited_for():
    with Running(None) as director:
        caller = director.caller()
        caller.send()
        assert wait_for(director.heard)
        caller.socket.sendall(b"\xff" * 100)
        caller.close()
        assert wait_for(lambda: not director.service.listener.clients, 1.0)
        assert not director.service.coordinator.pending_count()


def test_result_that_comes_before_request_is_registered_is_answered_once(monkeypatch):
    # Guards against an answer that finds no number to go to, and a number that is owed for ever.
    take = RequestCoordinator.accept

    def taken(coordinator, *arguments, **named):
        request = take(coordinator, *arguments, **named)
        other = threading.Thread(
            target=lambda: [
                director.service.request_handler.run_request(still)
                for still in coordinator.finish_pending_requests()
            ]
        )
        other.start()
        other.join()
        return request

    monkeypatch.setattr(RequestCoordinator, "accept", taken)
    with Running() as director:
        caller = director.caller()
        caller.send()
        assert caller.answer()[:2] == (1, 1)
        caller.socket.sendall(WELL)
        assert caller.answer()[:2] == (1, 0)  # and nothing between
        assert (
            not director.service.listener.has_pending_writes()
            and not director.service.coordinator.pending_count()
        )


def test_call_is_not_begun_where_its_cancellation_has_come_behind_it(reading):
    with Running() as director:
        caller = director.caller()
        for number in range(1, 9):
            caller.send(entity=f"{number:016x}")
        for number in (2, 5, 8):
            caller.socket.sendall(cancel_frame(number))
        reading.set()
        assert sorted(caller.answer()[0] for _ in range(5)) == [1, 3, 4, 6, 7]
        assert sorted(int(fields["name"], 16) for _, _, fields, _ in director.heard()) == [
            1,
            3,
            4,
            6,
            7,
        ]
        unreadable, well = call_frame("forget", 0, b"\x0b", 4), call_frame("isWell", 9, b"\0")
        caller.socket.sendall(cancel_frame(1) + unreadable + well)
        assert caller.answer()[:2] == (9, 0)  # one that is over, one that can't be read: no harm


def test_call_is_in_system_buffer_or_pending_at_every_moment(monkeypatch):
    # Guards against an end between the bytes' leaving the system's buffer and the call's arrival in
    # the list.
    answer = threading.Event()
    go = held_back(
        monkeypatch, FrameDecoder, "decode", lambda *_: threading.current_thread().name == "client"
    )
    with Running(lambda fields: answer.wait(10.0) and HIT) as director:
        caller = director.caller()
        caller.send()
        assert go.met.wait(5.0)
        (client,) = director.service.listener.clients
        ended = []
        ender = threading.Thread(target=lambda: ended.append(client.close_if_idle()))
        ender.start()
        time.sleep(0.05)  # an end that does not wait for the reader has happened by now
        go.set()
        ender.join()
        answer.set()  # not before: once it is answered, it may be ended
        assert ended == [False] and caller.answer()[:2] == (1, 0)


def test_time_that_call_waits_behind_others_is_taken_off_its_deadline(monkeypatch):
    go = held_back(monkeypatch, RequestHandler, "handle_call")
    with Running(None) as director:
        caller = director.caller()
        caller.send(patience="2000")
        assert wait_for(lambda: director.service.listener.clients)
        time.sleep(0.3)
        go.set()
        attempt = waiting_attempt(director)
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

"""Client connections: calls, cancellations and disconnects that race with other threads.

The tests block threads at chosen points to produce the races.
"""

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
from mulleinrelay.net.client_connection import ClientConnection
from mulleinrelay.net.request_handler import RequestHandler
from mulleinrelay.net.thrift import FrameDecoder

pytestmark = pytest.mark.usefixtures("short_drains", "long_timeouts")

REJECTED_ANSWER = (b"WAIT", b"-", b"")


@pytest.mark.parametrize("call_count", [20, 300])  # fewer and more calls than can be read ahead
def test_no_request_starts_for_client_that_sent_many_and_disconnected(
    call_count, allow_client_reads
):
    # The director reads the calls only after the client has closed its connection. It must not send
    # attempts for these calls.
    with RunningDirector() as running:
        leaving_client, staying_client = running.connect_client(), running.connect_client()
        for number in range(call_count):
            leaving_client.send("order", entity=f"{number:016x}")
        leaving_client.close()
        staying_client.send(entity="00000000000000cd")
        allow_client_reads.set()
        assert staying_client.read_answer()[:2] == (1, 0)
        assert wait_for(lambda: len(running.director.listener.clients) == 1)
        assert [fields["name"][-2:] for _, _, fields, _ in running.commands()] == ["cd"]


LEAVE_ACTIONS = {
    "closes": lambda client: client.close(),
    "cancels": lambda client: client.socket.sendall(cancel_frame(1)),
    "cancels after a call": lambda client: client.socket.sendall(IS_WELL_CALL + cancel_frame(1)),
    "closes after a call": lambda client: (client.socket.sendall(IS_WELL_CALL), client.close()),
    "resets": lambda client: (
        client.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)),
        client.close(),
    ),
}


@pytest.mark.parametrize("action", [*LEAVE_ACTIONS, "calls", "cancels another"])
def test_no_retry_starts_if_disconnect_or_cancellation_is_still_unread(action, monkeypatch):
    # The thread of an upstream connection retries a rejected attempt. If the director is short of
    # CPU time, this may happen before the client's thread reads the disconnect or the cancellation.
    has_left = threading.Event()
    resume_reading = hold_calls(
        monkeypatch, ClientConnection, "wait_for_input", lambda connection: connection.has_called
    )
    stay_actions = {
        "calls": lambda client: client.socket.sendall(IS_WELL_CALL),
        "cancels another": lambda client: client.socket.sendall(cancel_frame(2)),
    }

    with RunningDirector(lambda fields: has_left.wait(5.0) and REJECTED_ANSWER) as running:
        client = running.connect_client()
        client.send()
        assert wait_for(running.commands)
        (LEAVE_ACTIONS | stay_actions)[action](client)
        (connection,) = running.director.listener.clients
        assert wait_for(lambda: connection._peek() is not None)
        has_left.set()
        assert wait_for(lambda: not running.director.coordinator.pending_count())
        assert (len(running.commands()) == 1) is (action in LEAVE_ACTIONS)
        resume_reading.set()


@pytest.mark.parametrize("leave_action", ["forget", "close"])
def test_nothing_is_sent_if_client_leaves_while_its_request_waits_for_the_coordinator(leave_action):
    # The request was read, but the thread that starts it is delayed: here by the coordinator's
    # lock, in production possibly by a lack of CPU time. The client leaves meanwhile.
    with RunningDirector() as running:
        client, other_client = running.connect_client(), running.connect_client()
        other_client.send()
        assert other_client.read_answer()[:2] == (1, 0)  # the upstream connection is open
        with running.director.coordinator.lock:
            client.send()
            assert wait_for(
                lambda: any(
                    connection.open_requests for connection in running.director.listener.clients
                )
            )
            if leave_action == "forget":
                client.socket.sendall(cancel_frame(1))
            else:
                client.close()
            time.sleep(2.0 * client_connection.RECENT_READ_S)
        assert wait_for(lambda: not running.director.coordinator.pending_count())
        other_client.send(entity="00000000000000cd")
        assert other_client.read_answer()[:2] == (2, 0)
        assert [fields["name"][-2:] for _, _, fields, _ in running.commands()] == ["ab", "cd"]


def test_cancellation_that_is_read_but_not_handled_prevents_retry(monkeypatch):
    # A retry must not be sent after the client's thread has read the cancellation of the request,
    # even if the thread has not handled the cancellation yet.
    has_left = threading.Event()
    resume = hold_calls(
        monkeypatch,
        RequestHandler,
        "handle_call",
        lambda handler, connection, call: call.method == "forget",
    )
    with RunningDirector(lambda fields: has_left.wait(5.0) and REJECTED_ANSWER) as running:
        client = running.connect_client()
        client.send()
        assert wait_for(running.commands)
        client.socket.sendall(cancel_frame(1))
        (connection,) = running.director.listener.clients
        assert wait_for(lambda: connection.pending_calls)
        has_left.set()
        assert wait_for(lambda: not running.director.coordinator.pending_count())
        assert len(running.commands()) == 1
        resume.set()


@pytest.mark.parametrize("is_sent_together", [True, False])
@pytest.mark.parametrize(
    "invalid_bytes", [b"\xff\xff\xff\xff" * 20, b"\0\0\0\x05hello", b"\x7f\xff\xff\xff"]
)
def test_request_before_unreadable_bytes_is_answered(invalid_bytes, is_sent_together):
    # The request must not be lost together with the invalid bytes, and the answer must not be lost
    # by a connection reset that unread bytes cause.
    may_answer = threading.Event()
    with RunningDirector(lambda fields: may_answer.wait(5.0) and HIT_ANSWER) as running:
        client = running.connect_client()
        request_frame = serve_frame(
            7, {"route": "pages", "trace": "e" * 16, "patience": "3000", "entity": "ab" * 8}
        )
        client.socket.sendall(request_frame + invalid_bytes if is_sent_together else request_frame)
        assert wait_for(running.commands)
        if not is_sent_together:
            client.socket.sendall(invalid_bytes)
        (connection,) = running.director.listener.clients
        assert wait_for(lambda: connection.framing_error)
        client.socket.sendall(invalid_bytes)
        may_answer.set()
        assert client.read_answer() == (7, 0, {}, b"bytes")
        with pytest.raises(EOFError):
            client.read_answer()
        # The connection is removed although the client does not close its side.
        assert wait_for(lambda: not running.director.listener.clients)


def test_client_that_sends_unreadable_bytes_and_disconnects_is_removed():
    # After unreadable bytes, the director waits until open requests are answered. The wait must end
    # when the client disconnects.
    with RunningDirector(None) as running:
        client = running.connect_client()
        client.send(patience="6000")  # longer than the wait until the client is removed
        assert wait_for(running.commands)
        client.socket.sendall(b"\xff" * 100)
        client.close()
        assert wait_for(lambda: not running.director.listener.clients)
        assert not running.director.coordinator.pending_count()


def test_result_before_request_is_registered_is_answered_once(monkeypatch):
    # Another thread finishes the request before the client's thread has stored it in
    # `open_requests`. The answer must not be dropped, and the request must not stay open forever.
    accept = RequestCoordinator.accept

    def accept_and_finish(coordinator, *arguments, **keywords):
        request = accept(coordinator, *arguments, **keywords)
        finisher = threading.Thread(
            target=lambda: [
                running.director.request_handler.run_request(pending_request)
                for pending_request in coordinator.finish_pending_requests()
            ]
        )
        finisher.start()
        finisher.join()
        return request

    monkeypatch.setattr(RequestCoordinator, "accept", accept_and_finish)
    with RunningDirector() as running:
        client = running.connect_client()
        client.send()
        assert client.read_answer()[:2] == (1, 1)
        client.socket.sendall(IS_WELL_CALL)
        assert client.read_answer()[:2] == (1, 0)  # no other answer before it
        assert (
            not running.director.listener.has_pending_writes()
            and not running.director.coordinator.pending_count()
        )


def test_call_is_not_started_if_its_cancellation_was_received_after_it(allow_client_reads):
    with RunningDirector() as running:
        client = running.connect_client()
        for number in range(1, 9):
            client.send(entity=f"{number:016x}")
        for number in (2, 5, 8):
            client.socket.sendall(cancel_frame(number))
        allow_client_reads.set()
        assert sorted(client.read_answer()[0] for _ in range(5)) == [1, 3, 4, 6, 7]
        assert sorted(int(fields["name"], 16) for _, _, fields, _ in running.commands()) == [
            1,
            3,
            4,
            6,
            7,
        ]
        unreadable_call, health_call = (
            call_frame("forget", 0, b"\x0b", 4),
            call_frame("isWell", 9, b"\0"),
        )
        client.socket.sendall(cancel_frame(1) + unreadable_call + health_call)
        # Cancellations of finished calls and invalid cancellations are not answered.
        assert client.read_answer()[:2] == (9, 0)


def test_call_is_in_receive_buffer_or_pending_at_every_moment(monkeypatch):
    # An idle connection must not be closed after the bytes of a call were read from the kernel's
    # buffer and before the call is queued.
    may_answer = threading.Event()
    resume_decoding = hold_calls(
        monkeypatch, FrameDecoder, "decode", lambda *_: threading.current_thread().name == "client"
    )
    with RunningDirector(lambda fields: may_answer.wait(10.0) and HIT_ANSWER) as running:
        client = running.connect_client()
        client.send()
        assert resume_decoding.reached.wait(5.0)
        (connection,) = running.director.listener.clients
        close_results = []
        closer = threading.Thread(target=lambda: close_results.append(connection.close_if_idle()))
        closer.start()
        time.sleep(0.05)  # a close that does not wait for the reading thread would be done by now
        resume_decoding.set()
        closer.join()
        may_answer.set()  # not earlier, because the connection may be closed after the answer
        assert close_results == [False] and client.read_answer()[:2] == (1, 0)


def test_time_in_queue_is_deducted_from_the_deadline(monkeypatch):
    resume = hold_calls(monkeypatch, RequestHandler, "handle_call")
    with RunningDirector(None) as running:
        client = running.connect_client()
        client.send(patience="2000")
        assert resume.reached.wait(10.0)  # the call was read
        time.sleep(0.3)
        resume.set()
        attempt = wait_for_attempt(running)
        assert attempt.request.deadline - attempt.request.arrived_at < 1750.0


@pytest.mark.parametrize(
    ("has_called", "partial_call_since", "has_open_request", "elapsed_s", "is_overdue"),
    [
        (False, 0.0, False, 1.5, False),
        (False, 0.0, False, 2.5, True),
        # The first call is incomplete; its first bytes were received at 900 s.
        (False, 900.0, False, 2.5, True),
        (True, 0.0, False, 4.5, False),
        (True, 0.0, False, 6.5, True),
        (True, 0.0, True, 6.5, False),
        (True, 1003.0, False, 5.0, False),
        (True, 1003.0, False, 6.5, True),
    ],
)
def test_connection_is_overdue_after_its_timeout(
    has_called, partial_call_since, has_open_request, elapsed_s, is_overdue
):
    connection = client_connection.ClientConnection(None)
    connection.has_called, connection.partial_call_since, connection.last_used_at = (
        has_called,
        partial_call_since,
        1000.0,
    )
    connection.open_requests = {1: None} if has_open_request else {}
    assert connection.is_overdue(1000.0 + elapsed_s) == is_overdue

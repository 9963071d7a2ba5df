"""The event stream: silence, gaps and new addresses."""

import errno
import socket
import threading
import time
from dataclasses import replace
from types import SimpleNamespace

import pytest
from helpers import (
    PURGE,
    RESPONSE_HEAD,
    RunningDirector,
    StandInEventStream,
    endpoint_list_update,
    hold_calls,
    stream_event,
    wait_for,
)

from mulleinrelay.net import stream_connection
from mulleinrelay.net.event_stream import EventStream
from mulleinrelay.policy import stream_hedging
from mulleinrelay.policy.model import EndpointState

pytestmark = pytest.mark.usefixtures("short_drains", "long_timeouts")


def test_accept_loop_and_event_stream_go_on_after_lack_of_descriptors(monkeypatch):
    event_stream_server, failures = (
        StandInEventStream([RESPONSE_HEAD, None], [RESPONSE_HEAD, stream_event(2, PURGE), None]),
        [],
    )

    def fail(*_, **__):
        failures.append(1)
        raise OSError(errno.EMFILE, "too many open files")

    with RunningDirector(event_stream=event_stream_server) as running:
        listener, stream, client = (
            running.director.listener,
            running.director.event_stream,
            running.connect_client(),
        )
        listening_socket, listener.listener = listener.listener, SimpleNamespace(accept=fail)
        with monkeypatch.context() as context:
            context.setattr(
                stream_connection,
                "socket",
                SimpleNamespace(socket=fail, AF_INET=0, SOCK_STREAM=0, SHUT_RDWR=socket.SHUT_RDWR),
            )
            client.send()  # connections that are already open are still served
            assert client.read_answer()[:2] == (1, 0)
            stream.reconnect_to(stream.address)
            assert wait_for(lambda: len(failures) >= 4)
        listener.listener = listening_socket
        other_client = running.connect_client()
        other_client.send(entity="00000000000000cd")
        assert other_client.read_answer()[:2] == (1, 0) and wait_for(
            lambda: stream.last_event_number == 2
        )


class TricklingEventStream(StandInEventStream):
    """Stand-in whose first connection sends `first_bytes` and then single bytes.

    Its other connections follow the scripts.
    """

    first_bytes = b""

    def serve_connection(self, connection):
        if connection is not self.connections[0]:
            return super().serve_connection(connection)
        connection.sendall(self.first_bytes)
        while True:
            connection.sendall(b"x")
            time.sleep(0.02)


@pytest.mark.parametrize(
    "first_bytes",
    [b"", b"HTTP/1.1 200 OK\r\nx: ", RESPONSE_HEAD, RESPONSE_HEAD + b": well\n\ndata: "],
)
def test_stream_that_sends_bytes_but_no_line_is_closed(first_bytes, monkeypatch):
    # If the connection stayed open while a response head or a line trickles in, the director would
    # receive no drains.
    for name, timeout_s in (
        ("SILENCE_TIMEOUT_S", 0.2),
        ("HEAD_TIMEOUT_S", 0.3),
        ("LINE_TIMEOUT_S", 0.4),
    ):
        monkeypatch.setattr(stream_hedging, name, timeout_s)
    # Each connection takes one script. The script is repeated, because the timeouts are so short
    # that the director may close a connection before it has received the event.
    stand_in = TricklingEventStream(*[[RESPONSE_HEAD, stream_event(2, PURGE), None]] * 9)
    stand_in.first_bytes = first_bytes
    with RunningDirector(event_stream=stand_in) as running:
        assert wait_for(lambda: running.director.event_stream.last_event_number == 2, 10.0)
        # The number is stored before the event is applied.
        assert wait_for(lambda: running.director.coordinator.active_purge_count() == 1)


def ready_cache_names(running):
    """Return the names of the ready caches of the director's zone."""
    return {name for name, _, _ in running.director.coordinator.ready_caches()}


def test_drain_is_received_after_three_silent_connections():
    # A drain must be obeyed within 7 s of its announcement, even if three connections in a row are
    # silent. The timeouts and the backoff are those of the program.
    with RunningDirector(
        event_stream=StandInEventStream([RESPONSE_HEAD, None], [None], [None])
    ) as running:
        announced_at = time.monotonic()
        running.event_stream.scripts.append(
            [
                RESPONSE_HEAD,
                stream_event(2, endpoint_list_update(running, "DRAINING", "s-01", "s-02")),
                None,
            ]
        )
        assert wait_for(lambda: ready_cache_names(running) == {"s-03"}, 15.0)
        assert time.monotonic() - announced_at < 7.0
        assert running.director.event_stream.last_event_number == 2
        for number in range(12):
            running.connect_client().send(entity=f"{number:016x}")
        assert wait_for(lambda: len(running.commands()) == 12)
        assert not running.endpoints[0].commands and not running.endpoints[1].commands


@pytest.mark.parametrize(("number", "is_applied"), [(1, False), (2, True), (9, True)])
def test_full_snapshot_is_applied_only_if_it_is_newer(number, is_applied):
    # An outdated snapshot must not replace newer updates, and a purge after the snapshot must not
    # be lost.
    with RunningDirector(event_stream=StandInEventStream()) as running:
        snapshot = stream_event(
            number, endpoint_list_update(running, "SERVING", "s-03", "s-11", "s-21", full=True)
        )
        # Later connections take these scripts, one each.
        assert wait_for(lambda: running.event_stream.last_event_ids)
        running.event_stream.scripts += [
            [RESPONSE_HEAD, snapshot],
            [RESPONSE_HEAD, snapshot, stream_event(number + 1, PURGE), None],
        ]
        running.director.event_stream.reconnect_to(running.director.event_stream.address)
        assert wait_for(lambda: running.director.event_stream.last_event_number == number + 1)
        expected_names = {"s-03"} if is_applied else {"s-01", "s-02", "s-03"}
        assert ready_cache_names(running) == expected_names


@pytest.mark.parametrize("event_kind", ["drain", "full snapshot", "purge"])
def test_restrictions_after_a_gap_are_applied_before_the_missing_events(event_kind, monkeypatch):
    # The grace period of a restriction must not expire while the missing events are requested.
    monkeypatch.setattr(stream_hedging, "HEAD_TIMEOUT_S", 60.0)  # the missing events are sent late
    monkeypatch.setattr(stream_hedging, "SILENCE_TIMEOUT_S", 60.0)
    missing_requested, send_missing = threading.Event(), threading.Event()

    class PausedEventStream(StandInEventStream):
        def serve_connection(self, connection):
            if len(self.last_event_ids) == 2:
                missing_requested.set()
                send_missing.wait(10.0)
            super().serve_connection(connection)

    with RunningDirector(event_stream=PausedEventStream()) as running:
        coordinator = running.director.coordinator
        assert wait_for(lambda: running.event_stream.last_event_ids)
        is_full_snapshot = event_kind == "full snapshot"
        update = endpoint_list_update(running, "DRAINING", "s-01", full=is_full_snapshot)
        update["topology"]["servers"] += endpoint_list_update(running, "SERVING", "s-03")[
            "topology"
        ]["servers"]
        events_after_gap = [
            stream_event(3, PURGE if event_kind == "purge" else update),
            stream_event(4, PURGE),
        ]
        running.event_stream.scripts += [
            [RESPONSE_HEAD, b"".join(events_after_gap)],
            [RESPONSE_HEAD, stream_event(2, PURGE), *events_after_gap, None],
        ]
        running.director.event_stream.reconnect_to(running.director.event_stream.address)
        assert missing_requested.wait(5.0)
        assert (
            running.director.event_stream.last_event_number == 1
            and coordinator.active_purge_count() == 1
        )
        if event_kind != "purge":
            assert "s-01" not in ready_cache_names(running)
        send_missing.set()
        assert wait_for(lambda: running.director.event_stream.last_event_number == 4)


@pytest.mark.parametrize(
    ("numbers", "last_number", "is_drained"),
    [([1, 2], 2, True), ([2], 2, True), ([3], 1, True), ([1], 1, False), ([None], 1, False)],
)
def test_events_of_new_configuration_are_applied_while_the_stream_is_silent(
    numbers, last_number, is_drained
):
    # Drains in a new configuration must be applied at once. Old or unnumbered events are skipped.
    # If events are missing before an event, only its restrictions are applied, and the missing
    # events are requested from the stream.
    with RunningDirector(
        event_stream=StandInEventStream([RESPONSE_HEAD, None], [RESPONSE_HEAD, None])
    ) as running:
        stream = running.director.event_stream
        known_events = [
            endpoint_list_update(running, "DRAINING", "s-01")
            | ({} if number is None else {"offset": number})
            for number in numbers
        ]
        running.director.reload(replace(running.director.config, known_events=known_events))
        assert wait_for(lambda: len(running.event_stream.last_event_ids) == 2)
        assert running.event_stream.last_event_ids[1] == stream.last_event_number == last_number
        assert ("s-01" not in ready_cache_names(running)) is is_drained


def test_drain_with_only_the_endpoint_name_is_applied():
    with RunningDirector(event_stream=StandInEventStream()) as running:
        coordinator = running.director.coordinator
        assert wait_for(lambda: running.event_stream.last_event_ids)
        update = {"topology": {"version": 2, "servers": [{"id": "s-01", "state": "DRAINING"}]}}
        running.event_stream.scripts.append([RESPONSE_HEAD, stream_event(2, update), None])
        running.director.event_stream.reconnect_to(running.director.event_stream.address)
        assert wait_for(lambda: running.director.event_stream.last_event_number == 2)
        # The number is stored before the event is applied.
        assert wait_for(lambda: ready_cache_names(running) == {"s-02", "s-03"})
        assert (
            coordinator.endpoint_updates["s-01"].state == EndpointState.DRAINING
            and coordinator.endpoint_updates["s-01"].address[1]
        )


def test_new_address_is_followed_while_the_old_one_is_being_connected_to(monkeypatch):
    new_stream = StandInEventStream([RESPONSE_HEAD, stream_event(3, PURGE), None])
    host, port = new_stream.address.split(":")
    new_address = (host, int(port))
    allow_connecting = hold_calls(
        monkeypatch, EventStream, "_open", lambda _, address: address != new_address
    )
    with RunningDirector() as running:
        drain = endpoint_list_update(running, "DRAINING", "s-01") | {"offset": 2}
        running.director.reload(
            replace(running.director.config, event_stream_address=new_address, known_events=[drain])
        )
        # The drain's grace period has begun, so the drain is applied although the stream's thread
        # is blocked.
        assert running.director.coordinator.endpoint_updates["s-01"].state == EndpointState.DRAINING
        allow_connecting.set()
        assert wait_for(lambda: running.director.event_stream.last_event_number == 3)
    assert new_stream.last_event_ids == [2]
    new_stream.close()


def test_unreadable_configuration_does_not_end_the_stream():
    with RunningDirector(event_stream=StandInEventStream()) as running:
        stream = running.director.event_stream
        stream.read_configured_address = lambda: 1 / 0
        stream.reconnect_backoff.begin_lookup_if_due = lambda now: True
        # Each connection takes one script. The script is repeated, because `reconnect_to` may close
        # a connection that has just taken one.
        running.event_stream.scripts += [[RESPONSE_HEAD, stream_event(2, PURGE), None]] * 9
        stream.reconnect_to(stream.address)
        assert wait_for(
            lambda: stream.last_event_number == 2 and "fault" in running.log.event_names
        )


class SlowEventStream(StandInEventStream):
    """Event stream that is as slow on each connection, whichever script the connection gets."""

    def __init__(self, head_delay_s, line_delay_s=0.0, byte_delay_s=0.0):
        self.head_delay_s, self.line_delay_s = head_delay_s, line_delay_s
        self.byte_delay_s, self.event, self.open_count, self.most_open = byte_delay_s, b"", 0, 0
        super().__init__()

    def serve_connection(self, connection):
        self.open_count += 1
        self.most_open = max(self.most_open, self.open_count)
        try:
            connection.recv(4096)
            time.sleep(self.head_delay_s)
            connection.sendall(RESPONSE_HEAD)
            time.sleep(self.line_delay_s)
            for byte in self.event:
                connection.sendall(bytes((byte,)))
                time.sleep(self.byte_delay_s)
            while True:
                connection.sendall(b":\n\n")
                time.sleep(0.2)
        finally:
            self.open_count -= 1


@pytest.mark.parametrize(
    ("head_delay_s", "line_delay_s", "byte_delay_s"),
    [(2.0, 0.0, 0.0), (0.0, 3.5, 0.0), (1.7, 2.8, 0.0), (0.0, 0.0, 0.03)],
)
def test_drain_is_received_from_a_server_that_is_slow_on_each_connection(
    head_delay_s, line_delay_s, byte_delay_s, monkeypatch
):
    # Guards against a timeout that begins again with each connection: a server that always needs
    # longer was never heard. The timeouts are those of the program, but for the one of a line.
    monkeypatch.setattr(stream_hedging, "LINE_TIMEOUT_S", 2.0)
    stand_in = SlowEventStream(head_delay_s, line_delay_s, byte_delay_s)
    with RunningDirector(event_stream=stand_in) as running:
        stand_in.event = stream_event(2, endpoint_list_update(running, "DRAINING", "s-01"))
        stream = running.director.event_stream
        stream.reconnect_to(stream.address)
        assert wait_for(lambda: ready_cache_names(running) == {"s-02", "s-03"}, 15.0)
        assert stand_in.most_open <= stream_hedging.MAX_CONNECTIONS + 1
        # All connections but the one that has delivered the event are closed.
        assert wait_for(lambda: stand_in.open_count == 1, 10.0)


def test_move_is_obeyed_while_several_connections_wait_for_a_response_head(monkeypatch):
    # Guards against a thread that still waits for the old address, and against open connections.
    monkeypatch.setattr(stream_hedging, "HEAD_TIMEOUT_S", 0.1)
    old = SlowEventStream(60.0)
    new = StandInEventStream([RESPONSE_HEAD, stream_event(2, PURGE), None])
    with RunningDirector(event_stream=old) as running:
        stream = running.director.event_stream
        assert wait_for(lambda: old.open_count >= 3)
        host, port = new.address.split(":")
        stream.reconnect_to((host, int(port)))
        assert wait_for(lambda: stream.last_event_number == 2)
        assert len(stream.connections) == 1
    new.close()

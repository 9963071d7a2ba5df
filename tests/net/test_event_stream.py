"""The event stream: silence, gaps, new addresses."""

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

from mulleinrelay.net import event_stream
from mulleinrelay.policy.model import EndpointState

pytestmark = pytest.mark.usefixtures("short_drains")


def test_accept_loop_and_event_stream_go_on_after_lack_of_descriptors(monkeypatch):
    bus_at, tries = (
        StandInEventStream([RESPONSE_HEAD, None], [RESPONSE_HEAD, stream_event(2, PURGE), None]),
        [],
    )

    def short(*_, **__):
        tries.append(1)
        raise OSError(errno.EMFILE, "too many open files")

    with RunningDirector(event_stream=bus_at) as running:
        front, stream, caller = (
            running.director.listener,
            running.director.event_stream,
            running.connect_client(),
        )
        listener, front.listener = front.listener, SimpleNamespace(accept=short)
        with monkeypatch.context() as held:
            held.setattr(
                event_stream,
                "socket",
                SimpleNamespace(create_connection=short, SHUT_RDWR=socket.SHUT_RDWR),
            )
            caller.send()  # it was accepted before, and is served all the while
            assert caller.read_answer()[:2] == (1, 0)
            stream.reconnect_to(stream.address)
            assert wait_for(lambda: len(tries) >= 4)
        front.listener = listener
        other = running.connect_client()
        other.send(entity="00000000000000cd")
        assert other.read_answer()[:2] == (1, 0) and wait_for(lambda: stream.last_event_number == 2)


class Trickles(StandInEventStream):
    """Its first connection says `said`, then one byte after the other; the others are well."""

    said = b""

    def serve_connection(self, connection):
        if len(self.connections) > 1:
            return super().serve_connection(connection)
        connection.sendall(self.said)
        while True:
            connection.sendall(b"x")
            time.sleep(0.02)


@pytest.mark.parametrize(
    "said", [b"", b"HTTP/1.1 200 OK\r\nx: ", RESPONSE_HEAD, RESPONSE_HEAD + b": well\n\ndata: "]
)
def test_stream_that_brings_bytes_and_no_line_is_left(said, monkeypatch):
    # Guards against drains that are never heard of while a head or a line trickles in.
    for name, seconds in (
        ("SILENCE_TIMEOUT_S", 0.2),
        ("HEAD_TIMEOUT_S", 0.3),
        ("LINE_TIMEOUT_S", 0.4),
    ):
        monkeypatch.setattr(event_stream, name, seconds)
    stand = Trickles([RESPONSE_HEAD, stream_event(2, PURGE), None])
    stand.said = said
    with RunningDirector(event_stream=stand) as running:
        assert wait_for(lambda: running.director.event_stream.last_event_number == 2)
        assert running.director.coordinator.active_purge_count() == 1


def test_drain_is_received_though_three_connections_in_a_row_are_silent(monkeypatch):
    # What is told counts after 7 s: the waits are those of the program, a tenth as long.
    for name in ("SILENCE_TIMEOUT_S", "HEAD_TIMEOUT_S", "LINE_TIMEOUT_S"):
        monkeypatch.setattr(event_stream, name, getattr(event_stream, name) / 10.0)
    with RunningDirector(
        event_stream=StandInEventStream([RESPONSE_HEAD, None], [None], [None])
    ) as running:
        running.director.event_stream.reconnect_backoff.record_end = lambda *_: 0.01
        running.event_stream.scripts.append(
            [
                RESPONSE_HEAD,
                stream_event(2, endpoint_list_update(running, "DRAINING", "s-01", "s-02")),
                None,
            ]
        )
        begun = time.monotonic()
        assert wait_for(lambda: running.director.event_stream.last_event_number == 2)
        assert time.monotonic() - begun < 0.7
        for number in range(12):
            running.connect_client().send(entity=f"{number:016x}")
        assert wait_for(lambda: len(running.commands()) == 12)
        assert not running.endpoints[0].commands and not running.endpoints[1].commands


@pytest.mark.parametrize(("number", "applied"), [(1, False), (2, True), (9, True)])
def test_full_snapshot_counts_only_where_it_is_newer(number, applied):
    # Guards against a list from before what is known, and loses no purge that a gap may hide.
    with RunningDirector(event_stream=StandInEventStream()) as running:
        whole = stream_event(
            number, endpoint_list_update(running, "SERVING", "s-03", "s-11", "s-21", full=True)
        )
        assert wait_for(
            lambda: running.event_stream.last_event_ids
        )  # a connection that is opened now would take a script
        running.event_stream.scripts += [
            [RESPONSE_HEAD, whole],
            [RESPONSE_HEAD, whole, stream_event(number + 1, PURGE), None],
        ]
        running.director.event_stream.reconnect_to(running.director.event_stream.address)
        assert wait_for(lambda: running.director.event_stream.last_event_number == number + 1)
        ready = {name for name, _, _ in running.director.coordinator.ready_caches()}
        assert ready == ({"s-03"} if applied else {"s-01", "s-02", "s-03"})


@pytest.mark.parametrize("behind", ["drain", "whole list", "purge"])
def test_restrictions_behind_a_gap_hold_before_the_gap_is_closed(behind):
    # Guards against a grace that runs out while the events before it are asked for again.
    asked, go = threading.Event(), threading.Event()

    class Gap(StandInEventStream):
        def serve_connection(self, connection):
            if len(self.last_event_ids) == 2:
                asked.set()
                go.wait(10.0)
            super().serve_connection(connection)

    with RunningDirector(event_stream=Gap()) as running:
        coordinator = running.director.coordinator
        assert wait_for(lambda: running.event_stream.last_event_ids)
        full = behind == "whole list"
        leaving = endpoint_list_update(running, "DRAINING", "s-01", full=full)
        leaving["topology"]["servers"] += endpoint_list_update(running, "SERVING", "s-03")[
            "topology"
        ]["servers"]
        held = [stream_event(3, PURGE if behind == "purge" else leaving), stream_event(4, PURGE)]
        running.event_stream.scripts += [
            [RESPONSE_HEAD, b"".join(held)],
            [RESPONSE_HEAD, stream_event(2, PURGE), *held, None],
        ]
        running.director.event_stream.reconnect_to(running.director.event_stream.address)
        assert asked.wait(5.0)
        assert (
            running.director.event_stream.last_event_number == 1
            and coordinator.active_purge_count() == 1
        )
        if behind != "purge":
            assert "s-01" not in {name for name, _, _ in coordinator.ready_caches()}
        go.set()
        assert wait_for(lambda: running.director.event_stream.last_event_number == 4)


@pytest.mark.parametrize(
    ("numbers", "last", "drained"),
    [([1, 2], 2, True), ([2], 2, True), ([3], 1, True), ([1], 1, False), ([None], 1, False)],
)
def test_events_of_new_configuration_count_though_the_stream_is_silent(numbers, last, drained):
    # Guards against drains that a director was told of by its file; an old or unnumbered list is
    # not new, and one behind a gap is heeded, while the stream is asked for what is missing.
    with RunningDirector(
        event_stream=StandInEventStream([RESPONSE_HEAD, None], [RESPONSE_HEAD, None])
    ) as running:
        stream, coordinator = running.director.event_stream, running.director.coordinator
        told = [
            endpoint_list_update(running, "DRAINING", "s-01")
            | ({} if number is None else {"offset": number})
            for number in numbers
        ]
        running.director.reload(replace(running.director.config, known_events=told))
        assert wait_for(lambda: len(running.event_stream.last_event_ids) == 2)
        assert running.event_stream.last_event_ids[1] == stream.last_event_number == last
        assert ("s-01" not in {name for name, _, _ in coordinator.ready_caches()}) is drained


def test_drain_with_nothing_but_the_endpoints_name_counts():
    with RunningDirector(event_stream=StandInEventStream()) as running:
        coordinator = running.director.coordinator
        assert wait_for(lambda: running.event_stream.last_event_ids)
        named = {"topology": {"version": 2, "servers": [{"id": "s-01", "state": "DRAINING"}]}}
        running.event_stream.scripts.append([RESPONSE_HEAD, stream_event(2, named), None])
        running.director.event_stream.reconnect_to(running.director.event_stream.address)
        assert wait_for(lambda: running.director.event_stream.last_event_number == 2)
        assert {name for name, _, _ in coordinator.ready_caches()} == {"s-02", "s-03"}
        assert (
            coordinator.endpoint_updates["s-01"].state == EndpointState.DRAINING
            and coordinator.endpoint_updates["s-01"].address[1]
        )


def test_new_address_is_followed_while_the_old_one_is_being_connected_to(monkeypatch):
    new = StandInEventStream([RESPONSE_HEAD, stream_event(3, PURGE), None])
    host, port = new.address.split(":")
    moved = (host, int(port))
    up = hold_calls(monkeypatch, socket, "create_connection", lambda address, **_: address != moved)
    with RunningDirector() as running:
        drain = endpoint_list_update(running, "DRAINING", "s-01") | {"offset": 2}
        running.director.reload(
            replace(running.director.config, event_stream_address=moved, known_events=[drain])
        )
        # Though the stream's thread waits: a grace may run from now on.
        assert running.director.coordinator.endpoint_updates["s-01"].state == EndpointState.DRAINING
        up.set()
        assert wait_for(lambda: running.director.event_stream.last_event_number == 3)
    assert new.last_event_ids == [2]
    new.close()


def test_unreadable_configuration_ends_no_stream():
    with RunningDirector(event_stream=StandInEventStream()) as running:
        stream = running.director.event_stream
        stream.read_configured_address = lambda: 1 / 0
        stream.reconnect_backoff.begin_lookup_if_due = lambda now: True
        running.event_stream.scripts += [
            [RESPONSE_HEAD, stream_event(2, PURGE), None]
        ] * 9  # a connection that the move ends takes one
        stream.reconnect_to(stream.address)
        assert wait_for(
            lambda: stream.last_event_number == 2 and "fault" in running.log.event_names
        )

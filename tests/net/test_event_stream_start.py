"""The event stream at the start of a director, and the selection of events to apply."""

import socket
import threading
import time

import pytest
from helpers import (
    IS_WELL_CALL,
    PURGE,
    RESPONSE_HEAD,
    RunningDirector,
    StandInEventStream,
    stream_event,
    wait_for,
)

from mulleinrelay.net import event_stream
from mulleinrelay.net.client_listener import ClientListener
from mulleinrelay.policy import stream_hedging
from mulleinrelay.policy.events import EndpointsUpdated, PurgeReceived
from mulleinrelay.policy.model import EndpointState
from mulleinrelay.router_driver import RouterDriver

pytestmark = pytest.mark.usefixtures("short_drains", "long_timeouts")

NOT_HEALTHY_FIELD = b"\x02\x00\x03\x00"  # `good` in the answer to a health check: bool, id 3, false


def test_director_catches_up_before_it_is_healthy(monkeypatch):
    # Without catching up, the first requests would use an outdated endpoint list: the grace period
    # of a drain that was announced during the start may be over. Here the stream sends nothing
    # until the listener has answered a health check.
    monkeypatch.setattr(stream_hedging, "HEAD_TIMEOUT_S", 60.0)
    monkeypatch.setattr(stream_hedging, "SILENCE_TIMEOUT_S", 60.0)
    monkeypatch.setattr(event_stream, "CATCH_UP_TIMEOUT_S", 2.5)
    drain = stream_event(
        2, {"topology": {"version": 2, "servers": [{"id": "s-01", "state": "DRAINING"}]}}
    )
    event_stream_server, allow_events = (
        StandInEventStream([RESPONSE_HEAD, drain, None]),
        threading.Event(),
    )
    serve_connection = event_stream_server.serve_connection

    def serve_late(connection):
        allow_events.wait(10.0)
        serve_connection(connection)

    event_stream_server.serve_connection = serve_late
    running = RunningDirector(event_stream=event_stream_server)
    start_listener, health_answers = ClientListener.start, []

    def start_and_check_health(listener):
        start_listener(listener)
        with socket.create_connection(listener.listener.getsockname(), timeout=10.0) as connection:
            connection.sendall(IS_WELL_CALL)
            health_answers.append(connection.recv(4096))
        allow_events.set()

    monkeypatch.setattr(ClientListener, "start", start_and_check_health)
    with running:
        assert [NOT_HEALTHY_FIELD in answer for answer in health_answers] == [True]
        assert running.director.request_handler.is_healthy
        assert running.director.coordinator.endpoint_updates["s-01"].state == EndpointState.DRAINING


@pytest.mark.parametrize("failure", ["refused", "closed", "silent"])
def test_director_becomes_healthy_without_the_stream(failure, monkeypatch):
    monkeypatch.setattr(stream_hedging, "HEAD_TIMEOUT_S", 0.2)
    monkeypatch.setattr(event_stream, "CATCH_UP_TIMEOUT_S", 60.0)
    event_stream_server = StandInEventStream(
        *{"silent": [[None]] * 9, "closed": [[]] * 9}.get(failure, [])
    )
    if failure == "refused":
        event_stream_server.close()
    with RunningDirector(event_stream=event_stream_server) as running:
        assert running.director.request_handler.is_healthy


CHUNKED_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


ENDPOINT_GONE = {
    "topology": {
        "version": 2,
        "full": False,
        "servers": [
            {
                "id": "s-01",
                "addr": "127.0.0.1:1",
                "zone": "edge",
                "kind": "box",
                "cell": 0,
                "state": "DELETED",
            }
        ],
    }
}


SNAPSHOT = {
    "topology": {"version": 4, "full": True, "servers": ENDPOINT_GONE["topology"]["servers"]}
}


NAMES_ONLY = {
    "topology": {
        "version": 2,
        "servers": [
            {"id": "s-01", "state": "DELETED"},
            {"id": "s-99", "state": "DELETED", "zone": "nowhere"},
            {"id": "s-02", "state": "DRAINING"},
            {"id": "s-98", "state": "DRAINING", "zone": "nowhere"},
        ],
    }
}


@pytest.mark.parametrize(
    ("scripts", "last_event_ids", "applied_count", "logged_count"),
    [
        (
            [
                [RESPONSE_HEAD, stream_event(2, PURGE), stream_event(3, PURGE)],
                [RESPONSE_HEAD, stream_event(3, PURGE), stream_event(4, ENDPOINT_GONE), None],
            ],
            [1, 3],
            3,
            0,
        ),
        # The stream is silent after an event, so the director reconnects.
        ([[RESPONSE_HEAD, stream_event(2, PURGE), None]], [1], 1, 0),
        # A purge after a gap is applied at once, and again after the missing events.
        (
            [
                [RESPONSE_HEAD, stream_event(2, PURGE), stream_event(4, PURGE)],
                [RESPONSE_HEAD, stream_event(3, PURGE), stream_event(4, PURGE), None],
            ],
            [1, 2],
            3 + 1,
            0,
        ),
        # The missing events are never sent; after the reconnect, the later events are applied.
        (
            [
                [RESPONSE_HEAD, stream_event(4, PURGE)],
                [RESPONSE_HEAD, stream_event(4, PURGE), stream_event(5, PURGE), None],
            ],
            [1, 1],
            2 + 1,
            0,
        ),
        (
            [[b"HTTP/1.1 500 No\r\n\r\n"], [RESPONSE_HEAD, stream_event(2, PURGE), None]],
            [1, 1],
            1,
            0,
        ),
        (
            [
                [
                    RESPONSE_HEAD,
                    b"id: 2\ndata: {\n\n",
                    stream_event(3, {"ban": 7}),
                    stream_event(4, {}),
                    stream_event(5, PURGE),
                    None,
                ]
            ],
            [1],
            1,
            4,
        ),
        (
            [
                [
                    RESPONSE_HEAD,
                    stream_event(2, {"topology": {"servers": [{"id": "x"}]}}),
                    stream_event(3, PURGE),
                    None,
                ]
            ],
            [1],
            2,
            1,
        ),
        (
            [
                [
                    RESPONSE_HEAD,
                    stream_event(1, ENDPOINT_GONE),
                    stream_event(2, PURGE)[:9],
                    stream_event(2, PURGE)[9:],
                    None,
                ]
            ],
            [1],
            1,
            0,
        ),
        # The connection ends within an event, which is then sent again completely.
        (
            [
                [RESPONSE_HEAD, stream_event(2, PURGE)[:-1]],
                [RESPONSE_HEAD, stream_event(2, PURGE), None],
            ],
            [1, 1],
            1,
            0,
        ),
        # A full snapshot arrives after a gap. Its endpoint that is gone is applied at once, and the
        # complete snapshot after the missing purges.
        (
            [
                [RESPONSE_HEAD, stream_event(4, SNAPSHOT)],
                [
                    RESPONSE_HEAD,
                    stream_event(2, PURGE),
                    stream_event(3, PURGE),
                    stream_event(4, SNAPSHOT),
                    None,
                ],
            ],
            [1, 1],
            3 + 1,
            0,
        ),
        # The name of an endpoint that is draining or gone is sufficient.
        ([[RESPONSE_HEAD, stream_event(2, NAMES_ONLY), None]], [1], 1, 0),
        # The last chunk ends the stream, although the connection stays open.
        (
            [
                [
                    CHUNKED_HEAD,
                    b"%x\r\n%s\r\n0\r\n\r\n"
                    % (len(stream_event(2, PURGE)), stream_event(2, PURGE)),
                    None,
                ],
                [RESPONSE_HEAD, stream_event(3, PURGE), None],
            ],
            [1, 2],
            2,
            0,
        ),
    ],
)
def test_events_are_applied_once_and_none_is_skipped(
    scripts, last_event_ids, applied_count, logged_count, monkeypatch
):
    monkeypatch.setattr(stream_hedging, "HEAD_TIMEOUT_S", 60.0)
    monkeypatch.setattr(stream_hedging, "SILENCE_TIMEOUT_S", 60.0)

    def yield_last_script():
        """Yield the pieces of the last script; shorten the timeout before the last bytes."""
        yield from scripts[-1][:-2]
        monkeypatch.setattr(stream_hedging, "SILENCE_TIMEOUT_S", 0.3)
        yield from scripts[-1][-2:]

    event_stream_server, router_events, handle = (
        StandInEventStream(*scripts[:-1], yield_last_script()),
        [],
        RouterDriver.handle,
    )
    monkeypatch.setattr(
        RouterDriver,
        "handle",
        lambda driver, event: (router_events.append(type(event)), handle(driver, event)),
    )
    with RunningDirector(event_stream=event_stream_server) as running:
        assert wait_for(
            lambda: len(event_stream_server.last_event_ids) > len(last_event_ids)
        )  # the director reconnects when the last script becomes silent
        assert event_stream_server.last_event_ids[: len(last_event_ids)] == last_event_ids
        assert (
            event_stream_server.last_event_ids[len(last_event_ids)]
            == running.director.event_stream.last_event_number
        )
        handled_count = sum(
            event_type in (EndpointsUpdated, PurgeReceived) for event_type in router_events
        )
        assert (
            handled_count == 1 + applied_count
            and running.log.event_names.count("bad event") == logged_count
        )


def test_purge_limits_the_age_of_copies():
    purge = {"ban": {"tag": 17, "ts": time.time() * 1000 - 500}}
    with RunningDirector(
        event_stream=StandInEventStream([RESPONSE_HEAD, stream_event(2, purge), None])
    ) as running:
        assert wait_for(lambda: running.director.coordinator.active_purge_count() == 1)
        assert running.director.event_stream.last_event_number == 2
        client = running.connect_client()
        client.send()
        client.send(batch="18", entity="00000000000000cd")
        assert {client.read_answer()[1], client.read_answer()[1]} == {0}
        max_ages = {
            fields["name"][-2:]: fields.get("within") for _, _, fields, _ in running.commands()
        }
        assert max_ages["cd"] is None and 400 < int(max_ages["ab"]) < 5000

"""The event stream at the start of a director, and which events are applied."""

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
from mulleinrelay.policy.events import EndpointsUpdated, PurgeReceived
from mulleinrelay.policy.model import EndpointState
from mulleinrelay.router_driver import RouterDriver

pytestmark = pytest.mark.usefixtures("short_drains")


def test_director_catches_up_before_it_is_healthy(monkeypatch):
    # Guards against first requests by a list that is out of date: a drain that was told while the
    # program started has used up its grace. The stream's word is held back until the front listens
    # and is asked.
    monkeypatch.setattr(event_stream, "CATCH_UP_TIMEOUT_S", 0.5)
    drain = stream_event(
        2, {"topology": {"version": 2, "servers": [{"id": "s-01", "state": "DRAINING"}]}}
    )
    stand, late = StandInEventStream([RESPONSE_HEAD, drain, None]), threading.Event()
    talk = stand.serve_connection

    def held(connection):
        late.wait(10.0)
        talk(connection)

    stand.serve_connection = held
    running = RunningDirector(event_stream=stand)
    begun, asked = ClientListener.start, []

    def begin(front):
        begun(front)
        with socket.create_connection(front.listener.getsockname(), timeout=10.0) as client:
            client.sendall(IS_WELL_CALL)
            asked.append(b"\x02\x00\x00\x01" in client.recv(4096))  # `good`
        late.set()

    monkeypatch.setattr(ClientListener, "start", begin)
    with running:
        assert asked == [False]
        assert running.director.request_handler.is_healthy
        assert running.director.coordinator.endpoint_updates["s-01"].state == EndpointState.DRAINING


@pytest.mark.parametrize("script", ["refused", "closed", "silent"])
def test_director_becomes_healthy_though_the_stream_is_silent(script, monkeypatch):
    monkeypatch.setattr(event_stream, "HEAD_TIMEOUT_S", 0.2)
    monkeypatch.setattr(event_stream, "CATCH_UP_TIMEOUT_S", 60.0)
    stand = StandInEventStream(*{"silent": [[None]] * 9, "closed": [[]] * 9}.get(script, []))
    if script == "refused":
        stand.close()
    with RunningDirector(event_stream=stand) as running:
        assert running.director.request_handler.is_healthy


CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


GONE = {
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


ALL = {"topology": {"version": 4, "full": True, "servers": GONE["topology"]["servers"]}}


NAMED = {
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
    ("scripts", "asked", "applied", "logged"),
    [
        (
            [
                [RESPONSE_HEAD, stream_event(2, PURGE), stream_event(3, PURGE)],
                [RESPONSE_HEAD, stream_event(3, PURGE), stream_event(4, GONE), None],
            ],
            [1, 3],
            3,
            0,
        ),
        (
            [[RESPONSE_HEAD, stream_event(2, PURGE), None]],
            [1],
            1,
            0,
        ),  # silent: read again, from the last
        (
            [
                [RESPONSE_HEAD, stream_event(2, PURGE), stream_event(4, PURGE)],
                [RESPONSE_HEAD, stream_event(3, PURGE), stream_event(4, PURGE), None],
            ],
            [1, 2],
            3 + 1,
            0,
        ),  # one behind a gap is heeded at once, and once more in its turn
        (
            [
                [RESPONSE_HEAD, stream_event(4, PURGE)],
                [RESPONSE_HEAD, stream_event(4, PURGE), stream_event(5, PURGE), None],
            ],
            [1, 1],
            2 + 1,
            0,
        ),  # never there
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
                    stream_event(1, GONE),
                    stream_event(2, PURGE)[:9],
                    stream_event(2, PURGE)[9:],
                    None,
                ]
            ],
            [1],
            1,
            0,
        ),
        (
            [
                [RESPONSE_HEAD, stream_event(2, PURGE)[:-1]],
                [RESPONSE_HEAD, stream_event(2, PURGE), None],
            ],
            [1, 1],
            1,
            0,
        ),  # half of it, then whole
        (
            [
                [RESPONSE_HEAD, stream_event(4, ALL)],
                [
                    RESPONSE_HEAD,
                    stream_event(2, PURGE),
                    stream_event(3, PURGE),
                    stream_event(4, ALL),
                    None,
                ],
            ],
            [1, 1],
            3 + 1,
            0,
        ),  # purges within a gap that a whole list would fill
        (
            [[RESPONSE_HEAD, stream_event(2, NAMED), None]],
            [1],
            1,
            0,
        ),  # of who leaves the name is enough
        (
            [
                [
                    CHUNKED,
                    b"%x\r\n%s\r\n0\r\n\r\n"
                    % (len(stream_event(2, PURGE)), stream_event(2, PURGE)),
                    None,
                ],
                [RESPONSE_HEAD, stream_event(3, PURGE), None],
            ],
            [1, 2],
            2,
            0,
        ),  # the last chunk ends it, though nobody closes
    ],
)
def test_events_are_applied_once_and_none_is_skipped(scripts, asked, applied, logged, monkeypatch):
    monkeypatch.setattr(event_stream, "SILENCE_TIMEOUT_S", 0.3)
    stand, seen, handle = StandInEventStream(*scripts), [], RouterDriver.handle
    monkeypatch.setattr(
        RouterDriver,
        "handle",
        lambda driver, event: (seen.append(type(event)), handle(driver, event)),
    )
    with RunningDirector(event_stream=stand) as running:
        assert wait_for(
            lambda: len(stand.last_event_ids) > len(asked)
        )  # asked again after the script's silence
        assert stand.last_event_ids[: len(asked)] == asked
        assert stand.last_event_ids[len(asked)] == running.director.event_stream.last_event_number
        seen_events = sum(kind in (EndpointsUpdated, PurgeReceived) for kind in seen)
        assert seen_events == 1 + applied and running.log.event_names.count("bad event") == logged


def test_purge_bounds_the_age_of_copies():
    ban = {"ban": {"tag": 17, "ts": time.time() * 1000 - 500}}
    with RunningDirector(
        event_stream=StandInEventStream([RESPONSE_HEAD, stream_event(2, ban), None])
    ) as running:
        assert wait_for(lambda: running.director.event_stream.last_event_number == 2)
        caller = running.connect_client()
        caller.send()
        caller.send(batch="18", entity="00000000000000cd")
        assert {caller.read_answer()[1], caller.read_answer()[1]} == {0}
        within = {
            fields["name"][-2:]: fields.get("within") for _, _, fields, _ in running.commands()
        }
        assert within["cd"] is None and 400 < int(within["ab"]) < 5000

"""The event stream at the start of a director, and which events are applied."""

import socket
import threading
import time

import pytest
from helpers import (
    BAN,
    OK,
    WELL,
    Running,
    StandBus,
    event,
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
    drain = event(2, {"topology": {"version": 2, "servers": [{"id": "s-01", "state": "DRAINING"}]}})
    stand, late = StandBus([OK, drain, None]), threading.Event()
    talk = stand.talk

    def held(connection):
        late.wait(10.0)
        talk(connection)

    stand.talk = held
    director = Running(bus=stand)
    begun, asked = ClientListener.start, []

    def begin(front):
        begun(front)
        with socket.create_connection(front.listener.getsockname(), timeout=10.0) as client:
            client.sendall(WELL)
            asked.append(b"\x02\x00\x00\x01" in client.recv(4096))  # `good`
        late.set()

    monkeypatch.setattr(ClientListener, "start", begin)
    with director:
        assert asked == [False]
        assert director.service.request_handler.is_healthy
        assert director.service.coordinator.endpoint_updates["s-01"].state == EndpointState.DRAINING


@pytest.mark.parametrize("script", ["refused", "closed", "silent"])
def test_director_becomes_healthy_though_the_stream_is_silent(script, monkeypatch):
    monkeypatch.setattr(event_stream, "HEAD_TIMEOUT_S", 0.2)
    monkeypatch.setattr(event_stream, "CATCH_UP_TIMEOUT_S", 60.0)
    stand = StandBus(*{"silent": [[None]] * 9, "closed": [[]] * 9}.get(script, []))
    if script == "refused":
        stand.close()
    with Running(bus=stand) as director:
        assert director.service.request_handler.is_healthy


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
            [[OK, event(2, BAN), event(3, BAN)], [OK, event(3, BAN), event(4, GONE), None]],
            [1, 3],
            3,
            0,
        ),
        ([[OK, event(2, BAN), None]], [1], 1, 0),  # silent: read again, from the last
        (
            [[OK, event(2, BAN), event(4, BAN)], [OK, event(3, BAN), event(4, BAN), None]],
            [1, 2],
            3 + 1,
            0,
        ),  # one behind a gap is heeded at once, and once more in its turn
        (
            [[OK, event(4, BAN)], [OK, event(4, BAN), event(5, BAN), None]],
            [1, 1],
            2 + 1,
            0,
        ),  # never there
        ([[b"HTTP/1.1 500 No\r\n\r\n"], [OK, event(2, BAN), None]], [1, 1], 1, 0),
        (
            [[OK, b"id: 2\ndata: {\n\n", event(3, {"ban": 7}), event(4, {}), event(5, BAN), None]],
            [1],
            1,
            4,
        ),
        (
            [[OK, event(2, {"topology": {"servers": [{"id": "x"}]}}), event(3, BAN), None]],
            [1],
            2,
            1,
        ),
        ([[OK, event(1, GONE), event(2, BAN)[:9], event(2, BAN)[9:], None]], [1], 1, 0),
        (
            [[OK, event(2, BAN)[:-1]], [OK, event(2, BAN), None]],
            [1, 1],
            1,
            0,
        ),  # half of it, then whole
        (
            [[OK, event(4, ALL)], [OK, event(2, BAN), event(3, BAN), event(4, ALL), None]],
            [1, 1],
            3 + 1,
            0,
        ),  # purges within a gap that a whole list would fill
        ([[OK, event(2, NAMED), None]], [1], 1, 0),  # of who leaves the name is enough
        (
            [
                [CHUNKED, b"%x\r\n%s\r\n0\r\n\r\n" % (len(event(2, BAN)), event(2, BAN)), None],
                [OK, event(3, BAN), None],
            ],
            [1, 2],
            2,
            0,
        ),  # the last chunk ends it, though nobody closes
    ],
)
def test_events_are_applied_once_and_none_is_skipped(scripts, asked, applied, logged, monkeypatch):
    monkeypatch.setattr(event_stream, "SILENCE_TIMEOUT_S", 0.3)
    stand, seen, handle = StandBus(*scripts), [], RouterDriver.handle
    monkeypatch.setattr(
        RouterDriver,
        "handle",
        lambda driver, event: (seen.append(type(event)), handle(driver, event)),
    )
    with Running(bus=stand) as director:
        assert wait_for(
            lambda: len(stand.asked) > len(asked)
        )  # asked again after the script's silence
        assert stand.asked[: len(asked)] == asked
        assert stand.asked[len(asked)] == director.service.event_stream.last_event_number
        seen_events = sum(kind in (EndpointsUpdated, PurgeReceived) for kind in seen)
        assert seen_events == 1 + applied and director.sink.events.count("bad event") == logged


def test_purge_bounds_the_age_of_copies():
    ban = {"ban": {"tag": 17, "ts": time.time() * 1000 - 500}}
    with Running(bus=StandBus([OK, event(2, ban), None])) as director:
        assert wait_for(lambda: director.service.event_stream.last_event_number == 2)
        caller = director.caller()
        caller.send()
        caller.send(batch="18", entity="00000000000000cd")
        assert {caller.answer()[1], caller.answer()[1]} == {0}
        within = {fields["name"][-2:]: fields.get("within") for _, _, fields, _ in director.heard()}
        assert within["cd"] is None and 400 < int(within["ab"]) < 5000

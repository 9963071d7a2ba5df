import ctypes
import json
import os
import signal
import socket
import subprocess
import sys
import threading
import time

import pytest
from helpers import (
    BAN,
    HIT,
    MUTE,
    OK,
    ROOT,
    WELL,
    Caller,
    Program,
    Running,
    Sink,
    StandBus,
    StandNode,
    call_frame,
    configuration,
    event,
    wait_for,
)

from mulleinrelay import director as director_module
from mulleinrelay import process
from mulleinrelay.net import client_connection, event_stream
from mulleinrelay.net.upstream_connection import UpstreamConnection
from mulleinrelay.net.write_queue import WriteQueue
from mulleinrelay.policy import connection_reuse
from mulleinrelay.policy.events import EndpointsUpdated, PurgeReceived
from mulleinrelay.policy.model import Attempt, Endpoint, Outcome
from mulleinrelay.router_driver import RouterDriver
from mulleinrelay.structured_log import StructuredLog


@pytest.fixture(autouse=True)
def short_drains(monkeypatch):
    monkeypatch.setattr(director_module, "NEW_CALLS_S", 0.0)


@pytest.mark.parametrize("size", [0, 1, 240_000])
def test_bytes_pass_through_unchanged(size):
    body = bytes(range(256)) * (size // 256) + bytes(range(size % 256))
    with Running((b"DONE", b"why=HIT", body)) as director:
        caller = director.caller()
        caller.send()
        assert caller.answer() == (1, 0, {}, body)


def test_a_copy_that_the_client_holds_is_kept():
    with Running((b"KEEP", b"why=HIT,entity=4be0c1927d55a6f3", b"")) as director:
        caller = director.caller()
        caller.send(got="4be0c1927d55a6f3")
        assert caller.answer() == (1, 0, {"ok304": "1"}, b"")
        assert director.heard()[0][2]["mine"] == "4be0c1927d55a6f3"


def test_a_write_goes_on_unchanged():
    with Running() as director:
        caller = director.caller()
        caller.send(
            "order", body=b"\r\n" * 24_000, trace="9b1f03aa5c7e2d41", nonce="5c0f6e1a", nth="3"
        )
        assert caller.answer()[:2] == (1, 0)
        ((_, about, fields, body),) = director.heard()
        assert (about, body) == ("9b1f03aa5c7e2d41", b"\r\n" * 24_000)
        assert {name: fields[name] for name in ("lane", "name", "piece", "dedupe")} == {
            "lane": "order",
            "name": "00000000000000ab",
            "piece": "3",
            "dedupe": "5c0f6e1a",
        }


@pytest.mark.parametrize(
    "request_class, plan, what",
    [
        ("pages", (b"WAIT", b"-", b""), 1),
        ("pages", "reset", 1),
        ("pages", "nonsense", 1),
        ("pay", (b"WAIT", b"-", b""), 1),
        ("pay", (b"BROKE", b"-", b""), 2),
        ("pay", "reset", 2),
        ("pay", "nonsense", 2),
        ("order", "reset", 1),
    ],
)
def test_what_went_wrong_ends_as_the_request_class_permits(request_class, plan, what):
    with Running(plan) as director:
        caller = director.caller()
        caller.send(request_class)
        assert caller.answer()[:2] == (1, what)
        assert request_class != "pay" or what == 1 or len(director.heard()) == 1


def test_a_refused_connection_proves_that_nothing_ran():
    with Running() as director:
        for node in director.nodes:
            node.close()
        caller = director.caller()
        for number in range(1, 9):
            caller.send("pay")
            assert caller.answer()[:2] == (number, 1)
        nodes = [figures["node"] for figures in director.sink.figures if "node" in figures]
        assert len(nodes) == len(set(nodes)) > 0  # one line until a link is up again


def test_a_silent_node_holds_up_its_own_requests_alone():
    with Running(lambda fields: None if fields["name"].endswith("ab") else HIT) as director:
        caller = director.caller()
        begun = time.monotonic()
        caller.send(patience="600")
        caller.send(entity="00000000000000cd")
        assert caller.answer()[:2] == (2, 0) and time.monotonic() - begun < 0.5
        assert caller.answer()[:2] == (1, 1) and time.monotonic() - begun < 0.65
        assert wait_for(lambda: len(director.heard("KILL")) == len(director.heard()) - 1)


def test_a_node_that_does_not_read_holds_up_its_own_requests_alone(monkeypatch):
    # Guards against a blocking write in a thread, or under a lock, that others wait for.
    monkeypatch.setattr(
        StandNode, "talk", lambda self, connection: time.sleep(3.0) if self.plan else None
    )
    with Running() as director:
        caller = director.caller()
        for _ in range(30):
            caller.send("order", body=bytes(48_000), patience="700")
        begun = time.monotonic()
        assert {caller.answer()[1] for _ in range(30)} == {1} and time.monotonic() - begun < 1.5


def test_a_client_that_does_not_read_holds_up_nobody_else():
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


@pytest.mark.parametrize("plan", ["cut", MUTE])
def test_a_connection_of_no_more_use_is_ended_and_what_is_open_on_it_goes_elsewhere(
    plan, monkeypatch
):
    # Guards against requests that wait out their time on a connection that stays open after a bad
    # answer.
    monkeypatch.setattr(
        connection_reuse, "SILENCE_BEFORE_PING", 100.0
    )  # before the module's own timer
    with Running() as director:
        caller, bad = director.caller(), director.nodes[:3]
        caller.send(entity="00000000000000cd")
        caller.answer()
        first = next(node for node in bad if node.heard)
        first.plan = plan
        begun = time.monotonic()
        caller.send(entity="00000000000000cd")
        assert caller.answer()[:2] == (2, 0) and time.monotonic() - begun < 2.0
        assert len(director.heard()) == 3
        assert "upstream down" in director.sink.events


def test_a_link_that_echoes_keeps_its_slow_attempts():
    with Running(None) as director:
        caller = director.caller()
        caller.send("pay", patience="1500")
        assert wait_for(lambda: director.heard("ECHO"))
        assert caller.answer()[:2] == (1, 2)
        assert len(director.heard()) == 1 and "upstream down" not in director.sink.events


def test_what_waits_for_a_link_can_be_taken_back_while_nothing_of_it_is_written():
    ours, theirs = socket.socketpair()
    outlet = WriteQueue(threading.Lock())
    with outlet.lock:
        outlet.write("a", [b"first", b"second"])
        outlet.write("b", [b"third"])
        assert outlet.withdraw("a") and not outlet.withdraw("a") and outlet.is_unwritten("b")
    assert outlet.attach(ours) and theirs.recv(100) == b"third" and outlet.pending_bytes == 0
    ours.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
    with outlet.lock:
        outlet.write("c", [b"x" * 1_000_000])
        outlet.write("d", [b"last"])
        assert outlet.withdraw("d") and not outlet.withdraw("c")
    left = 1_000_000
    while left:
        left -= len(theirs.recv(65_536))
    theirs.close()
    ours.close()


def test_a_attempt_that_could_not_be_written_is_taken_back_in_time():
    # Guards against a stalled link that sends an attempt seconds later, after a drain or a purge.
    with Running() as director:
        caches, place = (
            director.service.upstream,
            next(iter(director.service.coordinator.addresses.values())),
        )
        attempt = Attempt(None, 0, Endpoint(1), None, director.service.clock(), 6000.0)
        reported = []
        caches._report = lambda *word: reported.append(word)
        ours, theirs = socket.socketpair()
        with caches.lock:
            link = UpstreamConnection(place, 0.0, caches.lock)
            link.write_queue.connection = ours
            caches.connections[place] = [link]
            link.write_queue.write(None, [bytes(4_000_000)])
        caches._send(place, "9b", attempt, [b"never"])
        assert wait_for(lambda: reported, 2.0) and reported == [(attempt, Outcome.CONNECT_FAILED)]
        theirs.close()
        ours.close()


def test_a_reset_proves_that_nothing_ran_only_where_nothing_was_written():
    with Running() as director:
        caches, place = (
            director.service.upstream,
            next(iter(director.service.coordinator.addresses.values())),
        )
        attempts = [
            Attempt(None, number, Endpoint(1), None, director.service.clock(), 6000.0)
            for number in range(2)
        ]
        reported = []
        caches._report = lambda *word: reported.append(word)
        ours, theirs = socket.socketpair()
        link = UpstreamConnection(place, 0.0, caches.lock)
        link.write_queue.connection = ours
        link.in_flight = {"9b": attempts[0], "9c": attempts[1]}
        with caches.lock:
            link.write_queue.write("9b", [bytes(4_000_000)])
            link.write_queue.write("9c", [b"never"])
        theirs.close()
        caches._close(link, ours, Outcome.RESET, "")
        assert reported == [(attempts[0], Outcome.RESET), (attempts[1], Outcome.CONNECT_FAILED)]


def test_threads_that_cannot_be_had_give_a_plain_outcome(monkeypatch):
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


def test_a_log_that_nobody_reads_holds_up_nothing():
    # Guards against a stalled reader of the log that stops the director under the module's lock.
    reads, writes = os.pipe()
    log, held = StructuredLog("n3", writes), []
    burst = threading.Thread(
        target=lambda: [log.event(f"e{i % 1500}", text="x" * 200) for i in range(3000)], daemon=True
    )
    burst.start()
    burst.join(5.0)
    assert not burst.is_alive()
    reader = threading.Thread(
        target=lambda: held.extend(iter(lambda: os.read(reads, 65_536), b"")), daemon=True
    )
    reader.start()
    assert wait_for(log.lines.empty)
    log.event("last")
    log.close(5.0)
    os.close(writes)
    reader.join(5.0)
    lines = [json.loads(line) for line in b"".join(held).splitlines()]
    assert sum(1 + line.get("dropped", 0) for line in lines) == 3001 and len(lines) < 3001
    assert (lines[-1]["event"], lines[-1]["director"]) == ("last", "n3")
    os.close(reads)


def test_forget_and_a_closed_connection_end_the_request():
    with Running(lambda fields: None if fields["name"].endswith("ab") else HIT) as director:
        caller, other = director.caller(), director.caller()
        number = caller.send()
        other.send()
        assert wait_for(lambda: len(director.heard()) == 2)
        caller.socket.sendall(
            call_frame("forget", 0, b"\x08\x00\x01" + number.to_bytes(4, "big") + b"\0", 4)
        )
        other.close()
        assert wait_for(lambda: len(director.heard("KILL")) == 2)
        assert director.service.coordinator.pending_count() == 0
        caller.send(entity="00000000000000cd")
        assert caller.answer()[:2] == (2, 0)


@pytest.mark.parametrize(
    "changes, told",
    [
        ({"request_class": "nope"}, "an unknown request class"),
        ({"patience": None}, "the field patience is missing"),
        ({"patience": "nan"}, "the field patience cannot be read"),
        ({"patience": "1e300"}, "the field patience cannot be read"),
        ({"entity": "xyz"}, "the field entity cannot be read"),
        ({"entity": "0_1"}, "the field entity cannot be read"),
        ({"trace": "a,miss=s-01"}, "the field trace cannot be read"),
        ({"got": "a\r\nb"}, "the field got cannot be read"),
        ({"nth": "-1"}, "the field nth cannot be read"),
        ({"batch": "x"}, "the field batch cannot be read"),
        ({"batch": "256"}, "the field batch is out of range"),
        ({"size": "inf"}, "the field size cannot be read"),
        ({"request_class": "order", "nonce": None}, "no idempotency key"),
        ({"request_class": "order", "nonce": "a=b"}, "the field nonce cannot be read"),
        ({"request_class": "order", "body": bytes(48_001)}, "a body of 48001 bytes"),
    ],
)
def test_a_call_that_cannot_be_used_makes_no_attempt(changes, told):
    with Running() as director:
        caller = director.caller()
        caller.send(**changes)
        assert caller.answer() == (1, told, {}, b"")
        caller.send()
        assert caller.answer()[:2] == (2, 0) and len(director.heard()) == 1


@pytest.mark.parametrize(
    "data",
    [
        b"\xff\xff\xff\xff",
        b"\x7f\xff\xff\xff",
        b"GET / HTTP/1.1\r\n\r\n",
        b"\x00\x00\x00\x04abcd",
        WELL.replace(b"\x80\1\0\1", b"\x80\2\0\1"),
    ],
)
def test_what_is_no_call_ends_its_connection_alone(data):
    with Running() as director:
        bad, good = director.caller(), director.caller()
        bad.socket.sendall(data)
        with pytest.raises((EOFError, ConnectionError)):
            bad.answer()
        good.send()
        assert good.answer()[:2] == (1, 0) and "bad frame" in director.sink.events


def test_unknown_methods_are_told_so():
    with Running() as director:
        caller = director.caller()
        caller.socket.sendall(call_frame("what", 5, b"\x00") + WELL)
        assert caller.answer() == (5, "unknown method", {}, b"")
        assert caller.answer()[:2] == (1, 0)


def test_a_fault_in_a_thread_is_logged_and_its_request_answered(monkeypatch):
    with Running() as director:
        monkeypatch.setattr(director.service.upstream, "send", lambda *_: 1 / 0)
        caller = director.caller()
        caller.send()
        assert caller.answer()[:2] == (1, 2) and "fault" in director.sink.events
        assert (
            director.service.coordinator.pending_count() == 0
        )  # guards against lives that nobody picks for


def test_bounds_give_a_plain_outcome(monkeypatch):
    with Running(None) as director:
        director.service.request_handler.max_requests, director.service.listener.max_clients = 2, 2
        caller, idle = director.caller(), director.caller()
        for _ in range(3):
            caller.send(patience="500")
        number, what, told = caller.answer()[:3]
        assert (number, what) == (3, 1) and 50 <= int(told["pause"]) <= 150  # no room: at once
        idle.socket.sendall(WELL)
        assert idle.answer()[1] == 0
        newcomer = director.caller()  # the idle one makes room
        newcomer.socket.sendall(WELL)
        assert newcomer.answer()[1] == 0
        with pytest.raises((EOFError, ConnectionError)):
            idle.answer()


def test_orders_find_a_place_where_pages_have_taken_all_that_are_theirs():
    with Running(None) as director:
        director.service.request_handler.max_requests = 8
        pages, orders = director.caller(), director.caller()
        for _ in range(20):
            pages.send(patience="3000")
        assert [pages.answer()[1] for _ in range(13)] == [1] * 13  # rejected at once
        assert director.service.coordinator.pending_count() == 7
        orders.send("order", patience="3000")
        assert wait_for(lambda: director.service.coordinator.pending_count() == 8)
        assert wait_for(
            lambda: any(b"order" in bytes(str(heard), "ascii") for heard in director.heard())
        )


def test_a_flood_of_connections_takes_no_place_from_those_who_call(monkeypatch):
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


@pytest.mark.parametrize(
    "called, halfway, owes, after, late",
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
def test_who_overstays(called, halfway, owes, after, late):
    held = client_connection.ClientConnection(None)
    held.has_called, held.partial_call_since, held.last_used_at = called, halfway, 1000.0
    held.open_requests = {1: None} if owes else {}
    assert held.is_overdue(1000.0 + after) == late


@pytest.mark.parametrize("case", ["number", "many", "id", "repeats"])
def test_what_breaks_the_protocol_is_told_so_and_ends_nobody_elses_request(case):
    # Guards against two answers under one number, nodes that mix up two requests of one id,
    # hundreds of requests at once that take all links, and bad calls that come again at full speed.
    with Running(lambda fields: None if fields["name"].endswith("ab") else HIT) as director:
        other, bad = director.caller(), director.caller()
        other.send(patience="900", trace="a" * 16)
        assert wait_for(director.heard)
        told = []
        if case == "number":
            bad.count = 9
            bad.send()
            bad.count = 9
            bad.send(entity="00000000000000cd")
            told = ["the number 10 is open already"]
        elif case == "many":
            for _ in range(33):
                bad.send(patience="900")
            told = ["more than 32 requests are open"]
        elif case == "id":
            bad.send(entity="00000000000000cd", trace="a" * 16)
            told = ["the id was used before"]
        else:
            for _ in range(
                9
            ):  # the last one ends the connection: a further write could meet its reset
                bad.send("nope")
            told = ["an unknown request class"] * 9
        assert [bad.answer()[1] for _ in told] == told
        if case == "repeats":
            with pytest.raises((EOFError, ConnectionError)):
                bad.answer()
        else:
            bad.send(entity="00000000000000ce")
            if case == "many":  # still open: no answer but the exception
                assert bad.answer()[1] == "more than 32 requests are open"
            else:
                assert bad.answer()[:2] == (bad.count, 0)
        assert other.answer()[:2] == (1, 1)


def test_more_attempts_than_a_connection_carries_open_further_ones():
    with Running(lambda fields: None, allowed={"mayDuplicate": False}) as director:
        caller = director.caller()
        for _ in range(5):
            caller.send("order", patience="900")
        assert wait_for(lambda: len(director.heard()) >= 5)
        origin = director.nodes[-1]
        assert len(origin.connections) == 3  # two attempts each


def test_idle_links_make_room_for_attempts_to_other_nodes():
    # Guards against a director at its bound of links whose links are all held for what may come,
    # elsewhere.
    with Running(HIT) as director:
        director.service.upstream.max_connections = 3
        caller = director.caller()
        for number in range(40):
            caller.send(entity=f"{number:016x}")
            caller.answer()
        assert director.service.upstream.connection_count >= 2  # to caches
        for _ in range(4):
            caller.send("order")
            if caller.answer()[1] == 0:
                break
            time.sleep(0.05)  # the link that makes room is on its way out
        else:
            raise AssertionError("no link was to be had")


@pytest.mark.parametrize("late, pages", [(0.0, 0), (5000.0, 1)])
def test_a_director_that_is_late_itself_takes_in_what_has_an_effect(late, pages):
    with Running(HIT) as director:
        caller, facade = director.caller(), director.service.coordinator
        facade.lateness.record(facade.clock() + (60_000.0 if late else 0.0), late)
        caller.send()
        assert caller.answer()[1] == pages
        caller.send("order")
        assert caller.answer()[1] == 0


def test_two_attempts_of_one_request_at_one_node_are_told_apart():
    # Guards against the late answer to an attempt given up being taken for that of the next one
    # under its id.
    with Running(lambda fields: None) as director:
        caches, place = (
            director.service.upstream,
            next(iter(director.service.coordinator.addresses.values())),
        )
        attempts = [Attempt(None, number, Endpoint(1), None, 0.0, 1000.0) for number in range(3)]
        reported = []
        caches._report = lambda attempt, *rest: reported.append(attempt)
        for attempt in attempts[:2]:
            caches._send(place, "9b", attempt, [b"*2\r\n$4\r\nKILL\r\n$2\r\nno\r\n"])
        links = [caches.connection_by_attempt[attempt][0] for attempt in attempts[:2]]
        first = links[0]
        assert len(set(links)) == 2
        assert wait_for(lambda: not any(link.write_queue.is_unwritten("9b") for link in links))
        caches.cancel(attempts[0])
        caches._send(place, "9b", attempts[2], [b"*2\r\n$4\r\nKILL\r\n$2\r\nno\r\n"])
        assert caches.connection_by_attempt[attempts[2]][0] is not first


def test_idle_links_are_closed_from_our_side():
    with Running(allowed={"connIdle": 100.0}) as director:
        caller = director.caller()
        caller.send()
        assert caller.answer()[:2] == (1, 0) and director.service.upstream.connection_count == 1
        assert wait_for(lambda: director.service.upstream.connection_count == 0)
        caller.send()
        assert caller.answer()[:2] == (2, 0) and "upstream down" not in director.sink.events


# The event stream


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
    "scripts, asked, applied, logged",
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


def test_a_purge_bounds_the_age_of_copies():
    ban = {"ban": {"tag": 17, "ts": time.time() * 1000 - 500}}
    with Running(bus=StandBus([OK, event(2, ban), None])) as director:
        assert wait_for(lambda: director.service.event_stream.last_event_number == 2)
        caller = director.caller()
        caller.send()
        caller.send(batch="18", entity="00000000000000cd")
        assert {caller.answer()[1], caller.answer()[1]} == {0}
        within = {fields["name"][-2:]: fields.get("within") for _, _, fields, _ in director.heard()}
        assert within["cd"] is None and 400 < int(within["ab"]) < 5000


# From start to exit


def test_a_drain_answers_what_is_open(monkeypatch):
    monkeypatch.setattr(director_module, "FINAL_ANSWERS_S", 3.4)  # of 3.7 s
    with Running(None) as director:
        caller = director.caller()
        caller.send()
        caller.send("pay")
        assert wait_for(lambda: len(director.heard()) == 2)
        director.service.stop()
        begun = time.monotonic()
        assert wait_for(lambda: director.service.phase == director_module.Phase.DRAINING)
        late = director.caller()
        late.socket.sendall(WELL)
        assert late.answer()[:2] == (1, 0) and not director.service.request_handler.is_healthy
        assert sorted(caller.answer()[:2] for _ in range(2)) == [(1, 1), (2, 2)]
        assert 0.25 < time.monotonic() - begun < 1.5
        assert (
            director.service.stopped.wait(5.0)
            and director.service.phase == director_module.Phase.STOPPED
        )


def test_the_program_serves_until_it_is_told_to_end(tmp_path):
    ban = {"ban": {"tag": 17, "ts": time.time() * 1000}}
    nodes, probe = [StandNode(HIT) for _ in range(6)], StandBus()
    probe.close()  # only for a port that is free
    stands = [StandBus(), StandBus([OK, event(2, BAN), event(3, ban), None]), StandBus()]
    file = tmp_path / "config.json"
    texts = [
        json.dumps(configuration([node.address for node in nodes], bus.address, probe.address))
        for bus in stands
    ]
    file.write_text(texts[0])
    program = subprocess.Popen(
        [sys.executable, "-m", "mulleinrelay", "serve"],
        cwd=ROOT,
        stderr=subprocess.PIPE,
        env=os.environ | {"LB_CONFIG": str(file)},
    )

    def line():
        while (told := json.loads(program.stderr.readline()))["event"] == "event stream reconnects":
            pass
        return told

    def purged():
        caller.send()
        assert caller.answer()[1:] == (0, {}, b"bytes")
        return any("within" in fields for node in nodes for _, _, fields, _ in node.heard)

    try:
        assert line()["phase"] == "ready"
        host, port = probe.address.split(":")
        caller = Caller((host, int(port)))
        caller.socket.sendall(WELL)
        assert caller.answer()[:2] == (1, 0)
        caller.send()
        assert caller.answer() == (1, 0, {}, b"bytes")
        # Guards against an end by SIGHUP, a faulty file that is taken over, and events lost by the
        # move.
        for text, told in ((texts[1], "read"), ("{}", "kept"), (texts[2], "read")):
            file.write_text(text)
            program.send_signal(signal.SIGHUP)
            assert line()["event"] == f"configuration {told}"
            assert wait_for(purged)
        assert wait_for(lambda: stands[2].asked) and [bus.asked for bus in stands] == [
            [1],
            [1],
            [3],
        ]
        program.send_signal(signal.SIGTERM)
        assert program.wait(10.0) == 0
        assert [line()["phase"], line()["phase"]] == ["draining", "stopped"]
    finally:
        program.kill()
        for each in (*nodes, *stands):
            each.close()
        program.stderr.close()


@pytest.mark.parametrize("place", [0, 1, -1])  # of the thread that the system interrupts
def test_a_signal_is_obeyed_whichever_thread_it_breaks(place, tmp_path):
    bus = StandBus()
    file = tmp_path / "config.json"
    file.write_text(json.dumps(configuration(bus=bus.address)))
    with Program(file) as program:
        pid = program.process.pid
        threads = sorted(int(name) for name in os.listdir(f"/proc/{pid}/task"))
        assert len(threads) > 3
        for number in (signal.SIGHUP, signal.SIGTERM):
            assert ctypes.CDLL(None).tgkill(pid, threads[place], number) == 0
            time.sleep(0.1)
        assert program.wait(10.0) == 0
        assert program.says(event="configuration read") and program.says(phase="stopped")
    bus.close()


def test_a_stream_that_has_moved_is_found_though_no_signal_came(tmp_path):
    old, new = StandBus(), StandBus()
    file = tmp_path / "config.json"
    file.write_text(json.dumps(configuration(bus=old.address)))
    with Program(file):
        assert wait_for(lambda: old.asked)
        file.write_text(json.dumps(configuration(bus=new.address)))
        old.close()
        assert wait_for(lambda: new.asked, 8.0)
    new.close()


@pytest.mark.parametrize(
    "tries, outcome", [(1, "renewed"), (2, "renewed"), (9, "configuration kept")]
)
def test_a_configuration_that_is_not_whole_yet_is_read_again(tries, outcome, tmp_path, monkeypatch):
    file, sink, slept = tmp_path / "config.json", Sink(), []
    file.write_text("{")

    def pass_time(_):
        slept.append(1)
        if len(slept) == tries:
            file.write_text(json.dumps(configuration()))

    monkeypatch.setattr(time, "sleep", pass_time)
    sink.reload = lambda start: sink.event("renewed", bus=start.event_stream_address)
    process.reload_configuration(sink, sink, str(file))
    assert sink.events == [outcome]


def test_a_step_of_the_systems_clock_reaches_no_timer(monkeypatch):
    with Running() as director:
        before = director.service.clock()
        assert abs(before - time.time() * 1000.0) < 1000.0
        monkeypatch.setattr(time, "time", lambda: 0.0)
        assert 0.0 <= director.service.clock() - before < 1000.0


def test_a_clock_that_fails_goes_on(monkeypatch):
    with Running() as director:
        tick, failed = director.service.coordinator.run_due_timers, []

        def fail_once():
            if not failed:
                failed.append(1)
                raise KeyError("tick")
            return tick()

        monkeypatch.setattr(director.service.coordinator, "run_due_timers", fail_once)
        caller = director.caller()
        assert wait_for(lambda: "fault" in director.sink.events)
        caller.send()
        assert caller.answer()[:2] == (1, 0) and director.sink.events.count("fault") == 1

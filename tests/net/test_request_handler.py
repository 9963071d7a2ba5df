"""Calls of clients: answers, bad calls and limits."""

import pytest
from helpers import (
    HIT,
    WELL,
    Running,
    call_frame,
    wait_for,
)

pytestmark = pytest.mark.usefixtures("short_drains")


@pytest.mark.parametrize(
    ("got", "entity", "current"),
    [("aa", "aa", True), ("aa", "ab", False), (None, "aa", False), (None, "", False)],
)
def test_not_modified_is_answered_only_where_endpoint_named_the_clients_copy(got, entity, current):
    with Running((b"KEEP", b"why=HIT,entity=%s,issued=1" % entity.encode(), b"")) as director:
        caller = director.caller()
        caller.send(got=got)
        assert (caller.answer()[2].get("ok304") == "1") is current


@pytest.mark.parametrize("size", [0, 1, 240_000])
def test_bytes_pass_through_unchanged(size):
    body = bytes(range(256)) * (size // 256) + bytes(range(size % 256))
    with Running((b"DONE", b"why=HIT", body)) as director:
        caller = director.caller()
        caller.send()
        assert caller.answer() == (1, 0, {}, body)


def test_copy_that_the_client_holds_is_not_sent_again():
    with Running((b"KEEP", b"why=HIT,entity=4be0c1927d55a6f3", b"")) as director:
        caller = director.caller()
        caller.send(got="4be0c1927d55a6f3")
        assert caller.answer() == (1, 0, {"ok304": "1"}, b"")
        assert director.heard()[0][2]["mine"] == "4be0c1927d55a6f3"


def test_write_is_forwarded_unchanged():
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
    ("request_class", "plan", "what"),
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
def test_failed_attempt_ends_as_the_request_class_permits(request_class, plan, what):
    with Running(plan) as director:
        caller = director.caller()
        caller.send(request_class)
        assert caller.answer()[:2] == (1, what)
        assert request_class != "pay" or what == 1 or len(director.heard()) == 1


def test_cancellation_and_closed_connection_end_the_request():
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
    ("changes", "told"),
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
def test_unusable_call_makes_no_attempt(changes, told):
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
def test_bytes_that_are_no_call_end_only_their_connection(data):
    with Running() as director:
        bad, good = director.caller(), director.caller()
        bad.socket.sendall(data)
        with pytest.raises((EOFError, ConnectionError)):
            bad.answer()
        good.send()
        assert good.answer()[:2] == (1, 0) and "bad frame" in director.sink.events


def test_unknown_method_is_answered_with_an_exception():
    with Running() as director:
        caller = director.caller()
        caller.socket.sendall(call_frame("what", 5, b"\x00") + WELL)
        assert caller.answer() == (5, "unknown method", {}, b"")
        assert caller.answer()[:2] == (1, 0)


def test_exception_in_a_thread_is_logged_and_its_request_answered(monkeypatch):
    with Running() as director:
        monkeypatch.setattr(director.service.upstream, "send", lambda *_: 1 / 0)
        caller = director.caller()
        caller.send()
        assert caller.answer()[:2] == (1, 2) and "fault" in director.sink.events
        assert (
            director.service.coordinator.pending_count() == 0
        )  # guards against lives that nobody picks for


def test_limits_give_a_plain_outcome(monkeypatch):
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


def test_orders_are_admitted_where_pages_have_used_up_their_capacity():
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


@pytest.mark.parametrize("case", ["number", "many", "id", "repeats"])
def test_protocol_violation_is_answered_and_ends_no_other_request(case):
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


@pytest.mark.parametrize(("late", "pages"), [(0.0, 0), (5000.0, 1)])
def test_director_short_of_cpu_admits_requests_with_an_effect(late, pages):
    with Running(HIT) as director:
        caller, coordinator = director.caller(), director.service.coordinator
        coordinator.scheduling_delay.record(coordinator.clock() + (60_000.0 if late else 0.0), late)
        caller.send()
        assert caller.answer()[1] == pages
        caller.send("order")
        assert caller.answer()[1] == 0

"""Calls of clients: answers, bad calls and limits."""

import pytest
from helpers import (
    HIT_ANSWER,
    IS_WELL_CALL,
    RunningDirector,
    call_frame,
    wait_for,
)

pytestmark = pytest.mark.usefixtures("short_drains")


@pytest.mark.parametrize(
    ("got", "entity", "current"),
    [("aa", "aa", True), ("aa", "ab", False), (None, "aa", False), (None, "", False)],
)
def test_not_modified_is_answered_only_where_endpoint_named_the_clients_copy(got, entity, current):
    with RunningDirector(
        (b"KEEP", b"why=HIT,entity=%s,issued=1" % entity.encode(), b"")
    ) as running:
        caller = running.connect_client()
        caller.send(got=got)
        assert (caller.read_answer()[2].get("ok304") == "1") is current


@pytest.mark.parametrize("size", [0, 1, 240_000])
def test_bytes_pass_through_unchanged(size):
    body = bytes(range(256)) * (size // 256) + bytes(range(size % 256))
    with RunningDirector((b"DONE", b"why=HIT", body)) as running:
        caller = running.connect_client()
        caller.send()
        assert caller.read_answer() == (1, 0, {}, body)


def test_copy_that_the_client_holds_is_not_sent_again():
    with RunningDirector((b"KEEP", b"why=HIT,entity=4be0c1927d55a6f3", b"")) as running:
        caller = running.connect_client()
        caller.send(got="4be0c1927d55a6f3")
        assert caller.read_answer() == (1, 0, {"ok304": "1"}, b"")
        assert running.commands()[0][2]["mine"] == "4be0c1927d55a6f3"


def test_write_is_forwarded_unchanged():
    with RunningDirector() as running:
        caller = running.connect_client()
        caller.send(
            "order", body=b"\r\n" * 24_000, trace="9b1f03aa5c7e2d41", nonce="5c0f6e1a", nth="3"
        )
        assert caller.read_answer()[:2] == (1, 0)
        ((_, about, fields, body),) = running.commands()
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
    with RunningDirector(plan) as running:
        caller = running.connect_client()
        caller.send(request_class)
        assert caller.read_answer()[:2] == (1, what)
        assert request_class != "pay" or what == 1 or len(running.commands()) == 1


def test_cancellation_and_closed_connection_end_the_request():
    with RunningDirector(
        lambda fields: None if fields["name"].endswith("ab") else HIT_ANSWER
    ) as running:
        caller, other = running.connect_client(), running.connect_client()
        number = caller.send()
        other.send()
        assert wait_for(lambda: len(running.commands()) == 2)
        caller.socket.sendall(
            call_frame("forget", 0, b"\x08\x00\x01" + number.to_bytes(4, "big") + b"\0", 4)
        )
        other.close()
        assert wait_for(lambda: len(running.commands("KILL")) == 2)
        assert running.director.coordinator.pending_count() == 0
        caller.send(entity="00000000000000cd")
        assert caller.read_answer()[:2] == (2, 0)


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
    with RunningDirector() as running:
        caller = running.connect_client()
        caller.send(**changes)
        assert caller.read_answer() == (1, told, {}, b"")
        caller.send()
        assert caller.read_answer()[:2] == (2, 0) and len(running.commands()) == 1


@pytest.mark.parametrize(
    "data",
    [
        b"\xff\xff\xff\xff",
        b"\x7f\xff\xff\xff",
        b"GET / HTTP/1.1\r\n\r\n",
        b"\x00\x00\x00\x04abcd",
        IS_WELL_CALL.replace(b"\x80\1\0\1", b"\x80\2\0\1"),
    ],
)
def test_bytes_that_are_no_call_end_only_their_connection(data):
    with RunningDirector() as running:
        bad, good = running.connect_client(), running.connect_client()
        bad.socket.sendall(data)
        with pytest.raises((EOFError, ConnectionError)):
            bad.read_answer()
        good.send()
        assert good.read_answer()[:2] == (1, 0) and "bad frame" in running.log.event_names


def test_unknown_method_is_answered_with_an_exception():
    with RunningDirector() as running:
        caller = running.connect_client()
        caller.socket.sendall(call_frame("what", 5, b"\x00") + IS_WELL_CALL)
        assert caller.read_answer() == (5, "unknown method", {}, b"")
        assert caller.read_answer()[:2] == (1, 0)


def test_exception_in_a_thread_is_logged_and_its_request_answered(monkeypatch):
    with RunningDirector() as running:
        monkeypatch.setattr(running.director.upstream, "send", lambda *_: 1 / 0)
        caller = running.connect_client()
        caller.send()
        assert caller.read_answer()[:2] == (1, 2) and "fault" in running.log.event_names
        assert (
            running.director.coordinator.pending_count() == 0
        )  # guards against lives that nobody picks for


def test_limits_give_a_plain_outcome(monkeypatch):
    with RunningDirector(None) as running:
        running.director.request_handler.max_requests, running.director.listener.max_clients = 2, 2
        caller, idle = running.connect_client(), running.connect_client()
        for _ in range(3):
            caller.send(patience="500")
        number, what, told = caller.read_answer()[:3]
        assert (number, what) == (3, 1) and 50 <= int(told["pause"]) <= 150  # no room: at once
        idle.socket.sendall(IS_WELL_CALL)
        assert idle.read_answer()[1] == 0
        newcomer = running.connect_client()  # the idle one makes room
        newcomer.socket.sendall(IS_WELL_CALL)
        assert newcomer.read_answer()[1] == 0
        with pytest.raises((EOFError, ConnectionError)):
            idle.read_answer()


def test_orders_are_admitted_where_pages_have_used_up_their_capacity():
    with RunningDirector(None) as running:
        running.director.request_handler.max_requests = 8
        pages, orders = running.connect_client(), running.connect_client()
        for _ in range(20):
            pages.send(patience="3000")
        assert [pages.read_answer()[1] for _ in range(13)] == [1] * 13  # rejected at once
        assert running.director.coordinator.pending_count() == 7
        orders.send("order", patience="3000")
        assert wait_for(lambda: running.director.coordinator.pending_count() == 8)
        assert wait_for(
            lambda: any(b"order" in bytes(str(heard), "ascii") for heard in running.commands())
        )


@pytest.mark.parametrize("case", ["number", "many", "id", "repeats"])
def test_protocol_violation_is_answered_and_ends_no_other_request(case):
    # Guards against two answers under one number, nodes that mix up two requests of one id,
    # hundreds of requests at once that take all links, and bad calls that come again at full speed.
    with RunningDirector(
        lambda fields: None if fields["name"].endswith("ab") else HIT_ANSWER
    ) as running:
        other, bad = running.connect_client(), running.connect_client()
        other.send(patience="900", trace="a" * 16)
        assert wait_for(running.commands)
        told = []
        if case == "number":
            bad.call_count = 9
            bad.send()
            bad.call_count = 9
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
        assert [bad.read_answer()[1] for _ in told] == told
        if case == "repeats":
            with pytest.raises((EOFError, ConnectionError)):
                bad.read_answer()
        else:
            bad.send(entity="00000000000000ce")
            if case == "many":  # still open: no answer but the exception
                assert bad.read_answer()[1] == "more than 32 requests are open"
            else:
                assert bad.read_answer()[:2] == (bad.call_count, 0)
        assert other.read_answer()[:2] == (1, 1)


@pytest.mark.parametrize(("late", "pages"), [(0.0, 0), (5000.0, 1)])
def test_director_short_of_cpu_admits_requests_with_an_effect(late, pages):
    with RunningDirector(HIT_ANSWER) as running:
        caller, coordinator = running.connect_client(), running.director.coordinator
        coordinator.scheduling_delay.record(coordinator.clock() + (60_000.0 if late else 0.0), late)
        caller.send()
        assert caller.read_answer()[1] == pages
        caller.send("order")
        assert caller.read_answer()[1] == 0

"""Client calls: answers, invalid calls and limits."""

import pytest
from helpers import (
    HIT_ANSWER,
    IS_WELL_CALL,
    RunningDirector,
    call_frame,
    wait_for,
)

pytestmark = pytest.mark.usefixtures("short_drains", "long_timeouts")


@pytest.mark.parametrize(
    ("got", "entity", "is_current"),
    [("aa", "aa", True), ("aa", "ab", False), (None, "aa", False), (None, "", False)],
)
def test_not_modified_is_answered_only_if_endpoint_named_the_clients_copy(got, entity, is_current):
    with RunningDirector(
        (b"KEEP", b"why=HIT,entity=%s,issued=1" % entity.encode(), b"")
    ) as running:
        client = running.connect_client()
        client.send(got=got)
        assert (client.read_answer()[2].get("ok304") == "1") is is_current


@pytest.mark.parametrize("size", [0, 1, 240_000])
def test_bytes_pass_through_unchanged(size):
    body = bytes(range(256)) * (size // 256) + bytes(range(size % 256))
    with RunningDirector((b"DONE", b"why=HIT", body)) as running:
        client = running.connect_client()
        client.send()
        assert client.read_answer() == (1, 0, {}, body)


def test_copy_that_the_client_holds_is_not_sent_again():
    with RunningDirector((b"KEEP", b"why=HIT,entity=4be0c1927d55a6f3", b"")) as running:
        client = running.connect_client()
        client.send(got="4be0c1927d55a6f3")
        assert client.read_answer() == (1, 0, {"ok304": "1"}, b"")
        assert running.commands()[0][2]["mine"] == "4be0c1927d55a6f3"


def test_write_is_forwarded_unchanged():
    with RunningDirector() as running:
        client = running.connect_client()
        client.send(
            "order", body=b"\r\n" * 24_000, trace="9b1f03aa5c7e2d41", nonce="5c0f6e1a", nth="3"
        )
        assert client.read_answer()[:2] == (1, 0)
        ((_, request_id, fields, body),) = running.commands()
        assert (request_id, body) == ("9b1f03aa5c7e2d41", b"\r\n" * 24_000)
        assert {name: fields[name] for name in ("lane", "name", "piece", "dedupe")} == {
            "lane": "order",
            "name": "00000000000000ab",
            "piece": "3",
            "dedupe": "5c0f6e1a",
        }


@pytest.mark.parametrize(
    ("request_class", "plan", "result"),
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
def test_failed_attempt_ends_as_the_request_class_permits(request_class, plan, result):
    with RunningDirector(plan) as running:
        client = running.connect_client()
        client.send(request_class)
        assert client.read_answer()[:2] == (1, result)
        assert request_class != "pay" or result == 1 or len(running.commands()) == 1


def test_cancellation_and_closed_connection_end_the_request():
    with RunningDirector(
        lambda fields: None if fields["name"].endswith("ab") else HIT_ANSWER
    ) as running:
        client, other_client = running.connect_client(), running.connect_client()
        number = client.send(patience="6000")  # longer than each of the waits
        other_client.send(patience="6000")
        assert wait_for(lambda: len(running.commands()) == 2)
        client.socket.sendall(
            call_frame("forget", 0, b"\x08\x00\x01" + number.to_bytes(4, "big") + b"\0", 4)
        )
        other_client.close()
        assert wait_for(lambda: len(running.commands("KILL")) == 2)
        assert wait_for(lambda: running.director.coordinator.pending_count() == 0)
        client.send(entity="00000000000000cd")
        assert client.read_answer()[:2] == (2, 0)


@pytest.mark.parametrize(
    ("changes", "message"),
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
def test_invalid_call_starts_no_attempt(changes, message):
    with RunningDirector() as running:
        client = running.connect_client()
        client.send(**changes)
        assert client.read_answer() == (1, message, {}, b"")
        client.send()
        assert client.read_answer()[:2] == (2, 0) and len(running.commands()) == 1


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
def test_invalid_bytes_close_only_their_connection(data):
    with RunningDirector() as running:
        bad_client, other_client = running.connect_client(), running.connect_client()
        bad_client.socket.sendall(data)
        with pytest.raises((EOFError, ConnectionError)):
            bad_client.read_answer()
        other_client.send()
        assert other_client.read_answer()[:2] == (1, 0) and "bad frame" in running.log.event_names


def test_unknown_method_is_answered_with_an_exception():
    with RunningDirector() as running:
        client = running.connect_client()
        client.socket.sendall(call_frame("what", 5, b"\x00") + IS_WELL_CALL)
        assert client.read_answer() == (5, "unknown method", {}, b"")
        assert client.read_answer()[:2] == (1, 0)


def test_exception_in_a_thread_is_logged_and_its_request_answered(monkeypatch):
    with RunningDirector() as running:
        monkeypatch.setattr(running.director.upstream, "send", lambda *_: 1 / 0)
        client = running.connect_client()
        client.send()
        assert client.read_answer()[:2] == (1, 2) and "fault" in running.log.event_names
        # The request must not stay pending without a thread that finishes it.
        assert running.director.coordinator.pending_count() == 0


def test_requests_and_clients_over_the_limits_are_rejected_or_evicted(monkeypatch):
    with RunningDirector(None) as running:
        # The client's own requests count twice.
        running.director.request_handler.max_requests, running.director.listener.max_clients = 4, 2
        client, idle_client = running.connect_client(), running.connect_client()
        for _ in range(3):
            client.send(patience="3000")
        number, result, fields = client.read_answer()[:3]
        # The third request is rejected at once, as there is no capacity for it.
        assert (number, result) == (3, 1) and 50 <= int(fields["pause"]) <= 150
        idle_client.socket.sendall(IS_WELL_CALL)
        assert idle_client.read_answer()[1] == 0
        new_client = running.connect_client()  # the idle client is evicted
        new_client.socket.sendall(IS_WELL_CALL)
        assert new_client.read_answer()[1] == 0
        with pytest.raises((EOFError, ConnectionError)):
            idle_client.read_answer()


def test_orders_are_admitted_when_pages_have_used_up_their_capacity():
    with RunningDirector(None) as running:
        running.director.request_handler.max_requests = 8
        page_clients = [running.connect_client() for _ in range(20)]
        order_client = running.connect_client()
        pending_counts = []
        for client in page_clients:  # each has one request, since a client's own count twice
            client.send(patience="3000")
            if len(pending_counts) >= 7:
                assert client.read_answer()[1] == 1
            else:
                expected_count = len(pending_counts) + 1
                assert wait_for(
                    lambda count=expected_count: (
                        running.director.coordinator.pending_count() == count
                    )
                )
            pending_counts.append(running.director.coordinator.pending_count())
        assert pending_counts == [1, 2, 3, 4, 5, 6, *([7] * 14)]
        order_client.send("order", patience="3000")
        assert wait_for(lambda: running.director.coordinator.pending_count() == 8)
        assert wait_for(
            lambda: any(b"order" in bytes(str(command), "ascii") for command in running.commands())
        )


def test_request_without_time_left_is_rejected_and_not_counted_by_the_router():
    # Guards against a client whose calls wait unread for long and that makes the director take its
    # rejections for an overload, which withholds retries from the requests of all clients.
    with RunningDirector(HIT_ANSWER) as running:
        client, router = running.connect_client(), running.director.coordinator.router
        for _ in range(20):
            client.send(patience="0.5")
            assert client.read_answer()[1] == 1
        assert not router.overload.rejected and not running.commands()
        assert not running.director.coordinator.pending_count()
        client.send()
        assert client.read_answer()[1] == 0
        assert {fields.get("why") for fields in running.log.fields} >= {
            "no time left when it was read"
        }


@pytest.mark.parametrize("violation", ["number", "many", "id", "repeats"])
def test_protocol_violation_is_answered_and_affects_no_other_request(violation):
    # The violations are: two open requests with the same sequence number, too many open requests on
    # one connection, two requests with the same id, which endpoints would confuse, and many invalid
    # calls in a row.
    with RunningDirector(
        lambda fields: None if fields["name"].endswith("ab") else HIT_ANSWER
    ) as running:
        other_client, bad_client = running.connect_client(), running.connect_client()
        other_client.send(patience="900", trace="a" * 16)
        assert wait_for(running.commands)
        messages = []
        if violation == "number":
            bad_client.call_count = 9
            bad_client.send()
            bad_client.call_count = 9
            bad_client.send(entity="00000000000000cd")
            messages = ["the number 10 is open already"]
        elif violation == "many":
            for _ in range(33):
                bad_client.send(patience="3000")
            messages = ["more than 32 requests are open"]
        elif violation == "id":
            bad_client.send(entity="00000000000000cd", trace="a" * 16)
            messages = ["the id was used before"]
        else:
            # No more than nine, as the last one closes the connection and another write could fail.
            for _ in range(9):
                bad_client.send("nope")
            messages = ["an unknown request class"] * 9
        assert [bad_client.read_answer()[1] for _ in messages] == messages
        if violation == "repeats":
            with pytest.raises((EOFError, ConnectionError)):
                bad_client.read_answer()
        else:
            bad_client.send(entity="00000000000000ce")
            if violation == "many":  # the requests are still open
                assert bad_client.read_answer()[1] == "more than 32 requests are open"
            else:
                assert bad_client.read_answer()[:2] == (bad_client.call_count, 0)
        assert other_client.read_answer()[:2] == (1, 1)


@pytest.mark.parametrize(("lateness", "page_result"), [(0.0, 0), (5000.0, 1)])
def test_director_short_of_cpu_admits_requests_with_an_effect(lateness, page_result):
    with RunningDirector(HIT_ANSWER) as running:
        client, coordinator = running.connect_client(), running.director.coordinator
        coordinator.scheduling_delay.record(
            coordinator.clock() + (60_000.0 if lateness else 0.0), lateness
        )
        client.send()
        assert client.read_answer()[1] == page_result
        client.send("order")
        assert client.read_answer()[1] == 0
        has_logged_cause = any(fields.get("resource") == "cpu" for fields in running.log.fields)
        assert has_logged_cause == bool(lateness)


def test_client_with_many_open_requests_does_not_take_the_capacity_of_another():
    # Guards against usual clients that are rejected because one client's requests fill the
    # director.
    with RunningDirector(None) as running:
        running.director.request_handler.max_requests = 16
        greedy, usual = running.connect_client(), running.connect_client()
        for _ in range(20):
            greedy.send(patience="3000")
        assert greedy.read_answer()[1] == 1
        assert wait_for(lambda: running.director.coordinator.pending_count() == 7)
        for _ in range(3):
            usual.send(patience="3000")
        assert wait_for(lambda: running.director.coordinator.pending_count() == 10)

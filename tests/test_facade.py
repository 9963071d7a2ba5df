import json
import threading

import pytest
from helpers import Sink, Stage, settings

from mulleinrelay import wire
from mulleinrelay.coordinator import (
    CancelAttempt,
    ClientGone,
    Failed,
    Rejected,
    SendAttempt,
    Served,
)
from mulleinrelay.net import resp
from mulleinrelay.policy.model import CacheStatus, EndpointState, EndpointUpdate, Outcome
from mulleinrelay.wirehost import Instance


def test_a_request_is_served_once_and_later_word_is_dropped():
    stage = Stage()
    request = stage.take()
    order = stage.facade.next_step(request)
    assert (
        isinstance(order, SendAttempt)
        and order.address.name.startswith("s-")
        and not order.attempt.outcome
    )
    stage.facade.report_outcome(order.attempt, Outcome.SERVED, CacheStatus.HIT, answer="bytes")
    stage.facade.report_outcome(order.attempt, Outcome.ERROR)
    stage.facade.client_left(request)
    verdict = stage.facade.next_step(request)
    assert isinstance(verdict, Served) and verdict.answer == "bytes"
    assert order.attempt.outcome == Outcome.SERVED and not stage.facade.pending_count()


@pytest.mark.parametrize(
    "first, second, verdict",
    [
        ("forget", "report", ClientGone),
        ("report", "forget", Served),
        ("forget", "wind_up", ClientGone),
        ("wind_up", "forget", Rejected),
        ("wind_up", "report", Rejected),
        ("report", "wind_up", Served),
        ("time", "report", Rejected),
        ("report", "time", Served),
    ],
)
def test_whoever_comes_second_finds_the_request_ended(first, second, verdict):
    stage = Stage()
    request = stage.take()
    attempt = stage.facade.next_step(request).attempt
    deeds = {
        "forget": lambda: stage.facade.client_left(request),
        "wind_up": stage.facade.finish_pending_requests,
        "report": lambda: stage.facade.report_outcome(attempt, Outcome.SERVED, CacheStatus.HIT),
        "time": lambda: stage.pass_time(7000.0),
    }
    deeds[first]()
    deeds[second]()
    steps = [stage.facade.next_step(request)]
    while isinstance(steps[-1], CancelAttempt):
        steps.append(stage.facade.next_step(request))
    assert isinstance(steps[-1], verdict) and not stage.facade.pending_count()
    assert [step.attempt for step in steps[:-1]] == ([] if first == "report" else request.attempts)


@pytest.mark.parametrize(
    "request_class, sent, outcome, verdict",
    [
        ("pages", True, None, Rejected),
        ("order", True, None, Rejected),
        ("pay", True, None, Failed),
        ("pay", False, None, Rejected),
        ("pay", True, Outcome.RESET, Failed),
    ],
)
def test_the_last_answers_of_a_drain_are_true(request_class, sent, outcome, verdict):
    # Guards against a drain that calls harmless what may have run.
    stage = Stage()
    request = stage.take(request_class)
    if sent:
        attempt = stage.facade.next_step(request).attempt
        if outcome is not None:
            stage.facade.report_outcome(attempt, outcome)
    else:
        request.attempts[0].outcome = Outcome.NOT_SENT
    stage.facade.finish_pending_requests()
    assert isinstance(stage.until_verdict(request), verdict)


def test_a_attempt_that_was_called_off_before_it_was_picked_is_never_sent():
    stage = Stage()
    request = stage.take()
    stage.facade.client_left(request)
    assert isinstance(stage.facade.next_step(request), ClientGone)
    assert request.attempts[0].outcome == Outcome.CANCELLED


def test_a_attempt_over_its_time_is_given_up_and_reported():
    stage = Stage(
        allowed={"cancel": False}
    )  # the module calls nothing off: the caller keeps the time
    request = stage.take()
    attempt = stage.facade.next_step(request).attempt
    stage.pass_time(6001.0)
    assert attempt.outcome == Outcome.TIMEOUT
    assert isinstance(stage.until_verdict(request), Rejected)


def test_one_thread_at_a_time_picks_for_a_request():
    # Guards against a verdict that one thread carries out while another still sends an attempt.
    stage, found = Stage(), []
    request = stage.take()
    attempt = stage.facade.next_step(request).attempt

    def pick_elsewhere():
        other = threading.Thread(target=lambda: found.append(stage.facade.next_step(request)))
        other.start()
        other.join()

    stage.facade.report_outcome(attempt, Outcome.SERVED, CacheStatus.HIT, answer=1)
    pick_elsewhere()
    assert found == [None]
    assert stage.facade.next_step(request).answer == 1 and stage.facade.next_step(request) is None

    request = stage.take()
    attempt = stage.facade.next_step(request).attempt
    assert (
        stage.facade.next_step(request) is None
    )  # nothing left to do: whoever brings more may pick
    stage.facade.report_outcome(attempt, Outcome.SERVED, CacheStatus.HIT, answer=2)
    pick_elsewhere()
    assert found[1].answer == 2


def test_a_request_without_room_is_rejected_unsent():
    stage = Stage()
    request = stage.take(room=False)
    verdict = stage.facade.next_step(request)
    assert isinstance(verdict, Rejected) and verdict.retry_after_ms > 0.0 and not request.attempts


def test_tick_runs_what_is_due_and_says_when_next():
    stage = Stage()
    request = stage.take(left=300.0)
    due, *_ = stage.facade.run_due_timers()
    assert stage.now < due <= request.deadline
    while not request.is_complete:
        stage.now = due
        due, _, moved = stage.facade.run_due_timers()
    assert moved == [request]
    assert stage.now < request.deadline


def test_rest_ends_early_for_an_earlier_timer():
    stage = Stage()
    stage.now_is_real()
    done = threading.Event()
    waiter = threading.Thread(
        target=lambda: (stage.facade.wait_until(stage.now + 60_000.0), done.set())
    )
    waiter.start()
    assert not done.wait(0.05)
    stage.take()
    assert done.wait(5.0)


@pytest.mark.parametrize("broken", ["requested", "answered"])
def test_a_module_that_fails_still_owes_one_answer(broken):
    # Guards against a client that waits in vain for a request on which the module broke.
    stage, sink = Stage(), Sink()
    stage.facade.log_events = sink
    setattr(stage.facade.router, broken, lambda *_: 1 / 0)
    request = stage.take()
    if broken == "answered":
        stage.facade.report_outcome(stage.facade.next_step(request).attempt, Outcome.MISS)
    assert isinstance(stage.facade.next_step(request), Failed) and sink.events == ["fault"]


def test_a_request_without_a_verdict_is_failed_by_the_clock():
    stage = Stage()
    request = stage.take(left=200.0)
    stage.facade.next_step(request)
    stage.facade.router.woken = stage.facade.router.answered = lambda *_: None
    stage.pass_time(209.0)
    assert isinstance(stage.until_verdict(request), Failed)


@pytest.mark.parametrize(
    "change, kept",
    [({}, True), ({"address": ("127.0.0.1", 9)}, False), ({"started_at": 5.0}, False)],
)
def test_a_machine_that_starts_again_gets_a_new_place(change, kept):
    # Guards against attempts on the connections of the machine that had the address before.
    stage = Stage()
    entry = stage.entries[0]
    member = stage.facade.endpoints[entry.name]
    before = stage.facade.addresses[member]
    for name, value in change.items():
        setattr(entry, name, value)
    stage.facade.update_endpoints([entry], False)
    assert (stage.facade.addresses[member] is before) == kept and before.is_removed != kept


def test_a_node_that_a_whole_list_leaves_out_is_gone():
    stage = Stage()
    before = stage.facade.addresses[stage.facade.endpoints["s-01"]]
    stage.facade.update_endpoints(stage.entries[1:], True)
    assert before.is_removed and not any(
        place.is_removed for place in stage.facade.addresses.values()
    )


def test_nothing_is_kept_of_nodes_that_have_gone():
    # Guards against memory that grows with every node that is replaced, in the facade and in the
    # module.
    stage, entry = Stage(), None
    for number in range(50):
        gone, entry = (
            entry,
            EndpointUpdate(
                f"s-5{number}", ("127.0.0.1", 9), EndpointState.READY, 4.0, 0, 1, 0, 0.0
            ),
        )
        if gone is not None:
            gone.state = EndpointState.GONE
        stage.facade.update_endpoints([entry] + ([gone] if gone else []), False)
        stage.until_verdict(stage.take(left=0.0))
    assert (
        len(stage.facade.endpoints)
        == len(stage.facade.addresses)
        == len(stage.facade.router.members)
        == 7
    )


class Calls:
    """Stands for the module and keeps what it is called with."""

    def __init__(self, terms):
        self.terms, self.seen = terms, []

    def round(self, now, inbox, out):
        for method, arguments in inbox:
            if method == "answered":
                attempt, outcome, _, closed, note, waited, load = arguments
                self.seen.append((outcome, closed, note, waited, load))
            elif method == "told":
                self.seen.append(arguments[1])


NAMES = list(resp.CACHE_STATUS_BY_WORD)


@pytest.mark.parametrize(
    "word, status, note",
    [
        (b"DONE", 0, 1),
        (b"DONE", 0, 3),
        (b"DONE", 0, 5),
        (b"KEEP", 0, 1),
        (b"LACK", 2, 8),
        (b"LACK", 2, 0),
        (b"WAIT", 11, 6),
        (b"WAIT", 11, 9),
        (b"BROKE", 5, 7),
        (b"BROKE", 5, 10),
        (b"PAST", 114, 0),
    ],
)
def test_sockets_and_simulator_call_the_module_alike(word, status, note):
    stage = Stage()
    request = stage.take()
    attempt = stage.facade.next_step(request).attempt
    ours = stage.facade.router = Calls(stage.facade.settings)
    fields = f"delay=12.5,why={NAMES[note - 1]}" if note else "delay=12.5"
    told = resp.parse_answer([memoryview(item) for item in (b"a1", word, fields.encode(), b"")], {})
    stage.facade.report_outcome(
        attempt, told.outcome, told.cache_status, told.delay, told.load_report, told
    )

    theirs = Instance(1)
    theirs.take(0.0, wire.BEGIN, (7, json.dumps(settings()).encode()), {})
    theirs.director = Calls(theirs.director.terms)
    theirs.requests[1] = stage.again(request)
    closed = int(status == 0)
    theirs.take(
        5.0, wire.ANSWER, (1, 0, bytes(6), status, 3.0, closed, note, 12.5, 0, 0, 0, 0, 0), {}
    )
    theirs.play(5.0)
    assert ours.seen == theirs.director.seen and len(ours.seen) == 1


def test_a_probe_is_handed_out_and_its_report_handed_in():
    stage = Stage(report={"how": "probe", "columns": ["x1"]})
    probes = []
    while not probes:  # reports are earned by requests
        stage.now += 100.0
        stage.take()
        _, probes, _ = stage.facade.run_due_timers()
    ((node, place),) = probes
    assert place is stage.facade.addresses[node]
    stage.facade.report_health_check(node, {"crowding": 2.5})
    assert stage.facade.router.link == 2.5


def test_a_report_in_an_answer_reaches_the_module():
    stage = Stage(report={"how": "answers", "columns": ["x1"]})
    attempt = stage.facade.next_step(stage.take()).attempt
    stage.facade.report_outcome(attempt, Outcome.SERVED, CacheStatus.HIT, load={"crowding": 3.5})
    assert stage.facade.router.link == 3.5

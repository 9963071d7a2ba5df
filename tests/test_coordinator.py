import json
import threading

import pytest
from helpers import CoordinatorFixture, start_settings

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
from mulleinrelay.policy.events import (
    AttemptFinished,
    HealthCheckFinished,
    RequestReceived,
    TimerFired,
)
from mulleinrelay.policy.model import CacheStatus, EndpointState, EndpointUpdate, Outcome
from mulleinrelay.wirehost import Instance


def test_a_request_is_served_once_and_later_reports_are_dropped():
    stage = CoordinatorFixture()
    request = stage.accept()
    order = stage.coordinator.next_step(request)
    assert (
        isinstance(order, SendAttempt)
        and order.address.name.startswith("s-")
        and not order.attempt.outcome
    )
    stage.coordinator.report_outcome(order.attempt, Outcome.SERVED, CacheStatus.HIT, answer="bytes")
    stage.coordinator.report_outcome(order.attempt, Outcome.ERROR)
    stage.coordinator.client_left(request)
    result = stage.coordinator.next_step(request)
    assert isinstance(result, Served) and result.answer == "bytes"
    assert order.attempt.outcome == Outcome.SERVED and not stage.coordinator.pending_count()


@pytest.mark.parametrize(
    ("first", "second", "result"),
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
def test_the_first_event_decides_the_result_of_a_request(first, second, result):
    stage = CoordinatorFixture()
    request = stage.accept()
    attempt = stage.coordinator.next_step(request).attempt
    events = {
        "forget": lambda: stage.coordinator.client_left(request),
        "wind_up": stage.coordinator.finish_pending_requests,
        "report": lambda: stage.coordinator.report_outcome(
            attempt, Outcome.SERVED, CacheStatus.HIT
        ),
        "time": lambda: stage.advance_time(7000.0),
    }
    events[first]()
    events[second]()
    steps = [stage.coordinator.next_step(request)]
    while isinstance(steps[-1], CancelAttempt):
        steps.append(stage.coordinator.next_step(request))
    assert isinstance(steps[-1], result) and not stage.coordinator.pending_count()
    assert [step.attempt for step in steps[:-1]] == ([] if first == "report" else request.attempts)


@pytest.mark.parametrize(
    ("request_class", "sent", "outcome", "result"),
    [
        ("pages", True, None, Rejected),
        ("order", True, None, Rejected),
        ("pay", True, None, Failed),
        ("pay", False, None, Rejected),
        ("pay", True, Outcome.RESET, Failed),
    ],
)
def test_results_at_shutdown_reject_only_what_is_safe_to_retry(
    request_class, sent, outcome, result
):
    # A shutdown must not call safe to retry what may have run.
    stage = CoordinatorFixture()
    request = stage.accept(request_class)
    if sent:
        attempt = stage.coordinator.next_step(request).attempt
        if outcome is not None:
            stage.coordinator.report_outcome(attempt, outcome)
    else:
        request.attempts[0].outcome = Outcome.NOT_SENT
    stage.coordinator.finish_pending_requests()
    assert isinstance(stage.run_to_result(request), result)


def test_an_attempt_cancelled_before_its_step_was_taken_is_never_sent():
    stage = CoordinatorFixture()
    request = stage.accept()
    stage.coordinator.client_left(request)
    assert isinstance(stage.coordinator.next_step(request), ClientGone)
    assert request.attempts[0].outcome == Outcome.CANCELLED


def test_an_attempt_past_its_timeout_is_cancelled_and_reported():
    stage = CoordinatorFixture(
        allowed={"cancel": False}
    )  # the router cancels nothing: the coordinator keeps the time
    request = stage.accept()
    attempt = stage.coordinator.next_step(request).attempt
    stage.advance_time(6001.0)
    assert attempt.outcome == Outcome.TIMEOUT
    assert isinstance(stage.run_to_result(request), Rejected)


def test_one_thread_at_a_time_takes_the_steps_of_a_request():
    # Else one thread carries out the result while another still sends an attempt.
    stage, found = CoordinatorFixture(), []
    request = stage.accept()
    attempt = stage.coordinator.next_step(request).attempt

    def pick_elsewhere():
        other = threading.Thread(target=lambda: found.append(stage.coordinator.next_step(request)))
        other.start()
        other.join()

    stage.coordinator.report_outcome(attempt, Outcome.SERVED, CacheStatus.HIT, answer=1)
    pick_elsewhere()
    assert found == [None]
    assert (
        stage.coordinator.next_step(request).answer == 1
        and stage.coordinator.next_step(request) is None
    )

    request = stage.accept()
    attempt = stage.coordinator.next_step(request).attempt
    assert (
        stage.coordinator.next_step(request) is None
    )  # nothing to do: whoever brings the next step takes it
    stage.coordinator.report_outcome(attempt, Outcome.SERVED, CacheStatus.HIT, answer=2)
    pick_elsewhere()
    assert found[1].answer == 2


def test_a_request_without_capacity_is_rejected_without_an_attempt():
    stage = CoordinatorFixture()
    request = stage.accept(has_capacity=False)
    result = stage.coordinator.next_step(request)
    assert isinstance(result, Rejected) and result.retry_after_ms > 0.0 and not request.attempts


def test_run_due_timers_runs_what_is_due_and_returns_when_to_call_again():
    stage = CoordinatorFixture()
    request = stage.accept(remaining_time=300.0)
    due, *_ = stage.coordinator.run_due_timers()
    assert stage.now < due <= request.deadline
    while not request.is_complete:
        stage.now = due
        due, _, moved = stage.coordinator.run_due_timers()
    assert moved == [request]
    assert stage.now < request.deadline


def test_wait_until_ends_early_for_an_earlier_timer():
    stage = CoordinatorFixture()
    stage.use_real_clock()
    done = threading.Event()
    waiter = threading.Thread(
        target=lambda: (stage.coordinator.wait_until(stage.now + 60_000.0), done.set())
    )
    waiter.start()
    assert not done.wait(0.05)
    stage.accept()
    assert done.wait(5.0)


@pytest.mark.parametrize("failing", [RequestReceived, AttemptFinished])
def test_a_failing_router_still_gives_one_result(failing):
    # Else a client waits in vain for a request on which the router failed.
    stage = CoordinatorFixture()
    stage.log.event_names.clear()
    stage.coordinator.router.handlers[failing] = lambda *_: 1 / 0
    request = stage.accept()
    if failing is AttemptFinished:
        stage.coordinator.report_outcome(stage.coordinator.next_step(request).attempt, Outcome.MISS)
    assert isinstance(stage.coordinator.next_step(request), Failed) and stage.log.event_names == [
        "fault"
    ]


def test_a_request_without_a_result_is_failed_after_its_deadline():
    stage = CoordinatorFixture()
    request = stage.accept(remaining_time=200.0)
    stage.coordinator.next_step(request)
    for event in (TimerFired, AttemptFinished):
        stage.coordinator.router.handlers[event] = lambda *_: None
    stage.advance_time(209.0)
    assert isinstance(stage.run_to_result(request), Failed)


@pytest.mark.parametrize(
    ("change", "kept"),
    [({}, True), ({"address": ("127.0.0.1", 9)}, False), ({"started_at": 5.0}, False)],
)
def test_an_endpoint_that_restarts_gets_a_new_address_object(change, kept):
    # Else attempts go out on connections of the machine that had the address before.
    stage = CoordinatorFixture()
    entry = stage.endpoint_updates[0]
    member = stage.coordinator.endpoints[entry.name]
    before = stage.coordinator.addresses[member]
    for name, value in change.items():
        setattr(entry, name, value)
    stage.coordinator.update_endpoints([entry], False)
    assert (stage.coordinator.addresses[member] is before) == kept and before.is_removed != kept


def test_an_endpoint_missing_from_a_full_snapshot_is_removed():
    stage = CoordinatorFixture()
    before = stage.coordinator.addresses[stage.coordinator.endpoints["s-01"]]
    stage.coordinator.update_endpoints(stage.endpoint_updates[1:], True)
    assert before.is_removed and not any(
        address.is_removed for address in stage.coordinator.addresses.values()
    )


def test_removed_endpoints_are_forgotten():
    # Else memory grows with every endpoint that is replaced, in coordinator and router.
    stage, entry = CoordinatorFixture(), None
    for number in range(50):
        gone, entry = (
            entry,
            EndpointUpdate(
                f"s-5{number}", ("127.0.0.1", 9), EndpointState.READY, 4.0, 0, 1, 0, 0.0
            ),
        )
        if gone is not None:
            gone.state = EndpointState.GONE
        stage.coordinator.update_endpoints([entry] + ([gone] if gone else []), False)
        stage.run_to_result(stage.accept(remaining_time=0.0))
    assert (
        len(stage.coordinator.endpoints)
        == len(stage.coordinator.addresses)
        == len(stage.coordinator.router.endpoints.known)
        == 7
    )


class RecordingRouter:
    """Stands for the router and keeps what it is called with."""

    def __init__(self, settings):
        self.settings, self.seen = settings, []

    def handle(self, now, events, sink):
        for event in events:
            if isinstance(event, AttemptFinished):
                self.seen.append(
                    (
                        event.outcome,
                        event.is_request_complete,
                        event.cache_status,
                        event.first_byte_delay,
                        event.load,
                    )
                )
            elif isinstance(event, HealthCheckFinished):
                self.seen.append(event.load)


NAMES = list(resp.CACHE_STATUS_BY_WORD)


@pytest.mark.parametrize(
    ("word", "status", "note"),
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
def test_the_network_code_and_the_simulator_report_the_same_events(word, status, note):
    stage = CoordinatorFixture()
    request = stage.accept()
    attempt = stage.coordinator.next_step(request).attempt
    ours = stage.coordinator._driver.router = RecordingRouter(stage.coordinator.settings)
    fields = f"delay=12.5,why={NAMES[note - 1]}" if note else "delay=12.5"
    reply = resp.parse_answer(
        [memoryview(item) for item in (b"a1", word, fields.encode(), b"")], {}
    )
    stage.coordinator.report_outcome(
        attempt, reply.outcome, reply.cache_status, reply.delay, reply.load_report, reply
    )

    theirs = Instance(1)
    theirs.read(0.0, wire.BEGIN, (7, json.dumps(start_settings()).encode()), {})
    theirs.router = RecordingRouter(theirs.router.settings)
    theirs.requests[1] = stage.copy_with_first_attempt(request)
    closed = int(status == 0)
    theirs.read(
        5.0,
        wire.ATTEMPT_FINISHED,
        (1, 0, bytes(6), status, 3.0, closed, note, 12.5, 0, 0, 0, 0, 0),
        {},
    )
    theirs.handle(5.0)
    assert ours.seen == theirs.router.seen and len(ours.seen) == 1


def test_a_health_check_is_handed_out_and_its_load_report_reaches_the_router():
    stage = CoordinatorFixture(report={"how": "probe", "columns": ["x1"]})
    probes = []
    while not probes:  # reports are earned by requests
        stage.now += 100.0
        stage.accept()
        _, probes, _ = stage.coordinator.run_due_timers()
    ((node, address),) = probes
    assert address is stage.coordinator.addresses[node]
    stage.coordinator.report_health_check(node, {"crowding": 2.5})
    assert stage.coordinator.router.link.congestion == 2.5


def test_a_load_report_in_an_answer_reaches_the_router():
    stage = CoordinatorFixture(report={"how": "answers", "columns": ["x1"]})
    attempt = stage.coordinator.next_step(stage.accept()).attempt
    stage.coordinator.report_outcome(
        attempt, Outcome.SERVED, CacheStatus.HIT, load={"crowding": 3.5}
    )
    assert stage.coordinator.router.link.congestion == 3.5

import json
import threading
from dataclasses import replace

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
from mulleinrelay.policy.deadlines import FINAL_RESPONSE_MARGIN
from mulleinrelay.policy.events import (
    AttemptFinished,
    HealthCheckFinished,
    RequestReceived,
    TimerFired,
)
from mulleinrelay.policy.model import CacheStatus, EndpointState, EndpointUpdate, Outcome
from mulleinrelay.wirehost import Instance


def test_a_request_is_served_once_and_later_reports_are_dropped():
    fixture = CoordinatorFixture()
    request = fixture.accept()
    step = fixture.coordinator.next_step(request)
    assert (
        isinstance(step, SendAttempt)
        and step.address.name.startswith("s-")
        and not step.attempt.outcome
    )
    fixture.coordinator.report_outcome(
        step.attempt, Outcome.SERVED, CacheStatus.HIT, answer="bytes"
    )
    fixture.coordinator.report_outcome(step.attempt, Outcome.ERROR)
    fixture.coordinator.client_left(request)
    result = fixture.coordinator.next_step(request)
    assert isinstance(result, Served) and result.answer == "bytes"
    assert step.attempt.outcome == Outcome.SERVED and not fixture.coordinator.pending_count()


@pytest.mark.parametrize(
    ("first", "second", "result"),
    [
        ("client leaves", "served", ClientGone),
        ("served", "client leaves", Served),
        ("client leaves", "shutdown", ClientGone),
        ("shutdown", "client leaves", Rejected),
        ("shutdown", "served", Rejected),
        ("served", "shutdown", Served),
        ("deadline", "served", Rejected),
        ("served", "deadline", Served),
    ],
)
def test_the_first_event_decides_the_result_of_a_request(first, second, result):
    fixture = CoordinatorFixture()
    request = fixture.accept()
    attempt = fixture.coordinator.next_step(request).attempt
    events = {
        "client leaves": lambda: fixture.coordinator.client_left(request),
        "shutdown": fixture.coordinator.finish_pending_requests,
        "served": lambda: fixture.coordinator.report_outcome(
            attempt, Outcome.SERVED, CacheStatus.HIT
        ),
        "deadline": lambda: fixture.advance_time(7000.0),
    }
    events[first]()
    events[second]()
    steps = [fixture.coordinator.next_step(request)]
    while isinstance(steps[-1], CancelAttempt):
        steps.append(fixture.coordinator.next_step(request))
    assert isinstance(steps[-1], result) and not fixture.coordinator.pending_count()
    assert [step.attempt for step in steps[:-1]] == ([] if first == "served" else request.attempts)


@pytest.mark.parametrize(
    ("request_class", "is_sent", "outcome", "result"),
    [
        ("pages", True, None, Rejected),
        ("order", True, None, Rejected),
        ("pay", True, None, Failed),
        ("pay", False, None, Rejected),
        ("pay", True, Outcome.RESET, Failed),
    ],
)
def test_shutdown_rejects_only_requests_that_are_safe_to_retry(
    request_class, is_sent, outcome, result
):
    # A request that may have run must not be reported to its client as safe to retry.
    fixture = CoordinatorFixture()
    request = fixture.accept(request_class)
    if is_sent:
        attempt = fixture.coordinator.next_step(request).attempt
        if outcome is not None:
            fixture.coordinator.report_outcome(attempt, outcome)
    else:
        request.attempts[0].outcome = Outcome.NOT_SENT
    fixture.coordinator.finish_pending_requests()
    assert isinstance(fixture.run_to_result(request), result)


def test_an_attempt_cancelled_before_its_step_was_taken_is_never_sent():
    fixture = CoordinatorFixture()
    request = fixture.accept()
    fixture.coordinator.client_left(request)
    assert isinstance(fixture.coordinator.next_step(request), ClientGone)
    assert request.attempts[0].outcome == Outcome.CANCELLED


def test_an_attempt_past_its_timeout_is_cancelled_and_reported():
    # The router is not allowed to cancel attempts here, so only the coordinator's timeout can end
    # the attempt.
    fixture = CoordinatorFixture(allowed={"cancel": False})
    request = fixture.accept()
    attempt = fixture.coordinator.next_step(request).attempt
    fixture.advance_time(6001.0)
    assert attempt.outcome == Outcome.TIMEOUT
    assert isinstance(fixture.run_to_result(request), Rejected)


def test_one_thread_at_a_time_takes_the_steps_of_a_request():
    # If two threads took steps, one of them could send the result to the client while the other
    # still sends an attempt.
    fixture, other_thread_steps = CoordinatorFixture(), []
    request = fixture.accept()
    attempt = fixture.coordinator.next_step(request).attempt

    def take_step_in_other_thread():
        thread = threading.Thread(
            target=lambda: other_thread_steps.append(fixture.coordinator.next_step(request))
        )
        thread.start()
        thread.join()

    fixture.coordinator.report_outcome(attempt, Outcome.SERVED, CacheStatus.HIT, answer=1)
    take_step_in_other_thread()
    assert other_thread_steps == [None]
    assert (
        fixture.coordinator.next_step(request).answer == 1
        and fixture.coordinator.next_step(request) is None
    )

    request = fixture.accept()
    attempt = fixture.coordinator.next_step(request).attempt
    # A thread that finds no step no longer owns the request: any thread may take the next step.
    assert fixture.coordinator.next_step(request) is None
    fixture.coordinator.report_outcome(attempt, Outcome.SERVED, CacheStatus.HIT, answer=2)
    take_step_in_other_thread()
    assert other_thread_steps[1].answer == 2


def test_a_request_without_capacity_is_rejected_without_an_attempt():
    fixture = CoordinatorFixture()
    request = fixture.accept(has_capacity=False)
    result = fixture.coordinator.next_step(request)
    assert isinstance(result, Rejected) and result.retry_after_ms > 0.0 and not request.attempts


def test_run_due_timers_runs_due_timers_and_returns_when_to_call_again():
    fixture = CoordinatorFixture()
    request = fixture.accept(remaining_time=300.0)
    next_call_at, *_ = fixture.coordinator.run_due_timers()
    assert fixture.now < next_call_at <= request.deadline
    while not request.is_complete:
        fixture.now = next_call_at
        next_call_at, _, requests_with_steps = fixture.coordinator.run_due_timers()
    assert requests_with_steps == [request]
    assert fixture.now < request.deadline


def test_an_unanswered_request_is_rejected_when_its_final_response_is_due_and_not_before():
    # The final response is due at the client's deadline less a margin for its way to the client.
    fixture = CoordinatorFixture()
    request = fixture.accept(remaining_time=300.0)
    due = request.deadline - FINAL_RESPONSE_MARGIN
    fixture.advance_time(due - 1.0 - fixture.now)
    assert fixture.run_to_result(request) is None
    assert fixture.coordinator.run_due_timers() == (due, [], [])
    fixture.now = due
    *_, requests_with_steps = fixture.coordinator.run_due_timers()
    assert requests_with_steps == [request]
    assert isinstance(fixture.run_to_result(request), Rejected)


@pytest.mark.parametrize(("lateness", "utilization"), [(0.0, 0.0), (300.0, 0.75), (1000.0, 0.99)])
def test_a_late_timer_counts_as_a_lack_of_cpu_time(lateness, utilization):
    fixture = CoordinatorFixture()
    fixture.accept()
    fixture.now = fixture.coordinator.run_due_timers()[0] + lateness
    fixture.coordinator.run_due_timers()
    assert fixture.coordinator.cpu_utilization() == pytest.approx(utilization)


def test_a_request_that_waited_beyond_its_deadline_does_not_count_as_a_lack_of_cpu_time():
    # Guards against rejected requests of all clients while one client floods its connection: the
    # time for which the flood's calls had waited unread was measured as the lateness of timers.
    fixture = CoordinatorFixture()
    request = fixture.accept(remaining_time=-5000.0)
    assert isinstance(fixture.run_to_result(request), Rejected)
    fixture.coordinator.run_due_timers()
    assert fixture.coordinator.cpu_utilization() == 0.0


def test_timers_of_ended_requests_are_removed_before_they_are_due():
    # Guards against memory that grows with the rate of requests: each ended request stayed in
    # memory until its deadline.
    fixture = CoordinatorFixture()
    waiting = fixture.accept(remaining_time=5000.0)
    for _ in range(2000):
        ended = fixture.accept(has_capacity=False)
        assert isinstance(fixture.run_to_result(ended), Rejected)
    assert len(fixture.coordinator._actions.timers) < 1000
    fixture.run_to_result(waiting)
    fixture.advance_time(5000.0)
    assert isinstance(fixture.run_to_result(waiting), Rejected)


def test_wait_until_ends_early_for_an_earlier_timer():
    fixture = CoordinatorFixture()
    fixture.use_real_clock()
    done = threading.Event()
    waiter = threading.Thread(
        target=lambda: (fixture.coordinator.wait_until(fixture.now + 60_000.0), done.set())
    )
    waiter.start()
    assert not done.wait(0.05)
    fixture.accept()
    assert done.wait(5.0)


@pytest.mark.parametrize("event_type", [RequestReceived, AttemptFinished])
def test_a_failing_router_still_gives_one_result(event_type):
    # A request must not stay without a result if the router raises an exception.
    fixture = CoordinatorFixture()
    fixture.log.event_names.clear()
    fixture.coordinator.router.handlers[event_type] = lambda *_: 1 / 0
    request = fixture.accept()
    if event_type is AttemptFinished:
        fixture.coordinator.report_outcome(
            fixture.coordinator.next_step(request).attempt, Outcome.MISS
        )
    assert isinstance(
        fixture.coordinator.next_step(request), Failed
    ) and fixture.log.event_names == ["fault"]


def test_a_request_without_a_result_is_failed_after_its_deadline():
    fixture = CoordinatorFixture()
    request = fixture.accept(remaining_time=200.0)
    fixture.coordinator.next_step(request)
    for event_type in (TimerFired, AttemptFinished):
        fixture.coordinator.router.handlers[event_type] = lambda *_: None
    fixture.advance_time(209.0)
    assert isinstance(fixture.run_to_result(request), Failed)


@pytest.mark.parametrize(
    ("changes", "is_kept"),
    [({}, True), ({"address": ("127.0.0.1", 9)}, False), ({"started_at": 5.0}, False)],
)
def test_an_endpoint_that_restarts_gets_a_new_address_object(changes, is_kept):
    # With the old address object, attempts would use connections that were opened before the
    # restart or move, and that may lead to another machine.
    fixture = CoordinatorFixture()
    entry = fixture.endpoint_updates[0]
    endpoint = fixture.coordinator.endpoints[entry.name]
    old_address = fixture.coordinator.addresses[endpoint]
    for name, value in changes.items():
        setattr(entry, name, value)
    fixture.coordinator.update_endpoints([entry], False)
    endpoint_now = fixture.coordinator.endpoints[entry.name]
    assert (
        fixture.coordinator.addresses[endpoint_now] is old_address
    ) == is_kept and old_address.is_removed != is_kept
    assert (endpoint_now is endpoint) == is_kept


@pytest.mark.parametrize("changes", [{}, {"started_at": 5.0}])
def test_a_new_process_is_not_taken_for_the_removed_one_with_its_name_and_address(changes):
    # Guards against connections, copies and failures of a process that is gone being taken for
    # those of the new one, which the list shows while an attempt at the old one is in flight.
    fixture = CoordinatorFixture()
    coordinator = fixture.coordinator
    request = fixture.accept()
    attempt = coordinator.next_step(request).attempt
    old = attempt.endpoint
    ((_, old_address), *_) = attempt.addresses
    entry = coordinator.endpoint_updates[old_address.name]
    coordinator.router.locations.record(old, request, fixture.now)
    coordinator.update_endpoints([replace(entry, state=EndpointState.GONE)], False)
    coordinator.update_endpoints([replace(entry, **changes)], False)
    new = coordinator.endpoints[entry.name]
    assert new is not old and new.is_ready and not old.is_ready
    assert old_address.is_removed and not coordinator.addresses[new].is_removed
    assert not coordinator.router.fill_sources.is_believed_holder(new, request, fixture.now)
    assert not new.attempts_in_flight and not coordinator.can_begin(attempt)
    coordinator.report_outcome(attempt, Outcome.RESET)
    assert not new.is_unreachable and not new.last_reset_at
    coordinator.update_endpoints([replace(entry, **changes)], False)  # the old one is forgotten
    assert old not in coordinator.addresses and old not in coordinator.router.endpoints.known
    assert coordinator.endpoints[entry.name] is new


def test_an_update_of_another_zone_does_not_look_at_the_whole_list():
    # Guards against a drain that is obeyed late while many endpoints are replaced: the time for
    # each event was proportional to the list.
    fixture = CoordinatorFixture()
    table = fixture.coordinator.router.endpoints
    for name in ("s-a1", "s-a2"):
        entry = EndpointUpdate(name, ("127.0.0.1", 9), EndpointState.READY, 4.0, 0, 0, 0, 0.0)
        fixture.coordinator.update_endpoints([entry], False)
    roles = (table.caches, table.parents)
    known = table.known
    for state in (EndpointState.DRAINING, EndpointState.GONE):
        fixture.coordinator.update_endpoints([replace(entry, state=state)], False)
    assert table.caches is roles[0] and table.parents is roles[1] and table.known is known
    assert "s-a2" not in fixture.coordinator.endpoints
    local = fixture.endpoint_updates[0]
    fixture.coordinator.update_endpoints([replace(local, state=EndpointState.DRAINING)], False)
    assert len(table.caches) == len(roles[0]) - 1


def test_an_endpoint_missing_from_a_full_snapshot_is_removed():
    fixture = CoordinatorFixture()
    removed_address = fixture.coordinator.addresses[fixture.coordinator.endpoints["s-01"]]
    fixture.coordinator.update_endpoints(fixture.endpoint_updates[1:], True)
    assert removed_address.is_removed and not any(
        address.is_removed for address in fixture.coordinator.addresses.values()
    )


def test_removed_endpoints_are_forgotten():
    # If removed endpoints were kept, the memory of coordinator and router would grow with every
    # replaced endpoint.
    fixture, entry = CoordinatorFixture(), None
    for number in range(50):
        removed, entry = (
            entry,
            EndpointUpdate(
                f"s-5{number}", ("127.0.0.1", 9), EndpointState.READY, 4.0, 0, 1, 0, 0.0
            ),
        )
        if removed is not None:
            removed.state = EndpointState.GONE
        fixture.coordinator.update_endpoints([entry] + ([removed] if removed else []), False)
        fixture.run_to_result(fixture.accept(remaining_time=0.0))
    assert (
        len(fixture.coordinator.endpoints)
        == len(fixture.coordinator.addresses)
        == len(fixture.coordinator.router.endpoints.known)
        == 7
    )


class RecordingRouter:
    """Stand-in for the router that records attempt results and load reports of health checks."""

    def __init__(self, settings):
        self.settings, self.recorded = settings, []

    def handle(self, now, events, sink):
        for event in events:
            if isinstance(event, AttemptFinished):
                self.recorded.append(
                    (
                        event.outcome,
                        event.is_request_complete,
                        event.cache_status,
                        event.first_byte_delay,
                        event.load,
                    )
                )
            elif isinstance(event, HealthCheckFinished):
                self.recorded.append(event.load)


CACHE_STATUS_WORDS = list(resp.CACHE_STATUS_BY_WORD)


@pytest.mark.parametrize(
    ("word", "status", "cache_status"),
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
def test_the_network_code_and_the_simulator_report_the_same_events(word, status, cache_status):
    fixture = CoordinatorFixture()
    request = fixture.accept()
    attempt = fixture.coordinator.next_step(request).attempt
    network_router = fixture.coordinator._driver.router = RecordingRouter(
        fixture.coordinator.settings
    )
    fields = (
        f"delay=12.5,why={CACHE_STATUS_WORDS[cache_status - 1]}" if cache_status else "delay=12.5"
    )
    reply = resp.parse_answer(
        [memoryview(item) for item in (b"a1", word, fields.encode(), b"")], {}
    )
    fixture.coordinator.report_outcome(
        attempt, reply.outcome, reply.cache_status, reply.delay, reply.load_report, reply
    )

    instance = Instance(1)
    instance.read(0.0, wire.BEGIN, (7, json.dumps(start_settings()).encode()), {})
    instance.router = RecordingRouter(instance.router.settings)
    instance.requests[1] = fixture.copy_with_first_attempt(request)
    is_complete = int(status == 0)
    instance.read(
        5.0,
        wire.ATTEMPT_FINISHED,
        (1, 0, bytes(6), status, 3.0, is_complete, cache_status, 12.5, 0, 0, 0, 0, 0),
        {},
    )
    instance.handle(5.0)
    assert network_router.recorded == instance.router.recorded and len(network_router.recorded) == 1


def test_a_health_check_is_handed_out_and_its_load_report_reaches_the_router():
    fixture = CoordinatorFixture(report={"how": "probe", "columns": ["x1"]})
    health_checks = []
    while not health_checks:  # each request earns a fraction of a load report poll
        fixture.now += 100.0
        fixture.accept()
        _, health_checks, _ = fixture.coordinator.run_due_timers()
    ((endpoint, address),) = health_checks
    assert address is fixture.coordinator.addresses[endpoint]
    fixture.coordinator.report_health_check(endpoint, {"crowding": 2.5})
    assert fixture.coordinator.router.link.congestion == 2.5


def test_a_load_report_in_an_answer_reaches_the_router():
    fixture = CoordinatorFixture(report={"how": "answers", "columns": ["x1"]})
    attempt = fixture.coordinator.next_step(fixture.accept()).attempt
    fixture.coordinator.report_outcome(
        attempt, Outcome.SERVED, CacheStatus.HIT, load={"crowding": 3.5}
    )
    assert fixture.coordinator.router.link.congestion == 3.5

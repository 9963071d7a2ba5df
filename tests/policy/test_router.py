"""The way of a request: attempts, retries and its final response."""

import pytest
from helpers import CACHE, PARENT, RouterFixture

from mulleinrelay.policy.events import (
    AttemptFinished,
    ClientLeft,
    EndpointsUpdated,
    PurgeReceived,
    TimerFired,
)
from mulleinrelay.policy.model import IDEMPOTENT, KEYED, UNSAFE, CacheStatus, EndpointState, Outcome
from mulleinrelay.policy.router import Route


@pytest.mark.parametrize(
    ("repeat", "group", "outcome", "attempts", "final"),
    [
        (IDEMPOTENT, "all", Outcome.ERROR, 2, None),
        (KEYED, "all", Outcome.ERROR, 2, None),
        (KEYED, "zone", Outcome.ERROR, 1, "fail_request"),
        (KEYED, "zone", Outcome.REJECTED, 2, None),
        (UNSAFE, "all", Outcome.RESET, 1, "fail_request"),
        (UNSAFE, "all", Outcome.CONNECT_FAILED, 2, None),
    ],
)
def test_retries_follow_only_as_idempotency_permits(repeat, group, outcome, attempts, final):
    fleet = RouterFixture(repeat, group)
    request = fleet.receive_request()
    fleet.finish_attempt(request.attempts[0], outcome, CacheStatus.UNKNOWN, after=20)
    assert len(request.attempts) == attempts
    assert [
        name for name, _ in fleet.actions.entries if name in ("reject_request", "fail_request")
    ] == [final] * bool(final)


def test_a_keyed_request_is_not_retried_after_its_key_retention():
    fleet = RouterFixture(KEYED)
    request = fleet.receive_request()
    fleet.finish_attempt(request.attempts[0], Outcome.ERROR, CacheStatus.UNKNOWN, after=5000)
    assert len(request.attempts) == 1 and request.is_complete


@pytest.mark.parametrize(
    ("outcome", "after", "final"),
    [
        (
            Outcome.ERROR,
            4000,
            "reject_request",
        ),  # the client comes again while the idempotency key is remembered
        (Outcome.ERROR, 4900, "fail_request"),  # told to come back behind its end
        (Outcome.ERROR, 5500, "fail_request"),
        (Outcome.MISS, 5500, "reject_request"),  # never ran
    ],
)
def test_a_keyed_request_is_rejected_as_retryable_only_while_its_key_is_remembered(
    outcome, after, final
):
    fleet = RouterFixture(KEYED, max_attempts=1, max_retry_after=200.0)
    fleet.finish_attempt(
        fleet.receive_request().attempts[0], outcome, CacheStatus.UNKNOWN, after=after
    )
    assert [
        name for name, _ in fleet.actions.entries if name in ("reject_request", "fail_request")
    ] == [final]


def test_one_final_response_is_sent_before_the_client_deadline():
    fleet = RouterFixture()
    request = fleet.receive_request(remaining_time=900.0)
    delay = max(delay for delay, about in fleet.actions.take("schedule_timer") if about is request)
    assert delay < 900.0
    fleet.handle(TimerFired(request), after=delay)
    fleet.finish_attempt(request.attempts[0], Outcome.CANCELLED, CacheStatus.UNKNOWN, after=1)
    fleet.handle(ClientLeft(request), after=100)
    assert len(fleet.actions.take("reject_request")) == 1 and not fleet.actions.take("fail_request")
    assert len(request.attempts) == 1


@pytest.mark.parametrize("change", [EndpointState.DRAINING, EndpointState.GONE, None])
def test_no_attempt_is_sent_to_a_draining_or_removed_endpoint(change):
    fleet = RouterFixture()
    if change is None:
        kept = [
            fleet.endpoint_entry(fleet.caches[0], CACHE, 1),
            fleet.endpoint_entry(fleet.parents[0], PARENT, 0),
        ]
        fleet.handle(EndpointsUpdated(kept, True))
    else:
        fleet.handle(
            EndpointsUpdated(
                [fleet.endpoint_entry(m, CACHE, 1, state=change) for m in fleet.caches[1:]]
                + [fleet.endpoint_entry(fleet.parents[1], PARENT, 0, state=change)],
                False,
            )
        )
    for _ in range(60):
        attempt = fleet.receive_request().attempts[0]
        assert attempt.endpoint is fleet.caches[0] and attempt.fill_source is not fleet.parents[1]
        fleet.finish_attempt(attempt)


@pytest.mark.parametrize(("key", "group"), [(77, 1), (0, 1)])
def test_a_purge_bounds_max_age_above_zero(key, group):
    fleet = RouterFixture()
    fleet.handle(PurgeReceived(key, group, 40.0))
    for after in (
        0.0,
        0.5,
        30.0,
        1000.0,
        4000.0,
        20_000.0,
    ):  # a late fill may bring an old copy after all
        fleet.receive_request(object_id=77, after=after)
        age = fleet.actions.take("send_attempt")[-1][1].max_age
        assert 0.0 < age <= fleet.now - 100000.0 + 40.0


@pytest.mark.parametrize(
    ("outcome", "after", "least", "most"),
    [
        (Outcome.REJECTED, 50.0, 5, 13),
        (Outcome.REJECTED, 1.0, 5, 13),
        (Outcome.NOT_SENT, 50.0, 5, 13),
        (Outcome.NOT_SENT, 1.0, 30, 30),
    ],
)
def test_retries_keep_to_the_budget_and_cost_little_after_a_quick_failure(
    outcome, after, least, most
):
    """Without the budget, rejected attempts came back as three or four more."""
    fleet, further = RouterFixture(), 0
    for _ in range(30):
        request = fleet.receive_request()
        fleet.finish_attempt(request.attempts[0], outcome, CacheStatus.NOT_STORED, after=after)
        further += len(request.attempts) - 1
        for attempt in request.attempts[1:]:
            fleet.finish_attempt(attempt)
    assert least <= further <= most


@pytest.mark.parametrize(("took", "none_overdue"), [(400.0, True), (90.0, False)])
def test_without_sizes_an_attempt_is_overdue_by_past_response_times(took, none_overdue):
    """Each was overdue after twice a quarter of its objective, and its parent ejected."""
    fleet = RouterFixture(transfer_rate=0.0)
    for _ in range(8):
        attempt = fleet.receive_request(size_kb=0.0).attempts[0]
        fleet.handle(
            AttemptFinished(attempt, Outcome.SERVED, took, True, CacheStatus.UNKNOWN, 0.0, None)
        )
    request = fleet.receive_request(size_kb=0.0)
    fleet.handle(TimerFired(request.attempts[0]), after=450.0)
    assert (len(request.attempts) == 1) is none_overdue


def overdue(fleet, request):
    """Lets the last attempt become overdue; its endpoint has said nothing."""
    attempt = request.attempts[-1]
    fleet.handle(TimerFired(attempt), after=450.0)
    return attempt


@pytest.mark.parametrize(
    ("budget", "reached", "attempts", "is_given_up"),
    [
        (8.0, True, 2, False),
        (0.0, True, 1, False),  # its node lives and is slow: what is out there is about to come
        (0.0, False, 1, True),
    ],
)
def test_an_overdue_request_without_retry_budget_waits_for_a_reachable_endpoint(
    budget, reached, attempts, is_given_up
):
    """Else endpoints work for requests that were rejected meanwhile."""
    fleet = RouterFixture()
    request = fleet.receive_request()
    fleet.router.retry_policy.local_budget.tokens, request.attempts[0].endpoint.is_unreachable = (
        budget,
        not reached,
    )
    overdue(fleet, request)
    assert (len(request.attempts), request.is_complete) == (attempts, is_given_up)
    fleet.handle(TimerFired(request), after=5545.0)  # its time is over
    assert request.is_complete and len(fleet.actions.take("reject_request")) == 1


@pytest.mark.parametrize(
    ("repeat", "first", "after", "may"),
    [
        (IDEMPOTENT, None, 0.0, True),
        (IDEMPOTENT, Outcome.ERROR, 5900.0, True),
        (IDEMPOTENT, Outcome.ERROR, 5995.0, False),
        (KEYED, Outcome.ERROR, 4900.0, True),
        (KEYED, Outcome.ERROR, 4960.0, False),
        (KEYED, Outcome.REJECTED, 4960.0, True),
        (KEYED, None, 4960.0, True),
        (UNSAFE, None, 4960.0, True),
        (UNSAFE, Outcome.REJECTED, 4960.0, True),
    ],
)
def test_an_attempt_that_waited_to_be_written_is_sent_only_within_its_time(
    repeat, first, after, may
):
    """A retry that waited for its connection reached an endpoint that had forgotten its key."""
    fleet = RouterFixture(repeat)
    request = fleet.receive_request()
    if first is not None:
        fleet.finish_attempt(request.attempts[0], first)
    attempt = request.attempts[-1]
    assert len(request.attempts) == 1 + (first is not None) and fleet.router.can_begin(
        fleet.now, attempt
    )
    assert fleet.router.can_begin(fleet.now + after, attempt) == may


@pytest.mark.parametrize("two_attempts", [True, False])
def test_an_attempt_begins_beside_another_only_where_hedging_is_allowed(two_attempts):
    fleet = RouterFixture(allows_hedging=two_attempts)
    request = fleet.receive_request()
    first = request.attempts[0]
    fleet.router.send(request, Route(fleet.caches[1], None, False))
    assert fleet.router.can_begin(fleet.now, request.attempts[1]) == two_attempts
    first.outcome = Outcome.CANCELLED
    assert fleet.router.can_begin(fleet.now, request.attempts[1])


@pytest.mark.parametrize(
    ("repeat", "group", "again", "most", "is_cancelled"),
    [
        (IDEMPOTENT, "all", 8.0, 6, True),
        (IDEMPOTENT, "all", 0.5, 6, False),
        (IDEMPOTENT, "all", 8.0, 1, False),
        (KEYED, "all", 8.0, 6, True),
        (KEYED, "zone", 8.0, 6, False),
    ],
)
def test_an_overdue_attempt_is_cancelled_only_if_a_retry_may_follow(
    repeat, group, again, most, is_cancelled
):
    """A write that only its own zone remembers was cancelled, and failed for having begun."""
    fleet = RouterFixture(repeat, group, allows_hedging=False, max_attempts=most)
    request = fleet.receive_request()
    fleet.router.retry_policy.local_budget.tokens = again
    fleet.actions.take("cancel_attempt")
    fleet.handle(TimerFired(request.attempts[0]), after=900.0)
    assert bool(fleet.actions.take("cancel_attempt")) is is_cancelled and not request.is_complete

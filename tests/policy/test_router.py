"""Processing of a request: attempts, retries and its final response."""

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
    ("idempotency", "key_scope", "outcome", "attempts", "final_action"),
    [
        (IDEMPOTENT, "all", Outcome.ERROR, 2, None),
        (KEYED, "all", Outcome.ERROR, 2, None),
        (KEYED, "zone", Outcome.ERROR, 1, "fail_request"),
        (KEYED, "zone", Outcome.REJECTED, 2, None),
        (UNSAFE, "all", Outcome.RESET, 1, "fail_request"),
        (UNSAFE, "all", Outcome.CONNECT_FAILED, 2, None),
    ],
)
def test_retries_follow_only_as_idempotency_permits(
    idempotency, key_scope, outcome, attempts, final_action
):
    fixture = RouterFixture(idempotency, key_scope)
    request = fixture.receive_request()
    fixture.finish_attempt(request.attempts[0], outcome, CacheStatus.UNKNOWN, after=20)
    assert len(request.attempts) == attempts
    assert [
        name for name, _ in fixture.actions.entries if name in ("reject_request", "fail_request")
    ] == [final_action] * bool(final_action)


def test_a_keyed_request_is_not_retried_after_its_key_retention():
    fixture = RouterFixture(KEYED)
    request = fixture.receive_request()
    fixture.finish_attempt(request.attempts[0], Outcome.ERROR, CacheStatus.UNKNOWN, after=5000)
    assert len(request.attempts) == 1 and request.is_complete


@pytest.mark.parametrize(
    ("outcome", "after", "final_action"),
    [
        # The client retries before the idempotency key is forgotten.
        (Outcome.ERROR, 4000, "reject_request"),
        # The client would retry only after the key is forgotten.
        (Outcome.ERROR, 4900, "fail_request"),
        (Outcome.ERROR, 5500, "fail_request"),
        (Outcome.MISS, 5500, "reject_request"),  # a missed attempt never ran
    ],
)
def test_a_keyed_request_is_rejected_as_retryable_only_while_its_key_is_remembered(
    outcome, after, final_action
):
    fixture = RouterFixture(KEYED, max_attempts=1, max_retry_after=200.0)
    fixture.finish_attempt(
        fixture.receive_request().attempts[0], outcome, CacheStatus.UNKNOWN, after=after
    )
    assert [
        name for name, _ in fixture.actions.entries if name in ("reject_request", "fail_request")
    ] == [final_action]


def test_one_final_response_is_sent_before_the_client_deadline():
    fixture = RouterFixture()
    request = fixture.receive_request(remaining_time=900.0)
    delay = max(
        delay for delay, subject in fixture.actions.take("schedule_timer") if subject is request
    )
    assert delay < 900.0
    fixture.handle(TimerFired(request), after=delay)
    fixture.finish_attempt(request.attempts[0], Outcome.CANCELLED, CacheStatus.UNKNOWN, after=1)
    fixture.handle(ClientLeft(request), after=100)
    assert len(fixture.actions.take("reject_request")) == 1 and not fixture.actions.take(
        "fail_request"
    )
    assert len(request.attempts) == 1


@pytest.mark.parametrize("new_state", [EndpointState.DRAINING, EndpointState.GONE, None])
def test_no_attempt_is_sent_to_a_draining_or_removed_endpoint(new_state):
    fixture = RouterFixture()
    if new_state is None:
        listed = [
            fixture.endpoint_entry(fixture.caches[0], CACHE, 1),
            fixture.endpoint_entry(fixture.parents[0], PARENT, 0),
        ]
        fixture.handle(EndpointsUpdated(listed, True))
    else:
        fixture.handle(
            EndpointsUpdated(
                [
                    fixture.endpoint_entry(cache, CACHE, 1, state=new_state)
                    for cache in fixture.caches[1:]
                ]
                + [fixture.endpoint_entry(fixture.parents[1], PARENT, 0, state=new_state)],
                False,
            )
        )
    for _ in range(60):
        attempt = fixture.receive_request().attempts[0]
        assert (
            attempt.endpoint is fixture.caches[0] and attempt.fill_source is not fixture.parents[1]
        )
        fixture.finish_attempt(attempt)


@pytest.mark.parametrize(("object_id", "group"), [(77, 1), (0, 1)])
def test_a_purge_bounds_max_age_above_zero(object_id, group):
    fixture = RouterFixture()
    fixture.handle(PurgeReceived(object_id, group, 40.0))
    # The purge stays in force for a long time, because a late fill may still store an old copy.
    for after in (0.0, 0.5, 30.0, 1000.0, 4000.0, 20_000.0):
        fixture.receive_request(object_id=77, after=after)
        max_age = fixture.actions.take("send_attempt")[-1][1].max_age
        assert 0.0 < max_age <= fixture.now - 100000.0 + 40.0


@pytest.mark.parametrize(
    ("outcome", "after", "min_retries", "max_retries"),
    [
        (Outcome.REJECTED, 50.0, 5, 13),
        (Outcome.REJECTED, 1.0, 5, 13),
        (Outcome.NOT_SENT, 50.0, 5, 13),
        (Outcome.NOT_SENT, 1.0, 30, 30),
    ],
)
def test_retries_keep_to_the_budget_and_cost_little_after_a_quick_failure(
    outcome, after, min_retries, max_retries
):
    """Guard against amplification of an overload by retries.

    Without the retry budget, each rejected attempt was followed by three or four more attempts.
    """
    fixture, retries = RouterFixture(), 0
    for _ in range(30):
        request = fixture.receive_request()
        fixture.finish_attempt(request.attempts[0], outcome, CacheStatus.NOT_STORED, after=after)
        retries += len(request.attempts) - 1
        for attempt in request.attempts[1:]:
            fixture.finish_attempt(attempt)
    assert min_retries <= retries <= max_retries


@pytest.mark.parametrize(("response_time", "is_in_time"), [(400.0, True), (90.0, False)])
def test_without_sizes_an_attempt_is_overdue_by_past_response_times(response_time, is_in_time):
    """Guard against healthy parents that are ejected for slow answers of unknown size.

    If the estimated response time were always a quarter of the latency objective, attempts would be
    overdue after twice this time, and parents would be ejected.
    """
    fixture = RouterFixture(transfer_rate=0.0)
    for _ in range(8):
        attempt = fixture.receive_request(size_kb=0.0).attempts[0]
        fixture.handle(
            AttemptFinished(
                attempt, Outcome.SERVED, response_time, True, CacheStatus.UNKNOWN, 0.0, None
            )
        )
    request = fixture.receive_request(size_kb=0.0)
    fixture.handle(TimerFired(request.attempts[0]), after=450.0)
    assert (len(request.attempts) == 1) is is_in_time


def make_overdue(fixture, request):
    """Make the request's last attempt overdue while its endpoint is silent; return the attempt."""
    attempt = request.attempts[-1]
    fixture.handle(TimerFired(attempt), after=450.0)
    return attempt


@pytest.mark.parametrize(
    ("retry_tokens", "is_reachable", "attempts", "is_given_up"),
    [
        (8.0, True, 2, False),
        (0.0, True, 1, False),  # the endpoint may be alive but slow, so an answer is likely
        (0.0, False, 1, True),
    ],
)
def test_an_overdue_request_without_retry_budget_waits_for_a_reachable_endpoint(
    retry_tokens, is_reachable, attempts, is_given_up
):
    """Guard against a request that is rejected while a reachable endpoint still works on it."""
    fixture = RouterFixture()
    request = fixture.receive_request()
    fixture.router.retry_policy.local_budget.tokens, request.attempts[0].endpoint.is_unreachable = (
        retry_tokens,
        not is_reachable,
    )
    make_overdue(fixture, request)
    assert (len(request.attempts), request.is_complete) == (attempts, is_given_up)
    fixture.handle(TimerFired(request), after=5545.0)  # just before the client's deadline
    assert request.is_complete and len(fixture.actions.take("reject_request")) == 1


@pytest.mark.parametrize(
    ("idempotency", "first_outcome", "after", "is_allowed"),
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
    idempotency, first_outcome, after, is_allowed
):
    """Guard against a write that takes effect twice.

    A retry may wait for its connection until its idempotency key is forgotten, or until the client
    no longer waits.
    """
    fixture = RouterFixture(idempotency)
    request = fixture.receive_request()
    if first_outcome is not None:
        fixture.finish_attempt(request.attempts[0], first_outcome)
    attempt = request.attempts[-1]
    assert len(request.attempts) == 1 + (first_outcome is not None) and fixture.router.can_begin(
        fixture.now, attempt
    )
    assert fixture.router.can_begin(fixture.now + after, attempt) == is_allowed


@pytest.mark.parametrize("allows_hedging", [True, False])
def test_a_second_attempt_in_flight_is_sent_only_if_hedging_is_allowed(allows_hedging):
    fixture = RouterFixture(allows_hedging=allows_hedging)
    request = fixture.receive_request()
    first = request.attempts[0]
    fixture.router.send(request, Route(fixture.caches[1], None, False))
    assert fixture.router.can_begin(fixture.now, request.attempts[1]) == allows_hedging
    first.outcome = Outcome.CANCELLED
    assert fixture.router.can_begin(fixture.now, request.attempts[1])


@pytest.mark.parametrize(
    ("idempotency", "key_scope", "retry_tokens", "max_attempts", "is_cancelled"),
    [
        (IDEMPOTENT, "all", 8.0, 6, True),
        (IDEMPOTENT, "all", 0.5, 6, False),
        (IDEMPOTENT, "all", 8.0, 1, False),
        (KEYED, "all", 8.0, 6, True),
        (KEYED, "zone", 8.0, 6, False),
    ],
)
def test_an_overdue_attempt_is_cancelled_only_if_a_retry_may_follow(
    idempotency, key_scope, retry_tokens, max_attempts, is_cancelled
):
    """Guard against a cancellation after which the request fails.

    The attempt of a write whose key is remembered only in one zone was cancelled. No retry could
    follow, since the attempt may have run, so the write failed.
    """
    fixture = RouterFixture(idempotency, key_scope, allows_hedging=False, max_attempts=max_attempts)
    request = fixture.receive_request()
    fixture.router.retry_policy.local_budget.tokens = retry_tokens
    fixture.actions.take("cancel_attempt")
    fixture.handle(TimerFired(request.attempts[0]), after=900.0)
    assert bool(fixture.actions.take("cancel_attempt")) is is_cancelled and not request.is_complete

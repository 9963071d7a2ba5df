"""Ejection and reinstatement of endpoints, tested through the router."""

import pytest
from helpers import CACHE, PARENT, RouterFixture

from mulleinrelay.policy.endpoint_health import EjectionReason
from mulleinrelay.policy.events import (
    AttemptFinished,
    EndpointsUpdated,
    HealthCheckFinished,
    TimerFired,
)
from mulleinrelay.policy.model import Attempt, CacheStatus, EndpointState, Outcome


def test_a_silent_cache_is_hedged_and_ejected_after_repeated_silence():
    fixture = RouterFixture()
    silent_cache = fixture.receive_request(object_id=5).attempts[0].endpoint
    for _ in range(40):
        attempt = fixture.receive_request(after=60).attempts[0]
        if attempt.endpoint is not silent_cache:
            fixture.finish_attempt(attempt)
        for delay, subject in fixture.actions.take("schedule_timer"):
            if subject is attempt and attempt.endpoint is silent_cache:
                fixture.handle(TimerFired(attempt), after=delay)
                assert (
                    len(attempt.request.attempts) == 2
                    and attempt.request.attempts[1].endpoint is not silent_cache
                )
        if silent_cache.is_ejected:
            break
    assert silent_cache.is_ejected


@pytest.mark.parametrize(
    ("outcome", "retry_outcome", "expected_failures"),
    [
        # All attempts are sent before the first reset, so they count as one broken connection.
        (Outcome.RESET, None, 1.0),
        (Outcome.CONNECT_FAILED, None, 6.0),
        (Outcome.ERROR, None, 0.0),
        (Outcome.ERROR, Outcome.ERROR, 0.0),  # an error at every endpoint is caused by the request
        (Outcome.ERROR, Outcome.SERVED, 3.0),
    ],
)
def test_failures_are_weighted_by_outcome_and_retry(outcome, retry_outcome, expected_failures):
    """Guard against the ejection of healthy caches for errors that the requests caused.

    Requests for unknown objects fail at every endpoint, and one malformed answer ends all attempts
    on a connection.
    """
    fixture = RouterFixture()
    cache = fixture.caches[0]
    requests = []
    while len(requests) < 3:
        request = fixture.receive_request()
        if request.attempts[0].endpoint is cache:
            requests.append(request)
        else:
            fixture.finish_attempt(request.attempts[0])
    for request in requests:
        # If a hit is expected, the failure counts for the cache alone and not for the fill source.
        request.attempts[0].expects_hit = True
        fixture.finish_attempt(request.attempts[0], outcome, CacheStatus.UNKNOWN)
        if retry_outcome is not None:
            fixture.finish_attempt(request.attempts[1], retry_outcome)
    assert cache.outlier_detector.failures == expected_failures
    assert all(request.is_complete for request in requests) or retry_outcome is None


@pytest.mark.parametrize(
    ("failing_group", "healthy_group"), [("parents", "caches"), ("caches", "parents")]
)
def test_only_the_endpoint_that_all_failed_attempts_share_is_ejected(failing_group, healthy_group):
    """Guard against the ejection of healthy endpoints for the errors of a failing endpoint.

    A failing parent causes errors at every cache, and a failing cache causes errors with every
    parent.
    """
    fixture = RouterFixture()
    outlier = getattr(fixture, failing_group)[0]
    for _ in range(150):
        request = fixture.receive_request(after=20)
        attempt = request.attempts[0]
        is_failing = outlier in (attempt.endpoint, attempt.fill_source)
        fixture.finish_attempt(
            attempt,
            *(
                (Outcome.ERROR, CacheStatus.UNKNOWN)
                if is_failing
                else (Outcome.SERVED, CacheStatus.FILLED)
            ),
        )
        for attempt in request.attempts[1:]:
            fixture.finish_attempt(attempt, cache_status=CacheStatus.FILLED)
    assert outlier.is_ejected and not any(
        endpoint.is_ejected for endpoint in getattr(fixture, healthy_group)
    )


def test_a_slow_endpoint_that_answers_in_between_is_not_ejected():
    """Guard against the ejection of overloaded endpoints as silent.

    With a fixed timeout, endpoints that answered slowly were considered silent.
    """
    fixture = RouterFixture()
    for _ in range(30):
        attempt = fixture.receive_request(after=400).attempts[0]
        fixture.handle(TimerFired(attempt), after=900)
        fixture.finish_attempt(attempt, after=10)
        assert not attempt.endpoint.is_ejected or attempt.endpoint.silence >= 2.0
    assert not any(cache.is_ejected for cache in fixture.caches)


@pytest.mark.parametrize(("requests", "max_trials"), [(40, 3), (400, 22)])
def test_trial_requests_are_earned_by_requests(requests, max_trials):
    """Guard against an overload of an ejected parent by trial requests.

    Without trial tokens, each of hundreds of directors would send two trial requests a second,
    whatever the number of its requests.
    """
    fixture = RouterFixture()
    fixture.parents[0].is_ejected = True
    trials = 0
    for _ in range(requests):
        attempt = fixture.receive_request(after=600).attempts[0]
        trials += attempt.fill_source is fixture.parents[0]
        fixture.finish_attempt(attempt)
    assert 0 < trials <= max_trials


def test_a_parent_that_fails_rare_fills_is_ejected():
    """Guard against a failing parent that is not ejected because its results expire too soon.

    Requests are four seconds apart. If results expired within that time, two failures would never
    count together.
    """
    fixture = RouterFixture()
    for _ in range(12):
        request = fixture.receive_request(after=4000)
        is_failing = request.attempts[0].fill_source is fixture.parents[0]
        fixture.finish_attempt(
            request.attempts[0],
            *((Outcome.REJECTED, CacheStatus.SOURCE_FAILED) if is_failing else ()),
        )
        for attempt in request.attempts[1:]:
            fixture.finish_attempt(attempt)
    assert fixture.parents[0].is_ejected


def test_a_fill_source_that_rejects_is_not_ejected():
    """Guard against the ejection of overloaded parents.

    If overloaded parents were ejected like dead ones, all parents could be ejected at the same
    time. All of them would then be used, and the dead parents would receive requests again.
    """
    fixture = RouterFixture()
    for _ in range(30):
        request = fixture.receive_request(after=30)
        for attempt in request.attempts:
            fixture.finish_attempt(attempt, Outcome.REJECTED, CacheStatus.SOURCE_REJECTED)
    assert not any(parent.is_ejected for parent in fixture.parents)


@pytest.mark.parametrize(
    ("outcome", "is_healthy", "is_reinstated"),
    [
        (Outcome.CONNECT_FAILED, True, True),
        (Outcome.CONNECT_FAILED, False, False),
        (Outcome.ERROR, True, False),  # the cache was reachable all the time
    ],
)
def test_an_answered_health_check_reinstates_only_an_unreachable_cache(
    outcome, is_healthy, is_reinstated
):
    fixture = RouterFixture(allows_health_checks=True)
    ejected_cache = fixture.receive_request(object_id=77).attempts[0].endpoint
    while not ejected_cache.is_ejected:
        fixture.router.health.record_result(
            ejected_cache, 2.0, EjectionReason(outcome.name.lower()), fixture.now
        )
    health_checks = []
    for _ in range(40):  # due health checks are sent when any event is handled
        fixture.receive_request()
        health_checks += fixture.actions.take("check_health")
        fixture.now += 50.0
    assert ((ejected_cache,) in health_checks) is (outcome is Outcome.CONNECT_FAILED)
    fixture.handle(HealthCheckFinished(ejected_cache, None, is_healthy))
    assert ejected_cache.is_ejected is not is_reinstated


@pytest.mark.parametrize("kind", [CACHE, PARENT])
@pytest.mark.parametrize("state", [EndpointState.GONE, EndpointState.DRAINING])
@pytest.mark.parametrize("first_event", ["failure", "removal"])
def test_a_removed_or_draining_endpoint_gets_no_health_check(first_event, state, kind):
    """Guard against a health check for an endpoint without a known address.

    Such a health check was sent if an attempt at an endpoint failed after the endpoint's removal.
    """
    fixture = RouterFixture(allows_health_checks=True)
    endpoint = fixture.caches[0] if kind == CACHE else fixture.parents[0]
    entry = fixture.endpoint_entry(endpoint, kind, 1 if kind == CACHE else 0, state=state)
    if first_event == "removal":
        fixture.handle(EndpointsUpdated([entry], False))
    fixture.router.health.record_result(endpoint, 4.0, EjectionReason.RESET, fixture.now)
    if first_event == "failure":
        fixture.handle(EndpointsUpdated([entry], False))
    for _ in range(40):
        fixture.receive_request(after=50.0)
    assert fixture.actions.take("check_health") == []


@pytest.mark.parametrize(
    ("health_checks", "bypass", "kind"),
    [(True, True, PARENT), (False, True, CACHE), (True, False, CACHE)],
)
def test_unreachable_caches_are_bypassed_until_a_health_check_is_answered(
    health_checks, bypass, kind
):
    fixture = RouterFixture(allows_health_checks=health_checks, allows_cache_bypass=bypass)
    for cache in fixture.caches:
        fixture.router.health.record_result(cache, 4.0, EjectionReason.RESET, fixture.now)
    assert {fixture.receive_request().attempts[0].endpoint.kind for _ in range(8)} == {kind}
    fixture.handle(HealthCheckFinished(fixture.caches[1], None, True))
    assert {fixture.receive_request().attempts[0].endpoint for _ in range(8)} == {fixture.caches[1]}


def test_a_hit_delayed_by_an_outage_does_not_count_as_slowdown():
    fixture = RouterFixture()
    request = fixture.receive_request(object_id=77)
    cache = request.attempts[0].endpoint
    fixture.router.health.record_result(cache, 4.0, EjectionReason.RESET, fixture.now)
    fixture.now += 5000.0
    fixture.handle(
        AttemptFinished(
            request.attempts[0], Outcome.SERVED, 5000.0, True, CacheStatus.HIT, 0.0, None
        )
    )
    assert fixture.router.cache_selector.slowdown(cache, fixture.now) == 1.0


@pytest.mark.parametrize(
    ("health_checks", "bypass", "kind"),
    [(True, True, PARENT), (False, True, CACHE), (True, False, CACHE)],
)
def test_two_failures_in_a_row_mark_the_zone_unreachable_and_requests_bypass_it(
    health_checks, bypass, kind
):
    fixture = RouterFixture(allows_health_checks=health_checks, allows_cache_bypass=bypass)
    for cache in fixture.caches[:2]:
        attempt = Attempt(
            fixture.receive_request(), 9, cache, cache, fixture.now, 9.0, Outcome.RESET
        )
        fixture.router.recorder.record(
            AttemptFinished(attempt, Outcome.RESET, 1.0, False, CacheStatus.UNKNOWN, 0.0, None),
            fixture.now,
        )
    assert {fixture.receive_request().attempts[0].endpoint.kind for _ in range(8)} == {kind}
    assert not any(
        cache.is_ejected for cache in fixture.caches
    )  # the zone is avoided before any single cache is ejected
    fixture.handle(HealthCheckFinished(fixture.caches[2], None, True), after=300.0)
    assert {fixture.receive_request().attempts[0].endpoint.kind for _ in range(8)} == {CACHE}


def test_caches_ejected_in_an_outage_are_reinstated_by_the_first_response_of_any():
    fixture = RouterFixture(allows_health_checks=True)
    for cache in fixture.caches[:2]:
        fixture.router.health.record_result(cache, 4.0, EjectionReason.RESET, fixture.now)
    assert fixture.router.health.zone.is_unreachable and all(
        cache.is_unreachable for cache in fixture.caches[:2]
    )
    health_checks = []
    for _ in range(20):
        fixture.receive_request(after=50.0)
        health_checks += fixture.actions.take("check_health")
    assert len(health_checks) >= 2  # a few caches get health checks within the first second
    fixture.handle(HealthCheckFinished(fixture.caches[2], None, True), after=300.0)
    assert not any(cache.is_ejected for cache in fixture.caches)


def test_a_health_check_of_a_parent_does_not_end_a_zone_outage():
    fixture = RouterFixture(allows_health_checks=True)
    for cache in fixture.caches[:2]:
        fixture.router.health.record_result(cache, 4.0, EjectionReason.RESET, fixture.now)
    fixture.handle(HealthCheckFinished(fixture.parents[0], None, True))
    assert fixture.router.health.zone.is_unreachable

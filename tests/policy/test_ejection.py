"""Which endpoints are ejected and reinstated, seen from the router."""

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


def test_a_silent_cache_is_hedged_at_once_and_ejected_when_signs_add_up():
    fleet = RouterFixture()
    silent = fleet.receive_request(object_id=5).attempts[0].endpoint
    for _ in range(40):
        attempt = fleet.receive_request(after=60).attempts[0]
        if attempt.endpoint is not silent:
            fleet.finish_attempt(attempt)
        for delay, about in fleet.actions.take("schedule_timer"):
            if about is attempt and attempt.endpoint is silent:
                fleet.handle(TimerFired(attempt), after=delay)
                assert (
                    len(attempt.request.attempts) == 2
                    and attempt.request.attempts[1].endpoint is not silent
                )
        if silent.is_ejected:
            break
    assert silent.is_ejected


@pytest.mark.parametrize(
    ("outcome", "another", "weight"),
    [
        (Outcome.RESET, None, 1.0),  # of all that was out on one link, once
        (Outcome.CONNECT_FAILED, None, 6.0),
        (Outcome.ERROR, None, 0.0),
        (Outcome.ERROR, Outcome.ERROR, 0.0),  # what no node can give: the request's own fault
        (Outcome.ERROR, Outcome.SERVED, 3.0),
    ],
)
def test_failures_are_weighted_by_what_they_show_of_the_endpoint(outcome, another, weight):
    """Requests for unknown objects and malformed answers had healthy caches ejected."""
    fleet = RouterFixture()
    cache = fleet.caches[0]
    requests = []
    while len(requests) < 3:
        request = fleet.receive_request()
        if request.attempts[0].endpoint is cache:
            requests.append(request)
        else:
            fleet.finish_attempt(request.attempts[0])
    for request in requests:
        request.attempts[0].expects_hit = True  # a hit was due, so that no source shares the blame
        fleet.finish_attempt(request.attempts[0], outcome, CacheStatus.UNKNOWN)
        if another is not None:
            fleet.finish_attempt(request.attempts[1], another)
    assert cache.outlier_detector.failures == weight
    assert all(request.is_complete for request in requests) or another is None


@pytest.mark.parametrize(("broken", "well"), [("parents", "caches"), ("caches", "parents")])
def test_only_the_endpoint_that_all_failed_attempts_share_is_ejected(broken, well):
    """A failing parent shows as errors at every cache; unless blame is split, these are ejected."""
    fleet = RouterFixture()
    outlier = getattr(fleet, broken)[0]
    for _ in range(150):
        request = fleet.receive_request(after=20)
        attempt = request.attempts[0]
        bad = outlier in (attempt.endpoint, attempt.fill_source)
        fleet.finish_attempt(
            attempt,
            *(
                (Outcome.ERROR, CacheStatus.UNKNOWN)
                if bad
                else (Outcome.SERVED, CacheStatus.FILLED)
            ),
        )
        for attempt in request.attempts[1:]:
            fleet.finish_attempt(attempt, cache_status=CacheStatus.FILLED)
    assert outlier.is_ejected and not any(member.is_ejected for member in getattr(fleet, well))


def test_a_slow_endpoint_that_answers_in_between_is_not_ejected():
    """A fixed timeout took loaded endpoints for silent ones."""
    fleet = RouterFixture()
    for _ in range(30):
        attempt = fleet.receive_request(after=400).attempts[0]
        fleet.handle(TimerFired(attempt), after=900)
        fleet.finish_attempt(attempt, after=10)
        assert not attempt.endpoint.is_ejected or attempt.endpoint.silence >= 2.0
    assert not any(member.is_ejected for member in fleet.caches)


@pytest.mark.parametrize(("requests", "most"), [(40, 3), (400, 22)])
def test_trial_requests_are_earned_by_requests(requests, most):
    """At two a second each, hundreds of directors swamped a dead parent with trials."""
    fleet = RouterFixture()
    fleet.parents[0].is_ejected = True
    tried = 0
    for _ in range(requests):
        attempt = fleet.receive_request(after=600).attempts[0]
        tried += attempt.fill_source is fleet.parents[0]
        fleet.finish_attempt(attempt)
    assert 0 < tried <= most


def test_a_parent_that_fails_rare_fills_is_ejected():
    """Results four seconds apart were forgotten before two of them could count."""
    fleet = RouterFixture()
    for _ in range(12):
        request = fleet.receive_request(after=4000)
        bad = request.attempts[0].fill_source is fleet.parents[0]
        fleet.finish_attempt(
            request.attempts[0], *((Outcome.REJECTED, CacheStatus.SOURCE_FAILED) if bad else ())
        )
        for attempt in request.attempts[1:]:
            fleet.finish_attempt(attempt)
    assert fleet.parents[0].is_ejected


def test_a_fill_source_that_rejects_is_not_ejected():
    """Loaded parents were ejected like dead ones, and the dead ones were used again."""
    fleet = RouterFixture()
    for _ in range(30):
        request = fleet.receive_request(after=30)
        for attempt in request.attempts:
            fleet.finish_attempt(attempt, Outcome.REJECTED, CacheStatus.SOURCE_REJECTED)
    assert not any(parent.is_ejected for parent in fleet.parents)


@pytest.mark.parametrize(
    ("outcome", "well", "is_reinstated"),
    [
        (Outcome.CONNECT_FAILED, True, True),
        (Outcome.CONNECT_FAILED, False, False),
        (Outcome.ERROR, True, False),  # it was reached all the while
    ],
)
def test_an_answered_health_check_reinstates_only_an_unreachable_cache(
    outcome, well, is_reinstated
):
    fleet = RouterFixture(allows_health_checks=True)
    outlier = fleet.receive_request(object_id=77).attempts[0].endpoint
    while not outlier.is_ejected:
        fleet.router.health.record_result(
            outlier, 2.0, EjectionReason(outcome.name.lower()), fleet.now
        )
    probed = []
    for _ in range(40):  # any round asks whom it is time to ask
        fleet.receive_request()
        probed += fleet.actions.take("check_health")
        fleet.now += 50.0
    assert ((outlier,) in probed) is (outcome is Outcome.CONNECT_FAILED)
    fleet.handle(HealthCheckFinished(outlier, None, well))
    assert outlier.is_ejected is not is_reinstated


@pytest.mark.parametrize("whose", [CACHE, PARENT])
@pytest.mark.parametrize("state", [EndpointState.GONE, EndpointState.DRAINING])
@pytest.mark.parametrize("first", ["breaks", "leaves"])
def test_an_endpoint_that_left_gets_no_health_check(first, state, whose):
    """An attempt at an endpoint that had left broke afterwards: its address was not known."""
    fleet = RouterFixture(allows_health_checks=True)
    outlier = fleet.caches[0] if whose == CACHE else fleet.parents[0]
    row = fleet.endpoint_entry(outlier, whose, 1 if whose == CACHE else 0, state=state)
    if first == "leaves":
        fleet.handle(EndpointsUpdated([row], False))
    fleet.router.health.record_result(outlier, 4.0, EjectionReason.RESET, fleet.now)
    if first == "breaks":
        fleet.handle(EndpointsUpdated([row], False))
    for _ in range(40):
        fleet.receive_request(after=50.0)
    assert fleet.actions.take("check_health") == []


@pytest.mark.parametrize(
    ("health_checks", "bypass", "whose"),
    [(True, True, PARENT), (False, True, CACHE), (True, False, CACHE)],
)
def test_unreachable_caches_are_bypassed_until_a_health_check_is_answered(
    health_checks, bypass, whose
):
    fleet = RouterFixture(allows_health_checks=health_checks, allows_cache_bypass=bypass)
    for cache in fleet.caches:
        fleet.router.health.record_result(cache, 4.0, EjectionReason.RESET, fleet.now)
    assert {fleet.receive_request().attempts[0].endpoint.kind for _ in range(8)} == {whose}
    fleet.handle(HealthCheckFinished(fleet.caches[1], None, True))
    assert {fleet.receive_request().attempts[0].endpoint for _ in range(8)} == {fleet.caches[1]}


def test_a_hit_delayed_by_an_outage_does_not_count_as_slowdown():
    fleet = RouterFixture()
    request = fleet.receive_request(object_id=77)
    node = request.attempts[0].endpoint
    fleet.router.health.record_result(node, 4.0, EjectionReason.RESET, fleet.now)
    fleet.now += 5000.0
    fleet.handle(
        AttemptFinished(
            request.attempts[0], Outcome.SERVED, 5000.0, True, CacheStatus.HIT, 0.0, None
        )
    )
    assert fleet.router.cache_selector.slowdown(node, fleet.now) == 1.0


@pytest.mark.parametrize(
    ("health_checks", "bypass", "whose"),
    [(True, True, PARENT), (False, True, CACHE), (True, False, CACHE)],
)
def test_two_failures_in_a_row_mark_the_zone_unreachable_and_requests_bypass_it(
    health_checks, bypass, whose
):
    fleet = RouterFixture(allows_health_checks=health_checks, allows_cache_bypass=bypass)
    for cache in fleet.caches[:2]:
        attempt = Attempt(fleet.receive_request(), 9, cache, cache, fleet.now, 9.0, Outcome.RESET)
        fleet.router.recorder.record(
            AttemptFinished(attempt, Outcome.RESET, 1.0, False, CacheStatus.UNKNOWN, 0.0, None),
            fleet.now,
        )
    assert {fleet.receive_request().attempts[0].endpoint.kind for _ in range(8)} == {whose}
    assert not any(cache.is_ejected for cache in fleet.caches)  # no judgement of each for itself
    fleet.handle(HealthCheckFinished(fleet.caches[2], None, True), after=300.0)
    assert {fleet.receive_request().attempts[0].endpoint.kind for _ in range(8)} == {CACHE}


def test_caches_ejected_in_an_outage_are_reinstated_by_the_first_response_of_any():
    fleet = RouterFixture(allows_health_checks=True)
    for cache in fleet.caches[:2]:
        fleet.router.health.record_result(cache, 4.0, EjectionReason.RESET, fleet.now)
    assert fleet.router.health.zone.is_unreachable and all(
        cache.is_unreachable for cache in fleet.caches[:2]
    )
    asked = []
    for _ in range(20):
        fleet.receive_request(after=50.0)
        asked += fleet.actions.take("check_health")
    assert len(asked) >= 2  # a few are asked soon
    fleet.handle(HealthCheckFinished(fleet.caches[2], None, True), after=300.0)
    assert not any(cache.is_ejected for cache in fleet.caches)


def test_a_health_check_of_a_parent_does_not_end_a_zone_outage():
    fleet = RouterFixture(allows_health_checks=True)
    for cache in fleet.caches[:2]:
        fleet.router.health.record_result(cache, 4.0, EjectionReason.RESET, fleet.now)
    fleet.handle(HealthCheckFinished(fleet.parents[0], None, True))
    assert fleet.router.health.zone.is_unreachable

"""Selection of a request's cache, tested through the router."""

import pytest
from helpers import RouterFixture

from mulleinrelay.policy.events import AttemptFinished
from mulleinrelay.policy.model import CacheStatus, Outcome


def test_a_request_that_no_cache_can_serve_in_time_is_rejected_immediately():
    """Guard against a burst of large answers that delays every transfer past its objective.

    Requests are rejected from the point on at which all caches would be too slow for them.
    """
    fixture = RouterFixture()
    requests = [fixture.receive_request(size_kb=4000.0, after=0.0) for _ in range(200)]
    assert 10 < len([request for request in requests if not request.is_complete]) < 100
    assert requests[-1].is_complete and not requests[-1].attempts
    small = fixture.receive_request(size_kb=500.0, after=0.0)
    assert small.attempts


@pytest.mark.parametrize(("response_time", "is_accepted"), [(100.0, True), (900.0, False)])
def test_slowdown_is_measured_by_late_hits_and_not_by_attempts_times_directors(
    response_time, is_accepted
):
    """Guard against rejections that are based on a few attempts of the director itself.

    The slowdown could be estimated only as the director's own attempts in flight times the number
    of directors. One of twenty directors would then reject its fourth request, while it has only
    one attempt in flight at each of the three caches.
    """
    fixture = RouterFixture(local_director_count=20)
    for attempt in [fixture.receive_request(after=20).attempts[0] for _ in range(6)]:
        fixture.handle(
            AttemptFinished(
                attempt, Outcome.SERVED, response_time, True, CacheStatus.HIT, 0.0, None
            )
        )
    for cache in fixture.caches:
        cache.hit_lateness.add(fixture.now, response_time - 100.0)
    assert any(fixture.receive_request(after=0.0).is_complete for _ in range(4)) is not is_accepted


@pytest.mark.parametrize("local_directors", [1, 30])
def test_a_large_object_is_served_by_idle_caches(local_directors):
    """Guard against the rejection of large objects while caches are idle.

    Only a fraction of the time until the latency objective may be used for a transfer, because
    other requests arrive meanwhile. The transfer of a very large object takes longer than that even
    from an idle cache, and is accepted all the same.
    """
    request = RouterFixture(local_director_count=local_directors).receive_request(size_kb=45_000.0)
    assert request.attempts and not request.is_complete


def test_a_hot_object_goes_to_different_caches_at_different_directors():
    chosen_caches = set()
    for seed in range(12):
        fixture = RouterFixture()
        fixture.router.random.seed(seed)
        for _ in range(30):
            request = fixture.receive_request(object_id=77)
            fixture.finish_attempt(request.attempts[0], after=100.0)
        chosen_caches.add(request.attempts[0].endpoint.hash_key)
    assert len(chosen_caches) == 3


@pytest.mark.parametrize(("response_time", "max_seconds"), [(60_000.0, 6.0), (100.0, 0.0)])
def test_one_late_answer_does_not_keep_a_cache_from_traffic_for_long(response_time, max_seconds):
    fixture = RouterFixture()
    request = fixture.receive_request(object_id=77)
    cache = request.attempts[0].endpoint
    fixture.now += response_time
    fixture.handle(
        AttemptFinished(
            request.attempts[0], Outcome.SERVED, response_time, True, CacheStatus.HIT, 0.0, None
        )
    )
    steps_until_used = next(
        step
        for step in range(100)
        if fixture.receive_request(object_id=77, after=250.0).attempts[0].endpoint is cache
    )
    assert 0.25 * steps_until_used <= max_seconds


@pytest.mark.parametrize("local_directors", [1, 4, 200])
@pytest.mark.parametrize("size_factor", [0.01, 0.3, 1.0, 3.0, 10.0, 20.0])
def test_noise_at_idle_caches_rejects_no_object_size(size_factor, local_directors):
    """Guard against rejections of large objects for a measured slowdown that is only noise."""
    fixture = RouterFixture(local_director_count=local_directors)
    for _ in range(30):
        fixture.finish_attempt(fixture.receive_request(size_kb=1000.0).attempts[0], after=20.0)
    request = fixture.receive_request(size_kb=1000.0 * size_factor)
    assert request.attempts and fixture.router.work.max_slowdown(request, fixture.now) >= 1.2

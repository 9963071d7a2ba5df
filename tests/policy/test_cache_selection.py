"""Which cache a request goes to, seen from the router."""

import pytest
from helpers import RouterFixture

from mulleinrelay.policy.events import AttemptFinished
from mulleinrelay.policy.model import CacheStatus, Outcome


def test_a_request_that_no_cache_can_serve_in_time_is_rejected_immediately():
    """Without the bound a burst slows every transfer past its latency objective."""
    fleet = RouterFixture()
    requests = [fleet.receive_request(size_kb=4000.0, after=0.0) for _ in range(200)]
    assert 10 < len([request for request in requests if not request.is_complete]) < 100
    assert requests[-1].is_complete and not requests[-1].attempts
    small = fleet.receive_request(size_kb=500.0, after=0.0)
    assert small.attempts


@pytest.mark.parametrize(("wait", "taken"), [(100.0, True), (900.0, False)])
def test_slowdown_is_measured_by_late_hits_and_not_by_attempts_times_directors(wait, taken):
    """With twenty directors, two own attempts in flight had the third request rejected."""
    fleet = RouterFixture(local_director_count=20)
    for attempt in [fleet.receive_request(after=20).attempts[0] for _ in range(6)]:
        fleet.handle(
            AttemptFinished(attempt, Outcome.SERVED, wait, True, CacheStatus.HIT, 0.0, None)
        )
    for cache in fleet.caches:
        cache.hit_lateness.add(fleet.now, wait - 100.0)
    assert any(fleet.receive_request(after=0.0).is_complete for _ in range(4)) is not taken


@pytest.mark.parametrize("here", [1, 30])
def test_a_large_object_is_served_by_idle_caches(here):
    """Its own sending time takes more than the fraction of the objective; it was rejected."""
    request = RouterFixture(local_director_count=here).receive_request(size_kb=9000.0)
    assert request.attempts and not request.is_complete


def test_a_hot_object_goes_to_different_caches_at_different_directors():
    firsts = set()
    for seed in range(12):
        fleet = RouterFixture()
        fleet.router.random.seed(seed)
        for _ in range(30):
            request = fleet.receive_request(object_id=77)
            fleet.finish_attempt(request.attempts[0], after=100.0)
        firsts.add(request.attempts[0].endpoint.hash_key)
    assert len(firsts) == 3


@pytest.mark.parametrize(("wait", "seconds"), [(60_000.0, 6.0), (100.0, 0.0)])
def test_one_late_answer_does_not_keep_a_cache_from_traffic_for_long(wait, seconds):
    fleet = RouterFixture()
    request = fleet.receive_request(object_id=77)
    node = request.attempts[0].endpoint
    fleet.now += wait
    fleet.handle(
        AttemptFinished(request.attempts[0], Outcome.SERVED, wait, True, CacheStatus.HIT, 0.0, None)
    )
    back = next(
        step
        for step in range(100)
        if fleet.receive_request(object_id=77, after=250.0).attempts[0].endpoint is node
    )
    assert 0.25 * back <= seconds


@pytest.mark.parametrize("directors_here", [1, 4, 200])
@pytest.mark.parametrize("times", [0.01, 0.3, 1.0, 3.0, 10.0, 20.0])
def test_noise_at_idle_caches_rejects_no_object_size(times, directors_here):
    """Large objects are served like others while caches are only as slow as noise has them."""
    fleet = RouterFixture(local_director_count=directors_here)
    for _ in range(30):
        fleet.finish_attempt(fleet.receive_request(size_kb=1000.0).attempts[0], after=20.0)
    request = fleet.receive_request(size_kb=1000.0 * times)
    assert request.attempts and fleet.router.work.max_slowdown(request, fleet.now) >= 1.2

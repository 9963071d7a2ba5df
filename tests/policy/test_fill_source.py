"""Where misses are filled from, seen from the router."""

import pytest
from helpers import RouterFixture

from mulleinrelay.policy.model import CacheStatus, Outcome
from mulleinrelay.policy.rendezvous_hash import rendezvous_order


@pytest.mark.parametrize(("left", "near"), [(6000.0, False), (200.0, True)])
def test_a_client_with_less_time_than_its_objective_gets_the_nearest_parent(left, near):
    """Far fills came too late for clients with little time, which were rejected at its end."""
    fleet = RouterFixture()
    for parent, delay in zip(fleet.parents, (60.0, 30.0), strict=True):
        for _ in range(5):
            parent.recent_delay.add(fleet.now, delay)
            parent.usual_delay.add(fleet.now, delay)
    sources = {
        fleet.receive_request(remaining_time=left).attempts[0].fill_source for _ in range(20)
    } - {fleet.origin}
    assert sources == ({fleet.parents[1]} if near else set(fleet.parents))


def test_a_believed_holder_is_the_fill_source_and_asked_only_if_cached():
    fleet = RouterFixture()
    first = fleet.receive_request(object_id=5)
    owner = first.attempts[0].endpoint
    fleet.finish_attempt(first.attempts[0], Outcome.REJECTED, CacheStatus.NOT_STORED)
    fleet.finish_attempt(first.attempts[1], cache_status=CacheStatus.FILLED, first_byte=20.0)
    fleet.actions.take("send_attempt")
    again = fleet.receive_request(object_id=5)
    assert (
        again.attempts[0].endpoint is owner
        and again.attempts[0].fill_source is first.attempts[1].endpoint
    )
    assert fleet.actions.take("send_attempt")[0][1].only_if_cached is True


@pytest.mark.parametrize(
    ("crowding", "age", "filled"), [(1.0, 0, True), (30.0, 0, False), (30.0, 3000, True)]
)
def test_a_congested_link_stops_fills_and_a_miss_is_rejected_immediately(crowding, age, filled):
    """Without the bound, fills whose clients had left kept a link congested for a day."""
    fleet = RouterFixture()
    fleet.finish_attempt(fleet.receive_request().attempts[0], load_report={"crowding": crowding})
    request = fleet.receive_request(after=age)
    assert (request.attempts[0].fill_source is not request.attempts[0].endpoint) is filled
    if not filled:
        fleet.finish_attempt(request.attempts[0], Outcome.MISS, CacheStatus.UNKNOWN)
        assert request.is_complete and len(request.attempts) == 1


@pytest.mark.parametrize(("first_byte", "held_only"), [(100.0, False), (3000.0, True)])
def test_a_slow_origin_gets_no_more_fills_and_parents_serve_only_what_is_cached(
    first_byte, held_only
):
    """Without the bound, fills that came too late for anyone kept the origin overloaded."""
    fleet = RouterFixture()
    for place in range(30):
        by_origin = place % 3 == 0
        note, delay = (
            (CacheStatus.FILLED_BY_ORIGIN, first_byte) if by_origin else (CacheStatus.FILLED, 12.0)
        )
        fleet.finish_attempt(
            fleet.receive_request().attempts[0], cache_status=note, first_byte=delay
        )
    fleet.actions.take("send_attempt")
    request = fleet.receive_request()
    assert (
        fleet.actions.take("send_attempt")[0][1].only_if_cached is held_only
        and request.attempts[0].fill_source in fleet.parents
    )
    if held_only:
        fleet.finish_attempt(request.attempts[0], Outcome.MISS, CacheStatus.SOURCE_MISS)
        assert request.is_complete and len(request.attempts) == 1


def test_a_slow_parent_gets_only_trial_fills():
    """Without the bound, fills waited at slow parents and took the capacity of hits at caches."""
    fleet = RouterFixture()
    fleet.router.random.random = lambda: 1.0
    for _ in range(20):
        fleet.finish_attempt(
            fleet.receive_request().attempts[0], cache_status=CacheStatus.FILLED, first_byte=3000.0
        )
    filled = 0
    for _ in range(50):
        attempt = fleet.receive_request(after=20).attempts[0]
        filled += attempt.fill_source in fleet.parents
        fleet.finish_attempt(attempt)
    assert 0 < filled <= 6


def warm_up(fleet, number=40, note=CacheStatus.FILLED, first_byte=20.0):
    for _ in range(number):
        fleet.finish_attempt(
            fleet.receive_request().attempts[0], cache_status=note, first_byte=first_byte
        )


@pytest.mark.parametrize(("slow", "kept"), [((0,), False), ((0, 1), True)])
def test_a_slow_parent_is_passed_over_only_if_the_others_are_not_slow_too(slow, kept):
    """Passing over all slow parents led to ones without the objects, and to the origin."""
    fleet = RouterFixture()
    warm_up(fleet)
    for at in slow:
        for _ in range(60):
            fleet.parents[at].recent_delay.add(fleet.now, 700.0)
    fleet.router.random.random, fleet.router.endpoint_filter.trial_tokens = lambda: 1.0, 0.0
    orders = [
        rendezvous_order(fleet.parents, key, 0, fleet.router.slow_start, fleet.now)
        for key in range(5000, 5040)
    ]
    sources = [
        fleet.router.fill_sources.choose_upstream(iter(order), fleet.now)
        for order in orders
        if order[0] is fleet.parents[0]
    ]
    assert all(source is fleet.parents[0] for source in sources) is kept


def test_fills_by_way_of_the_origin_do_not_raise_the_parents_delay():
    fleet = RouterFixture()
    warm_up(fleet, 40)
    before = [fleet.router.fill_sources.delay(parent, fleet.now) for parent in fleet.parents]
    warm_up(fleet, 40, CacheStatus.FILLED_BY_ORIGIN, 900.0)
    assert [
        fleet.router.fill_sources.delay(parent, fleet.now) for parent in fleet.parents
    ] == before

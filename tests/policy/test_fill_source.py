"""Selection of the fill source of a miss, tested through the router."""

import pytest
from helpers import RouterFixture

from mulleinrelay.policy.model import CacheStatus, Outcome
from mulleinrelay.policy.rendezvous_hash import rendezvous_order


@pytest.mark.parametrize(
    ("remaining_time", "is_nearest_expected"), [(6000.0, False), (200.0, True)]
)
def test_a_client_with_less_time_than_its_objective_gets_the_nearest_parent(
    remaining_time, is_nearest_expected
):
    """Guard against fills from far parents that are too late for clients with a short deadline."""
    fixture = RouterFixture()
    for parent, delay in zip(fixture.parents, (60.0, 30.0), strict=True):
        for _ in range(5):
            parent.recent_delay.add(fixture.now, delay)
            parent.usual_delay.add(fixture.now, delay)
    sources = {
        fixture.receive_request(remaining_time=remaining_time).attempts[0].fill_source
        for _ in range(20)
    } - {fixture.origin}
    assert sources == ({fixture.parents[1]} if is_nearest_expected else set(fixture.parents))


def test_a_believed_holder_is_the_fill_source_and_asked_only_if_cached():
    fixture = RouterFixture()
    first = fixture.receive_request(object_id=5)
    owner = first.attempts[0].endpoint
    fixture.finish_attempt(first.attempts[0], Outcome.REJECTED, CacheStatus.NOT_STORED)
    fixture.finish_attempt(first.attempts[1], cache_status=CacheStatus.FILLED, first_byte=20.0)
    fixture.actions.take("send_attempt")
    second = fixture.receive_request(object_id=5)
    assert (
        second.attempts[0].endpoint is owner
        and second.attempts[0].fill_source is first.attempts[1].endpoint
    )
    assert fixture.actions.take("send_attempt")[0][1].only_if_cached is True


@pytest.mark.parametrize(
    ("congestion", "report_age", "is_filled"),
    [(1.0, 0, True), (30.0, 0, False), (30.0, 3000, True)],
)
def test_a_congested_link_stops_fills_and_a_miss_is_rejected_immediately(
    congestion, report_age, is_filled
):
    """Guard against fills that keep the link congested.

    When fills were started despite congestion, fills for clients that had left kept a link
    congested for a day.
    """
    fixture = RouterFixture()
    fixture.finish_attempt(
        fixture.receive_request().attempts[0], load_report={"crowding": congestion}
    )
    request = fixture.receive_request(after=report_age)
    assert (request.attempts[0].fill_source is not request.attempts[0].endpoint) is is_filled
    if not is_filled:
        fixture.finish_attempt(request.attempts[0], Outcome.MISS, CacheStatus.UNKNOWN)
        assert request.is_complete and len(request.attempts) == 1


@pytest.mark.parametrize(("origin_delay", "only_if_cached"), [(100.0, False), (3000.0, True)])
def test_a_slow_origin_gets_no_more_fills_and_parents_serve_only_what_is_cached(
    origin_delay, only_if_cached
):
    """Guard against fills that keep the origin overloaded.

    When fills were started despite a slow origin, they were too late for any client.
    """
    fixture = RouterFixture()
    for index in range(30):
        is_filled_by_origin = index % 3 == 0
        cache_status, delay = (
            (CacheStatus.FILLED_BY_ORIGIN, origin_delay)
            if is_filled_by_origin
            else (CacheStatus.FILLED, 12.0)
        )
        fixture.finish_attempt(
            fixture.receive_request().attempts[0], cache_status=cache_status, first_byte=delay
        )
    fixture.actions.take("send_attempt")
    request = fixture.receive_request()
    assert (
        fixture.actions.take("send_attempt")[0][1].only_if_cached is only_if_cached
        and request.attempts[0].fill_source in fixture.parents
    )
    if only_if_cached:
        fixture.finish_attempt(request.attempts[0], Outcome.MISS, CacheStatus.SOURCE_MISS)
        assert request.is_complete and len(request.attempts) == 1


def test_a_slow_parent_gets_only_trial_fills():
    """Guard against fills that wait for slow parents and take capacity from hits at the caches."""
    fixture = RouterFixture()
    fixture.router.random.random = lambda: 1.0
    for _ in range(20):
        fixture.finish_attempt(
            fixture.receive_request().attempts[0],
            cache_status=CacheStatus.FILLED,
            first_byte=3000.0,
        )
    fills = 0
    for _ in range(50):
        attempt = fixture.receive_request(after=20).attempts[0]
        fills += attempt.fill_source in fixture.parents
        fixture.finish_attempt(attempt)
    assert 0 < fills <= 6


def serve_fills(fixture, count=40, cache_status=CacheStatus.FILLED, first_byte=20.0):
    for _ in range(count):
        fixture.finish_attempt(
            fixture.receive_request().attempts[0], cache_status=cache_status, first_byte=first_byte
        )


@pytest.mark.parametrize(("slow_parents", "is_first_chosen"), [((0,), False), ((0, 1), True)])
def test_a_slow_parent_is_skipped_only_if_the_others_are_not_slow_too(
    slow_parents, is_first_chosen
):
    """Guard against the skipping of parents while all of them are slow.

    The fills then went to other parents, which lacked the objects, and to the origin.
    """
    fixture = RouterFixture()
    serve_fills(fixture)
    for index in slow_parents:
        for _ in range(60):
            fixture.parents[index].recent_delay.add(fixture.now, 700.0)
    fixture.router.random.random, fixture.router.endpoint_filter.trial_tokens = lambda: 1.0, 0.0
    orders = [
        rendezvous_order(fixture.parents, object_id, 0, fixture.router.slow_start, fixture.now)
        for object_id in range(5000, 5040)
    ]
    sources = [
        fixture.router.fill_sources.choose_upstream(iter(order), fixture.now)
        for order in orders
        if order[0] is fixture.parents[0]
    ]
    assert all(source is fixture.parents[0] for source in sources) is is_first_chosen


def test_fills_through_the_origin_do_not_raise_the_parents_delay():
    fixture = RouterFixture()
    serve_fills(fixture, 40)
    old_delays = [
        fixture.router.fill_sources.delay(parent, fixture.now) for parent in fixture.parents
    ]
    serve_fills(fixture, 40, CacheStatus.FILLED_BY_ORIGIN, 900.0)
    assert [
        fixture.router.fill_sources.delay(parent, fixture.now) for parent in fixture.parents
    ] == old_delays

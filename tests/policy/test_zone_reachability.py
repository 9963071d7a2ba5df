import math
from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from mulleinrelay.policy.zone_reachability import (
    FAILURE_WINDOW,
    FALSE_ALARM_LIFETIME,
    MIN_OUTAGE,
    ZoneReachability,
)


def zone_after(cache_count, failures=(), start=0.0):
    """Return a zone in which the caches in `failures` failed one after the other, 100 ms apart.

    Also return whether the last failure made the zone unreachable.
    """
    zone = ZoneReachability()
    zone.update_caches(list(range(cache_count)), True)
    has_become_unreachable = False
    for number, cache in enumerate(failures):
        has_become_unreachable = zone.record_failure(start + 100.0 * number, cache)
    return zone, has_become_unreachable


@pytest.mark.parametrize(
    ("cache_count", "failures", "is_unreachable"),
    [
        pytest.param(6, [1, 2], True, id="two-of-six"),
        pytest.param(6, [1], False, id="one-of-six"),
        pytest.param(6, [1, 1, 1], False, id="the-same-cache-three-times"),
        pytest.param(20, [1, 2, 3, 4], False, id="less-than-a-quarter"),
        pytest.param(20, [1, 2, 3, 4, 5], True, id="a-quarter"),
        pytest.param(1, [0], False, id="single-cache"),
        pytest.param(6, [1, 99], False, id="cache-of-another-zone"),
        pytest.param(2, [0, 1], True, id="all-of-two"),
    ],
)
def test_number_of_caches_that_must_fail_in_a_row(cache_count, failures, is_unreachable):
    zone, has_become_unreachable = zone_after(cache_count, failures)
    assert zone.is_unreachable == has_become_unreachable == is_unreachable


def test_response_of_any_cache_in_between_resets_the_failures():
    zone, _ = zone_after(6, [1])
    assert zone.record_response(150.0, 5) is None
    assert not zone.record_failure(200.0, 2)
    assert zone.record_failure(300.0, 3)


def test_failures_far_apart_do_not_make_an_outage():
    zone, _ = zone_after(6, [1])
    assert not zone.record_failure(FAILURE_WINDOW + 1.0, 2)
    assert not zone.is_unreachable


@pytest.mark.parametrize(
    ("duration", "ejected_since"),
    [
        pytest.param(MIN_OUTAGE + 1.0, 0.0, id="outage"),
        pytest.param(MIN_OUTAGE - 1.0, math.inf, id="false-alarm"),
    ],
)
def test_caches_ejected_in_an_outage_are_reinstated_but_not_after_a_false_alarm(
    duration, ejected_since
):
    zone, _ = zone_after(6, [1, 2])
    assert zone.record_response(100.0 + duration, 4) == ejected_since
    assert not zone.is_unreachable


def test_false_alarm_doubles_the_caches_that_must_fail_until_it_expires():
    """Guard against a zone that is bypassed again and again while its caches are only slow."""
    zone, _ = zone_after(8, [1, 2])
    assert zone.record_response(150.0, 1) == math.inf
    assert not zone.record_failure(200.0, 1)
    assert not zone.record_failure(210.0, 2)
    assert not zone.record_failure(220.0, 3)
    assert zone.record_failure(230.0, 4)
    zone.record_response(240.0, 1)
    assert not any(zone.record_failure(300.0 + cache, cache) for cache in range(7))
    assert zone.record_failure(310.0, 7)  # the last of all eight caches
    zone.record_response(10_000.0, 1)
    for elapsed in (FALSE_ALARM_LIFETIME, 2.0 * FALSE_ALARM_LIFETIME + 1.0):
        assert not zone.record_failure(10_000.0 + elapsed, 1)
    assert zone.record_failure(10_000.0 + 2.0 * FALSE_ALARM_LIFETIME + 2.0, 2)


@pytest.mark.parametrize(
    ("has_restarted", "caches", "is_unreachable"),
    [
        pytest.param(True, range(6), False, id="a-cache-has-restarted"),
        pytest.param(False, range(6), True, id="same-caches"),
        pytest.param(False, range(3), True, id="fewer-caches"),
        pytest.param(False, (), False, id="no-caches"),
    ],
)
def test_restarted_cache_or_empty_endpoint_list_ends_the_outage(
    has_restarted, caches, is_unreachable
):
    zone, _ = zone_after(6, [1, 2])
    zone.update_caches(list(caches), has_restarted)
    assert zone.is_unreachable == is_unreachable


@pytest.mark.parametrize(
    ("interval", "count"), [(500.0, 2), (2000.0, 2), (5000.0, 5), (60_000.0, 9)]
)
def test_enough_caches_are_pinged_for_about_one_ping_a_second(interval, count):
    zone, _ = zone_after(9, [1, 2, 3])
    assert len(set(zone.sample_for_pings(interval, Random(1)))) == count


@given(st.lists(st.tuples(st.booleans(), st.integers(0, 4), st.floats(1.0, 3000.0)), max_size=60))
def test_outage_needs_two_failed_caches_and_no_response_since(steps):
    zone = ZoneReachability()
    zone.update_caches(list(range(5)), True)
    now = 0.0
    failed_at = {}
    for is_failure, cache, elapsed in steps:
        now += elapsed
        if is_failure:
            failed_at[cache] = now
            if zone.record_failure(now, cache):
                recent = [time for time in failed_at.values() if time > now - FAILURE_WINDOW]
                assert len(recent) >= 2
        else:
            zone.record_response(now, cache)
            failed_at = {}
            assert not zone.is_unreachable

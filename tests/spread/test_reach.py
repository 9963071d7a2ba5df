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


def view(count, failed=(), at=0.0):
    """A location of so many caches of which these fail, 100 ms apart; and whether the last told a
    cut.
    """
    reach, told = ZoneReachability(), False
    reach.update_caches(list(range(count)), True)
    for place, node in enumerate(failed):
        told = reach.record_failure(at + 100.0 * place, node)
    return reach, told


@pytest.mark.parametrize(
    "count, failed, cut",
    [
        (6, [1, 2], True),
        (6, [1], False),
        (6, [1, 1, 1], False),  # one cache, however often
        (20, [1, 2, 3, 4], False),
        (20, [1, 2, 3, 4, 5], True),  # a quarter
        (1, [0], False),  # nothing to compare it with
        (6, [1, 99], False),  # not of this location
        (2, [0, 1], True),
    ],
)
def test_how_many_must_fail_in_a_row(count, failed, cut):
    reach, told = view(count, failed)
    assert reach.is_unreachable == told == cut


def test_a_word_of_any_cache_in_between_speaks_for_the_path():
    reach, _ = view(6, [1])
    assert reach.record_response(150.0, 5) is None
    assert not reach.record_failure(200.0, 2) and reach.record_failure(300.0, 3)


def test_failures_long_apart_are_no_cut():
    reach, _ = view(6, [1])
    assert not reach.record_failure(FAILURE_WINDOW + 1.0, 2) and not reach.is_unreachable


@pytest.mark.parametrize("lasted, since", [(MIN_OUTAGE + 1.0, 0.0), (MIN_OUTAGE - 1.0, math.inf)])
def test_what_was_shunned_in_a_cut_comes_back_with_it_but_not_after_a_wrong_judgement(
    lasted, since
):
    reach, _ = view(6, [1, 2])
    assert reach.record_response(100.0 + lasted, 4) == since and not reach.is_unreachable


def test_slow_caches_that_were_taken_for_a_cut_need_more_the_next_time():
    """Guards against a location that is passed by again and again while its caches are
    only slow.
    """
    reach, _ = view(8, [1, 2])
    assert reach.record_response(150.0, 1) == math.inf
    assert (
        not reach.record_failure(200.0, 1)
        and not reach.record_failure(210.0, 2)
        and not reach.record_failure(220.0, 3)
    )
    assert reach.record_failure(230.0, 4)
    reach.record_response(240.0, 1)
    assert not any(
        reach.record_failure(300.0 + node, node) for node in range(7)
    ) and reach.record_failure(310.0, 7)  # all
    reach.record_response(10_000.0, 1)
    for later in (FALSE_ALARM_LIFETIME, 2.0 * FALSE_ALARM_LIFETIME + 1.0):
        assert not reach.record_failure(10_000.0 + later, 1)
    assert reach.record_failure(10_000.0 + 2.0 * FALSE_ALARM_LIFETIME + 2.0, 2)


@pytest.mark.parametrize(
    "anew, nodes, cut",
    [(True, range(6), False), (False, range(6), True), (False, range(3), True), (False, (), False)],
)
def test_a_cache_that_starts_anew_or_an_empty_list_ends_the_judgement(anew, nodes, cut):
    reach, _ = view(6, [1, 2])
    reach.update_caches(list(nodes), anew)
    assert reach.is_unreachable == cut


@pytest.mark.parametrize("every, count", [(500.0, 2), (2000.0, 2), (5000.0, 5), (60_000.0, 9)])
def test_so_many_are_asked_that_one_echo_goes_out_a_second(every, count):
    reach, _ = view(9, [1, 2, 3])
    assert len(set(reach.sample_for_pings(every, Random(1)))) == count


@given(st.lists(st.tuples(st.booleans(), st.integers(0, 4), st.floats(1.0, 3000.0)), max_size=60))
def test_a_cut_is_only_ever_told_of_caches_none_of_which_was_heard_since(steps):
    reach, now, silent = ZoneReachability(), 0.0, {}
    reach.update_caches(list(range(5)), True)
    for failing, node, after in steps:
        now += after
        if failing:
            silent[node] = now
            if reach.record_failure(now, node):
                assert len([one for one, at in silent.items() if at > now - FAILURE_WINDOW]) >= 2
        else:
            reach.record_response(now, node)
            silent = {}
            assert not reach.is_unreachable

from random import Random

import pytest

from mulleinrelay.policy.connection_reuse import (
    COSTLY_CONNECT_FACTOR,
    MAX_IDLE_TO_CACHE,
    MAX_IDLE_TO_PARENT_OR_ORIGIN,
    SHORT_IDLE_TIMEOUT,
    SILENCE_BEFORE_PING,
    PingBackoff,
    connection_utilization,
    connections_to_evict,
    idle_timeout,
)


@pytest.mark.parametrize(
    "attempts, wait", [(1, 750.0), (2, 500.0), (4, 300.0), (14, 100.0), (60, 100.0)]
)
def test_of_many_attempts_one_should_come_sooner(attempts, wait):
    assert PingBackoff().silence_before_ping(attempts) == wait


@pytest.mark.parametrize(
    "echoes, answers, times", [(1, 0, 2), (3, 0, 8), (9, 0, 16), (2, 5, 2), (1, 9, 1)]
)
def test_a_link_that_was_asked_in_vain_is_asked_more_rarely_until_its_answers_come(
    echoes, answers, times
):
    patience = PingBackoff()
    for _ in range(echoes):
        patience.record_ping_answer()
    for _ in range(answers):
        patience.record_response()
    assert patience.silence_before_ping(1) == pytest.approx(SILENCE_BEFORE_PING / 2 * times)


@pytest.mark.parametrize("takes, most", [(200.0, 0), (1200.0, 44), (4000.0, 44)])
def test_echoes_over_slow_answers_stay_few(takes, most):
    """200 requests in turn on one link of a well node whose answers take long: asked in vain 200
    times by one wait alone.
    """
    patience, draw, echoes = PingBackoff(), Random(1), 0
    for _ in range(200):
        left = takes * draw.uniform(0.5, 1.5)
        while left > patience.silence_before_ping(1):
            left -= patience.silence_before_ping(1)
            patience.record_ping_answer()
            echoes += 1
        patience.record_response()
    assert echoes <= most


@pytest.mark.parametrize(
    "sharers, far, priced, held",
    [
        (1, False, False, 15_000.0),
        (MAX_IDLE_TO_CACHE, False, False, 15_000.0),
        (MAX_IDLE_TO_CACHE + 1, False, False, SHORT_IDLE_TIMEOUT),
        (MAX_IDLE_TO_PARENT_OR_ORIGIN, True, False, 15_000.0),
        (MAX_IDLE_TO_PARENT_OR_ORIGIN + 1, True, False, SHORT_IDLE_TIMEOUT),
        (COSTLY_CONNECT_FACTOR * MAX_IDLE_TO_CACHE, False, True, 15_000.0),
        (COSTLY_CONNECT_FACTOR * MAX_IDLE_TO_CACHE + 1, False, True, SHORT_IDLE_TIMEOUT),
    ],
)
def test_links_are_held_for_long_only_where_all_together_stay_within_the_bound(
    sharers, far, priced, held
):
    assert idle_timeout(30_000.0, sharers, far, priced) == held


@pytest.mark.parametrize("directors", [5, 12, 60, 600])
def test_idle_links_to_one_node_stay_bounded_whatever_the_number_of_directors(directors):
    """20 requests a second at one cache, unevenly spread, 60 ms each; counted each 50
    ms over 30 s.
    """
    draw, span = Random(directors), idle_timeout(30_000.0, directors, False, False)
    weights, until, most = (
        [draw.lognormvariate(0.0, 1.0) for _ in range(directors)],
        [0.0] * directors,
        0,
    )
    for slot in range(600):
        now = 50.0 * slot
        until[draw.choices(range(directors), weights)[0]] = now + 60.0 + span
        most = max(most, sum(end > now for end in until))
    assert most <= MAX_IDLE_TO_CACHE


@pytest.mark.parametrize("count, ended", [(3, ""), (6, ""), (7, "b"), (8, "bc"), (20, "bca")])
def test_the_links_that_have_been_idle_for_longest_make_room(count, ended):
    assert connections_to_evict([(9.0, "a"), (1.0, "b"), (5.0, "c")], count, 8) == list(ended)


@pytest.mark.parametrize("count, busy, full", [(5, 5, 0.0), (6, 3, 0.375), (8, 8, 1.0)])
def test_links_count_as_full_where_few_are_left(count, busy, full):
    assert connection_utilization(count, busy, 8) == full

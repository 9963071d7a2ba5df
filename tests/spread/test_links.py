from random import Random

import pytest

from mulleinrelay.policy.connection_reuse import (
    HELD_FAR,
    HELD_MOST,
    HELD_SHORT,
    PRICED,
    QUIET,
    PingBackoff,
    fullness,
    hold_for,
    to_end,
)


@pytest.mark.parametrize(
    "attempts, wait", [(1, 750.0), (2, 500.0), (4, 300.0), (14, 100.0), (60, 100.0)]
)
def test_of_many_attempts_one_should_come_sooner(attempts, wait):
    assert PingBackoff().wait(attempts) == wait


@pytest.mark.parametrize(
    "echoes, answers, times", [(1, 0, 2), (3, 0, 8), (9, 0, 16), (2, 5, 2), (1, 9, 1)]
)
def test_a_link_that_was_asked_in_vain_is_asked_more_rarely_until_its_answers_come(
    echoes, answers, times
):
    patience = PingBackoff()
    for _ in range(echoes):
        patience.echoed()
    for _ in range(answers):
        patience.answered()
    assert patience.wait(1) == pytest.approx(QUIET / 2 * times)


@pytest.mark.parametrize("takes, most", [(200.0, 0), (1200.0, 44), (4000.0, 44)])
def test_echoes_over_slow_answers_stay_few(takes, most):
    """200 requests in turn on one link of a well node whose answers take long: asked in vain 200
    times by one wait alone.
    """
    patience, draw, echoes = PingBackoff(), Random(1), 0
    for _ in range(200):
        left = takes * draw.uniform(0.5, 1.5)
        while left > patience.wait(1):
            left -= patience.wait(1)
            patience.echoed()
            echoes += 1
        patience.answered()
    assert echoes <= most


@pytest.mark.parametrize(
    "sharers, far, priced, held",
    [
        (1, False, False, 15_000.0),
        (HELD_MOST, False, False, 15_000.0),
        (HELD_MOST + 1, False, False, HELD_SHORT),
        (HELD_FAR, True, False, 15_000.0),
        (HELD_FAR + 1, True, False, HELD_SHORT),
        (PRICED * HELD_MOST, False, True, 15_000.0),
        (PRICED * HELD_MOST + 1, False, True, HELD_SHORT),
    ],
)
def test_links_are_held_for_long_only_where_all_together_stay_within_the_bound(
    sharers, far, priced, held
):
    assert hold_for(30_000.0, sharers, far, priced) == held


@pytest.mark.parametrize("directors", [5, 12, 60, 600])
def test_idle_links_to_one_node_stay_bounded_whatever_the_number_of_directors(directors):
    """20 requests a second at one cache, unevenly spread, 60 ms each; counted each 50
    ms over 30 s.
    """
    draw, span = Random(directors), hold_for(30_000.0, directors, False, False)
    weights, until, most = (
        [draw.lognormvariate(0.0, 1.0) for _ in range(directors)],
        [0.0] * directors,
        0,
    )
    for slot in range(600):
        now = 50.0 * slot
        until[draw.choices(range(directors), weights)[0]] = now + 60.0 + span
        most = max(most, sum(end > now for end in until))
    assert most <= HELD_MOST


@pytest.mark.parametrize("count, ended", [(3, ""), (6, ""), (7, "b"), (8, "bc"), (20, "bca")])
def test_the_links_that_have_been_idle_for_longest_make_room(count, ended):
    assert to_end([(9.0, "a"), (1.0, "b"), (5.0, "c")], count, 8) == list(ended)


@pytest.mark.parametrize("count, busy, full", [(5, 5, 0.0), (6, 3, 0.375), (8, 8, 1.0)])
def test_links_count_as_full_where_few_are_left(count, busy, full):
    assert fullness(count, busy, 8) == full

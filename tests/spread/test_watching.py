from collections import Counter
from random import Random

import pytest

from mulleinrelay.policy import health_checks
from mulleinrelay.policy.health_checks import HealthCheckScheduler

NODES = ["a", "b", "c", "d"]


def watches(count, reports=False, one_seed=False):
    return [
        HealthCheckScheduler(0.0, Random(1 if one_seed else seed), reports) for seed in range(count)
    ]


def asked(watches, until, rate=0.0, step=25.0, doubted=None):
    """All questions as (ms, node); each director looks up `rate` times a second."""
    found, owed = [], [0.0] * len(watches)
    for watch in watches:
        if doubted:
            watch.schedule_pings(doubted, 0.0, len(watches))
    for now in range(0, int(until), int(step)):
        for place, watch in enumerate(watches):
            owed[place] += rate * step / 1000.0
            while owed[place] >= 1.0:
                watch.record_request()
                owed[place] -= 1.0
            found += [(now, node) for node in watch.take_due(float(now), NODES)]
    return found


@pytest.mark.parametrize(
    "sharers, most, least", [(1, 2.7, 1.3), (10, 27, 13), (40, 27, 13), (300, 27, 12)]
)
def test_a_doubted_node_is_asked_within_bounds_however_many_share_it(sharers, most, least):
    found = asked(watches(sharers), 30_000.0, doubted="a")
    assert least <= len(found) / 30.0 <= most


def test_directors_that_doubt_together_ask_apart():
    found = asked(watches(100), 5_000.0, doubted="a")
    assert max(Counter(int(now / 100.0) for now, _ in found).values()) <= 8


def test_one_that_answers_is_asked_no_more():
    (watch,) = watches(1)
    watch.schedule_pings("a", 0.0, 1)
    watch.schedule_pings("b", 0.0, 1)
    watch.cancel_pings("a")
    assert {node for _, node in asked([watch], 3_000.0)} == {"b"}
    watch.cancel_pings_except(["c"])
    assert asked([watch], 3_000.0) == []


@pytest.mark.parametrize("few, many, rate", [(30, 300, 400.0), (30, 300, 60.0)])
def test_reports_grow_with_requests_and_not_with_directors(few, many, rate):
    counts = [len(asked(watches(count, True), 20_000.0, rate / count)) for count in (few, many)]
    assert counts[1] <= 2.0 * counts[0]


def test_a_director_with_hardly_a_request_still_watches():
    assert 9 <= len(asked(watches(1, True), 300_000.0)) <= 12


def test_a_busy_director_asks_no_more_than_its_pace():
    assert (
        len(asked(watches(1, True), 20_000.0, 200.0))
        <= 20_000.0 / health_checks.MIN_POLL_INTERVAL + 1
    )


def test_no_question_where_no_reports_are_to_be_had():
    assert asked(watches(5), 20_000.0, 50.0) == []


def test_one_seed_and_one_clock_are_a_herd():
    apart, together = (
        Counter(asked(watches(50, True, one_seed), 20_000.0, 20.0)).most_common(1)[0][1]
        for one_seed in (False, True)
    )
    assert apart <= 8 and together == 50


@pytest.mark.parametrize("price, rate", [(0.0, 0.2), (0.014, 0.2), (0.056, 0.1), (1.4, 0.02)])
def test_dear_reports_are_asked_for_more_rarely(price, rate):
    watch = HealthCheckScheduler(0.0, Random(1), True, price)
    watch.saved_polls = 0.0
    watch.record_request()
    assert watch.saved_polls == pytest.approx(rate)

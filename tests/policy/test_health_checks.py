from collections import Counter
from random import Random

import pytest

from mulleinrelay.policy.health_checks import MIN_POLL_INTERVAL, HealthCheckScheduler

ENDPOINTS = ["a", "b", "c", "d"]


def schedulers(count, polls_load_reports=False, same_seed=False):
    return [
        HealthCheckScheduler(0.0, Random(1 if same_seed else seed), polls_load_reports)
        for seed in range(count)
    ]


def checks_sent(directors, duration, rate=0.0, step=25.0, suspected=None):
    """Return all pings and polls that the schedulers of some directors send, as (ms, endpoint).

    Each director receives `rate` requests a second. If `suspected` is given, all directors suspect
    this endpoint from the start.
    """
    sent = []
    requests_due = [0.0] * len(directors)
    for scheduler in directors:
        if suspected:
            scheduler.schedule_pings(suspected, 0.0, len(directors))
    for now in range(0, int(duration), int(step)):
        for number, scheduler in enumerate(directors):
            requests_due[number] += rate * step / 1000.0
            while requests_due[number] >= 1.0:
                scheduler.record_request()
                requests_due[number] -= 1.0
            sent += [(now, endpoint) for endpoint in scheduler.take_due(float(now), ENDPOINTS)]
    return sent


@pytest.mark.parametrize(
    ("sharing_directors", "max_rate", "min_rate"),
    [(1, 2.7, 1.3), (10, 27, 13), (40, 27, 13), (300, 27, 12)],
)
def test_pings_to_a_suspected_endpoint_are_bounded_for_any_number_of_directors(
    sharing_directors, max_rate, min_rate
):
    sent = checks_sent(schedulers(sharing_directors), 30_000.0, suspected="a")
    assert min_rate <= len(sent) / 30.0 <= max_rate


def test_pings_of_directors_that_suspect_an_endpoint_together_are_spread_out():
    sent = checks_sent(schedulers(100), 5_000.0, suspected="a")
    assert max(Counter(int(now / 100.0) for now, _ in sent).values()) <= 8


def test_endpoint_whose_pings_are_cancelled_is_not_pinged():
    (scheduler,) = schedulers(1)
    scheduler.schedule_pings("a", 0.0, 1)
    scheduler.schedule_pings("b", 0.0, 1)
    scheduler.cancel_pings("a")
    assert {endpoint for _, endpoint in checks_sent([scheduler], 3_000.0)} == {"b"}
    scheduler.cancel_pings_except(["c"])
    assert checks_sent([scheduler], 3_000.0) == []


@pytest.mark.parametrize(
    ("few_directors", "many_directors", "rate"), [(30, 300, 400.0), (30, 300, 60.0)]
)
def test_polls_grow_with_requests_and_not_with_directors(few_directors, many_directors, rate):
    counts = [
        len(checks_sent(schedulers(count, True), 20_000.0, rate / count))
        for count in (few_directors, many_directors)
    ]
    assert counts[1] <= 2.0 * counts[0]


def test_director_without_requests_still_polls():
    assert 9 <= len(checks_sent(schedulers(1, True), 300_000.0)) <= 12


def test_busy_director_polls_at_a_limited_rate():
    sent = checks_sent(schedulers(1, True), 20_000.0, 200.0)
    assert len(sent) <= 20_000.0 / MIN_POLL_INTERVAL + 1


def test_no_polls_are_sent_if_endpoints_report_no_load():
    assert checks_sent(schedulers(5), 20_000.0, 50.0) == []


def test_polls_are_spread_out_unless_directors_share_a_seed():
    max_with_own_seeds, max_with_same_seed = (
        Counter(checks_sent(schedulers(50, True, same_seed), 20_000.0, 20.0)).most_common(1)[0][1]
        for same_seed in (False, True)
    )
    assert max_with_own_seeds <= 8
    assert max_with_same_seed == 50


@pytest.mark.parametrize(
    ("poll_cost", "polls_earned"), [(0.0, 0.2), (0.014, 0.2), (0.056, 0.1), (1.4, 0.02)]
)
def test_costly_polls_are_earned_more_slowly(poll_cost, polls_earned):
    scheduler = HealthCheckScheduler(0.0, Random(1), True, poll_cost)
    scheduler.saved_polls = 0.0
    scheduler.record_request()
    assert scheduler.saved_polls == pytest.approx(polls_earned)

import math
from random import Random

import pytest

from mulleinrelay.policy.router import COLD_MOST, COLD_PART
from mulleinrelay.policy.slow_start import SHARE_FRACTION, SlowStartBudget

SPAN = 1500.0


def fleet(
    directors,
    capacity,
    wants,
    seed,
    seconds=60.0,
    work=lambda draw: 100.0,
    first=0.0,
    uneven=0.0,
    restarts=0.0,
):
    """What a cold node is sent, as (ms, work): `capacity` is work a ms, `wants` requests a second
    of each director, `uneven` how far apart these are; from `first` s on. `restarts`: a second, of
    all together; who starts again has forgotten what it sent.
    """
    draw, sent = Random(seed), []
    held = [(SlowStartBudget(), Random(f"{seed}-{number}")) for number in range(directors)]
    shares = [math.exp(draw.gauss(0.0, uneven)) for _ in held]
    now, rate = 1000.0 * first, directors * wants / 1000.0
    while now < 1000.0 * (first + seconds):
        now += draw.expovariate(rate)
        if draw.random() < restarts / 1000.0 / rate:
            held[draw.randrange(directors)] = (SlowStartBudget(), Random(now))
        allowance, random = draw.choices(held, shares)[0]
        asked = work(draw)
        if allowance.try_admit(now, asked, capacity / directors, SPAN, random):
            allowance.spend(now, asked)
            sent.append((now, asked))
    return sent


def most_in_a_span(sent):
    most = total = 0.0
    first = 0
    for now, work in sent:
        total += work
        while sent[first][0] < now - SPAN:
            total -= sent[first][1]
            first += 1
        most = max(most, total)
    return most


def all_together(directors, capacity, wants):
    """The most of each of five plays."""
    return [most_in_a_span(fleet(directors, capacity, wants, seed, 30.0)) for seed in range(5)]


FLEETS, CAPACITIES = (
    [(1, 200.0), (5, 40.0), (20, 10.0), (200, 1.0), (200, 20.0), (600, 0.5)],
    [0.6, 2.0, 8.0],
)
STUDIES = {
    f"cold, {count} x {wants}, {capacity}": (all_together, count, capacity, wants)
    for count, wants in FLEETS
    for capacity in CAPACITIES
}


@pytest.mark.parametrize("directors, wants", FLEETS)
@pytest.mark.parametrize("capacity", CAPACITIES)
def test_all_together_stay_below_what_fells_a_cold_node(directors, wants, capacity, studies):
    """It falls at N + 3 root N + 3 requests of mean work, N being what it can do in the span."""
    number = capacity * SPAN / 100.0
    found = studies(f"cold, {directors} x {wants}, {capacity}")
    assert len(found) == 5 and max(found) / 100.0 < number + 3.0 * math.sqrt(number) + 3.0


@pytest.mark.parametrize("directors", [20, 30])
@pytest.mark.parametrize("multiple", [1.2, 2.0, 2.5])
@pytest.mark.parametrize("capacity", [0.05, 0.15, 0.5, 2.0])
def test_a_few_dozen_stay_below_the_budget_and_what_is_chance(directors, multiple, capacity):
    """The budget is N, of which the policy takes a part; 2 root N + 2 are chance. Loads are uneven,
    and each director starts again once in a minute.
    """
    part, number = (
        min(COLD_MOST, COLD_PART * multiple) * capacity,
        multiple * capacity * SPAN / 100.0,
    )
    for seed in range(3):
        sent = fleet(directors, part, 20.0, seed, 20.0, uneven=1.0, restarts=directors / 60.0)
        assert most_in_a_span(sent) / 100.0 <= number + 2.0 * math.sqrt(number) + 2.0


@pytest.mark.parametrize("directors, least", [(5, 0.5), (60, 0.25), (200, 0.25), (600, 0.15)])
def test_a_cold_node_is_used_however_many_share_it(directors, least):
    """Guards against parts so small that no request ever fits: the node would be idle while it is
    cold.
    """
    capacity = 4.0
    sent = fleet(directors, capacity, 300.0 / directors, 1)
    assert sum(work for _, work in sent) >= least * capacity * 60_000.0


def test_large_requests_pay_for_what_they_take():
    def work(draw):
        return 400.0 if draw.random() < 0.2 else 50.0

    sent = fleet(200, 4.0, 2.0, 3, work=work)
    large = sum(held for _, held in sent if held > 100.0)
    assert 0.2 * 4.0 * 60_000.0 < sum(held for _, held in sent) < SHARE_FRACTION * 4.0 * 60_000.0
    assert 0.2 < large / sum(held for _, held in sent) < 0.9


def test_all_wanting_the_same_node_in_the_same_moment_find_few_tickets():
    capacity, sent = 4.0, []
    held = [(SlowStartBudget(), Random(number)) for number in range(200)]
    for allowance, random in held:  # each has looked at it now and then, and not used it
        for now in range(0, 10_000, 50):
            allowance.try_admit(float(now), 100.0, capacity / 200, SPAN, random)
    for allowance, random in held:
        if allowance.try_admit(10_000.0, 100.0, capacity / 200, SPAN, random):
            sent.append(100.0)
    number = capacity * SPAN / 100.0
    assert 0 < len(sent) < number


def test_an_answer_holds_for_its_moment():
    allowance, random = SlowStartBudget(), Random(5)
    for now in range(0, 30_000, 100):
        asked = {allowance.try_admit(float(now), 100.0, 0.02, SPAN, random) for _ in range(5)}
        assert len(asked) == 1

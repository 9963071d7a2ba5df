import math
from random import Random

import pytest

from mulleinrelay.policy.endpoint_capacity import MAX_CAPACITY_FACTOR, OVERLOAD_FRACTION
from mulleinrelay.policy.slow_start import DETERMINISTIC_FRACTION, SlowStartBudget

WINDOW = 1500.0
MEAN_WORK = 100.0


def sent_by_fleet(
    directors,
    capacity,
    rate,
    seed,
    duration_s=60.0,
    work=lambda random: MEAN_WORK,
    unevenness=0.0,
    restart_rate=0.0,
):
    """Return the requests that all directors send to one warming endpoint, each as (ms, work).

    Args:
        directors: Number of directors, which share the capacity equally.
        capacity: Work per ms that the endpoint can do.
        rate: Mean requests a second of each director.
        seed: Seed of all random numbers.
        duration_s: Duration in seconds.
        work: Function that draws the work of a request from a source of randomness.
        unevenness: Standard deviation of the logarithm of the directors' rates.
        restart_rate: Restarts a second of all directors together. A restarted director does not
            know what it sent before.
    """
    random = Random(seed)
    sent = []
    fleet = [(SlowStartBudget(), Random(f"{seed}-{number}")) for number in range(directors)]
    weights = [math.exp(random.gauss(0.0, unevenness)) for _ in fleet]
    now = 0.0
    total_rate = directors * rate / 1000.0
    while now < 1000.0 * duration_s:
        now += random.expovariate(total_rate)
        if random.random() < restart_rate / 1000.0 / total_rate:
            fleet[random.randrange(directors)] = (SlowStartBudget(), Random(now))
        budget, own_random = random.choices(fleet, weights)[0]
        requested = work(random)
        if budget.try_admit(now, requested, capacity / directors, WINDOW, own_random):
            budget.spend(now, requested)
            sent.append((now, requested))
    return sent


def peak_in_a_window(sent):
    peak = 0.0
    total = 0.0
    first = 0
    for now, work in sent:
        total += work
        while sent[first][0] < now - WINDOW:
            total -= sent[first][1]
            first += 1
        peak = max(peak, total)
    return peak


def peaks(directors, capacity, rate):
    """Return the maximum work in a window for each of five runs."""
    return [
        peak_in_a_window(sent_by_fleet(directors, capacity, rate, seed, 30.0)) for seed in range(5)
    ]


FLEETS = [(1, 200.0), (5, 40.0), (20, 10.0), (200, 1.0), (200, 20.0), (600, 0.5)]
CAPACITIES = [0.6, 2.0, 8.0]
PROCESS_JOBS = {
    f"slow start, {directors} x {rate}, {capacity}": (peaks, directors, capacity, rate)
    for directors, rate in FLEETS
    for capacity in CAPACITIES
}


@pytest.mark.parametrize(("directors", "rate"), FLEETS)
@pytest.mark.parametrize("capacity", CAPACITIES)
def test_all_directors_together_do_not_overload_a_warming_endpoint(
    directors, rate, capacity, process_job_result
):
    """Guard against an overload by many directors that each send within their own share.

    An endpoint that can do N requests of mean work in a window is assumed to fail at N + 3 *
    sqrt(N) + 3 requests.
    """
    number = capacity * WINDOW / MEAN_WORK
    peaks_found = process_job_result(f"slow start, {directors} x {rate}, {capacity}")
    assert len(peaks_found) == 5
    assert max(peaks_found) / MEAN_WORK < number + 3.0 * math.sqrt(number) + 3.0


@pytest.mark.parametrize("directors", [20, 30])
@pytest.mark.parametrize("overload_factor", [1.2, 2.0, 2.5])
@pytest.mark.parametrize("capacity", [0.05, 0.15, 0.5, 2.0])
def test_few_dozen_directors_stay_within_the_budget_and_its_variance(
    directors, overload_factor, capacity
):
    """Guard against an overload by directors with uneven loads that restart once a minute.

    N requests of mean work in a window overload the endpoint; the policy uses only a part of N. By
    chance, a window may have up to 2 * sqrt(N) + 2 requests more than N.
    """
    usable = min(MAX_CAPACITY_FACTOR, OVERLOAD_FRACTION * overload_factor) * capacity
    number = overload_factor * capacity * WINDOW / MEAN_WORK
    for seed in range(3):
        sent = sent_by_fleet(
            directors, usable, 20.0, seed, 20.0, unevenness=1.0, restart_rate=directors / 60.0
        )
        assert peak_in_a_window(sent) / MEAN_WORK <= number + 2.0 * math.sqrt(number) + 2.0


@pytest.mark.parametrize(
    ("directors", "least_fraction"), [(5, 0.5), (60, 0.25), (200, 0.25), (600, 0.15)]
)
def test_warming_endpoint_is_used_for_any_number_of_directors(directors, least_fraction):
    """Guard against an endpoint that is idle while it is warming up.

    With many directors, each share is too small for any request.
    """
    capacity = 4.0
    sent = sent_by_fleet(directors, capacity, 300.0 / directors, 1)
    assert sum(work for _, work in sent) >= least_fraction * capacity * 60_000.0


def test_large_requests_are_counted_by_their_work():
    def work(random):
        return 400.0 if random.random() < 0.2 else 50.0

    sent = sent_by_fleet(200, 4.0, 2.0, 3, work=work)
    total = sum(work for _, work in sent)
    large = sum(work for _, work in sent if work > 100.0)
    assert 0.2 * 4.0 * 60_000.0 < total < DETERMINISTIC_FRACTION * 4.0 * 60_000.0
    assert 0.2 < large / total < 0.9


def test_few_permits_exist_when_all_directors_select_the_endpoint_at_once():
    capacity = 4.0
    admitted = 0
    fleet = [(SlowStartBudget(), Random(number)) for number in range(200)]
    for budget, random in fleet:  # each has drawn regularly and has sent nothing
        for now in range(0, 10_000, 50):
            budget.try_admit(float(now), MEAN_WORK, capacity / 200, WINDOW, random)
    for budget, random in fleet:
        if budget.try_admit(10_000.0, MEAN_WORK, capacity / 200, WINDOW, random):
            admitted += 1
    number = capacity * WINDOW / MEAN_WORK
    assert 0 < admitted < number


def test_answer_stays_the_same_within_one_moment():
    budget = SlowStartBudget()
    random = Random(5)
    for now in range(0, 30_000, 100):
        answers = {budget.try_admit(float(now), MEAN_WORK, 0.02, WINDOW, random) for _ in range(5)}
        assert len(answers) == 1

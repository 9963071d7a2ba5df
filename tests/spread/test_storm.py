from random import Random

import pytest

from mulleinrelay.policy.overload import (
    COUNT_HALF_LIFE,
    MEAN_RETRY_AFTER,
    OVERLOAD_FRACTION,
    RETRIES_PER_REQUEST,
    OverloadDetector,
    retry_after,
    retry_cost,
)


def played(rejected, requests=400, every=10.0, seed=1):
    storm, draw, now = OverloadDetector(), Random(seed), 0.0
    for _ in range(requests):
        now += every
        storm.record_request(now)
        if draw.random() < rejected:
            storm.record_rejection()
    return storm, now


@pytest.mark.parametrize(
    "rejected, least, most",
    [(0.0, 1.0, 1.0), (0.1, 0.6, 0.95), (0.25, 0.3, 0.7), (0.6, 0.0, 0.0), (1.0, 0.0, 0.0)],
)
def test_a_request_earns_the_less_the_more_are_rejected(rejected, least, most):
    assert (
        least * RETRIES_PER_REQUEST
        <= played(rejected)[0].retries_earned()
        <= most * RETRIES_PER_REQUEST
    )


@pytest.mark.parametrize("rejected", [0.2, 1.0])
def test_what_was_counted_is_forgotten_once_the_trouble_is_over(rejected):
    storm, now = played(rejected)
    for _ in range(600):
        now += 10.0
        storm.record_request(now)
    assert storm.retries_earned() > 0.75 * RETRIES_PER_REQUEST
    storm, now = played(rejected)
    storm.record_request(now + 20.0 * COUNT_HALF_LIFE)
    assert storm.rejected_fraction() < 0.01


@pytest.mark.parametrize("fail", [0.3, 0.9, 1.0])
@pytest.mark.parametrize("retries", [0, 3])
def test_attempts_stay_bounded_whatever_clients_and_nodes_do(fail, retries):
    """The fleet-wide bound: clients that ask again at once, nodes that turn away each attempt at
    once, a purse that is full at the start. Attempts a request stay under what is earned, near one
    in a storm.
    """
    storm, draw, now, purse = OverloadDetector(), Random(2), 0.0, 8.0
    waiting, requests, attempts = [], 0, 0
    for _ in range(2000):
        waiting.append(0)
        while waiting:
            tries = waiting.pop()
            now, requests = now + 2.0, requests + 1
            storm.record_request(now)
            purse, attempts = min(8.0, purse + storm.retries_earned()), attempts + 1
            while draw.random() < fail:
                price = retry_cost(True, 1.0, 100.0)
                if purse < price:
                    storm.record_rejection()
                    if tries < retries:
                        waiting.append(tries + 1)
                    break
                purse, attempts = purse - price, attempts + 1
    assert attempts <= requests * (1.0 + RETRIES_PER_REQUEST) + 8.0
    if fail >= 0.9:
        assert attempts <= 1.03 * requests


def test_the_mode_turns_once_a_storm_and_once_after():
    storm, now, turns = OverloadDetector(), 0.0, 0
    for share in (0.0, 4 * OVERLOAD_FRACTION, 0.0):
        for place in range(1500):
            now += 10.0
            turns += storm.record_request(now)
            if share and place % int(1 / share) == 0:
                storm.record_rejection()
    assert turns == 2 and not storm.is_overloaded


@pytest.mark.parametrize(
    "turned_away, took, price", [(False, 10.0, 0.3), (False, 30.0, 1.0), (True, 1.0, 1.0)]
)
def test_a_quick_failure_costs_little_but_a_full_node_does_not(turned_away, took, price):
    assert retry_cost(turned_away, took, 100.0) == price


def test_those_rejected_together_come_back_apart():
    draw = Random(3)
    told = [retry_after(draw.random(), 1000.0) for _ in range(400)]
    assert (
        max(sum(slot <= advice < slot + 10.0 for advice in told) for slot in range(0, 200, 10))
        <= 70
    )
    assert (
        sum(told) / 400.0 == pytest.approx(MEAN_RETRY_AFTER, rel=0.1)
        and retry_after(0.9, 50.0) == 50.0
    )

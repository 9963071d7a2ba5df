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


def detector_after(rejected_fraction, requests=400, interval=10.0, seed=1):
    """Return a detector that has counted requests and rejections, and the time of the last request.

    Requests arrive every `interval` ms; the given fraction of them is rejected.
    """
    detector = OverloadDetector()
    random = Random(seed)
    now = 0.0
    for _ in range(requests):
        now += interval
        detector.record_request(now)
        if random.random() < rejected_fraction:
            detector.record_rejection()
    return detector, now


@pytest.mark.parametrize(
    ("rejected_fraction", "min_factor", "max_factor"),
    [(0.0, 1.0, 1.0), (0.1, 0.6, 0.95), (0.25, 0.3, 0.7), (0.6, 0.0, 0.0), (1.0, 0.0, 0.0)],
)
def test_requests_earn_fewer_retries_if_more_are_rejected(
    rejected_fraction, min_factor, max_factor
):
    detector, _ = detector_after(rejected_fraction)
    earned = detector.retries_earned()
    assert min_factor * RETRIES_PER_REQUEST <= earned <= max_factor * RETRIES_PER_REQUEST


@pytest.mark.parametrize("rejected_fraction", [0.2, 1.0])
def test_rejections_are_forgotten_after_the_overload(rejected_fraction):
    detector, now = detector_after(rejected_fraction)
    for _ in range(600):
        now += 10.0
        detector.record_request(now)
    assert detector.retries_earned() > 0.75 * RETRIES_PER_REQUEST
    detector, now = detector_after(rejected_fraction)
    detector.record_request(now + 20.0 * COUNT_HALF_LIFE)
    assert detector.rejected_fraction() < 0.01


@pytest.mark.parametrize("failed_fraction", [0.3, 0.9, 1.0])
@pytest.mark.parametrize("client_retries", [0, 3])
def test_attempts_are_bounded_for_any_behaviour_of_clients_and_endpoints(
    failed_fraction, client_retries
):
    """Guard against an overload that retries amplify, in the worst case.

    Clients retry immediately, endpoints reject a fraction of the attempts immediately, and the
    retry budget is full at the start. The number of retries must not exceed the full budget plus
    what the requests earn. If most attempts fail, each request gets hardly more than one attempt.
    """
    detector = OverloadDetector()
    random = Random(2)
    now = 0.0
    tokens = 8.0
    pending = []
    requests = 0
    attempts = 0
    for _ in range(2000):
        pending.append(0)
        while pending:
            retries = pending.pop()
            now += 2.0
            requests += 1
            detector.record_request(now)
            tokens = min(8.0, tokens + detector.retries_earned())
            attempts += 1
            while random.random() < failed_fraction:
                cost = retry_cost(True, 1.0, 100.0)
                if tokens < cost:
                    detector.record_rejection()
                    if retries < client_retries:
                        pending.append(retries + 1)
                    break
                tokens -= cost
                attempts += 1
    assert attempts <= requests * (1.0 + RETRIES_PER_REQUEST) + 8.0
    if failed_fraction >= 0.9:
        assert attempts <= 1.03 * requests


def test_overload_mode_begins_once_and_ends_once():
    detector = OverloadDetector()
    now = 0.0
    changes = 0
    for rejected_fraction in (0.0, 4 * OVERLOAD_FRACTION, 0.0):
        for number in range(1500):
            now += 10.0
            changes += detector.record_request(now)
            if rejected_fraction and number % int(1 / rejected_fraction) == 0:
                detector.record_rejection()
    assert changes == 2
    assert not detector.is_overloaded


@pytest.mark.parametrize(
    ("was_rejected", "duration", "cost"),
    [
        pytest.param(False, 10.0, 0.3, id="early-failure"),
        pytest.param(False, 30.0, 1.0, id="late-failure"),
        pytest.param(True, 1.0, 1.0, id="rejected-by-a-full-endpoint"),
    ],
)
def test_retry_is_cheap_after_an_early_failure_but_not_after_a_rejection(
    was_rejected, duration, cost
):
    assert retry_cost(was_rejected, duration, 100.0) == cost


def test_retries_of_clients_that_are_rejected_together_are_spread_out():
    random = Random(3)
    delays = [retry_after(random.random(), 1000.0) for _ in range(400)]
    retries_per_10_ms = [
        sum(slot <= delay < slot + 10.0 for delay in delays) for slot in range(0, 200, 10)
    ]
    assert max(retries_per_10_ms) <= 70
    assert sum(delays) / 400.0 == pytest.approx(MEAN_RETRY_AFTER, rel=0.1)
    assert retry_after(0.9, 50.0) == 50.0

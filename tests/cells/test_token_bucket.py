"""Token buckets of one party and of several parties that share a rate, and Retry-After."""

import pytest

from mulleinrelay.cells.token_bucket import FairTokenBucket, TokenBucket, bounded_retry_after


@pytest.mark.parametrize(
    ("rate", "burst", "requests", "admitted"),
    [(10.0, 1, 100, 10), (10.0, 5, 100, 15), (0.0, 0, 100, 100)],
)
def test_bucket_admits_its_rate_and_its_burst(rate, burst, requests, admitted):
    bucket, count = TokenBucket(rate, burst), 0
    for number in range(requests):
        now = number * 1000.0 / (requests - 1)
        if not bucket.wait_time(now):
            bucket.consume(now)
            count += 1
    assert count == admitted


def test_bucket_returns_the_wait_until_the_next_request():
    bucket = TokenBucket(10.0, 1)
    bucket.consume(0.0)
    wait = bucket.wait_time(30.0)
    assert wait == pytest.approx(70.0) and bucket.wait_time(30.0 + wait) == 0.0


@pytest.mark.parametrize(
    ("demand", "minimums"),
    [
        ({"acme": (1.0, 4)}, {"acme": 950}),
        ({"acme": (1.0, 4), "beta": (1.0, 4)}, {"acme": 450, "beta": 450}),
        ({"acme": (1.0, 40), "beta": (1.0, 0.2)}, {"acme": 700, "beta": 190}),
        ({"acme": (3.0, 4), "beta": (1.0, 4)}, {"acme": 680, "beta": 220}),
    ],
)
def test_rate_is_shared_by_weight_and_unused_rate_is_lent(demand, minimums):
    bucket, consumed = FairTokenBucket(1000.0), dict.fromkeys(demand, 0)
    pending = dict.fromkeys(demand, 0.0)
    for now in range(2000):
        for name, (weight, per_ms) in demand.items():
            pending[name] += per_ms
            share = bucket.share_for(name, weight)
            while pending[name] >= 1.0:
                pending[name] -= 1.0
                if not bucket.wait_time(share, float(now)):
                    bucket.consume(share, float(now))
                    consumed[name] += now >= 1000  # the first second is not counted
    assert (
        all(consumed[name] >= bound for name, bound in minimums.items())
        and sum(consumed.values()) <= 1150
    )


@pytest.mark.parametrize(("wait", "retry_after"), [(0.0, 100.0), (250.0, 250.0), (1e9, 5000.0)])
def test_retry_after_is_bounded(wait, retry_after):
    assert bounded_retry_after(wait) == retry_after

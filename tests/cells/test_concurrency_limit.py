"""Adaptive limit on a cell's open requests."""

import pytest

from mulleinrelay.cells.concurrency_limit import ConcurrencyLimit


@pytest.mark.parametrize(
    ("delays", "is_reduced"), [([10.0] * 400, False), ([10.0] * 200 + [80.0] * 200, True)]
)
def test_limit_follows_the_delay(delays, is_reduced):
    limit, now = ConcurrencyLimit(4.0, 100.0), 0.0
    for delay in delays:
        now += 10.0
        limit.record_open(90.0)
        limit.record_completion(now, delay)
    assert (limit.current < 60.0) == is_reduced
    # A longer delay that lasts becomes the baseline after a while, and the limit rises again.
    for _ in range(8000):
        now += 10.0
        limit.record_open(limit.current)
        limit.record_completion(now, delays[-1])
    assert limit.current == 100.0

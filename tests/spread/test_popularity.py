from random import Random

import pytest

from mulleinrelay.policy.popularity import MAX_WINDOWS, WINDOW, Popularity


def seen(rate, share, seconds, seed):
    """A director with `rate` requests a second, `share` of them for one object, others for one in
    1000.
    """
    popular, draw, now = Popularity(0.0), Random(seed), 0.0
    while now < 1000.0 * seconds:
        now += 1000.0 * draw.expovariate(rate)
        popular.record(now, 1 if draw.random() < share else 2 + draw.randrange(1000))
    return popular


@pytest.mark.parametrize(
    "rate, share, caches, of_a_hundred",
    [
        (4.0, 0.08, (2, 3, 4), 95),  # hot over a location, a sighting in five seconds here
        (4.0, 0.002, (1,), 95),  # wanted now and then
        (100.0, 0.05, (3,), 85),  # 2.5 shares of 2%
        (100.0, 0.01, (1,), 100),
        (0.1, 0.05, (1,), 95),
    ],
)  # next to nothing is known
def test_at_how_many_caches_an_object_belongs(rate, share, caches, of_a_hundred):
    """Guards against objects that all ask for and each sees rarely, and against calling everything
    hot.
    """
    found = [seen(rate, share, 28.0, seed).cache_count(1) for seed in range(100)]
    assert sum(one in caches for one in found) >= of_a_hundred


@pytest.mark.parametrize("requests, turns_after", [(1, MAX_WINDOWS * WINDOW), (300, WINDOW)])
def test_a_span_goes_on_until_its_requests_tell_a_share(requests, turns_after):
    popular = Popularity(0.0)
    for _ in range(requests):
        popular.record(1.0, 1)
    assert not popular.record(turns_after - 1.0, 2) and popular.record(turns_after, 2)
    assert popular.count(1) == 0.5 * requests and popular.count(2) == 1.5


def test_what_nobody_asks_for_any_more_is_forgotten():
    popular = seen(100.0, 0.05, 9.0, 1)
    for now in (WINDOW, 2 * WINDOW, 3 * WINDOW):
        for _ in range(200):
            popular.record(now, 2)
    assert popular.count(1) == 0.0 and popular.cache_count(1) == 1

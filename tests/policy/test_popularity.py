from random import Random

import pytest

from mulleinrelay.policy.popularity import MAX_OBJECTS, MAX_WINDOWS, WINDOW, Popularity

HOT, OTHER = 1, 2


def popularity_after(rate, fraction, seconds, seed):
    """Return the popularity that a director counts in `seconds`, with `rate` requests a second.

    The given fraction of the requests is for one object, the others are for 1000 other objects.
    """
    popularity = Popularity(0.0)
    random = Random(seed)
    now = 0.0
    while now < 1000.0 * seconds:
        now += 1000.0 * random.expovariate(rate)
        popularity.record(
            now, HOT if random.random() < fraction else OTHER + random.randrange(1000)
        )
    return popularity


@pytest.mark.parametrize(
    ("rate", "fraction", "cache_counts", "min_runs_of_100"),
    [
        # About one request in three seconds at this director, but hot in the whole location.
        pytest.param(4.0, 0.08, (2, 3, 4), 95, id="hot-in-the-location"),
        pytest.param(4.0, 0.002, (1,), 95, id="requested-occasionally"),
        pytest.param(100.0, 0.05, (3,), 85, id="two-and-a-half-hot-fractions"),
        pytest.param(100.0, 0.01, (1,), 100, id="below-the-hot-fraction"),
        pytest.param(0.1, 0.05, (1,), 95, id="hardly-any-requests"),
    ],
)
def test_cache_count_follows_the_fraction_of_requests(
    rate, fraction, cache_counts, min_runs_of_100
):
    """Guard against hot objects that are missed, and against objects that seem hot by chance.

    An object that is hot in the whole location may be rare at each director. At a director with few
    requests, a few requests for one object are a large fraction.
    """
    found_counts = [
        popularity_after(rate, fraction, 28.0, seed).cache_count(HOT) for seed in range(100)
    ]
    assert sum(count in cache_counts for count in found_counts) >= min_runs_of_100


def test_counts_of_ever_new_objects_are_bounded_and_a_hot_object_is_still_found():
    # Guards against memory that grows with each new object that a client at full speed requests.
    popularity = Popularity(0.0)
    for number in range(6 * MAX_OBJECTS):
        popularity.record(1.0, OTHER + number)
        if number % 20 == 0:
            popularity.record(1.0, HOT)
    assert len(popularity._counts) <= MAX_OBJECTS
    assert popularity.cache_count(HOT) == 3  # 1/21 of the requests


@pytest.mark.parametrize(
    ("requests", "window"),
    [
        pytest.param(1, MAX_WINDOWS * WINDOW, id="few-requests"),
        pytest.param(300, WINDOW, id="enough-requests"),
    ],
)
def test_window_is_extended_until_it_has_enough_requests(requests, window):
    popularity = Popularity(0.0)
    for _ in range(requests):
        popularity.record(1.0, HOT)
    assert not popularity.record(window - 1.0, OTHER)
    assert popularity.record(window, OTHER)
    assert popularity.count(HOT) == 0.5 * requests
    assert popularity.count(OTHER) == 1.5


def test_object_that_is_no_longer_requested_is_forgotten():
    popularity = popularity_after(100.0, 0.05, 9.0, 1)
    for now in (WINDOW, 2 * WINDOW, 3 * WINDOW):
        for _ in range(200):
            popularity.record(now, OTHER)
    assert popularity.count(HOT) == 0.0
    assert popularity.cache_count(HOT) == 1

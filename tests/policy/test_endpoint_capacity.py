"""Work that one director sends to an endpoint in slow start."""

import pytest
from helpers import RouterFixture

from mulleinrelay.policy.events import AttemptFinished
from mulleinrelay.policy.model import CacheStatus, Outcome


@pytest.mark.parametrize(("caches_start", "parents_start"), [(True, False), (False, True)])
def test_an_endpoint_in_slow_start_gets_less_than_would_overload_it(caches_start, parents_start):
    fixture = RouterFixture(
        cache_started_at=100000.0 * caches_start, parents_started_at=100000.0 * parents_start
    )
    sent = dict.fromkeys([fixture.caches[0], *fixture.parents], 0.0)
    for _ in range(300):
        attempt = fixture.receive_request(size_kb=500.0, after=5).attempts[0]
        for endpoint in {attempt.endpoint, attempt.fill_source} & set(sent):
            sent[endpoint] += 50.0
        fixture.finish_attempt(attempt, cache_status=CacheStatus.FILLED, first_byte=30.0)
    endpoint, policy = (
        (fixture.caches[0], fixture.settings.cache_slow_start)
        if caches_start
        else (fixture.parents[0], fixture.settings.parent_slow_start)
    )
    director_count, overload_factor = (1, 2.5) if caches_start else (3, 2.0)
    assert (
        sent[endpoint]
        <= overload_factor * 6.0 * policy.initial_fraction * 1500.0 / director_count * 1.2
    )


@pytest.mark.parametrize("caches_start", [True, False])
def test_small_requests_count_as_their_class_mean_during_slow_start(caches_start):
    """Guard against an overload of an endpoint in slow start by many small requests.

    If small requests were counted by their own size, they would add up to several times the limit.
    """
    fixture = RouterFixture(
        cache_started_at=100_100.0 * caches_start, parents_started_at=100_100.0 * (not caches_start)
    )
    warming_endpoints = [fixture.caches[0]] if caches_start else fixture.parents
    policy, director_count = (
        (fixture.settings.cache_slow_start, 1)
        if caches_start
        else (fixture.settings.parent_slow_start, 3)
    )
    for number in range(40):  # before the endpoints start, so that the class's mean is known
        fixture.receive_request(size_kb=9100.0 if number % 10 == 0 else 100.0, after=2.0)
    sent = {endpoint: [] for endpoint in warming_endpoints}
    for number in range(600):
        attempts = fixture.receive_request(
            size_kb=9100.0 if number % 10 == 0 else 100.0, after=5.0
        ).attempts
        for endpoint in {
            used for attempt in attempts for used in (attempt.endpoint, attempt.fill_source)
        } & set(sent):
            sent[endpoint].append(fixture.now)
        for attempt in attempts:
            fixture.finish_attempt(attempt, cache_status=CacheStatus.FILLED, first_byte=30.0)
    mean = 100.0
    for times in sent.values():
        for now in times:
            available_fraction = (
                policy.initial_fraction
                + (1.0 - policy.initial_fraction) * (now - 100_100.0) / policy.duration
            )
            number = (
                policy.overload_factor
                * 6.0
                * available_fraction
                * policy.overload_window
                / mean
                / director_count
            )
            assert (
                sum(now - policy.overload_window <= sent_at <= now for sent_at in times)
                <= number + 2.0 * number**0.5 + 2.0
            )


@pytest.mark.parametrize("caches_start", [True, False])
def test_without_sizes_slow_start_sends_no_more_than_with_sizes(caches_start):
    """Guard against an overload in slow start by answers of unknown size.

    If the work of these answers were estimated as a quarter of the latency objective, too many
    requests would be sent, because the transfers take three times as long here.
    """
    fixture = RouterFixture(
        cache_started_at=100_000.0 * caches_start,
        parents_started_at=100_000.0 * (not caches_start),
        transfer_rate=0.0,
    )
    warming_endpoints = [fixture.caches[0]] if caches_start else fixture.parents
    policy, director_count = (
        (fixture.settings.cache_slow_start, 1)
        if caches_start
        else (fixture.settings.parent_slow_start, 3)
    )
    sent, response_time = {endpoint: [] for endpoint in warming_endpoints}, 400.0
    for _ in range(1500):
        for attempt in fixture.receive_request(size_kb=0.0, after=2.0).attempts:
            for endpoint in {attempt.endpoint, attempt.fill_source} & set(sent):
                sent[endpoint].append(fixture.now)
            fixture.handle(
                AttemptFinished(
                    attempt, Outcome.SERVED, response_time, True, CacheStatus.UNKNOWN, 0.0, None
                )
            )
    for times in sent.values():
        for now in times:
            available_fraction = (
                policy.initial_fraction
                + (1.0 - policy.initial_fraction) * (now - 100_000.0) / policy.duration
            )
            number = (
                policy.overload_factor
                * 6.0
                * available_fraction
                * policy.overload_window
                / response_time
                / director_count
            )
            assert sum(now - policy.overload_window <= sent_at <= now for sent_at in times) <= max(
                1.0, number
            )
    assert sum(map(len, sent.values()))


def test_a_borrowed_slow_start_quota_expires():
    """Guard against the use of an expired quota by a director that was suspended.

    Another director may have the quota when the suspended one resumes.
    """
    fixture = RouterFixture(cache_started_at=100_000.0, local_director_count=4)
    warming_cache, share = fixture.caches[0], fixture.router.cache_slow_start_quota
    share.fraction, share.expires_at, share.fallback_fraction, share.is_tracked = (
        1.0,
        101_000.0,
        0.0,
        True,
    )
    try_admit = fixture.router.slow_start.try_admit
    admissions = [try_admit(warming_cache, 100.0, fixture.now)]
    assert share.peak_used > 0.0 and share.peak_rejected == 0.0
    fixture.now = 105_000.0
    admissions.append(try_admit(warming_cache, 100.0, fixture.now))
    assert admissions == [True, False] and share.peak_rejected > 0.0
    assert all(
        try_admit(cache, 100.0, fixture.now) for cache in fixture.caches[1:]
    )  # not in slow start

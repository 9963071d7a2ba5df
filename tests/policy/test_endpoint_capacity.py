"""What an endpoint in slow start is sent by one director."""

import pytest
from helpers import RouterFixture

from mulleinrelay.policy.events import AttemptFinished
from mulleinrelay.policy.model import CacheStatus, Outcome


@pytest.mark.parametrize(("caches_start", "parents_start"), [(True, False), (False, True)])
def test_an_endpoint_in_slow_start_gets_less_than_would_overload_it(caches_start, parents_start):
    fleet = RouterFixture(
        cache_started_at=100000.0 * caches_start, parents_started_at=100000.0 * parents_start
    )
    sent = dict.fromkeys([fleet.caches[0], *fleet.parents], 0.0)
    for _ in range(300):
        attempt = fleet.receive_request(size_kb=500.0, after=5).attempts[0]
        for member in {attempt.endpoint, attempt.fill_source} & set(sent):
            sent[member] += 50.0
        fleet.finish_attempt(attempt, cache_status=CacheStatus.FILLED, first_byte=30.0)
    member, rule = (
        (fleet.caches[0], fleet.settings.cache_slow_start)
        if caches_start
        else (fleet.parents[0], fleet.settings.parent_slow_start)
    )
    sharers, multiple = (1, 2.5) if caches_start else (3, 2.0)
    assert sent[member] <= multiple * 6.0 * rule.initial_fraction * 1500.0 / sharers * 1.2


@pytest.mark.parametrize("caches_start", [True, False])
def test_small_requests_count_as_their_class_mean_during_slow_start(caches_start):
    """Counted by their own size, many small requests added up to several times the limit."""
    fleet = RouterFixture(
        cache_started_at=100_100.0 * caches_start, parents_started_at=100_100.0 * (not caches_start)
    )
    cold = [fleet.caches[0]] if caches_start else fleet.parents
    rule, sharers = (
        (fleet.settings.cache_slow_start, 1)
        if caches_start
        else (fleet.settings.parent_slow_start, 3)
    )
    for number in range(40):  # before it starts: the mean is known
        fleet.receive_request(size_kb=9100.0 if number % 10 == 0 else 100.0, after=2.0)
    sent = {member: [] for member in cold}
    for number in range(600):
        attempt = fleet.receive_request(
            size_kb=9100.0 if number % 10 == 0 else 100.0, after=5.0
        ).attempts
        for member in {
            held for each in attempt for held in (each.endpoint, each.fill_source)
        } & set(sent):
            sent[member].append(fleet.now)
        for each in attempt:
            fleet.finish_attempt(each, cache_status=CacheStatus.FILLED, first_byte=30.0)
    mean = 100.0
    for times in sent.values():
        for now in times:
            warmth = (
                rule.initial_fraction
                + (1.0 - rule.initial_fraction) * (now - 100_100.0) / rule.duration
            )
            number = rule.overload_factor * 6.0 * warmth * rule.overload_window / mean / sharers
            assert (
                sum(now - rule.overload_window <= at <= now for at in times)
                <= number + 2.0 * number**0.5 + 2.0
            )


@pytest.mark.parametrize("caches_start", [True, False])
def test_without_sizes_slow_start_sends_no_more_than_with_sizes(caches_start):
    """A quarter of the objective stood for a sending time three times as long."""
    fleet = RouterFixture(
        cache_started_at=100_000.0 * caches_start,
        parents_started_at=100_000.0 * (not caches_start),
        transfer_rate=0.0,
    )
    cold = [fleet.caches[0]] if caches_start else fleet.parents
    rule, sharers = (
        (fleet.settings.cache_slow_start, 1)
        if caches_start
        else (fleet.settings.parent_slow_start, 3)
    )
    sent, sending = {member: [] for member in cold}, 400.0
    for _ in range(1500):
        for attempt in fleet.receive_request(size_kb=0.0, after=2.0).attempts:
            for member in {attempt.endpoint, attempt.fill_source} & set(sent):
                sent[member].append(fleet.now)
            fleet.handle(
                AttemptFinished(
                    attempt, Outcome.SERVED, sending, True, CacheStatus.UNKNOWN, 0.0, None
                )
            )
    for times in sent.values():
        for now in times:
            warmth = (
                rule.initial_fraction
                + (1.0 - rule.initial_fraction) * (now - 100_000.0) / rule.duration
            )
            number = rule.overload_factor * 6.0 * warmth * rule.overload_window / sending / sharers
            assert sum(now - rule.overload_window <= at <= now for at in times) <= max(1.0, number)
    assert sum(map(len, sent.values()))


def test_a_borrowed_slow_start_quota_expires():
    """A director that was stopped must not go on with a quota that another has by now."""
    fleet = RouterFixture(cache_started_at=100_000.0, local_director_count=4)
    cold, share = fleet.caches[0], fleet.router.cache_slow_start_quota
    share.fraction, share.expires_at, share.fallback_fraction, share.is_tracked = (
        1.0,
        101_000.0,
        0.0,
        True,
    )
    try_admit = fleet.router.slow_start.try_admit
    room = [try_admit(cold, 100.0, fleet.now)]
    assert share.peak_used > 0.0 and share.peak_rejected == 0.0
    fleet.now = 105_000.0
    room.append(try_admit(cold, 100.0, fleet.now))
    assert room == [True, False] and share.peak_rejected > 0.0
    assert all(try_admit(cache, 100.0, fleet.now) for cache in fleet.caches[1:])  # warm ones

from random import Random

import pytest

from mulleinrelay.policy.stream_reconnect import MAX_BACKOFF_S, RECONNECT_JITTER_S, ReconnectBackoff


@pytest.mark.parametrize(
    ("refused_at", "expected_lookups"),
    [
        pytest.param([], [], id="no-refusal"),
        pytest.param([0.0, 1.0, 1.4], [], id="too-short"),
        pytest.param([0.0, 1.0, 1.6, 1.9, 3.0, 3.7], [1.6, 3.7], id="limited-rate"),
        pytest.param([10.0, 11.6, 12.0], [11.6], id="one-lookup"),
    ],
)
def test_address_that_keeps_refusing_is_looked_up_at_a_limited_rate(refused_at, expected_lookups):
    backoff = ReconnectBackoff(Random(1))
    lookup_times = []
    for now in refused_at:
        backoff.record_end(now, False, True)
        if backoff.begin_lookup_if_due(now):
            lookup_times.append(now)
    assert lookup_times == expected_lookups


def test_refusals_before_the_last_connection_do_not_count():
    backoff = ReconnectBackoff(Random(1))
    backoff.record_end(0.0, False, True)
    backoff.record_end(1.0, True, False)
    backoff.record_end(1.1, False, True)
    assert not backoff.begin_lookup_if_due(2.0)
    assert backoff.begin_lookup_if_due(2.7)


def test_reconnections_of_directors_that_lose_their_stream_together_are_spread_out():
    waits = [ReconnectBackoff(Random(seed)).record_end(0.0, True, False) for seed in range(200)]
    reconnects_per_10_ms = [
        sum(start <= 1000.0 * wait < start + 10 for wait in waits) for start in range(0, 100, 10)
    ]
    assert max(reconnects_per_10_ms) < 40


def test_backoff_grows_to_its_maximum_and_is_reset_by_events():
    backoff = ReconnectBackoff(Random(3))
    waits = [backoff.record_end(now, False, True) for now in range(10)]
    assert waits[0] < 0.07
    assert 0.7 < waits[-1] <= 1.25 * MAX_BACKOFF_S
    assert backoff.record_end(11.0, True, False) <= RECONNECT_JITTER_S
    assert backoff.record_end(12.0, False, False) < 0.07

from random import Random

import pytest

from mulleinrelay.policy.connection_reuse import (
    COSTLY_CONNECT_FACTOR,
    MAX_IDLE_TO_CACHE,
    MAX_IDLE_TO_PARENT_OR_ORIGIN,
    SHORT_IDLE_TIMEOUT,
    SILENCE_BEFORE_PING,
    PingBackoff,
    choose_idle_timeout,
    connection_utilization,
    connections_to_evict,
)


@pytest.mark.parametrize(
    ("in_flight", "silence"), [(1, 750.0), (2, 500.0), (4, 300.0), (14, 100.0), (60, 100.0)]
)
def test_more_attempts_in_flight_shorten_the_silence_before_a_ping(in_flight, silence):
    assert PingBackoff().silence_before_ping(in_flight) == silence


@pytest.mark.parametrize(
    ("ping_answers", "responses", "factor"),
    [(1, 0, 2), (3, 0, 8), (9, 0, 16), (2, 5, 2), (1, 9, 1)],
)
def test_answered_pings_lengthen_the_silence_and_responses_shorten_it(
    ping_answers, responses, factor
):
    backoff = PingBackoff()
    for _ in range(ping_answers):
        backoff.record_ping_answer()
    for _ in range(responses):
        backoff.record_response()
    assert backoff.silence_before_ping(1) == pytest.approx(SILENCE_BEFORE_PING / 2 * factor)


@pytest.mark.parametrize(("mean_duration", "max_pings"), [(200.0, 0), (1200.0, 44), (4000.0, 44)])
def test_slow_responses_cause_few_pings(mean_duration, max_pings):
    """Guard against many pings of a healthy endpoint whose responses are slow.

    One connection serves 200 requests one after the other. With a fixed silence before a ping,
    requests that take 1200 ms on average would cause more than 200 pings.
    """
    backoff = PingBackoff()
    random = Random(1)
    pings = 0
    for _ in range(200):
        remaining = mean_duration * random.uniform(0.5, 1.5)
        while remaining > backoff.silence_before_ping(1):
            remaining -= backoff.silence_before_ping(1)
            backoff.record_ping_answer()
            pings += 1
        backoff.record_response()
    assert pings <= max_pings


@pytest.mark.parametrize(
    ("sharing_directors", "is_parent_or_origin", "is_connect_costly", "timeout"),
    [
        (1, False, False, 15_000.0),
        (MAX_IDLE_TO_CACHE, False, False, 15_000.0),
        (MAX_IDLE_TO_CACHE + 1, False, False, SHORT_IDLE_TIMEOUT),
        (MAX_IDLE_TO_PARENT_OR_ORIGIN, True, False, 15_000.0),
        (MAX_IDLE_TO_PARENT_OR_ORIGIN + 1, True, False, SHORT_IDLE_TIMEOUT),
        (COSTLY_CONNECT_FACTOR * MAX_IDLE_TO_CACHE, False, True, 15_000.0),
        (COSTLY_CONNECT_FACTOR * MAX_IDLE_TO_CACHE + 1, False, True, SHORT_IDLE_TIMEOUT),
    ],
)
def test_idle_timeout_is_long_only_if_all_directors_stay_within_the_limit(
    sharing_directors, is_parent_or_origin, is_connect_costly, timeout
):
    chosen_timeout = choose_idle_timeout(
        30_000.0, sharing_directors, is_parent_or_origin, is_connect_costly
    )
    assert chosen_timeout == timeout


@pytest.mark.parametrize("directors", [5, 12, 60, 600])
def test_idle_connections_to_one_endpoint_stay_bounded_for_any_number_of_directors(directors):
    """Guard against more idle connections to one cache than the maximum.

    The cache receives 20 requests a second of 60 ms each, unevenly distributed over the directors.
    Connections are counted every 50 ms for 30 s.
    """
    random = Random(directors)
    timeout = choose_idle_timeout(30_000.0, directors, False, False)
    weights = [random.lognormvariate(0.0, 1.0) for _ in range(directors)]
    closes_at = [0.0] * directors
    max_connections = 0
    for slot in range(600):
        now = 50.0 * slot
        closes_at[random.choices(range(directors), weights)[0]] = now + 60.0 + timeout
        max_connections = max(max_connections, sum(close_at > now for close_at in closes_at))
    assert max_connections <= MAX_IDLE_TO_CACHE


@pytest.mark.parametrize(("count", "evicted"), [(3, ""), (6, ""), (7, "b"), (8, "bc"), (20, "bca")])
def test_connections_idle_for_longest_are_evicted_first(count, evicted):
    idle = [(9.0, "a"), (1.0, "b"), (5.0, "c")]
    assert connections_to_evict(idle, count, 8) == list(evicted)


@pytest.mark.parametrize(
    ("count", "busy", "utilization"), [(5, 5, 0.0), (6, 3, 0.375), (8, 8, 1.0)]
)
def test_utilization_counts_only_near_the_limit_of_connections(count, busy, utilization):
    assert connection_utilization(count, busy, 8) == utilization

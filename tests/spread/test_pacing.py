from random import Random

import pytest

from mulleinrelay.policy import stream_reconnect


@pytest.mark.parametrize(
    "refusals, looks",
    [
        ([], []),
        ([0.0, 1.0, 1.4], []),
        ([0.0, 1.0, 1.6, 1.9, 3.0, 3.7], [1.6, 3.7]),
        ([10.0, 11.6, 12.0], [11.6]),
    ],
)
def test_an_address_that_refuses_is_doubted(refusals, looks):
    pace, found = stream_reconnect.ReconnectBackoff(Random(1)), []
    for now in refusals:
        pace.record_end(now, False, True)
        if pace.begin_lookup_if_due(now):
            found.append(now)
    assert found == looks


def test_a_stream_that_was_up_is_not_doubted():
    pace = stream_reconnect.ReconnectBackoff(Random(1))
    pace.record_end(0.0, False, True)
    pace.record_end(1.0, True, False)
    pace.record_end(1.1, False, True)
    assert not pace.begin_lookup_if_due(2.0) and pace.begin_lookup_if_due(2.7)


def test_directors_that_lose_their_stream_together_come_again_apart():
    waits = [
        stream_reconnect.ReconnectBackoff(Random(seed)).record_end(0.0, True, False)
        for seed in range(200)
    ]
    assert (
        max(sum(low <= 1000.0 * wait < low + 10 for wait in waits) for low in range(0, 100, 10))
        < 40
    )


def test_waits_grow_to_their_bound_and_begin_anew():
    pace = stream_reconnect.ReconnectBackoff(Random(3))
    waits = [pace.record_end(now, False, True) for now in range(10)]
    assert waits[0] < 0.07 and 0.7 < waits[-1] <= 1.25 * stream_reconnect.MAX_BACKOFF_S
    assert (
        pace.record_end(11.0, True, False) <= stream_reconnect.RECONNECT_JITTER_S
        and pace.record_end(12.0, False, False) < 0.07
    )

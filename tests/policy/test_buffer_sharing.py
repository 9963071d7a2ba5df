"""Sharing of the memory for received requests."""

import pytest

from mulleinrelay.policy.buffer_sharing import may_hold_more

CAPACITY = 1_000_000
REQUEST_BYTES = 1_000


@pytest.mark.parametrize("connection_count", [1, 2, 16, 64, 340])
def test_greedy_connections_leave_the_same_share_to_a_new_one(connection_count):
    # Guards against a few bad clients that take all memory, and against a sum without a bound.
    held = [0] * connection_count
    for _ in range(CAPACITY // REQUEST_BYTES + 1):
        for index in range(connection_count):
            if may_hold_more(held[index], REQUEST_BYTES, sum(held), CAPACITY):
                held[index] += REQUEST_BYTES
    share = CAPACITY // (connection_count + 1)
    assert sum(held) <= CAPACITY
    assert all(abs(each - share) <= 2 * REQUEST_BYTES for each in held)
    assert may_hold_more(0, share - 2 * REQUEST_BYTES, sum(held), CAPACITY)


def test_nothing_more_may_be_held_when_small_requests_exceed_the_capacity():
    assert not may_hold_more(0, 0, CAPACITY + 1, CAPACITY)

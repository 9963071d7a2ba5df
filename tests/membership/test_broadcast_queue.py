import pytest

from mulleinrelay.membership.broadcast_queue import BroadcastQueue, transmit_limit

FIRST = ("n1", "h", 1)
SECOND = ("n2", "h", 2)
THIRD = ("n3", "h", 3)


def queue_of(*member_ids):
    queue = BroadcastQueue()
    for member_id in member_ids:
        queue.enqueue(member_id)
    return queue


@pytest.mark.parametrize(("cluster_size", "limit"), [(1, 2), (3, 4), (11, 8), (100, 14)])
def test_transmit_limit_grows_with_the_logarithm_of_the_fleet(cluster_size, limit):
    assert transmit_limit(cluster_size) == limit


def test_updates_sent_least_are_selected_first():
    queue = queue_of(FIRST, SECOND, THIRD)
    queue.record_transmission(FIRST, 10)
    assert queue.select(2) == [SECOND, THIRD]


def test_preferred_members_are_selected_before_all_others_even_if_not_queued():
    queue = queue_of(FIRST, SECOND)
    assert queue.select(2, [THIRD]) == [THIRD, FIRST]


def test_update_is_removed_at_the_limit_and_enqueuing_resets_the_count():
    queue = queue_of(FIRST)
    queue.record_transmission(FIRST, 2)
    queue.enqueue(FIRST)
    queue.record_transmission(FIRST, 2)
    assert len(queue) == 1
    queue.record_transmission(FIRST, 2)
    assert len(queue) == 0

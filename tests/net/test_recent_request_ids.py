"""Request ids that were used before."""

import pytest
from helpers import HIT_ANSWER, RunningDirector

from mulleinrelay.net import recent_request_ids
from mulleinrelay.net.recent_request_ids import IDS_PER_MB, RecentRequestIds


class ManualTime:
    def __init__(self):
        self.now = 100.0

    def monotonic(self):
        return self.now


@pytest.fixture
def clock(monkeypatch):
    manual = ManualTime()
    monkeypatch.setattr(recent_request_ids, "time", manual)
    return manual


def test_id_is_not_forgotten_because_of_other_ids(clock):
    # Guards against a second execution: a flood of new ids made the director forget an id that had
    # run, and the id was accepted again.
    ids = RecentRequestIds(1.0)
    assert ids.add("00000000000000aa")
    number = 1000
    while not ids.is_full():
        assert ids.add(f"{number:016x}")
        number += 1
    assert number == 1000 + IDS_PER_MB - 1
    clock.now += 4.9
    assert ids.is_full() and not ids.add("00000000000000aa")


@pytest.mark.parametrize(("longest_timeout_s", "kept_for_s"), [(3.0, 5.0), (20.0, 20.0)])
def test_id_is_remembered_as_long_as_its_request_may_be_open(clock, longest_timeout_s, kept_for_s):
    ids = RecentRequestIds(1.0, longest_timeout_s)
    assert ids.add("00000000000000aa")
    clock.now += kept_for_s + 0.1
    assert ids.add("00000000000000bb") and not ids.add("00000000000000aa")
    clock.now += kept_for_s + 0.1
    assert ids.add("00000000000000aa")


@pytest.mark.usefixtures("short_drains", "long_timeouts")
def test_request_is_rejected_while_no_id_can_be_remembered():
    with RunningDirector(HIT_ANSWER) as running:
        ids = running.director.request_handler.recent_request_ids
        client = running.connect_client()
        client.send("pay", trace="9b1f03aa5c7e2d41")
        assert client.read_answer()[1] == 0
        ids.max_ids = len(ids.current)
        client.send("pay")
        assert client.read_answer()[1] == 1 and len(running.commands()) == 1
        ids.max_ids += 1
        client.send("pay", trace="9b1f03aa5c7e2d41")
        assert client.read_answer()[1] == "the id was used before"
        client.send("pay")
        assert client.read_answer()[1] == 0


@pytest.mark.usefixtures("short_drains", "long_timeouts")
def test_id_of_a_request_that_was_never_attempted_is_not_kept():
    with RunningDirector(HIT_ANSWER) as running:
        handler = running.director.request_handler
        client = running.connect_client()
        max_requests, handler.max_requests = handler.max_requests, 0.001
        handler.coordinator.pending_count = lambda: 1
        for _ in range(5):
            client.send("pay", trace="9b1f03aa5c7e2d41")
            assert client.read_answer()[1] == 1
        assert not handler.recent_request_ids.current
        handler.max_requests = max_requests
        client.send("pay", trace="9b1f03aa5c7e2d41")
        assert client.read_answer()[1] == 0

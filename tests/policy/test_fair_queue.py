"""Start-time fair queueing."""

import random

import pytest

from mulleinrelay.policy import fair_queue
from mulleinrelay.policy.fair_queue import FairQueue, Flow


class BusyFlows:
    """Queue in which some flows request the next turn as soon as they have ended one."""

    def __init__(self, count):
        self.queue, self.flows = FairQueue(1), [Flow() for _ in range(count)]
        granted = [self.queue.request_turn(flow, 0.0) for flow in self.flows]
        assert granted == [True] + [False] * (count - 1)
        self.current, self.used = self.flows[0], dict.fromkeys(self.flows, 0.0)

    def end_turn(self, cost):
        """End the current turn; its flow requests another one if it is busy."""
        flow = self.current
        self.used[flow] = self.used.get(flow, 0.0) + cost
        is_busy = flow in self.flows
        self.current = self.queue.end_turn(flow, cost, is_busy)
        if is_busy and self.queue.request_turn(flow, 0.0):
            self.current = flow


@pytest.mark.parametrize("count", [1, 2, 16, 64, 340])
def test_flow_that_was_idle_precedes_all_that_have_used_their_share(count):
    # Guards against usual clients that wait behind all calls of clients with many calls.
    busy, usual = BusyFlows(count), Flow()
    for _ in range(20 * count):
        busy.end_turn(1.0)
    busy.queue.request_turn(usual, 0.0)
    turns = 0
    while busy.current is not usual:
        busy.end_turn(1.0)
        turns += 1
    assert turns <= count


@pytest.mark.parametrize("seed", range(5))
def test_busy_flows_use_equal_shares_whatever_their_turns_cost(seed):
    source = random.Random(seed)
    busy = BusyFlows(8)
    costs = {flow: source.uniform(0.1, 2.0) for flow in busy.flows}
    for _ in range(20_000):
        busy.end_turn(costs[busy.current])
    # The bound of the algorithm is twice the largest cost of a turn. A flow requests its next turn
    # only after the next flow was chosen, which adds one turn.
    assert max(busy.used.values()) - min(busy.used.values()) <= 3.0 * max(costs.values())


def test_idle_time_earns_no_advance():
    busy, idle = BusyFlows(2), Flow()
    for _ in range(1000):
        busy.end_turn(1.0)
    busy.flows.append(idle)
    busy.queue.request_turn(idle, 0.0)
    before = dict(busy.used)
    for _ in range(300):
        busy.end_turn(1.0)
    gained = [busy.used.get(flow, 0.0) - before.get(flow, 0.0) for flow in busy.flows]
    assert max(gained) - min(gained) <= 2.0


def test_every_waiting_flow_gets_its_turn_once():
    source, queue = random.Random(1), FairQueue(1)
    flows = [Flow() for _ in range(50)]
    assert queue.request_turn(flows[0], 0.0)
    assert not any(queue.request_turn(flow, 0.0) for flow in flows[1:])
    served, current = [], flows[0]
    while current is not None:
        served.append(current)
        current = queue.end_turn(current, source.random(), False)
    assert len(served) == 50 and set(served) == set(flows)
    assert queue.request_turn(flows[3], 0.0)


@pytest.mark.parametrize("max_turns", [1, 2, 3])
def test_number_of_turns_at_the_same_time_is_limited(max_turns):
    queue, flows = FairQueue(max_turns), [Flow() for _ in range(6)]
    granted = [queue.request_turn(flow, 0.0) for flow in flows]
    assert granted == [True] * max_turns + [False] * (6 - max_turns)
    current = flows[:max_turns]
    served = len(current)
    while current:
        next_flow = queue.end_turn(current.pop(0), 1.0, False)
        if next_flow is not None:
            current.append(next_flow)
            served += 1
    assert served == 6


def test_flow_that_waits_can_be_removed():
    queue, flows = FairQueue(1), [Flow() for _ in range(5)]
    for flow in flows:
        queue.request_turn(flow, 0.0)
    assert queue.remove(flows[2]) and not queue.remove(flows[2]) and not queue.remove(flows[0])
    served, current = [], flows[0]
    while current is not None:
        served.append(current)
        current = queue.end_turn(current, 1.0, False)
    assert served == [flows[0], flows[1], flows[3], flows[4]]


def test_backlogged_flows_leave_a_light_flow_more_than_an_equal_share():
    # Guards against hundreds of bad clients whose equal shares leave a usual client too little.
    busy, light = BusyFlows(300), Flow()
    for _ in range(3000):
        busy.end_turn(0.002)
    used_before = sum(busy.used.values())
    light_turns = 0
    for _ in range(300):
        busy.queue.request_turn(light, 0.0)
        while busy.current is not light:
            busy.end_turn(0.002)
        light_turns += 1
        busy.current = busy.queue.end_turn(light, 0.004, False)
    light_used = light_turns * 0.004
    assert light_used > 3.0 / 300.0 * (light_used + sum(busy.used.values()) - used_before)


def test_flow_in_service_precedes_many_new_ones():
    # Guards against bad clients that reconnect again and again to be first.
    queue, holder, usual = FairQueue(1), Flow(), Flow()
    for flow in (usual, holder):
        queue.request_turn(flow, 0.0)
        queue.end_turn(flow, 0.001, False)
    queue.request_turn(holder, 0.0)
    new = [Flow() for _ in range(100)]
    for flow in new:
        queue.request_turn(flow, 0.0)
    queue.request_turn(usual, 0.0)
    assert queue.end_turn(holder, 0.001, False) is usual
    assert queue.end_turn(usual, 0.001, False) is new[0]


@pytest.mark.parametrize("count", [2, 64, 340])
def test_flow_that_was_idle_is_not_charged_for_its_last_turn(count):
    # Guards against clients that repeat a call at once: hundreds of them, each with one call at a
    # time, left a usual client less than it needs.
    busy, usual = BusyFlows(count), Flow()
    for _ in range(5 * count):
        flow = busy.current
        busy.current = busy.queue.end_turn(flow, 0.001, False)
        assert not busy.queue.request_turn(flow, 0.001)
    for number in range(20):
        assert not busy.queue.request_turn(usual, fair_queue.IDLE_RESET_S)
        turns = 0
        while busy.current is not usual:
            flow = busy.current
            busy.current = busy.queue.end_turn(flow, 0.001, False)
            busy.queue.request_turn(flow, 0.001)
            turns += 1
        assert turns <= 2 or number == 0  # the first turn of a new flow comes later
        busy.current = busy.queue.end_turn(usual, 0.005, False)

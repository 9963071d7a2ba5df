"""Weighted fair shares of open requests."""

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from mulleinrelay.cells.fair_share import FairShares


def simulate_demand(shares, demand, rounds=400):
    """Return the mean number of open requests of each party over `rounds` ms.

    `demand` gives the weight of each party and its number of requests per millisecond. An admitted
    request stays open for 50 ms.
    """
    mean_open, open_requests = dict.fromkeys(demand, 0.0), []
    for now in range(rounds):
        for ends_at, share in [entry for entry in open_requests if entry[0] <= now]:
            shares.release(share)
            open_requests.remove((ends_at, share))
        for name, (weight, count) in demand.items():
            share = shares.share_for(name, weight)
            for _ in range(count):
                if shares.request(share, float(now)):
                    shares.acquire(share)
                    open_requests.append((now + 50, share))
            mean_open[name] += share.open / rounds
    return mean_open


@pytest.mark.parametrize(
    ("demand", "minimums", "maximums"),
    [
        # A tenant may use the whole capacity while no other tenant sends requests.
        ({"acme": (1.0, 20)}, {"acme": 80.0}, {"acme": 101.0}),
        ({"acme": (1.0, 20), "beta": (1.0, 20)}, {"acme": 40.0, "beta": 40.0}, {"acme": 60.0}),
        ({"acme": (1.0, 20), "beta": (3.0, 20)}, {"beta": 70.0}, {"acme": 45.0}),
        ({"acme": (1.0, 20), "beta": (1.0, 0)}, {"acme": 80.0}, {"beta": 0.0}),
    ],
)
def test_shares_are_fair_and_unused_shares_are_lent(demand, minimums, maximums):
    mean_open = simulate_demand(FairShares(100.0), demand)
    assert all(mean_open[name] >= bound for name, bound in minimums.items())
    assert all(mean_open[name] <= bound for name, bound in maximums.items())


def test_a_lender_that_resumes_is_admitted_at_once():
    shares = FairShares(100.0)
    beta, acme = shares.share_for("beta", 1.0), shares.share_for("acme", 1.0)
    assert shares.request(beta, 0.0)
    now = 5_000.0
    for _ in range(200):
        if shares.request(acme, now):
            shares.acquire(acme)
    assert acme.open == 100.0
    admitted = 0
    for _ in range(25):
        if shares.request(beta, now + 1.0):
            shares.acquire(beta)
            admitted += 1
    assert admitted == 25 and not shares.request(acme, now + 1.0)


class FairSharesMachine(RuleBasedStateMachine):
    """State machine that sends and completes requests of four parties in any order.

    The sum of the open requests must stay correct and within its bound. A party with open requests
    must not be dropped, because its next share would not count them.
    """

    def __init__(self):
        super().__init__()
        self.shares, self.now, self.open_requests = FairShares(10.0), 0.0, []

    @rule(
        name=st.sampled_from("abcd"),
        weight=st.sampled_from([1.0, 2.0, 5.0]),
        amount=st.sampled_from([1.0, 3.0]),
    )
    def request(self, name, weight, amount):
        share = self.shares.share_for(name, weight)
        if self.shares.request(share, self.now, amount):
            self.shares.acquire(share, amount)
            self.open_requests.append((share, amount))

    @rule(index=st.integers(0, 50))
    def release(self, index):
        if self.open_requests:
            self.shares.release(*self.open_requests.pop(index % len(self.open_requests)))

    @rule(step=st.sampled_from([1.0, 30.0, 500.0, 3_000.0, 90_000.0]))
    def advance_time(self, step):
        self.now += step

    @invariant()
    def sums_are_correct(self):
        assert self.shares.open == pytest.approx(sum(amount for _, amount in self.open_requests))
        # 10.0 * 1.25 is the overcommitted capacity. Beyond it, each of the four parties may still
        # open one request of up to 3 slots if it has none open.
        assert self.shares.open <= 10.0 * 1.25 + 4 * 3.0

    @invariant()
    def parties_with_open_requests_are_kept(self):
        assert all(share in self.shares.shares.values() for share, _ in self.open_requests)


TestFairSharesMachine = FairSharesMachine.TestCase
TestFairSharesMachine.settings = settings(max_examples=40, stateful_step_count=40, deadline=None)

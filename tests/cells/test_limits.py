"""Rates, widths and shares at one director."""

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from mulleinrelay.cells.limits import (
    ClientRetryBudget,
    ConcurrencyLimit,
    FairShares,
    FairTokenBucket,
    TokenBucket,
    bounded_retry_after,
)


@pytest.mark.parametrize(
    "rate, burst, came, let", [(10.0, 1, 100, 10), (10.0, 5, 100, 15), (0.0, 0, 100, 100)]
)
def test_a_pace_lets_its_rate_and_its_burst(rate, burst, came, let):
    pace, count = TokenBucket(rate, burst), 0
    for number in range(came):
        now = number * 1000.0 / (came - 1)
        if not pace.wait_time(now):
            pace.consume(now)
            count += 1
    assert count == let


def test_a_pace_tells_when_to_come_back():
    pace = TokenBucket(10.0, 1)
    pace.consume(0.0)
    wait = pace.wait_time(30.0)
    assert wait == pytest.approx(70.0) and pace.wait_time(30.0 + wait) == 0.0


def test_retries_are_a_part_of_first_tries():
    retries = ClientRetryBudget(0.2, most=2.0)
    taken = 0
    for _ in range(100):
        retries.record_first_attempt()
        while retries.can_retry():
            retries.consume()
            taken += 1
    assert taken == 21


@pytest.mark.parametrize(
    "delays, narrower", [([10.0] * 400, False), ([10.0] * 200 + [80.0] * 200, True)]
)
def test_a_width_follows_the_delay(delays, narrower):
    width, now = ConcurrencyLimit(4.0, 100.0), 0.0
    for delay in delays:
        now += 10.0
        width.record_open(90.0)
        width.record_completion(now, delay)
    assert (width.current < 60.0) == narrower
    for _ in range(
        8000
    ):  # what is slow for good is usual after a while, and the cell is let up again
        now += 10.0
        width.record_open(width.current)
        width.record_completion(now, delays[-1])
    assert width.current == 100.0


def flood(shares, asks, rounds=400):
    """Each party asks for so many each ms; what it got stays open for 50 ms. Gives the mean that
    each held.
    """
    held, open_until = dict.fromkeys(asks, 0.0), []
    for now in range(rounds):
        for until, share in [entry for entry in open_until if entry[0] <= now]:
            shares.release(share)
            open_until.remove((until, share))
        for name, (weight, count) in asks.items():
            share = shares.share_for(name, weight)
            for _ in range(count):
                if shares.request(share, float(now)):
                    shares.acquire(share)
                    open_until.append((now + 50, share))
            held[name] += share.open / rounds
    return held


@pytest.mark.parametrize(
    "asks, least, most",
    [
        ({"acme": (1.0, 20)}, {"acme": 80.0}, {"acme": 101.0}),  # alone it may have all
        ({"acme": (1.0, 20), "beta": (1.0, 20)}, {"acme": 40.0, "beta": 40.0}, {"acme": 60.0}),
        ({"acme": (1.0, 20), "beta": (3.0, 20)}, {"beta": 70.0}, {"acme": 45.0}),
        ({"acme": (1.0, 20), "beta": (1.0, 0)}, {"acme": 80.0}, {"beta": 0.0}),
    ],
)
def test_shares_are_fair_and_what_is_not_used_is_lent(asks, least, most):
    held = flood(FairShares(100.0), asks)
    assert all(held[name] >= bound for name, bound in least.items())
    assert all(held[name] <= bound for name, bound in most.items())


def test_a_lender_that_comes_back_is_let_in_at_once():
    shares = FairShares(100.0)
    beta, acme = shares.share_for("beta", 1.0), shares.share_for("acme", 1.0)
    assert shares.request(beta, 0.0)
    now = 5_000.0
    for _ in range(200):
        if shares.request(acme, now):
            shares.acquire(acme)
    assert acme.open == 100.0
    got = 0
    for _ in range(25):
        if shares.request(beta, now + 1.0):
            shares.acquire(beta)
            got += 1
    assert got == 25 and not shares.request(acme, now + 1.0)


class SharesMachine(RuleBasedStateMachine):
    """Whatever comes, sums stay true and no more is open than the width and its head room."""

    def __init__(self):
        super().__init__()
        self.shares, self.now, self.held = FairShares(10.0), 0.0, []

    @rule(
        name=st.sampled_from("abcd"),
        weight=st.sampled_from([1.0, 2.0, 5.0]),
        amount=st.sampled_from([1.0, 3.0]),
    )
    def ask(self, name, weight, amount):
        share = self.shares.share_for(name, weight)
        if self.shares.request(share, self.now, amount):
            self.shares.acquire(share, amount)
            self.held.append((share, amount))

    @rule(place=st.integers(0, 50))
    def give(self, place):
        if self.held:
            self.shares.release(*self.held.pop(place % len(self.held)))

    @rule(step=st.sampled_from([1.0, 30.0, 500.0, 3_000.0, 90_000.0]))
    def pass_time(self, step):
        self.now += step

    @invariant()
    def sums_are_true(self):
        assert self.shares.open == pytest.approx(sum(amount for _, amount in self.held))
        assert (
            self.shares.open <= 10.0 * 1.25 + 4 * 3.0
        )  # one request of each party besides, at the most

    @invariant()
    def nobody_is_forgotten_with_requests_open(self):
        assert all(share in self.shares.shares.values() for share, _ in self.held)


TestSharesMachine = SharesMachine.TestCase
TestSharesMachine.settings = settings(max_examples=40, stateful_step_count=40, deadline=None)


@pytest.mark.parametrize(
    "asks, least",
    [
        ({"acme": (1.0, 4)}, {"acme": 950}),
        ({"acme": (1.0, 4), "beta": (1.0, 4)}, {"acme": 450, "beta": 450}),
        ({"acme": (1.0, 40), "beta": (1.0, 0.2)}, {"acme": 700, "beta": 190}),
        ({"acme": (3.0, 4), "beta": (1.0, 4)}, {"acme": 680, "beta": 220}),
    ],
)
def test_a_rate_is_shared_by_weight_and_lent(asks, least):
    pace, got = FairTokenBucket(1000.0), dict.fromkeys(asks, 0)
    due = dict.fromkeys(asks, 0.0)
    for now in range(2000):
        for name, (weight, each) in asks.items():
            due[name] += each
            lane = pace.share_for(name, weight)
            while due[name] >= 1.0:
                due[name] -= 1.0
                if not pace.wait_time(lane, float(now)):
                    pace.consume(lane, float(now))
                    got[name] += now >= 1000  # the first second settles
    assert all(got[name] >= bound for name, bound in least.items()) and sum(got.values()) <= 1150


@pytest.mark.parametrize("wait, told", [(0.0, 100.0), (250.0, 250.0), (1e9, 5000.0)])
def test_advice_is_bounded(wait, told):
    assert bounded_retry_after(wait) == told

"""The error rates of the rule by which a member is shunned, where each director meets it seldom."""

from random import Random

import pytest
from helpers import Fleet

from mulleinrelay.policy.outlier_detection import OutlierDetector
from mulleinrelay.policy.router import TrackedEndpoint


class Judged:
    """One member at one director; outcomes come at random, `rate` a second."""

    def __init__(self, rate, seed):
        self.director, self.draw, self.rate, self.now = Fleet().director, Random(seed), rate, 1e6
        self.member = TrackedEndpoint(5)
        self.member.reset()
        self.director.out = self

    def log(self, text):
        """Changes are counted by what the member shows."""

    def outcome(self, bad):
        self.now += 1000.0 * self.draw.expovariate(self.rate)
        self.director.now = self.now
        self.director.mark(self.member, float(bad), "error" if bad else "")
        return self.member.shunned

    def until(self, wanted, errs, most=400):
        """After how many outcomes it is shunned, or is not any more."""
        for number in range(1, most):
            if self.outcome(self.draw.random() < errs) == wanted:
                return number
        return most


@pytest.mark.parametrize("rate, hours", [(0.1, 1500), (1.0, 150)])
def test_a_good_member_is_shunned_less_than_once_in_a_thousand_hours(rate, hours):
    """With one error in a thousand; two by chance are let pass in so short a test."""
    judged, shunned, before = Judged(rate, 1), 0, False
    for _ in range(int(3600 * hours * rate)):
        now = judged.outcome(judged.draw.random() < 0.001)
        shunned += now and not before
        before = now
    assert shunned <= max(2, hours // 1000)


@pytest.mark.parametrize("rate", [0.1, 1.0, 5.0])
@pytest.mark.parametrize("errs, within", [(1.0, 4), (0.5, 16), (0.3, 40)])
def test_a_bad_member_is_found_within_so_many_outcomes(rate, errs, within):
    """Nineteen times in twenty, after twenty good ones."""
    found = []
    for seed in range(100):
        judged = Judged(rate, seed)
        for _ in range(20):
            judged.outcome(False)
        found.append(judged.until(True, errs))
    assert sorted(found)[94] <= within


@pytest.mark.parametrize("rate", [0.1, 1.0, 5.0])
@pytest.mark.parametrize("bad_ones", [0, 20])
def test_a_bad_member_that_gets_better_is_taken_back(rate, bad_ones):
    """However long it was bad before."""
    for seed in range(20):
        judged = Judged(rate, seed)
        judged.until(True, 1.0)
        for _ in range(bad_ones):
            judged.outcome(True)
        assert judged.until(False, 0.0) <= 8


def test_good_outcomes_of_long_ago_excuse_nothing():
    """The sum of odds finds what a share of the last dozen does not."""
    health = OutlierDetector()
    for number in range(60):
        health.record(1000.0 * number, 0.0)
    for number in range(3):
        health.record(60_000.0 + 200.0 * number, 1.0)
    assert health.is_outlier()
    health.has_alarm = False
    assert not health.is_outlier()

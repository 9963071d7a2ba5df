"""Error rates of outlier ejection at directors that rarely meet an endpoint."""

from random import Random

import pytest
from helpers import RouterFixture

from mulleinrelay.policy.endpoint_health import EjectionReason
from mulleinrelay.policy.latency import TrackedEndpoint
from mulleinrelay.policy.outlier_detection import OutlierDetector


class MonitoredEndpoint:
    """One endpoint at one director; results come at random, `rate` a second."""

    def __init__(self, rate, seed):
        self.health, self.random, self.rate, self.now = (
            RouterFixture().router.health,
            Random(seed),
            rate,
            1e6,
        )
        self.endpoint = TrackedEndpoint(5)
        self.endpoint.reset()
        self.health.log = lambda text: None  # changes are counted by what the endpoint shows

    def record(self, is_failure):
        self.now += 1000.0 * self.random.expovariate(self.rate)
        reason = EjectionReason.ERROR if is_failure else None
        self.health.record_result(self.endpoint, float(is_failure), reason, self.now)
        return self.endpoint.is_ejected

    def results_until(self, is_ejected, failure_rate, limit=400):
        """After how many results it is ejected, or is not any more."""
        for number in range(1, limit):
            if self.record(self.random.random() < failure_rate) == is_ejected:
                return number
        return limit


@pytest.mark.parametrize(("rate", "hours"), [(0.1, 1500), (1.0, 150)])
def test_a_healthy_endpoint_is_ejected_less_than_once_in_a_thousand_hours(rate, hours):
    """With one error in a thousand; two by chance are let pass in so short a test."""
    monitored, shunned, before = MonitoredEndpoint(rate, 1), 0, False
    for _ in range(int(3600 * hours * rate)):
        now = monitored.record(monitored.random.random() < 0.001)
        shunned += now and not before
        before = now
    assert shunned <= max(2, hours // 1000)


@pytest.mark.parametrize("rate", [0.1, 1.0, 5.0])
@pytest.mark.parametrize(("failure_rate", "limit"), [(1.0, 4), (0.5, 16), (0.3, 40)])
def test_an_outlier_is_ejected_within_so_many_results(rate, failure_rate, limit):
    """Nineteen times in twenty, after twenty good ones."""
    found = []
    for seed in range(100):
        monitored = MonitoredEndpoint(rate, seed)
        for _ in range(20):
            monitored.record(False)
        found.append(monitored.results_until(True, failure_rate))
    assert sorted(found)[94] <= limit


@pytest.mark.parametrize("rate", [0.1, 1.0, 5.0])
@pytest.mark.parametrize("failures", [0, 20])
def test_an_endpoint_that_recovers_is_reinstated(rate, failures):
    """However long it was bad before."""
    for seed in range(20):
        monitored = MonitoredEndpoint(rate, seed)
        monitored.results_until(True, 1.0)
        for _ in range(failures):
            monitored.record(True)
        assert monitored.results_until(False, 0.0) <= 8


def test_successes_of_long_ago_do_not_offset_new_failures():
    """The sum of odds finds what a share of the last dozen does not."""
    health = OutlierDetector()
    for number in range(60):
        health.record(1000.0 * number, 0.0)
    for number in range(3):
        health.record(60_000.0 + 200.0 * number, 1.0)
    assert health.is_outlier()
    health.has_alarm = False
    assert not health.is_outlier()

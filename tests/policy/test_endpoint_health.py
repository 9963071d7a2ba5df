"""Rates of wrong and late ejections at directors that send an endpoint few requests."""

from random import Random

import pytest
from helpers import RouterFixture

from mulleinrelay.policy.endpoint_health import EjectionReason
from mulleinrelay.policy.latency import TrackedEndpoint
from mulleinrelay.policy.outlier_detection import OutlierDetector


class MonitoredEndpoint:
    """Endpoint at one director with `rate` results a second at random times."""

    def __init__(self, rate, seed):
        self.health, self.random, self.rate, self.now = (
            RouterFixture().router.health,
            Random(seed),
            rate,
            1e6,
        )
        self.endpoint = TrackedEndpoint(5)
        self.endpoint.reset()
        self.health.log = lambda text: None  # the tests read `is_ejected` instead

    def record(self, is_failure):
        self.now += 1000.0 * self.random.expovariate(self.rate)
        reason = EjectionReason.ERROR if is_failure else None
        self.health.record_result(self.endpoint, float(is_failure), reason, self.now)
        return self.endpoint.is_ejected

    def results_until(self, is_ejected, failure_rate, limit=400):
        """Return the number of results until the endpoint's `is_ejected` has the given value.

        Each result is a failure with the probability `failure_rate`. The method returns `limit` if
        fewer results do not suffice.
        """
        for number in range(1, limit):
            if self.record(self.random.random() < failure_rate) == is_ejected:
                return number
        return limit


@pytest.mark.parametrize(("rate", "hours"), [(0.1, 1500), (1.0, 150)])
def test_a_healthy_endpoint_is_ejected_less_than_once_in_a_thousand_hours(rate, hours):
    """Guard against ejections for rare random errors: one result in a thousand is an error.

    Two random ejections are allowed, because the simulated time is short.
    """
    monitored, ejections, was_ejected = MonitoredEndpoint(rate, 1), 0, False
    for _ in range(int(3600 * hours * rate)):
        is_ejected = monitored.record(monitored.random.random() < 0.001)
        ejections += is_ejected and not was_ejected
        was_ejected = is_ejected
    assert ejections <= max(2, hours // 1000)


@pytest.mark.parametrize("rate", [0.1, 1.0, 5.0])
@pytest.mark.parametrize(("failure_rate", "limit"), [(1.0, 4), (0.5, 16), (0.3, 40)])
def test_an_outlier_is_ejected_within_so_many_results(rate, failure_rate, limit):
    """Guard against late ejections: the limit must hold in nineteen of twenty runs.

    Twenty successes precede the failures.
    """
    result_counts = []
    for seed in range(100):
        monitored = MonitoredEndpoint(rate, seed)
        for _ in range(20):
            monitored.record(False)
        result_counts.append(monitored.results_until(True, failure_rate))
    assert sorted(result_counts)[94] <= limit


@pytest.mark.parametrize("rate", [0.1, 1.0, 5.0])
@pytest.mark.parametrize("failures", [0, 20])
def test_an_endpoint_that_recovers_is_reinstated(rate, failures):
    """Guard against a reinstatement that takes longer the more failures were counted before."""
    for seed in range(20):
        monitored = MonitoredEndpoint(rate, seed)
        monitored.results_until(True, 1.0)
        for _ in range(failures):
            monitored.record(True)
        assert monitored.results_until(False, 0.0) <= 8


def test_old_successes_do_not_offset_new_failures():
    """Guard against new failures that old successes hide.

    The failures are too small a fraction of the recent outcomes to be found by their fraction, so
    only the sequential test of `OutlierDetector` detects them.
    """
    detector = OutlierDetector()
    for number in range(60):
        detector.record(1000.0 * number, 0.0)
    for number in range(3):
        detector.record(60_000.0 + 200.0 * number, 1.0)
    assert detector.is_outlier()
    detector.has_alarm = False
    assert not detector.is_outlier()

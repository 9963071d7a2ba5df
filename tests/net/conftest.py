"""Fixtures of the tests of the network code."""

import threading

import helpers
import pytest

from mulleinrelay.policy import connection_reuse
from mulleinrelay.policy.admission import SchedulingDelay

PATIENCE = 60_000.0  # ms; longer than any test


@pytest.fixture
def patient_directors(monkeypatch):
    """Let directors ignore delays that a busy machine causes, and not the test.

    Otherwise a director repeats an attempt at another endpoint if the answer is late for the
    request's latency objective, a ping is not answered within 100 ms or the connection is not open
    after 400 ms. It also rejects requests if its timers run late. Delays that a test itself records
    still count.
    """
    start_settings, record_delay = helpers.start_settings, SchedulingDelay.record

    def patient_settings(**changes):
        settings = start_settings(**changes)
        settings["allowed"]["connectTimeout"] = PATIENCE
        for request_class in settings["classes"]:
            request_class["slo"] = request_class["deadline"]
        return settings

    def record_delay_of_test(scheduling_delay, now, delay):
        if threading.current_thread().name != "timers":
            record_delay(scheduling_delay, now, delay)

    monkeypatch.setattr(helpers, "start_settings", patient_settings)
    monkeypatch.setattr(connection_reuse, "SILENCE_BEFORE_PING", PATIENCE)
    monkeypatch.setattr(SchedulingDelay, "record", record_delay_of_test)

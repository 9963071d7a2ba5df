"""Fixtures for the tests of the network code."""

import threading

import helpers
import pytest

from mulleinrelay.policy import connection_reuse
from mulleinrelay.policy.admission import SchedulingDelay

PATIENCE = 60_000.0  # ms; longer than any test


@pytest.fixture
def patient_directors(monkeypatch):
    """Let directors ignore delays that are caused by a busy machine and not by the test.

    Otherwise a director may send another attempt if an answer exceeds the latency objective, a ping
    is not answered within 100 ms, or a connection is not open after 400 ms. It may also reject
    requests if its timers run late. Delays that a test itself records still count.
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

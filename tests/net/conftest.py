"""Fixtures of the tests of the network code."""

import helpers
import pytest

from mulleinrelay.policy import connection_reuse

PATIENCE = 60_000.0  # ms; longer than any test


@pytest.fixture
def patient_directors(monkeypatch):
    """Let directors ignore delays that a busy machine causes, and not the test.

    Otherwise a director repeats an attempt at another endpoint if the answer is late for the
    request's latency objective, a ping is not answered within 100 ms or the connection is not open
    after 400 ms. Late timers are ignored in RunningDirector.
    """
    start_settings = helpers.start_settings

    def patient_settings(**changes):
        settings = start_settings(**changes)
        settings["allowed"]["connectTimeout"] = PATIENCE
        for request_class in settings["classes"]:
            request_class["slo"] = request_class["deadline"]
        return settings

    monkeypatch.setattr(helpers, "start_settings", patient_settings)
    monkeypatch.setattr(connection_reuse, "SILENCE_BEFORE_PING", PATIENCE)

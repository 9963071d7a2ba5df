"""Fixtures for the tests of the network code."""

import helpers
import pytest

from mulleinrelay.policy import connection_reuse

LONG_TIMEOUT = 60_000.0  # ms; longer than any test


@pytest.fixture
def long_timeouts(monkeypatch):
    """Let directors ignore delays that are caused by a busy machine and not by the test.

    Otherwise a director may send another attempt if an answer exceeds the latency objective, a ping
    is not answered within 100 ms, or a connection is not open after 400 ms. RunningDirector itself
    ignores late timers.
    """
    start_settings = helpers.start_settings

    def settings_with_long_timeouts(**changes):
        settings = start_settings(**changes)
        settings["allowed"]["connectTimeout"] = LONG_TIMEOUT
        for request_class in settings["classes"]:
            request_class["slo"] = request_class["deadline"]
        return settings

    monkeypatch.setattr(helpers, "start_settings", settings_with_long_timeouts)
    monkeypatch.setattr(connection_reuse, "SILENCE_BEFORE_PING", LONG_TIMEOUT)

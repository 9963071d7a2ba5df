"""Fixtures of the tests on real sockets."""

import pytest
from helpers import held_back

from mulleinrelay import director as director_module
from mulleinrelay.net.client_listener import ClientListener


@pytest.fixture(autouse=True)
def short_drains(monkeypatch):
    """Drains end at once where nothing is open."""
    monkeypatch.setattr(director_module, "NEW_CALLS_S", 0.0)


@pytest.fixture
def reading(monkeypatch):
    """Connections of clients are read only once it is set."""
    yield (begin := held_back(monkeypatch, ClientListener, "_serve_connection"))
    begin.set()

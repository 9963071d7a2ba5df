"""Drains that are applied on top of the endpoint list."""

import pytest

from mulleinrelay.management.drain_intent import (
    CONTRADICTION_GRACE_PERIOD,
    DrainIntent,
    DrainPhase,
    DrainRequest,
    DrainScope,
    drain_rejection_reason,
)
from mulleinrelay.policy.model import EndpointState, EndpointUpdate


def entry(name="s-1", state=EndpointState.READY, started=0.0, port=1, zone=1, kind=0):
    return EndpointUpdate(name, ("127.0.0.1", port), state, 4.0, kind, zone, 0, started)


GONE = entry(state=EndpointState.GONE)
LISTED_DRAINING = entry(state=EndpointState.DRAINING)
RESTARTED = entry(started=9.0)
CURRENT = DrainScope.CURRENT_INCARNATION
EVERY = DrainScope.EVERY_INCARNATION


def intent_with_drain(scope=CURRENT, listed=None):
    """Return an intent with a drain of s-1, which is set after the endpoint list was received.

    The list has the entries `listed`, by default that of s-1 alone.
    """
    intent = DrainIntent()
    intent.update_endpoints(0.0, listed or [entry()], True)
    intent.set_requests(1.0, {"s-1": DrainRequest("s-1", scope)})
    return intent


@pytest.mark.parametrize(
    ("scope", "updates", "phase", "state"),
    [
        (CURRENT, [entry()], DrainPhase.ACTIVE, EndpointState.DRAINING),
        (CURRENT, [RESTARTED], DrainPhase.ENDED, EndpointState.READY),
        (EVERY, [RESTARTED], DrainPhase.ACTIVE, EndpointState.DRAINING),
        (CURRENT, [entry(port=2)], DrainPhase.ENDED, EndpointState.READY),
        (CURRENT, [GONE, entry()], DrainPhase.ACTIVE, EndpointState.DRAINING),
        (CURRENT, [GONE, entry(started=5.0)], DrainPhase.ENDED, EndpointState.READY),
        (EVERY, [GONE, entry(started=5.0)], DrainPhase.ACTIVE, EndpointState.DRAINING),
        (CURRENT, [LISTED_DRAINING, entry()], DrainPhase.ACTIVE, EndpointState.DRAINING),
        (CURRENT, [RESTARTED, entry()], DrainPhase.ENDED, EndpointState.READY),
    ],
    ids=[
        "unchanged",
        "restarted",
        "restarted, every incarnation",
        "another address",
        "gone and back",
        "gone and restarted",
        "gone and restarted, every incarnation",
        "listed as draining and back",
        "restarted and back",
    ],
)
def test_drain_applies_to_the_incarnations_of_its_scope(scope, updates, phase, state):
    intent = intent_with_drain(scope)
    for number, update in enumerate(updates):
        intent.update_endpoints(10.0 + number, [update], False)
    assert intent.statuses["s-1"].phase == phase
    assert intent.effective_state(updates[-1]) == state


def test_drain_of_an_unlisted_endpoint_is_pending_until_it_is_listed():
    intent = intent_with_drain(listed=[entry("s-2")])
    assert intent.statuses["s-1"].phase == DrainPhase.PENDING
    intent.update_endpoints(5.0, [entry()], False)
    assert intent.effective_state(entry()) == EndpointState.DRAINING


def test_drain_does_not_apply_to_another_endpoint_at_the_same_address():
    intent = intent_with_drain(EVERY)
    intent.update_endpoints(5.0, [GONE, entry("s-9")], False)
    assert intent.effective_state(entry("s-9")) == EndpointState.READY


def test_drain_that_the_list_contradicts_is_reported_once():
    intent = intent_with_drain()
    assert not intent.take_contradicted(CONTRADICTION_GRACE_PERIOD - 100.0)
    contradicted = intent.take_contradicted(CONTRADICTION_GRACE_PERIOD + 100.0)
    assert [status.request.endpoint for status in contradicted] == ["s-1"]
    assert not intent.take_contradicted(9e9)
    uncontradicted = intent_with_drain()
    uncontradicted.update_endpoints(5.0, [LISTED_DRAINING], False)
    assert not uncontradicted.take_contradicted(9e9)


@pytest.mark.parametrize(
    ("names", "active", "cells", "reason"),
    [
        (["s-1"], [], {}, ""),
        (["s-1", "s-2"], [], {}, "location 1"),
        (["s-2"], ["s-1"], {}, "location 1"),
        (["s-1"], [], {"north": ["s-1"]}, "cell north"),
        (["s-9"], [], {"north": ["s-9"]}, ""),
        (["p-1"], [], {}, ""),
    ],
)
def test_drain_of_the_last_cache_is_rejected_unless_forced(names, active, cells, reason):
    listed = (entry(), entry("s-2"), entry("p-1", zone=0, kind=1))
    endpoints = {update.name: update for update in listed}
    for forced in (False, True):
        actual_reason = drain_rejection_reason(
            endpoints,
            active,
            {name: DrainRequest(name, forced=forced) for name in names},
            lambda update: update.kind == 0,
            cells,
        )
        assert actual_reason.startswith(reason) if reason and not forced else actual_reason == ""

"""Attempts and health checks that are queued until their connection is open."""

import time
from dataclasses import replace

import pytest
from helpers import (
    ENDPOINTS,
    RunningDirector,
    cancel_frame,
    hold_calls,
    wait_for,
    wait_for_attempt,
)

from mulleinrelay.net import upstream_connection
from mulleinrelay.net.upstream_connections import UpstreamConnections
from mulleinrelay.policy.model import EndpointState

pytestmark = pytest.mark.usefixtures("short_drains", "long_timeouts")


@pytest.fixture
def allow_connecting(monkeypatch):
    """Return an event; upstream connections are not opened until it is set."""
    yield (resume := hold_calls(monkeypatch, UpstreamConnections, "_run"))
    resume.set()


def update_endpoint(running, name, **changes):
    """Apply an endpoint update that changes these fields of an endpoint."""
    coordinator = running.director.coordinator
    coordinator.update_endpoints([replace(coordinator.endpoint_updates[name], **changes)], False)


CHANGES = {
    "its cache drains": lambda running, attempt: update_endpoint(
        running, attempt.addresses[0][1].name, state=EndpointState.DRAINING
    ),
    "its cache is gone": lambda running, attempt: update_endpoint(
        running, attempt.addresses[0][1].name, state=EndpointState.GONE
    ),
    "another machine is there": lambda running, attempt: update_endpoint(
        running, attempt.addresses[0][1].name, started_at=5.0
    ),
    "its source drains": lambda running, attempt: update_endpoint(
        running, attempt.addresses[1][1].name, state=EndpointState.DRAINING
    ),
    "its source is gone": lambda running, attempt: update_endpoint(
        running, attempt.addresses[1][1].name, state=EndpointState.GONE
    ),
    "its object is purged": lambda running, attempt: running.director.coordinator.apply_purge(
        0xAB, 0, running.director.clock()
    ),
    "its group is purged": lambda running, attempt: running.director.coordinator.apply_purge(
        0, 17, running.director.clock()
    ),
}


# The write classes have no fill source: writes go directly to the only origin.
CASES = [("pages", change) for change in CHANGES] + [
    (name, change) for name in ("order", "pay") for change in CHANGES if "source" not in change
]


@pytest.mark.parametrize(("request_class", "change"), CASES)
def test_queued_attempt_obeys_later_endpoint_updates_and_purges(
    request_class, change, allow_connecting
):
    # While an attempt is queued, its cache or fill source may be announced as draining or gone, or
    # another machine may replace the cache. A read must then use neither this cache nor this fill
    # source. After a purge, an attempt must not accept copies from before the purge.
    with RunningDirector() as running:
        client = running.connect_client()
        client.send(request_class)
        attempt = wait_for_attempt(running)
        CHANGES[change](running, attempt)
        allow_connecting.set()
        result = client.read_answer()[1]
        commands = running.commands()
        if request_class != "pages" and ("drains" in change or "is gone" in change):
            assert result == 1 and not commands  # never executed, so a retry is safe
            return
        assert result == 0 and len(commands) == 1
        assert ("within" in commands[0][2]) == ("purged" in change)
        if request_class == "pages" and "purged" not in change:
            used_names = [
                name
                for (name, _, _), endpoint in zip(ENDPOINTS, running.endpoints, strict=True)
                if endpoint.commands
            ]
            assert attempt.addresses["source" in change][1].name not in [
                *used_names,
                commands[0][2].get("miss"),
            ]


@pytest.mark.parametrize("leave_action", ["forget", "close"])
@pytest.mark.parametrize("allows_cancel", [True, False])
def test_nothing_is_sent_if_client_leaves_before_the_connection_is_open(
    leave_action, allows_cancel, allow_connecting
):
    with RunningDirector(allowed={"cancel": allows_cancel}) as running:
        client, other_client = running.connect_client(), running.connect_client()
        number = client.send()
        attempt = wait_for_attempt(running)
        if leave_action == "forget":
            client.socket.sendall(cancel_frame(number))
        else:
            client.close()
        assert wait_for(lambda: attempt.request.is_complete)
        allow_connecting.set()
        other_client.send(entity="00000000000000cd")
        assert other_client.read_answer()[:2] == (1, 0)
        assert wait_for(lambda: not running.director.upstream.connection_by_attempt)
        assert [fields["name"][-2:] for _, _, fields, _ in running.commands()] == ["cd"]


@pytest.mark.parametrize("state", [EndpointState.DRAINING, EndpointState.GONE])
def test_no_health_check_is_sent_to_endpoint_announced_as_draining_or_gone(
    state, allow_connecting, monkeypatch
):
    # Neither queued health checks nor new ones may be sent to endpoints that are draining or gone.
    monkeypatch.setattr(upstream_connection, "HEALTH_CHECK_TIMEOUT", 60_000.0)
    with RunningDirector(None) as running:
        upstream, coordinator = running.director.upstream, running.director.coordinator
        caches = list(coordinator.router.endpoints.caches)
        for cache in caches:
            upstream.check_health(cache, coordinator.addresses[cache])
        leaving_address = coordinator.addresses[caches[0]]
        update_endpoint(running, leaving_address.name, state=state)
        allow_connecting.set()
        assert wait_for(lambda: len(running.commands("METER")) == 2)
        assert wait_for(
            lambda: (
                not any(
                    connection.in_flight
                    for connection in upstream.connections.get(leaving_address, ())
                )
            )
        )
        upstream.check_health(caches[0], leaving_address)
        time.sleep(0.05)
        assert len(running.commands("METER")) == 2


@pytest.mark.parametrize("state", [EndpointState.READY, EndpointState.DRAINING, EndpointState.GONE])
def test_silent_connection_is_pinged_only_if_its_endpoint_is_ready(state):
    with RunningDirector(None) as running:
        client, upstream = running.connect_client(), running.director.upstream
        client.send(patience="6000")
        assert wait_for(running.commands)
        attempt = wait_for_attempt(running)
        update_endpoint(running, attempt.addresses[0][1].name, state=state)
        connection = upstream.connection_by_attempt[attempt][0]
        connection.last_received_at, attempt.sent_at = 0.0, 1.0
        upstream.ping_silent_connections()
        is_pinged = state == EndpointState.READY
        timeout_s = 10.0 if is_pinged else 0.1
        assert bool(wait_for(lambda: running.commands("ECHO"), timeout_s)) is is_pinged

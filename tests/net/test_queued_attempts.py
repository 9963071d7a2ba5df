"""Attempts and health checks that wait for their connection, and what happens meanwhile."""

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

from mulleinrelay.net.upstream_connections import UpstreamConnections
from mulleinrelay.policy.model import EndpointState

pytestmark = pytest.mark.usefixtures("short_drains")


@pytest.fixture
def gate(monkeypatch):
    """Links come up only once it is set."""
    yield (up := hold_calls(monkeypatch, UpstreamConnections, "_run"))
    up.set()


def update_endpoint(running, name, **changes):
    """An endpoint update that changes these fields of that endpoint."""
    coordinator = running.director.coordinator
    coordinator.update_endpoints([replace(coordinator.endpoint_updates[name], **changes)], False)


BETWEEN = {
    "its cache drains": lambda d, attempt: update_endpoint(
        d, attempt.addresses[0][1].name, state=EndpointState.DRAINING
    ),
    "its cache is gone": lambda d, attempt: update_endpoint(
        d, attempt.addresses[0][1].name, state=EndpointState.GONE
    ),
    "another machine is there": lambda d, attempt: update_endpoint(
        d, attempt.addresses[0][1].name, started_at=5.0
    ),
    "its source drains": lambda d, attempt: update_endpoint(
        d, attempt.addresses[1][1].name, state=EndpointState.DRAINING
    ),
    "its source is gone": lambda d, attempt: update_endpoint(
        d, attempt.addresses[1][1].name, state=EndpointState.GONE
    ),
    "its object is purged": lambda d, attempt: d.director.coordinator.apply_purge(
        0xAB, 0, d.director.clock()
    ),
    "its group is purged": lambda d, attempt: d.director.coordinator.apply_purge(
        0, 17, d.director.clock()
    ),
}


CASES = [("pages", between) for between in BETWEEN] + [
    (name, between) for name in ("order", "pay") for between in BETWEEN if "source" not in between
]


@pytest.mark.parametrize(
    ("request_class", "between"), CASES
)  # writes go straight to the only origin
def test_attempt_that_waited_for_its_connection_obeys_endpoint_list_and_purges_of_now(
    request_class, between, gate
):
    # Guards against requests to nodes that were announced as leaving, and copies from before a
    # purge.
    with RunningDirector() as running:
        caller = running.connect_client()
        caller.send(request_class)
        attempt = wait_for_attempt(running)
        BETWEEN[between](running, attempt)
        gate.set()
        what = caller.read_answer()[1]
        heard = running.commands()
        if request_class != "pages" and ("drains" in between or "is gone" in between):
            assert what == 1 and not heard  # it never ran, so a retry does no harm
            return
        assert what == 0 and len(heard) == 1
        assert ("within" in heard[0][2]) == ("purged" in between)
        if request_class == "pages" and "purged" not in between:
            named = [
                name
                for (name, _, _), node in zip(ENDPOINTS, running.endpoints, strict=True)
                if node.commands
            ]
            assert attempt.addresses["source" in between][1].name not in [
                *named,
                heard[0][2].get("miss"),
            ]


@pytest.mark.parametrize("how", ["forget", "close"])
@pytest.mark.parametrize("may_cancel", [True, False])
def test_nothing_is_sent_for_client_that_left_while_its_connection_was_opened(
    how, may_cancel, gate
):
    with RunningDirector(allowed={"cancel": may_cancel}) as running:
        caller, other = running.connect_client(), running.connect_client()
        number = caller.send()
        attempt = wait_for_attempt(running)
        if how == "forget":
            caller.socket.sendall(cancel_frame(number))
        else:
            caller.close()
        assert wait_for(lambda: attempt.request.is_complete)
        gate.set()
        other.send(entity="00000000000000cd")
        assert other.read_answer()[:2] == (1, 0)
        assert wait_for(lambda: not running.director.upstream.connection_by_attempt)
        assert [fields["name"][-2:] for _, _, fields, _ in running.commands()] == ["cd"]


@pytest.mark.parametrize("state", [EndpointState.DRAINING, EndpointState.GONE])
def test_no_health_check_is_sent_to_endpoint_announced_as_draining_or_gone(state, gate):
    # Guards against questions of any kind to nodes that leave: what waited for its link, and what a
    # quiet link would be asked.
    with RunningDirector(None) as running:
        upstream, coordinator = running.director.upstream, running.director.coordinator
        nodes = list(coordinator.router.endpoints.caches)
        for node in nodes:
            upstream.check_health(node, coordinator.addresses[node])
        leaves = coordinator.addresses[nodes[0]]
        update_endpoint(running, leaves.name, state=state)
        gate.set()
        assert wait_for(lambda: len(running.commands("METER")) == 2)
        assert wait_for(
            lambda: not any(link.in_flight for link in upstream.connections.get(leaves, ()))
        )
        upstream.check_health(nodes[0], leaves)
        time.sleep(0.05)
        assert len(running.commands("METER")) == 2


@pytest.mark.parametrize("state", [EndpointState.READY, EndpointState.DRAINING, EndpointState.GONE])
def test_quiet_connection_is_pinged_only_where_its_endpoint_stays(state):
    with RunningDirector(None) as running:
        caller, upstream = running.connect_client(), running.director.upstream
        caller.send(patience="6000")
        assert wait_for(running.commands)
        attempt = wait_for_attempt(running)
        update_endpoint(running, attempt.addresses[0][1].name, state=state)
        link = upstream.connection_by_attempt[attempt][0]
        link.last_received_at, attempt.sent_at = 0.0, 1.0
        upstream.ping_quiet_connections()
        assert bool(wait_for(lambda: running.commands("ECHO"), 0.1)) is (
            state == EndpointState.READY
        )

"""Attempts and health checks that wait for their connection, and what happens meanwhile."""

import time
from dataclasses import replace

import pytest
from helpers import (
    SPOTS,
    Running,
    cancel_frame,
    held_back,
    wait_for,
    waiting_attempt,
)

from mulleinrelay.net.upstream_connections import UpstreamConnections
from mulleinrelay.policy.model import EndpointState

pytestmark = pytest.mark.usefixtures("short_drains")


@pytest.fixture
def gate(monkeypatch):
    """Links come up only once it is set."""
    yield (up := held_back(monkeypatch, UpstreamConnections, "_run"))
    up.set()


def update_endpoint(director, name, **changes):
    """An endpoint update that changes these fields of that endpoint."""
    coordinator = director.service.coordinator
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
    "its object is purged": lambda d, attempt: d.service.coordinator.apply_purge(
        0xAB, 0, d.service.clock()
    ),
    "its group is purged": lambda d, attempt: d.service.coordinator.apply_purge(
        0, 17, d.service.clock()
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
    with Running() as director:
        caller = director.caller()
        caller.send(request_class)
        attempt = waiting_attempt(director)
        BETWEEN[between](director, attempt)
        gate.set()
        what = caller.answer()[1]
        heard = director.heard()
        if request_class != "pages" and ("drains" in between or "is gone" in between):
            assert what == 1 and not heard  # it never ran, so a retry does no harm
            return
        assert what == 0 and len(heard) == 1
        assert ("within" in heard[0][2]) == ("purged" in between)
        if request_class == "pages" and "purged" not in between:
            named = [
                name for (name, _, _), node in zip(SPOTS, director.nodes, strict=True) if node.heard
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
    with Running(allowed={"cancel": may_cancel}) as director:
        caller, other = director.caller(), director.caller()
        number = caller.send()
        attempt = waiting_attempt(director)
        if how == "forget":
            caller.socket.sendall(cancel_frame(number))
        else:
            caller.close()
        assert wait_for(lambda: attempt.request.is_complete)
        gate.set()
        other.send(entity="00000000000000cd")
        assert other.answer()[:2] == (1, 0)
        assert wait_for(lambda: not director.service.upstream.connection_by_attempt)
        assert [fields["name"][-2:] for _, _, fields, _ in director.heard()] == ["cd"]


@pytest.mark.parametrize("state", [EndpointState.DRAINING, EndpointState.GONE])
def test_no_health_check_is_sent_to_endpoint_announced_as_draining_or_gone(state, gate):
    # Guards against questions of any kind to nodes that leave: what waited for its link, and what a
    # quiet link would be asked.
    with Running(None) as director:
        upstream, coordinator = director.service.upstream, director.service.coordinator
        nodes = list(coordinator.router.endpoints.caches)
        for node in nodes:
            upstream.check_health(node, coordinator.addresses[node])
        leaves = coordinator.addresses[nodes[0]]
        update_endpoint(director, leaves.name, state=state)
        gate.set()
        assert wait_for(lambda: len(director.heard("METER")) == 2)
        assert wait_for(
            lambda: not any(link.in_flight for link in upstream.connections.get(leaves, ()))
        )
        upstream.check_health(nodes[0], leaves)
        time.sleep(0.05)
        assert len(director.heard("METER")) == 2


@pytest.mark.parametrize("state", [EndpointState.READY, EndpointState.DRAINING, EndpointState.GONE])
def test_quiet_connection_is_pinged_only_where_its_endpoint_stays(state):
    with Running(None) as director:
        caller, upstream = director.caller(), director.service.upstream
        caller.send(patience="6000")
        assert wait_for(director.heard)
        attempt = waiting_attempt(director)
        update_endpoint(director, attempt.addresses[0][1].name, state=state)
        link = upstream.connection_by_attempt[attempt][0]
        link.last_received_at, attempt.sent_at = 0.0, 1.0
        upstream.ping_quiet_connections()
        assert bool(wait_for(lambda: director.heard("ECHO"), 0.1)) is (state == EndpointState.READY)

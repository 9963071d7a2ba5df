"""Changes by gNMI in a complete director."""

import threading
import time

import pytest
from click.testing import CliRunner
from helpers import HIT_ANSWER, wait_for
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st
from managed_director import ManagedDirector, drain, drain_path

from mulleinrelay.cells import store
from mulleinrelay.cli import main
from mulleinrelay.management.datastore_file import DatastoreFile
from mulleinrelay.management.gnmi_client import GnmiCallError
from mulleinrelay.management.paths import PathElement, parse_path
from mulleinrelay.net import upstream_connection

RATE_LIMIT = parse_path("/fleet/assignment/tenant[name=acme]/limits/rate")


@pytest.fixture(scope="module")
def running(tmp_path_factory):
    """Yield a director with cells, shared by the tests that start no director of their own."""
    with ManagedDirector(tmp_path_factory.mktemp("managed"), cells=True) as director:
        yield director


def snapshot(director):
    """Return everything that a rejected change must leave unchanged, in memory and in files."""
    datastore = director.management.datastore
    return (
        datastore.running,
        datastore.state,
        director.assignment_path.read_bytes(),
        director.ready_caches(),
        director.assignment_in_use(),
        (director.folder / "state" / "datastore").read_bytes(),
    )


def test_drained_endpoint_gets_no_new_requests_and_finishes_those_in_flight(tmp_path, monkeypatch):
    answer_allowed = threading.Event()

    def answer_when_allowed(fields):
        if fields["name"].endswith("ff"):
            answer_allowed.wait(10.0)
        return HIT_ANSWER

    def has_delayed_request(attempts):
        return any(attempt[2]["name"].endswith("ff") for attempt in attempts)

    # The delayed attempt must stay in flight even if a busy machine delays the drain, so neither an
    # unanswered ping nor a second attempt nor a cancellation may end it.
    monkeypatch.setattr(upstream_connection, "PING_TIMEOUT", 10_000.0)
    restrictions = {"mayDuplicate": False, "cancel": False}
    with ManagedDirector(tmp_path, plan=answer_when_allowed, allowed=restrictions) as director:
        client = director.client()
        target = director.target()
        for number in range(12):
            client.send(entity=f"{number:016x}")
            assert client.read_answer()[1] == 0
        delayed_client = director.client()
        delayed_client.send(entity="00000000000000ff", patience="6000")
        assert wait_for(
            lambda: any(map(has_delayed_request, director.received_requests().values()))
        )
        endpoint = next(
            name
            for name, attempts in director.received_requests().items()
            if has_delayed_request(attempts)
        )
        drain(target, endpoint, reason="smoke")
        before = len(director.received_requests()[endpoint])
        ((_, state),) = target.get((*drain_path(endpoint), PathElement("state")))
        assert state["phase"] == "binding"
        assert state["attempts-out"] == 1
        for number in range(30):
            client.send(entity=f"{number + 100:016x}")
            if endpoint != "s-21":
                assert client.read_answer()[1] == 0
        answer_allowed.set()
        assert delayed_client.read_answer()[1] == 0
        received = director.received_requests()
        assert len(received[endpoint]) == before
        fill_sources = {
            attempt[2].get("miss") for attempts in received.values() for attempt in attempts[-5:]
        }
        assert endpoint not in fill_sources
        target.set(deletes=[drain_path(endpoint)])
        ((_, state_after),) = target.get(parse_path(f"/fleet/boxes/box[name={endpoint}]/state"))
        assert state_after == "ready"


def test_drain_survives_a_restart_and_updates_of_the_endpoint_list(tmp_path):
    with ManagedDirector(tmp_path) as director:
        drain(director.target(), "s-02")
        with pytest.raises(GnmiCallError, match="built on version 0, but version 1 is running"):
            director.target().set(
                updates=[(drain_path("s-01"), {})], extension_values={"built_on": 0}
            )
        addresses = [endpoint.address for endpoint in director.endpoints]
    with ManagedDirector(tmp_path) as restarted:
        assert addresses
        assert "s-02" in restarted.management.drain_participant.intent.statuses
        assert restarted.ready_caches() == ["s-01", "s-03"]
        restarted.update_endpoint(2, "s-02")  # the endpoint list shows it as ready again
        assert restarted.ready_caches() == ["s-01", "s-03"]
        restarted.update_endpoint(3, "s-02", started=5)  # another incarnation
        assert restarted.ready_caches() == ["s-01", "s-02", "s-03"]


def test_unconfirmed_commit_is_rolled_back_after_a_restart(tmp_path):
    with ManagedDirector(tmp_path) as director:
        # The clock of management is stopped, so that the deadline does not pass and this director
        # rolls nothing back, as if it had been killed before the deadline.
        committed_at = director.management.clock()
        director.management.clock = lambda: committed_at
        director.target().set(
            updates=[(drain_path("s-02"), {})], confirm_timeout_s=0.4, commit_id="c1"
        )
        assert director.ready_caches() == ["s-01", "s-03"]
    stored = DatastoreFile(str(tmp_path / "state")).load()
    assert stored.pending_confirmation.commit_id == "c1"
    assert stored.pending_confirmation.deadline == committed_at + 400.0
    time.sleep(0.4)
    with ManagedDirector(tmp_path) as restarted:
        assert wait_for(lambda: restarted.ready_caches() == ["s-01", "s-02", "s-03"], 10.0)


INVALID_CHANGES = [
    {"updates": [(drain_path("s-01"), {}), (drain_path("s 2"), {})]},
    {
        "updates": [
            (drain_path("s-02"), {}),
            (parse_path("/fleet/assignment/tenant[name=acme]/cell"), "west"),
        ]
    },
    {
        "updates": [
            (parse_path("/fleet/assignment/tenant[name=acme]/limits/rate"), "9"),
            (parse_path("/fleet/none"), 1),
        ]
    },
    {"updates": [(parse_path("/fleet/assignment/cell[name=north]/neighbour"), ["north"])]},
    {"updates": [(parse_path("/fleet/assignment/cell[name=south]/cache"), ["s-01"])]},
    {"updates": [(parse_path("/fleet/assignment/tenant[name=acme]/address"), ["10.0.0.1/8"])]},
    {"updates": [(parse_path("/fleet/assignment/tenant[name=acme]/group"), ["9-2"])]},
    {
        "updates": [
            (
                parse_path("/fleet/assignment/move[name=m]"),
                {"tenant": ["acme"], "from": "south", "to": "north", "starts": "9", "shift-for": 5},
            )
        ]
    },
    {
        "updates": [
            (
                parse_path("/fleet/assignment/move[name=m]"),
                {"tenant": ["acme"], "from": "north", "to": "north", "starts": "9", "shift-for": 5},
            )
        ]
    },
    {"updates": [(drain_path("s-01"), {})]},
    {"updates": [(parse_path("/fleet/drains/drain[box=s-02]/scope"), "never")]},
    {"deletes": [parse_path("/fleet/assignment")]},
    {"deletes": [parse_path("/fleet/assignment/default-tenant")]},
    {"deletes": [parse_path("/fleet/assignment/cell[name=north]")]},
    {"deletes": [parse_path("/fleet/boxes")]},
    {"updates": [(parse_path("/fleet/assignment/load-bound"), "0.5")]},
    {"updates": [(parse_path("/fleet"), {"drains": 3})]},
    {"updates": [(parse_path("/fleet/assignment/cell[name=north]/weight"), "heavy")]},
    {"updates": [(parse_path("/fleet/datastore/version"), "7")]},
    {"replaces": [(parse_path("/"), {"fleet": {"x": 1}})]},
    {"updates": [(drain_path("s-02"), {})], "extension_values": {"built_on": 999}},
    {"updates": [], "extension_values": {"rollback": 999}},
    {"updates": [], "extension_values": {"rollback": "x"}},
]


@pytest.mark.parametrize("change", INVALID_CHANGES)
def test_rejected_change_has_no_effect(running, change):
    target = running.target()
    if not (running.folder / "state" / "datastore").exists():
        target.set(updates=[(parse_path("/fleet/assignment/tenant[name=beta]/weight"), "2.0")])
    before = snapshot(running)
    with pytest.raises(GnmiCallError) as error:
        target.set(**change)
    assert str(error.value)
    assert error.value.code in ("INVALID_ARGUMENT", "NOT_FOUND", "ABORTED")
    assert snapshot(running) == before


ANY_JSON = st.recursive(
    st.none() | st.booleans() | st.integers(-(10**20), 10**20) | st.floats() | st.text(max_size=8),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(
            st.sampled_from(
                ["box", "drain", "drains", "cell", "name", "limits", "rate", "tenant", "é"]
            ),
            inner,
            max_size=3,
        )
    ),
)


@settings(max_examples=60, suppress_health_check=list(HealthCheck))
@given(
    st.sampled_from(
        [
            "/",
            "/fleet",
            "/fleet/drains",
            "/fleet/assignment/cell",
            "/fleet/drains/drain[box=zz]",
            "/fleet/assignment/tenant[name=acme]/weight",
        ]
    ),
    ANY_JSON,
)
def test_arbitrary_value_is_rejected_with_an_error_or_committed(running, path, value):
    target = running.target()
    before = running.management.datastore.running
    rejection = None
    try:
        target.set(updates=[(parse_path(path), value)])
    except GnmiCallError as error:
        rejection = error
    if rejection is None:
        running.management.rollback(before.number, "test")
        return
    assert rejection.code in ("INVALID_ARGUMENT", "NOT_FOUND"), (rejection.code, str(rejection))
    assert running.management.datastore.running is before


def test_change_of_the_assignment_takes_effect_and_is_written_to_its_file(tmp_path):
    with ManagedDirector(tmp_path, cells=True) as director:
        target = director.target()
        target.set(
            updates=[
                (
                    parse_path("/fleet/assignment/tenant[name=acme]/limits"),
                    {"rate": "0.01", "burst": "2"},
                )
            ]
        )
        assert (
            store.load_assignment(str(director.assignment_path)).tenants["acme"].limits.rate == 0.01
        )
        client = director.client()
        for _ in range(5):
            client.send(tenant="acme")
        assert sorted(client.read_answer()[1] for _ in range(5)) == [0, 0, 1, 1, 1]
        file = str(director.assignment_path)
        arguments = f"cells move acme --to south --name m1 --shift-ms 900 --file {file}"
        result = CliRunner().invoke(main, arguments.split())
        assert result.exit_code == 0
        assert wait_for(lambda: "m1" in director.assignment_in_use().migrations)
        ((_, migration),) = target.get(parse_path("/fleet/assignment/move[name=m1]"))
        assert migration["state"]["stage"] == "planned"
        version = target.set(deletes=[parse_path("/fleet/assignment/move[name=m1]")])
        assert store.load_assignment(file).migrations == {}
        assert target.get(parse_path("/fleet/datastore/version"))[0].value == str(version)


def test_failed_commit_of_a_participant_is_undone(running, monkeypatch):
    target = running.target()
    drain(target, "zz")
    target.set(deletes=[drain_path("zz")])
    before = snapshot(running)

    def fail(prepared):
        raise OSError("no")

    monkeypatch.setattr(running.management.drain_participant, "commit", fail)
    with pytest.raises(GnmiCallError) as error:
        target.set(
            updates=[
                (parse_path("/fleet/assignment/tenant[name=acme]/weight"), "7.0"),
                (drain_path("s-9"), {}),
            ]
        )
    monkeypatch.undo()
    assert error.value.code == "INTERNAL"
    after = snapshot(running)
    assert before[:2] == after[:2]
    assert before[3] == after[3]
    assert before[5] == after[5]
    # The undo restored the assignment with a higher version, so only the tenants are compared
    assert after[4].tenants == before[4].tenants
    assert wait_for(
        lambda: running.assignment_in_use() == store.load_assignment(str(running.assignment_path))
    )


def test_commit_interrupted_by_a_kill_is_finished_at_the_next_start(tmp_path):
    with ManagedDirector(tmp_path, cells=True) as director:
        target = director.target()
        target.set(updates=[(parse_path("/fleet/assignment/tenant[name=acme]/weight"), "2.0")])
        first_file = director.assignment_path.read_bytes()
        target.set(
            updates=[
                (parse_path("/fleet/assignment/tenant[name=acme]/weight"), "3.0"),
                (drain_path("s-9"), {}),
            ]
        )
    # As if killed after writing the datastore and before writing the assignment file
    director.assignment_path.write_bytes(first_file)
    with ManagedDirector(tmp_path, cells=True) as restarted:
        assert store.load_assignment(str(restarted.assignment_path)).tenants["acme"].weight == 3.0
        assert "s-9" in restarted.management.drain_participant.intent.statuses
        assert any("interrupted commit completed" in str(fields) for fields in restarted.log.fields)


def test_reloads_and_timeouts_leave_no_partial_change(tmp_path):
    with ManagedDirector(tmp_path, cells=True) as director:
        is_finished = threading.Event()

        def reload_repeatedly():
            while not is_finished.is_set():
                director.director.reload(director.config)

        reloader = threading.Thread(target=reload_repeatedly)
        reloader.start()
        try:
            short_timeout_target = director.target(timeout_s=0.004)
            default_timeout_target = director.target()
            for number in range(1, 40):
                set_drain_and_limit(number, short_timeout_target, default_timeout_target)
                with director.management.datastore_lock:
                    fleet = director.management.datastore.running.tree["fleet"]
                drains = fleet.get("drains", {}).get("drain", [{"reason": "0"}])
                tenants = {tenant["name"]: tenant for tenant in fleet["assignment"]["tenant"]}
                assert float(drains[0]["reason"]) == float(tenants["acme"]["limits"]["rate"])
        finally:
            is_finished.set()
            reloader.join()


def set_drain_and_limit(number, short_timeout_target, default_timeout_target):
    """Set the reason of a drain and a rate limit to `number` in one change.

    If the number is odd, the client has a short timeout, and the change may time out.
    """
    changes = [
        (parse_path("/fleet/drains/drain[box=zz]/reason"), str(number)),
        (RATE_LIMIT, str(number)),
    ]
    if not number % 2:
        default_timeout_target.set(updates=changes)
        return
    timeout = None
    try:
        short_timeout_target.set(updates=changes)
    except GnmiCallError as error:
        timeout = error
    assert timeout is None or timeout.code == "DEADLINE_EXCEEDED"


def test_late_endpoint_updates_do_not_undo_a_drain(tmp_path):
    with ManagedDirector(tmp_path) as director:
        director.target().set(updates=[(drain_path("s-02"), {})])
        for number in (2, 3):  # late updates, which show the endpoint as it was before the drain
            director.update_endpoint(number, "s-02")
            assert director.ready_caches() == ["s-01", "s-03"]
        director.update_endpoint(4, "s-02", state="DRAINING")
        director.update_endpoint(5, "s-02", state="DELETED")
        director.update_endpoint(6, "s-02", port=9)  # another machine with this name
        assert director.ready_caches() == ["s-01", "s-02", "s-03"]

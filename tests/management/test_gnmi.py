"""gNMI at a whole director: by our own client, by pygnmi, and by bytes made from the published
field numbers.
"""

import json
import os
import subprocess
import sys
import threading
import time

import grpc
import pytest
from click.testing import CliRunner
from helpers import wait_for
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st
from manage import CLEAR, HIT, Managed
from pygnmi.client import gNMIclient

from mulleinrelay import director as director_module
from mulleinrelay.cells import store
from mulleinrelay.cli import main
from mulleinrelay.management import gnmi_messages as gnmi
from mulleinrelay.management.gnmi_client import CallError
from mulleinrelay.management.paths import parse
from mulleinrelay.management.yang_model import FOLDER, Model

DRAIN = "/fleet/drains/drain"


@pytest.fixture(autouse=True)
def short_drains(monkeypatch):
    monkeypatch.setattr(director_module, "NEW_CALLS_S", 0.0)


@pytest.fixture(scope="module")
def running(tmp_path_factory):
    """One director for all that leaves it as it was."""
    with Managed(tmp_path_factory.mktemp("managed"), cells=True) as director:
        yield director


def drain(target, box, **value):
    return target.set(updates=[(parse(f"{DRAIN}[box={box}]"), value)])


def shot(director):
    """What a refused change must leave alone."""
    whole = director.manager.store
    return (
        whole.running,
        whole.held,
        director.path.read_bytes(),
        director.ready(),
        director.service.cell_service.controller.assignment,
        (director.folder / "state" / "datastore").read_bytes(),
    )


def test_a_drained_box_gets_nothing_new_and_its_attempts_end(tmp_path):
    gate = threading.Event()

    def held(fields):
        if fields["name"].endswith("ff"):
            gate.wait(10.0)
        return HIT

    with Managed(tmp_path, plan=held) as director:
        caller, target = director.caller(), director.target()
        for number in range(12):
            caller.send(entity=f"{number:016x}")
            assert caller.answer()[1] == 0
        first = director.caller()
        first.send(entity="00000000000000ff")
        assert wait_for(
            lambda: any(
                sent[2]["name"].endswith("ff")
                for held in director.heard().values()
                for sent in held
            )
        )
        box = next(
            name
            for name, attempts in director.heard().items()
            if any(attempt[2]["name"].endswith("ff") for attempt in attempts)
        )
        drain(target, box, reason="smoke")
        before = len(director.heard()[box])
        ((_, state),) = target.get(parse(f"{DRAIN}[box={box}]/state"))
        assert state["phase"] == "binding" and state["attempts-out"] == 1
        for number in range(30):
            caller.send(entity=f"{number + 100:016x}")
            if box != "s-21":
                assert caller.answer()[1] == 0
        gate.set()
        assert first.answer()[1] == 0
        assert len(director.heard()[box]) == before
        named = {sent[2].get("miss") for held in director.heard().values() for sent in held[-5:]}
        assert box not in named
        target.set(deletes=[parse(f"{DRAIN}[box={box}]")])
        ((_, after),) = target.get(parse(f"/fleet/boxes/box[name={box}]/state"))
        assert after == "ready"


def test_a_drain_outlasts_a_restart_and_the_list(tmp_path):
    with Managed(tmp_path) as director:
        drain(director.target(), "s-02")
        nodes = director.nodes
        with pytest.raises(CallError, match="to be confirmed|still wants|version"):
            director.target().set(
                updates=[(parse(f"{DRAIN}[box=s-01]"), {})], extra={"built_on": 0}
            )
        ports = [node.address for node in nodes]
    with Managed(tmp_path) as again:
        assert ports and "s-02" in again.manager.drains.intent.drains
        assert again.ready() == ["s-01", "s-03"]
        again.tell(2, "s-02")  # the list says ready once more
        assert again.ready() == ["s-01", "s-03"]
        again.tell(3, "s-02", started=5)  # another life
        assert again.ready() == ["s-01", "s-02", "s-03"]


def test_a_confirmation_that_has_not_come_when_it_restarts_goes_back(tmp_path):
    with Managed(tmp_path) as director:
        director.target().set(updates=[(parse(f"{DRAIN}[box=s-02]"), {})], within=0.4, name="c1")
        assert director.ready() == ["s-01", "s-03"]
        director.manager.stop()  # as if killed before its time
    time.sleep(0.4)
    with Managed(tmp_path) as again:
        assert wait_for(lambda: again.ready() == ["s-01", "s-02", "s-03"])


PARTLY = [
    {"updates": [(parse(f"{DRAIN}[box=s-01]"), {}), (parse(f"{DRAIN}[box=s 2]"), {})]},
    {
        "updates": [
            (parse(f"{DRAIN}[box=s-02]"), {}),
            (parse("/fleet/assignment/tenant[name=acme]/cell"), "west"),
        ]
    },
    {
        "updates": [
            (parse("/fleet/assignment/tenant[name=acme]/limits/rate"), "9"),
            (parse("/fleet/none"), 1),
        ]
    },
    {"updates": [(parse("/fleet/assignment/cell[name=north]/neighbour"), ["north"])]},
    {"updates": [(parse("/fleet/assignment/cell[name=south]/cache"), ["s-01"])]},
    {"updates": [(parse("/fleet/assignment/tenant[name=acme]/address"), ["10.0.0.1/8"])]},
    {"updates": [(parse("/fleet/assignment/tenant[name=acme]/group"), ["9-2"])]},
    {
        "updates": [
            (
                parse("/fleet/assignment/move[name=m]"),
                {"tenant": ["acme"], "from": "south", "to": "north", "starts": "9", "shift-for": 5},
            )
        ]
    },
    {
        "updates": [
            (
                parse("/fleet/assignment/move[name=m]"),
                {"tenant": ["acme"], "from": "north", "to": "north", "starts": "9", "shift-for": 5},
            )
        ]
    },
    {"updates": [(parse(f"{DRAIN}[box=s-01]"), {})]},
    {"updates": [(parse(f"{DRAIN}[box=s-02]/scope"), "never")]},
    {"deletes": [parse("/fleet/assignment")]},
    {"deletes": [parse("/fleet/assignment/default-tenant")]},
    {"deletes": [parse("/fleet/assignment/cell[name=north]")]},
    {"deletes": [parse("/fleet/boxes")]},
    {"updates": [(parse("/fleet/assignment/load-bound"), "0.5")]},
    {"updates": [(parse("/fleet"), {"drains": 3})]},
    {"updates": [(parse("/fleet/assignment/cell[name=north]/weight"), "heavy")]},
    {"updates": [(parse("/fleet/datastore/version"), "7")]},
    {"replaces": [(parse("/"), {"fleet": {"x": 1}})]},
    {"updates": [(parse(f"{DRAIN}[box=s-02]"), {})], "extra": {"built_on": 999}},
    {"updates": [], "extra": {"rollback": 999}},
    {"updates": [], "extra": {"rollback": "x"}},
]


@pytest.mark.parametrize("change", PARTLY)
def test_a_change_that_is_refused_leaves_no_trace(running, change):
    target = running.target()
    if not (running.folder / "state" / "datastore").exists():
        target.set(updates=[(parse("/fleet/assignment/tenant[name=beta]/weight"), "2.0")])
    before = shot(running)
    with pytest.raises(CallError) as why:
        target.set(**change)
    assert str(why.value) and why.value.code in ("INVALID_ARGUMENT", "NOT_FOUND", "ABORTED")
    assert shot(running) == before


JUNK = st.recursive(
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
            f"{DRAIN}[box=zz]",
            "/fleet/assignment/tenant[name=acme]/weight",
        ]
    ),
    JUNK,
)
def test_strange_values_are_refused_in_words_or_are_taken_whole(running, path, value):
    target, before = running.target(), running.manager.store.running
    try:
        target.set(updates=[(parse(path), value)])
    except CallError as wrong:
        assert wrong.code == "INVALID_ARGUMENT" or wrong.code == "NOT_FOUND", (
            wrong.code,
            str(wrong),
        )
        assert running.manager.store.running is before
    else:
        running.manager.rollback(before.number, "test")


def test_what_is_set_of_cells_acts_and_lasts_in_their_file(tmp_path):
    with Managed(tmp_path, cells=True) as director:
        target = director.target()
        target.set(
            updates=[
                (
                    parse("/fleet/assignment/tenant[name=acme]/limits"),
                    {"rate": "0.01", "burst": "2"},
                )
            ]
        )
        assert store.load(str(director.path)).tenants["acme"].limits.rate == 0.01
        caller = director.caller()
        for _ in range(5):
            caller.send(tenant="acme")
        assert sorted(caller.answer()[1] for _ in range(5)) == [0, 0, 1, 1, 1]
        done = CliRunner().invoke(
            main,
            [
                "cells",
                "move",
                "acme",
                "--to",
                "south",
                "--name",
                "m1",
                "--shift-ms",
                "900",
                "--file",
                str(director.path),
            ],
        )
        assert done.exit_code == 0
        assert wait_for(
            lambda: "m1" in director.service.cell_service.controller.assignment.migrations
        )
        ((_, held),) = target.get(parse("/fleet/assignment/move[name=m1]"))
        assert held["state"]["stage"] == "planned"
        number = target.set(deletes=[parse("/fleet/assignment/move[name=m1]")])
        assert store.load(str(director.path)).migrations == {} and target.get(
            parse("/fleet/datastore/version")
        )[0][1] == str(number)


def test_a_part_that_fails_in_the_middle_leaves_all_as_it_was(running, monkeypatch):
    target = running.target()
    drain(target, "zz")
    target.set(deletes=[parse(f"{DRAIN}[box=zz]")])
    before = shot(running)

    def fail(ready):
        raise OSError("no")

    monkeypatch.setattr(running.manager.drains, "commit", fail)
    with pytest.raises(CallError) as why:
        target.set(
            updates=[
                (parse("/fleet/assignment/tenant[name=acme]/weight"), "7.0"),
                (parse(f"{DRAIN}[box=s-9]"), {}),
            ]
        )
    monkeypatch.undo()
    assert why.value.code == "INTERNAL"
    after = shot(running)
    assert before[:2] == after[:2] and before[3] == after[3] and before[5] == after[5]
    assert after[4].tenants == before[4].tenants  # under a higher version of the file
    assert wait_for(
        lambda: running.service.cell_service.controller.assignment == store.load(str(running.path))
    )


def test_a_commit_that_was_killed_halfway_is_brought_to_its_end(tmp_path, monkeypatch):
    with Managed(tmp_path, cells=True) as director:
        target = director.target()
        target.set(updates=[(parse("/fleet/assignment/tenant[name=acme]/weight"), "2.0")])
        taken = director.path.read_bytes()
        target.set(
            updates=[
                (parse("/fleet/assignment/tenant[name=acme]/weight"), "3.0"),
                (parse(f"{DRAIN}[box=s-9]"), {}),
            ]
        )
    director.path.write_bytes(taken)  # as if killed between the datastore and the assignment file
    with Managed(tmp_path, cells=True) as again:
        assert store.load(str(again.path)).tenants["acme"].weight == 3.0
        assert "s-9" in again.manager.drains.intent.drains
        assert any("brought to its end" in str(figures) for figures in again.sink.figures)


# Subscriptions


def gathered(target, wanted, until, seconds=5.0):
    found, done = [], threading.Event()

    def read():
        try:
            for one in target.watch([parse(text) for text in wanted]):
                found.append(one)
                if until(found):
                    break
        except CallError as wrong:
            found.append(("error", wrong.code, str(wrong)))
        done.set()

    threading.Thread(target=read, daemon=True).start()
    return found, done


def test_a_stream_tells_of_changes_once_they_are(running):
    target = running.target()
    found, done = gathered(
        target,
        ["/fleet/drains", "/fleet/boxes/box[name=s-02]/state"],
        lambda held: any(one[0] == "delete" for one in held),
    )
    assert wait_for(lambda: ("sync", None, None) in found)
    drain(running.target(), "s-02", reason="r")
    assert wait_for(
        lambda: any(one[2] == "r" for one in found) and any(one[2] == "draining" for one in found)
    )
    running.target().set(deletes=[parse(f"{DRAIN}[box=s-02]")])
    assert done.wait(5.0)


def test_a_subscriber_that_reads_nothing_is_bounded_and_told(running):
    watcher = running.manager.watch([parse("/fleet/drains")], 3)
    for number in range(6):
        drain(running.target(), "zz", reason=f"r{number}")
    running.target().set(deletes=[parse(f"{DRAIN}[box=zz]")])
    assert len(watcher.waiting) == 3 and watcher.lost >= 4
    running.manager.unwatch(watcher)


def test_no_more_streams_than_allowed(tmp_path):
    with Managed(tmp_path, CLEAR + "[limits]\nsubscribers = 1\n") as director:
        one, _ = gathered(director.target(), ["/fleet/drains"], lambda held: False)
        assert wait_for(lambda: ("sync", None, None) in one)
        other, done = gathered(director.target(), ["/fleet/drains"], lambda held: False)
        assert done.wait(5.0) and other[-1][:2] == ("error", "RESOURCE_EXHAUSTED")


def call(director, name, message):
    asked, told = gnmi.METHODS[name]
    with grpc.insecure_channel(director.address) as channel:
        if name == "Subscribe":
            return list(
                channel.stream_stream(
                    f"/gnmi.gNMI/{name}", asked.SerializeToString, told.FromString
                )(iter(message))
            )
        return channel.unary_unary(f"/gnmi.gNMI/{name}", asked.SerializeToString, told.FromString)(
            message
        )


def subscribe(mode, path, **how):
    elems = [gnmi.PathElem(name=name) for name in path.strip("/").split("/")]
    return gnmi.SubscribeRequest(
        subscribe=gnmi.SubscriptionList(
            mode=mode,
            encoding=gnmi.JSON_IETF,
            subscription=[gnmi.Subscription(path=gnmi.PathMessage(elem=elems))],
            **how,
        )
    )


@pytest.mark.parametrize(
    "messages, updates, syncs",
    [
        ([subscribe(gnmi.ONCE, "/fleet/request-classes")], True, 1),
        ([subscribe(gnmi.ONCE, "/fleet/request-classes", updates_only=True)], False, 1),
        (
            [subscribe(gnmi.POLL, "/fleet/request-classes"), *[gnmi.SubscribeRequest(poll={})] * 2],
            True,
            2,
        ),
    ],
)
def test_once_and_poll(running, messages, updates, syncs):
    told = call(running, "Subscribe", messages)
    assert (
        bool(sum(len(one.update.update) for one in told)) == updates
        and sum(one.sync_response for one in told) == syncs
    )


@pytest.mark.parametrize(
    "name, message, code",
    [
        ("Get", gnmi.GetRequest(encoding=gnmi.ASCII), "UNIMPLEMENTED"),
        ("Get", gnmi.GetRequest(path=[{"origin": "cli"}]), "INVALID_ARGUMENT"),
        ("Get", gnmi.GetRequest(path=[{"elem": [{"name": "none"}]}]), "NOT_FOUND"),
        ("Get", gnmi.GetRequest(path=[{"element": ["fleet"]}]), "INVALID_ARGUMENT"),
        ("Get", gnmi.GetRequest(path=[{"elem": [{"name": "a"}] * 40}]), "INVALID_ARGUMENT"),
        (
            "Set",
            gnmi.SetRequest(
                update=[{"path": {"elem": [{"name": "fleet"}]}, "val": {"json_val": b"{"}}]
            ),
            "INVALID_ARGUMENT",
        ),
        (
            "Set",
            gnmi.SetRequest(
                update=[{"path": {"elem": [{"name": "fleet"}]}, "val": {"proto_bytes": b"x"}}]
            ),
            "INVALID_ARGUMENT",
        ),
        ("Set", gnmi.SetRequest(union_replace=[{"path": {}}]), "UNIMPLEMENTED"),
        ("Subscribe", [gnmi.SubscribeRequest(poll={})], "INVALID_ARGUMENT"),
        ("Subscribe", [subscribe(gnmi.STREAM, "/fleet/none")], "NOT_FOUND"),
    ],
)
def test_wrong_calls_end_with_their_status(running, name, message, code):
    with pytest.raises(grpc.RpcError) as why:
        call(running, name, message)
    assert why.value.code().name == code and why.value.details()


def test_a_message_over_the_bound_is_refused(tmp_path):
    with Managed(tmp_path, CLEAR + "[limits]\nmessage_kb = 4\n") as director:
        with pytest.raises(CallError) as why:
            drain(director.target(), "s-9", reason="x" * 9_000)
        assert why.value.code == "RESOURCE_EXHAUSTED"


def field(number, kind, data):
    return bytes([number << 3 | kind]) + (bytes([len(data)]) + data if kind == 2 else bytes([data]))


def test_bytes_made_from_the_published_field_numbers(running):
    # GetRequest: path = 2, type = 3 (CONFIG 1), encoding = 5 (JSON_IETF 4); Path: elem = 3;
    # PathElem: name = 1, key = 2

    key = field(2, 2, field(1, 2, b"name") + field(2, 2, b"acme"))
    elems = [field(1, 2, b"fleet"), field(1, 2, b"assignment"), field(1, 2, b"tenant") + key]
    request = (
        field(2, 2, b"".join(field(3, 2, elem) for elem in elems)) + field(3, 0, 1) + field(5, 0, 4)
    )
    with grpc.insecure_channel(running.address) as channel:
        data = channel.unary_unary("/gnmi.gNMI/Get", lambda held: held, lambda held: held)(request)
    assert (
        b'"mulleinrelay-fleet:name":"acme"' in data and data[0] == 1 << 3 | 2
    )  # GetResponse: notification = 1


def test_an_independent_client(running):
    host, _, port = running.address.rpartition(":")
    with gNMIclient(target=(host, int(port)), insecure=True) as client:
        models = client.capabilities()
        assert (
            models["supported_models"][0]["name"] == "mulleinrelay-fleet"
            and "json_ietf" in models["supported_encodings"]
        )
        client.set(
            update=[("/fleet/drains/drain[box=s-03]", {"reason": "by pygnmi"})],
            encoding="json_ietf",
        )
        assert running.ready() == ["s-01", "s-02"]
        held = client.get(path=["/fleet/drains/drain[box=s-03]"], encoding="json_ietf")
        value = held["notification"][0]["update"][0]["val"]
        assert value["mulleinrelay-fleet:reason"] == "by pygnmi"
        stream = client.subscribe_stream(
            subscribe={
                "subscription": [{"path": "/fleet/drains", "mode": "on_change"}],
                "mode": "stream",
                "encoding": "json_ietf",
            }
        )
        assert "update" in next(iter(stream))
        stream.close()
        client.set(delete=["/fleet/drains/drain[box=s-03]"])
    assert running.ready() == ["s-01", "s-02", "s-03"]


def ctl(director, *arguments, **how):
    done = CliRunner().invoke(main, ["ctl", "--target", director.address, *arguments], **how)
    return done.exit_code, done.output


def test_the_command_line(running, tmp_path):
    assert ctl(running, "drain", "s-02", "--reason", "smoke")[1].endswith(
        "s-02 binding, 0 attempts out\n"
    )
    code, told = ctl(running, "drain", "s-03")
    assert code == 3 and "cell south would be left without caches" in told
    assert ctl(running, "undrain", "s-02")[0] == 0
    code, told = ctl(running, "--json", "get", "/fleet/boxes/box/state")
    assert code == 0 and json.loads(told)[running.address]["result"][0] == [
        "/fleet/boxes/box[name=s-01]/state",
        "ready",
    ]
    assert "s-03" in ctl(running, "get", "/fleet/boxes/box")[1]
    code, told = ctl(
        running,
        "set",
        "--within",
        "30",
        "--id",
        "k1",
        "/fleet/assignment/tenant[name=acme]/limits/retries=0.5",
    )
    assert (
        code == 0
        and ctl(running, "confirm", "k1")[0] == 0
        and ctl(running, "confirm", "k1")[0] == 3
    )
    file = tmp_path / "wanted.json"
    file.write_text(json.dumps(running.manager.store.running.tree))
    assert "0 others, 0 not in the file" in ctl(running, "diff", str(file))[1]
    number = running.manager.store.running.number
    assert ctl(running, "set", f"{DRAIN}[box=zz]/reason=x", "--built-on", "1")[0] == 3
    assert ctl(running, "set", f"{DRAIN}[box=zz]/reason=x")[0] == 0
    assert "+ /fleet" not in ctl(running, "diff", str(file))[1]
    assert ctl(running, "rollback", str(number))[0] == 0
    assert f"back to version {number}" in ctl(running, "history")[1]
    assert "s-01" in ctl(running, "watch", "--seconds", "0.5", "/fleet/boxes")[1]
    assert ctl(running, "get", "/fleet/[x")[0] == 2 and ctl(running, "set", "nonsense")[0] == 2
    assert ctl(running, "--target", "127.0.0.1:1", "--timeout", "0.5", "history")[0] == 1


def test_the_model_is_clean_and_its_lists_have_keys():
    command = [os.path.join(os.path.dirname(sys.executable), "pyang"), "--lint", "-p", FOLDER]
    done = subprocess.run(
        [*command, f"{FOLDER}/mulleinrelay-fleet.yang"], capture_output=True, text=True
    )
    assert (done.returncode, done.stdout + done.stderr) == (0, "")
    shape = Model().shape.children["fleet"]
    assert shape.children["boxes"].state and shape.children["drains"].children["drain"].keys == (
        "box",
    )

"""The hard cases on real sockets: a flood, a move, an order in flight, a small lab."""

import dataclasses
import threading

import pytest
from cells_fixtures import Cell, DirectorsFixture, make_assignment, make_migration
from helpers import HIT_ANSWER, endpoint_list_update, wait_for

from mulleinrelay import director as director_module
from mulleinrelay.cells.formatter import format_assignment
from mulleinrelay.cells.service import CellService
from mulleinrelay.errors import ConfigError
from mulleinrelay.lab.runner import Lab
from mulleinrelay.lab.scenario import parse_scenario
from mulleinrelay.process import build_director

SERVED, REJECTED, FAILED = 0, 1, 2
FILLED = (b"DONE", b"why=MISS,entity=aa,issued=1,delay=5", b"bytes")
TWO = (Cell("north", caches=("s-01",)), Cell("south", caches=("s-02", "s-03")))
EVER = 10.0**14  # a move that never ends by itself: its clock stands


@pytest.fixture(autouse=True)
def short_drains(monkeypatch):
    monkeypatch.setattr(director_module, "NEW_CALLS_S", 0.0)


def halfway(share=0.5, **changes):
    """A move that has long begun and is held when that share has gone over."""
    return make_migration(
        starts_at=1_000.0,
        warm_up_duration=0.0,
        shift_duration=1_000.0,
        drain_duration=EVER,
        warm_up_fraction=0.0,
        paused_at=1_000.0 + 1_000.0 * share,
        **changes,
    )


def test_flood_is_confined_to_its_cell_and_rejected_at_once(tmp_path, monkeypatch):
    # The flooder's requests are never answered by its cache, so all that it may have open stays
    # open; where the machine is so slow that some of them are given up meanwhile, as many may
    # follow, and no more.
    def silent(fields):
        return None if fields["name"].startswith("f") else HIT_ANSWER

    ended, settle = [], CellService.complete_request

    def noted(warden, grant, request, *how):
        if request.object_id >> 60 == 0xF:
            ended.append(request)
        settle(warden, grant, request, *how)

    monkeypatch.setattr(CellService, "complete_request", noted)
    with DirectorsFixture(tmp_path, make_assignment(TWO), plan=silent, open_most=64) as running:
        others = running.caller()
        others.send(tenant="beta")
        assert others.read_answer()[1] == SERVED
        callers = [running.caller() for _ in range(8)]
        for number in range(30):
            for caller in callers:
                caller.send(tenant="acme", entity=f"f{number:015x}", patience="2900")
        for number in range(40):  # in the middle of the flood
            others.send(tenant="beta", entity=f"{number:016x}")
            assert others.read_answer()[1] == SERVED
        held = [entry for entry in running.heard()["s-01"] if entry[2]["name"].startswith("f")]
        assert 0 < len(held) <= 64 + len(ended)  # each is noted before it makes room
        assert (
            sum(len(sent) for name, sent in running.heard().items() if name in ("s-02", "s-03"))
            == 41
        )
        for (
            caller
        ) in callers:  # one answer each, those that were held at the end of their client's time
            assert [caller.read_answer()[1] for _ in range(30)] == [REJECTED] * 30


def test_two_directors_migrate_the_same_objects_and_the_old_cache_fills(tmp_path):
    # South lacks everything at first and tells so; what north has answered lately, it is to give as
    # a sibling.

    plans = [HIT_ANSWER, FILLED, FILLED, FILLED, FILLED, FILLED]
    objects = [f"{number:016x}" for number in range(40)]
    with DirectorsFixture(tmp_path, make_assignment(TWO), plan=plans, directors=2) as running:
        for number in (0, 1):
            caller = running.caller(number)
            for entity in objects:
                caller.send(tenant="acme", entity=entity)
                assert caller.read_answer()[1] == SERVED
        assert len(running.heard()["s-01"]) == 80
        running.path.write_text(
            format_assignment(
                dataclasses.replace(make_assignment(TWO, moves=(halfway(),)), version=2)
            )
        )
        assert wait_for(
            lambda: all(
                one.cell_service.controller.assignment.version == 2 for one in running.services
            )
        )
        went = []
        for number in (0, 1):
            before = {name: len(attempts) for name, attempts in running.heard().items()}
            caller = running.caller(number)
            for entity in objects:
                caller.send(tenant="acme", entity=entity)
                assert caller.read_answer()[1] == SERVED
            new = {name: attempts[before[name] :] for name, attempts in running.heard().items()}
            went.append({entry[2]["name"] for name in ("s-02", "s-03") for entry in new[name]})
            sources = {entry[2]["miss"] for name in ("s-02", "s-03") for entry in new[name]}
            assert sources == {"s-01"}
        assert went[0] == went[1] and 5 < len(went[0]) < 35


@pytest.mark.parametrize(("where", "answer"), [(0, SERVED), (1, FAILED)])
def test_request_in_flight_at_a_migration_runs_in_one_cell_only(where, answer, tmp_path):
    answered = threading.Event()

    def held(fields):
        answered.wait(10.0)
        return HIT_ANSWER

    with DirectorsFixture(
        tmp_path,
        make_assignment(TWO),
        plan=[held, HIT_ANSWER, HIT_ANSWER, HIT_ANSWER, HIT_ANSWER, HIT_ANSWER],
        directors=2,
    ) as running:
        for one in running.services:
            one.config.request_classes["order"].key_scope = "cell"
            one.config.request_classes["order"].is_uncacheable = False
            one.cell_service.controller.placement.uncertain_until = 0.0
        first = running.caller()
        first.send("order", tenant="acme", nonce="n1", patience="2900")
        assert wait_for(lambda: running.heard()["s-01"])
        running.path.write_text(
            format_assignment(
                dataclasses.replace(make_assignment(TWO, moves=(halfway(1.0),)), version=2)
            )
        )
        assert wait_for(
            lambda: all(
                one.cell_service.controller.assignment.version == 2 for one in running.services
            )
        )
        again = running.caller(where)
        again.send("order", tenant="acme", nonce="n1", redo="1", patience="2900")
        if where == 1:
            assert again.read_answer()[1] == answer
        answered.set()
        assert first.read_answer()[1] == SERVED
        if where == 0:
            assert again.read_answer()[1] == answer
        fresh = running.caller(where)
        fresh.send("order", tenant="acme", nonce="n2")
        assert fresh.read_answer()[1] == SERVED
        ran = {
            name
            for name, sent in running.heard().items()
            for entry in sent
            if entry[2].get("dedupe") == "n1"
        }
        assert ran == {"s-01"}
        assert [
            entry[2]["dedupe"] for name in ("s-02", "s-03") for entry in running.heard()[name]
        ] == ["n2"]


def test_drain_during_a_migration_holds_for_both_cells(tmp_path):
    with DirectorsFixture(tmp_path, make_assignment(TWO, moves=(halfway(),))) as running:
        director = running.services[0]
        director.event_stream.apply(2, endpoint_list_update(running, "DRAINING", "s-01", "s-02"))
        assert wait_for(lambda: len(director.coordinator.ready_caches()) == 1)
        caller = running.caller()
        for number in range(40):
            caller.send(tenant="acme", entity=f"{number:016x}")
            caller.read_answer()
        heard = running.heard()
        assert not heard["s-01"] and not heard["s-02"] and heard["s-03"]
        assert not {entry[2].get("miss") for entry in heard["s-03"]} & {"s-01", "s-02"}


def test_purge_during_a_migration_holds_for_the_old_cells_copies(tmp_path):
    with DirectorsFixture(tmp_path, make_assignment(TWO, moves=(halfway(1.0),))) as running:
        caller = running.caller()
        caller.send(tenant="acme", entity="00000000000000ab")
        assert caller.read_answer()[1] == SERVED
        director = running.services[0]
        director.event_stream.apply(
            2, {"ban": {"url": "00000000000000ab", "ts": round(director.clock()) - 100}}
        )
        caller.send(tenant="acme", entity="00000000000000ab")
        assert caller.read_answer()[1] == SERVED
        last = [
            sent[-1] for name, sent in running.heard().items() if name in ("s-02", "s-03") and sent
        ][-1]
        assert 0.0 < float(last[2]["within"]) < 5_000.0 and last[2].get("miss") != "s-01"


LAB = """
[lab]
seconds = 3
directors = 2
[fleet]
caches = s-1 s-2 s-3 s-4
[assignment]
default_tenant = beta
spread_ms = 300
skew_ms = 50
[cell north]
caches = s-1 s-2
[cell south]
caches = s-3 s-4
[tenant acme]
cell = north
[tenant beta]
cell = south
[load acme]
rate = 40
orders = 0.3
[load beta]
rate = 20
[deed m1]
what = move
at = 0.5
tenants = acme
to = south
warm_ms = 100
shift_ms = 700
[deed d1]
what = kill
at = 1.5
node = s-3
"""


def test_small_lab_counts_each_answer_once():
    found = Lab(parse_scenario(LAB)).run()
    assert [deed["wrong"] for deed in found["deeds"]] == ["", ""]
    assert (
        found["orders_run_twice"] == found["total"]["answers_twice"] == found["total"]["bad"] == 0
    )
    assert found["total"]["served"] > 0 and found["orders_run"] > 0
    assert found["nodes"]["s-4"]["asked"] > 0


@pytest.mark.parametrize(
    ("change", "told"),
    [
        (("caches = s-1 s-2 s-3 s-4", ""), "[fleet] caches"),
        (("what = kill", "what = melt"), "[deed d1] what"),
        (("node = s-3", "node = s-9"), "[deed d1] node"),
        (("rate = 40", "rate = x"), "[load acme] rate"),
        (("directors = 2", "directors = 99"), "[lab] directors"),
        (("[fleet]", "[fleet]\nspeed = 1"), "[fleet] speed"),
    ],
)
def test_error_in_a_scenario_names_its_key(change, told):
    with pytest.raises(ConfigError) as fault:
        parse_scenario(LAB.replace(*change, 1))
    assert str(fault.value).startswith(told)


def test_director_does_not_start_with_an_unusable_assignment(tmp_path):
    (tmp_path / "cells.ini").write_text("[cells]\nenabled = yes\nassignment = none.ini\n")
    with (
        DirectorsFixture(tmp_path, make_assignment(TWO)) as running,
        pytest.raises(ConfigError, match=r"none\.ini"),
    ):
        build_director(running.services[0].config, running.sinks[0], str(tmp_path / "cells.ini"))

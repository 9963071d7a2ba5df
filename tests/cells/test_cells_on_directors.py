"""Cells at whole directors on loopback, before stand-ins."""

import dataclasses

import pytest
from cells_fixtures import Cell, DirectorsFixture, Limits, Tenant, make_assignment
from helpers import endpoint_list_update, wait_for

from mulleinrelay import director as director_module
from mulleinrelay.cells.formatter import format_assignment

REJECTED, FAILED = 1, 2
TWO = (
    Cell("north", caches=("s-01",), failover_cells=("south",), failover_quota=0.5),
    Cell("south", caches=("s-02", "s-03")),
)


@pytest.fixture(autouse=True)
def short_drains(monkeypatch):
    monkeypatch.setattr(director_module, "NEW_CALLS_S", 0.0)


def edge_caches(running):
    return {
        name for name, sent in running.heard().items() if sent and name in ("s-01", "s-02", "s-03")
    }


@pytest.mark.parametrize(("tenant", "caches"), [("acme", {"s-01"}), ("beta", {"s-02", "s-03"})])
def test_tenant_is_confined_to_its_cell(tenant, caches, tmp_path):
    with DirectorsFixture(tmp_path, make_assignment(TWO)) as running:
        caller = running.caller()
        for number in range(40):
            caller.send(entity=f"{number:016x}", tenant=tenant)
            assert caller.read_answer()[1] == 0
        assert edge_caches(running) == caches


def test_requests_over_the_rate_are_rejected_and_reach_no_node(tmp_path):
    held = make_assignment(
        TWO, (Tenant("acme", "north", limits=Limits(rate=0.01, burst=3)), "beta", "shared")
    )
    with DirectorsFixture(tmp_path, held) as running:
        caller = running.caller()
        for _ in range(10):
            caller.send(tenant="acme")
        answers = [caller.read_answer()[:3] for _ in range(10)]
        assert sorted(what for _, what, _ in answers) == [0] * 3 + [REJECTED] * 7
        assert {fields.get("pause") for _, what, fields in answers if what == REJECTED} == {"5000"}
        assert sum(len(attempts) for attempts in running.heard().values()) == 3
        caller.send(tenant="beta")
        assert caller.read_answer()[1] == 0


@pytest.mark.parametrize(
    ("unknown", "told", "what"),
    [("reject", "nobody", REJECTED), ("default_tenant", "nobody", 0), ("reject", "acme", 0)],
)
def test_unknown_tenant_is_treated_as_the_assignment_says(unknown, told, what, tmp_path):
    with DirectorsFixture(tmp_path, make_assignment(TWO, unknown_tenant_policy=unknown)) as running:
        caller = running.caller()
        caller.send(tenant=told)
        assert caller.read_answer()[1] == what


def test_retry_over_its_quota_fails(tmp_path):
    # Guards against telling a client that trying again is harmless where its first try may have
    # run.
    held = make_assignment(
        TWO, (Tenant("acme", "north", limits=Limits(rate=0.01, burst=1)), "beta", "shared")
    )
    with DirectorsFixture(tmp_path, held) as running:
        running.services[0].config.request_classes["order"].key_scope = "cell"
        caller = running.caller()
        caller.send("order", tenant="acme", redo="1")
        assert caller.read_answer()[1] == 0
        caller.send("order", tenant="acme", redo="1")
        assert caller.read_answer()[1] == FAILED


def test_lost_cell_fails_over(tmp_path):
    with DirectorsFixture(tmp_path, make_assignment(TWO)) as running:
        caller = running.caller()
        caller.send(tenant="acme")
        assert caller.read_answer()[1] == 0
        director = running.services[0]
        director.event_stream.apply(2, endpoint_list_update(running, "DRAINING", "s-01"))
        assert wait_for(
            lambda: any("north lost" in str(figures) for figures in running.sinks[0].fields)
        )
        before = len(running.heard()["s-01"])
        for number in range(10):
            caller.send(tenant="acme", entity=f"{number:016x}")
            assert caller.read_answer()[1] == 0
        assert len(running.heard()["s-01"]) == before


@pytest.mark.parametrize(
    ("text", "told"),
    [("version = 0", "no later one"), ("nonsense", "the file"), ("[assignment]\nform = 9", "form")],
)
def test_unusable_file_changes_nothing(text, told, tmp_path):
    with DirectorsFixture(tmp_path, make_assignment(TWO, version=3)) as running:
        whole = (
            format_assignment(make_assignment(TWO, version=2)) if text == "version = 0" else text
        )
        running.path.write_text(whole)
        assert wait_for(lambda: any(told in str(figures) for figures in running.sinks[0].fields))
        assert running.services[0].cell_service.controller.assignment.version == 3
        running.path.write_text(
            format_assignment(dataclasses.replace(make_assignment(TWO), version=4))
        )
        assert wait_for(lambda: running.services[0].cell_service.controller.assignment.version == 4)

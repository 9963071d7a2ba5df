"""Cells at whole directors on loopback, before stand-ins."""

import dataclasses

import pytest
from helpers import rows, wait_for
from stage import Cell, Housed, Limits, Tenant, charter

from mulleinrelay import director as director_module
from mulleinrelay.cells.parser import write

REJECTED, FAILED = 1, 2
TWO = (
    Cell("north", caches=("s-01",), failover_cells=("south",), failover_quota=0.5),
    Cell("south", caches=("s-02", "s-03")),
)


@pytest.fixture(autouse=True)
def short_drains(monkeypatch):
    monkeypatch.setattr(director_module, "NEW_CALLS_S", 0.0)


def edge_caches(housed):
    return {
        name for name, sent in housed.heard().items() if sent and name in ("s-01", "s-02", "s-03")
    }


@pytest.mark.parametrize("tenant, caches", [("acme", {"s-01"}), ("beta", {"s-02", "s-03"})])
def test_a_tenant_stays_in_its_cell(tenant, caches, tmp_path):
    with Housed(tmp_path, charter(TWO)) as housed:
        caller = housed.caller()
        for number in range(40):
            caller.send(entity=f"{number:016x}", tenant=tenant)
            assert caller.answer()[1] == 0
        assert edge_caches(housed) == caches


def test_what_is_over_its_rate_is_rejected_at_once_and_reaches_no_node(tmp_path):
    held = charter(
        TWO, (Tenant("acme", "north", limits=Limits(rate=0.01, burst=3)), "beta", "shared")
    )
    with Housed(tmp_path, held) as housed:
        caller = housed.caller()
        for _ in range(10):
            caller.send(tenant="acme")
        answers = [caller.answer()[:3] for _ in range(10)]
        assert sorted(what for _, what, _ in answers) == [0] * 3 + [REJECTED] * 7
        assert {fields.get("pause") for _, what, fields in answers if what == REJECTED} == {"5000"}
        assert sum(len(attempts) for attempts in housed.heard().values()) == 3
        caller.send(tenant="beta")
        assert caller.answer()[1] == 0


@pytest.mark.parametrize(
    "unknown, told, what",
    [("reject", "nobody", REJECTED), ("default_tenant", "nobody", 0), ("reject", "acme", 0)],
)
def test_an_unknown_tenant_gets_what_the_file_says(unknown, told, what, tmp_path):
    with Housed(tmp_path, charter(TWO, unknown_tenant_policy=unknown)) as housed:
        caller = housed.caller()
        caller.send(tenant=told)
        assert caller.answer()[1] == what


def test_a_repeat_that_is_over_its_bounds_is_failed(tmp_path):
    # Guards against telling a client that trying again is harmless where its first try may have
    # run.
    held = charter(
        TWO, (Tenant("acme", "north", limits=Limits(rate=0.01, burst=1)), "beta", "shared")
    )
    with Housed(tmp_path, held) as housed:
        housed.services[0].config.request_classes["order"].key_scope = "cell"
        caller = housed.caller()
        caller.send("order", tenant="acme", redo="1")
        assert caller.answer()[1] == 0
        caller.send("order", tenant="acme", redo="1")
        assert caller.answer()[1] == FAILED


def test_a_lost_cell_is_taken_in_by_its_neighbour(tmp_path):
    with Housed(tmp_path, charter(TWO)) as housed:
        caller = housed.caller()
        caller.send(tenant="acme")
        assert caller.answer()[1] == 0
        director = housed.services[0]
        director.event_stream.apply(2, rows(housed, "DRAINING", "s-01"))
        assert wait_for(
            lambda: any("north lost" in str(figures) for figures in housed.sinks[0].figures)
        )
        before = len(housed.heard()["s-01"])
        for number in range(10):
            caller.send(tenant="acme", entity=f"{number:016x}")
            assert caller.answer()[1] == 0
        assert len(housed.heard()["s-01"]) == before


@pytest.mark.parametrize(
    "text, told",
    [("version = 0", "no later one"), ("nonsense", "the file"), ("[assignment]\nform = 9", "form")],
)
def test_a_file_that_cannot_be_used_changes_nothing(text, told, tmp_path):
    with Housed(tmp_path, charter(TWO, version=3)) as housed:
        whole = write(charter(TWO, version=2)) if text == "version = 0" else text
        housed.path.write_text(whole)
        assert wait_for(lambda: any(told in str(figures) for figures in housed.sinks[0].figures))
        assert housed.services[0].cell_service.controller.assignment.version == 3
        housed.path.write_text(write(dataclasses.replace(charter(TWO), version=4)))
        assert wait_for(lambda: housed.services[0].cell_service.controller.assignment.version == 4)

"""Cells at complete directors on loopback, in front of stand-ins."""

import dataclasses

import pytest
from cells_fixtures import Cell, DirectorsFixture, Limits, Tenant, make_assignment
from helpers import endpoint_list_update, wait_for

from mulleinrelay import director as director_module
from mulleinrelay.cells.formatter import format_assignment

REJECTED, FAILED = 1, 2
TWO_CELLS = (
    Cell("north", caches=("s-01",), failover_cells=("south",), failover_quota=0.5),
    Cell("south", caches=("s-02", "s-03")),
)


@pytest.fixture(autouse=True)
def short_drains(monkeypatch):
    monkeypatch.setattr(director_module, "NEW_CALLS_S", 0.0)


def caches_with_requests(running):
    return {
        name
        for name, sent in running.commands_by_endpoint().items()
        if sent and name in ("s-01", "s-02", "s-03")
    }


@pytest.mark.parametrize(("tenant", "caches"), [("acme", {"s-01"}), ("beta", {"s-02", "s-03"})])
def test_tenant_is_confined_to_its_cell(tenant, caches, tmp_path):
    with DirectorsFixture(tmp_path, make_assignment(TWO_CELLS)) as running:
        client = running.connect_client()
        for number in range(40):
            client.send(entity=f"{number:016x}", tenant=tenant)
            assert client.read_answer()[1] == 0
        assert caches_with_requests(running) == caches


def test_requests_over_the_rate_are_rejected_and_reach_no_endpoint(tmp_path):
    assignment = make_assignment(
        TWO_CELLS, (Tenant("acme", "north", limits=Limits(rate=0.01, burst=3)), "beta", "shared")
    )
    with DirectorsFixture(tmp_path, assignment) as running:
        client = running.connect_client()
        for _ in range(10):
            client.send(tenant="acme")
        answers = [client.read_answer()[:3] for _ in range(10)]
        assert sorted(result for _, result, _ in answers) == [0] * 3 + [REJECTED] * 7
        assert {fields.get("pause") for _, result, fields in answers if result == REJECTED} == {
            "5000"
        }
        assert sum(len(attempts) for attempts in running.commands_by_endpoint().values()) == 3
        client.send(tenant="beta")
        assert client.read_answer()[1] == 0


@pytest.mark.parametrize(
    ("policy", "tenant", "result"),
    [("reject", "nobody", REJECTED), ("default_tenant", "nobody", 0), ("reject", "acme", 0)],
)
def test_unknown_tenant_is_treated_as_the_assignment_says(policy, tenant, result, tmp_path):
    with DirectorsFixture(
        tmp_path, make_assignment(TWO_CELLS, unknown_tenant_policy=policy)
    ) as running:
        client = running.connect_client()
        client.send(tenant=tenant)
        assert client.read_answer()[1] == result


def test_retry_over_the_quota_fails(tmp_path):
    # Guards against telling a client that it may repeat a request although the first attempt may
    # have run: a retry over the quota must fail, because "rejected" means "never executed".
    assignment = make_assignment(
        TWO_CELLS, (Tenant("acme", "north", limits=Limits(rate=0.01, burst=1)), "beta", "shared")
    )
    with DirectorsFixture(tmp_path, assignment) as running:
        running.directors[0].config.request_classes["order"].key_scope = "cell"
        client = running.connect_client()
        client.send("order", tenant="acme", redo="1")
        assert client.read_answer()[1] == 0
        client.send("order", tenant="acme", redo="1")
        assert client.read_answer()[1] == FAILED


def test_lost_cell_fails_over(tmp_path):
    with DirectorsFixture(tmp_path, make_assignment(TWO_CELLS)) as running:
        client = running.connect_client()
        client.send(tenant="acme")
        assert client.read_answer()[1] == 0
        director = running.directors[0]
        director.event_stream.apply(2, endpoint_list_update(running, "DRAINING", "s-01"))
        assert wait_for(
            lambda: any("north lost" in str(fields) for fields in running.logs[0].fields)
        )
        before = len(running.commands_by_endpoint()["s-01"])
        for number in range(10):
            client.send(tenant="acme", entity=f"{number:016x}")
            assert client.read_answer()[1] == 0
        assert len(running.commands_by_endpoint()["s-01"]) == before


@pytest.mark.parametrize(
    ("text", "expected"),
    [("version = 0", "no later one"), ("nonsense", "the file"), ("[assignment]\nform = 9", "form")],
)
def test_unusable_file_changes_nothing(text, expected, tmp_path):
    with DirectorsFixture(tmp_path, make_assignment(TWO_CELLS, version=3)) as running:
        content = (
            format_assignment(make_assignment(TWO_CELLS, version=2))
            if text == "version = 0"
            else text
        )
        running.path.write_text(content)
        assert wait_for(lambda: any(expected in str(fields) for fields in running.logs[0].fields))
        assert running.directors[0].cell_service.controller.assignment.version == 3
        running.path.write_text(
            format_assignment(dataclasses.replace(make_assignment(TWO_CELLS), version=4))
        )
        assert wait_for(
            lambda: running.directors[0].cell_service.controller.assignment.version == 4
        )

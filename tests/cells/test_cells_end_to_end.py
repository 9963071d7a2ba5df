"""End-to-end tests on real sockets: a flood, migrations, requests in flight, a small lab."""

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
TWO_CELLS = (Cell("north", caches=("s-01",)), Cell("south", caches=("s-02", "s-03")))
NEVER_DONE_MS = 10.0**14  # drain duration of a migration that does not end during a test


@pytest.fixture(autouse=True)
def short_drains(monkeypatch):
    monkeypatch.setattr(director_module, "NEW_CALLS_S", 0.0)


def make_paused_migration(fraction=0.5, **changes):
    """Return a migration that is paused at the given migrated fraction."""
    return make_migration(
        starts_at=1_000.0,
        warm_up_duration=0.0,
        shift_duration=1_000.0,
        drain_duration=NEVER_DONE_MS,
        warm_up_fraction=0.0,
        paused_at=1_000.0 + 1_000.0 * fraction,
        **changes,
    )


def is_from_flood(entry):
    return entry[2]["name"].startswith("f")


def answer_others(fields):
    """Return a hit, or no answer if the request is from the flooding tenant."""
    return None if fields["name"].startswith("f") else HIT_ANSWER


def send_flood(running):
    """Send 30 requests of the flooding tenant from each of eight clients, and return the clients.

    Before it returns, the function waits until one of the requests has reached the cache.
    """
    clients = []
    for _ in range(8):
        # The first request is sent at once, as a connection without a call is closed after 2 s.
        clients.append(running.connect_client())
        clients[-1].send(tenant="acme", entity=f"f{0:015x}", patience="2900")
    for number in range(1, 30):
        for client in clients:
            client.send(tenant="acme", entity=f"f{number:015x}", patience="2900")
    assert wait_for(lambda: any(map(is_from_flood, running.commands_by_endpoint()["s-01"])), 10.0)
    return clients


def test_flood_is_confined_to_its_cell_and_rejected_at_once(tmp_path, monkeypatch):
    # Guards against a flooding tenant that uses up the director's open requests, so that requests
    # for other cells are rejected. The cache never answers the flooding tenant's requests, so all
    # admitted ones stay open. On a slow machine, some of them time out during the test; each of
    # these allows one more request to be admitted.
    ended, complete_request = [], CellService.complete_request

    def record_completion(service, grant, request, *outcome):
        if request.object_id >> 60 == 0xF:
            ended.append(request)
        complete_request(service, grant, request, *outcome)

    monkeypatch.setattr(CellService, "complete_request", record_completion)
    with DirectorsFixture(
        tmp_path, make_assignment(TWO_CELLS), plan=answer_others, open_most=64
    ) as running:
        others = running.connect_client()
        others.send(tenant="beta")
        assert others.read_answer()[1] == SERVED
        clients = send_flood(running)
        for number in range(40):  # in the middle of the flood
            others.send(tenant="beta", entity=f"{number:016x}")
            assert others.read_answer()[1] == SERVED
        flood = [entry for entry in running.commands_by_endpoint()["s-01"] if is_from_flood(entry)]
        # A completion is recorded before its quota is released, so `ended` is never too short.
        assert 0 < len(flood) <= 64 + len(ended)
        assert (
            sum(
                len(sent)
                for name, sent in running.commands_by_endpoint().items()
                if name in ("s-02", "s-03")
            )
            == 41
        )
        # Each request gets one answer: it is rejected at once, or when its client's time is up.
        for client in clients:
            assert [client.read_answer()[1] for _ in range(30)] == [REJECTED] * 30


def test_flood_that_a_cache_does_not_answer_reaches_no_cache_of_another_cell(tmp_path):
    # The attempts become overdue, because the only cache of their cell does not answer them. They
    # must not be hedged or retried at the caches of the other cell.
    with DirectorsFixture(
        tmp_path,
        make_assignment(TWO_CELLS),
        plan=answer_others,
        open_most=64,
        reacts_to_silence=True,
    ) as running:
        for client in send_flood(running):
            assert [client.read_answer()[1] for _ in range(30)] == [REJECTED] * 30
        commands = running.commands_by_endpoint()
        assert not commands["s-02"] and not commands["s-03"]


def test_two_directors_migrate_the_same_objects_and_the_old_cache_fills(tmp_path):
    # The caches of south report each request as a miss that they filled. The directors must name
    # the cache of north, which served the objects before the migration, as the fill source.

    plans = [HIT_ANSWER, FILLED, FILLED, FILLED, FILLED, FILLED]
    objects = [f"{number:016x}" for number in range(40)]
    with DirectorsFixture(
        tmp_path, make_assignment(TWO_CELLS), plan=plans, director_count=2
    ) as running:
        for number in (0, 1):
            client = running.connect_client(number)
            for entity in objects:
                client.send(tenant="acme", entity=entity)
                assert client.read_answer()[1] == SERVED
        assert len(running.commands_by_endpoint()["s-01"]) == 80
        running.path.write_text(
            format_assignment(
                dataclasses.replace(
                    make_assignment(TWO_CELLS, migrations=(make_paused_migration(),)), version=2
                )
            )
        )
        assert wait_for(
            lambda: all(
                director.cell_service.controller.assignment.version == 2
                for director in running.directors
            )
        )
        migrated = []
        for number in (0, 1):
            before = {
                name: len(attempts) for name, attempts in running.commands_by_endpoint().items()
            }
            client = running.connect_client(number)
            for entity in objects:
                client.send(tenant="acme", entity=entity)
                assert client.read_answer()[1] == SERVED
            new = {
                name: attempts[before[name] :]
                for name, attempts in running.commands_by_endpoint().items()
            }
            migrated.append({entry[2]["name"] for name in ("s-02", "s-03") for entry in new[name]})
            sources = {entry[2]["miss"] for name in ("s-02", "s-03") for entry in new[name]}
            assert sources == {"s-01"}
        assert migrated[0] == migrated[1] and 5 < len(migrated[0]) < 35


@pytest.mark.parametrize(("director_index", "answer"), [(0, SERVED), (1, FAILED)])
def test_request_in_flight_at_a_migration_runs_in_one_cell_only(director_index, answer, tmp_path):
    # Guards against a sticky request that runs in both cells: its first attempt is in flight in the
    # source cell when its object migrates. A retry at the same director must go to the source cell
    # too. A retry at the other director must fail, because that director does not know the cell.
    may_answer = threading.Event()

    def answer_later(fields):
        may_answer.wait(10.0)
        return HIT_ANSWER

    with DirectorsFixture(
        tmp_path,
        make_assignment(TWO_CELLS),
        plan=[answer_later, HIT_ANSWER, HIT_ANSWER, HIT_ANSWER, HIT_ANSWER, HIT_ANSWER],
        director_count=2,
    ) as running:
        for director in running.directors:
            director.config.request_classes["order"].key_scope = "cell"
            director.config.request_classes["order"].is_uncacheable = False
            director.cell_service.controller.placement.uncertain_until = 0.0
        first = running.connect_client()
        first.send("order", tenant="acme", nonce="n1", patience="2900")
        assert wait_for(lambda: running.commands_by_endpoint()["s-01"])
        running.path.write_text(
            format_assignment(
                dataclasses.replace(
                    make_assignment(TWO_CELLS, migrations=(make_paused_migration(1.0),)), version=2
                )
            )
        )
        assert wait_for(
            lambda: all(
                director.cell_service.controller.assignment.version == 2
                for director in running.directors
            )
        )
        retrying = running.connect_client(director_index)
        retrying.send("order", tenant="acme", nonce="n1", redo="1", patience="2900")
        if director_index == 1:
            assert retrying.read_answer()[1] == answer
        may_answer.set()
        assert first.read_answer()[1] == SERVED
        if director_index == 0:
            assert retrying.read_answer()[1] == answer
        other = running.connect_client(director_index)
        other.send("order", tenant="acme", nonce="n2")
        assert other.read_answer()[1] == SERVED
        caches_that_ran_it = {
            name
            for name, sent in running.commands_by_endpoint().items()
            for entry in sent
            if entry[2].get("dedupe") == "n1"
        }
        assert caches_that_ran_it == {"s-01"}
        assert [
            entry[2]["dedupe"]
            for name in ("s-02", "s-03")
            for entry in running.commands_by_endpoint()[name]
        ] == ["n2"]


def test_drain_during_a_migration_applies_to_both_cells(tmp_path):
    with DirectorsFixture(
        tmp_path, make_assignment(TWO_CELLS, migrations=(make_paused_migration(),))
    ) as running:
        director = running.directors[0]
        director.event_stream.apply(2, endpoint_list_update(running, "DRAINING", "s-01", "s-02"))
        assert wait_for(lambda: len(director.coordinator.ready_caches()) == 1)
        client = running.connect_client()
        for number in range(40):
            client.send(tenant="acme", entity=f"{number:016x}")
            client.read_answer()
        commands = running.commands_by_endpoint()
        assert not commands["s-01"] and not commands["s-02"] and commands["s-03"]
        assert not {entry[2].get("miss") for entry in commands["s-03"]} & {"s-01", "s-02"}


def test_purge_during_a_migration_applies_to_copies_in_the_source_cell(tmp_path):
    with DirectorsFixture(
        tmp_path, make_assignment(TWO_CELLS, migrations=(make_paused_migration(1.0),))
    ) as running:
        director = running.directors[0]
        # The purge is dated before the first request, so that the copy that this request makes in
        # a cache of south is newer than the purge.
        purged_at = round(director.clock()) - 100
        client = running.connect_client()
        client.send(tenant="acme", entity="00000000000000ab")
        assert client.read_answer()[1] == SERVED
        director.event_stream.apply(2, {"ban": {"url": "00000000000000ab", "ts": purged_at}})
        client.send(tenant="acme", entity="00000000000000ab")
        assert client.read_answer()[1] == SERVED
        last = [
            sent[-1]
            for name, sent in running.commands_by_endpoint().items()
            if name in ("s-02", "s-03") and sent
        ][-1]
        assert 0.0 < float(last[2]["within"]) < 5_000.0 and last[2].get("miss") != "s-01"


SCENARIO = """
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
    report = Lab(parse_scenario(SCENARIO)).run()
    assert [deed["wrong"] for deed in report["deeds"]] == ["", ""]
    assert (
        report["orders_run_twice"]
        == report["total"]["answers_twice"]
        == report["total"]["bad"]
        == 0
    )
    assert report["total"]["served"] > 0 and report["orders_run"] > 0
    assert report["nodes"]["s-4"]["asked"] > 0


@pytest.mark.parametrize(
    ("change", "expected"),
    [
        (("caches = s-1 s-2 s-3 s-4", ""), "[fleet] caches"),
        (("what = kill", "what = melt"), "[deed d1] what"),
        (("node = s-3", "node = s-9"), "[deed d1] node"),
        (("rate = 40", "rate = x"), "[load acme] rate"),
        (("directors = 2", "directors = 99"), "[lab] directors"),
        (("[fleet]", "[fleet]\nspeed = 1"), "[fleet] speed"),
    ],
)
def test_error_in_a_scenario_names_its_key(change, expected):
    with pytest.raises(ConfigError) as raised:
        parse_scenario(SCENARIO.replace(*change, 1))
    assert str(raised.value).startswith(expected)


def test_director_does_not_start_with_an_unusable_assignment(tmp_path):
    (tmp_path / "cells.ini").write_text("[cells]\nenabled = yes\nassignment = none.ini\n")
    with (
        DirectorsFixture(tmp_path, make_assignment(TWO_CELLS)) as running,
        pytest.raises(ConfigError, match=r"none\.ini"),
    ):
        build_director(running.directors[0].config, running.logs[0], str(tmp_path / "cells.ini"))

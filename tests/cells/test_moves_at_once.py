"""Tenants that change cells without a migration: where requests with an effect are placed."""

import itertools
from dataclasses import replace

import pytest
from cells_fixtures import (
    ORDER,
    ORDER_ALL,
    PAGES,
    ControllerFixture,
    Tenant,
    make_assignment,
    make_migration,
)

from mulleinrelay.cells.admission_controller import AdmissionGrant
from mulleinrelay.cells.placement import Placement, checked_home_cells
from mulleinrelay.cells.placement_types import PlacementFailure, PlacementRequest

PROPAGATION = 5_000.0
SKEW = 200.0
HORIZON = 6_000.0
CACHES = ("s-01", "s-02", "s-03", "s-04")
WRITTEN_AT = 100_000.0
SETTLED_AT = WRITTEN_AT + PROPAGATION + SKEW


def assignment(version, home, written_at, cells=("north", "south", "west"), **changes):
    """Return a version in which the tenant acme has this home."""
    return replace(
        make_assignment(cells, (Tenant("acme", home), "shared"), version=version, **changes),
        propagation_time=PROPAGATION,
        clock_skew=SKEW,
        retry_horizon=HORIZON,
        written_at=written_at,
    )


FIRST = assignment(1, "north", -1e6)
MOVED = assignment(2, "south", WRITTEN_AT)


def fixture_with(*versions, now=WRITTEN_AT + 100.0):
    """Return a controller that has read these versions, the last of them now."""
    fixture = ControllerFixture(versions[0])
    fixture.now = now
    for version in versions[1:]:
        fixture.controller.replace_assignment(fixture.now, version)
    return fixture


def admit_order(fixture, key="k", is_retry=False, request_class=ORDER):
    return fixture.admit(request_class=request_class, idempotency_key=key, is_retry=is_retry)


@pytest.mark.parametrize("migration_target", [None, "west"])
def test_retry_whose_cell_was_removed_fails(migration_target):
    # Guards against an order that runs a second time in the tenant's new cell, which cannot know
    # its key (review/7).
    fixture = fixture_with(FIRST)
    assert admit_order(fixture).cell == "north"
    migrations = ()
    if migration_target:
        migrations = (make_migration(1e9, source="south", target=migration_target),)
    cells = ("south", "west")
    removed = assignment(2, "south", WRITTEN_AT, cells, migrations=migrations)
    fixture.controller.replace_assignment(fixture.now, removed)
    for at in (0.0, PROPAGATION + SKEW, HORIZON - 100.0):
        fixture.now = WRITTEN_AT + 100.0 + at
        rejection = admit_order(fixture, is_retry=True)
        assert not isinstance(rejection, AdmissionGrant) and not rejection.is_never_executed
    assert admit_order(fixture, key="k2").cell == "south"  # after every director knows it
    assert fixture.admit(request_class=PAGES).cell == "south"


def test_retry_goes_to_its_cell_although_its_tenant_migrates_between_others():
    fixture = fixture_with(FIRST)
    assert admit_order(fixture).cell == "north"
    migrations = (make_migration(1e9, source="south", target="west"),)
    moved = assignment(2, "south", WRITTEN_AT, migrations=migrations)
    fixture.controller.replace_assignment(fixture.now, moved)
    assert admit_order(fixture, is_retry=True).cell == "north"


def test_first_try_goes_to_the_earlier_cell_until_every_director_knows_the_move():
    # Guards against an order that runs in the new cell, and after a crash of its director a second
    # time at a director that has not read the move (review/8).
    fixture = fixture_with(FIRST, MOVED)
    assert admit_order(fixture, "k1").cell == "north"
    assert admit_order(fixture, "k1", is_retry=True).cell == "north"
    assert admit_order(fixture, "k2", request_class=ORDER_ALL).cell == "south"
    assert fixture.admit(request_class=PAGES).cell == "south"
    fixture.now = SETTLED_AT
    assert admit_order(fixture, "k3").cell == "south"
    assert admit_order(fixture, "k1", is_retry=True).cell == "north"


@pytest.mark.parametrize(
    "versions",
    [
        pytest.param((FIRST, replace(MOVED, cells={"south": MOVED.cells["south"]})), id="removed"),
        pytest.param((MOVED,), id="restarted"),
        pytest.param((FIRST, MOVED, assignment(3, "west", WRITTEN_AT)), id="moved-twice"),
    ],
)
def test_first_try_is_rejected_while_its_cell_at_other_directors_is_not_known(versions):
    fixture = fixture_with(*versions)
    rejection = admit_order(fixture)
    assert not isinstance(rejection, AdmissionGrant) and rejection.is_never_executed
    assert fixture.admit(request_class=PAGES).cell
    fixture.now = SETTLED_AT
    assert admit_order(fixture).cell


def make_placement(version):
    placement = Placement(version, True)
    placement.update_caches(0.0, [(name, name, 1.0) for name in CACHES])
    return placement


def placement_at(now, read_at, restarts_at):
    """Return the placement of a director that reads the move, and restarts, at these times."""
    has_read = read_at <= now
    if restarts_at is not None and restarts_at <= now:
        placement = make_placement(MOVED if read_at <= restarts_at else FIRST)
        has_read = has_read and read_at > restarts_at
    else:
        placement = make_placement(FIRST)
    if has_read:
        placement.replace_assignment(read_at, MOVED, checked_home_cells(MOVED))
    return placement


def test_no_order_runs_in_two_cells_whenever_directors_read_the_move():
    read_times = [WRITTEN_AT + lag for lag in (0.0, 1_000.0, PROPAGATION)]
    directors = list(itertools.product(read_times, (None, WRITTEN_AT + 500.0, WRITTEN_AT + 4e3)))
    times = [WRITTEN_AT + lag for lag in (-200.0, 0.0, 600.0, 4_500.0, 5_100.0, 5_200.0, 6_000.0)]
    pair_count = 0
    for (first, second), first_at in itertools.product(
        itertools.product(directors, directors), times
    ):
        request = PlacementRequest("acme", 7, ORDER, "k", False)
        place = placement_at(first_at, *first).place(first_at, request)
        for later in (1.0, 400.0, HORIZON - 300.0):
            retry_at = first_at + later
            retry = placement_at(retry_at, *second).place(retry_at, replace(request, is_retry=True))
            if isinstance(place, PlacementFailure) or isinstance(retry, PlacementFailure):
                continue
            pair_count += 1
            assert retry.cell == place.cell, (first, second, first_at, later)
    assert pair_count > 100

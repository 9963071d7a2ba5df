"""Rollouts of new limits to a canary cell first, then to other cells in waves."""

from dataclasses import replace

import pytest
from cells_fixtures import Cell, ControllerFixture, Limits, Tenant, make_assignment

from mulleinrelay.cells import edits, rollouts
from mulleinrelay.cells.admission_controller import DirectorCapacity
from mulleinrelay.cells.model import Rollout

THREE_CELLS = (
    Cell("north", caches=("s-01",)),
    Cell("south", caches=("s-02",)),
    Cell("east", caches=("s-03",)),
)
ROLLOUT = Rollout("r1", "north", (("south",), ("east",)), 20_000.0, 5_000.0, Limits(rate=50.0))


def run_rollout(state, until, north, others, now=0.0):
    """Record ten requests per cell every 100 ms, and return the logged phases with their times.

    `north` and `others` are functions that return the success rate and the delay (ms) of requests
    at a given time, in the cell `north` and in the other cells.
    """
    phases = []
    while now < until:
        for cell in ("north", "south", "east"):
            success_rate, delay = (north if cell == "north" else others)(now)
            for index in range(10):
                state.record(now, cell, index < 10 * success_rate, delay)
        if phase := state.advance(now):
            phases.append((now, phase))
        now += 100.0
    return phases


HEALTHY = lambda now: (1.0, 20.0)  # noqa: E731


@pytest.mark.parametrize(
    ("north", "others", "last_phase"),
    [
        (HEALTHY, HEALTHY, "everywhere"),
        (lambda now: (0.8 if now > 21_000 else 1.0, 20.0), HEALTHY, "taken back"),
        (lambda now: (1.0, 80.0 if now > 21_000 else 20.0), HEALTHY, "taken back"),
        (
            lambda now: (0.8 if now > 21_000 else 1.0, 20.0),
            lambda now: (0.8 if now > 21_000 else 1.0, 20.0),
            "halted",
        ),
        # The success rate of the canary is lower than that of the other cells, but it was no better
        # before the rollout.
        (lambda now: (0.8, 20.0), lambda now: (1.0, 20.0), "everywhere"),
        (
            lambda now: (1.0, 80.0 if now > 21_000 else 20.0),
            lambda now: (1.0, 80.0 if now > 21_000 else 20.0),
            "halted",
        ),
        (
            lambda now: (0.8 if 21_000 < now < 30_000 else 1.0, 20.0),
            lambda now: (0.8 if 21_000 < now < 30_000 else 1.0, 20.0),
            "everywhere",
        ),
    ],
)
def test_rollout_proceeds_halts_or_is_rolled_back(north, others, last_phase):
    state = rollouts.RolloutState(ROLLOUT)
    phases = run_rollout(state, 90_000.0, north, others)
    assert phases[0] == (20_000.0, "canary") and phases[-1][1].startswith(last_phase)
    assert state.is_in_force("east") == (last_phase == "everywhere")


def test_rollout_is_in_force_in_cells_it_has_reached():
    fixture = ControllerFixture(
        make_assignment(
            THREE_CELLS,
            (Tenant("acme", "north"), Tenant("beta", "south"), "shared"),
            rollouts=(ROLLOUT,),
        ),
        capacity=DirectorCapacity(1000.0),
    )
    fixture.now = 20_000.0
    assert fixture.count_admitted(90) == 90
    assert fixture.controller.step(fixture.now) == ["release r1 canary, wave 0 of 2"]
    assert (
        fixture.count_admitted(90, tenant_name="acme")
        < 10
        < fixture.count_admitted(20, tenant_name="beta") + 1
    )
    rolled_back = replace(
        fixture.controller.assignment,
        version=2,
        rollouts={"r1": replace(ROLLOUT, is_rolled_back=True)},
    )
    fixture.controller.replace_assignment(fixture.now, rolled_back)
    assert "taken back (by staff)" in fixture.controller.step(fixture.now)[0]
    assert fixture.controller.tenant_states["acme"].limits.rate == 0.0


def test_rollout_of_shuffle_shards_fills_from_the_other_caches():
    cells = (Cell("north", caches=("s-01", "s-02", "s-03")), Cell("south", caches=("s-04",)))
    rollout = replace(ROLLOUT, shuffle_shards=1, limits=Limits(), waves=())
    fixture = ControllerFixture(make_assignment(cells, rollouts=(rollout,)))
    assert len(fixture.admit().pool.caches) == 3
    fixture.now = 20_000.0
    fixture.controller.step(fixture.now)
    pool = fixture.admit().pool
    assert len(pool.caches) == 1 and set(pool.migration_sources) == {"s-01", "s-02", "s-03"}
    adopted = edits.adopt_rollout(fixture.controller.assignment, "r1")
    assert adopted.cells["north"].shuffle_shards == 1 and adopted.cells["south"].shuffle_shards == 0
    fixture.controller.replace_assignment(fixture.now, replace(adopted, version=2))
    assert set(fixture.admit().pool.caches) == set(pool.caches)

"""New limits that reach one cell first, then others wave by wave."""

from dataclasses import replace

import pytest
from cells_fixtures import Cell, ControllerFixture, Limits, Tenant, make_assignment

from mulleinrelay.cells import edits, rollouts
from mulleinrelay.cells.admission_controller import DirectorCapacity
from mulleinrelay.cells.model import Rollout

THREE = (
    Cell("north", caches=("s-01",)),
    Cell("south", caches=("s-02",)),
    Cell("east", caches=("s-03",)),
)
RELEASE = Rollout("r1", "north", (("south",), ("east",)), 20_000.0, 5_000.0, Limits(rate=50.0))


def play(course, until, north, others, now=0.0):
    """So many requests a cell each 100 ms, with the share and delay that `north` and `others` give
    at that time.
    """
    words = []
    while now < until:
        for cell in ("north", "south", "east"):
            share, delay = (north if cell == "north" else others)(now)
            for turn in range(10):
                course.record(now, cell, turn < 10 * share, delay)
        if word := course.advance(now):
            words.append((now, word))
        now += 100.0
    return words


WELL = lambda now: (1.0, 20.0)  # noqa: E731


@pytest.mark.parametrize(
    ("north", "others", "ends"),
    [
        (WELL, WELL, "everywhere"),
        (lambda now: (0.8 if now > 21_000 else 1.0, 20.0), WELL, "taken back"),
        (lambda now: (1.0, 80.0 if now > 21_000 else 20.0), WELL, "taken back"),
        (
            lambda now: (0.8 if now > 21_000 else 1.0, 20.0),
            lambda now: (0.8 if now > 21_000 else 1.0, 20.0),
            "halted",
        ),
        (lambda now: (0.8, 20.0), lambda now: (1.0, 20.0), "everywhere"),  # it was no better before
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
def test_rollout_proceeds_halts_or_is_rolled_back(north, others, ends):
    course = rollouts.RolloutState(RELEASE)
    words = play(course, 90_000.0, north, others)
    assert words[0] == (20_000.0, "canary") and words[-1][1].startswith(ends)
    assert course.is_in_force("east") == (ends == "everywhere")


def test_rollout_is_in_force_in_cells_it_has_reached():
    fixture = ControllerFixture(
        make_assignment(
            THREE, (Tenant("acme", "north"), Tenant("beta", "south"), "shared"), releases=(RELEASE,)
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
    taken_back = replace(
        fixture.controller.assignment,
        version=2,
        rollouts={"r1": replace(RELEASE, is_rolled_back=True)},
    )
    fixture.controller.replace_assignment(fixture.now, taken_back)
    assert "taken back (by staff)" in fixture.controller.step(fixture.now)[0]
    assert fixture.controller.tenant_states["acme"].limits.rate == 0.0


def test_rollout_of_shuffle_shards_fills_from_the_other_caches():
    one = (Cell("north", caches=("s-01", "s-02", "s-03")), Cell("south", caches=("s-04",)))
    release = replace(RELEASE, shuffle_shards=1, limits=Limits(), waves=())
    fixture = ControllerFixture(make_assignment(one, releases=(release,)))
    assert len(fixture.admit().pool.caches) == 3
    fixture.now = 20_000.0
    fixture.controller.step(fixture.now)
    pool = fixture.admit().pool
    assert len(pool.caches) == 1 and set(pool.migration_sources) == {"s-01", "s-02", "s-03"}
    kept = edits.adopt_rollout(fixture.controller.assignment, "r1")
    assert kept.cells["north"].shuffle_shards == 1 and kept.cells["south"].shuffle_shards == 0
    fixture.controller.replace_assignment(fixture.now, replace(kept, version=2))
    assert set(fixture.admit().pool.caches) == set(pool.caches)

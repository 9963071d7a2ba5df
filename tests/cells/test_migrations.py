"""Stages of a migration, and a search for requests that run in two cells during a migration."""

import itertools
from dataclasses import replace

import pytest
from cells_fixtures import (
    ORDER,
    ORDER_ALL,
    PAGES,
    Cell,
    ControllerFixture,
    make_assignment,
    make_migration,
)
from hypothesis import given, settings
from hypothesis import strategies as st

from mulleinrelay.cells import edits, migrations, sticky_routing
from mulleinrelay.cells.hashing import HASH_RANGE, combine_hashes
from mulleinrelay.cells.migrations import MigrationDemand, MigrationStage
from mulleinrelay.cells.placement import Placement
from mulleinrelay.cells.placement_types import PlacementFailure, PlacementRequest

STAGES = [
    (9_999.0, MigrationStage.PLANNED, 0.0),
    (10_500.0, MigrationStage.WARM_UP, 0.025),
    (11_000.0, MigrationStage.SHIFT, 0.05),
    (13_000.0, MigrationStage.SHIFT, 0.525),
    (15_000.0, MigrationStage.DRAIN, 1.0),
    (17_000.0, MigrationStage.DONE, 1.0),
]


@pytest.mark.parametrize(("now", "stage", "fraction"), STAGES)
def test_migration_follows_the_clock(now, stage, fraction):
    assert migrations.stage_at(make_migration(), now) == stage and migrations.migrated_fraction(
        make_migration(), now
    ) == pytest.approx(fraction)


@pytest.mark.parametrize(
    ("change", "now", "stage", "fraction"),
    [
        ({"aborted_at": 13_000.0}, 13_000.0, MigrationStage.ROLLING_BACK, 0.525),
        ({"aborted_at": 13_000.0}, 14_000.0, MigrationStage.ROLLING_BACK, 0.275),
        ({"aborted_at": 13_000.0}, 16_000.0, MigrationStage.ABORTED, 0.0),
        ({"aborted_at": 10_500.0}, 11_000.0, MigrationStage.ABORTED, 0.0),
        ({"aborted_at": 18_000.0}, 19_000.0, MigrationStage.DONE, 0.75),
        ({"paused_at": 13_000.0}, 99_000.0, MigrationStage.SHIFT, 0.525),
        ({"paused_at": 13_000.0, "resumed_at": 20_000.0}, 19_000.0, MigrationStage.SHIFT, 0.525),
        ({"paused_at": 13_000.0, "resumed_at": 20_000.0}, 22_000.0, MigrationStage.DRAIN, 1.0),
        (
            {"paused_at": 13_000.0, "aborted_at": 50_000.0},
            51_000.0,
            MigrationStage.ROLLING_BACK,
            0.275,
        ),
    ],
)
def test_migration_can_be_paused_resumed_and_aborted(change, now, stage, fraction):
    assert migrations.stage_at(make_migration(**change), now) == stage
    if stage != MigrationStage.DONE:
        assert migrations.migrated_fraction(make_migration(**change), now) == pytest.approx(
            fraction
        )


@settings(max_examples=200, deadline=None)
@given(
    st.floats(0, 3_000),
    st.floats(500, 6_000),
    st.floats(0, 3_000),
    st.none() | st.floats(10_000, 20_000),
    st.floats(9_000, 25_000),
    st.integers(0, 2**64 - 1),
)
def test_migrated_fraction_never_jumps(warm, shift, drain, aborted_at, now, key):
    migration = make_migration(
        warm_up_duration=warm,
        shift_duration=shift,
        drain_duration=drain,
        aborted_at=aborted_at or 0.0,
    )
    step = 10.0
    before, after = (
        migrations.migrated_fraction(migration, now),
        migrations.migrated_fraction(migration, now + step),
    )
    steepest = max(1.0 / shift, migration.warm_up_fraction / warm if warm else 0.0) * step
    assert (
        abs(after - before) <= steepest + (migration.warm_up_fraction if not warm else 0.0) + 1e-9
    )
    if not aborted_at:  # without an abort, migrated objects stay migrated
        assert not migrations.is_migrated(migration, key, before) or migrations.is_migrated(
            migration, key, after
        )


@pytest.mark.parametrize(("capacity", "is_sufficient"), [(300.0, True), (130.0, False)])
def test_shift_is_as_long_as_the_receiving_caches_need(capacity, is_sufficient):
    demand = MigrationDemand(
        rate=100.0,
        load=20.0,
        capacity=capacity,
        fill_cost=4.0,
        hit_ratio=0.95,
        object_count=2_000.0,
    )
    duration = migrations.min_shift_duration(demand)
    assert (duration is not None) == is_sufficient
    if is_sufficient:
        migration = make_migration(shift_duration=duration)
        peak = max(point.utilization for point in migrations.project_load(migration, demand))
        assert 0.5 < peak <= migrations.TARGET_UTILIZATION + 0.01
        # If all objects migrated at once, the receiving caches would be overloaded.
        abrupt = make_migration(warm_up_duration=0.0, shift_duration=1.0)
        assert max(point.utilization for point in migrations.project_load(abrupt, demand)) > 1.0


# A client's first attempt and its retry at two directors with different versions and clocks

PROPAGATION, SKEW, HORIZON = 400.0, 100.0, 600.0  # ms
# Five object ids that migrate one after the other: when the migrated fraction reaches a value from
# 0 to 0.1, from 0.2 to 0.3, and so on up to 0.8 to 0.9.
KEYS = [
    next(
        key
        for key in itertools.count(index * 100_000)
        if index / 5.0
        <= combine_hashes(key, migrations.MIGRATION_SALT) / HASH_RANGE
        < index / 5.0 + 0.1
    )
    for index in range(5)
]


def histories():
    """Yield the versions that the operators' commands write in several courses of a migration.

    Each item is the name of the course and a list of (time of the write, assignment).
    """
    base = (
        make_assignment(
            propagation_time=PROPAGATION, clock_skew=SKEW, retry_horizon=HORIZON, written_at=None
        )
        if False
        else replace(
            make_assignment(),
            propagation_time=PROPAGATION,
            clock_skew=SKEW,
            retry_horizon=HORIZON,
            written_at=0.0,
        )
    )
    durations = edits.StageDurations(200.0, 800.0, 200.0)
    started = replace(
        edits.start_migration(base, "m1", ("acme",), "south", 0.0, durations), version=2
    )
    yield "plain", [(0.0, started)]
    for at in (300.0, 800.0, 1_100.0):
        aborted = replace(edits.abort_migration(started, "m1", at), version=3, written_at=at)
        yield f"aborted {at}", [(0.0, started), (at, aborted)]
        paused = replace(edits.pause_migration(started, "m1", at), version=3, written_at=at)
        yield f"paused {at}", [(0.0, started), (at, paused)]
        resumed = replace(
            edits.resume_migration(paused, "m1", at + 900.0), version=4, written_at=at + 900.0
        )
        yield f"resumed {at}", [(0.0, started), (at, paused), (at + 900.0, resumed)]


class SimulatedDirector:
    """A director that reads each version `lag` ms late and whose clock is wrong by `skew` ms.

    The director uses `base` until it reads the first version of `history`. A partitioned director
    never reads more than the first `max_versions` versions.
    """

    def __init__(self, base, history, lag, skew, max_versions):
        self.base, self.history, self.lag, self.skew, self.max_versions = (
            base,
            history[:max_versions],
            lag,
            skew,
            max_versions,
        )
        self.placements = {}

    def place(self, now, key, request_class, is_retry):
        read = [assignment for at, assignment in self.history if at + self.lag <= now]
        version = read[-1] if read else self.base
        placement = self.placements.get(version.version)
        if placement is None:
            placement = self.placements[version.version] = Placement(version, True)
            placement.update_caches(
                0.0, [(name, name, 1.0) for name in ("s-01", "s-02", "s-03", "s-04")]
            )
            placement.uncertain_until = 0.0  # disables the uncertainty after a restart
        return placement.place(
            now + self.skew, PlacementRequest("acme", key, request_class, "r", is_retry)
        )


def search(request_class, make_histories=histories):
    """Return the retries that ran in another cell than their first attempt.

    The numbers of all retries and of the failed retries are returned too. The search covers first
    attempts at any director, also at a partitioned one, and retries at directors that have read
    all versions written at least PROPAGATION ago.
    """
    broken, retry_count, failed_count = [], 0, 0
    base = replace(
        make_assignment(),
        propagation_time=PROPAGATION,
        clock_skew=SKEW,
        retry_horizon=HORIZON,
        written_at=-1e6,
    )
    for name, history in make_histories():
        directors = [
            SimulatedDirector(base, history, lag, skew, max_versions)
            for lag in (0.0, PROPAGATION)
            for skew in (-SKEW / 2, SKEW / 2)
            for max_versions in range(len(history) + 1)
        ]
        for first_director, retry_director in itertools.product(
            directors,
            [director for director in directors if director.max_versions == len(history)],
        ):
            for first_at in range(400, 3_000, 200):
                for key in KEYS:
                    first = first_director.place(float(first_at), key, request_class, False)
                    assert not isinstance(first, PlacementFailure)  # first attempts never fail
                    for later in (1.0, 300.0, HORIZON):
                        retry_count += 1
                        retry = retry_director.place(first_at + later, key, request_class, True)
                        if isinstance(retry, PlacementFailure):
                            migration, failed_count = (
                                history[0][1].migrations["m1"],
                                failed_count + 1,
                            )
                            assert migrations.is_migrated(
                                migration,
                                key,
                                migrations.max_published_fraction(
                                    migration, first_at + later + 2.0 * SKEW
                                ),
                            )
                        elif retry.cell != first.cell:
                            broken.append((name, first_at, later, first.cell, retry.cell))
    return broken, retry_count, failed_count


def test_no_sticky_request_runs_in_two_cells_whatever_versions_directors_use():
    broken, retry_count, failed_count = search(ORDER)
    assert retry_count > 50_000 and not broken
    # Some retries fail; `search` checks that these are only retries for objects that may have
    # migrated.
    assert 0 < failed_count < retry_count


def test_requests_with_keys_known_to_all_endpoints_never_fail():
    assert search(ORDER_ALL)[2] == 0


@pytest.mark.parametrize(
    "bug",
    [
        # The bug: a retry is placed by the current migrated fraction, like a first attempt.
        lambda migration, key, history, now, clock_skew: (
            sticky_routing.MigrationSide.TARGET
            if migrations.is_migrated(migration, key, migrations.migrated_fraction(migration, now))
            else sticky_routing.MigrationSide.SOURCE
        ),
    ],
)
def test_search_finds_an_injected_bug(bug, monkeypatch):
    monkeypatch.setattr("mulleinrelay.cells.placement.choose_side", bug)
    assert search(ORDER, lambda: itertools.islice(histories(), 2))[0]


def test_retry_at_the_same_director_goes_to_the_cell_that_ran_it():
    assignment = replace(make_assignment(migrations=(make_migration(),)), written_at=-1e6)
    fixture = ControllerFixture(assignment)
    fixture.now = 10_100.0
    first = {
        key: fixture.admit(key=key, request_class=ORDER, idempotency_key=f"r{key}").cell
        for key in KEYS
    }
    assert set(first.values()) == {"north"}
    fixture.now = 14_900.0
    assert {
        fixture.admit(key=key, request_class=ORDER, idempotency_key=f"r{key}", is_retry=True).cell
        for key in KEYS
    } == {"north"}
    assert "south" in {
        fixture.admit(key=key, request_class=ORDER, idempotency_key=f"n{key}").cell for key in KEYS
    }
    unknown = fixture.admit(
        key=KEYS[0], request_class=ORDER, idempotency_key="other", is_retry=True
    )
    # The retry fails, because another director may have sent the first attempt to another cell.
    assert not unknown.is_never_executed


@pytest.mark.parametrize(
    ("now", "cell", "is_failover", "can_fill"),
    [
        (9_000.0, "north", False, False),
        (14_999.0, "south", True, True),
        (16_000.0, "south", True, True),
        (17_500.0, "south", False, False),
    ],
)
def test_source_caches_fill_and_fail_over_until_the_migration_is_done(
    now, cell, is_failover, can_fill
):
    fixture = ControllerFixture(make_assignment(migrations=(make_migration(),)))
    fixture.now = now
    pool = fixture.admit(key=KEYS[0]).pool
    source_caches = fixture.controller.placement.caches_by_cell["north"]
    assert fixture.admit(key=KEYS[0]).cell == cell
    assert (set(pool.failover_caches) == set(source_caches)) == is_failover and (
        set(pool.migration_sources) == set(source_caches)
    ) == can_fill


def serve_requests(fixture, count):
    """Admit and complete `count` requests, and yield the cell of each."""
    for key in range(count):
        grant = fixture.admit(key=key)
        fixture.complete(grant)
        yield grant.cell


def serving_cells(fixture, count):
    return set(serve_requests(fixture, count))


def test_lost_target_cell_falls_back_to_the_source_and_recovers_gradually():
    cells = (Cell("north", caches=("s-01", "s-02")), Cell("south", caches=("s-03", "s-04")))
    fixture = ControllerFixture(
        make_assignment(cells, migrations=(make_migration(drain_duration=60_000.0),))
    )
    south_caches = fixture.controller.placement.caches_by_cell["south"]
    fixture.now = 16_000.0
    assert serving_cells(fixture, 200) == {"south"}
    messages = fixture.update_caches(
        [name for name in ("s-01", "s-02", "s-03", "s-04") if name not in south_caches]
    )
    assert "cell south lost" in messages
    fractions = []
    assert serving_cells(fixture, 200) == {"north"}
    fixture.update_caches(["s-01", "s-02", "s-03", "s-04"])
    for _ in range(5):
        fractions.append(sum(cell == "south" for cell in serve_requests(fixture, 300)) / 300)
        fixture.now += 2_500.0
    assert (
        fractions == sorted(fractions)
        and fractions[0] < 0.05
        and 0.3 < fractions[2] < 0.7
        and fractions[-1] == 1.0
    )
    assert max(after - before for before, after in itertools.pairwise(fractions)) < 0.35


def test_retries_are_uncertain_after_a_change_during_a_migration():
    fixture = ControllerFixture(
        replace(make_assignment(migrations=(make_migration(),)), written_at=-1e6)
    )
    fixture.now = 13_000.0
    new_assignment = replace(
        make_assignment(migrations=(make_migration(name="m2", starts_at=12_900.0),)),
        version=2,
        written_at=-1e6,
    )
    messages = fixture.controller.replace_assignment(fixture.now, new_assignment)
    assert any("without a move" in message for message in messages)
    assert not fixture.admit(
        key=KEYS[4], request_class=ORDER, idempotency_key="x", is_retry=True
    ).is_never_executed
    fixture.now += 1.0
    assert fixture.admit(key=KEYS[4], request_class=PAGES).cell == "north"

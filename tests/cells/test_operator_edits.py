"""Edits of migrations in any order.

Each resulting assignment file must be valid, and only a few objects may change cells at a time.
"""

from dataclasses import replace

from cells_fixtures import PAGES, make_assignment
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from mulleinrelay.cells import edits, migrations
from mulleinrelay.cells.formatter import format_assignment
from mulleinrelay.cells.parser import parse_assignment
from mulleinrelay.cells.placement import Placement
from mulleinrelay.cells.placement_types import PlacementRequest

DURATIONS = edits.StageDurations(500.0, 2_000.0, 500.0)
CACHES = [(name, name, 1.0) for name in ("s-01", "s-02", "s-03", "s-04")]
KEYS = range(0, 4_000, 40)


class OperatorMachine(RuleBasedStateMachine):
    """State machine that edits one assignment.

    A single director puts each new version in force immediately. The invariants guard against edits
    that make many objects change cells at the same time, and against objects that migrate faster or
    slower than the clock says.
    """

    @initialize()
    def start_director(self):
        self.now, self.migration_count = 100_000.0, 0
        self.assignment = replace(
            make_assignment(),
            propagation_time=300.0,
            clock_skew=50.0,
            retry_horizon=400.0,
            written_at=0.0,
        )
        self.placement = Placement(self.assignment, True)
        self.placement.update_caches(self.now, CACHES)
        self.cells = self.place_all()
        self.checked_at = self.now

    def place_all(self):
        requests = [PlacementRequest("acme", key, PAGES, "", False) for key in KEYS]
        return [self.placement.place(self.now, request).cell for request in requests]

    def apply_edit(self, edit):
        try:
            new = edit(self.assignment)
        except edits.EditRejectedError:
            return
        if new != self.assignment:
            new = replace(new, version=self.assignment.version + 1, written_at=self.now)
            assert parse_assignment(format_assignment(new)) == new
            self.assignment = new
            self.placement.replace_assignment(
                self.now, new, {name: tenant.cell for name, tenant in new.tenants.items()}
            )

    @rule(cell=st.sampled_from(["north", "south"]))
    def start(self, cell):
        self.migration_count += 1
        name = f"m{self.migration_count}"
        self.apply_edit(
            lambda assignment: edits.start_migration(
                assignment, name, ("acme",), cell, self.now, DURATIONS
            )
        )

    @rule()
    def hold(self):
        self.apply_edit(
            lambda assignment: edits.pause_migration(
                assignment, next(iter(assignment.migrations), "none"), self.now
            )
        )

    @rule()
    def resume(self):
        self.apply_edit(
            lambda assignment: edits.resume_migration(
                assignment, next(iter(assignment.migrations), "none"), self.now
            )
        )

    @rule()
    def abort(self):
        self.apply_edit(
            lambda assignment: edits.abort_migration(
                assignment, next(iter(assignment.migrations), "none"), self.now
            )
        )

    @rule()
    def end(self):
        self.apply_edit(lambda assignment: edits.end_migrations(assignment, self.now)[0])

    @rule(duration=st.sampled_from([10.0, 100.0, 100.0, 400.0, 1_500.0]))
    def advance_time(self, duration):
        self.now += duration

    @invariant()
    def few_objects_change_cells_at_once(self):
        cells, elapsed = self.place_all(), self.now - self.checked_at
        changed = sum(cell != previous for cell, previous in zip(cells, self.cells, strict=True))
        # Expected number of objects that change cells at the speed of the shift. During the
        # warm-up, objects change cells more slowly.
        mean = len(KEYS) * elapsed / DURATIONS.shift
        assert changed <= mean + 4.0 * mean**0.5 + 4.0
        self.cells, self.checked_at = cells, self.now

    @invariant()
    def migrated_objects_follow_the_clock(self):
        for migration in self.assignment.migrations.values():
            expected = migrations.migrated_fraction(migration, self.now)
            fraction = sum(cell == migration.target for cell in self.place_all()) / len(KEYS)
            assert abs(fraction - expected) < 0.2
            if migrations.stage_at(migration, self.now) in (
                migrations.MigrationStage.PLANNED,
                migrations.MigrationStage.ABORTED,
            ):
                assert fraction == 0.0


TestOperatorMachine = OperatorMachine.TestCase
TestOperatorMachine.settings = settings(max_examples=60, stateful_step_count=40, deadline=None)

"""Operators' edits of a migration in any order: files read back, and few objects move at once."""

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

SPANS = edits.StageDurations(500.0, 2_000.0, 500.0)
CACHES = [(name, name, 1.0) for name in ("s-01", "s-02", "s-03", "s-04")]
KEYS = range(0, 4_000, 40)


class OperatorMachine(RuleBasedStateMachine):
    """One file, and one director that reads each version at once and looks up all the time."""

    @initialize()
    def begin(self):
        self.now, self.count = 100_000.0, 0
        self.held = replace(
            make_assignment(),
            propagation_time=300.0,
            clock_skew=50.0,
            retry_horizon=400.0,
            written_at=0.0,
        )
        self.placement = Placement(self.held, True)
        self.placement.update_caches(self.now, CACHES)
        self.cells = self.look()
        self.looked = self.now

    def look(self):
        requests = [PlacementRequest("acme", key, PAGES, "", False) for key in KEYS]
        return [self.placement.place(self.now, request).cell for request in requests]

    def change(self, make):
        try:
            new = make(self.held)
        except edits.EditRejectedError:
            return
        if new != self.held:
            new = replace(new, version=self.held.version + 1, written_at=self.now)
            assert parse_assignment(format_assignment(new)) == new
            self.held = new
            self.placement.replace_assignment(
                self.now, new, {name: one.cell for name, one in new.tenants.items()}
            )

    @rule(cell=st.sampled_from(["north", "south"]))
    def start(self, cell):
        self.count += 1
        name = f"m{self.count}"
        self.change(
            lambda held: edits.start_migration(held, name, ("acme",), cell, self.now, SPANS)
        )

    @rule()
    def hold(self):
        self.change(
            lambda held: edits.pause_migration(held, next(iter(held.migrations), "none"), self.now)
        )

    @rule()
    def resume(self):
        self.change(
            lambda held: edits.resume_migration(held, next(iter(held.migrations), "none"), self.now)
        )

    @rule()
    def abort(self):
        self.change(
            lambda held: edits.abort_migration(held, next(iter(held.migrations), "none"), self.now)
        )

    @rule()
    def end(self):
        self.change(lambda held: edits.end_migrations(held, self.now)[0])

    @rule(span=st.sampled_from([10.0, 100.0, 100.0, 400.0, 1_500.0]))
    def pass_time(self, span):
        self.now += span

    @invariant()
    def few_objects_change_cells_at_once(self):
        cells, span = self.look(), self.now - self.looked
        changed = sum(one != other for one, other in zip(cells, self.cells, strict=True))
        mean = len(KEYS) * span / SPANS.shift  # warm is slower
        assert changed <= mean + 4.0 * mean**0.5 + 4.0
        self.cells, self.looked = cells, self.now

    @invariant()
    def migrated_objects_follow_the_clock(self):
        for held in self.held.migrations.values():
            share = migrations.migrated_fraction(held, self.now)
            found = sum(cell == held.target for cell in self.look()) / len(KEYS)
            assert abs(found - share) < 0.2
            if migrations.stage_at(held, self.now) in (
                migrations.MigrationStage.PLANNED,
                migrations.MigrationStage.ABORTED,
            ):
                assert found == 0.0


TestOperatorMachine = OperatorMachine.TestCase
TestOperatorMachine.settings = settings(max_examples=60, stateful_step_count=40, deadline=None)

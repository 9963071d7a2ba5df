"""Edits of migrations by operators: rejected edits, and the removal of ended migrations."""

from dataclasses import replace

import pytest
from cells_fixtures import make_assignment, make_migration

from mulleinrelay.cells import edits

DURATIONS = edits.StageDurations(1_000.0, 2_000.0, 1_000.0)


@pytest.mark.parametrize(
    ("edit", "reason"),
    [
        (
            lambda assignment: edits.start_migration(
                assignment, "m1", ("acme",), "south", 0.0, DURATIONS
            ),
            "move m1 already exists",
        ),
        (
            lambda assignment: edits.start_migration(
                assignment, "m2", ("acme",), "south", 0.0, DURATIONS
            ),
            "moved by m1",
        ),
        (
            lambda assignment: edits.start_migration(
                assignment, "m2", ("shared", "beta"), "south", 0.0, DURATIONS
            ),
            "one cell",
        ),
        (
            lambda assignment: edits.start_migration(
                assignment, "m2", ("beta",), "south", 0.0, DURATIONS
            ),
            "already in cell south",
        ),
        (
            lambda assignment: edits.start_migration(
                assignment, "m2", ("nobody",), "south", 0.0, DURATIONS
            ),
            "tenant nobody does not exist",
        ),
        (lambda assignment: edits.pause_migration(assignment, "m9", 0.0), "move m9 does not exist"),
        (lambda assignment: edits.resume_migration(assignment, "m1", 0.0), "not held"),
        (lambda assignment: edits.pause_migration(assignment, "m1", 99_000.0), "done"),
        (lambda assignment: edits.abort_migration(assignment, "m1", 99_000.0), "done"),
        (
            lambda assignment: edits.pause_migration(
                edits.pause_migration(assignment, "m1", 10_500.0), "m1", 10_600.0
            ),
            "already held",
        ),
        (
            lambda assignment: edits.abort_migration(
                edits.abort_migration(assignment, "m1", 10_500.0), "m1", 10_600.0
            ),
            "already aborted",
        ),
    ],
)
def test_edit_that_would_break_a_migration_is_rejected(edit, reason):
    with pytest.raises(edits.EditRejectedError, match=reason):
        edit(
            replace(
                make_assignment(migrations=(make_migration(drain_duration=9_000.0),)),
                propagation_time=100.0,
                clock_skew=10.0,
            )
        )


def test_ended_migration_leaves_its_tenants_in_their_last_cell():
    assignment = make_assignment(migrations=(make_migration(),))
    assert edits.end_migrations(assignment, 17_000.0)[1] == []  # a client may still retry
    after, names = edits.end_migrations(assignment, 99_000.0)
    assert names == ["m1"] and after.tenants["acme"].cell == "south" and not after.migrations
    aborted, _ = edits.end_migrations(
        make_assignment(migrations=(make_migration(aborted_at=12_000.0),)), 99_000.0
    )
    assert aborted.tenants["acme"].cell == "north"
    assert edits.abort_migration(assignment, "m1", 1_000.0).migrations == {}  # not started yet

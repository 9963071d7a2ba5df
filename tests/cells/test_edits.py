"""Changes that operators make, and those that are rejected."""

from dataclasses import replace

import pytest
from cells_fixtures import make_assignment, make_migration

from mulleinrelay.cells import edits

SPANS = edits.StageDurations(1_000.0, 2_000.0, 1_000.0)


@pytest.mark.parametrize(
    ("edit", "why"),
    [
        (lambda held: edits.start_migration(held, "m1", ("acme",), "south", 0.0, SPANS), "already"),
        (
            lambda held: edits.start_migration(held, "m2", ("acme",), "south", 0.0, SPANS),
            "moved by m1",
        ),
        (
            lambda held: edits.start_migration(held, "m2", ("shared", "beta"), "south", 0.0, SPANS),
            "one cell",
        ),
        (lambda held: edits.start_migration(held, "m2", ("beta",), "south", 0.0, SPANS), "already"),
        (
            lambda held: edits.start_migration(held, "m2", ("nobody",), "south", 0.0, SPANS),
            "no tenant",
        ),
        (lambda held: edits.pause_migration(held, "m9", 0.0), "no move"),
        (lambda held: edits.resume_migration(held, "m1", 0.0), "not held"),
        (lambda held: edits.pause_migration(held, "m1", 99_000.0), "done"),
        (lambda held: edits.abort_migration(held, "m1", 99_000.0), "done"),
        (
            lambda held: edits.pause_migration(
                edits.pause_migration(held, "m1", 10_500.0), "m1", 10_600.0
            ),
            "already",
        ),
        (
            lambda held: edits.abort_migration(
                edits.abort_migration(held, "m1", 10_500.0), "m1", 10_600.0
            ),
            "already",
        ),
    ],
)
def test_edit_that_would_break_a_migration_is_rejected(edit, why):
    with pytest.raises(edits.EditRejectedError, match=why):
        edit(
            replace(
                make_assignment(moves=(make_migration(drain_duration=9_000.0),)),
                propagation_time=100.0,
                clock_skew=10.0,
            )
        )


def test_ended_migration_leaves_tenants_in_their_last_cell():
    held = make_assignment(moves=(make_migration(),))
    assert edits.end_migrations(held, 17_000.0)[1] == []  # a client may still try again
    after, names = edits.end_migrations(held, 99_000.0)
    assert names == ["m1"] and after.tenants["acme"].cell == "south" and not after.migrations
    back, _ = edits.end_migrations(
        make_assignment(moves=(make_migration(aborted_at=12_000.0),)), 99_000.0
    )
    assert back.tenants["acme"].cell == "north"
    assert edits.abort_migration(held, "m1", 1_000.0).migrations == {}  # nobody has begun

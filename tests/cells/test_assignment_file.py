"""Assignment files: parsing, errors and atomic writes; errors in `cells.ini`."""

import os
from dataclasses import replace

import pytest
from cells_fixtures import Cell, Limits, Tenant, make_assignment, make_migration
from hypothesis import given, settings
from hypothesis import strategies as st

from mulleinrelay.cells import store
from mulleinrelay.cells.config import load_cells_config, parse_cells_config
from mulleinrelay.cells.formatter import format_assignment
from mulleinrelay.cells.model import Rollout
from mulleinrelay.cells.parser import parse_assignment
from mulleinrelay.errors import ConfigError

ASSIGNMENT_SECTION = "[assignment]\nform = 1\nversion = 1\nwritten = 5\ndefault_tenant = acme\n"
MINIMAL = ASSIGNMENT_SECTION + "[cell north]\n[cell south]\n[tenant acme]\n"


@pytest.mark.parametrize(
    ("text", "message"),
    [
        ("", "[assignment]: the section is missing"),
        ("nonsense", "the file: "),
        (ASSIGNMENT_SECTION, "[cell NAME]: at least one cell"),
        (ASSIGNMENT_SECTION + "[cell north]\nweight = 0\n[tenant acme]", "[cell NAME] weight"),
        (MINIMAL.replace("form = 1", "form = 2"), "[assignment] form: this program reads form 1"),
        (
            MINIMAL.replace("version = 1", "version = 1.5"),
            "[assignment] version: expected an integer",
        ),
        (MINIMAL.replace("version = 1", ""), "[assignment] version: the key is missing"),
        (MINIMAL + "rate = -1", "[tenant acme] rate: expected a number of 0 or more"),
        (MINIMAL + "rate = nan", "[tenant acme] rate: expected a number"),
        (MINIMAL + "rate = fast", "[tenant acme] rate: expected a number"),
        (MINIMAL + "speed = 3", "[tenant acme] speed: unknown key; known keys: "),
        (MINIMAL + "cell = east", "[tenant acme] cell: cell 'east' does not exist"),
        (
            MINIMAL + "addresses = 10.0.0.1/8",
            "[tenant acme] addresses: 10.0.0.1/8 has host bits set",
        ),
        (MINIMAL + "groups = 7-300", "[tenant acme] groups: '7-300' is not a group"),
        (MINIMAL + "groups = 9-7", "[tenant acme] groups"),
        (MINIMAL + "[tenant a b]", "[tenant a b]: unknown section; known sections: "),
        (MINIMAL + "[tenant acme]", "the file: "),
        (MINIMAL + "[place x]", "[place x]: unknown section; known sections: "),
        (MINIMAL.replace("default_tenant = acme", ""), "[assignment] default_tenant: required"),
        (
            MINIMAL.replace("= acme", "= gone"),
            "[assignment] default_tenant: tenant 'gone' does not exist",
        ),
        (
            MINIMAL + "[cell east]\nneighbours = west",
            "[cell east] neighbours: cell 'west' does not exist",
        ),
        (
            MINIMAL + "[cell east]\nneighbours = east",
            "[cell east] neighbours: a cell cannot be its own neighbour",
        ),
        (
            MINIMAL + "[cell a]\ncaches = s-1\n[cell b]\ncaches = s-1",
            "[cell b] caches: s-1 already belongs to cell a",
        ),
        (MINIMAL + "[cell a]\ncaches = s-1 s-1", "[cell a] caches: a name occurs twice"),
        (MINIMAL + "[cell a]\nreserve = 1.5", "[cell a] reserve: expected a number from 0 to 1"),
        (
            MINIMAL
            + "[move m]\ntenants = acme\nfrom = north\nto = north\nstarts = 1\nwarm_ms = 1\n"
            "shift_ms = 1\ndrain_ms = 1",
            "[move m] to: 'north' is also the cell in the key from",
        ),
        (
            MINIMAL
            + "[move m]\ntenants = acme\nfrom = north\nto = south\nstarts = 9\nwarm_ms = 1\n"
            "shift_ms = 1\ndrain_ms = 1\naborted_at = 3",
            "[move m] aborted_at: 3 is before the move starts or is held",
        ),
        (
            MINIMAL + "[move m]\ntenants = acme\nfrom = north\nto = south\nstarts = 9",
            "[move m] warm_ms: the key is missing",
        ),
        (
            MINIMAL + "[release r]\ncanary = north\nwaves = south; north\nstarts = 1\nwave_ms = 1",
            "[release r] waves: north is listed twice",
        ),
        (
            MINIMAL.replace("written = 5", "written = 5\nhow = table"),
            "[tenant acme] cell: required if how = table",
        ),
        (
            MINIMAL.replace("written = 5", "written = 5\nhow = luck"),
            "[assignment] how: expected one of rendezvous, table",
        ),
    ],
)
def test_error_names_its_key(text, message):
    with pytest.raises(ConfigError) as raised:
        parse_assignment(text)
    assert str(raised.value).startswith(message)


NAME = st.text("abcz019_.:-", min_size=1, max_size=12)
NUMBER = st.floats(0, 1e6).map(lambda value: round(value, 3))
LIMITS = st.builds(Limits, NUMBER, NUMBER, NUMBER, NUMBER, NUMBER, st.integers(0, 1000))
TENANTS = st.builds(
    Tenant,
    NAME,
    st.sampled_from(["", "north", "south"]),
    NUMBER.map(lambda value: value / 2.0 + 0.5),
    st.sampled_from([(), ("10.0.0.0/8",), ("10.1.0.0/16", "fd00::/8")]),
    st.sampled_from([(), ((3, 3),), ((0, 9), (40, 255))]),
    LIMITS,
)


@settings(max_examples=60, deadline=None)
@given(
    st.lists(TENANTS, max_size=6, unique_by=lambda tenant: tenant.name),
    LIMITS,
    st.integers(0, 10**9),
    NUMBER,
)
def test_parsing_a_formatted_assignment_returns_an_equal_one(tenants, limits, version, written):
    assignment = make_assignment(
        (Cell("north", 2.5, ("s-1",), 1, ("south",), 0.25, 500.0, limits), "south"),
        (*tenants, Tenant("shared", "south")),
        (make_migration(tenants=("shared",), source="south", target="north"),),
        version,
        (Rollout("r1", "north", (("south",),), 5.0, 9.0, limits),),
        limits=limits,
    )
    assignment = replace(assignment, written_at=written)
    assert parse_assignment(format_assignment(assignment)) == assignment


@pytest.mark.parametrize(
    ("text", "message"),
    [
        ("[cells]\nenabled = maybe", "[cells] enabled: expected yes or no"),
        ("[cells]\nenabled = yes", "[cells] assignment"),
        ("[cells]\nread_every_ms = 3", "[cells] read_every_ms: expected a number from 50 to 60000"),
        ("[cells]\ntenant_field = a=b", "[cells] tenant_field"),
        ("[cell]\n", "[cell]: unknown section; known sections: "),
        ("[director]\nopen_most = 1.5", "[director] open_most: expected an integer"),
        ("[director]\nspeed = 1", "[director] speed: unknown key; known keys: "),
    ],
)
def test_error_in_the_cells_file_names_its_key(text, message):
    with pytest.raises(ConfigError) as raised:
        parse_cells_config(text, "/somewhere")
    assert str(raised.value).startswith(message)


def test_example_files_can_be_used():
    config = load_cells_config("deploy/cells.ini")
    assert not config.enabled and store.load_assignment(config.assignment_file).tenants[
        "acme"
    ].groups == (
        (0, 15),
        (40, 40),
    )


def test_change_built_on_an_old_version_is_rejected(tmp_path):
    path = str(tmp_path / "assignment.ini")
    with store.exclusive_writer(path):
        assert store.save_assignment(path, make_assignment(), 1.0, 0).version == 1
        assert store.save_assignment(path, make_assignment(), 2.0, 1).version == 2
        with pytest.raises(
            ConfigError, match="has version 2, but the change was built on version 1"
        ):
            store.save_assignment(path, make_assignment(), 3.0, 1)
        with pytest.raises(ConfigError, match="another command"), store.exclusive_writer(path):
            pass
    assert store.load_assignment(path).version == 2


@pytest.mark.parametrize("step", ["fsync", "replace"])
def test_failed_write_leaves_the_old_file(step, tmp_path, monkeypatch):
    path = str(tmp_path / "assignment.ini")
    store.save_assignment(path, make_assignment(), 1.0, 0)

    def fail(*_):
        raise OSError(28, "No space left on device")

    monkeypatch.setattr(os, step, fail)
    with pytest.raises(ConfigError, match="the old version is kept"):
        store.save_assignment(path, make_assignment(), 2.0, 1)
    monkeypatch.undo()
    assert store.load_assignment(path).version == 1
    # The failed write left its temporary file, which must not prevent the next write.
    assert store.save_assignment(path, make_assignment(), 3.0, 1).version == 2

"""Data that version 0.3 wrote is read to the same values and written again byte for byte.

The program at commit 47a24c8 wrote the data and `expected.json`, which are never edited. The
expectations in this file are never edited either: a rename in the program changes only the adapter
`stored_data.py`.
"""

import json
import shutil
import time
from pathlib import Path

import pytest
import stored_data
from helpers import replace_in_this_thread

DATA = Path(__file__).parent / "data" / "stored-by-0.3"
EXPECTED = json.loads((DATA / "expected.json").read_text(encoding="utf-8"))
ASSIGNMENTS = ["by-management", "moves-and-release", "table"]
DATAGRAMS = [
    "ack",
    "ask",
    "none-heard",
    "page",
    "part",
    "ping",
    "sync",
    "word-of-one-alive",
    "word-of-one-dead",
    "word-of-one-left",
    "word-of-one-suspect",
]
DATASTORES = ["history", "wants-confirmation"]
LEASES = ["ask", "ask-again", "back", "lend", "several"]
CHECKED = ["cells", "fleet", "management"]
INI_FILES = {
    "cells": stored_data.load_cells_file,
    "fleet": stored_data.load_fleet_file,
    "lab-fleet": stored_data.load_fleet_lab_file,
    "lab-flood": stored_data.load_lab_file,
    "management": stored_data.load_management_file,
}
KINDS_ON_THE_WIRE = {
    "ping": 0,
    "ack": 1,
    "ask": 2,
    "none-heard": 3,
    "sync": 4,
    "page": 5,
    "part": 6,
}
STATES_ON_THE_WIRE = {"alive": 0, "suspect": 1, "dead": 2, "left": 3}
FLEET, KEY = "lab", b"key"
COMMANDS = list(EXPECTED["commands"])


def read_text(*path_parts):
    return DATA.joinpath(*path_parts).read_text(encoding="utf-8")


def read_hex(*path_parts):
    return bytes.fromhex(read_text(*path_parts))


def as_json(value):
    """Return a value with tuples replaced by lists, as in `expected.json`."""
    return json.loads(json.dumps(value))


def test_every_stored_file_is_known():
    """Fail if a file is added, lost or renamed."""
    found = {path.relative_to(DATA).as_posix() for path in DATA.rglob("*") if path.is_file()}
    assert found == set(EXPECTED["files"]) | {"README.md", "expected.json"}


# The datastore of management


@pytest.mark.parametrize("name", DATASTORES)
def test_a_datastore_is_read_to_the_same_versions(name):
    assert stored_data.read_datastore(str(DATA / "datastore" / name)) == EXPECTED["datastore"][name]


@pytest.mark.parametrize("name", DATASTORES)
def test_a_datastore_is_written_again_byte_for_byte(name, tmp_path):
    stored_data.rewrite_datastore(str(DATA / "datastore" / name), str(tmp_path))
    stored = (DATA / "datastore" / name / "datastore").read_bytes()
    assert (tmp_path / "datastore").read_bytes() == stored


@pytest.mark.parametrize("name", DATASTORES)
def test_the_yang_model_accepts_stored_trees_unchanged(name):
    trees = [version["tree"] for version in EXPECTED["datastore"][name]["versions"]]
    assert [stored_data.validate_tree(tree) for tree in trees] == trees


@pytest.mark.parametrize("name", DATASTORES)
def test_stored_trees_request_the_same_drains(name):
    versions = EXPECTED["datastore"][name]["versions"]
    found = {
        str(version["version"]): stored_data.drains_by_box(version["tree"]) for version in versions
    }
    assert found == EXPECTED["drains"][name]


def test_a_stored_tree_gives_the_stored_assignment_file():
    """Compare the last version of the history with the file that management wrote for it."""
    tree = EXPECTED["datastore"]["history"]["versions"][-1]["tree"]
    expected = EXPECTED["assignment"]["by-management"]
    text = stored_data.assignment_text(tree, expected["version"], expected["written"])
    assert text == read_text("assignment", "by-management.ini")


# Assignment files


@pytest.mark.parametrize("name", ASSIGNMENTS)
def test_an_assignment_is_read_to_the_same_values(name):
    found = stored_data.parse_assignment(read_text("assignment", f"{name}.ini"))
    assert as_json(found) == EXPECTED["assignment"][name]


@pytest.mark.parametrize("name", ASSIGNMENTS)
def test_an_assignment_is_written_again_byte_for_byte(name):
    text = read_text("assignment", f"{name}.ini")
    assert stored_data.rewrite_assignment(text) == text


# Records, logs and assignments, as commands show them


@pytest.mark.parametrize("command", COMMANDS)
def test_a_command_shows_the_same_for_stored_files(command, tmp_path, monkeypatch):
    """Run the command at the time of the records, with a fleet file that names their folder."""
    expected = EXPECTED["commands"][command]
    replace_in_this_thread(monkeypatch, time, "time", lambda: expected["at"])
    monkeypatch.chdir(DATA)
    fleet_file = tmp_path / "fleet.ini"
    fleet_file.write_text(f"[fleet]\nrecords = {DATA / 'fleet-records'}\n", encoding="utf-8")
    arguments = [
        str(fleet_file) if argument == "FLEET.ini" else argument
        for argument in expected["arguments"]
    ]
    code, output = stored_data.run_command(*arguments)
    lines = [json.loads(line) for line in output.splitlines()]
    assert (code, lines) == (expected["code"], expected["lines"])


# Datagrams


@pytest.mark.parametrize("name", DATAGRAMS)
def test_a_datagram_is_read_to_the_same_fields(name):
    found = stored_data.decode_datagram(FLEET, KEY, read_hex("datagrams", f"{name}.hex"))
    assert found == EXPECTED["datagrams"][name]


@pytest.mark.parametrize("name", DATAGRAMS)
def test_a_datagram_is_written_again_byte_for_byte(name):
    data = read_hex("datagrams", f"{name}.hex")
    assert stored_data.reencode_datagram(FLEET, KEY, data) == data


@pytest.mark.parametrize(("name", "number"), KINDS_ON_THE_WIRE.items(), ids=str)
def test_a_kind_keeps_its_number_on_the_wire(name, number):
    assert stored_data.kind_number(name) == number
    assert (
        stored_data.decode_datagram(FLEET, KEY, read_hex("datagrams", f"{name}.hex"))[2] == number
    )


@pytest.mark.parametrize(("name", "number"), STATES_ON_THE_WIRE.items(), ids=str)
def test_a_state_keeps_its_number_on_the_wire(name, number):
    assert stored_data.state_number(name) == number
    data = read_hex("datagrams", f"word-of-one-{name}.hex")
    updates = stored_data.decode_datagram(FLEET, KEY, data)[6]
    assert number in [update[-1] for update in updates]


@pytest.mark.parametrize("name", LEASES)
def test_lease_messages_are_read_to_the_same_fields(name):
    found = stored_data.decode_leases(read_hex("leases", f"{name}.hex"))
    assert found == EXPECTED["leases"][name]


@pytest.mark.parametrize("name", LEASES)
def test_lease_messages_are_written_again_byte_for_byte(name):
    data = read_hex("leases", f"{name}.hex")
    assert stored_data.reencode_leases(data) == data


# INI files


@pytest.mark.parametrize("name", INI_FILES)
def test_an_ini_file_is_read_to_the_same_values(name):
    found = INI_FILES[name](str(DATA / "deploy" / f"{name}.ini"))
    assert as_json(found) == EXPECTED["ini files"][name]


def test_the_example_assignment_is_read_to_the_same_values():
    found = stored_data.parse_assignment(read_text("deploy", "cells-assignment.ini"))
    assert as_json(found) == EXPECTED["assignment"]["deploy"]


@pytest.mark.parametrize("name", CHECKED)
def test_check_accepts_an_ini_file(name, tmp_path, monkeypatch):
    shutil.copytree(DATA / "deploy", tmp_path, dirs_exist_ok=True)
    monkeypatch.chdir(tmp_path)
    expected = EXPECTED["check"][name]
    assert list(stored_data.run_command("check", f"--{name}", f"{name}.ini")) == expected

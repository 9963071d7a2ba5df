"""What the program wrote at 0.3 is read to the same values, and is written again byte for byte.

The data and `expected.json` were made by the program at commit 47a24c8 and are never edited, nor is
this file: renames in the program edit the adapter `stored_data.py` alone."""

import json
import shutil
import time
from pathlib import Path

import pytest
import stored_data

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
    "cells": stored_data.cells_file,
    "fleet": stored_data.fleet_file,
    "lab-fleet": stored_data.fleet_lab_file,
    "lab-flood": stored_data.lab_file,
    "management": stored_data.management_file,
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


def text_of(*place):
    return DATA.joinpath(*place).read_text(encoding="utf-8")


def bytes_of(*place):
    return bytes.fromhex(text_of(*place))


def as_json(value):
    """With lists for tuples, as `expected.json` has them."""
    return json.loads(json.dumps(value))


def test_every_stored_file_is_looked_at():
    """A file that is added, lost or renamed shows."""
    found = {path.relative_to(DATA).as_posix() for path in DATA.rglob("*") if path.is_file()}
    assert found == set(EXPECTED["files"]) | {"README.md", "expected.json"}


# The datastore of management


@pytest.mark.parametrize("name", DATASTORES)
def test_a_datastore_is_read_to_the_same_versions(name):
    assert stored_data.datastore(str(DATA / "datastore" / name)) == EXPECTED["datastore"][name]


@pytest.mark.parametrize("name", DATASTORES)
def test_a_datastore_is_written_again_byte_for_byte(name, tmp_path):
    stored_data.datastore_written(str(DATA / "datastore" / name), str(tmp_path))
    stored = (DATA / "datastore" / name / "datastore").read_bytes()
    assert (tmp_path / "datastore").read_bytes() == stored


@pytest.mark.parametrize("name", DATASTORES)
def test_the_model_lets_stored_trees_pass_unchanged(name):
    trees = [one["tree"] for one in EXPECTED["datastore"][name]["versions"]]
    assert [stored_data.accepted(tree) for tree in trees] == trees


@pytest.mark.parametrize("name", DATASTORES)
def test_stored_trees_ask_for_the_same_drains(name):
    versions = EXPECTED["datastore"][name]["versions"]
    found = {str(one["version"]): stored_data.drains(one["tree"]) for one in versions}
    assert found == EXPECTED["drains"][name]


def test_a_stored_tree_stands_for_the_stored_assignment_file():
    """The last version of the history and the file that management wrote with it."""
    tree = EXPECTED["datastore"]["history"]["versions"][-1]["tree"]
    held = EXPECTED["assignment"]["by-management"]
    made = stored_data.assignment_of(tree, held["version"], held["written"])
    assert made == text_of("assignment", "by-management.ini")


# Assignment files


@pytest.mark.parametrize("name", ASSIGNMENTS)
def test_an_assignment_is_read_to_the_same_values(name):
    held = stored_data.assignment(text_of("assignment", f"{name}.ini"))
    assert as_json(held) == EXPECTED["assignment"][name]


@pytest.mark.parametrize("name", ASSIGNMENTS)
def test_an_assignment_is_written_again_byte_for_byte(name):
    text = text_of("assignment", f"{name}.ini")
    assert stored_data.assignment_written(text) == text


# Records, logs and assignments, by the commands that tell of them


@pytest.mark.parametrize("words", COMMANDS)
def test_a_command_tells_the_same_of_stored_files(words, tmp_path, monkeypatch):
    """The time of day is that of the records; the fleet's own file names the stored records."""
    held = EXPECTED["commands"][words]
    monkeypatch.setattr(time, "time", lambda: held["at"])
    monkeypatch.chdir(DATA)
    own = tmp_path / "fleet.ini"
    own.write_text(f"[fleet]\nrecords = {DATA / 'fleet-records'}\n", encoding="utf-8")
    arguments = [str(own) if word == "FLEET.ini" else word for word in held["arguments"]]
    code, told = stored_data.command(*arguments)
    lines = [json.loads(line) for line in told.splitlines()]
    assert (code, lines) == (held["code"], held["lines"])


# Datagrams


@pytest.mark.parametrize("name", DATAGRAMS)
def test_a_datagram_is_read_to_the_same_fields(name):
    found = stored_data.datagram(FLEET, KEY, bytes_of("datagrams", f"{name}.hex"))
    assert found == EXPECTED["datagrams"][name]


@pytest.mark.parametrize("name", DATAGRAMS)
def test_a_datagram_is_written_again_byte_for_byte(name):
    data = bytes_of("datagrams", f"{name}.hex")
    assert stored_data.datagram_written(FLEET, KEY, data) == data


@pytest.mark.parametrize(("name", "number"), KINDS_ON_THE_WIRE.items(), ids=str)
def test_a_kind_keeps_its_number_on_the_wire(name, number):
    assert stored_data.kind_number(name) == number
    assert stored_data.datagram(FLEET, KEY, bytes_of("datagrams", f"{name}.hex"))[2] == number


@pytest.mark.parametrize(("name", "number"), STATES_ON_THE_WIRE.items(), ids=str)
def test_a_state_keeps_its_number_on_the_wire(name, number):
    assert stored_data.state_number(name) == number
    data = bytes_of("datagrams", f"word-of-one-{name}.hex")
    words = stored_data.datagram(FLEET, KEY, data)[6]
    assert number in [word[-1] for word in words]


@pytest.mark.parametrize("name", LEASES)
def test_words_on_leases_are_read_to_the_same_fields(name):
    found = stored_data.leases(bytes_of("leases", f"{name}.hex"))
    assert found == EXPECTED["leases"][name]


@pytest.mark.parametrize("name", LEASES)
def test_words_on_leases_are_written_again_byte_for_byte(name):
    data = bytes_of("leases", f"{name}.hex")
    assert stored_data.leases_written(data) == data


# INI files


@pytest.mark.parametrize("name", INI_FILES)
def test_an_ini_file_is_read_to_the_same_values(name):
    found = INI_FILES[name](str(DATA / "deploy" / f"{name}.ini"))
    assert as_json(found) == EXPECTED["ini files"][name]


def test_the_example_of_an_assignment_is_read_to_the_same_values():
    held = stored_data.assignment(text_of("deploy", "cells-assignment.ini"))
    assert as_json(held) == EXPECTED["assignment"]["deploy"]


@pytest.mark.parametrize("name", CHECKED)
def test_check_passes_an_ini_file(name, tmp_path, monkeypatch):
    shutil.copytree(DATA / "deploy", tmp_path, dirs_exist_ok=True)
    monkeypatch.chdir(tmp_path)
    held = EXPECTED["check"][name]
    assert list(stored_data.command("check", f"--{name}", f"{name}.ini")) == held

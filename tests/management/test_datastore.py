"""Versions, confirmations, history, and the file they last in."""

import os
import signal
import subprocess
import sys
import time
import zlib

import pytest
from hypothesis import given
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from mulleinrelay.management.datastore import (
    MAX_VERSIONS,
    CommitRequest,
    Datastore,
    DatastoreState,
    PendingConfirmation,
    Version,
)
from mulleinrelay.management.datastore_file import (
    DatastoreFile,
    DatastoreFileError,
    decode_state,
    encode_state,
)
from mulleinrelay.management.errors import CommitRejectedError


class Spy:
    """A part that holds what it was given, and refuses or fails as told."""

    def __init__(self, name, prepare=None, commit=None):
        self.name, self.held, self.refuses, self.fails = name, {}, prepare, commit

    def prepare(self, old, new):
        if self.refuses:
            raise CommitRejectedError(f"{self.name} won't")
        return new

    def persisted_version(self, ready):
        return 0

    def commit(self, ready):
        if self.fails:
            raise ValueError(f"{self.name} broke")
        before, self.held = self.held, ready

        def undo():
            self.held = before

        return undo


def store(parts=(), keep=None, check=None):
    def accepted(tree):
        if tree.get("bad"):
            raise CommitRejectedError("bad is no good")
        return tree

    return Datastore(check or accepted, list(parts), keep or (lambda held: None))


def fail(held):
    raise CommitRejectedError("disk full", "failed")


@pytest.mark.parametrize(
    "parts, keep, tree, code",
    [
        ((Spy("one"), Spy("two", prepare=True)), None, {"a": 1}, "invalid"),
        ((Spy("one"), Spy("two", commit=True)), None, {"a": 1}, "failed"),
        ((Spy("one"), Spy("two")), fail, {"a": 1}, "failed"),
        ((Spy("one"),), None, {"bad": 1}, "invalid"),
    ],
)
def test_what_is_refused_anywhere_is_done_nowhere(parts, keep, tree, code):
    held = store(parts, keep)
    before = held.state
    with pytest.raises(CommitRejectedError) as why:
        held.commit(1.0, CommitRequest(tree, "me", "why"))
    assert (
        why.value.code == code and held.state is before and all(part.held == {} for part in parts)
    )


def test_the_second_of_two_writers_is_told():
    held = store()
    held.commit(1.0, CommitRequest({"a": 1}, "one", "", built_on=0))
    with pytest.raises(CommitRejectedError, match="built on version 0, but version 1") as why:
        held.commit(2.0, CommitRequest({"a": 2}, "two", "", built_on=0))
    assert why.value.code == "stale" and held.running.tree == {"a": 1}


@pytest.mark.parametrize(
    "deed, tree, number",
    [
        (lambda held: held.roll_back_expired(60_000.0), {"a": 1}, 3),
        (lambda held: held.roll_back_expired(50_000.0), {"a": 2}, 2),
        (lambda held: (held.confirm("c"), held.roll_back_expired(99_000.0)), {"a": 2}, 2),
        (lambda held: held.cancel(5.0, "c", "me"), {"a": 1}, 3),
    ],
)
def test_a_change_that_wants_a_confirmation(deed, tree, number):
    held, part = store([Spy("one")]), None
    part = held.participants[0]
    held.commit(1.0, CommitRequest({"a": 1}, "me", ""))
    held.commit(2.0, CommitRequest({"a": 2}, "me", "", confirm=("c", 59_000.0)))
    with pytest.raises(CommitRejectedError, match="still wants"):
        held.commit(3.0, CommitRequest({"a": 3}, "me", "", confirm=("d", 1_000.0)))
    with pytest.raises(CommitRejectedError, match="no change d"):
        held.confirm("d")
    deed(held)
    assert (held.running.tree, held.running.number, part.held) == (tree, number, tree)


def test_a_change_on_top_of_an_unconfirmed_one_goes_back_with_it():
    held = store()
    held.commit(1.0, CommitRequest({"a": 1}, "me", ""))
    held.commit(2.0, CommitRequest({"a": 2}, "me", "", confirm=("c", 1_000.0)))
    held.commit(3.0, CommitRequest({"a": 2, "b": 1}, "other", ""))
    assert held.roll_back_expired(5_000.0).tree == {"a": 1}


def test_history_is_bounded_and_leads_back():
    held = store()
    for number in range(80):
        held.commit(float(number), CommitRequest({"a": number}, "me", ""))
    assert len(held.state.versions) == MAX_VERSIONS
    with pytest.raises(CommitRejectedError, match="there is no version 3; kept are 31 to 80"):
        held.rollback(99.0, 3, "me")
    assert held.rollback(99.0, 40, "me").tree == {"a": 39} and held.running.number == 81


class StoreMachine(RuleBasedStateMachine):
    """Whatever comes, the part holds what is running, and what is kept reads back to it."""

    def __init__(self):
        super().__init__()
        self.part, self.kept, self.now = Spy("one"), b"", 0.0
        self.store = store([self.part], self.keep)

    def keep(self, held):
        self.kept = encode_state(held)

    @rule(
        value=st.integers(0, 3),
        confirm=st.booleans(),
        stale=st.booleans(),
        refuses=st.booleans(),
        fails=st.booleans(),
        bad=st.booleans(),
    )
    def commit(self, value, confirm, stale, refuses, fails, bad):
        self.part.refuses, self.part.fails = refuses, fails
        tree = {"a": value} | ({"bad": 1} if bad else {})
        try:
            self.store.commit(
                self.now,
                CommitRequest(
                    tree, "me", "", 0 if stale else None, ("c", 100.0) if confirm else None
                ),
            )
        except CommitRejectedError:
            pass
        self.part.refuses = self.part.fails = False

    @rule(name=st.sampled_from("cd"))
    def confirm(self, name):
        try:
            self.store.confirm(name)
        except CommitRejectedError:
            pass

    @rule(span=st.sampled_from([1.0, 60.0, 500.0]))
    def pass_time(self, span):
        self.now += span
        self.store.roll_back_expired(self.now)

    @rule()
    def restart(self):
        if self.kept:
            fresh = store([self.part], self.keep)
            fresh.state = decode_state(self.kept)
            self.store = fresh

    @invariant()
    def the_part_holds_what_runs(self):
        assert self.part.held == self.store.running.tree
        assert not self.kept or decode_state(self.kept) == self.store.state


TestStoreMachine = StoreMachine.TestCase

HELD = DatastoreState(
    [Version(1, {"a": 1}, 1.0, "me", "x"), Version(2, {"b": [1, "ü"]}, 2.0, "", "")],
    PendingConfirmation("c", 9.0, {"a": 1}),
)


def test_what_is_kept_reads_back(tmp_path):
    keeper = DatastoreFile(str(tmp_path / "state"))
    assert keeper.load() is None
    keeper.save(HELD)
    assert keeper.load() == HELD


@given(st.integers(0, 2000), st.integers(0, 255), st.integers(0, 3))
def test_a_damaged_file_is_told_and_never_read(place, byte, how):
    data = encode_state(HELD)
    place %= len(data)
    damaged = {
        0: data[:place],
        1: data[:place] + bytes([byte]) + data[place + 1 :],
        2: data + bytes([byte]),
        3: data[place:],
    }[how]
    if damaged == data:
        return
    with pytest.raises(DatastoreFileError):
        found = decode_state(damaged)
        raise (
            DatastoreFileError("the same after all")
            if found == HELD
            else AssertionError("read another")
        )


@pytest.mark.parametrize(
    "data, why",
    [
        (b"mulleinrelay-datastore 9 0 00000000\n", "use a newer one"),
        (b"", "no datastore"),
        (b"x y\n{}", "no datastore"),
        (b"mulleinrelay-datastore 1 2 %08x\n{}" % zlib.crc32(b"{}"), "something else"),
    ],
)
def test_what_is_no_datastore_is_refused_in_words(data, why, tmp_path):
    (tmp_path / "datastore").write_bytes(data)
    with pytest.raises(DatastoreFileError, match=why):
        DatastoreFile(str(tmp_path)).load()


def test_a_folder_that_cannot_be_written_refuses_the_change(tmp_path):
    (tmp_path / "state").write_text("a file")
    with pytest.raises(CommitRejectedError, match="nothing was changed"):
        DatastoreFile(str(tmp_path / "state")).save(HELD)


WRITER = """
import sys
from mulleinrelay.management.datastore import DatastoreState, Version
from mulleinrelay.management.errors import CommitRejectedError
from mulleinrelay.management.datastore_file import DatastoreFile
keeper, number = DatastoreFile(sys.argv[1]), 0
print("on", flush=True)
while True:
    number += 1
    keeper.save(DatastoreState([Version(number, {"a": [number] * 20_000}, 1.0, "", "")]))
"""


def test_killed_at_any_point_the_old_or_the_new_one_stands(tmp_path):
    here = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
    for turn in range(8):
        program = subprocess.Popen(
            [sys.executable, "-c", WRITER, str(tmp_path)], cwd=here, stdout=subprocess.PIPE
        )
        program.stdout.readline()
        time.sleep(0.005 + 0.011 * turn)
        program.send_signal(signal.SIGKILL)
        program.wait()
        program.stdout.close()
        held = DatastoreFile(str(tmp_path)).load()
        if held is not None:
            version = held.versions[0]
            assert version.tree == {"a": [version.number] * 20_000}

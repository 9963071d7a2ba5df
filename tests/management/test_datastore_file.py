"""The datastore file: format, damaged files, kills during writes."""

import os
import signal
import subprocess
import sys
import time
import zlib

import pytest
from hypothesis import given
from hypothesis import strategies as st

from mulleinrelay.management.datastore import DatastoreState, PendingConfirmation, Version
from mulleinrelay.management.datastore_file import (
    DatastoreFile,
    DatastoreFileError,
    decode_state,
    encode_state,
)
from mulleinrelay.management.errors import CommitRejectedError

STATE = DatastoreState(
    [Version(1, {"a": 1}, 1.0, "me", "x"), Version(2, {"b": [1, "ü"]}, 2.0, "", "")],
    PendingConfirmation("c", 9.0, {"a": 1}),
)


def test_saved_state_is_loaded_unchanged(tmp_path):
    file = DatastoreFile(str(tmp_path / "state"))
    assert file.load() is None
    file.save(STATE)
    assert file.load() == STATE


@given(st.integers(0, 2000), st.integers(0, 255), st.integers(0, 3))
def test_damaged_file_is_rejected_unless_it_decodes_to_the_same_state(position, byte, damage):
    data = encode_state(STATE)
    position %= len(data)
    damaged = {
        0: data[:position],
        1: data[:position] + bytes([byte]) + data[position + 1 :],
        2: data + bytes([byte]),
        3: data[position:],
    }[damage]
    if damaged == data:
        return
    try:
        decoded = decode_state(damaged)
    except DatastoreFileError:
        return
    assert decoded == STATE


@pytest.mark.parametrize(
    ("data", "reason"),
    [
        (b"mulleinrelay-datastore 9 0 00000000\n", "use a newer version of the program"),
        (b"", "is not a datastore of this program"),
        (b"x y\n{}", "is not a datastore of this program"),
        (
            b"mulleinrelay-datastore 1 2 %08x\n{}" % zlib.crc32(b"{}"),
            "its content is not a datastore",
        ),
    ],
    ids=["newer format", "empty", "another file", "another content"],
)
def test_unusable_file_is_rejected_with_its_reason(data, reason, tmp_path):
    (tmp_path / "datastore").write_bytes(data)
    with pytest.raises(DatastoreFileError, match=reason):
        DatastoreFile(str(tmp_path)).load()


def test_commit_is_rejected_if_the_folder_cannot_be_written(tmp_path):
    (tmp_path / "state").write_text("a file")
    with pytest.raises(CommitRejectedError, match="nothing was changed"):
        DatastoreFile(str(tmp_path / "state")).save(STATE)


WRITER = """
import sys
from mulleinrelay.management.datastore import DatastoreState, Version
from mulleinrelay.management.datastore_file import DatastoreFile
file, number = DatastoreFile(sys.argv[1]), 0
print("on", flush=True)
while True:
    number += 1
    file.save(DatastoreState([Version(number, {"a": [number] * 20_000}, 1.0, "", "")]))
"""


def test_kill_during_a_write_leaves_the_old_or_the_new_file(tmp_path):
    root = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
    for attempt in range(8):
        writer = subprocess.Popen(
            [sys.executable, "-c", WRITER, str(tmp_path)], cwd=root, stdout=subprocess.PIPE
        )
        writer.stdout.readline()
        time.sleep(0.005 + 0.011 * attempt)
        writer.send_signal(signal.SIGKILL)
        writer.wait()
        writer.stdout.close()
        state = DatastoreFile(str(tmp_path)).load()
        if state is not None:
            version = state.versions[0]
            assert version.tree == {"a": [version.number] * 20_000}

"""Records that directors write for operators' commands, in one folder for several directors.

Each director has two files: `NAME.json` contains its present state, `NAME.jsonl` the log of its
events. `NAME.jsonl.1` is the previous log after a rotation. The caller that writes a state chooses
its keys; the keys of a log line are `at` (Unix seconds) and `text`.
"""

import os
import time
from collections.abc import Iterable
from typing import Any

import orjson

STATE_SUFFIX = ".json"
LOG_SUFFIX = ".jsonl"
ROTATED_SUFFIX = ".1"
TEMPORARY_SUFFIX = ".new"  # of a state file that is being written
MAX_LOG_BYTES = 1_000_000  # above which the log is rotated; one older log is kept

Record = dict[str, Any]
"""A JSON object."""


class DirectorRecords:
    """Writer of the records of one director.

    Not thread-safe: only one thread may write. While writes fail, each write tries again, but only
    the first failure is reported.
    """

    def __init__(self, folder: str, name: str) -> None:
        """Create a writer.

        Args:
            folder: Folder of the records; the first write creates it.
            name: Name of the director.
        """
        self.folder = folder
        self.state_path = os.path.join(folder, f"{name}{STATE_SUFFIX}")
        self.log_path = os.path.join(folder, f"{name}{LOG_SUFFIX}")
        self._last_error = ""

    def write(self, status: Record, log_texts: list[str]) -> str:
        """Replace the state and append to the log; log texts of a failed write are lost.

        Args:
            status: The new state.
            log_texts: Texts of the new log lines, which all get the current time.

        Returns:
            A text to log if writing has started to fail or has recovered, otherwise "".
        """
        was_failing = bool(self._last_error)
        try:
            self._replace_state(status)
            if log_texts:
                self._append(log_texts)
            self._last_error = ""
        except OSError as error:
            self._last_error = error.strerror or "unknown"
        if was_failing == bool(self._last_error):
            return ""
        if self._last_error:
            return f"records cannot be written: {self._last_error}"
        return "records are written again"

    def _replace_state(self, status: Record) -> None:
        os.makedirs(self.folder, exist_ok=True)
        temporary_path = f"{self.state_path}{TEMPORARY_SUFFIX}"
        with open(temporary_path, "wb") as file:
            file.write(orjson.dumps(status))
        os.replace(temporary_path, self.state_path)

    def _append(self, texts: Iterable[str]) -> None:
        try:
            if os.stat(self.log_path).st_size > MAX_LOG_BYTES:
                os.replace(self.log_path, f"{self.log_path}{ROTATED_SUFFIX}")
        except FileNotFoundError:
            pass  # the log does not exist yet
        lines = b"".join(
            orjson.dumps(
                {"at": round(time.time(), 3), "text": text}, option=orjson.OPT_APPEND_NEWLINE
            )
            for text in texts
        )
        with open(self.log_path, "ab") as file:
            file.write(lines)


def read_states(folder: str) -> list[Record]:
    """Return the states of all directors in the folder, sorted by file name.

    Each state gets the key `director` with the director's name. Files that cannot be read or parsed
    are skipped.

    Raises:
        OSError: If the folder cannot be read.
    """
    states = []
    for name in sorted(os.listdir(folder)):
        if not name.endswith(STATE_SUFFIX):
            continue
        try:
            with open(os.path.join(folder, name), "rb") as file:
                state = orjson.loads(file.read())
            states.append({"director": name.removesuffix(STATE_SUFFIX), **state})
        except (OSError, ValueError):
            continue
    return states


def read_logs(folder: str) -> list[Record]:
    """Return the log lines of all directors in the folder, sorted by time.

    Each line gets the key `director` with the director's name. Lines that cannot be parsed are
    skipped.

    Raises:
        OSError: If the folder or a log cannot be read.
    """
    lines: list[Record] = []
    # Reverse order puts a director's rotated log before its current log, so that lines of the same
    # time stay in the order in which they were written.
    for name in sorted(os.listdir(folder), reverse=True):
        director, _, suffix = name.partition(LOG_SUFFIX)
        is_log = director != name and suffix in ("", ROTATED_SUFFIX)
        if is_log:
            lines += _read_log(os.path.join(folder, name), director)
    return sorted(lines, key=lambda line: (line.get("at", 0.0), line["director"]))


def _read_log(path: str, director: str) -> list[Record]:
    lines = []
    with open(path, "rb") as file:
        for line in file:
            try:
                lines.append({"director": director, **orjson.loads(line)})
            except ValueError:  # incomplete line of a director that was killed
                continue
    return lines

"""Records that directors write for operators' commands, in one folder for several directors.

Each director has two files: `NAME.json`, its present state, and `NAME.jsonl`, a log of its changes
(the log before that is `NAME.jsonl.1`). The keys of the state are up to who writes it; those of the
log are `at` (Unix seconds) and `text`.
"""

import os
import time
from collections.abc import Iterable
from typing import Any

import orjson

STATE_SUFFIX = ".json"
LOG_SUFFIX = ".jsonl"
ROTATED_SUFFIX = ".1"
NEW_SUFFIX = ".new"  # of a state that is being written
MAX_LOG_BYTES = 1_000_000  # then a new log is begun, and the one before is kept

Record = dict[str, Any]
"""A JSON object."""


class DirectorRecords:
    """Writes the records of one director.

    Not thread-safe: one thread writes. A folder that cannot be written is reported once, and tried
    again with each write.
    """

    def __init__(self, folder: str, name: str) -> None:
        """Makes a writer.

        Args:
            folder: The folder; it is created with the first write.
            name: Name of the director.
        """
        self.folder = folder
        self.state_path = os.path.join(folder, f"{name}{STATE_SUFFIX}")
        self.log_path = os.path.join(folder, f"{name}{LOG_SUFFIX}")
        self._error = ""

    def write(self, status: Record, log_texts: list[str]) -> str:
        """Replaces the state and appends to the log.

        Args:
            status: The state.
            log_texts: Texts of new lines of the log.

        Returns:
            A text to be logged where writing has begun to fail or to succeed again, else "".
        """
        was_failing = bool(self._error)
        try:
            self._replace_state(status)
            if log_texts:
                self._append(log_texts)
            self._error = ""
        except OSError as error:
            self._error = error.strerror or "unknown"
        if was_failing == bool(self._error):
            return ""
        if self._error:
            return f"records cannot be written: {self._error}"
        return "records are written again"

    def _replace_state(self, status: Record) -> None:
        os.makedirs(self.folder, exist_ok=True)
        new_path = f"{self.state_path}{NEW_SUFFIX}"
        with open(new_path, "wb") as file:
            file.write(orjson.dumps(status))
        os.replace(new_path, self.state_path)

    def _append(self, texts: Iterable[str]) -> None:
        try:
            if os.stat(self.log_path).st_size > MAX_LOG_BYTES:
                os.replace(self.log_path, f"{self.log_path}{ROTATED_SUFFIX}")
        except FileNotFoundError:
            pass  # the first lines
        lines = b"".join(
            orjson.dumps(
                {"at": round(time.time(), 3), "text": text}, option=orjson.OPT_APPEND_NEWLINE
            )
            for text in texts
        )
        with open(self.log_path, "ab") as file:
            file.write(lines)


def read_states(folder: str) -> list[Record]:
    """Returns the states of all directors in the folder, by name, with the key `director` added.

    Files that cannot be read are left out.
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
    """Returns the log lines of all directors in the folder, by time, with the key `director` added.

    Raises:
        OSError: If a log cannot be read.
    """
    lines: list[Record] = []
    for name in sorted(os.listdir(folder), reverse=True):  # of one director the older file first
        director, _, rest = name.partition(LOG_SUFFIX)
        is_log = director != name and rest in ("", ROTATED_SUFFIX)
        if is_log:
            lines += _read_log(os.path.join(folder, name), director)
    return sorted(lines, key=lambda line: (line.get("at", 0.0), line["director"]))


def _read_log(path: str, director: str) -> list[Record]:
    lines = []
    with open(path, "rb") as file:
        for line in file:
            try:
                lines.append({"director": director, **orjson.loads(line)})
            except ValueError:  # cut off in the middle by a kill
                continue
    return lines

"""What a director tells of its cells in a folder of its own: its present state, and its last
changes of mode.
"""

import os
import time

import orjson

MAX_LOG_BYTES = 1_000_000  # then the log begins anew, and the one before is kept


class DirectorRecords:
    """Written by one thread. A folder that can't be written is told of once, and tried again."""

    def __init__(self, folder: str, name: str) -> None:
        self.state, self.log = (
            os.path.join(folder, f"{name}.json"),
            os.path.join(folder, f"{name}.jsonl"),
        )
        self.folder, self.wrong = folder, ""

    def write(self, status: dict, words: list[str]) -> str:
        """Gives a word where writing has just begun to go wrong, or goes well again."""
        before = self.wrong
        try:
            os.makedirs(self.folder, exist_ok=True)
            with open(f"{self.state}.new", "wb") as file:
                file.write(orjson.dumps(status))
            os.replace(f"{self.state}.new", self.state)
            if words:
                self._append(words)
            self.wrong = ""
        except OSError as wrong:
            self.wrong = wrong.strerror or "unknown"
        if bool(before) == bool(self.wrong):
            return ""
        return (
            f"records cannot be written: {self.wrong}"
            if self.wrong
            else "records are written again"
        )

    def _append(self, words: list[str]) -> None:
        try:
            if os.stat(self.log).st_size > MAX_LOG_BYTES:
                os.replace(self.log, f"{self.log}.1")
        except FileNotFoundError:
            pass
        lines = b"".join(
            orjson.dumps(
                {"at": round(time.time(), 3), "text": word}, option=orjson.OPT_APPEND_NEWLINE
            )
            for word in words
        )
        with open(self.log, "ab") as file:
            file.write(lines)


def read_states(folder: str) -> list[dict]:
    """The states of all directors that keep records there, by name; what can't be read is passed
    over.
    """
    found = []
    for name in sorted(os.listdir(folder)):
        if name.endswith(".json"):
            try:
                with open(os.path.join(folder, name), "rb") as file:
                    found.append(
                        {"director": name.removesuffix(".json"), **orjson.loads(file.read())}
                    )
            except (OSError, ValueError):
                continue
    return found


def read_logs(folder: str) -> list[dict]:
    """All lines of all directors there, in order of time."""
    found = []
    for name in sorted(os.listdir(folder), reverse=True):  # of one director the older file first
        director, _, ending = name.partition(".jsonl")
        if ending not in ("", ".1") or director == name:
            continue
        with open(os.path.join(folder, name), "rb") as file:
            for line in file:
                try:
                    found.append({"director": director, **orjson.loads(line)})
                except ValueError:  # cut off in the middle by a kill
                    continue
    return sorted(found, key=lambda line: (line.get("at", 0.0), line["director"]))

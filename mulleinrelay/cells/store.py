"""The assignment file on disk: written whole or not at all, by one writer at a time."""

import fcntl
import os
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import replace

from ..errors import ConfigError
from .formatter import format_assignment
from .model import Assignment
from .parser import parse_assignment


def load_assignment(path: str) -> Assignment:
    """Raises ConfigError, also where the file can't be read."""
    try:
        with open(path, encoding="utf-8") as file:
            return parse_assignment(file.read())
    except OSError as wrong:
        raise ConfigError(f"{path}: {wrong.strerror}") from None
    except UnicodeDecodeError:
        raise ConfigError(f"{path}: not UTF-8") from None


def file_identity(path: str) -> tuple[int, int, int] | None:
    """What changes when the file is replaced; None: there is none."""
    try:
        held = os.stat(path)
    except OSError:
        return None
    return held.st_ino, held.st_mtime_ns, held.st_size


@contextmanager
def exclusive_writer(path: str) -> Iterator[None]:
    """Holds the file's lock, so that two commands don't overwrite one another; raises ConfigError
    where another holds it.
    """
    try:
        lock = os.open(f"{path}.lock", os.O_CREAT | os.O_RDWR | os.O_CLOEXEC, 0o644)
    except OSError as wrong:
        raise ConfigError(f"{path}.lock: {wrong.strerror}") from None
    try:
        try:
            fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            raise ConfigError(f"{path}: another command is writing it") from None
        yield
    finally:
        os.close(lock)


def save_assignment(path: str, charter: Assignment, now: float, built_on: int) -> Assignment:
    """Writes the next version, if the file still holds version `built_on` (0: there is no file
    yet); raises ConfigError. A power cut leaves the old file or the new one. To be called by the
    sole writer.
    """
    held = load_assignment(path).version if os.path.exists(path) else 0
    if held != built_on:
        raise ConfigError(
            f"{path}: holds version {held}, this change was built on {built_on}; do it again"
        )
    new = replace(charter, version=held + 1, written_at=now)
    text = format_assignment(new)
    if parse_assignment(text) != new:
        raise ConfigError(f"{path}: what would be written does not read back; nothing was changed")
    temporary, folder = f"{path}.new", os.path.dirname(os.path.abspath(path))
    try:
        with open(temporary, "w", encoding="utf-8") as file:
            file.write(text)
            file.flush()
            os.fsync(file.fileno())
        os.replace(temporary, path)
        descriptor = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)
    except OSError as wrong:
        raise ConfigError(f"{path}: {wrong.strerror}; the old version stands") from None
    return new

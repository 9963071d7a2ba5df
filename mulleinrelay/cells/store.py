"""The assignment file on disk: written completely or not at all, by one writer at a time."""

import fcntl
import os
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, replace

from ..config.ini import read_text
from ..errors import ConfigError
from .formatter import format_assignment
from .model import Assignment
from .parser import parse_assignment


@dataclass(slots=True, frozen=True)
class FileIdentity:
    """What changes when a file is replaced."""

    inode: int
    modified_ns: int
    size_bytes: int


def load_assignment(path: str) -> Assignment:
    """Reads the assignment file.

    Raises:
        ConfigError: If the file cannot be read or used.
    """
    return parse_assignment(read_text(path))


def file_identity(path: str) -> FileIdentity | None:
    """Returns the identity of a file; None if there is none."""
    try:
        status = os.stat(path)
    except OSError:
        return None
    return FileIdentity(status.st_ino, status.st_mtime_ns, status.st_size)


@contextmanager
def exclusive_writer(path: str) -> Iterator[None]:
    """Keeps other writers out, so that two commands don't overwrite one another's change.

    Raises:
        ConfigError: If another one writes the file, or its lock file cannot be opened.
    """
    try:
        lock_fd = os.open(f"{path}.lock", os.O_CREAT | os.O_RDWR | os.O_CLOEXEC, 0o644)
    except OSError as error:
        raise ConfigError(str(error.strerror), file=f"{path}.lock") from error
    try:
        try:
            fcntl.flock(lock_fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError as error:
            raise ConfigError("another command is writing it", file=path) from error
        yield
    finally:
        os.close(lock_fd)


def save_assignment(path: str, assignment: Assignment, now: float, built_on: int) -> Assignment:
    """Writes the next version; after a power cut the file is the old one or the new one.

    To be called by the exclusive writer.

    Args:
        path: The file.
        assignment: Its content; version and time are set here.
        now: The time that the new version bears.
        built_on: The version that the change was made from; 0: there is no file yet.

    Returns:
        The assignment as it was written.

    Raises:
        ConfigError: If the file has another version by now, or cannot be written.
    """
    version = load_assignment(path).version if os.path.exists(path) else 0
    if version != built_on:
        raise ConfigError(
            f"holds version {version}, this change was built on {built_on}; do it again", file=path
        )
    new = replace(assignment, version=version + 1, written_at=now)
    text = format_assignment(new)
    if parse_assignment(text) != new:
        raise ConfigError(
            "what would be written does not read back; nothing was changed", file=path
        )
    try:
        _replace_file(path, text)
    except OSError as error:
        raise ConfigError(f"{error.strerror}; the old version stands", file=path) from error
    return new


def _replace_file(path: str, text: str) -> None:
    """Writes a file beside this one and renames it, with both on the disk before it returns."""
    temporary_path = f"{path}.new"
    with open(temporary_path, "w", encoding="utf-8") as file:
        file.write(text)
        file.flush()
        os.fsync(file.fileno())
    os.replace(temporary_path, path)
    folder_fd = os.open(os.path.dirname(os.path.abspath(path)), os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(folder_fd)
    finally:
        os.close(folder_fd)

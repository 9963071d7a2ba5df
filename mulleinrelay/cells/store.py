"""Storage of the assignment file: atomic writes, by one writer at a time."""

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
    """Metadata of a file by which a replacement of the file is detected."""

    inode: int
    modified_ns: int
    size_bytes: int


def load_assignment(path: str) -> Assignment:
    """Read and parse the assignment file.

    Raises:
        ConfigError: If the file cannot be read or its content is invalid.
    """
    return parse_assignment(read_text(path))


def file_identity(path: str) -> FileIdentity | None:
    """Return the identity of a file; None if the file does not exist or cannot be accessed."""
    try:
        file_status = os.stat(path)
    except OSError:
        return None
    return FileIdentity(file_status.st_ino, file_status.st_mtime_ns, file_status.st_size)


@contextmanager
def exclusive_writer(path: str) -> Iterator[None]:
    """Hold the write lock of the file, so that two writers don't overwrite each other's changes.

    Raises:
        ConfigError: If another writer holds the lock, or if the lock file cannot be opened.
    """
    try:
        lock_fd = os.open(f"{path}.lock", os.O_CREAT | os.O_RDWR | os.O_CLOEXEC, 0o644)
    except OSError as error:
        raise ConfigError(str(error.strerror), file=f"{path}.lock") from error
    try:
        try:
            fcntl.flock(lock_fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError as error:
            raise ConfigError("another command is writing the file", file=path) from error
        yield
    finally:
        os.close(lock_fd)


def save_assignment(path: str, assignment: Assignment, now: float, built_on: int) -> Assignment:
    """Write the next version of the assignment file.

    The write is atomic: after a power failure, the file has either the old or the new content. The
    caller must hold the lock of `exclusive_writer`.

    Args:
        path: Path of the file.
        assignment: New content; its version and its time are replaced.
        now: Time of the new version, Unix ms.
        built_on: Version that the change is based on; 0 if there was no file yet.

    Returns:
        The assignment that was written.

    Raises:
        ConfigError: If the file now has another version than `built_on`, is invalid or cannot be
            written, or if the new text would not parse to an equal assignment.
    """
    version = load_assignment(path).version if os.path.exists(path) else 0
    if version != built_on:
        raise ConfigError(
            f"has version {version}, but the change was built on version {built_on}; "
            "repeat the change",
            file=path,
        )
    new = replace(assignment, version=version + 1, written_at=now)
    text = format_assignment(new)
    if parse_assignment(text) != new:
        raise ConfigError(
            "the formatted assignment does not parse to an equal one; nothing was changed",
            file=path,
        )
    try:
        _replace_file(path, text)
    except OSError as error:
        raise ConfigError(f"{error.strerror}; the old version is kept", file=path) from error
    return new


def _replace_file(path: str, text: str) -> None:
    """Replace a file atomically by a temporary file that is written and then renamed.

    The content and the rename are flushed to disk before the function returns.

    Raises:
        OSError: If the file cannot be written; unless only the last flush fails, the old content
            is kept.
    """
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

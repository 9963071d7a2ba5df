"""The datastore on disk: one file with a format version, a length and a checksum.

The file is replaced as a whole: if the program is killed at any point of a write, either the old
or the new content stands. Its first line is `mulleinrelay-datastore FORMAT LENGTH CRC32`, the rest
a JSON object whose `trees` are referred to by index, so that trees that several versions share
are stored once.
"""

import os
import zlib
from typing import Any

import orjson

from ..errors import StoreError
from .datastore import DatastoreState, PendingConfirmation, Version
from .errors import CommitRejectedError, ErrorCode
from .tree import Tree

MAGIC = b"mulleinrelay-datastore"
FORMAT_VERSION = 1
MAX_FILE_BYTES = 256_000_000  # a wrong file of any size must not fill the memory


class DatastoreFileError(StoreError):
    """A datastore file that cannot be used; the text says why and what to do."""


def encode_state(state: DatastoreState) -> bytes:
    """Returns the content of the file."""
    table = _TreeTable()
    versions = [
        [
            version.number,
            table.index_of(version.tree),
            version.committed_at,
            version.author,
            version.comment,
            version.participant_versions,
        ]
        for version in state.versions
    ]
    unconfirmed: list[Any] | None = None
    if (pending := state.pending_confirmation) is not None:
        tree_index = table.index_of(pending.rollback_tree)
        unconfirmed = [pending.commit_id, pending.deadline, tree_index]
    content = {"versions": versions, "unconfirmed": unconfirmed, "trees": table.trees}
    body = orjson.dumps(content)
    return b"%s %d %d %08x\n" % (MAGIC, FORMAT_VERSION, len(body), zlib.crc32(body)) + body


class _TreeTable:
    """Distinct trees in the order of their first use."""

    def __init__(self) -> None:
        self.trees: list[Tree] = []
        self._indexes: dict[int, int] = {}  # by id() of the tree

    def index_of(self, tree: Tree) -> int:
        """Returns the tree's index, and adds the tree if it is not in the table yet."""
        if id(tree) not in self._indexes:
            self._indexes[id(tree)] = len(self.trees)
            self.trees.append(tree)
        return self._indexes[id(tree)]


def decode_state(data: bytes) -> DatastoreState:
    """Returns the state that is stored in the content of a file.

    Raises:
        DatastoreFileError: If it is no datastore, damaged, or of a newer format.
    """
    body = _checked_body(data)
    try:
        content = orjson.loads(body)
        trees = content["trees"]
        versions = [
            Version(number, trees[tree_index], committed_at, author, comment, participant_versions)
            for (
                number,
                tree_index,
                committed_at,
                author,
                comment,
                participant_versions,
            ) in content["versions"]
        ]
        pending = None
        if unconfirmed := content["unconfirmed"]:
            pending = PendingConfirmation(
                commit_id=unconfirmed[0],
                deadline=unconfirmed[1],
                rollback_tree=trees[unconfirmed[2]],
            )
    except (ValueError, KeyError, TypeError, IndexError) as error:
        raise DatastoreFileError(f"holds something else than a datastore: {error}") from error
    if not versions:
        raise DatastoreFileError("holds no version")
    return DatastoreState(versions, pending)


def _checked_body(data: bytes) -> bytes:
    """Checks the first line and returns what follows it."""
    header, _, body = data.partition(b"\n")
    fields = header.split(b" ")
    if len(fields) != 4 or fields[0] != MAGIC:
        raise DatastoreFileError("is no datastore of this program")
    try:
        format_version = int(fields[1])
        length = int(fields[2])
        checksum = int(fields[3], 16)
    except ValueError as error:
        raise DatastoreFileError("its head can't be read") from error
    if format_version > FORMAT_VERSION:
        raise DatastoreFileError(
            f"has form {format_version}; this program reads up to {FORMAT_VERSION}: use a newer one"
        )
    if len(body) != length or zlib.crc32(body) != checksum:
        raise DatastoreFileError("is damaged (its checksum differs)")
    return body


class DatastoreFile:
    """The file `datastore` in a folder; without a folder nothing is stored."""

    def __init__(self, folder: str) -> None:
        """Takes the folder, which is made with the first write; empty: nothing is stored."""
        self.path = os.path.join(folder, "datastore") if folder else ""

    def load(self) -> DatastoreState | None:
        """Returns the stored state; None if there is none yet.

        Raises:
            DatastoreFileError: If the file cannot be read or used.
        """
        if not self.path:
            return None
        try:
            if os.path.getsize(self.path) > MAX_FILE_BYTES:
                raise DatastoreFileError(f"{self.path}: over {MAX_FILE_BYTES // 1_000_000} MB")
            with open(self.path, "rb") as file:
                return decode_state(file.read())
        except FileNotFoundError:
            return None
        except OSError as error:
            raise DatastoreFileError(f"{self.path}: {error.strerror}") from error
        except DatastoreFileError as error:
            raise DatastoreFileError(f"{self.path}: {error}") from error

    def save(self, state: DatastoreState) -> None:
        """Replaces the stored state.

        Raises:
            CommitRejectedError: If it cannot be written; what cannot be stored is not committed.
        """
        if not self.path:
            return
        folder = os.path.dirname(self.path)
        try:
            os.makedirs(folder, exist_ok=True)
            with open(f"{self.path}.new", "wb") as file:
                file.write(encode_state(state))
                file.flush()
                os.fsync(file.fileno())
            os.replace(f"{self.path}.new", self.path)
        except OSError as error:
            raise CommitRejectedError(
                f"{self.path}: {error.strerror}; nothing was changed", ErrorCode.FAILED
            ) from error
        _sync_folder(folder)


def _sync_folder(folder: str) -> None:
    """Makes the replacement of the file outlive a power cut, where the file system lets it."""
    try:
        descriptor = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)
    except OSError:
        # The new file stands; only a power cut in the next moments could still undo that
        pass

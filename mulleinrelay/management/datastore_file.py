"""The datastore on disk: one file with a format version, a length and a checksum.

The file is replaced atomically: if the program is killed during a write, the file has either the
old or the new content. Its first line is `mulleinrelay-datastore FORMAT LENGTH CRC32`, where LENGTH
and CRC32 are those of the JSON object that follows. The object's member `trees` lists the
configurations. The other members refer to them by index, so that a tree that several versions share
is stored once.
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
MAX_FILE_BYTES = 256_000_000  # a larger file is not a datastore and could exhaust the memory


class DatastoreFileError(StoreError):
    """Error for a datastore file that cannot be used; the text gives the reason."""


def encode_state(state: DatastoreState) -> bytes:
    """Return the content of the datastore file for a state."""
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
    """The tree objects of a state, each once, in the order of their first use."""

    def __init__(self) -> None:
        self.trees: list[Tree] = []
        self._indexes: dict[int, int] = {}  # indexes in `trees`, by id() of the tree

    def index_of(self, tree: Tree) -> int:
        """Return the index of a tree, after adding the tree if it is not in the table yet."""
        if id(tree) not in self._indexes:
            self._indexes[id(tree)] = len(self.trees)
            self.trees.append(tree)
        return self._indexes[id(tree)]


def decode_state(data: bytes) -> DatastoreState:
    """Return the state that the content of a datastore file represents.

    Raises:
        DatastoreFileError: If the content is not a datastore, is damaged, has a newer format, or
            contains no version.
    """
    body = _extract_body(data)
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
        raise DatastoreFileError(f"its content is not a datastore: {error}") from error
    if not versions:
        raise DatastoreFileError("contains no version")
    return DatastoreState(versions, pending)


def _extract_body(data: bytes) -> bytes:
    """Return the bytes after the first line; check them against the length and checksum in it.

    Raises:
        DatastoreFileError: If the first line is invalid or of a newer format, or the bytes after it
            do not have the length and checksum that the line gives.
    """
    header, _, body = data.partition(b"\n")
    fields = header.split(b" ")
    if len(fields) != 4 or fields[0] != MAGIC:
        raise DatastoreFileError("is not a datastore of this program")
    try:
        format_version = int(fields[1])
        length = int(fields[2])
        checksum = int(fields[3], 16)
    except ValueError as error:
        raise DatastoreFileError("its first line cannot be parsed") from error
    if format_version > FORMAT_VERSION:
        raise DatastoreFileError(
            f"has format {format_version}, but this program reads formats up to {FORMAT_VERSION}: "
            "use a newer version of the program"
        )
    if len(body) != length or zlib.crc32(body) != checksum:
        raise DatastoreFileError("is damaged: its length or checksum does not match")
    return body


class DatastoreFile:
    """The file `datastore` in a folder; without a folder, nothing is stored."""

    def __init__(self, folder: str) -> None:
        """Set the path of the file.

        Args:
            folder: The folder, which is created by the first write; if empty, nothing is stored.
        """
        self.path = os.path.join(folder, "datastore") if folder else ""

    def load(self) -> DatastoreState | None:
        """Return the stored state; None without a folder, or if nothing has been stored yet.

        Raises:
            DatastoreFileError: If the file cannot be read, is too large, or is not a valid
                datastore.
        """
        if not self.path:
            return None
        try:
            if os.path.getsize(self.path) > MAX_FILE_BYTES:
                raise DatastoreFileError(
                    f"{self.path}: is larger than {MAX_FILE_BYTES // 1_000_000} MB"
                )
            with open(self.path, "rb") as file:
                return decode_state(file.read())
        except FileNotFoundError:
            return None
        except OSError as error:
            raise DatastoreFileError(f"{self.path}: {error.strerror}") from error
        except DatastoreFileError as error:
            raise DatastoreFileError(f"{self.path}: {error}") from error

    def save(self, state: DatastoreState) -> None:
        """Replace the stored state; without a folder, do nothing.

        Raises:
            CommitRejectedError: If the file cannot be written, so that the commit must be rejected.
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
    """Flush the folder, if possible, so that a power failure does not undo the replacement."""
    try:
        descriptor = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)
    except OSError:
        # Some file systems cannot flush a folder. The file has been replaced already; only a power
        # failure in the next moments could still undo the replacement.
        pass

"""The datastore on disk: one file with a form, a checksum and a length, replaced whole. Killed at
any point of a write, the old or the new one stands.
"""

import os
import zlib
from typing import Any

import orjson

from .datastore import DatastoreState, RefusedError, Unconfirmed, Version

MAGIC, FORM = b"mulleinrelay-datastore", 1
BYTES_MOST = 256_000_000


class KeepError(RuntimeError):
    """A file that can't be used; the text says why and what to do."""


def encoded(held: DatastoreState) -> bytes:
    """Trees that several versions share stand once."""
    trees: list[Any] = []
    places: dict[int, int] = {}

    def place(tree: Any) -> int:
        if id(tree) not in places:
            places[id(tree)] = len(trees)
            trees.append(tree)
        return places[id(tree)]

    versions = [
        [one.number, place(one.tree), one.at, one.by, one.why, one.marks] for one in held.versions
    ]
    open_ = held.unconfirmed
    unconfirmed = [open_.name, open_.until, place(open_.back_to)] if open_ is not None else None
    body = orjson.dumps({"versions": versions, "unconfirmed": unconfirmed, "trees": trees})
    return b"%s %d %d %08x\n" % (MAGIC, FORM, len(body), zlib.crc32(body)) + body


def decoded(data: bytes) -> DatastoreState:
    """Raises KeepError."""
    head, _, body = data.partition(b"\n")
    words = head.split(b" ")
    if len(words) != 4 or words[0] != MAGIC:
        raise KeepError("is no datastore of this program")
    try:
        form, length, checksum = int(words[1]), int(words[2]), int(words[3], 16)
    except ValueError:
        raise KeepError("its head can't be read") from None
    if form > FORM:
        raise KeepError(f"has form {form}; this program reads up to {FORM}: use a newer one")
    if len(body) != length or zlib.crc32(body) != checksum:
        raise KeepError("is damaged (its checksum differs)")
    try:
        whole = orjson.loads(body)
        trees = whole["trees"]
        versions = [
            Version(number, trees[place], at, by, why, marks)
            for number, place, at, by, why, marks in whole["versions"]
        ]
        open_ = whole["unconfirmed"]
        unconfirmed = Unconfirmed(open_[0], open_[1], trees[open_[2]]) if open_ else None
    except (ValueError, KeyError, TypeError, IndexError) as wrong:
        raise KeepError(f"holds something else than a datastore: {wrong}") from None
    if not versions:
        raise KeepError("holds no version")
    return DatastoreState(versions, unconfirmed)


class DatastoreFile:
    """Writes one folder; without one nothing lasts."""

    def __init__(self, folder: str) -> None:
        self.path = os.path.join(folder, "datastore") if folder else ""

    def load(self) -> DatastoreState | None:
        """None: there is none yet. Raises KeepError."""
        if not self.path:
            return None
        try:
            if os.path.getsize(self.path) > BYTES_MOST:
                raise KeepError(f"{self.path}: over {BYTES_MOST // 1_000_000} MB")
            with open(self.path, "rb") as file:
                return decoded(file.read())
        except FileNotFoundError:
            return None
        except OSError as wrong:
            raise KeepError(f"{self.path}: {wrong.strerror}") from None
        except KeepError as wrong:
            raise KeepError(f"{self.path}: {wrong}") from None

    def save(self, held: DatastoreState) -> None:
        """Raises RefusedError: what can't be kept isn't taken over."""
        if not self.path:
            return
        folder = os.path.dirname(self.path)
        try:
            os.makedirs(folder, exist_ok=True)
            with open(f"{self.path}.new", "wb") as file:
                file.write(encoded(held))
                file.flush()
                os.fsync(file.fileno())
            os.replace(f"{self.path}.new", self.path)
        except OSError as wrong:
            raise RefusedError(
                f"{self.path}: {wrong.strerror}; nothing was changed", "failed"
            ) from None
        try:
            descriptor = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
            try:
                os.fsync(descriptor)
            finally:
                os.close(descriptor)
        except (
            OSError
        ):  # the new file stands; only a power cut in the next moments could still undo that
            pass

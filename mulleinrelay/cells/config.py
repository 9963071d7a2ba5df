"""Our own file beside the platform's: whether cells are on here, and what this director has. Pure
but for `load`.
"""

import os
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from .model import CharterError
from .parser import NAME, Keys, sections


@dataclass(slots=True, frozen=True)
class OwnFile:
    enabled: bool
    assignment: str  # path
    tenant_field: str  # of the clients' map; empty: none
    read_every: float  # ms
    records: str  # folder; empty: none are kept
    open_most: int  # 0: by the memory
    rate: float  # requests a second that this director can bear; 0: not bounded
    come_back_most: float  # ms


def read_own(text: str, folder: str) -> OwnFile:
    """Paths are taken from `folder`. Raises CharterError."""
    found = sections(text)
    for title in found:
        if title not in ("cells", "director"):
            raise CharterError(f"[{title}]: an unknown section; known are cells, director")
    cells, director = (
        Keys("cells", found.get("cells", {})),
        Keys("director", found.get("director", {})),
    )
    enabled = cells.flag("enabled", False)
    assignment, records = cells.text("assignment", ""), cells.text("records", "")
    if enabled and not assignment:
        raise cells.fault("assignment", "a path is wanted where enabled = yes")
    own = OwnFile(
        enabled,
        os.path.join(folder, assignment) if assignment else "",
        cells.text("tenant_field", "tenant"),
        cells.number("read_every_ms", 1_000.0, 60_000.0, 50.0),
        os.path.join(folder, records) if records else "",
        director.whole("open_most", 0, 1_000_000),
        director.number("rate", 0.0),
        director.number("come_back_most_ms", 5_000.0, 600_000.0),
    )
    if own.tenant_field and not NAME.fullmatch(own.tenant_field):
        raise cells.fault("tenant_field", f"{own.tenant_field!r} is no name")
    cells.done()
    director.done()
    return own


def loaded(path: str, read: Callable[[str, str], Any]) -> Any:
    """A file of ours, by what reads its text and takes its folder. Raises CharterError, also where
    it can't be read.
    """
    try:
        with open(path, encoding="utf-8") as file:
            return read(file.read(), os.path.dirname(os.path.abspath(path)))
    except OSError as wrong:
        raise CharterError(f"{path}: {wrong.strerror}") from None
    except UnicodeDecodeError:
        raise CharterError(f"{path}: not UTF-8") from None


def load_own(path: str) -> OwnFile:
    """Raises CharterError."""
    return loaded(path, read_own)

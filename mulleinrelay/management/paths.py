"""gNMI paths: parsing, formatting and matching. No I/O.

A path is a tuple of elements. Each element has a name and, if it selects an entry of a list, the
keys of the entry. In reads, the name `*` matches any single element, the name `...` matches any
number of elements, and the key value `*` matches any value (see "wildcards in paths" in the gNMI
path conventions).
"""

from collections.abc import Sequence
from typing import NamedTuple

from .errors import PathError

MAX_PATH_LENGTH = 4096  # characters of a path as text; real paths have a few hundred at most
MAX_PATH_ELEMENTS = 32  # the path of the deepest node in the model has five
ANY_ELEMENT = "*"
ANY_ELEMENTS = "..."
ANY_VALUE = "*"

Keys = tuple[tuple[str, str], ...]  # (name, value) of each key of a list entry, sorted by name


class PathElement(NamedTuple):
    """One element of a path: the name of a node and, for an entry of a list, its keys."""

    name: str
    keys: Keys = ()

    @property
    def has_wildcard(self) -> bool:
        """Whether the name or the value of a key is a wildcard.

        An element that names a list without keys matches all of its entries, but is no wildcard.
        """
        return self.name in (ANY_ELEMENT, ANY_ELEMENTS) or any(
            value == ANY_VALUE for _, value in self.keys
        )


Path = tuple[PathElement, ...]


def parse_path(text: str) -> Path:
    r"""Parse a path such as `/fleet/drains/drain[box=s-1]/scope`.

    A `]` or `\` in the value of a key must be escaped with a `\`.

    Raises:
        PathError: If the text is not a valid path or is too long.
    """
    if len(text) > MAX_PATH_LENGTH:
        raise PathError(f"path has {len(text)} characters; at most {MAX_PATH_LENGTH} are allowed")
    text = text.strip()
    elements: list[PathElement] = []
    position = 0
    while position < len(text):
        if text[position] == "/":
            position += 1
            continue
        element, position = _parse_element(text, position)
        elements.append(element)
    return normalize_path(tuple(elements))


def _parse_element(text: str, position: int) -> tuple[PathElement, int]:
    """Parse the element at a position; return the element and the position after it."""
    end = position
    while end < len(text) and text[end] not in "/[":
        end += 1
    name = text[position:end]
    keys: list[tuple[str, str]] = []
    while end < len(text) and text[end] == "[":
        key, end = _parse_key(text, end)
        keys.append(key)
    if end < len(text) and text[end] != "/":
        raise PathError(f"{text!r}: expected a slash at position {end}")
    if not name:
        raise PathError(f"{text!r}: expected a name before the keys")
    return PathElement(name, tuple(sorted(keys))), end


def _parse_key(text: str, position: int) -> tuple[tuple[str, str], int]:
    """Parse the `[name=value]` at a position; return the pair and the position after it."""
    equals = text.find("=", position)
    if equals < 0:
        raise PathError(f"{text!r}: a key must have the form [name=value]")
    name = text[position + 1 : equals].strip()
    value = ""
    position = equals + 1
    while position < len(text) and text[position] != "]":
        if text[position] == "\\" and position + 1 < len(text):
            position += 1
        value += text[position]
        position += 1
    if position >= len(text) or not name:
        raise PathError(f"{text!r}: a key must have the form [name=value]")
    return (name, value), position + 1


def normalize_path(path: Path) -> Path:
    """Return the path without module names in front of its elements' names.

    Raises:
        PathError: If the path has too many elements, or an element has no valid name.
    """
    if len(path) > MAX_PATH_ELEMENTS:
        raise PathError(f"path has {len(path)} elements; at most {MAX_PATH_ELEMENTS} are allowed")
    normalized = tuple(PathElement(name.rpartition(":")[2], keys) for name, keys in path)
    if not all(name and name == name.strip() for name, _ in normalized):
        raise PathError(f"{format_path(path)}: an element has no name, or spaces around its name")
    return normalized


def format_path(path: Path) -> str:
    """Return the path as text, in the form that `parse_path` reads."""
    text = ""
    for name, keys in path:
        text += "/" + name
        for key, value in keys:
            escaped = value.replace("\\", "\\\\").replace("]", "\\]")
            text += f"[{key}={escaped}]"
    return text or "/"


def covers(pattern: Path, path: Path) -> bool:
    """Return whether a path is at or below a node that a pattern matches.

    The pattern may have wildcards; the path has none.
    """
    if not pattern:
        return True
    element = pattern[0]
    if element.name == ANY_ELEMENTS:
        return any(covers(pattern[1:], path[start:]) for start in range(len(path) + 1))
    if not path or element.name not in (ANY_ELEMENT, path[0].name):
        return False
    return keys_match(path[0].keys, element.keys) and covers(pattern[1:], path[1:])


def keys_match(keys: Keys, pattern: Keys) -> bool:
    """Return whether an entry's keys match a pattern, which need not name all of the keys."""
    if not pattern:
        return True
    values = dict(keys)
    return all(value == ANY_VALUE or values.get(key) == value for key, value in pattern)


def fleet_children(paths: Sequence[Path]) -> set[str] | None:
    """Return the names of the children of /fleet that the paths lead to.

    None if a path may lead to several of them, or does not begin with /fleet.
    """
    children = set()
    for path in paths:
        if len(path) < 2 or path[0].name != "fleet":
            return None
        if path[1].name in (ANY_ELEMENT, ANY_ELEMENTS):
            return None
        children.add(path[1].name)
    return children

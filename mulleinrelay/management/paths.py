"""gNMI paths: parsing, formatting and matching. Pure.

A path is a tuple of elements, each a name with the keys of a list entry. In reads, the name `*`
matches any one element, `...` any number of elements, and the key value `*` any value (gNMI path
conventions, wildcards in paths).
"""

from collections.abc import Sequence
from typing import NamedTuple

from .errors import PathError

MAX_PATH_LENGTH = 4096  # characters of a path as text; a deep path with keys has a few hundred
MAX_PATH_ELEMENTS = 32  # the model's deepest node has five
ANY_ELEMENT = "*"
ANY_ELEMENTS = "..."
ANY_VALUE = "*"

Keys = tuple[tuple[str, str], ...]  # (name, value) of each key of a list entry, sorted by name


class PathElement(NamedTuple):
    """One step of a path: a node's name and, for an entry of a list, its keys."""

    name: str
    keys: Keys = ()

    @property
    def has_wildcard(self) -> bool:
        """Whether the element can match more than one node."""
        return self.name in (ANY_ELEMENT, ANY_ELEMENTS) or any(
            value == ANY_VALUE for _, value in self.keys
        )


Path = tuple[PathElement, ...]


def parse_path(text: str) -> Path:
    r"""Parses a path such as `/fleet/drains/drain[box=s-1]/scope`.

    A `]` or `\` in the value of a key is written with a `\` before it.

    Raises:
        PathError: If the text is no path or too long.
    """
    if len(text) > MAX_PATH_LENGTH:
        raise PathError(f"a path of {len(text)} characters; {MAX_PATH_LENGTH} at most")
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
    """Parses the element at a position; returns it and the position after it."""
    end = position
    while end < len(text) and text[end] not in "/[":
        end += 1
    name = text[position:end]
    keys: list[tuple[str, str]] = []
    while end < len(text) and text[end] == "[":
        key, end = _parse_key(text, end)
        keys.append(key)
    if end < len(text) and text[end] != "/":
        raise PathError(f"{text!r}: a slash is wanted at {end}")
    if not name:
        raise PathError(f"{text!r}: a name is wanted before the keys")
    return PathElement(name, tuple(sorted(keys))), end


def _parse_key(text: str, position: int) -> tuple[tuple[str, str], int]:
    """Parses the `[name=value]` at a position; returns the pair and the position after it."""
    equals = text.find("=", position)
    if equals < 0:
        raise PathError(f"{text!r}: a key is written [name=value]")
    name = text[position + 1 : equals].strip()
    value = ""
    position = equals + 1
    while position < len(text) and text[position] != "]":
        if text[position] == "\\" and position + 1 < len(text):
            position += 1
        value += text[position]
        position += 1
    if position >= len(text) or not name:
        raise PathError(f"{text!r}: a key is written [name=value]")
    return (name, value), position + 1


def normalize_path(path: Path) -> Path:
    """Returns the path without the module's name before its elements.

    Raises:
        PathError: If the path has too many elements, or one without a usable name.
    """
    if len(path) > MAX_PATH_ELEMENTS:
        raise PathError(f"a path of {len(path)} steps; {MAX_PATH_ELEMENTS} at most")
    normalized = tuple(PathElement(name.rpartition(":")[2], keys) for name, keys in path)
    if not all(name and name == name.strip() for name, _ in normalized):
        raise PathError(f"{format_path(path)}: a step has no name, or spaces round it")
    return normalized


def format_path(path: Path) -> str:
    """Returns the path as text, in the form that `parse_path` reads."""
    text = ""
    for name, keys in path:
        text += "/" + name
        for key, value in keys:
            escaped = value.replace("\\", "\\\\").replace("]", "\\]")
            text += f"[{key}={escaped}]"
    return text or "/"


def covers(pattern: Path, path: Path) -> bool:
    """Returns whether a path lies at or below a pattern that may have wildcards."""
    if not pattern:
        return True
    element = pattern[0]
    if element.name == ANY_ELEMENTS:
        return any(covers(pattern[1:], path[start:]) for start in range(len(path) + 1))
    if not path or element.name not in (ANY_ELEMENT, path[0].name):
        return False
    return has_keys(path[0].keys, element.keys) and covers(pattern[1:], path[1:])


def has_keys(keys: Keys, pattern: Keys) -> bool:
    """Returns whether an entry with these keys matches those of a pattern, which may be fewer."""
    if not pattern:
        return True
    values = dict(keys)
    return all(value == ANY_VALUE or values.get(key) == value for key, value in pattern)


def fleet_children(paths: Sequence[Path]) -> set[str] | None:
    """Returns which children of /fleet the paths lead to; None if it may be any of them."""
    children = set()
    for path in paths:
        if len(path) < 2 or path[0].name != "fleet":
            return None
        if path[1].name in (ANY_ELEMENT, ANY_ELEMENTS):
            return None
        children.add(path[1].name)
    return children

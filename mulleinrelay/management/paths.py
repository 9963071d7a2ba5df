"""Paths into a tree of JSON values as gNMI words them: parse, match, read, replace, update, delete.
Pure.

A tree is what RFC 7951 makes of the model: nested dicts, lists of dicts for YANG lists. A path is a
tuple of steps (name, keys); `*` matches any name or key, `...` any number of steps, both in reads
only.
"""

from collections.abc import Iterator
from copy import deepcopy
from typing import Any

LENGTH_MOST, STEPS_MOST, DEPTH_MOST = 4096, 32, 32
Step = tuple[str, tuple[tuple[str, str], ...]]
Path = tuple[Step, ...]


class PathError(Exception):
    """A path that can't be read or leads nowhere; `code` is a word of the caller's protocol."""

    def __init__(self, text: str, code: str = "invalid") -> None:
        super().__init__(text)
        self.code = code


def parse(text: str) -> Path:
    """`/fleet/drains/drain[box=s-1]/scope`; `]` and `\\` in a key are written with `\\` before
    them.
    """
    if len(text) > LENGTH_MOST:
        raise PathError(f"a path of {len(text)} characters; {LENGTH_MOST} at most")
    steps, place = [], 0
    text = text.strip()
    while place < len(text):
        if text[place] == "/":
            place += 1
            continue
        end = place
        while end < len(text) and text[end] not in "/[":
            end += 1
        name, keys = text[place:end], []
        place = end
        while place < len(text) and text[place] == "[":
            key, place = _key(text, place)
            keys.append(key)
        if place < len(text) and text[place] != "/":
            raise PathError(f"{text!r}: a slash is wanted at {place}")
        if not name:
            raise PathError(f"{text!r}: a name is wanted before the keys")
        steps.append((name, tuple(sorted(keys))))
    return checked(tuple(steps))


def _key(text: str, place: int) -> tuple[tuple[str, str], int]:
    equals = text.find("=", place)
    if equals < 0:
        raise PathError(f"{text!r}: a key is written [name=value]")
    name, value, place = text[place + 1 : equals].strip(), "", equals + 1
    while place < len(text) and text[place] != "]":
        if text[place] == "\\" and place + 1 < len(text):
            place += 1
        value += text[place]
        place += 1
    if place >= len(text) or not name:
        raise PathError(f"{text!r}: a key is written [name=value]")
    return (name, value), place + 1


def checked(path: Path) -> Path:
    """Drops the module's name before a step, and bounds the length."""
    if len(path) > STEPS_MOST:
        raise PathError(f"a path of {len(path)} steps; {STEPS_MOST} at most")
    bared = tuple((name.rpartition(":")[2], keys) for name, keys in path)
    if not all(name and name == name.strip() for name, _ in bared):
        raise PathError(f"{worded(path)}: a step has no name, or spaces round it")
    return bared


def worded(path: Path) -> str:
    text = ""
    for name, keys in path:
        text += "/" + name
        for key, value in keys:
            escaped = value.replace("\\", "\\\\").replace("]", "\\]")
            text += f"[{key}={escaped}]"
    return text or "/"


class Shape:
    """What a tree may hold, as the model tells: names below a node, keys of lists, what
    is state.
    """

    def __init__(
        self,
        children: "dict[str, Shape] | None" = None,
        keys: tuple[str, ...] = (),
        is_list: bool = False,
        is_leaf_list: bool = False,
        state: bool = False,
        text: bool = False,
    ) -> None:
        self.children, self.keys = children or {}, keys
        self.is_list, self.is_leaf_list, self.state = is_list, is_leaf_list, state
        self.text = text  # its numbers are strings in JSON (decimal64, 64-bit integers)

    def at(self, path: Path, write: bool = False) -> "Shape":
        """The shape at the end of a path without wildcards; raises PathError. `write`: no state,
        keys whole.
        """
        shape = self
        for place, (name, keys) in enumerate(path):
            here = worded(path[: place + 1])
            if name not in shape.children:
                raise PathError(f"{here}: the model has no such node", "not found")
            shape = shape.children[name]
            if write and shape.state:
                raise PathError(f"{here}: is state and can't be set")
            given = tuple(key for key, _ in keys)
            if given and set(given) != set(shape.keys):
                raise PathError(f"{here}: the keys are {', '.join(shape.keys) or 'none'}")
            if shape.is_list and not given and (write and place < len(path) - 1):
                raise PathError(f"{here}: the key {', '.join(shape.keys)} is wanted")
        return shape


def read(shape: Shape, tree: Any, path: Path) -> Iterator[tuple[Path, Any]]:
    """All nodes that a path with wildcards matches, each with its own path; nothing where it
    matches none. A list without keys gives each of its entries.
    """
    yield from _read(shape, tree, path, ())


def _read(
    shape: Shape, tree: Any, path: Path, before: Path, loose: bool = False
) -> Iterator[tuple[Path, Any]]:
    """`loose`: a wildcard stands before, below which not every node has what is named."""
    if not path:
        yield before, tree
        return
    if not isinstance(tree, dict):
        return
    (name, keys), rest = path[0], path[1:]
    if name == "...":
        yield from _read(shape, tree, rest, before, True)
        for child in tree:
            yield from _below(shape, tree, child, (), path, before, True)
        return
    if name != "*":
        if name not in shape.children:
            if loose:
                return
            raise PathError(
                f"{worded((*before, path[0]))}: the model has no such node", "not found"
            )
        if unknown := {key for key, _ in keys} - set(shape.children[name].keys):
            raise PathError(f"{worded((*before, path[0]))}: no key {sorted(unknown)[0]}")
    for child in tree if name == "*" else (name,) if name in tree else ():
        yield from _below(shape, tree, child, keys, rest, before, loose or name == "*")


def _below(
    shape: Shape,
    tree: dict[str, Any],
    child: str,
    keys: tuple[tuple[str, str], ...],
    rest: Path,
    before: Path,
    loose: bool,
) -> Iterator[tuple[Path, Any]]:
    inner = shape.children.get(child)
    if inner is None:
        return
    if not inner.is_list:
        if not keys:
            yield from _read(inner, tree[child], rest, (*before, (child, ())), loose)
        return
    for entry in tree[child]:
        named = tuple((key, str(entry[key])) for key in inner.keys)
        if all(value == "*" or dict(named).get(key) == value for key, value in keys):
            yield from _read(inner, entry, rest, (*before, (child, named)), loose)


def entry_of(
    entries: list[dict[str, Any]], keys: tuple[tuple[str, str], ...]
) -> dict[str, Any] | None:
    return next(
        (one for one in entries if all(str(one.get(key)) == value for key, value in keys)), None
    )


def delete(shape: Shape, tree: dict[str, Any], path: Path) -> None:
    """Takes out what is there; what isn't there is no fault, as gNMI has it."""
    if not path:
        tree.clear()
        return
    shape.at(path, write=True)
    spot = tree
    for name, keys in path[:-1]:
        held = spot.get(name)
        held = entry_of(held, keys) if isinstance(held, list) else held
        if held is None:
            return
        spot = held
    name, keys = path[-1]
    if keys and name in spot:
        spot[name] = [one for one in spot[name] if one is not entry_of(spot[name], keys)]
        if spot[name]:
            return
    spot.pop(name, None)


def replace(shape: Shape, tree: dict[str, Any], path: Path, value: Any) -> None:
    delete(shape, tree, path)
    update(shape, tree, path, value)


def update(shape: Shape, tree: dict[str, Any], path: Path, value: Any) -> None:
    """Merges a value in: of containers and list entries what it names, leaves and
    leaf-lists whole.
    """
    inner = shape.at(path, write=True)
    value = bare(value)
    spot, here = tree, shape
    for place, (name, keys) in enumerate(path):
        here, last = here.children[name], place == len(path) - 1
        if here.is_list and keys:
            entries = spot.setdefault(name, [])
            found = entry_of(entries, keys)
            if found is None:
                found = dict(keys)
                entries.append(found)
            spot = found
        elif last and not (here.children and not here.is_list):
            spot[name] = _merged(here, spot.get(name), value, path)
            return
        else:
            spot = spot.setdefault(name, {})
    if not isinstance(value, dict):
        raise PathError(f"{worded(path)}: an object is wanted")
    for key, given in path[-1][1] if path else ():
        if str(value.get(key, given)) != given:
            raise PathError(f"{worded(path)}: the value has another {key}")
    _merge(inner, spot, value, path)


def _merge(shape: Shape, spot: dict[str, Any], value: dict[str, Any], path: Path) -> None:
    for name, held in value.items():
        here = (*path, (name, ()))
        inner = shape.children.get(name)
        if inner is None:
            raise PathError(f"{worded(here)}: the model has no such node", "not found")
        if inner.state:
            raise PathError(f"{worded(here)}: is state and can't be set")
        spot[name] = _merged(inner, spot.get(name), held, here)


def _merged(shape: Shape, old: Any, value: Any, path: Path) -> Any:
    if len(path) > DEPTH_MOST:
        raise PathError(f"{worded(path)}: nested too deep")
    if shape.is_list:
        if not isinstance(value, list) or not all(isinstance(one, dict) for one in value):
            raise PathError(f"{worded(path)}: a list of objects is wanted")
        entries = old if old is not None else []
        for one in value:
            keys = tuple((key, str(one[key])) for key in shape.keys if key in one)
            if len(keys) != len(shape.keys):
                raise PathError(f"{worded(path)}: each entry wants its key {', '.join(shape.keys)}")
            found = entry_of(entries, keys)
            if found is None:
                found = {}
                entries.append(found)
            _merge(shape, found, one, (*path[:-1], (path[-1][0], keys)))
        return entries
    if shape.children:
        if not isinstance(value, dict):
            raise PathError(f"{worded(path)}: an object is wanted")
        spot = old if old is not None else {}
        _merge(shape, spot, value, path)
        return spot
    if isinstance(value, dict) or (isinstance(value, list) and not shape.is_leaf_list):
        raise PathError(f"{worded(path)}: a single value is wanted")
    if shape.text and isinstance(value, int | float) and not isinstance(value, bool):
        return repr(value)  # what staff write as a number
    return value


def bare(value: Any, depth: int = 0) -> Any:
    """A copy without modules' names before names."""
    if depth > DEPTH_MOST:
        raise PathError("a value that is nested too deep")
    if isinstance(value, dict):
        return {str(name).rpartition(":")[2]: bare(held, depth + 1) for name, held in value.items()}
    if isinstance(value, list):
        return [bare(held, depth + 1) for held in value]
    return value


def leaves(shape: Shape, tree: Any, before: Path = ()) -> Iterator[tuple[Path, Any]]:
    """Every leaf and leaf-list below, with its path."""
    if shape.is_list and isinstance(tree, list):
        for entry in tree:
            named = tuple((key, str(entry[key])) for key in shape.keys)
            yield from leaves(Shape(shape.children), entry, (*before[:-1], (before[-1][0], named)))
    elif shape.children and isinstance(tree, dict):
        for name, held in tree.items():
            if name in shape.children:
                yield from leaves(shape.children[name], held, (*before, (name, ())))
    else:
        yield before, tree


def differences(shape: Shape, old: Any, new: Any) -> tuple[list[tuple[Path, Any]], list[Path]]:
    """(leaves that are new or otherwise, paths of leaves that have gone)."""
    changed: list[tuple[Path, Any]] = []
    gone: list[Path] = []
    _differ(shape, old, new, (), changed, gone)
    return changed, gone


def _differ(
    shape: Shape, old: Any, new: Any, here: Path, changed: list[tuple[Path, Any]], gone: list[Path]
) -> None:
    if old is new:  # most of a large tree is the same object from one time to the next
        return
    if shape.is_list and isinstance(old or [], list) and isinstance(new or [], list):
        before, after = (_by_keys(shape, held) for held in (old, new))
        entry = Shape(shape.children)
        for keys in {**before, **after}:
            _differ(
                entry,
                before.get(keys),
                after.get(keys),
                (*here[:-1], (here[-1][0], keys)),
                changed,
                gone,
            )
    elif shape.children:
        before, after = old or {}, new or {}
        for name in {**before, **after}:
            if name in shape.children:
                _differ(
                    shape.children[name],
                    before.get(name),
                    after.get(name),
                    (*here, (name, ())),
                    changed,
                    gone,
                )
    elif new is None:
        gone.append(here)
    elif old != new:
        changed.append((here, new))


def _by_keys(
    shape: Shape, entries: list[dict[str, Any]] | None
) -> dict[tuple[tuple[str, str], ...], Any]:
    return {tuple((key, str(one[key])) for key in shape.keys): one for one in entries or ()}


def copied(tree: Any) -> Any:
    return deepcopy(tree)

"""Trees of configuration and state: reading by path, editing, comparing. No I/O.

A tree is the JSON encoding of YANG data (RFC 7951) without module names: containers are dicts, YANG
lists are lists of dicts, and leaf-lists are lists of values.
"""

from collections.abc import Iterator
from dataclasses import dataclass, field
from functools import cache
from typing import Any, NamedTuple

from .errors import ErrorCode, PathError
from .paths import ANY_ELEMENT, ANY_ELEMENTS, Keys, Path, PathElement, format_path, keys_match
from .schema import SchemaNode

MAX_TREE_DEPTH = 32  # levels; the model has five, and much deeper input exhausts the stack

Tree = dict[str, Any]  # a JSON object whose members are defined by the YANG model


class PathValue(NamedTuple):
    """A node of a tree and its path."""

    path: Path
    value: Any


@dataclass(slots=True)
class TreeDifference:
    """The leaves and leaf-lists that differ between an old and a new tree.

    Attributes:
        changed: Leaves and leaf-lists that are new or have another value, with their new values.
        deleted: Paths of the leaves and leaf-lists that only the old tree has.
    """

    changed: list[PathValue] = field(default_factory=list)
    deleted: list[Path] = field(default_factory=list)


# Reading


class _Pattern(NamedTuple):
    """The elements of a path that have not been matched yet.

    Below a wildcard, the schema may lack a child that the path names, as the wildcard also matches
    other kinds of nodes. Elsewhere a child that the schema lacks is an error.
    """

    remaining: Path
    is_below_wildcard: bool = False


def read(schema: SchemaNode, tree: Any, path: Path) -> Iterator[PathValue]:
    """Yield all nodes that a path matches, each with its own path.

    A path to a list without keys matches each entry of the list. It is not an error if the path
    matches nothing in the tree.

    Raises:
        PathError: If the model lacks a node that the path names, or a list has no key of the given
            name. Below a wildcard, a node that the model lacks is no error. The part of the path
            below a node that the tree lacks is not checked.
    """
    yield from _read(schema, tree, _Pattern(path), ())


def _read(schema: SchemaNode, tree: Any, pattern: _Pattern, parent: Path) -> Iterator[PathValue]:
    """Yield the nodes that the pattern matches in `tree`, whose path is `parent`."""
    if not pattern.remaining:
        yield PathValue(parent, tree)
        return
    if not isinstance(tree, dict):
        return
    element = pattern.remaining[0]
    tail = pattern.remaining[1:]
    if element.name == ANY_ELEMENTS:
        yield from _read(schema, tree, _Pattern(tail, True), parent)
        unchanged_pattern = _Pattern(pattern.remaining, True)
        for child in tree:
            yield from _read_child(schema, tree, PathElement(child), unchanged_pattern, parent)
    elif element.name == ANY_ELEMENT:
        for child in tree:
            child_element = PathElement(child, element.keys)
            yield from _read_child(schema, tree, child_element, _Pattern(tail, True), parent)
    elif element.name in schema.children or not pattern.is_below_wildcard:
        _check_element(schema, element, parent)
        if element.name in tree:
            child_pattern = _Pattern(tail, pattern.is_below_wildcard)
            yield from _read_child(schema, tree, element, child_pattern, parent)


def _check_element(schema: SchemaNode, element: PathElement, parent: Path) -> None:
    """Raise PathError if the schema has no such child or the child lacks one of the keys."""
    if element.name not in schema.children:
        raise PathError(
            f"{format_path((*parent, element))}: the model has no such node", ErrorCode.NOT_FOUND
        )
    valid_keys = schema.children[element.name].keys
    unknown_keys = sorted(key for key, _ in element.keys if key not in valid_keys)
    if unknown_keys:
        raise PathError(f"{format_path((*parent, element))}: no key {unknown_keys[0]}")


def _read_child(
    schema: SchemaNode, tree: Tree, element: PathElement, pattern: _Pattern, parent: Path
) -> Iterator[PathValue]:
    """Yield the matches of the pattern in the child, or in the list entries, at `element`."""
    child = schema.children.get(element.name)
    if child is None:
        return
    if not child.is_list:
        if not element.keys:
            path = (*parent, _container_element(element.name))
            yield from _read(child, tree[element.name], pattern, path)
        return
    for entry in tree[element.name]:
        keys = _entry_keys(child, entry)
        if keys_match(keys, element.keys):
            path = (*parent, PathElement(element.name, keys))
            yield from _read(child, entry, pattern, path)


def iter_leaves(schema: SchemaNode, tree: Any, parent: Path = ()) -> Iterator[PathValue]:
    """Yield every leaf and leaf-list at or below a node, each with its path.

    Args:
        schema: The schema of the node.
        tree: The node.
        parent: The path of the node.
    """
    if schema.is_list and isinstance(tree, list):
        for entry in tree:
            path = (*parent[:-1], PathElement(parent[-1].name, _entry_keys(schema, entry)))
            yield from iter_leaves(schema.entry(), entry, path)
    elif schema.children and isinstance(tree, dict):
        for name, value in tree.items():
            if name in schema.children:
                yield from iter_leaves(
                    schema.children[name], value, (*parent, _container_element(name))
                )
    else:
        yield PathValue(parent, tree)


def select_state(schema: SchemaNode, tree: Any) -> Any:
    """Return a tree of the `config false` nodes alone, with the keys of the lists above them."""
    if schema.is_state or not isinstance(tree, dict):
        return tree
    selected: Tree = {}
    for name, value in tree.items():
        child = schema.children.get(name)
        if child is None:
            continue
        if child.is_state:
            selected[name] = value
        elif child.is_list:
            if entries := _select_entries_with_state(child, value):
                selected[name] = entries
        elif child.children and (below := select_state(child, value)):
            selected[name] = below
    return selected


def _select_entries_with_state(schema: SchemaNode, entries: list[Tree]) -> list[Tree]:
    selected = [
        {key: entry[key] for key in schema.keys} | select_state(schema.entry(), entry)
        for entry in entries
    ]
    return [entry for entry in selected if len(entry) > len(schema.keys)]


@cache
def _container_element(name: str) -> PathElement:
    """Return the path element of a node without keys.

    The cache is not bounded, so the function must be called only with names of the model, which are
    few. Without the cache, comparing ten thousand tenants takes 1.5 times as long.
    """
    return PathElement(name)


def find_entry(entries: list[Tree], keys: Keys) -> Tree | None:
    """Return the first entry of a list that has these keys; None if there is none."""
    for entry in entries:
        if all(str(entry.get(key)) == value for key, value in keys):
            return entry
    return None


def _entry_keys(schema: SchemaNode, entry: Tree) -> Keys:
    return tuple((key, str(entry[key])) for key in schema.keys)


# Editing


def delete(schema: SchemaNode, tree: Tree, path: Path) -> None:
    """Remove a node, if it exists.

    A list whose last entry is removed is removed too. An empty path removes everything. Deleting a
    node that does not exist is not an error (gNMI specification, section 3.4.6).

    Raises:
        PathError: If `SchemaNode.find_writable` raises it.
    """
    if not path:
        tree.clear()
        return
    schema.find_writable(path)
    parent = tree
    for name, keys in path[:-1]:
        child = parent.get(name)
        if isinstance(child, list):
            child = find_entry(child, keys)
        if child is None:
            return
        parent = child
    name, keys = path[-1]
    if keys and name in parent:
        deleted = find_entry(parent[name], keys)
        parent[name] = [entry for entry in parent[name] if entry is not deleted]
        if parent[name]:
            return
    parent.pop(name, None)


def replace(schema: SchemaNode, tree: Tree, path: Path, value: Any) -> None:
    """Replace a node by a value.

    Raises:
        PathError: For the same reasons as in `update`.
    """
    delete(schema, tree, path)
    update(schema, tree, path, value)


def update(schema: SchemaNode, tree: Tree, path: Path, value: Any) -> None:
    """Merge a value into a node, which is created if it does not exist.

    In containers and list entries, only the members that the value names are changed. Leaves and
    leaf-lists are replaced.

    Raises:
        PathError: If `SchemaNode.find_writable` raises it, or the value does not fit the node. The
            tree may be partly changed then.
    """
    target_schema = schema.find_writable(path)
    value = strip_module_names(value)
    target = tree
    node = schema
    for depth, (name, keys) in enumerate(path):
        node = node.children[name]
        is_last = depth == len(path) - 1
        is_container = bool(node.children) and not node.is_list
        if node.is_list and keys:
            target = _find_or_add_entry(target.setdefault(name, []), keys)
        elif is_last and not is_container:
            target[name] = _merge_node(node, target.get(name), value, path)
            return
        else:
            target = target.setdefault(name, {})
    if not isinstance(value, dict):
        raise PathError(f"{format_path(path)}: expected an object")
    for key, expected in path[-1].keys if path else ():
        if str(value.get(key, expected)) != expected:
            raise PathError(f"{format_path(path)}: the path and the value differ in the key {key}")
    _merge_object(target_schema, target, value, path)


def _find_or_add_entry(entries: list[Tree], keys: Keys) -> Tree:
    """Return the entry with these keys; if there is none, add one with the keys alone."""
    entry = find_entry(entries, keys)
    if entry is None:
        entry = dict(keys)
        entries.append(entry)
    return entry


def _merge_object(schema: SchemaNode, target: Tree, value: Tree, path: Path) -> None:
    """Merge an object into the container or list entry at `path`."""
    for name, child_value in value.items():
        child_path = (*path, PathElement(name))
        child = schema.children.get(name)
        if child is None:
            raise PathError(
                f"{format_path(child_path)}: the model has no such node", ErrorCode.NOT_FOUND
            )
        if child.is_state:
            raise PathError(f"{format_path(child_path)}: is state and cannot be set")
        target[name] = _merge_node(child, target.get(name), child_value, child_path)


def _merge_node(schema: SchemaNode, old: Any, value: Any, path: Path) -> Any:
    """Return the node at `path` as it is after merging a value into it."""
    if len(path) > MAX_TREE_DEPTH:
        raise PathError(f"{format_path(path)}: nested too deeply")
    if schema.is_list:
        return _merge_list(schema, old, value, path)
    if schema.children:
        if not isinstance(value, dict):
            raise PathError(f"{format_path(path)}: expected an object")
        target = old if old is not None else {}
        _merge_object(schema, target, value, path)
        return target
    if isinstance(value, dict) or (isinstance(value, list) and not schema.is_leaf_list):
        raise PathError(f"{format_path(path)}: expected a single value")
    if schema.is_number_in_string and _is_number(value):
        return repr(value)  # accepts the number 0.5 where RFC 7951 requires the string "0.5"
    return value


def _merge_list(schema: SchemaNode, old: list[Tree] | None, value: Any, path: Path) -> list[Tree]:
    if not isinstance(value, list) or not all(isinstance(entry, dict) for entry in value):
        raise PathError(f"{format_path(path)}: expected a list of objects")
    entries = old if old is not None else []
    for new_entry in value:
        keys = tuple((key, str(new_entry[key])) for key in schema.keys if key in new_entry)
        if len(keys) != len(schema.keys):
            names = ", ".join(schema.keys)
            raise PathError(f"{format_path(path)}: each entry must have the key {names}")
        entry = find_entry(entries, keys)
        if entry is None:
            entry = {}
            entries.append(entry)
        _merge_object(schema, entry, new_entry, (*path[:-1], PathElement(path[-1].name, keys)))
    return entries


def _is_number(value: Any) -> bool:
    return isinstance(value, int | float) and not isinstance(value, bool)


def strip_module_names(value: Any, depth: int = 0) -> Any:
    """Return a deep copy of a JSON value without module names in front of member names.

    Raises:
        PathError: If the value is nested too deeply.
    """
    if depth > MAX_TREE_DEPTH:
        raise PathError("a value is nested too deeply")
    if isinstance(value, dict):
        return {
            str(name).rpartition(":")[2]: strip_module_names(member, depth + 1)
            for name, member in value.items()
        }
    if isinstance(value, list):
        return [strip_module_names(member, depth + 1) for member in value]
    return value


# Comparing


def diff_trees(schema: SchemaNode, old: Any, new: Any) -> TreeDifference:
    """Return the leaves and leaf-lists that differ between two versions of a node.

    Args:
        schema: The schema of the node.
        old: The old version of the node; None if there was none.
        new: The new version of the node; None if there is none.
    """
    difference = TreeDifference()
    _diff(schema, old, new, (), difference)
    return difference


def _diff(schema: SchemaNode, old: Any, new: Any, path: Path, difference: TreeDifference) -> None:
    if old is new:  # successive versions share most of a large tree
        return
    if schema.is_list and isinstance(old or [], list) and isinstance(new or [], list):
        old_entries = _entries_by_keys(schema, old)
        new_entries = _entries_by_keys(schema, new)
        entry_schema = schema.entry()
        for keys in {**old_entries, **new_entries}:
            entry_path = (*path[:-1], PathElement(path[-1].name, keys))
            _diff(
                entry_schema, old_entries.get(keys), new_entries.get(keys), entry_path, difference
            )
    elif schema.children:
        old_children = old or {}
        new_children = new or {}
        for name in {**old_children, **new_children}:
            if name in schema.children:
                _diff(
                    schema.children[name],
                    old_children.get(name),
                    new_children.get(name),
                    (*path, _container_element(name)),
                    difference,
                )
    elif new is None:
        difference.deleted.append(path)
    elif old != new:
        difference.changed.append(PathValue(path, new))


def _entries_by_keys(schema: SchemaNode, entries: list[Tree] | None) -> dict[Keys, Tree]:
    return {_entry_keys(schema, entry): entry for entry in entries or ()}

"""Configuration and state trees: read by path, edit, compare. Pure.

A tree is the JSON encoding of YANG data (RFC 7951) with the module's names left out: dicts for
containers, lists of dicts for YANG lists, lists of values for leaf-lists.
"""

from collections.abc import Iterator
from dataclasses import dataclass, field
from functools import cache
from typing import Any, NamedTuple

from .errors import ErrorCode, PathError
from .paths import ANY_ELEMENT, ANY_ELEMENTS, Keys, Path, PathElement, format_path, has_keys
from .schema import SchemaNode

MAX_TREE_DEPTH = 32  # levels; the model has five, much deeper input would exhaust the stack

Tree = dict[str, Any]  # JSON object; its values are as the YANG model says


class PathValue(NamedTuple):
    """A node of a tree with its path."""

    path: Path
    value: Any


@dataclass(slots=True)
class TreeDifference:
    """What turns one tree into another.

    Attributes:
        changed: Leaves that are new or have another value.
        deleted: Paths of leaves that are gone.
    """

    changed: list[PathValue] = field(default_factory=list)
    deleted: list[Path] = field(default_factory=list)


# Reading


class _Pattern(NamedTuple):
    """The elements of a path that are still to be matched.

    Below a wildcard, nodes may lack a child that the path names; elsewhere that is an error.
    """

    rest: Path
    is_below_wildcard: bool = False


def read(schema: SchemaNode, tree: Any, path: Path) -> Iterator[PathValue]:
    """Yields all nodes that a path matches, each with its own path; none is no error.

    A list that is named without keys gives each of its entries.

    Raises:
        PathError: If the model has no such node.
    """
    yield from _read(schema, tree, _Pattern(path), ())


def _read(schema: SchemaNode, tree: Any, pattern: _Pattern, parent: Path) -> Iterator[PathValue]:
    """Yields what the pattern matches below `tree`, whose schema and path are given."""
    if not pattern.rest:
        yield PathValue(parent, tree)
        return
    if not isinstance(tree, dict):
        return
    element = pattern.rest[0]
    after = pattern.rest[1:]
    if element.name == ANY_ELEMENTS:
        yield from _read(schema, tree, _Pattern(after, True), parent)
        deeper = _Pattern(pattern.rest, True)
        for child in tree:
            yield from _read_child(schema, tree, PathElement(child), deeper, parent)
    elif element.name == ANY_ELEMENT:
        for child in tree:
            named = PathElement(child, element.keys)
            yield from _read_child(schema, tree, named, _Pattern(after, True), parent)
    elif element.name in schema.children or not pattern.is_below_wildcard:
        _check_element(schema, element, parent)
        if element.name in tree:
            below = _Pattern(after, pattern.is_below_wildcard)
            yield from _read_child(schema, tree, element, below, parent)


def _check_element(schema: SchemaNode, element: PathElement, parent: Path) -> None:
    """Raises PathError if the schema has no such child, or the child no such key."""
    if element.name not in schema.children:
        raise PathError(
            f"{format_path((*parent, element))}: the model has no such node", ErrorCode.NOT_FOUND
        )
    known = schema.children[element.name].keys
    unknown = sorted(key for key, _ in element.keys if key not in known)
    if unknown:
        raise PathError(f"{format_path((*parent, element))}: no key {unknown[0]}")


def _read_child(
    schema: SchemaNode, tree: Tree, element: PathElement, pattern: _Pattern, parent: Path
) -> Iterator[PathValue]:
    """Yields what the pattern matches below the child, or the list's entries, that are named."""
    child = schema.children.get(element.name)
    if child is None:
        return
    if not child.is_list:
        if not element.keys:
            path = (*parent, _container_element(element.name))
            yield from _read(child, tree[element.name], pattern, path)
        return
    for entry in tree[element.name]:
        keys = _keys_of(child, entry)
        if has_keys(keys, element.keys):
            path = (*parent, PathElement(element.name, keys))
            yield from _read(child, entry, pattern, path)


def iter_leaves(schema: SchemaNode, tree: Any, parent: Path = ()) -> Iterator[PathValue]:
    """Yields every leaf and leaf-list below a node, each with its path.

    Args:
        schema: Schema of the node.
        tree: The node.
        parent: Path of the node.
    """
    if schema.is_list and isinstance(tree, list):
        for entry in tree:
            path = (*parent[:-1], PathElement(parent[-1].name, _keys_of(schema, entry)))
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
    """Returns only what is `config false`, with the keys of the lists that lead to it."""
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
    """Returns the element of a node without keys.

    Only for names of the model, which are few: each stays cached. Building all of them anew made
    comparing ten thousand tenants slower by half.
    """
    return PathElement(name)


def find_entry(entries: list[Tree], keys: Keys) -> Tree | None:
    """Returns the first entry of a list that has these keys."""
    for entry in entries:
        if all(str(entry.get(key)) == value for key, value in keys):
            return entry
    return None


def _keys_of(schema: SchemaNode, entry: Tree) -> Keys:
    return tuple((key, str(entry[key])) for key in schema.keys)


# Editing


def delete(schema: SchemaNode, tree: Tree, path: Path) -> None:
    """Removes a node; one that is not there is no error (gNMI specification, section 3.4.6).

    Raises:
        PathError: If the model has no such node or clients cannot set it.
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
    """Puts a value in place of a node; raises PathError as `update` does."""
    delete(schema, tree, path)
    update(schema, tree, path, value)


def update(schema: SchemaNode, tree: Tree, path: Path, value: Any) -> None:
    """Merges a value into a node.

    Of containers and list entries only what the value names is changed; leaves and leaf-lists are
    replaced.

    Raises:
        PathError: If the model has no such node, clients cannot set it, or the value has another
            form. The tree may then be changed in part.
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
            target[name] = _merged(node, target.get(name), value, path)
            return
        else:
            target = target.setdefault(name, {})
    if not isinstance(value, dict):
        raise PathError(f"{format_path(path)}: an object is wanted")
    for key, given in path[-1].keys if path else ():
        if str(value.get(key, given)) != given:
            raise PathError(f"{format_path(path)}: the value has another {key}")
    _merge(target_schema, target, value, path)


def _find_or_add_entry(entries: list[Tree], keys: Keys) -> Tree:
    """Returns the entry with these keys; a new one has them as its only leaves."""
    entry = find_entry(entries, keys)
    if entry is None:
        entry = dict(keys)
        entries.append(entry)
    return entry


def _merge(schema: SchemaNode, target: Tree, value: Tree, path: Path) -> None:
    """Merges an object into the container or list entry at `path`."""
    for name, child_value in value.items():
        child_path = (*path, PathElement(name))
        child = schema.children.get(name)
        if child is None:
            raise PathError(
                f"{format_path(child_path)}: the model has no such node", ErrorCode.NOT_FOUND
            )
        if child.is_state:
            raise PathError(f"{format_path(child_path)}: is state and can't be set")
        target[name] = _merged(child, target.get(name), child_value, child_path)


def _merged(schema: SchemaNode, old: Any, value: Any, path: Path) -> Any:
    """Returns the node at `path` after a value has been merged into it."""
    if len(path) > MAX_TREE_DEPTH:
        raise PathError(f"{format_path(path)}: nested too deep")
    if schema.is_list:
        return _merged_list(schema, old, value, path)
    if schema.children:
        if not isinstance(value, dict):
            raise PathError(f"{format_path(path)}: an object is wanted")
        target = old if old is not None else {}
        _merge(schema, target, value, path)
        return target
    if isinstance(value, dict) or (isinstance(value, list) and not schema.is_leaf_list):
        raise PathError(f"{format_path(path)}: a single value is wanted")
    if schema.is_number_in_string and _is_number(value):
        return repr(value)  # clients may write 0.5 where RFC 7951 wants "0.5"
    return value


def _merged_list(schema: SchemaNode, old: list[Tree] | None, value: Any, path: Path) -> list[Tree]:
    if not isinstance(value, list) or not all(isinstance(entry, dict) for entry in value):
        raise PathError(f"{format_path(path)}: a list of objects is wanted")
    entries = old if old is not None else []
    for new_entry in value:
        keys = tuple((key, str(new_entry[key])) for key in schema.keys if key in new_entry)
        if len(keys) != len(schema.keys):
            names = ", ".join(schema.keys)
            raise PathError(f"{format_path(path)}: each entry wants its key {names}")
        entry = find_entry(entries, keys)
        if entry is None:
            entry = {}
            entries.append(entry)
        _merge(schema, entry, new_entry, (*path[:-1], PathElement(path[-1].name, keys)))
    return entries


def _is_number(value: Any) -> bool:
    return isinstance(value, int | float) and not isinstance(value, bool)


def strip_module_names(value: Any, depth: int = 0) -> Any:
    """Returns a deep copy without the module's name before member names.

    Raises:
        PathError: If the value is nested too deep.
    """
    if depth > MAX_TREE_DEPTH:
        raise PathError("a value that is nested too deep")
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
    """Returns which leaves of a node differ from one tree to another."""
    difference = TreeDifference()
    _diff(schema, old, new, (), difference)
    return difference


def _diff(schema: SchemaNode, old: Any, new: Any, path: Path, difference: TreeDifference) -> None:
    if old is new:  # most of a large tree is the same object from one commit to the next
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
    return {_keys_of(schema, entry): entry for entry in entries or ()}

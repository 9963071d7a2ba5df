"""The part of the YANG model that paths and edits of trees are checked against. No I/O.

`yang_model` builds it with the library yangson, which this module does not import.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from .errors import ErrorCode, PathError
from .paths import Keys, Path, format_path

MODULE_NAME = "mulleinrelay-fleet"
MODULE_REVISION = "2026-12-01"


@dataclass(slots=True, frozen=True, eq=False)
class SchemaNode:
    """A node of the YANG model.

    Attributes:
        children: Data nodes below a container or list, by name; empty for leaves and leaf-lists.
        keys: Names of the keys of a list; empty for other nodes.
        is_list: Whether the node is a YANG list, which is a list of dicts in a tree.
        is_leaf_list: Whether the node is a leaf-list, which is a list of values in a tree.
        is_state: Whether the node or a node above it is `config false`, so that clients cannot set
            it.
        is_number_in_string: Whether the node's numbers are strings in JSON, as RFC 7951 requires
            of decimal64 values and 64-bit integers.
    """

    children: dict[str, SchemaNode] = field(default_factory=dict)
    keys: tuple[str, ...] = ()
    is_list: bool = False
    is_leaf_list: bool = False
    is_state: bool = False
    is_number_in_string: bool = False

    def entry(self) -> SchemaNode:
        """Return the schema of a single entry of this list."""
        return SchemaNode(self.children)

    def find(self, path: Path) -> SchemaNode:
        """Return the node at the end of a path without wildcards in place of names.

        Raises:
            PathError: If the model has no such node, or an element has keys, but not exactly those
                of its list.
        """
        node = self
        for depth, (name, keys) in enumerate(path):
            node = node._child(path[: depth + 1], name)
            node._check_keys(path[: depth + 1], keys)
        return node

    def find_writable(self, path: Path) -> SchemaNode:
        """Return the node at the end of a path whose node a client wants to set or delete.

        Raises:
            PathError: If `find` raises it; if the node is state; or if the path leads through a
                list without selecting an entry by its keys.
        """
        node = self
        for depth, (name, keys) in enumerate(path):
            prefix = path[: depth + 1]
            node = node._child(prefix, name)
            if node.is_state:
                raise PathError(f"{format_path(prefix)}: is state and cannot be set")
            node._check_keys(prefix, keys)
            if node.is_list and not keys and depth < len(path) - 1:
                names = ", ".join(node.keys)
                raise PathError(f"{format_path(prefix)}: the key {names} is required")
        return node

    def _child(self, path: Path, name: str) -> SchemaNode:
        if name not in self.children:
            raise PathError(f"{format_path(path)}: the model has no such node", ErrorCode.NOT_FOUND)
        return self.children[name]

    def _check_keys(self, path: Path, keys: Keys) -> None:
        given = {key for key, _ in keys}
        if given and given != set(self.keys):
            names = ", ".join(self.keys) or "none"
            raise PathError(f"{format_path(path)}: wrong keys; keys of this node: {names}")

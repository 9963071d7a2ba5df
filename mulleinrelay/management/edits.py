"""The edits of a commit. No I/O."""

from dataclasses import dataclass
from enum import StrEnum
from typing import Any

from . import tree as trees
from .paths import Path, format_path
from .schema import SchemaNode
from .tree import Tree

MAX_EDITS_IN_COMMENT = 3


class EditOperation(StrEnum):
    """The edit operations of a gNMI Set request."""

    DELETE = "delete"
    REPLACE = "replace"
    UPDATE = "update"


@dataclass(slots=True)
class Edit:
    """One edit of a commit; `value` is a JSON value, or None for a delete."""

    operation: EditOperation
    path: Path
    value: Any = None


def apply_edit(schema: SchemaNode, tree: Tree, edit: Edit) -> None:
    """Apply an edit to a tree.

    Raises:
        PathError: If the edit does not fit the model. The tree may be partly changed then.
    """
    match edit.operation:
        case EditOperation.DELETE:
            trees.delete(schema, tree, edit.path)
        case EditOperation.REPLACE:
            trees.replace(schema, tree, edit.path, edit.value)
        case EditOperation.UPDATE:
            trees.update(schema, tree, edit.path, edit.value)


def describe_edits(edits: list[Edit]) -> str:
    """Return a description for the history: the first edits, without values, and how many more."""
    described = ", ".join(
        f"{edit.operation} {format_path(edit.path)}" for edit in edits[:MAX_EDITS_IN_COMMENT]
    )
    if len(edits) > MAX_EDITS_IN_COMMENT:
        described += f" and {len(edits) - MAX_EDITS_IN_COMMENT} more"
    return described

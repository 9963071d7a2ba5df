"""The YANG module, read and checked with the library yangson."""

import json
import os
from typing import Any

from yangson import DataModel
from yangson.datatype import Decimal64Type, Int64Type, Uint64Type
from yangson.enumerations import ContentType, ValidationScope
from yangson.exceptions import YangsonException
from yangson.schemanode import DataNode, LeafListNode, LeafNode, ListNode

from .errors import CommitRejectedError
from .schema import MODULE_NAME, MODULE_REVISION, SchemaNode
from .tree import Tree, strip_module_names

MODULE_NAMESPACE = "urn:mulleinrelay:fleet"
MODULE_FOLDER = os.path.join(os.path.dirname(os.path.abspath(__file__)), "yang")
YANG_LIBRARY = {
    "ietf-yang-library:modules-state": {
        "module-set-id": "1",
        "module": [
            {
                "name": MODULE_NAME,
                "revision": MODULE_REVISION,
                "namespace": MODULE_NAMESPACE,
                "conformance-type": "implement",
            }
        ],
    }
}
NOTIFICATION_NAME = "drain-changed"  # stands among the data nodes in yangson, but holds no data
MAX_TENANTS_FOR_REFERENCES = 500  # with more, yangson's checks of references are too slow
MAX_ERROR_LENGTH = 500  # characters


class YangModel:
    """The parsed YANG module. Not thread-safe: `ManagementService` serializes calls.

    Attributes:
        schema: The root of the model's data nodes.
    """

    def __init__(self) -> None:
        """Parses the module."""
        self._data_model = DataModel(json.dumps(YANG_LIBRARY), (MODULE_FOLDER,))
        self._valid_children: Tree = {}  # children of /fleet as they were last found valid
        self.schema = _schema_node(self._data_model.schema, False)

    def validate(self, tree: Tree) -> Tree:
        """Returns a configuration in canonical form, without state.

        Children of /fleet do not refer to one another, so one that is as it last was is not checked
        again: a drain costs the same beside a table of ten thousand tenants.

        Raises:
            CommitRejectedError: If it is not valid; the text says where and why.
        """
        if not tree:
            return tree
        fleet = tree.get("fleet") if len(tree) == 1 else None
        if not isinstance(fleet, dict):
            return self._validate_all(tree)
        valid: Tree = {}
        for name, child in fleet.items():
            known = self._valid_children.get(name)
            if known is None or known != child:
                known = self._validate_all({"fleet": {name: child}})["fleet"].get(name)
            if known is not None:
                valid[name] = known
        self._valid_children = valid
        return {"fleet": valid}

    def _validate_all(self, tree: Tree) -> Tree:
        try:
            root = self._data_model.from_raw(
                {f"{MODULE_NAME}:{name}": value for name, value in tree.items()}
            )
            # Each step upwards out of a long list costs its length. Beyond some length references
            # are left to `cells.validation.validate_assignment`, which checks the same
            is_large = _tenant_count(tree) > MAX_TENANTS_FOR_REFERENCES
            scope = ValidationScope.syntax if is_large else ValidationScope.all
            root.validate(scope, ContentType.config)
        except YangsonException as error:
            raise CommitRejectedError(_error_text(error)) from error
        except (TypeError, ValueError, AttributeError, KeyError) as error:
            # yangson raises these for values of a form that it does not expect
            raise CommitRejectedError(f"a value can't be read: {error}") from error
        valid: Tree = strip_module_names(root.raw_value())
        return valid


def _tenant_count(tree: Tree) -> int:
    """Returns the number of tenants in a tree that has not been checked yet."""
    fleet = tree["fleet"] if isinstance(tree.get("fleet"), dict) else {}
    assignment = fleet.get("assignment")
    if not isinstance(assignment, dict):
        return 0
    tenants = assignment.get("tenant", [])
    return len(tenants) if isinstance(tenants, list) else 0


def _error_text(error: YangsonException) -> str:
    return " ".join(str(error).split()).replace(f"{MODULE_NAME}:", "")[:MAX_ERROR_LENGTH]


def _schema_node(node: Any, is_state: bool) -> SchemaNode:
    """Converts a node of yangson's schema, and all below it."""
    is_list = isinstance(node, ListNode)
    is_leaf = isinstance(node, LeafNode | LeafListNode)
    children = {}
    if not is_leaf:
        for child in getattr(node, "children", ()):
            if isinstance(child, DataNode) and child.name != NOTIFICATION_NAME:
                children[child.name] = _schema_node(child, is_state or child.config is False)
    return SchemaNode(
        children=children,
        keys=tuple(key[0] for key in node.keys) if is_list else (),
        is_list=is_list,
        is_leaf_list=isinstance(node, LeafListNode),
        is_state=is_state,
        is_number_in_string=is_leaf
        and isinstance(node.type, Decimal64Type | Int64Type | Uint64Type),
    )

"""Parsing of the YANG module, and validation of configurations, with the library yangson."""

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
NOTIFICATION_NAME = "drain-changed"  # left out: yangson lists notifications among the data nodes
MAX_TENANTS_FOR_REFERENCES = 500  # with more, yangson's reference checks are too slow
MAX_ERROR_LENGTH = 500  # characters


class YangModel:
    """The parsed YANG module. Not thread-safe: `ManagementService` serializes calls.

    Attributes:
        schema: The root of the model's data nodes.
    """

    def __init__(self) -> None:
        """Parse the YANG module from the folder `yang`."""
        self._data_model = DataModel(json.dumps(YANG_LIBRARY), (MODULE_FOLDER,))
        self._valid_children: Tree = {}  # children of /fleet, as last validated
        self.schema = _convert_schema_node(self._data_model.schema, False)

    def validate(self, tree: Tree) -> Tree:
        """Return a configuration in canonical form; state in the tree is an error.

        Children of /fleet do not refer to one another, so a child that is unchanged since the last
        validation is not validated again. Validating a changed drain therefore takes no longer with
        an assignment of ten thousand tenants than with a small one.

        Raises:
            CommitRejectedError: If the configuration is not valid; the text says where and why.
        """
        if not tree:
            return tree
        fleet = tree.get("fleet") if len(tree) == 1 else None
        if not isinstance(fleet, dict):
            return self._validate_tree(tree)
        validated_fleet: Tree = {}
        for name, child in fleet.items():
            validated = self._valid_children.get(name)
            if validated is None or validated != child:
                validated = self._validate_tree({"fleet": {name: child}})["fleet"].get(name)
            if validated is not None:
                validated_fleet[name] = validated
        self._valid_children = validated_fleet
        return {"fleet": validated_fleet}

    def _validate_tree(self, tree: Tree) -> Tree:
        try:
            root = self._data_model.from_raw(
                {f"{MODULE_NAME}:{name}": value for name, value in tree.items()}
            )
            # In yangson, moving from an entry of a list to its parent takes time proportional to
            # the length of the list. The references of a long list are therefore not checked here.
            # `cells.validation.validate_assignment` checks them when the commit is prepared.
            is_large = _tenant_count(tree) > MAX_TENANTS_FOR_REFERENCES
            scope = ValidationScope.syntax if is_large else ValidationScope.all
            root.validate(scope, ContentType.config)
        except YangsonException as error:
            raise CommitRejectedError(_error_text(error)) from error
        except (TypeError, ValueError, AttributeError, KeyError) as error:
            # yangson raises these errors for values whose JSON type it does not expect.
            raise CommitRejectedError(f"a value cannot be parsed: {error}") from error
        canonical_tree: Tree = strip_module_names(root.raw_value())
        return canonical_tree


def _tenant_count(tree: Tree) -> int:
    """Return the number of tenants in a tree that has not been validated yet."""
    fleet = tree["fleet"] if isinstance(tree.get("fleet"), dict) else {}
    assignment = fleet.get("assignment")
    if not isinstance(assignment, dict):
        return 0
    tenants = assignment.get("tenant", [])
    return len(tenants) if isinstance(tenants, list) else 0


def _error_text(error: YangsonException) -> str:
    return " ".join(str(error).split()).replace(f"{MODULE_NAME}:", "")[:MAX_ERROR_LENGTH]


def _convert_schema_node(node: Any, is_state: bool) -> SchemaNode:
    """Convert a node of yangson's schema and all nodes below it."""
    is_list = isinstance(node, ListNode)
    is_leaf = isinstance(node, LeafNode | LeafListNode)
    children = {}
    if not is_leaf:
        for child in getattr(node, "children", ()):
            if isinstance(child, DataNode) and child.name != NOTIFICATION_NAME:
                children[child.name] = _convert_schema_node(
                    child, is_state or child.config is False
                )
    return SchemaNode(
        children=children,
        keys=tuple(key[0] for key in node.keys) if is_list else (),
        is_list=is_list,
        is_leaf_list=isinstance(node, LeafListNode),
        is_state=is_state,
        is_number_in_string=is_leaf
        and isinstance(node.type, Decimal64Type | Int64Type | Uint64Type),
    )

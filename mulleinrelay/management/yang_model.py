"""The YANG module, by yangson: what a tree may hold, and whether one is valid."""

import json
import os
from typing import Any

from yangson import DataModel
from yangson.datatype import Decimal64Type, Int64Type, Uint64Type
from yangson.enumerations import ContentType, ValidationScope
from yangson.exceptions import YangsonException
from yangson.schemanode import DataNode, LeafListNode, LeafNode, ListNode

from .datastore import RefusedError
from .paths import Shape, bare

NAME, REVISION, NAMESPACE = "mulleinrelay-fleet", "2026-12-01", "urn:mulleinrelay:fleet"
FOLDER = os.path.join(os.path.dirname(os.path.abspath(__file__)), "yang")
LIBRARY = {
    "ietf-yang-library:modules-state": {
        "module-set-id": "1",
        "module": [
            {
                "name": NAME,
                "revision": REVISION,
                "namespace": NAMESPACE,
                "conformance-type": "implement",
            }
        ],
    }
}
LONG = 500  # tenants


class Model:
    def __init__(self) -> None:
        self.data = DataModel(json.dumps(LIBRARY), (FOLDER,))
        self.known: dict[str, Any] = {}  # children of /fleet as they were accepted last
        self.shape = _shape(self.data.schema, False)

    def check(self, tree: dict[str, Any]) -> dict[str, Any]:
        """The tree in its canonical form, state left out; raises RefusedError whose text says where
        and why. Children of /fleet don't refer to one another, so one that is as it last was is not
        gone through again: a drain costs the same beside a table of ten thousand tenants.
        """
        if not tree:
            return tree
        fleet = tree.get("fleet") if len(tree) == 1 else None
        if not isinstance(fleet, dict):
            return self._whole(tree)
        found = {}
        for name, held in fleet.items():
            known = self.known.get(name)
            if known is None or known != held:
                known = self._whole({"fleet": {name: held}})["fleet"].get(name)
            if known is not None:
                found[name] = known
        self.known = found
        return {"fleet": found}

    def _whole(self, tree: dict[str, Any]) -> dict[str, Any]:
        try:
            root = self.data.from_raw({f"{NAME}:{name}": held for name, held in tree.items()})
            # Steps upwards out of a long list cost its length each time; beyond some length what
            # refers to something else is left to `charter.agree`, which checks the same
            large = any(len(held.get("tenant", ())) > LONG for held in _assignments(tree))
            root.validate(
                ValidationScope.syntax if large else ValidationScope.all, ContentType.config
            )
        except YangsonException as wrong:
            raise RefusedError(_worded(wrong)) from None
        except (
            TypeError,
            ValueError,
            AttributeError,
            KeyError,
        ) as wrong:  # of values of a strange form
            raise RefusedError(f"a value can't be read: {wrong}") from None
        return bare(root.raw_value())


def _assignments(tree: dict[str, Any]) -> list[dict[str, Any]]:
    held = tree["fleet"].get("assignment") if isinstance(tree.get("fleet"), dict) else None
    return [held] if isinstance(held, dict) and isinstance(held.get("tenant", []), list) else []


def _worded(wrong: YangsonException) -> str:
    return " ".join(str(wrong).split()).replace(f"{NAME}:", "")[:500]


def _shape(node: Any, state: bool) -> Shape:
    children = {}
    for child in getattr(node, "children", ()):
        if isinstance(child, DataNode) and child.name != "drain-changed":
            children[child.name] = _shape(child, state or child.config is False)
    keys = tuple(key[0] for key in node.keys) if isinstance(node, ListNode) else ()
    is_leaf = isinstance(node, LeafNode | LeafListNode)
    text = is_leaf and isinstance(node.type, Decimal64Type | Int64Type | Uint64Type)
    is_list, is_leaf_list = isinstance(node, ListNode), isinstance(node, LeafListNode)
    return Shape({} if is_leaf else children, keys, is_list, is_leaf_list, state, text)

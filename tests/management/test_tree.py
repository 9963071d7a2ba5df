"""Trees of configuration and state: reading with wildcards, editing, comparing."""

import pytest

from mulleinrelay.management import tree as trees
from mulleinrelay.management.errors import PathError
from mulleinrelay.management.paths import format_path, parse_path
from mulleinrelay.management.schema import SchemaNode

LEAF = SchemaNode()
LEAF_LIST = SchemaNode(is_leaf_list=True)
DRAIN = SchemaNode(
    {"box": LEAF, "why": LEAF, "state": SchemaNode({"phase": LEAF}, is_state=True)},
    ("box",),
    True,
)
CELL = SchemaNode(
    {"name": LEAF, "cache": LEAF_LIST, "limits": SchemaNode({"rate": LEAF})}, ("name",), True
)
BOX = SchemaNode({"name": LEAF}, ("name",), True, is_state=True)
SCHEMA = SchemaNode(
    {
        "fleet": SchemaNode(
            {
                "drains": SchemaNode({"drain": DRAIN}),
                "cell": CELL,
                "boxes": SchemaNode({"box": BOX}, is_state=True),
            }
        )
    }
)


def new_tree():
    return {
        "fleet": {
            "drains": {"drain": [{"box": "s-1", "why": "x"}, {"box": "s-2"}]},
            "cell": [{"name": "n", "cache": ["a"], "limits": {"rate": "1"}}],
        }
    }


@pytest.mark.parametrize(
    ("text", "values"),
    [
        ("/fleet/drains/drain[box=s-1]/why", ["x"]),
        ("/fleet/drains/drain/why", ["x"]),
        ("/fleet/*/drain[box=*]/box", ["s-1", "s-2"]),
        ("/.../rate", ["1"]),
        ("/fleet/drains/drain[box=s-9]", []),
        ("/fleet/cell[name=n]/cache", [["a"]]),
    ],
)
def test_read_yields_all_nodes_that_a_path_matches(text, values):
    found = trees.read(SCHEMA, new_tree(), parse_path(text))
    assert [value for _, value in found] == values


@pytest.mark.parametrize("text", ["/fleet/none", "/fleet/drains/drain[name=s-1]"])
def test_read_of_a_node_that_the_model_lacks_is_rejected(text):
    with pytest.raises(PathError):
        list(trees.read(SCHEMA, new_tree(), parse_path(text)))


@pytest.mark.parametrize(
    ("operation", "text", "value", "is_expected"),
    [
        (
            "update",
            "/fleet/drains/drain[box=s-3]",
            {"why": "y"},
            lambda fleet: fleet["drains"]["drain"][2] == {"box": "s-3", "why": "y"},
        ),
        (
            "update",
            "/fleet/drains/drain[box=s-1]/why",
            "z",
            lambda fleet: fleet["drains"]["drain"][0]["why"] == "z",
        ),
        (
            "update",
            "/fleet/cell",
            [{"name": "n", "limits": {"rate": "9"}}, {"name": "m"}],
            lambda fleet: (
                [cell["name"] for cell in fleet["cell"]] == ["n", "m"]
                and fleet["cell"][0]["cache"] == ["a"]
            ),
        ),
        (
            "replace",
            "/fleet/cell[name=n]",
            {"cache": ["b"]},
            lambda fleet: fleet["cell"] == [{"name": "n", "cache": ["b"]}],
        ),
        ("replace", "/fleet", {"cell": []}, lambda fleet: "drains" not in fleet),
        (
            "delete",
            "/fleet/drains/drain[box=s-1]",
            None,
            lambda fleet: fleet["drains"]["drain"] == [{"box": "s-2"}],
        ),
        (
            "delete",
            "/fleet/drains/drain[box=s-9]",
            None,
            lambda fleet: len(fleet["drains"]["drain"]) == 2,
        ),
        ("delete", "/fleet/cell", None, lambda fleet: "cell" not in fleet),
        (
            "update",
            "/mulleinrelay-fleet:fleet",
            {"mulleinrelay-fleet:cell": [{"name": "q"}]},
            lambda fleet: len(fleet["cell"]) == 2,
        ),
    ],
)
def test_edit_changes_the_tree(operation, text, value, is_expected):
    tree = new_tree()
    if operation == "delete":
        trees.delete(SCHEMA, tree, parse_path(text))
    else:
        getattr(trees, operation)(SCHEMA, tree, parse_path(text), value)
    assert is_expected(tree["fleet"])


@pytest.mark.parametrize(
    ("text", "value"),
    [
        ("/fleet/boxes/box[name=s-1]", {}),
        ("/fleet/drains/drain[box=s-1]/state/phase", "x"),
        ("/fleet/none", 1),
        ("/fleet/drains/drain/why", "x"),
        ("/fleet/drains/drain[box=s-1]", {"box": "s-2"}),
        ("/fleet/cell", [{"cache": []}]),
        ("/fleet/cell", {"name": "n"}),
        ("/fleet", 3),
        ("/fleet/cell[name=n]/limits", [1]),
        ("/fleet", {"drains": {"x": 1}}),
        ("/fleet/drains/drain[box=s-1]", {"state": {}}),
        ("/fleet/drains/drain[box=s-1]/why", {"a": 1}),
    ],
)
def test_update_that_does_not_fit_the_model_is_rejected(text, value):
    with pytest.raises(PathError):
        trees.update(SCHEMA, new_tree(), parse_path(text), value)


def test_difference_names_changed_and_deleted_leaves():
    new = new_tree()
    new["fleet"]["drains"]["drain"][0]["why"] = "y"
    del new["fleet"]["drains"]["drain"][1]
    del new["fleet"]["cell"][0]["limits"]
    difference = trees.diff_trees(SCHEMA, new_tree(), new)
    assert [(format_path(path), value) for path, value in difference.changed] == [
        ("/fleet/drains/drain[box=s-1]/why", "y")
    ]
    assert sorted(map(format_path, difference.deleted)) == [
        "/fleet/cell[name=n]/limits/rate",
        "/fleet/drains/drain[box=s-2]/box",
    ]


def test_selected_state_contains_no_configuration_but_list_keys():
    tree = new_tree()
    tree["fleet"]["drains"]["drain"][0]["state"] = {"phase": "binding"}
    assert trees.select_state(SCHEMA, tree) == {
        "fleet": {"drains": {"drain": [{"box": "s-1", "state": {"phase": "binding"}}]}}
    }

"""Paths and trees, the intent over the list, and rights."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from mulleinrelay.errors import ConfigError
from mulleinrelay.management import tree as trees
from mulleinrelay.management.authorization import AuthorizationPolicy, Role, required_role
from mulleinrelay.management.config import parse_management_config
from mulleinrelay.management.drain_intent import (
    CONTRADICTION_GRACE_PERIOD,
    DrainIntent,
    DrainPhase,
    DrainRequest,
    DrainScope,
    drain_rejection_reason,
)
from mulleinrelay.management.errors import PathError
from mulleinrelay.management.paths import covers, fleet_children, format_path, parse_path
from mulleinrelay.management.schema import SchemaNode
from mulleinrelay.policy.model import EndpointState, EndpointUpdate

LEAF, LEAVES = SchemaNode(), SchemaNode(is_leaf_list=True)
SHAPE = SchemaNode(
    {
        "fleet": SchemaNode(
            {
                "drains": SchemaNode(
                    {
                        "drain": SchemaNode(
                            {
                                "box": LEAF,
                                "why": LEAF,
                                "state": SchemaNode({"phase": LEAF}, is_state=True),
                            },
                            ("box",),
                            True,
                        )
                    }
                ),
                "cell": SchemaNode(
                    {"name": LEAF, "cache": LEAVES, "limits": SchemaNode({"rate": LEAF})},
                    ("name",),
                    True,
                ),
                "boxes": SchemaNode(
                    {"box": SchemaNode({"name": LEAF}, ("name",), True, is_state=True)},
                    is_state=True,
                ),
            }
        )
    }
)


def tree():
    return {
        "fleet": {
            "drains": {"drain": [{"box": "s-1", "why": "x"}, {"box": "s-2"}]},
            "cell": [{"name": "n", "cache": ["a"], "limits": {"rate": "1"}}],
        }
    }


@pytest.mark.parametrize(
    "text, path",
    [
        ("/", ()),
        ("/fleet/drains", (("fleet", ()), ("drains", ()))),
        ("fleet/drain[box=s-1]/", (("fleet", ()), ("drain", (("box", "s-1"),)))),
        ("/mulleinrelay-fleet:fleet", (("fleet", ()),)),
        (r"/a[k=x\]y\\z]", (("a", (("k", r"x]y\z"),)),)),
        ("/a[k=b/c]", (("a", (("k", "b/c"),)),)),
    ],
)
def test_a_path_is_read_and_worded(text, path):
    assert parse_path(text) == path and parse_path(format_path(path)) == path


@pytest.mark.parametrize(
    "text", ["/a[", "/a[k", "/a[k=v", "/a[=v]", "/[k=v]", "/a[k=v]b", "/" + "a/" * 40, "x" * 5000]
)
def test_a_path_that_cannot_be_read(text):
    with pytest.raises(PathError):
        parse_path(text)


@given(st.text("/[]=\\ab*.: \n\0é", max_size=60))
def test_any_text_is_a_path_or_a_fault(text):
    try:
        assert parse_path(format_path(parse_path(text))) == parse_path(text)
    except PathError as wrong:
        assert str(wrong)


@pytest.mark.parametrize(
    "text, found",
    [
        ("/fleet/drains/drain[box=s-1]/why", ["x"]),
        ("/fleet/drains/drain/why", ["x"]),
        ("/fleet/*/drain[box=*]/box", ["s-1", "s-2"]),
        ("/.../rate", ["1"]),
        ("/fleet/drains/drain[box=s-9]", []),
        ("/fleet/cell[name=n]/cache", [["a"]]),
    ],
)
def test_reading_with_wildcards(text, found):
    assert [value for _, value in trees.read(SHAPE, tree(), parse_path(text))] == found


@pytest.mark.parametrize("text", ["/fleet/none", "/fleet/drains/drain[name=s-1]"])
def test_reading_what_the_model_has_not(text):
    with pytest.raises(PathError):
        list(trees.read(SHAPE, tree(), parse_path(text)))


@pytest.mark.parametrize(
    "what, text, value, after",
    [
        (
            "update",
            "/fleet/drains/drain[box=s-3]",
            {"why": "y"},
            lambda held: held["drains"]["drain"][2] == {"box": "s-3", "why": "y"},
        ),
        (
            "update",
            "/fleet/drains/drain[box=s-1]/why",
            "z",
            lambda held: held["drains"]["drain"][0]["why"] == "z",
        ),
        (
            "update",
            "/fleet/cell",
            [{"name": "n", "limits": {"rate": "9"}}, {"name": "m"}],
            lambda held: (
                [one["name"] for one in held["cell"]] == ["n", "m"]
                and held["cell"][0]["cache"] == ["a"]
            ),
        ),
        (
            "replace",
            "/fleet/cell[name=n]",
            {"cache": ["b"]},
            lambda held: held["cell"] == [{"name": "n", "cache": ["b"]}],
        ),
        ("replace", "/fleet", {"cell": []}, lambda held: "drains" not in held),
        (
            "delete",
            "/fleet/drains/drain[box=s-1]",
            None,
            lambda held: held["drains"]["drain"] == [{"box": "s-2"}],
        ),
        (
            "delete",
            "/fleet/drains/drain[box=s-9]",
            None,
            lambda held: len(held["drains"]["drain"]) == 2,
        ),
        ("delete", "/fleet/cell", None, lambda held: "cell" not in held),
        (
            "update",
            "/mulleinrelay-fleet:fleet",
            {"mulleinrelay-fleet:cell": [{"name": "q"}]},
            lambda held: len(held["cell"]) == 2,
        ),
    ],
)
def test_writing(what, text, value, after):
    held = tree()
    if what == "delete":
        trees.delete(SHAPE, held, parse_path(text))
    else:
        getattr(trees, what)(SHAPE, held, parse_path(text), value)
    assert after(held["fleet"])


@pytest.mark.parametrize(
    "text, value",
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
def test_writing_what_may_not_be(text, value):
    with pytest.raises(PathError):
        trees.update(SHAPE, tree(), parse_path(text), value)


def test_differences_name_leaves():
    new = tree()
    new["fleet"]["drains"]["drain"][0]["why"] = "y"
    del new["fleet"]["drains"]["drain"][1], new["fleet"]["cell"][0]["limits"]
    difference = trees.diff_trees(SHAPE, tree(), new)
    assert [(format_path(path), value) for path, value in difference.changed] == [
        ("/fleet/drains/drain[box=s-1]/why", "y")
    ]
    assert sorted(map(format_path, difference.deleted)) == [
        "/fleet/cell[name=n]/limits/rate",
        "/fleet/drains/drain[box=s-2]/box",
    ]


@pytest.mark.parametrize(
    "one, other, holds",
    [
        ("/", "/fleet/cell[name=n]/name", True),
        ("/fleet/cell", "/fleet/cell[name=n]/name", True),
        ("/fleet/cell[name=m]", "/fleet/cell[name=n]/name", False),
        ("/.../name", "/fleet/cell[name=n]/name", True),
        ("/fleet/*/name", "/fleet/cell[name=n]/name", True),
        ("/fleet/cell/cache", "/fleet/cell[name=n]/name", False),
    ],
)
def test_which_paths_cover_which(one, other, holds):
    assert covers(parse_path(one), parse_path(other)) == holds


def test_state_is_told_with_its_keys_alone():
    held = tree()
    held["fleet"]["drains"]["drain"][0]["state"] = {"phase": "binding"}
    assert trees.select_state(SHAPE, held) == {
        "fleet": {"drains": {"drain": [{"box": "s-1", "state": {"phase": "binding"}}]}}
    }
    assert fleet_children([parse_path("/fleet/cell/x"), parse_path("/fleet/boxes")]) == {
        "cell",
        "boxes",
    }
    assert (
        fleet_children([parse_path("/fleet")]) is None
        and fleet_children([parse_path("/fleet/*")]) is None
    )


# Drains over the list


def entry(name="s-1", state=EndpointState.READY, started=0.0, port=1, zone=1, kind=0):
    return EndpointUpdate(name, ("127.0.0.1", port), state, 4.0, kind, zone, 0, started)


BOX = entry()


def drained(every_life=False, listed=(BOX,)):
    intent = DrainIntent()
    intent.update_endpoints(0.0, listed, True)
    intent.set_requests(
        1.0,
        {
            "s-1": DrainRequest(
                "s-1",
                DrainScope.EVERY_INCARNATION if every_life else DrainScope.CURRENT_INCARNATION,
            )
        },
    )
    return intent


@pytest.mark.parametrize(
    "every_life, then, phase, state",
    [
        (False, [entry()], DrainPhase.ACTIVE, EndpointState.DRAINING),
        (False, [entry(started=9.0)], DrainPhase.ENDED, EndpointState.READY),
        (True, [entry(started=9.0)], DrainPhase.ACTIVE, EndpointState.DRAINING),
        (False, [entry(port=2)], DrainPhase.ENDED, EndpointState.READY),
        (
            False,
            [entry(state=EndpointState.GONE), entry()],
            DrainPhase.ACTIVE,
            EndpointState.DRAINING,
        ),
        (
            False,
            [entry(state=EndpointState.GONE), entry(started=5.0)],
            DrainPhase.ENDED,
            EndpointState.READY,
        ),
        (
            True,
            [entry(state=EndpointState.GONE), entry(started=5.0)],
            DrainPhase.ACTIVE,
            EndpointState.DRAINING,
        ),
        (
            False,
            [entry(state=EndpointState.DRAINING), entry()],
            DrainPhase.ACTIVE,
            EndpointState.DRAINING,
        ),
        (False, [entry(started=9.0), entry()], DrainPhase.ENDED, EndpointState.READY),
    ],
)
def test_a_drain_binds_the_life_it_met(every_life, then, phase, state):
    intent = drained(every_life)
    for number, one in enumerate(then):
        intent.update_endpoints(10.0 + number, [one], False)
    assert intent.drains["s-1"].phase == phase and intent.effective_state(then[-1]) == state


def test_a_drain_of_a_box_that_is_not_listed_waits_for_it():
    intent = drained(listed=[entry("s-2")])
    assert intent.drains["s-1"].phase == DrainPhase.WAITING
    intent.update_endpoints(5.0, [entry()], False)
    assert intent.effective_state(entry()) == EndpointState.DRAINING


def test_a_newcomer_at_the_address_of_a_drained_box_is_not_meant():
    intent = drained(True)
    intent.update_endpoints(5.0, [entry(state=EndpointState.GONE), entry("s-9")], False)
    assert intent.effective_state(entry("s-9")) == EndpointState.READY


def test_intent_and_list_that_disagree_are_told_of_once():
    intent = drained()
    assert not intent.take_contradicted(CONTRADICTION_GRACE_PERIOD - 100.0)
    assert [
        drain.request.endpoint
        for drain in intent.take_contradicted(CONTRADICTION_GRACE_PERIOD + 100.0)
    ] == ["s-1"]
    assert not intent.take_contradicted(9e9)
    agreed = drained()
    agreed.update_endpoints(5.0, [entry(state=EndpointState.DRAINING)], False)
    assert not agreed.take_contradicted(9e9)


@pytest.mark.parametrize(
    "wants, before, cells, why",
    [
        (["s-1"], [], {}, ""),
        (["s-1", "s-2"], [], {}, "location 1"),
        (["s-2"], ["s-1"], {}, "location 1"),
        (["s-1"], [], {"north": ["s-1"]}, "cell north"),
        (["s-9"], [], {"north": ["s-9"]}, ""),
        (["p-1"], [], {}, ""),
    ],
)
def test_a_drain_that_leaves_nothing_is_refused_unless_forced(wants, before, cells, why):
    listed = {one.name: one for one in (entry(), entry("s-2"), entry("p-1", zone=0, kind=1))}
    for forced in (False, True):
        told = drain_rejection_reason(
            listed,
            before,
            {name: DrainRequest(name, forced=forced) for name in wants},
            lambda one: one.kind == 0,
            cells,
        )
        assert told.startswith(why) if why and not forced else told == ""


@pytest.mark.parametrize(
    "names, role",
    [([], Role.READ), (["boss"], Role.CONFIGURE), (["x", "call"], Role.DRAIN), (["x"], Role.NONE)],
)
def test_roles_by_name(names, role):
    assert (
        AuthorizationPolicy({"boss": Role.CONFIGURE, "call": Role.DRAIN}, Role.READ).role_of(names)
        == role
    )


@pytest.mark.parametrize(
    "texts, role",
    [
        (["/fleet/drains/drain[box=a]"], Role.DRAIN),
        (["/fleet/drains", "/fleet/assignment"], Role.CONFIGURE),
        (["/fleet"], Role.CONFIGURE),
        (["/"], Role.CONFIGURE),
    ],
)
def test_what_a_change_asks_for(texts, role):
    assert required_role([parse_path(text) for text in texts]) == role


@pytest.mark.parametrize(
    "text, told",
    [
        ("[management]\nenabled = yes", "[management] insecure_loopback"),
        (
            "[management]\nenabled = yes\nlisten = 10.0.0.1:1\ninsecure_loopback = yes",
            "[management] listen: without",
        ),
        ("[management]\nlisten = here", "[management] listen: host:port"),
        ("[management]\nkey = x", "[management] certificate"),
        ("[roles]\nboss = king", "[roles] boss: one of read, drain, configure"),
        ("[limits]\nqueue = -1", "[limits] queue"),
        ("[limits]\nspeed = 1", "[limits] speed"),
        ("[x]\n", "[x]: an unknown section"),
    ],
)
def test_a_fault_of_our_own_file_names_its_key(text, told):
    with pytest.raises(ConfigError) as fault:
        parse_management_config(text, "/somewhere")
    assert str(fault.value).startswith(told)

"""gNMI paths: parsing, formatting, matching."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from mulleinrelay.management.errors import PathError
from mulleinrelay.management.paths import covers, fleet_children, format_path, parse_path


@pytest.mark.parametrize(
    ("text", "path"),
    [
        ("/", ()),
        ("/fleet/drains", (("fleet", ()), ("drains", ()))),
        ("fleet/drain[box=s-1]/", (("fleet", ()), ("drain", (("box", "s-1"),)))),
        ("/mulleinrelay-fleet:fleet", (("fleet", ()),)),
        (r"/a[k=x\]y\\z]", (("a", (("k", r"x]y\z"),)),)),
        ("/a[k=b/c]", (("a", (("k", "b/c"),)),)),
    ],
)
def test_path_is_parsed_and_formatted(text, path):
    assert parse_path(text) == path
    assert parse_path(format_path(path)) == path


@pytest.mark.parametrize(
    "text", ["/a[", "/a[k", "/a[k=v", "/a[=v]", "/[k=v]", "/a[k=v]b", "/" + "a/" * 40, "x" * 5000]
)
def test_malformed_path_is_rejected(text):
    with pytest.raises(PathError):
        parse_path(text)


@given(st.text("/[]=\\ab*.: \n\0é", max_size=60))
def test_arbitrary_text_is_parsed_or_rejected_with_a_message(text):
    try:
        path = parse_path(text)
    except PathError as error:
        message = str(error)
    else:
        assert parse_path(format_path(path)) == path
        return
    assert message


@pytest.mark.parametrize(
    ("pattern", "path", "is_covered"),
    [
        ("/", "/fleet/cell[name=n]/name", True),
        ("/fleet/cell", "/fleet/cell[name=n]/name", True),
        ("/fleet/cell[name=m]", "/fleet/cell[name=n]/name", False),
        ("/.../name", "/fleet/cell[name=n]/name", True),
        ("/fleet/*/name", "/fleet/cell[name=n]/name", True),
        ("/fleet/cell/cache", "/fleet/cell[name=n]/name", False),
    ],
)
def test_pattern_covers_paths_at_and_below_it(pattern, path, is_covered):
    assert covers(parse_path(pattern), parse_path(path)) == is_covered


@pytest.mark.parametrize(
    ("texts", "children"),
    [
        (["/fleet/cell/x", "/fleet/boxes"], {"cell", "boxes"}),
        (["/fleet"], None),
        (["/fleet/*"], None),
    ],
)
def test_fleet_children_are_those_that_the_paths_lead_to(texts, children):
    assert fleet_children([parse_path(text) for text in texts]) == children

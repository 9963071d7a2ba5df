"""Roles of callers by the names in their certificates."""

import pytest

from mulleinrelay.management.authorization import AuthorizationPolicy, Role, required_role
from mulleinrelay.management.paths import parse_path


@pytest.mark.parametrize(
    ("names", "role"),
    [([], Role.READ), (["boss"], Role.CONFIGURE), (["x", "call"], Role.DRAIN), (["x"], Role.NONE)],
)
def test_caller_has_the_highest_role_of_its_names(names, role):
    policy = AuthorizationPolicy({"boss": Role.CONFIGURE, "call": Role.DRAIN}, Role.READ)
    assert policy.role_of(names) == role


@pytest.mark.parametrize(
    ("texts", "role"),
    [
        (["/fleet/drains/drain[box=a]"], Role.DRAIN),
        (["/fleet/drains", "/fleet/assignment"], Role.CONFIGURE),
        (["/fleet"], Role.CONFIGURE),
        (["/"], Role.CONFIGURE),
    ],
)
def test_change_of_drains_requires_role_drain_and_any_other_change_configure(texts, role):
    assert required_role([parse_path(text) for text in texts]) == role

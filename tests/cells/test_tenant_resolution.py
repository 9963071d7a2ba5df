"""Resolution of a request's tenant by name, address or group."""

import pytest
from cells_fixtures import Tenant, make_assignment
from hypothesis import given, settings
from hypothesis import strategies as st

from mulleinrelay.cells.tenant_resolution import TenantResolver
from mulleinrelay.errors import ConfigError


@pytest.mark.parametrize(
    ("tenant_name", "address", "group", "tenant"),
    [
        ("acme", "10.0.0.1", 3, "acme"),
        ("nobody", "10.0.0.1", 3, "shared"),
        ("", "10.1.2.3", 3, "beta"),
        ("", "10.1.9.9", 3, "acme"),
        ("", "10.2.0.0", 3, "gamma"),
        ("", "fd00::1", 99, "gamma"),
        ("", "", 99, "shared"),
        ("", "no address", 99, "shared"),
        ("", "9.255.255.255", 99, "shared"),
        ("", "11.0.0.0", 40, "beta"),
        ("", "11.0.0.0", 41, "shared"),
    ],
)
def test_resolves_the_tenant_of_a_request(tenant_name, address, group, tenant):
    tenants = (
        Tenant("acme", "north", addresses=("10.1.0.0/16",)),
        Tenant("shared", "north"),
        Tenant("beta", "north", addresses=("10.1.2.0/24",), groups=((40, 40),)),
        Tenant("gamma", "south", addresses=("fd00::/8",), groups=((0, 9),)),
    )
    resolver = TenantResolver(make_assignment(tenants=tenants))
    assert resolver.resolve(tenant_name, address, group) == tenant
    if tenant == "shared":
        assert (
            TenantResolver(
                make_assignment(tenants=tenants, unknown_tenant_policy="reject")
            ).resolve(tenant_name, address, group)
            is None
        )


@pytest.mark.parametrize(
    ("first", "second"),
    [
        ({"groups": ((0, 9),)}, {"groups": ((5, 12),)}),
        ({"groups": ((0, 9),)}, {"groups": ((0, 9),)}),
        ({"addresses": ("10.0.0.0/8",)}, {"addresses": ("10.0.0.0/8",)}),
    ],
)
def test_crossing_ranges_are_rejected(first, second):
    with pytest.raises(ConfigError, match="crosses"):
        TenantResolver(
            make_assignment(
                tenants=(Tenant("acme", "north", **first), Tenant("beta", "north", **second))
            )
        )


@settings(max_examples=80, deadline=None)
@given(
    st.lists(st.tuples(st.integers(0, 4), st.integers(0, 15)), min_size=1, max_size=12),
    st.integers(0, 255),
)
def test_smallest_network_wins(networks, last):
    tenants = {}
    for size, index in networks:
        text = f"10.0.0.{(index * 16) & (0xFF << size) & 0xFF}/{32 - size}"
        tenants.setdefault(text, Tenant(f"t{len(tenants)}", "north", addresses=(text,)))
    resolver = TenantResolver(make_assignment(tenants=(*tenants.values(), "shared")))
    matches = [
        (int(text.rpartition("/")[2]), tenant.name)
        for text, tenant in tenants.items()
        if int(text.split(".")[3].split("/")[0]) >> (32 - int(text.rpartition("/")[2]))
        == last >> (32 - int(text.rpartition("/")[2]))
    ]
    assert resolver.tenant_of_address(f"10.0.0.{last}") == (max(matches)[1] if matches else "")

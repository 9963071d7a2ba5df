"""Whose request it is: by the client's own word, its address or the object's group; pure.

Addresses and groups are found by bisection, so that a request costs little also with many thousand
tenants. Not thread-safe: the admission controller's lock guards the cache of addresses.
"""

import ipaddress
from bisect import bisect_right
from dataclasses import dataclass

from ..errors import ConfigError
from .model import USE_DEFAULT_TENANT, Assignment

MAX_CACHED_ADDRESSES = 4096  # clients' addresses whose tenant is kept


@dataclass(slots=True, frozen=True)
class NamedRange:
    """A range of numbers, both ends included, that belongs to a tenant."""

    first: int
    last: int
    tenant: str


class RangeIndex:
    """Finds the tenant of a number by ranges that may contain one another, but never cross.

    The smallest range that contains a number wins.
    """

    def __init__(self, ranges: list[NamedRange], key: str) -> None:
        """Builds the index.

        Args:
            ranges: The ranges of all tenants, in any order.
            key: Key of the assignment file that they come from, for messages.

        Raises:
            ConfigError: If two ranges cross, or two tenants have the same.
        """
        # From _starts[i] on, up to the next start, numbers belong to _tenants[i].
        self._starts: list[int] = []
        self._tenants: list[str] = []
        enclosing: list[NamedRange] = []  # those that contain the present number, outermost first
        for entry in sorted(ranges, key=lambda entry: (entry.first, -entry.last)):
            while enclosing and enclosing[-1].last < entry.first:
                self._end_innermost(enclosing)
            if enclosing and self._crosses(entry, enclosing[-1]):
                raise ConfigError(
                    f"crosses that of tenant {enclosing[-1].tenant}",
                    section=f"tenant {entry.tenant}",
                    key=key,
                )
            self._begin(entry.first, entry.tenant)
            enclosing.append(entry)
        while enclosing:
            self._end_innermost(enclosing)

    def find(self, number: int) -> str:
        """Returns the tenant of a number; empty if no range contains it."""
        index = bisect_right(self._starts, number) - 1
        return self._tenants[index] if index >= 0 else ""

    def _crosses(self, entry: NamedRange, enclosing: NamedRange) -> bool:
        if entry.last > enclosing.last:
            return True
        has_same_start = self._starts[-1:] == [entry.first]
        is_same_range = has_same_start and entry.last == enclosing.last
        return is_same_range and entry.tenant != enclosing.tenant

    def _begin(self, number: int, tenant: str) -> None:
        """Numbers from this one on belong to the tenant."""
        if self._starts and self._starts[-1] == number:
            self._tenants[-1] = tenant
        else:
            self._starts.append(number)
            self._tenants.append(tenant)

    def _end_innermost(self, enclosing: list[NamedRange]) -> None:
        ended = enclosing.pop()
        self._begin(ended.last + 1, enclosing[-1].tenant if enclosing else "")


class TenantResolver:
    """Finds the tenant of a request by one version of the assignment."""

    def __init__(self, assignment: Assignment) -> None:
        """Builds the indexes.

        Raises:
            ConfigError: If ranges of two tenants cross.
        """
        self.assignment = assignment
        networks: dict[int, list[NamedRange]] = {4: [], 6: []}  # by version of IP
        groups: list[NamedRange] = []
        for tenant in assignment.tenants.values():
            for text in tenant.addresses:
                network = ipaddress.ip_network(text)
                first = int(network.network_address)
                last = int(network.broadcast_address)
                networks[network.version].append(NamedRange(first, last, tenant.name))
            groups += [NamedRange(first, last, tenant.name) for first, last in tenant.groups]
        self._by_address = {
            version: RangeIndex(ranges, "addresses") for version, ranges in networks.items()
        }
        self._by_group = RangeIndex(groups, "groups")
        self._cached_addresses: dict[str, str] = {}

    def tenant_of_address(self, address: str) -> str:
        """Returns the tenant whose ranges contain an address; empty if there is none.

        A text that is no address has no tenant. Answers are kept for the next request.
        """
        if not address:
            return ""
        tenant = self._cached_addresses.get(address)
        if tenant is None:
            tenant = self._find_address(address)
            if len(self._cached_addresses) >= MAX_CACHED_ADDRESSES:
                self._cached_addresses.clear()
            self._cached_addresses[address] = tenant
        return tenant

    def _find_address(self, address: str) -> str:
        try:
            parsed = ipaddress.ip_address(address)
        except ValueError:
            return ""
        return self._by_address[parsed.version].find(int(parsed))

    def resolve(self, tenant_name: str, address: str, group: int) -> str | None:
        """Returns the tenant of a request; None: the request is to be rejected.

        Args:
            tenant_name: As the client gave it; empty: it gave none. A name that is in no table is
                unknown whatever else would fit: a typing error must not use another's quota.
            address: Of the client.
            group: Of the object.
        """
        tenants = self.assignment.tenants
        if tenant_name:
            if tenant_name in tenants:
                return tenant_name
        elif found := self.tenant_of_address(address) or self._by_group.find(group):
            return found
        if (
            self.assignment.unknown_tenant_policy == USE_DEFAULT_TENANT
            and self.assignment.default_tenant
        ):
            return self.assignment.default_tenant
        return None

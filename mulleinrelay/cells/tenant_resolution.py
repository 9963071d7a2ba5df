"""Resolution of a request's tenant by name, by the client's address or by the object's group.

The tenant of an address or group is found by binary search, so that the cost per request is small
even with thousands of tenants. No I/O. Not thread-safe because of the cache of addresses:
`CellService` holds its lock during each call.
"""

import ipaddress
from bisect import bisect_right
from dataclasses import dataclass

from ..errors import ConfigError
from .model import USE_DEFAULT_TENANT, Assignment

MAX_CACHED_ADDRESSES = 4096  # client addresses with a cached tenant


@dataclass(slots=True, frozen=True)
class NamedRange:
    """A range of numbers that belongs to a tenant; both ends are inclusive."""

    first: int
    last: int
    tenant: str


class RangeIndex:
    """An index that finds the tenant of a number: an IP address or an object group.

    Each tenant has ranges of numbers. Ranges may be nested but must not partially overlap. The
    smallest range that contains a number determines the tenant.
    """

    def __init__(self, ranges: list[NamedRange], key: str) -> None:
        """Build the index.

        Args:
            ranges: Ranges of all tenants, in any order.
            key: Key of the assignment file that has the ranges, for error messages.

        Raises:
            ConfigError: If two ranges partially overlap, or if two tenants have the same range.
        """
        # Numbers from _starts[i] up to the next start (exclusive) belong to _tenants[i]; an empty
        # name means no tenant.
        self._starts: list[int] = []
        self._tenants: list[str] = []
        enclosing: list[NamedRange] = []  # ranges that have not ended yet, outermost first
        for entry in sorted(ranges, key=lambda entry: (entry.first, -entry.last)):
            while enclosing and enclosing[-1].last < entry.first:
                self._end_innermost(enclosing)
            if enclosing and self._crosses(entry, enclosing[-1]):
                raise ConfigError(
                    f"a range crosses a range of tenant {enclosing[-1].tenant}",
                    section=f"tenant {entry.tenant}",
                    key=key,
                )
            self._start_range(entry.first, entry.tenant)
            enclosing.append(entry)
        while enclosing:
            self._end_innermost(enclosing)

    def find(self, number: int) -> str:
        """Return the tenant of a number; empty if no range contains the number."""
        index = bisect_right(self._starts, number) - 1
        return self._tenants[index] if index >= 0 else ""

    def _crosses(self, entry: NamedRange, enclosing: NamedRange) -> bool:
        if entry.last > enclosing.last:
            return True
        has_same_start = self._starts[-1:] == [entry.first]
        is_same_range = has_same_start and entry.last == enclosing.last
        return is_same_range and entry.tenant != enclosing.tenant

    def _start_range(self, number: int, tenant: str) -> None:
        """Assign the numbers from `number` to a tenant, up to the `number` of the next call."""
        if self._starts and self._starts[-1] == number:
            self._tenants[-1] = tenant
        else:
            self._starts.append(number)
            self._tenants.append(tenant)

    def _end_innermost(self, enclosing: list[NamedRange]) -> None:
        ended = enclosing.pop()
        self._start_range(ended.last + 1, enclosing[-1].tenant if enclosing else "")


class TenantResolver:
    """A resolver that finds the tenant of a request in one version of the assignment."""

    def __init__(self, assignment: Assignment) -> None:
        """Build the indexes of addresses and groups.

        Raises:
            ConfigError: If two ranges partially overlap, or if two tenants have the same range.
        """
        self.assignment = assignment
        networks: dict[int, list[NamedRange]] = {4: [], 6: []}  # by IP version
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
        """Return the tenant with the smallest range that contains an address.

        The result is empty if no range contains the address or if the address is invalid. Results
        are cached.
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
        """Return the tenant of a request; None if the request must be rejected.

        If the client named no tenant, the address determines the tenant, or the group if the
        address belongs to no tenant. The assignment's policy says whether a request of an unknown
        tenant is rejected or handled as a request of the default tenant.

        Args:
            tenant_name: Tenant that the client named; empty if the client named none. A request
                with an unknown name has an unknown tenant even if its address or group matches,
                so that a misspelled name does not use the quota of another tenant.
            address: The client's address.
            group: Group of the object.
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

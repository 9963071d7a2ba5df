"""Whose request it is: by the client's own word, else its address, else the object's group, else
the default.

Addresses and groups are looked up by bisection, so that a table of many thousand tenants costs a
request little.
"""

import ipaddress
from bisect import bisect_right

from ..errors import ConfigError
from .model import TO_DEFAULT, Assignment


class RangeIndex:
    """Numbers to names by ranges that may hold one another, but never cross: the smallest that
    holds it wins.
    """

    def __init__(self, ranges: list[tuple[int, int, str]], what: str) -> None:
        self.starts: list[int] = []
        self.names: list[str] = []
        stack: list[
            tuple[int, str]
        ] = []  # ends and names of the ranges that hold the present place
        for first, last, name in sorted(ranges, key=lambda held: (held[0], -held[1])):
            while stack and stack[-1][0] < first:
                self._after(stack)
            if stack and (
                last > stack[-1][0]
                or (self.starts[-1:] == [first] and last == stack[-1][0] and name != stack[-1][1])
            ):
                raise ConfigError(f"[tenant {name}] {what}: crosses that of tenant {stack[-1][1]}")
            self._begin(first, name)
            stack.append((last, name))
        while stack:
            self._after(stack)

    def _begin(self, place: int, name: str) -> None:
        if self.starts and self.starts[-1] == place:
            self.names[-1] = name
        else:
            self.starts.append(place)
            self.names.append(name)

    def _after(self, stack: list[tuple[int, str]]) -> None:
        end, _ = stack.pop()
        self._begin(end + 1, stack[-1][1] if stack else "")

    def find(self, number: int) -> str:
        place = bisect_right(self.starts, number) - 1
        return self.names[place] if place >= 0 else ""


class TenantResolver:
    def __init__(self, charter: Assignment) -> None:
        """Raises ConfigError where ranges of two tenants cross."""
        self.assignment, self.addresses_kept = charter, 4096
        by_version: dict[int, list[tuple[int, int, str]]] = {4: [], 6: []}
        groups = []
        for tenant in charter.tenants.values():
            for text in tenant.addresses:
                network = ipaddress.ip_network(text)
                by_version[network.version].append(
                    (int(network.network_address), int(network.broadcast_address), tenant.name)
                )
            groups += [(first, last, tenant.name) for first, last in tenant.groups]
        self.by_address = {
            version: RangeIndex(held, "addresses") for version, held in by_version.items()
        }
        self.by_group = RangeIndex(groups, "groups")
        self.seen: dict[str, str] = {}

    def tenant_of_address(self, address: str) -> str:
        """The tenant whose ranges hold the address; empty: none does, or it is none."""
        if not address:
            return ""
        if (known := self.seen.get(address)) is None:
            try:
                parsed = ipaddress.ip_address(address)
                known = self.by_address[parsed.version].find(int(parsed))
            except ValueError:
                known = ""
            if len(self.seen) >= self.addresses_kept:
                self.seen.clear()
            self.seen[address] = known
        return known

    def resolve(self, told: str, address: str, group: int) -> str | None:
        """The tenant of a request; None: it is to be rejected. A told name that is in no table is
        unknown whatever else would fit: a typing fault must not land on another's account.
        """
        tenants = self.assignment.tenants
        if told:
            if told in tenants:
                return told
        elif found := self.tenant_of_address(address) or self.by_group.find(group):
            return found
        if self.assignment.unknown_tenant_policy == TO_DEFAULT and self.assignment.default_tenant:
            return self.assignment.default_tenant
        return None

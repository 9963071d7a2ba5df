"""Registry of the endpoints in the endpoint list: names, addresses and operators' overrides.

Not thread-safe; the coordinator guards it with its lock.
"""

from collections.abc import Callable
from dataclasses import replace
from typing import Protocol

from .policy.endpoint_capacity import SlowStartAdmission
from .policy.events import EndpointEntry, EndpointsUpdated
from .policy.latency import TrackedEndpoint
from .policy.model import UNKNOWN_ADDRESS, EndpointAddress, EndpointState, EndpointUpdate


class EndpointOverrides(Protocol):
    """Operators' overrides of the endpoint list; called under the coordinator's lock."""

    def update_endpoints(
        self, now: float, entries: list[EndpointUpdate], is_full_snapshot: bool
    ) -> None:
        """Record an update of the endpoint list.

        If the update is a full snapshot, endpoints without an entry are removed.
        """

    def effective_state(self, entry: EndpointUpdate) -> EndpointState:
        """Return the state that this director uses for the entry's endpoint, after overrides."""


class EndpointRegistry:
    """Endpoints by name, with the address of each.

    Each process has an endpoint object and an address object of its own, even if it has the name or
    the address of an earlier one. Results of attempts at the earlier process, its connections and
    what is known of its copies therefore never count for the new one.

    Owns the attributes below. `accept` and `reapply` change them, and `drop_removed` removes
    endpoints. The coordinator sets `overrides`.

    Attributes:
        endpoints: The router's endpoint objects, by name, including removed endpoints that the
            router still knows.
        addresses: The address of each endpoint, including that of each earlier process under the
            same name that the router still knows.
        updates: The latest entry of each endpoint, by name, except for removed endpoints.
        overrides: Operators' overrides of the endpoint list; None without management.
    """

    def __init__(self) -> None:
        self.endpoints: dict[str, TrackedEndpoint] = {}
        self.addresses: dict[TrackedEndpoint, EndpointAddress] = {}
        self.updates: dict[str, EndpointUpdate] = {}
        self._removed: dict[TrackedEndpoint, None] = {}  # those that `drop_removed` looks at
        self.overrides: EndpointOverrides | None = None

    def accept(
        self, now: float, entries: list[EndpointUpdate], is_full_snapshot: bool
    ) -> EndpointsUpdated:
        """Store an update of the endpoint list; return the event for the router.

        Omitted fields of an entry are filled in from the endpoint's previous entry. If there is no
        previous entry, an entry without an address is ignored, unless it removes the endpoint.
        """
        full_entries = [
            full_entry for entry in entries if (full_entry := self._fill_in(entry)) is not None
        ]
        if is_full_snapshot:
            self.updates = {}
        for entry in full_entries:
            if entry.state == EndpointState.GONE:
                self.updates.pop(entry.name, None)
            else:
                self.updates[entry.name] = entry
        if self.overrides is not None:
            self.overrides.update_endpoints(now, full_entries, is_full_snapshot)
        return self._router_update(full_entries, is_full_snapshot)

    def reapply(self, change: Callable[[EndpointOverrides], list[str]]) -> EndpointsUpdated | None:
        """Change the overrides; return the event that tells the router the affected endpoints.

        Args:
            change: Changes the overrides and returns the names of the affected endpoints.

        Returns:
            The event; None if no listed endpoint is affected.
        """
        names = change(self.overrides)  # type: ignore[arg-type]  # not None: the caller has set it
        affected = [self.updates[name] for name in names if name in self.updates]
        return self._router_update(affected, False) if affected else None

    def effective_state(self, entry: EndpointUpdate) -> EndpointState:
        """Return the state that this director uses for the entry's endpoint, after overrides."""
        return self.overrides.effective_state(entry) if self.overrides is not None else entry.state

    def is_current(self, endpoint: TrackedEndpoint, address: EndpointAddress) -> bool:
        """Return whether the endpoint is listed and `address` is still its address object."""
        return self.addresses.get(endpoint) is address and not address.is_removed

    def drop_removed(self, still_known: dict[TrackedEndpoint, None]) -> None:
        """Remove endpoints that left the endpoint list and that the router no longer knows.

        If they were kept, memory would grow with every replaced endpoint.

        Args:
            still_known: The endpoints that the router knows; the values are unused.
        """
        for endpoint in list(self._removed):
            if endpoint in still_known:
                continue
            del self._removed[endpoint]
            name = self.addresses.pop(endpoint).name
            if self.endpoints.get(name) is endpoint:
                del self.endpoints[name]

    def fractions_by_name(
        self, endpoints: list[TrackedEndpoint], slow_start: SlowStartAdmission, now: float
    ) -> list[tuple[str, TrackedEndpoint, float]]:
        """Return the endpoints, sorted by name.

        Returns:
            A tuple for each endpoint: its name, its endpoint object and a lower bound of the
            fraction of its capacity that is available.
        """
        named = [
            (
                self.addresses[endpoint].name,
                endpoint,
                slow_start.available_fraction(endpoint, now),
            )
            for endpoint in endpoints
        ]
        return sorted(named, key=lambda entry: entry[0])

    def states(
        self, slow_start: SlowStartAdmission, now: float
    ) -> list[tuple[EndpointUpdate, EndpointState, TrackedEndpoint, float | None, float]]:
        """Return the state of each listed endpoint, sorted by name.

        Returns:
            A tuple for each endpoint, as returned by `RequestCoordinator.endpoint_states`.
        """
        return [
            (
                entry,
                self.effective_state(entry),
                endpoint,
                endpoint.recent_delay.mean(now),
                slow_start.available_fraction(endpoint, now),
            )
            for name, entry in sorted(self.updates.items())
            if (endpoint := self.endpoints.get(name))
        ]

    def _fill_in(self, entry: EndpointUpdate) -> EndpointUpdate | None:
        """Return the entry, with omitted fields filled in from the endpoint's previous entry.

        The entry of a removed endpoint gets all fields but the state from the previous entry.

        Returns:
            The complete entry; None if the entry has no address and there is no previous entry,
            unless the endpoint is removed.
        """
        previous = self.updates.get(entry.name)
        is_gone = entry.state == EndpointState.GONE
        has_address = entry.address != UNKNOWN_ADDRESS
        if previous is None:
            return entry if has_address or is_gone else None
        return entry if has_address and not is_gone else replace(previous, state=entry.state)

    def _router_update(
        self, entries: list[EndpointUpdate], is_full_snapshot: bool
    ) -> EndpointsUpdated:
        router_entries = [each for entry in entries for each in self._router_entries(entry)]
        if is_full_snapshot:
            listed = {entry.name for entry in entries}
            for name, endpoint in self.endpoints.items():
                if name not in listed:
                    self._mark_removed(endpoint)
        return EndpointsUpdated(router_entries, is_full_snapshot)

    def _router_entries(self, entry: EndpointUpdate) -> list[EndpointEntry]:
        """Return the router's entries for an entry of the endpoint list.

        There are two if the entry is of a new process: the earlier one is gone. There is none if an
        unknown endpoint is gone.
        """
        endpoint = self.endpoints.get(entry.name)
        is_gone = entry.state == EndpointState.GONE
        router_entries = []
        if endpoint is not None and not is_gone and self._is_new_process(endpoint, entry):
            self._mark_removed(endpoint)
            departure = _router_entry(endpoint, EndpointState.GONE, entry)
            router_entries.append(departure._replace(started_at=endpoint.started_at))
            endpoint = None
        if endpoint is None:
            if is_gone:
                return []
            endpoint = self.endpoints[entry.name] = TrackedEndpoint(hash_key(entry.name))
            self.addresses[endpoint] = EndpointAddress(entry.name, entry.address)
        if is_gone:
            self._mark_removed(endpoint)
        router_entries.append(_router_entry(endpoint, self.effective_state(entry), entry))
        return router_entries

    def _is_new_process(self, endpoint: TrackedEndpoint, entry: EndpointUpdate) -> bool:
        """Return whether an entry is of another process than the endpoint under its name.

        A process that was removed from the endpoint list does not come back: the one that is listed
        afterwards may be another one, even at the same address.
        """
        address = self.addresses[endpoint]
        return (
            address.is_removed
            or address.address != entry.address
            or endpoint.started_at != entry.started_at
        )

    def _mark_removed(self, endpoint: TrackedEndpoint) -> None:
        self.addresses[endpoint].is_removed = True
        self._removed[endpoint] = None


def _router_entry(
    endpoint: TrackedEndpoint, state: EndpointState, entry: EndpointUpdate
) -> EndpointEntry:
    return EndpointEntry(
        endpoint,
        state,
        entry.weight,
        entry.kind,
        entry.zone,
        entry.advertised_cell,
        entry.started_at,
    )


def hash_key(name: str) -> int:
    """Return the number of an endpoint in the rendezvous hash, the same at every director.

    It is the hexadecimal number after the last hyphen of the name (the whole name if there is no
    hyphen). If that part is not a hexadecimal number, the number is made of all bytes of the name.
    """
    digits = name.rpartition("-")[2]
    try:
        return int(digits, 16)
    except ValueError:
        return int.from_bytes(name.encode(), "big")

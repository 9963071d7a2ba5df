"""Endpoints of the endpoint list, grouped by their role for this director; no I/O."""

from .events import EndpointEntry
from .latency import TrackedEndpoint
from .model import EndpointState, ServiceSettings


class EndpointTable:
    """Endpoint list as this director uses it.

    An update that concerns no endpoint with a role (cache of this zone, parent, origin) takes time
    in proportion to its entries, and not to the list.

    Owns the attributes below, and the fields of each endpoint that are copied from the endpoint
    list. Only `apply` changes them.

    Attributes:
        known: All listed endpoints, and removed endpoints that had attempts in flight at the last
            update.
        caches: The ready caches of this director's zone.
        parents: The ready parents of all zones.
        origin: The origin; None if it is not ready.
    """

    def __init__(self, settings: ServiceSettings) -> None:
        self._settings = settings
        self.known: dict[TrackedEndpoint, None] = {}
        self.caches: list[TrackedEndpoint] = []
        self.parents: list[TrackedEndpoint] = []
        self.origin: TrackedEndpoint | None = None
        self._departed: dict[TrackedEndpoint, None] = {}  # may be forgotten at the next update

    def ready(self) -> list[TrackedEndpoint]:
        """Return all endpoints that may be sent new work."""
        return [endpoint for endpoint in self.known if endpoint.is_ready]

    def apply(self, entries: list[EndpointEntry], is_full_snapshot: bool) -> bool:
        """Apply an update of the endpoint list; reset new and restarted endpoints.

        Args:
            entries: New or changed entries.
            is_full_snapshot: Whether endpoints without an entry are removed.

        Returns:
            Whether an endpoint of this zone is new or has restarted.
        """
        if is_full_snapshot:
            for endpoint in self.known:
                endpoint.state = EndpointState.GONE
                self._departed[endpoint] = None
        has_local_start = False
        has_role_changed = is_full_snapshot
        for entry in entries:
            endpoint = entry.endpoint
            has_role_changed |= self._has_role(endpoint)
            if entry.started_at != endpoint.started_at or endpoint not in self.known:
                endpoint.reset()
                has_local_start |= entry.zone == self._settings.zone
            self._copy_listed_fields(entry)
            self.known[endpoint] = None
            has_role_changed |= self._has_role(endpoint)
            if endpoint.state == EndpointState.GONE:
                self._departed[endpoint] = None
        self._forget_departed()
        if has_role_changed:
            self._assign_roles()
        return has_local_start

    def _has_role(self, endpoint: TrackedEndpoint) -> bool:
        """Return whether the endpoint is one of the caches, the parents or the origin."""
        if endpoint not in self.known or not endpoint.is_ready:
            return False
        settings = self._settings
        upstream_kinds = (settings.parent_kind, settings.origin_kind)
        return endpoint.kind in upstream_kinds or endpoint.zone == settings.zone

    def _forget_departed(self) -> None:
        """Forget removed endpoints without attempts in flight."""
        for endpoint in list(self._departed):
            is_gone = endpoint.state == EndpointState.GONE
            if is_gone and endpoint.attempts_in_flight:
                continue
            del self._departed[endpoint]
            if is_gone:
                del self.known[endpoint]

    @staticmethod
    def _copy_listed_fields(entry: EndpointEntry) -> None:
        endpoint = entry.endpoint
        endpoint.state = entry.state
        endpoint.weight = entry.weight
        endpoint.kind = entry.kind
        endpoint.zone = entry.zone
        endpoint.advertised_cell = entry.advertised_cell
        endpoint.started_at = entry.started_at

    def _assign_roles(self) -> None:
        settings = self._settings
        upstream_kinds = (settings.parent_kind, settings.origin_kind)
        ready = self.ready()
        self.caches = [
            endpoint
            for endpoint in ready
            if endpoint.kind not in upstream_kinds and endpoint.zone == settings.zone
        ]
        self.parents = [endpoint for endpoint in ready if endpoint.kind == settings.parent_kind]
        self.origin = next(
            (endpoint for endpoint in ready if endpoint.kind == settings.origin_kind), None
        )

"""Drains that operators ask for, laid over the endpoint list. Pure.

A drain names an endpoint. Once it meets the endpoint in the list it applies to that incarnation, or
to every one if asked so. An incarnation is the address and the start time together: an endpoint
that restarted, or that the list gives at another address, has a new one. Another endpoint at the
same address has another name and is never affected.

Nothing here locks: `RequestCoordinator` calls it under its own lock. Times are Unix milliseconds.
"""

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field, replace
from enum import StrEnum

from ..policy.model import EndpointState, EndpointUpdate
from .tree import Tree

# ms that the list may say ready for a drained endpoint before that is worth a log line
CONTRADICTION_GRACE_PERIOD = 10_000.0


class DrainScope(StrEnum):
    """Which incarnations of an endpoint a drain applies to, by their names in the YANG model."""

    CURRENT_INCARNATION = "this-life"
    EVERY_INCARNATION = "every-life"


class DrainPhase(StrEnum):
    """What has become of a drain, by the names in the YANG model."""

    WAITING = "waiting"
    """The list has not had the endpoint yet."""
    ACTIVE = "binding"
    """The endpoint gets no new requests."""
    ENDED = "over"
    """The incarnation that the drain applied to is gone."""


@dataclass(slots=True, frozen=True)
class DrainRequest:
    """One drain as operators have configured it.

    Attributes:
        endpoint: Name of the endpoint.
        scope: Which incarnations it applies to.
        forced: Whether it may leave a zone or cell without caches.
    """

    endpoint: str
    scope: DrainScope = DrainScope.CURRENT_INCARNATION
    forced: bool = False


@dataclass(slots=True, frozen=True)
class EndpointIncarnation:
    """One run of an endpoint: its address and its start in Unix milliseconds."""

    address: tuple[str, int]
    started_at: float


@dataclass(slots=True)
class DrainStatus:
    """One drain and what has become of it.

    Attributes:
        request: The drain as it is configured.
        phase: What has become of it.
        phase_since: When the phase began.
        incarnation: That it was first met in; None: it has not been met yet.
        contradicted_since: Since when the list says ready meanwhile; 0: it does not.
        is_contradiction_reported: Whether `take_contradicted` has given the drain already.
    """

    request: DrainRequest
    phase: DrainPhase = DrainPhase.WAITING
    phase_since: float = 0.0
    incarnation: EndpointIncarnation | None = None
    contradicted_since: float = 0.0
    is_contradiction_reported: bool = False


def requested_drains(tree: Tree) -> dict[str, DrainRequest]:
    """Returns the drains that a configuration asks for, by endpoint."""
    entries = tree.get("fleet", {}).get("drains", {}).get("drain", [])
    return {
        entry["box"]: DrainRequest(
            entry["box"],
            DrainScope.EVERY_INCARNATION
            if entry.get("scope") == DrainScope.EVERY_INCARNATION
            else DrainScope.CURRENT_INCARNATION,
            bool(entry.get("forced", False)),
        )
        for entry in entries
    }


@dataclass(slots=True)
class DrainIntent:
    """All drains, and the endpoint list as it was received last; both by endpoint's name."""

    drains: dict[str, DrainStatus] = field(default_factory=dict)
    endpoint_updates: dict[str, EndpointUpdate] = field(default_factory=dict)

    def copy(self) -> "DrainIntent":
        """Returns a copy that later changes of this one do not reach."""
        return DrainIntent(
            {name: replace(status) for name, status in self.drains.items()},
            dict(self.endpoint_updates),
        )

    def set_requests(self, now: float, requests: Mapping[str, DrainRequest]) -> list[str]:
        """Replaces the configured drains.

        Returns:
            The endpoints whose effective state may have changed.
        """
        affected = [name for name in self.drains if name not in requests]
        for name in affected:
            del self.drains[name]
        for name, request in requests.items():
            status = self.drains.get(name)
            if status is not None and status.request == request:
                continue
            if status is None or status.phase == DrainPhase.ENDED:
                self.drains[name] = DrainStatus(request, phase_since=now)
            else:
                self.drains[name] = replace(status, request=request)
            affected.append(name)
        for name in affected:
            self._apply_endpoint(now, name)
        return affected

    def update_endpoints(
        self, now: float, entries: Iterable[EndpointUpdate], is_full: bool
    ) -> None:
        """Takes over an update of the endpoint list.

        Args:
            now: Present time.
            entries: New or changed entries.
            is_full: Whether `entries` is the complete list.
        """
        if is_full:
            self.endpoint_updates = {}
        for entry in entries:
            if entry.state == EndpointState.GONE:
                self.endpoint_updates.pop(entry.name, None)
            else:
                self.endpoint_updates[entry.name] = entry
            self._apply_endpoint(now, entry.name)
        if is_full:
            for name in self.drains:
                self._apply_endpoint(now, name)

    def _apply_endpoint(self, now: float, name: str) -> None:
        """Brings the status of an endpoint's drain up to what the list says."""
        status = self.drains.get(name)
        if status is None or status.phase == DrainPhase.ENDED:
            return
        entry = self.endpoint_updates.get(name)
        if entry is None:
            # The incarnation may still run: a list that was interrupted names it again
            status.contradicted_since = 0.0
            return
        incarnation = EndpointIncarnation(entry.address, entry.started_at)
        is_restarted = status.incarnation is not None and status.incarnation != incarnation
        if is_restarted and status.request.scope != DrainScope.EVERY_INCARNATION:
            status.phase = DrainPhase.ENDED
            status.phase_since = now
            status.contradicted_since = 0.0
            return
        status.incarnation = incarnation
        if status.phase != DrainPhase.ACTIVE:
            status.phase = DrainPhase.ACTIVE
            status.phase_since = now
        if entry.state != EndpointState.READY:
            status.contradicted_since = 0.0
        elif not status.contradicted_since:
            status.contradicted_since = now

    def effective_state(self, entry: EndpointUpdate) -> EndpointState:
        """Returns the state of an endpoint that this director goes by."""
        status = self.drains.get(entry.name)
        is_active = status is not None and status.phase == DrainPhase.ACTIVE
        if is_active and entry.state == EndpointState.READY:
            return EndpointState.DRAINING
        return entry.state

    def take_contradicted(self, now: float) -> list[DrainStatus]:
        """Returns drains that the list has contradicted for long, each of them only once."""
        found = [
            status
            for status in self.drains.values()
            if status.contradicted_since
            and now > status.contradicted_since + CONTRADICTION_GRACE_PERIOD
            and not status.is_contradiction_reported
        ]
        for status in found:
            status.is_contradiction_reported = True
        return found


def drain_rejection_reason(
    endpoints: Mapping[str, EndpointUpdate],
    active_drains: Iterable[str],
    requests: Mapping[str, DrainRequest],
    is_cache: Callable[[EndpointUpdate], bool],
    caches_by_cell: Mapping[str, Iterable[str]],
) -> str:
    """Returns why new drains are rejected; empty if they are not.

    They are if a zone or cell that has ready caches now would have none. Forced drains are always
    let through.

    Args:
        endpoints: The endpoint list, by name.
        active_drains: Endpoints that are drained already.
        requests: The drains that are asked for, old and new, by endpoint.
        is_cache: Whether an endpoint is a cache that this director sends requests to.
        caches_by_cell: Names of caches by cell.
    """
    active = set(active_drains)
    new = {name for name, request in requests.items() if name not in active and not request.forced}
    if not new:
        return ""
    drained = set(requests) | active
    ready = {name for name, entry in endpoints.items() if entry.state == EndpointState.READY}
    caches_by_zone: dict[int, set[str]] = {}
    for name in ready:
        if is_cache(endpoints[name]):
            caches_by_zone.setdefault(endpoints[name].zone, set()).add(name)
    for zone, caches in sorted(caches_by_zone.items()):
        if new & caches and caches <= drained:
            return f"location {zone} would be left without caches: {', '.join(sorted(caches))}"
    for cell, names in sorted(caches_by_cell.items()):
        caches = ready.intersection(names)
        if new & caches and caches <= drained:
            return f"cell {cell} would be left without caches: {', '.join(sorted(caches))}"
    return ""

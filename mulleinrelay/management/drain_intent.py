"""Drains that operators request, applied on top of the endpoint list.

A drain names an endpoint. By default it applies to one incarnation of the endpoint: the incarnation
that the endpoint list has when the drain is set or, if the list does not have the endpoint yet, the
first incarnation that the list names. A drain may also apply to every incarnation.

An incarnation is identified by address and start time, so an endpoint that has restarted or has
another address in the list has a new incarnation. Another endpoint at the same address has another
name and is never affected.

No I/O, clock or locks: the time is an argument, in Unix milliseconds. The callers hold the lock of
`RequestCoordinator` while they change drains or endpoint list. Of the methods that change a drain,
only `take_contradicted` is called without that lock, by the thread of `ManagementService`.
"""

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field, replace
from enum import StrEnum

from ..policy.model import EndpointState, EndpointUpdate
from .tree import Tree

# ms for which the endpoint list may show a drained endpoint as ready before the contradiction is
# logged
CONTRADICTION_GRACE_PERIOD = 10_000.0


class DrainScope(StrEnum):
    """The incarnations that a drain applies to; the values are names of the YANG model."""

    CURRENT_INCARNATION = "this-life"
    EVERY_INCARNATION = "every-life"


class DrainPhase(StrEnum):
    """The phases of a drain; the values are names of the YANG model."""

    PENDING = "waiting"
    """The endpoint list has not had the endpoint since the drain was set."""
    ACTIVE = "binding"
    """The drain is in force: the endpoint gets no new requests."""
    ENDED = "over"
    """The endpoint list has shown another incarnation than the one that the drain applied to.

    The drain is no longer in force, even if the former incarnation appears in the list again.
    """


@dataclass(slots=True, frozen=True)
class DrainRequest:
    """A drain as configured by operators.

    Attributes:
        endpoint: Name of the endpoint.
        scope: The incarnations that the drain applies to.
        forced: Whether the drain may leave a zone or cell without caches.
    """

    endpoint: str
    scope: DrainScope = DrainScope.CURRENT_INCARNATION
    forced: bool = False


@dataclass(slots=True, frozen=True)
class EndpointIncarnation:
    """An incarnation of an endpoint, identified by address and start time (Unix milliseconds)."""

    address: tuple[str, int]
    started_at: float


@dataclass(slots=True)
class DrainStatus:
    """A drain and its current state.

    Attributes:
        request: The drain as configured.
        phase: The phase of the drain.
        phase_since: Start of the phase.
        incarnation: The incarnation that the drain applies to; with the scope
            `EVERY_INCARNATION`, the latest one in the endpoint list. None in the phase `PENDING`.
        contradicted_since: Time since which the drain is active although the endpoint list shows
            the endpoint as ready; 0 if this is not the case.
        is_contradiction_reported: Whether `take_contradicted` has returned the drain already.
    """

    request: DrainRequest
    phase: DrainPhase = DrainPhase.PENDING
    phase_since: float = 0.0
    incarnation: EndpointIncarnation | None = None
    contradicted_since: float = 0.0
    is_contradiction_reported: bool = False


def requested_drains(tree: Tree) -> dict[str, DrainRequest]:
    """Return the drains that a configuration requests, by name of the endpoint."""
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
    """All drains and the last received endpoint list, both by name of the endpoint."""

    statuses: dict[str, DrainStatus] = field(default_factory=dict)
    endpoint_updates: dict[str, EndpointUpdate] = field(default_factory=dict)

    def copy(self) -> "DrainIntent":
        """Return a copy that is independent of later changes."""
        return DrainIntent(
            {name: replace(status) for name, status in self.statuses.items()},
            dict(self.endpoint_updates),
        )

    def set_requests(self, now: float, requests: Mapping[str, DrainRequest]) -> list[str]:
        """Replace the configured drains.

        An unchanged drain keeps its status, even if it has ended. A changed drain continues from
        its status or, if it has ended, starts anew.

        Returns:
            Names of the endpoints whose effective state may have changed.
        """
        affected = [name for name in self.statuses if name not in requests]
        for name in affected:
            del self.statuses[name]
        for name, request in requests.items():
            status = self.statuses.get(name)
            if status is not None and status.request == request:
                continue
            if status is None or status.phase == DrainPhase.ENDED:
                self.statuses[name] = DrainStatus(request, phase_since=now)
            else:
                self.statuses[name] = replace(status, request=request)
            affected.append(name)
        for name in affected:
            self._update_status(now, name)
        return affected

    def update_endpoints(
        self, now: float, entries: Iterable[EndpointUpdate], is_full_snapshot: bool
    ) -> None:
        """Apply an update of the endpoint list.

        Args:
            now: The current time.
            entries: New or changed entries; an entry with the state `GONE` removes the endpoint.
            is_full_snapshot: Whether `entries` is the complete list.
        """
        if is_full_snapshot:
            self.endpoint_updates = {}
        for entry in entries:
            if entry.state == EndpointState.GONE:
                self.endpoint_updates.pop(entry.name, None)
            else:
                self.endpoint_updates[entry.name] = entry
            self._update_status(now, entry.name)
        if is_full_snapshot:
            for name in self.statuses:
                self._update_status(now, name)

    def _update_status(self, now: float, name: str) -> None:
        """Update the status of an endpoint's drain from the endpoint list."""
        status = self.statuses.get(name)
        if status is None or status.phase == DrainPhase.ENDED:
            return
        entry = self.endpoint_updates.get(name)
        if entry is None:
            # The drain does not end here: the incarnation may still be running, and the list may
            # name it again after an interruption of the event stream.
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
        """Return the state that this director uses for an endpoint, after applying its drain."""
        status = self.statuses.get(entry.name)
        is_active = status is not None and status.phase == DrainPhase.ACTIVE
        if is_active and entry.state == EndpointState.READY:
            return EndpointState.DRAINING
        return entry.state

    def take_contradicted(self, now: float) -> list[DrainStatus]:
        """Return the drains that the endpoint list has contradicted for over the grace period.

        The list contradicts an active drain while it shows the endpoint as ready. Each drain is
        returned only once.
        """
        contradicted = [
            status
            for status in self.statuses.values()
            if status.contradicted_since
            and now > status.contradicted_since + CONTRADICTION_GRACE_PERIOD
            and not status.is_contradiction_reported
        ]
        for status in contradicted:
            status.is_contradiction_reported = True
        return contradicted


def drain_rejection_reason(
    endpoints: Mapping[str, EndpointUpdate],
    active_drains: Iterable[str],
    requests: Mapping[str, DrainRequest],
    is_cache: Callable[[EndpointUpdate], bool],
    caches_by_cell: Mapping[str, Iterable[str]],
) -> str:
    """Return the reason why the requested drains must be rejected; empty if there is none.

    A drain is new if its endpoint is not drained already; this includes drains that have ended. A
    new drain that is not forced is a reason if its endpoint is a cache that the endpoint list shows
    as ready, and no ready cache of this cache's zone or cell would be left undrained. A forced
    drain alone is never a reason.

    Args:
        endpoints: The endpoint list, by name.
        active_drains: Names of the endpoints that are drained already. They count as drained
            even if `requests` no longer has them.
        requests: The requested drains, old and new, by name of the endpoint.
        is_cache: Returns whether an endpoint is a cache that this director sends requests to.
        caches_by_cell: Names of caches, by cell.
    """
    drained_already = set(active_drains)
    new_drains = {
        name
        for name, request in requests.items()
        if name not in drained_already and not request.forced
    }
    if not new_drains:
        return ""
    drained = set(requests) | drained_already
    ready = {name for name, entry in endpoints.items() if entry.state == EndpointState.READY}
    caches_by_zone: dict[int, set[str]] = {}
    for name in ready:
        if is_cache(endpoints[name]):
            caches_by_zone.setdefault(endpoints[name].zone, set()).add(name)
    for zone, caches in sorted(caches_by_zone.items()):
        if new_drains & caches and caches <= drained:
            return f"location {zone} would be left without caches: {', '.join(sorted(caches))}"
    for cell, cell_caches in sorted(caches_by_cell.items()):
        caches = ready.intersection(cell_caches)
        if new_drains & caches and caches <= drained:
            return f"cell {cell} would be left without caches: {', '.join(sorted(caches))}"
    return ""

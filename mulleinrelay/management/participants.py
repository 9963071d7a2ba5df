"""The participants of commits in a running director: drains and the cell assignment."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from typing import TYPE_CHECKING

from ..cells import store
from ..cells.admission_controller import PreparedAssignment, prepare_assignment
from ..cells.model import Assignment
from ..coordinator import EndpointOverrides, RequestCoordinator
from ..errors import ConfigError
from ..policy.model import EndpointUpdate
from .assignment_mapping import assignment_from_tree, assignment_to_tree
from .datastore import Undo
from .drain_intent import (
    DrainIntent,
    DrainPhase,
    DrainRequest,
    drain_rejection_reason,
    requested_drains,
)
from .errors import CommitRejectedError, ErrorCode
from .tree import Tree

if TYPE_CHECKING:
    from ..cells.service import CellService

CacheGrouping = Callable[[list[str]], dict[str, list[str]]]  # groups names of caches by cell


class DrainParticipant:
    """A participant that applies the operators' drains on top of the endpoint list.

    Attributes:
        intent: The drains and their states. Drains and phases are changed under the coordinator's
            lock only; management also reads them without that lock.
    """

    name = "drains"

    def __init__(self, coordinator: RequestCoordinator, group_by_cell: CacheGrouping) -> None:
        """Set the drains as the coordinator's overrides and load its current endpoint list.

        Args:
            coordinator: The coordinator whose endpoints are drained.
            group_by_cell: Groups names of caches by cell; returns an empty dict if cells are off.
        """
        self.coordinator = coordinator
        self.group_by_cell = group_by_cell
        self.intent = DrainIntent()
        with coordinator.lock:
            coordinator.overrides = self.intent
            self.intent.update_endpoints(
                coordinator.clock(), list(coordinator.endpoint_updates.values()), True
            )

    def prepare(self, old: Tree, new: Tree) -> dict[str, DrainRequest]:
        """Return the drains that the new configuration requests, by name of the endpoint.

        Raises:
            CommitRejectedError: If the drains are changed, and a new drain that is not forced would
                leave this director's zone, or a cell in this zone, without a ready cache that is
                not drained.
        """
        requests = requested_drains(new)
        if requests == requested_drains(old):
            return requests
        if reason := self._rejection_reason(requests):
            raise CommitRejectedError(f"{reason}; set forced to drain anyway")
        return requests

    def _rejection_reason(self, requests: dict[str, DrainRequest]) -> str:
        with self.coordinator.lock:
            active = [
                name
                for name, status in self.intent.statuses.items()
                if status.phase == DrainPhase.ACTIVE
            ]
            endpoints = dict(self.intent.endpoint_updates)
        caches = [name for name, entry in endpoints.items() if self._is_cache_of_zone(entry)]
        return drain_rejection_reason(
            endpoints, active, requests, self._is_cache_of_zone, self.group_by_cell(caches)
        )

    def _is_cache_of_zone(self, entry: EndpointUpdate) -> bool:
        """Return whether the endpoint is a cache in this director's zone.

        A director sends requests to the caches of its own zone only.
        """
        settings = self.coordinator.settings
        is_cache = entry.kind not in (settings.parent_kind, settings.origin_kind)
        return is_cache and entry.zone == settings.zone

    def persisted_version(self, prepared: dict[str, DrainRequest]) -> int:
        """Return 0, as drains have no file apart from the datastore."""
        return 0

    def commit(self, prepared: dict[str, DrainRequest]) -> Undo:
        """Apply the drains; return a function that restores the previous drains."""
        previous: list[DrainIntent] = []

        def apply(_: EndpointOverrides) -> list[str]:
            previous.append(self.intent.copy())
            return self.intent.set_requests(self.coordinator.clock(), prepared)

        def restore(_: EndpointOverrides) -> list[str]:
            affected = set(self.intent.statuses) | set(previous[0].statuses)
            self.intent.statuses = previous[0].statuses
            return sorted(affected)

        self.coordinator.change_overrides(apply)
        return lambda: self.coordinator.change_overrides(restore)


class AssignmentParticipant:
    """A participant that applies the cell assignment and writes it to the assignment file.

    If cells are off, it rejects a configuration with an assignment; if they are on, one without.
    """

    name = "assignment"

    def __init__(self, cell_service: CellService | None, clock: Callable[[], float]) -> None:
        """Store the sources of the assignment in use and of the time.

        Args:
            cell_service: The running cells; None if cells are off.
            clock: Returns the time in Unix milliseconds.
        """
        self.cell_service = cell_service
        self.clock = clock

    @property
    def assignment(self) -> Assignment | None:
        """The assignment in use; None if cells are off."""
        return self.cell_service.controller.assignment if self.cell_service is not None else None

    def tree(self) -> Tree:
        """Return the assignment in use as a tree of the YANG model; empty if cells are off."""
        assignment = self.assignment
        return assignment_to_tree(assignment) if assignment is not None else {}

    def prepare(self, old: Tree, new: Tree) -> PreparedAssignment | None:
        """Build the assignment that the new configuration requests.

        Returns:
            The assignment, ready to be applied; None if it equals the one in use, or if cells are
            off and no assignment is requested.

        Raises:
            CommitRejectedError: If the requested assignment is not valid, or is missing although
                cells are on, or is given although cells are off.
        """
        requested = new.get("fleet", {}).get("assignment")
        current = self.assignment
        if current is None:
            if requested:
                raise CommitRejectedError("cells are off at this director (serve --cells)")
            return None
        if requested is None:
            raise CommitRejectedError("the assignment cannot be removed while cells are on")
        try:
            assignment = assignment_from_tree(requested, current.version + 1, round(self.clock()))
            comparable = replace(assignment, version=current.version, written_at=current.written_at)
            if comparable == current:
                return None
            return prepare_assignment(assignment)
        except ConfigError as error:
            raise CommitRejectedError(str(error)) from error

    def persisted_version(self, prepared: PreparedAssignment | None) -> int:
        """Return the version of the assignment file after the commit; 0 if cells are off."""
        if prepared is not None:
            return prepared.assignment.version
        current = self.assignment
        return current.version if current is not None else 0

    def commit(self, prepared: PreparedAssignment | None) -> Undo:
        """Write and apply the assignment; return a function that restores the previous one.

        The restored assignment is written with a higher version than the one that it replaces.

        Raises:
            CommitRejectedError: If the file cannot be read or written, is being written by another
                process, or has been changed in the meantime.
        """
        previous = self.assignment
        if prepared is None or previous is None:
            return lambda: None
        applied_version = prepared.assignment.version
        self._apply(prepared, previous.version)

        def undo() -> None:
            restored = replace(previous, version=applied_version + 1)
            self._apply(prepare_assignment(restored), applied_version)

        return undo

    def _apply(self, prepared: PreparedAssignment, expected_version: int) -> None:
        """Write and apply an assignment.

        Raises:
            CommitRejectedError: If the file cannot be read or written, is being written by another
                process, or does not have the version `expected_version`.
        """
        if self.cell_service is None:
            return
        path = self.cell_service.config.assignment_file
        assignment = prepared.assignment
        try:
            with store.exclusive_writer(path):
                store.save_assignment(path, assignment, assignment.written_at, expected_version)
            self.cell_service.apply_prepared(prepared)
        except ConfigError as error:
            raise CommitRejectedError(str(error), ErrorCode.FAILED) from error

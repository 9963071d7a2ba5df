"""The participants of commits at a running director: drains and the cell assignment."""

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

CachesByCell = Callable[[list[str]], dict[str, list[str]]]  # of the caches that are given by name


class DrainParticipant:
    """Applies operators' drains over the endpoint list.

    Attributes:
        intent: The drains; guarded by the coordinator's lock.
    """

    name = "drains"

    def __init__(self, coordinator: RequestCoordinator, caches_by_cell: CachesByCell) -> None:
        """Becomes the coordinator's overrides, with the endpoint list as it has it now.

        Args:
            coordinator: Whose endpoints are drained.
            caches_by_cell: Returns which of the given caches each cell has; empty without cells.
        """
        self.coordinator = coordinator
        self.caches_by_cell = caches_by_cell
        self.intent = DrainIntent()
        with coordinator.lock:
            coordinator.overrides = self.intent
            self.intent.update_endpoints(
                coordinator.clock(), list(coordinator.endpoint_updates.values()), True
            )

    def prepare(self, old: Tree, new: Tree) -> dict[str, DrainRequest]:
        """Returns the drains that the new configuration asks for.

        Raises:
            CommitRejectedError: If a new one would leave a zone or cell without caches.
        """
        requests = requested_drains(new)
        if requests == requested_drains(old):
            return requests
        if reason := self._rejection_reason(requests):
            raise CommitRejectedError(f"{reason}; set forced to drain all the same")
        return requests

    def _rejection_reason(self, requests: dict[str, DrainRequest]) -> str:
        with self.coordinator.lock:
            active = [
                name
                for name, status in self.intent.drains.items()
                if status.phase == DrainPhase.ACTIVE
            ]
            endpoints = dict(self.intent.endpoint_updates)
        caches = [name for name, entry in endpoints.items() if self._is_cache_of_zone(entry)]
        return drain_rejection_reason(
            endpoints, active, requests, self._is_cache_of_zone, self.caches_by_cell(caches)
        )

    def _is_cache_of_zone(self, entry: EndpointUpdate) -> bool:
        """Whether it is a cache in the zone of this director, which sends requests to no others."""
        settings = self.coordinator.settings
        is_cache = entry.kind not in (settings.parent_kind, settings.origin_kind)
        return is_cache and entry.zone == settings.zone

    def persisted_version(self, prepared: dict[str, DrainRequest]) -> int:
        """Returns 0: drains are stored in the datastore alone."""
        return 0

    def commit(self, prepared: dict[str, DrainRequest]) -> Undo:
        """Applies the drains; returns what restores those from before."""
        before: list[DrainIntent] = []

        def apply(_: EndpointOverrides) -> list[str]:
            before.append(self.intent.copy())
            return self.intent.set_requests(self.coordinator.clock(), prepared)

        def restore(_: EndpointOverrides) -> list[str]:
            affected = set(self.intent.drains) | set(before[0].drains)
            self.intent.drains = before[0].drains
            return sorted(affected)

        self.coordinator.change_overrides(apply)
        return lambda: self.coordinator.change_overrides(restore)


class AssignmentParticipant:
    """Applies the cell assignment, where cells are on, and writes it to the assignment file."""

    name = "assignment"

    def __init__(self, cell_service: CellService | None, clock: Callable[[], float]) -> None:
        """Takes the running cells (None: cells are off) and the clock in Unix milliseconds."""
        self.cell_service = cell_service
        self.clock = clock

    @property
    def assignment(self) -> Assignment | None:
        """The assignment that is in use; None without cells."""
        return self.cell_service.controller.assignment if self.cell_service is not None else None

    def tree(self) -> Tree:
        """Returns the assignment in use as the model has it; empty without cells."""
        assignment = self.assignment
        return assignment_to_tree(assignment) if assignment is not None else {}

    def prepare(self, old: Tree, new: Tree) -> PreparedAssignment | None:
        """Builds the assignment that the new configuration asks for.

        Returns:
            The assignment, ready to be applied; None if it is the one in use.

        Raises:
            CommitRejectedError: If it cannot be used.
        """
        wanted = new.get("fleet", {}).get("assignment")
        present = self.assignment
        if present is None:
            if wanted:
                raise CommitRejectedError("cells are off at this director (serve --cells)")
            return None
        if wanted is None:
            raise CommitRejectedError("the assignment can't be taken out while cells are on")
        try:
            assignment = assignment_from_tree(wanted, present.version + 1, round(self.clock()))
            comparable = replace(assignment, version=present.version, written_at=present.written_at)
            if comparable == present:
                return None
            return prepare_assignment(assignment)
        except ConfigError as error:
            raise CommitRejectedError(str(error)) from error

    def persisted_version(self, prepared: PreparedAssignment | None) -> int:
        """Returns the version that the assignment file has after the commit; 0 without cells."""
        if prepared is not None:
            return prepared.assignment.version
        present = self.assignment
        return present.version if present is not None else 0

    def commit(self, prepared: PreparedAssignment | None) -> Undo:
        """Writes and applies the assignment; returns what restores the one from before.

        Raises:
            CommitRejectedError: If the file cannot be written, or another has written it meanwhile.
        """
        before = self.assignment
        if prepared is None or before is None:
            return lambda: None
        applied_version = prepared.assignment.version
        self._apply(prepared, before.version)

        def undo() -> None:
            restored = replace(before, version=applied_version + 1)
            self._apply(prepare_assignment(restored), applied_version)

        return undo

    def _apply(self, prepared: PreparedAssignment, built_on: int) -> None:
        """Writes and applies an assignment, if the file still has the version `built_on`."""
        if self.cell_service is None:
            return
        path = self.cell_service.config.assignment_file
        assignment = prepared.assignment
        try:
            with store.exclusive_writer(path):
                store.save_assignment(path, assignment, assignment.written_at, built_on)
            self.cell_service.apply_prepared(prepared)
        except ConfigError as error:
            raise CommitRejectedError(str(error), ErrorCode.FAILED) from error

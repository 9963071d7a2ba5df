"""Puts the management of one director together from its parts."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from ..cells.hashing import caches_by_cell
from ..config.platform import DirectorConfig
from ..coordinator import RequestCoordinator
from ..structured_log import StructuredLog
from .config import ManagementConfig
from .datastore_file import DatastoreFile
from .gnmi_server import GnmiServer
from .participants import AssignmentParticipant, DrainParticipant
from .service import ManagementParts, ManagementService
from .state_view import StateView
from .yang_model import YangModel

if TYPE_CHECKING:
    from ..cells.service import CellService


def build_gnmi_server(
    config: ManagementConfig,
    director_config: DirectorConfig,
    coordinator: RequestCoordinator,
    cell_service: CellService | None,
    clock: Callable[[], float],
    log: StructuredLog,
) -> GnmiServer:
    """Builds the gNMI server of a director, with all of management behind it.

    Args:
        config: Settings of management.
        director_config: Settings of the director.
        coordinator: The director's requests and endpoints; gets the drains as its overrides.
        cell_service: The director's cells; None: they are off.
        clock: Unix milliseconds.
        log: Where management logs.

    Raises:
        DatastoreFileError: If the stored datastore cannot be used.
        CommitRejectedError: If what is stored cannot be applied.
        RuntimeError: If the server cannot listen.
        OSError: If a certificate cannot be read.
    """

    def group_caches(caches: list[str]) -> dict[str, list[str]]:
        if cell_service is None:
            return {}
        return caches_by_cell(cell_service.controller.assignment, caches)

    drains = DrainParticipant(coordinator, group_caches)
    parts = ManagementParts(
        datastore_file=DatastoreFile(config.state_dir),
        model=YangModel(),
        drains=drains,
        assignment=AssignmentParticipant(cell_service, clock),
        state_view=StateView(director_config, coordinator, cell_service, drains),
    )
    return GnmiServer(config, ManagementService(parts, clock, log), log)

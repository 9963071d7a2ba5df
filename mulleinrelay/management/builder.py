"""Assembly of the management of one director."""

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
from .service import ManagementComponents, ManagementService
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
    """Build a director's gNMI server and management service; apply the stored configuration.

    The server is bound to its address, but serves no calls before it is started.

    Args:
        config: Settings of management.
        director_config: Settings of the director.
        coordinator: The director's coordinator; the drains are set as its overrides of the
            endpoint list.
        cell_service: The director's cells; None if cells are off.
        clock: Returns the time in Unix milliseconds.
        log: Receives the log events of management.

    Raises:
        DatastoreFileError: If the stored datastore cannot be used.
        CommitRejectedError: If the stored configuration cannot be applied, or the assignment in use
            cannot be validated or stored.
        RuntimeError: If the server cannot listen on its address.
        OSError: If a certificate or key cannot be read.
    """

    def group_caches(caches: list[str]) -> dict[str, list[str]]:
        if cell_service is None:
            return {}
        return caches_by_cell(cell_service.controller.assignment, caches)

    drain_participant = DrainParticipant(coordinator, group_caches)
    components = ManagementComponents(
        datastore_file=DatastoreFile(config.state_dir),
        model=YangModel(),
        drain_participant=drain_participant,
        assignment_participant=AssignmentParticipant(cell_service, clock),
        state_view=StateView(director_config, coordinator, cell_service, drain_participant),
    )
    return GnmiServer(config, ManagementService(components, clock, log), log)

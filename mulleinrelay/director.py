"""One director from start to exit.

This module reads no environment variables and handles no signals; `process` does.
"""

import threading
import time
from enum import Enum
from typing import TYPE_CHECKING

from .config.platform import DirectorConfig
from .coordinator import RequestCoordinator
from .net.client_listener import ClientListener
from .net.event_stream import EventStream
from .net.request_handler import RequestHandler
from .net.upstream_connections import UpstreamConnections
from .structured_log import StructuredLog

if TYPE_CHECKING:
    from .cells.config import CellsConfig
    from .cells.service import CellService
    from .management.config import ManagementConfig
    from .management.gnmi_server import GnmiServer
    from .membership.config import FleetConfig
    from .membership.service import MembershipService

CLOSE_IDLE_INTERVAL = 250.0  # ms between two searches for idle connections
PING_INTERVAL = 25.0  # ms between two searches for silent upstream connections
TIMER_ERROR_WAIT_S = 0.05  # wait after an error in the thread of the timers

# The platform limits the duration of a drain to the longest client timeout of all request classes,
# but at most MAX_CLIENT_TIMEOUT_S, plus DRAIN_GRACE_S. This limit is called the end of the drain.
NEW_CALLS_S = 1.0  # after the beginning of the drain; clients may still send calls until then
MAX_CLIENT_TIMEOUT_S = 3.0
DRAIN_GRACE_S = 0.7
FINAL_ANSWERS_S = 0.5  # before the end of the drain, when all open requests get a final answer
EXIT_S = 0.2  # before the end of the drain, when the director stops at the latest
DRAIN_POLL_S = 0.02


class Phase(Enum):
    """Phase of a director's life cycle, as written to the log."""

    STARTING = "starting"
    READY = "ready"
    DRAINING = "draining"
    STOPPED = "stopped"


class Director:
    """One director, which builds its components and starts and stops them in order.

    Attributes:
        phase: Current phase of the life cycle.
        stop_requested: Set by `stop`.
        stopped: Set when the drain is finished and all components are stopped.
        cell_service: Service that confines tenants to cells; None if it is off.
        gnmi_server: Server for management by gNMI; None before `start` builds it, or if it is off.
        membership: Service that communicates with other directors; None if it is off.
    """

    def __init__(
        self,
        config: DirectorConfig,
        log: StructuredLog,
        cells: "CellsConfig | None" = None,
        management: "ManagementConfig | None" = None,
        fleet: "FleetConfig | None" = None,
    ) -> None:
        """Build the components without starting them.

        Args:
            config: The platform's configuration.
            log: Log for operators.
            cells: Configuration of cells; None to switch them off.
            management: Configuration of management by gNMI; None to switch it off.
            fleet: Configuration of the communication with other directors; None to switch it off.

        Raises:
            ConfigError: If the assignment file of the cells cannot be read or is invalid.
        """
        self.config = config
        self.log = log
        self.phase = Phase.STARTING
        # Unix milliseconds minus monotonic milliseconds. The difference is computed only once, so
        # that steps of the system clock do not affect the timers.
        self.clock_offset = time.time() * 1000.0 - time.monotonic() * 1000.0
        self.stop_requested = threading.Event()
        self.stopped = threading.Event()
        self.coordinator = RequestCoordinator(self.clock, config.seed, config.settings, log)
        self.upstream = UpstreamConnections(self.coordinator, self.clock, log, config)
        self.request_handler = RequestHandler(config, self.coordinator, self.upstream, log)
        self.listener = ClientListener(config.listen, self.request_handler, log)
        self.event_stream = EventStream(config, self.coordinator, log)
        self.cell_service = self._build_cell_service(cells)
        self.request_handler.admission_control = self.cell_service
        self.management_config = management
        self.gnmi_server: GnmiServer | None = None
        self.membership = self._build_membership(fleet)

    def _build_cell_service(self, cells: "CellsConfig | None") -> "CellService | None":
        if cells is None or not cells.enabled:
            return None
        from .cells.service import CellService

        return CellService(
            cells,
            self.config,
            self.coordinator,
            self.clock,
            self.log,
            self.request_handler.max_requests,
        )

    def _build_membership(self, fleet: "FleetConfig | None") -> "MembershipService | None":
        if fleet is None or not fleet.enabled:
            return None
        from .membership.service import MembershipService

        return MembershipService(
            fleet, self.config.name, self.config.seed, self.clock, self.log, self.coordinator
        )

    def _start_management(self) -> None:
        if self.management_config is None or not self.management_config.enabled:
            return
        from .management.builder import build_gnmi_server

        self.gnmi_server = build_gnmi_server(
            self.management_config,
            self.config,
            self.coordinator,
            self.cell_service,
            self.clock,
            self.log,
        )
        self.gnmi_server.start()
        self.gnmi_server.management.start()

    def clock(self) -> float:
        """Return Unix milliseconds that are not affected by steps of the system clock."""
        return self.clock_offset + time.monotonic() * 1000.0

    def start(self) -> None:
        """Start all components; return when the director is ready for requests.

        Raises:
            OSError: If the address for clients or for other directors cannot be listened on, or a
                certificate of management cannot be read.
            RuntimeError: If the address of management cannot be listened on.
            StoreError: If the stored data of management cannot be read.
            CommitRejectedError: If the stored configuration of management cannot be applied.
        """
        self.event_stream.start()
        if self.cell_service is not None:
            self.cell_service.start()
        threading.Thread(target=self._run_timers, name="timers", daemon=True).start()
        self._start_management()
        if self.membership is not None:
            self.membership.start()
        self.listener.start()
        self.event_stream.wait_until_current()
        self.request_handler.is_healthy = True
        self._enter_phase(Phase.READY)

    def reload(self, config: DirectorConfig) -> None:
        """Apply the parts of a new configuration that can change while the director runs.

        These are the address of the event stream and the known events. The other parts are ignored.
        """
        host, port = config.event_stream_address
        self.log.event("configuration read", bus=f"{host}:{port}")
        self.event_stream.reconnect_to(config.event_stream_address, config.known_events)

    def stop(self) -> None:
        """Request the drain, which `wait` performs."""
        self.stop_requested.set()

    def wait(self) -> None:
        """Wait until `stop` is called, then drain and stop all components."""
        self.stop_requested.wait()
        drain_started = time.monotonic()
        self.request_handler.is_healthy = False
        self._enter_phase(Phase.DRAINING)
        self._drain(drain_started)
        self.listener.stop()
        self.event_stream.stop()
        if self.membership is not None:
            self.membership.stop()
        if self.gnmi_server is not None:
            self.gnmi_server.stop()
        if self.cell_service is not None:
            self.cell_service.stop()
        self.upstream.stop()
        self._enter_phase(Phase.STOPPED)
        self.stopped.set()

    def _drain(self, started: float) -> None:
        """Wait until pending requests are finished and connections closed, or time is up.

        Shortly before the end of the drain, requests that are still pending get a final answer.
        """
        request_classes = self.config.request_classes.values()
        longest = max((each.client_timeout for each in request_classes), default=0.0) / 1000.0
        duration = min(MAX_CLIENT_TIMEOUT_S, longest) + DRAIN_GRACE_S
        while (elapsed := time.monotonic() - started) < duration - EXIT_S:
            is_idle = (
                elapsed >= NEW_CALLS_S
                and not self.coordinator.pending_count()
                and not self.listener.has_pending_writes()
            )
            # `drain` returns False if a connection is not closed yet, for example because another
            # call has arrived. The drain then goes on.
            if is_idle and self.listener.drain():
                return
            if elapsed >= duration - FINAL_ANSWERS_S:
                for request in self.coordinator.finish_pending_requests():
                    self.request_handler.run_request(request)
            time.sleep(DRAIN_POLL_S)

    def _enter_phase(self, phase: Phase) -> None:
        self.phase = phase
        self.log.event("phase", phase=phase.value, open=self.coordinator.pending_count())

    def _run_timers(self) -> None:
        """Run the coordinator's timers and maintain connections, in a separate thread."""
        close_idle_at = self.clock()
        ping_at = close_idle_at
        while not self.stopped.is_set():
            try:
                next_timer, health_checks, requests = self.coordinator.run_due_timers()
                for request in requests:
                    self.request_handler.run_request(request)
                for endpoint, address in health_checks:
                    self.upstream.check_health(endpoint, address)
                now = self.clock()
                if now >= ping_at:
                    self.upstream.ping_silent_connections()
                    ping_at = now + PING_INTERVAL
                if now >= close_idle_at:
                    self.upstream.close_idle()
                    self.listener.close_idle()
                    close_idle_at = now + CLOSE_IDLE_INTERVAL
                self.coordinator.wait_until(min(next_timer, close_idle_at, ping_at))
            except Exception as error:
                # The thread must go on, as requests would never time out without timers. The wait
                # leaves CPU time to the other threads if the error persists.
                self.log.exception("timers", error)
                self.stopped.wait(TIMER_ERROR_WAIT_S)

"""One director from start to exit, built from its parts; no signals, no environment."""

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

# Of the descriptors; the rest is for the event stream, management and files.
CLIENT_FRACTION = 0.5
UPSTREAM_FRACTION = 0.4

CLOSE_IDLE_INTERVAL = 250.0  # ms between two looks for idle connections
PING_INTERVAL = 25.0  # ms between two looks for quiet upstream connections
TIMER_ERROR_WAIT_S = 0.05  # after an error in the timers' thread

# Of a drain, which the platform ends after the longest client timeout or MAX_PATIENCE_S, whichever
# is shorter, and DRAIN_GRACE_S more.
NEW_CALLS_S = 1.0  # from its begin, in which clients still send calls
MAX_PATIENCE_S = 3.0
DRAIN_GRACE_S = 0.7
FINAL_ANSWERS_S = 0.5  # before its end: all that is open gets its final answer
EXIT_S = 0.2  # before its end: the process exits
DRAIN_POLL_S = 0.02


class Phase(Enum):
    """Where a director is in its life cycle, as log lines have it."""

    STARTING = "starting"
    READY = "ready"
    DRAINING = "draining"
    STOPPED = "stopped"


class Director:
    """All parts of one director, and their order at start and stop.

    Attributes:
        phase: Where it is in its life cycle.
        stop_requested: Set by `stop`.
        stopped: Set when the drain is over.
        cell_service: Confines tenants; None: off, as with the next two.
        gnmi_server: Management by gNMI; built at the start.
        membership: Speaks to other directors.
    """

    def __init__(
        self,
        config: DirectorConfig,
        log: StructuredLog,
        cells: "CellsConfig | None" = None,
        management: "ManagementConfig | None" = None,
        fleet: "FleetConfig | None" = None,
    ) -> None:
        """Builds the parts; nothing is started.

        Args:
            config: The platform's configuration.
            log: For operators.
            cells: Tenants are confined as it says; None: off.
            management: Operators reach the director by gNMI; None: off.
            fleet: The director speaks to others; None: off.

        Raises:
            ConfigError: If the cell assignment cannot be used.
        """
        self.config = config
        self.log = log
        self.phase = Phase.STARTING
        # Taken once: steps of the system's clock do not reach the timers.
        self.clock_offset = time.time() * 1000.0 - time.monotonic() * 1000.0
        self.stop_requested = threading.Event()
        self.stopped = threading.Event()
        self.coordinator = RequestCoordinator(self.clock, config.seed, config.settings, log)
        max_upstream = int(UPSTREAM_FRACTION * config.max_descriptors)
        self.upstream = UpstreamConnections(self.coordinator, self.clock, log, config, max_upstream)
        self.request_handler = RequestHandler(config, self.coordinator, self.upstream, log)
        self.listener = ClientListener(
            config.listen, self.request_handler, log, int(CLIENT_FRACTION * config.max_descriptors)
        )
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
        """Returns Unix milliseconds that never step."""
        return self.clock_offset + time.monotonic() * 1000.0

    def start(self) -> None:
        """Starts all parts; returns when requests are welcome.

        Raises:
            OSError: If the address for clients cannot be listened on.
            RuntimeError: If management cannot start.
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
        self._enter(Phase.READY)

    def reload(self, config: DirectorConfig) -> None:
        """Takes over what may change in a running director.

        That is the event stream's address and the events known by now; the rest stays.
        """
        host, port = config.event_stream_address
        self.log.event("configuration read", bus=f"{host}:{port}")
        self.event_stream.reconnect_to(config.event_stream_address, config.known_events)

    def stop(self) -> None:
        """Requests the drain, which `wait` carries out."""
        self.stop_requested.set()

    def wait(self) -> None:
        """Waits for `stop`, drains, and stops all parts."""
        self.stop_requested.wait()
        drain_began = time.monotonic()
        self.request_handler.is_healthy = False
        self._enter(Phase.DRAINING)
        self._drain(drain_began)
        self.listener.stop()
        self.event_stream.stop()
        if self.membership is not None:
            self.membership.stop()
        if self.gnmi_server is not None:
            self.gnmi_server.stop()
        if self.cell_service is not None:
            self.cell_service.stop()
        self.upstream.stop()
        self._enter(Phase.STOPPED)
        self.stopped.set()

    def _drain(self, began: float) -> None:
        """Finishes pending requests and ends connections, as far as the platform's time allows."""
        request_classes = self.config.request_classes.values()
        longest = max((each.client_timeout for each in request_classes), default=0.0) / 1000.0
        duration = min(MAX_PATIENCE_S, longest) + DRAIN_GRACE_S
        while (elapsed := time.monotonic() - began) < duration - EXIT_S:
            is_idle = (
                elapsed >= NEW_CALLS_S
                and not self.coordinator.pending_count()
                and not self.listener.has_pending_writes()
            )
            # It is not over where a call has crossed it, or the end of a connection is to come.
            if is_idle and self.listener.drain():
                return
            if elapsed >= duration - FINAL_ANSWERS_S:
                for request in self.coordinator.finish_pending_requests():
                    self.request_handler.run_request(request)
            time.sleep(DRAIN_POLL_S)

    def _enter(self, phase: Phase) -> None:
        self.phase = phase
        self.log.event("phase", phase=phase.value, open=self.coordinator.pending_count())

    def _run_timers(self) -> None:
        """Runs the coordinator's timers and looks after connections, in a thread of its own."""
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
                    self.upstream.ping_quiet_connections()
                    ping_at = now + PING_INTERVAL
                if now >= close_idle_at:
                    self.upstream.close_idle()
                    self.listener.close_idle()
                    close_idle_at = now + CLOSE_IDLE_INTERVAL
                self.coordinator.wait_until(min(next_timer, close_idle_at, ping_at))
            except Exception as error:
                # Without timers no request would end. Should the error stay, the other threads
                # still get the core.
                self.log.exception("timers", error)
                self.stopped.wait(TIMER_ERROR_WAIT_S)

"""One director from start to exit: made from a Start, started, stopped; no signals, no
environment.
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
    from .management.config import ManagementConfig
    from .membership.config import FleetConfig

CLIENTS_SHARE, LINKS_SHARE = 0.5, 0.4  # of the descriptors
SWEEP_EVERY, ASK_EVERY = 250.0, 25.0
NEW_CALLS_S = 1.0  # s after the call to stop in which clients still come
LONGEST_WAIT, SPARE = (
    3.0,
    0.7,
)  # s: the platform waits for the longest client timeout or this, and for this
FINAL_ANSWERS_S, WRITTEN = (
    0.5,
    0.2,
)  # s before the platform's end: all that is open gets its final answer; exit


class Phase(Enum):
    STARTING = "starting"
    READY = "ready"
    DRAINING = "draining"
    STOPPED = "stopped"


class Director:
    def __init__(
        self,
        start: DirectorConfig,
        log: StructuredLog,
        cells: "CellsConfig | None" = None,
        management: "ManagementConfig | None" = None,
        fleet: "FleetConfig | None" = None,
    ) -> None:
        """`cells`: tenants are confined as that file says. `management`: staff reach it by gNMI.
        `fleet`: it talks to other directors. Raises ConfigError where the assignment can't be
        used.
        """
        self.config, self.log = start, log
        self.phase = Phase.STARTING
        self.clock_offset = (
            time.time() * 1000.0 - time.monotonic() * 1000.0
        )  # taken once: steps don't reach us
        self.stop_requested, self.stopped = threading.Event(), threading.Event()
        self.coordinator = RequestCoordinator(self.clock, start.seed, start.settings, log)
        self.upstream = UpstreamConnections(
            self.coordinator,
            self.clock,
            log,
            start.connect_timeout,
            start.idle_timeout,
            start.max_attempts_per_connection,
            int(LINKS_SHARE * start.max_descriptors),
            start.settings.allows_health_checks,
            start.connections_are_priced,
        )
        self.request_handler = RequestHandler(start, self.coordinator, self.upstream, log)
        self.listener = ClientListener(
            start.listen, self.request_handler, log, int(CLIENTS_SHARE * start.max_descriptors)
        )
        self.event_stream = EventStream(start, self.coordinator, log)
        self.cell_service = None
        if cells is not None and cells.enabled:
            from .cells.service import CellService

            self.cell_service = CellService(
                cells, start, self.coordinator, self.clock, log, self.request_handler.max_requests
            )
            self.request_handler.admission_control = self.cell_service
        self.management_config = (
            management if management is not None and management.enabled else None
        )
        self.gnmi_server = None
        self.membership = None
        if fleet is not None and fleet.enabled:
            from .membership.service import MembershipService

            self.membership = MembershipService(
                fleet, start.name, start.seed, self.clock, log, self.coordinator
            )

    def clock(self) -> float:
        """Unix milliseconds."""
        return self.clock_offset + time.monotonic() * 1000.0

    def start(self) -> None:
        self.event_stream.start()
        if self.cell_service is not None:
            self.cell_service.start()
        threading.Thread(target=self._keep_time, name="clock", daemon=True).start()
        if self.management_config is not None:
            from .management.gnmi_server import build

            self.gnmi_server = build(
                self.management_config,
                self.config,
                self.coordinator,
                self.cell_service,
                self.clock,
                self.log,
            )
            self.gnmi_server.start()
            self.gnmi_server.manager.start()
        if self.membership is not None:
            self.membership.start()
        self.listener.start()
        self.event_stream.wait_until_current()
        self.request_handler.is_healthy = True
        self._enter(Phase.READY)

    def reload(self, start: DirectorConfig) -> None:
        """Takes over what may change while it runs, the address of the event stream and the events
        known by now; the rest stays.
        """
        self.log.event(
            "configuration read",
            bus=f"{start.event_stream_address[0]}:{start.event_stream_address[1]}",
        )
        self.event_stream.reconnect_to(start.event_stream_address, start.known_events)

    def stop(self) -> None:
        """Starts the drain; `wait` returns when it is over."""
        self.stop_requested.set()

    def wait(self) -> None:
        self.stop_requested.wait()
        begun = time.monotonic()
        request_classes = self.config.request_classes.values()
        longest = max((case.client_timeout for case in request_classes), default=0.0) / 1000.0
        end = min(LONGEST_WAIT, longest) + SPARE
        self.request_handler.is_healthy = False
        self._enter(Phase.DRAINING)
        while (since := time.monotonic() - begun) < end - WRITTEN:
            if (
                since >= NEW_CALLS_S
                and not self.coordinator.pending_count()
                and not self.listener.has_pending_writes()
            ):
                if self.listener.drain():  # else a call has crossed it, or an end has yet to arrive
                    break
            if since >= end - FINAL_ANSWERS_S:
                for request in self.coordinator.finish_pending_requests():
                    self.request_handler.run_request(request)
            time.sleep(0.02)
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

    def _enter(self, phase: Phase) -> None:
        self.phase = phase
        self.log.event("phase", phase=phase.value, open=self.coordinator.pending_count())

    def _keep_time(self) -> None:
        sweep = ask = self.clock()
        while not self.stopped.is_set():
            try:
                due, probes, moved = self.coordinator.run_due_timers()
                for request in moved:
                    self.request_handler.run_request(request)
                for node, place in probes:
                    self.upstream.check_health(node, place)
                if (now := self.clock()) >= ask:
                    self.upstream.ping_quiet_connections()
                    ask = now + ASK_EVERY
                if now >= sweep:
                    self.upstream.close_idle()
                    self.listener.close_idle()
                    sweep = now + SWEEP_EVERY
                self.coordinator.wait_until(min(due, sweep, ask))
            except Exception as broken:
                self.log.exception("clock", broken)
                self.stopped.wait(0.05)  # should it go on, the others still get the core

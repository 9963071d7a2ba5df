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
from .net.upstream_connections import UpstreamConnections
from .structured_log import StructuredLog

if TYPE_CHECKING:
    from .cells.config import CellsConfig
    from .management.config import ManagementConfig
    from .membership.config import FleetConfig

CLIENTS_SHARE, LINKS_SHARE = 0.5, 0.4  # of the descriptors
SWEEP_EVERY, ASK_EVERY = 250.0, 25.0
COMING = 1.0  # s after the call to stop in which clients still come
LONGEST_WAIT, SPARE = (
    3.0,
    0.7,
)  # s: the platform waits for the longest client timeout or this, and for this
LAST_ANSWERS, WRITTEN = (
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
        `fleet`: it talks to other directors. Raises CharterError where the assignment can't be
        used.
        """
        self.start_settings, self.log = start, log
        self.phase = Phase.STARTING
        self.offset = (
            time.time() * 1000.0 - time.monotonic() * 1000.0
        )  # taken once: steps don't reach us
        self.stopping, self.ended = threading.Event(), threading.Event()
        self.facade = RequestCoordinator(self.clock, start.seed, start.terms, log)
        self.caches = UpstreamConnections(
            self.facade,
            self.clock,
            log,
            start.connect_timeout,
            start.idle_for,
            start.attempts_a_connection,
            int(LINKS_SHARE * start.sockets),
            start.terms.may_probe,
            start.links_priced,
        )
        self.front = ClientListener(
            start, self.facade, self.caches, log, int(CLIENTS_SHARE * start.sockets)
        )
        self.bus = EventStream(start, self.facade, log)
        self.warden = None
        if cells is not None and cells.enabled:
            from .cells.service import CellService

            self.warden = CellService(
                cells, start, self.facade, self.clock, log, self.front.requests_most
            )
            self.front.gate = self.warden
        self.managed = management if management is not None and management.enabled else None
        self.server = None
        self.talk = None
        if fleet is not None and fleet.enabled:
            from .membership.service import MembershipService

            self.talk = MembershipService(
                fleet, start.name, start.seed, self.clock, log, self.facade
            )

    def clock(self) -> float:
        """Unix milliseconds."""
        return self.offset + time.monotonic() * 1000.0

    def start(self) -> None:
        self.bus.begin()
        if self.warden is not None:
            self.warden.begin()
        threading.Thread(target=self._keep_time, name="clock", daemon=True).start()
        if self.managed is not None:
            from .management.gnmi_server import build

            self.server = build(
                self.managed, self.start_settings, self.facade, self.warden, self.clock, self.log
            )
            self.server.begin()
            self.server.manager.begin()
        if self.talk is not None:
            self.talk.begin()
        self.front.begin()
        self.bus.await_word()
        self.front.well = True
        self._enter(Phase.READY)

    def renew(self, start: DirectorConfig) -> None:
        """Takes over what may change while it runs, the address of the event stream and the events
        known by now; the rest stays.
        """
        self.log.event("configuration read", bus=f"{start.bus[0]}:{start.bus[1]}")
        self.bus.move(start.bus, start.events)

    def stop(self) -> None:
        """Starts the drain; `wait` returns when it is over."""
        self.stopping.set()

    def wait(self) -> None:
        self.stopping.wait()
        begun = time.monotonic()
        request_classes = self.start_settings.request_classes.values()
        longest = max((case.client_timeout for case in request_classes), default=0.0) / 1000.0
        end = min(LONGEST_WAIT, longest) + SPARE
        self.front.well = False
        self._enter(Phase.DRAINING)
        while (since := time.monotonic() - begun) < end - WRITTEN:
            if since >= COMING and not self.facade.open_requests() and not self.front.owes():
                if (
                    self.front.wind_down()
                ):  # else a call has crossed it, or an end has yet to arrive
                    break
            if since >= end - LAST_ANSWERS:
                for request in self.facade.wind_up():
                    self.front.see_through(request)
            time.sleep(0.02)
        self.front.stop()
        self.bus.stop()
        if self.talk is not None:
            self.talk.stop()
        if self.server is not None:
            self.server.stop()
        if self.warden is not None:
            self.warden.stop()
        self.caches.stop()
        self._enter(Phase.STOPPED)
        self.ended.set()

    def _enter(self, phase: Phase) -> None:
        self.phase = phase
        self.log.event("phase", phase=phase.value, open=self.facade.open_requests())

    def _keep_time(self) -> None:
        sweep = ask = self.clock()
        while not self.ended.is_set():
            try:
                due, probes, moved = self.facade.tick()
                for request in moved:
                    self.front.see_through(request)
                for node, place in probes:
                    self.caches.probe(node, place)
                if (now := self.clock()) >= ask:
                    self.caches.ask()
                    ask = now + ASK_EVERY
                if now >= sweep:
                    self.caches.sweep()
                    self.front.sweep()
                    sweep = now + SWEEP_EVERY
                self.facade.rest(min(due, sweep, ask))
            except Exception as broken:
                self.log.fault("clock", broken)
                self.ended.wait(0.05)  # should it go on, the others still get the core

"""Cells at a running director: one lock round the governor, the assignment file followed, words to
the log.
"""

import threading
from collections import Counter
from collections.abc import Callable
from typing import Any

from ..config.platform import DirectorConfig
from ..coordinator import RequestCoordinator
from ..errors import ConfigError
from ..policy.model import ClientRequest, Request, RequestClass
from ..records import DirectorRecords
from ..structured_log import StructuredLog
from . import store
from .admission_controller import (
    AdmissionController,
    AdmissionGrant,
    AdmissionRejection,
    AdmissionRequest,
    DirectorCapacity,
    PreparedAssignment,
    prepare_assignment,
)
from .config import CellsConfig
from .edits import rejection_reason

STEP_EVERY = 100.0  # ms
RECORDS_EVERY = 1_000.0


class CellService:
    """For the front: `enter` and `leave` for connections, `admit` and `settle` for requests."""

    def __init__(
        self,
        own: CellsConfig,
        start: DirectorConfig,
        facade: RequestCoordinator,
        clock: Callable[[], float],
        log: StructuredLog,
        requests_most: int,
    ) -> None:
        """Raises ConfigError where the assignment file can't be used: there is no older version
        yet.
        """
        self.config, self.coordinator, self.clock, self.log = own, facade, clock, log
        self.tenant_field, self.flow = own.tenant_field, start.settings.transfer_rate
        self.lock = threading.Lock()
        self.stamp = store.file_identity(own.assignment_file)
        charter = store.load_assignment(own.assignment_file)
        board = DirectorCapacity(
            min(own.max_open_requests or requests_most, requests_most),
            own.rate,
            own.max_retry_after,
        )
        self.controller = AdmissionController(
            clock(), charter, board, start.settings.allows_cache_bypass
        )
        self.connections: Counter[str] = Counter()
        self.caches: list[tuple[str, Any, float]] = []
        self.records = (
            DirectorRecords(own.records_folder, start.name) if own.records_folder else None
        )
        self.read_due = self.records_due = 0.0
        self.told: list[str] = []
        self.ended = threading.Event()

    def start(self) -> None:
        self._say([f"version {self.controller.assignment.version}"])
        self._step()
        threading.Thread(target=self._go_on, name="cells", daemon=True).start()

    def stop(self) -> None:
        self.ended.set()

    # For the front

    def admit_connection(self, address: str) -> str | None:
        """One more connection from there; gives its tenant, empty where the address tells none,
        None where that holds as many as it may.
        """
        with self.lock:
            tenant = self.controller.tenant_resolver.tenant_of_address(address)
            if not self.controller.can_admit_connection(address, self.connections[tenant]):
                return None
            self.connections[tenant] += 1
            return tenant

    def release_connection(self, entry: str) -> None:
        with self.lock:
            self.connections[entry] -= 1
            if not self.connections[entry]:
                del self.connections[entry]

    def admit_request(
        self, asked: ClientRequest, request_class: RequestClass, address: str
    ) -> AdmissionGrant | AdmissionRejection:
        asking = AdmissionRequest(
            asked.tenant,
            address,
            asked.group,
            asked.object,
            request_class,
            asked.idempotency_key,
            asked.is_retry,
            len(asked.body),
        )
        with self.lock:
            return self.controller.admit_request(self.clock(), asking)

    def complete_request(
        self, grant: AdmissionGrant, request: Request, good: bool, owed: bool
    ) -> None:
        now = self.clock()
        sending = request.size_kb / self.flow if self.flow else 0.0
        with self.lock:
            word = self.controller.complete_request(
                now, grant, good, owed, max(0.0, now - request.arrived_at - sending)
            )
        if word:
            self._say([word])

    # In a thread of its own

    def _go_on(self) -> None:
        while not self.ended.wait(STEP_EVERY / 1000.0):
            try:
                self._step()
            except Exception as broken:
                self.log.exception("cells", broken)

    def _step(self) -> None:
        now, words = self.clock(), []
        caches = self.coordinator.ready_caches()
        with self.lock:
            if self._changed(caches):
                self.caches = caches
                words += self.controller.update_caches(now, caches)
            words += self.controller.step(now)
        if now >= self.read_due:
            self.read_due = now + self.config.poll_interval
            words += self._read(now)
        self._say(words)
        if self.records is not None and now >= self.records_due:
            self.records_due = now + RECORDS_EVERY
            with self.lock:
                status = self.controller.status(now)
            told, self.told = self.told, []
            if word := self.records.keep(status, told):
                self._say([word])

    def _changed(self, caches: list[tuple[str, Any, float]]) -> bool:
        """Whether a cache came or went, or warmed by a twentieth."""
        before = self.caches
        return len(caches) != len(before) or any(
            one[0] != other[0]
            or one[1] is not other[1]
            or abs(one[2] - other[2]) > 0.05
            or (one[2] == 1.0) != (other[2] == 1.0)
            for one, other in zip(caches, before, strict=True)
        )

    def _read(self, now: float) -> list[str]:
        stamp = store.file_identity(self.config.assignment_file)
        if stamp == self.stamp:
            return []
        self.stamp = stamp
        try:
            charter = store.load_assignment(self.config.assignment_file)
            if charter == self.controller.assignment:  # what `take` has written
                return []
            if fault := rejection_reason(
                self.controller.assignment, charter
            ):  # only this thread changes it
                return [fault]
            ready = prepare_assignment(charter)
            with self.lock:
                return self.controller.replace_assignment(now, ready)
        except ConfigError as wrong:
            return [f"assignment kept at version {self.controller.assignment.version}: {wrong}"]

    def apply_prepared(self, ready: PreparedAssignment) -> None:
        """A version that another part of the program has made, and has written to the file. Raises
        ConfigError."""
        with self.lock:
            words = self.controller.replace_assignment(self.clock(), ready)
        self._say(words)

    def _say(self, words: list[str]) -> None:
        for word in words:
            self.log.event("cells", text=word)
        if self.records is not None:
            self.told = [*self.told, *words][-1000:]

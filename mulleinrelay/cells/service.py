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
    Asking,
    DirectorCapacity,
    PreparedAssignment,
    prepare_assignment,
)
from .config import CellsConfig
from .edits import refusal

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
        """Raises CharterError where the assignment file can't be used: there is no older version
        yet.
        """
        self.own, self.facade, self.clock, self.log = own, facade, clock, log
        self.tenant_field, self.flow = own.tenant_field, start.terms.flow
        self.lock = threading.Lock()
        self.stamp = store.stamp(own.assignment)
        charter = store.load(own.assignment)
        board = DirectorCapacity(
            min(own.open_most or requests_most, requests_most), own.rate, own.come_back_most
        )
        self.governor = AdmissionController(clock(), charter, board, start.terms.may_pass_by)
        self.connections: Counter[str] = Counter()
        self.caches: list[tuple[str, Any, float]] = []
        self.records = DirectorRecords(own.records, start.name) if own.records else None
        self.read_due = self.records_due = 0.0
        self.told: list[str] = []
        self.ended = threading.Event()

    def begin(self) -> None:
        self._say([f"version {self.governor.charter.version}"])
        self._step()
        threading.Thread(target=self._go_on, name="cells", daemon=True).start()

    def stop(self) -> None:
        self.ended.set()

    # For the front

    def enter(self, address: str) -> str | None:
        """One more connection from there; gives its tenant, empty where the address tells none,
        None where that holds as many as it may.
        """
        with self.lock:
            tenant = self.governor.naming.of_address(address)
            if not self.governor.welcome(address, self.connections[tenant]):
                return None
            self.connections[tenant] += 1
            return tenant

    def leave(self, entry: str) -> None:
        with self.lock:
            self.connections[entry] -= 1
            if not self.connections[entry]:
                del self.connections[entry]

    def admit(
        self, asked: ClientRequest, request_class: RequestClass, address: str
    ) -> AdmissionGrant | AdmissionRejection:
        asking = Asking(
            asked.tenant,
            address,
            asked.group,
            asked.object,
            request_class,
            asked.idempotency_key,
            asked.repeated,
            len(asked.body),
        )
        with self.lock:
            return self.governor.admit(self.clock(), asking)

    def settle(self, grant: AdmissionGrant, request: Request, good: bool, owed: bool) -> None:
        now = self.clock()
        sending = request.size / self.flow if self.flow else 0.0
        with self.lock:
            word = self.governor.settle(
                now, grant, good, owed, max(0.0, now - request.arrived - sending)
            )
        if word:
            self._say([word])

    # In a thread of its own

    def _go_on(self) -> None:
        while not self.ended.wait(STEP_EVERY / 1000.0):
            try:
                self._step()
            except Exception as broken:
                self.log.fault("cells", broken)

    def _step(self) -> None:
        now, words = self.clock(), []
        caches = self.facade.ready_caches()
        with self.lock:
            if self._changed(caches):
                self.caches = caches
                words += self.governor.listed(now, caches)
            words += self.governor.step(now)
        if now >= self.read_due:
            self.read_due = now + self.own.read_every
            words += self._read(now)
        self._say(words)
        if self.records is not None and now >= self.records_due:
            self.records_due = now + RECORDS_EVERY
            with self.lock:
                status = self.governor.status(now)
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
        stamp = store.stamp(self.own.assignment)
        if stamp == self.stamp:
            return []
        self.stamp = stamp
        try:
            charter = store.load(self.own.assignment)
            if charter == self.governor.charter:  # what `take` has written
                return []
            if fault := refusal(self.governor.charter, charter):  # only this thread changes it
                return [fault]
            ready = prepare_assignment(charter)
            with self.lock:
                return self.governor.renew(now, ready)
        except ConfigError as wrong:
            return [f"assignment kept at version {self.governor.charter.version}: {wrong}"]

    def take(self, ready: PreparedAssignment) -> None:
        """A version that another part of the program has made, and has written to the file. Raises
        CharterError."""
        with self.lock:
            words = self.governor.renew(self.clock(), ready)
        self._say(words)

    def _say(self, words: list[str]) -> None:
        for word in words:
            self.log.event("cells", text=word)
        if self.records is not None:
            self.told = [*self.told, *words][-1000:]

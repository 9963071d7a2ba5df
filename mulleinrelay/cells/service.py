"""Cells at a running director: the lock round the admission controller, and its clock.

A thread follows the assignment file and the list of ready caches, advances migrations and rollouts,
and keeps this director's records. Client threads call the four methods of `AdmissionControl` (see
`net.client_listener`).
"""

import threading
from collections import Counter
from collections.abc import Callable, Sequence

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
from .placement_types import ReadyCache

STEP_INTERVAL = 100.0  # ms between two steps of the thread
RECORDS_INTERVAL = 1_000.0  # ms between two writings of the records
MIN_CAPACITY_CHANGE = 0.05  # a capacity fraction is taken over when it changed by more
MAX_PENDING_TEXTS = 1_000  # log texts that wait for the next writing of the records


class CellService:
    """Admission control by cells; safe to call from any thread.

    Attributes:
        config: The file `cells.ini`.
        tenant_field: Key of the clients' map that names the tenant; empty: none.
        lock: Guards `controller` and all that it holds, and `connections`. Only the thread and
            `apply_prepared` replace the assignment.
        controller: Decides about requests.
        connections: Open connections by tenant; the empty name stands for addresses of no tenant.
    """

    def __init__(
        self,
        config: CellsConfig,
        director_config: DirectorConfig,
        coordinator: RequestCoordinator,
        clock: Callable[[], float],
        log: StructuredLog,
        max_open_requests: int,
    ) -> None:
        """Reads the assignment file.

        Args:
            config: The file `cells.ini`.
            director_config: The platform's configuration of this director.
            coordinator: Says which caches are ready.
            clock: Unix milliseconds.
            log: Gets events `cells`.
            max_open_requests: What the director's memory allows.

        Raises:
            ConfigError: If the file cannot be used: there is no older version yet.
        """
        self.config = config
        self.tenant_field = config.tenant_field
        self._coordinator = coordinator
        self._clock = clock
        self._log = log
        self._transfer_rate = director_config.settings.transfer_rate  # KB/ms; 0: not known
        self.lock = threading.Lock()
        self._file_identity = store.file_identity(config.assignment_file)
        capacity = _director_capacity(config, max_open_requests)
        assignment = store.load_assignment(config.assignment_file)
        can_bypass = director_config.settings.allows_cache_bypass
        self.controller = AdmissionController(clock(), assignment, capacity, can_bypass)
        self.connections: Counter[str] = Counter()
        self._caches: Sequence[ReadyCache] = []
        self._records = _director_records(config, director_config.name)
        self._next_poll_at = self._next_records_at = 0.0
        self._pending_texts: list[str] = []  # for the records
        self._is_stopped = threading.Event()

    def start(self) -> None:
        """Takes over the ready caches and starts the thread."""
        self._log_texts([f"version {self.controller.assignment.version}"])
        self._step()
        threading.Thread(target=self._run, name="cells", daemon=True).start()

    def stop(self) -> None:
        """Ends the thread after its present step, without waiting for it."""
        self._is_stopped.set()

    # For the client listener

    def admit_connection(self, address: str) -> str | None:
        """Counts one more connection.

        Returns:
            Its tenant, empty where the address has none; None: the tenant has as many as it may.
        """
        with self.lock:
            tenant = self.controller.tenant_resolver.tenant_of_address(address)
            if not self.controller.can_admit_connection(address, self.connections[tenant]):
                return None
            self.connections[tenant] += 1
            return tenant

    def release_connection(self, entry: str) -> None:
        """Counts a connection as closed; `entry` is what `admit_connection` returned."""
        with self.lock:
            self.connections[entry] -= 1
            if not self.connections[entry]:
                del self.connections[entry]

    def admit_request(
        self, client_request: ClientRequest, request_class: RequestClass, address: str
    ) -> AdmissionGrant | AdmissionRejection:
        """Admits or rejects a client's request."""
        request = AdmissionRequest(
            client_request.tenant,
            address,
            client_request.group,
            client_request.object,
            request_class,
            client_request.idempotency_key,
            client_request.is_retry,
            len(client_request.body),
        )
        with self.lock:
            return self.controller.admit_request(self._clock(), request)

    def complete_request(
        self, grant: AdmissionGrant, request: Request, is_served: bool, is_client_waiting: bool
    ) -> None:
        """Releases what an admitted request used.

        Args:
            grant: What `admit_request` returned.
            request: The request at the policy.
            is_served: Whether it was served.
            is_client_waiting: Whether its client still waited.
        """
        now = self._clock()
        sending_time = request.size_kb / self._transfer_rate if self._transfer_rate else 0.0
        delay = max(0.0, now - request.arrived_at - sending_time)
        with self.lock:
            text = self.controller.complete_request(now, grant, is_served, is_client_waiting, delay)
        if text:
            self._log_texts([text])

    # For management

    def apply_prepared(self, ready: PreparedAssignment) -> None:
        """Puts a version in force that the caller has written to the file.

        Raises:
            ConfigError: If it cannot be used.
        """
        with self.lock:
            texts = self.controller.replace_assignment(self._clock(), ready)
        self._log_texts(texts)

    # In the service's thread

    def _run(self) -> None:
        while not self._is_stopped.wait(STEP_INTERVAL / 1000.0):
            try:
                self._step()
            except Exception as error:
                # The thread's top: the version in force goes on, and the next step tries again.
                self._log.exception("cells", error)

    def _step(self) -> None:
        now = self._clock()
        caches = self._coordinator.ready_caches()
        texts: list[str] = []
        with self.lock:
            if self._have_changed(caches):
                self._caches = caches
                texts += self.controller.update_caches(now, caches)
            texts += self.controller.step(now)
        if now >= self._next_poll_at:
            self._next_poll_at = now + self.config.poll_interval
            texts += self._poll_file(now)
        self._log_texts(texts)
        if self._records is not None and now >= self._next_records_at:
            self._next_records_at = now + RECORDS_INTERVAL
            self._write_records(now, self._records)

    def _have_changed(self, caches: Sequence[ReadyCache]) -> bool:
        """Returns whether a cache was added, removed or replaced, or its fraction changed."""
        if len(caches) != len(self._caches):
            return True
        return any(
            _has_changed(cache, previous)
            for cache, previous in zip(caches, self._caches, strict=True)
        )

    def _poll_file(self, now: float) -> list[str]:
        """Puts a new version of the file in force; returns texts for the log.

        The identity is always read before the file: one that is replaced meanwhile is read again.
        """
        identity = store.file_identity(self.config.assignment_file)
        if identity == self._file_identity:
            return []
        self._file_identity = identity
        try:
            assignment = store.load_assignment(self.config.assignment_file)
            if assignment == self.controller.assignment:  # written by `apply_prepared`'s caller
                return []
            if reason := rejection_reason(self.controller.assignment, assignment):
                return [reason]
            prepared = prepare_assignment(assignment)  # seconds for a large one, so without lock
            with self.lock:
                return self.controller.replace_assignment(now, prepared)
        except ConfigError as error:
            version = self.controller.assignment.version
            return [f"assignment kept at version {version}: {error}"]

    def _write_records(self, now: float, records: DirectorRecords) -> None:
        with self.lock:
            status = self.controller.status(now)
        texts = self._pending_texts
        self._pending_texts = []
        if change := records.write(status, texts):
            self._log_texts([change])

    def _log_texts(self, texts: list[str]) -> None:
        for text in texts:
            self._log.event("cells", text=text)
        if self._records is not None:
            self._pending_texts = [*self._pending_texts, *texts][-MAX_PENDING_TEXTS:]


def _director_capacity(config: CellsConfig, max_open_requests: int) -> DirectorCapacity:
    return DirectorCapacity(
        max_open_requests=min(config.max_open_requests or max_open_requests, max_open_requests),
        rate=config.rate,
        max_retry_after=config.max_retry_after,
    )


def _director_records(config: CellsConfig, name: str) -> DirectorRecords | None:
    return DirectorRecords(config.records_folder, name) if config.records_folder else None


def _has_changed(cache: ReadyCache, previous: ReadyCache) -> bool:
    name, endpoint, fraction = cache
    previous_name, previous_endpoint, previous_fraction = previous
    return (
        name != previous_name
        or endpoint is not previous_endpoint
        or abs(fraction - previous_fraction) > MIN_CAPACITY_CHANGE
        or (fraction == 1.0) != (previous_fraction == 1.0)
    )

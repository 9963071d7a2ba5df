"""Cells at a running director: a thread-safe wrapper of the admission controller.

A thread runs a step every `STEP_INTERVAL`: it updates the list of ready caches, logs new stages of
migrations and advances rollouts. Less often, a step also polls the assignment file and writes this
director's records. Client threads call the four methods of `AdmissionControl` (see
`net.request_context`).
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
RECORDS_INTERVAL = 1_000.0  # ms between two writes of the records
# Smaller changes of a capacity fraction are ignored, unless the fraction reaches or leaves 1.
MIN_CAPACITY_CHANGE = 0.05
# Log messages that wait for the next write of the records. Beyond this number, the oldest are
# dropped.
MAX_PENDING_MESSAGES = 1_000


class CellService:
    """Admission control by cells; thread-safe.

    Attributes:
        config: Settings from `cells.ini`.
        tenant_field: Name of the request field with the client's tenant; empty if there is none.
        lock: Lock that guards `connections`, and `controller` with all its parts. Only the
            service's thread and `apply_prepared` replace the assignment.
        controller: Admission controller, which holds the assignment in force.
        connections: Number of open connections by tenant; the empty name counts the connections
            from addresses without a tenant.
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
        """Create the service and read the assignment file.

        Args:
            config: Settings from `cells.ini`.
            director_config: The platform's configuration of this director.
            coordinator: Request coordinator, which lists the ready caches.
            clock: Clock that returns Unix milliseconds.
            log: Log for events named `cells`.
            max_open_requests: Maximum number of open requests that the director's memory allows;
                `cells.ini` may set a lower one.

        Raises:
            ConfigError: If the assignment file cannot be read or is invalid; there is no earlier
                version to fall back to.
        """
        self.config = config
        self.tenant_field = config.tenant_field
        self._coordinator = coordinator
        self._clock = clock
        self._log = log
        self._transfer_rate = director_config.settings.transfer_rate  # KB/ms; 0 if not known
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
        self._pending_messages: list[str] = []  # for the records
        self._is_stopped = threading.Event()

    def start(self) -> None:
        """Run the first step before returning, so that the caches are known; start the thread."""
        self._log_messages([f"version {self.controller.assignment.version}"])
        self._step()
        threading.Thread(target=self._run, name="cells", daemon=True).start()

    def stop(self) -> None:
        """Tell the thread to end after its current step; do not wait for it."""
        self._is_stopped.set()

    # Methods of AdmissionControl

    def admit_connection(self, address: str) -> str | None:
        """Count a new connection if the limit of its tenant allows it.

        Returns:
            The tenant; empty if the address belongs to no tenant. None if the limit of the tenant
            is reached.
        """
        with self.lock:
            tenant = self.controller.tenant_resolver.tenant_of_address(address)
            if not self.controller.can_admit_connection(address, self.connections[tenant]):
                return None
            self.connections[tenant] += 1
            return tenant

    def release_connection(self, tenant: str) -> None:
        """Count a connection as closed; `tenant` is the return value of `admit_connection`."""
        with self.lock:
            self.connections[tenant] -= 1
            if not self.connections[tenant]:
                del self.connections[tenant]

    def admit_request(
        self, client_request: ClientRequest, request_class: RequestClass, address: str
    ) -> AdmissionGrant | AdmissionRejection:
        """Admit or reject a client's request."""
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
        """Release the quota of an admitted request and record its outcome.

        Args:
            grant: Grant that `admit_request` returned.
            request: The request, as the routing policy knows it.
            is_served: Whether the request was served.
            is_client_waiting: Whether the client had neither disconnected nor cancelled the
                request.
        """
        now = self._clock()
        sending_time = request.size_kb / self._transfer_rate if self._transfer_rate else 0.0
        delay = max(0.0, now - request.arrived_at - sending_time)
        with self.lock:
            message = self.controller.complete_request(
                now, grant, is_served, is_client_waiting, delay
            )
        if message:
            self._log_messages([message])

    # Methods for management

    def apply_prepared(self, prepared: PreparedAssignment) -> None:
        """Put a prepared version in force; the caller has already written it to the file."""
        with self.lock:
            messages = self.controller.replace_assignment(self._clock(), prepared)
        self._log_messages(messages)

    # Methods that run in the service's thread

    def _run(self) -> None:
        while not self._is_stopped.wait(STEP_INTERVAL / 1000.0):
            try:
                self._step()
            except Exception as error:
                # The version in force stays in use, and the next step tries again.
                self._log.exception("cells", error)

    def _step(self) -> None:
        now = self._clock()
        caches = self._coordinator.ready_caches()
        messages: list[str] = []
        with self.lock:
            if self._have_caches_changed(caches):
                self._caches = caches
                messages += self.controller.update_caches(now, caches)
            messages += self.controller.step(now)
        if now >= self._next_poll_at:
            self._next_poll_at = now + self.config.poll_interval
            messages += self._poll_file(now)
        self._log_messages(messages)
        if self._records is not None and now >= self._next_records_at:
            self._next_records_at = now + RECORDS_INTERVAL
            self._write_records(now, self._records)

    def _have_caches_changed(self, caches: Sequence[ReadyCache]) -> bool:
        """Return whether the ready caches have changed since the last update of the controller.

        They have changed if a cache was added, removed or replaced, or if the capacity fraction of
        a cache changed enough (see `MIN_CAPACITY_CHANGE`).
        """
        if len(caches) != len(self._caches):
            return True
        return any(
            _has_cache_changed(cache, previous)
            for cache, previous in zip(caches, self._caches, strict=True)
        )

    def _poll_file(self, now: float) -> list[str]:
        """Put a new version of the assignment file in force and return messages for the log.

        If the file cannot be used or must not replace the version in force, that version stays and
        the message says why. The identity of the file is read before its content, so that the next
        poll detects a file that is replaced in between.
        """
        identity = store.file_identity(self.config.assignment_file)
        if identity == self._file_identity:
            return []
        self._file_identity = identity
        try:
            assignment = store.load_assignment(self.config.assignment_file)
            if assignment == self.controller.assignment:  # `apply_prepared` put it in force
                return []
            if reason := rejection_reason(self.controller.assignment, assignment):
                return [reason]
            prepared = prepare_assignment(assignment)  # may take seconds, so without the lock
            with self.lock:
                return self.controller.replace_assignment(now, prepared)
        except ConfigError as error:
            version = self.controller.assignment.version
            return [f"assignment kept at version {version}: {error}"]

    def _write_records(self, now: float, records: DirectorRecords) -> None:
        with self.lock:
            status = self.controller.status(now)
        messages = self._pending_messages
        self._pending_messages = []
        if change := records.write(status, messages):
            self._log_messages([change])

    def _log_messages(self, messages: list[str]) -> None:
        for message in messages:
            self._log.event("cells", text=message)
        if self._records is not None:
            self._pending_messages = [*self._pending_messages, *messages][-MAX_PENDING_MESSAGES:]


def _director_capacity(config: CellsConfig, max_open_requests: int) -> DirectorCapacity:
    return DirectorCapacity(
        max_open_requests=min(config.max_open_requests or max_open_requests, max_open_requests),
        rate=config.rate,
        max_retry_after=config.max_retry_after,
    )


def _director_records(config: CellsConfig, name: str) -> DirectorRecords | None:
    return DirectorRecords(config.records_folder, name) if config.records_folder else None


def _has_cache_changed(cache: ReadyCache, previous: ReadyCache) -> bool:
    name, endpoint, fraction = cache
    previous_name, previous_endpoint, previous_fraction = previous
    return (
        name != previous_name
        or endpoint is not previous_endpoint
        or abs(fraction - previous_fraction) > MIN_CAPACITY_CHANGE
        or (fraction == 1.0) != (previous_fraction == 1.0)
    )

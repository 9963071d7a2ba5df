"""Connections to caches, parents and the origin.

Calls do not block: data is written at once if possible, or else queued and written by another
thread. That is the connection's own thread after it has connected, or later a thread of the write
queue. Every attempt that is not cancelled is reported to the coordinator exactly once: as answered,
as never sent, or as lost with its connection.
"""

import errno
import itertools
import socket
import threading
from collections.abc import Callable, Hashable
from typing import TYPE_CHECKING, Any, cast

from ..config.platform import LOAD_REPORT_FIELDS, DirectorConfig
from ..coordinator import RequestCoordinator
from ..policy import connection_reuse
from ..policy.model import (
    Attempt,
    CacheStatus,
    ClientRequest,
    EndpointAddress,
    Outcome,
    Request,
    SendAttempt,
)
from ..structured_log import StructuredLog
from . import resp
from .answer_memory import AnswerMemory
from .upstream_connection import HEALTH_CHECK_PREFIX, HealthCheck, InFlight, UpstreamConnection
from .upstream_pool import UpstreamPool
from .write_queue import Piece

if TYPE_CHECKING:
    from ..policy.router import TrackedEndpoint


class UpstreamConnections(UpstreamPool):
    """Sender of attempts and health checks, which reports their outcomes. Thread-safe.

    Times are ms of the director's clock.

    Attributes:
        connect_timeout: Timeout for a connect, and for writing the first byte of an attempt.
        shared_kinds: Kinds of endpoints that the directors of all locations share.
        idle_timeouts: Idle timeouts of connections, by whether the endpoint's kind is one of
            `shared_kinds`.
        run_request: Function that carries out the next steps of a request; set by the request
            handler.
        has_client_left: Function that returns whether the client of a request has disconnected or
            cancelled the request. Its arguments are the request's context and whether the attempt
            is the first one. Set by the request handler, and called with the lock held.
        receive_block_bytes: Minimum size of the receive buffer of a connection.
        answer_memory: Memory for answers that do not fit into such a buffer.
        connection_by_attempt: Connection and id on the wire of each attempt in flight; guarded by
            the lock.
        failed_addresses: Addresses to which no connection was opened since a connection failed. The
            value is the number of attempts that were lost by that failure and later ones. Guarded
            by the lock.
    """

    def __init__(
        self,
        coordinator: RequestCoordinator,
        clock: Callable[[], float],
        log: StructuredLog,
        config: DirectorConfig,
    ) -> None:
        """Create an empty pool.

        Args:
            coordinator: Decides whether an attempt may be sent, and receives its outcome.
            clock: Returns Unix milliseconds.
            log: Log for operators.
            config: Timeouts and limits of connections.
        """
        limits = config.memory_limits
        super().__init__(limits.max_upstream_connections, config.max_attempts_per_connection)
        self.receive_block_bytes = limits.receive_block_bytes
        self.answer_memory = AnswerMemory(limits.received_answer_bytes)
        self.coordinator = coordinator
        self.clock = clock
        self.log = log
        self.allows_pings = config.settings.allows_health_checks
        self.run_request: Callable[[Request], None] = lambda request: None
        self.has_client_left: Callable[[Any, bool], bool] = lambda context, is_first: False
        self.connect_timeout = config.connect_timeout
        settings = config.settings
        self.shared_kinds = (settings.parent_kind, settings.origin_kind)
        self.idle_timeouts = {
            is_shared: connection_reuse.choose_idle_timeout(
                config.idle_timeout, director_count, is_shared, config.prefers_open_connections
            )
            for is_shared, director_count in (
                (False, settings.local_director_count),
                (True, settings.director_count),
            )
        }
        self.failed_addresses: dict[EndpointAddress, int] = {}
        self.connection_by_attempt: dict[Attempt, tuple[UpstreamConnection, str]] = {}
        self.health_check_numbers = itertools.count(1)

    # Calls from the request handler and the timers

    def send(self, step: SendAttempt, request: ClientRequest) -> None:
        """Send an attempt; report it as not sent if it is stale or no connection is available."""
        attempt = step.attempt
        attempt.entity_tag = request.entity_tag
        remaining_time = attempt.request.deadline - self.clock()
        pieces = resp.attempt_command(request, step, remaining_time)
        self._send(step.address, request.request_id, attempt, pieces)

    def cancel(self, attempt: Attempt) -> None:
        """Cancel an attempt in flight; do nothing if it is no longer in flight.

        If none of it is written yet, the attempt is withdrawn. Otherwise it is abandoned, and a
        cancellation is sent to the endpoint if the settings allow it. The connection becomes
        suspect if the attempt was sent longer than the connect timeout ago and no answer to any
        attempt or health check was received since then.
        """
        with self.lock:
            connection, wire_id = self.connection_by_attempt.pop(attempt, (None, ""))
            if connection is None or connection.in_flight.pop(wire_id, None) is None:
                return
            now = self.clock()
            # Silence for less than the connect timeout does not indicate a fault of the connection.
            is_overdue = now > attempt.sent_at + self.connect_timeout
            if connection.last_received_at < attempt.sent_at and is_overdue:
                connection.mark_suspect(now)
            if not connection.write_queue.withdraw(wire_id):
                connection.abandoned[wire_id] = now
                if self.coordinator.settings.allows_cancel:
                    self._write_cancel(connection, wire_id)

    def _write_cancel(self, connection: UpstreamConnection, wire_id: str) -> None:
        """Write a cancellation; the caller holds the lock.

        If the settings forbid hedged requests, only one attempt of a request may be in flight. Its
        next attempt must therefore not overtake a cancellation that is still in the write queue. To
        prevent this, the connection is closed, which cancels the attempt at once.
        """
        connection.write_queue.write(None, [resp.cancel_command(wire_id)])
        if connection.write_queue.pending and not self.coordinator.settings.allows_hedging:
            connection.write_queue.shut_down()

    def check_health(
        self, endpoint: "TrackedEndpoint", address: EndpointAddress, with_report: bool = True
    ) -> None:
        """Send a health check if it is allowed and a connection is available.

        Args:
            endpoint: The endpoint to check.
            address: Address of the endpoint.
            with_report: Whether to request a load report with the answer.
        """
        tag = self._next_tag()
        pieces: list[Piece] = [resp.health_check_command(tag, with_report)]
        self._send(address, tag, HealthCheck(endpoint, self.clock()), pieces)

    def _next_tag(self) -> str:
        return f"{HEALTH_CHECK_PREFIX}{next(self.health_check_numbers)}"

    def ping_silent_connections(self) -> None:
        """Ping silent connections that have attempts in flight; close those that do not answer.

        All attempts in flight on a closed connection are reported at once. The pings detect
        connections that stay open but no longer work, after a corrupt, truncated, endless or
        missing answer. An endpoint that takes longer than `PING_TIMEOUT` to answer a ping loses the
        connection even if it works. Nothing is done if the settings do not allow health checks.
        """
        now = self.clock()
        with self.lock:
            for connection in self.usable_connections() if self.allows_pings else ():
                if connection.is_ping_overdue(now):
                    connection.write_queue.shut_down()
                elif connection.needs_ping(now) and self._may_ping(connection):
                    connection.pinged_at = now
                    ping = resp.health_check_command(self._next_tag(), with_report=False)
                    connection.write_queue.write(None, [ping])

    def close_idle(self) -> None:
        """Close unused connections, and remove what has waited for too long on any connection.

        A connection with nothing in flight is closed if it is idle or suspect, or if its address
        was removed. Overdue health checks are removed. Attempts of which nothing was written within
        the connect timeout are withdrawn: they were never executed, and if they were sent later,
        they could arrive after a drain or a purge. Earlier failures of removed addresses are
        forgotten.
        """
        now = self.clock()
        stuck: list[Attempt] = []
        with self.lock:
            self.failed_addresses = {
                address: lost
                for address, lost in self.failed_addresses.items()
                if not address.is_removed
            }
            for connections in list(self.connections.values()):
                for connection in list(connections):
                    connection.remove_overdue(now)
                    stuck += connection.withdraw_stuck_attempts(now, self.connect_timeout)
                    if connection.can_close(now):
                        connection.write_queue.shut_down()
            for attempt in stuck:
                self.connection_by_attempt.pop(attempt, None)
        for attempt in stuck:
            self._report(attempt, Outcome.CONNECT_FAILED)

    # Sending

    def _send(
        self, address: EndpointAddress, wire_id: str, item: InFlight, pieces: list[Piece]
    ) -> None:
        now = self.clock()
        with self.lock:
            connection = self._connection_for(address, wire_id, item, now)
            if connection is not None:
                connection.in_flight[wire_id] = item
                connection.last_used_at = now
                is_shared = item.endpoint.kind in self.shared_kinds
                connection.idle_timeout = self.idle_timeouts[is_shared]
                if isinstance(item, Attempt):
                    self.connection_by_attempt[item] = (connection, wire_id)
                connection.write_queue.write(wire_id, pieces)
        if connection is None and isinstance(item, Attempt):
            # The attempt is stale, or this director has no connection for it. This is not a failure
            # of the endpoint.
            self._report(item, Outcome.NOT_SENT)

    def _connection_for(
        self, address: EndpointAddress, wire_id: str, item: InFlight, now: float
    ) -> UpstreamConnection | None:
        """Return a connection for an attempt or health check; the caller holds the lock.

        The result is None if the item must not be sent any more or no connection is available.
        """
        connections = self.connections.setdefault(address, [])
        if self._is_stale(item, address):
            return None
        connection = self.choose_connection(connections, wire_id)
        if connection is None and not self.is_stopped:
            self.make_room()
            if self.connection_count < self.max_connections:
                connection = self._open(address, connections, now)
        return connection

    def _may_ping(self, connection: UpstreamConnection) -> bool:
        """Return whether a health check may be sent to the endpoints of all items in flight."""
        return all(
            self._may_check_health(item, connection.address)
            for item in connection.in_flight.values()
        )

    def _may_check_health(self, item: InFlight, address: EndpointAddress) -> bool:
        return self.coordinator.can_health_check(cast("TrackedEndpoint", item.endpoint), address)

    def _is_stale(self, item: InFlight, address: EndpointAddress) -> bool:
        """Return whether an attempt or health check must not be sent any more.

        The caller holds the lock until the first byte is written or the item is queued, so that the
        attempt cannot be cancelled in between. A queued item is checked again before it is written.
        """
        if isinstance(item, HealthCheck):
            return not self._may_check_health(item, address)
        if not item.addresses:  # not an attempt of the coordinator, which sets them
            return False
        request = item.request
        is_first = not item.number
        if request.context is not None and self.has_client_left(request.context, is_first):
            # The thread of the client's connection reports this as well, but possibly only after
            # the attempt is written.
            self.coordinator.client_left(request)
        return not self.coordinator.can_begin(item)

    def _take_stale(self, connection: UpstreamConnection, wire_id: str) -> InFlight | None:
        """Return a queued item that must not be sent any more; return None if it may be sent.

        The returned item is removed from the connection's items in flight, so that no cancellation
        is sent for an attempt that was never sent. The write queue removes its own pieces. Return
        None also if the item is no longer in flight. The caller holds the lock.
        """
        item = connection.in_flight.get(wire_id)
        if item is None or not self._is_stale(item, connection.address):
            return None
        del connection.in_flight[wire_id]
        if isinstance(item, Attempt):
            self.connection_by_attempt.pop(item, None)
        return item

    def _report_withdrawn(self, item: InFlight) -> None:
        if isinstance(item, Attempt):
            self._report(item, Outcome.NOT_SENT)

    def _report(
        self,
        attempt: Attempt,
        outcome: Outcome,
        cache_status: CacheStatus = CacheStatus.UNKNOWN,
        answer: resp.EndpointAnswer | None = None,
    ) -> None:
        """Report the outcome of an attempt and run the next steps of its request.

        The caller must not hold the lock.
        """
        delay = answer.delay if answer is not None else 0.0
        load_report = answer.load_report if answer is not None else None
        self.coordinator.report_outcome(attempt, outcome, cache_status, delay, load_report, answer)
        self.run_request(attempt.request)

    # Connections, each in its own thread

    def _open(
        self, address: EndpointAddress, connections: list[UpstreamConnection], now: float
    ) -> UpstreamConnection | None:
        """Open a connection; return None if no thread is available. The caller holds the lock."""
        connection = UpstreamConnection(address, now, self.lock)

        def take_stale(owner: Hashable) -> InFlight | None:
            return self._take_stale(connection, cast(str, owner))

        connection.write_queue.find_stale = take_stale
        connection.write_queue.on_withdrawn = self._report_withdrawn
        try:
            threading.Thread(
                target=self._run, args=(connection,), name="upstream", daemon=True
            ).start()
        except RuntimeError as error:
            self.log.exception("upstream", error)
            return None
        connections.append(connection)
        self.connection_count += 1
        return connection

    def _run(self, connection: UpstreamConnection) -> None:
        """Connect to the endpoint and read answers until the connection is closed."""
        outcome = Outcome.CONNECT_FAILED
        reason = ""
        connected_socket = None
        try:
            connected_socket = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            connected_socket.settimeout(self.connect_timeout / 1000.0)
            connected_socket.connect(connection.address.address)
            connected_socket.settimeout(None)
            connected_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            outcome = Outcome.RESET
            self._log_recovery(connection.address)
            if connection.write_queue.attach(connected_socket):
                self._read(connection, connected_socket)
        except OSError as error:
            reason = errno.errorcode.get(error.errno or 0, type(error).__name__)
            if outcome == Outcome.CONNECT_FAILED and connection_reuse.is_local_resource_shortage(
                error.errno
            ):
                outcome = Outcome.NOT_SENT
        except resp.RespError as error:
            reason = str(error)
            outcome = Outcome.RESET
        except Exception as error:
            # Only this connection is closed; its attempts are reported below.
            self.log.exception("upstream", error)
        finally:
            self._close(connection, connected_socket, outcome, reason)

    def _log_recovery(self, address: EndpointAddress) -> None:
        with self.lock:
            lost = self.failed_addresses.pop(address, None)
        if lost is not None:
            self.log.event("upstream up", node=address.name, lost=lost)

    def _read(self, connection: UpstreamConnection, connected_socket: socket.socket) -> None:
        """Read answers until the connection is closed; a large one first gets its memory."""
        decoder = resp.ArrayDecoder(self.receive_block_bytes)
        charged_bytes = 0
        try:
            while True:
                if decoder.needs_large_block() and not charged_bytes:
                    size = decoder.expected_length
                    if not self._acquire_answer_memory(connection, size):
                        return
                    charged_bytes = size
                length = connected_socket.recv_into(decoder.writable_view())
                if not length:
                    return
                self._handle_answers(connection, decoder, length)
                if charged_bytes and not decoder.needs_large_block():
                    self.answer_memory.release(charged_bytes)
                    charged_bytes = 0
        finally:
            self.answer_memory.release(charged_bytes)

    def _acquire_answer_memory(self, connection: UpstreamConnection, size: int) -> bool:
        """Wait for the memory of a large answer; return False if the connection is closed.

        The connection counts as not silent meanwhile, since this director does not read it.
        """
        with self.lock:
            connection.is_read_delayed = True
        is_acquired = self.answer_memory.acquire(size, lambda: connection.write_queue.is_shut_down)
        with self.lock:
            connection.is_read_delayed = False
        return is_acquired

    def _handle_answers(
        self, connection: UpstreamConnection, decoder: resp.ArrayDecoder, length: int
    ) -> None:
        """Handle the complete answers after `length` bytes were received."""
        for items in decoder.decode(length):
            self._handle_answer(connection, resp.parse_answer(items, LOAD_REPORT_FIELDS))
        decoder.buffer.release_large_block()

    def _handle_answer(self, connection: UpstreamConnection, answer: resp.EndpointAnswer) -> None:
        with self.lock:
            answered = connection.in_flight.pop(answer.request_id, None)
            connection.record_answer(answered, answer, self.clock())
            is_known = answered is not None or connection.expects_answer(answer.request_id)
            if isinstance(answered, Attempt):
                self.connection_by_attempt.pop(answered, None)
        if isinstance(answered, HealthCheck):
            self.coordinator.report_health_check(
                answered.endpoint, answer.load_report, answer.is_healthy
            )
        elif answered is not None:
            outcome = answer.outcome_for(answered.entity_tag)
            self._report(answered, outcome, answer.cache_status, answer)
        elif not is_known:
            self.log.event(
                "unknown request id",
                node=connection.address.name,
                request_id=answer.request_id[:32],
            )

    def _close(
        self,
        connection: UpstreamConnection,
        connected_socket: socket.socket | None,
        outcome: Outcome,
        reason: str,
    ) -> None:
        """Close and remove a connection, and report the attempts that were lost with it.

        The first failure of the address since a connection to it was last opened is logged.
        """
        address = connection.address
        with self.lock:
            is_closed_here = connection.write_queue.is_shut_down
            connection.write_queue.shut_down()
            self.remove(connection)
            lost = [
                (attempt, connection.write_queue.is_unwritten(wire_id))
                for wire_id, attempt in connection.in_flight.items()
                if isinstance(attempt, Attempt)
            ]
            for attempt, _ in lost:
                self.connection_by_attempt.pop(attempt, None)
            connection.in_flight = {}
            if connected_socket is not None:
                connected_socket.close()
            has_failed = bool(lost) or not is_closed_here
            is_first_failure = has_failed and address not in self.failed_addresses
            if has_failed:
                self.failed_addresses[address] = self.failed_addresses.get(address, 0) + len(lost)
        if is_first_failure:  # one log line per outage, not one per attempt
            self.log.event(
                "upstream down", node=address.name, lost=len(lost), why=reason or "closed"
            )
        for attempt, is_unwritten in lost:
            is_never_sent = is_unwritten and outcome == Outcome.RESET
            self._report(attempt, Outcome.CONNECT_FAILED if is_never_sent else outcome)

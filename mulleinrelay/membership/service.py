"""Membership service: runs the protocol on a UDP socket in its own thread.

The service also writes membership's log lines and records. Client requests do not wait for its
thread, except while the quota exchange in that thread holds the coordinator's lock.
"""

import socket
import threading
import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from random import Random
from typing import TYPE_CHECKING

from ..coordinator import RequestCoordinator
from ..records import DirectorRecords
from ..structured_log import StructuredLog
from .config import FleetConfig
from .datagrams import OutgoingDatagram
from .member_table import MemberEvent, MemberTable
from .messages import MAX_DATAGRAM_BYTES, DatagramCodec, MemberState, MemberUpdate
from .status import MS_PER_S, ServiceStatistics, director_status
from .swim import SwimProtocol

if TYPE_CHECKING:
    from ..budgets.quota_exchange import LimitDefinition, QuotaExchange

RECORDS_INTERVAL_MS = 1_000.0  # between two writes of the records
MAX_EVENTS = 200  # in the state record; also the maximum that one write adds to the log
MAX_RECEIVE_WAIT_S = 0.5  # for one datagram; `stop` takes effect within this time
MIN_RECEIVE_WAIT_S = 0.002  # keeps the thread from spinning while a tick is due
MAX_DATAGRAMS_PER_STEP = 64  # received between two ticks
ERROR_PAUSE_S = 0.1  # after an unexpected error; limits the load if the error repeats
LOG_EVENT = "fleet"  # value of `event` in the log lines


@dataclass(slots=True)
class EventHistory:
    """Texts of recent events.

    Attributes:
        recent: The last `MAX_EVENTS` events, each with `at` (Unix seconds) and `text`.
        unrecorded: Texts of events that have not been written to the log of the records yet.
    """

    recent: list[dict[str, object]] = field(default_factory=list)
    unrecorded: list[str] = field(default_factory=list)

    def add(self, at_s: float, text: str) -> None:
        """Add an event that happened at `at_s`, in Unix seconds."""
        self.unrecorded.append(text)
        self.recent = [*self.recent, {"at": round(at_s, 3), "text": text}][-MAX_EVENTS:]

    def take_unrecorded(self) -> list[str]:
        """Return the last `MAX_EVENTS` unrecorded texts, and clear all unrecorded texts."""
        texts = self.unrecorded[-MAX_EVENTS:]
        self.unrecorded = []
        return texts


def build_quota_exchange(
    config: FleetConfig,
    coordinator: RequestCoordinator,
    seed: int,
    incarnation: int,
    clock_offset: float,
) -> "QuotaExchange":
    """Return a quota exchange for the limits on cold caches and on cold parents.

    The limit on cold caches is shared among the directors of this location, and the limit on cold
    parents among all directors of the fleet.

    Args:
        config: Configuration of membership.
        coordinator: Owner of the limits and of the lock that guards them.
        seed: Seed of the exchange's random numbers.
        incarnation: Incarnation of this director.
        clock_offset: Milliseconds by which the coordinator's clock is ahead of `_now`.
    """
    from ..budgets.quota_exchange import QuotaExchange

    now = _now()
    random = Random(f"{seed}-rights")
    exchange = QuotaExchange(now, random, incarnation, clock_offset, coordinator.lock)
    for definition in _limit_definitions(coordinator, config.location):
        exchange.add(now, definition)
    return exchange


def _limit_definitions(coordinator: RequestCoordinator, location: str) -> list["LimitDefinition"]:
    from ..budgets.quota_exchange import LimitDefinition

    router = coordinator.router
    settings = coordinator.settings
    caches = LimitDefinition(
        name=f"cold caches of {location}",
        owners=settings.local_director_count,
        window=settings.cache_slow_start.overload_window,
        share=router.cache_slow_start_quota,
        location=location,
    )
    parents = LimitDefinition(
        name="cold parents",
        owners=settings.director_count,
        window=settings.parent_slow_start.overload_window,
        share=router.parent_slow_start_quota,
    )
    return [caches, parents]


def build_protocol(
    config: FleetConfig, name: str, incarnation: int, seed: int, now: float
) -> SwimProtocol:
    """Return a director's protocol, with an empty member table and without a delegate.

    Args:
        config: Configuration of membership.
        name: Name of the director.
        incarnation: Unix milliseconds at which the director started.
        seed: Seed of the random numbers.
        now: Time of membership's monotonic clock, in ms.
    """
    host, port = config.announce
    local = MemberUpdate(name, host, port, config.location, incarnation, 0, MemberState.ALIVE)
    random = Random(f"{seed}-membership")
    table = MemberTable(local, config.max_members, random)
    codec = DatagramCodec(config.fleet, config.key)
    return SwimProtocol(now, table, codec, config.seeds, random)


class MembershipService:
    """Service that runs the membership protocol of this director.

    Threads: the director's thread calls `start` and `stop`, and `stop` sends the last datagrams and
    writes the last log lines and records. Everything else runs in the service's own thread.
    """

    def __init__(
        self,
        config: FleetConfig,
        name: str,
        seed: int,
        clock: Callable[[], float],
        log: StructuredLog,
        coordinator: RequestCoordinator | None = None,
    ) -> None:
        """Create the service; `start` opens its socket.

        Args:
            config: Configuration of membership.
            name: Name of this director.
            seed: Seed of the random numbers.
            clock: Function that returns Unix milliseconds. Only this constructor calls it, for the
                incarnation and the clock offset of the quota exchange. The protocol uses a
                monotonic clock.
            log: Log for membership events.
            coordinator: Owner of the limits that are shared; None to share no limits, even if the
                configuration says so.
        """
        self.config = config
        self.log = log
        incarnation = int(clock())
        # Guards `protocol`, including its table, detector and delegate
        self.protocol_lock = threading.Lock()
        self.protocol = build_protocol(config, name, incarnation, seed, _now())
        if config.shares_slow_start_quota and coordinator is not None:
            self.protocol.delegate = build_quota_exchange(
                config, coordinator, seed, incarnation, clock() - _now()
            )
        folder = config.records_folder
        self.records = DirectorRecords(folder, name) if folder else None
        self._next_records_at = 0.0
        self._events = EventHistory()
        self._bytes_out = 0
        self._bytes_in = 0
        self._stopping = threading.Event()
        self._thread: threading.Thread | None = None
        self._socket: socket.socket | None = None

    def start(self) -> None:
        """Open the socket and start the thread.

        Raises:
            OSError: If the address cannot be bound; the error's `filename` names the address.
        """
        udp_socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            udp_socket.bind(self.config.listen)
        except OSError as error:
            udp_socket.close()
            host, port = self.config.listen
            error.filename = f"{host}:{port} for datagrams"
            raise
        self._socket = udp_socket
        self._thread = threading.Thread(
            target=self._run, args=(udp_socket,), name="fleet", daemon=True
        )
        self._thread.start()

    def stop(self) -> None:
        """Leave the fleet, write the last log lines and records, and end the thread.

        Some members are notified of the leave. Nothing is done if the service is not running.
        """
        if self._stopping.is_set() or self._socket is None or self._thread is None:
            return
        self._stopping.set()
        with self.protocol_lock:
            outgoing = self.protocol.leave()
        self._send(self._socket, outgoing)
        now = _now()
        self._log_events()
        self._write_records(now)
        self._thread.join(2.0 * MAX_RECEIVE_WAIT_S)
        self._socket.close()

    # In the service's thread

    def _run(self, udp_socket: socket.socket) -> None:
        while not self._stopping.is_set():
            try:
                self._tick(udp_socket)
                self._receive(udp_socket)
            except Exception as error:
                # Top level of the thread: logs the exception and continues, so that an error in
                # one step does not end membership.
                self.log.exception(LOG_EVENT, error)
                self._stopping.wait(ERROR_PAUSE_S)

    def _tick(self, udp_socket: socket.socket) -> None:
        """Run the protocol's tick, log its events, and write the records if they are due.

        The socket's timeout for the next datagram is set to the time until the next tick, within
        bounds.
        """
        with self.protocol_lock:
            now = _now()
            self._send(udp_socket, self.protocol.tick(now))
            wait_s = (self.protocol.next_wake_at() - now) / MS_PER_S
        self._log_events()
        if now >= self._next_records_at:
            self._write_records(now)
        udp_socket.settimeout(min(MAX_RECEIVE_WAIT_S, max(MIN_RECEIVE_WAIT_S, wait_s)))

    def _receive(self, udp_socket: socket.socket) -> None:
        """Handle up to `MAX_DATAGRAMS_PER_STEP` datagrams; wait only for the first one."""
        for _ in range(MAX_DATAGRAMS_PER_STEP):
            try:
                data, address = udp_socket.recvfrom(MAX_DATAGRAM_BYTES + 1)
            except (TimeoutError, BlockingIOError):
                return
            except OSError as error:
                if self._stopping.is_set():  # `stop` may have closed the socket
                    return
                if not isinstance(error, ConnectionError):
                    raise
                continue  # ICMP "port unreachable" for an earlier outgoing datagram
            self._bytes_in += len(data)
            with self.protocol_lock:
                self._send(udp_socket, self.protocol.receive(_now(), address, data))
            udp_socket.settimeout(0.0)

    def _send(self, udp_socket: socket.socket, outgoing: Iterable[OutgoingDatagram]) -> None:
        for address, data in outgoing:
            try:
                udp_socket.sendto(data, address)
            except OSError:  # no route or no buffer; the protocol tolerates loss
                continue
            self._bytes_out += len(data)

    # For operators

    def _log_events(self) -> None:
        with self.protocol_lock:
            events = self.protocol.take_events()
        for event in events:
            self._log_event(event)

    def _log_event(self, event: MemberEvent) -> None:
        update = event.update
        text = f"{update.name} {event.kind.value}"
        self.log.event(
            LOG_EVENT, text=text, address=f"{update.host}:{update.port}", life=update.incarnation
        )
        self._events.add(time.time(), text)

    def _write_records(self, now: float) -> None:
        if self.records is None:
            return
        self._next_records_at = now + RECORDS_INTERVAL_MS
        texts = self._events.take_unrecorded()
        if message := self.records.write(self.status(now), texts):
            self.log.event(LOG_EVENT, text=message)

    def status(self, now: float) -> dict:
        """Return the state record for operators.

        Args:
            now: Time of membership's monotonic clock, in ms.
        """
        with self.protocol_lock:
            statistics = ServiceStatistics(
                self.config.fleet, self._bytes_out, self._bytes_in, self._events.recent, time.time()
            )
            return director_status(self.protocol, now, statistics)


def _now() -> float:
    """Return the time of membership's monotonic clock, in ms."""
    return time.monotonic() * MS_PER_S

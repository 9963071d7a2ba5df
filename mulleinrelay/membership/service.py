"""The thread of membership: a UDP socket, the protocol, log lines and records.

No request ever waits for it.
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
from .status import MS_PER_S, ServiceFigures, director_status
from .swim import SwimProtocol

if TYPE_CHECKING:
    from ..budgets.quota_exchange import QuotaExchange, QuotaSource

RECORDS_INTERVAL = 1_000.0  # ms between two writings of the records
MAX_EVENTS = 200  # events that the record shows, and that wait for the records' log
MAX_RECEIVE_WAIT_S = 0.5  # of one wait for a datagram: a stop is noticed within it
MIN_RECEIVE_WAIT_S = 0.002  # keeps the thread from spinning while a tick is due
MAX_DATAGRAMS_PER_STEP = 64  # read before the next tick
ERROR_PAUSE_S = 0.1  # after an unexpected error, so that its repetition does not load the machine
LOG_EVENT = "fleet"  # `event` of the log lines


@dataclass(slots=True)
class EventHistory:
    """Texts of the events of late.

    Attributes:
        last: The last `MAX_EVENTS`, each with `at` (Unix seconds) and `text`.
        unrecorded: Texts that the records' log does not have yet.
    """

    last: list[dict[str, object]] = field(default_factory=list)
    unrecorded: list[str] = field(default_factory=list)

    def add(self, at_s: float, text: str) -> None:
        """Adds an event."""
        self.unrecorded.append(text)
        self.last = [*self.last, {"at": round(at_s, 3), "text": text}][-MAX_EVENTS:]

    def take_unrecorded(self) -> list[str]:
        """Returns the last texts that are still to be recorded, and forgets them."""
        texts = self.unrecorded[-MAX_EVENTS:]
        self.unrecorded = []
        return texts


def build_quota_exchange(
    config: FleetConfig,
    coordinator: RequestCoordinator,
    seed: int,
    incarnation: int,
    time_offset: float,
) -> "QuotaExchange":
    """Returns the exchange of the limits on warming-up caches of this location, and parents.

    Args:
        config: The membership's configuration.
        coordinator: Owner of the limits and of the lock that guards them.
        seed: Of the random numbers.
        incarnation: Of this director.
        time_offset: Milliseconds that the coordinator's clock is ahead of the exchange's.
    """
    from ..budgets.quota_exchange import QuotaExchange

    now = _now()
    random = Random(f"{seed}-rights")
    exchange = QuotaExchange(now, random, incarnation, time_offset, coordinator.lock)
    for source in _quota_sources(coordinator, config.location):
        exchange.add(now, source)
    return exchange


def _quota_sources(coordinator: RequestCoordinator, location: str) -> list["QuotaSource"]:
    from ..budgets.quota_exchange import QuotaSource

    router = coordinator.router
    settings = coordinator.settings
    caches = QuotaSource(
        name=f"cold caches of {location}",
        owners=settings.local_director_count,
        window=settings.cache_slow_start.overload_window,
        share=router.cache_slow_start_quota,
        location=location,
    )
    parents = QuotaSource(
        name="cold parents",
        owners=settings.director_count,
        window=settings.parent_slow_start.overload_window,
        share=router.parent_slow_start_quota,
    )
    return [caches, parents]


def build_protocol(
    config: FleetConfig, name: str, incarnation: int, seed: int, now: float
) -> SwimProtocol:
    """Returns the protocol of one director, without a delegate.

    Args:
        config: Configuration of membership.
        name: Name of the director.
        incarnation: Unix milliseconds of its start.
        seed: Of the random numbers.
        now: Time in ms.
    """
    host, port = config.announce
    local = MemberUpdate(name, host, port, config.location, incarnation, 0, MemberState.ALIVE)
    random = Random(f"{seed}-membership")
    table = MemberTable(local, config.max_members, random)
    codec = DatagramCodec(config.fleet, config.key)
    return SwimProtocol(now, table, codec, config.seeds, random)


class MembershipService:
    """Takes part in the fleet's membership.

    Threads: `start` and `stop` are called by the director's thread. All else runs in the service's
    own, but for the last log lines and records, which `stop` writes.
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
        """Builds the service; `start` opens its socket.

        Args:
            config: Configuration of membership.
            name: Name of this director.
            seed: Of the random numbers.
            clock: Unix milliseconds, read once for the incarnation; all else goes by a steady one.
            log: Where events are logged.
            coordinator: Whose limits are lent; None: none are.
        """
        self.config = config
        self.log = log
        incarnation = int(clock())
        # Guards `protocol`, with its table, detector and delegate
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
        """Opens the socket and starts the thread.

        Raises:
            OSError: If the address cannot be bound; its `filename` names the address.
        """
        listener = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            listener.bind(self.config.listen)
        except OSError as error:
            listener.close()
            host, port = self.config.listen
            error.filename = f"{host}:{port} for datagrams"
            raise
        self._socket = listener
        self._thread = threading.Thread(
            target=self._run, args=(listener,), name="fleet", daemon=True
        )
        self._thread.start()

    def stop(self) -> None:
        """Notifies some members that this director leaves, and ends the thread."""
        if self._stopping.is_set() or self._socket is None or self._thread is None:
            return
        self._stopping.set()
        with self.protocol_lock:
            out = self.protocol.leave()
        self._send(self._socket, out)
        now = _now()
        self._log_events()
        self._write_records(now)
        self._thread.join(2.0 * MAX_RECEIVE_WAIT_S)
        self._socket.close()

    # In the service's thread

    def _run(self, endpoint: socket.socket) -> None:
        while not self._stopping.is_set():
            try:
                self._tick(endpoint)
                self._receive(endpoint)
            except Exception as error:
                # The top of the thread: a fault in one step is logged with its trace, and
                # membership goes on with the next one.
                self.log.exception(LOG_EVENT, error)
                self._stopping.wait(ERROR_PAUSE_S)

    def _tick(self, endpoint: socket.socket) -> None:
        """Does what is due, and sets how long the socket may wait for the first datagram."""
        with self.protocol_lock:
            now = _now()
            self._send(endpoint, self.protocol.tick(now))
            wait_s = (self.protocol.next_wake_at() - now) / MS_PER_S
        self._log_events()
        if now >= self._next_records_at:
            self._write_records(now)
        endpoint.settimeout(min(MAX_RECEIVE_WAIT_S, max(MIN_RECEIVE_WAIT_S, wait_s)))

    def _receive(self, endpoint: socket.socket) -> None:
        """Handles datagrams until none is waiting; waits for the first one only."""
        for _ in range(MAX_DATAGRAMS_PER_STEP):
            try:
                data, address = endpoint.recvfrom(MAX_DATAGRAM_BYTES + 1)
            except (TimeoutError, BlockingIOError):
                return
            except OSError as error:
                if self._stopping.is_set():  # `stop` may have closed the socket
                    return
                if not isinstance(error, ConnectionError):
                    raise
                continue  # ICMP "port unreachable" after a datagram that was sent
            self._bytes_in += len(data)
            with self.protocol_lock:
                self._send(endpoint, self.protocol.receive(_now(), address, data))
            endpoint.settimeout(0.0)

    def _send(self, endpoint: socket.socket, out: Iterable[OutgoingDatagram]) -> None:
        for address, data in out:
            try:
                endpoint.sendto(data, address)
            except OSError:  # no route, or no buffer: the protocol expects losses
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
        self._next_records_at = now + RECORDS_INTERVAL
        texts = self._events.take_unrecorded()
        if notice := self.records.write(self.status(now), texts):
            self.log.event(LOG_EVENT, text=notice)

    def status(self, now: float) -> dict:
        """Returns the record for operators; `now` is in ms of the protocol's clock."""
        with self.protocol_lock:
            figures = ServiceFigures(
                self.config.fleet, self._bytes_out, self._bytes_in, self._events.last, time.time()
            )
            return director_status(self.protocol, now, figures)


def _now() -> float:
    """The steady clock of membership, in ms."""
    return time.monotonic() * MS_PER_S

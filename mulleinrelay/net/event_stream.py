"""The event stream: endpoint updates and purges, from the configuration first, then as watched.

A thread of its own follows the stream and reconnects when it ends, is silent or skips an event.
"""

import contextlib
import socket
import threading
import time
from collections.abc import Callable, Sequence
from random import Random
from typing import Any

import orjson

from ..config.platform import DirectorConfig
from ..coordinator import RequestCoordinator
from ..errors import ConfigError
from ..policy.stream_reconnect import ReconnectBackoff
from ..structured_log import StructuredLog
from . import sse

SILENCE_TIMEOUT_S = 2.5  # without a byte: a comment comes each second
# From connecting to the complete head of the response: three silent connections fit into 7 s.
HEAD_TIMEOUT_S = 1.5
LINE_TIMEOUT_S = 5.0  # from a complete line to the next, however many bytes trickle in between
CATCH_UP_TIMEOUT_S = 0.25  # from the head, in which missed events come: they are sent at once
RECEIVE_BYTES = 65_536  # at one time

NumberedEvent = tuple[int | None, Any]  # number of its `id` line, and its data parsed from JSON
Address = tuple[str, int]


class GapError(Exception):
    """The stream has skipped events."""


class EventStream:
    """Follows the event stream and applies its events to the coordinator.

    Attributes:
        address: Where the stream is.
        last_event_number: Number of the last event applied.
        gap_at: The last event number at which a gap was met; -1: none of the stream.
        lock: Guards `last_event_number`, while an event is applied.
        connection: The open socket; None before the first.
        read_configured_address: Returns where the stream is by the configuration file now; None if
            that cannot be read.
        stop_requested: Set by `stop`.
        wake_up: Ends the wait for the next connection.
        head_received: A response head has come, or none will.
        first_connection_ended: The first connection is over.
    """

    def __init__(
        self, config: DirectorConfig, coordinator: RequestCoordinator, log: StructuredLog
    ) -> None:
        self.config = config
        self.coordinator = coordinator
        self.log = log
        self.address = config.event_stream_address
        self.last_event_number = 0
        self.gap_at = 0
        self.lock = threading.Lock()
        self.connection: socket.socket | None = None
        self.reconnect_backoff = ReconnectBackoff(Random(config.seed))
        self.read_configured_address: Callable[[], Address | None] = lambda: None
        self.stop_requested = threading.Event()
        self.wake_up = threading.Event()
        self.head_received = threading.Event()
        self.first_connection_ended = threading.Event()
        self.thread = threading.Thread(target=self._run, name="event-stream", daemon=True)

    def start(self) -> None:
        """Applies the events of the configuration, then follows the stream in a thread."""
        for data in self.config.known_events:
            self.apply(None, data, must_follow=False)
        self.last_event_number = max(self.last_event_number, self.config.last_event_number)
        self.thread.start()

    def stop(self) -> None:
        """Ends the connection and the thread, without waiting for it."""
        self.stop_requested.set()
        self._wake()

    def wait_until_current(self) -> None:
        """Waits until missed events have come, or none can be had, for a bounded time.

        A director that starts with an endpoint list that is out of date would send its first
        requests to endpoints that were announced as draining while it started.
        """
        if self.head_received.wait(HEAD_TIMEOUT_S):
            self.first_connection_ended.wait(CATCH_UP_TIMEOUT_S)

    def reconnect_to(self, address: Address, known_events: Sequence[Any] = ()) -> None:
        """Follows the stream at another address, from the last event applied.

        Args:
            address: Where the stream is now.
            known_events: Events that came with the address. They are applied here and now: the
                stream may have been silent for a while, and its thread may be waiting for an
                address that does not answer.
        """
        self.address = address
        self._apply_known(known_events)
        self._wake()

    def _wake(self) -> None:
        """Ends the connection, and the wait for the next one."""
        self.wake_up.set()
        connection = self.connection
        if connection is not None:
            with contextlib.suppress(OSError):  # it is closed already
                connection.shutdown(socket.SHUT_RDWR)

    # Applying events.

    def apply(self, line_number: int | None, data: Any, must_follow: bool = True) -> None:
        """Applies one event; skips one that is known, and logs one that cannot be read.

        Args:
            line_number: Number of its `id` line; None: without one.
            data: The value that was parsed from its JSON.
            must_follow: Its number must follow on that of the last event.

        Raises:
            GapError: If events before it are missing; once for each gap.
        """
        number = line_number
        try:
            number = sse.event_number(data, line_number)
            if number is not None:
                if number <= self.last_event_number:
                    return
                if must_follow:
                    self._check_gap(number)
                self.last_event_number = number
            event = sse.parse_event(data, self.config.zones, self.config.kinds)
            self._update_coordinator(event)
            if isinstance(event, sse.EndpointListEvent):
                for error in event.errors:
                    self.log.event("bad event", number=number, why=error)
        except GapError:
            raise
        except Exception as error:
            # Whatever an event holds, the stream is read on.
            self.log.event("bad event", number=number, why=f"{type(error).__name__}: {error}")

    def _check_gap(self, number: int) -> None:
        """Raises GapError for the first event behind a gap; the stream is read again then."""
        last = self.last_event_number
        if number > last + 1 and self.gap_at != last:
            self.gap_at = last
            raise GapError(f"event {number} after {last}")

    def _apply_restrictions(self, data: Any) -> None:
        """Applies of an event behind a gap what must be obeyed at once.

        It has been announced, so the time in which it must be obeyed may run from now on. All of
        the event is applied in its turn.
        """
        # An error is logged when the event is applied in its turn.
        with contextlib.suppress(Exception):
            event = sse.parse_event(data, self.config.zones, self.config.kinds)
            self._update_coordinator(sse.restrictive_part(event))

    def _update_coordinator(self, event: sse.EndpointListEvent | sse.PurgeEvent) -> None:
        if isinstance(event, sse.PurgeEvent):
            self.coordinator.apply_purge(event.object_id, event.group, event.issued_at)
        else:
            self.coordinator.update_endpoints(event.entries, event.is_full_snapshot)

    def _apply_known(self, known_events: Sequence[Any]) -> None:
        """Applies events of the configuration as far as they follow on the last one.

        The stream brings the rest.
        """
        try:
            self._apply_in_order(
                [(None, data) for data in known_events if sse.event_number(data, None) is not None]
            )
        except GapError:
            self.gap_at = -1  # the stream has not been asked for what is missing
        except ConfigError as error:
            self.log.event("bad event", why=str(error))

    def _apply_in_order(self, events: list[NumberedEvent]) -> None:
        """Applies events that came together."""
        with self.lock:
            for position, (line_number, data) in enumerate(events):
                try:
                    self.apply(line_number, data)
                except GapError:
                    for _, later_data in events[position:]:
                        self._apply_restrictions(later_data)
                    raise

    # Following the stream, in a thread of its own.

    def _run(self) -> None:
        while True:
            self.wake_up.clear()
            if self.stop_requested.is_set():
                return
            last_before = self.last_event_number
            reason = "closed"
            is_refused = False
            try:
                self._follow(*self.address)
            except Exception as error:
                # Whatever it was, the stream is followed again.
                reason = f"{type(error).__name__}: {error}"
                is_refused = isinstance(error, ConnectionRefusedError)
            self.head_received.set()
            self.first_connection_ended.set()
            has_progressed = self.last_event_number > last_before
            reason = self._wait_to_reconnect(has_progressed, is_refused) or reason
            if not self.stop_requested.is_set():
                self.log.event("event stream reconnects", last=self.last_event_number, why=reason)

    def _wait_to_reconnect(self, has_progressed: bool, is_refused: bool) -> str:
        """Waits for the backoff; returns why it ended early, if the address has changed."""
        now = time.monotonic()
        wait_s = self.reconnect_backoff.record_end(now, has_progressed, is_refused)
        if self.reconnect_backoff.begin_lookup_if_due(now):
            configured = self._configured_address()
            if configured is not None and configured != self.address:
                self.address = configured
                self.reconnect_backoff.reset()
                return "moved, by the configuration"
        if self.wake_up.wait(wait_s):
            self.reconnect_backoff.reset()
            return "moved"
        return ""

    def _configured_address(self) -> Address | None:
        try:
            return self.read_configured_address()
        except Exception as error:
            # Whatever state the file is in, the one thread that hears of drains goes on.
            self.log.exception("event stream", error)
            return None

    def _follow(self, host: str, port: int) -> None:
        """Reads the stream from one connection until it ends."""
        connection = socket.create_connection((host, port), timeout=HEAD_TIMEOUT_S)
        self.connection = connection
        try:
            if self.wake_up.is_set():  # while it was opened, so that nobody has ended it
                return
            connection.sendall(sse.stream_request(f"{host}:{port}", self.last_event_number))
            self._read(connection)
        finally:
            connection.close()

    def _read(self, connection: socket.socket) -> None:
        decoder = sse.SseDecoder()
        line_count = 0
        deadline = time.monotonic() + HEAD_TIMEOUT_S
        while not decoder.is_finished:
            remaining_s = deadline - time.monotonic()
            if remaining_s <= 0.0:
                raise TimeoutError("no whole line")
            connection.settimeout(min(remaining_s, SILENCE_TIMEOUT_S))
            piece = connection.recv(RECEIVE_BYTES)
            if not piece:
                return
            events = decoder.feed(piece)
            if decoder.line_count > line_count:
                line_count = decoder.line_count
                deadline = time.monotonic() + LINE_TIMEOUT_S
            self._apply_in_order([(event.number, self._parse(event)) for event in events])
            if line_count:
                self.head_received.set()

    def _parse(self, event: sse.ServerSentEvent) -> Any:
        try:
            return orjson.loads(event.data)
        except ValueError as error:
            self.log.event("bad event", number=event.number, why=str(error))
            return {}

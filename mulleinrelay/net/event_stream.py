"""The event stream: endpoint updates and purges.

Events from the configuration are applied first. Then a thread follows the stream. It reconnects
when the stream ends or skips an event, and opens another connection beside one that is silent or
slow (see `policy.stream_hedging`).
"""

import contextlib
import select
import threading
import time
from collections.abc import Callable, Sequence
from random import Random
from typing import Any

import orjson

from ..config.platform import DirectorConfig
from ..coordinator import RequestCoordinator
from ..errors import ConfigError
from ..policy import stream_hedging
from ..policy.stream_reconnect import ReconnectBackoff
from ..structured_log import StructuredLog
from . import sse
from .stream_connection import StreamConnection

CATCH_UP_TIMEOUT_S = 0.25  # after the response head; the server sends missed events right after it
CONNECT_POLL_S = 0.1  # a wait for a connection that is being opened is not ended by `_wake`

NumberedEvent = tuple[int | None, Any]  # number in the `id` line, and data parsed from JSON
Address = tuple[str, int]


class GapError(Exception):
    """Error for an event whose number shows that events before it are missing."""


class EventStream:
    """Client of the event stream, which applies the events to the coordinator.

    Attributes:
        address: Host and port of the stream.
        last_event_number: Number of the last event that was applied, or skipped because it could
            not be read. At the start, it is at least the number in the configuration.
        gap_at: Number of the last event before the most recent gap; 0 if there was none. GapError
            is raised only once for this gap: if the events are still missing after the reconnect,
            they are skipped. After a gap in the events of a configuration file, the value is -1:
            the stream may have the missing events, so a gap in the stream after the same event
            raises GapError again.
        lock: Held while events are applied, as the stream's thread and `reconnect_to` both apply
            events and change `last_event_number`.
        connections: The open connections, the oldest first; changed by the stream's thread only,
            which replaces the list.
        read_configured_address: Function that returns the stream's address in the current
            configuration file, or None if the file cannot be read or is invalid.
        stop_requested: Set by `stop`.
        wake_up: Set by `stop` and `reconnect_to` to end the wait before the next connection.
        head_received: Set when a response head was received or the first connection has ended
            without one.
        first_connection_ended: Set when the first connection has ended.
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
        self.connections: list[StreamConnection] = []
        self.reconnect_backoff = ReconnectBackoff(Random(config.seed))
        self.read_configured_address: Callable[[], Address | None] = lambda: None
        self.stop_requested = threading.Event()
        self.wake_up = threading.Event()
        self.head_received = threading.Event()
        self.first_connection_ended = threading.Event()
        self.thread = threading.Thread(target=self._run, name="event-stream", daemon=True)

    def start(self) -> None:
        """Apply the events of the configuration, then follow the stream in a thread."""
        for data in self.config.known_events:
            self.apply(None, data, must_follow=False)
        self.last_event_number = max(self.last_event_number, self.config.last_event_number)
        self.thread.start()

    def stop(self) -> None:
        """Close the connection and end the thread, without waiting for the thread."""
        self.stop_requested.set()
        self._wake()

    def wait_until_current(self) -> None:
        """Wait until missed events were probably received, or cannot be received.

        The server sends missed events right after the response head. The wait therefore ends
        `CATCH_UP_TIMEOUT_S` after the head, when the first connection has ended, or after
        `stream_hedging.HEAD_TIMEOUT_S` without a head. With an outdated endpoint list, a new
        director would send its first requests to endpoints that were announced as draining while it
        started.
        """
        if self.head_received.wait(stream_hedging.HEAD_TIMEOUT_S):
            self.first_connection_ended.wait(CATCH_UP_TIMEOUT_S)

    def reconnect_to(self, address: Address, known_events: Sequence[Any] = ()) -> None:
        """Follow the stream at another address, from the last applied event on.

        Args:
            address: The new host and port.
            known_events: Events from the same configuration file as the address. They are applied
                at once, because the stream may take long to deliver them: the old connection may be
                silent, and the stream's thread may be waiting for an address that does not answer.
        """
        self.address = address
        self._apply_known(known_events)
        self._wake()

    def _wake(self) -> None:
        """Close the connections and end the wait before the next one."""
        self.wake_up.set()
        for connection in self.connections:
            connection.shut_down()

    # Applying events

    def apply(self, line_number: int | None, data: Any, must_follow: bool = True) -> None:
        """Apply one event, unless it was applied before; log an event that cannot be read.

        Args:
            line_number: Number in the event's `id` line; None if it has none.
            data: Data of the event, parsed from JSON.
            must_follow: Whether the number must follow directly after that of the last event. If
                not, missing events are ignored.

        Raises:
            GapError: If earlier events are missing; raised once for each gap.
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
            # An event with any content must not end the stream.
            self.log.event("bad event", number=number, why=f"{type(error).__name__}: {error}")

    def _check_gap(self, number: int) -> None:
        """Raise GapError for the first event after a gap; the caller then reconnects."""
        last = self.last_event_number
        if number > last + 1 and self.gap_at != last:
            self.gap_at = last
            raise GapError(f"event {number} after {last}")

    def _apply_restrictions(self, data: Any) -> None:
        """Apply the restrictions in an event after a gap.

        These are its purge, or the endpoints that it lists as draining or gone. The grace period
        for obeying them may have begun when the event was announced. The complete event is applied
        later, after the missing events.
        """
        # An error is logged when the complete event is applied.
        with contextlib.suppress(Exception):
            event = sse.parse_event(data, self.config.zones, self.config.kinds)
            self._update_coordinator(sse.restrictive_part(event))

    def _update_coordinator(self, event: sse.EndpointListEvent | sse.PurgeEvent) -> None:
        if isinstance(event, sse.PurgeEvent):
            self.coordinator.apply_purge(event.object_id, event.group, event.issued_at)
        else:
            self.coordinator.update_endpoints(event.entries, event.is_full_snapshot)

    def _apply_known(self, known_events: Sequence[Any]) -> None:
        """Apply events from a configuration file, in order, until an event number is missing.

        The stream delivers the missing event and the events after it. Until it does, only the
        restrictions in the known events after the gap are applied. Events without a number are
        skipped. If the number of any event cannot be read, no event is applied, and the error is
        logged.
        """
        try:
            self._apply_in_order(
                [(None, data) for data in known_events if sse.event_number(data, None) is not None]
            )
        except GapError:
            self.gap_at = -1  # the missing events were not requested from the stream yet
        except ConfigError as error:
            self.log.event("bad event", why=str(error))

    def _apply_in_order(self, events: list[NumberedEvent]) -> None:
        """Apply a batch of events; after a gap, apply only the restrictions in the later events.

        Args:
            events: The events in the order in which they were received.

        Raises:
            GapError: If events are missing; raised after the restrictions are applied.
        """
        with self.lock:
            for position, (line_number, data) in enumerate(events):
                try:
                    self.apply(line_number, data)
                except GapError:
                    for _, later_data in events[position:]:
                        self._apply_restrictions(later_data)
                    raise

    # Following the stream, in its own thread

    def _run(self) -> None:
        while True:
            self.wake_up.clear()
            if self.stop_requested.is_set():
                return
            last_before = self.last_event_number
            reason = "closed"
            is_refused = False
            try:
                self._follow(self.address)
            except EOFError:
                pass
            except Exception as error:
                # After any error, the stream is followed again.
                reason = f"{type(error).__name__}: {error}"
                is_refused = isinstance(error, ConnectionRefusedError)
            self.head_received.set()
            self.first_connection_ended.set()
            has_progressed = self.last_event_number > last_before
            reason = self._wait_to_reconnect(has_progressed, is_refused) or reason
            if not self.stop_requested.is_set():
                self.log.event("event stream reconnects", last=self.last_event_number, why=reason)

    def _wait_to_reconnect(self, has_progressed: bool, is_refused: bool) -> str:
        """Wait for the backoff; before, look up the configured address if the backoff asks for it.

        If the configured address is new, it is used at once, without a wait.

        Args:
            has_progressed: Whether the ended connection has delivered new events.
            is_refused: Whether the connection was refused.

        Returns:
            Reason for the log if there was no wait or it was ended early; empty otherwise.
        """
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
            # No fault in the file may end this thread: no other thread receives drains.
            self.log.exception("event stream", error)
            return None

    def _follow(self, address: Address) -> None:
        """Read the stream until all connections to it have ended, or `_wake` is called.

        Raises:
            OSError: If the last connection has failed.
            EOFError: If the server has closed the last connection.
            SseError: If the bytes on the last connection violate the protocol.
            GapError: If an event on the last connection shows that others are missing.
        """
        try:
            last_opened_at = self._open(address)
            while self.connections and not self.wake_up.is_set():
                opening_at = stream_hedging.next_opening(
                    [connection.progress for connection in self.connections], last_opened_at
                )
                if time.monotonic() < opening_at:
                    self._wait_and_read(opening_at)
                else:
                    last_opened_at = self._open_another(address)
        finally:
            for connection in self.connections:
                connection.close()
            self.connections = []

    def _open(self, address: Address) -> float:
        """Begin to open a connection; return the time of the opening."""
        now = time.monotonic()
        connection = StreamConnection(address, self.last_event_number, now)
        self.connections = [*self.connections, connection]
        return now

    def _open_another(self, address: Address) -> float:
        """Open a connection beside those that are overdue; return the time of the opening."""
        now = time.monotonic()
        progress = [connection.progress for connection in self.connections]
        self._close_those([stream_hedging.choose_dropped(progress, now)])
        why = "no complete line received in time"
        self.log.event("event stream reconnects", last=self.last_event_number, why=why)
        with contextlib.suppress(OSError):  # refused, or no descriptor: the others are still open
            self._open(address)
        return now

    def _close_those(self, unneeded: Sequence[stream_hedging.StreamProgress | None]) -> None:
        """Close the connections with this progress."""
        for connection in self.connections:
            if connection.progress in unneeded:
                connection.close()
        self.connections = [each for each in self.connections if each.progress not in unneeded]

    def _wait_and_read(self, until: float) -> None:
        """Wait until a connection is ready, or the time is `until`, and handle what is ready."""
        poll = select.poll()
        by_descriptor = {connection.fileno(): connection for connection in self.connections}
        for connection in self.connections:
            poll.register(connection, connection.awaited_events())
        wait_s = until - time.monotonic()
        if not all(connection.is_connected for connection in self.connections):
            wait_s = min(wait_s, CONNECT_POLL_S)
        for descriptor, _ in poll.poll(max(1.0, 1000.0 * wait_s)):
            connection = by_descriptor[descriptor]
            if connection in self.connections:  # not replaced by another one in this round
                self._read(connection)

    def _read(self, connection: StreamConnection) -> None:
        """Read from a connection that is ready, and apply the events; close it if it has ended.

        Raises:
            The error that has ended the connection, if there is no other connection.
        """
        try:
            events = connection.handle_ready(time.monotonic())
            self._apply_in_order([(event.number, self._parse(event)) for event in events])
            if connection.is_finished:
                raise EOFError("last chunk received")
        except Exception:
            self._close_those([connection.progress])
            if not self.connections:
                raise
            return
        progress = connection.progress
        if progress.line_count:
            self.head_received.set()
            self._close_those(
                stream_hedging.choose_replaced(
                    [each.progress for each in self.connections],
                    progress,
                    bool(events),
                    time.monotonic(),
                )
            )

    def _parse(self, event: sse.ServerSentEvent) -> Any:
        try:
            return orjson.loads(event.data)
        except ValueError as error:
            self.log.event("bad event", number=event.number, why=str(error))
            return {}

"""The event stream: the list of nodes and purges, from the configuration first, then
from the bus.
"""

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

SILENCE_TIMEOUT_S = 2.5  # s: a comment comes each second
HEAD_TIMEOUT_S = (
    1.5  # s from connecting to the whole head of the answer: three that say nothing fit into 7 s
)
LINE_TIMEOUT_S = 5.0  # s from one whole line to the next, however many bytes trickle in between
CATCH_UP_TIMEOUT_S = 0.25  # s from the head in which what was missed comes: it is sent at once
PIECE = 65_536


class GapError(Exception):
    """Events that were passed over by the stream."""


class EventStream:
    def __init__(
        self, start: DirectorConfig, facade: RequestCoordinator, log: StructuredLog
    ) -> None:
        self.config, self.coordinator, self.log = start, facade, log
        self.address = start.event_stream_address
        self.last_event_number, self.gap_at = 0, 0
        self.lock = threading.Lock()  # guards the number of the last event, over its being applied
        self.connection: socket.socket | None = None
        self.reconnect_backoff = ReconnectBackoff(Random(start.seed))
        self.read_configured_address: Callable[[], tuple[str, int] | None] = lambda: (
            None
        )  # where the stream is by now
        self.stopped, self.moved = threading.Event(), threading.Event()
        self.reached, self.left = (
            threading.Event(),
            threading.Event(),
        )  # a head, or none will come; an end
        self.thread = threading.Thread(target=self._run, name="bus", daemon=True)

    def start(self) -> None:
        """Applies the events of the start; then follows the stream in a thread."""
        for held in self.config.known_events:
            self.apply(None, held, follows=False)
        self.last_event_number = max(self.last_event_number, self.config.last_event_number)
        self.thread.start()

    def reconnect_to(self, address: tuple[str, int], told: Sequence[Any] = ()) -> None:
        """The stream is read on elsewhere, from the last event applied, or the last of those `told`
        with the address. They are applied here and now: the stream may have been silent for a
        while, and its thread be held up by an address that doesn't answer.
        """
        self.address = address
        self._catch_up(told)
        self._wake()

    def wait_until_current(self) -> None:
        """Until the stream has told what the configuration did not know yet, or that it can't be
        had, or has said nothing for as long as a stream may. Guards against a start with a list
        that is out of date: what was told while the program started has used up its grace, and the
        first requests would go by it.
        """
        if self.reached.wait(HEAD_TIMEOUT_S):
            self.left.wait(CATCH_UP_TIMEOUT_S)

    def stop(self) -> None:
        self.stopped.set()
        self._wake()

    def _wake(self) -> None:
        """Ends the connection and the wait for a further one."""
        self.moved.set()
        connection = self.connection
        if connection is not None:
            try:
                connection.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass

    def apply(self, number: int | None, held: Any, follows: bool = True) -> None:
        """One event; one that is known already is passed over, one that can't be read is logged."""
        try:
            number = sse.event_number(held, number)
            if number is not None:
                if number <= self.last_event_number:
                    return
                if (
                    follows
                    and number > self.last_event_number + 1
                    and self.gap_at != self.last_event_number
                ):
                    self.gap_at = self.last_event_number
                    raise GapError(f"event {number} after {self.last_event_number}")
                self.last_event_number = number
            event = sse.parse_event(held, self.config.zones, self.config.kinds)
            self._tell(event)
            for wrong in event.errors if isinstance(event, sse.EndpointListEvent) else ():
                self.log.event("bad event", number=number, why=wrong)
        except GapError:  # read again from the last, once
            raise
        except Exception as wrong:
            self.log.event("bad event", number=number, why=f"{type(wrong).__name__}: {wrong}")

    def _heed(self, held: Any) -> None:
        """Of an event behind a gap what forbids something: it has been told, and a grace may run
        from now on. All of it is applied in its turn.
        """
        try:
            self._tell(
                sse.restrictive_part(sse.parse_event(held, self.config.zones, self.config.kinds))
            )
        except Exception:  # logged in its turn
            pass

    def _tell(self, event: sse.EndpointListEvent | sse.PurgeEvent) -> None:
        if isinstance(event, sse.PurgeEvent):
            self.coordinator.apply_purge(event.object_id, event.group, event.issued_at)
        else:
            self.coordinator.update_endpoints(event.entries, event.is_full_snapshot)

    def _catch_up(self, told: Sequence[Any]) -> None:
        """Events that came with a new address, as far as they follow on what is known; the stream
        tells the rest.
        """
        try:
            self._in_order(
                [(None, held) for held in told if sse.event_number(held, None) is not None]
            )
        except GapError:
            self.gap_at = -1  # the stream has not been asked for what is missing
        except ConfigError as wrong:
            self.log.event("bad event", why=str(wrong))

    def _run(self) -> None:
        while True:
            self.moved.clear()
            if self.stopped.is_set():
                return
            address, before, why, refused = self.address, self.last_event_number, "closed", False
            try:
                self._follow(*address)
            except Exception as broken:  # whatever it was, the stream is read on
                why = f"{type(broken).__name__}: {broken}"
                refused = isinstance(broken, ConnectionRefusedError)
            self.reached.set()
            self.left.set()
            now = time.monotonic()
            wait = self.reconnect_backoff.ended(now, self.last_event_number > before, refused)
            if self.reconnect_backoff.astray(now) and (found := self._looked_up()) not in (
                None,
                self.address,
            ):
                self.address, wait, why = found, 0.0, "moved, by the configuration"
                self.reconnect_backoff.moved()
            elif self.moved.wait(wait):
                self.reconnect_backoff.moved()
                why = "moved"
            if not self.stopped.is_set():
                self.log.event("bus reconnects", last=self.last_event_number, why=why)

    def _looked_up(self) -> tuple[str, int] | None:
        """Guards against a file in any state, which must not end the only thread that hears of
        drains.
        """
        try:
            return self.read_configured_address()
        except Exception as broken:
            self.log.exception("bus", broken)
            return None

    def _follow(self, host: str, port: int) -> None:
        connection = socket.create_connection((host, port), timeout=HEAD_TIMEOUT_S)
        self.connection = connection
        try:
            if self.moved.is_set():  # while it was opened, so that nobody has ended it
                return
            connection.sendall(sse.stream_request(f"{host}:{port}", self.last_event_number))
            stream, lines, due = sse.SseDecoder(), 0, time.monotonic() + HEAD_TIMEOUT_S
            while True:
                left = due - time.monotonic()
                if left <= 0.0:
                    raise TimeoutError("no whole line")
                connection.settimeout(min(left, SILENCE_TIMEOUT_S))
                if not (piece := connection.recv(PIECE)):
                    return
                events = stream.feed(piece)
                if stream.line_count > lines:
                    lines, due = stream.line_count, time.monotonic() + LINE_TIMEOUT_S
                self._in_order([(event.number, self._read(event)) for event in events])
                if lines:
                    self.reached.set()
                if stream.is_finished:
                    return
        finally:
            connection.close()

    def _read(self, event: sse.ServerSentEvent) -> Any:
        try:
            return orjson.loads(event.data)
        except ValueError as wrong:
            self.log.event("bad event", number=event.number, why=str(wrong))
            return {}

    def _in_order(self, events: list[tuple[int | None, Any]]) -> None:
        """Events that came together, by number (None: as the event says)."""
        with self.lock:
            for place, (number, held) in enumerate(events):
                try:
                    self.apply(number, held)
                except GapError:
                    for _, behind in events[place:]:
                        self._heed(behind)
                    raise

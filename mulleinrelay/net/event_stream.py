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

SILENCE = 2.5  # s: a comment comes each second
FIRST_WORD = (
    1.5  # s from connecting to the whole head of the answer: three that say nothing fit into 7 s
)
WHOLE_LINE = 5.0  # s from one whole line to the next, however many bytes trickle in between
MISSED = 0.25  # s from the head in which what was missed comes: it is sent at once
PIECE = 65_536


class GapError(Exception):
    """Events that were passed over by the stream."""


class EventStream:
    def __init__(
        self, start: DirectorConfig, facade: RequestCoordinator, log: StructuredLog
    ) -> None:
        self.config, self.facade, self.log = start, facade, log
        self.address = start.event_stream_address
        self.last, self.gap_at = 0, 0
        self.lock = threading.Lock()  # guards the number of the last event, over its being applied
        self.connection: socket.socket | None = None
        self.pace = ReconnectBackoff(Random(start.seed))
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
        self.last = max(self.last, self.config.last_event_number)
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
        if self.reached.wait(FIRST_WORD):
            self.left.wait(MISSED)

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
            number = sse.number_of(held, number)
            if number is not None:
                if number <= self.last:
                    return
                if follows and number > self.last + 1 and self.gap_at != self.last:
                    self.gap_at = self.last
                    raise GapError(f"event {number} after {self.last}")
                self.last = number
            event = sse.read_event(held, self.config.zones, self.config.kinds)
            self._tell(event)
            for wrong in event.wrong if isinstance(event, sse.EndpointListEvent) else ():
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
            self._tell(sse.forbidding(sse.read_event(held, self.config.zones, self.config.kinds)))
        except Exception:  # logged in its turn
            pass

    def _tell(self, event: sse.EndpointListEvent | sse.PurgeEvent) -> None:
        if isinstance(event, sse.PurgeEvent):
            self.facade.apply_purge(event.key, event.group, event.at)
        else:
            self.facade.update_endpoints(event.entries, event.whole)

    def _catch_up(self, told: Sequence[Any]) -> None:
        """Events that came with a new address, as far as they follow on what is known; the stream
        tells the rest.
        """
        try:
            self._in_order([(None, held) for held in told if sse.number_of(held, None) is not None])
        except GapError:
            self.gap_at = -1  # the stream has not been asked for what is missing
        except ConfigError as wrong:
            self.log.event("bad event", why=str(wrong))

    def _run(self) -> None:
        while True:
            self.moved.clear()
            if self.stopped.is_set():
                return
            address, before, why, refused = self.address, self.last, "closed", False
            try:
                self._follow(*address)
            except Exception as broken:  # whatever it was, the stream is read on
                why = f"{type(broken).__name__}: {broken}"
                refused = isinstance(broken, ConnectionRefusedError)
            self.reached.set()
            self.left.set()
            now = time.monotonic()
            wait = self.pace.record_end(now, self.last > before, refused)
            if self.pace.begin_lookup_if_due(now) and (found := self._looked_up()) not in (
                None,
                self.address,
            ):
                self.address, wait, why = found, 0.0, "moved, by the configuration"
                self.pace.reset()
            elif self.moved.wait(wait):
                self.pace.reset()
                why = "moved"
            if not self.stopped.is_set():
                self.log.event("bus reconnects", last=self.last, why=why)

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
        connection = socket.create_connection((host, port), timeout=FIRST_WORD)
        self.connection = connection
        try:
            if self.moved.is_set():  # while it was opened, so that nobody has ended it
                return
            connection.sendall(sse.call(f"{host}:{port}", self.last))
            stream, lines, due = sse.Stream(), 0, time.monotonic() + FIRST_WORD
            while True:
                left = due - time.monotonic()
                if left <= 0.0:
                    raise TimeoutError("no whole line")
                connection.settimeout(min(left, SILENCE))
                if not (piece := connection.recv(PIECE)):
                    return
                events = stream.feed(piece)
                if stream.lines > lines:
                    lines, due = stream.lines, time.monotonic() + WHOLE_LINE
                self._in_order([(event.number, self._read(event)) for event in events])
                if lines:
                    self.reached.set()
                if stream.over:
                    return
        finally:
            connection.close()

    def _read(self, event: sse.Event) -> Any:
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

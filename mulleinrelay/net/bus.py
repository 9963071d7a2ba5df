"""The event stream: the list of nodes and purges, from the configuration first, then from the bus."""

import socket
import threading
from typing import Any

import orjson

from ..configuration import Start
from ..facade import Facade
from ..log import Log
from . import sse

SILENCE = 2.5  # s: a comment comes each second
FIRST_WAIT, WAIT_MOST = 0.05, 1.0  # s before a further connection after one that brought nothing
PIECE = 65_536


class GapError(Exception):
    """Events that were passed over by the stream."""


class Bus:
    def __init__(self, start: Start, facade: Facade, log: Log) -> None:
        self.start, self.facade, self.log = start, facade, log
        self.last, self.gap_at = 0, 0
        self.connection: socket.socket | None = None
        self.stopped = threading.Event()
        self.thread = threading.Thread(target=self._run, name="bus", daemon=True)

    def begin(self) -> None:
        """Applies the events of the start; then follows the stream in a thread."""
        for held in self.start.events:
            self.apply(None, held, follows=False)
        self.last = max(self.last, self.start.known)
        self.thread.start()

    def stop(self) -> None:
        self.stopped.set()
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
            event = sse.read_event(held, self.start.zones, self.start.kinds)
            if isinstance(event, sse.Purged):
                self.facade.purged(event.key, event.group, event.at)
                return
            self.facade.listed(event.entries, event.whole)
            for wrong in event.wrong:
                self.log.event("bad event", number=number, why=wrong)
        except GapError:  # read again from the last, once
            raise
        except Exception as wrong:
            self.log.event("bad event", number=number, why=f"{type(wrong).__name__}: {wrong}")

    def _run(self) -> None:
        wait = 0.0
        while not self.stopped.wait(wait):
            before, why = self.last, "closed"
            try:
                self._follow()
            except Exception as broken:  # whatever it was, the stream is read on
                why = f"{type(broken).__name__}: {broken}"
            wait = 0.0 if self.last > before else min(WAIT_MOST, max(FIRST_WAIT, 2.0 * wait))
            if not self.stopped.is_set():
                self.log.event("bus reconnects", last=self.last, why=why)

    def _follow(self) -> None:
        host, port = self.start.bus
        connection = socket.create_connection((host, port), timeout=SILENCE)
        self.connection = connection
        try:
            connection.sendall(sse.call(f"{host}:{port}", self.last))
            stream = sse.Stream()
            while piece := connection.recv(PIECE):
                for event in stream.feed(piece):
                    try:
                        held = orjson.loads(event.data)
                    except ValueError as wrong:
                        held = None
                        self.log.event("bad event", number=event.number, why=str(wrong))
                    self.apply(event.number, held if held is not None else {})
        finally:
            connection.close()

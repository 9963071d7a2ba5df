"""The thread that talks to other directors: a datagram socket, the pure core, log lines and
records. No request ever waits for it.
"""

import math
import socket
import threading
import time
from collections.abc import Callable
from random import Random
from typing import TYPE_CHECKING

from ..coordinator import RequestCoordinator
from ..records import DirectorRecords
from ..structured_log import StructuredLog
from .config import FleetConfig
from .messages import MAX_DATAGRAM_BYTES, DatagramCodec, MemberState, MemberUpdate
from .swim import SwimProtocol

if TYPE_CHECKING:
    from ..budgets.quota_exchange import QuotaExchange

RECORDS_EVERY = 1_000.0  # ms
EVENTS_KEPT = 200  # changes that a director remembers for staff
LONGEST = 0.5  # s that the socket is waited for: after that the time is looked at in any case
TOGETHER = 64  # datagrams read before the time is looked at again


def share_cold(
    own: FleetConfig, facade: RequestCoordinator, seed: int, life: int, offset: float
) -> "QuotaExchange":
    """The limits on cold caches of this location, and on cold parents, as rights that are lent."""
    from ..budgets.quota_exchange import QuotaExchange

    director, terms, now = facade.router, facade.settings, _now()
    exchange = QuotaExchange(now, Random(f"{seed}-rights"), life, offset, facade.lock)
    exchange.add(
        now,
        f"cold caches of {own.location}",
        terms.local_director_count,
        terms.cache_slow_start.overload_window,
        director.cold_here,
        own.location,
    )
    exchange.add(
        now,
        "cold parents",
        terms.director_count,
        terms.parent_slow_start.overload_window,
        director.cold_parents,
        "",
    )
    return exchange


class MembershipService:
    def __init__(
        self,
        own: FleetConfig,
        name: str,
        seed: int,
        clock: Callable[[], float],
        log: StructuredLog,
        facade: RequestCoordinator | None = None,
    ) -> None:
        """`clock`: Unix milliseconds, read once for the number of this life; the rest goes by
        another.
        """
        self.config, self.name, self.log = own, name, log
        word = MemberUpdate(
            name, own.announce[0], own.announce[1], own.location, int(clock()), 0, MemberState.ALIVE
        )
        self.lock = threading.Lock()
        self.core = SwimProtocol(
            _now(),
            word,
            DatagramCodec(own.fleet, own.key),
            own.seeds,
            Random(f"{seed}-membership"),
            own.max_members,
        )
        if own.shares_slow_start_quota and facade is not None:
            self.core.companion = share_cold(own, facade, seed, word.incarnation, clock() - _now())
        self.records = DirectorRecords(own.records_folder, name) if own.records_folder else None
        self.records_due, self.told, self.last = 0.0, [], []
        self.bytes_out = self.bytes_in = 0
        self.ended = threading.Event()
        self.thread: threading.Thread | None = None
        self.socket: socket.socket | None = None

    def start(self) -> None:
        """Raises OSError where it can't listen."""
        made = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            made.bind(self.config.listen)
        except OSError as wrong:
            made.close()
            wrong.filename = f"{self.config.listen[0]}:{self.config.listen[1]} for datagrams"
            raise
        self.socket = made
        self.thread = threading.Thread(target=self._run, name="fleet", daemon=True)
        self.thread.start()

    def stop(self) -> None:
        """Tells some of the others that this one leaves, and ends."""
        if self.ended.is_set() or self.socket is None:
            return
        self.ended.set()
        with self.lock:
            out = self.core.leave(_now())
        self._send(out)
        self._keep(_now(), math.inf)
        self.thread.join(2.0 * LONGEST)
        self.socket.close()

    def present_members(self) -> list[MemberUpdate]:
        """This director and all others that are alive, or suspected."""
        with self.lock:
            return self.core.present()

    # In a thread of its own

    def _run(self) -> None:
        while not self.ended.is_set():
            try:
                self._step()
            except Exception as broken:
                self.log.exception("fleet", broken)
                self.ended.wait(0.1)

    def _step(self) -> None:
        with self.lock:
            self._send(self.core.tick(now := _now()))
            wait = (self.core.wake() - now) / 1000.0
        self._keep(now, self.records_due)
        self.socket.settimeout(min(LONGEST, max(0.002, wait)))
        for _ in range(TOGETHER):
            try:
                data, address = self.socket.recvfrom(MAX_DATAGRAM_BYTES + 1)
            except (TimeoutError, BlockingIOError):
                return
            except OSError as broken:  # an answer that a port refused comes back as an error here
                if self.ended.is_set():
                    return
                if not isinstance(broken, ConnectionError):
                    raise
                continue
            self.bytes_in += len(data)
            with self.lock:
                self._send(self.core.receive(_now(), address, data))
            self.socket.settimeout(0.0)

    def _send(self, out: list[tuple[tuple[str, int], bytes]]) -> None:
        for address, data in out:
            try:
                self.socket.sendto(data, address)
                self.bytes_out += len(data)
            except OSError:  # no way there, or the system is short of buffers: as if it were lost
                pass

    def _keep(self, now: float, due: float) -> None:
        """Log lines of what has changed, and now and then the records."""
        with self.lock:
            events = self.core.take_events()
        for event in events:
            text = f"{event.word.name} {event.what}"
            self.log.event(
                "fleet",
                text=text,
                address=f"{event.word.host}:{event.word.port}",
                life=event.word.incarnation,
            )
            self.told.append(text)
            self.last = [*self.last, {"at": round(time.time(), 3), "text": text}][-EVENTS_KEPT:]
        if self.records is not None and (now >= due or due == math.inf):
            self.records_due = now + RECORDS_EVERY
            told, self.told = self.told[-EVENTS_KEPT:], []
            if word := self.records.write(self.status(now), told):
                self.log.event("fleet", text=word)

    def status(self, now: float) -> dict:
        """What this director believes of the others."""
        with self.lock:
            view = self.core.view
            members = [
                {
                    "name": word.name,
                    "address": f"{word.host}:{word.port}",
                    "location": word.location,
                    "life": word.incarnation,
                    "denials": word.refutation_count,
                    "state": word.state.name.lower(),
                    "for_s": round((now - record.since) / 1000.0, 1),
                    "heard_s": round((now - record.heard) / 1000.0, 1) if record.heard else None,
                }
                for record in view.records.values()
                for word in [record.word]
            ]
            own = view.own
            return {
                "fleet": self.config.fleet,
                "name": own.name,
                "address": f"{own.host}:{own.port}",
                "location": own.location,
                "life": own.incarnation,
                "denials": own.refutation_count,
                "state": own.state.name.lower(),
                "unwell": self.core.health,
                "size": view.size(),
                "members": sorted(members, key=lambda held: (held["name"], held["address"])),
                "dropped": dict(sorted(self.core.dropped.items())),
                "refused": view.refused,
                "budgets": self.core.companion.status(now)
                if self.core.companion is not None
                else None,
                "bytes_out": self.bytes_out,
                "bytes_in": self.bytes_in,
                "events": self.last,
                "written": round(time.time(), 3),
            }


def _now() -> float:
    return time.monotonic() * 1000.0

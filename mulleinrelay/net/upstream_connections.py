"""Links to caches, parents and the origin: each a connection with a thread that reads it.

Nothing here blocks a thread that others wait on: a sender's bytes go out at once or are left to the
link, which connects and catches up by itself. Every attempt is reported once: answered, or lost
with its link.
"""

import errno
import fcntl
import itertools
import math
import socket
import termios
import threading
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from ..config.platform import LOAD_REPORT_FIELDS
from ..coordinator import RequestCoordinator
from ..policy import connection_reuse as held_links
from ..policy.connection_reuse import PingBackoff, choose_idle_timeout
from ..policy.model import (
    Attempt,
    ClientRequest,
    Endpoint,
    EndpointAddress,
    Outcome,
    Request,
    SendAttempt,
)
from ..structured_log import StructuredLog
from . import resp
from .write_queue import WriteQueue

OVER_FOR = 10_000.0  # ms for which an answer to an attempt that was given up may still come
ECHO_WAIT = 100.0  # ms from asking a link for an echo to its end
PROBE_WAIT = 1000.0  # ms after which a probe without an answer is forgotten


@dataclass(slots=True, eq=False)
class Probe:
    endpoint: Endpoint
    sent_at: float


class UpstreamConnection:
    """One connection to a node. All fields are guarded by the lock of Caches."""

    def __init__(self, place: EndpointAddress, now: float, lock: threading.Lock) -> None:
        self.place, self.used, self.heard = place, now, now
        self.outlet = WriteQueue(lock)
        self.open: dict[str, Attempt | Probe] = {}
        self.over: dict[str, float] = {}  # ended here alone; a late or second answer may still come
        self.asked = 0.0  # when it was asked whether it still brings answers
        self.patience, self.held_for = PingBackoff(), 0.0
        self.given_up = 0.0  # when an attempt was given up with nothing heard since it was sent

    def takes(self, about: str, most: int) -> bool:
        return (
            not self.outlet.ended
            and len(self.open) < most
            and about not in self.open
            and about not in self.over
            and not self.given_up
            and not self.asked
        )

    def unread(self) -> bool:
        """Whether bytes have come that are not read yet: this director may be the one
        that is late.
        """
        here = bytearray(4)
        fcntl.ioctl(self.outlet.connection, termios.FIONREAD, here)
        return any(here)

    def closed_there(self) -> bool:
        """Whether the node has closed it, though its thread may not have read so far."""
        try:
            return self.outlet.connection.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT) == b""
        except (OSError, AttributeError):  # nothing, or not up yet
            return False

    def quiet_since(self) -> float:
        """Since when attempts have been out with nothing heard."""
        first = next(
            (attempt.sent_at for attempt in self.open.values() if isinstance(attempt, Attempt)),
            None,
        )
        return (
            math.inf if first is None or self.outlet.connection is None else max(first, self.heard)
        )


class UpstreamConnections:
    """All links of one director."""

    def __init__(
        self,
        facade: RequestCoordinator,
        clock: Callable[[], float],
        log: StructuredLog,
        connect_timeout: float,
        idle_for: float,
        attempts_a_connection: int,
        links_most: int,
        may_probe: bool,
        links_priced: bool,
    ) -> None:
        """`links_priced`: a new connection costs more than an open one."""
        self.may_probe = may_probe
        self.facade, self.clock, self.log = facade, clock, log
        self.see_through: Callable[[Request], None] = lambda request: (
            None
        )  # set by the front, as the next is
        # Whether the client of a ticket has gone; for its first attempt, or a further one.
        self.has_left: Callable[[Any, bool], bool] = lambda ticket, first: False
        self.connect_timeout, terms = connect_timeout, facade.settings
        self.far = (terms.parent_kind, terms.origin_kind)
        self.held_for = {
            far: choose_idle_timeout(idle_for, sharers, far, links_priced)
            for far, sharers in ((False, terms.local_director_count), (True, terms.director_count))
        }
        self.attempts_a_connection, self.links_most = attempts_a_connection, links_most
        self.lock = threading.Lock()
        self.links: dict[EndpointAddress, list[UpstreamConnection]] = {}
        self.down: dict[
            EndpointAddress, int
        ] = {}  # places whose last link failed, with attempts lost since the first
        self.of_attempt: dict[Attempt, tuple[UpstreamConnection, str]] = {}
        self.count, self.stopped = 0, False
        self.tags = itertools.count(1)

    # For those who see a request through

    def send(self, order: SendAttempt, asked: ClientRequest) -> None:
        attempt, order.attempt.entity_tag = order.attempt, asked.entity_tag
        left = attempt.request.deadline - self.clock()
        self._put(order.address, asked.request_id, attempt, resp.pull(asked, order, left))

    def cancel(self, attempt: Attempt) -> None:
        with self.lock:
            link, about = self.of_attempt.pop(attempt, (None, ""))
            if link is None or link.open.pop(about, None) is None:
                return
            now = self.clock()
            if (
                link.heard < attempt.sent_at and now > attempt.sent_at + self.connect_timeout
            ):  # sooner: no word
                link.given_up = link.given_up or now
            if not link.outlet.withdraw(about):
                link.over[about] = now
                if self.facade.settings.allows_cancel:
                    self._kill(link, about)

    def _kill(self, link: UpstreamConnection, about: str) -> None:
        """Under the lock. Where a request may have one attempt out at a time, the next one must not
        overtake a word that waits behind others to be written: the end of the connection says it at
        once.
        """
        link.outlet.put(None, [resp.kill(about)])
        if link.outlet.waiting and not self.facade.settings.allows_hedging:
            link.outlet.end()

    def check_health(
        self, node: Endpoint, place: EndpointAddress, with_report: bool = True
    ) -> None:
        tag = f"probe-{next(self.tags)}"
        self._put(place, tag, Probe(node, self.clock()), [resp.probe(tag, with_report)])

    def ping_quiet_connections(self) -> None:
        """Asks links that have been quiet with attempts out for an echo, and ends those that bring
        none: all that is open there is told at once. Guards against connections that stay open and
        are of no more use, after an answer that was spoilt, cut, endless or never came; harms where
        an echo takes over ECHO_WAIT.
        """
        now = self.clock()
        with self.lock:
            living = [
                link for links in self.links.values() for link in links if not link.outlet.ended
            ]
            for link in living if self.may_probe else ():
                if link.asked and now > link.asked + ECHO_WAIT * (2.0 if link.unread() else 1.0):
                    link.outlet.end()
                    continue
                quiet = now > link.quiet_since() + link.patience.silence_before_ping(len(link.open))
                if quiet and not link.asked and self._may_ask(link):
                    link.asked = now
                    link.outlet.put(
                        None, [resp.probe(f"probe-{next(self.tags)}", with_report=False)]
                    )

    def close_idle(self) -> None:
        """Closes what has long been idle, is gone or silent, forgets probes that nobody answered,
        and takes back attempts of which nothing could be written for as long as connecting may
        take: they never ran, and sent later they might come after a drain or a purge.
        """
        now, stuck = self.clock(), []
        with self.lock:
            self.down = {place: lost for place, lost in self.down.items() if not place.is_removed}
            for place, links in list(self.links.items()):
                for link in list(links):
                    link.over = {
                        about: at for about, at in link.over.items() if now < at + OVER_FOR
                    }
                    for tag, held in list(link.open.items()):
                        if isinstance(held, Probe) and now > held.sent_at + PROBE_WAIT:
                            del link.open[tag]
                            link.given_up = link.given_up or (
                                now if link.heard < held.sent_at else 0.0
                            )
                        elif (
                            isinstance(held, Attempt)
                            and now > held.sent_at + self.connect_timeout
                            and link.outlet.withdraw(tag)
                        ):
                            del link.open[tag]
                            self.of_attempt.pop(held, None)
                            link.given_up = link.given_up or now
                            stuck.append(held)
                    if not link.open and (
                        place.is_removed or link.given_up or now > link.used + link.held_for
                    ):
                        link.outlet.end()
        for attempt in stuck:
            self._report(attempt, Outcome.CONNECT_FAILED)

    def fullness(self) -> float:
        """Of the links that there may be, the part that attempts are out on."""
        with self.lock:
            if self.count < held_links.EVICTION_THRESHOLD * self.links_most:  # spares the count
                return 0.0
            busy = sum(bool(link.open) for links in self.links.values() for link in links)
            return held_links.connection_utilization(self.count, busy, self.links_most)

    def _make_room(self) -> None:
        """Under the lock."""
        if self.count > held_links.EVICTION_THRESHOLD * self.links_most:
            idle = [
                (link.used, link)
                for links in self.links.values()
                for link in links
                if not link.open
            ]
            for link in held_links.connections_to_evict(idle, self.count, self.links_most):
                link.outlet.end()

    def stop(self) -> None:
        with self.lock:
            self.stopped = True
            for links in list(self.links.values()):
                for link in list(links):
                    link.outlet.end()

    # Inside

    def _put(
        self,
        place: EndpointAddress,
        about: str,
        held: Attempt | Probe,
        pieces: list[memoryview | bytes],
    ) -> None:
        now, link = self.clock(), None
        with self.lock:
            links = self.links.setdefault(place, [])
            if not self._is_stale(held, place):
                link = self._choose(links, about)
                if link is None and not self.stopped:
                    self._make_room()
                    if self.count < self.links_most:
                        link = self._connect(place, links, now)
            if link is not None:
                link.open[about], link.used = held, now
                link.held_for = self.held_for[held.endpoint.kind in self.far]
                if isinstance(held, Attempt):
                    self.of_attempt[held] = (link, about)
                link.outlet.put(about, pieces)
        if link is None and isinstance(held, Attempt):
            self._report(
                held, Outcome.NOT_SENT
            )  # not to be sent, or no connection here: no word about the node

    def _choose(self, links: list[UpstreamConnection], about: str) -> UpstreamConnection | None:
        """Under the lock. One that nothing is out on may have been closed by the node in this very
        moment: what is written there is lost, and nobody could say whether it ran.
        """
        for link in sorted(
            (link for link in links if link.takes(about, self.attempts_a_connection)),
            key=lambda link: len(link.open),
        ):
            if link.open or not link.closed_there():
                return link
            link.outlet.end()
        return None

    def _may_ask(self, link: UpstreamConnection) -> bool:
        """Under the lock. Whether those that something is out at there may be asked for an echo."""
        return all(
            self.facade.can_health_check(held.endpoint, link.place) for held in link.open.values()
        )

    def _is_stale(self, held: Attempt | Probe | None, place: EndpointAddress) -> bool:
        """Under the lock, which is held until the first byte is written: what comes later comes
        after it.
        """
        if isinstance(held, Probe):
            return not self.facade.can_health_check(held.endpoint, place)
        if held is None or not held.addresses:
            return False
        request = held.request
        if request.context is not None and self.has_left(request.context, not held.number):
            self.facade.client_left(
                request
            )  # told by the connection's own thread as well, but that may be late
        return not self.facade.can_begin(held)

    def _stale_on(self, link: UpstreamConnection, about: str) -> Attempt | Probe | None:
        """Under the lock. What waited for its link and must not be sent any more; off the link with
        it, so that nobody gives up there what never was.
        """
        held = link.open.get(about)
        if not self._is_stale(held, link.place):
            return None
        del link.open[about]
        self.of_attempt.pop(held, None)
        return held

    def _withdrawn(self, held: Attempt | Probe) -> None:
        if isinstance(held, Attempt):
            self._report(held, Outcome.NOT_SENT)

    def _report(self, attempt: Attempt, *how: Any) -> None:
        """Tells how an attempt went, and does what follows from it."""
        self.facade.report_outcome(attempt, *how)
        self.see_through(attempt.request)

    def _connect(
        self, place: EndpointAddress, links: list[UpstreamConnection], now: float
    ) -> UpstreamConnection | None:
        """Under the lock. A new link, or None where no thread is to be had for it."""
        link = UpstreamConnection(place, now, self.lock)
        link.outlet.stale = lambda about: self._stale_on(link, about)
        link.outlet.withdrawn = self._withdrawn
        try:
            threading.Thread(target=self._run, args=(link,), name="link", daemon=True).start()
        except RuntimeError as broken:
            self.log.exception("link", broken)
            return None
        links.append(link)
        self.count += 1
        return link

    def _run(self, link: UpstreamConnection) -> None:
        """The thread of a link: connects, then reads until the end."""
        outcome, why, connection = Outcome.CONNECT_FAILED, "", None
        try:
            connection = socket.socket(socket.AF_INET, socket.SOCK_STREAM)  # none may be left
            connection.settimeout(self.connect_timeout / 1000.0)
            connection.connect(link.place.address)
            connection.settimeout(None)
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            outcome = Outcome.RESET
            with self.lock:
                lost = self.down.pop(link.place, None)
            if lost is not None:
                self.log.event("link up", node=link.place.name, lost=lost)
            if link.outlet.open(connection):
                self._read(link, connection)
        except OSError as broken:
            why = errno.errorcode.get(broken.errno or 0, type(broken).__name__)
            if outcome == Outcome.CONNECT_FAILED and held_links.is_local_resource_shortage(
                broken.errno
            ):
                outcome = Outcome.NOT_SENT
        except resp.RespError as broken:
            why, outcome = str(broken), Outcome.RESET
        except Exception as broken:
            self.log.exception("link", broken)
        finally:
            self._end(link, connection, outcome, why)

    def _read(self, link: UpstreamConnection, connection: socket.socket) -> None:
        arrays = resp.Arrays()
        while (length := connection.recv_into(arrays.room())) > 0:
            for items in arrays.filled(length):
                told = resp.read_told(items, LOAD_REPORT_FIELDS)
                with self.lock:
                    held = link.open.pop(told.about, None)
                    link.used = link.heard = self.clock()
                    if isinstance(held, Attempt):
                        link.patience.record_response()
                        if (
                            told.outcome != Outcome.SERVED
                        ):  # a second answer must not meet the next one
                            link.over[told.about] = link.used
                    elif held is None and link.asked:
                        link.patience.record_ping_answer()
                    link.given_up = link.asked = 0.0
                    known = (
                        held is not None
                        or told.about in link.over
                        or told.about.startswith("probe-")
                    )
                    if isinstance(held, Attempt):
                        self.of_attempt.pop(held, None)
                if isinstance(held, Probe):
                    self.facade.report_health_check(held.endpoint, told.load, told.well)
                elif held is not None:
                    self._report(
                        held,
                        told.outcome_for(held.entity_tag),
                        told.note,
                        told.waited,
                        told.load,
                        told,
                    )
                elif not known:
                    self.log.event("unknown id", node=link.place.name, about=told.about[:32])

    def _end(
        self, link: UpstreamConnection, connection: socket.socket | None, outcome: Outcome, why: str
    ) -> None:
        with self.lock:
            ours = link.outlet.ended
            link.outlet.end()
            links = self.links.get(link.place, [])
            if link in links:
                links.remove(link)
                self.count -= 1
            if not links:
                self.links.pop(link.place, None)
            lost = [
                (held, link.outlet.unbegun(about))
                for about, held in link.open.items()
                if isinstance(held, Attempt)
            ]
            for held, _ in lost:
                self.of_attempt.pop(held, None)
            link.open = {}
            if connection is not None:
                connection.close()
            first = (lost or not ours) and link.place not in self.down
            if lost or not ours:
                self.down[link.place] = self.down.get(link.place, 0) + len(lost)
        if first:  # one line until it is up again, not one an attempt
            self.log.event("link down", node=link.place.name, lost=len(lost), why=why or "closed")
        for held, unbegun in lost:
            self._report(
                held, Outcome.CONNECT_FAILED if unbegun and outcome == Outcome.RESET else outcome
            )

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
from ..policy.connection_reuse import PingBackoff, hold_for
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
PING_TIMEOUT = 100.0  # ms from asking a link for an echo to its end
PROBE_WAIT = 1000.0  # ms after which a probe without an answer is forgotten


@dataclass(slots=True, eq=False)
class HealthCheck:
    endpoint: Endpoint
    sent_at: float


class UpstreamConnection:
    """One connection to a node. All fields are guarded by the lock of Caches."""

    def __init__(self, place: EndpointAddress, now: float, lock: threading.Lock) -> None:
        self.address, self.last_used_at, self.last_received_at = place, now, now
        self.write_queue = WriteQueue(lock)
        self.in_flight: dict[str, Attempt | HealthCheck] = {}
        self.abandoned: dict[
            str, float
        ] = {}  # ended here alone; a late or second answer may still come
        self.pinged_at = 0.0  # when it was asked whether it still brings answers
        self.ping_backoff, self.idle_timeout = PingBackoff(), 0.0
        self.suspect_since = (
            0.0  # when an attempt was given up with nothing heard since it was sent
        )

    def can_take(self, about: str, most: int) -> bool:
        return (
            not self.write_queue.is_shut_down
            and len(self.in_flight) < most
            and about not in self.in_flight
            and about not in self.abandoned
            and not self.suspect_since
            and not self.pinged_at
        )

    def has_unread_bytes(self) -> bool:
        """Whether bytes have come that are not read yet: this director may be the one
        that is late.
        """
        here = bytearray(4)
        fcntl.ioctl(self.write_queue.connection, termios.FIONREAD, here)
        return any(here)

    def is_closed_by_peer(self) -> bool:
        """Whether the node has closed it, though its thread may not have read so far."""
        try:
            return self.write_queue.connection.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT) == b""
        except (OSError, AttributeError):  # nothing, or not up yet
            return False

    def quiet_since(self) -> float:
        """Since when attempts have been out with nothing heard."""
        first = next(
            (
                attempt.sent_at
                for attempt in self.in_flight.values()
                if isinstance(attempt, Attempt)
            ),
            None,
        )
        return (
            math.inf
            if first is None or self.write_queue.connection is None
            else max(first, self.last_received_at)
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
        self.coordinator, self.clock, self.log = facade, clock, log
        self.run_request: Callable[[Request], None] = lambda request: (
            None
        )  # set by the front, as the next is
        # Whether the client of a ticket has gone; for its first attempt, or a further one.
        self.has_client_left: Callable[[Any, bool], bool] = lambda ticket, first: False
        self.connect_timeout, terms = connect_timeout, facade.settings
        self.far = (terms.parent_kind, terms.origin_kind)
        self.held_for = {
            far: hold_for(idle_for, sharers, far, links_priced)
            for far, sharers in ((False, terms.local_director_count), (True, terms.director_count))
        }
        self.attempts_a_connection, self.max_connections = attempts_a_connection, links_most
        self.lock = threading.Lock()
        self.connections: dict[EndpointAddress, list[UpstreamConnection]] = {}
        self.down: dict[
            EndpointAddress, int
        ] = {}  # places whose last link failed, with attempts lost since the first
        self.connection_by_attempt: dict[Attempt, tuple[UpstreamConnection, str]] = {}
        self.connection_count, self.stopped = 0, False
        self.tags = itertools.count(1)

    # For those who see a request through

    def send(self, order: SendAttempt, asked: ClientRequest) -> None:
        attempt, order.attempt.entity_tag = order.attempt, asked.entity_tag
        left = attempt.request.deadline - self.clock()
        self._send(
            order.address, asked.request_id, attempt, resp.attempt_command(asked, order, left)
        )

    def cancel(self, attempt: Attempt) -> None:
        with self.lock:
            link, about = self.connection_by_attempt.pop(attempt, (None, ""))
            if link is None or link.in_flight.pop(about, None) is None:
                return
            now = self.clock()
            if (
                link.last_received_at < attempt.sent_at
                and now > attempt.sent_at + self.connect_timeout
            ):  # sooner: no word
                link.suspect_since = link.suspect_since or now
            if not link.write_queue.withdraw(about):
                link.abandoned[about] = now
                if self.coordinator.settings.allows_cancel:
                    self._kill(link, about)

    def _kill(self, link: UpstreamConnection, about: str) -> None:
        """Under the lock. Where a request may have one attempt out at a time, the next one must not
        overtake a word that waits behind others to be written: the end of the connection says it at
        once.
        """
        link.write_queue.write(None, [resp.cancel_command(about)])
        if link.write_queue.pending and not self.coordinator.settings.allows_hedging:
            link.write_queue.shut_down()

    def check_health(
        self, node: Endpoint, place: EndpointAddress, with_report: bool = True
    ) -> None:
        tag = f"probe-{next(self.tags)}"
        self._send(
            place,
            tag,
            HealthCheck(node, self.clock()),
            [resp.health_check_command(tag, with_report)],
        )

    def ping_quiet_connections(self) -> None:
        """Asks links that have been quiet with attempts out for an echo, and ends those that bring
        none: all that is open there is told at once. Guards against connections that stay open and
        are of no more use, after an answer that was spoilt, cut, endless or never came; harms where
        an echo takes over ECHO_WAIT.
        """
        now = self.clock()
        with self.lock:
            living = [
                link
                for links in self.connections.values()
                for link in links
                if not link.write_queue.is_shut_down
            ]
            for link in living if self.may_probe else ():
                if link.pinged_at and now > link.pinged_at + PING_TIMEOUT * (
                    2.0 if link.has_unread_bytes() else 1.0
                ):
                    link.write_queue.shut_down()
                    continue
                quiet = now > link.quiet_since() + link.ping_backoff.wait(len(link.in_flight))
                if quiet and not link.pinged_at and self._may_ask(link):
                    link.pinged_at = now
                    link.write_queue.write(
                        None,
                        [resp.health_check_command(f"probe-{next(self.tags)}", with_report=False)],
                    )

    def close_idle(self) -> None:
        """Closes what has long been idle, is gone or silent, forgets probes that nobody answered,
        and takes back attempts of which nothing could be written for as long as connecting may
        take: they never ran, and sent later they might come after a drain or a purge.
        """
        now, stuck = self.clock(), []
        with self.lock:
            self.down = {place: lost for place, lost in self.down.items() if not place.is_removed}
            for place, links in list(self.connections.items()):
                for link in list(links):
                    link.abandoned = {
                        about: at for about, at in link.abandoned.items() if now < at + OVER_FOR
                    }
                    for tag, held in list(link.in_flight.items()):
                        if isinstance(held, HealthCheck) and now > held.sent_at + PROBE_WAIT:
                            del link.in_flight[tag]
                            link.suspect_since = link.suspect_since or (
                                now if link.last_received_at < held.sent_at else 0.0
                            )
                        elif (
                            isinstance(held, Attempt)
                            and now > held.sent_at + self.connect_timeout
                            and link.write_queue.withdraw(tag)
                        ):
                            del link.in_flight[tag]
                            self.connection_by_attempt.pop(held, None)
                            link.suspect_since = link.suspect_since or now
                            stuck.append(held)
                    if not link.in_flight and (
                        place.is_removed
                        or link.suspect_since
                        or now > link.last_used_at + link.idle_timeout
                    ):
                        link.write_queue.shut_down()
        for attempt in stuck:
            self._report(attempt, Outcome.CONNECT_FAILED)

    def fullness(self) -> float:
        """Of the links that there may be, the part that attempts are out on."""
        with self.lock:
            if (
                self.connection_count < held_links.IDLE_MOST * self.max_connections
            ):  # spares the count
                return 0.0
            busy = sum(
                bool(link.in_flight) for links in self.connections.values() for link in links
            )
            return held_links.fullness(self.connection_count, busy, self.max_connections)

    def _make_room(self) -> None:
        """Under the lock."""
        if self.connection_count > held_links.IDLE_MOST * self.max_connections:
            idle = [
                (link.last_used_at, link)
                for links in self.connections.values()
                for link in links
                if not link.in_flight
            ]
            for link in held_links.to_end(idle, self.connection_count, self.max_connections):
                link.write_queue.shut_down()

    def stop(self) -> None:
        with self.lock:
            self.stopped = True
            for links in list(self.connections.values()):
                for link in list(links):
                    link.write_queue.shut_down()

    # Inside

    def _send(
        self,
        place: EndpointAddress,
        about: str,
        held: Attempt | HealthCheck,
        pieces: list[memoryview | bytes],
    ) -> None:
        now, link = self.clock(), None
        with self.lock:
            links = self.connections.setdefault(place, [])
            if not self._is_stale(held, place):
                link = self._choose(links, about)
                if link is None and not self.stopped:
                    self._make_room()
                    if self.connection_count < self.max_connections:
                        link = self._connect(place, links, now)
            if link is not None:
                link.in_flight[about], link.last_used_at = held, now
                link.idle_timeout = self.held_for[held.endpoint.kind in self.far]
                if isinstance(held, Attempt):
                    self.connection_by_attempt[held] = (link, about)
                link.write_queue.write(about, pieces)
        if link is None and isinstance(held, Attempt):
            self._report(
                held, Outcome.NOT_SENT
            )  # not to be sent, or no connection here: no word about the node

    def _choose(self, links: list[UpstreamConnection], about: str) -> UpstreamConnection | None:
        """Under the lock. One that nothing is out on may have been closed by the node in this very
        moment: what is written there is lost, and nobody could say whether it ran.
        """
        for link in sorted(
            (link for link in links if link.can_take(about, self.attempts_a_connection)),
            key=lambda link: len(link.in_flight),
        ):
            if link.in_flight or not link.is_closed_by_peer():
                return link
            link.write_queue.shut_down()
        return None

    def _may_ask(self, link: UpstreamConnection) -> bool:
        """Under the lock. Whether those that something is out at there may be asked for an echo."""
        return all(
            self.coordinator.can_health_check(held.endpoint, link.address)
            for held in link.in_flight.values()
        )

    def _is_stale(self, held: Attempt | HealthCheck | None, place: EndpointAddress) -> bool:
        """Under the lock, which is held until the first byte is written: what comes later comes
        after it.
        """
        if isinstance(held, HealthCheck):
            return not self.coordinator.can_health_check(held.endpoint, place)
        if held is None or not held.addresses:
            return False
        request = held.request
        if request.context is not None and self.has_client_left(request.context, not held.number):
            self.coordinator.client_left(
                request
            )  # told by the connection's own thread as well, but that may be late
        return not self.coordinator.can_begin(held)

    def _stale_on(self, link: UpstreamConnection, about: str) -> Attempt | HealthCheck | None:
        """Under the lock. What waited for its link and must not be sent any more; off the link with
        it, so that nobody gives up there what never was.
        """
        held = link.in_flight.get(about)
        if not self._is_stale(held, link.address):
            return None
        del link.in_flight[about]
        self.connection_by_attempt.pop(held, None)
        return held

    def _withdrawn(self, held: Attempt | HealthCheck) -> None:
        if isinstance(held, Attempt):
            self._report(held, Outcome.NOT_SENT)

    def _report(self, attempt: Attempt, *how: Any) -> None:
        """Tells how an attempt went, and does what follows from it."""
        self.coordinator.report_outcome(attempt, *how)
        self.run_request(attempt.request)

    def _connect(
        self, place: EndpointAddress, links: list[UpstreamConnection], now: float
    ) -> UpstreamConnection | None:
        """Under the lock. A new link, or None where no thread is to be had for it."""
        link = UpstreamConnection(place, now, self.lock)
        link.write_queue.find_stale = lambda about: self._stale_on(link, about)
        link.write_queue.on_withdrawn = self._withdrawn
        try:
            threading.Thread(target=self._run, args=(link,), name="link", daemon=True).start()
        except RuntimeError as broken:
            self.log.exception("link", broken)
            return None
        links.append(link)
        self.connection_count += 1
        return link

    def _run(self, link: UpstreamConnection) -> None:
        """The thread of a link: connects, then reads until the end."""
        outcome, why, connection = Outcome.CONNECT_FAILED, "", None
        try:
            connection = socket.socket(socket.AF_INET, socket.SOCK_STREAM)  # none may be left
            connection.settimeout(self.connect_timeout / 1000.0)
            connection.connect(link.address.address)
            connection.settimeout(None)
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            outcome = Outcome.RESET
            with self.lock:
                lost = self.down.pop(link.address, None)
            if lost is not None:
                self.log.event("link up", node=link.address.name, lost=lost)
            if link.write_queue.attach(connection):
                self._read(link, connection)
        except OSError as broken:
            why = errno.errorcode.get(broken.errno or 0, type(broken).__name__)
            if outcome == Outcome.CONNECT_FAILED and held_links.is_own_want(broken.errno):
                outcome = Outcome.NOT_SENT
        except resp.RespError as broken:
            why, outcome = str(broken), Outcome.RESET
        except Exception as broken:
            self.log.exception("link", broken)
        finally:
            self._close(link, connection, outcome, why)

    def _read(self, link: UpstreamConnection, connection: socket.socket) -> None:
        arrays = resp.ArrayDecoder()
        while (length := connection.recv_into(arrays.writable_view())) > 0:
            for items in arrays.decode(length):
                told = resp.parse_answer(items, LOAD_REPORT_FIELDS)
                with self.lock:
                    held = link.in_flight.pop(told.request_id, None)
                    link.last_used_at = link.last_received_at = self.clock()
                    if isinstance(held, Attempt):
                        link.ping_backoff.answered()
                        if (
                            told.outcome != Outcome.SERVED
                        ):  # a second answer must not meet the next one
                            link.abandoned[told.request_id] = link.last_used_at
                    elif held is None and link.pinged_at:
                        link.ping_backoff.echoed()
                    link.suspect_since = link.pinged_at = 0.0
                    known = (
                        held is not None
                        or told.request_id in link.abandoned
                        or told.request_id.startswith("probe-")
                    )
                    if isinstance(held, Attempt):
                        self.connection_by_attempt.pop(held, None)
                if isinstance(held, HealthCheck):
                    self.coordinator.report_health_check(
                        held.endpoint, told.load_report, told.is_healthy
                    )
                elif held is not None:
                    self._report(
                        held,
                        told.outcome_for(held.entity_tag),
                        told.cache_status,
                        told.delay,
                        told.load_report,
                        told,
                    )
                elif not known:
                    self.log.event("unknown id", node=link.address.name, about=told.request_id[:32])

    def _close(
        self, link: UpstreamConnection, connection: socket.socket | None, outcome: Outcome, why: str
    ) -> None:
        with self.lock:
            ours = link.write_queue.is_shut_down
            link.write_queue.shut_down()
            links = self.connections.get(link.address, [])
            if link in links:
                links.remove(link)
                self.connection_count -= 1
            if not links:
                self.connections.pop(link.address, None)
            lost = [
                (held, link.write_queue.is_unwritten(about))
                for about, held in link.in_flight.items()
                if isinstance(held, Attempt)
            ]
            for held, _ in lost:
                self.connection_by_attempt.pop(held, None)
            link.in_flight = {}
            if connection is not None:
                connection.close()
            first = (lost or not ours) and link.address not in self.down
            if lost or not ours:
                self.down[link.address] = self.down.get(link.address, 0) + len(lost)
        if first:  # one line until it is up again, not one an attempt
            self.log.event("link down", node=link.address.name, lost=len(lost), why=why or "closed")
        for held, unbegun in lost:
            self._report(
                held, Outcome.CONNECT_FAILED if unbegun and outcome == Outcome.RESET else outcome
            )

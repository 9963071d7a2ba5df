"""One connection to an endpoint: what is in flight on it, and whether it may take more."""

import fcntl
import math
import socket
import termios
import threading
from dataclasses import dataclass
from typing import TYPE_CHECKING

from ..policy.connection_reuse import PingBackoff
from ..policy.model import Attempt, EndpointAddress, Outcome
from . import resp
from .write_queue import WriteQueue

if TYPE_CHECKING:
    from ..policy.router import TrackedEndpoint

ABANDONED_FOR = 10_000.0  # ms for which the answer to a cancelled attempt may still come
PING_TIMEOUT = 100.0  # ms from a ping to the end of a connection that does not answer it
HEALTH_CHECK_TIMEOUT = 1000.0  # ms after which a health check without an answer is forgotten
HEALTH_CHECK_PREFIX = "probe-"  # of the tags of health checks and pings on the wire


@dataclass(slots=True, eq=False)
class HealthCheck:
    """A health check that is in flight; `sent_at` in ms of the director's clock."""

    endpoint: "TrackedEndpoint"
    sent_at: float


InFlight = Attempt | HealthCheck


class UpstreamConnection:
    """One connection to an endpoint; times are ms of the director's clock.

    All fields and methods are guarded by the lock of the pool that it is in.

    Attributes:
        address: The endpoint's.
        last_used_at: When something was last sent or received.
        last_received_at: When it was opened, or an answer last came.
        write_queue: What waits to be written.
        in_flight: Attempts and health checks without an answer, by id on the wire.
        abandoned: When attempts were given up whose answer, or a second one, may still come.
        pinged_at: When a ping was sent that is not answered yet; 0: there is none.
        ping_backoff: How long the connection may be quiet before it is pinged.
        idle_timeout: After which it is closed when nothing is in flight.
        suspect_since: When an attempt was given up with nothing received since it was sent; 0:
            never. Such a connection takes nothing more.
    """

    def __init__(self, address: EndpointAddress, now: float, lock: threading.Lock) -> None:
        self.address = address
        self.last_used_at = now
        self.last_received_at = now
        self.write_queue: WriteQueue[InFlight] = WriteQueue(lock)
        self.in_flight: dict[str, InFlight] = {}
        self.abandoned: dict[str, float] = {}
        self.pinged_at = 0.0
        self.ping_backoff = PingBackoff()
        self.idle_timeout = 0.0
        self.suspect_since = 0.0

    def can_take(self, wire_id: str, max_in_flight: int) -> bool:
        """Returns whether a further attempt or health check may be sent under this id."""
        return (
            not self.write_queue.is_shut_down
            and len(self.in_flight) < max_in_flight
            and wire_id not in self.in_flight
            and wire_id not in self.abandoned
            and not self.suspect_since
            and not self.pinged_at
        )

    def has_unread_bytes(self) -> bool:
        """Returns whether bytes have come that this director has been too late to read."""
        assert self.write_queue.connection is not None
        unread_count = bytearray(4)
        fcntl.ioctl(self.write_queue.connection, termios.FIONREAD, unread_count)
        return any(unread_count)

    def is_closed_by_peer(self) -> bool:
        """Returns whether the endpoint has closed it, though the reading thread may not know."""
        connection = self.write_queue.connection
        if connection is None:  # not up yet
            return False
        try:
            return connection.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT) == b""
        except OSError:  # nothing has come
            return False

    def quiet_since(self) -> float:
        """Returns since when attempts are in flight with nothing received; infinity: none are."""
        first_sent_at = next(
            (
                attempt.sent_at
                for attempt in self.in_flight.values()
                if isinstance(attempt, Attempt)
            ),
            None,
        )
        if first_sent_at is None or self.write_queue.connection is None:
            return math.inf
        return max(first_sent_at, self.last_received_at)

    def is_ping_overdue(self, now: float) -> bool:
        """Returns whether a ping is not answered in time; unread bytes double the time."""
        if not self.pinged_at:
            return False
        return now > self.pinged_at + PING_TIMEOUT * (2.0 if self.has_unread_bytes() else 1.0)

    def needs_ping(self, now: float) -> bool:
        """Returns whether it has been quiet for too long with attempts in flight."""
        is_quiet = now > self.quiet_since() + self.ping_backoff.silence_before_ping(
            len(self.in_flight)
        )
        return is_quiet and not self.pinged_at

    def record_answer(self, answered: InFlight | None, answer: resp.NodeAnswer, now: float) -> None:
        """Notes that an answer has come, to `answered` (None: to a ping, or nothing known)."""
        self.last_received_at = now
        self.last_used_at = now
        if isinstance(answered, Attempt):
            self.ping_backoff.record_response()
            if answer.outcome != Outcome.SERVED:
                # A second answer must not be taken for that of the next attempt.
                self.abandoned[answer.request_id] = now
        elif answered is None and self.pinged_at:
            self.ping_backoff.record_ping_answer()
        self.suspect_since = 0.0
        self.pinged_at = 0.0

    def may_answer(self, wire_id: str) -> bool:
        """Returns whether an answer under this id is no surprise, though nothing is in flight."""
        return wire_id in self.abandoned or wire_id.startswith(HEALTH_CHECK_PREFIX)

    def suspect(self, now: float) -> None:
        """Takes no more on it until an answer comes."""
        self.suspect_since = self.suspect_since or now

    def forget_overdue(self, now: float) -> None:
        """Forgets abandoned attempts and health checks whose answers no longer come."""
        self.abandoned = {
            wire_id: at for wire_id, at in self.abandoned.items() if now < at + ABANDONED_FOR
        }
        for tag, check in list(self.in_flight.items()):
            if isinstance(check, HealthCheck) and now > check.sent_at + HEALTH_CHECK_TIMEOUT:
                del self.in_flight[tag]
                if self.last_received_at < check.sent_at:
                    self.suspect(now)

    def withdraw_stuck_attempts(self, now: float, timeout: float) -> list[Attempt]:
        """Removes attempts of which nothing could be written for so long; returns them."""
        stuck = []
        for wire_id, attempt in list(self.in_flight.items()):
            if (
                isinstance(attempt, Attempt)
                and now > attempt.sent_at + timeout
                and self.write_queue.withdraw(wire_id)
            ):
                del self.in_flight[wire_id]
                self.suspect(now)
                stuck.append(attempt)
        return stuck

    def can_close(self, now: float) -> bool:
        """Returns whether nothing is in flight and it is idle, of no use, or its endpoint gone."""
        return not self.in_flight and (
            self.address.is_removed
            or bool(self.suspect_since)
            or now > self.last_used_at + self.idle_timeout
        )

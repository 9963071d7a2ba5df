"""One connection to an endpoint, with its attempts and health checks in flight."""

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

ABANDONED_FOR = 10_000.0  # ms for which an answer to an abandoned attempt is expected
PING_TIMEOUT = 100.0  # ms after which a connection is closed if a ping is not answered
HEALTH_CHECK_TIMEOUT = 1000.0  # ms after which a health check without an answer expires
HEALTH_CHECK_PREFIX = "probe-"  # prefix of the tags of health checks and pings on the wire


@dataclass(slots=True, eq=False)
class HealthCheck:
    """Health check in flight; `sent_at` is in ms of the director's clock."""

    endpoint: "TrackedEndpoint"
    sent_at: float


InFlight = Attempt | HealthCheck


class UpstreamConnection:
    """One connection to an endpoint. Times are ms of the director's clock.

    All fields and methods are guarded by the lock of the connection's pool.

    Attributes:
        address: Address of the endpoint.
        last_used_at: Time at which an attempt or health check was last sent or queued, or an answer
            was last received.
        last_received_at: Time of the last answer; before the first one, the time at which this
            object was created.
        write_queue: Commands to be written.
        in_flight: Attempts and health checks without an answer, by their ids on the wire.
        abandoned: Times at which attempts were abandoned, by their ids on the wire. An attempt is
            abandoned if it is cancelled after a part of it was written, or if its answer has
            another outcome than SERVED. A late or second answer to it may still be received, and
            must not be taken for an answer to another attempt.
        pinged_at: Send time of an unanswered ping; 0 if there is none. Any answer that is received
            resets it to 0.
        ping_backoff: Rule for how long the connection may be silent before it is pinged.
        idle_timeout: Time in ms since `last_used_at` after which the connection is closed if
            nothing is in flight.
        suspect_since: Time at which the connection became suspect; 0 if it is not suspect. A
            connection becomes suspect if an attempt cannot be written in time. It also becomes
            suspect if a health check expires or an overdue attempt is cancelled, and no answer was
            received since that check or attempt was sent. No attempt or health check is sent on a
            suspect connection until an answer is received.
        is_read_delayed: Whether the director does not read the connection now, because there is no
            memory for a large answer. The connection then does not count as silent.
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
        self.is_read_delayed = False

    def can_send(self, wire_id: str, max_in_flight: int) -> bool:
        """Return whether another attempt or health check may be sent under this id."""
        return (
            not self.write_queue.is_shut_down
            and len(self.in_flight) < max_in_flight
            and wire_id not in self.in_flight
            and wire_id not in self.abandoned
            and not self.suspect_since
            and not self.pinged_at
        )

    def has_unread_bytes(self) -> bool:
        """Return whether bytes were received that this director has not read yet."""
        assert self.write_queue.connection is not None
        unread_count = bytearray(4)
        fcntl.ioctl(self.write_queue.connection, termios.FIONREAD, unread_count)
        return any(unread_count)

    def is_closed_by_peer(self) -> bool:
        """Return whether the endpoint has closed the connection and no received bytes are unread.

        The reading thread may not have noticed the close yet. A reset by the endpoint does not
        count.
        """
        connection = self.write_queue.connection
        if connection is None:  # not connected yet
            return False
        try:
            return connection.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT) == b""
        except OSError:  # nothing was received, or the endpoint has reset the connection
            return False

    def silent_since(self) -> float:
        """Return the time since which the connection is silent with attempts in flight.

        The result is infinity if no attempts are in flight or the connection is not open yet.
        """
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
        """Return whether a ping was not answered in time.

        The timeout is doubled if bytes are unread: they may contain the answer, which the director
        itself reads late.
        """
        if not self.pinged_at or self.is_read_delayed:
            return False
        return now > self.pinged_at + PING_TIMEOUT * (2.0 if self.has_unread_bytes() else 1.0)

    def needs_ping(self, now: float) -> bool:
        """Return whether a ping is due.

        It is due if the connection has been silent for too long with attempts in flight, and no
        earlier ping is unanswered.
        """
        is_silent = now > self.silent_since() + self.ping_backoff.silence_before_ping(
            len(self.in_flight)
        )
        return is_silent and not self.pinged_at and not self.is_read_delayed

    def record_answer(
        self, answered: InFlight | None, answer: resp.EndpointAnswer, now: float
    ) -> None:
        """Record that an answer was received.

        Args:
            answered: The attempt or health check that was answered; None if the answer is to a
                ping, an abandoned attempt, an expired health check, or an unknown id.
            answer: The answer.
            now: The current time.
        """
        self.last_received_at = now
        self.last_used_at = now
        if isinstance(answered, Attempt):
            self.ping_backoff.record_response()
            if answer.outcome != Outcome.SERVED:
                # A second answer must not be taken for the answer to the request's next attempt,
                # which has the same id.
                self.abandoned[answer.request_id] = now
        elif answered is None and self.pinged_at:
            self.ping_backoff.record_ping_answer()
        self.suspect_since = 0.0
        self.pinged_at = 0.0

    def expects_answer(self, wire_id: str) -> bool:
        """Return whether an answer with this id is expected although the id is not in flight.

        This holds for abandoned attempts, pings and expired health checks.
        """
        return wire_id in self.abandoned or wire_id.startswith(HEALTH_CHECK_PREFIX)

    def mark_suspect(self, now: float) -> None:
        """Mark the connection as suspect: it is not used again until an answer is received."""
        self.suspect_since = self.suspect_since or now

    def remove_overdue(self, now: float) -> None:
        """Remove abandoned attempts and health checks whose answers are overdue.

        The connection becomes suspect if no answer was received since a removed health check was
        sent.
        """
        self.abandoned = {
            wire_id: at for wire_id, at in self.abandoned.items() if now < at + ABANDONED_FOR
        }
        for tag, check in list(self.in_flight.items()):
            if isinstance(check, HealthCheck) and now > check.sent_at + HEALTH_CHECK_TIMEOUT:
                del self.in_flight[tag]
                if self.last_received_at < check.sent_at:
                    self.mark_suspect(now)

    def withdraw_stuck_attempts(self, now: float, timeout: float) -> list[Attempt]:
        """Remove and return attempts of which nothing could be written within `timeout` ms.

        If there are any, the connection becomes suspect.
        """
        stuck = []
        for wire_id, attempt in list(self.in_flight.items()):
            if (
                isinstance(attempt, Attempt)
                and now > attempt.sent_at + timeout
                and self.write_queue.withdraw(wire_id)
            ):
                del self.in_flight[wire_id]
                self.mark_suspect(now)
                stuck.append(attempt)
        return stuck

    def can_close(self, now: float) -> bool:
        """Return whether the connection should be closed.

        Two conditions must hold: nothing is in flight, and the connection is suspect, has reached
        its idle timeout, or belongs to a removed address.
        """
        return not self.in_flight and (
            self.address.is_removed
            or bool(self.suspect_since)
            or now > self.last_used_at + self.idle_timeout
        )

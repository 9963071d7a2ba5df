"""Upstream connections: when to ping a silent connection, and when to close an idle one.

A ping costs the endpoint work, and an open connection uses one of the endpoint's limited connection
slots. When an endpoint becomes slow, hundreds of directors react at the same time. Therefore:

* Ping backoff (`PingBackoff`): a connection with attempts in flight is pinged after a period of
  silence, since the endpoint may have failed. If the ping is answered, the response is merely slow,
  and the silence before the next ping doubles. Responses to attempts shorten it again.
* Idle timeout (`choose_idle_timeout`): an idle connection is kept for a long time only if few
  directors share the endpoint.
* Eviction (`connections_to_evict`): near the director's own connection limit, the connections that
  have been idle for longest are closed, so that attempts to other endpoints can get a connection.

No I/O and no clock: the time is an argument, in ms. Not thread-safe.
"""

import errno
from typing import TypeVar

Connection = TypeVar("Connection")

# This value divided by 1 + attempts in flight is the silence in ms before a ping: if many responses
# are due, the first of them should be received sooner.
SILENCE_BEFORE_PING = 1500.0
# Lower bound in ms of the silence before a ping; the backoff multiplies the bounded silence.
MIN_SILENCE_BEFORE_PING = 100.0
# Maximum number of doublings of the silence before a ping, which makes it 16 times as long.
MAX_BACKOFF_DOUBLINGS = 4.0
# Doublings that each response to an attempt removes.
BACKOFF_DECAY_PER_RESPONSE = 0.2

# Fraction of the endpoint's own idle timeout after which the director closes an idle connection, so
# that the endpoint does not close it while an attempt is being written.
IDLE_TIMEOUT_FRACTION = 0.5
# Maximum number of idle connections to one cache, summed over all directors.
MAX_IDLE_TO_CACHE = 12
# Maximum number of idle connections to one parent or to the origin, summed over the directors of
# all locations, which share these endpoints.
MAX_IDLE_TO_PARENT_OR_ORIGIN = 48
# Factor by which both maximums grow if opening a connection costs more than keeping an idle one.
COSTLY_CONNECT_FACTOR = 8
# Idle timeout in ms if one idle connection for each director would exceed the maximum.
SHORT_IDLE_TIMEOUT = 50.0

# Fraction of the director's connection limit above which idle connections are evicted.
EVICTION_THRESHOLD = 0.75


class PingBackoff:
    """Time without responses after which one connection with attempts in flight is pinged."""

    def __init__(self) -> None:
        self._doublings = 0.0

    def silence_before_ping(self, attempts_in_flight: int) -> float:
        """Return the silence in ms to wait for before the next ping."""
        silence = max(SILENCE_BEFORE_PING / (1 + attempts_in_flight), MIN_SILENCE_BEFORE_PING)
        return silence * 2.0**self._doublings

    def record_ping_answer(self) -> None:
        """Record that a ping was answered while attempts are in flight.

        The endpoint is alive but slow, so the silence before the next ping doubles, up to
        `MAX_BACKOFF_DOUBLINGS` times.
        """
        self._doublings = min(MAX_BACKOFF_DOUBLINGS, self._doublings + 1.0)

    def record_response(self) -> None:
        """Record that an attempt was answered, which shortens the silence before the next ping."""
        self._doublings = max(0.0, self._doublings - BACKOFF_DECAY_PER_RESPONSE)


def connections_to_evict(
    idle: list[tuple[float, Connection]], count: int, max_connections: int
) -> list[Connection]:
    """Return the idle connections to close now, those idle for longest first.

    Their number is the number of connections beyond `EVICTION_THRESHOLD` of the connection limit,
    or the number of idle connections if that is smaller.

    Args:
        idle: The idle connections, each as (time of its last use, connection).
        count: Number of connections of this director, idle or not.
        max_connections: The director's connection limit.
    """
    excess = max(0, count - int(EVICTION_THRESHOLD * max_connections))
    longest_idle = sorted(idle, key=lambda entry: entry[0])[:excess]
    return [connection for _, connection in longest_idle]


def connection_utilization(count: int, busy: int, max_connections: int) -> float:
    """Return the fraction of the connection limit that busy connections use.

    The result is 0 while fewer connections than `EVICTION_THRESHOLD` of the limit are open:
    connections are not scarce while new ones can be opened.

    Args:
        count: Number of connections of this director, idle or not.
        busy: Number of these connections that have attempts in flight.
        max_connections: The director's connection limit.
    """
    if count < EVICTION_THRESHOLD * max_connections:
        return 0.0
    return busy / max_connections


def choose_idle_timeout(
    endpoint_idle_timeout: float,
    sharing_directors: int,
    is_parent_or_origin: bool,
    is_connect_costly: bool,
) -> float:
    """Return the time in ms after which an idle connection to an endpoint is closed.

    If one idle connection for each director stays within the maximum for the endpoint, the time is
    `IDLE_TIMEOUT_FRACTION` of the endpoint's own timeout. Otherwise it is at most
    `SHORT_IDLE_TIMEOUT`. The endpoint then has no more connections than there are requests in
    service plus requests received within the timeout, whatever the number of directors.

    Args:
        endpoint_idle_timeout: Time in ms after which the endpoint itself closes an idle connection.
        sharing_directors: Number of directors that may keep a connection to this endpoint.
        is_parent_or_origin: Whether the endpoint is a parent or the origin, and not a cache.
        is_connect_costly: Whether opening a connection costs more than keeping one open.
    """
    max_idle = MAX_IDLE_TO_PARENT_OR_ORIGIN if is_parent_or_origin else MAX_IDLE_TO_CACHE
    if is_connect_costly:
        max_idle *= COSTLY_CONNECT_FACTOR
    longest = IDLE_TIMEOUT_FRACTION * endpoint_idle_timeout
    if sharing_directors <= max_idle:
        return longest
    return min(longest, SHORT_IDLE_TIMEOUT)


def is_local_resource_shortage(error_number: int | None) -> bool:
    """Return whether opening a connection failed because this director lacks a resource.

    A failure for lack of descriptors, memory or ports says nothing about the endpoint, and must not
    count as one of the endpoint's failures.

    Args:
        error_number: The `errno` of the failure; None if the failure has no `errno`.
    """
    return error_number in (
        errno.EMFILE,
        errno.ENFILE,
        errno.ENOBUFS,
        errno.ENOMEM,
        errno.EADDRNOTAVAIL,
    )

"""Upstream connections: when a silent one is pinged, and how long an idle one is kept open.

A ping costs the endpoint work and has a price, and an open connection takes one of the endpoint's
limited slots. What one director does because of a slow response, hundreds do at the same time. So:

* Ping backoff (`PingBackoff`): a connection with attempts in flight that stays silent for a while
  is pinged, since the endpoint may have failed. If the ping is answered, the response is merely
  slow, and the time until the next ping doubles. Responses to attempts reduce it again.
* Idle timeout (`choose_idle_timeout`): an idle connection is kept for long only where few directors
  share the endpoint.
* Eviction (`connections_to_evict`): close to the director's own limit of connections the ones that
  have been idle for longest are closed, so that they don't keep attempts to other endpoints from
  getting any connection.

Pure: no I/O, no clock. Times are milliseconds of the caller's clock. Not thread-safe.
"""

import errno
from typing import TypeVar

Connection = TypeVar("Connection")

# A connection may be silent for this many ms, divided by 1 + attempts in flight, before a ping:
# of many responses that are due one should arrive sooner.
SILENCE_BEFORE_PING = 1500.0
# But never less than this many ms.
MIN_SILENCE_BEFORE_PING = 100.0
# The silence before a ping doubles at most so often, to 16 times.
MAX_BACKOFF_DOUBLINGS = 4.0
# Doublings that each response to an attempt takes back.
BACKOFF_DECAY_PER_RESPONSE = 0.2

# We close an idle connection after this fraction of the endpoint's own idle timeout: it must not
# close it just as we write an attempt.
IDLE_TIMEOUT_FRACTION = 0.5
# Idle connections, summed over all directors, that one cache may be left with.
MAX_IDLE_TO_CACHE = 12
# The same for a parent or the origin, which the directors of all locations share.
MAX_IDLE_TO_PARENT_OR_ORIGIN = 48
# So many times as many are allowed where opening a connection costs more than keeping it.
COSTLY_CONNECT_FACTOR = 8
# Where more directors than that share an endpoint, each keeps an idle connection for so many ms.
SHORT_IDLE_TIMEOUT = 50.0

# Fraction of the director's limit of connections above which idle ones are evicted.
EVICTION_THRESHOLD = 0.75


class PingBackoff:
    """How long one connection may be silent, with attempts in flight, before it is pinged."""

    def __init__(self) -> None:
        self._doublings = 0.0

    def silence_before_ping(self, attempts_in_flight: int) -> float:
        """How many ms of silence to wait for before the next ping."""
        silence = max(SILENCE_BEFORE_PING / (1 + attempts_in_flight), MIN_SILENCE_BEFORE_PING)
        return silence * 2.0**self._doublings

    def record_ping_answer(self) -> None:
        """A ping was answered while attempts are in flight: the endpoint lives and is slow."""
        self._doublings = min(MAX_BACKOFF_DOUBLINGS, self._doublings + 1.0)

    def record_response(self) -> None:
        """An attempt was answered."""
        self._doublings = max(0.0, self._doublings - BACKOFF_DECAY_PER_RESPONSE)


def connections_to_evict(
    idle: list[tuple[float, Connection]], count: int, max_connections: int
) -> list[Connection]:
    """Which idle connections to close, those idle for longest first.

    Args:
        idle: The idle connections, each as (time of its last use, connection).
        count: All connections of this director, idle or not.
        max_connections: The director's limit.
    """
    excess = max(0, count - int(EVICTION_THRESHOLD * max_connections))
    longest_idle = sorted(idle, key=lambda entry: entry[0])[:excess]
    return [connection for _, connection in longest_idle]


def connection_utilization(count: int, busy: int, max_connections: int) -> float:
    """The fraction of the director's connections that have attempts in flight.

    It is 0 below `EVICTION_THRESHOLD`: idle connections are no shortage while new ones may be
    opened.
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
    """How many ms after its last use an idle connection to an endpoint is closed.

    Where all directors together stay within the endpoint's bound of idle connections, each may keep
    one for long. Otherwise the timeout is so short that the endpoint has no more connections than
    requests arrive within it and are being served, whatever the number of directors.

    Args:
        endpoint_idle_timeout: After so many ms the endpoint closes an idle connection itself.
        sharing_directors: Directors that may keep a connection to this endpoint.
        is_parent_or_origin: The endpoint is shared by all locations, and is no cache.
        is_connect_costly: Opening a connection costs more than keeping one open.
    """
    max_idle = MAX_IDLE_TO_PARENT_OR_ORIGIN if is_parent_or_origin else MAX_IDLE_TO_CACHE
    if is_connect_costly:
        max_idle *= COSTLY_CONNECT_FACTOR
    longest = IDLE_TIMEOUT_FRACTION * endpoint_idle_timeout
    if sharing_directors <= max_idle:
        return longest
    return min(longest, SHORT_IDLE_TIMEOUT)


def is_local_resource_shortage(error_number: int | None) -> bool:
    """Whether a connection failed to open for want of a resource of this director.

    Such a failure (descriptors, memory or ports) says nothing about the endpoint, and must not
    count as one of its failures.

    Args:
        error_number: The `errno` of the failure; None where there is none.
    """
    return error_number in (
        errno.EMFILE,
        errno.ENFILE,
        errno.ENOBUFS,
        errno.ENOMEM,
        errno.EADDRNOTAVAIL,
    )

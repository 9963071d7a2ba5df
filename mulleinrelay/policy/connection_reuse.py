"""When a quiet link is doubted, and how long an idle one is held; pure, times in ms.

An echo costs the node work and has a price, an idle connection takes a place at the node: what one
director does over a slow answer or out of habit, hundreds do at the same time. So a link that was
asked in vain is asked more rarely while its answers take as long, and an idle one is held for long
only where few directors share the node.
"""

import errno
from typing import TypeVar

Connection = TypeVar("Connection")
SILENCE_BEFORE_PING, MIN_SILENCE_BEFORE_PING = (
    1500.0,
    100.0,
)  # by 1 + attempts out: of many, one comes sooner
MAX_BACKOFF_DOUBLINGS = (
    4.0  # each echo that comes back with attempts still out doubles the wait for the next
)
BACKOFF_DECAY_PER_RESPONSE = 0.2  # of a doubling for each answer to an attempt
IDLE_TIMEOUT_FRACTION = (
    0.5  # of the time after which the other side closes an idle connection, we do
)
MAX_IDLE_TO_CACHE, MAX_IDLE_TO_PARENT_OR_ORIGIN = (
    12,
    48,
)  # idle links to one cache, to one parent or the origin, over all directors
COSTLY_CONNECT_FACTOR = 8  # times as many where a new connection costs more than an open one
SHORT_IDLE_TIMEOUT = 50.0  # where there would be more, each is held for so long


class PingBackoff:
    """How long one link may say nothing while attempts are out on it, before it is asked for an
    echo.
    """

    def __init__(self) -> None:
        self.false = 0.0  # echoes with no answer to an attempt, less a part for each answer since

    def silence_before_ping(self, attempts: int) -> float:
        return max(SILENCE_BEFORE_PING / (1 + attempts), MIN_SILENCE_BEFORE_PING) * 2.0**self.false

    def record_ping_answer(self) -> None:
        """It was asked and lives: what is out there takes its time."""
        self.false = min(MAX_BACKOFF_DOUBLINGS, self.false + 1.0)

    def record_response(self) -> None:
        self.false = max(0.0, self.false - BACKOFF_DECAY_PER_RESPONSE)


EVICTION_THRESHOLD = 0.75  # of the links at the most; where there are more, idle ones make room


def connections_to_evict(
    idle: list[tuple[float, Connection]], count: int, most: int
) -> list[Connection]:
    """Which idle links, given as (last use, link), make room where there are `count` of `most`:
    those idle for longest. Held for what may come, they would keep attempts to other nodes from any
    link at all.
    """
    over = max(0, count - int(EVICTION_THRESHOLD * most))
    return [link for _, link in sorted(idle, key=lambda held: held[0])[:over]]


def connection_utilization(count: int, busy: int, most: int) -> float:
    """Of the links that there may be the part that attempts are out on, where few are left."""
    return busy / most if count >= EVICTION_THRESHOLD * most else 0.0


def idle_timeout(idle_for: float, sharers: int, far: bool, priced: bool) -> float:
    """How long an idle link to a node is held from its last use. `idle_for`: the node closes it
    then; `sharers`: directors that may hold one; `far`: a parent or the origin, which all share;
    `priced`: a new connection costs more than an open one. Where all together stay within the
    bound, for long; else for so short a time that the node has no more links than requests in that
    time and what they take, whatever the number of directors.
    """
    bound = (MAX_IDLE_TO_PARENT_OR_ORIGIN if far else MAX_IDLE_TO_CACHE) * (
        COSTLY_CONNECT_FACTOR if priced else 1
    )
    longest = IDLE_TIMEOUT_FRACTION * idle_for
    return longest if sharers <= bound else min(longest, SHORT_IDLE_TIMEOUT)


def is_local_resource_shortage(number: int | None) -> bool:
    """Whether a connection that did not come up, by the system's number for why, tells of what this
    director lacks, and nothing of the node: descriptors, memory, ports.
    """
    return number in (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EADDRNOTAVAIL)

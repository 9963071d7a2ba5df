"""When a quiet link is doubted, and how long an idle one is held; pure, times in ms.

An echo costs the node work and has a price, an idle connection takes a place at the node: what one
director does over a slow answer or out of habit, hundreds do at the same time. So a link that was
asked in vain is asked more rarely while its answers take as long, and an idle one is held for long
only where few directors share the node.
"""

import errno
from typing import TypeVar

Link = TypeVar("Link")
QUIET, QUIET_LEAST = 1500.0, 100.0  # by 1 + attempts out: of many, one comes sooner
DOUBLINGS_MOST = (
    4.0  # each echo that comes back with attempts still out doubles the wait for the next
)
FORGIVEN = 0.2  # of a doubling for each answer to an attempt
IDLE_SHARE = 0.5  # of the time after which the other side closes an idle connection, we do
HELD_MOST, HELD_FAR = (
    12,
    48,
)  # idle links to one cache, to one parent or the origin, over all directors
PRICED = 8  # times as many where a new connection costs more than an open one
HELD_SHORT = 50.0  # where there would be more, each is held for so long


class PingBackoff:
    """How long one link may say nothing while attempts are out on it, before it is asked for an
    echo.
    """

    def __init__(self) -> None:
        self.false = 0.0  # echoes with no answer to an attempt, less a part for each answer since

    def wait(self, attempts: int) -> float:
        return max(QUIET / (1 + attempts), QUIET_LEAST) * 2.0**self.false

    def echoed(self) -> None:
        """It was asked and lives: what is out there takes its time."""
        self.false = min(DOUBLINGS_MOST, self.false + 1.0)

    def answered(self) -> None:
        self.false = max(0.0, self.false - FORGIVEN)


IDLE_MOST = 0.75  # of the links at the most; where there are more, idle ones make room


def to_end(idle: list[tuple[float, Link]], count: int, most: int) -> list[Link]:
    """Which idle links, given as (last use, link), make room where there are `count` of `most`:
    those idle for longest. Held for what may come, they would keep attempts to other nodes from any
    link at all.
    """
    over = max(0, count - int(IDLE_MOST * most))
    return [link for _, link in sorted(idle, key=lambda held: held[0])[:over]]


def fullness(count: int, busy: int, most: int) -> float:
    """Of the links that there may be the part that attempts are out on, where few are left."""
    return busy / most if count >= IDLE_MOST * most else 0.0


def hold_for(idle_for: float, sharers: int, far: bool, priced: bool) -> float:
    """How long an idle link to a node is held from its last use. `idle_for`: the node closes it
    then; `sharers`: directors that may hold one; `far`: a parent or the origin, which all share;
    `priced`: a new connection costs more than an open one. Where all together stay within the
    bound, for long; else for so short a time that the node has no more links than requests in that
    time and what they take, whatever the number of directors.
    """
    bound = (HELD_FAR if far else HELD_MOST) * (PRICED if priced else 1)
    longest = IDLE_SHARE * idle_for
    return longest if sharers <= bound else min(longest, HELD_SHORT)


def is_own_want(number: int | None) -> bool:
    """Whether a connection that did not come up, by the system's number for why, tells of what this
    director lacks, and nothing of the node: descriptors, memory, ports.
    """
    return number in (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EADDRNOTAVAIL)

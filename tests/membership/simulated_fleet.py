"""Directors that run the membership protocol in simulated time. Datagrams can be lost, duplicated
and delayed; links can be blocked; directors can be paused and killed. The simulation is
deterministic for a given seed.
"""

import heapq
import itertools
from random import Random

from mulleinrelay.membership.member_table import MemberTable
from mulleinrelay.membership.messages import DatagramCodec, MemberState, MemberUpdate
from mulleinrelay.membership.swim import SwimProtocol

HOST = "10.0.0.1"
FIRST_PORT = 7001
MAX_MEMBERS = 4000
CLOCK_OFFSET_MS = 1000.0  # between the clocks of two directors with successive numbers


class SimulatedFleet:
    """Simulated directors n0, n1, ..., which are identified by their number.

    Attributes:
        now: Simulated time in ms.
        loss: Probability that a datagram is lost.
        duplication: Probability that a datagram that is not lost arrives twice.
        jitter: Maximum random part of a datagram's delay, in ms.
        drift: Relative error of the fastest and the slowest clock.
        sent: Number of datagrams sent by all directors, including lost ones.
        events: (time, observer's number, event) of each event at any director.
    """

    def __init__(self, count, seed=1, loss=0.0, duplication=0.0, jitter=20.0, seeds=2, drift=0.0):
        self.now = 0.0
        self.random = Random(seed)
        self.loss = loss
        self.duplication = duplication
        self.jitter = jitter
        self.drift = drift
        self.queue = []  # heap of (time, sequence number, kind, director, arguments)
        self.sequence = itertools.count()
        self.sent = 0
        self.sent_bytes = 0
        self.protocols = {}
        self.paused = set()
        self.killed = set()
        self.blocked_links = []
        self.events = []
        self.starts = 0
        self.seeds = [(HOST, FIRST_PORT + number) for number in range(seeds)]
        for number in range(count):
            self.start(number)

    def start(self, number, incarnation=None, name=""):
        """Start a director, or restart it after a kill; its name is its number by default."""
        self.starts += 1
        incarnation = incarnation or int(1000 + self.now)
        local = MemberUpdate(
            name or f"n{number}",
            HOST,
            FIRST_PORT + number,
            "north",
            incarnation,
            0,
            MemberState.ALIVE,
        )
        self.killed.discard(number)
        random = Random(f"{number}-{self.starts}")
        self.protocols[number] = SwimProtocol(
            self.clock(number),
            MemberTable(local, MAX_MEMBERS, random),
            DatagramCodec("lab", b"key"),
            self.seeds,
            random,
        )
        self._tick(number)

    def _clock_rate(self, number):
        return 1.0 + self.drift * ((number % 3) - 1)

    def clock(self, number):
        """Return the time of a director's clock in ms; the clocks differ in rate and offset."""
        return self.now * self._clock_rate(number) + CLOCK_OFFSET_MS * number

    def block(self, senders, receivers):
        """Drop all datagrams from `senders` to `receivers`, in this direction only."""
        self.blocked_links.append((frozenset(senders), frozenset(receivers)))

    def unblock_all(self):
        self.blocked_links.clear()

    def kill(self, number):
        self.killed.add(number)

    def pause(self, number):
        self.paused.add(number)

    def resume(self, number):
        self.paused.discard(number)
        queue = self.queue
        self.queue = []
        for at, sequence_number, kind, to, arguments in queue:  # overdue items run immediately
            heapq.heappush(self.queue, (max(self.now, at), sequence_number, kind, to, arguments))
        self._tick(number)

    def leave(self, number):
        self._send(number, self.protocols[number].leave())

    def run(self, seconds):
        end = self.now + 1000.0 * seconds
        while self.queue and self.queue[0][0] <= end:
            at, _, kind, to, arguments = heapq.heappop(self.queue)
            self.now = max(self.now, at)
            if to in self.killed or to not in self.protocols:
                continue
            if to in self.paused:
                heapq.heappush(self.queue, (end + 1.0, next(self.sequence), kind, to, arguments))
                if self.queue[0][0] > end:
                    break
                continue
            if kind == "datagram":
                self._send(to, self.protocols[to].receive(self.clock(to), *arguments))
            elif arguments[0] is self.protocols[to]:
                self._tick(to)
            self._collect_events(to)
        self.now = end

    def _collect_events(self, number):
        self.events += [(self.now, number, event) for event in self.protocols[number].take_events()]

    def _tick(self, number):
        protocol = self.protocols[number]
        self._send(number, protocol.tick(self.clock(number)))
        wake_at = (protocol.next_wake_at() - CLOCK_OFFSET_MS * number) / self._clock_rate(number)
        due = max(self.now + 1.0, wake_at)
        heapq.heappush(self.queue, (due, next(self.sequence), "tick", number, (protocol,)))

    def _send(self, number, datagrams):
        for address, data in datagrams:
            to = address[1] - FIRST_PORT
            self.sent += 1
            self.sent_bytes += len(data)
            if any(
                number in senders and to in receivers for senders, receivers in self.blocked_links
            ):
                continue
            if self.random.random() < self.loss:
                copies = 0
            else:
                copies = 1 + (self.random.random() < self.duplication)
            for _ in range(copies):
                at = self.now + 0.5 + self.random.random() * self.jitter
                arguments = ((HOST, FIRST_PORT + number), data)
                heapq.heappush(self.queue, (at, next(self.sequence), "datagram", to, arguments))

    # Views of the directors

    def members_seen_by(self, number, states=(MemberState.ALIVE,)):
        """Return the numbers of the members that a director sees in one of the given states."""
        return {
            int(entry.update.name[1:])
            for entry in self.protocols[number].table.entries.values()
            if entry.update.state in states
        }

    def has_converged(self, among=None):
        """Return whether each running director sees exactly the other running ones as alive.

        Directors that are neither killed nor paused are running. If `among` is given, all directors
        that are not in it count as not running, too.
        """
        running = set(among if among is not None else self.protocols) - self.killed - self.paused
        return all(self.members_seen_by(number) == running - {number} for number in running)

    def events_of(self, kind):
        """Return (time, observer's number, member's name) for each event of the given kind."""
        return [
            (at, number, event.update.name)
            for at, number, event in self.events
            if event.kind == kind
        ]

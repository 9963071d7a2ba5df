"""A network of membership cores in simulated time: loss, doubles, late datagrams, cuts, stops,
kills.
"""

import heapq
import itertools
from random import Random

from mulleinrelay.membership.messages import DatagramCodec, MemberState, MemberUpdate
from mulleinrelay.membership.swim import SwimProtocol


class Net:
    def __init__(self, count, seed=1, loss=0.0, doubled=0.0, jitter=20.0, seeds=2, drift=0.0):
        self.now, self.draw, self.order = 0.0, Random(seed), itertools.count()
        self.loss, self.doubled, self.jitter, self.drift = loss, doubled, jitter, drift
        self.queue, self.sent_bytes, self.sent = [], 0, 0
        self.cores, self.stopped, self.killed, self.cuts = {}, set(), set(), []
        self.events, self.starts, self.seeds = (
            [],
            0,
            [("10.0.0.1", 7001 + at) for at in range(seeds)],
        )
        for number in range(count):
            self.start(number)

    def start(self, number, life=None):
        self.starts += 1
        life = life or int(1000 + self.now)
        own = MemberUpdate(
            f"n{number}", "10.0.0.1", 7001 + number, "north", life, 0, MemberState.ALIVE
        )
        self.killed.discard(number)
        self.cores[number] = SwimProtocol(
            self.clock(number),
            own,
            DatagramCodec("lab", b"key"),
            self.seeds,
            Random(f"{number}-{self.starts}"),
        )
        self._call(number)

    def clock(self, number):
        """Each has its own, that runs up to `drift` fast or slow."""
        return self.now * (1.0 + self.drift * ((number % 3) - 1)) + 1000.0 * number

    def cut(self, some, others):
        """Nothing passes from these to those."""
        self.cuts.append((frozenset(some), frozenset(others)))

    def heal(self):
        self.cuts.clear()

    def kill(self, number):
        self.killed.add(number)

    def stop(self, number):
        self.stopped.add(number)

    def go_on(self, number):
        self.stopped.discard(number)
        held, self.queue = self.queue, []
        for at, order, what, to, rest in held:  # what came meanwhile is read at once
            heapq.heappush(self.queue, (max(self.now, at), order, what, to, rest))
        self._call(number)

    def leave(self, number):
        self._send(number, self.cores[number].leave(self.clock(number)))

    def run(self, seconds):
        end = self.now + 1000.0 * seconds
        while self.queue and self.queue[0][0] <= end:
            at, _, what, to, rest = heapq.heappop(self.queue)
            self.now = max(self.now, at)
            if to in self.killed or to not in self.cores:
                continue
            if to in self.stopped:
                heapq.heappush(self.queue, (end + 1.0, next(self.order), what, to, rest))
                if self.queue[0][0] > end:
                    break
                continue
            if what == "datagram":
                self._send(to, self.cores[to].receive(self.clock(to), *rest))
            elif rest[0] is self.cores[to]:
                self._call(to)
            self._gather(to)
        self.now = end

    def _gather(self, number):
        self.events += [(self.now, number, event) for event in self.cores[number].take_events()]

    def _call(self, number):
        core = self.cores[number]
        self._send(number, core.tick(self.clock(number)))
        due = max(
            self.now + 1.0,
            (core.wake() - 1000.0 * number) / (1.0 + self.drift * ((number % 3) - 1)),
        )
        heapq.heappush(self.queue, (due, next(self.order), "tick", number, (core,)))

    def _send(self, number, out):
        for address, data in out:
            to = address[1] - 7001
            self.sent, self.sent_bytes = self.sent + 1, self.sent_bytes + len(data)
            if any(number in some and to in others for some, others in self.cuts):
                continue
            copies = (
                0 if self.draw.random() < self.loss else 1 + (self.draw.random() < self.doubled)
            )
            for _ in range(copies):
                at = self.now + 0.5 + self.draw.random() * self.jitter
                heapq.heappush(
                    self.queue,
                    (at, next(self.order), "datagram", to, (("10.0.0.1", 7001 + number), data)),
                )

    # What they believe

    def sees(self, number, states=(MemberState.ALIVE,)):
        """Whom one takes for one of these."""
        return {
            int(record.word.name[1:])
            for record in self.cores[number].view.records.values()
            if record.word.state in states
        }

    def agree(self, among=None):
        """Whether all that live, or these, take one another for alive and nobody else."""
        living = set(among if among is not None else self.cores) - self.killed - self.stopped
        return all(self.sees(one) == living - {one} for one in living)

    def said(self, what):
        return [
            (at, number, event.word.name) for at, number, event in self.events if event.what == what
        ]

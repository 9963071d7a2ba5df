"""All that two or three ledgers can come to over a network that loses, doubles, holds up and
overtakes, with restarts, in small numbers: breadth first, so that what is found has the shortest
trace.
"""

import copy
from collections import deque

from mulleinrelay.budgets.lease_ledger import LeaseLedger

LEASE, SPAN = 3.0, 1.0


def ledger(own, now, life, make=LeaseLedger):
    return make(own, SPAN, now, life, LEASE, 0.0, 0.5)


class World:
    """The state: ledgers, datagrams under way, the time, and what is left of the
    adversary's means.
    """

    def __init__(self, count, own, restarts, asks, make=LeaseLedger):
        self.own, self.make, self.now = own, make, 0.0
        self.ledgers = [ledger(own, -10.0 * LEASE, 1, make) for _ in range(count)]
        self.under_way, self.restarts, self.asks, self.backs = [], restarts, asks, 1

    def key(self):
        """The same for states that can't be told apart later on: times count from now."""

        def rest(at):
            return max(-LEASE - SPAN - 1.0, at - self.now)

        ledgers = tuple(
            (
                one.life,
                one.number,
                rest(one.began),
                tuple(
                    sorted((who, held.grains, rest(held.until)) for who, held in one.lent.items())
                ),
                tuple(
                    sorted(
                        (number, held.lender, held.grains, rest(held.until))
                        for number, held in one.borrowed.items()
                    )
                ),
                tuple(
                    sorted(
                        (number, sent.lender, rest(sent.at), sent.renews)
                        for number, sent in one.asks.items()
                    )
                ),
            )
            for one in self.ledgers
        )
        return (
            ledgers,
            tuple(sorted(map(repr, self.under_way))),
            self.restarts,
            self.asks,
            self.backs,
        )

    def in_use(self):
        return sum(one.usable(self.now) for one in self.ledgers)

    def steps(self):
        """What may come next: (words, do)."""
        found = [("a tick", lambda w: w.tick())]
        for me, one in enumerate(self.ledgers):
            for other in range(len(self.ledgers)):
                if other != me and self.asks:
                    found.append(
                        (
                            f"{me} asks {other} for 1",
                            lambda w, me=me, other=other: w.ask(me, other, 0),
                        )
                    )
                    for number, held in one.borrowed.items():
                        if held.lender == other:
                            found.append(
                                (
                                    f"{me} asks {other} for {number} again",
                                    lambda w, me=me, other=other, n=number: w.ask(me, other, n),
                                )
                            )
            for number in one.borrowed if self.backs else ():
                found.append(
                    (f"{me} gives {number} back", lambda w, me=me, n=number: w.back(me, n))
                )
            if self.restarts:
                found.append((f"{me} is killed and starts anew", lambda w, me=me: w.restart(me)))
        for place, what in enumerate(self.under_way):
            words = f"{what[0]} from {what[1]} to {what[2]}"
            found.append((f"{words} arrives", lambda w, p=place: w.arrive(p, True)))
            found.append((f"{words} arrives and will again", lambda w, p=place: w.arrive(p, False)))
        return found

    def tick(self):
        self.now += 1.0
        for one in self.ledgers:
            one.age(self.now)

    def ask(self, me, other, renews):
        self.asks -= 1
        one = self.ledgers[me]
        self.under_way.append(("ask", me, other, one.life, one.ask(self.now, other, 1, renews)))

    def back(self, me, number):
        self.backs -= 1
        lender = self.ledgers[me].borrowed[number].lender
        self.under_way.append(
            ("back", me, lender, self.ledgers[me].life, self.ledgers[me].give_back(number))
        )

    def restart(self, me):
        self.restarts -= 1
        self.ledgers[me] = ledger(self.own, self.now, self.ledgers[me].life + 1, self.make)

    def arrive(self, place, once):
        what, sender, to, life, said = self.under_way.pop(place) if once else self.under_way[place]
        one = self.ledgers[to]
        if what == "ask":
            lend = one.asked(self.now, sender, life, said, 0)
            if lend is not None and len(self.under_way) < 3:
                self.under_way.append(("lend", to, sender, life, lend))
        elif what == "lend":
            one.answered(self.now, sender, life, said)
        else:
            one.returned(self.now, sender, life, said)


MOST = 60_000  # states


def search(world, most=MOST):
    """(states seen, None), or with the trace to the first state in which more is in use than there
    is.
    """
    limit = len(world.ledgers) * world.own
    seen, queue = {world.key()}, deque([(world, ())])
    while queue and len(seen) < most:
        here, trace = queue.popleft()
        for words, do in here.steps():
            there = copy.deepcopy(here)
            do(there)
            path = (*trace, words)
            if there.in_use() > limit:
                return len(seen), path
            if (key := there.key()) not in seen:
                seen.add(key)
                queue.append((there, path))
    return len(seen), None

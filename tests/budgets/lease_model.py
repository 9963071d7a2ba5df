"""Model checker for lease ledgers: explores the states that two or three ledgers can reach.

The network may lose, duplicate, delay and reorder messages, and directors may restart; the numbers
of requests, releases and restarts are small. The search is breadth-first, so that the trace to the
first violation found is a shortest trace.
"""

import copy
from collections import deque

from mulleinrelay.budgets.lease_ledger import LeaseLedger

# Times are in ticks of the model's clock
LEASE_DURATION = 3.0
WINDOW = 1.0
CLOCK_DRIFT = 0.0
RESERVED_FRACTION = 0.5
MAX_STATES = 60_000
MAX_MESSAGES_IN_TRANSIT = 3  # a grant that would exceed this number is lost


def new_ledger(owned, now, incarnation, ledger_class=LeaseLedger):
    return ledger_class(
        owned, WINDOW, now, incarnation, LEASE_DURATION, CLOCK_DRIFT, RESERVED_FRACTION
    )


class World:
    """State of the model: the directors' ledgers, the messages in transit, and the time.

    `restarts`, `requests` and `releases` are the numbers of these actions that may still follow.
    """

    def __init__(self, count, owned, restarts, requests, ledger_class=LeaseLedger):
        self.owned = owned
        self.ledger_class = ledger_class
        self.now = 0.0
        self.ledgers = [
            new_ledger(owned, -10.0 * LEASE_DURATION, 1, ledger_class) for _ in range(count)
        ]
        self.in_transit = []  # (kind, sender, recipient, borrower's incarnation, message)
        self.restarts = restarts
        self.requests = requests
        self.releases = 1

    def key(self):
        """Return a key that is equal for equivalent states; the times in it are relative to now."""

        def since_now(at):
            return max(-LEASE_DURATION - WINDOW - 1.0, at - self.now)

        def ledger_key(ledger):
            granted = sorted(
                (borrower, lease.units, since_now(lease.locked_until))
                for borrower, lease in ledger.granted.items()
            )
            borrowed = sorted(
                (number, lease.lender, lease.units, since_now(lease.expires_at))
                for number, lease in ledger.borrowed.items()
            )
            pending = sorted(
                (number, request.lender, since_now(request.sent_at), request.renews)
                for number, request in ledger.pending.items()
            )
            return (
                ledger.incarnation,
                ledger.last_number,
                since_now(ledger.started_at),
                tuple(granted),
                tuple(borrowed),
                tuple(pending),
            )

        return (
            tuple(ledger_key(ledger) for ledger in self.ledgers),
            tuple(sorted(map(repr, self.in_transit))),
            self.restarts,
            self.requests,
            self.releases,
        )

    def usable_units(self):
        return sum(ledger.usable(self.now) for ledger in self.ledgers)

    def steps(self):
        """Return the possible next steps, each as (description, function that changes a world)."""
        steps = [("a tick", lambda world: world.tick())]
        for borrower in range(len(self.ledgers)):
            steps += self._steps_of(borrower)
        for index, (kind, sender, recipient, _, _) in enumerate(self.in_transit):
            text = f"{kind} from {sender} to {recipient}"
            steps.append((f"{text} arrives", lambda world, at=index: world.arrive(at, True)))
            steps.append(
                (
                    f"{text} arrives, and a duplicate stays in transit",
                    lambda world, at=index: world.arrive(at, False),
                )
            )
        return steps

    def _steps_of(self, borrower):
        steps = []
        leases = self.ledgers[borrower].borrowed
        for lender in range(len(self.ledgers)):
            if lender == borrower or not self.requests:
                continue
            numbers = [number for number, lease in leases.items() if lease.lender == lender]
            for renewed in [0, *numbers]:
                steps.append(
                    (
                        f"{borrower} requests {f'{renewed} again' if renewed else '1'} of {lender}",
                        lambda world, to=lender, lease=renewed: world.request(borrower, to, lease),
                    )
                )
        for number in leases if self.releases else ():
            steps.append(
                (
                    f"{borrower} releases {number}",
                    lambda world, lease=number: world.release(borrower, lease),
                )
            )
        if self.restarts:
            steps.append(
                (f"{borrower} is killed and restarts", lambda world: world.restart(borrower))
            )
        return steps

    def tick(self):
        self.now += 1.0
        for ledger in self.ledgers:
            ledger.remove_expired(self.now)

    def request(self, borrower, lender, renews):
        self.requests -= 1
        ledger = self.ledgers[borrower]
        message = ledger.request(self.now, lender, 1, renews)
        self.in_transit.append(("request", borrower, lender, ledger.incarnation, message))

    def release(self, borrower, number):
        self.releases -= 1
        ledger = self.ledgers[borrower]
        lender = ledger.borrowed[number].lender
        message = ledger.release(number)
        self.in_transit.append(("release", borrower, lender, ledger.incarnation, message))

    def restart(self, number):
        self.restarts -= 1
        incarnation = self.ledgers[number].incarnation + 1
        self.ledgers[number] = new_ledger(self.owned, self.now, incarnation, self.ledger_class)

    def arrive(self, index, is_last):
        """Deliver the message at this index; unless `is_last`, a duplicate stays in transit."""
        kind, sender, recipient, incarnation, message = (
            self.in_transit.pop(index) if is_last else self.in_transit[index]
        )
        ledger = self.ledgers[recipient]
        if kind == "request":
            grant = ledger.grant(self.now, sender, incarnation, message, 0)
            if grant is not None and len(self.in_transit) < MAX_MESSAGES_IN_TRANSIT:
                self.in_transit.append(("grant", recipient, sender, incarnation, grant))
        elif kind == "grant":
            ledger.accept_grant(self.now, sender, incarnation, message)
        else:
            ledger.accept_release(self.now, sender, incarnation, message)


def search(world, max_states=MAX_STATES):
    """Search for a state in which the directors may use more units than exist.

    The search ends without a result after `max_states` different states.

    Returns:
        The number of visited states, and the trace to the state that was searched for: the
        descriptions of the steps, or None if no such state was found.
    """
    limit = len(world.ledgers) * world.owned
    visited = {world.key()}
    queue = deque([(world, ())])
    while queue and len(visited) < max_states:
        state, trace = queue.popleft()
        for text, apply in state.steps():
            successor = copy.deepcopy(state)
            apply(successor)
            path = (*trace, text)
            if successor.usable_units() > limit:
                return len(visited), path
            if (key := successor.key()) not in visited:
                visited.add(key)
                queue.append((successor, path))
    return len(visited), None

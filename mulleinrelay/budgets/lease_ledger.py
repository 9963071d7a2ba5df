"""One director's rights to one limit; pure, times in ms of its own steady clock.

A limit is cut into GRAINS, and every grain has one owner for ever, by the number of directors that
the limit is set up for. An owner that has no use for some lends them for a while. At every instant
a grain may be used by one director at the most:

- The owner locks what it lends before it says so, until LEASE after that and then for SPAN more.
- The borrower may use it until LEASE * (1 - 2 * DRIFT) after it *asked*: it asked before the owner
locked, and clocks that run apart by DRIFT don't bring it beyond the owner's lock (docs/budgets.md
has the sum).
- An answer counts once, for the ask of this life that it answers, and only while that is
remembered; an ask that comes again gets the first answer again and locks nothing more.
- Who starts anew knows not what it has lent, and uses only what is never lent until all of that has
run out; nor what it has used, and uses nothing for SPAN.

So whatever is lost, doubled, late or overtaken, and whoever dies or is stopped, nothing is used
twice; what is lost costs time. Who hears nothing has its own grains back within LEASE and SPAN.

A limit over a window: what is lent has not been used for SPAN, and is not used by its owner for
SPAN after its return, so that in no span of that length two directors use the same grain.
"""

import math
from dataclasses import dataclass, field

GRAINS = 1 << 20  # of a whole limit
DRIFT = 0.01  # by which two clocks may run apart
LEASE = 2_000.0  # that a lent grain is locked
KEPT = 0.05  # of the own grains: never lent, and usable right after a start


@dataclass(slots=True, frozen=True)
class Ask:
    """Of one director, to one other: so many grains, or the same ones of that earlier ask again."""

    number: int
    grains: int
    renews: int = 0


@dataclass(slots=True, frozen=True)
class Lend:
    """The answer to that ask."""

    number: int
    grains: int


@dataclass(slots=True, frozen=True)
class Back:
    """What that ask brought is used no more."""

    number: int


@dataclass(slots=True)
class Lent:
    grains: int
    until: float  # locked; then SPAN more until it is used again


@dataclass(slots=True)
class Borrowed:
    lender: object
    grains: int
    until: float  # may be used before


@dataclass(slots=True)
class Sent:
    """An ask that may still be answered."""

    lender: object
    at: float
    renews: int = 0


@dataclass(slots=True)
class LeaseLedger:
    """`own`: grains that this director owns; `span`: ms over which use is counted; `life`: of this
    process, greater than that of any before it under the same name.
    """

    own: int
    span: float
    began: float
    life: int
    lease: float = LEASE
    drift: float = DRIFT
    kept_share: float = KEPT
    number: int = 0
    lent: dict[tuple[object, int, int], Lent] = field(
        default_factory=dict
    )  # by borrower, its life, its ask
    borrowed: dict[int, Borrowed] = field(default_factory=dict)  # by own ask
    asks: dict[int, Sent] = field(default_factory=dict)

    @property
    def kept(self) -> int:
        return math.ceil(self.own * self.kept_share)

    # What may be used

    def usable(self, now: float) -> int:
        return self.at_home(now) + sum(
            held.grains for held in self.borrowed.values() if now < held.until
        )

    def at_home(self, now: float) -> int:
        """Own grains that are not out, nor may be out from an earlier life."""
        since = (now - self.began) / (1.0 + 2.0 * self.drift)
        if since < self.span:  # an earlier life may have used all of it just now
            return 0
        if since < self.lease + self.span:
            return self.kept
        return self.own - sum(
            held.grains for held in self.lent.values() if now < held.until + self.span
        )

    def spare(self, now: float, used: int) -> int:
        """Own grains that may be lent: `used` is the most that was used at one time over the last
        span.
        """
        return max(0, self.at_home(now) - max(used, self.kept))

    # Borrowing

    def ask(self, now: float, lender: object, grains: int, renews: int = 0) -> Ask:
        self.number += 1
        self.asks[self.number] = Sent(lender, now, renews)
        return Ask(self.number, grains, renews)

    def answered(self, now: float, lender: object, life: int, lend: Lend) -> bool:
        """What came for an ask; `life`: of the borrower, as the lender heard it.
        Whether it counts.
        """
        sent = self.asks.get(lend.number)
        if life != self.life or sent is None or sent.lender != lender or lend.grains <= 0:
            return False
        del self.asks[lend.number]
        until = sent.at + self.lease * (1.0 - 2.0 * self.drift)
        if sent.renews:
            held = self.borrowed.get(sent.renews)
            if held is None or held.lender != lender or held.grains != lend.grains:
                # given back or run out meanwhile: what was locked for it runs out by itself
                return False
            held.until = max(held.until, until)
            return True
        if now < until:
            self.borrowed[lend.number] = Borrowed(lender, lend.grains, until)
        return now < until

    def give_back(self, number: int) -> Back | None:
        """Used no more from now on."""
        return Back(number) if self.borrowed.pop(number, None) is not None else None

    # Lending

    def asked(self, now: float, borrower: object, life: int, ask: Ask, used: int) -> Lend | None:
        """Locks what it gives, before anybody hears of it."""
        held = self.lent.get((borrower, life, ask.number))
        if (
            held is not None
        ):  # the ask came again: the same answer, as long as it may still be of use
            return Lend(ask.number, held.grains) if now < held.until else None
        if ask.renews:
            held = self.lent.get((borrower, life, ask.renews))
            if held is None or now >= held.until:
                return None
            held.until = max(held.until, now + self.lease)
            return Lend(ask.number, held.grains)
        grains = min(ask.grains, self.spare(now, used))
        if grains <= 0:
            return None
        self.lent[borrower, life, ask.number] = Lent(grains, now + self.lease)
        return Lend(ask.number, grains)

    def returned(self, now: float, borrower: object, life: int, back: Back) -> None:
        held = self.lent.get((borrower, life, back.number))
        if held is not None:
            held.until = min(held.until, now)

    def age(self, now: float) -> None:
        """Forgets what has run out."""
        self.lent = {who: held for who, held in self.lent.items() if now < held.until + self.span}
        self.borrowed = {number: held for number, held in self.borrowed.items() if now < held.until}
        self.asks = {
            number: sent for number, sent in self.asks.items() if now < sent.at + self.lease
        }

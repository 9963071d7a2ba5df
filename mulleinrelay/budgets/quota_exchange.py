"""When a director asks others for rights, whom, and for how much; and when it gives them back.
Pure, times in ms. One `Share` for each limit is what the decision module reads and writes: its
part, and what it wanted.
"""

import math
from collections import Counter
from contextlib import AbstractContextManager, nullcontext
from dataclasses import dataclass, field
from random import Random

import msgspec

from ..policy.model import QuotaShare
from .lease_ledger import GRAINS, LEASE, Ask, Back, LeaseLedger, Lend

STEP = 100.0  # between two looks at what is wanted
ASKS = 3  # others that are asked in one step, for one limit
LEASES_MOST = 64  # borrowed at one time, for one limit
# times what was wanted that is held, so that nothing has to be fetched on a request's path
AHEAD = 1.25
REFUSED = 2.0  # and where requests found no room
RENEW_AT = 0.5  # of a lease
FORGETS = 400.0  # halving of what was wanted: rights don't swing with each request
QUARTERS = 4  # of a span, in which its use is remembered
LEAST = 0.05  # of an owner's grains: less is not worth a datagram
BY_ONE_MOST = 3  # leases of one lender at a time: what it could spare first may have been little

Who = tuple[str, str, int]


class LeaseMessage(msgspec.Struct, array_like=True, frozen=True, forbid_unknown_fields=True):
    """One word on one limit: `kind` a(sk), l(end) or b(ack); `life`: of the borrower."""

    limit: str
    kind: str
    life: int
    number: int
    grains: int = 0
    renews: int = 0


@dataclass(slots=True)
class Limit:
    """One limit at one director. `location`: those who share it; empty: all."""

    name: str
    ledger: LeaseLedger
    share: QuotaShare
    location: str
    wanted: float = 0.0  # parts of the whole, fading
    used: list[float] = field(
        default_factory=lambda: [0.0]
    )  # the most in each quarter of a span, of late
    turned: float = 0.0


class QuotaExchange:
    """All limits that a director shares."""

    def __init__(
        self,
        now: float,
        random: Random,
        life: int,
        offset: float = 0.0,
        guard: AbstractContextManager | None = None,
    ) -> None:
        """`offset`: of the decision module's time over this one. `guard`: held while rights change,
        so that none are lent that a request is just being decided by.
        """
        self.random, self.life, self.due = random, life, now
        self.offset, self.guard = offset, guard or nullcontext()
        self.limits: dict[str, Limit] = {}
        self.encoder, self.decoder = (
            msgspec.msgpack.Encoder(),
            msgspec.msgpack.Decoder(list[LeaseMessage]),
        )
        self.counts = {"asked": 0, "lent": 0, "borrowed": 0, "given back": 0, "unusable": 0}

    def add(
        self, now: float, name: str, owners: int, span: float, share: QuotaShare, location: str
    ) -> None:
        """A limit that `owners` directors own in equal parts."""
        ledger = LeaseLedger(GRAINS // max(1, owners), span, now, self.life)
        ledger.number = self.random.randrange(1 << 40)  # an old life's numbers are not met again
        self.limits[name] = Limit(name, ledger, share, location)
        share.is_tracked, share.fraction = True, 0.0

    def wake(self) -> float:
        return self.due

    def step(self, now: float, life: int, others: list[tuple[Who, str]]) -> list[tuple[Who, bytes]]:
        """`others`: who is there, and where. What is to be said to whom."""
        if now < self.due:
            return []
        self.due, out = now + STEP, {}
        with self.guard:
            for limit in self.limits.values():
                limit.ledger.life = life
                self._look(now, limit)
                self._renew(now, limit, out)
                self._fetch(now, limit, out, others)
                self._tell(now, limit)
        return [(who, self.encoder.encode(said)) for who, said in out.items()]

    def receive(self, now: float, who: Who, part: bytes) -> list[tuple[Who, bytes]]:
        try:
            said = self.decoder.decode(part)
        except msgspec.MsgspecError:
            self.counts["unusable"] += 1
            return []
        back = []
        for one in said[: 2 * LEASES_MOST]:
            limit = self.limits.get(one.limit)
            if limit is None or one.number < 0 or one.grains < 0:
                self.counts["unusable"] += 1
                continue
            with self.guard:
                if (answer := self._heard(now, who, limit, one)) is not None:
                    back.append(answer)
                self._tell(now, limit)
        return [(who, self.encoder.encode(back))] if back else []

    def _tell(self, now: float, limit: Limit) -> None:
        """The decision module's part, and when it ends should this not be called again."""
        share, ledger = limit.share, limit.ledger
        share.fallback_fraction = ledger.at_home(now) / GRAINS
        share.expires_at = self.offset + min(
            (held.until for held in ledger.borrowed.values()), default=math.inf
        )
        share.fraction = ledger.usable(now) / GRAINS

    def _heard(self, now: float, who: Who, limit: Limit, one: LeaseMessage) -> LeaseMessage | None:
        ledger = limit.ledger
        if one.kind == "a":
            self._look(now, limit)
            ask = Ask(one.number, one.grains, one.renews)
            if not ask.renews and ledger.spare(now, self._busy(limit)) < LEAST * ledger.own:
                return None
            lend = ledger.asked(now, who, one.life, ask, self._busy(limit))
            if lend is None:
                return None
            self.counts["lent"] += not one.renews
            return LeaseMessage(limit.name, "l", one.life, lend.number, lend.grains)
        if one.kind == "l":
            self.counts["borrowed"] += ledger.answered(
                now, who, one.life, Lend(one.number, one.grains)
            )
        elif one.kind == "b":
            ledger.returned(now, who, one.life, Back(one.number))
        return None

    # What is wanted

    def _look(self, now: float, limit: Limit) -> None:
        """Takes over what the decision module has noted since."""
        share, span = limit.share, limit.ledger.span
        while now >= limit.turned + span / QUARTERS:
            limit.turned = max(limit.turned + span / QUARTERS, now - span)
            limit.used = [0.0, *limit.used[:QUARTERS]]
        limit.used[0] = max(limit.used[0], share.peak_used)
        wanted = max(share.peak_used * AHEAD, share.peak_rejected * REFUSED)
        limit.wanted = max(wanted, limit.wanted * 0.5 ** (STEP / FORGETS))
        share.peak_used = share.peak_rejected = 0.0

    def _busy(self, limit: Limit) -> int:
        """Grains that this director has used of late, or is about to want."""
        return math.ceil(GRAINS * max(*limit.used, limit.wanted))

    def _renew(self, now: float, limit: Limit, out: dict[Who, list[LeaseMessage]]) -> None:
        ledger, wanted = limit.ledger, math.ceil(GRAINS * limit.wanted)
        ledger.age(now)
        over = ledger.usable(now) - wanted
        asking = {sent.renews for sent in ledger.asks.values() if now < sent.at + 2.0 * STEP}
        for number, held in sorted(ledger.borrowed.items()):
            if held.grains <= over:  # not needed any more: its owner may be
                over -= held.grains
                ledger.give_back(number)
                self.counts["given back"] += 1
                out.setdefault(held.lender, []).append(
                    LeaseMessage(limit.name, "b", ledger.life, number)
                )
            elif now > held.until - RENEW_AT * LEASE and number not in asking:
                ask = ledger.ask(now, held.lender, held.grains, number)
                out.setdefault(held.lender, []).append(
                    LeaseMessage(limit.name, "a", ledger.life, ask.number, ask.grains, ask.renews)
                )

    def _fetch(
        self,
        now: float,
        limit: Limit,
        out: dict[Who, list[LeaseMessage]],
        others: list[tuple[Who, str]],
    ) -> None:
        """Before it is needed: up to what is wanted, from some others at a time."""
        ledger = limit.ledger
        missing = math.ceil(GRAINS * min(1.0, limit.wanted)) - ledger.usable(now)
        lenders = Counter(held.lender for held in ledger.borrowed.values())
        waiting = {sent.lender for sent in ledger.asks.values() if now < sent.at + 2.0 * STEP}
        room = LEASES_MOST - len(ledger.borrowed)
        able = [
            who
            for who, place in others
            if limit.location in ("", place) and who not in waiting and lenders[who] < BY_ONE_MOST
        ]
        if missing < LEAST * ledger.own or room <= 0 or not able:
            return
        for who in self.random.sample(able, min(ASKS, room, len(able))):
            ask = ledger.ask(now, who, missing)
            self.counts["asked"] += 1
            out.setdefault(who, []).append(
                LeaseMessage(limit.name, "a", ledger.life, ask.number, ask.grains)
            )

    def status(self, now: float) -> dict:
        """For staff: parts in thousandths of the whole."""

        def part(grains: float) -> float:
            return round(1000.0 * grains / GRAINS, 2)

        return {
            "counts": dict(self.counts),
            "limits": {
                limit.name: {
                    "own": part(limit.ledger.own),
                    "at_home": part(limit.ledger.at_home(now)),
                    "usable": part(limit.ledger.usable(now)),
                    "wanted": round(1000.0 * limit.wanted, 2),
                    "lent": [
                        {"to": who[0], "part": part(held.grains), "for_ms": round(held.until - now)}
                        for (who, _, _), held in limit.ledger.lent.items()
                    ],
                    "borrowed": [
                        {
                            "from": held.lender[0],
                            "part": part(held.grains),
                            "for_ms": round(held.until - now),
                        }
                        for held in limit.ledger.borrowed.values()
                    ],
                }
                for limit in self.limits.values()
            },
        }

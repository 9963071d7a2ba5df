"""One director of the model: the decision module, and what carries its decisions out."""

from collections import deque
from typing import Any

from ..interface import Leg, Lookup, Note, Outcome, State, Terms
from ..net.resp import ENDS, NOTES
from ..policy import Director, Member

STATES = {"SERVING": State.READY, "DRAINING": State.DRAINING, "DELETED": State.GONE}


class Modelled:
    """The module's Writer. `world` brings legs to nodes and verdicts to clients."""

    def __init__(
        self, world: Any, number: int, terms: Terms, zone_of: dict[str, int], kinds: dict[str, int], seed: int
    ) -> None:
        self.world, self.number, self.terms = world, number, terms
        self.zone_of, self.kinds = zone_of, kinds
        self.director = Director(world.clock(), seed, terms)
        self.members: dict[str, Member] = {}
        self.names: dict[Member, str] = {}
        self.open: dict[Lookup, Any] = {}
        self.called_off: deque[Leg] = deque()
        self.gone = False  # killed; a new one stands in its place

    def play(self, method: str, *arguments: Any) -> None:
        """One round, and further ones for the legs that it called off."""
        calls = deque([(method, arguments)])
        while calls:
            now = self.world.clock()
            self.director.round(now, [calls.popleft()], self)
            while self.called_off:
                leg = self.called_off.popleft()
                if leg.outcome is None:
                    calls.append(
                        (
                            "answered",
                            (leg, Outcome.CANCELLED, now - leg.sent, leg.lookup.ended, Note.NONE, 0.0, None),
                        )
                    )

    def list(self, rows: list[dict], whole: bool = False) -> None:
        told = []
        for row in rows:
            member = self.members.get(row["id"])
            if member is None:
                member = self.members[row["id"]] = Member(int(row["id"].rpartition("-")[2], 16))
                self.names[member] = row["id"]
            told.append(
                (
                    member,
                    STATES[row["state"]],
                    float(row["weight"]),
                    self.kinds[row["kind"]],
                    self.zone_of[row["zone"]],
                    0,
                    float(row["started_ms"]),
                )
            )
        self.play("listed", told, whole, False)

    def look_up(self, pending: Any, left: float) -> None:
        now, wanted = self.world.clock(), pending.wanted
        case = self.terms.use_cases[self.world.case_places[wanted.use_case]]
        lookup = Lookup(
            pending, case, wanted.key, 0, wanted.key & 0xFF, wanted.size, now, now + left, pending.tries > 1
        )
        self.open[lookup] = pending
        self.play("looked_up", lookup)

    def answered(self, leg: Leg, word: str, why: str, waited: float) -> None:
        """What a node said."""
        if not self.gone and leg.outcome is None:
            self.ended(leg, ENDS[word.encode()], NOTES.get(why, Note.NONE), waited)

    def ended(self, leg: Leg, outcome: Outcome, note: Note = Note.NONE, waited: float = 0.0) -> None:
        if self.gone or leg.outcome is not None:
            return
        lookup, now = leg.lookup, self.world.clock()
        good = outcome == Outcome.SATISFIED
        if good and not lookup.ended:
            self._settle(lookup, "satisfied", 0.0)
        self.play("answered", leg, outcome, now - leg.sent, lookup.ended or good, note, waited, None)

    def timed_out(self, leg: Leg) -> None:
        if leg.outcome is None:
            self.ended(leg, Outcome.TIMEOUT)

    def woken(self, about: Lookup | Leg) -> None:
        over = about.ended if isinstance(about, Lookup) else about.outcome is not None
        if not self.gone and not over:
            self.play("woken", about)

    def _settle(self, lookup: Lookup, what: str, pause: float) -> None:
        pending = self.open.pop(lookup, None)
        if pending is not None:
            self.world.answered(self, pending, what, pause)

    # The module's Writer

    def send(
        self,
        leg: Leg,
        max_age: float,
        rank: int,
        join: bool,
        held_only: bool,
        parent_keeps: bool,
        renew: bool,
    ) -> None:
        source = self.names[leg.source] if leg.source is not None and leg.source is not leg.node else ""
        hows = [
            word
            for word, on in (
                ("collapse", join),
                ("only-if-cached", held_only),
                ("no-store-up", not parent_keeps),
            )
            if on
        ]
        fields = {
            "lane": leg.lookup.ticket.wanted.use_case,
            "name": f"{leg.lookup.key:016x}",
            "piece": "0",
            "miss": source,
            "prio": str(rank),
            "f": "+".join(hows),
            "dedupe": leg.lookup.ticket.wanted.receipt
            or f"mark-{leg.lookup.ticket.number}-{leg.lookup.ticket.tries}",
        }
        if max_age > 0.0:
            fields["within"] = f"{max(1.0, max_age):.0f}"
        self.world.send(self, leg, self.names[leg.node], fields)
        self.world.clock.at(self.world.clock() + leg.timeout, lambda: self.timed_out(leg))

    def abandon(self, leg: Leg) -> None:
        if leg.outcome is None:
            self.called_off.append(leg)

    def push_back(self, lookup: Lookup, come_back: float) -> None:
        self._settle(lookup, "pushed back", come_back)

    def break_off(self, lookup: Lookup) -> None:
        self._settle(lookup, "broken off", 0.0)

    def wake(self, delay: float, about: Any) -> None:
        self.world.clock.at(self.world.clock() + delay, lambda: self.woken(about))

    def probe(self, node: Member) -> None:
        self.world.probe(self, self.names[node])

    def subscribe(self) -> None:
        """The stream is always read."""

    def log(self, text: str) -> None:
        """The model writes no log."""

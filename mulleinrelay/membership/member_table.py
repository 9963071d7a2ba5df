"""What one director believes of the others, and which words it still has to pass on; pure, times in
ms.

Words merge by weight alone (life, denials, state), so that their order, their number and their way
do not matter. What has gone is remembered for a while: an old word about it must not bring it back.
"""

import hashlib
import math
from collections.abc import Iterable
from dataclasses import dataclass, field
from random import Random

from .messages import MemberState, MemberUpdate

Who = tuple[str, str, int]
TOLD = 2.0  # times a word is passed on, by log2 of the fleet
REMEMBERED = 120_000.0  # of one that has died or left


@dataclass(slots=True, eq=False)
class MemberRecord:
    word: MemberUpdate
    since: float  # of this state
    doubters: set[Who] = field(default_factory=set)  # who said so, of a suspicion
    heard: float = 0.0  # last datagram of its own
    checks: int = 0  # times that it was asked before it counts as dead


@dataclass(slots=True, frozen=True)
class Event:
    """A change that staff are told: joined, alive again, suspected, died, left, started again, two
    of one name, forgotten, denied, late.
    """

    what: str
    word: MemberUpdate


class MemberTable:
    """All records but the own, at most `most`."""

    def __init__(self, own: MemberUpdate, most: int, random: Random) -> None:
        self.own, self.most, self.random = own, most, random
        self.records: dict[Who, MemberRecord] = {}
        self.telling: dict[Who, list[float]] = {}  # words still to be passed on: how often each was
        self.events: list[Event] = []
        self.refused = 0  # words on directors for which there is no room

    def size(self) -> int:
        """Of the fleet as far as it counts: alive or suspected, this one included."""
        return 1 + sum(record.word.state <= MemberState.SUSPECT for record in self.records.values())

    def present(self) -> list[MemberUpdate]:
        return [
            record.word
            for record in self.records.values()
            if record.word.state <= MemberState.SUSPECT
        ]

    def merge(self, now: float, word: MemberUpdate, by: Who) -> bool:
        """Whether it is news. `by`: who says so."""
        if word.member_id == self.own.member_id:
            return self._of_self(word)
        record = self.records.get(word.member_id)
        if record is None:
            return self._new(now, word, by)
        before = record.word
        if word.precedence < before.precedence:
            return False
        if word.precedence == before.precedence:
            if word.state == MemberState.SUSPECT and by not in record.doubters:
                record.doubters.add(by)  # one more who says so: it counts as dead the sooner
                self.tell(word.member_id)
                return True
            return False
        record.word = word
        if word.state != before.state or word.incarnation != before.incarnation:
            record.checks = 0
            record.since, record.doubters = (
                now,
                {by} if word.state == MemberState.SUSPECT else set(),
            )
            self._say(before, word)
        self.tell(word.member_id)
        return True

    def _new(self, now: float, word: MemberUpdate, by: Who) -> bool:
        if word.state >= MemberState.DEAD:  # never heard of, and gone already
            return False
        if len(self.records) >= self.most and not self._make_room():
            self.refused += 1
            return False
        same = [
            other
            for other in self.records.values()
            if other.word.name == word.name and other.word.state <= MemberState.SUSPECT
        ]
        self.records[word.member_id] = MemberRecord(
            word, now, {by} if word.state == MemberState.SUSPECT else set()
        )
        self.events.append(Event("joined", word))
        if same or word.name == self.own.name:
            self.events.append(Event("two of one name", word))
        self.tell(word.member_id)
        return True

    def _make_room(self) -> bool:
        gone = [
            who for who, record in self.records.items() if record.word.state >= MemberState.DEAD
        ]
        if gone:
            self.forget(min(gone, key=lambda who: self.records[who].since))
        return bool(gone)

    def _of_self(self, word: MemberUpdate) -> bool:
        """What others say of this director: a doubt is denied; a greater life is outlived, as it is
        one of its own from before a restart with a clock that was ahead.
        """
        own = self.own
        if word.incarnation > own.incarnation:
            self.own = MemberUpdate(
                own.name, own.host, own.port, own.location, word.incarnation + 1, 0, own.state
            )
        elif (
            word.incarnation == own.incarnation
            and word.state > MemberState.ALIVE
            and own.state == MemberState.ALIVE
            and word.refutation_count >= own.refutation_count
        ):
            self.own = MemberUpdate(
                own.name,
                own.host,
                own.port,
                own.location,
                own.incarnation,
                word.refutation_count + 1,
                own.state,
            )
            self.events.append(Event("denied", self.own))
        else:
            return False
        self.tell(self.own.member_id)
        return True

    def _say(self, before: MemberUpdate, word: MemberUpdate) -> None:
        if word.incarnation != before.incarnation and word.state <= MemberState.SUSPECT:
            what = "started again"
        else:
            what = {
                MemberState.ALIVE: "alive again",
                MemberState.SUSPECT: "suspected",
                MemberState.DEAD: "died",
                MemberState.LEFT: "left",
            }[word.state]
        if not (what == "alive again" and before.state == MemberState.ALIVE):
            self.events.append(Event(what, word))

    def judge(self, now: float, who: Who, state: MemberState) -> None:
        """This director's own word on another of the same life and count."""
        held = self.records[who].word
        self.merge(
            now,
            MemberUpdate(
                held.name,
                held.host,
                held.port,
                held.location,
                held.incarnation,
                held.refutation_count,
                state,
            ),
            self.own.member_id,
        )

    def forget(self, who: Who) -> None:
        self.records.pop(who, None)
        self.telling.pop(who, None)

    def age(self, now: float) -> None:
        """What has long gone is forgotten."""
        for who, record in list(self.records.items()):
            if record.word.state >= MemberState.DEAD and now > record.since + REMEMBERED:
                self.events.append(Event("forgotten", record.word))
                self.forget(who)

    # What is passed on

    def tell(self, who: Who) -> None:
        self.telling[who] = [0.0]

    def word_of(self, who: Who) -> MemberUpdate | None:
        if who == self.own.member_id:
            return self.own
        record = self.records.get(who)
        return record.word if record else None

    def to_tell(self, count: int, first: Iterable[Who] = ()) -> list[MemberUpdate]:
        """So many words, those of `first` before others, then what was told least. Each is told
        some log2 of the fleet times.
        """
        often = math.ceil(TOLD * math.log2(self.size() + 1))
        ranked = sorted(self.telling, key=lambda who: self.telling[who][0])
        chosen = list(dict.fromkeys([*first, *ranked]))[:count]
        found = []
        for who in chosen:
            if (word := self.word_of(who)) is not None:
                found.append(word)
            if who in self.telling:
                self.telling[who][0] += 1.0
                if self.telling[who][0] >= often or word is None:
                    del self.telling[who]
        return found

    def page(self, count: int) -> list[MemberUpdate]:
        """So many of all that is known, drawn at random."""
        known = list(self.records.values())
        return [record.word for record in self.random.sample(known, min(count, len(known)))]

    def digest(self) -> int:
        """The same for the same knowledge, whatever the order it came in."""
        total = 0
        for word in [
            self.own,
            *(
                record.word
                for record in self.records.values()
                if record.word.state <= MemberState.SUSPECT
            ),
        ]:
            total ^= hash_of(word)
        return total


def hash_of(word: MemberUpdate) -> int:
    text = f"{word.name}|{word.host}|{word.port}|{word.incarnation}|{word.refutation_count}|{int(word.state)}"
    return int.from_bytes(hashlib.blake2b(text.encode(), digest_size=6).digest(), "big")

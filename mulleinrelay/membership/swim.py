"""Who is alive: a core that is given the time and datagrams, and gives datagrams, events and when
it wants to be called again. Pure: no socket, clock or thread.

After SWIM (Das, Gupta, Motivala 2002) with the suspicion and local health of Lifeguard (Dadgar,
Phillips, Currey 2017): each director pings one other a period, asks some to ping it for itself
where no answer comes, and doubts it where they hear nothing either; a doubted one that lives denies
it; one that doesn't, within a time that shrinks as more say so, counts as dead. A director that is
itself slow, or that hears nothing, gives the others more time. Words travel on these datagrams.
"""

import math
from dataclasses import dataclass
from random import Random
from typing import Protocol

from .member_table import Event, MemberRecord, MemberTable, Who
from .messages import (
    DatagramCodec,
    InvalidDatagramError,
    MemberState,
    MemberUpdate,
    Message,
    MessageKind,
)

PERIOD = 500.0  # of one ping
ANSWER_WITHIN = 150.0  # until others are asked to ping it
ASKED = 3  # of them
DOUBT_LEAST, DOUBT_MOST = 1.5, 3.0  # periods by log10 of the fleet; times that where few say so
SAY_SO = 3  # others who say so too, for the least time
HEALTH_MOST = 8  # times longer that one who is itself unwell waits, less one
AWAY = 4.0  # periods between two calls, after which this director itself was stopped
SYNC_EVERY, SYNC_SOON = 10_000.0, 1_000.0  # comparing all that is known; where hardly anybody is
MORE_AFTER = (
    250.0  # a comparison that left a difference is followed by another, ever later without news
)
KNOCK_EVERY = 3_000.0  # at one who has died, or at a seed: a cut may be over
WORDS, PAGES = 14, 6  # words on a datagram; pages that answer a comparison
CHECKS = (
    0.3,
    0.5,
    0.7,
)  # of the time after which it counts as dead: a doubted one is asked once more
TELL_DOUBTED = 3  # directors of all that hear of a doubt tell the doubted one at once
TELL_DENIAL = 4  # others that it tells at once when it denies it
LEAVES = 6  # are told of this one's leaving at once
DATAGRAMS_A_SECOND = 400  # that are read; more are dropped unread

Address = tuple[str, int]


class Companion(Protocol):
    """What travels along with the membership: pure as it is, called with the same time."""

    def wake(self) -> float: ...
    def step(
        self, now: float, life: int, others: list[tuple[Who, str]]
    ) -> list[tuple[Who, bytes]]: ...
    def receive(self, now: float, who: Who, part: bytes) -> list[tuple[Who, bytes]]: ...


@dataclass(slots=True)
class Ping:
    """One that is out: at whom, since when, and for whom where another asked."""

    who: Who
    number: int
    sent: float
    asked: bool = False  # others are pinging it too
    none_heard: int = 0
    for_number: int = 0
    for_address: Address | None = None
    weight: tuple[int, int, int] = (0, 0, 0)  # of the word that it would put in doubt


class SwimProtocol:
    """`receive` and `tick` give (address, datagram) pairs; events gather in `view.events`."""

    def __init__(
        self,
        now: float,
        own: MemberUpdate,
        codec: DatagramCodec,
        seeds: list[Address],
        random: Random,
        most: int = 4000,
    ) -> None:
        self.codec, self.random, self.seeds = codec, random, seeds
        self.view = MemberTable(own, most, random)
        self.health = 0  # 0: well
        self.number = random.randrange(1 << 30)
        self.pings: dict[int, Ping] = {}
        self.ring: list[Who] = []
        self.called = now
        self.ping_due = now + PERIOD * random.random()
        self.sync_due = now + 100.0 * random.random()
        self.knock_due = now + KNOCK_EVERY * random.random()
        self.dropped: dict[str, int] = {}
        self.second, self.read = 0.0, 0
        self.left, self.more = False, MORE_AFTER
        self.companion: Companion | None = None

    # What others and staff ask

    def present(self) -> list[MemberUpdate]:
        """This director and all that are alive or only suspected."""
        return [self.view.own, *self.view.present()]

    def take_events(self) -> list[Event]:
        found, self.view.events = self.view.events, []
        return found

    def wake(self) -> float:
        """When `tick` is wanted, at the latest."""
        due = [self.ping_due, self.sync_due, self.knock_due]
        due += [ping.sent + self._patience() for ping in self.pings.values() if not ping.asked]
        if any(record.word.state == MemberState.SUSPECT for record in self.view.records.values()):
            due.append(self.called + 0.2 * PERIOD)
        return min(due) if self.companion is None else min(*due, self.companion.wake())

    # Datagrams

    def receive(self, now: float, address: Address, data: bytes) -> list[tuple[Address, bytes]]:
        if now >= self.second + 1000.0:
            self.second, self.read = now, 0
        self.read += 1
        if self.left or self.read > DATAGRAMS_A_SECOND:
            return self._drop("too many") if not self.left else []
        try:
            message = self.codec.decode(data)
        except InvalidDatagramError as wrong:
            return self._drop(str(wrong))
        if message.sender.member_id == self.view.own.member_id:
            return self._drop("own")
        return self._heard(now, address, message)

    def _drop(self, why: str) -> list[tuple[Address, bytes]]:
        self.dropped[why] = self.dropped.get(why, 0) + 1
        return []

    def _heard(self, now: float, address: Address, message: Message) -> list[tuple[Address, bytes]]:
        view, by = self.view, message.sender.member_id
        view.merge(now, message.sender, by)
        record = view.records.get(by)
        current = record is not None and record.word.precedence[:2] == message.sender.precedence[:2]
        if current:
            record.heard = now
        # One who counts as dead is told so and may deny it; what it says of others may be long
        # past, or come of its hearing nothing
        trusted = current and record.word.state <= MemberState.SUSPECT
        out: list[tuple[Address, bytes]] = []
        count, news = (view.own.refutation_count, view.own.incarnation), 0
        for word in message.updates:
            if trusted or word.member_id == view.own.member_id:
                if view.merge(now, word, by):
                    news += 1
                    out += self._warn(word) if word.state == MemberState.SUSPECT else []
        if message.kind == MessageKind.SYNC_PAGE and message.number != view.digest() & 0xFFFFFFFF:
            self.more = MORE_AFTER if news else min(SYNC_EVERY, 1.2 * self.more)
            self.sync_due = min(self.sync_due, now + self.more)
        if count != (view.own.refutation_count, view.own.incarnation):
            out += self._deny()
        if message.kind == MessageKind.PING:
            out.append((address, self._datagram(MessageKind.ACK, message.number, None, by)))
        elif message.kind == MessageKind.ACK:
            out += self._answered(message)
        elif message.kind == MessageKind.INDIRECT_PING and message.target is not None and trusted:
            self.number += 1
            whom = message.target.member_id
            self.pings[self.number] = Ping(whom, self.number, now, True, 0, message.number, address)
            out.append(
                (
                    _address(message.target),
                    self._datagram(MessageKind.PING, self.number, None, whom),
                )
            )
        elif message.kind == MessageKind.NACK:
            if ping := self.pings.get(message.number):
                ping.none_heard += 1
        elif message.kind == MessageKind.USER_MESSAGE:
            if self.companion is not None and trusted:
                out += self._along(self.companion.receive(now, by, message.payload))
        elif message.kind == MessageKind.SYNC_REQUEST:
            if message.number != view.digest() & 0xFFFFFFFF:
                out += self._pages(address, by)
        return out

    def _warn(self, word: MemberUpdate) -> list[tuple[Address, bytes]]:
        """Some of those who hear of a doubt tell the doubted one, which may have little time to
        deny it.
        """
        if (
            word.member_id == self.view.own.member_id
            or self.random.random() * self.view.size() >= TELL_DOUBTED
        ):
            return []
        self.number += 1
        return [
            (_address(word), self._datagram(MessageKind.PING, self.number, None, word.member_id))
        ]

    def _deny(self) -> list[tuple[Address, bytes]]:
        others = self.view.present()
        return [
            (_address(word), self._datagram(MessageKind.ACK, 0, None, word.member_id))
            for word in self.random.sample(others, min(TELL_DENIAL, len(others)))
        ]

    def _along(self, said: list[tuple[Who, bytes]]) -> list[tuple[Address, bytes]]:
        return [
            (
                (who[1], who[2]),
                self.codec.encode(MessageKind.USER_MESSAGE, 0, self.view.own, None, [], part),
            )
            for who, part in said
        ]

    def _answered(self, message: Message) -> list[tuple[Address, bytes]]:
        ping = self.pings.pop(message.number, None)
        if ping is None:
            return []
        if ping.for_address is not None:  # it was pinged for another, who is told
            return [
                (ping.for_address, self._datagram(MessageKind.ACK, ping.for_number, None, None))
            ]
        self.health = max(0, self.health - 1)
        return []

    def _datagram(
        self, kind: MessageKind, number: int, about: MemberUpdate | None, to: Who | None
    ) -> bytes:
        """With the words that are to be passed on; whoever is doubted is told so first."""
        first = []
        if (
            to is not None
            and (record := self.view.records.get(to))
            and record.word.state > MemberState.ALIVE
        ):
            first = [to]
        return self.codec.encode(
            kind, number, self.view.own, about, self.view.to_tell(WORDS, first)
        )

    def _pages(self, address: Address, to: Who) -> list[tuple[Address, bytes]]:
        """All that is known, in pages; of a large fleet some, drawn at random: further ones follow.
        Whoever asks is told first what is believed of it, to deny it.
        """
        known = max(1, len(self.view.records))
        count = min(PAGES, math.ceil(known / WORDS))
        pages = (
            [self.view.page(WORDS) for _ in range(count)]
            if known > WORDS * PAGES
            else _split(self.view.page(known), WORDS)
        )
        if (
            record := self.view.records.get(to)
        ) is not None and record.word.state > MemberState.ALIVE:
            pages[0] = [record.word, *pages[0]]
        digest = self.view.digest() & 0xFFFFFFFF
        return [
            (address, self.codec.encode(MessageKind.SYNC_PAGE, digest, self.view.own, None, page))
            for page in pages
        ]

    # Time

    def tick(self, now: float) -> list[tuple[Address, bytes]]:
        if self.left:
            return []
        if now > self.called + AWAY * PERIOD:
            self._was_away(now)
        self.called = now
        out = self._look_after(now)
        out += self._bury(now)
        if now >= self.ping_due:
            self.ping_due = now + PERIOD * (0.9 + 0.2 * self.random.random())
            self.view.age(now)
            out += self._ping(now)
        if self.companion is not None:
            others = [
                (word.member_id, word.location)
                for word in self.view.present()
                if word.state == MemberState.ALIVE
            ]
            out += self._along(self.companion.step(now, self.view.own.incarnation, others))
        if now >= self.sync_due:
            out += self._sync(now)
        if now >= self.knock_due:
            self.knock_due = now + KNOCK_EVERY * (0.75 + 0.5 * self.random.random())
            out += self._knock()
        return out

    def _was_away(self, now: float) -> None:
        """This director was stopped: pings that are out prove nothing, and what it
        believes is old.
        """
        self.pings.clear()
        self.health = min(HEALTH_MOST, self.health + 2)
        self.sync_due = now
        for record in self.view.records.values():
            if record.word.state == MemberState.SUSPECT:
                record.since = now
        self.view.events.append(Event("late", self.view.own))

    def _patience(self) -> float:
        return ANSWER_WITHIN * (1 + self.health)

    def _ping(self, now: float) -> list[tuple[Address, bytes]]:
        while self.ring:
            who = self.ring.pop()
            record = self.view.records.get(who)
            if record is not None and record.word.state <= MemberState.SUSPECT:
                break
        else:  # all in turn, in another order each time: nobody waits longer than two rounds
            self.ring = [word.member_id for word in self.view.present()]
            self.random.shuffle(self.ring)
            if not self.ring:
                return []
            who = self.ring.pop()
            record = self.view.records[who]
        self.number += 1
        self.pings[self.number] = Ping(who, self.number, now, weight=record.word.precedence)
        return [(_address(record.word), self._datagram(MessageKind.PING, self.number, None, who))]

    def _look_after(self, now: float) -> list[tuple[Address, bytes]]:
        """Pings that brought no answer: others are asked, then it is doubted."""
        out = []
        for number, ping in list(self.pings.items()):
            record = self.view.records.get(ping.who)
            if ping.for_address is not None:
                if now > ping.sent + PERIOD:
                    del self.pings[number]
                    told = self._datagram(MessageKind.NACK, ping.for_number, None, None)
                    out.append((ping.for_address, told))
            elif record is None or record.word.state >= MemberState.DEAD:
                del self.pings[number]
            elif not ping.asked and now > ping.sent + self._patience():
                ping.asked = True
                out += self._ask(ping, record.word)
            elif now > ping.sent + PERIOD * (1 + self.health) + self._patience():
                del self.pings[number]
                out += self._doubt(now, ping, record)
        return out

    def _ask(self, ping: Ping, word: MemberUpdate) -> list[tuple[Address, bytes]]:
        others = [
            other
            for other in self.view.present()
            if other.member_id != ping.who and other.state == MemberState.ALIVE
        ]
        again = [(_address(word), self._datagram(MessageKind.PING, ping.number, None, ping.who))]
        return again + [
            (
                _address(other),
                self._datagram(MessageKind.INDIRECT_PING, ping.number, word, other.member_id),
            )
            for other in self.random.sample(others, min(ASKED, len(others)))
        ]

    def _doubt(self, now: float, ping: Ping, record: MemberRecord) -> list[tuple[Address, bytes]]:
        others = self.view.size() - 2
        if (
            others > 0 and not ping.none_heard
        ):  # those who were asked said no word either: it may be this one
            self.health = min(HEALTH_MOST, self.health + 1)
        if record.word.precedence == ping.weight and record.word.state == MemberState.ALIVE:
            self.view.judge(now, ping.who, MemberState.SUSPECT)
        elif record.word.state == MemberState.SUSPECT:
            self.view.merge(now, record.word, self.view.own.member_id)
        self.number += 1
        return [
            (_address(record.word), self._datagram(MessageKind.PING, self.number, None, ping.who))
        ]

    def _bury(self, now: float) -> list[tuple[Address, bytes]]:
        """Doubted ones are asked a last time; those that have not denied it in time have died."""
        least, out = DOUBT_LEAST * max(1.0, math.log10(self.view.size())) * PERIOD, []
        for who, record in list(self.view.records.items()):
            if record.word.state != MemberState.SUSPECT:
                continue
            others = max(1, min(SAY_SO, self.view.size() - 2))
            says = math.log(min(len(record.doubters), others + 1)) / math.log(others + 1)
            due = least * (DOUBT_MOST - (DOUBT_MOST - 1.0) * says) * (1 + self.health)
            if now > record.since + due:
                self.view.judge(now, who, MemberState.DEAD)
            elif record.checks < len(CHECKS) and now > record.since + CHECKS[record.checks] * due:
                record.checks += 1
                self.number += 1
                out.append(
                    (
                        _address(record.word),
                        self._datagram(MessageKind.PING, self.number, None, who),
                    )
                )
        return out

    def _sync(self, now: float) -> list[tuple[Address, bytes]]:
        """Compares with one other, or with a seed where nobody is known."""
        present = self.view.present()
        every = SYNC_SOON if len(present) < 2 else SYNC_EVERY
        self.sync_due = now + every * (0.75 + 0.5 * self.random.random())
        to = [_address(self.random.choice(present))] if present else self._seeds()
        digest = self.view.digest() & 0xFFFFFFFF
        words = self.view.page(WORDS)
        return [
            (
                address,
                self.codec.encode(MessageKind.SYNC_REQUEST, digest, self.view.own, None, words),
            )
            for address in to
        ]

    def _seeds(self) -> list[Address]:
        own = _address(self.view.own)
        return [seed for seed in self.seeds if seed != own][:3]

    def _knock(self) -> list[tuple[Address, bytes]]:
        """At one who counts as dead, or at a seed that is not known: after a cut both sides think
        the other gone, and nobody would ask again.
        """
        dead = [
            record.word
            for record in self.view.records.values()
            if record.word.state == MemberState.DEAD
        ]
        known = {_address(word) for word in self.view.present()}
        strange = [seed for seed in self._seeds() if seed not in known]
        digest = self.view.digest() & 0xFFFFFFFF
        out = []
        if dead:
            word = self.random.choice(dead)
            out.append(
                (
                    _address(word),
                    self.codec.encode(
                        MessageKind.SYNC_REQUEST,
                        digest,
                        self.view.own,
                        None,
                        [word, *self.view.page(WORDS - 1)],
                    ),
                )
            )
        if strange:
            out.append(
                (
                    self.random.choice(strange),
                    self.codec.encode(
                        MessageKind.SYNC_REQUEST, digest, self.view.own, None, self.view.page(WORDS)
                    ),
                )
            )
        return out

    def leave(self, now: float) -> list[tuple[Address, bytes]]:
        """This director ends: some are told at once, and pass it on."""
        own = self.view.own
        self.view.own = MemberUpdate(
            own.name,
            own.host,
            own.port,
            own.location,
            own.incarnation,
            own.refutation_count,
            MemberState.LEFT,
        )
        present = self.view.present()
        self.left = True
        return [
            (
                _address(word),
                self.codec.encode(MessageKind.ACK, 0, self.view.own, None, [self.view.own]),
            )
            for word in self.random.sample(present, min(LEAVES, len(present)))
        ]


def _address(word: MemberUpdate) -> Address:
    return (word.host, word.port)


def _split(words: list[MemberUpdate], length: int) -> list[list[MemberUpdate]]:
    return [words[first : first + length] for first in range(0, len(words), length)] or [[]]

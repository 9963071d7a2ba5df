"""Push/pull synchronization of member tables (anti-entropy); pure, times in ms.

As in hashicorp/memberlist, a director now and then exchanges its table with one other, which finds
what gossip has missed. Tables are compared by digest; where these differ, the other answers with
pages. After a network partition both sides count each other as dead and would never ping again, so
dead members and unknown seeds are tried too.
"""

import math
from random import Random

from .datagrams import UPDATES_PER_DATAGRAM, DatagramFactory, OutgoingDatagram
from .member_table import MemberTable
from .messages import Address, MemberId, MemberState, MemberUpdate, MessageKind

SYNC_INTERVAL = 10_000.0
ISOLATED_SYNC_INTERVAL = 1_000.0  # while at most one other member is active
INITIAL_SYNC_JITTER = 100.0  # the first sync comes within it
FOLLOW_UP_DELAY = 250.0  # to the next sync, where one has left a difference
FOLLOW_UP_BACKOFF = 1.2  # factor on that delay after each sync without news
RECONNECT_INTERVAL = 3_000.0  # between attempts at dead members and unknown seeds
MIN_INTERVAL_FACTOR = 0.75  # intervals are from 0.75 to 1.25 times as long
INTERVAL_FACTOR_RANGE = 0.5
MAX_PAGES = 6  # that answer one request
MAX_SEEDS = 3  # that are asked at a time
DIGEST_MASK = 0xFFFFFFFF  # the part of a table's digest that messages carry


class StateSync:
    """Exchanges the table of one director with others.

    Attributes:
        next_sync_at: When the next member is asked.
        next_reconnect_at: When a dead member and an unknown seed are tried next.
    """

    def __init__(
        self,
        now: float,
        table: MemberTable,
        datagrams: DatagramFactory,
        seeds: list[Address],
        random: Random,
    ) -> None:
        self._table = table
        self._datagrams = datagrams
        self._seeds = seeds
        self._random = random
        self._follow_up_delay = FOLLOW_UP_DELAY
        self.next_sync_at = now + INITIAL_SYNC_JITTER * random.random()
        self.next_reconnect_at = now + RECONNECT_INTERVAL * random.random()

    def next_wake_at(self) -> float:
        """Returns when a tick is wanted at the latest."""
        return min(self.next_sync_at, self.next_reconnect_at)

    # Received messages

    def handle_page(self, now: float, digest: int, has_news: bool) -> None:
        """Plans the next sync early where the sender's table still differs from this one.

        Args:
            now: Time in ms.
            digest: Of the sender's table.
            has_news: Whether the page has changed anything here.
        """
        if digest == self._digest():
            return
        if has_news:
            self._follow_up_delay = FOLLOW_UP_DELAY
        else:
            self._follow_up_delay = min(SYNC_INTERVAL, FOLLOW_UP_BACKOFF * self._follow_up_delay)
        self.next_sync_at = min(self.next_sync_at, now + self._follow_up_delay)

    def handle_request(
        self, address: Address, sender: MemberId, digest: int
    ) -> list[OutgoingDatagram]:
        """Answers with pages of the table, unless the sender's table is the same.

        Of a large table the pages are drawn at random: further syncs bring the rest. Where the
        sender is not believed alive, that comes first, so that it can refute it.
        """
        local_digest = self._digest()
        if digest == local_digest:
            return []
        pages = self._pages()
        entry = self._table.entries.get(sender)
        if entry is not None and entry.update.state > MemberState.ALIVE:
            pages[0] = [entry.update, *pages[0]]
        return [
            self._datagrams.with_updates(address, MessageKind.SYNC_PAGE, local_digest, page)
            for page in pages
        ]

    def _pages(self) -> list[list[MemberUpdate]]:
        known = max(1, len(self._table.entries))
        if known > UPDATES_PER_DATAGRAM * MAX_PAGES:
            count = min(MAX_PAGES, math.ceil(known / UPDATES_PER_DATAGRAM))
            return [self._table.sample(UPDATES_PER_DATAGRAM) for _ in range(count)]
        updates = self._table.sample(known)
        starts = range(0, len(updates), UPDATES_PER_DATAGRAM)
        return [updates[start : start + UPDATES_PER_DATAGRAM] for start in starts] or [[]]

    # Time

    def sync_soon(self, now: float) -> None:
        """Makes the next sync due at once."""
        self.next_sync_at = now

    def sync_if_due(self, now: float) -> list[OutgoingDatagram]:
        """Asks one random member, or the seeds where none is known."""
        if now < self.next_sync_at:
            return []
        active = self._table.active_members()
        interval = ISOLATED_SYNC_INTERVAL if len(active) < 2 else SYNC_INTERVAL
        self.next_sync_at = now + interval * self._random_factor()
        addresses = [self._random.choice(active).address] if active else self._other_seeds()
        updates = self._table.sample(UPDATES_PER_DATAGRAM)
        return [self._request(address, updates) for address in addresses]

    def reconnect_if_due(self, now: float) -> list[OutgoingDatagram]:
        """Asks one random dead member, and one random seed that is not known as active."""
        if now < self.next_reconnect_at:
            return []
        self.next_reconnect_at = now + RECONNECT_INTERVAL * self._random_factor()
        dead = [
            entry.update
            for entry in self._table.entries.values()
            if entry.update.state == MemberState.DEAD
        ]
        active_addresses = {update.address for update in self._table.active_members()}
        unknown_seeds = [seed for seed in self._other_seeds() if seed not in active_addresses]
        out = []
        if dead:
            update = self._random.choice(dead)
            updates = [update, *self._table.sample(UPDATES_PER_DATAGRAM - 1)]
            out.append(self._request(update.address, updates))
        if unknown_seeds:
            seed = self._random.choice(unknown_seeds)
            out.append(self._request(seed, self._table.sample(UPDATES_PER_DATAGRAM)))
        return out

    def _request(self, address: Address, updates: list[MemberUpdate]) -> OutgoingDatagram:
        return self._datagrams.with_updates(
            address, MessageKind.SYNC_REQUEST, self._digest(), updates
        )

    def _other_seeds(self) -> list[Address]:
        local = self._table.local.address
        return [seed for seed in self._seeds if seed != local][:MAX_SEEDS]

    def _random_factor(self) -> float:
        return MIN_INTERVAL_FACTOR + INTERVAL_FACTOR_RANGE * self._random.random()

    def _digest(self) -> int:
        return self._table.digest() & DIGEST_MASK

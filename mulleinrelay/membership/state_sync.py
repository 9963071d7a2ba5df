"""Push/pull synchronization of member tables (anti-entropy). No I/O; times in ms.

As in hashicorp/memberlist, a director periodically synchronizes its table with one other director,
to get updates that gossip has missed. It sends a sync request with a part of its table and a digest
of the table, which is a hash of the updates of all active members. If the other director's table
has another digest, that director responds with pages of its table.

During a network partition each side comes to consider the other side dead and stops pinging it.
Sync requests therefore go to dead members and to inactive seeds too, so that the sides find each
other again. A seed is inactive if no active member has its address.
"""

import math
from random import Random

from .datagrams import UPDATES_PER_DATAGRAM, DatagramFactory, OutgoingDatagram
from .member_table import MemberTable
from .messages import Address, MemberId, MemberState, MemberUpdate, MessageKind

SYNC_INTERVAL_MS = 10_000.0
ISOLATED_SYNC_INTERVAL_MS = 1_000.0  # while at most one other member is active
INITIAL_SYNC_JITTER_MS = 100.0  # maximum delay of the first sync
FOLLOW_UP_DELAY_MS = 250.0  # until the next sync if the tables still differ after a page
FOLLOW_UP_BACKOFF = 1.2  # factor on the follow-up delay after a page that changes nothing
RECONNECT_INTERVAL_MS = 3_000.0  # between sync requests to dead members and inactive seeds
MIN_INTERVAL_FACTOR = 0.75  # jitter: each interval is multiplied by 0.75 to 1.25
INTERVAL_FACTOR_RANGE = 0.5
MAX_PAGES = 6  # in response to one request
MAX_SEEDS = 3  # only the first ones of the configured seeds are used, not counting this director
DIGEST_MASK = 0xFFFFFFFF  # bits of a table's digest that messages carry


class StateSync:
    """Synchronization of one director's member table with the tables of other directors.

    Attributes:
        next_sync_at: Time of the next sync request to an active member, or to the seeds if there is
            none.
        next_reconnect_at: Time of the next sync requests to a dead member and an inactive seed.
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
        self._follow_up_delay = FOLLOW_UP_DELAY_MS
        self.next_sync_at = now + INITIAL_SYNC_JITTER_MS * random.random()
        self.next_reconnect_at = now + RECONNECT_INTERVAL_MS * random.random()

    def next_wake_at(self) -> float:
        """Return the time of the next required tick."""
        return min(self.next_sync_at, self.next_reconnect_at)

    # Received messages

    def handle_page(self, now: float, digest: int, has_changes: bool) -> None:
        """Bring the next sync forward if the tables still differ after a page was merged.

        Args:
            now: Time in ms.
            digest: Digest of the sender's table.
            has_changes: Whether the page changed this director's table. If not, the delay before
                the brought-forward sync grows.
        """
        if digest == self._digest():
            return
        if has_changes:
            self._follow_up_delay = FOLLOW_UP_DELAY_MS
        else:
            self._follow_up_delay = min(SYNC_INTERVAL_MS, FOLLOW_UP_BACKOFF * self._follow_up_delay)
        self.next_sync_at = min(self.next_sync_at, now + self._follow_up_delay)

    def handle_request(
        self, address: Address, sender: MemberId, digest: int
    ) -> list[OutgoingDatagram]:
        """Respond with pages of the table, unless the digests are equal.

        If the table does not fit into `MAX_PAGES`, each page is a random sample; further syncs
        transfer the remaining members. If this director does not consider the sender alive, the
        update about the sender goes first, so that the sender can refute it.

        Args:
            address: Address of the sender of the request.
            sender: The sender.
            digest: Digest of the sender's table.
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

    # Scheduled syncs

    def sync_soon(self, now: float) -> None:
        """Make the next sync due at once."""
        self.next_sync_at = now

    def sync_if_due(self, now: float) -> list[OutgoingDatagram]:
        """Return sync requests if the next sync is due.

        One request goes to a random active member or, if no other member is active, one to each
        seed.
        """
        if now < self.next_sync_at:
            return []
        active = self._table.active_members()
        interval = ISOLATED_SYNC_INTERVAL_MS if len(active) < 2 else SYNC_INTERVAL_MS
        self.next_sync_at = now + interval * self._random_factor()
        addresses = [self._random.choice(active).address] if active else self._other_seeds()
        updates = self._table.sample(UPDATES_PER_DATAGRAM)
        return [self._request(address, updates) for address in addresses]

    def reconnect_if_due(self, now: float) -> list[OutgoingDatagram]:
        """Return sync requests to a random dead member and a random inactive seed, if due."""
        if now < self.next_reconnect_at:
            return []
        self.next_reconnect_at = now + RECONNECT_INTERVAL_MS * self._random_factor()
        dead = [
            entry.update
            for entry in self._table.entries.values()
            if entry.update.state == MemberState.DEAD
        ]
        active_addresses = {update.address for update in self._table.active_members()}
        unknown_seeds = [seed for seed in self._other_seeds() if seed not in active_addresses]
        outgoing = []
        if dead:
            update = self._random.choice(dead)
            updates = [update, *self._table.sample(UPDATES_PER_DATAGRAM - 1)]
            outgoing.append(self._request(update.address, updates))
        if unknown_seeds:
            seed = self._random.choice(unknown_seeds)
            outgoing.append(self._request(seed, self._table.sample(UPDATES_PER_DATAGRAM)))
        return outgoing

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

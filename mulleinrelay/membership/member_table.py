"""What one director knows of all members; pure, times in ms.

Updates are merged by precedence alone (incarnation, refutations, state), so that neither their
order nor their number nor the path they took matters. A member that died or left is remembered for
`DEPARTED_RETENTION`: an old update about it must not bring it back.
"""

import hashlib
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import StrEnum
from random import Random

import msgspec

from .broadcast_queue import BroadcastQueue, transmit_limit
from .messages import MemberId, MemberState, MemberUpdate

DEPARTED_RETENTION = 120_000.0  # ms that a member is remembered which died or left
HASH_BYTES = 6  # of an update in the digest of a table


class MemberEventKind(StrEnum):
    """What happened to a member; the values are the texts of log lines and records."""

    JOINED = "joined"
    ALIVE_AGAIN = "alive again"
    SUSPECTED = "suspected"
    DIED = "died"
    LEFT = "left"
    RESTARTED = "started again"
    DUPLICATE_NAME = "two of one name"
    FORGOTTEN = "forgotten"
    REFUTED = "denied"  # this director has refuted a suspicion about itself
    SUSPENDED = "late"  # this director itself was stopped for a while


EVENT_BY_STATE = {
    MemberState.ALIVE: MemberEventKind.ALIVE_AGAIN,
    MemberState.SUSPECT: MemberEventKind.SUSPECTED,
    MemberState.DEAD: MemberEventKind.DIED,
    MemberState.LEFT: MemberEventKind.LEFT,
}


@dataclass(slots=True, frozen=True)
class MemberEvent:
    """A change that is logged and kept in the records for operators."""

    kind: MemberEventKind
    update: MemberUpdate


@dataclass(slots=True, eq=False)
class MemberEntry:
    """One member.

    Attributes:
        update: The update of greatest precedence so far.
        state_since: When the member entered its state.
        suspected_by: Directors that suspect it; empty unless it is suspect.
        last_received_at: Time of its last own datagram; 0 if there was none.
        final_pings_sent: Pings sent to it while it is suspect.
    """

    update: MemberUpdate
    state_since: float
    suspected_by: set[MemberId] = field(default_factory=set)
    last_received_at: float = 0.0
    final_pings_sent: int = 0

    @property
    def is_active(self) -> bool:
        """Whether the member is alive or only suspect."""
        return self.update.state <= MemberState.SUSPECT


class MemberTable:
    """The members other than this director, by id, and this director's own state.

    Attributes:
        local: Own state, as it is sent to others.
        entries: All other members that are known, also departed ones.
        broadcasts: Members whose update is still to be sent.
        events: Events since the owner of the table took them.
        refused_members: Updates on unknown members for which there was no space.
    """

    def __init__(self, local: MemberUpdate, max_members: int, random: Random) -> None:
        """Makes a table of at most `max_members` entries; `random` draws samples."""
        self.local = local
        self.entries: dict[MemberId, MemberEntry] = {}
        self.broadcasts = BroadcastQueue()
        self.events: list[MemberEvent] = []
        self.refused_members = 0
        self._max_members = max_members
        self._random = random

    # Queries

    def cluster_size(self) -> int:
        """Returns the number of active members, this director included."""
        # Compared in place, here and below: each datagram does this for each member
        suspect = MemberState.SUSPECT
        return 1 + sum(entry.update.state <= suspect for entry in self.entries.values())

    def active_members(self) -> list[MemberUpdate]:
        """Returns the other members that are alive or suspect."""
        suspect = MemberState.SUSPECT
        return [entry.update for entry in self.entries.values() if entry.update.state <= suspect]

    def sample(self, count: int) -> list[MemberUpdate]:
        """Returns up to `count` entries, also departed ones, drawn at random."""
        known = list(self.entries.values())
        return [entry.update for entry in self._random.sample(known, min(count, len(known)))]

    def digest(self) -> int:
        """Returns a number that is the same for the same active members in the same states."""
        total = 0
        for update in [self.local, *self.active_members()]:
            total ^= _hash_update(update)
        return total

    # Merging

    def merge(self, now: float, update: MemberUpdate, reporter: MemberId) -> bool:
        """Merges one update.

        Args:
            now: Time in ms.
            update: The update.
            reporter: The director that sent it.

        Returns:
            Whether it has changed anything.
        """
        if update.member_id == self.local.member_id:
            return self._merge_local(update)
        entry = self.entries.get(update.member_id)
        if entry is None:
            return self._add(now, update, reporter)
        if update.precedence < entry.update.precedence:
            return False
        if update.precedence == entry.update.precedence:
            return self._confirm_suspicion(entry, update, reporter)
        self._replace(now, entry, update, reporter)
        return True

    def set_state(self, now: float, member_id: MemberId, state: MemberState) -> None:
        """Merges this director's own judgement on a member in its present incarnation."""
        update = msgspec.structs.replace(self.entries[member_id].update, state=state)
        self.merge(now, update, self.local.member_id)

    def _add(self, now: float, update: MemberUpdate, reporter: MemberId) -> bool:
        if update.state >= MemberState.DEAD:  # departed before it was ever known
            return False
        if len(self.entries) >= self._max_members and not self._evict_departed():
            self.refused_members += 1
            return False
        has_duplicate_name = update.name == self.local.name or any(
            other.update.name == update.name and other.is_active for other in self.entries.values()
        )
        self.entries[update.member_id] = MemberEntry(update, now, _suspecting(update, reporter))
        self.events.append(MemberEvent(MemberEventKind.JOINED, update))
        if has_duplicate_name:
            self.events.append(MemberEvent(MemberEventKind.DUPLICATE_NAME, update))
        self.broadcasts.enqueue(update.member_id)
        return True

    def _evict_departed(self) -> bool:
        """Removes the member that departed first; returns whether there was one."""
        departed = [member_id for member_id, entry in self.entries.items() if not entry.is_active]
        if departed:
            self.remove(min(departed, key=lambda member_id: self.entries[member_id].state_since))
        return bool(departed)

    def _confirm_suspicion(
        self, entry: MemberEntry, update: MemberUpdate, reporter: MemberId
    ) -> bool:
        """Counts one more director that suspects the member, which shortens its timeout."""
        if update.state != MemberState.SUSPECT or reporter in entry.suspected_by:
            return False
        entry.suspected_by.add(reporter)
        self.broadcasts.enqueue(update.member_id)
        return True

    def _replace(
        self, now: float, entry: MemberEntry, update: MemberUpdate, reporter: MemberId
    ) -> None:
        before = entry.update
        entry.update = update
        if update.state != before.state or update.incarnation != before.incarnation:
            entry.final_pings_sent = 0
            entry.state_since = now
            entry.suspected_by = _suspecting(update, reporter)
            self._record_transition(before, update)
        self.broadcasts.enqueue(update.member_id)

    def _record_transition(self, before: MemberUpdate, update: MemberUpdate) -> None:
        if update.incarnation != before.incarnation and update.state <= MemberState.SUSPECT:
            kind = MemberEventKind.RESTARTED
        else:
            kind = EVENT_BY_STATE[update.state]
        if kind == MemberEventKind.ALIVE_AGAIN and before.state == MemberState.ALIVE:
            return
        self.events.append(MemberEvent(kind, update))

    def _merge_local(self, update: MemberUpdate) -> bool:
        """Refutes what others claim of this director.

        A suspicion is refuted with a greater refutation number. A greater incarnation is exceeded:
        it is this director's own, from before a restart at which its clock was set back.
        """
        local = self.local
        if update.incarnation > local.incarnation:
            self.local = msgspec.structs.replace(
                local, incarnation=update.incarnation + 1, refutation_count=0
            )
        elif (
            update.incarnation == local.incarnation
            and update.state > MemberState.ALIVE
            and local.state == MemberState.ALIVE
            and update.refutation_count >= local.refutation_count
        ):
            self.local = msgspec.structs.replace(
                local, refutation_count=update.refutation_count + 1
            )
            self.events.append(MemberEvent(MemberEventKind.REFUTED, self.local))
        else:
            return False
        self.broadcasts.enqueue(local.member_id)
        return True

    # Removal

    def remove(self, member_id: MemberId) -> None:
        """Forgets a member."""
        self.entries.pop(member_id, None)
        self.broadcasts.discard(member_id)

    def remove_expired(self, now: float) -> None:
        """Forgets the members that departed longer ago than `DEPARTED_RETENTION`."""
        for member_id, entry in list(self.entries.items()):
            if not entry.is_active and now > entry.state_since + DEPARTED_RETENTION:
                self.events.append(MemberEvent(MemberEventKind.FORGOTTEN, entry.update))
                self.remove(member_id)

    # Broadcasts

    def take_broadcasts(self, count: int, first: Iterable[MemberId] = ()) -> list[MemberUpdate]:
        """Returns up to `count` updates to piggyback, and counts their transmission.

        Args:
            count: Updates that a datagram has space for.
            first: Members whose update goes before all others, also if it is not queued.
        """
        limit = transmit_limit(self.cluster_size())
        updates = []
        for member_id in self.broadcasts.select(count, first):
            update = self._update_of(member_id)
            if update is None:
                self.broadcasts.discard(member_id)
                continue
            updates.append(update)
            self.broadcasts.count_transmission(member_id, limit)
        return updates

    def _update_of(self, member_id: MemberId) -> MemberUpdate | None:
        if member_id == self.local.member_id:
            return self.local
        entry = self.entries.get(member_id)
        return entry.update if entry is not None else None


def _suspecting(update: MemberUpdate, reporter: MemberId) -> set[MemberId]:
    return {reporter} if update.state == MemberState.SUSPECT else set()


def _hash_update(update: MemberUpdate) -> int:
    text = (
        f"{update.name}|{update.host}|{update.port}"
        f"|{update.incarnation}|{update.refutation_count}|{int(update.state)}"
    )
    return int.from_bytes(hashlib.blake2b(text.encode(), digest_size=HASH_BYTES).digest(), "big")

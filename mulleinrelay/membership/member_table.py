"""Member table of one director: its view of all members. No I/O; times in ms.

Of two updates about a member, the one with the greater precedence is kept (`precedence` of
`MemberUpdate`). For a member in the table, the kept update is therefore the same in whatever order,
how often and through which directors updates arrive. A departed (dead or left) member stays in the
table, so that an old update about it does not make it alive again. It is removed after
`DEPARTED_RETENTION_MS`, or earlier if a new member needs its place in a full table.
"""

import hashlib
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import StrEnum
from random import Random

import msgspec

from .broadcast_queue import BroadcastQueue, transmit_limit
from .messages import MemberId, MemberState, MemberUpdate

DEPARTED_RETENTION_MS = 120_000.0  # after which a dead or left member is removed
HASH_BYTES = 6  # size of an update's hash in the digest of a table


class MemberEventKind(StrEnum):
    """Kind of a member event; the values are the texts of log lines and records."""

    JOINED = "joined"
    ALIVE_AGAIN = "alive again"
    SUSPECTED = "suspected"
    DIED = "died"
    LEFT = "left"
    RESTARTED = "started again"
    DUPLICATE_NAME = "two of one name"
    FORGOTTEN = "forgotten"
    REFUTED = "denied"  # this director refuted that it is suspect, dead or left
    PAUSED = "late"  # the process of this director was paused for some time


EVENT_BY_STATE = {
    MemberState.ALIVE: MemberEventKind.ALIVE_AGAIN,
    MemberState.SUSPECT: MemberEventKind.SUSPECTED,
    MemberState.DEAD: MemberEventKind.DIED,
    MemberState.LEFT: MemberEventKind.LEFT,
}


@dataclass(slots=True, frozen=True)
class MemberEvent:
    """An event about a member or this director that is logged and recorded for operators.

    Attributes:
        kind: Kind of the event.
        update: Update about the member or this director, as it is after the event.
    """

    kind: MemberEventKind
    update: MemberUpdate


@dataclass(slots=True, eq=False)
class MemberEntry:
    """Table entry of one member.

    Attributes:
        update: The update with the greatest precedence so far.
        state_since: Time at which this director learned of the member's state or, if later, of its
            incarnation. If this process was paused while the member was suspect, the end of that
            pause.
        suspected_by: Directors that have reported the member as suspect, also those that only
            passed the suspicion on; empty unless the member is suspect.
        last_received_at: Time of the last datagram from the member; 0 if there was none. Late
            datagrams from before its last restart or refutation do not count.
        suspect_pings_sent: Number of the pings at `SUSPECT_PING_FRACTIONS` of the suspicion timeout
            that this director has sent since the member became suspect.
    """

    update: MemberUpdate
    state_since: float
    suspected_by: set[MemberId] = field(default_factory=set)
    last_received_at: float = 0.0
    suspect_pings_sent: int = 0

    @property
    def is_active(self) -> bool:
        """Whether the member is alive or suspect."""
        return self.update.state <= MemberState.SUSPECT


class MemberTable:
    """The state of this director and the entries of all other members.

    Attributes:
        local: This director's own state, as it is sent to other directors.
        entries: Entries of all other known members, including departed ones, by member id.
        broadcasts: Queue of the members whose update is still to be sent; it may contain this
            director.
        events: Events since the owner of the table last took them.
        rejected_members: Number of updates about unknown members that were ignored because the
            table was full of active members.
    """

    def __init__(self, local: MemberUpdate, max_members: int, random: Random) -> None:
        """Create an empty table for at most `max_members` entries; `random` draws the samples."""
        self.local = local
        self.entries: dict[MemberId, MemberEntry] = {}
        self.broadcasts = BroadcastQueue()
        self.events: list[MemberEvent] = []
        self.rejected_members = 0
        self._max_members = max_members
        self._random = random

    # Queries

    def cluster_size(self) -> int:
        """Return the number of active members, including this director."""
        # Here and in `active_members`, states are compared without the property `is_active`. A call
        # of the property takes longer, and the comparison runs for each member at each datagram.
        suspect = MemberState.SUSPECT
        return 1 + sum(entry.update.state <= suspect for entry in self.entries.values())

    def active_members(self) -> list[MemberUpdate]:
        """Return the updates of the other members that are alive or suspect."""
        suspect = MemberState.SUSPECT
        return [entry.update for entry in self.entries.values() if entry.update.state <= suspect]

    def sample(self, count: int) -> list[MemberUpdate]:
        """Return the updates of up to `count` random members, including departed ones."""
        known = list(self.entries.values())
        return [entry.update for entry in self._random.sample(known, min(count, len(known)))]

    def digest(self) -> int:
        """Return a hash that is equal for tables with the same updates of active members.

        This director's own state counts as one of these updates.
        """
        total = 0
        for update in [self.local, *self.active_members()]:
            total ^= _hash_update(update)
        return total

    # Merging

    def merge(self, now: float, update: MemberUpdate, reporter: MemberId) -> bool:
        """Merge one update.

        Args:
            now: Time in ms.
            update: The update.
            reporter: Director that the update was received from; this director itself for its own
                observation.

        Returns:
            Whether the update changed the table, which includes this director's own state and the
            reporters of a suspicion.
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
        """Set the state of a known member, as observed by this director.

        Incarnation and refutation count stay the same, so a smaller state is ignored.
        """
        update = msgspec.structs.replace(self.entries[member_id].update, state=state)
        self.merge(now, update, self.local.member_id)

    def _add(self, now: float, update: MemberUpdate, reporter: MemberId) -> bool:
        if update.state >= MemberState.DEAD:  # the member departed before it became known here
            return False
        if len(self.entries) >= self._max_members and not self._evict_departed():
            self.rejected_members += 1
            return False
        has_duplicate_name = update.name == self.local.name or any(
            other.update.name == update.name and other.is_active for other in self.entries.values()
        )
        self.entries[update.member_id] = MemberEntry(
            update, now, _initial_suspectors(update, reporter)
        )
        self.events.append(MemberEvent(MemberEventKind.JOINED, update))
        if has_duplicate_name:
            self.events.append(MemberEvent(MemberEventKind.DUPLICATE_NAME, update))
        self.broadcasts.enqueue(update.member_id)
        return True

    def _evict_departed(self) -> bool:
        """Remove the member that departed first; return whether there was a departed member."""
        departed = [member_id for member_id, entry in self.entries.items() if not entry.is_active]
        if departed:
            self.remove(min(departed, key=lambda member_id: self.entries[member_id].state_since))
        return bool(departed)

    def _confirm_suspicion(
        self, entry: MemberEntry, update: MemberUpdate, reporter: MemberId
    ) -> bool:
        """Record `reporter` if it is a further director that reports the suspicion.

        Further directors shorten the suspicion timeout.

        Returns:
            Whether `reporter` was recorded.
        """
        if update.state != MemberState.SUSPECT or reporter in entry.suspected_by:
            return False
        entry.suspected_by.add(reporter)
        self.broadcasts.enqueue(update.member_id)
        return True

    def _replace(
        self, now: float, entry: MemberEntry, update: MemberUpdate, reporter: MemberId
    ) -> None:
        previous = entry.update
        entry.update = update
        if update.state != previous.state or update.incarnation != previous.incarnation:
            entry.suspect_pings_sent = 0
            entry.state_since = now
            entry.suspected_by = _initial_suspectors(update, reporter)
            self._record_transition(previous, update)
        self.broadcasts.enqueue(update.member_id)

    def _record_transition(self, previous: MemberUpdate, update: MemberUpdate) -> None:
        if update.incarnation != previous.incarnation and update.state <= MemberState.SUSPECT:
            kind = MemberEventKind.RESTARTED
        else:
            kind = EVENT_BY_STATE[update.state]
        if kind == MemberEventKind.ALIVE_AGAIN and previous.state == MemberState.ALIVE:
            return
        self.events.append(MemberEvent(kind, update))

    def _merge_local(self, update: MemberUpdate) -> bool:
        """Override an update about this director if necessary; return whether it was necessary.

        An update of this incarnation that calls this director suspect, dead or left is refuted with
        a greater refutation count, unless it is refuted already or this director has left. An
        update with a greater incarnation than this director's means that the clock was set back
        before the last restart. This director then takes the update's incarnation plus one.
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
        """Remove a member, if it is known, from the table and from the queue of broadcasts."""
        self.entries.pop(member_id, None)
        self.broadcasts.discard(member_id)

    def remove_expired(self, now: float) -> None:
        """Remove the members that departed more than `DEPARTED_RETENTION_MS` ago."""
        for member_id, entry in list(self.entries.items()):
            if not entry.is_active and now > entry.state_since + DEPARTED_RETENTION_MS:
                self.events.append(MemberEvent(MemberEventKind.FORGOTTEN, entry.update))
                self.remove(member_id)

    # Broadcasts

    def take_broadcasts(self, count: int, preferred: Iterable[MemberId] = ()) -> list[MemberUpdate]:
        """Return up to `count` updates to piggyback, and count their transmission.

        Args:
            count: Maximum number of updates in the datagram.
            preferred: Members whose updates precede all others, even if they are not queued.
        """
        limit = transmit_limit(self.cluster_size())
        updates = []
        for member_id in self.broadcasts.select(count, preferred):
            update = self._update_of(member_id)
            if update is None:
                self.broadcasts.discard(member_id)
                continue
            updates.append(update)
            self.broadcasts.record_transmission(member_id, limit)
        return updates

    def _update_of(self, member_id: MemberId) -> MemberUpdate | None:
        if member_id == self.local.member_id:
            return self.local
        entry = self.entries.get(member_id)
        return entry.update if entry is not None else None


def _initial_suspectors(update: MemberUpdate, reporter: MemberId) -> set[MemberId]:
    return {reporter} if update.state == MemberState.SUSPECT else set()


def _hash_update(update: MemberUpdate) -> int:
    text = (
        f"{update.name}|{update.host}|{update.port}"
        f"|{update.incarnation}|{update.refutation_count}|{int(update.state)}"
    )
    return int.from_bytes(hashlib.blake2b(text.encode(), digest_size=HASH_BYTES).digest(), "big")

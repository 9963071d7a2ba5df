"""Where a keyed or unsafe request goes while its tenant moves: to the group that drops its repeats
as long as that remembers it, else nowhere.

The ledger knows what this director has taken. Of a client's retry whose first try went to another
director only the clock tells: where it may have gone to the other cell, the request fails rather
than run twice.
"""

from collections import OrderedDict
from enum import Enum

from . import migrations
from .model import Migration


class MigrationSide(Enum):
    SOURCE = "old"
    TARGET = "new"
    NEITHER = "nowhere"  # to be failed


class IdempotencyKeyCache:
    """Idempotency keys and the cell each went to; the oldest go first when it is full."""

    def __init__(self, most: int) -> None:
        self.max_entries, self.entries = most, OrderedDict[tuple[str, str], tuple[str, float]]()
        self.dropped_until = 0.0  # keys that would have been kept up to then were dropped for room

    def find_cell(self, tenant: str, idempotency_key: str, now: float) -> str | None:
        found = self.entries.get((tenant, idempotency_key))
        return found[0] if found is not None and now < found[1] else None

    def record(
        self, tenant: str, idempotency_key: str, cell: str, now: float, kept_for: float
    ) -> None:
        while self.entries:
            first, (_, until) = next(iter(self.entries.items()))
            if until > now and len(self.entries) < self.max_entries:
                break
            if until > now:
                self.dropped_until = max(self.dropped_until, until)
            del self.entries[first]
        self.entries[tenant, idempotency_key] = cell, now + kept_for
        self.entries.move_to_end((tenant, idempotency_key))


def choose_side(
    move: Migration,
    key: int,
    repeated: bool,
    everywhere: bool,
    known: str | None,
    now: float,
    skew: float,
) -> MigrationSide:
    """`known`: the cell that the ledger has for this idempotency key. `everywhere`: it need not
    stay with the nodes of one cell. Other directors may go by any version of the file, also by one
    without the move, or from before it was held or aborted: what one of them may have sent to the
    new cell is unproven until staff have ended the move.
    """
    if known == move.source:
        return MigrationSide.SOURCE
    if known == move.target:
        return MigrationSide.TARGET
    if everywhere or not repeated:
        return (
            MigrationSide.TARGET
            if migrations.is_migrated(move, key, migrations.migrated_fraction(move, now))
            else MigrationSide.SOURCE
        )
    return (
        MigrationSide.NEITHER
        if migrations.is_migrated(move, key, migrations.max_published_fraction(move, now + skew))
        else MigrationSide.SOURCE
    )

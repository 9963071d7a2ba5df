"""Choice between the two cells of a migration; requests with idempotency keys may be sticky.

A request is sticky if only the endpoints of one cell remember its idempotency key
(`RequestClass.key_scope` is "cell"). Its retries must go to the cell of its first attempt, whose
endpoints drop duplicates. While the cache of idempotency keys holds the key, this director knows
the cell. Otherwise another director may have admitted the first attempt. The retry then goes to the
source cell if, by the migration's schedule and the largest clock skew, the object cannot have
migrated yet. If it may have migrated, the retry fails, because the request could run twice. Retries
of requests that are not sticky may run in either cell.

No I/O and no clock: the time is an argument. Not thread-safe: `CellService` holds its lock during
each call.
"""

from collections import OrderedDict
from dataclasses import dataclass
from enum import Enum

from . import migrations
from .model import Migration


class MigrationSide(Enum):
    """The cell of a migration that a request goes to."""

    SOURCE = "old"
    TARGET = "new"
    NEITHER = "nowhere"  # the request fails


@dataclass(slots=True, eq=False)
class _KeyEntry:
    cell: str
    expires_at: float


class IdempotencyKeyCache:
    """A cache of the cells to which requests with idempotency keys went.

    When the cache is full, the oldest keys are dropped.

    Attributes:
        max_entries: Maximum number of keys.
        entries: Entries by tenant and key, oldest first.
        dropped_until: Latest expiry time of all keys that were dropped because the cache was full;
            0 if there are none.
    """

    def __init__(self, max_entries: int) -> None:
        """Create an empty cache."""
        self.max_entries = max_entries
        self.entries: OrderedDict[tuple[str, str], _KeyEntry] = OrderedDict()
        self.dropped_until = 0.0

    def find_cell(self, tenant: str, idempotency_key: str, now: float) -> str | None:
        """Return the cell of a key; None if the key is not known or has expired."""
        entry = self.entries.get((tenant, idempotency_key))
        return entry.cell if entry is not None and now < entry.expires_at else None

    def record(
        self, tenant: str, idempotency_key: str, cell: str, now: float, lifetime: float
    ) -> None:
        """Record the cell of a key for `lifetime` ms.

        Before that, the oldest key is dropped as long as it has expired or the cache is full.
        """
        while self.entries:
            oldest_key, oldest = next(iter(self.entries.items()))
            is_valid = oldest.expires_at > now
            if is_valid and len(self.entries) < self.max_entries:
                break
            if is_valid:
                self.dropped_until = max(self.dropped_until, oldest.expires_at)
            del self.entries[oldest_key]
        self.entries[tenant, idempotency_key] = _KeyEntry(cell, now + lifetime)
        self.entries.move_to_end((tenant, idempotency_key))


@dataclass(slots=True, eq=False)  # not frozen: each request creates one, and frozen costs more
class RequestHistory:
    """The known facts about earlier attempts of a request.

    Attributes:
        is_retry: Whether the request was sent before, according to the client or this director.
        can_run_anywhere: Whether retries may run in another cell than the first attempt, because
            the request is not sticky.
        known_cell: Cell that this director chose for an earlier request with the same idempotency
            key; None if it is not known.
    """

    is_retry: bool
    can_run_anywhere: bool
    known_cell: str | None


def choose_side(
    migration: Migration, key: int, history: RequestHistory, now: float, clock_skew: float
) -> MigrationSide:
    """Return the side of a migration that a request for an object goes to.

    A sticky retry whose cell is not known goes to the source cell if no director can have placed
    its first attempt in the target cell; otherwise the retry goes to neither cell. Other directors
    may use any version of the assignment file, even one without the migration or from before a
    pause or an abort. The cell of a migrated object is therefore uncertain until operators have
    ended the migration.

    Args:
        migration: The migration of the request's tenant.
        key: Object id.
        history: Known facts about earlier attempts of the request.
        now: The current time.
        clock_skew: Maximum difference between the clocks of two directors, ms.
    """
    if history.known_cell == migration.source:
        return MigrationSide.SOURCE
    if history.known_cell == migration.target:
        return MigrationSide.TARGET
    if history.can_run_anywhere or not history.is_retry:
        fraction = migrations.migrated_fraction(migration, now)
        is_migrated = migrations.is_migrated(migration, key, fraction)
        return MigrationSide.TARGET if is_migrated else MigrationSide.SOURCE
    largest_fraction = migrations.max_published_fraction(migration, now + clock_skew)
    may_have_migrated = migrations.is_migrated(migration, key, largest_fraction)
    return MigrationSide.NEITHER if may_have_migrated else MigrationSide.SOURCE

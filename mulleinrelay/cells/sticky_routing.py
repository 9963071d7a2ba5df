"""Which side of a migration a request goes to; requests with side effects are sticky.

A request with an idempotency key, or an unsafe one, goes to the cell whose nodes drop its
repetitions, as long as that is certain, else nowhere. The cache of idempotency keys knows what this
director has admitted. Of a client's retry whose first attempt went to another director only the
clock tells: where that may have gone to the other cell, the request fails rather than run twice.

Pure and not thread-safe: the admission controller's lock guards the cache.
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
    """The cell that each idempotency key went to; the oldest are dropped when it is full.

    Attributes:
        max_entries: Keys that are kept at the most.
        entries: By tenant and key, the oldest first.
        dropped_until: Keys that would have expired up to this time were dropped for lack of space.
    """

    def __init__(self, max_entries: int) -> None:
        """Starts empty."""
        self.max_entries = max_entries
        self.entries: OrderedDict[tuple[str, str], _KeyEntry] = OrderedDict()
        self.dropped_until = 0.0

    def find_cell(self, tenant: str, idempotency_key: str, now: float) -> str | None:
        """Returns the cell that a key went to; None if it is not known."""
        entry = self.entries.get((tenant, idempotency_key))
        return entry.cell if entry is not None and now < entry.expires_at else None

    def record(
        self, tenant: str, idempotency_key: str, cell: str, now: float, lifetime: float
    ) -> None:
        """Notes the cell of a key for `lifetime` ms; drops what has expired or is too much."""
        while self.entries:
            oldest_key, oldest = next(iter(self.entries.items()))
            is_alive = oldest.expires_at > now
            if is_alive and len(self.entries) < self.max_entries:
                break
            if is_alive:
                self.dropped_until = max(self.dropped_until, oldest.expires_at)
            del self.entries[oldest_key]
        self.entries[tenant, idempotency_key] = _KeyEntry(cell, now + lifetime)
        self.entries.move_to_end((tenant, idempotency_key))


@dataclass(slots=True, eq=False)  # not frozen: it is made for each request, which costs less
class RequestHistory:
    """What is known of a request's earlier attempts.

    Attributes:
        is_retry: Whether the client or this director has seen it before.
        can_run_anywhere: Whether it need not stay with the nodes of one cell.
        known_cell: The cell that its idempotency key went to; None if that is not known.
    """

    is_retry: bool
    can_run_anywhere: bool
    known_cell: str | None


def choose_side(
    migration: Migration, key: int, history: RequestHistory, now: float, clock_skew: float
) -> MigrationSide:
    """Returns the side of a migration that a request for an object goes to.

    Other directors may use any version of the file, also one without the migration or from before
    it was paused or aborted: what one of them may have sent to the new cell is uncertain until
    operators have ended the migration.
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

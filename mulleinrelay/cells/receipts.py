"""Where a receipted or effectful lookup goes while its tenant moves: with the group that drops its repeats as
long as that remembers it, else nowhere.

The ledger knows what this director has taken. Of a client's retry whose first try went to another director
only the clock tells: where it may have gone to the other cell, the lookup is broken off rather than run
twice.
"""

from collections import OrderedDict
from enum import Enum

from . import moves
from .charter import Move


class Way(Enum):
    OLD = "old"
    NEW = "new"
    NOWHERE = "nowhere"  # to be broken off


class Ledger:
    """Receipts and the cell each went to; the oldest go first when it is full."""

    def __init__(self, most: int) -> None:
        self.most, self.held = most, OrderedDict[tuple[str, str], tuple[str, float]]()
        self.dropped_until = 0.0  # receipts that would have been kept up to then were dropped for room

    def where(self, tenant: str, receipt: str, now: float) -> str | None:
        found = self.held.get((tenant, receipt))
        return found[0] if found is not None and now < found[1] else None

    def note(self, tenant: str, receipt: str, cell: str, now: float, kept_for: float) -> None:
        while self.held:
            first, (_, until) = next(iter(self.held.items()))
            if until > now and len(self.held) < self.most:
                break
            if until > now:
                self.dropped_until = max(self.dropped_until, until)
            del self.held[first]
        self.held[tenant, receipt] = cell, now + kept_for
        self.held.move_to_end((tenant, receipt))


def way(move: Move, key: int, repeated: bool, everywhere: bool, known: str | None, now: float,
        horizon: float, skew: float, spread: float = 0.0) -> Way:
    """`known`: the cell that the ledger has for this receipt. `everywhere`: every node of the fleet drops its
    repeats, so that any cell will do. `horizon`: how long before now its first try may have come. `spread`:
    for so long after the move's start a director may still have gone by the version without it."""
    if known == move.source:
        return Way.OLD
    if known == move.target:
        return Way.NEW
    here = moves.over(move, key, moves.shifted(move, now))
    if everywhere or not repeated:
        return Way.NEW if here else Way.OLD
    first = now - horizon - skew
    old, new = moves.between(move, key, first, now + skew)
    # what the older version did for a while yet
    for told in (move.starts, move.held_at, move.resumed_at, move.aborted_at):
        if spread and told and first < told + spread and now + skew > told:
            was = _as_before(move, told)
            stayed, went = moves.between(was, key, max(first, told), min(now + skew, told + spread)) \
                if was is not None else (True, False)
            old, new = old or stayed, new or went
    if old and new:
        return Way.NOWHERE
    return Way.NEW if new else Way.OLD


def _as_before(move: Move, told: float) -> Move | None:
    """The move as the version before `told` had it; None: not at all."""
    changes = {}
    if told == move.starts:
        return None
    if told == move.aborted_at:
        changes["aborted_at"] = 0.0
    elif told == move.resumed_at:
        changes["resumed_at"] = 0.0
    elif told == move.held_at:
        changes["held_at"] = changes["resumed_at"] = 0.0
    return Move(**{name: getattr(move, name) for name in Move.__dataclass_fields__} | changes)

"""Who stands in which cell: the same at every director, from the charter and the list of caches
alone.

Weighted rendezvous hash with a bound on each cell's load. Where a cell or cache goes, only what
stood there finds a new place, and what that pushes over a bound; where one comes, only what now
prefers it moves.
"""

import math
from collections.abc import Callable, Iterable, Mapping

import xxhash

from .model import TABLE, Assignment

HASH_RANGE = 2.0**64
MASK, SALT, FIRST, SECOND = (
    0xFFFFFFFFFFFFFFFF,
    0x9E3779B97F4A7C15,
    0xBF58476D1CE4E5B9,
    0x94D049BB133111EB,
)


def hash_name(text: str) -> int:
    """64 bits of a name, alike on every machine."""
    return xxhash.xxh3_64_intdigest(text.encode())


def combine_hashes(one: int, other: int) -> int:
    """Two digests as one, well spread."""
    state = (one ^ other * SALT) & MASK
    state = (state ^ state >> 30) * FIRST & MASK
    state = (state ^ state >> 27) * SECOND & MASK
    return state ^ state >> 31


def rendezvous_score(one: int, other: int, weight: float) -> float:
    """How much `one` is drawn to `other`: the least wins, in proportion to the weights."""
    return -math.log((combine_hashes(one, other) + 1) / HASH_RANGE) / weight


def rendezvous_order(name: int, among: Iterable[tuple[str, int, float]]) -> list[str]:
    """The names of `among` (name, digest, weight) in the order in which `name` is drawn to them."""
    return [
        other
        for _, other in sorted(
            (rendezvous_score(name, mark, weight), other) for other, mark, weight in among
        )
    ]


def assign_with_load_bound(
    items: Mapping[str, float], bins: Mapping[str, float], bound: float
) -> dict[str, str]:
    """Items (with their load) to bins (with their weight), none of which takes more than `bound` (1
    at the least) times its part of the load, save by its last item. The order of the mappings is of
    no matter.
    """
    if not bins:
        return {}
    marks = [(name, hash_name(name), weight) for name, weight in sorted(bins.items())]
    whole, weights = sum(items.values()), sum(bins.values())
    room = {name: bound * whole * weight / weights for name, weight in bins.items()}
    held, found = dict.fromkeys(bins, 0.0), {}
    nearest = _nearest(marks)
    for mark, name in sorted((hash_name(name), name) for name in items):
        load = items[name]
        best = nearest(mark)
        if held[best] >= room[best]:
            best = next(
                (bin_ for bin_ in rendezvous_order(mark, marks) if held[bin_] < room[bin_]), best
            )
        held[best] += load
        found[name] = best
    return found


def _nearest(marks: list[tuple[str, int, float]]) -> Callable[[int], str]:
    """What gives the bin that a mark is drawn to most. Where all weigh the same no logarithm is
    wanted, and the hash stands here once more without its call: tables of 100,000 tenants are read
    in service.
    """
    if len({weight for _, _, weight in marks}) > 1:
        return lambda mark: min(
            (rendezvous_score(mark, other, weight), name) for name, other, weight in marks
        )[1]
    salted = [(name, other * SALT & MASK) for name, other, _ in marks]

    def most(mark: int) -> str:
        best, top = "", -1
        for name, salt in salted:
            state = mark ^ salt
            state = (state ^ state >> 30) * FIRST & MASK
            state = (state ^ state >> 27) * SECOND & MASK
            state ^= state >> 31
            if state > top:
                best, top = name, state
        return best

    return most


def home_cells(charter: Assignment) -> dict[str, str]:
    """The cell of each tenant of the charter, moves aside. A tenant with a cell of its own in the
    table stands there and counts against nobody's bound; with `table` as the way every other goes
    to no cell.
    """
    fixed = {name: tenant.cell for name, tenant in charter.tenants.items() if tenant.cell}
    if charter.placement_method == TABLE:
        return fixed
    free = {name: tenant.weight for name, tenant in charter.tenants.items() if not tenant.cell}
    weights = {name: cell.weight for name, cell in charter.cells.items() if cell.weight > 0.0}
    return fixed | assign_with_load_bound(free, weights, charter.load_bound)


def caches_by_cell(charter: Assignment, caches: Iterable[str]) -> dict[str, list[str]]:
    """The caches (of one location) of each cell, sorted. Those that no cell names go by hash to the
    cells that name none, one at the least to each where there are as many; the others are nobody's.
    """
    here = sorted(set(caches))
    found: dict[str, list[str]] = {name: [] for name in charter.cells}
    named = {cache for cell in charter.cells.values() for cache in cell.caches}
    for name, cell in charter.cells.items():
        found[name] = sorted(cache for cache in cell.caches if cache in here)
    open_cells = {
        name: cell.weight
        for name, cell in charter.cells.items()
        if not cell.caches and cell.weight > 0.0
    }
    if not open_cells:
        return found
    free = [cache for cache in here if cache not in named]
    for cache, cell in assign_with_load_bound(dict.fromkeys(free, 1.0), open_cells, 1.0).items():
        found[cell].append(cache)
    for name in sorted(open_cells):  # a cell with no cache at all would be lost from the start
        if not found[name]:
            rich = max(sorted(open_cells), key=lambda other: len(found[other]) / open_cells[other])
            if len(found[rich]) > 1:
                mark = hash_name(name)
                given = min(
                    found[rich], key=lambda cache: rendezvous_score(hash_name(cache), mark, 1.0)
                )
                found[rich].remove(given)
                found[name].append(given)
    return {name: sorted(held) for name, held in found.items()}


def shuffle_shard(tenant: str, caches: list[str], count: int) -> list[str]:
    """Those `count` of the caches that a tenant gets; all where 0. Two tenants share all of theirs
    with the chance of 1 in (n over count).
    """
    if not 0 < count < len(caches):
        return list(caches)
    return sorted(
        rendezvous_order(hash_name(tenant), [(cache, hash_name(cache), 1.0) for cache in caches])[
            :count
        ]
    )

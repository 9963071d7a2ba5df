"""Placement of tenants and caches in cells by hash; no I/O.

All directors compute the same placement, because it depends on the assignment and the endpoint list
only.

The method is weighted rendezvous hashing (highest random weight; Thaler and Ravishankar, 1998) with
a bound on each cell's load (Mirrokni, Thorup and Zadimoghaddam, 2016). If a cell or cache is
removed, its tenants move. If a cell or cache is added, the tenants that prefer it move. Other
tenants move only if the change makes a cell reach its load bound, or makes room in a full cell.
"""

import math
from collections.abc import Callable, Iterable, Mapping

import xxhash

from .model import TABLE, Assignment

HASH_RANGE = 2.0**64  # upper bound of a hash, exclusive
HASH_MASK = 0xFFFFFFFFFFFFFFFF

# Constants of splitmix64 (Steele, Lea and Flood, 2014).
SPLITMIX_INCREMENT = 0x9E3779B97F4A7C15
SPLITMIX_MULTIPLIER_1 = 0xBF58476D1CE4E5B9
SPLITMIX_MULTIPLIER_2 = 0x94D049BB133111EB

# A candidate: name, hash of the name, weight.
Candidate = tuple[str, int, float]


def hash_name(text: str) -> int:
    """Return the 64-bit hash of a name; the hash is the same on every machine."""
    return xxhash.xxh3_64_intdigest(text.encode())


def combine_hashes(first: int, second: int) -> int:
    """Return a well-distributed hash of two hashes."""
    state = (first ^ second * SPLITMIX_INCREMENT) & HASH_MASK
    state = (state ^ state >> 30) * SPLITMIX_MULTIPLIER_1 & HASH_MASK
    state = (state ^ state >> 27) * SPLITMIX_MULTIPLIER_2 & HASH_MASK
    return state ^ state >> 31


def rendezvous_score(name_hash: int, candidate_hash: int, weight: float) -> float:
    """Return the score of a candidate for a name.

    The candidate with the lowest score is preferred. Each candidate is preferred by a share of the
    names in proportion to its weight.
    """
    return -math.log((combine_hashes(name_hash, candidate_hash) + 1) / HASH_RANGE) / weight


def rendezvous_order(name_hash: int, candidates: Iterable[Candidate]) -> list[str]:
    """Return the names of the candidates in the order of preference."""
    scores = [
        (rendezvous_score(name_hash, candidate_hash, weight), candidate)
        for candidate, candidate_hash, weight in candidates
    ]
    return [candidate for _, candidate in sorted(scores)]


def assign_with_load_bound(
    items: Mapping[str, float], bins: Mapping[str, float], bound: float
) -> dict[str, str]:
    """Assign each item to the bin that it prefers among those below their maximum load.

    The result does not depend on the order of the mappings.

    Args:
        items: Load of each item.
        bins: Weight of each bin.
        bound: Maximum load of a bin, as a multiple (at least 1) of the bin's share by weight of the
            total load. A bin below its maximum accepts an item of any load, so the last item of a
            bin may exceed the maximum.

    Returns:
        The bin of each item; empty if there are no bins.
    """
    if not bins:
        return {}
    candidates = [(name, hash_name(name), weight) for name, weight in sorted(bins.items())]
    total_load = sum(items.values())
    total_weight = sum(bins.values())
    max_loads = {name: bound * total_load * weight / total_weight for name, weight in bins.items()}
    loads = dict.fromkeys(bins, 0.0)
    assigned: dict[str, str] = {}
    preferred_bin = _preferred_bin_function(candidates)
    for item_hash, item in sorted((hash_name(item), item) for item in items):
        chosen = preferred_bin(item_hash)
        if loads[chosen] >= max_loads[chosen]:
            order = rendezvous_order(item_hash, candidates)
            chosen = next((other for other in order if loads[other] < max_loads[other]), chosen)
        loads[chosen] += items[item]
        assigned[item] = chosen
    return assigned


def _preferred_bin_function(candidates: list[Candidate]) -> Callable[[int], str]:
    """Return a function that returns the preferred bin for the hash of an item."""
    if len({weight for _, _, weight in candidates}) > 1:
        return lambda item_hash: min(
            (rendezvous_score(item_hash, candidate_hash, weight), name)
            for name, candidate_hash, weight in candidates
        )[1]
    return _equal_weights_function(candidates)


def _equal_weights_function(candidates: list[Candidate]) -> Callable[[int], str]:
    """Return a faster equivalent of `_preferred_bin_function` for bins of equal weights.

    With equal weights, the highest hash has the lowest score, so no logarithm is needed.
    `combine_hashes` is inlined, because assignments of 100,000 tenants are computed while requests
    are served.
    """
    salted = [
        (name, candidate_hash * SPLITMIX_INCREMENT & HASH_MASK)
        for name, candidate_hash, _ in candidates
    ]

    def preferred_bin(item_hash: int) -> str:
        """Return the bin with the highest hash."""
        best_name = ""
        best_hash = -1
        for name, salt in salted:
            state = item_hash ^ salt
            state = (state ^ state >> 30) * SPLITMIX_MULTIPLIER_1 & HASH_MASK
            state = (state ^ state >> 27) * SPLITMIX_MULTIPLIER_2 & HASH_MASK
            state ^= state >> 31
            if state > best_hash:
                best_name = name
                best_hash = state
        return best_name

    return preferred_bin


def home_cells(assignment: Assignment) -> dict[str, str]:
    """Return each tenant's home cell: the cell that it belongs to if migrations are ignored.

    A tenant whose entry names a cell belongs to that cell, and does not count towards the load
    bound. With the placement method `table`, tenants whose entries name no cell are missing.
    """
    tenants = assignment.tenants
    named = {name: tenant.cell for name, tenant in tenants.items() if tenant.cell}
    if assignment.placement_method == TABLE:
        return named
    loads = {name: tenant.weight for name, tenant in tenants.items() if not tenant.cell}
    weights = {name: cell.weight for name, cell in assignment.cells.items() if cell.weight > 0.0}
    return named | assign_with_load_bound(loads, weights, assignment.load_bound)


def caches_by_cell(assignment: Assignment, caches: Iterable[str]) -> dict[str, list[str]]:
    """Return the sorted names of each cell's caches, given the names of one zone's caches.

    Caches that no cell names are distributed by hash among the cells that name no caches and have
    a weight above 0. Each of these cells gets at least one cache if there are enough. Without such
    cells, the unnamed caches belong to no cell.
    """
    present = sorted(set(caches))
    caches_of_cell = {
        name: sorted(cache for cache in cell.caches if cache in present)
        for name, cell in assignment.cells.items()
    }
    weights = {
        name: cell.weight
        for name, cell in assignment.cells.items()
        if not cell.caches and cell.weight > 0.0
    }
    if not weights:
        return caches_of_cell
    named = {cache for cell in assignment.cells.values() for cache in cell.caches}
    unnamed = dict.fromkeys((cache for cache in present if cache not in named), 1.0)
    for cache, cell_name in assign_with_load_bound(unnamed, weights, 1.0).items():
        caches_of_cell[cell_name].append(cache)
    _fill_empty_cells(caches_of_cell, weights)
    return {name: sorted(names) for name, names in caches_of_cell.items()}


def _fill_empty_cells(caches_of_cell: dict[str, list[str]], weights: dict[str, float]) -> None:
    """Give each cell without caches a cache of another cell, so that the cell is not lost.

    The other cell is the one with the most caches for its weight, if it has more than one cache.

    Args:
        caches_of_cell: Names of the caches by cell; they are updated.
        weights: Weights of the cells that take part, by cell.
    """
    for name in sorted(weights):
        if caches_of_cell[name]:
            continue
        donor = max(sorted(weights), key=lambda other: len(caches_of_cell[other]) / weights[other])
        if len(caches_of_cell[donor]) > 1:
            cache = _preferred_cache(caches_of_cell[donor], hash_name(name))
            caches_of_cell[donor].remove(cache)
            caches_of_cell[name].append(cache)


def _preferred_cache(caches: list[str], cell_hash: int) -> str:
    return min(caches, key=lambda cache: rendezvous_score(hash_name(cache), cell_hash, 1.0))


def shuffle_shard(tenant: str, caches: list[str], count: int) -> list[str]:
    """Return the `count` caches of a tenant (shuffle sharding).

    If `count` is 0, or if there are at most `count` caches, all caches are returned. Two tenants
    have exactly the same caches with a probability of 1 in (n choose count), where n is the number
    of caches.
    """
    if not 0 < count < len(caches):
        return list(caches)
    candidates = [(cache, hash_name(cache), 1.0) for cache in caches]
    return sorted(rendezvous_order(hash_name(tenant), candidates)[:count])

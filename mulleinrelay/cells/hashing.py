"""Which cell a tenant and a cache belong to, by hash; pure.

Every director computes the same from the assignment and the endpoint list alone.

Rendezvous hashing (highest random weight; Thaler and Ravishankar, 1998), weighted, with a bound on
each cell's load (Mirrokni, Thorup and Zadimoghaddam, 2016). Where a cell or cache is removed, only
its own tenants get another one, and those that they push over a bound; where one is added, only the
tenants that now prefer it are placed anew.
"""

import math
from collections.abc import Callable, Iterable, Mapping

import xxhash

from .model import TABLE, Assignment

HASH_RANGE = 2.0**64  # hashes are below this
HASH_MASK = 0xFFFFFFFFFFFFFFFF

# Constants of splitmix64 (Steele, Lea and Flood, 2014).
SPLITMIX_INCREMENT = 0x9E3779B97F4A7C15
SPLITMIX_MULTIPLIER_1 = 0xBF58476D1CE4E5B9
SPLITMIX_MULTIPLIER_2 = 0x94D049BB133111EB

# A candidate as (name, hash of the name, weight).
Candidate = tuple[str, int, float]


def hash_name(text: str) -> int:
    """Returns 64 bits of a name, the same on every machine."""
    return xxhash.xxh3_64_intdigest(text.encode())


def combine_hashes(first: int, second: int) -> int:
    """Returns one well distributed hash of two."""
    state = (first ^ second * SPLITMIX_INCREMENT) & HASH_MASK
    state = (state ^ state >> 30) * SPLITMIX_MULTIPLIER_1 & HASH_MASK
    state = (state ^ state >> 27) * SPLITMIX_MULTIPLIER_2 & HASH_MASK
    return state ^ state >> 31


def rendezvous_score(name_hash: int, candidate_hash: int, weight: float) -> float:
    """Returns the score of a candidate for a name; the lowest wins, in proportion to weights."""
    return -math.log((combine_hashes(name_hash, candidate_hash) + 1) / HASH_RANGE) / weight


def rendezvous_order(name_hash: int, candidates: Iterable[Candidate]) -> list[str]:
    """Returns the names of the candidates, the preferred first."""
    scores = [
        (rendezvous_score(name_hash, candidate_hash, weight), candidate)
        for candidate, candidate_hash, weight in candidates
    ]
    return [candidate for _, candidate in sorted(scores)]


def assign_with_load_bound(
    items: Mapping[str, float], bins: Mapping[str, float], bound: float
) -> dict[str, str]:
    """Assigns each item to a bin; the order of the mappings does not matter.

    Args:
        items: Load of each item.
        bins: Weight of each bin.
        bound: No bin takes more than this multiple (1 at the least) of its share of the load, save
            by its last item.

    Returns:
        The bin of each item; nothing without bins.
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
    """Returns a function that gives the preferred bin of an item's hash."""
    if len({weight for _, _, weight in candidates}) > 1:
        return lambda item_hash: min(
            (rendezvous_score(item_hash, candidate_hash, weight), name)
            for name, candidate_hash, weight in candidates
        )[1]
    return _equal_weights_function(candidates)


def _equal_weights_function(candidates: list[Candidate]) -> Callable[[int], str]:
    """Returns the same function for bins of one weight, much faster.

    The highest hash then has the lowest score, so no logarithm is needed. The hash is written out
    once more without its call: assignments of 100,000 tenants are computed while requests run.
    """
    salted = [
        (name, candidate_hash * SPLITMIX_INCREMENT & HASH_MASK)
        for name, candidate_hash, _ in candidates
    ]

    def preferred_bin(item_hash: int) -> str:
        """Returns the bin with the highest hash."""
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
    """Returns the cell of each tenant, migrations aside.

    A tenant that names its cell is placed there and does not count against a load bound. With the
    placement method `table` every other tenant has no cell.
    """
    tenants = assignment.tenants
    named = {name: tenant.cell for name, tenant in tenants.items() if tenant.cell}
    if assignment.placement_method == TABLE:
        return named
    loads = {name: tenant.weight for name, tenant in tenants.items() if not tenant.cell}
    weights = {name: cell.weight for name, cell in assignment.cells.items() if cell.weight > 0.0}
    return named | assign_with_load_bound(loads, weights, assignment.load_bound)


def caches_by_cell(assignment: Assignment, caches: Iterable[str]) -> dict[str, list[str]]:
    """Returns the sorted caches of each cell, out of the caches of one location.

    Caches that no cell names go by hash to the cells that name none, at least one to each while
    there are enough; without such cells they belong to nobody.
    """
    present = sorted(set(caches))
    found = {
        name: sorted(cache for cache in cell.caches if cache in present)
        for name, cell in assignment.cells.items()
    }
    weights = {
        name: cell.weight
        for name, cell in assignment.cells.items()
        if not cell.caches and cell.weight > 0.0
    }
    if not weights:
        return found
    named = {cache for cell in assignment.cells.values() for cache in cell.caches}
    unnamed = dict.fromkeys((cache for cache in present if cache not in named), 1.0)
    for cache, cell_name in assign_with_load_bound(unnamed, weights, 1.0).items():
        found[cell_name].append(cache)
    _fill_empty_cells(found, weights)
    return {name: sorted(names) for name, names in found.items()}


def _fill_empty_cells(found: dict[str, list[str]], weights: dict[str, float]) -> None:
    """Gives each cell without a cache, which would be lost from the start, one of another's."""
    for name in sorted(weights):
        if found[name]:
            continue
        richest = max(sorted(weights), key=lambda other: len(found[other]) / weights[other])
        if len(found[richest]) > 1:
            cache = _preferred_cache(found[richest], hash_name(name))
            found[richest].remove(cache)
            found[name].append(cache)


def _preferred_cache(caches: list[str], cell_hash: int) -> str:
    return min(caches, key=lambda cache: rendezvous_score(hash_name(cache), cell_hash, 1.0))


def shuffle_shard(tenant: str, caches: list[str], count: int) -> list[str]:
    """Returns the `count` caches of a tenant (shuffle sharding); all of them where it is 0.

    Two tenants share all of their caches with a chance of 1 in (n over count).
    """
    if not 0 < count < len(caches):
        return list(caches)
    candidates = [(cache, hash_name(cache), 1.0) for cache in caches]
    return sorted(rendezvous_order(hash_name(tenant), candidates)[:count])

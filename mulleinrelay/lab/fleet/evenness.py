"""Measures of how evenly load is distributed over caches. No I/O and no clock.

A read request counts at the cache that gets its first attempt at any cache. The load of a cache is
the number of requests that count there in one second. The fair shares divide the load of all
healthy caches of a location among them, in proportion to their capacities. The load ratio of a
cache is its load divided by its fair share.
"""

import math
from bisect import bisect
from collections import Counter, defaultdict
from collections.abc import Iterable
from dataclasses import dataclass

from ...policy.rendezvous_hash import hash_integers

# In the ideal assignment, an object gets one more cache in a location for each such fraction of the
# location's recent requests that ask for the object.
HOT_FRACTION = 0.02
HOT_WINDOW_S = 10.0  # period in which requests count as recent
# If a location has fewer recent requests, an object's fraction is computed as if it had this many.
HOT_MIN_REQUESTS = 200
MIN_FAIR_RATE = 4.0  # requests per second; with a lower fair share, the load ratio is unknown
OVERLOADED_RATIO = 2.0
UNDERLOADED_RATIO = 0.5
IDLE_RATIO = 0.2
RECOVERY_WINDOW_S = 3  # over which load and fair share are summed in `seconds_until_half_load`
SLOT_PHASES = 4  # number of start times of the first slot that `concentration` tries

Loads = dict[int, Counter[str]]  # loads by second and cache


@dataclass(slots=True)
class AuditedCache:
    """A cache with the periods in which it was healthy.

    `Audit` determines these periods: a cache is not healthy during a fault or a drain of the cache,
    during the recovery time that follows, or after a crash under overload.

    Attributes:
        hash_key: Number that the directors hash to choose a cache for an object.
        capacity: Capacity relative to a normal cache.
        healthy_spans: Start and end of each period in which the cache was healthy, in seconds from
            the start of the play.
    """

    name: str
    hash_key: int
    location: str
    capacity: float
    healthy_spans: list[tuple[float, float]]

    def is_healthy_in(self, second: int) -> bool:
        """Return whether the cache was healthy for the whole second."""
        return any(first <= second and second + 1 <= last for first, last in self.healthy_spans)


@dataclass(slots=True)
class FirstAttempt:
    """The first attempt of one read request at a cache; `at_s` counts from the play's start."""

    at_s: float
    cache: str
    object_id: int


def percentile(values: Iterable[float], fraction: float) -> float:
    """Return the percentile for a fraction from 0 to 1; 0 if there are no values."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))] if ordered else 0.0


def by_second(attempts: Iterable[FirstAttempt]) -> Loads:
    """Count attempts by second and cache."""
    loads: Loads = defaultdict(Counter)
    for attempt in attempts:
        loads[int(attempt.at_s)][attempt.cache] += 1
    return loads


def known_load_ratios(
    loads: Loads, caches: dict[str, AuditedCache], seconds: Iterable[int]
) -> list[float]:
    """Return all known load ratios of healthy caches in these seconds."""
    return [
        ratio
        for second in seconds
        for ratios in load_ratios(loads, caches, second).values()
        for ratio in ratios.values()
        if ratio is not None
    ]


def load_ratios(
    loads: Loads, caches: dict[str, AuditedCache], second: int
) -> dict[str, dict[str, float | None]]:
    """Return the load ratios in a second, by location and healthy cache.

    The ratio is None if the fair share of the cache is below MIN_FAIR_RATE.
    """
    found: dict[str, dict[str, float | None]] = {}
    for location, healthy in healthy_by_location(caches, second).items():
        total = sum(loads[second][cache.name] for cache in healthy) if second in loads else 0
        capacity = sum(cache.capacity for cache in healthy)
        fair_shares = {cache.name: total * cache.capacity / capacity for cache in healthy}
        found[location] = {
            name: loads[second][name] / fair if fair >= MIN_FAIR_RATE else None
            for name, fair in fair_shares.items()
        }
    return found


def healthy_by_location(
    caches: dict[str, AuditedCache], second: int
) -> dict[str, list[AuditedCache]]:
    """Return the caches that are healthy for the whole second, by location."""
    found: dict[str, list[AuditedCache]] = defaultdict(list)
    for cache in caches.values():
        if cache.is_healthy_in(second):
            found[cache.location].append(cache)
    return found


def ideal_assignment(
    attempts: list[FirstAttempt], caches: dict[str, AuditedCache]
) -> list[FirstAttempt]:
    """Assign the requests to caches as a single director that receives all of them would do.

    The assignment uses the directors' hash. An object has one cache in a location, and one more for
    each HOT_FRACTION of the location's recent requests that ask for the object. Each request goes
    to the object's cache that has the lowest load so far, relative to its capacity, in the second
    of the request. A request is left out if no cache of its location is healthy.
    """
    orders: dict[tuple[int, str], list[AuditedCache]] = {}
    recent: dict[str, list[tuple[float, int]]] = defaultdict(list)
    counts: dict[tuple[str, int], int] = Counter()
    loads: dict[str, Counter[str]] = defaultdict(Counter)
    healthy: dict[str, list[AuditedCache]] = {}
    found = []
    second = -1
    for attempt in sorted(attempts, key=lambda attempt: attempt.at_s):
        if int(attempt.at_s) != second:
            second = int(attempt.at_s)
            loads = defaultdict(Counter)
            healthy = healthy_by_location(caches, second)
            orders.clear()
        location = caches[attempt.cache].location
        window = recent[location]
        window.append((attempt.at_s, attempt.object_id))
        counts[location, attempt.object_id] += 1
        while window[0][0] < attempt.at_s - HOT_WINDOW_S:
            counts[location, window.pop(0)[1]] -= 1
        if not healthy[location]:
            continue
        order_key = (attempt.object_id, location)
        if order_key not in orders:
            orders[order_key] = rendezvous(healthy[location], attempt.object_id)
        fraction = counts[location, attempt.object_id] / max(len(window), HOT_MIN_REQUESTS)
        candidates = orders[order_key][: 1 + int(fraction / HOT_FRACTION)]
        best = _least_loaded(candidates, loads[location])
        loads[location][best.name] += 1
        found.append(FirstAttempt(attempt.at_s, best.name, attempt.object_id))
    return found


def _least_loaded(candidates: list[AuditedCache], load: Counter[str]) -> AuditedCache:
    return min(candidates, key=lambda cache: load[cache.name] / cache.capacity)


def rendezvous(caches: list[AuditedCache], object_id: int) -> list[AuditedCache]:
    """Return the caches in the order of the directors' weighted rendezvous hashing."""
    return sorted(
        caches,
        key=lambda cache: (
            -math.log((hash_integers(object_id, 0, cache.hash_key) + 1) / 2.0**64) / cache.capacity
        ),
    )


def herd_seconds(
    loads: Loads, caches: dict[str, AuditedCache], seconds: Iterable[int]
) -> list[int]:
    """Return the seconds with a herd.

    In such a second the load ratio of one cache is above OVERLOADED_RATIO, while that of another
    cache in the same location is below UNDERLOADED_RATIO.
    """
    found = []
    for second in seconds:
        for ratios in load_ratios(loads, caches, second).values():
            known = [ratio for ratio in ratios.values() if ratio is not None]
            if known and max(known) > OVERLOADED_RATIO and min(known) < UNDERLOADED_RATIO:
                found.append(second)
                break
    return found


def longest_idle_spans(
    loads: Loads, caches: dict[str, AuditedCache], seconds: list[int]
) -> dict[str, int]:
    """Return, by cache, the length in seconds of the longest period in which it was idle.

    A cache is idle in a second if its load ratio is known, which requires that it is healthy, and
    is below IDLE_RATIO.
    """
    runs: Counter[str] = Counter()
    longest: dict[str, int] = dict.fromkeys(caches, 0)
    for second in seconds:
        ratio_by_cache = {
            name: ratio
            for ratios in load_ratios(loads, caches, second).values()
            for name, ratio in ratios.items()
        }
        for name in caches:
            ratio = ratio_by_cache.get(name)
            is_idle = ratio is not None and ratio < IDLE_RATIO
            runs[name] = runs[name] + 1 if is_idle else 0
            longest[name] = max(longest[name], runs[name])
    return longest


def max_share_change(shares: dict[int, dict[str, float]], seconds: Iterable[int]) -> float:
    """Return the largest change of one node's share between consecutive seconds."""
    largest = 0.0
    for second in seconds:
        if second in shares and second - 1 in shares:
            now = shares[second]
            before = shares[second - 1]
            for name in now.keys() | before.keys():
                largest = max(largest, abs(now.get(name, 0.0) - before.get(name, 0.0)))
    return largest


def seconds_until_half_load(
    loads: Loads, caches: dict[str, AuditedCache], name: str, second: int, last: int
) -> float:
    """Return the seconds from `second` until a cache has half of its fair share.

    Load and fair share are summed over RECOVERY_WINDOW_S seconds. If the cache does not reach half
    of its fair share before `last`, the result is the time from `second` to `last`.

    Args:
        loads: Loads by second and cache.
        caches: All caches by name.
        name: Name of the cache.
        second: Second at which the search starts.
        last: Second at which the search ends.
    """
    cache = caches[name]
    for now in range(second, last - RECOVERY_WINDOW_S + 1):
        load = fair = 0.0
        for step in range(now, now + RECOVERY_WINDOW_S):
            peers = _healthy_peers(caches, cache, step)
            total = sum(loads[step][peer.name] for peer in peers)
            fair += total * cache.capacity / sum(peer.capacity for peer in peers)
            load += loads[step][name]
        if fair and load >= UNDERLOADED_RATIO * fair:
            return float(now - second)
    return float(last - second)


def _healthy_peers(
    caches: dict[str, AuditedCache], cache: AuditedCache, second: int
) -> list[AuditedCache]:
    """Return the caches of the cache's location that are healthy for the whole second.

    The cache itself is included even if it is not healthy, so that its fair share is defined in any
    second.
    """
    peers = [
        other
        for other in caches.values()
        if other.location == cache.location and other.is_healthy_in(second)
    ]
    return peers if any(peer is cache for peer in peers) else [*peers, cache]


def slot_loads(
    attempts: list[tuple[float, str]], width_s: float, end_s: float
) -> tuple[list[str], list[list[int]]]:
    """Count attempts by cache and time slot.

    Args:
        attempts: Time in seconds, and name of the cache, of each attempt.
        width_s: Width of a slot in seconds.
        end_s: Time in seconds by which the last slot has ended. Attempts before 0 or after the last
            slot do not count.

    Returns:
        The names of the caches that got attempts, in alphabetical order, and a row for each with
        the count in each slot.
    """
    names = sorted({name for _, name in attempts})
    row_of = {name: row for row, name in enumerate(names)}
    edges = [width_s * slot for slot in range(1, int(end_s / width_s) + 1)]
    counts = [[0] * len(edges) for _ in names]
    for at_s, name in attempts:
        if 0.0 <= at_s < end_s:
            slot = bisect(edges, at_s)
            if slot < len(edges):
                counts[row_of[name]][slot] += 1
    return names, counts


def concentration(
    checks: list[tuple[float, str]],
    caches: dict[str, AuditedCache],
    width_s: float = 0.5,
    min_checks: int = 6,
) -> float:
    """Return how strongly the health checks of a location concentrate on one cache at a time.

    The result is the share of the most checked cache in the health checks of a time slot and
    location, averaged over all slots and locations.

    An even distribution gives one divided by the number of caches, and a herd gives 1. Synchronized
    directors may change their cache in the middle of a slot, and a herd of all directors would then
    give only a half. The share is therefore computed with several start times of the slots, and the
    result is the maximum. It is 0 if there are too few health checks.

    Args:
        checks: Time in seconds and cache of each health check.
        caches: All caches by name.
        width_s: Width of a slot in seconds.
        min_checks: A slot with fewer health checks of a location is ignored for this location.
    """
    return max(
        _concentration(checks, caches, width_s, min_checks, width_s * phase / SLOT_PHASES)
        for phase in range(SLOT_PHASES)
    )


def _concentration(
    checks: list[tuple[float, str]],
    caches: dict[str, AuditedCache],
    width_s: float,
    min_checks: int,
    offset_s: float,
) -> float:
    slots: dict[tuple[int, str], Counter[str]] = defaultdict(Counter)
    for at_s, name in checks:
        slots[int((at_s + offset_s) / width_s), caches[name].location][name] += 1
    shares = [
        max(counts.values()) / counts.total()
        for counts in slots.values()
        if counts.total() >= min_checks
    ]
    return sum(shares) / len(shares) if shares else 0.0

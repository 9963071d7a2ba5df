"""How evenly load lies on caches; pure.

Loads are counts of first attempts by cache and second; a cache's fair share of its location's load
goes by capacity. A load ratio is the load over the fair share.
"""

import math
from bisect import bisect
from collections import Counter, defaultdict
from collections.abc import Iterable
from dataclasses import dataclass

from ...policy.rendezvous_hash import hash_integers

HOT_FRACTION = 0.02  # of a location's recent requests: an object above it gets one more cache
HOT_WINDOW_S = 10.0  # over which requests count as recent
HOT_MIN_REQUESTS = 200  # fewer recent requests count as so many
MIN_FAIR_RATE = 4.0  # requests a second that a cache must be due, or its ratio says nothing
OVERLOADED_RATIO = 2.0
UNDERLOADED_RATIO = 0.5
IDLE_RATIO = 0.2
RECOVERY_WINDOW_S = 3
SLOT_PHASES = 4  # starts of the slots that `concentration` tries

Loads = dict[int, Counter[str]]  # by second and cache


@dataclass(slots=True)
class AuditedCache:
    """A cache; its healthy spans are the times, in seconds, when it was reached and warm."""

    name: str
    hash_key: int
    location: str
    capacity: float
    healthy_spans: list[tuple[float, float]]

    def is_healthy_in(self, second: int) -> bool:
        """Return whether the cache was healthy for that whole second."""
        return any(first <= second and second + 1 <= last for first, last in self.healthy_spans)


@dataclass(slots=True)
class FirstAttempt:
    """The first attempt of one request."""

    at_s: float
    cache: str
    object_id: int


def percentile(values: Iterable[float], fraction: float) -> float:
    """Return the percentile given as a fraction; 0 where there are no values."""
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
    """Return the load ratios of healthy caches in those seconds, where they are known."""
    return [
        ratio
        for second in seconds
        for known_load_ratios in load_ratios(loads, caches, second).values()
        for ratio in known_load_ratios.values()
        if ratio is not None
    ]


def load_ratios(
    loads: Loads, caches: dict[str, AuditedCache], second: int
) -> dict[str, dict[str, float | None]]:
    """Return the load ratio by location and healthy cache.

    It is None where too few requests came. A location's load is divided among its healthy caches.
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
    """Return the caches by location that are healthy in that second."""
    found: dict[str, list[AuditedCache]] = defaultdict(list)
    for cache in caches.values():
        if cache.is_healthy_in(second):
            found[cache.location].append(cache)
    return found


def ideal_assignment(
    attempts: list[FirstAttempt], caches: dict[str, AuditedCache]
) -> list[FirstAttempt]:
    """Return the same requests as one who sees all of them would assign them under the design.

    They go by the directors' hash. An object above HOT_FRACTION of its location's requests gets
    one more cache for each such fraction, of which the one with the least load by capacity in this
    second is taken.
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
    """Return the caches in the directors' order for an object (weighted rendezvous hashing)."""
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

    That is, one cache has over twice its fair share while a peer of its location has under half.
    """
    found = []
    for second in seconds:
        for known_load_ratios in load_ratios(loads, caches, second).values():
            known = [ratio for ratio in known_load_ratios.values() if ratio is not None]
            if known and max(known) > OVERLOADED_RATIO and min(known) < UNDERLOADED_RATIO:
                found.append(second)
                break
    return found


def longest_idle_spans(
    loads: Loads, caches: dict[str, AuditedCache], seconds: list[int]
) -> dict[str, int]:
    """Return by cache the longest run of seconds in which it was healthy and nearly idle."""
    runs: Counter[str] = Counter()
    longest: dict[str, int] = dict.fromkeys(caches, 0)
    for second in seconds:
        ratio_by_cache = {
            name: ratio
            for known_load_ratios in load_ratios(loads, caches, second).values()
            for name, ratio in known_load_ratios.items()
        }
        for name in caches:
            ratio = ratio_by_cache.get(name)
            is_idle = ratio is not None and ratio < IDLE_RATIO
            runs[name] = runs[name] + 1 if is_idle else 0
            longest[name] = max(longest[name], runs[name])
    return longest


def max_share_change(shares: dict[int, dict[str, float]], seconds: Iterable[int]) -> float:
    """Return the largest change of one member's share between neighbouring seconds."""
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
    """Return the seconds until a cache has half of its fair share over three seconds.

    Where it never has, that is the rest of the play.

    Args:
        loads: The loads.
        caches: All caches by name.
        name: The cache.
        second: From when on.
        last: End of the play.
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
    """The healthy caches of its location, and itself where it is not among them."""
    peers = [
        other
        for other in caches.values()
        if other.location == cache.location and other.is_healthy_in(second)
    ]
    return peers if any(peer is cache for peer in peers) else [*peers, cache]


def slot_loads(
    attempts: list[tuple[float, str]], width_s: float, end_s: float
) -> tuple[list[str], list[list[int]]]:
    """Count attempts by name and slot of time; returns the names and a row of counts for each."""
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
    """Return the mean share of health checks in one slot and location that meet one cache.

    One over the location's caches is even; 1 is a herd. Directors in step change their cache at
    moments of their own, so slots begin at several phases: cut in the middle, a herd of all
    directors would show as half.

    Args:
        checks: When, in seconds, and which cache.
        caches: All caches by name.
        width_s: Width of a slot.
        min_checks: Slots with fewer are left out.
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

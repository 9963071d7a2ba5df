"""How evenly load lies on caches: pure. Loads are counts by cache and slot of time; a fair share
goes by capacity. The model reckons its figures here too.
"""

import math
from bisect import bisect
from collections import Counter, defaultdict
from collections.abc import Iterable
from dataclasses import dataclass

from ...policy.rendezvous_hash import mix

HOT_SHARE, HOT_SPAN, HOT_OF = (
    0.02,
    10.0,
    200,
)  # of a location's requests, over so many s; of so many
LEAST_FAIR = 4.0  # requests a second a cache must be due, or its share says nothing
TWICE, HALF, FIFTH = 2.0, 0.5, 0.2
PHASES = 4  # at which slots of questions may begin


@dataclass(slots=True)
class Box:
    """A cache: its location, its capacity, and when it was well and warm (s, from and to)."""

    name: str
    key: int
    location: str
    capacity: float
    well: list[tuple[float, float]]

    def well_in(self, second: int) -> bool:
        return any(first <= second and second + 1 <= last for first, last in self.well)


@dataclass(slots=True)
class Sent:
    """One request's first attempt."""

    at: float  # s
    box: str
    key: int


def percentile(values: Iterable[float], part: float) -> float:
    """0 where there are none."""
    held = sorted(values)
    return held[min(len(held) - 1, int(part * len(held)))] if held else 0.0


def by_second(sent: Iterable[Sent]) -> dict[int, Counter]:
    """Loads by second and cache."""
    found: dict[int, Counter] = defaultdict(Counter)
    for one in sent:
        found[int(one.at)][one.box] += 1
    return found


def ratios(loads: dict[int, Counter], boxes: dict[str, Box], seconds: Iterable[int]) -> list[float]:
    """Load over fair share, by cache and second, for caches that are well."""
    return [
        ratio
        for second in seconds
        for held in parts(loads, boxes, second).values()
        for ratio in held.values()
        if ratio is not None
    ]


def parts(
    loads: dict[int, Counter], boxes: dict[str, Box], second: int
) -> dict[str, dict[str, float | None]]:
    """By location and well cache its load over its fair share; None where too few requests came to
    tell. A location's load is shared out among its well caches.
    """
    found = {}
    for place, held in well_by_location(boxes, second).items():
        total = sum(loads[second][box.name] for box in held) if second in loads else 0
        capacity = sum(box.capacity for box in held)
        fair = {box.name: total * box.capacity / capacity for box in held}
        found[place] = {
            name: loads[second][name] / due if due >= LEAST_FAIR else None
            for name, due in fair.items()
        }
    return found


def well_by_location(boxes: dict[str, Box], second: int) -> dict[str, list[Box]]:
    found: dict[str, list[Box]] = defaultdict(list)
    for box in boxes.values():
        if box.well_in(second):
            found[box.location].append(box)
    return found


def all_seeing(sent: list[Sent], boxes: dict[str, Box]) -> list[Sent]:
    """The same requests as one who sees all of them would spread them under the design: by the
    directors' hash; an object above the hot share of its location's requests to one more cache for
    each such share, of which the one with the least load by capacity in this second is taken.
    """
    orders: dict[tuple[int, str], list[Box]] = {}
    recent: dict[str, list[tuple[float, int]]] = defaultdict(list)
    counts: dict[tuple[str, int], int] = Counter()
    load: dict[str, Counter] = defaultdict(Counter)
    found, second = [], -1
    for one in sorted(sent, key=lambda one: one.at):
        if int(one.at) != second:
            second, load = int(one.at), defaultdict(Counter)
            well = well_by_location(boxes, second)
            orders.clear()
        location = boxes[one.box].location
        held = recent[location]
        held.append((one.at, one.key))
        counts[location, one.key] += 1
        while held[0][0] < one.at - HOT_SPAN:
            counts[location, held.pop(0)[1]] -= 1
        if not well[location]:
            continue
        spot = one.key, location
        if spot not in orders:
            orders[spot] = rendezvous(well[location], one.key)
        share = counts[location, one.key] / max(len(held), HOT_OF)
        among = orders[spot][: 1 + int(share / HOT_SHARE)]
        best = min(among, key=lambda box: load[location][box.name] / box.capacity)
        load[location][best.name] += 1
        found.append(Sent(one.at, best.name, one.key))
    return found


def rendezvous(boxes: list[Box], key: int) -> list[Box]:
    """As the directors order them."""
    return sorted(
        boxes, key=lambda box: -math.log((mix(key, 0, box.key) + 1) / 2.0**64) / box.capacity
    )


def herd_seconds(
    loads: dict[int, Counter], boxes: dict[str, Box], seconds: Iterable[int]
) -> list[int]:
    """Seconds in which a cache has over twice its share while a peer of its location is
    under half.
    """
    found = []
    for second in seconds:
        for held in parts(loads, boxes, second).values():
            known = [ratio for ratio in held.values() if ratio is not None]
            if known and max(known) > TWICE and min(known) < HALF:
                found.append(second)
                break
    return found


def idle_spans(
    loads: dict[int, Counter], boxes: dict[str, Box], seconds: list[int]
) -> dict[str, int]:
    """By cache the longest run of seconds in which it was well and had under a fifth of
    its share.
    """
    runs: Counter = Counter()
    longest: dict[str, int] = dict.fromkeys(boxes, 0)
    for second in seconds:
        well = {
            name: ratio
            for held in parts(loads, boxes, second).values()
            for name, ratio in held.items()
        }
        for name in boxes:
            ratio = well.get(name)
            runs[name] = runs[name] + 1 if ratio is not None and ratio < FIFTH else 0
            longest[name] = max(longest[name], runs[name])
    return longest


def swings(shares: dict[int, dict[str, float]], seconds: Iterable[int]) -> float:
    """The largest change of one member's share between neighbouring seconds."""
    most = 0.0
    for second in seconds:
        if second in shares and second - 1 in shares:
            names = shares[second].keys() | shares[second - 1].keys()
            most = max(
                [
                    most,
                    *(
                        abs(shares[second].get(name, 0.0) - shares[second - 1].get(name, 0.0))
                        for name in names
                    ),
                ]
            )
    return most


def return_after(
    loads: dict[int, Counter], boxes: dict[str, Box], name: str, second: int, last: int
) -> float:
    """Seconds from `second` until the cache has had half of its share over three seconds; the rest
    of the play where it never has.
    """
    box = boxes[name]
    for now in range(second, last - 2):
        ours = fair = 0.0
        for step in range(now, now + 3):
            held = [
                other
                for other in boxes.values()
                if other.location == box.location and other.well_in(step)
            ] or [box]
            total = sum(
                loads[step][other.name]
                for other in {id(other): other for other in (*held, box)}.values()
            )
            fair += (
                total
                * box.capacity
                / sum(
                    other.capacity
                    for other in {id(other): other for other in (*held, box)}.values()
                )
            )
            ours += loads[step][name]
        if fair and ours >= HALF * fair:
            return float(now - second)
    return float(last - second)


def slot_loads(
    attempts: list[tuple[float, str]], width: float, until: float
) -> tuple[list[str], list[list[int]]]:
    """Counts by name and slot of `width` s."""
    names = sorted({name for _, name in attempts})
    place = {name: at for at, name in enumerate(names)}
    edges = [width * slot for slot in range(1, int(until / width) + 1)]
    found = [[0] * len(edges) for _ in names]
    for at, name in attempts:
        if 0.0 <= at < until:
            slot = bisect(edges, at)
            if slot < len(edges):
                found[place[name]][slot] += 1
    return names, found


def together(
    asked: list[tuple[float, str]], boxes: dict[str, Box], width: float = 0.5, least: int = 6
) -> float:
    """Of questions (s, cache) in one slot of time and location, the share that meets one cache: the
    mean over slots with `least` or more. One over the location's caches is even; 1 is a herd. Those
    who go in step turn at moments of their own, so slots begin at several: cut by the middle, a
    whole herd would show as half.
    """
    return max(
        _together(asked, boxes, width, least, width * begin / PHASES) for begin in range(PHASES)
    )


def _together(
    asked: list[tuple[float, str]], boxes: dict[str, Box], width: float, least: int, begin: float
) -> float:
    slots: dict[tuple[int, str], Counter] = defaultdict(Counter)
    for at, name in asked:
        slots[int((at + begin) / width), boxes[name].location][name] += 1
    shares = [max(held.values()) / held.total() for held in slots.values() if held.total() >= least]
    return sum(shares) / len(shares) if shares else 0.0

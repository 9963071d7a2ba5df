"""What clients ask for: rates, objects and who is asked, from a scenario and its seed; pure, time
is passed in. The model plays the same load.
"""

import itertools
import random
from bisect import bisect
from dataclasses import dataclass

from .plan import ON_LOAD, SIZE, Fault, Scenario

PAGES, ORDER, PAY = "pages", "order", "pay"
PAUSE = 100.0  # ms before a retry where nothing names a time
OUTSIZED = 40.0  # KB, of a new object that is ten times the usual


@dataclass(slots=True)
class Wanted:
    """One request to be asked."""

    request_class: str
    key: int
    size: float
    idempotency_key: str


def may_try_again(scenario: Scenario, wanted: Wanted, tries: int, left: float) -> bool:
    """Whether a client whose connection ended asks again, `left` ms before it stops waiting: never
    where the first try may have had an effect that no idempotency key covers.
    """
    return wanted.request_class != PAY and tries < scenario.tries and left > PAUSE


class Catalogue:
    """Objects by a Zipf law, some of them wanted in all locations."""

    def __init__(self, scenario: Scenario, location: str) -> None:
        self.scenario, self.base = scenario, (scenario.locations.index(location) + 2) << 32
        weights = [1.0 / (place + 1) ** scenario.skew for place in range(scenario.objects)]
        self.bounds = list(itertools.accumulate(weights))
        self.new = itertools.count(1)

    def key(self, draw: random.Random, hot: float, outsized: float) -> tuple[int, float]:
        """An object and its size in KB."""
        chance = draw.random()
        if chance < hot:
            return 0x77_0000_0001, SIZE
        if chance < hot + outsized:
            return self.base + (1 << 28) + next(self.new), OUTSIZED
        place = min(bisect(self.bounds, draw.random() * self.bounds[-1]), len(self.bounds) - 1)
        return (1 << 32 if draw.random() < self.scenario.shared else self.base) + place + 1, SIZE


class Demand:
    """Requests of one location's clients."""

    def __init__(self, scenario: Scenario, location: str) -> None:
        self.scenario, self.location = scenario, location
        self.random = random.Random(f"{scenario.seed}-load-{location}")
        self.catalogue = Catalogue(scenario, location)
        rates = scenario.rates()
        self.directors = scenario.here(location)
        self.rates = [rates[director] for director in self.directors]
        self.bounds = list(itertools.accumulate(self.rates))
        self.faults = [fault for fault in scenario.faults if fault.what in ON_LOAD]
        self.total_by_location = {
            name: sum(rates[one] for one in scenario.here(name)) for name in scenario.locations
        }

    def on(self, since: float, what: str) -> list[Fault]:
        return [
            fault
            for fault in self.faults
            if fault.what == what and fault.at <= since < fault.at + (fault.span or 1e9)
        ]

    def rate(self, since: float) -> float:
        """Requests a second, `since` s after the start."""
        rate = self.bounds[-1] if self.bounds else 0.0
        for fault in self.on(since, "burst"):
            if fault.location in ("", self.location):
                rate *= fault.by or 1.5
        for fault in self.on(since, "shift"):
            part = fault.by or 0.5
            if fault.location == self.location:
                rate *= 1.0 - part
            elif fault.other == self.location:
                rate += part * self.total_by_location[fault.location]
        return rate

    def next_in(self, since: float) -> float:
        """s until the next request."""
        rate = self.rate(since)
        return self.random.expovariate(rate) if rate > 0.0 else 0.05

    def wanted(self, since: float) -> Wanted:
        draw, scenario = self.random, self.scenario
        hot = sum(fault.by or 0.1 for fault in self.on(since, "hot"))
        outsized = sum(fault.by or 0.02 for fault in self.on(since, "outsized"))
        key, size = self.catalogue.key(draw, hot, outsized)
        chance, idempotency_key = draw.random(), ""
        if chance < scenario.orders:
            return Wanted(ORDER, key, SIZE, f"{draw.getrandbits(128):032x}")
        if chance < scenario.orders + scenario.effects:
            return Wanted(PAY, key, SIZE, idempotency_key)
        return Wanted(PAGES, key, size, idempotency_key)

    def director(self, away: set[int]) -> int | None:
        """Who is asked, by their parts of the load; those known to be away are passed by."""
        if not self.directors:
            return None
        for _ in range(8):
            found = self.directors[
                min(
                    bisect(self.bounds, self.random.random() * self.bounds[-1]),
                    len(self.directors) - 1,
                )
            ]
            if found not in away:
                return found
        left = [one for one in self.directors if one not in away]
        return self.random.choice(left) if left else None

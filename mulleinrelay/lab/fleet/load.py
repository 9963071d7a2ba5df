"""The load of a fleet scenario: rates, objects and the directors asked, from file and seed.

Pure; time is passed in. The processes of the lab and the simulation draw the same load.
"""

import itertools
import random
from bisect import bisect
from dataclasses import dataclass

from ...standins.client_protocol import DEFAULT_RETRY_DELAY
from .scenario import LOAD_FAULTS, OBJECT_SIZE_KB, FaultInjection, FleetScenario

# Request classes: reads, writes with an idempotency key, and writes without
PAGES = "pages"
ORDER = "order"
PAY = "pay"
OUTSIZED_KB = 40.0  # of a new object that is ten times the usual size
HOT_OBJECT_ID = 0x77_0000_0001  # the object that a `hot` fault adds requests for
SHARED_OBJECT_BASE = 1 << 32  # ids of objects that all locations request
NEW_OBJECT_OFFSET = 1 << 28  # within a location's ids, of objects requested once
IDLE_S = 0.05  # until the rate is looked up again where it is 0
DRAWS = 8  # of a director, before one is chosen among those that are not passed by

DEFAULT_BURST = 1.5  # factor of the rate
DEFAULT_SHIFT = 0.5  # fraction of the rate
DEFAULT_HOT = 0.1  # fraction of requests
DEFAULT_OUTSIZED = 0.02  # fraction of requests


@dataclass(slots=True)
class RequestPlan:
    """One request to be sent; `idempotency_key` is empty where it has none."""

    request_class: str
    object_id: int
    size_kb: float
    idempotency_key: str


def can_retry_after_disconnect(
    scenario: FleetScenario, plan: RequestPlan, tries: int, remaining_ms: float
) -> bool:
    """Return whether a client whose connection ended retries, with so much patience left.

    It never does where the first try may have had an effect that no idempotency key covers.
    """
    return (
        plan.request_class != PAY
        and tries < scenario.max_tries
        and remaining_ms > DEFAULT_RETRY_DELAY
    )


class ObjectCatalogue:
    """Objects by a Zipf law, some of them requested in all locations."""

    def __init__(self, scenario: FleetScenario, location: str) -> None:
        self.scenario = scenario
        self.first_id = (scenario.locations.index(location) + 2) << 32
        weights = [1.0 / (rank + 1) ** scenario.skew for rank in range(scenario.objects)]
        self.cumulative_weights = list(itertools.accumulate(weights))
        self.new_numbers = itertools.count(1)

    def draw_object(
        self, draw: random.Random, hot_fraction: float, outsized_fraction: float
    ) -> tuple[int, float]:
        """Return an object's id and its size in KB."""
        chance = draw.random()
        if chance < hot_fraction:
            return HOT_OBJECT_ID, OBJECT_SIZE_KB
        if chance < hot_fraction + outsized_fraction:
            return self.first_id + NEW_OBJECT_OFFSET + next(self.new_numbers), OUTSIZED_KB
        weights = self.cumulative_weights
        rank = min(bisect(weights, draw.random() * weights[-1]), len(weights) - 1)
        is_shared = draw.random() < self.scenario.shared_fraction
        base = SHARED_OBJECT_BASE if is_shared else self.first_id
        return base + rank + 1, OBJECT_SIZE_KB


class LocationLoad:
    """Requests of one location's clients. All draws come from one source, in a fixed order."""

    def __init__(self, scenario: FleetScenario, location: str) -> None:
        self.scenario = scenario
        self.location = location
        self.random = random.Random(f"{scenario.seed}-load-{location}")
        self.catalogue = ObjectCatalogue(scenario, location)
        rates = scenario.director_rates()
        self.directors = scenario.directors_in(location)
        self.rates = [rates[director] for director in self.directors]
        self.cumulative_rates = list(itertools.accumulate(self.rates))
        self.faults = [fault for fault in scenario.faults if fault.kind in LOAD_FAULTS]
        self.total_by_location = {
            name: sum(rates[director] for director in scenario.directors_in(name))
            for name in scenario.locations
        }

    def active_faults(self, since_start_s: float, kind: str) -> list[FaultInjection]:
        """Return the faults of that kind at that time."""
        return [
            fault
            for fault in self.faults
            if fault.kind == kind
            and fault.at_s <= since_start_s < fault.at_s + (fault.duration_s or 1e9)
        ]

    def rate_at(self, since_start_s: float) -> float:
        """Return the requests a second at that time."""
        rate = self.cumulative_rates[-1] if self.cumulative_rates else 0.0
        for fault in self.active_faults(since_start_s, "burst"):
            if fault.location in ("", self.location):
                rate *= fault.amount or DEFAULT_BURST
        for fault in self.active_faults(since_start_s, "shift"):
            fraction = fault.amount or DEFAULT_SHIFT
            if fault.location == self.location:
                rate *= 1.0 - fraction
            elif fault.other_location == self.location:
                rate += fraction * self.total_by_location[fault.location]
        return rate

    def next_arrival_in_s(self, since_start_s: float) -> float:
        """Draw the seconds until the next request."""
        rate = self.rate_at(since_start_s)
        return self.random.expovariate(rate) if rate > 0.0 else IDLE_S

    def draw_request(self, since_start_s: float) -> RequestPlan:
        """Draw the next request."""
        draw = self.random
        hot_fraction = sum(
            fault.amount or DEFAULT_HOT for fault in self.active_faults(since_start_s, "hot")
        )
        outsized_fraction = sum(
            fault.amount or DEFAULT_OUTSIZED
            for fault in self.active_faults(since_start_s, "outsized")
        )
        object_id, size_kb = self.catalogue.draw_object(draw, hot_fraction, outsized_fraction)
        chance = draw.random()
        if chance < self.scenario.order_fraction:
            return RequestPlan(ORDER, object_id, OBJECT_SIZE_KB, f"{draw.getrandbits(128):032x}")
        if chance < self.scenario.order_fraction + self.scenario.unsafe_fraction:
            return RequestPlan(PAY, object_id, OBJECT_SIZE_KB, "")
        return RequestPlan(PAGES, object_id, size_kb, "")

    def draw_director(self, excluded: set[int]) -> int | None:
        """Draw a director by its rate; those excluded are passed by. None: there is none left."""
        if not self.directors:
            return None
        weights = self.cumulative_rates
        for _ in range(DRAWS):
            index = bisect(weights, self.random.random() * weights[-1])
            director = self.directors[min(index, len(self.directors) - 1)]
            if director not in excluded:
                return director
        remaining = [director for director in self.directors if director not in excluded]
        return self.random.choice(remaining) if remaining else None

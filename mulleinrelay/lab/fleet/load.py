"""Load of a fleet scenario: arrival times, requested objects and chosen directors.

No I/O and no clock: the time is an argument. The lab's processes and the simulation both use this
module, so that they generate the same kind of load.
"""

import itertools
import random
from bisect import bisect
from dataclasses import dataclass

from ...standins.client_protocol import DEFAULT_RETRY_DELAY
from .scenario import LOAD_FAULTS, OBJECT_SIZE_KB, FaultInjection, FleetScenario

# Request classes: reads, writes with an idempotency key, and writes without one
PAGES = "pages"
ORDER = "order"
PAY = "pay"
OUTSIZED_KB = 40.0  # size of an outsized object: ten times OBJECT_SIZE_KB
HOT_OBJECT_ID = 0x77_0000_0001  # the object that a `hot` fault requests
SHARED_OBJECT_BASE = 1 << 32  # the ids of objects that are requested in all locations follow it
NEW_OBJECT_OFFSET = 1 << 28  # within a location's ids, for objects that are requested once
IDLE_S = 0.05  # interval between requests while the rate is 0
# After this many draws of excluded directors, one of the directors that are not excluded is drawn,
# all with equal probability.
MAX_DIRECTOR_DRAWS = 8

DEFAULT_BURST_FACTOR = 1.5  # by which a `burst` fault multiplies the rate
DEFAULT_SHIFT_FRACTION = 0.5  # of the location's rate
DEFAULT_HOT_FRACTION = 0.1  # of the requests
DEFAULT_OUTSIZED_FRACTION = 0.02  # of the requests


@dataclass(slots=True)
class RequestPlan:
    """One request to be sent; `idempotency_key` is empty if the request has none."""

    request_class: str
    object_id: int
    size_kb: float
    idempotency_key: str


def can_retry_after_disconnect(
    scenario: FleetScenario, plan: RequestPlan, tries: int, remaining_ms: float
) -> bool:
    """Return whether a client retries a request after the connection to the director ended.

    It retries while a try is left and more patience than the retry delay remains. A write without
    an idempotency key is never retried, as the director may have executed it.

    Args:
        scenario: The scenario.
        plan: The request.
        tries: Number of tries of the request so far.
        remaining_ms: Time until the client's patience ends, in ms.
    """
    return (
        plan.request_class != PAY
        and tries < scenario.max_tries
        and remaining_ms > DEFAULT_RETRY_DELAY
    )


class ObjectCatalogue:
    """Objects of one location with a Zipf distribution; some are shared with other locations."""

    def __init__(self, scenario: FleetScenario, location: str) -> None:
        self.scenario = scenario
        self.first_id = (scenario.locations.index(location) + 2) << 32
        weights = [1.0 / (rank + 1) ** scenario.skew for rank in range(scenario.objects)]
        self.cumulative_weights = list(itertools.accumulate(weights))
        self.new_numbers = itertools.count(1)

    def draw_object(
        self, rng: random.Random, hot_fraction: float, outsized_fraction: float
    ) -> tuple[int, float]:
        """Draw an object; return its id and its size in KB.

        Args:
            rng: Source of randomness.
            hot_fraction: Fraction of the requests that are for the object HOT_OBJECT_ID.
            outsized_fraction: Fraction of the requests that are for an outsized object, a new one
                each time.
        """
        chance = rng.random()
        if chance < hot_fraction:
            return HOT_OBJECT_ID, OBJECT_SIZE_KB
        if chance < hot_fraction + outsized_fraction:
            return self.first_id + NEW_OBJECT_OFFSET + next(self.new_numbers), OUTSIZED_KB
        weights = self.cumulative_weights
        rank = min(bisect(weights, rng.random() * weights[-1]), len(weights) - 1)
        is_shared = rng.random() < self.scenario.shared_fraction
        base = SHARED_OBJECT_BASE if is_shared else self.first_id
        return base + rank + 1, OBJECT_SIZE_KB


class LocationLoad:
    """Requests of the clients of one location.

    All random draws come from one generator. A seed therefore gives the same load as long as the
    methods are called in the same order with the same arguments. `since_start_s` is a time in
    seconds since the start of the play.
    """

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
        # Requests per second of each location while no fault changes them
        self.total_by_location = {
            name: sum(rates[director] for director in scenario.directors_in(name))
            for name in scenario.locations
        }

    def active_faults(self, since_start_s: float, kind: str) -> list[FaultInjection]:
        """Return the faults of this kind that are active at this time."""
        return [
            fault
            for fault in self.faults
            if fault.kind == kind
            and fault.at_s <= since_start_s < fault.at_s + (fault.duration_s or 1e9)
        ]

    def rate_at(self, since_start_s: float) -> float:
        """Return the location's requests per second at this time, as changed by active faults."""
        rate = self.cumulative_rates[-1] if self.cumulative_rates else 0.0
        for fault in self.active_faults(since_start_s, "burst"):
            if fault.location in ("", self.location):
                rate *= fault.amount or DEFAULT_BURST_FACTOR
        for fault in self.active_faults(since_start_s, "shift"):
            fraction = fault.amount or DEFAULT_SHIFT_FRACTION
            if fault.location == self.location:
                rate *= 1.0 - fraction
            elif fault.other_location == self.location:
                rate += fraction * self.total_by_location[fault.location]
        return rate

    def next_arrival_in_s(self, since_start_s: float) -> float:
        """Draw the time in seconds until the next request; IDLE_S if the rate is 0."""
        rate = self.rate_at(since_start_s)
        return self.random.expovariate(rate) if rate > 0.0 else IDLE_S

    def draw_request(self, since_start_s: float) -> RequestPlan:
        """Draw the request that is sent at this time."""
        rng = self.random
        hot_fraction = sum(
            fault.amount or DEFAULT_HOT_FRACTION
            for fault in self.active_faults(since_start_s, "hot")
        )
        outsized_fraction = sum(
            fault.amount or DEFAULT_OUTSIZED_FRACTION
            for fault in self.active_faults(since_start_s, "outsized")
        )
        object_id, size_kb = self.catalogue.draw_object(rng, hot_fraction, outsized_fraction)
        chance = rng.random()
        if chance < self.scenario.order_fraction:
            return RequestPlan(ORDER, object_id, OBJECT_SIZE_KB, f"{rng.getrandbits(128):032x}")
        if chance < self.scenario.order_fraction + self.scenario.unsafe_fraction:
            return RequestPlan(PAY, object_id, OBJECT_SIZE_KB, "")
        return RequestPlan(PAGES, object_id, size_kb, "")

    def draw_director(self, excluded: set[int]) -> int | None:
        """Draw a director of the location that is not excluded, weighted by its rate.

        After `MAX_DIRECTOR_DRAWS` draws of excluded directors, draw one of the others with equal
        weights. Return None if all directors are excluded or the location has none.
        """
        if not self.directors:
            return None
        weights = self.cumulative_rates
        for _ in range(MAX_DIRECTOR_DRAWS):
            index = bisect(weights, self.random.random() * weights[-1])
            director = self.directors[min(index, len(self.directors) - 1)]
            if director not in excluded:
                return director
        remaining = [director for director in self.directors if director not in excluded]
        return self.random.choice(remaining) if remaining else None

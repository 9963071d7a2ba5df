"""Fleet scenarios: which directors and nodes there are, their load, and the faults by time.

Pure: the same file and seed give the same directors, nodes, rates and steps. A wrong file raises a
ConfigError that names the key.
"""

import math
import random
from dataclasses import dataclass, field, replace

from ...errors import ConfigError
from ...standins.node_kinds import CACHE, ORIGIN, PARENT

MAX_DIRECTORS = 5_000  # in simulated time
MAX_CACHES = 2_000  # in simulated time
MAX_DIRECTOR_PROCESSES = 400
MAX_CACHES_ON_SOCKETS = 400

# Kinds of faults, by what they meet
PATH_FAULTS = ("cut", "reset", "delay", "loss", "trickle")
DIRECTOR_FAULTS = ("stop", "kill", "restart", "clock")
NODE_FAULTS = (
    "node_kill",
    "node_cold",
    "node_slow",
    "node_silent",
    "node_errors",
    "drain",
    "purge",
)
LOAD_FAULTS = ("hot", "shift", "burst", "outsized")
FAULT_KINDS = (*PATH_FAULTS, *DIRECTOR_FAULTS, *NODE_FAULTS, *LOAD_FAULTS, "late_list")

PATH_KINDS = ("cache", "parent", "stream", "director")
DIRECTIONS = ("both", "up", "down")  # up: from the director
CONCURRENT_ANSWERS = 4  # that a usual cache sends at a time, and its weight on the endpoint list
OBJECT_SIZE_KB = 4.0  # of a usual object

FIRST_NODE_NUMBER = 0x11
NODE_NUMBER_FACTOR = 2654435761  # Knuth's multiplicative hash spreads the nodes' hash keys
LARGE_FACTOR = 2.0  # capacity of a large cache, in usual ones
PARENT_FACTOR = 4.0  # capacity of a parent or the origin, in usual caches


@dataclass(slots=True)
class FaultInjection:
    """One fault as the scenario's file describes it.

    Attributes:
        kind: One of FAULT_KINDS.
        at_s: When it begins, in seconds from the start.
        duration_s: How long it lasts; 0: it doesn't end by itself.
        fraction: Fraction of the directors or nodes that it may meet.
        location: The only location that it meets; empty: all.
        path_kinds: Kinds of paths that a network fault meets.
        direction: Direction of a network fault, one of DIRECTIONS.
        amount: ms of delay or of a clock's step, factor of slowness, KB/s of a trickle, fraction
            of requests or probability of loss, by kind; 0: the kind's default.
        jitter_ms: Random delay beyond the delay.
        spread_s: Time over which restarts or returns are spread.
        director_fraction: Fraction of the directors that a node's fault shows itself to.
        nodes: The nodes that it meets; empty: they are drawn.
        other_location: Where load shifts to, or where the directors at a path's other end are.
    """

    name: str
    kind: str
    at_s: float
    duration_s: float
    fraction: float = 1.0
    location: str = ""
    path_kinds: tuple[str, ...] = ("cache", "parent")
    direction: str = "both"
    amount: float = 0.0
    jitter_ms: float = 0.0
    spread_s: float = 0.0
    director_fraction: float = 1.0
    nodes: tuple[str, ...] = ()
    other_location: str = ""


@dataclass(slots=True)
class ScenarioStep:
    """The start or the end of a fault, with the directors and nodes that it meets."""

    at_s: float
    name: str
    kind: str
    fault: FaultInjection
    directors: tuple[int, ...] = ()
    nodes: tuple[str, ...] = ()
    is_start: bool = True


@dataclass(slots=True)
class NodeSite:
    """One node: its zone is a location or a hub, its capacity a multiple of a usual cache's."""

    name: str
    kind: str
    zone: str
    capacity_factor: float


@dataclass(slots=True)
class FleetScenario:
    """A whole scenario; the defaults are those of the file. Capacities are in hits a second."""

    name: str = "fleet"
    seconds: float = 30.0
    warm_up_s: float = 6.0  # at the start, left out by the audit
    seed: int = 1

    directors: int = 40
    has_same_seeds: bool = False  # all directors with one seed: a herd planted for the audit
    rate_spread: float = 1.0  # of the directors' load: sigma of a log-normal distribution
    min_rate: float = 0.1  # requests a second of the least loaded director
    has_membership: bool = False  # directors gossip with each other, through the fault proxy
    shares_quotas: bool = False  # and lend each other slow-start quota
    memory_mb: float = 96.0
    max_descriptors: int = 1024
    polls_load_reports: bool = False

    locations: tuple[str, ...] = ("north", "south")
    caches: int = 6  # by location
    large_fraction: float = 0.5  # of the caches
    hubs: int = 2
    parents: int = 2  # by hub
    capacity: float = 60.0  # of a usual cache
    fill_cost: float = 2.0  # in hits
    parent_ms: float = 8.0
    hub_ms: float = 20.0  # to the other hub
    origin_ms: float = 30.0
    parent_capacity: float = 600.0
    origin_capacity: float = 1500.0
    max_copies: int = 4000
    parent_max_copies: int = 0
    initial_fraction: float = 0.2  # of its capacity that a started node has
    slow_start_ms: float = 12_000.0
    parent_slow_start_ms: float = 12_000.0
    crashes_on_overload: bool = True
    update_delay_ms: tuple[float, float] = (300.0, 1500.0)  # of endpoint updates, from and to

    rate: float = 400.0  # requests a second over the fleet
    objects: int = 1500  # by location
    skew: float = 0.8  # exponent of the Zipf popularity
    shared_fraction: float = 0.5  # of requests, for objects that all locations request
    order_fraction: float = 0.05  # of requests, with an idempotency key
    unsafe_fraction: float = 0.0  # of requests, neither idempotent nor with a key
    patience_ms: float = 2500.0
    latency_objective_ms: float = 500.0
    max_tries: int = 3
    answer_grace_ms: float = 100.0  # beyond the patience, after which an answer is missing
    failure_detection_ms: float = 1500.0  # until clients pass by a dead director

    client_processes: int = 3
    proxy_processes: int = 2
    faults: list[FaultInjection] = field(default_factory=list)

    @property
    def hit_ms(self) -> float:
        """Duration of a hit at an idle cache: its sending time."""
        return 1000.0 * CONCURRENT_ANSWERS / self.capacity

    @property
    def transfer_rate(self) -> float:
        """KB a second of one transfer."""
        return 1000.0 * OBJECT_SIZE_KB / self.hit_ms

    def zones(self) -> list[str]:
        """Return the names of all hubs and locations, in the order of the platform's settings."""
        return [f"hub{hub}" for hub in range(self.hubs)] + list(self.locations)

    def location_of(self, director: int) -> str:
        """Return the location of a director."""
        return self.locations[director % len(self.locations)]

    def directors_in(self, location: str) -> list[int]:
        """Return the numbers of a location's directors."""
        return [
            director for director in range(self.directors) if self.location_of(director) == location
        ]

    def node_sites(self) -> list[NodeSite]:
        """Return all nodes; their names end in the digits that every director hashes."""
        found = []
        number = FIRST_NODE_NUMBER
        for location in self.locations:
            for index in range(self.caches):
                is_large = index < round(self.large_fraction * self.caches)
                factor = LARGE_FACTOR if is_large else 1.0
                found.append(NodeSite(_node_name("c", number), CACHE, location, factor))
                number += 1
        for hub in range(self.hubs):
            for _ in range(self.parents):
                found.append(NodeSite(_node_name("p", number), PARENT, f"hub{hub}", PARENT_FACTOR))
                number += 1
        return [*found, NodeSite("o-0000f1", ORIGIN, "hub0", PARENT_FACTOR)]

    def director_rates(self) -> list[float]:
        """Return the requests a second of each director; before `min_rate` they sum to `rate`."""
        draw = random.Random(f"{self.seed}-rates")
        weights = [math.exp(draw.gauss(0.0, self.rate_spread)) for _ in range(self.directors)]
        scale = self.rate / sum(weights)
        return [max(self.min_rate, weight * scale) for weight in weights]

    def steps(self) -> list[ScenarioStep]:
        """Return the starts and ends of all faults by time."""
        found = []
        for fault in self.faults:
            found += _steps_of(self, fault, random.Random(f"{self.seed}-{fault.name}"))
        return sorted(found, key=lambda step: step.at_s)

    def with_directors(self, directors: int) -> "FleetScenario":
        """Return the same scenario with so many directors under the same load.

        Raises:
            ConfigError: The number is out of range.
        """
        if not 1 <= directors <= MAX_DIRECTORS:
            raise ConfigError(
                f"1 to {MAX_DIRECTORS} is wanted, not {directors}",
                section="directors",
                key="count",
            )
        return replace(self, directors=directors)

    def require_process_limits(self) -> "FleetScenario":
        """Return itself.

        Raises:
            ConfigError: It is too large to be played with processes and sockets.
        """
        caches = self.caches * len(self.locations)
        for section, key, count, limit in (
            ("directors", "count", self.directors, MAX_DIRECTOR_PROCESSES),
            ("nodes", "caches", caches, MAX_CACHES_ON_SOCKETS),
        ):
            if count > limit:
                raise ConfigError(
                    f"{count} are more than the {limit} that sockets play; see --model",
                    section=section,
                    key=key,
                )
        return self


def _node_name(prefix: str, number: int) -> str:
    return f"{prefix}-{number * NODE_NUMBER_FACTOR % 2**24:06x}"


def _steps_of(
    scenario: FleetScenario, fault: FaultInjection, draw: random.Random
) -> list[ScenarioStep]:
    """The steps of one fault. The order of the draws decides what a seed gives."""
    directors, nodes = _draw_targets(scenario, fault, draw)
    if fault.kind in ("restart", "kill") and fault.spread_s > 0.0:
        order = draw.sample(directors, len(directors))
        starts = [
            ScenarioStep(
                fault.at_s + fault.spread_s * index / len(order),
                fault.name,
                fault.kind,
                fault,
                (director,),
            )
            for index, director in enumerate(order)
        ]
        return starts + _returns(fault, order)
    start = ScenarioStep(fault.at_s, fault.name, fault.kind, fault, directors, nodes)
    if fault.duration_s <= 0.0:
        return [start]
    if fault.kind == "kill":
        return [start, *_returns(fault, list(directors))]
    return [start, replace(start, at_s=fault.at_s + fault.duration_s, is_start=False)]


def _draw_targets(
    scenario: FleetScenario, fault: FaultInjection, draw: random.Random
) -> tuple[tuple[int, ...], tuple[str, ...]]:
    """Draw the directors and nodes that a fault meets."""
    candidates = [
        director
        for director in range(scenario.directors)
        if not fault.location or scenario.location_of(director) == fault.location
    ]
    directors = tuple(sorted(draw.sample(candidates, round(fault.fraction * len(candidates)))))
    nodes = fault.nodes
    if fault.kind in NODE_FAULTS:
        if not nodes:
            caches = [
                site.name
                for site in scenario.node_sites()
                if site.kind == CACHE and fault.location in ("", site.zone)
            ]
            count = max(1, round(fault.fraction * len(caches)))
            nodes = tuple(sorted(draw.sample(caches, count)))
        count = round(fault.director_fraction * scenario.directors)
        directors = tuple(sorted(draw.sample(range(scenario.directors), count)))
    if fault.kind in PATH_FAULTS and fault.other_location:  # between directors of two locations
        nodes = tuple(str(director) for director in scenario.directors_in(fault.other_location))
    return directors, nodes


def _returns(fault: FaultInjection, order: list[int]) -> list[ScenarioStep]:
    """Starts of the directors that were killed, `duration_s` after each was."""
    if fault.kind != "kill" or fault.duration_s <= 0.0:
        return []
    return [
        ScenarioStep(
            fault.at_s + fault.duration_s + fault.spread_s * index / max(1, len(order)),
            fault.name,
            "kill",
            fault,
            (director,),
            (),
            False,
        )
        for index, director in enumerate(order)
    ]

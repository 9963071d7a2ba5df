"""Fleet scenarios: the directors and nodes, their load, and the schedule of faults.

No I/O and no clock: the same scenario, which contains the seed, always gives the same nodes, rates
and steps. A play is one run of a scenario. Every ConfigError names the section and the key of the
scenario file.
"""

import math
import random
from dataclasses import dataclass, field, replace

from ...errors import ConfigError
from ...standins.node_kinds import CACHE, ORIGIN, PARENT

MAX_DIRECTORS = 5_000  # in the simulation
MAX_CACHES = 2_000  # in the simulation
MAX_DIRECTOR_PROCESSES = 400  # in a play with processes
MAX_CACHES_ON_SOCKETS = 400  # in a play with processes

# Kinds of faults, by the component that they affect
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
# In this order: many requests for one object, load that moves to another location, a higher request
# rate, and requests for large objects
LOAD_FAULTS = ("hot", "shift", "burst", "outsized")
FAULT_KINDS = (*PATH_FAULTS, *DIRECTOR_FAULTS, *NODE_FAULTS, *LOAD_FAULTS, "late_list")

PATH_KINDS = ("cache", "parent", "stream", "director")
DIRECTIONS = ("both", "up", "down")  # up: from the director
CONCURRENT_ANSWERS = 4  # of a normal cache; also its weight in the endpoint list
OBJECT_SIZE_KB = 4.0  # of all objects except outsized ones

FIRST_NODE_NUMBER = 0x11
NODE_NUMBER_FACTOR = 2654435761  # Knuth's multiplicative hash spreads the nodes' hash keys
LARGE_FACTOR = 2.0  # capacity of a large cache, relative to a normal one
# `capacity_factor` of parents and the origin. Their capacity is set by `parent_capacity` and
# `origin_capacity`.
PARENT_FACTOR = 4.0


@dataclass(slots=True)
class FaultInjection:
    """A fault as described in the scenario file.

    Attributes:
        kind: One of FAULT_KINDS.
        at_s: Start of the fault, in seconds from the start of the play.
        duration_s: Duration of the fault; 0 if it does not end by itself.
        fraction: Fraction that is affected: of the caches in `location` if the kind is one of
            NODE_FAULTS, else of the directors in `location`.
        location: The only location that is affected; empty for all locations.
        path_kinds: Kinds of paths, from PATH_KINDS, that a network fault affects. A network fault
            is one whose kind is in PATH_FAULTS.
        direction: Direction of a network fault, one of DIRECTIONS.
        amount: Size of the fault; 0 for the default of its kind. By kind: ms of delay or of a
            clock step, seconds by which the events of the event stream are late, slowdown factor,
            KB/s of a trickle, probability of loss, fraction of the requests, or factor of the
            request rate.
        jitter_ms: Maximum random delay that a network fault adds to its fixed delay.
        spread_s: Period in seconds over which kills, restarts or starts after a kill are spread;
            0 if they are simultaneous.
        director_fraction: Fraction of the directors that observe the fault of a node, if its kind
            is `node_slow` or `node_errors`. All directors observe other faults.
        nodes: Names of the affected nodes. If empty, the fault of a node affects caches that are
            drawn at random, and a network fault affects all nodes on its paths.
        other_location: Location that receives shifted load, or location of the directors at the
            other end of a path between directors.
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
    """The start or the end of a fault.

    A fault that is spread has a start for each director. A kill with a duration also has an end for
    each director.

    Attributes:
        at_s: Time of the step, in seconds from the start of the play.
        name: Name of the fault.
        kind: Kind of the fault.
        directors: Directors that the fault affects. Of a fault of a node, those that observe it.
        nodes: Names of the nodes that the fault affects; empty for all nodes on the affected paths
            of a network fault. Of a network fault between directors, the numbers of the directors
            at the other end.
        is_start: True for the start and False for the end. The end of a kill is a new start of the
            director.
    """

    at_s: float
    name: str
    kind: str
    fault: FaultInjection
    directors: tuple[int, ...] = ()
    nodes: tuple[str, ...] = ()
    is_start: bool = True


@dataclass(slots=True)
class NodeSite:
    """One node with its zone: caches are in locations, parents and the origin are in hubs.

    `capacity_factor` is the capacity of a cache relative to a normal cache.
    """

    name: str
    kind: str
    zone: str
    capacity_factor: float


@dataclass(slots=True)
class FleetScenario:
    """A complete fleet scenario. Capacities are in hits per second.

    The defaults apply to keys that the scenario file does not set.
    """

    name: str = "fleet"
    seconds: float = 30.0  # length of the play, during which clients send new requests
    # At the start of the play; most of the audit's figures exclude it, but not its counts
    warm_up_s: float = 6.0
    seed: int = 1

    directors: int = 40
    has_same_seeds: bool = False  # all directors share one seed, to provoke a herd
    rate_spread: float = 1.0  # sigma of the log-normal distribution of the directors' load
    min_rate: float = 0.1  # requests per second that every director gets at least
    has_membership: bool = False  # directors gossip with each other through a fault proxy
    shares_quotas: bool = False  # directors lend each other slow-start quota
    memory_mb: float = 96.0  # memory limit in each director's configuration
    max_descriptors: int = 1024  # limit of sockets in each director's configuration
    polls_load_reports: bool = False  # directors poll caches for load reports

    locations: tuple[str, ...] = ("north", "south")
    caches: int = 6  # per location
    large_fraction: float = 0.5  # of the caches
    hubs: int = 2
    parents: int = 2  # per hub
    capacity: float = 60.0  # of a normal cache
    fill_cost: float = 2.0  # load of a fill, in hits
    parent_ms: float = 8.0  # answer delay of a parent
    hub_ms: float = 20.0  # latency to the other hub; read from the file, but not simulated
    origin_ms: float = 30.0  # answer delay of the origin
    parent_capacity: float = 600.0
    origin_capacity: float = 1500.0
    max_copies: int = 4000  # stored at a cache; 0: no maximum
    parent_max_copies: int = 0  # stored at a parent; 0: no maximum
    initial_fraction: float = 0.2  # fraction of its capacity that a node has after a restart
    slow_start_ms: float = 12_000.0  # of a cache
    parent_slow_start_ms: float = 12_000.0
    crashes_on_overload: bool = True  # caches and parents, during their slow start only
    # Minimum and maximum delay of endpoint updates
    update_delay_ms: tuple[float, float] = (300.0, 1500.0)

    rate: float = 400.0  # requests per second of the whole fleet
    objects: int = 1500  # per location
    skew: float = 0.8  # exponent of the Zipf distribution of popularity
    shared_fraction: float = 0.5  # of requests, for objects that are requested in all locations
    order_fraction: float = 0.05  # of requests: writes with an idempotency key
    unsafe_fraction: float = 0.0  # of requests: writes without an idempotency key
    patience_ms: float = 2500.0
    latency_objective_ms: float = 500.0
    max_tries: int = 3  # of a request, including the first
    answer_grace_ms: float = 100.0  # from the end of the patience until an answer counts as missing
    failure_detection_ms: float = 1500.0  # from a lost connection until clients check the director

    client_processes: int = 3  # load generators
    proxy_processes: int = 2  # fault proxies
    faults: list[FaultInjection] = field(default_factory=list)

    @property
    def hit_ms(self) -> float:
        """Answer delay of a cache in ms, which is the time to send the object of a hit."""
        return 1000.0 * CONCURRENT_ANSWERS / self.capacity

    @property
    def transfer_rate(self) -> float:
        """Rate of one transfer, in KB per second."""
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
        """Return all nodes; each name ends in the hexadecimal number that all directors hash."""
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
        """Return the requests per second of each director.

        The sum is `rate`, or more if some directors' rates had to be raised to `min_rate`.
        """
        rng = random.Random(f"{self.seed}-rates")
        weights = [math.exp(rng.gauss(0.0, self.rate_spread)) for _ in range(self.directors)]
        scale = self.rate / sum(weights)
        return [max(self.min_rate, weight * scale) for weight in weights]

    def steps(self) -> list[ScenarioStep]:
        """Return the starts and ends of all faults, ordered by time."""
        found = []
        for fault in self.faults:
            found += _steps_of(self, fault, random.Random(f"{self.seed}-{fault.name}"))
        return sorted(found, key=lambda step: step.at_s)

    def with_directors(self, directors: int) -> "FleetScenario":
        """Return a copy with this number of directors under the same load.

        Raises:
            ConfigError: If the number is out of range.
        """
        if not 1 <= directors <= MAX_DIRECTORS:
            raise ConfigError(
                f"expected 1 to {MAX_DIRECTORS}, found {directors}",
                section="directors",
                key="count",
            )
        return replace(self, directors=directors)

    def require_process_limits(self) -> "FleetScenario":
        """Return the scenario itself if it can be played with processes.

        Raises:
            ConfigError: If the scenario has too many directors or caches.
        """
        caches = self.caches * len(self.locations)
        for section, key, count, limit in (
            ("directors", "count", self.directors, MAX_DIRECTOR_PROCESSES),
            ("nodes", "caches", caches, MAX_CACHES_ON_SOCKETS),
        ):
            if count > limit:
                raise ConfigError(
                    f"{count} exceeds the limit of {limit} for a play with processes; see --model",
                    section=section,
                    key=key,
                )
        return self


def _node_name(prefix: str, number: int) -> str:
    return f"{prefix}-{number * NODE_NUMBER_FACTOR % 2**24:06x}"


def _steps_of(
    scenario: FleetScenario, fault: FaultInjection, rng: random.Random
) -> list[ScenarioStep]:
    """Return the steps of one fault.

    Reordering the random draws would change the steps that a seed gives.
    """
    directors, nodes = _draw_targets(scenario, fault, rng)
    if fault.kind in ("restart", "kill") and fault.spread_s > 0.0:
        order = rng.sample(directors, len(directors))
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
        return starts + _restarts_after_kill(fault, order)
    start = ScenarioStep(fault.at_s, fault.name, fault.kind, fault, directors, nodes)
    if fault.duration_s <= 0.0:
        return [start]
    if fault.kind == "kill":
        return [start, *_restarts_after_kill(fault, list(directors))]
    return [start, replace(start, at_s=fault.at_s + fault.duration_s, is_start=False)]


def _draw_targets(
    scenario: FleetScenario, fault: FaultInjection, rng: random.Random
) -> tuple[tuple[int, ...], tuple[str, ...]]:
    """Draw the directors and nodes of a fault's steps; see `ScenarioStep`."""
    candidates = [
        director
        for director in range(scenario.directors)
        if not fault.location or scenario.location_of(director) == fault.location
    ]
    directors = tuple(sorted(rng.sample(candidates, round(fault.fraction * len(candidates)))))
    nodes = fault.nodes
    if fault.kind in NODE_FAULTS:
        if not nodes:
            caches = [
                site.name
                for site in scenario.node_sites()
                if site.kind == CACHE and fault.location in ("", site.zone)
            ]
            count = max(1, round(fault.fraction * len(caches)))
            nodes = tuple(sorted(rng.sample(caches, count)))
        count = round(fault.director_fraction * scenario.directors)
        directors = tuple(sorted(rng.sample(range(scenario.directors), count)))
    if fault.kind in PATH_FAULTS and fault.other_location:  # between directors of two locations
        nodes = tuple(str(director) for director in scenario.directors_in(fault.other_location))
    return directors, nodes


def _restarts_after_kill(fault: FaultInjection, order: list[int]) -> list[ScenarioStep]:
    """Return the restart of each killed director, `duration_s` after its kill.

    Return nothing if the fault is no kill, or has no duration: such directors stay down.

    Args:
        fault: The fault.
        order: Killed directors in the order of their kills.
    """
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

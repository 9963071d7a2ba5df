"""What a fleet scenario says, and what follows from its seed: who stands where, who is asked how
often, and when each fault strikes whom. Pure; the same file and seed give the same plan.

A fault is a ConfigError whose text names the key.
"""

import math
import random
from dataclasses import dataclass, field, replace

from ...config.ini import IniSection, parse_sections
from ...errors import ConfigError

DIRECTORS_MOST, CACHES_MOST = 5_000, 2_000  # in simulated time
PROCESSES_MOST, NODES_MOST = 400, 400  # directors and caches of a lab on sockets
# What strikes a path between processes, and what strikes a process or a node
ON_PATHS = ("cut", "reset", "delay", "loss", "trickle")
ON_DIRECTORS = ("stop", "kill", "restart", "clock")
ON_NODES = ("node_kill", "node_cold", "node_slow", "node_silent", "node_errors", "drain", "purge")
ON_LOAD = ("hot", "shift", "burst", "outsized")
WHATS = (*ON_PATHS, *ON_DIRECTORS, *ON_NODES, *ON_LOAD, "late_list")
PATHS = ("cache", "parent", "stream", "director")
WAYS = ("both", "up", "down")  # up: from the director
AT_A_TIME = 4  # answers that a usual cache sends at a time, and its weight on the list
SIZE = 4.0  # KB of a usual object
BOX, PARENT, ORIGIN = "box", "parent", "origin"


@dataclass(slots=True)
class Fault:
    """One trouble, as the file words it."""

    name: str
    what: str
    at: float  # s
    span: float  # s; 0: it has no end of its own
    share: float = 1.0  # of those it may strike
    location: str = ""  # strikes there alone
    paths: tuple[str, ...] = ("cache", "parent")
    way: str = "both"
    # ms of delay or of a clock's step, times slower, KB/s of a trickle, share of requests, chance
    # of loss
    by: float = 0.0
    jitter: float = 0.0  # ms
    over: float = 0.0  # s over which a restart or a return is spread
    seen_by: float = 1.0  # share of the directors to whom a node shows it
    nodes: tuple[str, ...] = ()
    other: str = (
        ""  # the location that load shifts to, or whose directors are at the other end of a path
    )


@dataclass(slots=True)
class Strike:
    """A fault at its time, with whom it meets."""

    at: float
    name: str
    what: str
    fault: Fault
    directors: tuple[int, ...] = ()
    nodes: tuple[str, ...] = ()
    begins: bool = True  # False: what began has its end


@dataclass(slots=True)
class Site:
    """One node."""

    name: str
    kind: str
    place: str  # location or hub
    share: float  # of the usual capacity


@dataclass(slots=True)
class Scenario:
    name: str = "fleet"
    seconds: float = 30.0
    warm: float = 6.0  # s at the start that the audit leaves out
    seed: int = 1
    directors: int = 40
    one_seed: bool = False  # all directors with one seed: a planted herd
    uneven: float = 1.0  # spread of the directors' load, as of a log-normal law
    least: float = 0.1  # requests a second that the least asked director gets at the least
    talk: bool = False  # directors talk to each other, by way of the relay
    share: bool = False  # and lend each other parts of what cold nodes may be sent
    memory_mb: float = 96.0
    sockets: int = 1024
    locations: tuple[str, ...] = ("north", "south")
    caches: int = 6  # a location
    mixed: float = 0.5  # share of caches of twice the usual capacity
    hubs: int = 2
    parents: int = 2  # a hub
    capacity: float = 60.0  # hits a second of a usual cache, which sends four at a time
    fill_cost: float = 2.0  # of a fill, in hits
    parent_ms: float = 8.0
    hub_ms: float = 20.0  # to the other hub
    origin_ms: float = 30.0
    parent_capacity: float = 600.0
    origin_capacity: float = 1500.0
    holds: int = 4000
    parent_holds: int = 0
    cold_from: float = 0.2
    cold_ms: float = 12_000.0
    parent_cold_ms: float = 12_000.0
    falls: bool = True
    rate: float = 400.0  # requests a second over the fleet
    objects: int = 1500  # a location
    skew: float = 0.8
    shared: float = 0.5  # share of requests for objects that all locations want
    orders: float = 0.05
    effects: float = 0.0  # share of unsafe requests
    patience_ms: float = 2500.0
    goal_ms: float = 500.0
    tries: int = 3
    notice_ms: tuple[float, float] = (300.0, 1500.0)  # the list's delay
    late_ms: float = 100.0  # beyond its patience, after which an answer is missing
    front_ms: float = 1500.0  # clients notice a dead director after so long
    probes: bool = False  # load reports come to probes
    clients: int = 3  # processes
    relays: int = 2
    faults: list[Fault] = field(default_factory=list)

    @property
    def hit_ms(self) -> float:
        """What a hit takes where nobody else is served: its sending time."""
        return 1000.0 * AT_A_TIME / self.capacity

    @property
    def flow(self) -> float:
        """KB a second of one transfer."""
        return 1000.0 * SIZE / self.hit_ms

    # Who stands where

    def places(self) -> list[str]:
        return [f"hub{hub}" for hub in range(self.hubs)] + list(self.locations)

    def location_of(self, director: int) -> str:
        return self.locations[director % len(self.locations)]

    def hub_of(self, location: str) -> str:
        return f"hub{self.locations.index(location) % self.hubs}"

    def here(self, location: str) -> list[int]:
        return [
            director for director in range(self.directors) if self.location_of(director) == location
        ]

    def sites(self) -> list[Site]:
        """All nodes; their names end in digits that every director hashes alike."""
        found, number = [], 0x10
        for location in self.locations:
            for place in range(self.caches):
                number += 1
                large = place < round(self.mixed * self.caches)
                found.append(
                    Site(
                        f"c-{number * 2654435761 % 2**24:06x}", BOX, location, 2.0 if large else 1.0
                    )
                )
        for hub in range(self.hubs):
            for _ in range(self.parents):
                number += 1
                found.append(Site(f"p-{number * 2654435761 % 2**24:06x}", PARENT, f"hub{hub}", 4.0))
        return [*found, Site("o-0000f1", ORIGIN, "hub0", 4.0)]

    def rates(self) -> list[float]:
        """Requests a second of each director: unevenly, the sum is `rate`."""
        draw = random.Random(f"{self.seed}-rates")
        weights = [math.exp(draw.gauss(0.0, self.uneven)) for _ in range(self.directors)]
        scale = self.rate / sum(weights)
        return [max(self.least, weight * scale) for weight in weights]

    def strikes(self) -> list[Strike]:
        """All faults by time; from the file and the seed alone."""
        found = []
        for fault in self.faults:
            found += self._strikes_of(fault, random.Random(f"{self.seed}-{fault.name}"))
        return sorted(found, key=lambda strike: strike.at)

    def _strikes_of(self, fault: Fault, draw: random.Random) -> list[Strike]:
        directors = [
            director
            for director in range(self.directors)
            if not fault.location or self.location_of(director) == fault.location
        ]
        met = tuple(sorted(draw.sample(directors, round(fault.share * len(directors)))))
        nodes = fault.nodes
        if fault.what in ON_NODES and not nodes:
            boxes = [
                site.name
                for site in self.sites()
                if site.kind == BOX and fault.location in ("", site.place)
            ]
            nodes = tuple(sorted(draw.sample(boxes, max(1, round(fault.share * len(boxes))))))
        if fault.what in ON_PATHS and fault.other:  # between directors of two locations alone
            nodes = tuple(str(director) for director in self.here(fault.other))
        if fault.what in ON_NODES:
            met = tuple(
                sorted(draw.sample(range(self.directors), round(fault.seen_by * self.directors)))
            )
        if fault.what in ("restart", "kill") and fault.over > 0.0:
            order = draw.sample(met, len(met))
            return [
                Strike(
                    fault.at + fault.over * place / len(order),
                    fault.name,
                    fault.what,
                    fault,
                    (one,),
                )
                for place, one in enumerate(order)
            ] + self._returns(fault, order)
        begins = Strike(fault.at, fault.name, fault.what, fault, met, nodes)
        if fault.what in ("kill",) and fault.span > 0.0:
            return [begins, *self._returns(fault, list(met))]
        ends = [Strike(fault.at + fault.span, fault.name, fault.what, fault, met, nodes, False)]
        return [begins] + (ends if fault.span > 0.0 else [])

    def _returns(self, fault: Fault, order: list[int]) -> list[Strike]:
        """Directors that were killed start again, `span` after each was."""
        if fault.what != "kill" or fault.span <= 0.0:
            return []
        return [
            Strike(
                fault.at + fault.span + fault.over * place / max(1, len(order)),
                fault.name,
                "kill",
                fault,
                (one,),
                (),
                False,
            )
            for place, one in enumerate(order)
        ]

    def sized(self, directors: int) -> "Scenario":
        """The same with so many directors, under the same load."""
        if not 1 <= directors <= DIRECTORS_MOST:
            raise ConfigError(
                f"[directors] count: 1 to {DIRECTORS_MOST} is wanted, not {directors}"
            )
        return replace(self, directors=directors)

    def on_sockets(self) -> "Scenario":
        """Itself, where a lab on sockets can play it. Raises ConfigError."""
        caches = self.caches * len(self.locations)
        for key, count, most in (
            ("[directors] count", self.directors, PROCESSES_MOST),
            ("[nodes] caches", caches, NODES_MOST),
        ):
            if count > most:
                raise ConfigError(
                    f"{key}: {count} are more than the {most} that sockets play; see --model"
                )
        return self


def read_fleet(text: str) -> Scenario:
    """Raises ConfigError, whose text names the key."""
    found = parse_sections(text)
    plain = Scenario()
    faults = []
    lab, directors, fleet, load = (
        IniSection(title, found.pop(title, {}))
        for title in ("fleet lab", "directors", "nodes", "load")
    )
    for title, held in found.items():
        kind, _, name = title.partition(" ")
        if kind != "fault" or not name:
            raise ConfigError(
                f"[{title}]: an unknown section; known are fleet lab, directors, nodes, load, fault NAME"
            )
        faults.append(_fault(IniSection(title, held), name))
    locations = fleet.names("locations", "north south")
    if not locations:
        raise fleet.error("locations", "names are wanted")
    scenario = Scenario(
        name=lab.text("name", plain.name),
        seconds=lab.number("seconds", plain.seconds, 900.0, 1.0),
        warm=lab.number("warm_s", plain.warm, 300.0),
        seed=lab.integer("seed", plain.seed),
        clients=lab.integer("client_processes", plain.clients, 16) or 1,
        relays=lab.integer("relay_processes", plain.relays, 16) or 1,
        directors=directors.integer("count", plain.directors, DIRECTORS_MOST) or 1,
        one_seed=directors.flag("one_seed", False),
        talk=directors.flag("talk", False),
        share=directors.flag("share", False),
        uneven=directors.number("uneven", plain.uneven, 3.0),
        least=directors.number("least_rate", plain.least, 1e3),
        memory_mb=directors.number("memory_mb", plain.memory_mb, 4096.0, 32.0),
        sockets=directors.integer("sockets", plain.sockets, 65_536),
        probes=directors.flag("probes", plain.probes),
        locations=locations,
        caches=fleet.integer("caches", plain.caches, CACHES_MOST) or 1,
        mixed=fleet.number("large_share", plain.mixed, 1.0),
        hubs=fleet.integer("hubs", plain.hubs, 8) or 1,
        parents=fleet.integer("parents", plain.parents, 64) or 1,
        capacity=fleet.number("capacity", plain.capacity, 1e6, 1.0),
        fill_cost=fleet.number("fill_cost", plain.fill_cost, 1e3, 1.0),
        parent_ms=fleet.number("parent_ms", plain.parent_ms),
        hub_ms=fleet.number("hub_ms", plain.hub_ms),
        origin_ms=fleet.number("origin_ms", plain.origin_ms),
        parent_capacity=fleet.number("parent_capacity", plain.parent_capacity, 1e6, 1.0),
        origin_capacity=fleet.number("origin_capacity", plain.origin_capacity, 1e6, 1.0),
        holds=fleet.integer("holds", plain.holds),
        parent_holds=fleet.integer("parent_holds", plain.parent_holds),
        cold_from=fleet.number("cold_from", plain.cold_from, 1.0, 0.01),
        cold_ms=fleet.number("cold_ms", plain.cold_ms),
        parent_cold_ms=fleet.number("parent_cold_ms", plain.parent_cold_ms),
        falls=fleet.flag("falls", plain.falls),
        notice_ms=(
            fleet.number("notice_from_ms", plain.notice_ms[0]),
            fleet.number("notice_to_ms", plain.notice_ms[1]),
        ),
        rate=load.number("rate", plain.rate, 1e5, 0.1),
        objects=load.integer("objects", plain.objects) or 1,
        skew=load.number("skew", plain.skew, 3.0),
        shared=load.number("shared", plain.shared, 1.0),
        orders=load.number("orders", plain.orders, 1.0),
        effects=load.number("effects", plain.effects, 1.0),
        patience_ms=load.number("patience_ms", plain.patience_ms, 60_000.0, 100.0),
        goal_ms=load.number("goal_ms", plain.goal_ms, 60_000.0, 10.0),
        tries=load.integer("tries", plain.tries, 10) or 1,
        late_ms=load.number("late_ms", plain.late_ms),
        front_ms=load.number("front_ms", plain.front_ms),
        faults=faults,
    )
    for keys in (lab, directors, fleet, load):
        keys.reject_unknown_keys()
    if scenario.caches * len(locations) > CACHES_MOST:
        raise fleet.error("caches", f"over {CACHES_MOST} in all")
    if scenario.warm >= scenario.seconds:
        raise lab.error("warm_s", "less than `seconds` is wanted")
    if scenario.notice_ms[0] > scenario.notice_ms[1]:
        raise fleet.error("notice_to_ms", "no less than notice_from_ms is wanted")
    _check(scenario)
    return scenario


def _check(scenario: Scenario) -> None:
    names = {site.name for site in scenario.sites()}
    for fault in scenario.faults:
        keys = IniSection(f"fault {fault.name}", {})
        for key, place in (("location", fault.location), ("other", fault.other)):
            if place and place not in scenario.locations:
                raise keys.error(key, f"no location {place!r}")
        if strange := sorted(set(fault.nodes) - names):
            raise keys.error("nodes", f"no node {strange[0]!r}")
        if fault.what in ON_PATHS and fault.other and fault.paths != ("director",):
            raise keys.error("other", "of a path it goes with paths = director")
        if fault.what == "shift" and not (fault.location and fault.other):
            raise keys.error("other", "a shift wants `location` and `other`")
        if fault.at + fault.span > scenario.seconds:
            raise keys.error("for", f"it ends after the play's {scenario.seconds:g} s")


def _fault(keys: IniSection, name: str) -> Fault:
    what = keys.choice("what", WHATS, "")
    paths = keys.names("paths", "stream" if what == "late_list" else "cache parent")
    for path in paths:
        if path not in PATHS:
            raise keys.error("paths", f"one of {', '.join(PATHS)} is wanted, not {path!r}")
    fault = Fault(
        name,
        what,
        keys.number("at"),
        keys.number("for", 0.0),
        keys.number("share", 1.0, 1.0),
        keys.text("location", ""),
        paths,
        keys.choice("way", WAYS, "both"),
        keys.number("by", 0.0, 1e9, -1e9 if what == "clock" else 0.0),
        keys.number("jitter_ms", 0.0),
        keys.number("over", 0.0),
        keys.number("seen_by", 1.0, 1.0),
        keys.names("nodes"),
        keys.text("other", ""),
    )
    keys.reject_unknown_keys()
    return fault

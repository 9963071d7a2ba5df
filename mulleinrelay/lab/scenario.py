"""What a scenario file says; pure. Sections [cell NAME], [tenant NAME], [limits] are those of an
assignment."""

from dataclasses import dataclass, field

from ..cells.model import Assignment
from ..cells.parser import read
from ..config.ini import IniSection, parse_sections
from ..errors import ConfigError
from ..standins.load_generator import TenantLoad

FAULTS = ("kill", "revive", "cold", "slow", "silent", "well", "drain", "ready", "purge")
DEEDS = (*FAULTS, "move", "cut", "abort")
OURS = ("lab", "fleet", "director")


@dataclass(slots=True)
class ScenarioStep:
    """Something that happens at its second: a fault of a node, or a change of the assignment."""

    name: str
    at: float
    what: str
    node: str = ""
    tenants: tuple[str, ...] = ()
    target: str = ""
    warm: float = 0.0
    shift: float = 0.0
    drain: float = 0.0


@dataclass(slots=True)
class Scenario:
    seconds: float
    directors: int
    seed: int
    cells: bool
    management: bool
    caches: tuple[str, ...]
    parents: int
    capacity: float
    fill_cost: float
    hit_delay: float
    fill_delay: float
    origin_delay: float
    origin_capacity: float
    initial_fraction: float
    slow_start_duration: float
    crashes_on_overload: bool
    parent_max_copies: int
    max_open_requests: int
    rate: float
    assignment: Assignment
    loads: list[TenantLoad] = field(default_factory=list)
    steps: list[ScenarioStep] = field(default_factory=list)


def parse_scenario(text: str) -> Scenario:
    """Raises ConfigError, whose text names the key."""
    found = parse_sections(text)
    lab, fleet, director = (IniSection(title, found.pop(title, {})) for title in OURS)
    demands, deeds, ours = [], [], {}
    for title, held in found.items():
        kind, _, name = title.partition(" ")
        keys = IniSection(title, held)
        if kind == "load":
            demands.append(_demand(keys, name))
            keys.reject_unknown_keys()
        elif kind == "deed":
            deeds.append(_deed(keys, name))
            keys.reject_unknown_keys()
        else:
            ours[title] = held
    ours.setdefault("assignment", {})
    ours["assignment"] = {
        "form": "1",
        "version": "1",
        "written": "0",
        "spread_ms": "1000",
        "skew_ms": "200",
        "horizon_ms": "4000",
    } | ours["assignment"]
    charter = read(
        "\n".join(
            f"[{title}]\n" + "\n".join(f"{key} = {value}" for key, value in held.items())
            for title, held in ours.items()
        )
    )
    names = fleet.names("caches")
    if not names:
        raise fleet.error("caches", "names of caches are wanted")
    scenario = Scenario(
        seconds=lab.number("seconds", 10.0, 600.0, 1.0),
        directors=lab.integer("directors", 1, 8) or 1,
        seed=lab.integer("seed", 1),
        cells=lab.flag("cells", True),
        management=lab.flag("management", False),
        caches=names,
        parents=fleet.integer("parents", 2, 16),
        capacity=fleet.number("capacity", 400.0, 1e6, 1.0),
        fill_cost=fleet.number("fill_cost", 4.0, 1e3, 1.0),
        hit_delay=fleet.number("hit_ms", 2.0),
        fill_delay=fleet.number("fill_ms", 10.0),
        origin_delay=fleet.number("origin_ms", 30.0),
        origin_capacity=fleet.number("origin_capacity", 2_000.0),
        initial_fraction=fleet.number("cold_from", 1.0, 1.0),
        slow_start_duration=fleet.number("cold_ms", 0.0),
        crashes_on_overload=fleet.flag("falls", False),
        parent_max_copies=fleet.integer("parent_holds", 0),
        max_open_requests=director.integer("open_most", 0),
        rate=director.number("rate", 0.0),
        assignment=charter,
        loads=demands,
        steps=sorted(deeds, key=lambda deed: deed.at),
    )
    for keys in (lab, fleet, director):
        keys.reject_unknown_keys()
    for demand in demands:
        if (
            scenario.cells
            and demand.tenant not in charter.tenants
            and charter.unknown_tenant_policy == "reject"
        ):
            raise ConfigError(f"[load {demand.tenant}]: no such tenant")
    for deed in deeds:
        if (
            deed.node
            and deed.what != "purge"
            and deed.node not in names
            and deed.node[:1] not in "po"
        ):
            raise ConfigError(f"[deed {deed.name}] node: no cache {deed.node!r}")
    return scenario


def _demand(keys: IniSection, tenant: str) -> TenantLoad:
    bursts = []
    if keys.number("burst_rate", 0.0):
        bursts = [(keys.number("burst_at"), keys.number("burst_until"), keys.number("burst_rate"))]
    return TenantLoad(
        tenant,
        keys.number("rate"),
        keys.integer("objects", 200) or 1,
        keys.number("orders", 0.0, 1.0),
        keys.number("skew", 0.8, 3.0),
        keys.number("patience_ms", 1_500.0, 60_000.0, 10.0),
        keys.integer("tries", 3, 10),
        keys.integer("connections", 2, 64) or 1,
        bursts,
    )


def _deed(keys: IniSection, name: str) -> ScenarioStep:
    what = keys.choice("what", DEEDS, "")
    deed = ScenarioStep(name, keys.number("at"), what)
    if what in FAULTS:
        deed.node = keys.text("node")
    elif what == "abort":
        deed.target = keys.text("move")
    else:
        deed.tenants, deed.target = keys.names("tenants"), keys.text("to")
        if what == "move":
            deed.warm, deed.shift = (
                keys.number("warm_ms", 1_000.0),
                keys.number("shift_ms", 3_000.0),
            )
            deed.drain = keys.number("drain_ms", 1_000.0)
    return deed

"""Scenarios of the lab of tenants and the parser of their INI files.

A scenario file consists of the lab's own sections and of the sections of an assignment file, such
as [cell NAME], [tenant NAME] and [limits].
"""

from dataclasses import dataclass, field
from typing import Any

from ..cells.model import Assignment
from ..cells.parser import parse_assignment
from ..config.ini import IniSection, parse_sections
from ..errors import ConfigError
from ..standins.load_generator import TenantLoad

NODE_FAULTS = ("kill", "revive", "cold", "slow", "silent", "well", "drain", "ready", "purge")
STEP_KINDS = (*NODE_FAULTS, "move", "cut", "abort")
LAB_SECTIONS = ("lab", "fleet", "director")
# First letters of the names of parents and the origin, which a scenario file does not list
UNLISTED_NODE_PREFIXES = "po"
ASSIGNMENT_DEFAULTS = {
    "form": "1",
    "version": "1",
    "written": "0",
    "spread_ms": "1000",
    "skew_ms": "200",
    "horizon_ms": "4000",
}

Sections = dict[str, dict[str, str]]


@dataclass(slots=True)
class ScenarioStep:
    """A step of a scenario: a change of a node, a purge or a change of the assignment.

    A node is the stand-in of a cache, a parent or the origin.

    Attributes:
        name: Name of the step; with `move`, also the name of the migration.
        at_s: Time of the step in seconds since the start of the load.
        kind: One of STEP_KINDS. `move` starts a migration of tenants, `abort` aborts it, and `cut`
            moves tenants to another cell without a migration. `LoopbackEnvironment.inject_fault`
            describes the other kinds.
        node: Name of the node that the step changes; with `purge`, the id of the object.
        tenants: Tenants that `move` or `cut` moves.
        target: Cell to which the tenants are moved; with `abort`, the name of the migration.
        warm_up_ms: Duration of the migration's warm-up stage.
        shift_ms: Duration of the migration's shift stage.
        drain_ms: Duration of the migration's drain stage.
    """

    name: str
    at_s: float
    kind: str
    node: str = ""
    tenants: tuple[str, ...] = ()
    target: str = ""
    warm_up_ms: float = 0.0
    shift_ms: float = 0.0
    drain_ms: float = 0.0


@dataclass(slots=True)
class Scenario:
    """A scenario. Capacities are in hits per second, delays in ms.

    Attributes:
        seconds: Duration of the load, in seconds.
        directors: Number of directors.
        seed: Seed of the load; the directors get this and the following numbers as seeds.
        cells: Whether the directors use `assignment`.
        management: Whether the directors serve gNMI.
        caches: Names of the caches.
        parents: Number of parents.
        capacity: Capacity of a cache. That of a parent is higher by the factor
            PARENT_CAPACITY_FACTOR of `runner.py`.
        fill_cost: Work of a fill at a cache, in hits.
        hit_delay: Answer delay of a cache.
        fill_delay: Answer delay of a parent.
        origin_delay: Answer delay of the origin.
        initial_fraction: Fraction of its capacity that a cache has right after a restart.
        slow_start_duration: Time from a restart until a cache has its full capacity again, in ms.
        crashes_on_overload: Whether a cache that is overloaded for too long crashes.
        parent_max_copies: Maximum number of copies that a parent stores; 0: no maximum.
        max_open_requests: Maximum number of open requests per director; 0: no maximum. Not used
            if `cells` is not set.
        rate: Requests per second that each director admits; 0: no limit. Not used if `cells` is not
            set.
        assignment: Assignment of tenants to cells; not used if `cells` is not set.
        loads: Loads of the tenants.
        steps: Steps, ordered by time.
    """

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
    """Parse a scenario.

    Raises:
        ConfigError: If the scenario is invalid; the message names the section and the key, if any.
    """
    sections = parse_sections(text)
    lab, fleet, director = (IniSection(title, sections.pop(title, {})) for title in LAB_SECTIONS)
    loads: list[TenantLoad] = []
    steps: list[ScenarioStep] = []
    assignment_sections: Sections = {}
    for title, values in sections.items():
        kind, _, name = title.partition(" ")
        section = IniSection(title, values)
        if kind == "load":
            loads.append(_parse_load(section, name))
            section.reject_unknown_keys()
        elif kind == "deed":
            steps.append(_parse_step(section, name))
            section.reject_unknown_keys()
        else:
            assignment_sections[title] = values
    assignment = _parse_assignment(assignment_sections)
    caches = fleet.names("caches")
    if not caches:
        raise fleet.error("caches", "at least one cache name is required")
    scenario = Scenario(
        **_parse_lab_fields(lab),
        caches=caches,
        **_parse_fleet_fields(fleet),
        max_open_requests=director.integer("open_most", 0),
        rate=director.number("rate", 0.0),
        assignment=assignment,
        loads=loads,
        steps=sorted(steps, key=lambda step: step.at_s),
    )
    for section in (lab, fleet, director):
        section.reject_unknown_keys()
    _check_loads(scenario, loads)
    _check_steps(scenario, steps)
    return scenario


def _parse_assignment(sections: Sections) -> Assignment:
    """Parse the sections of the assignment.

    Keys that are missing in [assignment] get the values in ASSIGNMENT_DEFAULTS.
    """
    sections.setdefault("assignment", {})
    sections["assignment"] = ASSIGNMENT_DEFAULTS | sections["assignment"]
    section_texts = (
        f"[{title}]\n" + "\n".join(f"{key} = {value}" for key, value in values.items())
        for title, values in sections.items()
    )
    return parse_assignment("\n".join(section_texts))


def _parse_lab_fields(section: IniSection) -> dict[str, Any]:
    return {
        "seconds": section.number("seconds", 10.0, 600.0, 1.0),
        "directors": section.integer("directors", 1, 8) or 1,
        "seed": section.integer("seed", 1),
        "cells": section.flag("cells", True),
        "management": section.flag("management", False),
    }


def _parse_fleet_fields(section: IniSection) -> dict[str, Any]:
    return {
        "parents": section.integer("parents", 2, 16),
        "capacity": section.number("capacity", 400.0, 1e6, 1.0),
        "fill_cost": section.number("fill_cost", 4.0, 1e3, 1.0),
        "hit_delay": section.number("hit_ms", 2.0),
        "fill_delay": section.number("fill_ms", 10.0),
        "origin_delay": section.number("origin_ms", 30.0),
        "origin_capacity": section.number("origin_capacity", 2_000.0),
        "initial_fraction": section.number("cold_from", 1.0, 1.0),
        "slow_start_duration": section.number("cold_ms", 0.0),
        "crashes_on_overload": section.flag("falls", False),
        "parent_max_copies": section.integer("parent_holds", 0),
    }


def _check_loads(scenario: Scenario, loads: list[TenantLoad]) -> None:
    rejects_unknown = scenario.cells and scenario.assignment.unknown_tenant_policy == "reject"
    for load in loads:
        if rejects_unknown and load.tenant not in scenario.assignment.tenants:
            raise ConfigError(
                f"tenant {load.tenant!r} is not in the assignment", section=f"load {load.tenant}"
            )


def _check_steps(scenario: Scenario, steps: list[ScenarioStep]) -> None:
    for step in steps:
        exists = step.node in scenario.caches or step.node[:1] in UNLISTED_NODE_PREFIXES
        if step.node and step.kind != "purge" and not exists:
            raise ConfigError(
                f"node {step.node!r} does not exist", section=f"deed {step.name}", key="node"
            )


def _parse_load(section: IniSection, tenant: str) -> TenantLoad:
    bursts = []
    if section.number("burst_rate", 0.0):
        burst_starts_s = section.number("burst_at")
        burst_ends_s = section.number("burst_until")
        bursts = [(burst_starts_s, burst_ends_s, section.number("burst_rate"))]
    return TenantLoad(
        tenant=tenant,
        rate=section.number("rate"),
        object_count=section.integer("objects", 200) or 1,
        order_fraction=section.number("orders", 0.0, 1.0),
        skew=section.number("skew", 0.8, 3.0),
        patience=section.number("patience_ms", 1_500.0, 60_000.0, 10.0),
        max_tries=section.integer("tries", 3, 10),
        connections_per_director=section.integer("connections", 2, 64) or 1,
        bursts=bursts,
    )


def _parse_step(section: IniSection, name: str) -> ScenarioStep:
    kind = section.choice("what", STEP_KINDS, "")
    step = ScenarioStep(name, section.number("at"), kind)
    if kind in NODE_FAULTS:
        step.node = section.text("node")
    elif kind == "abort":
        step.target = section.text("move")
    else:
        step.tenants = section.names("tenants")
        step.target = section.text("to")
        if kind == "move":
            step.warm_up_ms = section.number("warm_ms", 1_000.0)
            step.shift_ms = section.number("shift_ms", 3_000.0)
            step.drain_ms = section.number("drain_ms", 1_000.0)
    return step

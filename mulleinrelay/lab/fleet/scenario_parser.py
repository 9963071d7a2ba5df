"""Parser for the INI files of fleet scenarios. No I/O: the text is an argument."""

from typing import Any

from ...config.ini import IniSection, parse_sections
from ...errors import ConfigError
from .scenario import (
    DIRECTIONS,
    FAULT_KINDS,
    MAX_CACHES,
    MAX_DIRECTORS,
    PATH_FAULTS,
    PATH_KINDS,
    FaultInjection,
    FleetScenario,
)

SECTIONS = ("fleet lab", "directors", "nodes", "load")
DEFAULTS = FleetScenario()


def parse_fleet_scenario(text: str) -> FleetScenario:
    """Parse a scenario.

    Raises:
        ConfigError: If the scenario is invalid; the message names the section and the key, if any.
    """
    sections = parse_sections(text)
    lab, directors, nodes, load = (IniSection(title, sections.pop(title, {})) for title in SECTIONS)
    faults = [_parse_fault_section(title, values) for title, values in sections.items()]
    locations = nodes.names("locations", "north south")
    if not locations:
        raise nodes.error("locations", "expected one or more names, found none")
    scenario = FleetScenario(
        **_lab_fields(lab),
        **_director_fields(directors),
        locations=locations,
        **_node_fields(nodes),
        **_load_fields(load),
        faults=faults,
    )
    for section in (lab, directors, nodes, load):
        section.reject_unknown_keys()
    if scenario.caches * len(locations) > MAX_CACHES:
        raise nodes.error("caches", f"expected at most {MAX_CACHES} in all locations together")
    if scenario.warm_up_s >= scenario.seconds:
        raise lab.error(
            "warm_s", f"expected a number less than `seconds`, found {scenario.warm_up_s:g}"
        )
    if scenario.update_delay_ms[0] > scenario.update_delay_ms[1]:
        raise nodes.error(
            "notice_to_ms",
            "expected a number of at least `notice_from_ms`, "
            f"found {scenario.update_delay_ms[1]:g}",
        )
    _check_faults(scenario)
    return scenario


def _lab_fields(section: IniSection) -> dict[str, Any]:
    return {
        "name": section.text("name", DEFAULTS.name),
        "seconds": section.number("seconds", DEFAULTS.seconds, 900.0, 1.0),
        "warm_up_s": section.number("warm_s", DEFAULTS.warm_up_s, 300.0),
        "seed": section.integer("seed", DEFAULTS.seed),
        "client_processes": section.integer("client_processes", DEFAULTS.client_processes, 16) or 1,
        "proxy_processes": section.integer("relay_processes", DEFAULTS.proxy_processes, 16) or 1,
    }


def _director_fields(section: IniSection) -> dict[str, Any]:
    return {
        "directors": section.integer("count", DEFAULTS.directors, MAX_DIRECTORS) or 1,
        "has_same_seeds": section.flag("one_seed", False),
        "has_membership": section.flag("talk", False),
        "shares_quotas": section.flag("share", False),
        "rate_spread": section.number("uneven", DEFAULTS.rate_spread, 3.0),
        "min_rate": section.number("least_rate", DEFAULTS.min_rate, 1e3),
        "memory_mb": section.number("memory_mb", DEFAULTS.memory_mb, 4096.0, 32.0),
        "max_descriptors": section.integer("sockets", DEFAULTS.max_descriptors, 65_536),
        "polls_load_reports": section.flag("probes", DEFAULTS.polls_load_reports),
    }


def _node_fields(section: IniSection) -> dict[str, Any]:
    return {
        "caches": section.integer("caches", DEFAULTS.caches, MAX_CACHES) or 1,
        "large_fraction": section.number("large_share", DEFAULTS.large_fraction, 1.0),
        "hubs": section.integer("hubs", DEFAULTS.hubs, 8) or 1,
        "parents": section.integer("parents", DEFAULTS.parents, 64) or 1,
        "capacity": section.number("capacity", DEFAULTS.capacity, 1e6, 1.0),
        "fill_cost": section.number("fill_cost", DEFAULTS.fill_cost, 1e3, 1.0),
        "parent_ms": section.number("parent_ms", DEFAULTS.parent_ms),
        "hub_ms": section.number("hub_ms", DEFAULTS.hub_ms),
        "origin_ms": section.number("origin_ms", DEFAULTS.origin_ms),
        "parent_capacity": section.number("parent_capacity", DEFAULTS.parent_capacity, 1e6, 1.0),
        "origin_capacity": section.number("origin_capacity", DEFAULTS.origin_capacity, 1e6, 1.0),
        "max_copies": section.integer("holds", DEFAULTS.max_copies),
        "parent_max_copies": section.integer("parent_holds", DEFAULTS.parent_max_copies),
        "initial_fraction": section.number("cold_from", DEFAULTS.initial_fraction, 1.0, 0.01),
        "slow_start_ms": section.number("cold_ms", DEFAULTS.slow_start_ms),
        "parent_slow_start_ms": section.number("parent_cold_ms", DEFAULTS.parent_slow_start_ms),
        "crashes_on_overload": section.flag("falls", DEFAULTS.crashes_on_overload),
        "update_delay_ms": (
            section.number("notice_from_ms", DEFAULTS.update_delay_ms[0]),
            section.number("notice_to_ms", DEFAULTS.update_delay_ms[1]),
        ),
    }


def _load_fields(section: IniSection) -> dict[str, Any]:
    return {
        "rate": section.number("rate", DEFAULTS.rate, 1e5, 0.1),
        "objects": section.integer("objects", DEFAULTS.objects) or 1,
        "skew": section.number("skew", DEFAULTS.skew, 3.0),
        "shared_fraction": section.number("shared", DEFAULTS.shared_fraction, 1.0),
        "order_fraction": section.number("orders", DEFAULTS.order_fraction, 1.0),
        "unsafe_fraction": section.number("effects", DEFAULTS.unsafe_fraction, 1.0),
        "patience_ms": section.number("patience_ms", DEFAULTS.patience_ms, 60_000.0, 100.0),
        "latency_objective_ms": section.number(
            "goal_ms", DEFAULTS.latency_objective_ms, 60_000.0, 10.0
        ),
        "max_tries": section.integer("tries", DEFAULTS.max_tries, 10) or 1,
        "answer_grace_ms": section.number("late_ms", DEFAULTS.answer_grace_ms),
        "failure_detection_ms": section.number("front_ms", DEFAULTS.failure_detection_ms),
    }


def _parse_fault_section(title: str, values: dict[str, str]) -> FaultInjection:
    kind, _, name = title.partition(" ")
    if kind != "fault" or not name:
        known = ", ".join((*SECTIONS, "fault NAME"))
        raise ConfigError(f"unknown section; known sections: {known}", section=title)
    return _parse_fault(IniSection(title, values), name)


def _parse_fault(section: IniSection, name: str) -> FaultInjection:
    kind = section.choice("what", FAULT_KINDS, "")
    path_kinds = section.names("paths", "stream" if kind == "late_list" else "cache parent")
    for path_kind in path_kinds:
        if path_kind not in PATH_KINDS:
            raise section.error(
                "paths", f"expected one of {', '.join(PATH_KINDS)}; found {path_kind!r}"
            )
    fault = FaultInjection(
        name=name,
        kind=kind,
        at_s=section.number("at"),
        duration_s=section.number("for", 0.0),
        fraction=section.number("share", 1.0, 1.0),
        location=section.text("location", ""),
        path_kinds=path_kinds,
        direction=section.choice("way", DIRECTIONS, "both"),
        amount=section.number("by", 0.0, 1e9, -1e9 if kind == "clock" else 0.0),
        jitter_ms=section.number("jitter_ms", 0.0),
        spread_s=section.number("over", 0.0),
        director_fraction=section.number("seen_by", 1.0, 1.0),
        nodes=section.names("nodes"),
        other_location=section.text("other", ""),
    )
    section.reject_unknown_keys()
    return fault


def _check_faults(scenario: FleetScenario) -> None:
    names = {site.name for site in scenario.node_sites()}
    for fault in scenario.faults:
        section = IniSection(f"fault {fault.name}", {})
        for key, location in (("location", fault.location), ("other", fault.other_location)):
            if location and location not in scenario.locations:
                raise section.error(key, f"location {location!r} does not exist")
        if unknown := sorted(set(fault.nodes) - names):
            raise section.error("nodes", f"node {unknown[0]!r} does not exist")
        is_path_fault = fault.kind in PATH_FAULTS
        if is_path_fault and fault.other_location and fault.path_kinds != ("director",):
            raise section.error("other", "a network fault with `other` requires `paths = director`")
        if fault.kind == "shift" and not (fault.location and fault.other_location):
            raise section.error("other", "a shift requires both `location` and `other`")
        if fault.at_s + fault.duration_s > scenario.seconds:
            raise section.error(
                "for", f"the fault ends after the play, which lasts {scenario.seconds:g} s"
            )

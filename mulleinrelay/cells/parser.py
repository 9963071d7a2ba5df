"""Parser of assignment files; no I/O.

Errors are ConfigErrors. An error of a value names its section and key, as in `[tenant acme] rate:
...`. Some keys and sections of the file have other names than the corresponding classes and
attributes (`move` for a migration, `release` for a rollout, `reserve` for a failover quota, ...).
This module and `formatter` translate between them.
"""

import ipaddress
import re
from collections.abc import Mapping
from dataclasses import dataclass, field

from ..config.ini import NAME_PATTERN, IniSection, parse_sections
from ..errors import ConfigError
from .model import (
    FILE_FORMAT_VERSION,
    KEEP_SHUFFLE_SHARDS,
    REJECT,
    RENDEZVOUS,
    TABLE,
    USE_DEFAULT_TENANT,
    Assignment,
    Cell,
    Limits,
    Migration,
    Rollout,
    Tenant,
)
from .validation import validate_assignment

GROUP_RANGE_PATTERN = re.compile(r"(\d{1,3})(?:-(\d{1,3}))?", re.ASCII)
MAX_GROUP = 255  # the group of an object is one byte
MAX_WEIGHT = 1e6
MIN_TENANT_WEIGHT = 1e-6
MAX_SHUFFLE_SHARDS = 10_000
MAX_FACTOR = 100.0  # upper limit of the load bound and of a rollout's slowdown

# Attributes of `Limits` by the keys of the file, in the order of the attributes.
LIMIT_FIELDS_BY_KEY = {
    "rate": "rate",
    "burst": "burst",
    "open_most": "max_open_requests",
    "body_kb": "max_body_kb",
    "retries": "retry_ratio",
    "connections": "max_connections",
}


@dataclass(slots=True, eq=False)
class _NamedSections:
    """The content of the sections `cell NAME`, `tenant NAME`, `move NAME` and `release NAME`."""

    cells: dict[str, Cell] = field(default_factory=dict)
    tenants: dict[str, Tenant] = field(default_factory=dict)
    migrations: dict[str, Migration] = field(default_factory=dict)
    rollouts: dict[str, Rollout] = field(default_factory=dict)

    def parse(self, kind: str, name: str, section: IniSection, default_limits: Limits) -> bool:
        """Parse and add one section; return whether its kind is known."""
        match kind:
            case "cell":
                _reject_duplicate(self.cells, name, section)
                self.cells[name] = _parse_cell(section, name)
            case "tenant":
                _reject_duplicate(self.tenants, name, section)
                self.tenants[name] = _parse_tenant(section, name, default_limits)
            case "move":
                _reject_duplicate(self.migrations, name, section)
                self.migrations[name] = _parse_migration(section, name)
            case "release":
                _reject_duplicate(self.rollouts, name, section)
                self.rollouts[name] = _parse_rollout(section, name, default_limits)
            case _:
                return False
        return True


def parse_assignment(text: str) -> Assignment:
    """Parse and validate the text of an assignment file.

    Raises:
        ConfigError: If the text cannot be parsed, or if `validate_assignment` finds an error.
    """
    texts = parse_sections(text)
    if "assignment" not in texts:
        raise ConfigError("the section is missing", section="assignment")
    assignment_section = IniSection("assignment", texts.pop("assignment"))
    file_format = assignment_section.integer("form")
    if file_format != FILE_FORMAT_VERSION:
        raise assignment_section.error(
            "form",
            f"this program reads form {FILE_FORMAT_VERSION}, but the file has form {file_format}",
        )
    limits_section = IniSection("limits", texts.pop("limits", {}))
    limits = _parse_limits(limits_section, Limits())
    limits_section.reject_unknown_keys()
    sections = _NamedSections()
    for title, values in texts.items():
        _parse_named_section(sections, IniSection(title, values), limits)
    assignment = _parse_assignment_section(assignment_section, limits, sections)
    validate_assignment(assignment)
    return assignment


def _parse_named_section(
    sections: _NamedSections, section: IniSection, default_limits: Limits
) -> None:
    kind, _, name = section.title.partition(" ")
    name = name.strip()
    if not NAME_PATTERN.fullmatch(name) or not sections.parse(kind, name, section, default_limits):
        raise ConfigError(
            "unknown section; known sections: assignment, limits, cell NAME, "
            "tenant NAME, move NAME, release NAME",
            section=section.title,
        )
    section.reject_unknown_keys()


def _reject_duplicate(known: Mapping[str, object], name: str, section: IniSection) -> None:
    """Raise ConfigError for a section that has the same kind and name as an earlier one.

    The INI parser does not detect such a duplicate if the titles differ in spaces, as `[cell a]`
    and `[cell  a]`.
    """
    if name in known:
        raise ConfigError("a section of this kind and name occurs twice", section=section.title)


def _parse_assignment_section(
    section: IniSection, limits: Limits, sections: _NamedSections
) -> Assignment:
    assignment = Assignment(
        version=section.integer("version"),
        written_at=section.number("written"),
        limits=limits,
        cells=sections.cells,
        tenants=sections.tenants,
        migrations=sections.migrations,
        rollouts=sections.rollouts,
        placement_method=section.choice("how", (RENDEZVOUS, TABLE), RENDEZVOUS),
        load_bound=section.number("load_bound", 1.25, MAX_FACTOR, 1.0),
        default_tenant=section.text("default_tenant", ""),
        unknown_tenant_policy=section.choice(
            "unknown", (USE_DEFAULT_TENANT, REJECT), USE_DEFAULT_TENANT
        ),
        propagation_time=section.number("spread_ms", 5_000.0),
        clock_skew=section.number("skew_ms", 500.0),
        retry_horizon=section.number("horizon_ms", 12_000.0),
    )
    section.reject_unknown_keys()
    return assignment


def _parse_limits(section: IniSection, default: Limits) -> Limits:
    return Limits(
        rate=section.number("rate", float(default.rate)),
        burst=section.number("burst", float(default.burst)),
        max_open_requests=section.number("open_most", float(default.max_open_requests)),
        max_body_kb=section.number("body_kb", float(default.max_body_kb)),
        retry_ratio=section.number("retries", float(default.retry_ratio)),
        max_connections=section.integer("connections", default.max_connections),
    )


def _parse_cell(section: IniSection, name: str) -> Cell:
    return Cell(
        name,
        weight=section.number("weight", 1.0, MAX_WEIGHT),
        caches=section.names("caches"),
        shuffle_shards=section.integer("shuffle", 0, MAX_SHUFFLE_SHARDS),
        failover_cells=section.names("neighbours"),
        failover_quota=section.number("reserve", 0.0, 1.0),
        return_duration=section.number("return_ms", 10_000.0),
        limits=_parse_limits(section, Limits()),
    )


def _parse_tenant(section: IniSection, name: str, default_limits: Limits) -> Tenant:
    addresses = _split(section.text("addresses", ""))
    for address in addresses:
        try:
            ipaddress.ip_network(address)
        except ValueError as error:
            raise section.error("addresses", str(error)) from error
    groups = tuple(_parse_groups(section, text) for text in _split(section.text("groups", "")))
    return Tenant(
        name,
        cell=section.text("cell", ""),
        weight=section.number("weight", 1.0, MAX_WEIGHT, MIN_TENANT_WEIGHT),
        addresses=addresses,
        groups=groups,
        limits=_parse_limits(section, default_limits),
    )


def _parse_groups(section: IniSection, text: str) -> tuple[int, int]:
    """Parse a group (`7`) or a range of groups (`7-9`, both ends inclusive)."""
    parts = GROUP_RANGE_PATTERN.fullmatch(text)
    if parts is not None:
        first = int(parts[1])
        last = int(parts[2] or parts[1])
        if first <= last <= MAX_GROUP:
            return first, last
    raise section.error(
        "groups", f"{text!r} is not a group or a range of groups from 0 to {MAX_GROUP}"
    )


def _parse_migration(section: IniSection, name: str) -> Migration:
    return Migration(
        name,
        tenants=section.names("tenants"),
        source=section.text("from"),
        target=section.text("to"),
        starts_at=section.number("starts"),
        warm_up_duration=section.number("warm_ms"),
        shift_duration=section.number("shift_ms"),
        drain_duration=section.number("drain_ms"),
        warm_up_fraction=section.number("warm_share", 0.05, 1.0),
        paused_at=section.number("held_at", 0.0),
        resumed_at=section.number("resumed_at", 0.0),
        aborted_at=section.number("aborted_at", 0.0),
    )


def _parse_rollout(section: IniSection, name: str, default_limits: Limits) -> Rollout:
    waves = tuple(_split(wave) for wave in section.text("waves", "").split(";") if wave.strip())
    cell_default = float(KEEP_SHUFFLE_SHARDS)
    return Rollout(
        name,
        canary=section.text("canary"),
        waves=waves,
        starts_at=section.number("starts"),
        wave_duration=section.number("wave_ms"),
        limits=_parse_limits(section, default_limits),
        max_success_drop=section.number("drop_most", 0.03, 1.0),
        max_slowdown=section.number("slower_most", 1.5, MAX_FACTOR, 1.0),
        is_rolled_back=section.flag("taken_back", False),
        shuffle_shards=int(
            section.number("shuffle", cell_default, MAX_SHUFFLE_SHARDS, cell_default)
        ),
    )


def _split(text: str) -> tuple[str, ...]:
    """Return the words of a text, which are separated by spaces or commas."""
    return tuple(text.replace(",", " ").split())

"""The INI file of a director's membership: its address, its seeds, its records (`--fleet FILE`).

Sections `[fleet]` and `[budgets]`; deploy/fleet.ini explains each key.
"""

import os
from dataclasses import dataclass

from ..config.ini import (
    NAME_PATTERN,
    Address,
    IniSection,
    load_ini,
    parse_sections,
    reject_unknown_sections,
)

SECTIONS = ("fleet", "budgets")
MIN_KEY_CHARS = 8
DEFAULT_MAX_MEMBERS = 4_000
MAX_MEMBERS_LIMIT = 100_000
WILDCARD_HOSTS = ("0.0.0.0", "::")  # addresses to listen at, at which nobody can be reached


@dataclass(slots=True, frozen=True)
class FleetConfig:
    """Configuration of one director's membership.

    Attributes:
        enabled: Whether the director takes part in membership at all.
        fleet: Name of the fleet; datagrams of others are dropped.
        key: Secret that all directors of the fleet share.
        listen: Address at which datagrams are received.
        announce: Address at which other directors reach this one.
        location: Location (zone) of this director.
        seeds: Directors that are asked first, while no other is known.
        max_members: Bound on the members that are remembered.
        records_folder: Folder of the records for operators' commands; empty: none are written.
        shares_slow_start_quota: Whether the limits on caches and parents that are warming up are
            lent among directors.
    """

    enabled: bool
    fleet: str
    key: bytes
    listen: Address
    announce: Address
    location: str
    seeds: list[Address]
    max_members: int
    records_folder: str
    shares_slow_start_quota: bool = False


def parse_fleet_config(text: str, folder: str) -> FleetConfig:
    """Parses the text of the file.

    Args:
        text: The text.
        folder: Folder from which relative paths are taken.

    Raises:
        ConfigError: If the text cannot be used.
    """
    sections = parse_sections(text)
    reject_unknown_sections(sections, SECTIONS)
    fleet = IniSection("fleet", sections.get("fleet", {}))
    budgets = IniSection("budgets", sections.get("budgets", {}))
    enabled = fleet.flag("enabled", False)
    listen = fleet.address("listen", fleet.text("listen", "127.0.0.1:7946"))
    name = _parse_name(fleet, "name", "fleet")
    location = _parse_name(fleet, "location", "here")
    records = fleet.text("records", "")
    key = _parse_key(fleet, enabled)
    announce = fleet.address("announce", fleet.text("announce", f"{listen[0]}:{listen[1]}"))
    if enabled and announce[0] in WILDCARD_HOSTS:
        reason = "an address at which others find this director is wanted"
        raise fleet.error("announce", reason)
    config = FleetConfig(
        enabled=enabled,
        fleet=name,
        key=key,
        listen=listen,
        announce=announce,
        location=location,
        seeds=[fleet.address("seeds", seed) for seed in fleet.text("seeds", "").split()],
        max_members=fleet.integer("members_most", DEFAULT_MAX_MEMBERS, MAX_MEMBERS_LIMIT) or 1,
        records_folder=os.path.join(folder, records) if records else "",
        shares_slow_start_quota=budgets.flag("cold", False),
    )
    fleet.reject_unknown_keys()
    budgets.reject_unknown_keys()
    return config


def _parse_name(section: IniSection, key: str, default: str) -> str:
    name = section.text(key, default)
    if not NAME_PATTERN.fullmatch(name):
        raise section.error(key, f"{name!r} is no name")
    return name


def _parse_key(section: IniSection, enabled: bool) -> bytes:
    key = section.text("key", "")
    if enabled and len(key) < MIN_KEY_CHARS:
        reason = f"{MIN_KEY_CHARS} characters or more are wanted where enabled = yes"
        raise section.error("key", reason)
    return key.encode()


def load_fleet_config(path: str) -> FleetConfig:
    """Reads and parses the file.

    Raises:
        ConfigError: If the file cannot be read or used.
    """
    return load_ini(path, parse_fleet_config)

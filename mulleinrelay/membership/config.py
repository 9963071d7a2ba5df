"""INI file with a director's membership settings (`--fleet FILE`).

The file's sections are `[fleet]` and `[budgets]`; deploy/fleet.ini explains each key.
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
WILDCARD_HOSTS = ("0.0.0.0", "::")  # to listen on all interfaces; other directors cannot reach them


@dataclass(slots=True, frozen=True)
class FleetConfig:
    """Configuration of one director's membership.

    Attributes:
        enabled: Whether the director takes part in membership.
        fleet: Name of the fleet; datagrams of other fleets are dropped.
        key: Secret that all directors of the fleet share. It may be empty if `enabled` is false.
        listen: Address at which datagrams are received.
        announce: Address at which other directors reach this director.
        location: Location (zone) of this director.
        seeds: Addresses of directors through which this director joins the fleet. This director
            keeps contacting the seeds that are not active members. Only the first
            `state_sync.MAX_SEEDS` seeds are used, not counting this director's own address.
        max_members: Maximum number of other members in the member table, including departed ones.
        records_folder: Folder of the records for operators' commands; if empty, no records are
            written.
        shares_slow_start_quota: Whether this director borrows and lends parts of the limits on cold
            caches and cold parents.
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
    """Parse the text of the file.

    Args:
        text: Content of the file.
        folder: Folder of the file, to which relative paths in the text refer.

    Raises:
        ConfigError: If the text is not a valid configuration.
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
        reason = f"expected an address that other directors can reach, found {announce[0]!r}"
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
        raise section.error(key, f"{name!r} is not a valid name (letters, digits, _ . : -)")
    return name


def _parse_key(section: IniSection, enabled: bool) -> bytes:
    key = section.text("key", "")
    if enabled and len(key) < MIN_KEY_CHARS:
        reason = f"must have at least {MIN_KEY_CHARS} characters if enabled = yes"
        raise section.error("key", reason)
    return key.encode()


def load_fleet_config(path: str) -> FleetConfig:
    """Read and parse the file.

    Raises:
        ConfigError: If the file cannot be read or is not a valid configuration.
    """
    return load_ini(path, parse_fleet_config)

"""Our own file for talk among directors: where this one is heard, whom it asks first. Pure but for
`load_own`."""

import os
from dataclasses import dataclass

from ..config.ini import NAME_PATTERN, IniSection, load_ini, parse_sections
from ..errors import ConfigError

Address = tuple[str, int]
KEY_LEAST = 8  # characters


@dataclass(slots=True, frozen=True)
class FleetConfig:
    enabled: bool
    fleet: str
    key: bytes
    listen: Address
    announce: Address  # where others find this one
    location: str
    seeds: list[Address]
    max_members: int
    records_folder: str  # folder; empty: none are kept
    shares_slow_start_quota: bool = (
        False  # parts of what cold caches and parents may be sent are lent among directors
    )


def address(keys: IniSection, key: str, text: str) -> Address:
    host, _, port = text.rpartition(":")
    if not host or not port.isdecimal() or not 0 < int(port) < 65536:
        raise keys.error(key, f"host:port is wanted, not {text!r}")
    return host, int(port)


def parse_fleet_config(text: str, folder: str) -> FleetConfig:
    """Paths are taken from `folder`. Raises ConfigError."""
    found = parse_sections(text)
    for title in found:
        if title not in ("fleet", "budgets"):
            raise ConfigError(f"[{title}]: an unknown section; known are fleet, budgets")
    keys, budgets = (
        IniSection("fleet", found.get("fleet", {})),
        IniSection("budgets", found.get("budgets", {})),
    )
    enabled = keys.flag("enabled", False)
    listen = address(keys, "listen", keys.text("listen", "127.0.0.1:7946"))
    name, location = keys.text("name", "fleet"), keys.text("location", "here")
    for key, value in (("name", name), ("location", location)):
        if not NAME_PATTERN.fullmatch(value):
            raise keys.error(key, f"{value!r} is no name")
    secret, records = keys.text("key", ""), keys.text("records", "")
    if enabled and len(secret) < KEY_LEAST:
        raise keys.error("key", f"{KEY_LEAST} characters or more are wanted where enabled = yes")
    announce = address(keys, "announce", keys.text("announce", f"{listen[0]}:{listen[1]}"))
    if enabled and announce[0] in ("0.0.0.0", "::"):
        raise keys.error("announce", "an address at which others find this director is wanted")
    own = FleetConfig(
        enabled,
        name,
        secret.encode(),
        listen,
        announce,
        location,
        [address(keys, "seeds", seed) for seed in keys.text("seeds", "").split()],
        keys.integer("members_most", 4_000, 100_000) or 1,
        os.path.join(folder, records) if records else "",
        budgets.flag("cold", False),
    )
    keys.reject_unknown_keys()
    budgets.reject_unknown_keys()
    return own


def load_fleet_config(path: str) -> FleetConfig:
    """Raises ConfigError."""
    return load_ini(path, parse_fleet_config)

"""Our own file for talk among directors: where this one is heard, whom it asks first. Pure but for
`load_own`."""

import os
from dataclasses import dataclass

from ..cells.config import loaded
from ..cells.model import CharterError
from ..cells.parser import NAME, Keys, sections

Address = tuple[str, int]
KEY_LEAST = 8  # characters


@dataclass(slots=True, frozen=True)
class OwnFile:
    enabled: bool
    fleet: str
    key: bytes
    listen: Address
    announce: Address  # where others find this one
    location: str
    seeds: list[Address]
    members_most: int
    records: str  # folder; empty: none are kept
    share_cold: bool = (
        False  # parts of what cold caches and parents may be sent are lent among directors
    )


def address(keys: Keys, key: str, text: str) -> Address:
    host, _, port = text.rpartition(":")
    if not host or not port.isdecimal() or not 0 < int(port) < 65536:
        raise keys.fault(key, f"host:port is wanted, not {text!r}")
    return host, int(port)


def read_own(text: str, folder: str) -> OwnFile:
    """Paths are taken from `folder`. Raises CharterError."""
    found = sections(text)
    for title in found:
        if title not in ("fleet", "budgets"):
            raise CharterError(f"[{title}]: an unknown section; known are fleet, budgets")
    keys, budgets = Keys("fleet", found.get("fleet", {})), Keys("budgets", found.get("budgets", {}))
    enabled = keys.flag("enabled", False)
    listen = address(keys, "listen", keys.text("listen", "127.0.0.1:7946"))
    name, location = keys.text("name", "fleet"), keys.text("location", "here")
    for key, value in (("name", name), ("location", location)):
        if not NAME.fullmatch(value):
            raise keys.fault(key, f"{value!r} is no name")
    secret, records = keys.text("key", ""), keys.text("records", "")
    if enabled and len(secret) < KEY_LEAST:
        raise keys.fault("key", f"{KEY_LEAST} characters or more are wanted where enabled = yes")
    announce = address(keys, "announce", keys.text("announce", f"{listen[0]}:{listen[1]}"))
    if enabled and announce[0] in ("0.0.0.0", "::"):
        raise keys.fault("announce", "an address at which others find this director is wanted")
    own = OwnFile(
        enabled,
        name,
        secret.encode(),
        listen,
        announce,
        location,
        [address(keys, "seeds", seed) for seed in keys.text("seeds", "").split()],
        keys.whole("members_most", 4_000, 100_000) or 1,
        os.path.join(folder, records) if records else "",
        budgets.flag("cold", False),
    )
    keys.done()
    budgets.done()
    return own


def load_own(path: str) -> OwnFile:
    """Raises CharterError."""
    return loaded(path, read_own)

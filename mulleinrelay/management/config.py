"""Our own file for management: where it listens, who may do what, what it keeps. Pure but for
`load_own`.
"""

import os
from dataclasses import dataclass

from ..config.ini import IniSection, load_ini, parse_sections
from ..errors import ConfigError
from .authorization import ROLES, Rights, Role

LOOPBACK = ("127.", "::1", "localhost")


@dataclass(slots=True, frozen=True)
class ManagementConfig:
    enabled: bool
    listen: str  # host:port
    state_dir: str  # empty: nothing lasts
    certificate: str  # paths; empty: no TLS
    key: str
    clients_ca: str
    rights: Rights
    subscribers_most: int
    queue_most: int  # updates that wait for one subscriber
    message_kb: int
    calls_most: int


def parse_management_config(text: str, folder: str) -> ManagementConfig:
    """Paths are taken from `folder`. Raises ConfigError."""
    found = parse_sections(text)
    for title in found:
        if title not in ("management", "roles", "limits"):
            raise ConfigError(f"[{title}]: an unknown section; known are management, roles, limits")
    keys, limits = (
        IniSection("management", found.get("management", {})),
        IniSection("limits", found.get("limits", {})),
    )
    enabled, listen = keys.flag("enabled", False), keys.text("listen", "127.0.0.1:9339")
    host, _, port = listen.rpartition(":")
    if not host or not port.isdecimal() or int(port) > 65535:
        raise keys.error("listen", "host:port is wanted")

    def path(key: str) -> str:
        value = keys.text(key, "")
        return os.path.join(folder, value) if value else ""

    own = ManagementConfig(
        enabled,
        listen,
        path("state_dir"),
        path("certificate"),
        path("key"),
        path("clients_ca"),
        _rights(found.get("roles", {}), keys.flag("insecure_loopback", False)),
        limits.integer("subscribers", 32, 10_000),
        limits.integer("queue", 1_000, 1_000_000),
        limits.integer("message_kb", 4_096, 1_000_000),
        limits.integer("calls", 16, 1_000),
    )
    given = [bool(own.certificate), bool(own.key), bool(own.clients_ca)]
    if any(given) and not all(given):
        raise keys.error("certificate", "certificate, key and clients_ca go together")
    if enabled and not any(given):
        if not host.strip("[]").startswith(LOOPBACK):
            raise keys.error("listen", "without a certificate it listens on loopback only")
        if "insecure_loopback" not in keys.values or not keys.flag("insecure_loopback", False):
            raise keys.error("insecure_loopback", "yes is wanted to listen without a certificate")
    keys.reject_unknown_keys()
    limits.reject_unknown_keys()
    return own


def _rights(held: dict[str, str], open_loopback: bool) -> Rights:
    keys = IniSection("roles", held)
    by_name = {name: ROLES[keys.choice(name, ROLES, "")] for name in held}
    return Rights(by_name, Role.CONFIGURE if open_loopback else Role.NONE)


def load_management_config(path: str) -> ManagementConfig:
    """Raises ConfigError."""
    return load_ini(path, parse_management_config)

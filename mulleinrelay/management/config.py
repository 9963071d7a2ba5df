"""Our own file for management: where it listens, who may do what, what it keeps. Pure but for
`load_own`.
"""

import os
from dataclasses import dataclass

from ..cells.config import loaded
from ..cells.model import CharterError
from ..cells.parser import Keys, sections
from .authorization import ROLES, Rights, Role

LOOPBACK = ("127.", "::1", "localhost")


@dataclass(slots=True, frozen=True)
class OwnFile:
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


def read_own(text: str, folder: str) -> OwnFile:
    """Paths are taken from `folder`. Raises CharterError."""
    found = sections(text)
    for title in found:
        if title not in ("management", "roles", "limits"):
            raise CharterError(
                f"[{title}]: an unknown section; known are management, roles, limits"
            )
    keys, limits = (
        Keys("management", found.get("management", {})),
        Keys("limits", found.get("limits", {})),
    )
    enabled, listen = keys.flag("enabled", False), keys.text("listen", "127.0.0.1:9339")
    host, _, port = listen.rpartition(":")
    if not host or not port.isdecimal() or int(port) > 65535:
        raise keys.fault("listen", "host:port is wanted")

    def path(key: str) -> str:
        value = keys.text(key, "")
        return os.path.join(folder, value) if value else ""

    own = OwnFile(
        enabled,
        listen,
        path("state_dir"),
        path("certificate"),
        path("key"),
        path("clients_ca"),
        _rights(found.get("roles", {}), keys.flag("insecure_loopback", False)),
        limits.whole("subscribers", 32, 10_000),
        limits.whole("queue", 1_000, 1_000_000),
        limits.whole("message_kb", 4_096, 1_000_000),
        limits.whole("calls", 16, 1_000),
    )
    given = [bool(own.certificate), bool(own.key), bool(own.clients_ca)]
    if any(given) and not all(given):
        raise keys.fault("certificate", "certificate, key and clients_ca go together")
    if enabled and not any(given):
        if not host.strip("[]").startswith(LOOPBACK):
            raise keys.fault("listen", "without a certificate it listens on loopback only")
        if "insecure_loopback" not in keys.held or not keys.flag("insecure_loopback", False):
            raise keys.fault("insecure_loopback", "yes is wanted to listen without a certificate")
    keys.done()
    limits.done()
    return own


def _rights(held: dict[str, str], open_loopback: bool) -> Rights:
    keys = Keys("roles", held)
    by_name = {name: ROLES[keys.choice(name, ROLES, "")] for name in held}
    return Rights(by_name, Role.CONFIGURE if open_loopback else Role.NONE)


def load_own(path: str) -> OwnFile:
    """Raises CharterError."""
    return loaded(path, read_own)

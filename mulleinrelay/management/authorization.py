"""Who may do what: roles by the names in client certificates. Pure."""

from dataclasses import dataclass
from enum import IntEnum

from .paths import Path


class Role(IntEnum):
    """Each may do what those before it may."""

    NONE = 0
    READ = 1
    DRAIN = 2
    CONFIGURE = 3


ROLES = {"read": Role.READ, "drain": Role.DRAIN, "configure": Role.CONFIGURE}
DRAINS = "drains"


@dataclass(slots=True, frozen=True)
class Rights:
    by_name: dict[str, Role]
    unnamed: Role = Role.NONE  # of callers without a certificate, on loopback only

    def role(self, names: list[str]) -> Role:
        """Of a caller with these names (common name, alternative names); the highest counts."""
        if not names:
            return self.unnamed
        return max((self.by_name.get(name, Role.NONE) for name in names), default=Role.NONE)


def wanted(paths: list[Path]) -> Role:
    """What a change of these paths asks for."""
    drains = all(
        len(path) >= 2 and path[0][0] == "fleet" and path[1][0] == DRAINS for path in paths
    )
    return Role.DRAIN if drains and paths else Role.CONFIGURE

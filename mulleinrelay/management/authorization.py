"""Authorization of callers: roles by the names in client certificates. No I/O."""

from collections.abc import Sequence
from dataclasses import dataclass
from enum import IntEnum

from .paths import Path


class Role(IntEnum):
    """The permissions of a caller; each role includes the roles with lower values.

    `READ` allows Capabilities, Get and Subscribe. `DRAIN` allows changes of drains, confirming or
    cancelling any pending commit, and other Set requests without edits, except rollbacks.
    `CONFIGURE` allows all changes and rollbacks.
    """

    NONE = 0
    READ = 1
    DRAIN = 2
    CONFIGURE = 3


ROLES_BY_NAME = {"read": Role.READ, "drain": Role.DRAIN, "configure": Role.CONFIGURE}


@dataclass(slots=True, frozen=True)
class AuthorizationPolicy:
    """The roles of callers.

    Attributes:
        roles_by_name: Roles by common name or subject alternative name.
        anonymous_role: Role of callers without a name: those without a certificate, which can
            connect over loopback only, and those whose certificate has no names.
    """

    roles_by_name: dict[str, Role]
    anonymous_role: Role = Role.NONE

    def role_of(self, names: Sequence[str]) -> Role:
        """Return the highest role of the names in a caller's certificate.

        If `names` is empty, the result is `anonymous_role`: the caller has no certificate, or its
        certificate has no names. A name without a configured role has `Role.NONE`.
        """
        if not names:
            return self.anonymous_role
        return max((self.roles_by_name.get(name, Role.NONE) for name in names), default=Role.NONE)


def required_role(paths: Sequence[Path]) -> Role:
    """Return the role that a change of the nodes at the paths requires.

    The role is `DRAIN` if all paths are at or below /fleet/drains. Otherwise, and without paths,
    the role is `CONFIGURE`.
    """
    if paths and all(_is_drain(path) for path in paths):
        return Role.DRAIN
    return Role.CONFIGURE


def _is_drain(path: Path) -> bool:
    return len(path) >= 2 and path[0].name == "fleet" and path[1].name == "drains"

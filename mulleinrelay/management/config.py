"""The INI file of management: where it listens, who may do what, what it stores.

Pure but for `load_management_config`.
"""

import os
from dataclasses import dataclass

from ..config.ini import MAX_PORT, IniSection, load_ini, parse_sections, reject_unknown_sections
from .authorization import ROLES_BY_NAME, AuthorizationPolicy, Role

SECTIONS = ("management", "roles", "limits")
LOOPBACK_PREFIXES = ("127.", "::1", "localhost")
DEFAULT_LISTEN = "127.0.0.1:9339"  # 9339 is the port that IANA has assigned to gNMI


@dataclass(slots=True, frozen=True)
class ManagementConfig:
    """Settings of management.

    Attributes:
        enabled: Whether management is on.
        listen: Address of the gNMI server, as host:port; port 0 picks a free one.
        state_dir: Folder of the datastore file; empty: nothing is stored.
        certificate: Path of the server's certificate; empty: no TLS.
        key: Path of the certificate's private key.
        clients_ca: Path of the authority that signs clients' certificates.
        authorization: Roles of callers.
        max_subscribers: Subscribe calls that may be open at a time.
        max_queued_updates: Updates that may wait for one subscriber.
        max_message_kb: Largest message that is taken, in KiB.
        max_concurrent_calls: Other calls that may run at a time.
    """

    enabled: bool
    listen: str
    state_dir: str
    certificate: str
    key: str
    clients_ca: str
    authorization: AuthorizationPolicy
    max_subscribers: int
    max_queued_updates: int
    max_message_kb: int
    max_concurrent_calls: int

    @property
    def has_tls(self) -> bool:
        """Whether the server has a certificate and requires one of its clients."""
        return bool(self.certificate)


def parse_management_config(text: str, folder: str) -> ManagementConfig:
    """Parses the file's text; relative paths in it are taken from `folder`.

    Raises:
        ConfigError: If the text is no INI, or a section or key cannot be used.
    """
    sections = parse_sections(text)
    reject_unknown_sections(sections, SECTIONS)
    management = IniSection("management", sections.get("management", {}))
    limits = IniSection("limits", sections.get("limits", {}))
    config = ManagementConfig(
        enabled=management.flag("enabled", False),
        listen=_listen_address(management),
        state_dir=_path(management, "state_dir", folder),
        certificate=_path(management, "certificate", folder),
        key=_path(management, "key", folder),
        clients_ca=_path(management, "clients_ca", folder),
        authorization=_authorization(
            sections.get("roles", {}), management.flag("insecure_loopback", False)
        ),
        max_subscribers=limits.integer("subscribers", 32, 10_000),
        max_queued_updates=limits.integer("queue", 1_000, 1_000_000),
        max_message_kb=limits.integer("message_kb", 4_096, 1_000_000),
        max_concurrent_calls=limits.integer("calls", 16, 1_000),
    )
    _check_transport_security(config, management)
    management.reject_unknown_keys()
    limits.reject_unknown_keys()
    return config


def load_management_config(path: str) -> ManagementConfig:
    """Reads and parses the file.

    Raises:
        ConfigError: If the file cannot be read or used.
    """
    return load_ini(path, parse_management_config)


def _listen_address(section: IniSection) -> str:
    """Returns host:port. `IniSection.address` does not fit: here port 0 may be given."""
    listen = section.text("listen", DEFAULT_LISTEN)
    host, _, port = listen.rpartition(":")
    if not host or not port.isdecimal() or int(port) > MAX_PORT:
        raise section.error("listen", "host:port is wanted")
    return listen


def _path(section: IniSection, key: str, folder: str) -> str:
    value = section.text(key, "")
    return os.path.join(folder, value) if value else ""


def _authorization(values: dict[str, str], is_loopback_open: bool) -> AuthorizationPolicy:
    """Builds the policy from the [roles] section, whose keys are names in certificates."""
    roles = IniSection("roles", values)
    roles_by_name = {name: ROLES_BY_NAME[roles.choice(name, ROLES_BY_NAME, "")] for name in values}
    return AuthorizationPolicy(roles_by_name, Role.CONFIGURE if is_loopback_open else Role.NONE)


def _check_transport_security(config: ManagementConfig, section: IniSection) -> None:
    """Raises ConfigError unless there is TLS, or access without it is limited and asked for."""
    given = [bool(config.certificate), bool(config.key), bool(config.clients_ca)]
    if any(given) and not all(given):
        raise section.error("certificate", "certificate, key and clients_ca go together")
    if not config.enabled or any(given):
        return
    host = config.listen.rpartition(":")[0]
    if not host.strip("[]").startswith(LOOPBACK_PREFIXES):
        raise section.error("listen", "without a certificate it listens on loopback only")
    if not section.flag("insecure_loopback", False):
        raise section.error("insecure_loopback", "yes is wanted to listen without a certificate")

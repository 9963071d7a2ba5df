"""The INI file of management: the server's address, roles, stored files and limits.

Only `load_management_config` does I/O.
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
    """The settings of management.

    Attributes:
        enabled: Whether management is on.
        listen: Address of the gNMI server, as host:port; port 0 lets the system choose a free port.
        state_dir: Folder of the datastore file; if empty, the datastore is not stored.
        certificate: Path of the server's certificate; empty for no TLS.
        key: Path of the certificate's private key; empty for no TLS.
        clients_ca: Path of the certificate authority that signs the clients' certificates; empty
            for no TLS.
        authorization: The roles of callers.
        max_subscribers: Maximum number of open Subscribe calls.
        max_queued_updates: Maximum number of updates in the queue of one `Subscriber`.
        max_message_kb: Maximum size of a received message, in KiB.
        max_concurrent_calls: Number of concurrent calls that are allowed in addition to
            `max_subscribers`.
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
        """Whether the server uses TLS, and so requires certificates of its clients."""
        return bool(self.certificate)


def parse_management_config(text: str, folder: str) -> ManagementConfig:
    """Parse the text of the file; relative paths in it are relative to `folder`.

    Raises:
        ConfigError: If the text is not valid INI, a section or key is unknown or invalid, the files
            of TLS are incomplete, or the server would accept insecure connections that are not
            explicitly allowed.
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
    """Read and parse the file.

    Raises:
        ConfigError: If the file cannot be read or is not valid.
    """
    return load_ini(path, parse_management_config)


def _listen_address(section: IniSection) -> str:
    """Return the listening address as host:port.

    `IniSection.address` cannot be used, as it does not accept port 0.
    """
    listen = section.text("listen", DEFAULT_LISTEN)
    host, _, port = listen.rpartition(":")
    if not host or not port.isdecimal() or int(port) > MAX_PORT:
        raise section.error("listen", f"expected host:port, found {listen!r}")
    return listen


def _path(section: IniSection, key: str, folder: str) -> str:
    value = section.text(key, "")
    return os.path.join(folder, value) if value else ""


def _authorization(values: dict[str, str], allows_insecure_loopback: bool) -> AuthorizationPolicy:
    """Build the policy from the section [roles], whose keys are names in certificates.

    The `anonymous_role` is `CONFIGURE` if insecure loopback connections are allowed, otherwise
    `NONE`.
    """
    roles = IniSection("roles", values)
    roles_by_name = {name: ROLES_BY_NAME[roles.choice(name, ROLES_BY_NAME, "")] for name in values}
    return AuthorizationPolicy(
        roles_by_name, Role.CONFIGURE if allows_insecure_loopback else Role.NONE
    )


def _check_transport_security(config: ManagementConfig, section: IniSection) -> None:
    """Raise ConfigError if TLS is only partly configured, or is required but not configured.

    The three TLS files must be configured together. If management is on, a server without TLS may
    listen on loopback only, and only with `insecure_loopback`.
    """
    tls_paths_given = [bool(config.certificate), bool(config.key), bool(config.clients_ca)]
    if any(tls_paths_given) and not all(tls_paths_given):
        raise section.error("certificate", "certificate, key and clients_ca must be given together")
    if not config.enabled or any(tls_paths_given):
        return
    host = config.listen.rpartition(":")[0]
    if not host.strip("[]").startswith(LOOPBACK_PREFIXES):
        raise section.error("listen", "without a certificate the server listens on loopback only")
    if not section.flag("insecure_loopback", False):
        raise section.error("insecure_loopback", "must be yes to listen without a certificate")

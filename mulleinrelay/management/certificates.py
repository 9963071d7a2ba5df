"""The gNMI server's certificates, read again from their files when these change."""

import os
from typing import Any

import grpc

from ..structured_log import StructuredLog
from .config import ManagementConfig


class ServerCertificates:
    """Certificate, key and clients' authority of the server."""

    def __init__(self, config: ManagementConfig, log: StructuredLog) -> None:
        """Takes the paths from the configuration.

        Raises:
            OSError: If one of the files cannot be read.
        """
        self._config = config
        self._log = log
        self._stamps = self._read_stamps()

    def credentials(self) -> grpc.ServerCredentials:
        """Returns credentials that follow the files and require a certificate of each client.

        Raises:
            OSError: If one of the files cannot be read.
        """
        return grpc.dynamic_ssl_server_credentials(
            self._read_files(), self._reload, require_client_authentication=True
        )

    def _read_stamps(self) -> list[tuple[int, int]]:
        """Returns inode and modification time of each file, which tell whether it was replaced."""
        paths = (self._config.certificate, self._config.key, self._config.clients_ca)
        stats = [os.stat(path) for path in paths]
        return [(stat.st_ino, stat.st_mtime_ns) for stat in stats]

    def _read_files(self) -> Any:
        contents = []
        for path in (self._config.key, self._config.certificate, self._config.clients_ca):
            with open(path, "rb") as file:
                contents.append(file.read())
        key, certificate, clients_ca = contents
        return grpc.ssl_server_certificate_configuration(
            [(key, certificate)], root_certificates=clients_ca
        )

    def _reload(self) -> Any:
        """Returns the new certificates, None to stay with the old; grpc calls it at each handshake.

        Files that are half replaced cannot be used; the old certificates stay until they can.
        """
        try:
            stamps = self._read_stamps()
            if stamps == self._stamps:
                return None
            configuration = self._read_files()
        except (OSError, ValueError) as error:
            self._log.event("management", text=f"certificates not reloaded: {error}")
            return None
        self._stamps = stamps
        self._log.event("management", text="certificates read again")
        return configuration

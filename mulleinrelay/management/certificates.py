"""TLS certificates of the gNMI server, reloaded when their files change."""

import os
from typing import Any

import grpc

from ..structured_log import StructuredLog
from .config import ManagementConfig


class ServerCertificates:
    """The server's certificate, its key, and the certificate authority of the clients."""

    def __init__(self, config: ManagementConfig, log: StructuredLog) -> None:
        """Record inode and modification time of the files, to notice when they are replaced.

        Raises:
            OSError: If one of the files cannot be read.
        """
        self._config = config
        self._log = log
        self._file_versions = self._read_file_versions()

    def credentials(self) -> grpc.ServerCredentials:
        """Return credentials that require client certificates and follow changes of the files.

        Raises:
            OSError: If one of the files cannot be read.
        """
        return grpc.dynamic_ssl_server_credentials(
            self._read_files(), self._reload, require_client_authentication=True
        )

    def _read_file_versions(self) -> list[tuple[int, int]]:
        """Return inode and modification time of each file, which change when it is replaced."""
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
        """Return the new certificates; None if the files are unchanged or cannot be read.

        gRPC calls this function in each TLS handshake. While the files are only partly replaced,
        key and certificate may not match. gRPC then rejects them and keeps the old certificates.
        """
        try:
            file_versions = self._read_file_versions()
            if file_versions == self._file_versions:
                return None
            configuration = self._read_files()
        except (OSError, ValueError) as error:
            self._log.event("management", text=f"certificates not reloaded: {error}")
            return None
        self._file_versions = file_versions
        self._log.event("management", text="certificates reloaded")
        return configuration

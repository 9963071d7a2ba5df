"""The process of a director in the lab of tenants."""

import json
import os
import signal
import subprocess
import sys
from typing import Any

from ..standins.reserved_port import ReservedPort
from .director_process import DirectorProcess, director_environment

PROJECT_ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
ADDRESS = "127.0.0.1"
UNSET_VARIABLES = ("MULLEINRELAY_CELLS", "MULLEINRELAY_MANAGEMENT")
TERM_TIMEOUT_S = 8.0
KILL_TIMEOUT_S = 2.0


class Director(DirectorProcess):
    """A director of the lab of tenants; `gnmi_address` is empty if it does not serve gNMI."""

    def __init__(
        self,
        name: str,
        folder: str,
        platform: dict[str, Any],
        cells_file: str | None,
        has_management: bool,
    ) -> None:
        """Write the director's configuration into the folder and start its process.

        Args:
            name: Name of the director and of its files.
            folder: Folder of the lab.
            platform: The director's configuration without its name and the address at which it
                listens.
            cells_file: Path of the file with the section [cells]; None: the director has no cells.
            has_management: Whether the director serves gNMI.
        """
        self.client_port = ReservedPort(ADDRESS)
        self.gnmi_port = ReservedPort(ADDRESS) if has_management else None
        super().__init__((ADDRESS, self.client_port.port))
        self.name = name
        self.gnmi_address = ""
        config_path = os.path.join(folder, f"{name}.json")
        with open(config_path, "w", encoding="utf-8") as file:
            json.dump(platform | {"name": name, "listen": f"{ADDRESS}:{self.address[1]}"}, file)
        self.command = [sys.executable, "-m", "mulleinrelay", "serve", "--config", config_path]
        if cells_file:
            self.command += ["--cells", cells_file]
        if self.gnmi_port is not None:
            self.gnmi_address = f"{ADDRESS}:{self.gnmi_port.port}"
            self.command += ["--management", self._write_management_file(folder)]
        self.log_path = os.path.join(folder, f"{name}.log")
        self.start()

    def start(self) -> None:
        """Start the director's process; may be called again after the process has ended."""
        self.log = open(self.log_path, "ab")  # noqa: SIM115 (closed by `stop`)
        self.process: subprocess.Popen[bytes] = subprocess.Popen(
            self.command,
            stderr=self.log,
            stdout=self.log,
            env=director_environment(PROJECT_ROOT, UNSET_VARIABLES),
        )

    def is_ready(self) -> bool:
        """Return whether the director accepts connections of clients.

        Raises:
            RuntimeError: If the process has ended.
        """
        if self.accepts_connections():
            return True
        code = self.process.poll()
        if code is not None:
            raise RuntimeError(f"director {self.name} exited with code {code}; see {self.log.name}")
        return False

    def stop(self) -> None:
        """Shut the director down gracefully, and release its reserved ports.

        The process is killed if it has not ended TERM_TIMEOUT_S after the signal.
        """
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGTERM)
        try:
            self.process.wait(TERM_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            self.process.kill()
            self.process.wait(KILL_TIMEOUT_S)
        self.log.close()
        self.client_port.release()
        if self.gnmi_port is not None:
            self.gnmi_port.release()

    def _write_management_file(self, folder: str) -> str:
        path = os.path.join(folder, f"{self.name}-management.ini")
        with open(path, "w", encoding="utf-8") as file:
            file.write(
                "[management]\nenabled = yes\ninsecure_loopback = yes\n"
                f"listen = {self.gnmi_address}\nstate_dir = state-{self.name}\n"
            )
        return path

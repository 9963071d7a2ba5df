"""A director process of the fleet lab, with its own loopback addresses."""

import os
import subprocess
import sys
from collections.abc import Callable
from dataclasses import dataclass

from ..director_process import DirectorProcess, director_environment
from . import addresses
from .control_channel import last_line

UNSET_VARIABLES = ("MULLEINRELAY_CELLS", "MULLEINRELAY_MANAGEMENT", "MULLEINRELAY_FLEET")
KILL_TIMEOUT_S = 5.0


@dataclass(frozen=True, slots=True)
class DirectorSetup:
    """Settings that all directors of a play share.

    Attributes:
        folder: Folder of the lab.
        program: Folder that contains the package that the directors run.
        port: Port for clients. All directors use the same port, as each has its own address.
        has_membership: Whether the directors get a fleet file, which configures membership, and
            gossip with each other.
        on_started: Called with the process id after the start of a process.
        on_ended: Called with the process id after a process has ended.
    """

    folder: str
    program: str
    port: int
    has_membership: bool
    on_started: Callable[[int], None]
    on_ended: Callable[[int], None]


class FleetDirector(DirectorProcess):
    """One director of the fleet lab.

    Attributes:
        starts: Number of starts so far. A thread that waits until the director is ready compares
            this number to detect that the director was started again in the meantime.
        was_killed: Whether the lab has killed the current process.
        clock_step_ms: Step of the director's wall clock at a `clock` fault; None if no such fault
            affects the director.
    """

    def __init__(self, setup: DirectorSetup, number: int, clock_step_ms: float | None) -> None:
        """Prepare a director without starting it.

        Before the first start, the lab must write the files at `config_path` and, if the directors
        have membership, at `fleet_path`.
        """
        super().__init__((addresses.listen_address(number), setup.port))
        self.setup = setup
        self.number = number
        self.clock_step_ms = clock_step_ms
        self.config_path = os.path.join(setup.folder, f"n{number}.json")
        self.fleet_path = os.path.join(setup.folder, f"n{number}.ini")
        self.log_path = os.path.join(setup.folder, f"n{number}.log")
        self.starts = 0
        self.was_killed = False

    def start(self) -> None:
        """Start a process for the director; no earlier process of the director may be running."""
        self.starts += 1
        self.was_killed = False
        command = [sys.executable, "-m", "mulleinrelay"]
        if self.clock_step_ms is not None:
            command = [sys.executable, "-m", "mulleinrelay.lab.fleet.stepped"]
            command.append(str(self.clock_step_ms))
        command += ["serve", "--config", self.config_path]
        if self.setup.has_membership:
            command += ["--fleet", self.fleet_path]
        with open(self.log_path, "ab") as log:
            self.process = subprocess.Popen(
                command,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                env=director_environment(self.setup.program, UNSET_VARIABLES),
                cwd=self.setup.folder,
                start_new_session=True,
            )
        self.setup.on_started(self.process.pid)

    def is_ready(self) -> bool:
        """Return whether the director accepts connections of clients.

        Raises:
            RuntimeError: If the process of the director has ended.
        """
        code = self.exit_code()
        if code is not None:
            raise RuntimeError(
                f"director n{self.number} exited with code {code}; see "
                f"{self.log_path}: {last_line(self.log_path)}"
            )
        return self.accepts_connections()

    def signal(self, number: int) -> None:
        """Send a signal to the process if it is running."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def wait(self, timeout_s: float) -> None:
        """Wait until the process has ended, then call `on_ended`; kill it if `timeout_s` passes.

        Do nothing if the director was never started.
        """
        if self.process is None:
            return
        try:
            self.process.wait(timeout_s)
        except subprocess.TimeoutExpired:
            self.process.kill()
            self.process.wait(KILL_TIMEOUT_S)
        self.setup.on_ended(self.process.pid)

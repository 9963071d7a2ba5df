"""The parts of a director's process that both labs use.

They are its environment variables, the checks whether it runs and accepts connections, and its
resource usage.
"""

import os
import socket
import subprocess
from collections.abc import Iterable
from dataclasses import dataclass

CONNECT_TIMEOUT_S = 0.2
MAX_MALLOC_ARENAS = "2"  # more arenas would add unused memory to the resident memory

# Indices of fields of /proc/PID/stat in the list of fields after the command name; see proc(5)
STAT_USER_TICKS = 11
STAT_SYSTEM_TICKS = 12
STAT_RESIDENT_PAGES = 21


@dataclass(frozen=True, slots=True)
class ProcessUsage:
    """CPU time of a process so far, and its resident memory in 10^6 bytes.

    Both are 0 if there is no process.
    """

    cpu_s: float = 0.0
    resident_mb: float = 0.0


class DirectorProcess:
    """A director's process, which can be restarted after its end; base class for both labs."""

    def __init__(self, address: tuple[str, int]) -> None:
        """Set the address at which the director listens for clients; the process starts later."""
        self.address = address
        self.process: subprocess.Popen[bytes] | None = None

    def accepts_connections(self) -> bool:
        """Return whether the director accepts connections of clients."""
        try:
            socket.create_connection(self.address, timeout=CONNECT_TIMEOUT_S).close()
        except OSError:
            return False
        return True

    def exit_code(self) -> int | None:
        """Return the exit code; None if the process is running or was never started."""
        return None if self.process is None else self.process.poll()

    def usage(self) -> ProcessUsage:
        """Return the CPU time that the current process has used so far, and its memory now."""
        if self.process is None:
            return ProcessUsage()
        try:
            with open(f"/proc/{self.process.pid}/stat", encoding="ascii") as file:
                fields = file.read().rpartition(")")[2].split()
        except OSError:
            return ProcessUsage()
        ticks = int(fields[STAT_USER_TICKS]) + int(fields[STAT_SYSTEM_TICKS])
        resident_bytes = int(fields[STAT_RESIDENT_PAGES]) * os.sysconf("SC_PAGE_SIZE")
        return ProcessUsage(ticks / os.sysconf("SC_CLK_TCK"), resident_bytes / 1e6)


def director_environment(program: str, unset: Iterable[str]) -> dict[str, str]:
    """Return the environment variables for a director's process.

    They are those of the lab, without the variables in `unset`, and with the number of malloc
    arenas and the search path of modules set for the director.

    Args:
        program: Folder that contains the package `mulleinrelay`.
        unset: Names of variables that the director must not inherit.
    """
    environment = os.environ | {"MALLOC_ARENA_MAX": MAX_MALLOC_ARENAS, "PYTHONPATH": program}
    for name in unset:
        environment.pop(name, None)
    return environment

"""What both labs share of a director as a process: environment, readiness, resource usage."""

import os
import socket
import subprocess
from collections.abc import Iterable
from dataclasses import dataclass

CONNECT_TIMEOUT_S = 0.2
MAX_MALLOC_ARENAS = "2"  # so that resident memory is that of the program, not of the allocator

# Fields of /proc/PID/stat after the command's name, see proc(5)
STAT_USER_TICKS = 11
STAT_SYSTEM_TICKS = 12
STAT_RESIDENT_PAGES = 21


@dataclass(frozen=True, slots=True)
class ProcessUsage:
    """CPU time so far and resident memory (in 10^6 bytes); both 0 once the process has ended."""

    cpu_s: float = 0.0
    resident_mb: float = 0.0


class DirectorProcess:
    """A director as a process, which may be started several times; base of both labs' handles."""

    def __init__(self, address: tuple[str, int]) -> None:
        """Keep the address at which the director listens for clients."""
        self.address = address
        self.process: subprocess.Popen[bytes] | None = None

    def accepts_connections(self) -> bool:
        """Return whether the director listens for clients."""
        try:
            socket.create_connection(self.address, timeout=CONNECT_TIMEOUT_S).close()
        except OSError:
            return False
        return True

    def exit_code(self) -> int | None:
        """Return the exit code; None where it runs or was never started."""
        return None if self.process is None else self.process.poll()

    def usage(self) -> ProcessUsage:
        """Return what the process has used so far."""
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
    """Return the environment of a director.

    Args:
        program: Folder that holds the package it runs.
        unset: Variables that must not reach it.
    """
    environment = os.environ | {"MALLOC_ARENA_MAX": MAX_MALLOC_ARENAS, "PYTHONPATH": program}
    for name in unset:
        environment.pop(name, None)
    return environment

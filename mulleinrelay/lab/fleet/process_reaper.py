"""Process that kills the remaining processes of a lab that was killed itself.

It does so if its standard input ends without the line `done`, which happens when the lab is killed.
The lab writes `+ID` for each process that it starts, and `-ID` for each process that has ended. A
director that the lab has started and not registered yet is found by its configuration file.
"""

import contextlib
import itertools
import os
import shutil
import sys
import time
from collections.abc import Iterable

import psutil

KILL_TIMEOUT_S = 5.0
# A process that the lab was starting when it was killed executes its program within this time.
START_S = 0.3


def main(folder: str, folder_use: str) -> None:
    """Track the lab's processes; if the lab dies, kill them.

    Args:
        folder: Folder of the lab, with the configurations of the directors.
        folder_use: `remove` to remove the folder if the lab dies, or `keep`.
    """
    processes: dict[int, psutil.Process] = {}
    for line in sys.stdin:
        command = line.strip()
        if command == "done":
            return
        process_id = int(command[1:])
        if command[0] == "-":
            processes.pop(process_id, None)
            continue
        with contextlib.suppress(psutil.NoSuchProcess):
            # psutil compares start times, so a later process with the same id is not killed.
            processes[process_id] = psutil.Process(process_id)
    kill_all(processes.values())
    kill_all(find_directors(folder))
    time.sleep(START_S)
    kill_all(find_directors(folder))
    if folder_use == "remove":
        shutil.rmtree(folder, ignore_errors=True)


def find_directors(folder: str) -> list[psutil.Process]:
    """Return the running directors whose configuration files are in the folder of the lab."""
    found = []
    for process in psutil.process_iter(["cmdline"]):
        arguments = process.info["cmdline"] or []
        for option, value in itertools.pairwise(arguments):
            if option == "--config" and os.path.dirname(value) == folder:
                found.append(process)
    return found


def kill_all(processes: Iterable[psutil.Process]) -> None:
    """Kill the processes, and wait until they have ended."""
    killed = list(processes)
    for process in killed:
        with contextlib.suppress(psutil.NoSuchProcess):
            process.kill()
    psutil.wait_procs(killed, timeout=KILL_TIMEOUT_S)


if __name__ == "__main__":
    main(*sys.argv[1:3])

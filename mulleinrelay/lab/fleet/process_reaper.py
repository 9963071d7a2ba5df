"""A process that ends what a lab has left behind, by process id.

It acts when its standard input ends before the line `done`, as it does when the lab is killed. The
lab writes `+ID` for each process that it starts, and `-ID` for each that it has seen end.
"""

import contextlib
import shutil
import sys

import psutil

KILL_TIMEOUT_S = 5.0


def main(folder: str = "") -> None:
    """Follow the lab's processes; at its death kill them and remove the folder, where one is given.

    Args:
        folder: The lab's temporary folder; empty where it is kept.
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
            # It knows its start time, so that a later process with the same id is spared.
            processes[process_id] = psutil.Process(process_id)
    for process in processes.values():
        with contextlib.suppress(psutil.NoSuchProcess):
            process.kill()
    psutil.wait_procs(list(processes.values()), timeout=KILL_TIMEOUT_S)
    if folder:
        shutil.rmtree(folder, ignore_errors=True)


if __name__ == "__main__":
    main(*sys.argv[1:2])

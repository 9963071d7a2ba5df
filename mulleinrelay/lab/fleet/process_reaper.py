"""Process that kills the remaining processes of a lab that was killed itself.

It does so if its standard input ends without the line `done`, which happens when the lab is killed.
The lab writes `+ID` for each process that it starts, and `-ID` for each process that has ended.
"""

import contextlib
import shutil
import sys

import psutil

KILL_TIMEOUT_S = 5.0


def main(folder: str = "") -> None:
    """Track the lab's processes; if the lab dies, kill them and remove the folder.

    Args:
        folder: Temporary folder of the lab; empty if the folder is to be kept.
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
    for process in processes.values():
        with contextlib.suppress(psutil.NoSuchProcess):
            process.kill()
    psutil.wait_procs(list(processes.values()), timeout=KILL_TIMEOUT_S)
    if folder:
        shutil.rmtree(folder, ignore_errors=True)


if __name__ == "__main__":
    main(*sys.argv[1:2])

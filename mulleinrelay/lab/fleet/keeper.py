"""Ends what a lab has left: a process of its own that knows the others by id. It acts when its
standard input ends before the word `done`, as it does when the lab is killed.
"""

import shutil
import sys

import psutil


def main(folder: str = "") -> None:
    held: dict[int, psutil.Process] = {}
    for line in sys.stdin:
        word = line.strip()
        if word == "done":
            return
        number = int(word[1:])
        if word[0] == "-":
            held.pop(number, None)
            continue
        try:
            held[number] = psutil.Process(
                number
            )  # with the time it began, so that nobody else is met
        except psutil.NoSuchProcess:
            pass
    for process in held.values():
        try:
            process.kill()
        except psutil.NoSuchProcess:
            pass
    psutil.wait_procs(list(held.values()), timeout=5.0)
    if folder:
        shutil.rmtree(folder, ignore_errors=True)


if __name__ == "__main__":
    main(*sys.argv[1:2])

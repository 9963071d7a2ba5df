"""Launcher of the program with a wall clock that a signal steps.

`python -m mulleinrelay.lab.fleet.stepped MS serve ...` runs `python -m mulleinrelay serve ...`;
each SIGUSR1 steps `time.time` by MS milliseconds, backwards if MS is negative. Only the lab starts
this launcher, for the directors that a `clock` fault affects. The module must keep its name: the
lab also starts it from earlier versions of the program, to compare versions.
"""

import signal
import sys
import threading
import time


def step_on_signal(step_s: float) -> None:
    """Replace `time.time` by a clock that each SIGUSR1 steps by `step_s` seconds.

    This function must be called before any other thread starts. SIGUSR1 must be blocked in every
    thread, and a thread inherits its blocked signals from the thread that starts it.
    """
    real_time = time.time
    offset_s = [0.0]
    time.time = lambda: real_time() + offset_s[0]
    signal.pthread_sigmask(signal.SIG_BLOCK, [signal.SIGUSR1])

    def wait_for_signals() -> None:
        while signal.sigwait([signal.SIGUSR1]):
            offset_s[0] += step_s

    threading.Thread(target=wait_for_signals, name="clock step", daemon=True).start()


def main() -> None:
    """Read the step from the first argument, and run the program with the remaining ones."""
    step_on_signal(float(sys.argv.pop(1)) / 1000.0)
    from ...cli import main as program

    program(prog_name="mulleinrelay")


if __name__ == "__main__":
    main()

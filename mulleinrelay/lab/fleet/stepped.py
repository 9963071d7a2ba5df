"""The program with a wall clock that a signal steps.

`python -m mulleinrelay.lab.fleet.stepped MS serve ...` is `python -m mulleinrelay serve ...` whose
`time.time` is MS later from each SIGUSR1 on. Only the lab starts it, for the directors that a fault
`clock` meets. The module keeps this name because the lab also starts it in earlier versions of the
program, which it compares.
"""

import signal
import sys
import threading
import time


def step_on_signal(step_s: float) -> None:
    """Replace `time.time`; each SIGUSR1 steps it by `step_s` seconds.

    To be called before any other thread starts, as these must inherit the blocked signal.
    """
    real_time = time.time
    offset_s = [0.0]
    time.time = lambda: real_time() + offset_s[0]
    signal.pthread_sigmask(signal.SIG_BLOCK, [signal.SIGUSR1])

    def wait_for_signals() -> None:
        while signal.sigwait([signal.SIGUSR1]):
            offset_s[0] += step_s

    threading.Thread(target=wait_for_signals, name="step", daemon=True).start()


def main() -> None:
    """Take the step from the first argument, and run the program with the others."""
    step_on_signal(float(sys.argv.pop(1)) / 1000.0)
    from ...cli import main as program

    program(prog_name="mulleinrelay")


if __name__ == "__main__":
    main()

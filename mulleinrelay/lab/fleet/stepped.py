"""The program with a wall clock that a signal steps: `python -m mulleinrelay.lab.fleet.stepped MS
serve ...` is `python -m mulleinrelay serve ...` whose `time.time` is MS later from each SIGUSR1 on.
Only the lab starts it, for the directors that a fault `clock` meets.
"""

import signal
import sys
import threading
import time


def step_on_signal(by: float) -> None:
    """Before any thread starts: SIGUSR1 is left to one that waits for it. `by`: seconds."""
    real, stepped = time.time, [0.0]
    time.time = lambda: real() + stepped[0]
    signal.pthread_sigmask(signal.SIG_BLOCK, [signal.SIGUSR1])

    def wait() -> None:
        while signal.sigwait([signal.SIGUSR1]):
            stepped[0] += by

    threading.Thread(target=wait, name="step", daemon=True).start()


def main() -> None:
    step_on_signal(float(sys.argv.pop(1)) / 1000.0)
    from ...cli import main as program

    program(prog_name="mulleinrelay")


if __name__ == "__main__":
    main()

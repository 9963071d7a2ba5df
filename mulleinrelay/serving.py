"""A director as a process: signals, the configuration and the exit code."""

import gc
import os
import queue
import signal
import sys
import threading
import time

from .configuration import ConfigurationError, from_environment
from .log import Log
from .net.service import Service

STACK = 128 * 1024  # bytes for each thread; of these only what is touched counts
READ_AGAIN = (0.05, 0.2, 0.0)  # s after which a configuration that can't be used is read again
DONE, NOT_STARTED, BAD_CONFIGURATION = 0, 1, 2


def serve(config: str | None, cells: str | None) -> int:
    """Gives the exit code."""
    told: queue.SimpleQueue[int] = queue.SimpleQueue()  # signals, which the main thread obeys in turn
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):  # HUP, unhandled, would end the program
        signal.signal(number, lambda number, _: told.put(number))
    try:
        start = from_environment(os.environ, config)
        threading.stack_size(STACK)
        log = Log(start.name)
        service = make(start, log, cells)
    except ConfigurationError as wrong:
        print(f"mulleinrelay: {wrong}", file=sys.stderr)
        return BAD_CONFIGURATION
    try:
        service.start()
    except OSError as wrong:
        print(f"mulleinrelay: cannot listen on {start.listen[0]}:{start.listen[1]}: {wrong.strerror}",
              file=sys.stderr)
        return NOT_STARTED
    gc.collect()
    gc.freeze()  # what stands at the start stays: the collector need not look at it again
    while told.get() == signal.SIGHUP:
        renew(service, log, config)
    service.stop()
    service.wait()
    log.close()
    return DONE


def make(start, log: Log, cells: str | None) -> Service:
    """Raises ConfigurationError, also for what is wrong with our own file."""
    if not cells:
        return Service(start, log)
    try:
        from .cells.charter import CharterError
        from .cells.own import load_own
        try:
            return Service(start, log, load_own(cells))
        except CharterError as wrong:
            raise ConfigurationError(str(wrong)) from None
    except ModuleNotFoundError as missing:
        if (missing.name or "").startswith("mulleinrelay"):
            raise
        raise ConfigurationError(f"[cells] enabled: the library {missing.name} is missing; install "
                                 "mulleinrelay[cells]") from None


def renew(service: Service, log: Log, path: str | None) -> None:
    """Reads the configuration again; where it can't be used, a few times, as it may not be whole yet."""
    for wait in READ_AGAIN:
        try:
            return service.renew(from_environment(os.environ, path))
        except ConfigurationError as wrong:
            why = str(wrong)
            time.sleep(wait)
    log.event("configuration kept", why=why)  # what was read last holds on

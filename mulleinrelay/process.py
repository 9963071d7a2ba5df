"""A director as a process: signals, the configuration and the exit code."""

import gc
import os
import resource
import signal
import sys
import threading
import time

from .config.platform import DirectorConfig, load_config
from .director import Director
from .errors import ConfigError
from .structured_log import StructuredLog

STACK = 128 * 1024  # bytes for each thread; of these only what is touched counts
READ_AGAIN = (0.05, 0.2, 0.0)  # s after which a configuration that can't be used is read again
DONE, NOT_STARTED, BAD_CONFIGURATION = 0, 1, 2


def serve(
    config: str | None, cells: str | None, management: str | None = None, fleet: str | None = None
) -> int:
    """Gives the exit code."""
    told = signals()
    try:
        start = load_config(os.environ, config)
        # Beyond what the system allows, clients and links would leave the event stream no
        # descriptor.
        start.max_descriptors = min(
            start.max_descriptors, resource.getrlimit(resource.RLIMIT_NOFILE)[0]
        )
        threading.stack_size(STACK)
        log = StructuredLog(start.name)
        service = build_director(start, log, cells, management, fleet)
    except ConfigError as wrong:
        print(f"mulleinrelay: {wrong}", file=sys.stderr)
        return BAD_CONFIGURATION
    try:
        service.start()
    except OSError as wrong:
        why = wrong.strerror or str(wrong)
        at = wrong.filename or f"{start.listen[0]}:{start.listen[1]}"
        print(f"mulleinrelay: cannot listen on {at}: {why}", file=sys.stderr)
        return NOT_STARTED
    except RuntimeError as wrong:  # what management kept can't be used, or its port is taken
        print(f"mulleinrelay: {wrong}", file=sys.stderr)
        return BAD_CONFIGURATION
    service.event_stream.read_configured_address = lambda: bus_named(config)
    gc.collect()
    gc.freeze()  # what stands at the start stays: the collector need not look at it again
    while os.read(told, 1)[0] == signal.SIGHUP:
        reload_configuration(service, log, config)
    service.stop()
    service.wait()
    log.close()
    return DONE


def signals() -> int:
    """A descriptor that brings the numbers of signals, a byte each, for the main thread to obey in
    turn. Guards against waits that a signal doesn't break: it may be another thread that the system
    interrupts, and a handler in Python runs only once the main thread goes on.
    """
    told, telling = os.pipe()
    os.set_blocking(telling, False)
    signal.set_wakeup_fd(telling, warn_on_full_buffer=False)
    for number in (
        signal.SIGTERM,
        signal.SIGINT,
        signal.SIGHUP,
    ):  # HUP, unhandled, would end the program
        signal.signal(number, lambda *_: None)  # one in Python, so that the descriptor is written
    return told


def build_director(
    start: DirectorConfig,
    log: StructuredLog,
    cells: str | None,
    management: str | None = None,
    fleet: str | None = None,
) -> Director:
    """Raises ConfigError, also for what is wrong with our own files."""
    if not cells and not management and not fleet:
        return Director(start, log)
    try:
        try:
            held, managed, talked = None, None, None
            if cells:
                from .cells.config import load_cells_config

                held = load_cells_config(cells)
            if management:
                from .management.config import load_management_config

                managed = load_management_config(management)
            if fleet:
                from .membership.config import load_fleet_config

                talked = load_fleet_config(fleet)
            return Director(start, log, held, managed, talked)
        except ConfigError as wrong:
            raise ConfigError(str(wrong)) from None
    except ModuleNotFoundError as missing:
        if (missing.name or "").startswith("mulleinrelay"):
            raise
        raise ConfigError(
            f"the library {missing.name} is missing; install mulleinrelay[cells], "
            "mulleinrelay[management] or mulleinrelay[fleet]"
        ) from None


def bus_named(path: str | None) -> tuple[str, int] | None:
    """The event stream's address as the configuration has it now; None where it can't be read."""
    try:
        return load_config(os.environ, path).event_stream_address
    except ConfigError:
        return None


def reload_configuration(service: Director, log: StructuredLog, path: str | None) -> None:
    """Reads the configuration again; where it can't be used, a few times, as it may not be whole
    yet.
    """
    for wait in READ_AGAIN:
        try:
            return service.reload(load_config(os.environ, path))
        except ConfigError as wrong:
            why = str(wrong)
            time.sleep(wait)
    log.event("configuration kept", why=why)  # what was read last holds on

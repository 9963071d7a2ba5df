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
from .errors import ConfigError, StoreError
from .structured_log import StructuredLog

THREAD_STACK_BYTES = 128 * 1024  # of each thread; only what is touched counts as memory
# Waits after which a configuration that cannot be used is read again: it may be half written.
RETRY_WAITS_S = (0.05, 0.2, 0.0)

EXIT_DONE = 0
EXIT_NOT_STARTED = 1
EXIT_BAD_CONFIGURATION = 2


def serve(
    config_path: str | None,
    cells_path: str | None,
    management_path: str | None = None,
    fleet_path: str | None = None,
) -> int:
    """Runs one director until SIGTERM or SIGINT.

    Args:
        config_path: The platform's configuration; None: the file that LB_CONFIG names.
        cells_path: Our own file on cells; None: off, as with the next two.
        management_path: Our own file on management.
        fleet_path: Our own file on the fleet.

    Returns:
        The exit code.
    """
    signals = open_signal_pipe()
    try:
        config = _load_config_within_limits(config_path)
        threading.stack_size(THREAD_STACK_BYTES)
        log = StructuredLog(config.name)
        director = build_director(config, log, cells_path, management_path, fleet_path)
    except ConfigError as error:
        return _fail(str(error), EXIT_BAD_CONFIGURATION)
    exit_code = _start(director, config)
    if exit_code != EXIT_DONE:
        return exit_code
    director.event_stream.read_configured_address = lambda: configured_event_stream(config_path)
    gc.collect()
    gc.freeze()  # what exists at the start stays: the collector need not look at it again
    _obey_signals(signals, director, log, config_path)
    log.close()
    return EXIT_DONE


def _start(director: Director, config: DirectorConfig) -> int:
    """Starts the director; returns the exit code where it cannot, with its message written."""
    try:
        director.start()
    except OSError as error:
        reason = error.strerror or str(error)
        address = error.filename or f"{config.listen[0]}:{config.listen[1]}"
        return _fail(f"cannot listen on {address}: {reason}", EXIT_NOT_STARTED)
    except (RuntimeError, StoreError) as error:
        # Stored management data cannot be used, or the port of management is taken.
        return _fail(str(error), EXIT_BAD_CONFIGURATION)
    return EXIT_DONE


def _load_config_within_limits(path: str | None) -> DirectorConfig:
    """Reads the configuration; its descriptors are bounded by what the system allows.

    Beyond that, clients and upstream connections would leave the event stream no descriptor.
    """
    config = load_config(os.environ, path)
    allowed_descriptors = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    config.max_descriptors = min(config.max_descriptors, allowed_descriptors)
    return config


def _obey_signals(
    signals: int, director: Director, log: StructuredLog, config_path: str | None
) -> None:
    """Reloads at each SIGHUP; any other signal drains the director and ends the wait."""
    while os.read(signals, 1)[0] == signal.SIGHUP:
        reload_configuration(director, log, config_path)
    director.stop()
    director.wait()


def _fail(message: str, exit_code: int) -> int:
    print(f"mulleinrelay: {message}", file=sys.stderr)
    return exit_code


def open_signal_pipe() -> int:
    """Makes signals readable, so that the main thread obeys them one after the other.

    A signal does not always interrupt a wait of the main thread: the system may deliver it to
    another thread, and a handler in Python runs only once the main thread goes on.

    Returns:
        A descriptor that brings the numbers of signals, a byte each.
    """
    read_end, write_end = os.pipe()
    os.set_blocking(write_end, False)
    signal.set_wakeup_fd(write_end, warn_on_full_buffer=False)
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        # A handler in Python, so that the descriptor is written; unhandled, each would end the
        # program.
        signal.signal(number, lambda *_: None)
    return read_end


def build_director(
    config: DirectorConfig,
    log: StructuredLog,
    cells_path: str | None,
    management_path: str | None = None,
    fleet_path: str | None = None,
) -> Director:
    """Builds a director from the files that are given.

    Raises:
        ConfigError: If one of our own files cannot be used, or a library that it needs is missing.
    """
    cells = None
    management = None
    fleet = None
    try:
        if cells_path:
            from .cells.config import load_cells_config

            cells = load_cells_config(cells_path)
        if management_path:
            from .management.config import load_management_config

            management = load_management_config(management_path)
        if fleet_path:
            from .membership.config import load_fleet_config

            fleet = load_fleet_config(fleet_path)
        return Director(config, log, cells, management, fleet)
    except ModuleNotFoundError as error:
        is_ours = (error.name or "").startswith("mulleinrelay")
        if is_ours or not (cells_path or management_path or fleet_path):
            raise
        raise ConfigError(
            f"the library {error.name} is missing; install mulleinrelay[cells], "
            "mulleinrelay[management] or mulleinrelay[fleet]"
        ) from error


def configured_event_stream(path: str | None) -> tuple[str, int] | None:
    """Returns the event stream's address by the configuration now; None if it cannot be read."""
    try:
        return load_config(os.environ, path).event_stream_address
    except ConfigError:
        return None


def reload_configuration(director: Director, log: StructuredLog, path: str | None) -> None:
    """Reads the configuration again; keeps the present one if that fails a few times."""
    reason = ""
    for wait_s in RETRY_WAITS_S:
        try:
            director.reload(load_config(os.environ, path))
            return
        except ConfigError as error:
            reason = str(error)
            time.sleep(wait_s)
    log.event("configuration kept", why=reason)

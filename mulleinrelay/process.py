"""A director as a process: signals, configuration files and exit code."""

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

THREAD_STACK_BYTES = 128 * 1024  # for each thread; only touched pages use memory
# Waits after each failed read of the configuration, which may be only partly written. The last wait
# is followed by no further read.
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
    """Run one director until SIGTERM or SIGINT.

    Args:
        config_path: File of the platform's configuration; None to use LB_CONFIG.
        cells_path: File with the configuration of cells; None to switch them off.
        management_path: File with the configuration of management; None to switch it off.
        fleet_path: File with the configuration of the fleet; None to switch it off.

    Returns:
        The exit code.

    Raises:
        CommitRejectedError: If the stored configuration of management cannot be applied.
    """
    signal_pipe = open_signal_pipe()
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
    gc.freeze()  # objects from the start live on; the collector need not scan them again
    _handle_signals(signal_pipe, director, log, config_path)
    log.close()
    return EXIT_DONE


def _start(director: Director, config: DirectorConfig) -> int:
    """Start the director; print a message if the start fails.

    Returns:
        `EXIT_DONE` if the director runs, otherwise the exit code of the process.

    Raises:
        CommitRejectedError: If the stored configuration of management cannot be applied.
    """
    try:
        director.start()
    except OSError as error:
        reason = error.strerror or str(error)
        address = error.filename or f"{config.listen[0]}:{config.listen[1]}"
        return _fail(f"cannot listen on {address}: {reason}", EXIT_NOT_STARTED)
    except (RuntimeError, StoreError) as error:
        # The stored data of management cannot be read, or its address cannot be listened on.
        return _fail(str(error), EXIT_BAD_CONFIGURATION)
    return EXIT_DONE


def _load_config_within_limits(path: str | None) -> DirectorConfig:
    """Read the configuration and reduce its `max_descriptors` to the limit of the process.

    Otherwise clients and upstream connections could use up all descriptors, and the event stream
    would get none.
    """
    config = load_config(os.environ, path)
    allowed_descriptors = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    config.max_descriptors = min(config.max_descriptors, allowed_descriptors)
    return config


def _handle_signals(
    signal_pipe: int, director: Director, log: StructuredLog, config_path: str | None
) -> None:
    """Reload the configuration on each SIGHUP; drain the director and return on other signals."""
    while os.read(signal_pipe, 1)[0] == signal.SIGHUP:
        reload_configuration(director, log, config_path)
    director.stop()
    director.wait()


def _fail(message: str, exit_code: int) -> int:
    print(f"mulleinrelay: {message}", file=sys.stderr)
    return exit_code


def open_signal_pipe() -> int:
    """Open a pipe to which received signals are written; the main thread handles them in order.

    A signal does not always interrupt a blocking call of the main thread: the kernel may deliver it
    to another thread, and a Python handler runs only after the main thread has continued.

    Returns:
        The read end of the pipe, which provides the signal numbers as one byte each.
    """
    read_end, write_end = os.pipe()
    os.set_blocking(write_end, False)
    signal.set_wakeup_fd(write_end, warn_on_full_buffer=False)
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        # The wakeup descriptor is written only for signals that have a Python handler. Without a
        # handler, each of these signals would end the program.
        signal.signal(number, lambda *_: None)
    return read_end


def build_director(
    config: DirectorConfig,
    log: StructuredLog,
    cells_path: str | None,
    management_path: str | None = None,
    fleet_path: str | None = None,
) -> Director:
    """Build a director from the given configuration files.

    Raises:
        ConfigError: If a file cannot be read or is invalid, or if a library that it requires is
            missing.
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
    """Return the event stream's address in the current configuration file.

    The result is None if the file cannot be read or is invalid.
    """
    try:
        return load_config(os.environ, path).event_stream_address
    except ConfigError:
        return None


def reload_configuration(director: Director, log: StructuredLog, path: str | None) -> None:
    """Read the configuration again, several times if it is invalid, and apply it.

    The director keeps its current configuration if all reads fail.
    """
    reason = ""
    for wait_s in RETRY_WAITS_S:
        try:
            director.reload(load_config(os.environ, path))
            return
        except ConfigError as error:
            reason = str(error)
            time.sleep(wait_s)
    log.event("configuration kept", why=reason)

"""The command line: serve, check, version."""

import argparse
import gc
import os
import queue
import signal
import sys
import threading
import time

from . import VERSION
from .configuration import ConfigurationError, from_environment
from .log import Log
from .net.service import Service

STACK = 128 * 1024  # bytes for each thread; of these only what is touched counts
READ_AGAIN = (0.05, 0.2, 0.0)  # s after which a configuration that can't be used is read again
DONE, NOT_STARTED, BAD_CONFIGURATION = 0, 1, 2


def serve(options: argparse.Namespace) -> int:
    told: queue.SimpleQueue[int] = queue.SimpleQueue()  # signals, which the main thread obeys in turn
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):  # HUP, unhandled, would end the program
        signal.signal(number, lambda number, _: told.put(number))
    start = from_environment(os.environ, options.config)
    threading.stack_size(STACK)
    log = Log(start.name)
    service = Service(start, log)
    try:
        service.start()
    except OSError as wrong:
        print(f"mulleinrelay: cannot listen on {start.listen[0]}:{start.listen[1]}: {wrong.strerror}",
              file=sys.stderr)
        return NOT_STARTED
    gc.collect()
    gc.freeze()  # what stands at the start stays: the collector need not look at it again
    while told.get() == signal.SIGHUP:
        renew(service, log, options.config)
    service.stop()
    service.wait()
    log.close()
    return DONE


def renew(service: Service, log: Log, path: str | None) -> None:
    """Reads the configuration again; where it can't be used, a few times, as it may not be whole yet."""
    for wait in READ_AGAIN:
        try:
            return service.renew(from_environment(os.environ, path))
        except ConfigurationError as wrong:
            why = str(wrong)
            time.sleep(wait)
    log.event("configuration kept", why=why)  # what was read last holds on


def check(options: argparse.Namespace) -> int:
    start = from_environment(os.environ, options.config)
    print(f"{start.name}: listens on {start.listen[0]}:{start.listen[1]}, {len(start.use_cases)} use cases, "
          f"{len(start.events)} events known, up to number {start.known}")
    return DONE


def version(_: argparse.Namespace) -> int:
    print(f"mulleinrelay {VERSION}")
    return DONE


def main(arguments: list[str] | None = None) -> int:
    parser = argparse.ArgumentParser(prog="mulleinrelay", description="A router before tiers of caches.")
    commands = parser.add_subparsers(required=True, metavar="COMMAND")
    for action, says in ((serve, "run one director until SIGTERM"),
                         (check, "read a configuration and say what is wrong with it"),
                         (version, "print the version")):
        command = commands.add_parser(action.__name__, help=says, description=says)
        command.set_defaults(action=action)
        if action is not version:
            command.add_argument("--config", metavar="FILE", help="the configuration (default: $LB_CONFIG)")
    options = parser.parse_args(arguments)
    try:
        return options.action(options)
    except ConfigurationError as wrong:
        print(f"mulleinrelay: {wrong}", file=sys.stderr)
        return BAD_CONFIGURATION

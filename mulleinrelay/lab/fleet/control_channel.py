"""Control channel between the lab and its processes, and the files of records that both write.

Commands, messages and records are lines of JSON; only the process reaper reads other lines. The lab
writes commands to the standard input of a process, and the process writes messages to its standard
output. A process that reads commands exits at the end of its standard input, so that it does not
outlive the lab.
"""

import contextlib
import os
import subprocess
import sys
from collections.abc import Callable
from typing import IO, Any, BinaryIO

import orjson

from ...standins.event_loop import READ, EventLoop

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__)))))
STDIN = 0
READ_SIZE = 1 << 20  # bytes
RECORD_BUFFER_SIZE = 1 << 18  # bytes, so that writes are few and large
MAX_ERROR_LINE_LENGTH = 300  # characters of a log's last line in an error message
EXIT_TIMEOUT_S = 5.0
STOP_TIMEOUT_S = 10.0
KILL_TIMEOUT_S = 2.0

Message = dict[str, Any]


def send_message(**message: Any) -> None:
    """Send a message from a process to the lab."""
    sys.stdout.buffer.write(orjson.dumps(message, option=orjson.OPT_APPEND_NEWLINE))
    sys.stdout.buffer.flush()


def receive_first_message() -> Message:
    """Wait for the lab's first command; must be called before `receive_messages`.

    The bytes are read one by one without a buffer, so that no part of the second command is lost.
    """
    line = bytearray()
    while not line.endswith(b"\n"):
        chunk = os.read(STDIN, 1)
        if not chunk:
            break
        line += chunk
    return orjson.loads(bytes(line))


def receive_messages(loop: EventLoop, on_message: Callable[[Message], None]) -> None:
    """Register standard input with the loop, and call `on_message` with each later command.

    The loop stops at the end of standard input.
    """
    unread = b""

    def on_ready(_: int) -> None:
        nonlocal unread
        try:
            chunk = os.read(STDIN, READ_SIZE)
        except BlockingIOError:
            return
        if not chunk:
            loop.is_stopped = True
            return
        *lines, unread = (unread + chunk).split(b"\n")
        for line in lines:
            on_message(orjson.loads(line))

    os.set_blocking(STDIN, False)
    loop.selector.register(STDIN, READ, on_ready)


def last_line(path: str) -> str:
    """Return the last line of a log, truncated to MAX_ERROR_LINE_LENGTH characters.

    If the log is empty, return a text that says so.
    """
    with open(path, "rb") as file:
        lines = file.read().decode("utf-8", "replace").strip().splitlines()
    return lines[-1][:MAX_ERROR_LINE_LENGTH] if lines else "the log is empty"


class RecordFile:
    """File of records with a line of JSON for each, written in large blocks.

    Threads of the lab add records concurrently: each record is one write to a `BufferedWriter`,
    which has its own lock.
    """

    def __init__(self, path: str) -> None:
        self.file: BinaryIO = open(path, "ab", buffering=RECORD_BUFFER_SIZE)  # noqa: SIM115 (close)

    def add(self, *record: Any) -> None:
        """Append a record, which consists of its type and its values."""
        self.file.write(orjson.dumps(record) + b"\n")

    def flush(self) -> None:
        """Write all buffered records to the file."""
        self.file.flush()

    def close(self) -> None:
        """Write all buffered records to the file and close it."""
        self.file.close()


class LabProcess:
    """Handle with which the lab controls one of its processes over the control channel."""

    def __init__(
        self,
        module: str,
        log_path: str,
        first_message: Message | None = None,
        *arguments: str,
        session: bool = False,
    ) -> None:
        """Start the process.

        Args:
            module: Name of the module in this package that the process runs.
            log_path: Path of the file for the process's standard error.
            first_message: First command to the process; None to send none yet.
            arguments: Command line arguments of the module.
            session: Whether the process gets its own session, so that signals from the terminal
                do not reach it.
        """
        self.log = open(log_path, "ab")  # noqa: SIM115 (closed by stop)
        self.process = subprocess.Popen(
            [sys.executable, "-m", f"mulleinrelay.lab.fleet.{module}", *arguments],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            stderr=self.log,
            start_new_session=session,
            env=os.environ | {"PYTHONPATH": ROOT},
        )
        assert self.process.stdin is not None and self.process.stdout is not None
        self.stdin: IO[bytes] = self.process.stdin
        self.stdout: IO[bytes] = self.process.stdout
        if first_message is not None:
            self.send(first_message)

    def send(self, message: Message) -> None:
        """Send a command. Raises RuntimeError if the process has ended."""
        try:
            self.send_line(orjson.dumps(message) + b"\n")
        except OSError as error:
            raise RuntimeError(
                f"cannot write to lab process {self.process.pid}: {error.strerror}; "
                f"see {self.log.name}"
            ) from error

    def send_line(self, line: bytes) -> None:
        """Send a line unchanged. Raises OSError or ValueError if the process has ended."""
        self.stdin.write(line)
        self.stdin.flush()

    def receive(self) -> Message:
        """Wait for the next message. Raises RuntimeError if the process has ended."""
        line = self.stdout.readline()
        if not line:
            code = self.process.wait(EXIT_TIMEOUT_S)
            raise RuntimeError(
                f"lab process {self.process.pid} exited with code {code}: "
                f"{last_line(self.log.name)}"
            )
        return orjson.loads(line)

    def stop(self, timeout_s: float = STOP_TIMEOUT_S) -> None:
        """Close the standard input, and kill the process if it does not exit in `timeout_s`."""
        with contextlib.suppress(OSError):
            self.stdin.close()
        try:
            self.process.wait(timeout_s)
        except subprocess.TimeoutExpired:
            self.process.kill()
            self.process.wait(KILL_TIMEOUT_S)
        self.stdout.close()
        self.log.close()

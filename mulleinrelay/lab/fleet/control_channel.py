"""The control channel between the lab and its processes, and their files of records.

Both are lines of JSON: commands on a process's standard input, messages on its standard output. A
process ends when its standard input does, so that none outlives the lab.
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
MAX_ERROR_LINE = 300  # characters of a log's last line in an error
EXIT_TIMEOUT_S = 5.0
STOP_TIMEOUT_S = 10.0
KILL_TIMEOUT_S = 2.0

Message = dict[str, Any]


def send_message(**message: Any) -> None:
    """Send a message from a process to the lab."""
    sys.stdout.buffer.write(orjson.dumps(message, option=orjson.OPT_APPEND_NEWLINE))
    sys.stdout.buffer.flush()


def receive_first_message() -> Message:
    """Wait for the lab's first command; it must be called before `receive_messages`.

    It reads byte by byte from the unbuffered file, so that nothing of the second command is lost.
    """
    line = bytearray()
    while not line.endswith(b"\n"):
        piece = os.read(STDIN, 1)
        if not piece:
            break
        line += piece
    return orjson.loads(bytes(line))


def receive_messages(loop: EventLoop, on_message: Callable[[Message], None]) -> None:
    """Call `on_message` with each further command; the end of standard input stops the loop."""
    unread = b""

    def on_ready(_: int) -> None:
        nonlocal unread
        try:
            piece = os.read(STDIN, READ_SIZE)
        except BlockingIOError:
            return
        if not piece:
            loop.is_stopped = True
            return
        *lines, unread = (unread + piece).split(b"\n")
        for line in lines:
            on_message(orjson.loads(line))

    os.set_blocking(STDIN, False)
    loop.selector.register(STDIN, READ, on_ready)


def last_line(path: str) -> str:
    """Return the last line of a log, shortened."""
    with open(path, "rb") as file:
        lines = file.read().decode("utf-8", "replace").strip().splitlines()
    return lines[-1][:MAX_ERROR_LINE] if lines else "it wrote nothing"


class RecordFile:
    """A file of records, a JSON line each, written in large pieces. Not thread-safe by itself."""

    def __init__(self, path: str) -> None:
        self.file: BinaryIO = open(path, "ab", buffering=RECORD_BUFFER_SIZE)  # noqa: SIM115 (close)

    def add(self, *record: Any) -> None:
        """Append a record: its type and its values."""
        self.file.write(orjson.dumps(record) + b"\n")

    def flush(self) -> None:
        """Write out what is buffered."""
        self.file.flush()

    def close(self) -> None:
        """Write out what is buffered and close the file."""
        self.file.close()


class LabProcess:
    """A process of the lab with its control channel, from the lab's side."""

    def __init__(
        self,
        module: str,
        log_path: str,
        first: Message | None = None,
        *arguments: str,
        session: bool = False,
    ) -> None:
        """Start the process.

        Args:
            module: Name of the module in this package that it runs.
            log_path: File for its standard error.
            first: Its first command.
            arguments: Its command line.
            session: Whether it gets a session of its own, so that a terminal's signals miss it.
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
        if first is not None:
            self.send(first)

    def send(self, message: Message) -> None:
        """Send a command. Raises RuntimeError where the process has ended."""
        try:
            self.send_line(orjson.dumps(message) + b"\n")
        except OSError as error:
            raise RuntimeError(
                f"a process of the lab has gone ({error.strerror}); see {self.log.name}"
            ) from error

    def send_line(self, line: bytes) -> None:
        """Send a line as it is. Raises OSError or ValueError where the process has ended."""
        self.stdin.write(line)
        self.stdin.flush()

    def receive(self) -> Message:
        """Wait for its next message. Raises RuntimeError where it has ended."""
        line = self.stdout.readline()
        if not line:
            code = self.process.wait(EXIT_TIMEOUT_S)
            raise RuntimeError(
                f"a process of the lab ended with {code}: {last_line(self.log.name)}"
            )
        return orjson.loads(line)

    def stop(self, timeout_s: float = STOP_TIMEOUT_S) -> None:
        """End its standard input; it writes its records and exits, or is killed."""
        with contextlib.suppress(OSError):
            self.stdin.close()
        try:
            self.process.wait(timeout_s)
        except subprocess.TimeoutExpired:
            self.process.kill()
            self.process.wait(KILL_TIMEOUT_S)
        self.stdout.close()
        self.log.close()

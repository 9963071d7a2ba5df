"""Lines of JSON between the lab and its processes: commands on standard input, words on standard
output. A process of the lab ends when its standard input does, so that none outlives it.
"""

import os
import subprocess
import sys
from collections.abc import Callable
from typing import Any, BinaryIO

import orjson

from ...standins.event_loop import READ, EventLoop

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__)))))


def say(**held: Any) -> None:
    sys.stdout.buffer.write(orjson.dumps(held, option=orjson.OPT_APPEND_NEWLINE))
    sys.stdout.buffer.flush()


def obey(loop: EventLoop, obeyed: Callable[[dict], None]) -> None:
    """Each line of standard input is given to `obeyed`; its end ends the loop."""
    held = b""

    def ready(_: int) -> None:
        nonlocal held
        try:
            piece = os.read(0, 1 << 20)
        except BlockingIOError:
            return
        if not piece:
            loop.is_stopped = True
            return
        *lines, held = (held + piece).split(b"\n")
        for line in lines:
            obeyed(orjson.loads(line))

    os.set_blocking(0, False)
    loop.selector.register(0, READ, ready)


def last_line(path: str) -> str:
    with open(path, "rb") as file:
        lines = file.read().decode("utf-8", "replace").strip().splitlines()
    return lines[-1][:300] if lines else "it wrote nothing"


class Records:
    """A file of JSON lines, written in large pieces."""

    def __init__(self, path: str) -> None:
        self.file: BinaryIO = open(path, "ab", buffering=1 << 18)  # closed by its process

    def add(self, *held: Any) -> None:
        self.file.write(orjson.dumps(held) + b"\n")

    def close(self) -> None:
        self.file.close()


class Helper:
    """One process of the lab, as the lab sees it."""

    def __init__(
        self,
        module: str,
        log_path: str,
        first: dict | None = None,
        *arguments: str,
        session: bool = False,
    ) -> None:
        self.log = open(log_path, "ab")
        self.process = subprocess.Popen(
            [sys.executable, "-m", f"mulleinrelay.lab.fleet.{module}", *arguments],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            stderr=self.log,
            start_new_session=session,
            env=os.environ | {"PYTHONPATH": ROOT},
        )
        if first is not None:
            self.tell(first)

    def tell(self, held: dict) -> None:
        try:
            self.process.stdin.write(orjson.dumps(held) + b"\n")
            self.process.stdin.flush()
        except OSError as wrong:
            raise RuntimeError(
                f"a process of the lab has gone ({wrong.strerror}); see {self.log.name}"
            ) from None

    def hear(self) -> dict:
        """Its next word. Raises RuntimeError where it has ended."""
        line = self.process.stdout.readline()
        if not line:
            code = self.process.wait(5.0)
            raise RuntimeError(
                f"a process of the lab ended with {code}: {last_line(self.log.name)}"
            )
        return orjson.loads(line)

    def end(self, seconds: float = 10.0) -> None:
        """Its input ends; it writes what it has and exits, or is killed."""
        try:
            self.process.stdin.close()
        except OSError:
            pass
        try:
            self.process.wait(seconds)
        except subprocess.TimeoutExpired:
            self.process.kill()
            self.process.wait(2.0)
        self.process.stdout.close()
        self.log.close()

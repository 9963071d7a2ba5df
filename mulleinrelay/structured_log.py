"""One JSON line an event, on standard error, written by a thread of its own: a log that nobody
reads holds up nothing, and what does not fit is counted.
"""

import os
import queue
import threading
import time
import traceback

import orjson

WAITING_MOST = 1000  # lines
ALIKE_MOST = (
    20  # lines a second of one event: clients that send what can't be read write the log otherwise
)


class StructuredLog:
    def __init__(self, name: str = "", descriptor: int = 2) -> None:
        self.name, self.descriptor = name, descriptor
        self.lines: queue.SimpleQueue[bytes | None] = queue.SimpleQueue()
        self.dropped, self.second = 0, 0
        self.written: dict[str, int] = {}  # lines of each event in this second
        self.thread = threading.Thread(target=self._write, name="log", daemon=True)
        self.thread.start()

    def event(self, what: str, **figures: object) -> None:
        now = time.time()
        if int(now) != self.second:
            self.second, self.written = int(now), {}
        alike = self.written[what] = self.written.get(what, 0) + 1
        if alike > ALIKE_MOST or self.lines.qsize() >= WAITING_MOST:
            self.dropped += 1
            return
        if self.dropped:
            figures["dropped"], self.dropped = self.dropped, 0
        line = {"at": round(now, 3), "director": self.name, "event": what, **figures}
        self.lines.put(orjson.dumps(line, default=str, option=orjson.OPT_APPEND_NEWLINE))

    def exception(self, where: str, broken: BaseException) -> None:
        last = traceback.extract_tb(broken.__traceback__)[-3:]
        self.event(
            "fault",
            where=where,
            kind=type(broken).__name__,
            text=str(broken),
            trace=[
                f"{step.filename.rpartition('/')[2]}:{step.lineno} {step.name}" for step in last
            ],
        )

    def close(self, seconds: float = 0.2) -> None:
        """Waits so long at most for the lines that are still to be written."""
        self.lines.put(None)
        self.thread.join(seconds)

    def _write(self) -> None:
        while (line := self.lines.get()) is not None:
            try:
                while line:
                    line = line[os.write(self.descriptor, line) :]
            except OSError:  # nobody reads the log any more; the director goes on
                pass

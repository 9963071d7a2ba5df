"""The log: one JSON line an event, written by a thread of its own.

A log that nobody reads blocks nothing: what does not fit is dropped and counted.
"""

import os
import queue
import threading
import time
import traceback

import orjson

MAX_QUEUED_LINES = 1000
# Lines of one event in a second: clients that send what cannot be read would fill the log.
MAX_LINES_PER_EVENT = 20
TRACE_FRAMES = 3  # of an exception, the innermost
STANDARD_ERROR = 2  # its file descriptor


class StructuredLog:
    """Writes events as JSON lines; may be used from any thread, and never blocks.

    Counters are not guarded: two threads at once may count a line too few, which does no harm.
    """

    def __init__(self, name: str = "", descriptor: int = STANDARD_ERROR) -> None:
        """Starts the writing thread.

        Args:
            name: The director's, in each line.
            descriptor: Where lines are written.
        """
        self.name = name
        self.descriptor = descriptor
        self.lines: queue.SimpleQueue[bytes | None] = queue.SimpleQueue()
        self.dropped_count = 0  # since the last line
        self.current_second = 0  # of the Unix time, in which events are counted
        self.count_by_event: dict[str, int] = {}
        self.thread = threading.Thread(target=self._write, name="log", daemon=True)
        self.thread.start()

    def event(self, name: str, /, **fields: object) -> None:
        """Logs an event with these fields, unless it comes too often or the queue is full."""
        now = time.time()
        if int(now) != self.current_second:
            self.current_second = int(now)
            self.count_by_event = {}
        count = self.count_by_event.get(name, 0) + 1
        self.count_by_event[name] = count
        if count > MAX_LINES_PER_EVENT or self.lines.qsize() >= MAX_QUEUED_LINES:
            self.dropped_count += 1
            return
        if self.dropped_count:
            fields["dropped"] = self.dropped_count
            self.dropped_count = 0
        line = {"at": round(now, 3), "director": self.name, "event": name, **fields}
        self.lines.put(orjson.dumps(line, default=str, option=orjson.OPT_APPEND_NEWLINE))

    def exception(self, where: str, error: BaseException) -> None:
        """Logs an unexpected exception as the event `fault`, with the end of its traceback."""
        frames = traceback.extract_tb(error.__traceback__)[-TRACE_FRAMES:]
        self.event(
            "fault",
            where=where,
            kind=type(error).__name__,
            text=str(error),
            trace=[
                f"{frame.filename.rpartition('/')[2]}:{frame.lineno} {frame.name}"
                for frame in frames
            ],
        )

    def close(self, timeout_s: float = 0.2) -> None:
        """Waits so long at the most for the lines that are still to be written."""
        self.lines.put(None)
        self.thread.join(timeout_s)

    def _write(self) -> None:
        while (line := self.lines.get()) is not None:
            try:
                while line:
                    line = line[os.write(self.descriptor, line) :]
            except OSError:  # nobody reads the log any more; the director goes on
                pass

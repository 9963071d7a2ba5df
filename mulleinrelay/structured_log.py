"""Structured log: one JSON line per event, written by the log's own thread.

If the reader of the log stalls, the threads that log events do not block: lines that do not fit
into the queue are dropped and counted.
"""

import os
import queue
import threading
import time
import traceback

import orjson

MAX_QUEUED_LINES = 1000
# Without this limit, clients that send malformed requests would fill the log.
MAX_LINES_PER_EVENT_PER_S = 20
MAX_TRACE_FRAMES = 3  # innermost frames of an exception that are logged
STDERR_DESCRIPTOR = 2


class StructuredLog:
    """Log of events as JSON lines. Any thread may use it, and logging never blocks.

    The counters are not guarded by a lock, so concurrent threads may count too few lines. That does
    no harm.
    """

    def __init__(self, name: str = "", descriptor: int = STDERR_DESCRIPTOR) -> None:
        """Start the writing thread.

        Args:
            name: Name of the director, which is part of each line.
            descriptor: File descriptor that lines are written to.
        """
        self.name = name
        self.descriptor = descriptor
        self.queued_lines: queue.SimpleQueue[bytes | None] = queue.SimpleQueue()
        self.dropped_count = 0  # lines dropped since a line was last queued
        # Unix second in which the lines of `counts_by_event` were logged, including dropped ones
        self.current_second = 0
        self.counts_by_event: dict[str, int] = {}
        self.thread = threading.Thread(target=self._write, name="log", daemon=True)
        self.thread.start()

    def event(self, name: str, /, **fields: object) -> None:
        """Log an event with the given fields.

        The line is dropped if the event has had `MAX_LINES_PER_EVENT_PER_S` lines in this second,
        or if the queue is full. The next line that is queued has the number of dropped lines in the
        field `dropped`.
        """
        now = time.time()
        if int(now) != self.current_second:
            self.current_second = int(now)
            self.counts_by_event = {}
        count = self.counts_by_event.get(name, 0) + 1
        self.counts_by_event[name] = count
        if count > MAX_LINES_PER_EVENT_PER_S or self.queued_lines.qsize() >= MAX_QUEUED_LINES:
            self.dropped_count += 1
            return
        if self.dropped_count:
            fields["dropped"] = self.dropped_count
            self.dropped_count = 0
        line = {"at": round(now, 3), "director": self.name, "event": name, **fields}
        self.queued_lines.put(orjson.dumps(line, default=str, option=orjson.OPT_APPEND_NEWLINE))

    def exception(self, where: str, error: BaseException) -> None:
        """Log an unexpected exception as the event `fault`, with the end of its traceback.

        Args:
            where: Part of the program that caught the exception.
            error: The exception.
        """
        frames = traceback.extract_tb(error.__traceback__)[-MAX_TRACE_FRAMES:]
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
        """End the writing thread after the queued lines; wait up to `timeout_s` for its end."""
        self.queued_lines.put(None)
        self.thread.join(timeout_s)

    def _write(self) -> None:
        while (line := self.queued_lines.get()) is not None:
            try:
                while line:
                    line = line[os.write(self.descriptor, line) :]
            except OSError:  # the log's reader has closed it, or the disk is full: drop the line
                pass

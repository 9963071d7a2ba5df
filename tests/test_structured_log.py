"""Tests of the structured log."""

import json
import os
import threading

from helpers import (
    wait_for,
)

from mulleinrelay.structured_log import StructuredLog


def test_stalled_reader_of_the_log_blocks_no_other_thread():
    # The director logs while it holds the coordinator's lock, so a stalled reader of the log must
    # not block the director.
    read_end, write_end = os.pipe()
    log, chunks = StructuredLog("n3", write_end), []
    burst = threading.Thread(
        target=lambda: [log.event(f"e{number % 1500}", text="x" * 200) for number in range(3000)],
        daemon=True,
    )
    burst.start()
    burst.join(5.0)
    assert not burst.is_alive()
    reader = threading.Thread(
        target=lambda: chunks.extend(iter(lambda: os.read(read_end, 65_536), b"")), daemon=True
    )
    reader.start()
    assert wait_for(log.queued_lines.empty)
    log.event("last")
    log.close(5.0)
    os.close(write_end)
    reader.join(5.0)
    lines = [json.loads(line) for line in b"".join(chunks).splitlines()]
    assert sum(1 + line.get("dropped", 0) for line in lines) == 3001 and len(lines) < 3001
    assert (lines[-1]["event"], lines[-1]["director"]) == ("last", "n3")
    os.close(read_end)

"""The log."""

import json
import os
import threading

from helpers import (
    wait_for,
)

from mulleinrelay.structured_log import StructuredLog


def test_log_that_nobody_reads_blocks_nothing():
    # Guards against a stalled reader of the log that stops the director under the module's lock.
    reads, writes = os.pipe()
    log, held = StructuredLog("n3", writes), []
    burst = threading.Thread(
        target=lambda: [log.event(f"e{i % 1500}", text="x" * 200) for i in range(3000)], daemon=True
    )
    burst.start()
    burst.join(5.0)
    assert not burst.is_alive()
    reader = threading.Thread(
        target=lambda: held.extend(iter(lambda: os.read(reads, 65_536), b"")), daemon=True
    )
    reader.start()
    assert wait_for(log.lines.empty)
    log.event("last")
    log.close(5.0)
    os.close(writes)
    reader.join(5.0)
    lines = [json.loads(line) for line in b"".join(held).splitlines()]
    assert sum(1 + line.get("dropped", 0) for line in lines) == 3001 and len(lines) < 3001
    assert (lines[-1]["event"], lines[-1]["director"]) == ("last", "n3")
    os.close(reads)

"""The wall clock of the stand-ins."""

import time


def now_ms() -> float:
    """Return the wall clock time in Unix milliseconds."""
    return time.time() * 1000.0

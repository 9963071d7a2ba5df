"""One JSON line an event, on standard error."""

import os
import time
import traceback

import orjson


class Log:
    def __init__(self, name: str = "", descriptor: int = 2) -> None:
        self.name, self.descriptor = name, descriptor

    def event(self, what: str, **figures: object) -> None:
        line = {"at": round(time.time(), 3), "director": self.name, "event": what, **figures}
        try:
            os.write(self.descriptor, orjson.dumps(line, default=str, option=orjson.OPT_APPEND_NEWLINE))
        except OSError:  # nobody reads the log any more; the director goes on
            pass

    def fault(self, where: str, broken: BaseException) -> None:
        last = traceback.extract_tb(broken.__traceback__)[-3:]
        self.event("fault", where=where, kind=type(broken).__name__, text=str(broken),
                   trace=[f"{step.filename.rpartition('/')[2]}:{step.lineno} {step.name}" for step in last])

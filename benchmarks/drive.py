"""Drives the front and the module of one director in this process, without nodes: CPU of a request.
Run as a script with a folder that holds some version of the package, so that versions can be set
side by side: it plays as many requests as each line of its input says, and answers with the CPU
they took.
"""

import itertools
import json
import socket
import struct
import sys
import time
from collections.abc import Callable

OBJECTS = 300


def configuration() -> dict:
    case = {
        "idempotency": "safe",
        "slo": 400.0,
        "deadline": 3000.0,
        "memorySpan": 6000.0,
        "group": "all",
    }
    rows = [
        {
            "id": f"s-{place:02}",
            "zone": zone,
            "kind": kind,
            "cell": 0,
            "state": "SERVING",
            "weight": 4,
            "started_ms": 0,
            "addr": f"127.0.0.1:{place + 1}",
        }
        for place, (zone, kind) in enumerate(
            [("edge", "box")] * 5 + [("hub", "parent")] * 2 + [("hub", "origin")]
        )
    ]
    return {
        "name": "n1",
        "listen": "127.0.0.1:0",
        "seed": "8c1f",
        "bus": "127.0.0.1:1",
        "limits": {"memory_mb": 192, "sockets": 1024},
        "known": {
            "offset": 1,
            "batch": [{"offset": 1, "topology": {"version": 1, "full": True, "servers": rows}}],
        },
        "settings": {
            "allowed": {
                "cancel": True,
                "connIdle": 30000.0,
                "connectTimeout": 400.0,
                "maxAttempts": 6,
                "maxRetryAfter": 1000.0,
                "maxStreams": 64,
                "mayDuplicate": True,
                "mayProbe": False,
                "retryAfter": True,
            },
            "azs": ["hub", "edge"],
            "shapes": ["box", "parent", "origin"],
            "balancers": 3,
            "myZone": 1,
            "registryMode": "automatic",
            "weights": "nominal",
            "classes": [case | {"name": "pages"}],
            "domain": {
                "collapses": True,
                "countByZone": [0, 1],
                "freshFor": [0.0],
                "mayPassBy": True,
                "midKind": 1,
                "neverKept": [False],
                "oneFlowKbPerS": 8000.0,
                "parentStartsAt": 1.0,
                "parentWarmsIn": 1.0,
                "peersFill": "location",
                "purgeTakes": 1000.0,
                "storeKind": 2,
            },
            "report": {"how": "none", "columns": []},
            "rules": {"coldFrom": 1.0, "cold": 1.0, "overloadFor": 1000.0},
        },
    }


def frame(number: int) -> memoryview:
    fields = {
        "route": "pages",
        "trace": f"{number:016x}",
        "patience": "1500",
        "nth": "0",
        "batch": "1",
        "entity": f"{number * 7919 % OBJECTS:016x}",
        "size": "4.0",
        "tenant": "acme",
    }
    pairs = b"".join(
        struct.pack(">i", len(text)) + text.encode() for pair in fields.items() for text in pair
    )
    return memoryview(
        struct.pack(">Ii", 0x80010001, 5)
        + b"serve"
        + struct.pack(">i", number)
        + b"\x0d\x00\x01\x0b\x0b"
        + struct.pack(">i", len(fields))
        + pairs
        + b"\x0b\x00\x02"
        + struct.pack(">i", 0)
        + b"\x00"
    )


def drive(cells: str) -> Callable[[int], float]:
    """Gives what plays so many requests and tells the CPU they took."""
    from mulleinrelay import director
    from mulleinrelay.config.platform import parse_config
    from mulleinrelay.net import client_listener, resp
    from mulleinrelay.policy.model import CacheStatus, Outcome

    class Quiet:
        def event(self, *_, **__):
            """Nothing is logged."""

        exception = event

    start = parse_config(json.dumps(configuration()))
    if cells:
        from mulleinrelay.cells.config import load_cells_config

        made = director.Director(start, Quiet(), load_cells_config(cells))
    else:
        made = director.Director(start, Quiet())
    for number, event in enumerate(start.known_events, 1):
        made.event_stream.apply(number, event)
    if cells:
        made.cell_service._step()

    class Nodes:
        """Answers each attempt at once, as a cache that holds the object."""

        def send(self, order, asked):
            resp.pull(asked, order, 1000.0)
            made.coordinator.report_outcome(
                order.attempt, Outcome.SERVED, CacheStatus.HIT, answer=held
            )

        def give_up(self, attempt):
            """Never called off here."""

    held = type("Told", (), {"kept": False, "body": bytes(400)})()
    made.listener.upstream = Nodes()
    ours, theirs = socket.socketpair()
    client = client_listener.ClientConnection(ours)

    theirs.setblocking(False)
    numbers = itertools.count(1)

    def chunk(requests: int) -> float:
        """Seconds of this thread's CPU; the other end is read between chunks, which fit into its
        buffer.
        """
        frames = [frame(next(numbers)) for _ in range(requests)]
        begun = time.thread_time()
        for each in frames:
            made.listener._call(client, each)
        made.coordinator.run_due_timers()
        used = time.thread_time() - begun
        try:
            while theirs.recv(1 << 20):
                continue
        except BlockingIOError:
            pass
        return used

    return chunk


if __name__ == "__main__":
    sys.path.insert(0, sys.argv[1])
    run = drive(sys.argv[2] if len(sys.argv) > 2 else "")
    for line in sys.stdin:  # a number of requests a line
        print(run(int(line)), flush=True)

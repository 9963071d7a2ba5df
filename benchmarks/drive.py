"""Script that measures the CPU time of requests in one director, without connections to endpoints.

The CPU time covers the decoding of a request, the client listener, the routing policy, and the
encoding of the attempts and of the answer. The first argument is a folder that holds a version of
the package (0.3 or later), so that versions can be compared. The second argument is the path of a
cells configuration; it is empty or missing if the director has no cells. Each line of the standard
input is a number of requests: the script plays them and prints the CPU seconds that they took.
"""

import importlib
import itertools
import json
import socket
import struct
import sys
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, cast

OBJECTS = 300  # number of different objects that are requested
BATCH = 100  # requests whose answers are read together; they must fit into the socket's buffer


def configuration() -> dict:
    """Return the platform's configuration of the director, in the format of LB_CONFIG."""
    request_class = {
        "idempotency": "safe",
        "slo": 400.0,
        "deadline": 3000.0,
        "memorySpan": 6000.0,
        "group": "all",
    }
    rows = [
        {
            "id": f"s-{index:02}",
            "zone": zone,
            "kind": kind,
            "cell": 0,
            "state": "SERVING",
            "weight": 4,
            "started_ms": 0,
            "addr": f"127.0.0.1:{index + 1}",
        }
        for index, (zone, kind) in enumerate(
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
            "classes": [request_class | {"name": "pages"}],
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


def request_message(number: int) -> memoryview:
    """Return the Thrift message of one request, without its length prefix."""
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


class NullLog:
    """A log that writes nothing, with the method names of 0.3 and of the present version."""

    def event(self, *_, **__):
        """Ignore the event."""

    exception = fault = event


@dataclass
class DirectorParts:
    """The parts of a director that the benchmark uses; their names differ between versions."""

    director: Any
    listener: Any  # the object that handles the calls of clients
    handle_call: Callable[[Any, Any], None]
    upstream_field: str  # name of the listener's attribute that holds the upstream connections
    report_outcome: Callable[..., None]
    run_due_timers: Callable[[], Any]
    served_from_cache: tuple[Any, Any]  # outcome and cache status of a hit
    client_type: type
    thrift: Any
    encode_attempt: Callable[..., Any]


def current_parts(cells: str) -> DirectorParts:
    """Create a director of a version whose modules have the present names, and return its parts.

    Args:
        cells: Path of a cells configuration; empty: the director has no cells.
    """
    from mulleinrelay.config.platform import parse_config
    from mulleinrelay.director import Director
    from mulleinrelay.net import resp, thrift
    from mulleinrelay.net.client_connection import ClientConnection
    from mulleinrelay.policy.model import CacheStatus, Outcome

    config = parse_config(json.dumps(configuration()))
    cells_config = None
    if cells:
        from mulleinrelay.cells.config import load_cells_config

        cells_config = load_cells_config(cells)
    director: Any = Director(config, cast(Any, NullLog()), cells_config)
    for line_number, event in enumerate(config.known_events, 1):
        director.event_stream.apply(line_number, event)
    if cells:
        director.cell_service._step()
    return DirectorParts(
        director,
        director.request_handler,
        director.request_handler.handle_call,
        "upstream",
        director.coordinator.report_outcome,
        director.coordinator.run_due_timers,
        (Outcome.SERVED, CacheStatus.HIT),
        ClientConnection,
        thrift,
        resp.attempt_command,
    )


def parts_0_3(cells: str) -> DirectorParts:
    """Create a director of version 0.3, whose modules have other names, and return its parts.

    Args:
        cells: Path of a cells configuration; empty: the director has no cells.
    """

    # The present version does not contain these modules, so a type check would reject imports.
    def module(name: str) -> Any:
        return importlib.import_module(f"mulleinrelay.{name}")

    config = module("configuration").decode(json.dumps(configuration()))
    own = module("cells.own").load_own(cells) if cells else None
    director = module("net.service").Service(config, NullLog(), own)
    for line_number, event in enumerate(config.events, 1):
        director.bus.apply(line_number, event)
    if cells:
        director.warden._step()
    return DirectorParts(
        director,
        director.front,
        director.front._call,
        "caches",
        director.facade.report,
        director.facade.tick,
        (module("interface").Outcome.SERVED, module("interface").Note.HIT),
        module("net.client").Client,
        module("net.thrift"),
        module("net.resp").pull,
    )


class AnsweringUpstream:
    """A stand-in for the upstream connections that answers each attempt at once with a hit."""

    def __init__(self, parts: DirectorParts) -> None:
        self.parts = parts
        fields = {"is_not_modified": False, "kept": False, "body": bytes(400)}
        self.answer = type("Answer", (), fields)()

    def send(self, step: Any, request: Any) -> None:
        """Encode the attempt and report its answer."""
        self.parts.encode_attempt(request, step, 1000.0)
        outcome, status = self.parts.served_from_cache
        self.parts.report_outcome(step.attempt, outcome, status, answer=self.answer)

    def cancel(self, attempt: Any) -> None:
        """Do nothing, because each attempt has already been answered."""

    give_up = cancel

    def fullness(self) -> float:
        """Return 0, because no connection is in use."""
        return 0.0


def count_answers(connection: socket.socket) -> int:
    """Read the received answers, and return their number.

    Each answer contains the name of its method exactly once.
    """
    received = b""
    try:
        while chunk := connection.recv(1 << 20):
            received += chunk
    except BlockingIOError:
        pass
    return received.count(b"serve")


def make_player(cells: str) -> Callable[[int], float]:
    """Return a function that plays a number of requests and returns the CPU seconds they took.

    Args:
        cells: Path of a cells configuration; empty: the director has no cells.
    """
    try:
        parts = current_parts(cells)
    except ModuleNotFoundError as error:
        if error.name != "mulleinrelay.config":
            raise
        parts = parts_0_3(cells)
    setattr(parts.listener, parts.upstream_field, AnsweringUpstream(parts))
    director_side, client_side = socket.socketpair()
    client = parts.client_type(director_side)
    client_side.setblocking(False)
    numbers = itertools.count(1)

    def play_batch(requests: int) -> float:
        messages = [request_message(next(numbers)) for _ in range(requests)]
        began = time.thread_time()
        for message in messages:
            call = parts.thrift.read_call(message)
            call.received_at = time.monotonic()
            parts.handle_call(client, call)
        parts.run_due_timers()
        return time.thread_time() - began

    def play(requests: int) -> float:
        used = 0.0
        while requests > 0:
            batch = min(requests, BATCH)
            used += play_batch(batch)
            if (answers := count_answers(client_side)) != batch:
                raise RuntimeError(f"{answers} of {batch} requests were answered")
            requests -= batch
        return used

    return play


if __name__ == "__main__":
    sys.path.insert(0, sys.argv[1])
    run = make_player(sys.argv[2] if len(sys.argv) > 2 else "")
    for line in sys.stdin:
        print(run(int(line)), flush=True)

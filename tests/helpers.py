"""Stand-ins for tests: recorders and small fleets without sockets, and servers on loopback.

Without sockets: an action sink that records, a router with a small fleet, a coordinator with a
clock of its own. On loopback: an endpoint, an event stream, a client, a director, the program.
"""

import contextlib
import itertools
import json
import os
import socket
import struct
import subprocess
import sys
import threading
import time

from mulleinrelay.config.platform import JsonSection, parse_config, parse_service_settings
from mulleinrelay.coordinator import CancelAttempt, RequestCoordinator
from mulleinrelay.director import Director
from mulleinrelay.net import resp, thrift
from mulleinrelay.policy.events import (
    AttemptFinished,
    EndpointEntry,
    EndpointsUpdated,
    RequestReceived,
)
from mulleinrelay.policy.latency import TrackedEndpoint
from mulleinrelay.policy.model import (
    IDEMPOTENT,
    Attempt,
    CacheStatus,
    EndpointState,
    EndpointUpdate,
    Outcome,
    Request,
    RequestClass,
    SendAttempt,
    ServiceSettings,
    SlowStartPolicy,
)
from mulleinrelay.policy.router import Router

CACHE, PARENT, ORIGIN = 0, 2, 3
HIT_ANSWER = (b"DONE", b"why=HIT,entity=aa,issued=1", b"bytes")
RESPONSE_HEAD = b"HTTP/1.1 200 OK\r\n\r\n"
PURGE = {"ban": {"url": "00000000000000ab", "ts": 1}}
PROJECT_ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))


class ActionRecorder:
    """Keeps every action as (name, arguments)."""

    def __init__(self):
        self.entries = []

    def __getattr__(self, name):
        return lambda *arguments: self.entries.append((name, arguments))

    def take(self, name):
        found = [arguments for action, arguments in self.entries if action == name]
        self.entries = [entry for entry in self.entries if entry[0] != name]
        return found


class RouterFixture:
    """A router in front of three caches, two parents and an origin; each call moves the clock."""

    def __init__(
        self,
        idempotency=IDEMPOTENT,
        group="all",
        is_uncacheable=False,
        cache_started_at=None,
        parents_started_at=0.0,
        **changes,
    ):
        request_class = RequestClass(
            idempotency, 500.0, 2.0, 6000.0, 5000.0, group, 0.0, is_uncacheable
        )
        settings = {
            "request_classes": [request_class],
            "zone": 1,
            "director_count": 3,
            "local_director_count": 1,
            "parent_kind": PARENT,
            "origin_kind": ORIGIN,
            "advertises_weights": True,
            "transfer_rate": 10.0,
            "max_attempts": 6,
            "allows_hedging": True,
            "allows_cancel": True,
            "allows_health_checks": False,
            "allows_retry_after": True,
            "max_retry_after": 1000.0,
            "allows_cache_bypass": True,
            "allows_coalescing": True,
            "allows_sibling_fills": True,
            "requires_subscription": False,
            "load_report_fields": ["crowding"],
            "polls_load_reports": False,
            "cache_slow_start": SlowStartPolicy(0.2, 17000.0, 1500.0, 2.5),
            "parent_slow_start": SlowStartPolicy(0.063, 20000.0, 1500.0, 2.0),
            "purge_propagation": 6000.0,
        }
        self.settings = ServiceSettings(**(settings | changes))
        self.request_class, self.now, self.actions = request_class, 100000.0, ActionRecorder()
        self.router = Router(self.now, 7, self.settings)
        self.caches = [TrackedEndpoint(key) for key in (11, 12, 13)]
        self.parents = [TrackedEndpoint(key) for key in (21, 22)]
        self.origin = TrackedEndpoint(31)
        self.request_count = 0
        rows = [
            self.endpoint_entry(
                cache, CACHE, 1, cache_started_at if cache is self.caches[0] else None
            )
            for cache in self.caches
        ]
        rows += [
            self.endpoint_entry(parent, PARENT, 0, parents_started_at) for parent in self.parents
        ]
        rows.append(self.endpoint_entry(self.origin, ORIGIN, 0, None))
        self.handle(EndpointsUpdated(rows, True))

    def endpoint_entry(self, endpoint, kind, zone, started_at=None, state=EndpointState.READY):
        return EndpointEntry(endpoint, state, 6.0, kind, zone, 0, started_at or 0.0)

    def handle(self, event, after=0.0):
        self.now += after
        self.router.handle(self.now, [event], self.actions)

    def receive_request(
        self, object_id=None, size_kb=1000.0, remaining_time=6000.0, after=1.0
    ) -> Request:
        self.now += after
        self.request_count += 1
        object_id = object_id or 1000 + self.request_count
        request = Request(
            self.request_count,
            self.request_class,
            object_id,
            0,
            1,
            size_kb,
            self.now,
            self.now + remaining_time,
        )
        self.handle(RequestReceived(request))
        return request

    def finish_attempt(
        self,
        attempt,
        outcome=Outcome.SERVED,
        cache_status=CacheStatus.HIT,
        first_byte=0.0,
        after=0.0,
        load_report=None,
    ):
        is_complete = outcome == Outcome.SERVED
        self.handle(
            AttemptFinished(
                attempt, outcome, 100.0, is_complete, cache_status, first_byte, load_report
            ),
            after,
        )


def start_settings(**changes):
    """Start settings as an instance or a director is given them; a change replaces keys of one
    part.
    """
    case = {
        "idempotency": "safe",
        "slo": 500.0,
        "deadline": 6000.0,
        "memorySpan": 5000.0,
        "group": "all",
    }
    whole = {
        "allowed": {
            "cancel": True,
            "connIdle": 30000.0,
            "connectTimeout": 400.0,
            "maxAttempts": 6,
            "maxRetryAfter": 1000.0,
            "maxStreams": 2,
            "mayDuplicate": True,
            "mayProbe": True,
            "retryAfter": True,
        },
        "azs": ["hub", "edge"],
        "shapes": ["box", "parent", "origin"],
        "balancers": 3,
        "myZone": 1,
        "registryMode": "automatic",
        "weights": "nominal",
        "classes": [
            case | {"name": "pages"},
            case | {"name": "order", "idempotency": "keyed"},
            case | {"name": "pay", "idempotency": "unsafe"},
        ],
        "domain": {
            "collapses": True,
            "countByZone": [0, 1],
            "freshFor": [0.0, 0.0, 0.0],
            "mayPassBy": True,
            "midKind": 1,
            "neverKept": [False, True, True],
            "oneFlowKbPerS": 8000.0,
            "parentStartsAt": 0.1,
            "parentWarmsIn": 20000.0,
            "peersFill": "location",
            "purgeTakes": 6000.0,
            "storeKind": 2,
        },
        "report": {"how": "none", "columns": []},
        "rules": {"coldFrom": 0.2, "cold": 17000.0, "overloadFor": 1500.0},
    }
    for part, keys in changes.items():
        whole[part] = whole[part] | keys
    return whole


ENDPOINTS = [
    ("s-01", "edge", "box"),
    ("s-02", "edge", "box"),
    ("s-03", "edge", "box"),
    ("s-11", "hub", "parent"),
    ("s-12", "hub", "parent"),
    ("s-21", "hub", "origin"),
]


def platform_configuration(
    addresses=(), event_stream_address="127.0.0.1:1", listen="127.0.0.1:0", **changes
):
    rows = [
        {
            "id": name,
            "zone": zone,
            "kind": kind,
            "cell": 0,
            "state": "SERVING",
            "weight": 4,
            "started_ms": 0,
            "addr": addresses[place] if addresses else f"127.0.0.1:{place + 1}",
        }
        for place, (name, zone, kind) in enumerate(ENDPOINTS)
    ]
    event = {"offset": 1, "topology": {"version": 1, "full": True, "servers": rows}}
    return {
        "name": "n3",
        "listen": listen,
        "seed": "8c1f",
        "bus": event_stream_address,
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": {"offset": 1, "batch": [event]},
        "settings": start_settings(**changes),
    }


class LogRecorder:
    """Keeps the names of what is logged, and the figures."""

    def __init__(self):
        self.event_names, self.fields = [], []

    def event(self, what, **fields):
        self.event_names.append(what)
        self.fields.append(fields)

    def exception(self, where, broken):
        self.event("fault", where=where, kind=type(broken).__name__)


class CoordinatorFixture:
    """A coordinator in front of three caches, two parents and an origin; its clock stands until
    it is moved.
    """

    def __init__(self, **changes):
        self.now = 100_000.0
        self.settings = parse_service_settings(JsonSection(start_settings(**changes), ""))
        self.log = LogRecorder()
        self.coordinator = RequestCoordinator(lambda: self.now, 7, self.settings, self.log)
        self.endpoint_updates = [
            EndpointUpdate(
                name,
                ("127.0.0.1", place + 1),
                EndpointState.READY,
                4.0,
                ["box", "parent", "origin"].index(kind),
                ["hub", "edge"].index(zone),
                0,
                0.0,
            )
            for place, (name, zone, kind) in enumerate(ENDPOINTS)
        ]
        self.coordinator.update_endpoints(self.endpoint_updates, True)

    def use_real_clock(self):
        self.coordinator.clock = lambda: time.monotonic() * 1000.0
        self.now = self.coordinator.clock()

    def accept(self, request_class="pages", remaining_time=6000.0, has_capacity=True) -> Request:
        case = self.settings.request_classes[["pages", "order", "pay"].index(request_class)]
        return self.coordinator.accept(
            case, 0xABC, 0, 1, 100.0, remaining_time, False, has_capacity=has_capacity
        )

    def copy_with_first_attempt(self, request):
        """The same request with its first attempt out, for another host of the module."""
        first = request.attempts[0]
        twin = Request(1, request.request_class, request.object_id, 0, 1, 100.0, 0.0, 6000.0)
        twin.attempts.append(Attempt(twin, 0, first.endpoint, first.fill_source, 0.0, 6000.0))
        return twin

    def run_to_result(self, request):
        while isinstance(step := self.coordinator.next_step(request), SendAttempt | CancelAttempt):
            pass
        return step

    def advance_time(self, span):
        """Runs the timers of a span, each at its time."""
        end = self.now + span
        while (due := self.coordinator.run_due_timers()[0]) <= end:
            self.now = max(self.now, due)
        self.now = end


def call_frame(method, number, arguments, kind=thrift.CALL):
    name = method.encode()
    held = (
        struct.pack(">Ii", thrift.VERSION | kind, len(name))
        + name
        + struct.pack(">i", number)
        + arguments
    )
    return struct.pack(">i", len(held)) + held


def serve_frame(number, fields, body=b""):
    pairs = b"".join(
        struct.pack(">i", len(text)) + text.encode() for pair in fields.items() for text in pair
    )
    return call_frame(
        "serve",
        number,
        b"\x0d\x00\x01\x0b\x0b"
        + struct.pack(">i", len(fields))
        + pairs
        + b"\x0b\x00\x02"
        + struct.pack(">i", len(body))
        + body
        + b"\x00",
    )


def cancel_frame(number):
    """A cancellation of the call with that sequence number."""
    return call_frame("forget", 0, b"\x08\x00\x01" + number.to_bytes(4, "big") + b"\0", 4)


IS_WELL_CALL = call_frame("isWell", 1, b"\x02\x00\x01\x00\x00")


def stream_event(number, held):
    return f"id: {number}\ndata: {json.dumps({'offset': number} | held)}\n\n".encode()


def endpoint_list_update(running, state, *names, full=False):
    """An event on these of its `nodes`, as the list told them first."""
    (first,) = platform_configuration([node.address for node in running.endpoints])["known"][
        "batch"
    ]
    told = [row | {"state": state} for row in first["topology"]["servers"] if row["id"] in names]
    return {"topology": {"version": 2, "full": full, "servers": told}}


def commands_by_endpoint(endpoints, word="PULL"):
    """What each was told, by its name."""
    return {
        name: [entry for entry in node.commands if entry[0] == word]
        for (name, _, _), node in zip(ENDPOINTS, endpoints, strict=True)
    }


def free_port():
    """A port of loopback that was free a moment ago."""
    with socket.create_server(("127.0.0.1", 0)) as server:
        return server.getsockname()[1]


class StandInServer:
    """A server on a port of loopback (0: a free one) with a thread for each connection.

    A subclass says in `talk` what it does on one; it ends with an OSError when that is closed.
    """

    def __init__(self, port=0):
        self.socket = socket.create_server(("127.0.0.1", port))
        self.address = f"127.0.0.1:{self.socket.getsockname()[1]}"
        self.connections = []
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while True:
            try:
                connection, _ = self.socket.accept()
            except OSError:
                return
            self.connections.append(connection)
            threading.Thread(target=self._guarded, args=(connection,), daemon=True).start()

    def _guarded(self, connection):
        with contextlib.suppress(OSError):
            self.serve_connection(connection)

    def close(self):
        for each in (self.socket, *self.connections):
            with contextlib.suppress(OSError):
                each.shutdown(socket.SHUT_RDWR)
            each.close()


def answer_nothing(fields):
    """A plan for a StandNode: answers neither attempts nor pings."""


class StandInEndpoint(StandInServer):
    """An endpoint: answers each attempt by its `plan`, and records all commands in `heard`.

    A plan is the words of an answer, or "reset", "nonsense" or "cut" (an answer without its end),
    or None (no answer); or a function of the attempt's fields that returns one of these.
    """

    def __init__(self, plan):
        self.plan, self.commands = plan, []
        super().__init__()

    def serve_connection(self, connection):
        decoder = resp.ArrayDecoder()
        while (length := connection.recv_into(decoder.writable_view())) > 0:
            for items in decoder.decode(length):
                word, about, *rest = [bytes(item) for item in items]
                fields = (
                    dict(pair.split("=", 1) for pair in rest[0].decode().split(",")) if rest else {}
                )
                self.commands.append(
                    (word.decode(), about.decode(), fields, rest[1] if rest else b"")
                )
                if word == b"PULL":
                    self.answer(connection, about, fields)
                elif word == b"ECHO" and self.plan is not answer_nothing:
                    connection.sendall(resp.command(about, b"FIT", b"-"))

    def answer(self, connection, about, fields):
        plan = self.plan(fields) if callable(self.plan) else self.plan
        if plan == "reset":
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            connection.close()
        elif plan == "nonsense":
            connection.sendall(b"+what\r\n")
        elif plan == "cut":
            connection.sendall(resp.command(about, b"DONE", b"-", bytes(900))[:-400])
            while connection.recv(4096):  # stays open and says no more
                pass
        elif plan is not None:
            connection.sendall(resp.command(about, *plan))


class StandInEventStream(StandInServer):
    """An event stream: each connection gets the next of the scripts.

    A script is a list of pieces of bytes; None in it waits until the client leaves. `asked` has the
    event number that each connection asked to go on from.
    """

    def __init__(self, *scripts, port=0):
        self.scripts, self.last_event_ids = list(scripts), []
        super().__init__(port)

    def serve_connection(self, connection):
        head = b""
        while b"\r\n\r\n" not in head:
            head += connection.recv(4096)
        self.last_event_ids.append(int(head.lower().partition(b"last-event-id:")[2].split()[0]))
        script = self.scripts.pop(0) if self.scripts else [RESPONSE_HEAD, None]
        for piece in script:
            if piece is None:
                connection.recv(1)  # silent until the other side leaves
            else:
                connection.sendall(piece)
        connection.close()


class StandInClient:
    """A client on one connection; its calls have the sequence numbers 1, 2, ..."""

    request_ids = itertools.count(1)

    def __init__(self, address):
        self.socket = socket.create_connection(address, timeout=10.0)
        self.decoder, self.ready_frames, self.call_count = (
            thrift.FrameDecoder(max_frame_bytes=300_000),
            [],
            0,
        )

    def send(self, request_class="pages", entity="00000000000000ab", body=b"", **changes):
        self.call_count += 1
        fields = {
            "route": request_class,
            "trace": f"{next(self.request_ids):016x}",
            "patience": "3000",
            "entity": entity,
            "nth": "0",
            "batch": "17",
            "size": "100.0",
            "nonce": "5c0f",
        } | changes
        self.socket.sendall(
            serve_frame(self.call_count, {k: v for k, v in fields.items() if v is not None}, body)
        )
        return self.call_count

    def read_frame(self):
        while not self.ready_frames:
            room = memoryview(bytearray(65536))
            length = self.socket.recv_into(room)
            if not length:
                raise EOFError
            while length:
                spot = self.decoder.writable_view()
                part = min(len(spot), length)
                spot[:part] = room[:part]
                self.ready_frames += self.decoder.decode(part)
                room, length = room[part:], length - part
        return self.ready_frames.pop(0)

    def read_answer(self):
        """(number, what, fields, body); `what` is 0 for served, 1 rejected, 2 failed, or the text
        of an application exception."""
        reader = thrift.ValueReader(self.read_frame())
        kind = struct.unpack(">I", reader.read_bytes(4))[0] & 0xFF
        reader.read_binary()
        number = reader.read_i32()
        if kind == thrift.EXCEPTION:
            reader.read_bytes(3)
            return number, reader.read_text(), {}, b""
        reader.read_byte()
        what, fields, body = reader.read_i16(), {}, b""
        while (held := reader.read_byte()) != 0:
            reader.read_i16()
            if held == thrift.STRING:
                body = bytes(reader.read_binary())
            elif held == thrift.MAP:
                fields = reader.read_string_map()
            else:
                reader.skip_value(held)
        return number, what, fields, body

    def close(self):
        self.socket.close()


class RunningDirector:
    """A director on loopback with an endpoint for each of SPOTS; drained at the block's end."""

    def __init__(self, plan=HIT_ANSWER, event_stream=None, **changes):
        self.endpoints = [StandInEndpoint(plan) for _ in ENDPOINTS]
        self.event_stream = event_stream or StandInEventStream()
        whole = platform_configuration(
            [node.address for node in self.endpoints], self.event_stream.address, **changes
        )
        self.log = LogRecorder()
        self.director = Director(parse_config(json.dumps(whole)), self.log)

    def __enter__(self) -> "RunningDirector":
        self.director.start()
        self.address = self.director.listener.listener.getsockname()
        self.ender = threading.Thread(target=self.director.wait, daemon=True)
        self.ender.start()
        self.clients = []
        return self

    def connect_client(self) -> StandInClient:
        self.clients.append(StandInClient(self.address))
        return self.clients[-1]

    def commands(self, word="PULL"):
        return [entry for node in self.endpoints for entry in node.commands if entry[0] == word]

    def __exit__(self, *_):
        self.director.stop()
        for client in self.clients:
            client.close()
        self.ender.join(10.0)
        for each in (*self.endpoints, self.event_stream):
            each.close()


def wait_for(condition, seconds=5.0):
    end = time.monotonic() + seconds
    while not condition() and time.monotonic() < end:
        time.sleep(0.01)
    return condition()


def wait_for_attempt(running):
    """The one attempt that is in flight or waits for its connection."""
    upstream = running.director.upstream
    assert wait_for(lambda: len(upstream.connection_by_attempt) == 1)
    return next(iter(upstream.connection_by_attempt))


def hold_calls(monkeypatch, owner, name, condition=lambda *_, **__: True):
    """Calls of that method wait until what is returned is set; its `met` is set once one of them
    waits.
    """
    go, method = threading.Event(), getattr(owner, name)
    go.reached = threading.Event()

    def late(*arguments, **named):
        if condition(*arguments, **named):
            go.reached.set()
            go.wait(10.0)
        return method(*arguments, **named)

    monkeypatch.setattr(owner, name, late)
    return go


class DirectorProcess:
    """The program as a process, with this configuration file and so many descriptors.

    `told` has the lines that it has logged, parsed from JSON.
    """

    def __init__(self, file, descriptors=1024):
        run = (
            f"ulimit -n {descriptors}; exec {sys.executable} -m mulleinrelay serve --config {file}"
        )
        self.process = subprocess.Popen(
            ["/bin/sh", "-c", run], cwd=PROJECT_ROOT, stderr=subprocess.PIPE
        )
        self.log_lines, self.send_signal = [], self.process.send_signal
        self.reader = threading.Thread(target=self._read, daemon=True)
        self.reader.start()

    def _read(self):
        for line in self.process.stderr:
            self.log_lines.append(json.loads(line))

    def has_logged(self, **held):
        return any(held.items() <= line.items() for line in self.log_lines)

    def wait(self, seconds=15.0):
        """Its exit code; all that it logged is there by then."""
        code = self.process.wait(seconds)
        self.reader.join(seconds)
        return code

    def __enter__(self) -> "DirectorProcess":
        assert wait_for(lambda: self.has_logged(phase="ready"), 20.0)
        return self

    def __exit__(self, *_):
        self.process.kill()
        self.wait()
        self.process.stderr.close()

"""Stand-ins for the platform, clients, caches and the event bus, written from the protocol page.

Standard library only; all sockets are on loopback. One asyncio loop plays all parties, the
directors are processes that the command `run` of the deploy file starts.
"""

import asyncio
import contextlib
import hashlib
import json
import os
import random
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from typing import Any

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
CALL, REPLY, EXCEPTION, ONEWAY = 1, 2, 3, 4
BOOL, I32, STRING, STRUCT, MAP = 2, 8, 11, 12, 13
CANNOT_RUN = 2


def now_ms() -> float:
    """Return the Unix time in ms."""
    return time.time() * 1000.0


class Record:
    """What was sent, answered and run: lines of record.txt in the folder of the case."""

    def __init__(self, folder: str) -> None:
        self.file = open(os.path.join(folder, "record.txt"), "w")  # noqa: SIM115
        self.started = now_ms()
        self.broken: list[str] = []

    def line(self, text: str) -> None:
        """Write one line with the time in ms since the start."""
        self.file.write(f"{now_ms() - self.started:9.1f} {text}\n")
        self.file.flush()

    def breaks(self, text: str) -> None:
        """Write that the rule was broken."""
        self.broken.append(text)
        self.line(f"RULE BROKEN: {text}")

    def finish(self) -> int:
        """Write the result and return the exit code: 1 if the rule was broken, else 0."""
        text = f"result: rule broken {len(self.broken)} times" if self.broken else "result: held"
        self.line(text)
        self.file.close()
        print(text + (f"; first: {self.broken[0]}" if self.broken else ""))
        return 1 if self.broken else 0


# Settings and the configuration of a director


def request_class(name: str, **changes: Any) -> dict[str, Any]:
    """Return a class as the settings name it, like those of the first deployment."""
    return {
        "name": name,
        "idempotency": "safe",
        "slo": 500.0,
        "aimStretch": 2.0,
        "deadline": 3000.0,
        "memorySpan": 6000.0,
        "group": "all",
        "credit": 1.0,
        "lateWorth": 0.2,
        "stream": False,
    } | changes


def settings(classes: list[dict[str, Any]], **changes: Any) -> dict[str, Any]:
    """Return the settings of a small deployment; each keyword changes keys of one object."""
    count = len(classes)
    result: dict[str, Any] = {
        "allowed": {
            "cancel": True,
            "connIdle": 30000.0,
            "connectTimeout": 400.0,
            "maxAttempts": 8,
            "maxRetryAfter": 1000.0,
            "maxStreams": 32,
            "mayDuplicate": True,
            "mayProbe": True,
            "peers": False,
            "retryAfter": True,
        },
        "azs": ["hub", "edge"],
        "shapes": ["box", "parent", "origin"],
        "balancers": 2,
        "myZone": 1,
        "registryMode": "automatic",
        "weights": "nominal",
        "classes": classes,
        "domain": {
            "collapses": True,
            "countByZone": [0, 2],
            "freshFor": [0.0] * count,
            "neverKept": [each["idempotency"] != "safe" for each in classes],
            "mayPassBy": True,
            "midKind": 1,
            "storeKind": 2,
            "oneFlowKbPerS": 8000.0,
            "parentStartsAt": 0.1,
            "parentWarmsIn": 20000.0,
            "parentLimitFactor": 2.0,
            "peersFill": "location",
            "purgeTakes": 6000.0,
            "noticeTime": 1000.0,
        },
        "report": {"how": "none", "columns": []},
        "rules": {
            "coldFrom": 0.2,
            "cold": 17000.0,
            "overloadFor": 1500.0,
            "fallMultiple": 2.5,
            "drainGrace": 2000.0,
        },
    }
    for section, keys in changes.items():
        result[section] = result[section] | keys if isinstance(keys, dict) else keys
    return result


def free_port() -> int:
    """Return a loopback port that nothing listens at now."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


# Caches, parents and the origin


def body_of(name: str, piece: str, size: int = 700) -> bytes:
    """Return the bytes of a part of an object; no two parts have the same."""
    block = hashlib.sha256(f"{name}/{piece}".encode()).digest()
    return (block * (size // len(block) + 1))[:size]


def bulk(items: tuple[bytes, ...]) -> bytes:
    """Encode an array of bulk strings."""
    return b"*%d\r\n" % len(items) + b"".join(b"$%d\r\n%s\r\n" % (len(i), i) for i in items)


class Pull:
    """One PULL that has come whole to a node."""

    def __init__(self, node: "Node", writer: asyncio.StreamWriter, items: list[bytes]) -> None:
        self.node = node
        self.writer = writer
        self.id = items[1].decode()
        self.fields = dict(
            pair.split("=", 1) for pair in items[2].decode().split(",") if "=" in pair
        )
        self.body = items[3]
        self.came_at = now_ms()

    def raw(self, data: bytes) -> None:
        """Write bytes as they are."""
        if not self.writer.is_closing():
            self.writer.write(data)

    def answer(self, word: str, fields: str, body: bytes = b"") -> None:
        """Write an answer."""
        self.raw(bulk((self.id.encode(), word.encode(), fields.encode(), body)))

    def reset(self) -> None:
        """Reset the connection."""
        reset_writer(self.writer)


def reset_writer(writer: asyncio.StreamWriter) -> None:
    """Reset a connection."""
    sock = writer.get_extra_info("socket")
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


class Node:
    """A cache, parent or origin that executes commands as the protocol page says.

    `handler` may be replaced; it is called for each PULL in a task of its own.
    """

    def __init__(self, world: "World", name: str, kind: str, zone: str) -> None:
        self.world = world
        self.name = name
        self.kind = kind
        self.zone = zone
        self.state = "SERVING"
        self.started_ms = 0
        self.cell = 0
        self.port = 0
        self.copies: dict[tuple[str, str], float] = {}
        self.pulls: list[Pull] = []
        self.killed: set[str] = set()
        self.handler: Callable[[Pull], Awaitable[None]] = self.serve
        self.writers: set[asyncio.StreamWriter] = set()
        self.tasks: set[asyncio.Task[None]] = set()
        self.delay_s = 0.005
        self.answers_checks = True
        self.server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen at a free port, or at the same port again."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", self.port)
        self.port = self.server.sockets[0].getsockname()[1]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        with contextlib.suppress(OSError, EOFError, ValueError):
            while True:
                self._command(writer, await self._read_array(reader))
        self.writers.discard(writer)
        writer.close()

    @staticmethod
    async def _read_array(reader: asyncio.StreamReader) -> list[bytes]:
        count = int((await reader.readuntil(b"\r\n"))[1:])
        items = []
        for _ in range(count):
            size = int((await reader.readuntil(b"\r\n"))[1:])
            items.append((await reader.readexactly(size + 2))[:-2])
        return items

    def _command(self, writer: asyncio.StreamWriter, items: list[bytes]) -> None:
        if items[0] == b"PULL":
            pull = Pull(self, writer, items)
            self.pulls.append(pull)
            self.world.on_pull(pull)
            task = asyncio.ensure_future(self.handler(pull))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
        elif items[0] == b"KILL":
            self.killed.add(items[1].decode())
        elif self.answers_checks:
            writer.write(bulk((items[1], b"FIT", b"-")))

    async def serve(self, pull: Pull) -> None:
        """Serve a PULL: from a copy that will do, or by a fill, or at the origin."""
        await asyncio.sleep(self.delay_s)
        if pull.id in self.killed:
            return
        if pull.fields.get("lane") in self.world.write_classes:
            self.world.execute(pull)
            pull.answer("DONE", "why=MISS_ORIGIN,entity=w,issued=1", b"taken")
            return
        issued, why = await self.find(pull)
        if issued is None:
            pull.answer("LACK", f"why={why}")
        else:
            body = body_of(pull.fields["name"], pull.fields.get("piece", "0"))
            tag = hashlib.sha256(body).hexdigest()[:16]
            pull.answer("DONE", f"why={why},entity={tag},issued={issued:.0f}", body)

    async def find(self, pull: Pull) -> tuple[float | None, str]:
        """Return when the copy that is served was issued (None: no copy), and the note."""
        now = now_ms()
        key = (pull.fields["name"], pull.fields.get("piece", "0"))
        within = float(pull.fields.get("within", "0"))
        held = self.copies.get(key)
        if self.kind == "origin":
            return now, "MISS_ORIGIN"
        if held is not None and (not within or now - held <= within):
            return held, "HIT"
        source = self.world.nodes.get(pull.fields.get("miss", ""))
        if source is None:
            return None, "NO_FILL"
        await asyncio.sleep(source.delay_s)
        held = source.copies.get(key)
        if held is None or (within and now - held > within):
            if source.kind == "box" or "only-if-cached" in pull.fields.get("f", ""):
                return None, "UP_MISS"
            held = now_ms()
            source.copies[key] = held
        if pull.fields.get("prio", "0") != "0":
            self.copies[key] = held
        return held, "MISS"

    def row(self) -> dict[str, Any]:
        """Return the entry in the list."""
        return {
            "id": self.name,
            "addr": f"127.0.0.1:{self.port}",
            "zone": self.zone,
            "kind": self.kind,
            "cell": self.cell,
            "state": self.state,
            "weight": 4,
            "started_ms": self.started_ms,
        }

    async def stop(self) -> None:
        """Die: stop listening and reset all connections."""
        if self.server is not None:
            self.server.close()
        for writer in list(self.writers):
            reset_writer(writer)


class Bus:
    """The event bus: numbered events for each director that reads."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.events: list[bytes] = []
        self.told_at: list[float] = []
        self.data: list[dict[str, Any]] = []
        self.port = 0
        self.wake = asyncio.Event()
        self.is_silent = False

    async def start(self) -> None:
        """Listen at a free port."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = server.sockets[0].getsockname()[1]

    def tell(self, event: dict[str, Any], is_recorded: bool = True) -> None:
        """Add an event, which counts as told from now on."""
        number = len(self.events) + 1
        data = {"offset": number} | event
        self.data.append(data)
        self.events.append(f"id: {number}\ndata: {json.dumps(data)}\n\n".encode())
        self.told_at.append(now_ms())
        if is_recorded:
            self.record.line(f"bus tells {json.dumps(data)[:300]}")
        self.wake.set()
        self.wake = asyncio.Event()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, EOFError, ValueError, asyncio.LimitOverrunError):
            head = (await reader.readuntil(b"\r\n\r\n")).lower()
            position = int(head.partition(b"last-event-id:")[2].split()[0])
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n")
            while not writer.is_closing():
                if not self.is_silent:
                    writer.write(b"".join(self.events[position:]) or b": on\n\n")
                    position = len(self.events)
                await writer.drain()
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(self.wake.wait(), 1.0)
        writer.close()


# Clients


def encode_map(fields: dict[str, str]) -> bytes:
    """Encode a map of strings."""
    texts = b"".join(
        struct.pack(">i", len(text)) + text.encode() for pair in fields.items() for text in pair
    )
    return bytes((STRING, STRING)) + struct.pack(">i", len(fields)) + texts


def message(kind: int, method: str, number: int, arguments: bytes) -> bytes:
    """Encode a framed message of the strict binary protocol."""
    body = struct.pack(">Ii", 0x80010000 | kind, len(method)) + method.encode()
    body += struct.pack(">i", number) + arguments
    return struct.pack(">i", len(body)) + body


def serve_call(number: int, fields: dict[str, str], body: bytes = b"") -> bytes:
    """Encode a call of `serve`."""
    arguments = b"\x0d\x00\x01" + encode_map(fields) + b"\x0b\x00\x02"
    return message(CALL, "serve", number, arguments + struct.pack(">i", len(body)) + body + b"\0")


class Answer:
    """The final answer to a request: word is served, refused or failed."""

    def __init__(self, word: str, body: bytes = b"", fields: dict[str, str] | None = None) -> None:
        self.word = word
        self.body = body
        self.fields = fields or {}
        self.at = now_ms()


class Reader:
    """A reader of values in a frame."""

    def __init__(self, data: bytes) -> None:
        self.data = data
        self.offset = 0

    def take(self, form: str) -> int:
        """Read one number."""
        value = struct.unpack_from(">" + form, self.data, self.offset)[0]
        self.offset += struct.calcsize(">" + form)
        return value

    def text(self) -> bytes:
        """Read a byte string."""
        size = self.take("i")
        if size < 0 or self.offset + size > len(self.data):
            raise ValueError("a string that does not fit")
        self.offset += size
        return self.data[self.offset - size : self.offset]

    def struct(self) -> dict[int, Any]:
        """Read the fields of a struct."""
        found: dict[int, Any] = {}
        while (kind := self.take("B")) != 0:
            number = self.take("h")
            found[number] = self.value(kind)
        return found

    def value(self, kind: int) -> Any:
        """Read one value."""
        if kind == STRUCT:
            return self.struct()
        if kind == STRING:
            return self.text()
        if kind == MAP:
            self.take("h")
            texts = [self.text().decode() for _ in range(2 * self.take("i"))]
            return dict(zip(texts[::2], texts[1::2], strict=True))
        return self.take({BOOL: "B", I32: "i"}[kind])


def read_answer(frame: bytes) -> tuple[int, Answer]:
    """Return the number and the answer in a frame."""
    reader = Reader(frame)
    kind = reader.take("I") & 0xFF
    reader.text()
    number = reader.take("i")
    fields = reader.struct()
    if kind == EXCEPTION:
        return number, Answer("failed")
    if 0 in fields:
        answer = fields[0]
        return number, Answer("served" if answer.get(3) else "failed", answer[1], answer.get(2))
    if 1 in fields:
        return number, Answer("refused", b"", fields[1].get(1))
    return number, Answer("failed")


class Connection:
    """A client's connection: up to 32 open requests, answers in any order."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.number = 0
        self.waiting: dict[int, asyncio.Future[Answer]] = {}
        self.answered: dict[int, int] = {}
        self.is_open = False

    async def open(self, port: int) -> "Connection":
        """Connect to a director."""
        self.reader, self.writer = await asyncio.open_connection("127.0.0.1", port)
        self.is_open = True
        self.task = asyncio.ensure_future(self._read())
        return self

    async def _read(self) -> None:
        try:
            while True:
                size = struct.unpack(">i", await self.reader.readexactly(4))[0]
                number, answer = read_answer(await self.reader.readexactly(size))
                self.answered[number] = self.answered.get(number, 0) + 1
                if self.answered[number] > 1:
                    self.record.breaks(f"a second answer under number {number}")
                future = self.waiting.pop(number, None)
                if future is not None and not future.done():
                    future.set_result(answer)
        except (OSError, EOFError):
            pass
        self.is_open = False
        for future in self.waiting.values():
            if not future.done():
                future.set_result(Answer("closed"))

    def send(self, fields: dict[str, str], body: bytes = b"") -> "asyncio.Future[Answer]":
        """Send a request; the result is its answer, or `closed` if the connection ended."""
        self.number += 1
        future: asyncio.Future[Answer] = asyncio.get_running_loop().create_future()
        self.waiting[self.number] = future
        self.writer.write(serve_call(self.number, fields, body))
        return future

    async def is_well(self) -> bool:
        """Ask whether the director is ready."""
        self.number += 1
        future: asyncio.Future[Answer] = asyncio.get_running_loop().create_future()
        self.waiting[self.number] = future
        self.writer.write(message(CALL, "isWell", self.number, b"\x02\x00\x01\x01\x00"))
        return (await asyncio.wait_for(future, 2.0)).word == "served"

    def close(self) -> None:
        """Close the connection."""
        self.task.cancel()
        self.writer.close()


def new_fields(lane: str, entity: str, patience: int, **more: str) -> dict[str, str]:
    """Return the fields of a new request."""
    return {
        "route": lane,
        "trace": f"{random.getrandbits(64):016x}",
        "patience": str(patience),
        "entity": entity,
        "nth": "0",
        "batch": str(int(entity, 16) % 256),
        "size": "100",
    } | more


# Directors and the whole


class Director:
    """A director as the platform starts it."""

    def __init__(self, world: "World", name: str, environment: dict[str, str]) -> None:
        self.world = world
        self.name = name
        self.environment = environment
        self.port = free_port()
        self.process: subprocess.Popen[bytes] | None = None
        self.path = os.path.join(world.folder, f"{name}.json")
        self.limits = {"cores": 1.0, "memory_mb": 192, "sockets": 1024}
        self.bus_port = world.bus.port

    def configure(self) -> None:
        """Write the configuration with the bus's events up to now."""
        bus = self.world.bus
        config = {
            "name": self.name,
            "listen": f"127.0.0.1:{self.port}",
            "seed": f"{random.getrandbits(64):016x}",
            "limits": self.limits,
            "bus": f"127.0.0.1:{self.bus_port}",
            "flow_bytes_per_s": 310000,
            "link_bytes_per_s": 1240000,
            "known": {"offset": len(bus.data), "batch": bus.data},
            "settings": self.world.settings,
        }
        with open(self.path + ".new", "w") as file:
            json.dump(config, file)
        os.replace(self.path + ".new", self.path)

    async def start(self) -> None:
        """Start the program and wait until it says that it is ready."""
        self.configure()
        with open(os.path.join(ROOT, "deploy", "balancer.toml"), "rb") as file:
            command = tomllib.load(file)["run"]
        log = open(os.path.join(self.world.folder, f"{self.name}.log"), "ab")  # noqa: SIM115
        self.process = subprocess.Popen(
            ["/bin/sh", "-c", command],
            cwd=ROOT,
            env=os.environ | {"LB_CONFIG": self.path, "LB_NAME": self.name} | self.environment,
            stdout=log,
            stderr=log,
        )
        self.world.record.line(f"start of {self.name}, pid {self.process.pid}")
        for _ in range(300):
            await asyncio.sleep(0.1)
            if self.process.poll() is not None:
                break
            with contextlib.suppress(OSError, TimeoutError):
                connection = await Connection(self.world.record).open(self.port)
                is_well = await connection.is_well()
                connection.close()
                if is_well:
                    self.world.record.line(f"{self.name} is ready")
                    return
        raise RuntimeError(f"{self.name} did not get ready")

    def signal(self, number: int) -> None:
        """Send a signal to the program."""
        assert self.process is not None
        self.world.record.line(f"{signal.Signals(number).name} to {self.name}")
        self.process.send_signal(number)

    def end(self) -> None:
        """Kill the program if it still runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()


class World:
    """All parties of one case."""

    def __init__(self, record: Record, folder: str, classes: list[dict[str, Any]], **more: Any):
        self.record = record
        self.folder = folder
        self.settings = settings(classes, **more)
        self.write_classes = {each["name"] for each in classes if each["idempotency"] != "safe"}
        self.bus = Bus(record)
        self.nodes: dict[str, Node] = {}
        self.directors: list[Director] = []
        self.executions: dict[str, list[str]] = {}
        self.on_pull: Callable[[Pull], None] = lambda pull: None

    async def start(self, caches: int = 3, parents: int = 2) -> None:
        """Start the bus and the nodes, and tell the whole list."""
        await self.bus.start()
        rows = [(f"s-{n + 1:02x}", "box", "edge") for n in range(caches)]
        rows += [(f"s-{n + 0x41:02x}", "parent", "hub") for n in range(parents)]
        rows += [("s-81", "origin", "hub")]
        for name, kind, zone in rows:
            self.nodes[name] = Node(self, name, kind, zone)
            await self.nodes[name].start()
        self.tell_list(list(self.nodes), True)

    def tell_list(self, names: list[str], full: bool = False) -> None:
        """Tell the entries of these nodes."""
        servers = [self.nodes[name].row() for name in names]
        version = len(self.bus.events) + 1
        self.bus.tell({"topology": {"version": version, "full": full, "servers": servers}})

    async def director(self, name: str, environment: dict[str, str] | None = None) -> Director:
        """Start a director, with further variables of its environment."""
        director = Director(self, name, environment or {})
        self.directors.append(director)
        await director.start()
        return director

    def execute(self, pull: Pull) -> None:
        """Run a write: at most once for each idempotency key, as all nodes know it."""
        key = pull.fields.get("dedupe", "") or pull.id
        self.executions.setdefault(key, []).append(pull.node.name)

    def end(self) -> None:
        """End all directors."""
        for director in self.directors:
            director.end()


def run_case(case: Callable[[Record, str], Awaitable[None]], folder: str) -> int:
    """Run a case in a temporary folder and return the exit code of its script."""
    record = Record(folder)
    sys.unraisablehook = lambda _: None  # connections that are still open when the loop has ended
    with tempfile.TemporaryDirectory() as temporary:
        try:
            asyncio.run(asyncio.wait_for(case(record, temporary), 110.0))
        except Exception as error:
            record.line(f"could not run: {type(error).__name__}: {error}")
            print(f"could not run: {error}", file=sys.stderr)
            return 1 if record.broken else CANNOT_RUN
        finally:
            sys.stdout.flush()
    return record.finish()

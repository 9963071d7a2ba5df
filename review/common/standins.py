"""Stand-ins for one small deployment on loopback: cache nodes, event bus, clients, platform.

Written from the operators' protocol page. Standard library only. Everything but the director runs
in one asyncio loop; the director is a process that the deploy file's command `run` starts.
"""

import asyncio
import contextlib
import json
import os
import random
import shutil
import signal
import socket
import struct
import sys
import tempfile
import threading
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
VERSION = 0x80010000
CALL, REPLY, EXCEPTION, ONEWAY = 1, 2, 3, 4


def now_ms():
    return time.time() * 1000.0


def with_trouble():
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """The file record.txt: one line for each thing that was sent, answered or run."""

    def __init__(self, path):
        self.start = now_ms()
        self.file = open(path, "w", encoding="utf-8")  # noqa: SIM115

    def line(self, who, text):
        self.file.write(f"{now_ms() - self.start:9.1f} ms  {who:<12} {text}\n")

    def close(self):
        self.file.close()


def free_port():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


# Cache nodes, parents and origin


def bulk(*items):
    return b"*%d\r\n" % len(items) + b"".join(
        b"$%d\r\n%s\r\n" % (len(item), item) for item in items
    )


async def read_array(reader):
    head = await reader.readline()
    if not head:
        return None
    items = []
    for _ in range(int(head[1:])):
        size = int((await reader.readline())[1:])
        items.append((await reader.readexactly(size + 2))[:-2])
    return items


class Node:
    """A cache node, parent or origin: it answers each PULL and each probe.

    `answer(node, request_id, fields, body)` may be replaced: it returns the items of the answer
    after the id, or None for no answer. `served` holds one tuple for each PULL that came whole:
    time in ms, id, fields.
    """

    def __init__(self, name, zone, kind, record, delay_ms=5.0):
        self.name, self.zone, self.kind, self.record = name, zone, kind, record
        self.delay_ms = delay_ms
        self.host, self.port = "127.0.0.1", free_port()
        self.pulls = []
        self.killed = set()
        self.writers = set()
        self.tasks = set()
        self.answer = default_answer
        self.server = None

    @property
    def address(self):
        return f"{self.host}:{self.port}"

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.host, self.port, limit=1 << 20)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while (items := await read_array(reader)) is not None:
                word = items[0]
                if word == b"PULL":
                    request_id = items[1].decode()
                    fields = dict(pair.partition("=")[::2] for pair in items[2].decode().split(","))
                    self.pulls.append((now_ms(), request_id, fields))
                    self.record.line(self.name, f"PULL {request_id} {items[2].decode()}")
                    task = asyncio.create_task(self.run(writer, request_id, fields, items[3]))
                    self.tasks.add(task)
                    task.add_done_callback(self.tasks.discard)
                elif word == b"KILL":
                    self.killed.add(items[1].decode())
                    self.record.line(self.name, f"KILL {items[1].decode()}")
                elif word in (b"ECHO", b"METER"):
                    writer.write(bulk(items[1], b"FIT", b"rep=inflight:1;util:0.1;x1:0.1;x0:0.5"))
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def run(self, writer, request_id, fields, body):
        await asyncio.sleep(self.delay_ms / 1000.0)
        if request_id in self.killed:
            return
        items = self.answer(self, request_id, fields, body)
        if items is not None and not writer.is_closing():
            self.record.line(
                self.name, f"answer {request_id} {items[0].decode()} {items[1].decode()}"
            )
            writer.write(bulk(request_id.encode(), *items))

    async def stop(self):
        if self.server is not None:
            self.server.close()
        for writer in list(self.writers):
            writer.close()


def object_bytes(name, piece):
    return (f"{name}/{piece}:" * 40).encode()


def default_answer(node, request_id, fields, body):
    issued = int(now_ms()) - 10
    fields_text = f"why=HIT,entity={'ab' * 8},issued={issued}"
    return b"DONE", fields_text.encode(), object_bytes(fields["name"], fields["piece"])


# Event bus


class Bus:
    """The event bus. `head_delay_ms` is the time from a request to the head of its response."""

    def __init__(self, record, offset=1):
        self.record = record
        self.host, self.port = "127.0.0.1", free_port()
        self.offset = offset
        self.events = []  # (number, text, time in ms at which it was in the bus)
        self.head_delay_ms = 0.0
        self.server = None
        self.told = {}  # number: time in ms at which it was first written to a connection
        self.tasks = set()

    @property
    def address(self):
        return f"{self.host}:{self.port}"

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.host, self.port)

    async def publish(self, data):
        self.offset += 1
        text = json.dumps({"offset": self.offset} | data)
        self.events.append((self.offset, text, now_ms()))
        self.record.line("bus", f"event {text}")
        return self.offset

    async def serve(self, reader, writer):
        self.tasks.add(asyncio.current_task())
        try:
            head = await reader.readuntil(b"\r\n\r\n")
            last = 0
            for line in head.decode().split("\r\n"):
                name, _, value = line.partition(":")
                if name.lower() == "last-event-id":
                    last = int(value)
            self.record.line("bus", f"GET, Last-Event-ID {last}")
            await asyncio.sleep(self.head_delay_ms / 1000.0)
            if reader.at_eof():
                self.record.line("bus", "the director has closed the connection before the head")
                return
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n: hello\n\n")
            self.record.line("bus", "head written")
            position = 0
            comment_at = now_ms() + 1000.0
            while not reader.at_eof():
                for number, text, _ in self.events[position:]:
                    if number > last:
                        writer.write(f"id: {number}\ndata: {text}\n\n".encode())
                        self.told.setdefault(number, now_ms())
                        self.record.line("bus", f"event {number} written")
                        last = number
                position = len(self.events)
                if now_ms() >= comment_at:
                    writer.write(b": still here\n\n")
                    comment_at += 1000.0
                await writer.drain()
                await asyncio.sleep(0.01)
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def stop(self):
        if self.server is not None:
            self.server.close()
        for task in list(self.tasks):
            task.cancel()


# Clients


def text(value):
    data = value if isinstance(value, bytes) else value.encode()
    return struct.pack(">i", len(data)) + data


def frame(method, number, arguments, kind=CALL):
    message = (
        struct.pack(">I", VERSION | kind) + text(method) + struct.pack(">i", number) + arguments
    )
    return struct.pack(">i", len(message)) + message


def serve_frame(number, fields, body=b""):
    pairs = b"".join(text(key) + text(value) for key, value in fields.items())
    arguments = b"\x0d\x00\x01\x0b\x0b" + struct.pack(">i", len(fields)) + pairs
    return frame("serve", number, arguments + b"\x0b\x00\x02" + text(body) + b"\x00")


def is_well_frame(number=1):
    return frame("isWell", number, b"\x02\x00\x01\x00\x00")


def forget_frame(number):
    return frame("forget", 0, b"\x08\x00\x01" + struct.pack(">i", number) + b"\x00", ONEWAY)


def parse_reply(message):
    """Return sequence number and kind: served, refused, failed, and the body if served."""
    word, length = struct.unpack_from(">Ii", message)
    kind = word & 0xFF
    at = 8 + length
    number = struct.unpack_from(">i", message, at)[0]
    at += 4
    if kind == EXCEPTION:
        return number, "failed", b"", ""
    _, field_id = struct.unpack_from(">Bh", message, at)
    at += 3
    if field_id == 1:
        return number, "refused", b"", message[at:]
    if field_id == 2:
        return number, "failed", b"", message[at:]
    at += 3  # head of field 1
    size = struct.unpack_from(">i", message, at)[0]
    body = message[at + 4 : at + 4 + size]
    rest = message[at + 4 + size :]
    good = rest[-3] == 1
    return number, "served" if good else "not good", body, rest


def request_fields(route, entity, patience, size="50", nth="0", batch="1", **more):
    fields = {
        "route": route,
        "trace": f"{random.getrandbits(64):016x}",
        "patience": str(patience),
        "entity": entity,
        "nth": nth,
        "batch": batch,
        "size": size,
    }
    return fields | more


class Client:
    """One connection of a client; requests may be open at the same time.

    `lost` holds the sequence numbers of open requests when the connection ended.
    """

    def __init__(self, port, record, name="client"):
        self.port, self.record, self.name = port, record, name
        self.number = 0
        self.open = {}
        self.answers = {}
        self.lost = []
        self.extra = []
        self.ended = asyncio.Event()
        self.is_closed_here = False

    async def connect(self):
        self.reader, self.writer = await asyncio.open_connection("127.0.0.1", self.port)
        self.task = asyncio.create_task(self.read())
        return self

    async def read(self):
        try:
            while True:
                size = struct.unpack(">i", await self.reader.readexactly(4))[0]
                message = await self.reader.readexactly(size)
                number, kind, body, rest = parse_reply(message)
                sent = self.open.pop(number, None)
                if sent is None:
                    self.extra.append((number, kind))
                    self.record.line(self.name, f"answer {number} {kind} WITHOUT an open request")
                    continue
                fields, sent_at, waiter = sent
                self.record.line(self.name, f"answer {number} {fields.get('trace', '')} {kind}")
                result = (kind, body, now_ms(), rest)
                self.answers[number] = (fields, sent_at, result)
                if not waiter.done():
                    waiter.set_result(result)
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            if not self.is_closed_here:
                self.record.line(self.name, f"connection ended, open requests {sorted(self.open)}")
            for number, (fields, sent_at, waiter) in self.open.items():
                self.lost.append((number, fields, sent_at, now_ms()))
                if not waiter.done():
                    waiter.set_result(("closed", b"", now_ms(), b""))
            self.open = {}
            self.ended.set()

    def send(self, fields, body=b""):
        self.number += 1
        waiter = asyncio.get_running_loop().create_future()
        self.open[self.number] = (fields, now_ms(), waiter)
        self.record.line(self.name, f"request {self.number} {json.dumps(fields)}")
        self.writer.write(serve_frame(self.number, fields, body))
        return waiter

    def close(self):
        self.is_closed_here = True
        self.writer.close()


# Platform


def settings(**changes):
    """Return the settings of a director of a deployment like catalogo-nordeste."""
    base = {
        "allowed": {
            "cancel": True,
            "connIdle": 30000.0,
            "connectTimeout": 400.0,
            "cpuUsPerRequest": 0.0,
            "cpuUsPerS": 400000,
            "maxAttempts": 8,
            "maxOpen": 20000,
            "maxRetryAfter": 1000.0,
            "maxStreams": 32,
            "mayDuplicate": True,
            "mayProbe": True,
            "peers": False,
            "retryAfter": True,
        },
        "azs": ["litoral", "sertao", "edge-1", "edge-2"],
        "balancers": 3,
        "callers": {"marksRetry": True},
        "classes": [
            {
                "aimStretch": 2.0,
                "credit": 2.0,
                "deadline": 6000.0,
                "group": "all",
                "idempotency": "safe",
                "lateWorth": 0.15,
                "memorySpan": 5000.0,
                "name": "media",
                "slo": 500.0,
                "stream": False,
            },
            {
                "aimStretch": 2.0,
                "credit": 1.0,
                "deadline": 3000.0,
                "group": "all",
                "idempotency": "safe",
                "lateWorth": 0.2,
                "memorySpan": 5000.0,
                "name": "pages",
                "slo": 250.0,
                "stream": False,
            },
            {
                "credit": 3.0,
                "deadline": 3000.0,
                "group": "all",
                "idempotency": "keyed",
                "lateWorth": 0.0,
                "memorySpan": 6000.0,
                "name": "order",
                "slo": 600.0,
                "stream": False,
            },
        ],
        "costs": {
            "connection": 0.0,
            "crossZone": 0.01,
            "handshake": 0.0,
            "lateFail": 0.059,
            "moves": 0.0,
            "origin": 0.11,
            "peer": 0.0,
            "probe": 0.014,
            "registryMode": 0.0,
            "waste": 0.05,
        },
        "domain": {
            "attachedTo": [0, 1, 0, 1],
            "byteFee": 0.06,
            "collapses": True,
            "countByZone": [0, 0, 1, 2],
            "freshFor": [0.0, 0.0, 0.0],
            "linkInKbPerS": [0.0, 0.0, 89296.0, 85570.0],
            "mayPassBy": True,
            "midKind": 2,
            "neverKept": [False, False, True],
            "noteLevel": "all",
            "noticeTime": 1000.0,
            "oneFlowKbPerS": 7800.0,
            "originStopsAt": 0.0,
            "parentLimitFactor": 2.0,
            "parentStartsAt": 0.063,
            "parentWarmsIn": 21000.0,
            "peersFill": "location",
            "purgeTakes": 6000.0,
            "reportX0": "share of hits, lately",
            "reportX1": "transfers over those that fit",
            "rootFall": 3000.0,
            "segmented": [False, False, False],
            "staleEarns": [0.7, 0.7, 0.7],
            "staleFor": [0.0, 0.0, 0.0],
            "storeKind": 3,
        },
        "family": "edge",
        "goal": {"whole": 0.6, "worstClass": 0.3, "worstTenant": 0.0, "worstWindow": 0.1},
        "layer": 0,
        "myZone": 2,
        "overShareWorth": 0.1,
        "rank": 0,
        "registryMode": "automatic",
        "report": {"columns": ["cpu_share", "busy_reqs", "x1", "x0"], "how": "probe"},
        "rules": {
            "answerSlack": 8.0,
            "askWithin": 10000.0,
            "cold": 17000.0,
            "coldFrom": 0.2,
            "drainGrace": 2000.0,
            "fallMultiple": 2.5,
            "overloadFor": 1500.0,
        },
        "shapes": ["small-box", "large-box", "parent", "origin"],
        "stages": ["cache-fleet"],
        "tenants": [],
        "tick": 2.0,
        "weights": "nominal",
        "worthBy": "request",
    }
    for section, keys in changes.items():
        base[section] = base[section] | keys if isinstance(keys, dict) else keys
    return base


def server_row(node, state="SERVING", started_ms=0):
    return {
        "id": node.name,
        "addr": node.address,
        "zone": node.zone,
        "kind": node.kind,
        "cell": 0,
        "state": state,
        "weight": 6,
        "started_ms": started_ms,
    }


def full_list(nodes, version=1):
    return {
        "topology": {
            "version": version,
            "full": True,
            "servers": [server_row(node) for node in nodes],
        }
    }


class Director:
    """One director: a process that `/bin/sh -c` starts with the deploy file's `run`."""

    def __init__(self, record, folder, name, bus_address, nodes, start_settings, limits=None):
        self.record, self.name = record, name
        self.port = free_port()
        self.folder = Path(folder) / name
        self.folder.mkdir()
        self.config_path = self.folder / "config.json"
        self.config = {
            "name": name,
            "listen": f"127.0.0.1:{self.port}",
            "seed": f"{random.getrandbits(64):016x}",
            "limits": limits or {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "bus": bus_address,
            "flow_bytes_per_s": 310000,
            "link_bytes_per_s": 1240000,
            "known": {"offset": 1, "batch": [{"offset": 1} | full_list(nodes)]},
            "settings": start_settings,
        }
        self.process = None

    def write_config(self):
        temporary = self.folder / "config.new"
        temporary.write_text(json.dumps(self.config))
        temporary.replace(self.config_path)

    async def start(self, wait_s=30.0):
        """Start the process and wait until it calls itself well, as the front does."""
        self.write_config()
        with open(ROOT / "deploy" / "balancer.toml", "rb") as file:
            command = tomllib.load(file)["run"]
        log = (self.folder / "log.txt").open("ab")
        environment = os.environ | {
            "LB_NAME": self.name,
            "LB_LISTEN": f"127.0.0.1:{self.port}",
            "LB_CONFIG": str(self.config_path),
            "TMPDIR": str(self.folder),
        }
        self.process = await asyncio.create_subprocess_exec(
            "/bin/sh",
            "-c",
            command,
            cwd=ROOT,
            env=environment,
            stdin=asyncio.subprocess.DEVNULL,
            stdout=log,
            stderr=log,
            start_new_session=True,
        )
        self.record.line("platform", f"{self.name} started, pid {self.process.pid}")
        deadline = time.monotonic() + wait_s
        while time.monotonic() < deadline:
            if self.process.returncode is not None:
                return False
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                if await self.is_well():
                    self.record.line("platform", f"{self.name} is well")
                    return True
            await asyncio.sleep(0.05)
        return False

    async def is_well(self):
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        try:
            writer.write(is_well_frame())
            size = struct.unpack(">i", await asyncio.wait_for(reader.readexactly(4), 2.0))[0]
            return parse_reply(await reader.readexactly(size))[1] == "served"
        except TimeoutError:
            return False
        finally:
            writer.close()

    def rss_mb(self):
        """Resident memory of the process in MB; 0 if it has ended."""
        try:
            for line in Path(f"/proc/{self.process.pid}/status").read_text().splitlines():
                if line.startswith("VmRSS:"):
                    return int(line.split()[1]) / 1024.0
        except OSError:
            pass
        return 0.0

    def signal(self, number):
        self.record.line("platform", f"{signal.Signals(number).name} to {self.name}")
        with contextlib.suppress(ProcessLookupError):
            self.process.send_signal(number)

    async def stop(self):
        if self.process is not None and self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self.process.kill()
            await self.process.wait()

    def log_lines(self):
        return (self.folder / "log.txt").read_text(errors="replace").splitlines()


class BadClients:
    """The process of the bad clients; see bad_clients.py for the arguments."""

    def __init__(self, port, clients, calls, seconds, kind):
        self.arguments = [str(each) for each in (port, clients, calls, seconds, kind)]
        self.process = None

    async def start(self):
        script = str(Path(__file__).with_name("bad_clients.py"))
        self.process = await asyncio.create_subprocess_exec(
            sys.executable, "-B", script, *self.arguments
        )

    async def stop(self):
        if self.process.returncode is None:
            self.process.kill()
        await self.process.wait()


class Play:
    """The parts of one run; `finish` ends everything that was started."""

    def __init__(self, folder):
        self.record = Record(Path(folder) / "record.txt")
        self.temporary = tempfile.mkdtemp(prefix="review-")
        self.parts = []

    async def add(self, part):
        await part.start()
        self.parts.append(part)
        return part

    async def finish(self):
        for part in reversed(self.parts):
            with contextlib.suppress(Exception):
                await part.stop()
        shutil.rmtree(self.temporary, ignore_errors=True)
        self.record.close()


def small_deployment(record):
    """Three caches of the zone, two parents and the origin."""
    return [Node(f"s-0000000{i}", "edge-1", "small-box", record) for i in (1, 2, 3)] + [
        Node("s-00000011", "litoral", "parent", record),
        Node("s-00000012", "sertao", "parent", record),
        Node("s-00000021", "litoral", "origin", record, delay_ms=20.0),
    ]


def end_at_once(play):
    """End all started processes and this one, as the case has not ended by itself."""
    for part in play.parts:
        process = getattr(part, "process", None)
        if process is not None and process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                os.kill(process.pid, signal.SIGKILL)
    os._exit(2)


def run_case(play_case, folder):
    """Run `play_case(play)`, which returns 0, 1 or 2, and exit with that code."""

    async def main():
        play = Play(folder)
        watchdog = threading.Timer(115.0, end_at_once, (play,))
        watchdog.daemon = True
        watchdog.start()
        try:
            return await asyncio.wait_for(play_case(play), 105.0)
        except Exception as error:  # the case could not run
            play.record.line("test", f"could not run: {type(error).__name__}: {error}")
            print(f"could not run: {type(error).__name__}: {error}")
            return 2
        finally:
            await play.finish()

    raise SystemExit(asyncio.run(main()))

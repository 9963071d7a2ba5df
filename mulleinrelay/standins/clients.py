"""Clients that speak framed Thrift to directors: open-loop terminals of one tenant, which try again
on their own.

What is counted is the client's view: a request is served if any of its tries is, within the
patience that runs on from its first try.
"""

import heapq
import itertools
import math
import random
import socket
import struct
import threading
from collections import Counter
from dataclasses import dataclass, field

from ..net import thrift
from .fleet import now_ms

TRIES = 3
LATE = 60.0  # ms beyond its patience after which an answer is missing
PAUSE = 100.0  # ms before a retry where the rejection names no time


def serve_frame(number: int, fields: dict[str, str], body: bytes = b"") -> bytes:
    pairs = b"".join(
        struct.pack(">i", len(text)) + text.encode() for pair in fields.items() for text in pair
    )
    held = (
        struct.pack(">Ii", thrift.VERSION | thrift.CALL, 5)
        + b"serve"
        + struct.pack(">i", number)
        + b"\x0d\x00\x01\x0b\x0b"
        + struct.pack(">i", len(fields))
        + pairs
        + b"\x0b\x00\x02"
        + struct.pack(">i", len(body))
        + body
        + b"\x00"
    )
    return struct.pack(">i", len(held)) + held


def read_answer(frame: memoryview) -> tuple[int, str, float]:
    """(number, served | rejected | failed | bad, when to come back in ms)"""
    reader = thrift.ValueReader(frame)
    kind = struct.unpack(">I", reader.read_bytes(4))[0] & 0xFF
    reader.read_binary()
    number = reader.read_i32()
    if kind == thrift.EXCEPTION:
        return number, "bad", 0.0
    reader.read_byte()
    what, pause = reader.read_i16(), 0.0
    while what == 1 and (held := reader.read_byte()) != 0:
        reader.read_i16()
        if held == thrift.MAP:
            pause = float(reader.read_string_map().get("pause", "0"))
        else:
            reader.skip_value(held)
    return number, {0: "served", 1: "rejected", 2: "failed"}.get(what, "bad"), pause


@dataclass(slots=True, eq=False)
class Demand:
    """What one tenant's terminals ask for."""

    tenant: str
    rate: float  # requests a second
    objects: int = 200
    orders: float = 0.0  # share of keyed requests
    skew: float = 0.8  # of the Zipf popularity
    patience: float = 1_500.0
    tries: int = TRIES
    connections: int = 2
    bursts: list[tuple[float, float, float]] = field(default_factory=list)  # from s, to s, rate


@dataclass(slots=True, eq=False)
class Tally:
    """What a tenant's terminals have seen."""

    counts: Counter = field(default_factory=Counter)
    delays: list[tuple[float, float]] = field(default_factory=list)  # (s from the start, ms)
    asked_at: list[float] = field(default_factory=list)
    served_at: list[float] = field(default_factory=list)  # by when the request was asked


@dataclass(slots=True, eq=False)
class Pending:
    """One request of a client, over its tries."""

    first: float
    fields: dict[str, str]
    tries: int = 0
    over: bool = False


class Line:
    """A connection to one director, and what is out on it."""

    def __init__(self, terminals: "Terminals", address: tuple[str, int]) -> None:
        self.terminals, self.address = terminals, address
        self.lock = threading.Lock()
        self.out: dict[int, tuple[Pending, float]] = {}
        self.done: set[int] = set()
        self.numbers = itertools.count(1)
        self.socket: socket.socket | None = None

    def send(self, pending: Pending, now: float) -> bool:
        """False where the connection can't take it: nothing was sent."""
        with self.lock:
            if len(self.out) >= 32:
                return False
            if self.socket is None:
                try:
                    self.socket = socket.create_connection(self.address, timeout=1.0)
                except OSError:
                    return False
                self.socket.settimeout(None)
                self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                self.out, self.done, self.numbers = {}, set(), itertools.count(1)
                threading.Thread(target=self._read, args=(self.socket,), daemon=True).start()
            number = next(self.numbers)
            left = pending.first + self.terminals.demand.patience - now
            fields = pending.fields | {
                "trace": self.terminals.mark(),
                "patience": f"{max(left, 1.0):.0f}",
            }
            if pending.tries > 1:
                fields["redo"] = "1"
            self.out[number] = pending, now + left
            try:
                self.socket.sendall(serve_frame(number, fields))
            except OSError:
                del self.out[number]
                self._lost()
                return False
            return True

    def _read(self, connection: socket.socket) -> None:
        frames = thrift.FrameDecoder(max_frame_bytes=300_000)
        try:
            while (length := connection.recv_into(frames.writable_view())) > 0:
                for frame in frames.decode(length):
                    number, what, pause = read_answer(frame)
                    with self.lock:
                        found = self.out.pop(number, None)
                        twice = number in self.done
                        self.done.add(number)
                    self.terminals.answered(found, what, pause, twice)
        except (OSError, thrift.ThriftError):
            pass
        with self.lock:
            if self.socket is connection:
                self._lost()

    def _lost(self) -> None:
        """The connection has ended: what was out on it has no answer."""
        out, self.out, self.socket = self.out, {}, None
        for pending, _ in out.values():
            self.terminals.counts("cut off")
            pending.over = True

    def sweep(self, now: float) -> int:
        with self.lock:
            late = [number for number, (_, until) in self.out.items() if now > until + LATE]
            for number in late:
                self.out.pop(number)[0].over = True
        return len(late)

    def close(self) -> None:
        with self.lock:
            if self.socket is not None:
                try:
                    self.socket.shutdown(socket.SHUT_RDWR)
                except OSError:
                    pass
                self.socket.close()


class Terminals:
    """All terminals of one tenant: arrivals by a Poisson process from a seed, at
    directors in turn.
    """

    marks = itertools.count(1)

    def __init__(
        self,
        demand: Demand,
        directors: list[tuple[str, int]],
        seed: int,
        began: float,
        keyed: str = "order",
        pure: str = "pages",
    ) -> None:
        self.demand, self.random, self.began = (
            demand,
            random.Random(f"{seed}-{demand.tenant}"),
            began,
        )
        self.keyed, self.pure, self.tally = keyed, pure, Tally()
        self.lock, self.retries = threading.Lock(), list[tuple[float, int, Pending]]()
        self.order = itertools.count()
        self.lines = [
            [Line(self, address) for _ in range(demand.connections)] for address in directors
        ]
        self.ended = threading.Event()
        weights = [1.0 / (place + 1) ** demand.skew for place in range(demand.objects)]
        self.bounds = list(itertools.accumulate(weights))
        self.base = self.random.getrandbits(40) << 20
        self.thread = threading.Thread(
            target=self._run, name=f"terminals {demand.tenant}", daemon=True
        )

    def begin(self) -> None:
        self.thread.start()

    def mark(self) -> str:
        return f"{next(self.marks) & 0xFFFFFFFFFFFFFFFF:016x}"

    def counts(self, what: str) -> None:
        with self.lock:
            self.tally.counts[what] += 1

    def rate(self, now: float) -> float:
        since = (now - self.began) / 1000.0
        return next(
            (rate for first, last, rate in self.demand.bursts if first <= since < last),
            self.demand.rate,
        )

    def _run(self) -> None:
        due = max(now_ms(), self.began)
        while not self.ended.is_set():
            now = now_ms()
            rate = self.rate(now)
            if rate <= 0.0:
                due = now + 20.0
            while due <= now and rate > 0.0:
                self._ask(due)
                due += self.random.expovariate(rate) * 1000.0
                if due < now - 1_000.0:  # this machine is late; what is not sent is not counted
                    due = now
            with self.lock:
                again = []
                while self.retries and self.retries[0][0] <= now:
                    again.append(heapq.heappop(self.retries)[2])
                soon = self.retries[0][0] if self.retries else now + 20.0
            for pending in again:
                self._send(pending)
            self.ended.wait(max(0.0005, (min(due, soon, now + 20.0) - now_ms()) / 1000.0))

    def _ask(self, due: float) -> None:
        demand = self.demand
        place = math.floor(self._place())
        writes = self.random.random() < demand.orders
        fields = {
            "route": self.keyed if writes else self.pure,
            "entity": f"{self.base + place:016x}",
            "nth": "0",
            "batch": "0",
            "size": "4.0",
            "tenant": demand.tenant,
        }
        if writes:
            fields["nonce"] = f"{self.random.getrandbits(128):032x}"
        with self.lock:
            self.tally.counts["asked"] += 1
            self.tally.asked_at.append((due - self.began) / 1000.0)
        self._send(Pending(due, fields))

    def _place(self) -> int:
        from bisect import bisect

        return min(
            bisect(self.bounds, self.random.random() * self.bounds[-1]), self.demand.objects - 1
        )

    def _send(self, pending: Pending) -> None:
        now = now_ms()
        if now > pending.first + self.demand.patience - 5.0:
            return self.counts("gave up")
        pending.tries += 1
        lines = [line for group in self.lines for line in group]
        first = self.random.randrange(len(lines))
        for step in range(len(lines)):
            if lines[(first + step) % len(lines)].send(pending, now):
                return self.counts("tries")
        self.counts("no line")

    def answered(
        self, found: tuple[Pending, float] | None, what: str, pause: float, twice: bool
    ) -> None:
        now = now_ms()
        with self.lock:
            tally = self.tally
            if twice:
                tally.counts["answers twice"] += 1
            if found is None:
                tally.counts["answers late"] += 1
                return
            pending, until = found
            tally.counts[what] += 1
            if what == "served" and not pending.over:
                pending.over = True
                since = (pending.first - self.began) / 1000.0
                tally.served_at.append(since)
                tally.delays.append((since, now - pending.first))
            elif what == "rejected" and pending.tries < self.demand.tries:
                heapq.heappush(self.retries, (now + (pause or PAUSE), next(self.order), pending))

    def sweep(self) -> None:
        now = now_ms()
        late = sum(line.sweep(now) for group in self.lines for line in group)
        if late:
            with self.lock:
                self.tally.counts["no answer"] += late

    def end(self) -> None:
        """No more is asked; what is out may still be answered."""
        self.ended.set()
        self.thread.join(2.0)

    def close(self) -> None:
        for group in self.lines:
            for line in group:
                line.close()

    def share(self, first: float, last: float) -> float:
        """Served requests over those asked for from `first` to `last`, s."""
        with self.lock:
            asked = sum(first <= at < last for at in self.tally.asked_at)
            return sum(first <= at < last for at in self.tally.served_at) / asked if asked else 1.0

    def percentile(self, part: float, first: float, last: float) -> float:
        """Delay in ms of requests asked for from `first` to `last`; 0 where there are none."""
        with self.lock:
            held = sorted(delay for at, delay in self.tally.delays if first <= at < last)
        return held[min(len(held) - 1, int(part * len(held)))] if held else 0.0

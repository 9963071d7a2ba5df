"""An open-loop load generator that speaks framed Thrift to directors, with retries of its own.

It counts from the client's side: a request is served if any of its tries is, within the patience
that runs from its first try.
"""

import contextlib
import heapq
import itertools
import random
import socket
import threading
from bisect import bisect
from collections import Counter
from dataclasses import dataclass, field

from ..net import thrift
from .client_protocol import (
    DEFAULT_RETRY_DELAY,
    MAX_FRAME_BYTES,
    MAX_IN_FLIGHT,
    MIN_PATIENCE_MS,
    ReplyOutcome,
    ServerReply,
    decode_reply,
    encode_serve_call,
)
from .clock import now_ms

DEFAULT_MAX_TRIES = 3
GRACE_MS = 60.0  # beyond a request's patience, after which its answer is missing
MIN_TIME_FOR_TRY = 5.0  # ms of patience that must remain for a further try
CONNECT_TIMEOUT_S = 1.0
MAX_IDLE_MS = 20.0  # between two checks for due requests
MIN_WAIT_S = 0.0005
MAX_LATENESS = 1_000.0  # ms; arrivals that a busy machine delays further are dropped
STOP_TIMEOUT_S = 2.0


@dataclass(slots=True, eq=False)
class TenantLoad:
    """The load of one tenant.

    Attributes:
        rate: Requests a second.
        order_fraction: Fraction of requests with an idempotency key.
        skew: Exponent of the Zipf popularity of objects.
        patience: How long a client waits from its first try, in ms.
        bursts: From and to, in seconds from the start, and the rate meanwhile.
    """

    tenant: str
    rate: float
    object_count: int = 200
    order_fraction: float = 0.0
    skew: float = 0.8
    patience: float = 1_500.0
    max_tries: int = DEFAULT_MAX_TRIES
    connections_per_director: int = 2
    bursts: list[tuple[float, float, float]] = field(default_factory=list)

    def rate_at(self, since_start_s: float) -> float:
        """Return the requests a second at that time."""
        for starts_s, ends_s, rate in self.bursts:
            if starts_s <= since_start_s < ends_s:
                return rate
        return self.rate


@dataclass(slots=True, eq=False)
class LoadResult:
    """What a tenant's clients have seen; times in seconds from the start.

    Attributes:
        counts: By outcome, in the words of the lab's figures.
        delays: When the request was first sent, and its delay in ms.
        asked_at: When each request was first sent.
        served_at: When each request that was served had first been sent.
    """

    counts: Counter[str] = field(default_factory=Counter)
    delays: list[tuple[float, float]] = field(default_factory=list)
    asked_at: list[float] = field(default_factory=list)
    served_at: list[float] = field(default_factory=list)


@dataclass(slots=True, eq=False)
class PendingRequest:
    """One request of a client, over its tries; `first_due` is its first try's time (ms)."""

    first_due: float
    fields: dict[str, str]
    tries: int = 0
    is_over: bool = False


@dataclass(frozen=True, slots=True)
class _Try:
    request: PendingRequest
    deadline: float  # Unix ms


class ClientSession:
    """A connection to one director, opened when it is first needed.

    Thread-safe: `lock` guards all fields after it. Replies are read by a thread for each
    connection, which ends with the connection.
    """

    def __init__(self, generator: "LoadGenerator", address: tuple[str, int]) -> None:
        self.generator = generator
        self.address = address
        self.lock = threading.Lock()
        self.in_flight: dict[int, _Try] = {}
        self.answered: set[int] = set()
        self.numbers = itertools.count(1)
        self.socket: socket.socket | None = None

    def send(self, request: PendingRequest, now: float) -> bool:
        """Send a try; returns False where nothing was sent, as the connection can't take it."""
        with self.lock:
            if len(self.in_flight) >= MAX_IN_FLIGHT:
                return False
            connection = self.socket or self._connect()
            if connection is None:
                return False
            number = next(self.numbers)
            remaining = request.first_due + self.generator.load.patience - now
            fields = request.fields | {
                "trace": self.generator.next_trace_id(),
                "patience": f"{max(remaining, MIN_PATIENCE_MS):.0f}",
            }
            if request.tries > 1:
                fields["redo"] = "1"
            self.in_flight[number] = _Try(request, now + remaining)
            try:
                connection.sendall(encode_serve_call(number, fields))
            except OSError:
                del self.in_flight[number]
                self._discard_connection()
                return False
            return True

    def expire_unanswered(self, now: float) -> int:
        """Give up requests whose answer is missing; returns how many they are."""
        with self.lock:
            expired = [
                number
                for number, pending in self.in_flight.items()
                if now > pending.deadline + GRACE_MS
            ]
            for number in expired:
                self.in_flight.pop(number).request.is_over = True
        return len(expired)

    def close(self) -> None:
        """Close the connection; its reader then counts what was in flight as cut off."""
        with self.lock:
            if self.socket is not None:
                with contextlib.suppress(OSError):
                    self.socket.shutdown(socket.SHUT_RDWR)
                self.socket.close()

    def _connect(self) -> socket.socket | None:
        try:
            connection = socket.create_connection(self.address, timeout=CONNECT_TIMEOUT_S)
        except OSError:
            return None
        self.socket = connection
        connection.settimeout(None)
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.in_flight = {}
        self.answered = set()
        self.numbers = itertools.count(1)
        threading.Thread(target=self._read_replies, args=(connection,), daemon=True).start()
        return connection

    def _read_replies(self, connection: socket.socket) -> None:
        frames = thrift.FrameDecoder(max_frame_bytes=MAX_FRAME_BYTES)
        with contextlib.suppress(OSError, thrift.ThriftError):  # both end the connection
            while (length := connection.recv_into(frames.writable_view())) > 0:
                for frame in frames.decode(length):
                    self._on_reply(decode_reply(frame))
        with self.lock:
            if self.socket is connection:
                self._discard_connection()

    def _on_reply(self, reply: ServerReply) -> None:
        with self.lock:
            answered = self.in_flight.pop(reply.number, None)
            is_repeated = reply.number in self.answered
            self.answered.add(reply.number)
        request = None if answered is None else answered.request
        self.generator.on_reply(request, reply, is_repeated)

    def _discard_connection(self) -> None:
        """Count what was in flight as cut off: it gets no answer."""
        in_flight = self.in_flight
        self.in_flight = {}
        self.socket = None
        for lost in in_flight.values():
            self.generator.count("cut off")
            lost.request.is_over = True


class LoadGenerator:
    """The clients of one tenant: Poisson arrivals from a seed, at random connections.

    Thread-safe: `lock` guards `result` and `retries`. One thread sends the requests, and one for
    each connection reads replies.
    """

    trace_ids = itertools.count(1)

    def __init__(
        self,
        load: TenantLoad,
        directors: list[tuple[str, int]],
        seed: int,
        began: float,
        keyed: str = "order",
        pure: str = "pages",
    ) -> None:
        """Prepare without sending.

        Args:
            load: What to send.
            directors: Addresses of directors.
            seed: Of all random draws, together with the tenant's name.
            began: When the first request may be sent, in Unix ms.
            keyed: Request class of requests with an idempotency key.
            pure: Request class of reads.
        """
        self.load = load
        self.random = random.Random(f"{seed}-{load.tenant}")
        self.began = began
        self.keyed = keyed
        self.pure = pure
        self.result = LoadResult()
        self.lock = threading.Lock()
        self.retries: list[tuple[float, int, PendingRequest]] = []  # heap by time, then order
        self.order = itertools.count()
        self.sessions = [
            ClientSession(self, address)
            for address in directors
            for _ in range(load.connections_per_director)
        ]
        self.stopped = threading.Event()
        weights = [1.0 / (rank + 1) ** load.skew for rank in range(load.object_count)]
        self.cumulative_weights = list(itertools.accumulate(weights))
        self.first_object_id = self.random.getrandbits(40) << 20
        self.thread = threading.Thread(target=self._run, name=f"load {load.tenant}", daemon=True)

    def start(self) -> None:
        """Start the thread that sends requests."""
        self.thread.start()

    def stop(self) -> None:
        """Send no more requests; those in flight may still be answered."""
        self.stopped.set()
        self.thread.join(STOP_TIMEOUT_S)

    def close(self) -> None:
        """Close all connections."""
        for session in self.sessions:
            session.close()

    def next_trace_id(self) -> str:
        """Return an id that no other try of this process has."""
        return f"{next(self.trace_ids) & 0xFFFFFFFFFFFFFFFF:016x}"

    def count(self, event: str) -> None:
        """Count an event among the figures."""
        with self.lock:
            self.result.counts[event] += 1

    def expire_unanswered(self) -> None:
        """Count the requests whose answers are missing by now; to be called now and then."""
        now = now_ms()
        expired = sum(session.expire_unanswered(now) for session in self.sessions)
        if expired:
            with self.lock:
                self.result.counts["no answer"] += expired

    def on_reply(
        self, request: PendingRequest | None, reply: ServerReply, is_repeated: bool
    ) -> None:
        """Count a reply, and schedule a retry after a rejection.

        Args:
            request: The request that it answers; None where none is in flight.
            reply: The director's reply.
            is_repeated: Whether the same call was answered before.
        """
        now = now_ms()
        with self.lock:
            counts = self.result.counts
            if is_repeated:
                counts["answers twice"] += 1
            if request is None:
                counts["answers late"] += 1
                return
            counts[reply.outcome.value] += 1
            if reply.outcome == ReplyOutcome.SERVED and not request.is_over:
                request.is_over = True
                since_start_s = (request.first_due - self.began) / 1000.0
                self.result.served_at.append(since_start_s)
                self.result.delays.append((since_start_s, now - request.first_due))
            elif reply.outcome == ReplyOutcome.REJECTED and request.tries < self.load.max_tries:
                due_at = now + (reply.retry_after_ms or DEFAULT_RETRY_DELAY)
                heapq.heappush(self.retries, (due_at, next(self.order), request))

    def served_fraction(self, first: float, last: float) -> float:
        """Return the served fraction of requests first sent from `first` to `last` (s)."""
        with self.lock:
            asked = sum(first <= at < last for at in self.result.asked_at)
            served = sum(first <= at < last for at in self.result.served_at)
        return served / asked if asked else 1.0

    def percentile(self, part: float, first: float, last: float) -> float:
        """Return that percentile of delays in ms; 0 where there are none.

        Args:
            part: The percentile as a fraction.
            first: Requests first sent from then, in seconds from the start.
            last: Requests first sent before then.
        """
        with self.lock:
            delays = sorted(delay for at, delay in self.result.delays if first <= at < last)
        return delays[min(len(delays) - 1, int(part * len(delays)))] if delays else 0.0

    def _run(self) -> None:
        due_at = max(now_ms(), self.began)
        while not self.stopped.is_set():
            now = now_ms()
            rate = self.load.rate_at((now - self.began) / 1000.0)
            if rate <= 0.0:
                due_at = now + MAX_IDLE_MS
            while due_at <= now and rate > 0.0:
                self._send_new(due_at)
                due_at += self.random.expovariate(rate) * 1000.0
                if due_at < now - MAX_LATENESS:
                    due_at = now
            next_retry_at = self._send_retries(now)
            wakes_at = min(due_at, next_retry_at, now + MAX_IDLE_MS)
            self.stopped.wait(max(MIN_WAIT_S, (wakes_at - now_ms()) / 1000.0))

    def _send_retries(self, now: float) -> float:
        """Send the retries that are due; returns when the next one is."""
        with self.lock:
            due = []
            while self.retries and self.retries[0][0] <= now:
                due.append(heapq.heappop(self.retries)[2])
            next_at = self.retries[0][0] if self.retries else now + MAX_IDLE_MS
        for request in due:
            self._send(request)
        return next_at

    def _send_new(self, due_at: float) -> None:
        rank = self._draw_rank()
        is_order = self.random.random() < self.load.order_fraction
        fields = {
            "route": self.keyed if is_order else self.pure,
            "entity": f"{self.first_object_id + rank:016x}",
            "nth": "0",
            "batch": "0",
            "size": "4.0",
            "tenant": self.load.tenant,
        }
        if is_order:
            fields["nonce"] = f"{self.random.getrandbits(128):032x}"
        with self.lock:
            self.result.counts["asked"] += 1
            self.result.asked_at.append((due_at - self.began) / 1000.0)
        self._send(PendingRequest(due_at, fields))

    def _draw_rank(self) -> int:
        weights = self.cumulative_weights
        rank = bisect(weights, self.random.random() * weights[-1])
        return min(rank, self.load.object_count - 1)

    def _send(self, request: PendingRequest) -> None:
        now = now_ms()
        if now > request.first_due + self.load.patience - MIN_TIME_FOR_TRY:
            self.count("gave up")
            return
        request.tries += 1
        first = self.random.randrange(len(self.sessions))
        for step in range(len(self.sessions)):
            if self.sessions[(first + step) % len(self.sessions)].send(request, now):
                self.count("tries")
                return
        self.count("no line")

"""An open-loop load generator that sends requests in framed Thrift to directors.

It retries rejected requests. Each sending of a request is a try. Results are those that a client
sees: a request is served if any of its tries is answered with success before the client gives up.
A client gives up GRACE_MS after the end of its patience, which starts when the first try is due.
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
GRACE_MS = 60.0  # from the end of a request's patience until its answer counts as missing
MIN_TIME_FOR_TRY_MS = 5.0  # patience that must remain to send a try
CONNECT_TIMEOUT_S = 1.0
MAX_IDLE_MS = 20.0  # maximum time between two checks for due requests
MIN_WAIT_S = 0.0005
# If the next new request is overdue by more than this, because the machine is busy, the requests
# that should have been sent until now are skipped.
MAX_LATENESS_MS = 1_000.0
STOP_TIMEOUT_S = 2.0


@dataclass(slots=True, eq=False)
class TenantLoad:
    """The load of one tenant.

    Attributes:
        rate: Requests per second.
        object_count: Number of different objects.
        order_fraction: Fraction of requests with an idempotency key.
        skew: Exponent of the Zipf popularity of objects.
        patience: How long a client waits for an answer from when its first try is due, in ms.
        max_tries: Maximum number of tries of a request, including the first.
        bursts: For each burst, its start and end in seconds since the start of the load, and the
            requests per second that replace `rate` between them.
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
        """Return the requests per second at a time.

        Args:
            since_start_s: The time in seconds since the start of the load.
        """
        for starts_s, ends_s, rate in self.bursts:
            if starts_s <= since_start_s < ends_s:
                return rate
        return self.rate


@dataclass(slots=True, eq=False)
class LoadResult:
    """Results of a tenant's requests. Times are in seconds since the start of the load.

    The time of a first try is when it was due, even if it was sent later or not at all.

    Attributes:
        counts: Event counters. The lab's figures have the same names, with `_` for each space.
        delays: For each served request, the time of its first try, and the ms from then until the
            answer.
        first_sent_at: Time of the first try of each request.
        served_at: Time of the first try (not of the answer) of each served request.
    """

    counts: Counter[str] = field(default_factory=Counter)
    delays: list[tuple[float, float]] = field(default_factory=list)
    first_sent_at: list[float] = field(default_factory=list)
    served_at: list[float] = field(default_factory=list)


@dataclass(slots=True, eq=False)
class PendingRequest:
    """A client's request over all its tries.

    Attributes:
        first_due_at: When the first try is due, in Unix ms.
        fields: Fields that are the same in all tries.
        tries: Number of tries so far, including a try that no connection could send.
        is_complete: Whether the request was served, or a try got no answer or was cut off. It stays
            False after a rejection or a failure.
    """

    first_due_at: float
    fields: dict[str, str]
    tries: int = 0
    is_complete: bool = False


@dataclass(frozen=True, slots=True)
class _Try:
    request: PendingRequest
    deadline: float  # when the client's patience ends, in Unix ms


class ClientSession:
    """A connection to one director, opened on first use and reopened after a disconnect.

    Thread-safe: `lock` guards `in_flight`, `answered_numbers`, `numbers` and `socket`. One thread
    per connection reads the replies until the connection ends.
    """

    def __init__(self, generator: "LoadGenerator", address: tuple[str, int]) -> None:
        self.generator = generator
        self.address = address
        self.lock = threading.Lock()
        self.in_flight: dict[int, _Try] = {}
        self.answered_numbers: set[int] = set()
        self.numbers = itertools.count(1)
        self.socket: socket.socket | None = None

    def send(self, request: PendingRequest, now: float) -> bool:
        """Send a try and return whether it was sent.

        A try is not sent if MAX_IN_FLIGHT tries have no answer yet, or if the connection cannot be
        opened or fails.
        """
        with self.lock:
            if len(self.in_flight) >= MAX_IN_FLIGHT:
                return False
            connection = self.socket or self._connect()
            if connection is None:
                return False
            number = next(self.numbers)
            remaining = request.first_due_at + self.generator.load.patience - now
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
        """Give up the overdue tries and their requests; return the number of these tries.

        A try is overdue if it has no answer GRACE_MS after its deadline.
        """
        with self.lock:
            expired = [
                number
                for number, pending in self.in_flight.items()
                if now > pending.deadline + GRACE_MS
            ]
            for number in expired:
                self.in_flight.pop(number).request.is_complete = True
        return len(expired)

    def close(self) -> None:
        """Close the connection; the reader thread then counts the requests in flight as cut off."""
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
        self.answered_numbers = set()
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
            is_repeated = reply.number in self.answered_numbers
            self.answered_numbers.add(reply.number)
        request = None if answered is None else answered.request
        self.generator.on_reply(request, reply, is_repeated)

    def _discard_connection(self) -> None:
        """Discard the connection; end its requests in flight and count them as cut off."""
        in_flight = self.in_flight
        self.in_flight = {}
        self.socket = None
        for lost in in_flight.values():
            self.generator.count("cut off")
            lost.request.is_complete = True


class LoadGenerator:
    """The clients of one tenant, whose requests form a Poisson process.

    Each try goes to a random connection, or to the next one that can send it. All random numbers
    are derived from the seed.
    Thread-safe: `lock` guards `result` and `retries`. One thread sends the requests, and one thread
    per connection reads the replies.
    """

    trace_ids = itertools.count(1)

    def __init__(
        self,
        load: TenantLoad,
        directors: list[tuple[str, int]],
        seed: int,
        started_at: float,
        keyed_class: str = "order",
        read_class: str = "pages",
    ) -> None:
        """Prepare the load without sending any request.

        Args:
            load: Load of the tenant.
            directors: Addresses of the directors.
            seed: Seed of all random numbers, together with the tenant's name.
            started_at: Start of the load in Unix ms.
            keyed_class: Request class of requests with an idempotency key.
            read_class: Request class of reads.
        """
        self.load = load
        self.random = random.Random(f"{seed}-{load.tenant}")
        self.started_at = started_at
        self.keyed_class = keyed_class
        self.read_class = read_class
        self.result = LoadResult()
        self.lock = threading.Lock()
        # Heap by due time in Unix ms, then by the order in which the retries were scheduled
        self.retries: list[tuple[float, int, PendingRequest]] = []
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
        """Stop sending; requests in flight may still be answered."""
        self.stopped.set()
        self.thread.join(STOP_TIMEOUT_S)

    def close(self) -> None:
        """Close all connections."""
        for session in self.sessions:
            session.close()

    def next_trace_id(self) -> str:
        """Return a trace id that is unique in this process."""
        return f"{next(self.trace_ids) & 0xFFFFFFFFFFFFFFFF:016x}"

    def count(self, event: str) -> None:
        """Increment the counter of an event."""
        with self.lock:
            self.result.counts[event] += 1

    def expire_unanswered(self) -> None:
        """Give up and count the tries that have no answer GRACE_MS after their deadline.

        Must be called regularly, as nothing else detects a missing answer.
        """
        now = now_ms()
        expired = sum(session.expire_unanswered(now) for session in self.sessions)
        if expired:
            with self.lock:
                self.result.counts["no answer"] += expired

    def on_reply(
        self, request: PendingRequest | None, reply: ServerReply, is_repeated: bool
    ) -> None:
        """Count a reply, and record a served request or schedule a retry of a rejected one.

        A rejected request is retried only if it has tries left.

        Args:
            request: The request that the reply answers; None if the generator has given up the try,
                or has received a reply to it before.
            reply: The director's reply.
            is_repeated: Whether the same call was answered before on this connection.
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
            if reply.outcome == ReplyOutcome.SERVED and not request.is_complete:
                request.is_complete = True
                since_start_s = (request.first_due_at - self.started_at) / 1000.0
                self.result.served_at.append(since_start_s)
                self.result.delays.append((since_start_s, now - request.first_due_at))
            elif reply.outcome == ReplyOutcome.REJECTED and request.tries < self.load.max_tries:
                due_at = now + (reply.retry_after_ms or DEFAULT_RETRY_DELAY)
                heapq.heappush(self.retries, (due_at, next(self.order), request))

    def served_fraction(self, first_s: float, last_s: float) -> float:
        """Return the served fraction of the requests whose first try was due in a time range.

        The range is given in seconds since the start of the load. The fraction is 1 if the range
        contains no request.
        """
        with self.lock:
            sent = sum(first_s <= sent_at < last_s for sent_at in self.result.first_sent_at)
            served = sum(first_s <= sent_at < last_s for sent_at in self.result.served_at)
        return served / sent if sent else 1.0

    def percentile(self, fraction: float, first_s: float, last_s: float) -> float:
        """Return a percentile of the delays in ms; 0 if there are none.

        The delays are those of the served requests whose first try was due in a time range.

        Args:
            fraction: The percentile as a fraction: 0.5 for the median.
            first_s: Start of the time range, in seconds since the start of the load.
            last_s: End of the time range, in the same unit.
        """
        with self.lock:
            delays = sorted(
                delay for sent_at, delay in self.result.delays if first_s <= sent_at < last_s
            )
        return delays[min(len(delays) - 1, int(fraction * len(delays)))] if delays else 0.0

    def _run(self) -> None:
        due_at = max(now_ms(), self.started_at)
        while not self.stopped.is_set():
            now = now_ms()
            rate = self.load.rate_at((now - self.started_at) / 1000.0)
            if rate <= 0.0:
                due_at = now + MAX_IDLE_MS
            while due_at <= now and rate > 0.0:
                self._send_new_request(due_at)
                due_at += self.random.expovariate(rate) * 1000.0
                if due_at < now - MAX_LATENESS_MS:
                    due_at = now
            next_retry_at = self._send_retries(now)
            wakes_at = min(due_at, next_retry_at, now + MAX_IDLE_MS)
            self.stopped.wait(max(MIN_WAIT_S, (wakes_at - now_ms()) / 1000.0))

    def _send_retries(self, now: float) -> float:
        """Send the retries that are due, and return when the next retry is due, in Unix ms.

        If no retry is waiting, return the time MAX_IDLE_MS from now.
        """
        with self.lock:
            due = []
            while self.retries and self.retries[0][0] <= now:
                due.append(heapq.heappop(self.retries)[2])
            next_at = self.retries[0][0] if self.retries else now + MAX_IDLE_MS
        for request in due:
            self._send(request)
        return next_at

    def _send_new_request(self, due_at: float) -> None:
        rank = self._draw_rank()
        is_order = self.random.random() < self.load.order_fraction
        fields = {
            "route": self.keyed_class if is_order else self.read_class,
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
            self.result.first_sent_at.append((due_at - self.started_at) / 1000.0)
        self._send(PendingRequest(due_at, fields))

    def _draw_rank(self) -> int:
        weights = self.cumulative_weights
        rank = bisect(weights, self.random.random() * weights[-1])
        return min(rank, self.load.object_count - 1)

    def _send(self, request: PendingRequest) -> None:
        now = now_ms()
        if now > request.first_due_at + self.load.patience - MIN_TIME_FOR_TRY_MS:
            self.count("gave up")
            return
        request.tries += 1
        first_index = self.random.randrange(len(self.sessions))
        for offset in range(len(self.sessions)):
            if self.sessions[(first_index + offset) % len(self.sessions)].send(request, now):
                self.count("tries")
                return
        self.count("no line")

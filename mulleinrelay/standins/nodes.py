"""Simulated caches, parents and an origin that share one clock.

The state of a node consists of its stored copies, its queued work and the writes that it has
executed. The module uses no sockets: the servers in `environment.py` and
`lab/fleet/node_server.py` and the simulation in `model/` pass commands in and send the replies.
"""

import threading
from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass, field

from .clock import now_ms
from .node_kinds import ORIGIN

MAX_QUEUED_WORK_MS = 1_000.0  # a node with more queued work rejects commands
LOAD_WINDOW_MS = 1_000.0  # time window over which a node's load is computed
REJECT_DELAY_MS = 1.0  # until a rejection is sent
# Purged copies may be used for this long after the purge, or after the notification of the purge.
PURGE_PROPAGATION_MS = 1_000.0

CopyKey = tuple[str, str]  # id of an object and of its part


@dataclass(slots=True, eq=False)
class NodeSpec:
    """Properties of one node. Times are in ms.

    Work is measured in hits: the unit is the work of one answer from a stored copy.

    Attributes:
        kind: One of the kinds in `node_kinds.py`.
        capacity: Work that the node can do, in hits per second.
        fill_cost: Work of a fill, in hits.
        answer_delay: Time from the end of the work for an answer until the answer is sent.
        weight: Weight of the node in the endpoint list.
        initial_fraction: Fraction of its capacity that a node has right after a restart.
        slow_start_duration: Time from a restart until the node has its full capacity again; 0: it
            has its full capacity at once.
        max_copies: Maximum number of stored copies, the oldest are evicted first; 0: no maximum.
        crashes_on_overload: Whether a node that is overloaded for too long crashes.
        crash_load: Load above which a node is overloaded, as a multiple of its current capacity.
        crash_after: How long a node must be overloaded without a break before it crashes.
        crashes_when_warm: Whether a node can also crash after its slow start.
    """

    name: str
    kind: str
    zone: str
    capacity: float
    fill_cost: float = 4.0
    answer_delay: float = 2.0
    weight: int = 4
    initial_fraction: float = 1.0
    slow_start_duration: float = 0.0
    max_copies: int = 0
    crashes_on_overload: bool = False
    crash_load: float = 1.0
    crash_after: float = 2.0 * LOAD_WINDOW_MS
    crashes_when_warm: bool = True


class SimulatedNode:
    """The state of one node. The lock of its fleet guards all fields. Times are in ms."""

    def __init__(self, spec: NodeSpec) -> None:
        self.spec = spec
        self.copies: dict[CopyKey, float] = {}  # when the origin issued each copy
        # When the last fill of each copy ends, and when each idempotency key expires. Entries whose
        # time is past remain until a restart.
        self.fills_in_progress: dict[CopyKey, float] = {}
        self.idempotency_keys: dict[str, float] = {}
        self.free_at = 0.0  # when all queued work is done
        self.started_at = 0.0  # 0: never restarted
        self.slowdown = 1.0  # factor on the duration of work and on the answer delay
        self.is_alive = True
        self.is_silent = False  # True: the node executes commands, but sends no results
        self.state = "SERVING"  # as the endpoint list announces it
        self.recent_work: deque[tuple[float, float]] = deque()  # time in ms, work in hits
        self.window_load = 0.0  # work in the LOAD_WINDOW_MS before the last command, in hits
        self.peak_load = 0.0  # as a multiple of the capacity that the node had at the time
        self.overloaded_since = 0.0  # 0: not overloaded, or cannot crash on overload
        self.counts: Counter[str] = Counter()  # events, under the names that the labs' figures use
        # When a command last named this node, as its target or as a fill source; 0: never.
        self.last_referenced_at = 0.0

    def capacity_fraction(self, now: float) -> float:
        """Return the fraction of its capacity that the node has at `now`.

        The fraction is 1 if the node was never restarted, has no slow start, or if its slow start
        is over.
        """
        spec = self.spec
        if not self.started_at or not spec.slow_start_duration:
            return 1.0
        gained = (1.0 - spec.initial_fraction) * (now - self.started_at) / spec.slow_start_duration
        return min(1.0, spec.initial_fraction + gained)

    def accept_work(self, now: float, units: float) -> float | None:
        """Queue `units` hits of work and return when the work is done; None if it is rejected.

        Work is rejected if more than MAX_QUEUED_WORK_MS of work is queued already. Rejected work
        counts as load too. The load may crash the node.
        """
        capacity_per_ms = self.spec.capacity * self.capacity_fraction(now) / 1000.0
        self._record_load(now, units, capacity_per_ms)
        if self.free_at > now + MAX_QUEUED_WORK_MS:
            self.counts["full"] += 1
            return None
        self.free_at = max(now, self.free_at) + self.slowdown * units / capacity_per_ms
        return self.free_at

    def _record_load(self, now: float, units: float, capacity_per_ms: float) -> None:
        self.recent_work.append((now, units))
        self.window_load += units
        while self.recent_work and self.recent_work[0][0] < now - LOAD_WINDOW_MS:
            self.window_load -= self.recent_work.popleft()[1]
        load = self.window_load / (capacity_per_ms * LOAD_WINDOW_MS)
        self.peak_load = max(self.peak_load, load)
        spec = self.spec
        if load <= spec.crash_load:
            self.overloaded_since = 0.0
        elif spec.crashes_on_overload:
            self.overloaded_since = self.overloaded_since or now
            can_crash = spec.crashes_when_warm or self.capacity_fraction(now) < 1.0
            if now > self.overloaded_since + spec.crash_after and can_crash:
                self.is_alive = False

    def store_copy(self, copy_key: CopyKey, issued_at: float) -> None:
        """Store a copy as the newest one, and evict the oldest one if there are too many."""
        self.copies.pop(copy_key, None)
        self.copies[copy_key] = issued_at
        if self.spec.max_copies and len(self.copies) > self.spec.max_copies:
            del self.copies[next(iter(self.copies))]

    def reset(self) -> None:
        """Discard all stored copies, fills, idempotency keys, queued work and recorded load.

        A restarted process has lost all of them. The counters and the peak load remain.
        """
        self.copies.clear()
        self.fills_in_progress.clear()
        self.idempotency_keys.clear()
        self.recent_work.clear()
        self.window_load = 0.0
        self.free_at = 0.0
        self.overloaded_since = 0.0


@dataclass(slots=True, eq=False)
class Reply:
    """The reply to a command.

    Attributes:
        items: Items of the reply after the id of the command.
        due_at: When the reply is sent, in ms of the fleet's clock; None if it is never sent.
    """

    items: tuple[bytes, ...]
    due_at: float | None


@dataclass(frozen=True, slots=True)
class _ReadCommand:
    """The decoded fields of a read command."""

    copy_key: CopyKey
    max_age: float  # maximum age of a copy in ms; 0: no maximum
    source: SimulatedNode | None  # the fill source; None: a miss is not filled
    flags: frozenset[str]
    stores_copy: bool  # whether the node stores the copy that a fill provides

    def is_fresh(self, issued_at: float, now: float) -> bool:
        return not self.max_age or now - issued_at <= self.max_age


@dataclass(frozen=True, slots=True)
class _SourceCopy:
    """The answer of a fill source to a fill. Times are in ms.

    Attributes:
        ready_at: When the copy arrives; None if the source provides no copy.
        issued_at: When the origin issued the copy.
        is_from_origin: Whether the copy was fetched from the origin for this fill.
    """

    ready_at: float | None
    issued_at: float
    is_from_origin: bool


@dataclass(slots=True, eq=False)
class NodeFleet:
    """All nodes by name, and counters over all nodes.

    Thread-safe: `lock` guards the counters, `purged_at` and the state of all nodes.

    Attributes:
        write_classes: Request classes whose requests are writes.
        key_retention: How long a node remembers an idempotency key, in ms.
        body: Body of all successful answers to reads.
        executions: Number of executed writes by idempotency key; the empty key counts all writes
            without a key.
        origin_fetches: Number of reads that reached the origin.
        purged_at: Time of the last purge of each purged object.
        stale_answers: Number of answers with a copy that was issued before a purge, to commands
            that arrived more than PURGE_PROPAGATION_MS after this purge.
        clock: Function that returns the time in ms.
    """

    nodes: dict[str, SimulatedNode]
    write_classes: set[str]
    key_retention: float = 6_000.0
    body: bytes = bytes(400)
    executions: Counter[str] = field(default_factory=Counter)
    origin_fetches: int = 0
    purged_at: dict[str, float] = field(default_factory=dict)
    stale_answers: int = 0
    lock: threading.Lock = field(default_factory=threading.Lock)
    clock: Callable[[], float] = now_ms

    def handle_pull(self, name: str, fields: dict[str, str]) -> Reply:
        """Execute a PULL command at a node, and return the reply.

        Args:
            name: Name of the node.
            fields: Fields of the command. The request class, in the field `lane`, determines
                whether the command is a read or a write.
        """
        now = self.clock()
        node = self.nodes[name]
        with self.lock:
            node.counts["asked"] += 1
            node.last_referenced_at = now
            source = self.nodes.get(fields.get("miss", ""))
            if source is not None:
                source.last_referenced_at = now
            if fields.get("lane", "") in self.write_classes:
                return self._write(now, node, fields.get("dedupe", ""))
            command = _ReadCommand(
                copy_key=(fields.get("name", ""), fields.get("piece", "0")),
                max_age=float(fields.get("within", "0") or 0.0),
                source=source,
                flags=frozenset(fields.get("f", "").split("+")),
                stores_copy=fields.get("prio", "0") != "0",
            )
            return self._read(now, node, command)

    def is_outdated(
        self, object_id: str, issued_at: float, now: float, notified_at: float | None = None
    ) -> bool:
        """Return whether a copy was issued before a purge that should have taken effect by now.

        A purge should take effect within PURGE_PROPAGATION_MS after the director was notified of
        it, or after the purge itself if the time of the notification is unknown.

        Args:
            object_id: Id of the object.
            issued_at: When the origin issued the copy.
            now: When the copy is used for an answer.
            notified_at: When the director was notified of the purge; None if unknown.
        """
        purged_at = self.purged_at.get(object_id)
        if purged_at is None:
            return False
        effective_at = purged_at if notified_at is None else notified_at
        return now > effective_at + PURGE_PROPAGATION_MS and issued_at < purged_at

    def _write(self, now: float, node: SimulatedNode, idempotency_key: str) -> Reply:
        done_at = node.accept_work(now, 1.0)
        if done_at is None:
            return _rejection_reply(now)
        if not idempotency_key or now > node.idempotency_keys.get(idempotency_key, 0.0):
            self.executions[idempotency_key] += 1
            node.idempotency_keys[idempotency_key] = now + self.key_retention
        return _timed_reply(node, done_at, (b"DONE", b"why=MISS_ORIGIN", b"taken"))

    def _read(self, now: float, node: SimulatedNode, command: _ReadCommand) -> Reply:
        issued_at = node.copies.get(command.copy_key)
        if node.spec.kind == ORIGIN:
            self.origin_fetches += 1
            return self._serve(now, node, command.copy_key, now, "MISS_ORIGIN")
        if issued_at is not None and command.is_fresh(issued_at, now):
            node.counts["hits"] += 1
            return self._serve(now, node, command.copy_key, issued_at, "HIT")
        if command.source is None:
            return _timed_reply(node, now, (b"LACK", b"why=NO_FILL", b""))
        fill_ends_at = node.fills_in_progress.get(command.copy_key, 0.0)
        if "collapse" in command.flags and fill_ends_at > now and command.copy_key in node.copies:
            fill_issued_at = node.copies[command.copy_key]
            items = self._success_items(command.copy_key, fill_issued_at, now, "COLLAPSED", 0.0)
            return _timed_reply(node, fill_ends_at, items)
        return self._fill(now, node, command.source, command)

    def _serve(
        self, now: float, node: SimulatedNode, copy_key: CopyKey, issued_at: float, reason: str
    ) -> Reply:
        done_at = node.accept_work(now, 1.0)
        if done_at is None:
            return _rejection_reply(now)
        return _timed_reply(
            node, done_at, self._success_items(copy_key, issued_at, now, reason, 0.0)
        )

    def _fill(
        self, now: float, node: SimulatedNode, source: SimulatedNode, command: _ReadCommand
    ) -> Reply:
        node.counts["fills"] += 1
        done_at = node.accept_work(now, node.spec.fill_cost)
        if done_at is None:
            return _rejection_reply(now)
        if not source.is_alive:
            return _timed_reply(node, done_at, (b"BROKE", b"why=UP_DOWN", b""))
        fetched = self._fetch(now, source, command)
        if fetched.ready_at is None:
            return _timed_reply(node, done_at, (b"LACK", b"why=UP_MISS", b""))
        ends_at = max(done_at, fetched.ready_at)
        if command.stores_copy:
            node.store_copy(command.copy_key, fetched.issued_at)
            node.fills_in_progress[command.copy_key] = ends_at
        reason = "MISS_ORIGIN" if fetched.is_from_origin else "MISS"
        fill_delay = fetched.ready_at - now
        items = self._success_items(command.copy_key, fetched.issued_at, now, reason, fill_delay)
        return _timed_reply(node, ends_at, items)

    def _fetch(self, now: float, source: SimulatedNode, command: _ReadCommand) -> _SourceCopy:
        issued_at = source.copies.get(command.copy_key)
        is_origin = source.spec.kind == ORIGIN
        if not is_origin and issued_at is not None and command.is_fresh(issued_at, now):
            source.counts["gave"] += 1
            return _SourceCopy(
                _arrival_time(source, source.accept_work(now, 1.0)), issued_at, False
            )
        if "only-if-cached" in command.flags:
            return _SourceCopy(None, 0.0, False)
        self.origin_fetches += 1
        done_at = source.accept_work(now, 1.0)
        origin_delay = 0.0
        if not is_origin:
            origin = next(node for node in self.nodes.values() if node.spec.kind == ORIGIN)
            origin_delay = origin.spec.answer_delay
            origin.accept_work(now, 1.0)
            if "no-store-up" not in command.flags:
                source.store_copy(command.copy_key, now)
        return _SourceCopy(_arrival_time(source, done_at, origin_delay), now, True)

    def _success_items(
        self, copy_key: CopyKey, issued_at: float, now: float, reason: str, fill_delay: float
    ) -> tuple[bytes, ...]:
        if self.is_outdated(copy_key[0], issued_at, now):
            self.stale_answers += 1
        text = f"why={reason},entity=t{copy_key[0]},issued={issued_at:.0f},delay={fill_delay:.1f}"
        return (b"DONE", text.encode(), self.body)


def _arrival_time(
    source: SimulatedNode, done_at: float | None, extra_delay: float = 0.0
) -> float | None:
    return None if done_at is None else done_at + source.spec.answer_delay + extra_delay


def _rejection_reply(now: float) -> Reply:
    return Reply((b"WAIT", b"-", b""), now + REJECT_DELAY_MS)


def _timed_reply(node: SimulatedNode, done_at: float, items: tuple[bytes, ...]) -> Reply:
    due_at = None if node.is_silent else done_at + node.slowdown * node.spec.answer_delay
    return Reply(items, due_at)

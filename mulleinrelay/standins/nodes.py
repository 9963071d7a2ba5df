"""Simulated caches, parents and an origin that share one clock.

A node's state is what it stores, how much work is queued at it and which requests it has executed.
Nothing here knows of sockets; the servers in `environment.py` and `lab/fleet/hosts.py` and the
simulation in `model/` pass commands in and carry the replies out.
"""

import threading
from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass, field

from .clock import now_ms
from .node_kinds import ORIGIN

MAX_QUEUED_WORK_MS = 1_000.0  # beyond this much queued work a node rejects commands as full
LOAD_WINDOW_MS = 1_000.0  # span over which a node's load is computed
REJECT_DELAY_MS = 1.0  # until a rejection goes out
PURGE_PROPAGATION_MS = 1_000.0  # after a purge notification, within which old copies are allowed

CopyKey = tuple[str, str]  # object and its part


@dataclass(slots=True, eq=False)
class NodeSpec:
    """Properties of one node. Times are in ms.

    Attributes:
        capacity: Hits a second.
        fill_cost: Cost of a fill in hits.
        answer_delay: Delay of each answer beyond the work itself.
        initial_fraction: Fraction of the capacity that a node has when it has just started.
        slow_start_duration: Time from a start until the node has its full capacity.
        max_copies: Copies that fit in, the oldest are evicted first; 0: any number.
        crashes_on_overload: Whether too much load for too long ends the node.
        crash_load: Load, as a multiple of the present capacity, above which it may crash.
        crash_after: How long the load must be above `crash_load`.
        crashes_when_warm: Whether it may also crash after its slow start.
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
    """State of one node. All fields are guarded by the lock of its fleet."""

    def __init__(self, spec: NodeSpec) -> None:
        self.spec = spec
        self.copies: dict[CopyKey, float] = {}  # when the origin issued each copy
        self.fills_in_progress: dict[CopyKey, float] = {}  # when each fill ends
        self.idempotency_keys: dict[str, float] = {}  # when each key expires
        self.free_at = 0.0  # when the queued work is done
        self.started_at = 0.0  # 0: has always been running
        self.slowdown = 1.0  # factor on the duration of work and on the answer delay
        self.is_alive = True
        self.is_silent = False
        self.state = "SERVING"
        self.recent_work: deque[tuple[float, float]] = deque()  # when, units
        self.window_load = 0.0  # units within the last LOAD_WINDOW_MS
        self.peak_load = 0.0  # as a multiple of the capacity
        self.overloaded_since = 0.0  # 0: not overloaded
        self.counts: Counter[str] = Counter()
        self.last_referenced_at = (
            0.0  # when a command last named it, as its target or as a fill source
        )

    def capacity_fraction(self, now: float) -> float:
        """Return the fraction of its capacity that the node has during and after slow start."""
        spec = self.spec
        if not self.started_at or not spec.slow_start_duration:
            return 1.0
        gained = (1.0 - spec.initial_fraction) * (now - self.started_at) / spec.slow_start_duration
        return min(1.0, spec.initial_fraction + gained)

    def accept_work(self, now: float, units: float) -> float | None:
        """Queue work and return when it is done, or None where the node is full.

        The load counts in both cases, and may crash the node.
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
        """Store a copy as the newest one, and evict the oldest one where there are too many."""
        self.copies.pop(copy_key, None)
        self.copies[copy_key] = issued_at
        if self.spec.max_copies and len(self.copies) > self.spec.max_copies:
            del self.copies[next(iter(self.copies))]

    def reset(self) -> None:
        """Forget everything stored and queued, as a restart does."""
        self.copies.clear()
        self.fills_in_progress.clear()
        self.idempotency_keys.clear()
        self.recent_work.clear()
        self.window_load = 0.0
        self.free_at = 0.0
        self.overloaded_since = 0.0


@dataclass(slots=True, eq=False)
class Reply:
    """A reply to a command: its items, and when it goes out (ms); None: never."""

    items: tuple[bytes, ...]
    due_at: float | None


@dataclass(frozen=True, slots=True)
class _ReadCommand:
    """A read as a node understands it."""

    copy_key: CopyKey
    max_age: float  # ms; 0: any
    source: SimulatedNode | None
    flags: frozenset[str]
    stores_copy: bool

    def is_fresh(self, issued_at: float, now: float) -> bool:
        return not self.max_age or now - issued_at <= self.max_age


@dataclass(frozen=True, slots=True)
class _SourceCopy:
    """What a fill source gives.

    Attributes:
        ready_at: When the copy has arrived; None: the source doesn't give one.
        issued_at: When the origin issued the copy.
        is_from_origin: Whether the origin was asked for it.
    """

    ready_at: float | None
    issued_at: float
    is_from_origin: bool


@dataclass(slots=True, eq=False)
class NodeFleet:
    """All nodes by name, and counts of what ran at any of them.

    Thread-safe: `lock` guards all fields below it and the state of all nodes.

    Attributes:
        write_classes: Request classes that have an effect.
        key_retention: How long an idempotency key is remembered, in ms.
        executions: Executions of writes by idempotency key.
        purged_at: Objects, and when each was last purged.
        stale_answers: Answers older than a purge that was notified over a second before.
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
        """Execute one PULL command at the node `name`; its answer says when it goes out."""
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
        """Return whether a copy is older than a purge notified over a second before `now`.

        Args:
            object_id: The object that may have been purged.
            issued_at: When the origin issued the copy.
            now: When the copy is answered with.
            notified_at: When the reader was notified; None: at the purge itself.
        """
        purged_at = self.purged_at.get(object_id)
        if purged_at is None:
            return False
        known_at = purged_at if notified_at is None else notified_at
        return now > known_at + PURGE_PROPAGATION_MS and issued_at < purged_at

    def _write(self, now: float, node: SimulatedNode, idempotency_key: str) -> Reply:
        done_at = node.accept_work(now, 1.0)
        if done_at is None:
            return _full(now)
        if not idempotency_key or now > node.idempotency_keys.get(idempotency_key, 0.0):
            self.executions[idempotency_key] += 1
            node.idempotency_keys[idempotency_key] = now + self.key_retention
        return _reply(node, done_at, (b"DONE", b"why=MISS_ORIGIN", b"taken"))

    def _read(self, now: float, node: SimulatedNode, command: _ReadCommand) -> Reply:
        issued_at = node.copies.get(command.copy_key)
        if node.spec.kind == ORIGIN:
            self.origin_fetches += 1
            return self._serve(now, node, command.copy_key, now, "MISS_ORIGIN")
        if issued_at is not None and command.is_fresh(issued_at, now):
            node.counts["hits"] += 1
            return self._serve(now, node, command.copy_key, issued_at, "HIT")
        if command.source is None:
            return _reply(node, now, (b"LACK", b"why=NO_FILL", b""))
        fill_ends_at = node.fills_in_progress.get(command.copy_key, 0.0)
        if "collapse" in command.flags and fill_ends_at > now and command.copy_key in node.copies:
            copied_at = node.copies[command.copy_key]
            items = self._success(command.copy_key, copied_at, now, "COLLAPSED", 0.0)
            return _reply(node, fill_ends_at, items)
        return self._fill(now, node, command.source, command)

    def _serve(
        self, now: float, node: SimulatedNode, copy_key: CopyKey, issued_at: float, reason: str
    ) -> Reply:
        done_at = node.accept_work(now, 1.0)
        if done_at is None:
            return _full(now)
        return _reply(node, done_at, self._success(copy_key, issued_at, now, reason, 0.0))

    def _fill(
        self, now: float, node: SimulatedNode, source: SimulatedNode, command: _ReadCommand
    ) -> Reply:
        node.counts["fills"] += 1
        done_at = node.accept_work(now, node.spec.fill_cost)
        if done_at is None:
            return _full(now)
        if not source.is_alive:
            return _reply(node, done_at, (b"BROKE", b"why=UP_DOWN", b""))
        fetched = self._fetch(now, source, command)
        if fetched.ready_at is None:
            return _reply(node, done_at, (b"LACK", b"why=UP_MISS", b""))
        ends_at = max(done_at, fetched.ready_at)
        if command.stores_copy:
            node.store_copy(command.copy_key, fetched.issued_at)
            node.fills_in_progress[command.copy_key] = ends_at
        reason = "MISS_ORIGIN" if fetched.is_from_origin else "MISS"
        waited = fetched.ready_at - now
        items = self._success(command.copy_key, fetched.issued_at, now, reason, waited)
        return _reply(node, ends_at, items)

    def _fetch(self, now: float, source: SimulatedNode, command: _ReadCommand) -> _SourceCopy:
        issued_at = source.copies.get(command.copy_key)
        is_origin = source.spec.kind == ORIGIN
        if not is_origin and issued_at is not None and command.is_fresh(issued_at, now):
            source.counts["gave"] += 1
            return _SourceCopy(_arrival(source, source.accept_work(now, 1.0)), issued_at, False)
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
        return _SourceCopy(_arrival(source, done_at, origin_delay), now, True)

    def _success(
        self, copy_key: CopyKey, issued_at: float, now: float, reason: str, waited: float
    ) -> tuple[bytes, ...]:
        if self.is_outdated(copy_key[0], issued_at, now):
            self.stale_answers += 1
        text = f"why={reason},entity=t{copy_key[0]},issued={issued_at:.0f},delay={waited:.1f}"
        return (b"DONE", text.encode(), self.body)


def _arrival(
    source: SimulatedNode, done_at: float | None, further_delay: float = 0.0
) -> float | None:
    return None if done_at is None else done_at + source.spec.answer_delay + further_delay


def _full(now: float) -> Reply:
    return Reply((b"WAIT", b"-", b""), now + REJECT_DELAY_MS)


def _reply(node: SimulatedNode, done_at: float, items: tuple[bytes, ...]) -> Reply:
    due_at = None if node.is_silent else done_at + node.slowdown * node.spec.answer_delay
    return Reply(items, due_at)

"""Caches, parents and an origin that share one clock: what each holds, bears, remembers and has
run.
"""

import heapq
import itertools
import threading
import time
from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass, field

BOX, PARENT, ORIGIN = "box", "parent", "origin"
FULL_AFTER = 1_000.0  # ms of work that wait; beyond, a node answers that it is full
WINDOW = 1_000.0  # ms over which load is reckoned


def now_ms() -> float:
    return time.time() * 1000.0


@dataclass(slots=True, eq=False)
class Spec:
    """One node: capacity in hits a second, cost of a fill in hits, delay of an answer in ms."""

    name: str
    kind: str
    zone: str
    capacity: float
    fill_cost: float = 4.0
    delay: float = 2.0
    weight: int = 4
    cold_from: float = 1.0  # share of its capacity when it has just started
    cold_for: float = 0.0  # ms until it has all
    holds: int = 0  # copies it has room for, the oldest go first; 0: any number
    falls: bool = False  # whether more than it can bear for too long kills it
    falls_at: float = 1.0  # times what it can do now
    falls_after: float = 2.0 * WINDOW  # ms
    falls_warm: bool = True  # whether it may fall once it is warm


class Node:
    """What one node holds and bears. Guarded by the lock of its fleet."""

    def __init__(self, spec: Spec) -> None:
        self.spec = spec
        self.copies: dict[
            tuple[str, str], float
        ] = {}  # object and part: when the origin gave it out
        self.filling: dict[tuple[str, str], float] = {}  # fills under way and their ends
        self.idempotency_keys: dict[str, float] = {}
        self.free_at, self.started, self.slow = 0.0, 0.0, 1.0
        self.alive, self.silent, self.state = True, False, "SERVING"
        self.recent: deque[tuple[float, float]] = deque()
        self.in_window, self.peak, self.over_since = 0.0, 0.0, 0.0
        self.counts: Counter[str] = Counter()
        self.last_named = 0.0  # when a command last named it, as its place or as a source

    def warmth(self, now: float) -> float:
        spec = self.spec
        if not self.started or not spec.cold_for:
            return 1.0
        return min(
            1.0, spec.cold_from + (1.0 - spec.cold_from) * (now - self.started) / spec.cold_for
        )

    def bear(self, now: float, units: float) -> float | None:
        """Takes in work; gives when it is done, None where the node is full. The load counts either
        way.
        """
        capacity = self.spec.capacity * self.warmth(now) / 1000.0
        self.recent.append((now, units))
        self.in_window += units
        while self.recent and self.recent[0][0] < now - WINDOW:
            self.in_window -= self.recent.popleft()[1]
        load = self.in_window / (capacity * WINDOW)
        self.peak = max(self.peak, load)
        if load <= self.spec.falls_at:
            self.over_since = 0.0
        elif self.spec.falls:
            self.over_since = self.over_since or now
            warm = self.warmth(now) >= 1.0
            if now > self.over_since + self.spec.falls_after and (self.spec.falls_warm or not warm):
                self.alive = False
        if self.free_at > now + FULL_AFTER:
            self.counts["full"] += 1
            return None
        self.free_at = max(now, self.free_at) + self.slow * units / capacity
        return self.free_at

    def keep(self, spot: tuple[str, str], issued: float) -> None:
        self.copies.pop(spot, None)
        self.copies[spot] = issued
        if self.spec.holds and len(self.copies) > self.spec.holds:
            del self.copies[next(iter(self.copies))]

    def forget(self) -> None:
        """As after a restart."""
        self.copies.clear()
        self.filling.clear()
        self.idempotency_keys.clear()
        self.recent.clear()
        self.in_window = self.free_at = self.over_since = 0.0


@dataclass(slots=True, eq=False)
class Reply:
    """An answer under way: its words, and when it goes out; None: never."""

    words: tuple[bytes, ...]
    due: float | None


@dataclass(slots=True, eq=False)
class Fleet:
    """All nodes by name, and what ran at any of them."""

    nodes: dict[str, Node]
    writes: set[str]  # request classes that have an effect
    memory_span: float = 6_000.0
    body: bytes = bytes(400)
    effects: Counter = field(default_factory=Counter)  # by idempotency key
    origin_fetches: int = 0
    purged: dict[str, float] = field(
        default_factory=dict
    )  # objects: the moment of their last purge
    stale: int = 0  # answers older than a purge that was told over a second before
    lock: threading.Lock = field(default_factory=threading.Lock)
    clock: Callable[[], float] = now_ms

    def pull(self, name: str, fields: dict[str, str]) -> Reply:
        """One command to a node: what it answers, and when."""
        now, node = self.clock(), self.nodes[name]
        with self.lock:
            node.counts["asked"] += 1
            node.last_named = now
            if (source := self.nodes.get(fields.get("miss", ""))) is not None:
                source.last_named = now
            if fields.get("lane", "") in self.writes:
                return self._write(now, node, fields)
            return self._read(now, node, fields)

    def _write(self, now: float, node: Node, fields: dict[str, str]) -> Reply:
        done, idempotency_key = node.bear(now, 1.0), fields.get("dedupe", "")
        if done is None:
            return Reply((b"WAIT", b"-", b""), now + 1.0)
        if not idempotency_key or now > node.idempotency_keys.get(idempotency_key, 0.0):
            self.effects[idempotency_key] += 1
            node.idempotency_keys[idempotency_key] = now + self.memory_span
        return self._in(node, done, (b"DONE", b"why=MISS_ORIGIN", b"taken"))

    def _read(self, now: float, node: Node, fields: dict[str, str]) -> Reply:
        spot = fields.get("name", ""), fields.get("piece", "0")
        within = float(fields.get("within", "0") or 0.0)
        issued = node.copies.get(spot)
        if node.spec.kind == ORIGIN:
            self.origin_fetches += 1
            return self._whole(node, node.bear(now, 1.0), now, spot, now, "MISS_ORIGIN")
        if issued is not None and (not within or now - issued <= within):
            node.counts["hits"] += 1
            return self._whole(node, node.bear(now, 1.0), now, spot, issued, "HIT")
        flags, source = fields.get("f", "").split("+"), self.nodes.get(fields.get("miss", ""))
        if source is None:
            return self._in(node, now, (b"LACK", b"why=NO_FILL", b""))
        joined = node.filling.get(spot, 0.0)
        if "collapse" in flags and joined > now and spot in node.copies:
            return self._in(
                node, joined, self._done(spot, node.copies[spot], now, "COLLAPSED", 0.0)
            )
        return self._fill(now, node, source, spot, within, flags, fields)

    def _fill(
        self,
        now: float,
        node: Node,
        source: Node,
        spot: tuple[str, str],
        within: float,
        flags: list[str],
        fields: dict[str, str],
    ) -> Reply:
        node.counts["fills"] += 1
        done = node.bear(now, node.spec.fill_cost)
        if done is None:
            return Reply((b"WAIT", b"-", b""), now + 1.0)
        if not source.alive:
            return self._in(node, done, (b"BROKE", b"why=UP_DOWN", b""))
        ready, issued, by_origin = self._from(
            now, source, spot, within, "only-if-cached" in flags, "no-store-up" not in flags
        )
        if ready is None:
            return self._in(node, done, (b"LACK", b"why=UP_MISS", b""))
        end = max(done, ready)
        if fields.get("prio", "0") != "0":
            node.keep(spot, issued)
            node.filling[spot] = end
        return self._in(
            node,
            end,
            self._done(spot, issued, now, "MISS_ORIGIN" if by_origin else "MISS", ready - now),
        )

    def _from(
        self,
        now: float,
        source: Node,
        spot: tuple[str, str],
        within: float,
        held_only: bool,
        keeps: bool,
    ) -> tuple[float | None, float, bool]:
        """What a source gives: when, from when its copy is, and whether the origin was asked."""
        held = source.copies.get(spot)
        if source.spec.kind != ORIGIN and held is not None and (not within or now - held <= within):
            source.counts["gave"] += 1
            ready = source.bear(now, 1.0)
            return (None if ready is None else ready + source.spec.delay), held, False
        if held_only:
            return None, 0.0, False
        self.origin_fetches += 1
        ready, far = source.bear(now, 1.0), 0.0
        if source.spec.kind != ORIGIN:
            origin = next(node for node in self.nodes.values() if node.spec.kind == ORIGIN)
            far = origin.spec.delay
            origin.bear(now, 1.0)
            if keeps:
                source.keep(spot, now)
        return (None if ready is None else ready + source.spec.delay + far), now, True

    def _done(
        self, spot: tuple[str, str], issued: float, now: float, why: str, waited: float
    ) -> tuple[bytes, ...]:
        if self.too_old(spot[0], issued, now):
            self.stale += 1
        return (
            b"DONE",
            f"why={why},entity=t{spot[0]},issued={issued:.0f},delay={waited:.1f}".encode(),
            self.body,
        )

    def too_old(self, key: str, issued: float, now: float, told: float | None = None) -> bool:
        """Whether a copy is older than a purge that was told over a second before: at `told`, or at
        once.
        """
        moment = self.purged.get(key)
        if moment is None:
            return False
        return now > (moment if told is None else told) + 1_000.0 and issued < moment

    def _whole(
        self,
        node: Node,
        done: float | None,
        now: float,
        spot: tuple[str, str],
        issued: float,
        why: str,
    ) -> Reply:
        if done is None:
            return Reply((b"WAIT", b"-", b""), now + 1.0)
        return self._in(node, done, self._done(spot, issued, now, why, 0.0))

    def _in(self, node: Node, done: float, words: tuple[bytes, ...]) -> Reply:
        return Reply(words, None if node.silent else done + node.slow * node.spec.delay)


class Timer:
    """One thread that does things at their times."""

    def __init__(self) -> None:
        self.due: list[tuple[float, int, Callable[[], None]]] = []
        self.count, self.ended = itertools.count(), False
        self.condition = threading.Condition()
        threading.Thread(target=self._run, name="stand-in timer", daemon=True).start()

    def at(self, due: float, do: Callable[[], None]) -> None:
        with self.condition:
            heapq.heappush(self.due, (due, next(self.count), do))
            if self.due[0][0] == due:
                self.condition.notify()

    def stop(self) -> None:
        with self.condition:
            self.ended = True
            self.condition.notify()

    def _run(self) -> None:
        while True:
            with self.condition:
                while not self.ended and (not self.due or self.due[0][0] > now_ms()):
                    wait = (self.due[0][0] - now_ms()) / 1000.0 if self.due else None
                    self.condition.wait(wait)
                if self.ended:
                    return
                do = heapq.heappop(self.due)[2]
            try:
                do()
            except OSError:  # whoever it was for has gone
                pass

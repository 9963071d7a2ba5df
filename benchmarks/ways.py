"""Benchmark of two ways to confine requests to a cell: a router per cell, or a pool per request.

With a pool per request, one router serves all cells. `python -m benchmarks.ways` takes less than a
minute. It calls the router alone, without sockets, and simulates the fills.
"""

import json
import time
import tracemalloc
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

from mulleinrelay.policy.actions import SendOptions
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
    CachePool,
    CacheStatus,
    EndpointState,
    Outcome,
    Request,
    RequestClass,
    RetryBudget,
    ServiceSettings,
    SlowStartPolicy,
)
from mulleinrelay.policy.router import Router

CELLS = 10
CACHES = 40  # of all cells
PARENTS = 4
REQUESTS = 4_000
OBJECTS = 3_000
DURATION = 10_000.0  # ms over which the requests are spread
CLIENT_TIMEOUT = 3_000.0  # ms
SIZE_KB = 400.0
SEND_TIME = 40.0  # ms to send an answer of SIZE_KB, and until a fill is answered
HIT_TIME = 5.0  # ms until a hit is answered
WEIGHT = 4.0  # of each endpoint
DIRECTORS = 3
CACHE, PARENT, ORIGIN = 0, 1, 2  # kinds of endpoints
PARENT_SLOW_START = SlowStartPolicy(0.06, 20_000.0, 1_500.0, 2.0)
# Hash key of the first parent of each router, which is in slow start from the beginning
RESTARTED_PARENT = 10
RESTARTED_AT = 0.5  # ms


class AttemptRecorder:
    """An action sink that records the attempts that are sent and ignores all other actions."""

    def __init__(self) -> None:
        self.attempts: list[Attempt] = []

    def send_attempt(self, attempt: Attempt, options: SendOptions) -> None:
        """Record the attempt."""
        self.attempts.append(attempt)

    def __getattr__(self, name: str) -> Callable[..., None]:
        return lambda *_: None


@dataclass
class Figures:
    """Counts of the fills by parents while the requests are played.

    Attributes:
        fills_by_parents: Number of misses that a parent fills.
        recent_on_restarted: Times in ms of the fills by the restarted parent within the last
            `overload_window`.
        peak_on_restarted: Highest load of the restarted parent by fills, as a multiple of this
            director's share of the parent's capacity during slow start.
    """

    fills_by_parents: int = 0
    recent_on_restarted: deque[float] = field(default_factory=deque)
    peak_on_restarted: float = 0.0

    def record_fill(self, now: float, attempt: Attempt) -> None:
        """Count a miss if its fill source is a parent; update the peak of the restarted parent."""
        source = attempt.fill_source
        if source is None or source.kind != PARENT:
            return
        self.fills_by_parents += 1
        if source.hash_key != RESTARTED_PARENT:
            return
        policy = PARENT_SLOW_START
        recent = self.recent_on_restarted
        recent.append(now)
        while recent[0] < now - policy.overload_window:
            recent.popleft()
        initial = policy.initial_fraction
        fraction = min(1.0, initial + (1.0 - initial) * now / policy.duration)
        capacity = WEIGHT * fraction * policy.overload_window / DIRECTORS
        self.peak_on_restarted = max(self.peak_on_restarted, SEND_TIME * len(recent) / capacity)


def make_settings() -> ServiceSettings:
    """Return the settings of a router with one request class."""
    request_class = RequestClass(IDEMPOTENT, 500.0, 2.0, 3_000.0, 5_000.0, "all", 0.0, False)
    return ServiceSettings(
        request_classes=[request_class],
        zone=1,
        director_count=DIRECTORS,
        local_director_count=DIRECTORS,
        parent_kind=PARENT,
        origin_kind=ORIGIN,
        advertises_weights=True,
        transfer_rate=10.0,
        max_attempts=6,
        allows_hedging=True,
        allows_cancel=True,
        allows_health_checks=False,
        allows_retry_after=True,
        max_retry_after=1_000.0,
        allows_cache_bypass=True,
        allows_coalescing=True,
        allows_sibling_fills=True,
        requires_subscription=False,
        load_report_fields=["crowding"],
        polls_load_reports=False,
        cache_slow_start=SlowStartPolicy(1.0, 1.0, 1_500.0, 2.5),
        parent_slow_start=PARENT_SLOW_START,
        purge_propagation=1_000.0,
    )


def make_router(caches: list[TrackedEndpoint]) -> Router:
    """Return a router in front of these caches, with its own parents and its own origin."""
    entries = [
        EndpointEntry(cache, EndpointState.READY, WEIGHT, CACHE, 1, 0, 0.0) for cache in caches
    ]
    for number in range(PARENTS):
        parent = TrackedEndpoint(RESTARTED_PARENT + number)
        started_at = RESTARTED_AT if number == 0 else 0.0
        entries.append(EndpointEntry(parent, EndpointState.READY, WEIGHT, PARENT, 0, 0, started_at))
    origin = TrackedEndpoint(1)
    entries.append(EndpointEntry(origin, EndpointState.READY, WEIGHT, ORIGIN, 0, 0, 0.0))
    router = Router(0.0, 7, make_settings())
    router.handle(0.0, [EndpointsUpdated(entries, True)], AttemptRecorder())
    return router


def play_requests(routers: list[Router], pools: list[CachePool | None], random: Random) -> Figures:
    """Play the requests, each in the next cell in turn.

    Each attempt is answered before the next request is played. It is a hit if an attempt for the
    same object was sent to the same cache before, otherwise a fill.

    Args:
        routers: Router of each cell.
        pools: Pool of each cell; None if the cell has its own router.
        random: Source of randomness, for the choice of the objects.
    """
    figures = Figures()
    sink = AttemptRecorder()
    copies: set[tuple[int, int]] = set()
    for number in range(REQUESTS):
        now = DURATION * number / REQUESTS
        cell = number % CELLS
        router = routers[cell]
        request = Request(
            number,
            router.settings.request_classes[0],
            random.randrange(OBJECTS),
            0,
            0,
            SIZE_KB,
            now,
            now + CLIENT_TIMEOUT,
            pool=pools[cell],
        )
        router.handle(now, [RequestReceived(request)], sink)
        for attempt in sink.attempts:
            copy = (attempt.endpoint.hash_key, request.object_id)
            is_hit = copy in copies
            copies.add(copy)
            if not is_hit:
                figures.record_fill(now, attempt)
            router.handle(now + 5.0, [answer(attempt, is_hit)], sink)
        sink.attempts.clear()
    return figures


def answer(attempt: Attempt, is_hit: bool) -> AttemptFinished:
    """Return the event for an attempt that was served."""
    elapsed = HIT_TIME if is_hit else SEND_TIME
    status = CacheStatus.HIT if is_hit else CacheStatus.FILLED
    return AttemptFinished(attempt, Outcome.SERVED, elapsed, True, status, 30.0, None)


def make_routers(split: bool) -> tuple[list[Router], list[CachePool | None]]:
    """Return the router and the pool of each cell.

    Args:
        split: Whether each cell has its own router, and no pool. Otherwise all cells share one
            router, and each has a pool.
    """
    per_cell = CACHES // CELLS
    caches = [
        [TrackedEndpoint(100 + cell * CACHES + number) for number in range(per_cell)]
        for cell in range(CELLS)
    ]
    pools: list[CachePool | None]
    if split:
        routers = [make_router(cell_caches) for cell_caches in caches]
        pools = [None] * CELLS
    else:
        routers = [make_router([cache for cell_caches in caches for cache in cell_caches])] * CELLS
        pools = [
            CachePool(dict.fromkeys(cell_caches), {}, {}, RetryBudget(8.0))
            for cell_caches in caches
        ]
    return routers, pools


def measure(split: bool) -> dict[str, float]:
    """Return the figures of all cells together; `make_routers` explains `split`.

    Memory is measured in a second run, because the measurement slows the run down.
    """
    routers, pools = make_routers(split)
    began = time.process_time()
    figures = play_requests(routers, pools, Random(5))
    cpu_s = time.process_time() - began
    tracemalloc.start()
    play_requests(*make_routers(split), Random(5))
    memory = tracemalloc.get_traced_memory()[1]
    tracemalloc.stop()
    fills_per_parent = 1000.0 * figures.fills_by_parents / DURATION / PARENTS
    return {
        "cpu_us_a_request": round(1e6 * cpu_s / REQUESTS),
        "readings_of_a_parent_a_second_and_instance": round(
            fills_per_parent / (CELLS if split else 1), 2
        ),
        "peak_on_the_cold_parent_over_this_directors_part": round(figures.peak_on_restarted, 2),
        "memory_kb": round(memory / 1024),
    }


if __name__ == "__main__":
    print(json.dumps({"instances": measure(True), "pools": measure(False)}))

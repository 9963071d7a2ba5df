"""Two ways to confine requests, compared in the router alone.

One router for each cell, or one router with a pool for each request. Run by
`python -m benchmarks.ways`; no sockets, simulated fills, under a minute.
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
DURATION = 10_000.0  # ms that the requests take
CLIENT_TIMEOUT = 3_000.0  # ms
SIZE_KB = 400.0
SEND_TIME = 40.0  # ms of one answer of that size
HIT_TIME = 5.0  # ms
WEIGHT = 4.0  # of each endpoint
DIRECTORS = 3
CACHE, PARENT, ORIGIN = 0, 1, 2  # kinds
PARENT_SLOW_START = SlowStartPolicy(0.06, 20_000.0, 1_500.0, 2.0)
RESTARTED_PARENT = 10  # hash key of the parent that restarts just before the start
RESTARTED_AT = 0.5


class Sink:
    """Keeps the attempts that are sent; all other actions are dropped."""

    def __init__(self) -> None:
        self.attempts: list[Attempt] = []

    def send_attempt(self, attempt: Attempt, options: SendOptions) -> None:
        self.attempts.append(attempt)

    def __getattr__(self, name: str) -> Callable[..., None]:
        return lambda *_: None


@dataclass
class Figures:
    """What is counted while the requests are played."""

    fills_by_parents: int = 0
    recent_on_restarted: deque[float] = field(default_factory=deque)  # times of fills there
    peak_on_restarted: float = 0.0  # over this director's share of what it can do

    def record_fill(self, now: float, attempt: Attempt) -> None:
        """Counts a miss by its fill source."""
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


def settings() -> ServiceSettings:
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
    """A router before these caches, and parents and an origin of its own."""
    entries = [
        EndpointEntry(cache, EndpointState.READY, WEIGHT, CACHE, 1, 0, 0.0) for cache in caches
    ]
    for number in range(PARENTS):
        parent = TrackedEndpoint(RESTARTED_PARENT + number)
        started_at = RESTARTED_AT if number == 0 else 0.0
        entries.append(EndpointEntry(parent, EndpointState.READY, WEIGHT, PARENT, 0, 0, started_at))
    origin = TrackedEndpoint(1)
    entries.append(EndpointEntry(origin, EndpointState.READY, WEIGHT, ORIGIN, 0, 0, 0.0))
    router = Router(0.0, 7, settings())
    router.handle(0.0, [EndpointsUpdated(entries, True)], Sink())
    return router


def play_requests(routers: list[Router], pools: list[CachePool | None], random: Random) -> Figures:
    """Plays the requests of all cells, one after the other; each attempt is answered at once.

    An attempt is a hit where the cache was asked for the object before, else a fill.
    """
    figures = Figures()
    sink = Sink()
    cached: set[tuple[int, int]] = set()
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
            is_hit = copy in cached
            cached.add(copy)
            if not is_hit:
                figures.record_fill(now, attempt)
            router.handle(now + 5.0, [answer(attempt, is_hit)], sink)
        sink.attempts.clear()
    return figures


def answer(attempt: Attempt, is_hit: bool) -> AttemptFinished:
    elapsed = HIT_TIME if is_hit else SEND_TIME
    status = CacheStatus.HIT if is_hit else CacheStatus.FILLED
    return AttemptFinished(attempt, Outcome.SERVED, elapsed, True, status, 30.0, None)


def set_up(split: bool) -> tuple[list[Router], list[CachePool | None]]:
    """Router and pool of each cell; `split`: with routers of their own, else with pools."""
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
    """Figures of all cells together; memory is measured in a second play, which it slows."""
    routers, pools = set_up(split)
    begun = time.process_time()
    figures = play_requests(routers, pools, Random(5))
    used = time.process_time() - begun
    tracemalloc.start()
    play_requests(*set_up(split), Random(5))
    memory = tracemalloc.get_traced_memory()[1]
    tracemalloc.stop()
    fills_per_parent = 1000.0 * figures.fills_by_parents / DURATION / PARENTS
    return {
        "cpu_us_a_request": round(1e6 * used / REQUESTS),
        "readings_of_a_parent_a_second_and_instance": round(
            fills_per_parent / (CELLS if split else 1), 2
        ),
        "peak_on_the_cold_parent_over_this_directors_part": round(figures.peak_on_restarted, 2),
        "memory_kb": round(memory / 1024),
    }


if __name__ == "__main__":
    print(json.dumps({"instances": measure(True), "pools": measure(False)}))

"""Two ways to confine requests, set side by side in the module alone: one director instance a cell,
or one with a pool for each request. `python -m benchmarks.ways`; no sockets, simulated fills, under
a minute.
"""

import json
import random
import time
import tracemalloc
from collections import deque

from mulleinrelay.policy.events import (
    AttemptFinished,
    EndpointEntry,
    EndpointsUpdated,
    RequestReceived,
)
from mulleinrelay.policy.latency import TrackedEndpoint
from mulleinrelay.policy.model import (
    IDEMPOTENT,
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

CELLS, CACHES, PARENTS, REQUESTS, OBJECTS = 10, 40, 4, 4_000, 3_000
SPAN = 10_000.0  # ms that the requests take
CACHE, PARENT, ORIGIN = 0, 1, 2


class Out:
    """Answers each attempt in the next round: a hit where the cache has the object, else a fill."""

    def __init__(self) -> None:
        self.attempts = []

    def send_attempt(self, attempt, *_):
        self.attempts.append(attempt)

    def __getattr__(self, name):
        return lambda *_: None


def terms() -> ServiceSettings:
    case = RequestClass(IDEMPOTENT, 500.0, 2.0, 3_000.0, 5_000.0, "all", 0.0, False)
    return ServiceSettings(
        [case],
        1,
        3,
        3,
        PARENT,
        ORIGIN,
        True,
        10.0,
        6,
        True,
        True,
        False,
        True,
        1_000.0,
        True,
        True,
        True,
        False,
        ["crowding"],
        False,
        SlowStartPolicy(1.0, 1.0, 1_500.0, 2.5),
        SlowStartPolicy(0.06, 20_000.0, 1_500.0, 2.0),
        1_000.0,
    )


def director(
    caches: list[TrackedEndpoint], outside: list[tuple[TrackedEndpoint, int, float]]
) -> Router:
    made = Router(0.0, 7, terms())
    rows = [EndpointEntry(cache, EndpointState.READY, 4.0, CACHE, 1, 0, 0.0) for cache in caches]
    rows += [
        EndpointEntry(member, EndpointState.READY, 4.0, kind, 0, 0, started)
        for member, kind, started in outside
    ]
    made.handle(0.0, [EndpointsUpdated(rows, True)], Out())
    return made


def play(split: bool, traced: bool = False) -> dict:
    """Figures of all cells together. A parent restarts cold just before the start."""
    chance, out = random.Random(5), Out()
    if traced:
        tracemalloc.start()
    pools, directors = [], []
    for cell in range(CELLS):
        own = [TrackedEndpoint(100 + cell * CACHES + place) for place in range(CACHES // CELLS)]
        pools.append(own)
        if split:
            parents = [
                (TrackedEndpoint(10 + place), PARENT, 0.5 if place == 0 else 0.0)
                for place in range(PARENTS)
            ]
            directors.append(director(own, [*parents, (TrackedEndpoint(1), ORIGIN, 0.0)]))
    if not split:
        parents = [
            (TrackedEndpoint(10 + place), PARENT, 0.5 if place == 0 else 0.0)
            for place in range(PARENTS)
        ]
        directors = [
            director(
                [cache for own in pools for cache in own],
                [*parents, (TrackedEndpoint(1), ORIGIN, 0.0)],
            )
        ]
        directors *= CELLS
    held = set()
    confined = [CachePool(dict.fromkeys(own), {}, {}, RetryBudget(8.0)) for own in pools]
    cold = {
        id(one): next(member for member in one.endpoints.known if member.hash_key == 10)
        for one in directors
    }
    readings, to_cold, peak, begun = 0, deque(), 0.0, time.process_time()
    for number in range(REQUESTS):
        now, cell = SPAN * number / REQUESTS, number % CELLS
        one = directors[cell]
        request = Request(
            number,
            one.settings.request_classes[0],
            chance.randrange(OBJECTS),
            0,
            0,
            400.0,
            now,
            now + 3_000.0,
            pool=None if split else confined[cell],
        )
        one.handle(now, [RequestReceived(request)], out)
        for attempt in out.attempts:
            hit = (attempt.endpoint.hash_key, request.object_id) in held
            held.add((attempt.endpoint.hash_key, request.object_id))
            readings += (
                not hit and attempt.fill_source is not None and attempt.fill_source.kind == PARENT
            )
            if not hit and attempt.fill_source is cold[id(one)]:
                to_cold.append(now)
                while to_cold[0] < now - 1_500.0:
                    to_cold.popleft()
                warmth = min(
                    1.0, 0.06 + 0.94 * now / 20_000.0
                )  # a third of it is this director's part
                peak = max(peak, 40.0 * len(to_cold) / (4.0 * warmth * 1_500.0 / 3.0))
            note = CacheStatus.HIT if hit else CacheStatus.FILLED
            elapsed = 5.0 if hit else 40.0
            finished = AttemptFinished(attempt, Outcome.SERVED, elapsed, True, note, 30.0, None)
            one.handle(now + 5.0, [finished], out)
        out.attempts.clear()
    if traced:
        memory = tracemalloc.get_traced_memory()[1]
        tracemalloc.stop()
        return {"memory_kb": round(memory / 1024)}
    used = time.process_time() - begun
    return {
        "cpu_us_a_request": round(1e6 * used / REQUESTS),
        "readings_of_a_parent_a_second_and_instance": round(
            1000.0 * readings / SPAN / PARENTS / (CELLS if split else 1), 2
        ),
        "peak_on_the_cold_parent_over_this_directors_part": round(peak, 2),
    } | play(split, True)


if __name__ == "__main__":
    print(json.dumps({"instances": play(True), "pools": play(False)}))

"""Which cache serves a request: rendezvous hash, bounded load, more caches for hot objects.

Pure; times in ms.
"""

import math
from collections.abc import Sequence
from dataclasses import dataclass
from itertools import chain, islice
from random import Random

from .endpoint_capacity import SlowStartAdmission
from .endpoint_filter import EndpointFilter
from .endpoint_table import EndpointTable
from .latency import TrackedEndpoint
from .model import Outcome, Request, ServiceSettings
from .popularity import Popularity
from .rendezvous_hash import rendezvous_order
from .work_estimates import WorkEstimator

MIN_EFFECTIVE_WEIGHT = 0.1  # below it the estimate of a slowdown would grow without bound
MIN_SIGHTINGS_TO_RETAIN = 2  # of an object that is asked for again, and so kept for longer


@dataclass(slots=True, eq=False)
class CacheSelector:
    """Chooses a request's cache.

    Owns the popularity counts, which only `record_request` changes.
    """

    settings: ServiceSettings
    endpoints: EndpointTable
    slow_start: SlowStartAdmission
    endpoint_filter: EndpointFilter
    work: WorkEstimator
    popularity: Popularity
    random: Random

    def record_request(self, request: Request, now: float) -> bool:
        """Counts the request's object; whether a new counting window begins with it."""
        return self.popularity.record(now, (request.object_id, request.part))

    def choose(self, request: Request, now: float) -> TrackedEndpoint | None:
        """The cache of the request.

        A request with a pool goes to one of its caches, or where none of these may be sent to, to
        one of its failover caches.

        Returns:
            None where no cache can serve it in time.
        """
        caches = self.endpoints.caches
        if (pool := request.pool) is None:
            return self._choose_from(request, caches, now)
        chosen = self._choose_from(request, [each for each in caches if each in pool.caches], now)
        return chosen or self._choose_from(
            request, [each for each in caches if each in pool.failover_caches], now
        )

    def slowdown(self, endpoint: TrackedEndpoint, now: float) -> float:
        """By what factor a transfer from the endpoint is slowed, 1 or more.

        Recent hits show it (one on time is added, as few are known). This director's own attempts
        in flight there count as many times as there are directors in the zone.
        """
        lateness, hits = endpoint.hit_lateness.totals(now)
        weight = max(
            endpoint.weight * self.slow_start.available_fraction(endpoint, now),
            MIN_EFFECTIVE_WEIGHT,
        )
        directors = self.settings.local_director_count
        measured = 1.0 + 0.01 * lateness / (hits + 1.0)
        own = (1 + len(endpoint.attempts_in_flight) * directors) / weight
        return max(1.0, measured + (own - measured) / directors)

    def retention_rank(self, request: Request, now: float) -> int:
        """How long a cache should keep the object: 0 (not at all), 1 or 2.

        Ranked by evidence that the object is wanted again, so that what is asked for once does not
        displace the rest.
        """
        sightings = self.popularity.count((request.object_id, request.part))
        if sightings >= MIN_SIGHTINGS_TO_RETAIN:
            return 2
        return 0 if self.work.is_oversized(request, now) else 1

    def _choose_from(
        self, request: Request, caches: Sequence[TrackedEndpoint], now: float
    ) -> TrackedEndpoint | None:
        max_slowdown = (
            self.work.max_slowdown(request, now) if self.settings.advertises_weights else math.inf
        )
        tried = {
            attempt.endpoint for attempt in request.attempts if attempt.outcome != Outcome.MISS
        }
        ranked = rendezvous_order(
            [cache for cache in caches if cache not in tried],
            request.object_id,
            request.part,
            self.slow_start,
            now,
        )
        eligible = self.endpoint_filter.eligible(
            ranked, self.work.slow_start_work(request, now), now
        )
        replica_count = self.popularity.cache_count((request.object_id, request.part))
        replicas = list(islice(eligible, replica_count))
        if len(replicas) > 1:
            # Among equals each director takes its own, or all would take the first.
            self.random.shuffle(replicas)
            replicas.sort(key=lambda cache: self.slowdown(cache, now))
        for cache in chain(replicas, eligible):
            if self.slowdown(cache, now) <= max_slowdown:
                return cache
        return None

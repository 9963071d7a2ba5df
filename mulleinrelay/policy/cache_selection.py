"""Selection of the cache that serves a request: rendezvous hash with bounded load.

The first cache in rendezvous order that is fast enough for the request is chosen. Hot objects are
spread over several caches. No I/O and no clock: the time is an argument, in ms.
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
from .model import EndpointState, Outcome, Request, ServiceSettings
from .popularity import Popularity
from .rendezvous_hash import rendezvous_order
from .work_estimates import WorkEstimator

# Lower bound of a cache's available capacity, which keeps the slowdown estimate finite.
MIN_EFFECTIVE_WEIGHT = 0.1
# Number of recent requests for an object from which on a cache keeps the object for longer.
MIN_SIGHTINGS_TO_RETAIN = 2


@dataclass(slots=True, eq=False)
class CacheSelector:
    """Selector of the cache that serves a request.

    Owns the popularity counts, which only `record_request` changes. A choice may spend trial tokens
    and draw permits of slow start.
    """

    settings: ServiceSettings
    endpoints: EndpointTable
    slow_start: SlowStartAdmission
    endpoint_filter: EndpointFilter
    work: WorkEstimator
    popularity: Popularity
    random: Random

    def record_request(self, request: Request, now: float) -> bool:
        """Count the request in the popularity of the requested object.

        Returns:
            Whether a new counting window begins with this request.
        """
        return self.popularity.record(now, (request.object_id, request.part))

    def choose(self, request: Request, now: float) -> TrackedEndpoint | None:
        """Choose the cache that serves the request.

        A request with a pool goes to one of the pool's caches. If none of them can be chosen, it
        goes to one of the pool's failover caches.

        Returns:
            The cache; None if no cache can be chosen. A cache cannot be chosen if it is unavailable
            or too slow to serve the request in time, or if an earlier attempt was sent to it and
            did not end with a miss. Without advertised endpoint weights, no cache is too slow.
        """
        caches = self.endpoints.caches
        if (pool := request.pool) is None:
            return self._choose_from(request, caches, now)
        chosen = self._choose_from(request, [each for each in caches if each in pool.caches], now)
        return chosen or self._choose_from(
            request, [each for each in caches if each in pool.failover_caches], now
        )

    def slowdown(self, endpoint: TrackedEndpoint, now: float) -> float:
        """Return the factor by which a transfer from the endpoint is slowed, 1 or more.

        Two estimates are averaged. The first is 1 plus the mean lateness of recent hits; one hit
        without lateness is added, because few hits are known. The second is the number of attempts
        at the endpoint, with the one to be sent, divided by the endpoint's available capacity. It
        assumes that every director in the zone has as many attempts in flight there as this one.
        The weight of the second in the average is one divided by the number of directors.
        """
        lateness, hits = endpoint.hit_lateness.totals(now)
        weight = max(
            endpoint.weight * self.slow_start.available_fraction(endpoint, now),
            MIN_EFFECTIVE_WEIGHT,
        )
        directors = self.settings.local_director_count
        measured = 1.0 + 0.01 * lateness / (hits + 1.0)
        own_estimate = (1 + len(endpoint.attempts_in_flight) * directors) / weight
        return max(1.0, measured + (own_estimate - measured) / directors)

    def retention_rank(self, request: Request, now: float) -> int:
        """Return how long a cache should keep the object: 0 (not at all), 1, or 2 (longer).

        Objects with repeated requests have rank 2, so that objects that are requested only once do
        not displace them. Any other object has rank 0 if it is oversized for its class, else 1.
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
        # A new process under the name of one that was tried is not tried for the same request.
        replaced_keys = {each.hash_key for each in tried if each.state == EndpointState.GONE}
        ranked = rendezvous_order(
            [
                cache
                for cache in caches
                if cache not in tried and cache.hash_key not in replaced_keys
            ],
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
            # Shuffle first, so that directors choose differently among replicas of equal slowdown.
            self.random.shuffle(replicas)
            replicas.sort(key=lambda cache: self.slowdown(cache, now))
        for cache in chain(replicas, eligible):
            if self.slowdown(cache, now) <= max_slowdown:
                return cache
        return None

"""Selection of a cache miss's fill source by load-aware network distance.

The mechanism follows "Distributed Content Delivery using Load-Aware Network Coordinates". The
paper's coordinates are replaced as follows:

* The distance of an endpoint is the smoothed delay of the fills through this endpoint
  (`TrackedEndpoint.recent_delay`), which grows with the endpoint's load. An endpoint without
  measurements has the average distance.
* A sibling cache (another cache of the zone) is preferred if it is believed to hold the object and
  is nearby.
* A parent that is far slower than its usual level, while the other parents are not, is skipped.
* Skipped endpoints receive trial fills, which measure their delay again.

In addition to the paper, a fill is not started if it would miss the request's latency objective
because its source or the zone's link is congested. If only the origin is congested, a parent may
answer only from its own cache.

No I/O and no clock: the time is an argument, in ms.
"""

from collections.abc import Iterator, Sequence
from dataclasses import dataclass, field
from random import Random
from typing import NamedTuple

from .deadlines import FINAL_RESPONSE_MARGIN
from .endpoint_capacity import SlowStartAdmission
from .endpoint_filter import EndpointFilter
from .endpoint_table import EndpointTable
from .freshness import PurgeHistory
from .latency import DecayingHistogram, TrackedEndpoint
from .model import Attempt, Outcome, Request, ServiceSettings
from .object_locations import ObjectLocations
from .rendezvous_hash import rendezvous_order
from .work_estimates import WorkEstimator

# Difference in delay (ms) up to which an endpoint counts as nearby, or as not slower than another.
# It exceeds the noise of the histogram's wide bins.
NEARBY_DELAY = 80.0
# Fraction of fills that go to the origin as trial fills, which measure the origin's delay. Other
# fills use the origin only if no parent is suitable, because each byte from the origin has a price.
ORIGIN_TRIAL_FRACTION = 0.0125
# Weight with which a parent's usual delay counts as one more recent measurement, since there may be
# few recent measurements.
USUAL_WEIGHT = 0.4
# Multiple of the median delay that must be left for a fill. It exceeds 1 because half of the fills
# take longer than the median.
MEDIAN_MULTIPLE = 1.2
# Transfer rate of a fill as a multiple of that of an answer. Congestion up to this factor leaves a
# fill at least as fast as the answer.
FILL_RATE_FACTOR = 2.0
LINK_REPORT_LIFETIME = 1500.0  # ms; an older report of the link's congestion is not used
ORIGIN_DELAY_HALF_LIFE = 4000.0  # ms


class FillChoice(NamedTuple):
    """Fill source of an attempt.

    Attributes:
        source: The endpoint that a miss is filled from; the cache itself if a miss is not filled;
            None if there is neither a source nor a cache, or if the request is uncacheable and
            there is no origin.
        only_if_cached: Whether the source may answer only from its own cache.
    """

    source: TrackedEndpoint | None
    only_if_cached: bool


class LinkCongestion:
    """Congestion of the link from outside into the zone, as a cache of the zone last reported it.

    Owns the report; only `record` changes it.

    Attributes:
        congestion: Value `crowding` of the load report: number of transfers over the link of the
            cache's location, divided by the number that fit at full speed. It may be below 1, and
            is 0 before the first report.
        reported_at: Time of the report in ms.
    """

    def __init__(self) -> None:
        self.congestion = 0.0
        self.reported_at = 0.0

    def record(self, congestion: float, now: float) -> None:
        """Store the congestion from a load report that is received at the time `now`."""
        self.congestion = congestion
        self.reported_at = now

    def slowdown(self, now: float) -> float:
        """Return the factor by which a fill from outside the zone is slowed, 1 or more.

        It is 1 without a recent report. The router does not start a fill that the slowdown would
        make late, because a link that is congested by fills would otherwise stay congested. If the
        reports are wrong, requests are therefore rejected unnecessarily.
        """
        if now - self.reported_at >= LINK_REPORT_LIFETIME:
            return 1.0
        return max(1.0, self.congestion / FILL_RATE_FACTOR)


@dataclass(slots=True, eq=False)
class FillSourceSelector:
    """Selector of the source that a miss is filled from.

    Owns `origin_delay`, the delays in ms of fills by the origin, directly or through a parent;
    `AttemptRecorder` adds to it. The other objects are only read, except that a choice may spend
    trial tokens and draw permits of slow start.
    """

    settings: ServiceSettings
    endpoints: EndpointTable
    slow_start: SlowStartAdmission
    endpoint_filter: EndpointFilter
    work: WorkEstimator
    locations: ObjectLocations
    purges: PurgeHistory
    link: LinkCongestion
    random: Random
    origin_delay: DecayingHistogram = field(
        default_factory=lambda: DecayingHistogram(ORIGIN_DELAY_HALF_LIFE)
    )

    def choose(self, request: Request, cache: TrackedEndpoint | None, now: float) -> FillChoice:
        """Choose the source from which a miss of the request at the cache is filled.

        Args:
            request: The request.
            cache: The request's cache; None if the request bypasses the caches and is sent directly
                to the source.
            now: The current time.

        Returns:
            The source, and whether it may answer only from its own cache. The source is the cache
            itself if no other source is available, or if a fill would be too late and no trial fill
            is due. It is None if there is neither a cache nor a source.
        """
        work = self.work.slow_start_work(request, now)
        tried = {
            attempt.fill_source for attempt in request.attempts if self._is_source_suspect(attempt)
        }
        if cache is not None:
            sibling = self._choose_sibling(request, cache, tried, work, now)
            if sibling is not None:
                return FillChoice(sibling, True)
            if self.link.slowdown(now) > self.work.max_slowdown(request, now):
                return FillChoice(cache, False)
        origin = self.endpoints.origin
        if origin is not None and self.random.random() < ORIGIN_TRIAL_FRACTION:
            return FillChoice(origin, False)
        parents = self._rank_parents(request, tried, now)
        source = self.choose_upstream(self.endpoint_filter.eligible(parents, work, now), now)
        if cache is None or source is None:
            return FillChoice(source or cache, False)
        only_if_cached = self._is_too_late(self.origin_delay, request, now)
        is_late = self._is_too_late(
            source.recent_delay, request, now
        ) and not self.endpoint_filter.try_trial(source, now)
        if is_late or (only_if_cached and source is origin):
            return FillChoice(cache, False)
        return FillChoice(source, only_if_cached)

    def choose_upstream(
        self, eligible: Iterator[TrackedEndpoint], now: float
    ) -> TrackedEndpoint | None:
        """Choose a parent or the origin: usually the first parent in rendezvous order.

        A parent is skipped if the increase of its delay over its usual delay exceeds the average
        increase of all parents by more than `NEARBY_DELAY`, unless a trial fill is due. If the
        delays of all parents increase equally, no parent is skipped, because the next parent in the
        order lacks the object and would fill it from the origin. If every parent is slower than the
        origin by more than `NEARBY_DELAY`, the origin is chosen, or a parent for a trial fill.

        Args:
            eligible: The parents that may be sent to, as a lazy iterator in rendezvous order.
            now: The current time.

        Returns:
            The parent or the origin. If all eligible parents would be skipped, the first of them is
            returned. If no parent is eligible, the origin is returned, or None if it is not ready.
        """
        endpoints = self.endpoints
        origin = endpoints.origin
        origin_delay = None
        if origin is not None:
            origin_delay = origin.recent_delay.mean(now) or origin.usual_delay.mean(now)
        if origin_delay is not None and all(
            self.delay(parent, now) > origin_delay + NEARBY_DELAY for parent in endpoints.parents
        ):
            for parent in eligible:
                if self.endpoint_filter.try_trial(parent, now):
                    return parent
            return origin
        total_increase = sum(self._delay_increase(parent, now) for parent in endpoints.parents)
        average_increase = max(0.0, total_increase / max(1, len(endpoints.parents)))
        first = None
        for parent in eligible:
            first = first or parent
            if self._delay_increase(
                parent, now
            ) <= average_increase + NEARBY_DELAY or self.endpoint_filter.try_trial(parent, now):
                return parent
        return first or origin

    def delay(self, endpoint: TrackedEndpoint, now: float) -> float:
        """Return the smoothed delay in ms of fills through an endpoint.

        An endpoint without recent measurements gets the average of the other endpoints; 0 if no
        endpoint has recent measurements.
        """
        mean = endpoint.recent_delay.mean(now)
        if mean is not None:
            return mean
        means = [
            mean
            for other in self.endpoints.known
            if (mean := other.recent_delay.mean(now)) is not None
        ]
        return sum(means) / len(means) if means else 0.0

    def is_believed_holder(self, cache: TrackedEndpoint, request: Request, now: float) -> bool:
        """Return whether the cache is believed to hold a copy made after the last purge."""
        return self.locations.is_believed_holder(
            cache, request, now, self.purges.last_purge(request)
        )

    def _choose_sibling(
        self,
        request: Request,
        cache: TrackedEndpoint,
        tried: set[TrackedEndpoint | None],
        work: float,
        now: float,
    ) -> TrackedEndpoint | None:
        """Return a nearby sibling cache that is believed to hold the object.

        The sibling may be ejected: the filter permits an ejected cache if it gets no other cache,
        and it gets each sibling alone. If there is no suitable sibling, return the cache that
        served the object before a migration (see `_choose_migration_source`). The result is None if
        that cache cannot be used either, if sibling fills are not allowed, or if a hit is expected
        at the request's own cache.
        """
        max_delay = self.delay(cache, now) + NEARBY_DELAY
        if not self.settings.allows_sibling_fills or self.is_believed_holder(cache, request, now):
            return None
        for sibling in self._siblings(request):
            if (
                self.is_believed_holder(sibling, request, now)
                and sibling not in tried
                and self.delay(sibling, now) <= max_delay
                and any(self.endpoint_filter.eligible([sibling], work, now))
            ):
                return sibling
        return self._choose_migration_source(request, tried, work, now)

    def _siblings(self, request: Request) -> Sequence[TrackedEndpoint]:
        pool = request.pool
        if pool is None:
            return self.endpoints.caches
        return [
            cache
            for cache in self.endpoints.caches
            if cache in pool.caches or cache in pool.migration_sources
        ]

    def _choose_migration_source(
        self,
        request: Request,
        tried: set[TrackedEndpoint | None],
        work: float,
        now: float,
    ) -> TrackedEndpoint | None:
        """Return the cache that served the object before its tenant's migration.

        It is the first in rendezvous order of the available caches that served the tenant. It is
        assumed to hold the object even without a recent answer, which reduces the load of the
        origin. For objects without recent requests this costs an additional attempt. The result is
        None if no such cache is available, or if the first was tried before.
        """
        pool = request.pool
        if pool is None or not pool.migration_sources:
            return None
        sources = [cache for cache in self.endpoints.caches if cache in pool.migration_sources]
        ranked = rendezvous_order(sources, request.object_id, request.part, self.slow_start, now)
        first = next(self.endpoint_filter.eligible(ranked, work, now), None)
        return first if first not in tried else None

    def _rank_parents(
        self, request: Request, tried: set[TrackedEndpoint | None], now: float
    ) -> list[TrackedEndpoint]:
        """Return the parents not in `tried`, in the order in which they should be used.

        This is the rendezvous order, or the order of their delay if the client is impatient: it
        stops waiting before the latency objective ends and has not sent the request before. A near
        parent may still serve such a client in time, at the cost of additional copies.
        """
        ranked = rendezvous_order(
            [parent for parent in self.endpoints.parents if parent not in tried],
            request.object_id,
            request.part,
            self.slow_start,
            now,
        )
        if (
            not request.is_retry
            and request.deadline - now
            < self.work.objective_left(request, now) - FINAL_RESPONSE_MARGIN
        ):
            ranked.sort(key=lambda parent: self.delay(parent, now))
        return ranked

    def _delay_increase(self, parent: TrackedEndpoint, now: float) -> float:
        """Return the increase of the parent's recent delay over its usual delay, in ms.

        The usual delay counts as one more recent measurement with the weight `USUAL_WEIGHT`, so
        that a few measurements have little effect. The result is 0 if the usual delay is unknown.
        """
        total, count = parent.recent_delay.totals(now)
        usual = parent.usual_delay.mean(now)
        return 0.0 if usual is None else (total - count * usual) / (count + USUAL_WEIGHT)

    def _is_source_suspect(self, attempt: Attempt) -> bool:
        """Return whether an attempt may have failed, or not ended, because of its fill source.

        Such a parent or sibling cache is not chosen again as a fill source for the request.
        """
        source = attempt.fill_source
        if attempt.outcome in (None, Outcome.CANCELLED, Outcome.TIMEOUT):
            return source is not None and source.last_heard_at < attempt.sent_at
        return attempt.outcome in (Outcome.ERROR, Outcome.REJECTED, Outcome.MISS)

    def _is_too_late(self, delays: DecayingHistogram, request: Request, now: float) -> bool:
        """Return whether a fill with these delays would miss the latency objective.

        The caller does not start such a fill and serves only cached objects: fills that are too
        late for any client would keep an overloaded source overloaded. The rule may be too strict
        for short objectives far from all sources.
        """
        expected = MEDIAN_MULTIPLE * delays.median(now) + self.work.transfer_time(request, now)
        return expected > self.work.objective_left(request, now)

"""Where a cache fills a miss from: load-aware network distance; pure, times in ms.

The mechanism is that of "Distributed Content Delivery using Load-Aware Network Coordinates". What
stands here for the paper's coordinates:

* Each endpoint's distance is a smoothed delay that its load raises, as measured by fills through it
  (`TrackedEndpoint.recent_delay`); an endpoint that was not measured counts as the average.
* A sibling cache of the zone that is believed to hold the object and is nearby comes first.
* A parent that is far slower than its usual level, while the other parents are not, is passed over.
* What is passed over is reached by trial fills, which measure it anew.

Beyond the paper, a fill that would miss the request's latency objective because its source, the
origin behind it or the zone's link is crowded is not begun.
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

NEARBY_DELAY = 80.0  # ms; slower than its yardstick by more is far: above the noise of wide bins
ORIGIN_TRIAL_FRACTION = 0.0125  # of fills: the origin is passed over by rule, its bytes are priced
USUAL_WEIGHT = 0.4  # of one usual measurement beside the few recent ones of a parent
MEDIAN_MULTIPLE = 1.2  # of the median delay that a fill must leave time for: half come later
FILL_RATE_FACTOR = 2.0  # a fill may run so much faster than an answer; only above it a link slows
LINK_REPORT_LIFETIME = 1500.0  # ms; an older report of the link's congestion is not used
ORIGIN_DELAY_HALF_LIFE = 4000.0  # ms


class FillChoice(NamedTuple):
    """A fill source: the cache itself means that a miss is not filled."""

    source: TrackedEndpoint | None
    only_if_cached: bool


class LinkCongestion:
    """The congestion of the zone's link as last reported.

    Owns the report; changed only by `record`.
    """

    def __init__(self) -> None:
        self.congestion = 0.0
        self.reported_at = 0.0

    def record(self, congestion: float, now: float) -> None:
        """Takes over a report."""
        self.congestion = congestion
        self.reported_at = now

    def slowdown(self, now: float) -> float:
        """By what factor a fill from outside the zone is slowed; 1 without a fresh report.

        A fill that would be late is not begun: else a link that fills have congested stays so. It
        rejects requests without need if the reports are wrong.
        """
        if now - self.reported_at >= LINK_REPORT_LIFETIME:
            return 1.0
        return max(1.0, self.congestion / FILL_RATE_FACTOR)


@dataclass(slots=True, eq=False)
class FillSourceSelector:
    """Chooses where a miss is filled from.

    Owns `origin_delay`, the delay of fills by way of the origin, which `AttemptRecorder` adds to.
    All else is read; trial tokens are spent through the endpoint filter.
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
        """Where a miss of the request at the cache is filled from.

        Args:
            request: The request.
            cache: Its cache; None where it passes by the caches and is sent to the source itself.
            now: The time.

        Returns:
            The source, and whether it is asked only for what it has cached. The source is the
            cache itself where a fill would come too late, and None where there is no endpoint.
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
        """The first parent by its hash, the next where it is slower than usual, or the origin.

        The origin is taken where all parents are slower than it. A rise that all parents have in
        common passes none over: the next ones lack the objects, and the origin would be asked.

        Args:
            eligible: The parents that may be sent to, lazily, in the object's order.
            now: The time.
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
        rises = sum(self._rise(parent, now) for parent in endpoints.parents)
        common_rise = max(0.0, rises / max(1, len(endpoints.parents)))
        first = None
        for parent in eligible:
            first = first or parent
            if self._rise(
                parent, now
            ) <= common_rise + NEARBY_DELAY or self.endpoint_filter.try_trial(parent, now):
                return parent
        return first or origin

    def delay(self, endpoint: TrackedEndpoint, now: float) -> float:
        """The smoothed delay; an endpoint that was not measured gets the average of the others."""
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
        """Whether the cache is believed to hold the object as it is since its last purge."""
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
        """Another cache of the zone that holds the object, or held it before a migration."""
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
        """The cache that served an object before its tenant migrated, if it may be sent to.

        It is believed to hold the object though no recent answer shows it, which spares the origin.
        It costs an attempt for objects that nobody has asked for lately.
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
        """The parents in the object's order, or by delay where the client waits less than that.

        A client that waits less than its objective may still be served by a near parent, at the
        cost of further copies.
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

    def _rise(self, parent: TrackedEndpoint, now: float) -> float:
        """How far its delay has risen above its usual level, part of a usual measurement added."""
        total, count = parent.recent_delay.totals(now)
        usual = parent.usual_delay.mean(now)
        return 0.0 if usual is None else (total - count * usual) / (count + USUAL_WEIGHT)

    def _is_source_suspect(self, attempt: Attempt) -> bool:
        """Whether an attempt may have failed by its fill source, which is then not used again."""
        source = attempt.fill_source
        if attempt.outcome in (None, Outcome.CANCELLED, Outcome.TIMEOUT):
            return source is not None and source.last_heard_at < attempt.sent_at
        return attempt.outcome in (Outcome.ERROR, Outcome.REJECTED, Outcome.MISS)

    def _is_too_late(self, delays: DecayingHistogram, request: Request, now: float) -> bool:
        """Whether a fill with such delays would miss the objective; what is cached must do then.

        Else fills that come too late for anyone keep a crowded source crowded. It may be too strict
        for short objectives far from all sources.
        """
        expected = MEDIAN_MULTIPLE * delays.median(now) + self.work.transfer_time(request, now)
        return expected > self.work.objective_left(request, now)

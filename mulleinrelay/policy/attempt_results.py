"""Recording of a finished attempt: statistics of its endpoint and fill source, object locations.

No I/O and no clock: the time is an argument, in ms.
"""

from dataclasses import dataclass

from .cache_selection import CacheSelector
from .endpoint_health import EjectionReason, EndpointHealthMonitor
from .endpoint_table import EndpointTable
from .events import AttemptFinished
from .fill_source import FillSourceSelector
from .latency import TrackedEndpoint
from .model import Attempt, CacheStatus, Outcome
from .object_locations import ObjectLocations
from .work_estimates import WorkEstimator

# Lower bound in ms of the transfer time by which lateness is divided to get a percentage.
MIN_WORK_FOR_LATENESS = 50.0
# Percent; limits the effect of a single answer that was delayed because a process was suspended.
MAX_LATENESS = 1000.0
REJECTED_LATENESS = 200.0  # percent; lateness that a rejected attempt counts as
CONNECT_FAILURE_WEIGHT = 2.0  # number of failures that a failed connect counts as
RESET_WEIGHT = 1.0  # number of failures that a reset connection counts as

RESPONSES = (Outcome.SERVED, Outcome.MISS, Outcome.REJECTED, Outcome.ERROR)
HIT_STATUSES = (CacheStatus.HIT, CacheStatus.UNKNOWN)  # hits, and answers without a known status
FILL_STATUSES = (CacheStatus.FILLED, CacheStatus.FILLED_BY_ORIGIN)
SOURCE_FAILURE_STATUSES = (
    CacheStatus.SOURCE_REJECTED,
    CacheStatus.SOURCE_FAILED,
    CacheStatus.ORIGIN_FAILED,
)


@dataclass(slots=True, eq=False)
class AttemptRecorder:
    """Recorder of attempt results, which updates every object that uses them.

    It owns no state. Only this class adds to the endpoints' histograms and to the origin's delay.
    Only this class changes the object locations, except that the router drops the expired ones.
    """

    endpoints: EndpointTable
    health: EndpointHealthMonitor
    work: WorkEstimator
    cache_selector: CacheSelector
    fill_sources: FillSourceSelector
    locations: ObjectLocations

    def record(self, event: AttemptFinished, now: float) -> None:
        """Record the result of an attempt that has ended."""
        attempt = event.attempt
        endpoint = attempt.endpoint
        was_unreachable = endpoint.is_unreachable
        if event.outcome in RESPONSES:
            self.health.record_response(endpoint, now)
        if event.outcome == Outcome.SERVED:
            self._record_served(event, was_unreachable, now)
            return
        self.locations.remove(endpoint, attempt.request)
        self._record_failure(attempt, event.outcome, now)
        if (
            attempt.fill_source is not None
            and attempt.fill_source is not endpoint
            and event.outcome not in (Outcome.CANCELLED, Outcome.NOT_SENT)
        ):
            self._record_source_failure(event, attempt.fill_source, now)

    def _record_served(self, event: AttemptFinished, was_unreachable: bool, now: float) -> None:
        attempt = event.attempt
        request = attempt.request
        endpoint = attempt.endpoint
        status = event.cache_status
        self.health.record_result(endpoint, 0.0, None, now)
        # The errors of earlier attempts count only now that another endpoint has served the
        # request: an error that every endpoint returns is caused by the request.
        for other in request.attempts:
            if other.outcome == Outcome.ERROR:
                self.health.record_error(other, now)
        work = self.work.transfer_time(request, now)
        if status in HIT_STATUSES:
            self.work.record_response_time(request, event.elapsed, now)
        # If the cache was unreachable, the delay of the answer says nothing about the cache's load.
        if status == CacheStatus.HIT and not was_unreachable:
            lateness = 100.0 * (event.elapsed - work) / max(work, MIN_WORK_FOR_LATENESS)
            endpoint.hit_lateness.add(now, min(lateness, MAX_LATENESS))
        if endpoint in self.endpoints.caches and (
            self.cache_selector.retention_rank(request, now) or status == CacheStatus.HIT
        ):
            self.locations.record(endpoint, request, now)
        source = attempt.fill_source
        if source is not None and source is not endpoint and status in FILL_STATUSES:
            self._record_fill(event, source, work, now)

    def _record_fill(
        self, event: AttemptFinished, source: TrackedEndpoint, work: float, now: float
    ) -> None:
        endpoint = event.attempt.endpoint
        slowdown = max(
            self.cache_selector.slowdown(endpoint, now), self.fill_sources.link.slowdown(now)
        )
        delay = max(event.first_byte_delay, event.elapsed - work * slowdown)
        is_origin = source is self.endpoints.origin
        is_filled_by_origin = event.cache_status == CacheStatus.FILLED_BY_ORIGIN
        self.health.record_response(source, now)
        if is_filled_by_origin or is_origin:
            self.fill_sources.origin_delay.add(now, delay)
        # If a parent filled the object from the origin, the delay is the origin's, not the
        # parent's.
        if not is_filled_by_origin or is_origin:
            source.recent_delay.add(now, delay)
            source.usual_delay.add(now, delay)
        self.health.record_result(source, 0.0, None, now)

    def _record_failure(self, attempt: Attempt, outcome: Outcome, now: float) -> None:
        endpoint = attempt.endpoint
        if outcome == Outcome.REJECTED:  # counts as a late hit, since the endpoint is overloaded
            endpoint.hit_lateness.add(now, REJECTED_LATENESS)
        if outcome in (Outcome.CONNECT_FAILED, Outcome.RESET):
            self.health.record_unreachable(endpoint, now)
        if outcome == Outcome.CONNECT_FAILED:
            self.health.record_result(
                endpoint, CONNECT_FAILURE_WEIGHT, EjectionReason.CONNECT_FAILED, now
            )
        elif outcome == Outcome.RESET and attempt.sent_at > endpoint.last_reset_at:
            # Count one failure for each broken connection and not for each of its attempts, since a
            # single malformed answer ends them all. Attempts that were sent before the last counted
            # reset are therefore ignored. If the endpoint is dead, the next connection fails too.
            endpoint.last_reset_at = now
            self.health.record_result(endpoint, RESET_WEIGHT, EjectionReason.RESET, now)

    def _record_source_failure(
        self, event: AttemptFinished, source: TrackedEndpoint, now: float
    ) -> None:
        attempt = event.attempt
        status = event.cache_status
        if status == CacheStatus.SOURCE_MISS or (
            event.outcome == Outcome.MISS and status == CacheStatus.UNKNOWN
        ):
            self.locations.remove(source, attempt.request)
            return
        if status not in SOURCE_FAILURE_STATUSES:
            return
        if status == CacheStatus.ORIGIN_FAILED or source is self.endpoints.origin:
            self.fill_sources.origin_delay.add(now, attempt.timeout)
        if status != CacheStatus.ORIGIN_FAILED:  # a failed origin must not count as a slow parent
            source.recent_delay.add(now, attempt.timeout)
        if status == CacheStatus.SOURCE_REJECTED:  # the source is alive but overloaded
            self.health.record_response(source, now)
        elif status == CacheStatus.SOURCE_FAILED:
            self.health.record_result(source, 1.0, EjectionReason.SOURCE_FAILED, now)

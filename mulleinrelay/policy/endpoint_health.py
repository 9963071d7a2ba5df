"""Endpoint health: ejection, reinstatement and health checks.

An *ejected* endpoint receives only trial requests until it is reinstated, unless no endpoint can be
chosen instead (see `EndpointFilter.eligible`). The module combines outlier detection by results,
silence of endpoints, the reachability of the zone as a whole, and the schedule of health checks. No
I/O and no clock: the time is an argument, in ms.
"""

from collections.abc import Callable
from enum import StrEnum
from random import Random
from typing import Any, cast

from .endpoint_filter import TRIAL_INTERVAL
from .endpoint_table import EndpointTable
from .health_checks import HealthCheckScheduler, ping_interval
from .latency import TrackedEndpoint
from .model import Attempt, ServiceSettings
from .outlier_detection import OutlierDetector
from .zone_reachability import ZoneReachability

# Number of overdue attempts, without a response in between, after which an endpoint is ejected as
# silent.
MAX_SILENCE = 2.0
# Maximum delay of the first health checks of caches in a zone that is considered unreachable. It is
# short because the zone may be reachable after all.
FIRST_ZONE_CHECK_DELAY = 250.0  # ms


class EjectionReason(StrEnum):
    """Reason why an endpoint is ejected, as written to log lines."""

    SILENT = "silent"
    CONNECT_FAILED = "connect_failed"
    RESET = "reset"
    ERROR = "error"
    SOURCE_FAILED = "source_failed"


# Reasons that an answered health check disproves. An endpoint ejected for one of them counts as
# unreachable.
UNREACHABLE_REASONS = (
    EjectionReason.SILENT,
    EjectionReason.CONNECT_FAILED,
    EjectionReason.RESET,
)


class EndpointHealthMonitor:
    """Health of the endpoints as seen by one director.

    Owns the schedule of health checks (`checks`), the reachability of the zone (`zone`), and the
    health fields of each endpoint: outlier detector, silence, ejection, time of the last response.
    Other classes do not change these fields, except that `EndpointTable` resets those of a new or
    restarted endpoint.
    """

    def __init__(
        self,
        settings: ServiceSettings,
        endpoints: EndpointTable,
        checks: HealthCheckScheduler,
        random: Random,
        log: Callable[[str], None],
    ) -> None:
        """Create the monitor.

        Args:
            settings: The settings of the service.
            endpoints: The endpoints of the director.
            checks: The schedule of health checks.
            random: The director's source of randomness.
            log: Called with a line for each ejection and reinstatement, and when failures make the
                zone unreachable or a response makes it reachable again.
        """
        self._settings = settings
        self._endpoints = endpoints
        self._random = random
        self.checks = checks
        self.log = log
        self.zone = ZoneReachability()

    def update_endpoints(self, has_local_start: bool) -> None:
        """Adjust to a change of the endpoint table.

        Pings are cancelled for an endpoint that is not ready any more. They are also cancelled for
        an endpoint that is not ejected (for instance after a restart), unless it is a cache of an
        unreachable zone.

        Args:
            has_local_start: Whether an endpoint of this zone is new or has restarted. The zone is
                then considered reachable again.
        """
        self.zone.update_caches(self._endpoints.caches, has_local_start)
        self.checks.cancel_pings_except(
            [
                endpoint
                for endpoint in self._pinged_endpoints()
                if endpoint.is_ready
                and (
                    endpoint.is_ejected
                    or (self.zone.is_unreachable and endpoint in self.zone.caches)
                )
            ]
        )

    def _pinged_endpoints(self) -> list[TrackedEndpoint]:
        return cast(list[TrackedEndpoint], self.checks.pinged_endpoints())

    def record_result(
        self, endpoint: TrackedEndpoint, failure: float, reason: EjectionReason | None, now: float
    ) -> None:
        """Record the result of an attempt, and update whether the endpoint is ejected.

        Args:
            endpoint: The attempt's endpoint or its fill source.
            failure: 0 for a success, else the number of failures that the result counts as.
            reason: The reason of an ejection for this failure; None for a success.
            now: The current time in ms.
        """
        endpoint.outlier_detector.record(now, failure)
        self._update_ejection(endpoint, reason, now)

    def record_error(self, attempt: Attempt, now: float) -> None:
        """Record the error of an attempt whose request another endpoint has then served.

        If a hit was expected or there is no other fill source, the failure counts for the cache
        alone. Otherwise it is divided between the cache and the fill source in proportion to their
        failure fractions.
        """
        cache = attempt.endpoint
        source = attempt.fill_source
        if attempt.expects_hit or source is None or source is cache:
            self.record_result(cache, 1.0, EjectionReason.ERROR, now)
            return
        cache_fraction = cache.outlier_detector.failure_fraction()
        source_fraction = source.outlier_detector.failure_fraction()
        total = cache_fraction + source_fraction
        self.record_result(cache, cache_fraction / total, EjectionReason.ERROR, now)
        self.record_result(source, source_fraction / total, EjectionReason.ERROR, now)

    def record_silence(
        self, endpoint: TrackedEndpoint, overdue_attempts: float, now: float
    ) -> None:
        """Record an overdue attempt at a silent endpoint, and eject the endpoint if due.

        The endpoint has been silent since the attempt was sent.

        Args:
            endpoint: The silent endpoint: the attempt's endpoint or its fill source.
            overdue_attempts: Number of overdue attempts that is added to the endpoint's silence; a
                fraction, from 0 to 1.
            now: The current time in ms.
        """
        endpoint.silence += overdue_attempts
        self._update_ejection(endpoint, EjectionReason.SILENT, now)

    def record_unreachable(self, endpoint: TrackedEndpoint, now: float) -> None:
        """Record that the endpoint was not reached; do nothing if health checks are not allowed.

        If several caches in a row were not reached, the zone is considered unreachable, and a few
        of its caches get health checks soon.
        """
        if not self._settings.allows_health_checks or not self.zone.record_failure(now, endpoint):
            return
        directors = self._settings.local_director_count
        for cache in self.zone.sample_for_pings(ping_interval(directors), self._random):
            self.checks.schedule_pings(cache, now, directors, FIRST_ZONE_CHECK_DELAY)
        self.log(
            f"zone unreachable: {len(self.zone.recent_failures)} of {len(self._endpoints.caches)} "
            "caches failed in a row"
        )

    def record_response(self, endpoint: TrackedEndpoint, now: float) -> None:
        """Record a response of the endpoint.

        A response ends the endpoint's silence, and reinstates an endpoint that was ejected only for
        its silence. A cache's response also ends the outage of an unreachable zone. Then the caches
        that were ejected as unreachable during the outage are reinstated, unless the outage was a
        false alarm (see `ZoneReachability.record_response`). The pings of caches that are not
        ejected as unreachable are cancelled.
        """
        endpoint.last_heard_at = now
        unreachable_since = self.zone.record_response(now, endpoint)
        if unreachable_since is not None:
            self.log(f"zone reachable again by {endpoint.hash_key:x}")
            for cache in self._endpoints.caches:
                if cache.is_unreachable and cache.ejected_at >= unreachable_since:
                    self.reinstate(cache, now)
                elif not cache.is_unreachable:
                    self.checks.cancel_pings(cache)
        if endpoint.silence:
            endpoint.silence = 0.0
            self._update_ejection(endpoint, None, now)

    def record_health_check(self, endpoint: TrackedEndpoint, now: float) -> None:
        """Record that a health check was answered.

        An endpoint that was ejected as unreachable is reinstated. So is a cache of an unreachable
        zone, and the zone's outage ends. In other cases the answer changes nothing.
        """
        if endpoint.is_unreachable or (self.zone.is_unreachable and endpoint in self.zone.caches):
            self.reinstate(endpoint, now)

    def reinstate(self, endpoint: TrackedEndpoint, now: float) -> None:
        """Reinstate an endpoint: clear its failures and silence, and record a response."""
        endpoint.outlier_detector.clear_failures()
        # `record_response` ends the ejection only of an endpoint with a silence above 0.
        endpoint.silence = endpoint.silence or MAX_SILENCE
        self.record_response(endpoint, now)

    def take_due_checks(self, now: float) -> list[TrackedEndpoint]:
        """Return the endpoints that get a health check now, and schedule the next health checks."""
        due: list[Any] = self.checks.take_due(now, self._endpoints.caches)
        return due

    def is_zone_lost(self) -> bool:
        """Return whether none of the zone's caches appears to be reachable, or none is ready.

        The director notices an outage before the endpoint list reports it, if the list ever does.
        If health checks are not allowed, the result is False, because only health checks detect
        when the caches are reachable again.
        """
        return self._settings.allows_health_checks and (
            self.zone.is_unreachable
            or all(cache.is_unreachable for cache in self._endpoints.caches)
        )

    def _update_ejection(
        self, endpoint: TrackedEndpoint, reason: EjectionReason | None, now: float
    ) -> None:
        """Eject an endpoint that fails too often or is silent for too long; else reinstate it.

        When a ready endpoint is ejected as unreachable, its pings begin, and the failure counts
        towards an outage of the zone. Its pings end when it is reinstated. `reason` is the reason
        of an ejection; None after a success or response.
        """
        detector: OutlierDetector = endpoint.outlier_detector
        should_eject = endpoint.silence >= MAX_SILENCE or detector.is_outlier()
        if should_eject == endpoint.is_ejected:
            return
        endpoint.is_ejected = should_eject
        endpoint.next_trial_at = now + TRIAL_INTERVAL
        endpoint.is_unreachable = should_eject and reason in UNREACHABLE_REASONS
        endpoint.ejected_at = now
        if endpoint.is_unreachable and endpoint.is_ready:
            self.record_unreachable(endpoint, now)
            self.checks.schedule_pings(endpoint, now, self._sharing_directors(endpoint))
        else:
            self.checks.cancel_pings(endpoint)
        change = f"ejected ({reason or ''})" if should_eject else "reinstated"
        self.log(
            f"{endpoint.hash_key:x} {change}: {detector.failures:.1f} failures, "
            f"{detector.successes:.1f} successes, evidence {detector.evidence:.1f}, "
            f"silence {endpoint.silence:.1f}"
        )

    def _sharing_directors(self, endpoint: TrackedEndpoint) -> int:
        """Return how many directors are assumed to send health checks to the endpoint."""
        if endpoint in self._endpoints.parents:
            return self._settings.director_count
        return self._settings.local_director_count

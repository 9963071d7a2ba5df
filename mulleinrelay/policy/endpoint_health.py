"""Which endpoints are ejected and reinstated, and which get health checks; pure, times in ms.

Brings together what the parts find: outlier detection by results, silence, the reachability of the
zone as a whole, and the schedule of health checks.
"""

from collections.abc import Callable
from enum import StrEnum
from random import Random
from typing import Any

from .endpoint_filter import TRIAL_INTERVAL
from .endpoint_table import EndpointTable
from .health_checks import HealthCheckScheduler, ping_interval
from .latency import TrackedEndpoint
from .model import Attempt, ServiceSettings
from .outlier_detection import OutlierDetector
from .zone_reachability import ZoneReachability

MAX_SILENCE = 2.0  # overdue attempts, with nothing heard meanwhile, that make an endpoint silent
# The first health check of a zone that counts as unreachable comes so soon: it may be reached.
FIRST_ZONE_CHECK_DELAY = 250.0  # ms


class EjectionReason(StrEnum):
    """Why an endpoint's health was judged, as log lines have it."""

    SILENT = "silent"
    CONNECT_FAILED = "connect_failed"
    RESET = "reset"
    ERROR = "error"
    SOURCE_FAILED = "source_failed"


# What a health check that is answered disproves.
UNREACHABLE_REASONS = (
    EjectionReason.SILENT,
    EjectionReason.CONNECT_FAILED,
    EjectionReason.RESET,
)


class EndpointHealthMonitor:
    """Judges the endpoints of one director.

    Owns the schedule of health checks (`checks`), the reachability of the zone (`zone`), and the
    fields of health of each endpoint: outlier detector, silence, ejection, last heard. Nobody else
    changes these.
    """

    def __init__(
        self,
        settings: ServiceSettings,
        endpoints: EndpointTable,
        checks: HealthCheckScheduler,
        random: Random,
        log: Callable[[str], None],
    ) -> None:
        """`log` writes a line about each change."""
        self._settings = settings
        self._endpoints = endpoints
        self._random = random
        self.checks = checks
        self.log = log
        self.zone = ZoneReachability()

    def update_endpoints(self, has_local_start: bool) -> None:
        """The endpoint table has changed: who has gone or started again gets no more checks."""
        self.zone.update_caches(self._endpoints.caches, has_local_start)
        self.checks.cancel_pings_except(
            [
                endpoint
                for endpoint in self._endpoints.ready()
                if endpoint.is_ejected
                or (self.zone.is_unreachable and endpoint in self.zone.caches)
            ]
        )

    def record_result(
        self, endpoint: TrackedEndpoint, failure: float, reason: EjectionReason | None, now: float
    ) -> None:
        """An attempt's result: 0 for a success, or how much of a failure it is."""
        endpoint.outlier_detector.record(now, failure)
        self._judge(endpoint, reason, now)

    def record_error(self, attempt: Attempt, now: float) -> None:
        """An attempt ended in an error that another endpoint could avoid.

        The cache alone is to blame where a hit was due; else it and the fill source share the
        blame by their failure fractions.
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

    def record_silence(self, endpoint: TrackedEndpoint, signs: float, now: float) -> None:
        """An attempt is overdue and nothing was heard of the endpoint since it was sent."""
        endpoint.silence += signs
        self._judge(endpoint, EjectionReason.SILENT, now)

    def record_unreachable(self, endpoint: TrackedEndpoint, now: float) -> None:
        """The endpoint was not reached; with several caches in a row, the zone may not be.

        Then a few of them get health checks soon.
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
        """The endpoint said something. This ends its silence, and that of an unreachable zone."""
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
            self._judge(endpoint, None, now)

    def record_health_check(self, endpoint: TrackedEndpoint, now: float) -> None:
        """A health check was answered, which disproves that the endpoint is not reached."""
        if endpoint.is_unreachable or (self.zone.is_unreachable and endpoint in self.zone.caches):
            self.reinstate(endpoint, now)

    def reinstate(self, endpoint: TrackedEndpoint, now: float) -> None:
        """Forgets what spoke against the endpoint."""
        endpoint.outlier_detector.clear_failures()
        endpoint.silence = endpoint.silence or MAX_SILENCE
        self.record_response(endpoint, now)

    def take_due_checks(self, now: float) -> list[TrackedEndpoint]:
        """The endpoints that get a health check now; each is due again later."""
        due: list[Any] = self.checks.take_due(now, self._endpoints.caches)
        return due

    def is_zone_lost(self) -> bool:
        """Whether none of the zone's caches is reached, as far as it shows.

        Seen before the endpoint list shows it, if it ever does; health checks bring the caches
        back.
        """
        return self._settings.allows_health_checks and (
            self.zone.is_unreachable
            or all(cache.is_unreachable for cache in self._endpoints.caches)
        )

    def _judge(self, endpoint: TrackedEndpoint, reason: EjectionReason | None, now: float) -> None:
        """Ejects an endpoint that fails too often or has been silent too long, or reinstates it."""
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
        """How many directors may send health checks to the endpoint."""
        if endpoint in self._endpoints.parents:
            return self._settings.director_count
        return self._settings.local_director_count

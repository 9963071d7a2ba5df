"""Detection of overdue attempts and of silent endpoints.

No I/O and no clock: the time is an argument, in ms.
"""

from dataclasses import dataclass

from .cache_selection import CacheSelector
from .endpoint_health import EndpointHealthMonitor
from .fill_source import FillSourceSelector
from .latency import TrackedEndpoint
from .model import Attempt, Request
from .work_estimates import WorkEstimator

# Overdue fraction (see `OverdueDetector.check`) from which on the request is sent elsewhere. It is
# reached at twice the attempt's expected time.
REROUTE_FRACTION = 0.5
# Minimum time in ms until an attempt's first check. It is shorter than the delay of a far source,
# which `check` adds to the attempt's expected time.
MIN_CHECK_DELAY = 150.0
# Time in ms by which the first check precedes the latest time at which a retry can still meet the
# latency objective.
CHECK_MARGIN = 50.0
RETRY_WORK_FACTOR = 1.2  # multiple of the answer's transfer time that is reserved for a retry


@dataclass(slots=True, eq=False)
class OverdueDetector:
    """Detector of overdue attempts.

    It owns no state: `health` records which endpoints were silent since an overdue attempt was
    sent, and which count as not reached.
    """

    work: WorkEstimator
    cache_selector: CacheSelector
    fill_sources: FillSourceSelector
    health: EndpointHealthMonitor

    def first_check_delay(self, request: Request, now: float) -> float:
        """Return the time in ms from the sending of an attempt to its first check."""
        delay = (
            self.work.objective_left(request, now)
            - RETRY_WORK_FACTOR * self.work.transfer_time(request, now)
            - CHECK_MARGIN
        )
        return max(delay, MIN_CHECK_DELAY)

    def check(self, attempt: Attempt, now: float) -> bool:
        """Record the silence of an attempt's endpoint and fill source if the attempt is overdue.

        The overdue fraction grows from 0 at the attempt's expected time to 1 at three times this
        time. It is divided equally among the endpoints that have been silent since the attempt was
        sent. If the request should be sent elsewhere and only the attempt's endpoint was silent,
        this endpoint also counts as not reached.

        Returns:
            Whether the request should be sent elsewhere: the endpoint or the source was silent, and
            the overdue fraction has reached `REROUTE_FRACTION`.
        """
        silent = self._silent_endpoints(attempt)
        expected = self._expected_time(attempt, now)
        overdue_fraction = min(1.0, 0.5 * ((now - attempt.sent_at) / expected - 1.0))
        if overdue_fraction <= 0.0 or not silent:
            return False
        for endpoint in silent:
            self.health.record_silence(endpoint, overdue_fraction / len(silent), now)
        if overdue_fraction < REROUTE_FRACTION:
            return False
        if silent == [attempt.endpoint]:
            self.health.record_unreachable(attempt.endpoint, now)
        return True

    def _silent_endpoints(self, attempt: Attempt) -> list[TrackedEndpoint]:
        """Return the endpoints of the attempt that have been silent since it was sent.

        These can be the endpoint that the attempt was sent to, its fill source, or both.
        """
        involved = [attempt.endpoint]
        source = self._source_in_use(attempt)
        if source is not None:
            involved.append(source)
        return [each for each in involved if each.last_heard_at < attempt.sent_at]

    def _expected_time(self, attempt: Attempt, now: float) -> float:
        """Return the expected duration of the attempt, from its sending to the complete answer."""
        work = self.work.transfer_time(attempt.request, now)
        expected = work * self.cache_selector.slowdown(attempt.endpoint, now)
        source = self._source_in_use(attempt)
        if source is not None:
            link_slowdown = self.fill_sources.link.slowdown(now)
            expected += self.fill_sources.delay(source, now) + work * (link_slowdown - 1.0)
        return expected

    def _source_in_use(self, attempt: Attempt) -> TrackedEndpoint | None:
        """Return the source from which a fill is expected; None if no fill is expected."""
        if attempt.expects_hit or attempt.fill_source is attempt.endpoint:
            return None
        return attempt.fill_source

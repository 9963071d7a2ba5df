"""When an attempt is overdue, and whose silence that shows; pure, times in ms."""

from dataclasses import dataclass

from .cache_selection import CacheSelector
from .endpoint_health import EndpointHealthMonitor
from .fill_source import FillSourceSelector
from .latency import TrackedEndpoint
from .model import Attempt, Request
from .work_estimates import WorkEstimator

# Sign of silence (0.5: twice the time it was due to take) at which an attempt goes elsewhere.
OVERDUE_SIGN = 0.5
MIN_CHECK_DELAY = 150.0  # ms to an attempt's first check: less than the delays of a far source
CHECK_MARGIN = 50.0  # ms; an attempt is checked so long before its last chance to go elsewhere
RETRY_WORK_FACTOR = 1.2  # multiple of its sending time that a retry needs


@dataclass(slots=True, eq=False)
class OverdueDetector:
    """Finds attempts that should have ended. Owns nothing; silence is recorded by `health`."""

    work: WorkEstimator
    cache_selector: CacheSelector
    fill_sources: FillSourceSelector
    health: EndpointHealthMonitor

    def first_check_delay(self, request: Request, now: float) -> float:
        """How long after it is sent an attempt is checked for the first time."""
        delay = (
            self.work.objective_left(request, now)
            - RETRY_WORK_FACTOR * self.work.transfer_time(request, now)
            - CHECK_MARGIN
        )
        return max(delay, MIN_CHECK_DELAY)

    def check(self, attempt: Attempt, now: float) -> bool:
        """Records the silence of an attempt's endpoint and source where it is overdue.

        Returns:
            Whether the attempt is so late, with nothing heard of one of them since it was sent,
            that its request goes elsewhere.
        """
        silent = self._silent_endpoints(attempt)
        expected = self._expected_time(attempt, now)
        sign = min(1.0, 0.5 * ((now - attempt.sent_at) / expected - 1.0))
        if sign <= 0.0 or not silent:
            return False
        for endpoint in silent:
            self.health.record_silence(endpoint, sign / len(silent), now)
        if sign < OVERDUE_SIGN:
            return False
        if silent == [attempt.endpoint]:
            self.health.record_unreachable(attempt.endpoint, now)
        return True

    def _silent_endpoints(self, attempt: Attempt) -> list[TrackedEndpoint]:
        """Those of an attempt that said nothing since it was sent."""
        involved = [attempt.endpoint]
        source = self._source_in_use(attempt)
        if source is not None:
            involved.append(source)
        return [each for each in involved if each.last_heard_at < attempt.sent_at]

    def _expected_time(self, attempt: Attempt, now: float) -> float:
        """How long the attempt was to take."""
        work = self.work.transfer_time(attempt.request, now)
        expected = work * self.cache_selector.slowdown(attempt.endpoint, now)
        source = self._source_in_use(attempt)
        if source is not None:
            link_slowdown = self.fill_sources.link.slowdown(now)
            expected += self.fill_sources.delay(source, now) + work * (link_slowdown - 1.0)
        return expected

    def _source_in_use(self, attempt: Attempt) -> TrackedEndpoint | None:
        """The source that fills the attempt, where no hit is expected."""
        if attempt.expects_hit or attempt.fill_source is attempt.endpoint:
            return None
        return attempt.fill_source

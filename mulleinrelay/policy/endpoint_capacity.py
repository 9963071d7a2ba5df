"""What an endpoint that warms up may be sent, by all directors together and by this one; pure.

Times and work in ms. The budget of one endpoint is in `slow_start`.
"""

from dataclasses import dataclass
from random import Random

from .endpoint_table import EndpointTable
from .latency import TrackedEndpoint
from .model import QuotaShare, ServiceSettings, SlowStartPolicy

# Of what overloads an endpoint that warms up, the part that all directors share, and the most of
# its capacity that this may be.
OVERLOAD_FRACTION = 0.75
MAX_CAPACITY_FACTOR = 1.25


@dataclass(slots=True, eq=False)
class SlowStartAdmission:
    """Keeps endpoints that warm up within what they can do.

    Owns nothing itself: the budgets belong to the endpoints, and `try_admit` and `record_sent`
    change them; the quota shares belong to the quota exchange, which changes their fractions, and
    their peaks are noted here.
    """

    settings: ServiceSettings
    endpoints: EndpointTable
    random: Random
    cache_quota: QuotaShare
    parent_quota: QuotaShare

    def available_fraction(self, endpoint: TrackedEndpoint, now: float) -> float:
        """The fraction of its capacity that an endpoint has at the least; 1 once warmed up."""
        if not endpoint.started_at or endpoint.kind == self.settings.origin_kind:
            return 1.0
        policy = self._policy(endpoint)
        return min(
            1.0,
            policy.initial_fraction
            + (1.0 - policy.initial_fraction) * (now - endpoint.started_at) / policy.duration,
        )

    def try_admit(self, endpoint: TrackedEndpoint, work: float, now: float) -> bool:
        """Whether the endpoint may be sent so much work now.

        One that warms up gets this director's share of what it may be sent over any window of its
        policy. May draw at random; the answer is the same for the same moment.
        """
        fraction = self.available_fraction(endpoint, now)
        if fraction >= 1.0:
            return True
        policy = self._policy(endpoint)
        quota = self.parent_quota if endpoint in self.endpoints.parents else self.cache_quota
        capacity = (
            endpoint.weight
            * fraction
            * min(MAX_CAPACITY_FACTOR, OVERLOAD_FRACTION * policy.overload_factor)
        )
        is_admitted = endpoint.slow_start.try_admit(
            now, work, capacity * quota.fraction_at(now), policy.overload_window, self.random
        )
        if quota.is_tracked:
            endpoint.slow_start.record_peaks(
                quota, work, is_admitted, capacity * policy.overload_window
            )
        return is_admitted

    def record_sent(self, endpoint: TrackedEndpoint, work: float, now: float) -> None:
        """Counts work that is sent to an endpoint that warms up."""
        endpoint.slow_start.spend(now, work)

    def _policy(self, endpoint: TrackedEndpoint) -> SlowStartPolicy:
        if endpoint.kind == self.settings.parent_kind:
            return self.settings.parent_slow_start
        return self.settings.cache_slow_start

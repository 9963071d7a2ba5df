"""Admission of work to endpoints in slow start, within this director's share of their capacity.

The work of a request is the estimated transfer time of its answer in ms. Module `slow_start` has
the budget of a single endpoint. No I/O and no clock: the time is an argument, in ms.
"""

from dataclasses import dataclass
from random import Random

from .endpoint_table import EndpointTable
from .latency import TrackedEndpoint
from .model import QuotaShare, ServiceSettings, SlowStartPolicy

# All directors together send an endpoint in slow start at most `OVERLOAD_FRACTION` of the load that
# overloads it, and at most `MAX_CAPACITY_FACTOR` times its present capacity.
OVERLOAD_FRACTION = 0.75
MAX_CAPACITY_FACTOR = 1.25


@dataclass(slots=True, eq=False)
class SlowStartAdmission:
    """Admission of work to endpoints in slow start.

    It owns no state. Each endpoint holds its budget, which `try_admit` and `record_sent` change.
    The quota exchange sets the fractions of the two quota shares; `try_admit` records their peaks.
    """

    settings: ServiceSettings
    endpoints: EndpointTable
    random: Random
    cache_quota: QuotaShare
    parent_quota: QuotaShare

    def available_fraction(self, endpoint: TrackedEndpoint, now: float) -> float:
        """Return a lower bound of the fraction of its capacity that an endpoint has now.

        The fraction grows linearly during slow start and is 1 afterwards. It is always 1 for the
        origin, and for an endpoint whose start time is unknown.
        """
        if not endpoint.started_at or endpoint.kind == self.settings.origin_kind:
            return 1.0
        policy = self._policy(endpoint)
        return min(
            1.0,
            policy.initial_fraction
            + (1.0 - policy.initial_fraction) * (now - endpoint.started_at) / policy.duration,
        )

    def try_admit(self, endpoint: TrackedEndpoint, work: float, now: float) -> bool:
        """Return whether the endpoint may be sent this much work now; always True after slow start.

        An endpoint in slow start receives from this director, on average, at most the director's
        share of the load that the endpoint's policy allows over an overload window. A share that is
        smaller than one request is used by random permits (see `slow_start`). Until `record_sent`,
        calls with the same time and work return the same answer. The method also records the peaks
        of a tracked quota share.
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
        """Record work that is sent to an endpoint in slow start."""
        endpoint.slow_start.spend(now, work)

    def _policy(self, endpoint: TrackedEndpoint) -> SlowStartPolicy:
        if endpoint.kind == self.settings.parent_kind:
            return self.settings.parent_slow_start
        return self.settings.cache_slow_start

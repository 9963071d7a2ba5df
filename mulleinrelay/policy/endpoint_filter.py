"""Which endpoints may be sent work: healthy ones with capacity, ejected ones as a trial; pure."""

from collections.abc import Iterator, Sequence

from .endpoint_capacity import SlowStartAdmission
from .latency import TrackedEndpoint

TRIAL_INTERVAL = 500.0  # ms between two trial requests to one endpoint: it is back within seconds
TRIALS_PER_REQUEST = 0.05  # hundreds of directors must not swamp an endpoint with trials
MAX_SAVED_TRIALS = 2.0


class EndpointFilter:
    """Passes the endpoints that may be sent work, and pays for trial requests.

    Owns the trial tokens; changed by `earn_trial` and `try_trial`, which also moves the endpoint's
    `next_trial_at`.
    """

    def __init__(self, slow_start: SlowStartAdmission, trial_tokens: float) -> None:
        """`trial_tokens`: at the start; a random number, so that directors start apart."""
        self._slow_start = slow_start
        self.trial_tokens = trial_tokens

    def earn_trial(self) -> None:
        """Each request earns a part of a trial request."""
        self.trial_tokens = min(MAX_SAVED_TRIALS, self.trial_tokens + TRIALS_PER_REQUEST)

    def try_trial(self, endpoint: TrackedEndpoint, now: float) -> bool:
        """Spends a token on a trial request to the endpoint; whether it may go."""
        if now < endpoint.next_trial_at or self.trial_tokens < 1.0:
            return False
        endpoint.next_trial_at = now + TRIAL_INTERVAL
        self.trial_tokens -= 1.0
        return True

    def eligible(
        self, endpoints: Sequence[TrackedEndpoint], work: float, now: float
    ) -> Iterator[TrackedEndpoint]:
        """Yields the endpoints that may be sent so much work, in the order given.

        Lazy on purpose: a trial is paid for only when its endpoint is asked for. Where none is
        healthy, ejected endpoints follow without a trial.
        """
        ejected = []
        has_eligible = False
        for endpoint in endpoints:
            if self._slow_start.try_admit(endpoint, work, now) and (
                not endpoint.is_ejected or self.try_trial(endpoint, now)
            ):
                has_eligible = True
                yield endpoint
            elif endpoint.is_ejected:
                ejected.append(endpoint)
        if has_eligible:
            return
        for endpoint in ejected:
            if self._slow_start.try_admit(endpoint, work, now):
                yield endpoint

"""Filter of the endpoints that may be sent work.

Among the endpoints that slow start permits, these are the ones that are not ejected, and the
ejected ones that may be sent a trial request. If there are no such endpoints, all ejected ones that
slow start permits are used.
"""

from collections.abc import Iterator, Sequence

from .endpoint_capacity import SlowStartAdmission
from .latency import TrackedEndpoint

# Minimum interval in ms between two trial requests of this director to one endpoint. It is short,
# so that a recovered endpoint is reinstated within seconds.
TRIAL_INTERVAL = 500.0
# Trial tokens that a request earns: few, so that hundreds of directors do not overload an endpoint
# with trial requests.
TRIALS_PER_REQUEST = 0.05
MAX_SAVED_TRIALS = 2.0  # maximum number of trial tokens


class EndpointFilter:
    """Filter of the endpoints that may be sent work, with a token bucket for trial requests.

    A trial request is a client's request or a fill that is sent to an endpoint which is otherwise
    avoided (ejected or slow), to find out whether the endpoint has recovered. Each trial request
    costs a token.

    Owns the trial tokens, which `earn_trial` and `try_trial` change. `try_trial` also changes the
    endpoint's `next_trial_at`.
    """

    def __init__(self, slow_start: SlowStartAdmission, trial_tokens: float) -> None:
        """Create the filter.

        Args:
            slow_start: Admission of work to endpoints in slow start.
            trial_tokens: Initial number of trial tokens; random, so that directors do not send
                their trial requests at the same time.
        """
        self._slow_start = slow_start
        self.trial_tokens = trial_tokens

    def earn_trial(self) -> None:
        """Add the fraction of a trial token that each request earns."""
        self.trial_tokens = min(MAX_SAVED_TRIALS, self.trial_tokens + TRIALS_PER_REQUEST)

    def try_trial(self, endpoint: TrackedEndpoint, now: float) -> bool:
        """Return whether a trial request may be sent to the endpoint now; if so, spend a token."""
        if now < endpoint.next_trial_at or self.trial_tokens < 1.0:
            return False
        endpoint.next_trial_at = now + TRIAL_INTERVAL
        self.trial_tokens -= 1.0
        return True

    def eligible(
        self, endpoints: Sequence[TrackedEndpoint], work: float, now: float
    ) -> Iterator[TrackedEndpoint]:
        """Yield the endpoints that may be sent this much work, in the given order.

        An ejected endpoint is yielded only if a trial request may be sent to it, which spends a
        token. The iteration is lazy, so that the token is spent only when the endpoint is requested
        from the iterator. If no endpoint is yielded in this way, the ejected endpoints that slow
        start permits are yielded without spending a token.
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

"""Limits on a request's attempts: number, errors, deadline, idempotency and retry budget.

The budget keeps retries from sustaining an overload: each request earns a fraction of a retry,
which decreases as more requests are rejected (see `overload`). No I/O and no clock: the time is an
argument, in ms.
"""

from . import overload
from .idempotency import can_send
from .model import Outcome, Request, RetryBudget, ServiceSettings
from .work_estimates import WorkEstimator

MAX_SAVED_RETRIES = 8.0  # maximum number of tokens in a retry budget
MAX_ERRORS = 2  # endpoint errors after which a request gets no further attempt
FULL_RETRY_COST = 1.0  # tokens


class RetryPolicy:
    """Rules for whether a request gets another attempt.

    Owns the retry budget that all requests without a pool share; other requests use the budget of
    their pool. `earn` and `try_spend` change the budgets.
    """

    def __init__(
        self, settings: ServiceSettings, work: WorkEstimator, detector: overload.OverloadDetector
    ) -> None:
        self._settings = settings
        self._work = work
        self._overload = detector
        self.local_budget = RetryBudget(MAX_SAVED_RETRIES)

    def budget_for(self, request: Request) -> RetryBudget:
        """Return the budget that the request's retries are charged to."""
        return request.pool.retry_budget if request.pool else self.local_budget

    def earn(self, request: Request) -> None:
        """Add the fraction of a retry that a received request earns to the request's budget."""
        budget = self.budget_for(request)
        budget.tokens = min(MAX_SAVED_RETRIES, budget.tokens + self._overload.retries_earned())

    def may_attempt(self, request: Request, now: float) -> bool:
        """Return whether all limits but the retry budget permit another attempt.

        These are the number of attempts, the number of errors, the deadline, and idempotency.
        """
        if len(request.attempts) >= self._settings.max_attempts:
            return False
        errors = sum(attempt.outcome == Outcome.ERROR for attempt in request.attempts)
        return errors < MAX_ERRORS and can_send(request, now)

    def can_afford_full_retry(self, request: Request) -> bool:
        """Return whether the budget has enough tokens for a retry at full cost."""
        return self.budget_for(request).tokens >= FULL_RETRY_COST

    def try_spend(self, request: Request, now: float) -> bool:
        """Charge the next attempt to the request's budget; return whether the tokens sufficed.

        The first attempt is free, and so is an attempt after a miss, since a miss is part of the
        normal processing of a request.
        """
        if not request.attempts or request.attempts[-1].outcome == Outcome.MISS:
            return True
        last = request.attempts[-1]
        work = self._work.transfer_time(request, now)
        cost = overload.retry_cost(last.outcome == Outcome.REJECTED, now - last.sent_at, work)
        budget = self.budget_for(request)
        if budget.tokens < cost:
            return False
        budget.tokens -= cost
        return True

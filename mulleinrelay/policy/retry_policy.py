"""How many attempts a request may have: their number, errors and the retry budget; pure.

The budget keeps retries from feeding an overload: each request earns a part of a retry, less the
more requests are rejected (see `overload`).
"""

from . import overload
from .idempotency import can_send
from .model import Outcome, Request, RetryBudget, ServiceSettings
from .work_estimates import WorkEstimator

MAX_SAVED_RETRIES = 8.0
MAX_ERRORS = 2  # endpoints' errors that one request may have
FULL_RETRY_COST = 1.0


class RetryPolicy:
    """Whether and when a request gets another attempt.

    Owns the budget of requests without a pool; a pool brings its own. `earn` and `try_spend`
    change the budgets.
    """

    def __init__(
        self, settings: ServiceSettings, work: WorkEstimator, detector: overload.OverloadDetector
    ) -> None:
        self._settings = settings
        self._work = work
        self._overload = detector
        self.local_budget = RetryBudget(MAX_SAVED_RETRIES)

    def budget_for(self, request: Request) -> RetryBudget:
        """The budget that pays for the request's retries."""
        return request.pool.retry_budget if request.pool else self.local_budget

    def earn(self, request: Request) -> None:
        """A request has come and earns a part of a retry."""
        budget = self.budget_for(request)
        budget.tokens = min(MAX_SAVED_RETRIES, budget.tokens + self._overload.retries_earned())

    def may_attempt(self, request: Request, now: float) -> bool:
        """Whether an attempt may follow those that there were, if the budget has it."""
        if len(request.attempts) >= self._settings.max_attempts:
            return False
        errors = sum(attempt.outcome == Outcome.ERROR for attempt in request.attempts)
        return errors < MAX_ERRORS and can_send(request, now)

    def can_afford_full_retry(self, request: Request) -> bool:
        """Whether the budget has a retry at its full cost."""
        return self.budget_for(request).tokens >= FULL_RETRY_COST

    def try_spend(self, request: Request, now: float) -> bool:
        """Pays for the next attempt; whether the budget had it.

        The first attempt is free, as is one after a miss, which is the ordinary way of a request.
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

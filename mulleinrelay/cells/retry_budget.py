"""The budget of clients' retries: each first attempt earns a fraction of a retry.

Pure and not thread-safe: the admission controller's lock guards it. The budget of the director's
own retries is `policy.model.RetryBudget`.
"""

DEFAULT_MAX_BALANCE = 10.0  # retries that a client may send in a row after a quiet time


class ClientRetryBudget:
    """How many retries the clients of one tenant may still send."""

    __slots__ = ("balance", "earn_ratio", "maximum")

    def __init__(self, earn_ratio: float, maximum: float = DEFAULT_MAX_BALANCE) -> None:
        """Makes a full budget.

        Args:
            earn_ratio: Retries earned by each first attempt.
            maximum: Retries that can be saved up.
        """
        self.earn_ratio = earn_ratio
        self.maximum = maximum
        self.balance = maximum

    def record_first_attempt(self) -> None:
        """Earns a fraction of a retry."""
        self.balance = min(self.maximum, self.balance + self.earn_ratio)

    def can_retry(self) -> bool:
        """Returns whether one retry may come now."""
        return self.balance >= 1.0

    def consume(self) -> None:
        """Takes one retry."""
        self.balance -= 1.0

"""Retry budget of clients: each first attempt earns a fraction of a retry.

No I/O and no clock. Not thread-safe: `CellService` holds its lock during each call. The budget of
the director's own retries is `policy.model.RetryBudget`.
"""

DEFAULT_MAX_BALANCE = 10.0  # retries that clients may send in a row with a full budget


class ClientRetryBudget:
    """The number of retries that the clients of one tenant may still send.

    Attributes:
        balance: Retries that are left; fractions add up to further retries.
        earn_ratio: Number of retries that each first attempt earns.
        maximum: Maximum balance.
    """

    __slots__ = ("balance", "earn_ratio", "maximum")

    def __init__(self, earn_ratio: float, maximum: float = DEFAULT_MAX_BALANCE) -> None:
        """Create a full budget.

        Args:
            earn_ratio: Number of retries that each first attempt earns.
            maximum: Maximum balance, in retries.
        """
        self.earn_ratio = earn_ratio
        self.maximum = maximum
        self.balance = maximum

    def record_first_attempt(self) -> None:
        """Add the earnings of one first attempt to the balance."""
        self.balance = min(self.maximum, self.balance + self.earn_ratio)

    def can_retry(self) -> bool:
        """Return whether the balance allows one more retry."""
        return self.balance >= 1.0

    def consume(self) -> None:
        """Subtract one retry from the balance."""
        self.balance -= 1.0

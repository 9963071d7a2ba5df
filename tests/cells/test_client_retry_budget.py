"""Retry budget of clients."""

from mulleinrelay.cells.retry_budget import ClientRetryBudget


def test_retries_are_a_fraction_of_first_attempts():
    budget = ClientRetryBudget(0.2, maximum=2.0)
    retries = 0
    for _ in range(100):
        budget.record_first_attempt()
        while budget.can_retry():
            budget.consume()
            retries += 1
    assert retries == 21

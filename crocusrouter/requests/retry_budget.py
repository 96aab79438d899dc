"""Retry budget of a customer: retries are a share of its requests."""

import dataclasses

_BURST_REQUESTS = 50.0


@dataclasses.dataclass(frozen=True)
class RetryBudget:
    """Number of retries that a customer's requests have earned.

    Without a budget, every request would be retried when half of the
    endpoints fail, which doubles the load just when capacity is halved.
    Retries that are limited to a share of the requests can't do that.
    """

    tokens: float


def open_budget(share: float) -> RetryBudget:
    """Return the budget of a customer that hasn't sent a request yet.

    `share` is the number of retries that one request earns.

    >>> open_budget(0.2)
    RetryBudget(tokens=10.0)
    """
    return RetryBudget(share * _BURST_REQUESTS)


def deposit(budget: RetryBudget, share: float) -> RetryBudget:
    """Credit one request.

    >>> deposit(RetryBudget(1.0), 0.2)
    RetryBudget(tokens=1.2)
    """
    return RetryBudget(min(share * _BURST_REQUESTS, budget.tokens + share))


def withdraw(budget: RetryBudget) -> RetryBudget | None:
    """Pay for one retry; return None if the budget is too low.

    >>> withdraw(RetryBudget(0.5)) is None
    True
    """
    if budget.tokens < 1.0:
        return None
    return RetryBudget(budget.tokens - 1.0)

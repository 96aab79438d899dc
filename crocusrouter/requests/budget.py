"""A customer's retry budget."""

import dataclasses

_BURST_REQUESTS = 50.0


@dataclasses.dataclass(frozen=True)
class RetryBudget:
    """Retries that a customer has earned by requests.

    When half of the endpoints die, every request would be tried again and
    the load double just when capacity halved. Retries paid from a share of
    the requests can't do that.
    """

    tokens: float


def open_budget(share: float) -> RetryBudget:
    """Return the budget of a customer who has sent nothing yet.

    >>> open_budget(0.2)
    RetryBudget(tokens=10.0)
    """
    return RetryBudget(share * _BURST_REQUESTS)


def earn(budget: RetryBudget, share: float) -> RetryBudget:
    """Credit one request.

    >>> earn(RetryBudget(1.0), 0.2)
    RetryBudget(tokens=1.2)
    """
    return RetryBudget(min(share * _BURST_REQUESTS, budget.tokens + share))


def spend(budget: RetryBudget) -> RetryBudget | None:
    """Pay for one retry; None if the budget can't.

    >>> spend(RetryBudget(0.5)) is None
    True
    """
    if budget.tokens < 1.0:
        return None
    return RetryBudget(budget.tokens - 1.0)

"""A customer's retry budget."""

import dataclasses

_BURST = 10.0


@dataclasses.dataclass(frozen=True)
class RetryBudget:
    """Retries that a customer has earned by requests.

    When half of the endpoints die, every request would be tried again and
    the load double just when capacity halved. Retries paid from a share of
    the requests can't do that.
    """

    tokens: float = _BURST


def earn(budget: RetryBudget, share: float) -> RetryBudget:
    """Credit one request.

    >>> earn(RetryBudget(1.0), 0.2)
    RetryBudget(tokens=1.2)
    """
    return RetryBudget(min(_BURST, budget.tokens + share))


def spend(budget: RetryBudget) -> RetryBudget | None:
    """Pay for one retry; None if the budget can't.

    >>> spend(RetryBudget(0.5)) is None
    True
    """
    if budget.tokens < 1.0:
        return None
    return RetryBudget(budget.tokens - 1.0)

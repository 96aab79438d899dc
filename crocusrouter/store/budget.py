"""A token bucket that bounds an entry's calls to the key-value service."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class Budget:
    """A bucket's fill at one moment.

    Attributes:
        rate: Tokens gained per second.
        burst: The most tokens it holds.
        tokens: Tokens held at `updated_at`; below zero while calls wait.
        updated_at: Seconds on the process's own clock.
    """

    rate: float
    burst: float
    tokens: float
    updated_at: float


def open_budget(rate: float, burst: float, now: float) -> Budget:
    """Return a full bucket."""
    return Budget(rate, burst, burst, now)


def take(budget: Budget, now: float) -> tuple[Budget, float]:
    """Take one token; return the bucket and the seconds to wait before use.

    A caller that must wait has its token reserved, so that waiting callers
    spread evenly at `rate` instead of all trying again at once.

    >>> budget = open_budget(rate=2.0, burst=1.0, now=0.0)
    >>> budget, wait = take(budget, now=0.0)
    >>> wait
    0.0
    >>> take(budget, now=0.0)[1]
    0.5
    """
    gained = (now - budget.updated_at) * budget.rate
    tokens = min(budget.burst, budget.tokens + gained) - 1.0
    wait_s = max(0.0, -tokens / budget.rate)
    return dataclasses.replace(budget, tokens=tokens, updated_at=now), wait_s

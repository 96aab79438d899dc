"""What a replayed day is worth to its callers."""

import collections
from collections.abc import Callable
from collections.abc import Hashable
from collections.abc import Iterable
import dataclasses
from typing import TypeVar

Key = TypeVar("Key", bound=Hashable)

_WINDOW_S = 2.0
_WORST_WINDOWS = 2
_LATE_FACTOR = 3.0


@dataclasses.dataclass(frozen=True)
class Served:
    """How one job that was owed fared.

    Attributes:
        at: When it was handed in.
        kind: Name of its kind.
        customer: Whose it is.
        owed: Worth in time.
        earned: What it earned.
    """

    at: float
    kind: str
    customer: str
    owed: float
    earned: float


@dataclasses.dataclass(frozen=True)
class Worth:
    """Shares of what was owed; 1 is all.

    Attributes:
        whole: Over the day.
        windows: Over the two worst windows of two seconds.
        kinds: By kind.
        customers: By customer.
        wasted: Core-seconds of work that was stopped or lost.
    """

    whole: float
    windows: float
    kinds: dict[str, float]
    customers: dict[str, float]
    wasted: float

    @property
    def mark(self) -> float:
        """One figure: the users weigh the day and its worst parts alike."""
        worst_kind = min(self.kinds.values(), default=1.0)
        worst_customer = min(self.customers.values(), default=1.0)
        return (
            0.4 * self.whole
            + 0.3 * self.windows
            + 0.15 * worst_kind
            + 0.15 * worst_customer
        )


def earn(
    ended_s: float | None, objective_s: float, on_time: float, late: float
) -> float:
    """Return what a job earns by its end.

    Args:
        ended_s: Seconds from hand-in to end; None if it has not ended.
        objective_s: In which it should end.
        on_time: Earned then.
        late: Earned up to three times as late.

    >>> earn(2.0, 3.0, 4.0, 0.8), earn(5.0, 3.0, 4.0, 0.8)
    (4.0, 0.8)
    """
    if ended_s is None or ended_s > _LATE_FACTOR * objective_s:
        return 0.0
    return on_time if ended_s <= objective_s else late


def measure_worth(served: Iterable[Served], wasted: float) -> Worth:
    """Add a day up."""
    rows = list(served)
    windows = sorted(_share(rows, lambda row: int(row.at / _WINDOW_S)).values())
    worst = windows[:_WORST_WINDOWS]
    return Worth(
        _divide(rows),
        sum(worst) / len(worst) if worst else 1.0,
        _share(rows, lambda row: row.kind),
        _share(rows, lambda row: row.customer),
        wasted,
    )


def _divide(rows: list[Served]) -> float:
    owed = sum(row.owed for row in rows)
    return sum(row.earned for row in rows) / owed if owed else 1.0


def _share(
    rows: list[Served], find_key: Callable[[Served], Key]
) -> dict[Key, float]:
    groups: dict[Key, list[Served]] = collections.defaultdict(list)
    for row in rows:
        groups[find_key(row)].append(row)
    return {key: _divide(group) for key, group in groups.items()}

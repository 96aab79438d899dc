"""Scores of a simulated day: shares of the possible value that jobs earned."""

import collections
from collections.abc import Callable
from collections.abc import Hashable
from collections.abc import Iterable
import dataclasses
from typing import TypeVar

Key = TypeVar("Key", bound=Hashable)

_WINDOW_S = 2.0
_WORST_WINDOW_COUNT = 2
_LATE_FACTOR = 3.0


@dataclasses.dataclass(frozen=True)
class JobResult:
    """The value that one job could earn and did earn.

    Attributes:
        at: When the job was submitted.
        kind: Name of the kind of job.
        customer: Name of the customer.
        possible: Value of the job if it ends in time.
        earned: Value that the job earned.
    """

    at: float
    kind: str
    customer: str
    possible: float
    earned: float


@dataclasses.dataclass(frozen=True)
class DayScore:
    """Earned shares of the possible value, from 0 to 1, and wasted work.

    Attributes:
        whole_day: Share over the whole day.
        worst_windows: Mean share of the two worst windows of two seconds.
        kinds: Share by kind of job.
        customers: Share by customer.
        wasted: Core-seconds of work that was stopped or lost.
    """

    whole_day: float
    worst_windows: float
    kinds: dict[str, float]
    customers: dict[str, float]
    wasted: float

    @property
    def combined_score(self) -> float:
        """One score, with the users' weights of the day and its worst parts."""
        worst_kind = min(self.kinds.values(), default=1.0)
        worst_customer = min(self.customers.values(), default=1.0)
        return (
            0.4 * self.whole_day
            + 0.3 * self.worst_windows
            + 0.15 * worst_kind
            + 0.15 * worst_customer
        )


def compute_value(
    ended_s: float | None, objective_s: float, on_time: float, late: float
) -> float:
    """Return the value that a job earns by the time of its end.

    Args:
        ended_s: Seconds from submission to end; None if it has not ended.
        objective_s: Seconds within which it should end.
        on_time: Value earned within the objective.
        late: Value earned within three times the objective.

    >>> compute_value(2.0, 3.0, 4.0, 0.8), compute_value(5.0, 3.0, 4.0, 0.8)
    (4.0, 0.8)
    """
    if ended_s is None or ended_s > _LATE_FACTOR * objective_s:
        return 0.0
    return on_time if ended_s <= objective_s else late


def score_day(job_results: Iterable[JobResult], wasted: float) -> DayScore:
    """Compute the scores of a day from the results of its jobs."""
    rows = list(job_results)
    window_shares = sorted(
        _compute_shares(rows, lambda row: int(row.at / _WINDOW_S)).values()
    )
    worst_shares = window_shares[:_WORST_WINDOW_COUNT]
    return DayScore(
        _compute_share(rows),
        sum(worst_shares) / len(worst_shares) if worst_shares else 1.0,
        _compute_shares(rows, lambda row: row.kind),
        _compute_shares(rows, lambda row: row.customer),
        wasted,
    )


def _compute_share(rows: list[JobResult]) -> float:
    possible = sum(row.possible for row in rows)
    return sum(row.earned for row in rows) / possible if possible else 1.0


def _compute_shares(
    rows: list[JobResult], find_key: Callable[[JobResult], Key]
) -> dict[Key, float]:
    groups: dict[Key, list[JobResult]] = collections.defaultdict(list)
    for row in rows:
        groups[find_key(row)].append(row)
    return {key: _compute_share(group) for key, group in groups.items()}

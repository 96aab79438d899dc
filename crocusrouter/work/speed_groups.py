"""Split of the workers of a pool into a fast and a slow group."""

from collections.abc import Mapping
import math
import statistics

# With fewer workers, chance makes groups.
_MIN_WORKERS = 8
# Share of the workers in the smaller group. Fewer slow workers are more likely
# to be disturbed than to be of another kind.
_MIN_SHARE = 0.25
# Factor between the medians of the groups.
_MIN_LOG_FACTOR = math.log(1.5)
# Distance of the medians as a multiple of the median deviation within the
# groups. The halves of a normal distribution are 3.4 apart, those of a uniform
# one 4, and two thirds at 0.7 and a third at 1.7 that are known within 20% are
# 6.6 apart.
_MIN_SEPARATION = 5.0
# How far past the boundary a worker must be to change its group.
_LOG_MARGIN = math.log(1.1)


def find_fast(
    log_speeds: Mapping[str, float], fast_before: frozenset[str]
) -> frozenset[str]:
    """Return the workers of the fast group; empty if there are no groups.

    Args:
        log_speeds: Natural logarithm of the speed by worker, of all workers
            with an estimate.
        fast_before: Workers of the fast group so far; empty if there were no
            groups. While there are groups, they need not be as far apart as
            when they were found, and workers near the boundary stay where
            they are.
    """
    count = len(log_speeds)
    smallest = max(1, math.ceil(_MIN_SHARE * count))
    if count < _MIN_WORKERS:
        return frozenset()
    values = sorted(log_speeds.values())
    position = _find_best_split(values, smallest)
    slow, fast = values[:position], values[position:]
    slow_median, fast_median = statistics.median(slow), statistics.median(fast)
    distance = fast_median - slow_median
    if distance < _MIN_LOG_FACTOR:
        return frozenset()
    if not fast_before and distance < _MIN_SEPARATION * _measure_spread(
        slow, fast
    ):
        return frozenset()
    boundary = (slow_median + fast_median) / 2
    members = frozenset(
        worker
        for worker, value in log_speeds.items()
        if value > boundary + _find_margin(worker, fast_before)
    )
    return (
        members
        if smallest <= len(members) <= count - smallest
        else (frozenset())
    )


def _find_margin(worker: str, fast_before: frozenset[str]) -> float:
    """Return how far above the boundary a fast worker must be."""
    if not fast_before:
        return 0.0
    return -_LOG_MARGIN if worker in fast_before else _LOG_MARGIN


def _find_best_split(values: list[float], smallest: int) -> int:
    """Return the size of the lower part for the least sum of squares.

    Args:
        values: Sorted values.
        smallest: Number of values that each part has at least.
    """
    total = math.fsum(values)
    lower_sum = math.fsum(values[: smallest - 1])
    best, best_between = smallest, -math.inf
    for position in range(smallest, len(values) - smallest + 1):
        lower_sum += values[position - 1]
        # The least spread within the parts is the greatest between them.
        between = lower_sum**2 / position + (total - lower_sum) ** 2 / (
            len(values) - position
        )
        if between > best_between:
            best, best_between = position, between
    return best


def _measure_spread(slow: list[float], fast: list[float]) -> float:
    """Return the median deviation from the median of the own group."""
    deviations = []
    for group in (slow, fast):
        middle = statistics.median(group)
        deviations += [abs(value - middle) for value in group]
    return statistics.median(deviations)

"""Split of the workers of a pool into a fast and a slow group."""

import bisect
from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses
import math
import statistics

from crocusrouter.work import medians

# With fewer workers, chance makes groups.
_MIN_WORKERS = 8
# Share of the workers in the smaller group. Fewer slow workers are more likely
# to be disturbed than to be of another kind.
_MIN_SHARE = 0.25
# Factor between the medians of the groups.
_MIN_LOG_FACTOR = math.log(1.5)
# Sum of the weights of all samples. Fewer agree by chance.
_MIN_WEIGHT = 24.0
# Least distance of the medians, as a multiple of the median deviation of the
# workers and of their samples. The halves of a normal distribution are 3.4
# apart, those of a uniform one 4, and with few workers chance exceeds both.
_MIN_SEPARATION = 3.4
_SMALL_POOL_SEPARATION = 100.0
# Twice the standard error of the distance between the medians of two halves, as
# a multiple of the median deviation / sqrt(workers). New groups must differ by
# the least factor beyond this error, or a few workers of a continuum of speeds
# pass for two groups.
_DISTANCE_ERROR = 7.0
# Share of the least separation at which existing groups remain.
_KEPT_SHARE = 0.5
# How far past the boundary a worker must be to change its group.
_LOG_MARGIN = math.log(1.1)


@dataclasses.dataclass(frozen=True)
class Estimate:
    """What is known of one worker.

    Attributes:
        log_speed: Natural logarithm of the speed.
        samples: Log speeds according to single runs, with weights from 0 to 1.
    """

    log_speed: float
    samples: tuple[tuple[float, float], ...]


def find_fast(
    estimates: Mapping[str, Estimate], fast_before: frozenset[str]
) -> frozenset[str]:
    """Return the workers of the fast group; empty if there are no groups.

    Args:
        estimates: Estimates by worker, of all workers that have one.
        fast_before: Workers of the fast group so far; empty if there were no
            groups. While there are groups, they need not be as far apart as
            when they were found, and workers near the boundary stay where
            they are.
    """
    count = len(estimates)
    smallest = max(1, math.ceil(_MIN_SHARE * count))
    if count < _MIN_WORKERS:
        return frozenset()
    values = sorted(estimate.log_speed for estimate in estimates.values())
    position = _find_split_before(values, estimates, fast_before)
    if not smallest <= position <= count - smallest:
        position = _find_best_split(values, smallest)
    slow_median = statistics.median(values[:position])
    fast_median = statistics.median(values[position:])
    distance = fast_median - slow_median
    if distance < _MIN_LOG_FACTOR:
        return frozenset()
    needed = _MIN_SEPARATION + _SMALL_POOL_SEPARATION / count
    if fast_before:
        needed *= _KEPT_SHARE
    spread = _measure_spread(estimates.values(), slow_median, fast_median)
    if distance < needed * spread:
        return frozenset()
    error = _DISTANCE_ERROR * spread / math.sqrt(count)
    if not fast_before and distance < _MIN_LOG_FACTOR + error:
        return frozenset()
    boundary = (slow_median + fast_median) / 2
    members = frozenset(
        worker
        for worker, estimate in estimates.items()
        if estimate.log_speed > boundary + _find_margin(worker, fast_before)
    )
    if not smallest <= len(members) <= count - smallest:
        return frozenset()
    return members


def _find_margin(worker: str, fast_before: frozenset[str]) -> float:
    """Return how far above the boundary a fast worker must be."""
    if not fast_before:
        return 0.0
    return -_LOG_MARGIN if worker in fast_before else _LOG_MARGIN


def _find_split_before(
    values: list[float],
    estimates: Mapping[str, Estimate],
    fast_before: frozenset[str],
) -> int:
    """Return the size of the lower part by the groups so far; 0 if none.

    While some workers are disturbed, the best split may be between these and
    all others.
    """
    fast = [
        estimate.log_speed
        for worker, estimate in estimates.items()
        if worker in fast_before
    ]
    if not 0 < len(fast) < len(values):
        return 0
    others = [
        estimate.log_speed
        for worker, estimate in estimates.items()
        if worker not in fast_before
    ]
    boundary = (statistics.median(fast) + statistics.median(others)) / 2
    return bisect.bisect(values, boundary)


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


def _measure_spread(
    estimates: Iterable[Estimate], slow_median: float, fast_median: float
) -> float:
    """Return the median deviation from the nearer median.

    It is that of the workers or that of the samples, whichever is larger:
    workers of one run each may be alike by chance. It is infinite if there are
    too few samples.
    """
    boundary = (slow_median + fast_median) / 2
    of_workers = []
    of_samples = []
    for estimate in estimates:
        middle = fast_median if estimate.log_speed > boundary else slow_median
        of_workers.append((abs(estimate.log_speed - middle), 1.0))
        of_samples += [
            (abs(value - middle), weight) for value, weight in estimate.samples
        ]
    if math.fsum(weight for _, weight in of_samples) < _MIN_WEIGHT:
        return math.inf
    return max(medians.find_median(of_workers), medians.find_median(of_samples))

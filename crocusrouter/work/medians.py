"""Weighted medians."""

from collections.abc import Iterable
import math


def find_median(pairs: Iterable[tuple[float, float]]) -> float:
    """Return the interpolated median of one or more values with weights.

    Of two values it is their mean; of many it ignores outliers.

    >>> find_median([(1.0, 1.0), (2.0, 1.0)])
    1.5
    >>> find_median([(1.0, 1.0), (2.0, 1.0), (9.0, 1.0)])
    2.0
    """
    ordered = sorted(pairs)
    half = math.fsum(weight for _, weight in ordered) / 2
    passed = 0.0
    previous_value, previous_middle = ordered[0][0], 0.0
    for value, weight in ordered:
        middle = passed + weight / 2
        if middle >= half:
            if middle <= previous_middle:
                return value
            share = (half - previous_middle) / (middle - previous_middle)
            return previous_value + share * (value - previous_value)
        passed += weight
        previous_value, previous_middle = value, middle
    return previous_value

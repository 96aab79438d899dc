"""Measured figures, stored as JSON lines in one file per subject."""

from collections.abc import Sequence
import dataclasses
import pathlib

import orjson

RESULTS = pathlib.Path(__file__).parent / "results"


@dataclasses.dataclass(frozen=True)
class Figure:
    """A measured figure.

    Attributes:
        name: Name of the measured quantity.
        value: Median over the repetitions.
        unit: Unit of the value.
        size: Description of the size at which the value was measured.
        spread: Largest minus smallest value of the repetitions.
        seed: Seed of the load.
    """

    name: str
    value: float
    unit: str
    size: str
    spread: float = 0.0
    seed: int = 0


def summarize(
    name: str, values: Sequence[float], unit: str, size: str, seed: int = 0
) -> Figure:
    """Return a figure with the median and the spread of repetitions.

    >>> summarize("x", [3.0, 1.0, 2.0], "s", "1 worker")
    Figure(name='x', value=2.0, unit='s', size='1 worker', spread=2.0, seed=0)
    """
    ordered = sorted(values)
    median = ordered[len(ordered) // 2]
    spread = ordered[-1] - ordered[0]
    return Figure(name, round(median, 6), unit, size, round(spread, 6), seed)


def find_percentile(values: Sequence[float], share: float) -> float:
    """Return a percentile by the nearest-rank method.

    >>> find_percentile([1.0, 2.0, 3.0, 4.0], 0.5)
    2.0
    """
    ordered = sorted(values)
    rank = max(1, -(-len(ordered) * share // 1))
    return ordered[int(rank) - 1]


def write_figures(subject: str, figures: Sequence[Figure]) -> None:
    """Replace a subject's committed results."""
    RESULTS.mkdir(exist_ok=True)
    lines = b"".join(orjson.dumps(f) + b"\n" for f in figures)
    (RESULTS / f"{subject}.jsonl").write_bytes(lines)


def read_figures() -> list[Figure]:
    """Return the figures of all committed results."""
    return [
        Figure(**orjson.loads(line))
        for path in sorted(RESULTS.glob("*.jsonl"))
        for line in path.read_bytes().splitlines()
    ]


def fit_line(points: Sequence[tuple[float, float]]) -> tuple[float, float]:
    """Return slope and intercept of the least-squares line.

    >>> fit_line([(0.0, 1.0), (1.0, 3.0), (2.0, 5.0)])
    (2.0, 1.0)
    """
    count = len(points)
    mean_x = sum(x for x, _ in points) / count
    mean_y = sum(y for _, y in points) / count
    covariance_sum = sum((x - mean_x) * (y - mean_y) for x, y in points)
    variance_sum = sum((x - mean_x) ** 2 for x, _ in points)
    slope = covariance_sum / variance_sum if variance_sum else 0.0
    return slope, mean_y - slope * mean_x

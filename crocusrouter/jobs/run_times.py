"""Run time estimates by customer and kind of job.

Declared run times are often wrong by a factor of ten. The run times of recent
jobs of the same customer and kind predict better, and their median is not
distorted by a few outliers.
"""

import dataclasses

_MAX_SAMPLES = 32
_MIN_SAMPLES = 3

# Customer and kind of job.
Key = tuple[str, str]


@dataclasses.dataclass(frozen=True)
class RunTimeHistory:
    """Run times of recent jobs in seconds, newest last."""

    samples_s: dict[Key, tuple[float, ...]] = dataclasses.field(
        default_factory=dict
    )


def record_run_time(
    history: RunTimeHistory, key: Key, run_time_s: float
) -> RunTimeHistory:
    """Add the run time of a job that succeeded."""
    samples_s = (*history.samples_s.get(key, ()), run_time_s)[-_MAX_SAMPLES:]
    return RunTimeHistory(history.samples_s | {key: samples_s})


def estimate_run_time(
    history: RunTimeHistory, key: Key, declared_s: float
) -> float:
    """Return the expected run time in seconds.

    >>> history = RunTimeHistory({("a", "tag"): (9.0, 10.0, 50.0)})
    >>> estimate_run_time(history, ("a", "tag"), 1.0)
    10.0
    >>> estimate_run_time(history, ("a", "render"), 1.0)
    1.0
    """
    samples_s = history.samples_s.get(key, ())
    if len(samples_s) < _MIN_SAMPLES:
        return declared_s
    return sorted(samples_s)[len(samples_s) // 2]

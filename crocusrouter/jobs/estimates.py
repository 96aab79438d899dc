"""Run times learned by customer and kind.

Declared run times are often off by a factor of ten. What jobs of the same
customer and kind took lately says more, and the median isn't moved by a few
that went wrong.
"""

import dataclasses

_REMEMBERED = 32
_ENOUGH = 3

Key = tuple[str, str]


@dataclasses.dataclass(frozen=True)
class Estimates:
    """Run times seen lately, newest last, by customer and kind."""

    seen: dict[Key, tuple[float, ...]] = dataclasses.field(default_factory=dict)


def note_run_time(estimates: Estimates, key: Key, took_s: float) -> Estimates:
    """Learn from a job that succeeded."""
    kept = (*estimates.seen.get(key, ()), took_s)[-_REMEMBERED:]
    return Estimates(estimates.seen | {key: kept})


def estimate_run_time(
    estimates: Estimates, key: Key, declared_s: float
) -> float:
    """Return the run time to expect, in seconds.

    >>> estimates = Estimates({("a", "tag"): (9.0, 10.0, 50.0)})
    >>> estimate_run_time(estimates, ("a", "tag"), 1.0)
    10.0
    >>> estimate_run_time(estimates, ("a", "render"), 1.0)
    1.0
    """
    kept = estimates.seen.get(key, ())
    if len(kept) < _ENOUGH:
        return declared_s
    return sorted(kept)[len(kept) // 2]

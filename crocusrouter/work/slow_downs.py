"""Transient slow-downs of workers."""

from collections.abc import Callable
import dataclasses
import math

from crocusrouter.work import run_rates

# A worker is slowed for as long as this after its runs were last seen slow.
_SLOWED_S = 4.0


@dataclasses.dataclass
class _Watch:
    """Evidence of one worker's latest report on a transient slow-down.

    Attributes:
        reported_at: Steady time of that report.
        has_other_run: Whether a run was not slow in that report.
        slow_before: Value of `slow_at` before that report.
        slow_at: Steady time of the last evidence; None if not slowed.
    """

    reported_at: float = -math.inf
    has_other_run: bool = False
    slow_before: float | None = None
    slow_at: float | None = None


class SlowDowns:
    """The workers all of whose runs progress at less than half their rate."""

    def __init__(self, is_firm: Callable[[str], bool]) -> None:
        """Begin without slowed workers.

        Args:
            is_firm: Tells whether the speed of a worker is known well enough
                for its runs to be slower than it.
        """
        self._is_firm = is_firm
        self._watches: dict[str, _Watch] = {}

    def is_slowed(self, worker_id: str, now: float) -> bool:
        """Tell whether a worker was seen slow in the last seconds."""
        watch = self._watches.get(worker_id)
        return (
            watch is not None
            and watch.slow_at is not None
            and now - watch.slow_at < _SLOWED_S
        )

    def forget(self, worker_id: str) -> None:
        """Remove what is known of an incarnation that is gone."""
        self._watches.pop(worker_id, None)

    def note(
        self, worker_id: str, verdict: run_rates.Verdict, now: float
    ) -> None:
        """Update whether a worker is slowed.

        The runs of one report are noted one after the other; the worker is
        slowed if none of them has shown anything else.

        Args:
            worker_id: Id of the incarnation.
            verdict: How one of its runs compares with its earlier rate.
            now: Steady time in seconds.
        """
        watch = self._watches.setdefault(worker_id, _Watch())
        if watch.reported_at != now:
            watch.reported_at = now
            watch.has_other_run = False
            watch.slow_before = watch.slow_at
        if verdict is run_rates.Verdict.SLOW:
            if self.is_slowed(worker_id, now) or (
                not watch.has_other_run and self._is_firm(worker_id)
            ):
                watch.slow_at = now
            return
        watch.has_other_run = True
        if verdict is run_rates.Verdict.BACK:
            watch.slow_at = watch.slow_before = None
        else:
            watch.slow_at = watch.slow_before

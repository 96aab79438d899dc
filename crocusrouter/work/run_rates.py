"""Rate of progress of one run, measured from its reports."""

import dataclasses
import enum
import math

# A report gives whole percents, so the first ones of a run say little.
_MIN_PERCENT = 2.0
_MIN_ELAPSED_S = 0.2
# A member of a gang that waits for the others may stand at 99: the share of a
# finished task is rounded down.
_FULL_PERCENT = 99.0
# Shorter intervals are not compared with the earlier rate: a worker may report
# twice within some hundredths of a second.
_MIN_INTERVAL_S = 0.5
# Progress that the earlier rate must predict for an interval to be compared.
_MIN_EXPECTED_PERCENT = 3.0
# Duration for which the earlier rate must have been seen.
_MIN_KNOWN_S = 1.0
# Shares of the earlier rate below which a run is slow, and from which it is
# back at its earlier rate.
_SLOW_SHARE = 0.5
_BACK_SHARE = 0.75
# A rate that rises by this factor was measured during a disturbance.
_RISE_FACTOR = 2.0
# Spread of the run times of a step's tasks.
_TASK_SPREAD = 0.15
# Standard deviation of a difference of two whole percents.
_PERCENT_ERROR = 0.4
# Differences between the moment of progress and that of its report.
_TIME_ERROR_S = 0.05
# Weight of a run of which only a lower bound of its rate is known.
_BOUND_WEIGHT = 0.5


class Verdict(enum.Enum):
    """Comparison of a run's latest progress with its own earlier rate."""

    SLOW = "slow"
    BETWEEN = "between"
    BACK = "back"


@dataclasses.dataclass
class RunRate:
    """Measures a run from the beginning of its work, or between two reports.

    Attributes:
        base_at: Steady time at which the current interval begins.
        base_percent: Progress at that time.
        starts_at_zero: Whether the measurement begins with the run's work.
        percent: Progress in all intervals that count.
        elapsed_s: Length of all intervals that count, in seconds.
        bound: Lower bound of the rate, from the first full report; 0 if none.
        is_finished: Whether the run has shown full progress.
    """

    base_at: float
    base_percent: float = 0.0
    starts_at_zero: bool = True
    percent: float = 0.0
    elapsed_s: float = 0.0
    bound: float = 0.0
    is_finished: bool = False

    @property
    def is_exact(self) -> bool:
        """Whether the rate was measured and not only bounded."""
        return self.elapsed_s > 0

    @property
    def percent_per_s(self) -> float:
        """Rate of progress; 0 if it is unknown.

        A whole percent is rounded down, so progress from exactly zero is half
        a percent more on average.
        """
        if not self.is_exact:
            return self.bound
        rounding = 0.5 if self.starts_at_zero else 0.0
        return max(self.bound, (self.percent + rounding) / self.elapsed_s)

    @property
    def weight(self) -> float:
        """Weight of the rate, from 0 to 1: the inverse of its variance."""
        if not self.is_exact:
            return _BOUND_WEIGHT
        errors = (
            _TASK_SPREAD,
            _PERCENT_ERROR / self.percent,
            _TIME_ERROR_S / self.elapsed_s,
        )
        return _TASK_SPREAD**2 / math.fsum(error**2 for error in errors)

    def update(
        self, percent: float, now: float, *, is_disturbed: bool
    ) -> Verdict | None:
        """Take one report into account.

        Args:
            percent: Progress from 0 to 100.
            now: Steady time in seconds.
            is_disturbed: Whether the run's worker is slowed at present; its
                rate then says nothing about the worker's persistent speed.

        Returns:
            How the progress compares with the earlier rate; None if it can't
            be compared.
        """
        elapsed_s = now - self.base_at
        gained = percent - self.base_percent
        if gained < 0:
            self._restart(percent, now)
            return None
        if elapsed_s <= 0 or self.is_finished:
            return None
        if percent >= _FULL_PERCENT:
            return self._finish(gained, elapsed_s, is_disturbed=is_disturbed)
        if not self.is_exact:
            if is_disturbed:
                self._restart(percent, now)
            elif gained >= _MIN_PERCENT and elapsed_s >= _MIN_ELAPSED_S:
                self._add(percent, now)
            return None
        expected = self.percent_per_s * elapsed_s
        if elapsed_s < _MIN_INTERVAL_S or expected < _MIN_EXPECTED_PERCENT:
            return None
        return self._compare(percent, now, expected, is_disturbed=is_disturbed)

    def _compare(
        self, percent: float, now: float, expected: float, *, is_disturbed: bool
    ) -> Verdict | None:
        """Compare an interval with the earlier rate and add it if alike."""
        gained = percent - self.base_percent
        is_known = self.elapsed_s >= _MIN_KNOWN_S
        if gained > _RISE_FACTOR * expected:
            self._restart(self.base_percent, self.base_at)
            if not is_disturbed:
                self._add(percent, now)
            verdict = Verdict.BACK
        elif gained + 1 < _SLOW_SHARE * expected:
            self._skip(percent, now)
            verdict = Verdict.SLOW
        elif gained < _BACK_SHARE * expected:
            if is_disturbed:
                self._skip(percent, now)
            else:
                self._add(percent, now)
            verdict = Verdict.BETWEEN
        else:
            self._add(percent, now)
            verdict = Verdict.BACK
        return verdict if is_known else None

    def _finish(
        self, gained: float, elapsed_s: float, *, is_disturbed: bool
    ) -> Verdict | None:
        """Use the first full report, which came after the work had ended."""
        self.is_finished = True
        is_known = self.elapsed_s >= _MIN_KNOWN_S
        expected = self.percent_per_s * elapsed_s
        if not is_disturbed:
            self.bound = max(
                self.bound,
                (self.percent + gained) / (self.elapsed_s + elapsed_s),
            )
        if is_known and gained >= _BACK_SHARE * expected:
            return Verdict.BACK
        return None

    def _add(self, percent: float, now: float) -> None:
        self.percent += percent - self.base_percent
        self.elapsed_s += now - self.base_at
        self._skip(percent, now)

    def _skip(self, percent: float, now: float) -> None:
        self.base_percent = percent
        self.base_at = now

    def _restart(self, percent: float, now: float) -> None:
        """Begin to measure anew, between two reports."""
        self._skip(percent, now)
        self.starts_at_zero = False
        self.percent = self.elapsed_s = self.bound = 0.0
        self.is_finished = False

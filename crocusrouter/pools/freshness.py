"""Tracks how recently an owner has received the data it schedules by."""

from collections.abc import Callable

from crocusrouter.pools import clocks
from crocusrouter.telemetry import Metrics
from crocusrouter.telemetry import log

# Tasks start only by data that was received this recently. A worker that
# announces that it drains must get nothing new from 2 s on, a cancelled job
# from 3 s on, and any watch may miss changes without a sign. One lost answer
# takes 1.4 s and delays no start.
MAX_AGE_S = 1.8


class Freshness:
    """Age of one prefix of the key-value service as an owner knows it."""

    def __init__(
        self,
        prefix: str,
        clock: clocks.Clock,
        metrics: Metrics,
        on_change: Callable[[], None],
    ) -> None:
        """Start with data that is received now.

        Args:
            prefix: The followed prefix.
            clock: Source of the current time.
            metrics: Counts how often the data became stale.
            on_change: Called when an answer arrives after the data was stale.
        """
        self.last_gap_s = 0.0
        self._prefix = prefix
        self._clock = clock
        self._metrics = metrics
        self._on_change = on_change
        self._last_answer_at = clock.steady()
        self._is_stale = False

    @property
    def previous_answer_at(self) -> float:
        """Steady time of the answer before the latest one."""
        return self._last_answer_at - self.last_gap_s

    def measure_age(self, now: float) -> float:
        """Return the seconds since the latest answer."""
        return now - self._last_answer_at

    def is_fresh(self, now: float) -> bool:
        """Return whether the data is recent enough for starts; logs a change.

        Args:
            now: Steady time in seconds.
        """
        age_s = self.measure_age(now)
        is_stale = age_s > MAX_AGE_S
        if is_stale is not self._is_stale:
            self._is_stale = is_stale
            log(
                "view:stale" if is_stale else "view:fresh",
                prefix=self._prefix,
                age_s=round(age_s, 3),
            )
            if is_stale:
                self._metrics.count_event("view-stale")
        return not is_stale

    def note_answer(self) -> None:
        """Record that the service has answered."""
        now = self._clock.steady()
        self.last_gap_s = now - self._last_answer_at
        self._last_answer_at = now
        if self._is_stale:
            self._on_change()

"""How recently an owner has heard what it decides by."""

from collections.abc import Callable

from crocusrouter.pools import clocks
from crocusrouter.telemetry import Metrics
from crocusrouter.telemetry import log

# Tasks start only by what was heard this recently. A worker that says that it
# leaves must get nothing new from 2 s on, a cancelled job from 3 s on, and any
# watch may go unheard without a sign. With no such bound an owner gave 8 tasks
# to a worker 9 s after its word, and started 48 tasks of a job after its
# confirmed cancel. One lost answer costs 1.4 s and holds nothing back.
MAX_AGE_S = 1.8


class Freshness:
    """Age of one prefix of the key-value service as an owner knows it."""

    def __init__(
        self,
        prefix: str,
        clock: clocks.Clock,
        metrics: Metrics,
        changed: Callable[[], None],
    ) -> None:
        """Begin with what is heard now.

        Args:
            prefix: What is followed.
            clock: Source of the current time.
            metrics: Counts how often decisions were held back.
            changed: Called when they need not be any more.
        """
        self.unheard_s = 0.0
        self._prefix = prefix
        self._clock = clock
        self._metrics = metrics
        self._changed = changed
        self._heard_at = clock.steady()
        self._stale = False

    @property
    def heard_before(self) -> float:
        """Steady time of the answer before the latest one."""
        return self._heard_at - self.unheard_s

    def measure_age(self, now: float) -> float:
        """Return for how many seconds nothing has been heard."""
        return now - self._heard_at

    def is_fresh(self, now: float) -> bool:
        """Tell whether tasks may start by it; logs when that changes.

        Args:
            now: Steady time in seconds.
        """
        age_s = self.measure_age(now)
        stale = age_s > MAX_AGE_S
        if stale is not self._stale:
            self._stale = stale
            log(
                "view:stale" if stale else "view:fresh",
                prefix=self._prefix,
                age_s=round(age_s, 3),
            )
            if stale:
                self._metrics.count_event("view-stale")
        return not stale

    def note_answer(self) -> None:
        """Note that the service has answered."""
        now = self._clock.steady()
        self.unheard_s = now - self._heard_at
        self._heard_at = now
        if self._stale:
            self._changed()

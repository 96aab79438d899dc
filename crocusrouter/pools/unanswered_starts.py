"""Tracks starts that one worker has not answered.

Such a start may still be carried out seconds later. If the worker's process
restarts meanwhile, its next incarnation may carry the start out, because orders
name the worker id that both share. Only a stop that this incarnation has
answered prevents that: it knows of no stop that an earlier one has answered.
"""

from collections.abc import Callable
import dataclasses

from crocusrouter import work
from crocusrouter.pools import lease_contract
from crocusrouter.work import worker_port


@dataclasses.dataclass(frozen=True)
class _UnansweredStart:
    """A start without an answer.

    Attributes:
        sent_to: The incarnation that it was sent to last.
        sent_at: Steady time at which that failed.
        refused_by: The incarnations that have answered a stop of it.
    """

    sent_to: str
    sent_at: float
    refused_by: frozenset[str] = frozenset()


class UnansweredStarts:
    """Unanswered starts sent to any incarnation of one worker.

    Attributes:
        listeners: Called when a start is recorded.
    """

    def __init__(self) -> None:
        self.listeners: list[Callable[[], None]] = []
        self._starts: dict[tuple[work.TaskKey, int], _UnansweredStart] = {}
        # Until when a run of each job may go on after a late start.
        self._running_until: dict[str, float] = {}

    def note(
        self, order: worker_port.Start, incarnation: str, now: float
    ) -> None:
        """Record a start that an incarnation has not answered.

        Args:
            order: The start.
            incarnation: The incarnation that it was sent to.
            now: Steady time in seconds.
        """
        self._drop_expired(now)
        known_start = self._starts.get((order.key, order.run))
        refused_by = known_start.refused_by if known_start else frozenset()
        self._starts[order.key, order.run] = _UnansweredStart(
            incarnation, now, refused_by
        )
        self._running_until[order.key.job] = now + lease_contract.MAX_LATE_RUN_S
        for listener in list(self.listeners):
            listener()

    def note_refused(self, stop: worker_port.Stop, incarnation: str) -> None:
        """Record that an incarnation has answered the stop of a start."""
        known_start = self._starts.get((stop.key, stop.run))
        if known_start is not None:
            self._starts[stop.key, stop.run] = dataclasses.replace(
                known_start, refused_by=known_start.refused_by | {incarnation}
            )

    def list_stops(
        self, incarnation: str, now: float
    ) -> list[worker_port.Stop]:
        """Return the stops that an incarnation has yet to answer.

        Args:
            incarnation: May carry out starts sent to earlier incarnations.
            now: Steady time in seconds.
        """
        self._drop_expired(now)
        return [
            worker_port.Stop(key, run)
            for (key, run), start in self._starts.items()
            if start.sent_to != incarnation
            and incarnation not in start.refused_by
        ]

    def list_jobs(self, now: float) -> frozenset[str]:
        """Return the jobs of which a run may go on after a late start.

        Args:
            now: Steady time in seconds.
        """
        self._running_until = {
            job_id: until
            for job_id, until in self._running_until.items()
            if now < until
        }
        return frozenset(self._running_until)

    def is_settled(self, now: float) -> bool:
        """Return whether none of the starts can be carried out any more."""
        self._drop_expired(now)
        return not self._starts

    def _drop_expired(self, now: float) -> None:
        self._starts = {
            start_key: start
            for start_key, start in self._starts.items()
            if now < start.sent_at + lease_contract.MAX_START_DELAY_S
        }

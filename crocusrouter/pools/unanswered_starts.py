"""Tracks starts that one worker has not answered.

Such a start may still be carried out seconds later. If the worker's process
restarts meanwhile, its next incarnation may carry the start out, because orders
name the worker id that both share. An answered stop to the next incarnation
prevents this.
"""

from crocusrouter import work
from crocusrouter.work import worker_port

# Longest time after which an unanswered order is still carried out.
_MAX_DELAY_S = 15.0


class UnansweredStarts:
    """Unanswered starts sent to any incarnation of one worker."""

    def __init__(self) -> None:
        self._starts: dict[tuple[work.TaskKey, int], tuple[str, float]] = {}

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
        self._starts[order.key, order.run] = incarnation, now

    def list_stops(
        self, incarnation: str, now: float
    ) -> list[worker_port.Stop]:
        """Return the stops to deliver to an incarnation.

        Args:
            incarnation: May carry out starts sent to earlier incarnations.
            now: Steady time in seconds.
        """
        self._drop_expired(now)
        return [
            worker_port.Stop(key, run)
            for (key, run), (sent_to, _) in self._starts.items()
            if sent_to != incarnation
        ]

    def is_settled(self, now: float) -> bool:
        """Return whether none of the starts can be carried out any more."""
        self._drop_expired(now)
        return not self._starts

    def _drop_expired(self, now: float) -> None:
        self._starts = {
            start_key: (sent_to, sent_at)
            for start_key, (sent_to, sent_at) in self._starts.items()
            if now < sent_at + _MAX_DELAY_S
        }

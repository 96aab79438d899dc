"""Starts that one worker has left unanswered.

Such a start may still be carried out seconds later, and if the worker's
process starts again meanwhile, by the next one: the order names their common
id. A stop that the next incarnation has answered keeps it from that.
"""

from crocusrouter import work
from crocusrouter.work import worker_port

# Longest time after which an order without an answer is carried out.
_LATEST_S = 15.0


class UnansweredStarts:
    """Starts ordered to any incarnation of one worker."""

    def __init__(self) -> None:
        self._sent: dict[tuple[work.TaskKey, int], tuple[str, float]] = {}

    def note(
        self, order: worker_port.Start, incarnation: str, now: float
    ) -> None:
        """Note that an incarnation has not answered a start.

        Args:
            order: The start.
            incarnation: To whom it was sent.
            now: Steady time in seconds.
        """
        self._drop_old(now)
        self._sent[order.key, order.run] = incarnation, now

    def list_stops(
        self, incarnation: str, now: float
    ) -> list[worker_port.Stop]:
        """Return the stops that an incarnation has to answer.

        Args:
            incarnation: Who may carry out what was sent to those before it.
            now: Steady time in seconds.
        """
        self._drop_old(now)
        return [
            worker_port.Stop(key, run)
            for (key, run), (sent_to, _) in self._sent.items()
            if sent_to != incarnation
        ]

    def is_settled(self, now: float) -> bool:
        """Tell whether no start can be carried out any more."""
        self._drop_old(now)
        return not self._sent

    def _drop_old(self, now: float) -> None:
        self._sent = {
            start: (sent_to, at)
            for start, (sent_to, at) in self._sent.items()
            if now < at + _LATEST_S
        }

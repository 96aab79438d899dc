"""Tickets of the policy service for the workers that may run a step."""

import dataclasses

# A ticket must stay valid for this long. It is sent to the worker with a start
# order, which may be repeated after the order's timeout of 0.35 s.
_MIN_VALIDITY_S = 0.5


@dataclasses.dataclass
class Permits:
    """Answers of the policy service about one step.

    Attributes:
        tickets: Ticket and the end of its validity in steady seconds, by
            worker.
        rejected_workers: Workers that may not run the step.
        asked_at: Steady time of the latest question; None if there was none.
    """

    tickets: dict[str, tuple[str, float]] = dataclasses.field(
        default_factory=dict
    )
    rejected_workers: set[str] = dataclasses.field(default_factory=set)
    asked_at: float | None = None

    def note_answer(
        self,
        asked: tuple[str, ...],
        tickets: dict[str, str],
        valid_until: float,
    ) -> None:
        """Record an answer.

        Args:
            asked: Workers that the question named.
            tickets: Ticket by worker, for those that may run the step.
            valid_until: Steady time in seconds.
        """
        for worker in asked:
            if worker in tickets:
                self.tickets[worker] = tickets[worker], valid_until
                self.rejected_workers.discard(worker)
            else:
                self.rejected_workers.add(worker)

    def find_ticket(self, worker: str, now: float) -> str:
        """Return a ticket that stays valid for a start; empty for none.

        >>> permits = Permits()
        >>> permits.note_answer(("w0", "w1"), {"w0": "t"}, 3.0)
        >>> permits.find_ticket("w0", 1.0), permits.find_ticket("w0", 2.9)
        ('t', '')
        """
        ticket, valid_until = self.tickets.get(worker, ("", 0.0))
        return ticket if now < valid_until - _MIN_VALIDITY_S else ""

    def drop_ticket(self, worker: str) -> None:
        """Remove a ticket that its worker refused."""
        self.tickets.pop(worker, None)

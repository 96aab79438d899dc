"""Tickets of the policy service for one step."""

import dataclasses

# A ticket travels to the worker with a start, which may be sent again after
# an order's timeout of 0.35 s.
_MARGIN_S = 0.5


@dataclasses.dataclass
class Permits:
    """What the policy service has said of one step.

    Attributes:
        tickets: Ticket and end of its validity in steady seconds, by worker.
        turned_down: Workers that may not run the step.
    """

    tickets: dict[str, tuple[str, float]] = dataclasses.field(
        default_factory=dict
    )
    turned_down: set[str] = dataclasses.field(default_factory=set)

    def note_answer(
        self,
        asked: tuple[str, ...],
        tickets: dict[str, str],
        valid_until: float,
    ) -> None:
        """Take an answer.

        Args:
            asked: Workers that the question named.
            tickets: Ticket by worker, for those that may run the step.
            valid_until: Steady time in seconds.
        """
        for worker in asked:
            if worker in tickets:
                self.tickets[worker] = tickets[worker], valid_until
                self.turned_down.discard(worker)
            else:
                self.turned_down.add(worker)

    def find_ticket(self, worker: str, now: float) -> str:
        """Return a ticket that outlasts a start; empty if there is none.

        >>> permits = Permits()
        >>> permits.note_answer(("w0", "w1"), {"w0": "t"}, 3.0)
        >>> permits.find_ticket("w0", 1.0), permits.find_ticket("w0", 2.9)
        ('t', '')
        """
        ticket, until = self.tickets.get(worker, ("", 0.0))
        return ticket if now < until - _MARGIN_S else ""

    def drop_ticket(self, worker: str) -> None:
        """Forget a ticket that its worker refused."""
        self.tickets.pop(worker, None)

"""The policy service in memory, which advised queues ask for workers.

Whether a worker may run a step never changes; tickets are valid for seconds.
Questions are answered one after another, and the time for an answer grows with
the number of workers in the question.
"""

import hashlib

import trio

from crocusrouter import work
from crocusrouter.work import worker_port

_ANSWER_DELAY_S = 0.05
_DELAY_PER_WORKER_S = 0.005
_TICKET_LIFETIME_S = 3.0
_ALLOWED_SHARE = 0.3
_WORKERS = 6
_LARGEST_GANG = 4


def _hash_text(text: str) -> int:
    """Return a number below 0x10000 that depends only on a text."""
    digest = hashlib.blake2b(text.encode(), digest_size=2).digest()
    return int.from_bytes(digest, "big")


class Policy:
    """The policy and the tickets that the service has issued."""

    def __init__(self) -> None:
        self.questions = 0
        self._valid_until: dict[str, float] = {}
        self._answer_lock = trio.Lock()

    def may_run(self, step: work.StepKey, worker: str) -> bool:
        """Tell whether the policy allows a worker to run a step."""
        # Some workers are always allowed, enough for the largest gang: a step
        # that too few workers may run would never end.
        first_allowed = _hash_text(str(step))
        always_allowed = {
            f"w{(first_allowed + n) % _WORKERS}" for n in range(_LARGEST_GANG)
        }
        if worker.partition("+")[0] in always_allowed:
            return True
        return _hash_text(f"{step} {worker}") / 0x10000 < _ALLOWED_SHARE

    async def answer(
        self, step: work.StepKey, workers: tuple[str, ...]
    ) -> worker_port.PolicyAnswer:
        """Answer one question, after all earlier ones."""
        async with self._answer_lock:
            self.questions += 1
            await trio.sleep(
                _ANSWER_DELAY_S + _DELAY_PER_WORKER_S * len(workers)
            )
            valid_until = trio.current_time() + _TICKET_LIFETIME_S
            tickets = {}
            for worker in workers:
                if self.may_run(step, worker):
                    ticket = f"{step} {worker} {valid_until}"
                    self._valid_until[ticket] = valid_until
                    tickets[worker] = ticket
            return worker_port.PolicyAnswer(tickets, _TICKET_LIFETIME_S)

    def is_valid(self, ticket: str, step: work.StepKey, worker: str) -> bool:
        """Tell whether a ticket is valid now for a step on a worker."""
        is_for_step = ticket.startswith(f"{step} {worker} ")
        return is_for_step and trio.current_time() <= self._valid_until.get(
            ticket, 0.0
        )


class PolicyView:
    """The service as one entry calls it; implements `PolicyPort`."""

    def __init__(self, policy: Policy) -> None:
        self._policy = policy

    async def advise(
        self, step: work.StepKey, workers: tuple[str, ...], timeout_s: float
    ) -> worker_port.PolicyAnswer | worker_port.NoAnswer:
        """Ask which of the given workers may run a step."""
        return await self._policy.answer(step, workers)

    async def aclose(self) -> None:
        """Do nothing: there is no connection to close."""

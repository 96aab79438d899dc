"""The policy service of advised queues in memory.

Whether a worker may run a step is fixed; tickets hold for seconds. Questions
are answered in turn, each more slowly the more workers it names.
"""

import hashlib

import trio

from crocusrouter import work
from crocusrouter.work import worker_port

_DECIDE_S = 0.05
_PER_WORKER_S = 0.005
_VALID_S = 3.0
_SHARE_ALLOWED = 0.3
_HOSTS = 6
_LARGEST_GANG = 4


def _draw(text: str) -> int:
    """Return a number under 0x10000 that depends on a text alone."""
    digest = hashlib.blake2b(text.encode(), digest_size=2).digest()
    return int.from_bytes(digest, "big")


class Policy:
    """What the service knows, and the tickets that it has given out."""

    def __init__(self) -> None:
        self.questions = 0
        self._until: dict[str, float] = {}
        self._turn = trio.Lock()

    def may_run(self, step: work.StepKey, worker: str) -> bool:
        """Tell whether the policy allows a worker to run a step."""
        # Enough hosts are always allowed for the largest gang: a step that too
        # few may run never ends.
        first = _draw(str(step))
        homes = {f"w{(first + n) % _HOSTS}" for n in range(_LARGEST_GANG)}
        if worker.partition("+")[0] in homes:
            return True
        return _draw(f"{step} {worker}") / 0x10000 < _SHARE_ALLOWED

    async def answer(
        self, step: work.StepKey, workers: tuple[str, ...]
    ) -> worker_port.PolicyAnswer:
        """Answer one question after those that came before."""
        async with self._turn:
            self.questions += 1
            await trio.sleep(_DECIDE_S + _PER_WORKER_S * len(workers))
            until = trio.current_time() + _VALID_S
            tickets = {}
            for worker in workers:
                if self.may_run(step, worker):
                    ticket = f"{step} {worker} {until}"
                    self._until[ticket] = until
                    tickets[worker] = ticket
            return worker_port.PolicyAnswer(tickets, _VALID_S)

    def is_valid(self, ticket: str, step: work.StepKey, worker: str) -> bool:
        """Tell whether a start may carry this ticket now."""
        fits = ticket.startswith(f"{step} {worker} ")
        return fits and trio.current_time() <= self._until.get(ticket, 0.0)


class PolicyView:
    """The service as one entry meets it; implements `PolicyPort`."""

    def __init__(self, policy: Policy) -> None:
        self._policy = policy

    async def advise(
        self, step: work.StepKey, workers: tuple[str, ...], timeout_s: float
    ) -> worker_port.PolicyAnswer | worker_port.NoAnswer:
        """Ask which of some workers may run a step."""
        return await self._policy.answer(step, workers)

    async def aclose(self) -> None:
        """Close nothing."""

"""Asks the policy service which workers may run the steps in turn."""

from collections.abc import Callable

import trio

from crocusrouter import work
from crocusrouter.pools import clock
from crocusrouter.telemetry import log
from crocusrouter.work import incarnations
from crocusrouter.work import worker_port

# An answer takes the service's fixed time and some more for each of at most
# thirty workers; past this it is taken for lost.
_ANSWER_TIMEOUT_S = 3.0
_RETRY_S = 0.25
# Tickets end without an event that would wake the advisor.
_TICK_S = 0.25


class Advisor:
    """Asks one question at a time; the service takes no more of one VM."""

    def __init__(
        self,
        policy: worker_port.PolicyPort | None,
        book: work.PoolState,
        times: clock.Clock,
        changed: Callable[[], None],
    ) -> None:
        """Prepare an advisor.

        Args:
            policy: The service; None if the settings name none.
            book: Keeps the answers.
            times: The present time.
            changed: Called when an answer has come.
        """
        self._policy = policy
        self._book = book
        self._times = times
        self._changed = changed
        self._wake = trio.Event()

    def wake(self) -> None:
        """Say that there may be something to ask."""
        self._wake.set()

    async def run(self) -> None:
        """Ask whatever the next step in turn needs, until cancelled."""
        try:
            while True:
                question = work.choose_question(
                    self._book, self._times.steady(), self._times.wall()
                )
                if question is not None:
                    await self._ask(question)
                    continue
                with trio.move_on_after(_TICK_S):
                    await self._wake.wait()
                self._wake = trio.Event()
        finally:
            if self._policy is not None:
                with trio.CancelScope(shield=True):
                    await self._policy.aclose()

    async def _ask(self, question: work.PolicyQuestion) -> None:
        step = question.step
        if self._policy is None:
            log("policy:no-address", step=step, remedy="set policy_address")
            await trio.sleep(_ANSWER_TIMEOUT_S)
            return
        by_worker = {
            incarnations.find_worker(name): name for name in question.workers
        }
        answer = await self._policy.advise(
            step, tuple(by_worker), _ANSWER_TIMEOUT_S
        )
        if isinstance(answer, worker_port.NoAnswer):
            log("policy:no-answer", step=step, cause=answer.cause)
            await trio.sleep(_RETRY_S)
            return
        log(
            "policy:answered",
            step=step,
            asked=len(question.workers),
            allowed=sorted(answer.tickets),
            valid_s=answer.valid_s,
        )
        held = self._book.find_tracked_step(step)
        if held is None:
            return
        valid_until = self._times.steady() + answer.valid_s
        # A ticket ends with the incarnation that it was given for.
        tickets = {
            by_worker[worker]: ticket
            for worker, ticket in answer.tickets.items()
            if worker in by_worker
        }
        held.permits.note_answer(question.workers, tickets, valid_until)
        self._changed()

"""Asks the policy service which workers may run the next steps."""

from collections.abc import Callable

import trio

from crocusrouter import work
from crocusrouter.pools import clocks
from crocusrouter.telemetry import log
from crocusrouter.work import incarnations
from crocusrouter.work import worker_port

# An answer takes the service's fixed time plus some time for each of at most
# thirty workers; a later answer is considered lost.
_ANSWER_TIMEOUT_S = 3.0
_RETRY_DELAY_S = 0.25
# Tickets expire without an event that would wake the advisor.
_CHECK_INTERVAL_S = 0.25


class Advisor:
    """Asks one question at a time; the service accepts no more from one VM."""

    def __init__(
        self,
        policy: worker_port.PolicyPort | None,
        pool_state: work.PoolState,
        clock: clocks.Clock,
        on_change: Callable[[], None],
    ) -> None:
        """Prepare an advisor.

        Args:
            policy: The policy service; None if the settings name none.
            pool_state: Keeps the answers.
            clock: Source of the current time.
            on_change: Called when an answer has arrived.
        """
        self._policy = policy
        self._pool_state = pool_state
        self._clock = clock
        self._on_change = on_change
        self._wake_event = trio.Event()
        # Whether the next question goes by turns, not by the planner's order.
        self._takes_turns = False

    def wake(self) -> None:
        """Check again whether there is a question to ask."""
        self._wake_event.set()

    async def run(self) -> None:
        """Ask the questions of the next steps until cancelled."""
        try:
            while True:
                question = work.choose_question(
                    self._pool_state,
                    self._clock.steady(),
                    self._clock.wall(),
                    takes_turns=self._takes_turns,
                )
                if question is not None:
                    self._takes_turns = (
                        question.is_repeated and not self._takes_turns
                    )
                    self._note_asked(question.step)
                    await self._ask(question)
                    continue
                with trio.move_on_after(_CHECK_INTERVAL_S):
                    await self._wake_event.wait()
                self._wake_event = trio.Event()
        finally:
            if self._policy is not None:
                with trio.CancelScope(shield=True):
                    await self._policy.aclose()

    def _note_asked(self, step: work.StepKey) -> None:
        step_work = self._pool_state.find_tracked_step(step)
        if step_work is not None:
            step_work.permits.asked_at = self._clock.steady()

    async def _ask(self, question: work.PolicyQuestion) -> None:
        step = question.step
        if self._policy is None:
            log("policy:no-address", step=step, remedy="set policy_address")
            await trio.sleep(_ANSWER_TIMEOUT_S)
            return
        incarnation_by_worker = {
            incarnations.find_worker(incarnation): incarnation
            for incarnation in question.workers
        }
        answer = await self._policy.advise(
            step, tuple(incarnation_by_worker), _ANSWER_TIMEOUT_S
        )
        if isinstance(answer, worker_port.NoAnswer):
            log("policy:no-answer", step=step, cause=answer.cause)
            await trio.sleep(_RETRY_DELAY_S)
            return
        log(
            "policy:answered",
            step=step,
            asked=len(question.workers),
            allowed=sorted(answer.tickets),
            valid_s=answer.valid_s,
        )
        step_work = self._pool_state.find_tracked_step(step)
        if step_work is None:
            return
        valid_until = self._clock.steady() + answer.valid_s
        # A ticket is valid only for the incarnation for which it was requested.
        tickets = {
            incarnation_by_worker[worker_id]: ticket
            for worker_id, ticket in answer.tickets.items()
            if worker_id in incarnation_by_worker
        }
        step_work.permits.note_answer(question.workers, tickets, valid_until)
        self._on_change()

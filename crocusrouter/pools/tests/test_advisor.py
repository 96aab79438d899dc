"""Tests for the workers asked about and the incarnations tickets apply to."""

import trio

from crocusrouter import work
from crocusrouter.pools import advisor
from crocusrouter.pools import clocks
from crocusrouter.work import worker_port
from crocusrouter.work.tests import build


class _Policy:
    """Allows every worker that it is asked about, and one more."""

    def __init__(self):
        self.asked = []

    async def advise(self, step, workers, timeout_s):
        self.asked.append(workers)
        tickets = {worker: f"for {worker}" for worker in (*workers, "w9")}
        return worker_port.PolicyAnswer(tickets, 3.0)

    async def aclose(self):
        pass


async def test_ticket_is_valid_only_for_the_requested_incarnation(
    autojump_clock,
):
    """A ticket is valid for one process; the worker's next one refused it."""
    job = build.make_job("j", build.make_step(1), advised=True)
    pool_state = build.make_pool_state(job, workers=("w0@5",))
    clock = clocks.Clock(trio.current_time, lambda: build.WALL)
    policy = _Policy()
    policy_advisor = advisor.Advisor(policy, pool_state, clock, lambda: None)
    with trio.move_on_after(1.0):
        await policy_advisor.run()
    assert policy.asked[0] == ("w0",)
    permits = pool_state.find_tracked_step(work.StepKey("j", 0, 0)).permits
    now = trio.current_time()
    assert permits.find_ticket("w0@5", now) == "for w0"
    assert not permits.find_ticket("w0@7", now)
    assert not permits.find_ticket("w9", now)

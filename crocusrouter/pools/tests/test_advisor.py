"""Tests for the workers asked about and the incarnations tickets apply to."""

import itertools

import pytest
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


class _SlowPolicy:
    """Allows some workers; takes time for each worker that it is asked about.

    Attributes:
        asked: The time and the job of each question.
    """

    def __init__(self, allowed):
        self.asked = []
        self._allowed = allowed

    async def advise(self, step, workers, timeout_s):
        self.asked.append((trio.current_time(), step.job))
        await trio.sleep(0.05 + 0.02 * len(workers))
        tickets = {worker: "t" for worker in workers if worker in self._allowed}
        return worker_port.PolicyAnswer(tickets, 3.0)

    async def aclose(self):
        pass


# Guards against a job that nobody asks about beside free workers: gangs before
# it can't start on the workers that the policy allows, and need new tickets
# every 2.5 s, for ever.
@pytest.mark.parametrize("gangs", [4, 8, 12])
async def test_gangs_that_lack_workers_leave_questions_to_other_steps(
    gangs, autojump_clock
):
    names = [f"w{number:02}" for number in range(40)]
    pool_state = build.make_pool_state(
        workers=tuple(f"{name}@5" for name in names)
    )
    gang = build.make_step(20, gpu=8, gang=True)
    for number in range(gangs):
        job = build.make_job(f"g{number:02}", gang, advised=True)
        build.add_job(pool_state, job)
    clock = clocks.Clock(
        trio.current_time, lambda: build.WALL + trio.current_time()
    )
    policy = _SlowPolicy(names[:15])
    policy_advisor = advisor.Advisor(policy, pool_state, clock, lambda: None)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(policy_advisor.run)
        await trio.sleep(20.0)
        job = build.make_job(
            "small", build.make_step(1), advised=True, priority=2
        )
        build.add_job(pool_state, job)
        await trio.sleep(20.0)
        nursery.cancel_scope.cancel()
    asked_at = [at for at, job_id in policy.asked if job_id == "small"]
    assert asked_at
    assert asked_at[0] < 20.0 + 2.0
    gaps_s = [
        later - earlier
        for earlier, later in itertools.pairwise([*asked_at, 40.0])
    ]
    # Its ticket is valid for 2.5 s of them.
    assert max(gaps_s) < 2.5 + 2.0
    # The gangs are still asked about, each in its turn.
    late_jobs = {job_id for at, job_id in policy.asked if at > 20.0}
    assert len(late_jobs) == gangs + 1

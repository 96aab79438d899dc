"""What is asked of the policy service, and whom its tickets are for."""

import trio

from crocusrouter import work
from crocusrouter.pools import advisor
from crocusrouter.pools import clock
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


async def test_ticket_is_for_the_incarnation_that_was_asked_for(
    autojump_clock,
):
    """A ticket ends with its process; the next one refused it."""
    job = build.make_job("j", build.make_step(1), advised=True)
    book = build.make_pool_state(job, workers=("w0@5",))
    times = clock.Clock(trio.current_time, lambda: build.WALL)
    policy = _Policy()
    asking = advisor.Advisor(policy, book, times, lambda: None)
    with trio.move_on_after(1.0):
        await asking.run()
    assert policy.asked[0] == ("w0",)
    permits = book.find_tracked_step(work.StepKey("j", 0, 0)).permits
    now = trio.current_time()
    assert permits.find_ticket("w0@5", now) == "for w0"
    assert not permits.find_ticket("w0@7", now)
    assert not permits.find_ticket("w9", now)

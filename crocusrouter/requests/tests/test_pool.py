import dataclasses
import random

import pytest
import trio

from crocusrouter.fleet import Role
from crocusrouter.fleet import Vm
from crocusrouter.fleet import VmState
from crocusrouter.outcomes import RefusalReason
from crocusrouter.outcomes import RefusedError
from crocusrouter.requests import pool

_VM = Vm("run0", Role.RUNNER, "127.0.0.1:1", "dc", service="matching", slots=1)


def _open_pool(service_s=1.0, **fields):
    runners = pool.RunnerPool(random.Random(1))
    runners.set_runners([dataclasses.replace(_VM, **fields)])
    [runner] = runners._runners["matching"].values()
    runner.load = dataclasses.replace(runner.load, service_s=service_s)
    return runners


# The caller waits 1.5 s. The only slot is taken for another second, and the
# answer takes one as well. Let in, the request would get the slot with half a
# second left and use it for an answer that nobody awaits; under overload half
# of the capacity went that way. It is refused at once instead.
@pytest.mark.parametrize(
    ("left_s", "refused"), [(0.5, True), (1.5, True), (2.5, False)]
)
async def test_slot_that_comes_too_late(autojump_clock, left_s, refused):
    runners = _open_pool()
    first = await runners.acquire("matching", frozenset(), 1e9)
    started_at = trio.current_time()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_release_after, runners, first, 1.0)
        deadline = started_at + left_s
        if not refused:
            await runners.acquire("matching", frozenset(), deadline)
            return
        with pytest.raises(RefusedError) as caught:
            await runners.acquire("matching", frozenset(), deadline)
        refusal = caught.value.refusal
        assert refusal.reason is RefusalReason.DEADLINE_UNMEETABLE
        assert refusal.retry_after_s > 0
        assert trio.current_time() == started_at


async def _release_after(runners, runner, seconds):
    await trio.sleep(seconds)
    runners.release(runner)


async def test_slots_go_first_come_first_served(autojump_clock):
    runners = _open_pool(service_s=0.1)
    first = await runners.acquire("matching", frozenset(), 1e9)
    order = []

    async def wait(number):
        runner = await runners.acquire("matching", frozenset(), 1e9)
        order.append(number)
        await trio.sleep(0.1)
        runners.release(runner)

    async with trio.open_nursery() as nursery:
        for number in range(5):
            nursery.start_soon(wait, number)
            await trio.sleep(0.01)
        runners.release(first)
    assert order == [0, 1, 2, 3, 4]


async def test_caller_that_hangs_up_leaves_the_queue(autojump_clock):
    runners = _open_pool()
    first = await runners.acquire("matching", frozenset(), 1e9)
    with trio.move_on_after(0.5):
        await runners.acquire("matching", frozenset(), 1e9)
    runners.release(first)
    again = await runners.acquire("matching", frozenset(), 1e9)
    assert again.runner.load.in_flight == 1


async def test_leaving_runner_is_no_endpoint(autojump_clock):
    runners = _open_pool(state=VmState.LEAVING)
    with pytest.raises(RefusedError) as caught:
        await runners.acquire("matching", frozenset(), 1e9)
    assert caught.value.refusal.reason is RefusalReason.NO_ENDPOINT

"""Waiting for slots of runners: deadlines, order and cancellation."""

import dataclasses
import random

import pytest
import trio

from crocusrouter.fleet import Role
from crocusrouter.fleet import Vm
from crocusrouter.fleet import VmState
from crocusrouter.outcomes import RefusalReason
from crocusrouter.outcomes import RefusedError
from crocusrouter.requests import runner_pool

_VM = Vm("run0", Role.RUNNER, "127.0.0.1:1", "dc", service="matching", slots=1)


def _create_pool(service_time_s=1.0, **vm_fields):
    runners = runner_pool.RunnerPool(random.Random(1))
    runners.set_runners([dataclasses.replace(_VM, **vm_fields)])
    [runner] = runners._runners_by_service["matching"].values()
    runner.load = dataclasses.replace(
        runner.load, service_time_s=service_time_s
    )
    return runners


# The only slot is in use for another second, and an answer takes a second
# too. If a request with a deadline of 1.5 s waited, it would get the slot with
# half a second left and occupy it for an answer that nobody waits for. Under
# overload, half of the capacity was lost that way, so the request is refused
# at once.
@pytest.mark.parametrize(
    ("left_s", "refused"), [(0.5, True), (1.5, True), (2.5, False)]
)
async def test_request_is_refused_if_slot_comes_too_late(
    autojump_clock, left_s, refused
):
    runners = _create_pool()
    slot = await runners.acquire_slot("matching", frozenset(), 1e9)
    started_at = trio.current_time()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_release_after, runners, slot, 1.0)
        deadline = started_at + left_s
        if not refused:
            await runners.acquire_slot("matching", frozenset(), deadline)
            return
        with pytest.raises(RefusedError) as caught:
            await runners.acquire_slot("matching", frozenset(), deadline)
        refusal = caught.value.refusal
        assert refusal.reason is RefusalReason.DEADLINE_UNMEETABLE
        assert refusal.retry_after_s > 0
        assert trio.current_time() == started_at


async def _release_after(runners, slot, seconds):
    await trio.sleep(seconds)
    runners.release_slot(slot)


async def test_slots_are_granted_in_fifo_order(autojump_clock):
    runners = _create_pool(service_time_s=0.1)
    first_slot = await runners.acquire_slot("matching", frozenset(), 1e9)
    order = []

    async def use_slot(number):
        slot = await runners.acquire_slot("matching", frozenset(), 1e9)
        order.append(number)
        await trio.sleep(0.1)
        runners.release_slot(slot)

    async with trio.open_nursery() as nursery:
        for number in range(5):
            nursery.start_soon(use_slot, number)
            await trio.sleep(0.01)
        runners.release_slot(first_slot)
    assert order == [0, 1, 2, 3, 4]


async def test_cancelled_caller_leaves_the_queue(autojump_clock):
    runners = _create_pool()
    first_slot = await runners.acquire_slot("matching", frozenset(), 1e9)
    with trio.move_on_after(0.5):
        await runners.acquire_slot("matching", frozenset(), 1e9)
    runners.release_slot(first_slot)
    second_slot = await runners.acquire_slot("matching", frozenset(), 1e9)
    assert second_slot.runner.load.in_flight == 1


async def test_leaving_runner_gets_no_requests(autojump_clock):
    runners = _create_pool(state=VmState.LEAVING)
    with pytest.raises(RefusedError) as caught:
        await runners.acquire_slot("matching", frozenset(), 1e9)
    assert caught.value.refusal.reason is RefusalReason.NO_ENDPOINT

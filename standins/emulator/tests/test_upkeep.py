"""Waves of upkeep end whole and within limits, also if their holder fails."""

import pytest
import trio

from crocusrouter import work
from crocusrouter.work import vms
from standins import emulator
from standins.emulator import vms as vm_control

_STATUS = "status/wave/1"
_WAVE_LIMIT_S = 90.0


def _make_lasting(count, may_miss):
    step = work.Step(
        count, work.Room(1000, 1000, 4), lasting=True, may_miss=may_miss
    )
    return work.Job(
        "00000000000000aa",
        "q",
        emulator.cluster.POOL,
        "a",
        1,
        3,
        2.0,
        1.0,
        "lasting",
        (step,),
        1_700_000_000.0,
    )


def _is_completed(cluster):
    record = cluster.store.items.get(_STATUS)
    return record is not None and record.value == b"completed"


async def _play(cluster, disturb, job=None):
    """Order a wave of four VMs, two at once, and wait until it is over."""
    async with trio.open_nursery() as nursery:
        await nursery.start(cluster.run)
        await trio.sleep(2.0)
        if job is not None:
            assert await cluster.submit(job) == "accepted"
        await trio.sleep(6.0)
        wave = vms.Wave(1, frozenset({"w0", "w1", "w2", "w3"}), 20.0, 2)
        cluster.vms.most_at_once = wave.most_at_once
        cluster.store.put(
            f"{vm_control.WAVES_PREFIX}1", vm_control.dump_wave(wave)
        )
        nursery.start_soon(disturb, cluster)
        with trio.move_on_after(_WAVE_LIMIT_S):
            while not _is_completed(cluster):
                await trio.sleep(0.25)
        nursery.cancel_scope.cancel()


async def _do_nothing(cluster):
    pass


async def _kill_holder(cluster):
    await trio.sleep(1.2)
    for _ in range(2):
        owner = cluster.find_owner()
        if owner is not None:
            cluster.kill_entry(owner)
        await trio.sleep(5.0)
        if owner is not None:
            cluster.start_entry(owner)


async def _stop_holder_beside_cut_workers(cluster):
    await trio.sleep(1.2)
    for worker in cluster.workers.values():
        worker.unreachable_from = set(cluster.entry_names)
    owner = cluster.find_owner()
    await cluster.entries[owner].release_all()
    cluster.kill_entry(owner)
    await trio.sleep(5.5)
    for worker in cluster.workers.values():
        worker.unreachable_from = set()
    cluster.start_entry(owner)


async def _lose_answers(cluster):
    cluster.vms.lost_answer_share = 0.5


# Operators see the wave reported as completed while a VM has not had its
# upkeep, or more VMs down at once than they allowed. The holder is killed
# between an order and its record, or an order is carried out but its answer is
# lost.
@pytest.mark.parametrize("disturb", [_do_nothing, _kill_holder, _lose_answers])
async def test_wave_ends_whole_and_within_its_limit(disturb, autojump_clock):
    cluster = emulator.Cluster(5)
    await _play(cluster, disturb)
    assert cluster.oracle.broken == []
    assert _is_completed(cluster)
    assert cluster.vms.upkeep_begun == {"w0", "w1", "w2", "w3"}


# Users of a lasting task lose it: its VM goes down while too many other tasks
# of the step are down. Tasks must move one by one, each only after the one
# before is at work again. A new owner doesn't know what runs on a worker that
# has not answered it yet.
@pytest.mark.parametrize(
    "disturb", [_do_nothing, _kill_holder, _stop_holder_beside_cut_workers]
)
async def test_wave_keeps_tasks_that_last_at_work(disturb, autojump_clock):
    cluster = emulator.Cluster(6)
    await _play(cluster, disturb, _make_lasting(6, 1))
    assert cluster.oracle.broken == []
    assert cluster.vms.upkeep_begun == {"w0", "w1", "w2", "w3"}

"""Days on which callers cancel many jobs whose tasks run."""

import dataclasses
import os

import pytest
import trio
import trio.testing

from crocusrouter import work
from standins import emulator
from standins import fuzzing
from standins.emulator import cluster as clusters
from standins.emulator import faults

_SEED_COUNT = int(os.environ.get("CROCUSROUTER_DAYS", "1"))
_LENGTH_S = 7.0
_MIXED = emulator.Load(
    2.0, _LENGTH_S, cancels=0.8, duration_factor=3.0, lasting=0.5
)
_LOADS = {
    "mixed": _MIXED,
    "gangs": dataclasses.replace(_MIXED, gangs=0.8),
    "advised": dataclasses.replace(_MIXED, gangs=0.1, advised=0.3),
    "crashing": dataclasses.replace(_MIXED, gangs=0.1, crashing=0.15),
}
# A crash of a worker is an impairment, so days with jobs that crash workers
# judge few cancels.
_CALM_LOADS = ("mixed", "gangs", "advised")
_KINDS = tuple(emulator.Fault)
_DISTANCE_IN_PAIRS = 7
_LEAST_JUDGED = 3
_ROOM = work.Room(1000, 4096, 1)


def _play_in_order(order, seed, load, events):
    """Play a day in a fixed order of the tasks that are ready together."""
    clock = trio.testing.MockClock(autojump_threshold=0)
    with fuzzing.fix_schedule(order):
        return trio.run(emulator.play, seed, load, events, clock=clock)


# A task of a cancelled job runs on, on a calm day.
@pytest.mark.parametrize("seed", range(_SEED_COUNT))
@pytest.mark.parametrize("name", _CALM_LOADS)
def test_calm_days_with_cancels_keep_the_rules(name, seed):
    order = _CALM_LOADS.index(name)
    oracle = _play_in_order(order, seed, _LOADS[name], []).oracle
    assert oracle.broken == []
    assert oracle.judged_cancels >= 8


# A task of a cancelled job runs on, or starts, after faults of one kind.
@pytest.mark.parametrize("seed", range(_SEED_COUNT))
@pytest.mark.parametrize("fault", _KINDS)
def test_days_with_cancels_and_one_kind_of_fault_keep_the_rules(fault, seed):
    number = _KINDS.index(fault) + seed
    load = _LOADS[_CALM_LOADS[number % len(_CALM_LOADS)]]
    events = [faults.FaultEvent(1.0, fault, 1.5)]
    oracle = _play_in_order(number // 3 % 3, number, load, events).oracle
    assert oracle.broken == []
    assert oracle.judged_cancels >= _LEAST_JUDGED


# The same after faults of two kinds, at drawn times.
@pytest.mark.parametrize("seed", range(_SEED_COUNT))
@pytest.mark.parametrize("number", range(0, len(_KINDS), 5))
def test_days_with_cancels_and_two_kinds_of_faults_keep_the_rules(number, seed):
    other = (number + _DISTANCE_IN_PAIRS) % len(_KINDS)
    kinds = [_KINDS[number], _KINDS[other]]
    events = emulator.choose_faults(number + seed, 3, _LENGTH_S, kinds)
    load = list(_LOADS.values())[number % len(_LOADS)]
    oracle = _play_in_order(number % 3, number + seed, load, events).oracle
    assert oracle.broken == []


# The same after faults of all kinds.
def test_days_with_cancels_and_all_kinds_of_faults_keep_the_rules():
    broken = []
    judged_count = 0
    for seed in range(4 * _SEED_COUNT):
        events = emulator.choose_faults(seed, 2, _LENGTH_S, _KINDS)
        load = list(_LOADS.values())[seed % len(_LOADS)]
        oracle = _play_in_order(seed % 3, seed, load, events).oracle
        broken += [f"seed {seed}: {line}" for line in oracle.broken]
        judged_count += oracle.judged_cancels
    assert broken == []
    assert judged_count >= 8 * _SEED_COUNT


def _build_job(job_id, *steps):
    return work.Job(
        job_id, "q", clusters.POOL, "a", 1, 3, 1.0, 1.0, "", steps, 0.0
    )


async def _delay_orders(cluster):
    for worker in cluster.workers.values():
        worker.late_order_share = 1.0
    await trio.sleep(0.5)
    for worker in cluster.workers.values():
        worker.late_order_share = 0.0


async def _restart_owner(cluster):
    owner = cluster.find_owner()
    cluster.kill_entry(owner)
    await trio.sleep(1.5)
    cluster.start_entry(owner)


# A stop is lost or comes late, or no owner knows a cancelled job's runs.
@pytest.mark.parametrize("disturb", [_delay_orders, _restart_owner])
async def test_lasting_tasks_end_after_a_cancel_beside_a_fault(
    disturb, autojump_clock
):
    cluster = emulator.Cluster(5)
    step = work.Step(2, _ROOM, lasting=True)
    jobs = [_build_job(f"{number:016x}", step) for number in range(6)]
    async with trio.open_nursery() as nursery:
        await nursery.start(cluster.run)
        await trio.sleep(2.0)
        for job in jobs:
            await cluster.submit(job)
        await trio.sleep(3.0)
        nursery.start_soon(disturb, cluster)
        await trio.sleep(0.1)
        for job in jobs:
            nursery.start_soon(cluster.cancel_until_confirmed, job.id, 0)
        await trio.sleep(20.0)
        nursery.cancel_scope.cancel()
    assert cluster.oracle.broken == []
    assert cluster.oracle.judged_cancels == 12


async def _wait_until(is_met):
    with trio.fail_after(30.0):
        while not is_met():
            await trio.sleep(0.05)


# A gang is done on a worker that is cut off, and runs again elsewhere. When its
# end is learnt, nobody stops the second run, not even if the job is cancelled.
@pytest.mark.parametrize("later_steps", [0, 1])
async def test_second_run_of_a_done_gang_ends_after_a_cancel(
    later_steps, autojump_clock
):
    cluster = clusters.Cluster(5)
    gang = work.Step(2, _ROOM, 8.0, gang=True)
    later_step = work.Step(1, _ROOM, 30.0, after=(0,))
    job = _build_job("0" * 16, gang, *[later_step] * later_steps)
    async with trio.open_nursery() as nursery:
        await nursery.start(cluster.run)
        await trio.sleep(2.0)
        await cluster.submit(job)
        await trio.sleep(7.0)
        cut = [worker for worker in cluster.workers.values() if worker.tasks]
        others = [w for w in cluster.workers.values() if w not in cut]
        for worker in cut:
            worker.unreachable_from = set(cluster.entry_names)
        await _wait_until(lambda: any(worker.tasks for worker in others))
        for worker in cut:
            worker.unreachable_from = set()
        # The end is learnt meanwhile; the second run would last 5 s more.
        await trio.sleep(3.0)
        await cluster.cancel(job.id)
        await trio.sleep(6.0)
        nursery.cancel_scope.cancel()
    assert cluster.oracle.broken == []
    assert not any(worker.tasks for worker in others)

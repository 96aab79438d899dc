"""Days on which queues move to another service."""

import functools
import os
import random

import pytest
import trio
import trio.testing

from crocusrouter import work
from standins import emulator
from standins import fuzzing
from standins.emulator import cluster as clusters
from standins.emulator import faults

_SEED_COUNT = int(os.environ.get("CROCUSROUTER_DAYS", "3"))
_LENGTH_S = 12.0
_LEAVES_AFTER_S = 4.0
# Four tasks fill a worker.
_ROOM = work.Room(7000, 30_000, 2)
_FORMER = clusters.POOL
_PRESENT = clusters.OTHER_POOL
_KINDS = tuple(emulator.Fault)


def _make_step(count, **overrides):
    return work.Step(count, _ROOM, **({"expected_s": 2.5} | overrides))


_STEPS = {
    "waiting": [_make_step(4)],
    "with-ended-tasks": [
        _make_step(2, expected_s=0.4),
        _make_step(4, after=(0,)),
    ],
    "half-running": [_make_step(6)],
    "lasting": [_make_step(4, lasting=True)],
    "gangs": [_make_step(4, gang=True)],
    "resuming": [_make_step(4, expected_s=6.0, checkpoints=True)],
    "repeated": [_make_step(4, expected_s=1.0)],
}


def _make_job(number, kind):
    repeats = {"repeats": 3, "interval_s": 2.0} if kind == "repeated" else {}
    return work.Job(
        f"{number:016x}",
        "q",
        _FORMER,
        "a",
        1,
        3,
        2.0,
        1.0,
        "",
        tuple(_STEPS[kind]),
        1_700_000_000.0,
        first_due=1_700_000_004.0,
        **repeats,
    )


async def _do_nothing(cluster):
    del cluster


async def _kill_former_owner(cluster):
    await trio.sleep(0.2)
    name = cluster.find_owner(_FORMER)
    cluster.kill_entry(name)
    await trio.sleep(1.0)
    cluster.start_entry(name)


async def _kill_both_owners(cluster):
    await trio.sleep(0.05)
    names = {cluster.find_owner(pool) for pool in (_FORMER, _PRESENT)}
    for name in names:
        cluster.kill_entry(name)
    await trio.sleep(1.0)
    for name in names:
        cluster.start_entry(name)


async def _kill_present_owner_late(cluster):
    await trio.sleep(3.0)
    name = cluster.find_owner(_PRESENT)
    cluster.kill_entry(name)
    await trio.sleep(1.0)
    cluster.start_entry(name)


async def _move_in_series(cluster):
    for pool in (_FORMER, _PRESENT, _FORMER, _PRESENT):
        await trio.sleep(0.3)
        cluster.move_queue(pool)


async def _lose_writes(cluster):
    cluster.store.fault = emulator.StoreFault.LATE
    await trio.sleep(1.5)
    cluster.store.fault = emulator.StoreFault.NONE


async def _drop_former_service(cluster):
    cluster.move_queue(_PRESENT, drops_former=True)
    await trio.sleep(0.1)
    name = cluster.find_owner(_FORMER)
    cluster.kill_entry(name)
    await trio.sleep(1.0)
    cluster.start_entry(name)


_TROUBLES = {
    "in-calm": _do_nothing,
    "former-owner-killed": _kill_former_owner,
    "both-owners-killed": _kill_both_owners,
    "present-owner-killed": _kill_present_owner_late,
    "moved-in-series": _move_in_series,
    "late-writes": _lose_writes,
    "former-service-dropped": _drop_former_service,
}


async def _leave(cluster, name):
    """Let a worker drain and leave, as a planned shutdown does."""
    cluster.drain_worker(name)
    await trio.sleep(_LEAVES_AFTER_S)
    cluster.crash_worker(name)


async def _play_move(kind, trouble, *, leaves):
    """Fill the former service with jobs, move their queue, and wait."""
    cluster = emulator.Cluster(
        3, worker_count=1, other_worker_count=4, workers_per_rack=2
    )
    async with trio.open_nursery() as nursery:
        await nursery.start(cluster.run)
        await trio.sleep(3.0)
        for number in range(4):
            await cluster.submit(_make_job(number, kind))
        await trio.sleep(1.0)
        cluster.move_queue(_PRESENT)
        async with trio.open_nursery() as disturbances:
            disturbances.start_soon(trouble, cluster)
            if leaves:
                await trio.sleep(2.0)
                await _leave(cluster, "w0")
        cluster.standing_oracle.note_traffic_ended(trio.current_time())
        await trio.sleep(35.0)
        running = [
            key for worker in cluster.workers.values() for key in worker.tasks
        ]
        states = await cluster.read_states()
        nursery.cancel_scope.cancel()
    cluster.oracle.broken += cluster.list_owner_failures()
    cluster.oracle.broken += cluster.standing_oracle.broken
    if kind != "lasting":
        cluster.oracle.check_final_states(states)
    return cluster, states, running


# Guards against jobs that stay with the former service of their queue for good
# once its workers have left.
@pytest.mark.parametrize("trouble", _TROUBLES)
@pytest.mark.parametrize("kind", _STEPS)
async def test_jobs_follow_their_queue_to_another_service(
    kind, trouble, autojump_clock
):
    cluster, states, running = await _play_move(
        kind, _TROUBLES[trouble], leaves=True
    )
    assert cluster.oracle.broken == []
    if kind == "lasting":
        assert set(states.values()) == {"running"}
        assert len(running) == 16
    else:
        assert set(states.values()) == {"done"}


# Guards against runs that a move of their queue interrupts or starts again.
@pytest.mark.parametrize("trouble", _TROUBLES)
@pytest.mark.parametrize("kind", ["half-running", "lasting", "gangs"])
async def test_runs_of_a_moved_queue_go_on(kind, trouble, autojump_clock):
    cluster, states, running = await _play_move(
        kind, _TROUBLES[trouble], leaves=False
    )
    assert cluster.oracle.broken == []
    if kind == "lasting":
        assert len(running) == len(set(running)) == 16
        assert len(cluster.workers["w0"].tasks) == 4
    else:
        assert set(states.values()) == {"done"}


def _draw_moves(seed):
    """Draw moves of the queue in series, and workers that leave beside them."""
    rng = random.Random(f"moves {seed}")
    pool = _FORMER
    at = 1.0
    operations = []
    while at < _LENGTH_S:
        pool = _PRESENT if pool == _FORMER else _FORMER
        drops_former = rng.random() < 0.3
        operations.append(
            (
                at,
                functools.partial(
                    clusters.Cluster.move_queue,
                    pool=pool,
                    drops_former=drops_former,
                ),
            )
        )
        at += rng.choice((0.1, 0.6, 3.0, 5.0))
    return operations


def _play_day(order, seed, events):
    load = emulator.Load(
        1.5, _LENGTH_S, cancels=0.2, crashing=0.05 if seed % 3 == 0 else 0.0
    )
    clock = trio.testing.MockClock(autojump_threshold=0)
    play = functools.partial(
        emulator.play,
        worker_count=4,
        other_worker_count=4,
        workers_per_rack=2,
        operations=_draw_moves(seed),
    )
    with fuzzing.fix_schedule(order):
        return trio.run(play, seed, load, events, clock=clock)


# Guards against jobs that are lost, run twice or told wrongly when their queue
# moves to and fro beside one fault of each kind.
@pytest.mark.parametrize("kind", _KINDS)
def test_days_with_moves_and_one_kind_of_fault_keep_the_rules(kind):
    number = _KINDS.index(kind)
    events = [faults.FaultEvent(2.0, kind, 2.0)]
    assert _play_day(number % 3, number, events).oracle.broken == []


# The same beside drawn faults of all kinds.
@pytest.mark.parametrize("seed", range(_SEED_COUNT))
def test_days_with_moves_and_drawn_faults_keep_the_rules(seed):
    events = emulator.choose_faults(seed, 4, _LENGTH_S, _KINDS)
    assert _play_day(seed % 3, 100 + seed, events).oracle.broken == []


async def _count_and_find(cluster, jobs):
    """Return what all entries tell: the waiting jobs, and the jobs' states."""
    counts = []
    states = []
    for entry in cluster.entries.values():
        pool = cluster.queue_pool
        counts.append(await entry.job_api.count_pending(pool, "q"))
        states.append(
            [str(await entry.job_api.find_state(pool, job.id)) for job in jobs]
        )
    return counts, states


# Guards against a count of 0 and a wrong state of jobs that their former pool
# still schedules, since a worker there has not reported to its new owner.
async def test_jobs_that_have_not_moved_yet_are_counted(autojump_clock):
    cluster = emulator.Cluster(
        3, worker_count=1, other_worker_count=1, workers_per_rack=2
    )
    jobs = [_make_job(number, "lasting") for number in range(4)]
    async with trio.open_nursery() as nursery:
        await nursery.start(cluster.run)
        await trio.sleep(3.0)
        for job in jobs:
            await cluster.submit(job)
        await trio.sleep(1.0)
        assert await _count_and_find(cluster, jobs) == (
            [3] * 4,
            [["running", "queued", "queued", "queued"]] * 4,
        )
        cluster.workers["v0"].drain(trio.current_time())
        cluster.write_worker_entry("v0")
        cluster.workers["w0"].unreachable_from = set(cluster.entry_names)
        cluster.kill_entry(cluster.find_owner(_FORMER))
        cluster.move_queue(_PRESENT)
        await trio.sleep(2.6)
        counts, states = await _count_and_find(cluster, jobs)
        assert counts == [4] * 3
        cluster.workers["w0"].unreachable_from = set()
        await trio.sleep(3.0)
        counts, states = await _count_and_find(cluster, jobs)
        assert counts == [3] * 3
        assert states == [["running", "queued", "queued", "queued"]] * 3
        nursery.cancel_scope.cancel()
    assert cluster.oracle.broken == []

"""Workers whose entries in the platform's list another writer overwrites."""

import pytest
import trio

from crocusrouter import work
from standins import emulator
from standins.emulator import cluster as clusters

_NOBODY = "nobody:1"
_OTHER_WORKER = "w0:1"
# Workers write their entries anew at this interval.
_HEARTBEAT_S = 1.5
# Jobs start within this time once every worker's own entry is stored again.
_RECOVERY_S = 3.0
# A new owner waits 7.7 s for workers that don't answer.
_TAKEOVER_S = 8.0
_TASK_S = 20.0


def _make_job(number, tasks):
    return work.Job(
        f"{number:016x}",
        steps=(work.Step(tasks, work.Room(1000, 4096, 8), _TASK_S),),
        queue="q",
        pool=clusters.POOL,
        customer="a",
        priority=2,
        max_attempts=3,
        slack=3.0,
        target_s=5.0,
        payload=f"job {number}",
        accepted_at=1_700_000_000.0,
    )


def _count_running(cluster):
    return sum(len(worker.tasks) for worker in cluster.workers.values())


async def _wait_for_runs(cluster, count, wait_s=_RECOVERY_S):
    with trio.fail_after(wait_s):
        while _count_running(cluster) < count:
            await trio.sleep(0.05)


async def _overwrite(cluster, address, unreadable_s, names=None):
    """Overwrite entries, by default all; the workers' own ones follow."""
    names = names or list(cluster.workers)
    if unreadable_s:
        for name in names:
            cluster.write_odd_worker_entry(name, None)
        await trio.sleep(unreadable_s)
    for name in names:
        cluster.write_odd_worker_entry(name, address)
    await trio.sleep(_HEARTBEAT_S)


def _write_own_entries(cluster):
    for name in cluster.workers:
        cluster.write_worker_entry(name)


# Guards against an owner that calls a worker at the address of the first entry
# that it has seen, whatever the worker's own entry says: no job starts.
@pytest.mark.parametrize("address", [_NOBODY, _OTHER_WORKER])
@pytest.mark.parametrize("unreadable_s", [0.0, 0.2, 1.5, 12.0])
@pytest.mark.parametrize("seed", range(3))
async def test_idle_workers_are_used_after_odd_addresses(
    address, unreadable_s, seed, autojump_clock
):
    cluster = emulator.Cluster(seed)
    async with trio.open_nursery() as nursery:
        await nursery.start(cluster.run)
        await trio.sleep(3.0)
        await _overwrite(cluster, address, unreadable_s)
        _write_own_entries(cluster)
        await trio.sleep(0.5)
        await cluster.submit(_make_job(1, tasks=6))
        await _wait_for_runs(cluster, 6)
        nursery.cancel_scope.cancel()
    assert cluster.oracle.broken == []


# Guards against a new owner that takes a running task for ended, since another
# worker answers at the address of an odd entry.
@pytest.mark.parametrize("address", [_NOBODY, _OTHER_WORKER])
@pytest.mark.parametrize("unreadable_s", [0.0, 1.5])
@pytest.mark.parametrize("seed", range(3))
async def test_takeover_beside_one_odd_address(
    address, unreadable_s, seed, autojump_clock
):
    cluster = emulator.Cluster(seed)
    async with trio.open_nursery() as nursery:
        await nursery.start(cluster.run)
        await trio.sleep(3.0)
        await cluster.submit(_make_job(1, tasks=4))
        await trio.sleep(2.0)
        name = next(
            name
            for name, worker in cluster.workers.items()
            if worker.tasks and name != "w0"
        )
        await _overwrite(cluster, address, unreadable_s, [name])
        cluster.kill_entry(cluster.find_owner())
        await trio.sleep(12.0)
        cluster.write_worker_entry(name)
        await trio.sleep(2 * _TASK_S)
        cluster.oracle.check_final_states(await cluster.read_states())
        nursery.cancel_scope.cancel()
    assert cluster.oracle.broken == []
    assert sum(w.started_runs for w in cluster.workers.values()) == 4


# Guards against a takeover while entries give odd addresses: the new owner
# takes running tasks for ended, or waits for ever for workers that answer.
@pytest.mark.parametrize("address", [_NOBODY, _OTHER_WORKER])
@pytest.mark.parametrize("unreadable_s", [0.0, 1.5])
@pytest.mark.parametrize("odd_s", [1.0, 4.0, 12.0])
@pytest.mark.parametrize("seed", range(3))
async def test_takeover_beside_odd_addresses(
    address, unreadable_s, odd_s, seed, autojump_clock
):
    cluster = emulator.Cluster(seed)
    async with trio.open_nursery() as nursery:
        await nursery.start(cluster.run)
        await trio.sleep(3.0)
        await cluster.submit(_make_job(1, tasks=4))
        await trio.sleep(2.0)
        await _overwrite(cluster, address, unreadable_s)
        cluster.kill_entry(cluster.find_owner())
        await trio.sleep(odd_s)
        _write_own_entries(cluster)
        await trio.sleep(1.0)
        await cluster.submit(_make_job(2, tasks=2))
        await _wait_for_runs(cluster, 6, _RECOVERY_S + _TAKEOVER_S)
        await trio.sleep(2 * _TASK_S)
        cluster.oracle.check_final_states(await cluster.read_states())
        nursery.cancel_scope.cancel()
    assert cluster.oracle.broken == []
    assert cluster.list_owner_failures() == []
    assert sum(w.started_runs for w in cluster.workers.values()) == 6


# Guards against a worker that is called elsewhere while its tasks run, and
# whose lease then ends.
@pytest.mark.parametrize("address", [_NOBODY, _OTHER_WORKER])
@pytest.mark.parametrize("unreadable_s", [0.0, 1.5])
async def test_tasks_run_on_beside_odd_addresses(
    address, unreadable_s, autojump_clock
):
    cluster = emulator.Cluster(1)
    async with trio.open_nursery() as nursery:
        await nursery.start(cluster.run)
        await trio.sleep(3.0)
        await cluster.submit(_make_job(1, tasks=6))
        await trio.sleep(2.0)
        await _overwrite(cluster, address, unreadable_s)
        await trio.sleep(12.0)
        assert _count_running(cluster) == 6
        _write_own_entries(cluster)
        await trio.sleep(_TASK_S)
        cluster.oracle.check_final_states(await cluster.read_states())
        nursery.cancel_scope.cancel()
    assert cluster.oracle.broken == []
    assert sum(w.started_runs for w in cluster.workers.values()) == 6

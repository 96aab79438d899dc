"""Which jobs a new owner starts at once, and which wait for a silent worker."""

import dataclasses

import pytest
import trio

from crocusrouter import work
from crocusrouter.work import worker_port
from standins import emulator
from standins.emulator import cluster as clusters
from standins.emulator import store as stores
from standins.emulator import worker as worker_views

_OUTAGE_S = 1.5
# An entry owns the pool 0.2 s after the entries are back.
_START_LIMIT_S = 1.0


def _make_job(number, tasks=1, **changes):
    step = work.Step(
        tasks, work.Room(1000, 4096, 8), changes.pop("expected_s", 2.0)
    )
    fields = {
        "queue": "q",
        "pool": clusters.POOL,
        "customer": "a",
        "priority": 2,
        "max_attempts": 3,
        "slack": 3.0,
        "target_s": 5.0,
        "payload": f"job {number}",
        "accepted_at": 1_700_000_000.0,
    }
    return work.Job(f"{number:016x}", steps=(step,), **(fields | changes))


async def _lose_all_entries(cluster, outage_s=_OUTAGE_S):
    for name in list(cluster.entries):
        cluster.kill_entry(name)
    await trio.sleep(outage_s)
    for name in cluster.entry_names:
        cluster.start_entry(name)


async def _wait_for_owner(cluster):
    while cluster.find_owner() is None:
        await trio.sleep(0.02)


@pytest.mark.parametrize(("entries", "workers"), [(4, 6), (97, 270)])
async def test_jobs_without_runs_start_although_a_worker_is_silent(
    entries, workers, autojump_clock
):
    """All workers are busy and more jobs wait. All entries lose power;
    meanwhile one worker is cut off, and the tasks on the others end.

    No entry could ask that worker for its runs, so any older job might have run
    there: all waiting jobs waited 8 s for its lease to end while workers idled.
    """
    cluster = emulator.Cluster(3, entries=entries, worker_count=workers)
    waiting_jobs = [_make_job(1000 + n) for n in range(workers // 2)]
    async with trio.open_nursery() as nursery:
        await nursery.start(cluster.run)
        await trio.sleep(3.0)
        await cluster.submit(_make_job(1, workers, expected_s=5.0))
        await trio.sleep(0.5)
        for job in waiting_jobs:
            assert await cluster.submit(job) == "accepted"
        await trio.sleep(2.5)
        assert not any(
            job.id in cluster.oracle.first_started_at for job in waiting_jobs
        )
        cluster.workers["w0"].unreachable_from = set(cluster.entry_names)
        await _lose_all_entries(cluster)
        await _wait_for_owner(cluster)
        await trio.sleep(_START_LIMIT_S)
        started = [
            job
            for job in waiting_jobs
            if job.id in cluster.oracle.first_started_at
        ]
        assert len(started) >= len(waiting_jobs) - 1
        cluster.workers["w0"].unreachable_from = set()
        await trio.sleep(15.0)
        cluster.oracle.check_final_states(await cluster.read_states())
        nursery.cancel_scope.cancel()
    assert cluster.oracle.broken == []
    assert cluster.list_owner_failures() == []


@pytest.mark.parametrize("run_s", [0.0, 0.02, 0.1, 0.5, 1.0])
async def test_parked_job_that_was_started_is_not_started_again(
    run_s, autojump_clock
):
    """A waiting job is recorded as parked: none of its tasks runs. It is
    started on a worker; then the owner dies, and that worker is cut off.

    A successor that still found the job in the record would start it on another
    worker, while the first run goes on unseen.
    """
    cluster = emulator.Cluster(3, worker_count=2)
    running_job = _make_job(1, 2, expected_s=3.5)
    waiting_job = _make_job(2, expected_s=6.0)
    async with trio.open_nursery() as nursery:
        await nursery.start(cluster.run)
        await trio.sleep(3.0)
        await cluster.submit(running_job)
        await trio.sleep(0.3)
        await cluster.submit(waiting_job)
        await trio.sleep(2.5)
        assert waiting_job.id not in cluster.oracle.first_started_at
        with trio.fail_after(5.0):
            while waiting_job.id not in cluster.oracle.first_started_at:
                await trio.sleep(0.005)
        await trio.sleep(run_s)
        for worker in cluster.workers.values():
            if worker.tasks:
                worker.unreachable_from = set(cluster.entry_names)
        await _lose_all_entries(cluster)
        await trio.sleep(12.0)
        for worker in cluster.workers.values():
            worker.unreachable_from = set()
        await trio.sleep(15.0)
        cluster.oracle.check_final_states(await cluster.read_states())
        nursery.cancel_scope.cancel()
    assert cluster.oracle.broken == []


async def test_start_blocked_by_a_lost_record_is_planned_again(autojump_clock):
    """The store loses the answers to the owner as a parked job is due to start.

    Its start was never sent, so its room must not stay reserved, and it must
    run once the store answers again.
    """
    cluster = emulator.Cluster(3, worker_count=1)
    running_job, waiting_job = _make_job(1, expected_s=3.5), _make_job(2)
    async with trio.open_nursery() as nursery:
        await nursery.start(cluster.run)
        await trio.sleep(3.0)
        await cluster.submit(running_job)
        await trio.sleep(0.3)
        await cluster.submit(waiting_job)
        await trio.sleep(2.5)
        owner = cluster.find_owner()
        cluster.store.entry_faults[owner] = stores.StoreFault.SILENT
        await trio.sleep(1.5)
        cluster.store.entry_faults.clear()
        await trio.sleep(10.0)
        cluster.oracle.check_final_states(await cluster.read_states())
        nursery.cancel_scope.cancel()
    assert cluster.oracle.broken == []
    assert cluster.oracle.done.keys() >= {work.TaskKey(waiting_job.id, 0, 0, 0)}


async def test_drained_idle_workers_delay_no_jobs(autojump_clock):
    """Two workers drain, end their tasks, and are gone while all entries are
    without power. The platform lists them for some seconds more.

    Drained workers without tasks were not in the record, so a successor assumed
    that they might run any job. It started no older job until their leases had
    ended, for 8 s, while other workers idled.
    """
    cluster = emulator.Cluster(3)
    running_job = _make_job(1, len(cluster.workers) - 2, expected_s=3.0)
    waiting_jobs = [_make_job(10 + number) for number in range(4)]
    async with trio.open_nursery() as nursery:
        await nursery.start(cluster.run)
        await trio.sleep(3.0)
        await cluster.submit(_make_job(2, 2, expected_s=1.0))
        await trio.sleep(0.5)
        draining = [n for n, worker in cluster.workers.items() if worker.tasks]
        assert len(draining) == 2
        for name in draining:
            cluster.drain_worker(name)
        await trio.sleep(1.5)
        await cluster.submit(running_job)
        for job in waiting_jobs:
            assert await cluster.submit(job) == "accepted"
        # The jobs were just accepted and are not in the record of parked jobs.
        await trio.sleep(0.2)
        for name in draining:
            cluster.workers[name].crash()
        await _lose_all_entries(cluster)
        await _wait_for_owner(cluster)
        await trio.sleep(3.0)
        assert all(
            job.id in cluster.oracle.first_started_at for job in waiting_jobs
        )
        nursery.cancel_scope.cancel()
    assert cluster.oracle.broken == []
    assert cluster.list_owner_failures() == []


# Guards against jobs that stand beside idle workers because a new worker ends
# right after it has registered, long after the takeover: all jobs from before
# the takeover waited 7.7 s for its leases, and again for the next such worker.
@pytest.mark.parametrize("new_workers", [1, 3])
async def test_new_silent_worker_delays_no_jobs_from_before_the_takeover(
    new_workers, autojump_clock
):
    cluster = emulator.Cluster(3)
    room = work.Room(1000, 4096, 8)
    steps = (
        work.Step(1, room, 35.0),
        work.Step(1, room, 1.0, after=(0,)),
    )
    job = dataclasses.replace(_make_job(1), steps=steps)
    first_task, second_task = (
        work.TaskKey(job.id, 0, position, 0) for position in (0, 1)
    )
    async with trio.open_nursery() as nursery:
        await nursery.start(cluster.run)
        await trio.sleep(3.0)
        assert await cluster.submit(job) == "accepted"
        await trio.sleep(1.0)
        cluster.kill_entry(cluster.find_owner())
        await trio.sleep(32.0)
        for number in range(new_workers):
            name = f"new{number}"
            cluster.add_worker(name, "r0-0")
            cluster.workers[name].unreachable_from = set(cluster.entry_names)
            await trio.sleep(1.0)
        with trio.fail_after(10.0):
            while first_task not in cluster.oracle.done:
                await trio.sleep(0.01)
        ended_at = trio.current_time()
        with trio.fail_after(10.0):
            while second_task not in cluster.oracle.done:
                await trio.sleep(0.01)
        waited_s = trio.current_time() - ended_at - steps[1].expected_s
        nursery.cancel_scope.cancel()
    assert waited_s < 0.5
    assert cluster.oracle.broken == []


# Guards against a task that runs twice: a start without an answer is carried
# out by the worker's next process, which has answered nobody yet. The job was
# accepted under the present owner, some seconds or long after its takeover.
@pytest.mark.parametrize("owned_s", [3.0, 32.0])
async def test_job_waits_for_a_process_that_may_carry_out_its_start(
    owned_s, autojump_clock, monkeypatch
):
    original_start = worker_views.WorkerView.start
    lost_on = []

    async def lose_starts_of_first_worker(view, epoch, order, *arguments):
        worker = view._worker
        if not lost_on:
            lost_on.append(worker)
        if worker is not lost_on[0]:
            return await original_start(view, epoch, order, *arguments)
        worker.crash()
        await trio.sleep(arguments[-1])
        return worker_port.NoAnswer("lost")

    monkeypatch.setattr(
        worker_views.WorkerView, "start", lose_starts_of_first_worker
    )
    cluster = emulator.Cluster(3)
    job = _make_job(1)
    async with trio.open_nursery() as nursery:
        await nursery.start(cluster.run)
        await trio.sleep(owned_s)
        assert await cluster.submit(job) == "accepted"
        await trio.sleep(4.0)
        [crashed_worker] = lost_on
        name = crashed_worker.entry.id
        cluster.restart_worker(name)
        cluster.workers[name].unreachable_from = set(cluster.entry_names)
        cluster.write_worker_entry(name)
        # Until the leases of the crashed process have ended.
        await trio.sleep(6.0)
        owner = cluster.entries[cluster.find_owner()]
        pool_state = owner.pool_owners[clusters.POOL].pool_state
        has_run = pool_state.jobs[job.id].has_runs
        blocked_jobs = pool_state.list_blocked_jobs()
        nursery.cancel_scope.cancel()
    assert not has_run
    assert blocked_jobs == {job.id}
    assert cluster.oracle.broken == []


async def test_owner_that_restarts_does_not_wait_for_its_own_lease(
    autojump_clock,
):
    """The store is unavailable, so its leases pause; all entries lose power.

    When the store answers again, the former owner's key still has up to 1.8 s
    to live. Jobs accepted in that time had to wait until it expired.
    """
    cluster = emulator.Cluster(3)
    cluster.store.leases_expire = False
    async with trio.open_nursery() as nursery:
        await nursery.start(cluster.run)
        await trio.sleep(3.0)
        owner_before = cluster.find_owner()
        cluster.store.fault = stores.StoreFault.BUSY
        await trio.sleep(1.0)
        await _lose_all_entries(cluster)
        await trio.sleep(2.0)
        assert cluster.find_owner() is None
        cluster.store.fault = stores.StoreFault.NONE
        with trio.fail_after(1.2):
            await _wait_for_owner(cluster)
        assert cluster.find_owner() == owner_before
        assert await cluster.submit(_make_job(1)) == "accepted"
        await trio.sleep(15.0)
        cluster.oracle.check_final_states(await cluster.read_states())
        nursery.cancel_scope.cancel()
    assert cluster.oracle.broken == []


# Guards against a pool without an owner until the lease of an owner that ended
# with an error runs out, and against the same entry failing again and again.
async def test_owner_that_fails_is_replaced_at_once(autojump_clock):
    def fail(*_):
        raise RuntimeError("test")

    cluster = emulator.Cluster(3)
    async with trio.open_nursery() as nursery:
        await nursery.start(cluster.run)
        await trio.sleep(3.0)
        failed_owner = cluster.find_owner()
        entry = cluster.entries[failed_owner]
        entry.pool_owners[clusters.POOL]._decide = fail
        while clusters.POOL in entry.pool_owners:
            await trio.sleep(0.02)
        failed_at = trio.current_time()
        await _wait_for_owner(cluster)
        assert cluster.find_owner() != failed_owner
        assert trio.current_time() < failed_at + _START_LIMIT_S
        assert entry.metrics.counts["event:owner-failed"] == 1
        nursery.cancel_scope.cancel()


# Guards against a pool without an owner because of one worker: calls to it end
# with an error that nobody expects.
@pytest.mark.parametrize("call", ["hold", "start", "stop"])
async def test_errors_of_one_worker_end_no_owner(
    call, autojump_clock, monkeypatch
):
    original = getattr(worker_views.WorkerView, call)

    async def fail_on_first_worker(view, *arguments):
        if view._worker.entry.id == "w0" and trio.current_time() > 3.0:
            raise RuntimeError("test")
        return await original(view, *arguments)

    monkeypatch.setattr(worker_views.WorkerView, call, fail_on_first_worker)
    cluster = emulator.Cluster(3)
    jobs = [_make_job(number) for number in range(12)]
    async with trio.open_nursery() as nursery:
        await nursery.start(cluster.run)
        await trio.sleep(3.0)
        for job in jobs:
            await cluster.submit(job)
        await cluster.cancel(jobs[0].id)
        await trio.sleep(30.0)
        states = await cluster.read_states()
        counts = [entry.metrics.counts for entry in cluster.entries.values()]
        nursery.cancel_scope.cancel()
    assert set(states.values()) <= {"done", "cancelled"}
    assert not any(count["event:owner-failed"] for count in counts)

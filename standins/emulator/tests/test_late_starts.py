"""Tasks that have to be gone some seconds after the cancel of their job."""

import dataclasses

import pytest
import trio

from crocusrouter import pools
from crocusrouter import work
from crocusrouter.pools import keys
from crocusrouter.work import worker_port
from standins import emulator
from standins.emulator import cluster as clusters
from standins.emulator import faults
from standins.emulator import worker as workers

_WORKER = "w0"
# A stop takes 0.15 s here, and a calm owner learns of a run within a poll.
_MAX_RUN_S = 3.2
# A few calls at 2 ms each.
_REFUSAL_S = 0.02
# The store carries out an unanswered write at most this much later.
_MAX_LATE_S = 6.0
_SMALL_ROOM = work.Room(100, 64, 0)


def _make_job():
    return work.Job(
        f"{1:016x}",
        queue="q",
        pool=clusters.POOL,
        customer="a",
        priority=2,
        max_attempts=3,
        slack=3.0,
        target_s=5.0,
        payload="job",
        accepted_at=1_700_000_000.0,
        steps=(work.Step(1, work.Room(1000, 4096, 8), 9.0),),
    )


def _make_long_job():
    steps = (work.Step(1, _SMALL_ROOM, 60.0),)
    return dataclasses.replace(_make_job(), id=f"{2:016x}", steps=steps)


def _keep_late_starts(monkeypatch):
    """Return a list that gets late starts instead of their worker."""
    late_starts = []

    async def record_late_start(_, epoch, order, until_ms):
        late_starts.append((epoch, order, until_ms))

    monkeypatch.setattr(workers.WorkerView, "_start_late", record_late_start)
    return late_starts


async def _cancel_unanswered_job(cluster, late_starts, runs_s=0.0):
    """Submit a job whose first start gets no answer, and cancel it.

    Args:
        cluster: The cluster.
        late_starts: Gets the start.
        runs_s: Seconds until the cancel, in which the start is repeated.
    """
    job = _make_job()
    cluster.workers[_WORKER].late_order_share = 1.0
    await cluster.submit(job)
    with trio.fail_after(5.0):
        while not late_starts:
            await trio.sleep(0.01)
    cluster.workers[_WORKER].late_order_share = 0.0
    await trio.sleep(runs_s)
    await cluster.cancel(job.id)


async def _restart(cluster, unanswered_s=0.0):
    """Restart the worker's process; its first answers may be lost."""
    worker = cluster.workers[_WORKER]
    worker.refuses_connections = True
    worker.crash()
    await trio.sleep(0.5)
    cluster.restart_worker(_WORKER)
    worker = cluster.workers[_WORKER]
    if unanswered_s:
        worker.unreachable_from = set(cluster.entry_names)
    cluster.write_worker_entry(_WORKER)
    await trio.sleep(unanswered_s)
    worker.unreachable_from = set()


# Guards against a run of a cancelled job that nobody stops: its start was left
# unanswered by a worker's process and is carried out by the next one.
@pytest.mark.parametrize(
    ("earlier_restarts", "unanswered_s"), [(0, 0.0), (0, 1.0), (1, 0.0)]
)
async def test_start_of_a_cancelled_job_is_stopped_on_the_next_process(
    earlier_restarts, unanswered_s, autojump_clock, monkeypatch
):
    late_starts = _keep_late_starts(monkeypatch)
    cluster = emulator.Cluster(3, worker_count=1)
    async with trio.open_nursery() as nursery:
        await nursery.start(cluster.run)
        await trio.sleep(3.0)
        for _ in range(earlier_restarts):
            await _restart(cluster)
            await trio.sleep(20.0)
        await _cancel_unanswered_job(cluster, late_starts)
        await trio.sleep(4.0)
        await _restart(cluster, unanswered_s)
        await trio.sleep(4.0)
        worker = cluster.workers[_WORKER]
        worker.start_run(*late_starts[0], late=True)
        await trio.sleep(_MAX_RUN_S)
        running = dict(worker.tasks)
        nursery.cancel_scope.cancel()
    assert running == {}


# Guards against a late start on a process that has answered one link, while the
# link that stops late starts waits for a poll that the process didn't answer.
@pytest.mark.parametrize("unanswered_s", [0.0, 0.5, 1.0, 1.5, 2.0, 2.5])
async def test_late_start_is_refused_soon_after_the_next_process_answers(
    unanswered_s, autojump_clock, monkeypatch
):
    late_starts = _keep_late_starts(monkeypatch)
    cluster = emulator.Cluster(3, worker_count=1)
    async with trio.open_nursery() as nursery:
        await nursery.start(cluster.run)
        await trio.sleep(3.0)
        # The link to a process with a run polls it until another one answers.
        await cluster.submit(_make_long_job())
        await trio.sleep(1.0)
        await _cancel_unanswered_job(cluster, late_starts, runs_s=2.0)
        await trio.sleep(1.0)
        await _restart(cluster, unanswered_s)
        worker = cluster.workers[_WORKER]
        with trio.fail_after(5.0):
            while not worker.has_answered:
                await trio.sleep(0.001)
        await trio.sleep(_REFUSAL_S)
        outcome = worker.start_run(*late_starts[0], late=True)
        nursery.cancel_scope.cancel()
    assert isinstance(outcome, worker_port.Rejected)


# Guards against tasks of a cancelled job that go on while the owner's watch of
# the jobs alone is refused: it keeps the pool and renews their leases.
@pytest.mark.parametrize("refused", [False, True])
async def test_cancelled_job_is_stopped_although_its_watch_is_refused(
    refused, autojump_clock
):
    cluster = emulator.Cluster(3)
    job = _make_job()
    async with trio.open_nursery() as nursery:
        await nursery.start(cluster.run)
        await trio.sleep(3.0)
        await cluster.submit(job)
        await trio.sleep(1.0)
        assert any(worker.tasks for worker in cluster.workers.values())
        if refused:
            cluster.store.rejected_prefixes.add(keys.JOBS)
            await trio.sleep(1.0)  # until the watch that is open has ended
        await cluster.cancel(job.id)
        await trio.sleep(_MAX_RUN_S)
        running = [worker.tasks for worker in cluster.workers.values()]
        nursery.cancel_scope.cancel()
    assert not any(running)


# Guards against runs of cancelled jobs that nobody stops, on workers that are
# idle otherwise: their starts were carried out by a process whose first polls
# had no answer.
@pytest.mark.parametrize(
    "seed", [26, 31, 47, 59, 72, 87, 88, 107, 124, 211, 215, 228]
)
async def test_late_starts_on_restarted_workers_end(seed, autojump_clock):
    load = emulator.Load(
        per_s=1.0, length_s=14.0, cancels=0.5, duration_factor=4.0
    )
    events = [
        faults.FaultEvent(at, emulator.Fault.RESTART_UNANSWERED, 4.0)
        for at in (3.0, 6.0, 9.0)
    ]
    cluster = await emulator.play(seed, load, events, worker_count=16)
    assert cluster.oracle.broken == []


# Guards against a run of a job whose write the store carries out seconds after
# a cancel was answered, with "no such job" or otherwise.
@pytest.mark.parametrize("seed", [1, 2, 3])
async def test_jobs_stored_late_do_not_run_after_their_cancel(
    seed, autojump_clock
):
    cluster = emulator.Cluster(seed)
    outcomes = {}

    async def submit_and_cancel(number):
        job_id = f"{number:016x}"
        job = dataclasses.replace(
            _make_job(), id=job_id, steps=(work.Step(1, _SMALL_ROOM, 60.0),)
        )
        await trio.sleep(0.1 * number)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(cluster.submit, job)
            await trio.sleep(cluster.random.uniform(0.0, 1.5))
            name = cluster.random.choice(cluster.entry_names)
            cluster.oracle.cancels_sent.add(job_id)
            outcomes[job_id] = await cluster.entries[name].job_api.cancel(
                job_id
            )

    async with trio.open_nursery() as nursery:
        await nursery.start(cluster.run)
        await trio.sleep(3.0)
        cluster.store.fault = emulator.StoreFault.LATE
        async with trio.open_nursery() as callers:
            for number in range(40):
                callers.start_soon(submit_and_cancel, number)
        cluster.store.fault = emulator.StoreFault.NONE
        await trio.sleep(_MAX_LATE_S + _MAX_RUN_S)
        running = {
            key.job
            for worker in cluster.workers.values()
            for key in worker.tasks
        }
        nursery.cancel_scope.cancel()
    answered = {
        job_id
        for job_id, outcome in outcomes.items()
        if outcome in (pools.CancelOutcome.DONE, pools.CancelOutcome.NO_JOB)
    }
    assert pools.CancelOutcome.NO_JOB in outcomes.values()
    assert running & answered == set()

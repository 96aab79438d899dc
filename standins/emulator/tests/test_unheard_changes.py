"""Owners start no task against a drain or a cancel that they missed.

The cluster reports each start on a worker that has been draining for more than
2 s, counted from the end of the store's fault if that is later. The oracle
reports each start of a job that was cancelled more than 3 s before.
"""

import pytest
import trio

from crocusrouter import work
from crocusrouter.pools import keys
from standins import emulator
from standins.emulator import cluster as clusters
from standins.emulator import faults

_SETTLE_S = 6.0
_DRAINING_WORKER = "w1"


def _make_wide_job(job_id, tasks=36):
    """Return a job with enough tasks for every worker."""
    step = work.Step(tasks, work.Room(2800, 4096, 1), 2.0)
    return work.Job(
        job_id,
        "q",
        clusters.POOL,
        "a",
        2,
        3,
        2.0,
        1.0,
        "wide",
        (step,),
        1_700_000_000.0,
    )


def _count_starts(cluster):
    return {
        name: worker.started_runs for name, worker in cluster.workers.items()
    }


def _check_used_workers(cluster, starts_before):
    """Check that all workers but the draining one got tasks."""
    assert cluster.list_owner_failures() == []
    assert cluster.oracle.broken == []
    starts = _count_starts(cluster)
    used_workers = {
        name for name in starts_before if starts[name] > starts_before[name]
    }
    assert used_workers == set(cluster.workers) - {_DRAINING_WORKER}


async def test_worker_that_drains_after_a_silent_outage(autojump_clock):
    """The store accepted calls and answered none for 4.6 s.

    The answer to the owner's watch of the workers was lost on an open
    connection, and the owner waited for it until 12 s after the store was back.
    No job had been submitted in the outage, so the watch of jobs was intact:
    the owner heard of each job within milliseconds, and started tasks on a
    worker that had been draining for 4.5 s. Its log between 18.0 s (start of
    the silence) and 36 s: `watch:lost` of `servers/` only at 34.65,
    `worker:state` (draining since 24.1) at 34.97, `job:seen` 26 times from
    22.82 to 34.74.
    """
    cluster = emulator.Cluster(5)
    cluster.store.leases_expire = False
    cluster.store.spares_idle_watches = True
    async with trio.open_nursery() as nursery:
        await nursery.start(cluster.run)
        await trio.sleep(_SETTLE_S)
        async with trio.open_nursery() as fault_nursery:
            silence = faults.FaultEvent(0.0, emulator.Fault.STORE_SILENT, 4.6)
            fault_nursery.start_soon(faults.inject_fault, cluster, silence)
            await trio.sleep(2.3)
            cluster.write_worker_entry("w2")
        await trio.sleep(1.5)
        cluster.drain_worker(_DRAINING_WORKER)
        await trio.sleep(4.5)
        starts_before = _count_starts(cluster)
        assert await cluster.submit(_make_wide_job("00000000000000aa")) == (
            "accepted"
        )
        await trio.sleep(1.0)
        nursery.cancel_scope.cancel()
    _check_used_workers(cluster, starts_before)


@pytest.mark.parametrize("duration_s", [2.0, 5.0, 9.0])
async def test_owner_whose_watch_of_workers_is_rejected(
    duration_s, autojump_clock
):
    """The store rejects the owner's watches of the workers, as it does beyond
    its rate limit, but serves lease renewals and the watch of jobs. A worker
    drains.

    The owner knew that its watch failed, but kept starting tasks according to
    the last list. Once the watch is served again, the job must start on all
    other workers.
    """
    cluster = emulator.Cluster(5)
    async with trio.open_nursery() as nursery:
        await nursery.start(cluster.run)
        await trio.sleep(_SETTLE_S)
        cluster.store.rejected_prefixes.add(clusters.WORKERS_PREFIX)
        await trio.sleep(1.5)
        cluster.drain_worker(_DRAINING_WORKER)
        await trio.sleep(duration_s)
        starts_before = _count_starts(cluster)
        await cluster.submit(_make_wide_job("00000000000000aa"))
        await trio.sleep(1.0)
        cluster.store.rejected_prefixes.clear()
        await trio.sleep(1.5)
        nursery.cancel_scope.cancel()
    _check_used_workers(cluster, starts_before)


async def test_owner_whose_watch_of_jobs_is_rejected(autojump_clock):
    """The store rejects only the owner's watches of jobs. A caller cancels a
    job and gets a confirmation, but the owner doesn't hear of it: whenever a
    task of the job ended, it started the next one.
    """
    cluster = emulator.Cluster(5)
    job = _make_wide_job("00000000000000aa", tasks=240)
    async with trio.open_nursery() as nursery:
        await nursery.start(cluster.run)
        await trio.sleep(_SETTLE_S)
        assert await cluster.submit(job) == "accepted"
        await trio.sleep(1.0)
        cluster.store.rejected_prefixes.add(keys.JOBS)
        await trio.sleep(1.0)  # The open watch ends.
        await cluster.cancel(job.id)
        assert job.id in cluster.oracle.cancelled
        await trio.sleep(6.0)
        nursery.cancel_scope.cancel()
    assert cluster.list_owner_failures() == []
    assert cluster.oracle.broken == []

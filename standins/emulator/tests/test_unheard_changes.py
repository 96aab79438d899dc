"""Owners that have not heard of a change start nothing against it.

The oracle notes each start on a worker that said more than 2 s before that it
leaves, and each start of a job that was cancelled more than 3 s before. While
the store is in trouble the first counts from the trouble's end.
"""

import pytest
import trio

from crocusrouter import work
from crocusrouter.pools import keys
from standins import emulator
from standins.emulator import cluster as clusters
from standins.emulator import faults

_SETTLED_S = 6.0
_LEAVING = "w1"


def _make_wide_job(job_id, tasks=36):
    """Return a job that has tasks for every worker."""
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


def _count_begun(held):
    return {name: worker.begun for name, worker in held.workers.items()}


def _check_where_begun(held, before):
    """Check that all workers got something, but for the one that leaves."""
    assert held.list_failures() == []
    assert held.oracle.broken == []
    begun = _count_begun(held)
    used = {name for name in before if begun[name] > before[name]}
    assert used == set(held.workers) - {_LEAVING}


async def test_worker_that_leaves_after_a_silent_outage(autojump_clock):
    """The store took calls and answered none for 4.6 s. Its answer to the
    owner's watch of the list of workers was lost on an open connection, and
    the owner waited on it until 12 s after the store was back. On its watch of
    jobs nothing had come in the outage, so it heard of each job within
    milliseconds and started tasks on a worker that had said 4.5 s before that
    it leaves. What settled it in the owner's lines, between 18.0 (silent) and
    36 s: `watch:lost` of `servers/` at 34.65 and no earlier, `worker:state`
    (draining since 24.1) at 34.97, `job:seen` 26 times from 22.82 to 34.74.
    """
    held = emulator.Cluster(5)
    held.store.lapses = False
    held.store.spares_quiet_watches = True
    async with trio.open_nursery() as nursery:
        await nursery.start(held.run)
        await trio.sleep(_SETTLED_S)
        async with trio.open_nursery() as striking:
            silence = faults.Event(0.0, emulator.Fault.STORE_SILENT, 4.6)
            striking.start_soon(faults.strike, held, silence)
            await trio.sleep(2.3)
            held.list_worker("w2")
        await trio.sleep(1.5)
        held.drain_worker(_LEAVING)
        await trio.sleep(4.5)
        before = _count_begun(held)
        assert await held.submit(_make_wide_job("00000000000000aa")) == (
            "accepted"
        )
        await trio.sleep(1.0)
        nursery.cancel_scope.cancel()
    _check_where_begun(held, before)


@pytest.mark.parametrize("for_s", [2.0, 5.0, 9.0])
async def test_owner_whose_watch_of_workers_alone_is_refused(
    for_s, autojump_clock
):
    """The store refuses the owner's watches of the list of workers, as it does
    beyond its calls a second, and serves renewals and the watch of jobs. A
    worker says that it leaves. The owner knew that its watch failed, and went
    on starting tasks by the list that it had before. Once the watch is served
    again, the job starts on all other workers.
    """
    held = emulator.Cluster(5)
    async with trio.open_nursery() as nursery:
        await nursery.start(held.run)
        await trio.sleep(_SETTLED_S)
        held.store.refused_watches.add(clusters.WORKERS)
        await trio.sleep(1.5)
        held.drain_worker(_LEAVING)
        await trio.sleep(for_s)
        before = _count_begun(held)
        await held.submit(_make_wide_job("00000000000000aa"))
        await trio.sleep(1.0)
        held.store.refused_watches.clear()
        await trio.sleep(1.5)
        nursery.cancel_scope.cancel()
    _check_where_begun(held, before)


async def test_owner_whose_watch_of_jobs_alone_is_refused(autojump_clock):
    """The store refuses the owner's watches of jobs alone. A caller cancels a
    job, gets its confirmation, and the owner does not hear of it: as its tasks
    ended one after another, it went on starting the ones that waited.
    """
    held = emulator.Cluster(5)
    job = _make_wide_job("00000000000000aa", tasks=240)
    async with trio.open_nursery() as nursery:
        await nursery.start(held.run)
        await trio.sleep(_SETTLED_S)
        assert await held.submit(job) == "accepted"
        await trio.sleep(1.0)
        held.store.refused_watches.add(keys.JOBS)
        await trio.sleep(1.0)  # The watch that is open ends.
        await held.cancel(job.id)
        assert job.id in held.oracle.cancelled
        await trio.sleep(6.0)
        nursery.cancel_scope.cancel()
    assert held.list_failures() == []
    assert held.oracle.broken == []

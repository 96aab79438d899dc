"""Which jobs a new owner starts at once, and which wait for a silent worker."""

import pytest
import trio

from crocusrouter import work
from standins import emulator
from standins.emulator import cluster as clusters
from standins.emulator import store as stores

_OUTAGE_S = 1.5
# An entry owns the pool 0.2 s after the entries are back.
_PROMPT_S = 1.0


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


async def _lose_all_entries(held, dark_s=_OUTAGE_S):
    for name in list(held.entries):
        held.kill_entry(name)
    await trio.sleep(dark_s)
    for name in held.names:
        held.start_entry(name)


async def _wait_for_owner(held):
    while held.find_owner() is None:
        await trio.sleep(0.02)


@pytest.mark.parametrize(("entries", "workers"), [(4, 6), (97, 270)])
async def test_jobs_that_nothing_ran_of_start_although_a_worker_is_silent(
    entries, workers, autojump_clock
):
    """All workers are busy and more jobs wait. All entries lose power;
    meanwhile one worker is cut off, and the tasks on the others end.

    No entry could ask that worker for its runs, so any older job might have run
    there: all waiting jobs waited 8 s for its lease to end while workers idled.
    """
    held = emulator.Cluster(3, entries=entries, hosts=workers)
    waiting = [_make_job(1000 + n) for n in range(workers // 2)]
    async with trio.open_nursery() as nursery:
        await nursery.start(held.run)
        await trio.sleep(3.0)
        await held.submit(_make_job(1, workers, expected_s=5.0))
        await trio.sleep(0.5)
        for job in waiting:
            assert await held.submit(job) == "accepted"
        await trio.sleep(2.5)
        assert not any(job.id in held.oracle.begun for job in waiting)
        held.workers["w0"].cut_from = set(held.names)
        await _lose_all_entries(held)
        await _wait_for_owner(held)
        await trio.sleep(_PROMPT_S)
        begun = [job for job in waiting if job.id in held.oracle.begun]
        assert len(begun) >= len(waiting) - 1
        held.workers["w0"].cut_from = set()
        await trio.sleep(15.0)
        held.oracle.check_over(await held.read_states())
        nursery.cancel_scope.cancel()
    assert held.oracle.broken == []
    assert held.list_failures() == []


@pytest.mark.parametrize("ran_s", [0.0, 0.02, 0.1, 0.5, 1.0])
async def test_parked_job_that_was_started_is_not_started_again(
    ran_s, autojump_clock
):
    """A waiting job is recorded as parked: none of its tasks runs. It is
    started on a worker; then the owner dies, and that worker is cut off.

    A successor that still found the job in the record would start it on another
    worker, while the first run goes on unseen.
    """
    held = emulator.Cluster(3, hosts=2)
    filler = _make_job(1, 2, expected_s=3.5)
    waiting = _make_job(2, expected_s=6.0)
    async with trio.open_nursery() as nursery:
        await nursery.start(held.run)
        await trio.sleep(3.0)
        await held.submit(filler)
        await trio.sleep(0.3)
        await held.submit(waiting)
        await trio.sleep(2.5)
        assert waiting.id not in held.oracle.begun
        with trio.fail_after(5.0):
            while waiting.id not in held.oracle.begun:
                await trio.sleep(0.005)
        await trio.sleep(ran_s)
        for worker in held.workers.values():
            if worker.tasks:
                worker.cut_from = set(held.names)
        await _lose_all_entries(held)
        await trio.sleep(12.0)
        for worker in held.workers.values():
            worker.cut_from = set()
        await trio.sleep(15.0)
        held.oracle.check_over(await held.read_states())
        nursery.cancel_scope.cancel()
    assert held.oracle.broken == []


async def test_start_that_the_record_holds_up_is_planned_anew(autojump_clock):
    """The store loses the answers to the owner as a parked job is due to start.

    Its start was never sent, so its room must not stay reserved, and it must
    run once the store answers again.
    """
    held = emulator.Cluster(3, hosts=1)
    filler, waiting = _make_job(1, expected_s=3.5), _make_job(2)
    async with trio.open_nursery() as nursery:
        await nursery.start(held.run)
        await trio.sleep(3.0)
        await held.submit(filler)
        await trio.sleep(0.3)
        await held.submit(waiting)
        await trio.sleep(2.5)
        owner = held.find_owner()
        held.store.turned_away[owner] = stores.StoreFault.SILENT
        await trio.sleep(1.5)
        held.store.turned_away.clear()
        await trio.sleep(10.0)
        held.oracle.check_over(await held.read_states())
        nursery.cancel_scope.cancel()
    assert held.oracle.broken == []
    assert held.oracle.done.keys() >= {work.TaskKey(waiting.id, 0, 0, 0)}


async def test_workers_that_left_empty_hold_nothing_back(autojump_clock):
    """Two workers drain, end their tasks, and are gone while all entries are
    without power. The platform lists them for some seconds more.

    Drained workers without tasks were not in the record, so a successor assumed
    that they might run any job. It started no older job until their leases had
    ended, for 8 s, while other workers idled.
    """
    held = emulator.Cluster(3)
    filler = _make_job(1, len(held.workers) - 2, expected_s=3.0)
    waiting = [_make_job(10 + number) for number in range(4)]
    async with trio.open_nursery() as nursery:
        await nursery.start(held.run)
        await trio.sleep(3.0)
        await held.submit(_make_job(2, 2, expected_s=1.0))
        await trio.sleep(0.5)
        leaving = [n for n, worker in held.workers.items() if worker.tasks]
        assert len(leaving) == 2
        for name in leaving:
            held.drain_worker(name)
        await trio.sleep(1.5)
        await held.submit(filler)
        for job in waiting:
            assert await held.submit(job) == "accepted"
        # The jobs were just accepted and are not in the record of parked jobs.
        await trio.sleep(0.2)
        for name in leaving:
            held.workers[name].crash()
        await _lose_all_entries(held)
        await _wait_for_owner(held)
        await trio.sleep(3.0)
        assert all(job.id in held.oracle.begun for job in waiting)
        nursery.cancel_scope.cancel()
    assert held.oracle.broken == []
    assert held.list_failures() == []


async def test_owner_that_restarts_does_not_wait_for_its_own_lease(
    autojump_clock,
):
    """The store is unavailable, so its leases pause; all entries lose power.

    When the store answers again, the former owner's key still has up to 1.8 s
    to live. Jobs accepted in that time had to wait until it expired.
    """
    held = emulator.Cluster(3)
    held.store.lapses = False
    async with trio.open_nursery() as nursery:
        await nursery.start(held.run)
        await trio.sleep(3.0)
        before = held.find_owner()
        held.store.fault = stores.StoreFault.BUSY
        await trio.sleep(1.0)
        await _lose_all_entries(held)
        await trio.sleep(2.0)
        assert held.find_owner() is None
        held.store.fault = stores.StoreFault.NONE
        with trio.fail_after(1.2):
            await _wait_for_owner(held)
        assert held.find_owner() == before
        assert await held.submit(_make_job(1)) == "accepted"
        await trio.sleep(15.0)
        held.oracle.check_over(await held.read_states())
        nursery.cancel_scope.cancel()
    assert held.oracle.broken == []

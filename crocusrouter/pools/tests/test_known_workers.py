"""Tests for the record of workers that an owner leaves to its successor."""

import random

import cbor2
import pytest
import trio

from crocusrouter import work
from crocusrouter.pools import clocks
from crocusrouter.pools import journal
from crocusrouter.pools import keys
from crocusrouter.pools import known_workers
from crocusrouter.pools import owner_leases
from crocusrouter.work.tests import build
from standins import emulator
from standins.emulator import cluster as clusters
from standins.emulator import store as stores

_KEY = keys.KNOWN_WORKERS + "p"
_JOB = "00000000000000aa"
_NO_FAULT = stores.StoreFault.NONE


async def _open_known_workers(store, pool_state, is_durable=lambda _: True):
    """Return loaded known workers under an owner lease that has just begun."""
    view = stores.StoreView(store, "e0")
    clock = clocks.Clock(trio.current_time, trio.current_time)
    owner_lease = owner_leases.OwnerLease(
        view, "p", owner_leases.Holder("e0"), clock
    )
    assert await owner_lease.acquire()
    known = known_workers.KnownWorkers(
        view, owner_lease, pool_state, is_durable, lambda: None
    )
    await known.load()
    return known


def _read_usable(store):
    """Return the workers on which a successor takes any job to be possible."""
    return {name for name, _, job_ids in _read_rows(store) if job_ids is None}


def _read_rows(store):
    item = store.items.get(_KEY)
    return cbor2.loads(item.value) if item is not None else []


@pytest.mark.parametrize(
    ("jobs", "may_take"),
    [
        (None, True),  # was listed as ready when the record was written
        ([], False),  # was draining then
        (["aa"], False),
    ],
)
async def test_worker_listed_again_takes_work_unless_it_drained(
    jobs, may_take, autojump_clock
):
    store = stores.Store(1)
    store.put(_KEY, cbor2.dumps([["w0", "w0:1", jobs]]))
    pool_state = work.PoolState(1)
    known = await _open_known_workers(store, pool_state)
    [worker_state] = known.restore_unlisted(0.0)
    worker_state.reached = True
    assert not worker_state.may_start_tasks(0.0)
    pool_state.set_worker(build.make_entry("w0"), 1.0)
    assert worker_state.may_start_tasks(1.0) is may_take


async def test_all_workers_are_used_after_an_outage_that_unlisted_them(
    autojump_clock,
):
    """All workers must be usable again after an outage of the store.

    The store is down for 4.5 s; the owner's lease and all entries of workers
    expire meanwhile. The next owner reads an empty list, and the workers are
    listed again within two seconds. Workers with runs were taken for draining.
    Later their room was free, but a job that needs whole workers waited until
    the end of the day.
    """
    cluster = emulator.Cluster(3)
    async with trio.open_nursery() as nursery:
        await nursery.start(cluster.run)
        await trio.sleep(3.0)
        step = build.make_step(6, gpu=8, expected_s=20.0)
        job = build.make_job("00000000000000aa", step, pool=clusters.POOL)
        await cluster.submit(job)
        await trio.sleep(3.0)
        cluster.store.fault = stores.StoreFault.BUSY
        await trio.sleep(4.5)
        for name in cluster.workers:
            cluster.store.remove(clusters.WORKERS_PREFIX + name)
        cluster.store.fault = stores.StoreFault.NONE
        await trio.sleep(1.9)
        for name in cluster.workers:
            cluster.write_worker_entry(name)
        await trio.sleep(3.0)
        pool_owner = cluster.entries[cluster.find_owner()].pool_owners[
            clusters.POOL
        ]
        now = trio.current_time()
        usable = [
            state.may_start_tasks(now)
            for state in pool_owner.pool_state.workers.values()
        ]
        nursery.cancel_scope.cancel()
    assert usable == [True] * len(cluster.workers)


class _DrawnPool:
    """Workers that come, go and run tasks at random."""

    def __init__(self, pool_state, known, seed):
        self._pool_state = pool_state
        self._known = known
        self._random = random.Random(seed)
        self._names = [f"w{number}" for number in range(4)]
        self.start_count = 0

    def change(self, now):
        """List, unlist, forget or use one worker, or end its runs."""
        name = self._random.choice(self._names)
        worker = self._pool_state.workers.get(name)
        action = self._random.choice(("list", "unlist", "forget", "run", "end"))
        if action == "list":
            self._pool_state.set_worker(build.make_entry(name), now)
            self._pool_state.workers[name].reached = True
            self._known.wake()
        elif worker is None:
            return
        elif action == "unlist":
            self._pool_state.unlist_worker(name)
        elif action == "forget" and not worker.listed and not worker.runs:
            self._pool_state.forget_worker(name)
        elif action == "run" and worker.may_start_tasks(now):
            self.start_count += 1
            key = work.TaskKey(_JOB, 0, 0, self.start_count)
            self._pool_state.add_run(key, self.start_count, name, now)
        elif action == "end":
            for run in list(worker.runs.values()):
                self._pool_state.drop_run(run)


@pytest.mark.parametrize("fault", [*stores.StoreFault])
async def test_stored_record_names_workers_that_run_or_may_get_tasks(
    fault, autojump_clock
):
    """A successor must know of every worker on which something may run.

    Workers register, vanish and come back, also while the store is in trouble.
    Whichever writes of the record fail, are unanswered or are carried out late,
    it names at every moment each worker that has runs or may get some.
    """
    for seed in range(8):
        store = stores.Store(seed)
        job = build.make_job(_JOB, build.make_step(1000))
        pool_state = build.make_pool_state(job, workers=())
        known = await _open_known_workers(store, pool_state)
        pool = _DrawnPool(pool_state, known, seed)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(known.run)
            for step in range(600):
                store.fault = fault if 100 <= step < 400 else _NO_FAULT
                pool.change(trio.current_time())
                await trio.sleep(0.02)
                now = trio.current_time()
                needed = {
                    name
                    for name, worker in pool_state.workers.items()
                    if worker.runs or worker.may_start_tasks(now)
                }
                assert needed <= _read_usable(store)
            nursery.cancel_scope.cancel()
        assert pool.start_count > 10


async def test_worker_is_usable_again_after_an_unanswered_write_without_it(
    autojump_clock,
):
    """A worker must not stay unusable once it is back.

    The write that removes it is unanswered, and it is listed again before the
    next try, which would write what was stored before.
    """
    store = stores.Store(1)
    pool_state = build.make_pool_state(workers=("w0",))
    known = await _open_known_workers(store, pool_state)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(known.run)
        await trio.sleep(1.0)
        store.fault = stores.StoreFault.SILENT
        pool_state.forget_worker("w0")
        await trio.sleep(0.4)
        pool_state.set_worker(build.make_entry("w0"), 1.4)
        await trio.sleep(0.1)
        assert not pool_state.workers["w0"].is_recorded
        store.fault = stores.StoreFault.NONE
        await trio.sleep(1.0)
        assert pool_state.workers["w0"].is_recorded
        nursery.cancel_scope.cancel()


async def test_new_worker_is_recorded_at_once(autojump_clock):
    """A worker that may not be used yet must not wait for the next interval."""
    store = stores.Store(1)
    pool_state = build.make_pool_state(workers=())
    known = await _open_known_workers(store, pool_state)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(known.run)
        await trio.sleep(1.01)
        pool_state.set_worker(build.make_entry("w0"), 1.01)
        known.wake()
        await trio.sleep(0.01)
        assert _read_usable(store) == {"w0"}
        assert pool_state.workers["w0"].is_recorded
        nursery.cancel_scope.cancel()


@pytest.mark.parametrize("worker_count", [24, 1000])
async def test_workers_that_register_at_once_share_writes(
    worker_count, autojump_clock
):
    store = stores.Store(1)
    pool_state = build.make_pool_state(workers=())
    known = await _open_known_workers(store, pool_state)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(known.run)
        await trio.sleep(1.0)
        calls_before = store.calls
        for number in range(worker_count):
            pool_state.set_worker(build.make_entry(f"w{number}"), 1.0)
            known.wake()
        await trio.sleep(1.0)
        nursery.cancel_scope.cancel()
    assert len(_read_usable(store)) == worker_count
    assert store.calls == calls_before + 1


@pytest.mark.parametrize("ends_before_notice", [False, True])
async def test_draining_worker_is_recorded_until_its_ends_are_journaled(
    ends_before_notice, autojump_clock
):
    """A successor must hear of an end that the journal does not hold."""
    store = stores.Store(1)
    job = build.make_job(_JOB, build.make_step())
    pool_state = build.make_pool_state(job, workers=("w0",))
    undurable = {_JOB}
    known = await _open_known_workers(
        store, pool_state, lambda job_id: job_id not in undurable
    )
    run = pool_state.add_run(work.TaskKey(_JOB, 0, 0, 0), 1, "w0", 0.0)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(known.run)
        await trio.sleep(1.0)
        if ends_before_notice:
            pool_state.drop_run(run)
        pool_state.set_worker(build.make_entry("w0", draining=True), 1.0)
        await trio.sleep(1.0)
        if not ends_before_notice:
            pool_state.drop_run(run)
        pool_state.unlist_worker("w0")
        await trio.sleep(1.0)
        assert _read_rows(store) == [["w0", "w0:1", [_JOB]]]
        undurable.clear()
        await trio.sleep(1.0)
        assert _read_rows(store) == []
        nursery.cancel_scope.cancel()


async def test_deposed_owner_stops_writing(autojump_clock):
    store = stores.Store(1)
    pool_state = build.make_pool_state()
    known = await _open_known_workers(store, pool_state)
    store.put(keys.build_owner_key("p"), b"e1")
    with pytest.RaisesGroup(journal.DeposedError):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(known.run)
            await trio.sleep(3.0)


@pytest.mark.parametrize("is_started", [False, True])
async def test_new_worker_gets_no_start_that_the_next_owner_can_not_know_of(
    is_started, autojump_clock
):
    """A task must not run twice because the next owner misses its worker.

    A worker registers while a task waits. The store goes away right after the
    owner has listed the worker, or right after its first start, for long enough
    that the owner's lease and all entries of workers expire. The next owner
    starts before the worker has registered again.
    """
    cluster = emulator.Cluster(3)
    async with trio.open_nursery() as nursery:
        await nursery.start(cluster.run)
        await trio.sleep(3.0)
        await cluster.submit(_make_job("aa", len(cluster.workers), 5.0))
        await trio.sleep(1.0)
        await cluster.submit(_make_job("bb", 1, 12.0))
        cluster.add_worker("w9", "r0-9")
        new_worker = cluster.workers["w9"]
        pool_owner = cluster.entries[cluster.find_owner()].pool_owners[
            clusters.POOL
        ]
        while not (
            new_worker.tasks
            if is_started
            else new_worker.entry.id in _list_workers(pool_owner)
        ):
            await trio.sleep(0.001)
        cluster.store.fault = stores.StoreFault.BUSY
        await trio.sleep(4.5)
        for name in cluster.workers:
            cluster.store.remove(clusters.WORKERS_PREFIX + name)
        cluster.store.fault = stores.StoreFault.NONE
        for name in cluster.workers:
            if name != "w9":
                cluster.write_worker_entry(name)
        await trio.sleep(1.9)
        cluster.write_worker_entry("w9")
        await trio.sleep(3.0)
        nursery.cancel_scope.cancel()
    assert cluster.oracle.broken == []


async def test_task_that_waits_starts_once_its_worker_is_recorded(
    autojump_clock,
):
    """A recorded worker must not wait for the next periodic decision."""
    cluster = emulator.Cluster(3)
    async with trio.open_nursery() as nursery:
        await nursery.start(cluster.run)
        await trio.sleep(3.0)
        await cluster.submit(_make_job("aa", len(cluster.workers) + 1, 9.0))
        await trio.sleep(1.1)
        cluster.add_worker("w9", "r0-9")
        await trio.sleep(0.05)
        assert cluster.workers["w9"].tasks
        nursery.cancel_scope.cancel()


def _list_workers(pool_owner):
    """Return the ids of the workers that an owner has listed."""
    return {
        worker_state.entry.worker
        for worker_state in pool_owner.pool_state.workers.values()
    }


def _make_job(suffix, task_count, expected_s):
    """Return a job whose tasks take a whole worker each."""
    return build.make_job(
        f"{suffix:0>16}",
        build.make_step(task_count, gpu=8, expected_s=expected_s),
        pool=clusters.POOL,
    )

"""Tests for how a successor treats workers that are unlisted at its start."""

import cbor2
import pytest
import trio

from crocusrouter import work
from crocusrouter.pools import clocks
from crocusrouter.pools import keys
from crocusrouter.pools import known_workers
from crocusrouter.pools import owner_leases
from crocusrouter.work.tests import build
from standins import emulator
from standins.emulator import cluster as clusters
from standins.emulator import store as stores


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
    store.put(keys.KNOWN_WORKERS + "p", cbor2.dumps([["w0", "w0:1", jobs]]))
    view = stores.StoreView(store, "e0")
    pool_state = work.PoolState(1)
    owner_lease = owner_leases.OwnerLease(
        view, "p", owner_leases.Holder("e0"), clocks.Clock()
    )
    known = known_workers.KnownWorkers(view, owner_lease, pool_state)
    await known.load()
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

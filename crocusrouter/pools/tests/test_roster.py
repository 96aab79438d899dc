"""What a successor makes of the workers that are not listed at its start."""

import cbor2
import pytest
import trio

from crocusrouter import work
from crocusrouter.pools import clock
from crocusrouter.pools import keys
from crocusrouter.pools import roster
from crocusrouter.pools import tenure
from crocusrouter.work.tests import build
from standins import emulator
from standins.emulator import cluster as clusters
from standins.emulator import store as stores


@pytest.mark.parametrize(
    ("jobs", "may_take"),
    [
        (None, True),  # it was listed as ready when the record was written
        ([], False),  # it drained then
        (["aa"], False),
    ],
)
async def test_worker_that_is_listed_again(jobs, may_take, autojump_clock):
    store = stores.Store(1)
    store.put(keys.KNOWN_WORKERS + "p", cbor2.dumps([["w0", "w0:1", jobs]]))
    view = stores.StoreView(store, "e0")
    book = work.PoolState(1)
    held = tenure.Tenure(view, "p", tenure.Holder("e0"), clock.Clock())
    opened = roster.Roster(view, held, book)
    await opened.load()
    [known] = opened.list_unlisted(0.0)
    known.reached = True
    assert not known.may_start_tasks(0.0)
    book.set_worker(build.make_entry("w0"), 1.0)
    assert known.may_start_tasks(1.0) is may_take


async def test_all_workers_are_used_after_an_outage_in_which_entries_lapsed(
    autojump_clock,
):
    """The store is away for 4.5 s; the owner's lease and all entries of workers
    run out meanwhile. The next owner reads an empty list, and the workers are
    listed again within two seconds.

    Those that ran something were taken for draining. Later their room was free,
    and a job that needs whole workers waited until the end of the day.
    """
    held = emulator.Cluster(3)
    async with trio.open_nursery() as nursery:
        await nursery.start(held.run)
        await trio.sleep(3.0)
        step = build.make_step(6, gpu=8, expected_s=20.0)
        job = build.make_job("00000000000000aa", step, pool=clusters.POOL)
        await held.submit(job)
        await trio.sleep(3.0)
        held.store.fault = stores.StoreFault.BUSY
        await trio.sleep(4.5)
        for name in held.workers:
            held.store.remove(clusters.WORKERS + name)
        held.store.fault = stores.StoreFault.NONE
        await trio.sleep(1.9)
        for name in held.workers:
            held.list_worker(name)
        await trio.sleep(3.0)
        owner = held.entries[held.find_owner()].owned[clusters.POOL]
        now = trio.current_time()
        usable = [w.may_start_tasks(now) for w in owner.book.workers.values()]
        nursery.cancel_scope.cancel()
    assert usable == [True] * len(held.workers)

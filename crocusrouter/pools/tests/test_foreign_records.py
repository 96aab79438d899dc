"""Tests for our records that another writer has overwritten."""

import cbor2
import pytest
import trio

from crocusrouter import codec
from crocusrouter import work
from crocusrouter.pools import backlog
from crocusrouter.pools import clocks
from crocusrouter.pools import keys
from crocusrouter.pools import known_workers
from crocusrouter.pools import members
from crocusrouter.pools import owner_leases
from crocusrouter.telemetry import Metrics
from crocusrouter.work.tests import build
from standins import emulator
from standins.emulator import store as stores


@pytest.mark.parametrize(
    "value", [b"", b"\xff\xfe", b"10.0.0.1", b":7000", b"a:b", b"a:1 much"]
)
def test_invalid_member_is_rejected(value):
    with pytest.raises(ValueError, match="."):
        members.parse_member(value)


@pytest.mark.parametrize(
    "value", [b"", b"\xff\xfe", cbor2.dumps(5), cbor2.dumps([[1], "x"])]
)
async def test_unreadable_list_of_workers_restores_none(value, autojump_clock):
    """An unreadable record must not end an owner.

    Each owner that took over failed too, so the pool had no owner until the
    record was repaired by hand.
    """
    store = stores.Store(1)
    store.put(keys.KNOWN_WORKERS + "match", value)
    view = stores.StoreView(store, "e0")
    owner_lease = owner_leases.OwnerLease(
        view, "match", owner_leases.Holder("e0"), clocks.Clock()
    )
    known = known_workers.KnownWorkers(
        view, owner_lease, work.PoolState(1), lambda _: True, lambda: None
    )
    await known.load()
    assert known.restore_unlisted(0.0) == []


async def test_unreadable_member_ends_no_entry(autojump_clock):
    """The entry that read such a record ended, and its callers were cut off."""
    cluster = emulator.Cluster(2)
    async with trio.open_nursery() as nursery:
        await nursery.start(cluster.run)
        await trio.sleep(4.0)
        cluster.store.put(keys.build_member_key("e1"), b"\xff")
        cluster.store.put(keys.build_member_key("odd"), b"nowhere")
        cluster.store.put(keys.build_member_key("new"), b"10.0.0.9:7000")
        await trio.sleep(3.0)
        member_lists = [
            entry.peers.list_members() for entry in cluster.entries.values()
        ]
        nursery.cancel_scope.cancel()
    assert len(member_lists) == 4
    assert all("new" in names for names in member_lists)
    assert not any("odd" in names for names in member_lists)


# Guards against an unreadable record that ends each owner of its pool.
@pytest.mark.parametrize("job_ids", [5, [["a"]], True])
async def test_unreadable_jobs_of_a_listed_worker_end_no_owner(
    job_ids, autojump_clock
):
    store = stores.Store(1)
    store.put(
        keys.KNOWN_WORKERS + "match",
        cbor2.dumps([["w0", "10.0.0.9:1", job_ids]]),
    )
    view = stores.StoreView(store, "e0")
    owner_lease = owner_leases.OwnerLease(
        view, "match", owner_leases.Holder("e0"), clocks.Clock()
    )
    known = known_workers.KnownWorkers(
        view, owner_lease, work.PoolState(1), lambda _: True, lambda: None
    )
    await known.load()
    known.restore_unlisted(0.0)


def _make_backlog(store, pool_state):
    return backlog.Backlog(
        stores.StoreView(store, "e0"),
        "p",
        pool_state,
        clocks.Clock(trio.current_time, trio.current_time),
        Metrics(),
        lambda: None,
    )


# Guards against one job's unreadable progress that ends each owner of a pool.
@pytest.mark.parametrize(
    "value",
    [
        cbor2.dumps(5),
        cbor2.dumps([None, None, [[0, 0, [], {}, {}, [1]]]]),
        cbor2.dumps([None, None, [[0, 0, [], {}, {}, {}, [1]]]]),
    ],
)
async def test_unreadable_progress_ends_no_owner(value, autojump_clock):
    store = stores.Store(1)
    job = build.make_job("j", build.make_step(2))
    store.put(keys.build_job_key("j"), codec.pack(job))
    store.put(keys.build_progress_key("j"), value)
    await _make_backlog(store, work.PoolState(1)).load()


# Guards against a job whose progress can't be read, and whose ended tasks
# start again once its record is read a second time.
async def test_job_with_unreadable_progress_never_starts_anew(autojump_clock):
    store = stores.Store(1)
    job = build.make_job("j", build.make_step(2))
    store.put(keys.build_job_key("j"), codec.pack(job))
    store.put(keys.build_progress_key("j"), b"\xff")
    pool_state = work.PoolState(1)
    jobs = _make_backlog(store, pool_state)
    await jobs.load()
    assert "j" not in pool_state.jobs
    await jobs._follower.load()
    assert "j" not in pool_state.jobs


# Guards against an entry that ends with an error because no connection can be
# opened to the address in another member's record.
@pytest.mark.parametrize(
    "value", [b"10.0.0.9:99999", b"[::1:7000", b"a..b:7000"]
)
def test_member_at_an_impossible_address_is_rejected(value):
    with pytest.raises(ValueError, match="."):
        members.parse_member(value)

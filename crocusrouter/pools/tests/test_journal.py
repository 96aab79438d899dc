"""Tests for journal writes that are late, lost, or of a replaced owner."""

import pytest
import trio

from crocusrouter import work
from crocusrouter.pools import clocks
from crocusrouter.pools import journal
from crocusrouter.pools import keys
from crocusrouter.pools import owner_leases
from crocusrouter.work.tests import build
from standins import emulator
from standins.emulator import store as stores

_CLOCK = clocks.Clock(trio.current_time, trio.current_time)


async def _open_journal(store, entry="e0"):
    owner_lease = owner_leases.OwnerLease(
        stores.StoreView(store, entry), "p", owner_leases.Holder(entry), _CLOCK
    )
    assert await owner_lease.acquire()
    pool_state = build.make_pool_state(build.make_job("j", build.make_step(3)))
    view = stores.StoreView(store, entry)
    return (
        owner_lease,
        pool_state,
        journal.Journal(view, owner_lease, pool_state, {}),
    )


def _read_progress(store):
    value = store.items[keys.build_progress_key("j")].value
    return work.parse_progress(value)


async def _end_task(pool_state, opened_journal, index):
    pool_state.jobs["j"].progress.get(0, 0).done.add(index)
    pool_state.dirty.add("j")
    opened_journal.wake()
    await opened_journal.settle()


@pytest.mark.parametrize(
    "fault", [emulator.StoreFault.LOST, emulator.StoreFault.LATE]
)
@pytest.mark.parametrize("seed", range(6))
async def test_late_write_never_replaces_a_newer_one(
    fault, seed, autojump_clock
):
    """An ended task must not start again after a takeover.

    A journal write gets no answer and is carried out seconds later, when a
    newer write already holds more ended tasks. Each write names the revision
    that it replaces, so the late write fails.
    """
    store = stores.Store(seed)
    async with trio.open_nursery() as nursery:
        _, pool_state, opened_journal = await _open_journal(store)
        store.fault = fault
        nursery.start_soon(opened_journal.run)
        for index in range(3):
            await _end_task(pool_state, opened_journal, index)
        await trio.sleep(20.0)
        nursery.cancel_scope.cancel()
    assert _read_progress(store).steps[0, 0].done == {0, 1, 2}


async def test_replaced_owner_writes_nothing(autojump_clock):
    """A replaced owner must not undo its successor's writes.

    An owner is suspended, its lease ends and another owner takes over. When it
    resumes, its write fails because it names the owner key at its own epoch.
    """
    store = stores.Store(1)
    owner_lease, pool_state, opened_journal = await _open_journal(store)
    store.remove(owner_lease.key)
    _, later_pool_state, later_journal = await _open_journal(store, "e1")
    async with trio.open_nursery() as nursery:
        nursery.start_soon(later_journal.run)
        await _end_task(later_pool_state, later_journal, 2)
        nursery.cancel_scope.cancel()
    pool_state.jobs["j"].progress.get(0, 0).done.add(0)
    pool_state.dirty.add("j")
    opened_journal.wake()
    with pytest.raises(journal.DeposedError):
        await opened_journal.run()
    assert _read_progress(store).steps[0, 0].done == {2}


async def test_owner_lease_counts_from_when_the_renewal_was_sent(
    autojump_clock,
):
    """An owner must not consider its lease valid after it has ended.

    The owner is suspended while the answer to its renewal is in flight. If the
    lease counted from the answer, it would send orders alongside its successor.
    """
    store = stores.Store(1)
    owner_lease, _, _ = await _open_journal(store)
    assert owner_lease.is_valid()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(owner_lease.renew_until_lost)
        await trio.sleep(5.0)
        assert owner_lease.is_valid()
        store.fault = emulator.StoreFault.SILENT
        await trio.sleep(owner_leases.TTL_S + 0.1)
        assert not owner_lease.is_valid()
        nursery.cancel_scope.cancel()


async def test_epoch_rises_with_each_owner(autojump_clock):
    store = stores.Store(1)
    first_lease, _, _ = await _open_journal(store)
    rival_lease = owner_leases.OwnerLease(
        stores.StoreView(store, "e1"), "p", owner_leases.Holder("e1"), _CLOCK
    )
    assert not await rival_lease.acquire()
    await first_lease.release()
    assert await rival_lease.acquire()
    assert rival_lease.epoch > first_lease.epoch


async def test_job_is_durable_only_once_its_write_was_answered(autojump_clock):
    """A successor restarts every task that it does not know to have ended."""
    store = stores.Store(1)
    async with trio.open_nursery() as nursery:
        _, pool_state, opened_journal = await _open_journal(store)
        nursery.start_soon(opened_journal.run)
        assert opened_journal.is_durable("j")
        store.fault = emulator.StoreFault.BUSY
        nursery.start_soon(_end_task, pool_state, opened_journal, 0)
        for _ in range(5):
            await trio.sleep(0.11)
            assert not opened_journal.is_durable("j")
        store.fault = emulator.StoreFault.NONE
        await trio.sleep(1.0)
        assert opened_journal.is_durable("j")
        nursery.cancel_scope.cancel()


# Guards against a journal that writes no job any more, and calls the store
# without a pause, once one job's progress record has been removed.
async def test_removed_progress_record_blocks_no_other_job(autojump_clock):
    store = stores.Store(1)
    async with trio.open_nursery() as nursery:
        _, pool_state, opened_journal = await _open_journal(store)
        nursery.start_soon(opened_journal.run)
        await _end_task(pool_state, opened_journal, 0)
        store.remove(keys.build_progress_key("j"))
        with trio.move_on_after(10.0):
            await _end_task(pool_state, opened_journal, 1)
        nursery.cancel_scope.cancel()
    assert _read_progress(store).steps[0, 0].done == {0, 1}

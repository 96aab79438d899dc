"""Journal writes that are late, lost, or another owner's."""

import pytest
import trio

from crocusrouter import work
from crocusrouter.pools import clock
from crocusrouter.pools import journal
from crocusrouter.pools import keys
from crocusrouter.pools import tenure
from crocusrouter.work.tests import build
from standins import emulator
from standins.emulator import store as stores

_CLOCK = clock.Clock(trio.current_time, trio.current_time)


async def _open(store, entry="e0"):
    held = tenure.Tenure(
        stores.StoreView(store, entry), "p", tenure.Holder(entry), _CLOCK
    )
    assert await held.take()
    book = build.make_pool_state(build.make_job("j", build.make_step(3)))
    view = stores.StoreView(store, entry)
    return held, book, journal.Journal(view, held, book, {})


def _read(store):
    value = store.items[keys.build_progress_key("j")].value
    return work.parse_progress(value)


async def _end_task(book, opened, index):
    book.jobs["j"].progress.get(0, 0).done.add(index)
    book.dirty.add("j")
    opened.wake()
    await opened.settle()


@pytest.mark.parametrize(
    "fault", [emulator.StoreFault.LOST, emulator.StoreFault.LATE]
)
@pytest.mark.parametrize("seed", range(6))
async def test_late_write_never_covers_a_newer_one(fault, seed, autojump_clock):
    """A task that has ended starts again after a takeover.

    A journal write gets no answer and is carried out seconds later; by then
    a newer one holds more ends. Each write names the revision that it
    replaces, so the late one fails.
    """
    store = stores.Store(seed)
    async with trio.open_nursery() as nursery:
        _, book, opened = await _open(store)
        store.fault = fault
        nursery.start_soon(opened.run)
        for index in range(3):
            await _end_task(book, opened, index)
        await trio.sleep(20.0)
        nursery.cancel_scope.cancel()
    assert _read(store).steps[0, 0].done == {0, 1, 2}


async def test_owner_that_was_replaced_writes_nothing(autojump_clock):
    """An owner is suspended, its lease ends and another takes over; when it
    wakes, its write would undo what the other has written.

    Each write names the owner's key at its own epoch.
    """
    store = stores.Store(1)
    held, book, opened = await _open(store)
    store.remove(held.key)
    _, later_book, later = await _open(store, "e1")
    async with trio.open_nursery() as nursery:
        nursery.start_soon(later.run)
        await _end_task(later_book, later, 2)
        nursery.cancel_scope.cancel()
    book.jobs["j"].progress.get(0, 0).done.add(0)
    book.dirty.add("j")
    opened.wake()
    with pytest.raises(journal.DeposedError):
        await opened.run()
    assert _read(store).steps[0, 0].done == {2}


async def test_tenure_counts_from_when_the_renewal_was_sent(autojump_clock):
    """An owner is suspended while the answer to its renewal is on its way,
    wakes after its lease has ended, and gives orders beside its successor.
    """
    store = stores.Store(1)
    held, _, _ = await _open(store)
    assert held.is_valid()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(held.keep)
        await trio.sleep(5.0)
        assert held.is_valid()
        store.fault = emulator.StoreFault.SILENT
        await trio.sleep(tenure.TTL_S + 0.1)
        assert not held.is_valid()
        nursery.cancel_scope.cancel()


async def test_epoch_rises_with_each_owner(autojump_clock):
    store = stores.Store(1)
    first, _, _ = await _open(store)
    rival = tenure.Tenure(
        stores.StoreView(store, "e1"), "p", tenure.Holder("e1"), _CLOCK
    )
    assert not await rival.take()
    await first.release()
    assert await rival.take()
    assert rival.epoch > first.epoch


async def test_job_is_durable_only_once_its_write_was_answered(autojump_clock):
    """A successor is told that it may start what it does not know has ended."""
    store = stores.Store(1)
    async with trio.open_nursery() as nursery:
        _, book, opened = await _open(store)
        nursery.start_soon(opened.run)
        assert opened.is_durable("j")
        store.fault = emulator.StoreFault.BUSY
        nursery.start_soon(_end_task, book, opened, 0)
        for _ in range(5):
            await trio.sleep(0.11)
            assert not opened.is_durable("j")
        store.fault = emulator.StoreFault.NONE
        await trio.sleep(1.0)
        assert opened.is_durable("j")
        nursery.cancel_scope.cancel()

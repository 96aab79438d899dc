"""What the record of parked jobs says, and what may be started by it."""

import math

import cbor2
import pytest
import trio

from crocusrouter import work
from crocusrouter.pools import journal
from crocusrouter.pools import keys
from crocusrouter.pools import parking
from crocusrouter.pools import tenure
from crocusrouter.work.tests import build
from standins.emulator import store as stores

_KEY = keys.PARKED + "p"
_JOB = "00000000000000aa"
# A write that is carried out late comes within 6 s.
_LATEST_TENTHS = 70


class _Times:
    wall = staticmethod(lambda: 1e6)
    steady = staticmethod(trio.current_time)


async def _open(store, book, is_durable=lambda job: True):
    """Return parking under a tenure that has just begun."""
    view = stores.StoreView(store, "e0")
    held = tenure.Tenure(view, "p", tenure.Holder("e0"), _Times())
    assert await held.take()
    return parking.Parking(view, held, book, is_durable, trio.current_time)


def _make_book():
    """Return a book in which one job waits for room, created after epoch 1."""
    return build.make_pool_state(build.make_job(_JOB, build.make_step()))


def _read(store):
    item = store.items.get(_KEY)
    return set(cbor2.loads(item.value)) if item is not None else set()


@pytest.mark.parametrize(
    "value",
    [b"", b"\xff", b"\x00", cbor2.dumps(None), cbor2.dumps(7)],
)
async def test_record_of_another_writer_names_no_job(value, autojump_clock):
    store = stores.Store(1)
    store.put(_KEY, value)
    opened = await _open(store, _make_book())
    assert await opened.load() == frozenset()


@pytest.mark.parametrize(("waited_s", "parked"), [(0.2, set()), (1.2, {_JOB})])
async def test_only_what_has_waited_is_recorded(
    waited_s, parked, autojump_clock
):
    """A job that starts at once must cost no write."""
    store = stores.Store(1)
    opened = await _open(store, _make_book())
    async with trio.open_nursery() as nursery:
        nursery.start_soon(opened.run)
        await trio.sleep(waited_s)
        nursery.cancel_scope.cancel()
    assert _read(store) == parked


@pytest.mark.parametrize(
    ("durable", "parked"), [(False, set()), (True, {_JOB})]
)
async def test_job_whose_ends_are_not_durable_is_not_recorded(
    durable, parked, autojump_clock
):
    """A task runs twice: it has ended, the journal could not be written, and a
    successor reads that nothing of the job runs and starts the task at once.
    """
    store = stores.Store(1)
    opened = await _open(store, _make_book(), lambda job: durable)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(opened.run)
        await trio.sleep(2.0)
        nursery.cancel_scope.cancel()
    assert _read(store) == parked


async def test_job_with_a_run_is_not_recorded(autojump_clock):
    store = stores.Store(1)
    book = build.make_pool_state(build.make_job(_JOB, build.make_step(2)))
    book.add_run(work.TaskKey(_JOB, 0, 0, 0), 1, "w0", 0.0)
    opened = await _open(store, book)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(opened.run)
        await trio.sleep(2.0)
        nursery.cancel_scope.cancel()
    assert _read(store) == set()


async def test_job_that_may_run_out_of_sight_is_not_recorded(autojump_clock):
    """An earlier owner may have started it on a worker that is silent."""
    store = stores.Store(1)
    book = _make_book()
    book.epoch = 100
    book.workers["w0"].reached = False
    opened = await _open(store, book)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(opened.run)
        await trio.sleep(2.0)
        nursery.cancel_scope.cancel()
    assert _read(store) == set()


@pytest.mark.parametrize("fault", [*stores.StoreFault])
async def test_job_has_left_the_record_when_its_start_may_be_sent(
    fault, autojump_clock
):
    """The store is in trouble while a job is recorded, and its turn comes.

    Whatever answers get lost, and whatever is carried out seconds later,
    `leave` returns only when the record can't name the job any more.
    """
    for seed in range(8):
        store = stores.Store(seed)
        book = _make_book()
        opened = await _open(store, book)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(opened.run)
            await trio.sleep(0.4)
            store.fault = fault
            await trio.sleep(0.8)
            book.add_run(work.TaskKey(_JOB, 0, 0, 0), 1, "w0", 1.2)
            with trio.move_on_after(4.0) as waiting:
                await opened.leave(_JOB)
                waiting.deadline = math.inf
                for _ in range(_LATEST_TENTHS):
                    assert _JOB not in _read(store)
                    await trio.sleep(0.1)
            nursery.cancel_scope.cancel()


async def test_job_that_turns_out_to_run_leaves_the_record(autojump_clock):
    """A worker reports a run that nobody has ordered: another writer, or a
    fault. The record must not go on saying that nothing of the job runs.
    """
    store = stores.Store(1)
    book = _make_book()
    opened = await _open(store, book)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(opened.run)
        await trio.sleep(2.5)
        assert _read(store) == {_JOB}
        book.add_run(work.TaskKey(_JOB, 0, 0, 0), 1, "w0", 2.5)
        await trio.sleep(1.5)
        nursery.cancel_scope.cancel()
    assert _read(store) == set()


async def test_successor_ends_the_writes_of_an_owner(autojump_clock):
    store = stores.Store(1)
    opened = await _open(store, _make_book())
    store.put(keys.build_owner_key("p"), b"e1")
    with pytest.RaisesGroup(journal.DeposedError):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(opened.run)
            await trio.sleep(3.0)

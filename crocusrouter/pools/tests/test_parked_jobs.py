"""Tests for the record of parked jobs and the starts that wait for it."""

import math

import cbor2
import pytest
import trio

from crocusrouter import work
from crocusrouter.pools import journal
from crocusrouter.pools import keys
from crocusrouter.pools import owner_leases
from crocusrouter.pools import parked_jobs
from crocusrouter.work.tests import build
from standins.emulator import store as stores

_KEY = keys.PARKED + "p"
_JOB = "00000000000000aa"
# A late write is carried out within 6 s.
_LATEST_TENTHS = 70


class _Clock:
    wall = staticmethod(lambda: 1e6)
    steady = staticmethod(trio.current_time)


async def _open_parked_jobs(store, pool_state, is_durable=lambda job: True):
    """Return parked jobs under an owner lease that has just begun."""
    view = stores.StoreView(store, "e0")
    owner_lease = owner_leases.OwnerLease(
        view, "p", owner_leases.Holder("e0"), _Clock()
    )
    assert await owner_lease.acquire()
    return parked_jobs.ParkedJobs(
        view, owner_lease, pool_state, is_durable, trio.current_time
    )


def _make_pool_state():
    """Return a state whose one job, created after epoch 1, waits for room."""
    return build.make_pool_state(build.make_job(_JOB, build.make_step()))


def _read_parked(store):
    item = store.items.get(_KEY)
    return set(cbor2.loads(item.value)) if item is not None else set()


@pytest.mark.parametrize(
    "value",
    [b"", b"\xff", b"\x00", cbor2.dumps(None), cbor2.dumps(7)],
)
async def test_invalid_record_names_no_job(value, autojump_clock):
    store = stores.Store(1)
    store.put(_KEY, value)
    parked_record = await _open_parked_jobs(store, _make_pool_state())
    assert await parked_record.load() == frozenset()


@pytest.mark.parametrize(
    ("waited_s", "expected"), [(0.2, set()), (1.2, {_JOB})]
)
async def test_only_jobs_that_have_waited_are_recorded(
    waited_s, expected, autojump_clock
):
    """A job that starts at once must cost no write."""
    store = stores.Store(1)
    parked_record = await _open_parked_jobs(store, _make_pool_state())
    async with trio.open_nursery() as nursery:
        nursery.start_soon(parked_record.run)
        await trio.sleep(waited_s)
        nursery.cancel_scope.cancel()
    assert _read_parked(store) == expected


@pytest.mark.parametrize(
    ("durable", "expected"), [(False, set()), (True, {_JOB})]
)
async def test_job_with_undurable_ended_tasks_is_not_recorded(
    durable, expected, autojump_clock
):
    """An ended task must not run twice.

    The journal could not be written after the task ended. If the job were
    recorded, a successor would assume that nothing of it runs and start the
    task at once.
    """
    store = stores.Store(1)
    parked_record = await _open_parked_jobs(
        store, _make_pool_state(), lambda job: durable
    )
    async with trio.open_nursery() as nursery:
        nursery.start_soon(parked_record.run)
        await trio.sleep(2.0)
        nursery.cancel_scope.cancel()
    assert _read_parked(store) == expected


async def test_job_with_a_run_is_not_recorded(autojump_clock):
    store = stores.Store(1)
    pool_state = build.make_pool_state(build.make_job(_JOB, build.make_step(2)))
    pool_state.add_run(work.TaskKey(_JOB, 0, 0, 0), 1, "w0", 0.0)
    parked_record = await _open_parked_jobs(store, pool_state)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(parked_record.run)
        await trio.sleep(2.0)
        nursery.cancel_scope.cancel()
    assert _read_parked(store) == set()


async def test_job_that_may_run_on_a_silent_worker_is_not_recorded(
    autojump_clock,
):
    """An earlier owner may have started it on a silent worker."""
    store = stores.Store(1)
    pool_state = _make_pool_state()
    pool_state.epoch = 100
    pool_state.workers["w0"].reached = False
    parked_record = await _open_parked_jobs(store, pool_state)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(parked_record.run)
        await trio.sleep(2.0)
        nursery.cancel_scope.cancel()
    assert _read_parked(store) == set()


@pytest.mark.parametrize("fault", [*stores.StoreFault])
async def test_job_is_removed_from_the_record_before_its_start(
    fault, autojump_clock
):
    """A start is sent only once no stored record can name its job.

    The store is in trouble while a job is recorded and its turn comes.
    Whichever answers get lost, and whatever is carried out seconds later,
    `wait_until_removed` returns only when the record can't name the job any
    more.
    """
    for seed in range(8):
        store = stores.Store(seed)
        pool_state = _make_pool_state()
        parked_record = await _open_parked_jobs(store, pool_state)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(parked_record.run)
            await trio.sleep(0.4)
            store.fault = fault
            await trio.sleep(0.8)
            pool_state.add_run(work.TaskKey(_JOB, 0, 0, 0), 1, "w0", 1.2)
            with trio.move_on_after(4.0) as wait_scope:
                await parked_record.wait_until_removed(_JOB)
                wait_scope.deadline = math.inf
                for _ in range(_LATEST_TENTHS):
                    assert _JOB not in _read_parked(store)
                    await trio.sleep(0.1)
            nursery.cancel_scope.cancel()


async def test_job_reported_as_running_is_removed_from_the_record(
    autojump_clock,
):
    """A worker reports a run that was never ordered, because of another writer
    or a fault. The record must stop naming its job.
    """
    store = stores.Store(1)
    pool_state = _make_pool_state()
    parked_record = await _open_parked_jobs(store, pool_state)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(parked_record.run)
        await trio.sleep(2.5)
        assert _read_parked(store) == {_JOB}
        pool_state.add_run(work.TaskKey(_JOB, 0, 0, 0), 1, "w0", 2.5)
        await trio.sleep(1.5)
        nursery.cancel_scope.cancel()
    assert _read_parked(store) == set()


async def test_deposed_owner_stops_writing(autojump_clock):
    store = stores.Store(1)
    parked_record = await _open_parked_jobs(store, _make_pool_state())
    store.put(keys.build_owner_key("p"), b"e1")
    with pytest.RaisesGroup(journal.DeposedError):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(parked_record.run)
            await trio.sleep(3.0)

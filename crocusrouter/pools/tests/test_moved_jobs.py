"""Tests for moves of jobs whose writes are late, lost, or meet other writes."""

import dataclasses

import pytest
import trio

from crocusrouter import codec
from crocusrouter import work
from crocusrouter.pools import backlog
from crocusrouter.pools import clocks
from crocusrouter.pools import journal
from crocusrouter.pools import keys
from crocusrouter.pools import owner_leases
from crocusrouter.telemetry import Metrics
from crocusrouter.work import moves
from crocusrouter.work.tests import build
from standins import emulator
from standins.emulator import store as stores

_CLOCK = clocks.Clock(trio.current_time, trio.current_time)
_JOB_KEY = keys.build_job_key("j")
_PROGRESS_KEY = keys.build_progress_key("j")
_JOB = build.make_job("j", build.make_step(4))


async def _open_former(store):
    """Return the state and the journal of the pool that has accepted a job."""
    view = stores.StoreView(store, "e0")
    owner_lease = owner_leases.OwnerLease(
        view, "p", owner_leases.Holder("e0"), _CLOCK
    )
    assert await owner_lease.acquire()
    store.put(_JOB_KEY, codec.pack(_JOB))
    pool_state = build.make_pool_state()
    pool_state.pool = "p"
    build.add_job(pool_state, _JOB, store.items[_JOB_KEY].revision)
    build.apply_plan(pool_state)
    opened_journal = journal.Journal(view, owner_lease, pool_state, {})
    return owner_lease, pool_state, opened_journal


def _set_queue_pool(pool_state, opened_journal, pool, version):
    pool_state.queue_pools = {"q": pool}
    pool_state.config_version = version
    moves.mark_moves(pool_state)
    opened_journal.wake()


def _read_stored(store):
    job = codec.unpack(work.Job, store.items[_JOB_KEY].value)
    progress = work.parse_progress(store.items[_PROGRESS_KEY].value)
    return job, progress


# Guards against an owner that starts tasks of a job which a write of its own,
# carried out late, has moved away.
@pytest.mark.parametrize(
    "fault", [emulator.StoreFault.LOST, emulator.StoreFault.LATE]
)
@pytest.mark.parametrize("returns", [False, True])
@pytest.mark.parametrize("seed", range(6))
async def test_owner_knows_whether_its_move_took_place(
    fault, returns, seed, autojump_clock
):
    store = stores.Store(seed)
    _, pool_state, opened_journal = await _open_former(store)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(opened_journal.run)
        store.fault = fault
        _set_queue_pool(pool_state, opened_journal, "other", 2)
        await trio.sleep(0.4)
        if returns:
            _set_queue_pool(pool_state, opened_journal, "p", 3)
        await trio.sleep(20.0)
        nursery.cancel_scope.cancel()
    job, progress = _read_stored(store)
    tracked_job = pool_state.jobs["j"]
    assert not tracked_job.is_being_moved
    assert tracked_job.is_home == (progress.home in ("", "p"))
    assert job.pool == (progress.home or "p")
    assert returns or progress.home == "other"


# Guards against an owner that moves jobs of a pool which another one owns.
async def test_replaced_owner_moves_nothing(autojump_clock):
    store = stores.Store(1)
    owner_lease, pool_state, opened_journal = await _open_former(store)
    store.remove(owner_lease.key)
    _set_queue_pool(pool_state, opened_journal, "other", 2)
    with pytest.raises(journal.DeposedError):
        await opened_journal.run()
    assert codec.unpack(work.Job, store.items[_JOB_KEY].value) == _JOB
    assert _PROGRESS_KEY not in store.items


# Guards against a cancel that a move overwrites.
async def test_cancel_before_a_move_is_kept(autojump_clock):
    store = stores.Store(1)
    _, pool_state, opened_journal = await _open_former(store)
    cancelled_job = dataclasses.replace(_JOB, cancelled=True)
    store.put(_JOB_KEY, codec.pack(cancelled_job))
    _set_queue_pool(pool_state, opened_journal, "other", 2)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(opened_journal.run)
        await trio.sleep(2.0)
        nursery.cancel_scope.cancel()
    assert codec.unpack(work.Job, store.items[_JOB_KEY].value) == cancelled_job
    assert pool_state.jobs["j"].job.cancelled
    assert {stop.key.position for _, stop in pool_state.outbox} == {0, 1, 2, 3}


class _InterruptedView(stores.StoreView):
    """Has something happen after the first read of a prefix."""

    def __init__(self, store, interrupt):
        super().__init__(store, "e1")
        self._interrupt = interrupt

    async def read_prefix(self, prefix):
        snapshot = await super().read_prefix(prefix)
        interrupt, self._interrupt = self._interrupt, lambda: None
        interrupt()
        return snapshot


# Guards against tasks that run or are done in the former pool, and start again
# since an owner has read a job's progress as of before the move.
@pytest.mark.parametrize("is_loaded_before", [False, True])
async def test_job_arrives_with_the_progress_of_its_move(
    is_loaded_before, autojump_clock
):
    store = stores.Store(1)
    _, former, _ = await _open_former(store)
    former.jobs["j"].progress.steps[0, 0].done.add(0)
    store.put(_PROGRESS_KEY, work.dump_progress(work.Progress()))

    def move():
        former.queue_pools, former.config_version = {"q": "other"}, 2
        moves.mark_moves(former)
        update = moves.build_update(
            former, former.jobs["j"], frozenset(), may_move=True
        )
        store.put(_PROGRESS_KEY, work.dump_progress(update.progress))
        store.put(_JOB_KEY, codec.pack(update.job))

    present = build.make_pool_state()
    present.pool = "other"
    jobs = backlog.Backlog(
        _InterruptedView(store, (lambda: None) if is_loaded_before else move),
        "other",
        present,
        _CLOCK,
        Metrics(),
        lambda: None,
    )
    async with trio.open_nursery() as nursery:
        await jobs.load()
        nursery.start_soon(jobs.run)
        if is_loaded_before:
            move()
        await trio.sleep(3.0)
        nursery.cancel_scope.cancel()
    progress = present.jobs["j"].progress.steps[0, 0]
    assert progress.done == {0}
    assert progress.held == dict.fromkeys((1, 2, 3), "p")
    present.open_due_occurrences(build.WALL, 3.0)
    assert work.plan(present, 3.0, build.WALL).placements == []


# Guards against a successor that takes a job for one which no earlier owner has
# started: a pool that holds tasks of the job has written its record since.
async def test_loaded_job_waits_for_unreported_workers(autojump_clock):
    store = stores.Store(1)
    job = dataclasses.replace(_JOB, moves=1)
    progress = work.Progress(home="p", moves=1, was_started=True)
    store.put(_PROGRESS_KEY, work.dump_progress(progress))
    store.put(_JOB_KEY, codec.pack(job))
    successor = build.make_pool_state()
    successor.pool = "p"
    successor.epoch = store.items[_JOB_KEY].revision - 1
    successor.workers["w0"].reached = False
    view = stores.StoreView(store, "e1")
    await backlog.Backlog(
        view, "p", successor, _CLOCK, Metrics(), lambda: None
    ).load()
    successor.open_due_occurrences(build.WALL, 0.0)
    assert work.plan(successor, 0.0, build.WALL).placements == []
    successor.workers["w0"].reached = True
    assert work.plan(successor, 0.0, build.WALL).placements != []

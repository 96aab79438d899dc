"""Tests for submissions while the store does not answer."""

import dataclasses

import pytest
import trio

from crocusrouter import codec
from crocusrouter import pools
from crocusrouter import work
from crocusrouter.pools import keys
from crocusrouter.pools import shared_lease
from crocusrouter.pools import tombstones
from crocusrouter.store import key_value
from crocusrouter.work.tests import build
from standins import emulator
from standins.emulator import cluster as clusters

_PATIENCE_S = 3.0
_JOB_ID = "0123456789abcdef"
# Callers ask four times, whatever they are told, and soon after each refusal.
_TRY_COUNT = 4
_TRY_PAUSE_S = 0.4


def _make_job(job_id=_JOB_ID):
    return build.make_job(job_id, build.make_step(1))


def _make_pool_job():
    return dataclasses.replace(_make_job(), pool=clusters.POOL)


class _World:
    def __init__(self, cluster):
        self.cluster = cluster

    async def submit(self, job, entry="e0", patience_s=_PATIENCE_S):
        """Submit a job once; return the outcome and how long it took."""
        began_at = trio.current_time()
        self.cluster.oracle.jobs[job.id] = job
        outcome = await self.cluster.entries[entry].job_api.accept(
            job, None, patience_s
        )
        return outcome, trio.current_time() - began_at

    def is_stored(self, job):
        """Tell whether a job is stored; a tombstone is none."""
        key = keys.build_job_key(job.id)
        if key not in self.cluster.store.items:
            return False
        stored = codec.unpack(work.Job, self.cluster.store.items[key].value)
        return not tombstones.is_tombstone(stored)

    async def cancel(self, job, entry="e1"):
        return await self.cluster.entries[entry].job_api.cancel(job.id)

    async def find_state(self, job, entry="e2"):
        job_api = self.cluster.entries[entry].job_api
        return await job_api.find_state(clusters.POOL, job.id)

    def has_started(self, job):
        return job.id in self.cluster.oracle.first_started_at


async def _play(action, fault, outage_s, lead_s=0.0):
    """Perform an action some time after the start of an outage.

    Returns:
        The action's result, and the world some seconds after the outage.
    """
    cluster = clusters.Cluster(1)
    world = _World(cluster)
    async with trio.open_nursery() as nursery:
        await nursery.start(cluster.run)
        await trio.sleep(3.0)
        cluster.store.fault = fault

        async def end_outage():
            await trio.sleep(outage_s)
            cluster.store.fault = emulator.StoreFault.NONE

        nursery.start_soon(end_outage)
        await trio.sleep(lead_s)
        result = await action(world)
        await trio.sleep(outage_s + 8.0)
        nursery.cancel_scope.cancel()
    return result, world


_FAULTS = [emulator.StoreFault.BUSY, emulator.StoreFault.SILENT]


# Guards against callers that give up although the store serves again while
# they still wait: a silent store's first write is in doubt, and a known outage
# was refused at once.
@pytest.mark.parametrize("fault", _FAULTS)
@pytest.mark.parametrize(
    ("outage_s", "lead_s"), [(0.5, 0.0), (1.2, 0.0), (3.0, 2.3)]
)
async def test_job_is_stored_if_the_store_serves_while_its_caller_waits(
    outage_s, lead_s, fault, autojump_clock
):
    job = _make_job()
    (outcome, _), world = await _play(
        lambda world: world.submit(job), fault, outage_s, lead_s
    )
    if fault is emulator.StoreFault.BUSY and outage_s - lead_s > 1.0:
        # Certainly not stored, so refused while the caller can ask again.
        assert outcome is pools.AcceptOutcome.NOT_STORED
        return
    assert outcome is pools.AcceptOutcome.STORED
    assert world.is_stored(job)


# Guards against calls that are held until their callers have no time left to
# ask again, and against a refusal that isn't true.
@pytest.mark.parametrize("fault", _FAULTS)
async def test_known_outage_is_refused_with_time_left(fault, autojump_clock):
    job = _make_job()
    (outcome, took_s), world = await _play(
        lambda world: world.submit(job), fault, 9.0, 3.0
    )
    assert outcome is pools.AcceptOutcome.NOT_STORED
    assert took_s < 0.3 * _PATIENCE_S + 0.2
    assert not world.is_stored(job)


# Guards against an answer after the caller has left.
@pytest.mark.parametrize("fault", list(emulator.StoreFault))
@pytest.mark.parametrize("lead_s", [0.0, 0.5, 3.0])
async def test_answer_comes_while_the_caller_waits(
    lead_s, fault, autojump_clock
):
    job = _make_job()
    (_, took_s), _ = await _play(
        lambda world: world.submit(job), fault, 9.0, lead_s
    )
    assert took_s < _PATIENCE_S


@pytest.mark.parametrize("fault", _FAULTS)
async def test_call_of_unknown_patience_does_not_wait(fault, autojump_clock):
    job = _make_job()
    (outcome, took_s), _ = await _play(
        lambda world: world.submit(job, patience_s=0.0), fault, 9.0, 3.0
    )
    assert outcome is pools.AcceptOutcome.NOT_STORED
    assert took_s < 0.1


async def _submit_until_accepted(world, number, accepted):
    """Submit as callers do: four tries, at one entry after another."""
    job = _make_job(f"{number:016x}")
    await trio.sleep(0.1 * number)
    for attempt in range(_TRY_COUNT):
        entry = f"e{(number + attempt) % 4}"
        outcome, _ = await world.submit(job, entry)
        if outcome is pools.AcceptOutcome.STORED:
            accepted.add(job.id)
            return
        await trio.sleep(_TRY_PAUSE_S)


# Guards against a load that is lost in an outage of four seconds: each caller
# asks four times within two seconds, and only those that came last were served.
@pytest.mark.parametrize("fault", _FAULTS)
async def test_callers_of_an_outage_of_four_seconds_are_served(
    fault, autojump_clock
):
    accepted = set()

    async def submit_all(world):
        async with trio.open_nursery() as nursery:
            for number in range(40):
                nursery.start_soon(
                    _submit_until_accepted, world, number, accepted
                )

    await _play(submit_all, fault, 4.2)
    assert len(accepted) >= 36


# Guards against a run of a cancelled job: the write of the job was carried out
# after its cancel had been answered with "no such job".
async def test_job_stored_after_its_cancel_was_answered_does_not_run(
    autojump_clock, monkeypatch
):
    job = _make_pool_job()
    late_outcomes = []

    async def submit_and_cancel(world):
        store = world.cluster.store
        apply = store.apply

        def apply_and_record(guards, writes, removals):
            outcome = apply(guards, writes, removals)
            if any(write.value == codec.pack(job) for write in writes):
                late_outcomes.append(outcome)
            return outcome

        monkeypatch.setattr(store, "apply", apply_and_record)
        with monkeypatch.context() as patch:
            # Every write is carried out at least a second later.
            patch.setattr(store.random, "random", lambda: 0.0)
            with trio.move_on_after(0.9):
                await world.submit(job, patience_s=0.0)
        store.fault = emulator.StoreFault.NONE
        assert not late_outcomes
        return await world.cancel(job)

    outcome, world = await _play(
        submit_and_cancel, emulator.StoreFault.LATE, 5.0
    )
    assert outcome is pools.CancelOutcome.NO_JOB
    assert late_outcomes
    assert all(isinstance(o, key_value.Mismatched) for o in late_outcomes)
    assert not world.is_stored(job)
    assert not world.has_started(job)


# Guards against a run of a job whose cancel and submission overlap. Each call
# of the store takes 2 ms here: the cancel reads the job after 2 ms and would
# store its tombstone after 6 ms.
@pytest.mark.parametrize(
    ("submitted_at", "cancelled_at", "expected"),
    [
        (0.0, 0.05, pools.CancelOutcome.DONE),
        (0.003, 0.0, pools.CancelOutcome.DONE),
        (0.005, 0.0, pools.CancelOutcome.NO_JOB),
        (0.05, 0.0, pools.CancelOutcome.NO_JOB),
        (5.0, 0.0, pools.CancelOutcome.NO_JOB),
    ],
)
async def test_job_and_its_cancel_are_one_cancelled_job_in_any_order(
    submitted_at, cancelled_at, expected, autojump_clock, monkeypatch
):
    job = _make_pool_job()
    outcomes = {}

    async def submit_and_cancel(world):
        store = world.cluster.store
        monkeypatch.setattr(store.random, "uniform", lambda low, _: low)

        async def submit():
            await trio.sleep(submitted_at)
            outcomes["submit"], _ = await world.submit(job)

        async def cancel():
            await trio.sleep(cancelled_at)
            outcomes["cancel"] = await world.cancel(job)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(submit)
            nursery.start_soon(cancel)
        await trio.sleep(3.0)
        outcomes["state"] = await world.find_state(job)
        outcomes["second cancel"] = await world.cancel(job)

    _, world = await _play(submit_and_cancel, emulator.StoreFault.NONE, 0.0)
    assert outcomes == {
        "submit": pools.AcceptOutcome.STORED,
        "cancel": expected,
        "state": work.State.CANCELLED,
        "second cancel": pools.CancelOutcome.DONE,
    }
    assert world.is_stored(job)
    running = [worker.tasks for worker in world.cluster.workers.values()]
    assert not any(running)
    if expected is pools.CancelOutcome.NO_JOB:
        assert not world.has_started(job)


# Guards against a state of a job that nobody submitted, and against tombstones
# that stay for good or end before writes that were sent before the cancel.
async def test_cancel_of_no_job_leaves_a_tombstone_for_a_while(autojump_clock):
    job = _make_pool_job()
    key = keys.build_job_key(job.id)

    async def cancel(world):
        store = world.cluster.store
        for _ in range(3):
            assert await world.cancel(job) is pools.CancelOutcome.NO_JOB
            assert await world.find_state(job) is None
            await trio.sleep(shared_lease.MIN_LIFETIME_S - 1.0)
            assert key in store.items
        await trio.sleep(2 * shared_lease.MIN_LIFETIME_S)
        assert key not in store.items
        outcome, _ = await world.submit(job)
        return outcome

    outcome, world = await _play(cancel, emulator.StoreFault.NONE, 0.0)
    assert outcome is pools.AcceptOutcome.STORED
    assert world.has_started(job)


# Guards against cancels that fail as long as their entry believes in a lease
# that the store has ended.
async def test_cancel_survives_the_end_of_the_lease(autojump_clock):
    job = _make_pool_job()
    key = keys.build_job_key(job.id)

    async def cancel(world):
        store = world.cluster.store
        assert await world.cancel(job) is pools.CancelOutcome.NO_JOB
        store.leases.pop(store.items[key].lease)
        store.remove(key)
        # Peers, which have leases of their own, can't help.
        world.cluster.partitioned_entries.add("e1")
        return await world.cancel(job)

    outcome, world = await _play(cancel, emulator.StoreFault.NONE, 0.0)
    assert outcome is pools.CancelOutcome.NO_JOB
    leases = world.cluster.store.leases
    assert world.cluster.store.items[key].lease in leases


# Guards against an uncancelled job by a submission that has met a tombstone
# which ended, or was renewed by another cancel, before its next write.
@pytest.mark.parametrize("is_renewed", [False, True])
async def test_submission_stays_cancelled_if_its_tombstone_changes(
    is_renewed, autojump_clock, monkeypatch
):
    job = _make_pool_job()
    key = keys.build_job_key(job.id)

    async def cancel_and_submit(world):
        assert await world.cancel(job) is pools.CancelOutcome.NO_JOB
        store = world.cluster.store
        apply = store.apply

        def apply_and_change(guards, writes, removals):
            outcome = apply(guards, writes, removals)
            monkeypatch.setattr(store, "apply", apply)
            if is_renewed:
                store.put(key, tombstones.build_tombstone(job.id, 0.0))
            else:
                store.remove(key)
            return outcome

        monkeypatch.setattr(store, "apply", apply_and_change)
        outcome, _ = await world.submit(job)
        return outcome

    outcome, world = await _play(
        cancel_and_submit, emulator.StoreFault.NONE, 0.0
    )
    assert outcome is pools.AcceptOutcome.STORED
    assert world.is_stored(job)
    assert not world.has_started(job)


# Guards against the answer "no such job" while the tombstone's write is
# unanswered: a job that is stored before it runs.
async def test_cancel_with_an_unanswered_tombstone_is_unknown(
    autojump_clock, monkeypatch
):
    job = _make_pool_job()

    async def cancel(world):
        store = world.cluster.store
        with monkeypatch.context() as patch:
            # Every write is carried out six seconds later.
            patch.setattr(store.random, "random", lambda: 0.0)
            patch.setattr(store.random, "uniform", lambda _, high: high)
            outcome = await world.cancel(job)
        store.fault = emulator.StoreFault.NONE
        return outcome

    outcome, world = await _play(cancel, emulator.StoreFault.LATE, 10.0)
    assert outcome is pools.CancelOutcome.UNKNOWN
    assert not world.is_stored(job)


# Guards against an unknown outcome although the tombstone of an unanswered try
# is there.
async def test_cancel_finds_its_own_tombstone(autojump_clock, monkeypatch):
    job = _make_pool_job()

    async def cancel(world):
        store = world.cluster.store
        monkeypatch.setattr(store.random, "random", lambda: 0.0)
        return await world.cancel(job)

    outcome, _ = await _play(cancel, emulator.StoreFault.LOST, 10.0)
    assert outcome is pools.CancelOutcome.NO_JOB


# Guards against an error in place of an answer: a record under the job's key
# that can't be read is no tombstone.
async def test_unreadable_record_counts_as_the_job(autojump_clock):
    job = _make_pool_job()

    async def submit(world):
        world.cluster.store.put(keys.build_job_key(job.id), b"\xff")
        outcome, _ = await world.submit(job)
        return outcome

    outcome, _ = await _play(submit, emulator.StoreFault.NONE, 0.0)
    assert outcome is pools.AcceptOutcome.STORED


# Guards against a cancel or a question that ends with an internal error, so
# that its caller is told neither a reason nor when to come back.
@pytest.mark.parametrize("call", ["cancel", "find_state"])
async def test_unreadable_job_is_answered(call, autojump_clock):
    async def ask(world):
        key = keys.build_job_key(_JOB_ID)
        world.cluster.store.put(key, b"\xff")
        try:
            return await getattr(world, call)(_make_job())
        except pools.StateUnknownError:
            return None

    answer, _ = await _play(ask, emulator.StoreFault.NONE, 0.1)
    assert answer in (
        None,
        pools.CancelOutcome.UNKNOWN,
        pools.CancelOutcome.NOT_TRIED,
    )


# Guards against callers that are told that there is no such job, or that the
# outcome of a cancel is unknown although nothing was written.
async def test_unreadable_job_is_neither_cancelled_nor_missing(autojump_clock):
    key = keys.build_job_key(_JOB_ID)

    async def ask(world):
        world.cluster.store.put(key, b"\xff")
        with pytest.raises(pools.StateUnknownError):
            await world.find_state(_make_job())
        return await world.cancel(_make_job())

    outcome, world = await _play(ask, emulator.StoreFault.NONE, 0.1)
    assert outcome is pools.CancelOutcome.NOT_TRIED
    assert world.cluster.store.items[key].value == b"\xff"


# Guards against an internal error as the answer about a job of which only the
# progress can't be read.
async def test_state_of_a_job_with_unreadable_progress_is_unknown(
    autojump_clock,
):
    job = _make_job()

    async def ask(world):
        store = world.cluster.store
        store.put(keys.build_job_key(job.id), codec.pack(job))
        store.put(keys.build_progress_key(job.id), b"\xff")
        with pytest.raises(pools.StateUnknownError):
            await world.find_state(job)

    await _play(ask, emulator.StoreFault.NONE, 0.1)

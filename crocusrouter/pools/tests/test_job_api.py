"""Tests for submissions while the store does not answer."""

import dataclasses

import pytest
import trio

from crocusrouter import pools
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
        return any(job.id in key for key in self.cluster.store.items)


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
    job = dataclasses.replace(_make_job(), pool=clusters.POOL)

    async def submit_and_cancel(world):
        store = world.cluster.store
        with monkeypatch.context() as patch:
            # Every write is carried out at least a second later.
            patch.setattr(store.random, "random", lambda: 0.0)
            with trio.move_on_after(0.9):
                await world.submit(job, patience_s=0.0)
        store.fault = emulator.StoreFault.NONE
        assert not world.is_stored(job)
        return await world.cluster.entries["e1"].job_api.cancel(job.id)

    outcome, world = await _play(
        submit_and_cancel, emulator.StoreFault.LATE, 5.0
    )
    assert outcome is pools.CancelOutcome.NO_JOB
    assert world.is_stored(job)
    assert job.id not in world.cluster.oracle.first_started_at

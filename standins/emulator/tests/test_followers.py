"""How long followers of the store miss a change after every kind of trouble.

An owner whose watch had lost its answer in a silent outage waited on it for
15 s more. Jobs went on being accepted and none of them was started; a worker
that had said it leaves got tasks for 5 s. The connection was open and answered
keep-alive probes, and other calls of the same process were served.
"""

import pytest
import trio

from crocusrouter import codec
from crocusrouter import work
from crocusrouter.pools import keys
from crocusrouter.pools import prefix_follower
from standins import emulator
from standins.emulator import cluster as clusters
from standins.emulator import faults
from standins.emulator import store as stores

_SETTLED_S = 6.0
_POLL_S = 0.01
# Peers tell of a missed change with their heartbeats, one a second to owners,
# neighbours and a peer drawn anew.
_TOLD_S = 2.5


def _put_job(held):
    step = work.Step(1, work.Room(1000, 512, 1), 1.0)
    job = work.Job(
        "00000000000000aa",
        "q",
        clusters.POOL,
        "a",
        0,
        1,
        2.0,
        1.0,
        "",
        (step,),
        1_700_000_000.0,
    )
    held.oracle.jobs[job.id] = job
    held.oracle.accepted.add(job.id)
    held.store.put(keys.build_job_key(job.id), codec.pack(job))


def _hears_job(held):
    owner = held.entries.get(held.find_owner() or "")
    return owner is not None and (
        "00000000000000aa" in owner.pool_owners[clusters.POOL].book.jobs
    )


def _drain(held):
    held.drain_worker("w1")


def _hears_drain(held):
    owner = held.entries.get(held.find_owner() or "")
    if owner is None:
        return False
    book = owner.pool_owners[clusters.POOL].book
    found = book.workers.get(work.map_incarnations(book).get("w1", ""))
    return found is not None and found.sealed


def _configure(held):
    held.put_config({"a": 8, "b": 16})


def _hears_configuration(held):
    return all(
        entry.configuration.version == 3 for entry in held.entries.values()
    )


def _add_member(held):
    held.store.put(keys.build_member_key("new"), b"10.0.0.9:7000")


def _hears_member(held):
    return all(
        "new" in entry.peers.list_members() for entry in held.entries.values()
    )


_FOLLOWERS = {
    "jobs": (_put_job, _hears_job),
    "workers": (_drain, _hears_drain),
    "configuration": (_configure, _hears_configuration),
    "members": (_add_member, _hears_member),
}


async def _measure(held, follower, trouble, for_s):
    """Return the seconds from the end of a trouble to the change's hearing."""
    change, hears = _FOLLOWERS[follower]
    async with trio.open_nursery() as nursery:
        await nursery.start(held.run)
        held.store.lapses = False
        await trio.sleep(_SETTLED_S)
        assert held.find_owner() is not None
        async with trio.open_nursery() as striking:
            striking.start_soon(
                faults.strike, held, faults.Event(0.0, trouble, for_s)
            )
            await trio.sleep(for_s / 2)
            change(held)
        ended = trio.current_time()
        with trio.move_on_after(30.0):
            while not hears(held):
                await trio.sleep(_POLL_S)
        nursery.cancel_scope.cancel()
    return trio.current_time() - ended


@pytest.mark.parametrize("follower", list(_FOLLOWERS))
@pytest.mark.parametrize(
    "trouble",
    [
        emulator.Fault.STORE_SILENT,
        emulator.Fault.STORE_BUSY,
        emulator.Fault.STORE_SLOW,
        emulator.Fault.STORE_LOST,
        emulator.Fault.STORE_LATE,
        emulator.Fault.COMPACT,
        emulator.Fault.COMPACT_LATE,
        emulator.Fault.CUT_OWNER_FROM_STORE,
        emulator.Fault.CUT_OWNER,
    ],
)
async def test_followers_hear_of_changes_after_trouble(
    trouble, follower, autojump_clock
):
    """A change is made in the middle of four seconds of trouble."""
    held = clusters.Cluster(5)
    behind_s = await _measure(held, follower, trouble, 4.0)
    assert behind_s <= prefix_follower.MAX_CATCH_UP_S


@pytest.mark.parametrize("for_s", [0.3, 0.8, 1.5])
@pytest.mark.parametrize(
    ("follower", "bound_s"),
    [
        ("jobs", prefix_follower.MAX_CATCH_UP_S),
        ("workers", prefix_follower.MAX_CATCH_UP_S),
        ("configuration", _TOLD_S),
        ("members", _TOLD_S),
    ],
)
async def test_followers_hear_after_silence_that_few_calls_met(
    follower, bound_s, for_s, autojump_clock
):
    """The silence is so short that most entries make no call in it.

    Only the answers of their open watches are lost, which nothing shows.
    """
    held = clusters.Cluster(5)
    behind_s = await _measure(
        held, follower, emulator.Fault.STORE_SILENT, for_s
    )
    assert behind_s <= bound_s


async def test_silence_of_one_entry_alone(autojump_clock):
    """One entry's watches lose their answers; its other calls are few.

    Its peers hear of a new member, and tell it with their heartbeats.
    """
    held = clusters.Cluster(5)
    async with trio.open_nursery() as nursery:
        await nursery.start(held.run)
        await trio.sleep(_SETTLED_S)
        name = next(n for n in held.entries if n != held.find_owner())
        held.store.turned_away[name] = stores.StoreFault.SILENT
        await trio.sleep(0.2)
        _add_member(held)
        await trio.sleep(0.2)
        del held.store.turned_away[name]
        await trio.sleep(_TOLD_S)
        assert "new" in held.entries[name].peers.list_members()
        nursery.cancel_scope.cancel()

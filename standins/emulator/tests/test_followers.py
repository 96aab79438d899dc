"""After any fault of the store, watchers learn of changes within a time bound.

When the answer to an owner's watch was lost in a silent outage, the owner
waited for it 15 s more. Jobs were accepted meanwhile but not started, and a
draining worker got tasks for 5 s. The connection stayed open and answered
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

_SETTLE_S = 6.0
_POLL_S = 0.01
# Peers report a missed change in their heartbeats, which they send each second
# to owners, to neighbours and to a random peer.
_PEER_REPORT_S = 2.5
# A watch that is refused is replaced by a read after 1 s, and an answer that is
# lost in between is noticed 1 s later.
_LONGEST_WAIT_S = 2.8


def _put_job(cluster):
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
    cluster.oracle.jobs[job.id] = job
    cluster.oracle.accepted.add(job.id)
    cluster.store.put(keys.build_job_key(job.id), codec.pack(job))


def _knows_job(cluster):
    owner = cluster.entries.get(cluster.find_owner() or "")
    return owner is not None and (
        "00000000000000aa" in owner.pool_owners[clusters.POOL].pool_state.jobs
    )


def _drain(cluster):
    cluster.drain_worker("w1")


def _knows_drain(cluster):
    owner = cluster.entries.get(cluster.find_owner() or "")
    if owner is None:
        return False
    pool_state = owner.pool_owners[clusters.POOL].pool_state
    found = pool_state.workers.get(
        work.map_incarnations(pool_state).get("w1", "")
    )
    return found is not None and found.was_draining


def _configure(cluster):
    cluster.put_config({"a": 8, "b": 16})


def _knows_configuration(cluster):
    return all(
        entry.configuration.version == 3 for entry in cluster.entries.values()
    )


def _add_member(cluster):
    cluster.store.put(keys.build_member_key("new"), b"10.0.0.9:7000")


def _knows_member(cluster):
    return all(
        "new" in entry.peers.list_members()
        for entry in cluster.entries.values()
    )


_FOLLOWERS = {
    "jobs": (_put_job, _knows_job),
    "workers": (_drain, _knows_drain),
    "configuration": (_configure, _knows_configuration),
    "members": (_add_member, _knows_member),
}


async def _measure_delay(cluster, follower, fault, duration_s):
    """Return the seconds from the end of a fault until a change is known."""
    change, knows_change = _FOLLOWERS[follower]
    async with trio.open_nursery() as nursery:
        await nursery.start(cluster.run)
        cluster.store.leases_expire = False
        await trio.sleep(_SETTLE_S)
        assert cluster.find_owner() is not None
        async with trio.open_nursery() as fault_nursery:
            fault_nursery.start_soon(
                faults.inject_fault,
                cluster,
                faults.FaultEvent(0.0, fault, duration_s),
            )
            await trio.sleep(duration_s / 2)
            change(cluster)
        fault_ended_at = trio.current_time()
        with trio.move_on_after(30.0):
            while not knows_change(cluster):
                await trio.sleep(_POLL_S)
        nursery.cancel_scope.cancel()
    return trio.current_time() - fault_ended_at


@pytest.mark.parametrize("follower", list(_FOLLOWERS))
@pytest.mark.parametrize(
    "fault",
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
async def test_followers_learn_of_changes_after_a_fault(
    fault, follower, autojump_clock
):
    """A change is made in the middle of a fault of four seconds."""
    cluster = clusters.Cluster(5)
    delay_s = await _measure_delay(cluster, follower, fault, 4.0)
    assert delay_s <= prefix_follower.MAX_CATCH_UP_S


@pytest.mark.parametrize("duration_s", [0.3, 0.8, 1.5])
@pytest.mark.parametrize(
    ("follower", "bound_s"),
    [
        ("jobs", prefix_follower.MAX_CATCH_UP_S),
        ("workers", prefix_follower.MAX_CATCH_UP_S),
        ("configuration", _PEER_REPORT_S),
        ("members", _PEER_REPORT_S),
    ],
)
async def test_followers_learn_of_changes_after_a_short_silence(
    follower, bound_s, duration_s, autojump_clock
):
    """The silence is so short that most entries make no call during it.

    Only the answers to their open watches are lost, and they can't notice it.
    """
    cluster = clusters.Cluster(5)
    delay_s = await _measure_delay(
        cluster, follower, emulator.Fault.STORE_SILENT, duration_s
    )
    assert delay_s <= bound_s


async def test_silence_of_one_entry_alone(autojump_clock):
    """One entry loses the answers to its watches; it makes few other calls.

    Its peers learn of a new member and report it in their heartbeats.
    """
    cluster = clusters.Cluster(5)
    async with trio.open_nursery() as nursery:
        await nursery.start(cluster.run)
        await trio.sleep(_SETTLE_S)
        name = next(n for n in cluster.entries if n != cluster.find_owner())
        cluster.store.entry_faults[name] = stores.StoreFault.SILENT
        await trio.sleep(0.2)
        _add_member(cluster)
        await trio.sleep(0.2)
        del cluster.store.entry_faults[name]
        await trio.sleep(_PEER_REPORT_S)
        assert "new" in cluster.entries[name].peers.list_members()
        nursery.cancel_scope.cancel()


# Guards against accepted jobs that stand for 3 s beside idle workers while the
# store refuses some watches and serves all else, and does not answer the owner
# for a moment.
@pytest.mark.parametrize("silent_s", [0.0, 0.1, 0.5, 1.0])
@pytest.mark.parametrize(
    "prefixes",
    [
        (),
        (keys.JOBS,),
        (clusters.WORKERS_PREFIX,),
        (keys.JOBS, clusters.WORKERS_PREFIX),
    ],
    ids=["none", "jobs", "workers", "both"],
)
async def test_jobs_start_although_watches_are_refused(
    prefixes, silent_s, autojump_clock
):
    cluster = clusters.Cluster(5)
    accepted_at = {}

    async def submit(number):
        step = work.Step(1, work.Room(1000, 512, 1), 1.0)
        job = work.Job(
            f"{number:016x}",
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
        if await cluster.submit(job) == "accepted":
            accepted_at[job.id] = trio.current_time()

    async with trio.open_nursery() as nursery:
        await nursery.start(cluster.run)
        await trio.sleep(_SETTLE_S)
        cluster.store.rejected_prefixes.update(prefixes)
        for number in range(40):
            if silent_s and number % 8 == 4:
                owner = cluster.find_owner()
                cluster.store.entry_faults[owner] = stores.StoreFault.SILENT
                await trio.sleep(silent_s)
                cluster.store.entry_faults.clear()
            nursery.start_soon(submit, number)
            await trio.sleep(0.37)
        await trio.sleep(4.0)
        nursery.cancel_scope.cancel()
    assert len(accepted_at) > 30
    assert cluster.oracle.first_started_at.keys() >= accepted_at.keys()
    waits_s = [
        cluster.oracle.first_started_at[job_id] - at
        for job_id, at in accepted_at.items()
    ]
    assert max(waits_s) < _LONGEST_WAIT_S

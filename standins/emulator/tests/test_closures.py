"""Days on which operators close data centres to new work."""

import os

import pytest
import trio

from crocusrouter.pools import closures
from standins import emulator
from standins.emulator import closure_oracle as oracles
from standins.emulator import cluster as clusters
from standins.emulator import faults
from standins.emulator import store as stores

_SEED_COUNT = int(os.environ.get("CROCUSROUTER_DAYS", "4"))
# From the start of a day to the start of its load.
_LEAD_S = 2.0
_BESIDE = {
    "alone": (),
    "lost power": (emulator.Fault.KILL_ALL, emulator.Fault.LOSE_DATA_CENTRE),
    "killed owner": (emulator.Fault.KILL_OWNER,),
    "outages": (
        emulator.Fault.STORE_SILENT,
        emulator.Fault.STORE_BUSY,
        emulator.Fault.STORE_SLOW,
        emulator.Fault.STORE_LOST,
    ),
    "cuts": (
        emulator.Fault.CUT_OWNER_FROM_STORE,
        emulator.Fault.CUT_OWNER,
        emulator.Fault.CUT_DATA_CENTRE,
        emulator.Fault.CUT_WORKER,
    ),
    "lost answers": (
        emulator.Fault.LOSE_ANSWERS,
        emulator.Fault.LOSE_PEERS,
        emulator.Fault.REFUSE_WATCHES,
        emulator.Fault.COMPACT_LATE,
    ),
    "late orders": (
        emulator.Fault.LATE_ORDERS,
        emulator.Fault.FREEZE_OWNER,
        emulator.Fault.STOP_ENTRY,
    ),
    "restarts": faults.RESTART_FAULTS,
}


# Guards against a start, long after a closure, by an owner that has missed it,
# has just taken over, was cut off, or had the start reserved or on its way.
@pytest.mark.parametrize("seed", range(_SEED_COUNT))
@pytest.mark.parametrize("beside", list(_BESIDE))
async def test_no_task_starts_in_a_closed_data_centre(
    beside, seed, autojump_clock
):
    load = emulator.Load(per_s=2.0, advised=0.1)
    events = emulator.choose_faults(
        seed, 3, load.length_s, faults.CLOSURE_FAULTS
    )
    if _BESIDE[beside]:
        events += emulator.choose_faults(
            seed + 5, 4, load.length_s, _BESIDE[beside]
        )
    cluster = await emulator.play(seed, load, events)
    assert cluster.oracle.broken == []
    assert cluster.closure_oracle.broken == []
    assert len(cluster.oracle.accepted) > 5


# Guards against tasks that run twice, gangs that start in part, and jobs that
# are lost when the power of the owner's data centre fails, or its links do.
@pytest.mark.parametrize("seed", range(_SEED_COUNT))
@pytest.mark.parametrize("fault", faults.DATA_CENTRE_FAULTS)
async def test_days_with_a_lost_data_centre_keep_the_rules(
    fault, seed, autojump_clock
):
    load = emulator.Load(per_s=2.0)
    events = emulator.choose_faults(seed, 2, load.length_s, [fault])
    events += emulator.choose_faults(
        seed + 9, 2, load.length_s, faults.FAULTS_BEFORE_CLOSURES
    )
    cluster = await emulator.play(seed, load, events)
    assert cluster.oracle.broken == []


# Guards against an oracle that sees nothing: without the product's safeguard
# it must find starts in the closed data centre.
async def test_oracle_finds_starts_of_owners_that_ignore_closures(
    autojump_clock, monkeypatch
):
    monkeypatch.setattr(
        closures.Closures, "data_centres", property(lambda _: frozenset())
    )
    events = [faults.FaultEvent(3.0, emulator.Fault.CLOSE_ONE, 5.0)]
    cluster = await emulator.play(1, emulator.Load(per_s=2.0), events)
    assert any(" evac: " in line for line in cluster.oracle.broken)


# Guards against an owner that goes on by an old list of closures: the store
# loses its answers on the operators' keys, and nobody else may tell it.
async def test_oracle_finds_starts_of_owners_with_an_old_list(
    autojump_clock, monkeypatch
):
    assert await _play_deaf_owner() == []
    monkeypatch.setattr(closures.Closures, "is_fresh", lambda *_: True)
    assert any(" evac: " in line for line in await _play_deaf_owner())


async def _play_deaf_owner():
    cluster = clusters.Cluster(2, entries=1)
    async with trio.open_nursery() as nursery:
        await nursery.start(cluster.run)
        await trio.sleep(_LEAD_S)
        cluster.store.rejected_prefixes.add(clusters.OPERATORS_PREFIX)
        cluster.store.unread_prefixes.add(clusters.OPERATORS_PREFIX)
        # Ends the open watches.
        cluster.store.compact()
        await trio.sleep(0.1)
        cluster.close_data_centre("liege")
        load = emulator.Load(per_s=10.0, length_s=4.0, gangs=0.0, poison=0.0)
        await _submit_all(cluster, nursery, load)
        await trio.sleep(20.0)
        nursery.cancel_scope.cancel()
    return cluster.closure_oracle.broken


async def _submit_at(cluster, at, job):
    await trio.sleep(at)
    await cluster.submit(job)


async def _submit_all(cluster, nursery, load):
    for at, job in load.draw(3):
        nursery.start_soon(_submit_at, cluster, at, job)


def _count_starts(cluster, data_centre):
    return sum(
        worker.started_runs
        for worker in cluster.workers.values()
        if worker.entry.data_centre == data_centre
    )


# Guards against room that stays unused after operators have opened a data
# centre again.
async def test_opened_data_centre_is_used_within_a_second(autojump_clock):
    cluster = clusters.Cluster(3)
    async with trio.open_nursery() as nursery:
        await nursery.start(cluster.run)
        await trio.sleep(_LEAD_S)
        for name in clusters.DATA_CENTRES:
            cluster.close_data_centre(name)
        await trio.sleep(1.0)
        load = emulator.Load(per_s=4.0, length_s=4.0, gangs=0.0, poison=0.0)
        await _submit_all(cluster, nursery, load)
        await trio.sleep(5.0)
        starts = [
            _count_starts(cluster, name) for name in clusters.DATA_CENTRES
        ]
        assert starts == [0, 0]
        cluster.open_data_centre("namur")
        await trio.sleep(1.0)
        assert _count_starts(cluster, "namur") > 0
        assert _count_starts(cluster, "liege") == 0
        nursery.cancel_scope.cancel()


# Guards against workers that are taken for broken because they are slow for a
# while after their data centre was closed.
async def test_cold_workers_are_used_after_the_opening(autojump_clock):
    cluster = clusters.Cluster(5)
    async with trio.open_nursery() as nursery:
        await nursery.start(cluster.run)
        await trio.sleep(_LEAD_S)
        cluster.close_data_centre("namur")
        await trio.sleep(2.0)
        for name in cluster.list_workers_in("namur"):
            cluster.workers[name].speed = 0.4
        cluster.open_data_centre("namur")
        load = emulator.Load(per_s=3.0, length_s=8.0, gangs=0.0, poison=0.0)
        await _submit_all(cluster, nursery, load)
        await trio.sleep(6.0)
        before = _count_starts(cluster, "namur")
        await trio.sleep(4.0)
        assert _count_starts(cluster, "namur") > before > 0
        await trio.sleep(60.0)
        states = await cluster.read_states()
        assert set(states.values()) == {"done"}
        nursery.cancel_scope.cancel()


# Guards against a closure that is missed because its answer is lost, its
# history is dropped, it has an unusual value, or it comes among many.
@pytest.mark.parametrize(
    "how", ["calm", "lost", "compacted", "not JSON", "many", "malformed"]
)
async def test_closure_takes_effect_in_time(how, autojump_clock):
    cluster = clusters.Cluster(4)
    async with trio.open_nursery() as nursery:
        await nursery.start(cluster.run)
        await trio.sleep(_LEAD_S)
        await _close_liege(cluster, nursery, how)
        await trio.sleep(oracles.CLOSURE_APPLY_S)
        before = _count_starts(cluster, "liege")
        load = emulator.Load(per_s=4.0, length_s=4.0, gangs=0.0, poison=0.0)
        await _submit_all(cluster, nursery, load)
        await trio.sleep(6.0)
        assert _count_starts(cluster, "liege") == before
        assert _count_starts(cluster, "namur") > 0
        nursery.cancel_scope.cancel()
    assert cluster.list_owner_failures() == []


async def _close_liege(cluster, nursery, how):
    owner = cluster.find_owner()
    value = b"{"
    match how:
        case "lost":
            cluster.store.entry_faults[owner] = stores.StoreFault.SILENT
            cluster.close_data_centre("liege")
            await trio.sleep(0.1)
            del cluster.store.entry_faults[owner]
            return
        case "compacted":
            nursery.start_soon(cluster.store.compact_after_pause)
            await trio.sleep(0.1)
        case "many":
            for number in range(10):
                cluster.close_data_centre(f"unknown-{number}")
        case "malformed":
            for key in ("", " ", "a/b"):
                cluster.store.put(clusters.CLOSURES_PREFIX + key, b"{}")
        case "calm":
            value = b"{}"
    cluster.close_data_centre("liege", value)

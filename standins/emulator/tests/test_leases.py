"""Leases of workers between an owner and its successor."""

import os

import pytest
import trio

from crocusrouter import work
from crocusrouter.pools import keys
from standins import emulator
from standins.emulator import cluster as clusters
from standins.emulator import faults

_SEED_COUNT = int(os.environ.get("CROCUSROUTER_DAYS", "6"))
_TASK_S = 30.0


def _make_job(number, tasks=1, expected_s=_TASK_S):
    step = work.Step(tasks, work.Room(1000, 4096, 4), expected_s)
    return work.Job(
        f"{number:016x}",
        steps=(step,),
        queue="q",
        pool=clusters.POOL,
        customer="a",
        priority=2,
        max_attempts=3,
        slack=3.0,
        target_s=5.0,
        payload=f"job {number}",
        accepted_at=1_700_000_000.0,
    )


def _record_renewals(worker, lowest_epoch):
    """Return a list that gets, for each report, whether it renews the lease."""
    renewals = []
    build_report = worker.build_report

    def build_recorded_report(epoch, confirmed, until_ms):
        if epoch >= lowest_epoch:
            renewals.append(until_ms is not None)
        return build_report(epoch, confirmed, until_ms)

    worker.build_report = build_recorded_report
    return renewals


async def _run_beside_the_owner(cluster):
    """Run a job in the owner's data centre; return the other one."""
    await trio.sleep(3.0)
    other_data_centre = next(
        name
        for name in clusters.DATA_CENTRES
        if cluster.find_owner() not in cluster.list_entries_in(name)
    )
    cluster.close_data_centre(other_data_centre)
    await trio.sleep(3.0)
    await cluster.submit(_make_job(1, tasks=3))
    await trio.sleep(2.0)
    cluster.open_data_centre(other_data_centre)
    return other_data_centre


# Guards against an owner that goes on renewing leases in a partition because
# entries within it answer, while its successor counts those leases as ended.
@pytest.mark.parametrize("drawn_s", [2.5, 5.0])
@pytest.mark.parametrize("seed", range(_SEED_COUNT))
async def test_partition_of_the_owners_data_centre(
    drawn_s, seed, autojump_clock
):
    cluster = emulator.Cluster(seed)
    event = faults.FaultEvent(
        0.0, emulator.Fault.PARTITION_DATA_CENTRE, drawn_s
    )
    async with trio.open_nursery() as nursery:
        await nursery.start(cluster.run)
        await _run_beside_the_owner(cluster)
        await faults.inject_fault(cluster, event)
        await trio.sleep(60.0)
        cluster.oracle.check_final_states(await cluster.read_states())
        nursery.cancel_scope.cancel()
    assert cluster.oracle.broken == []
    assert cluster.list_owner_failures() == []


# Guards against an owner that goes on renewing leases beside a successor that
# it doesn't ask: the successor's key had expired, and is back since the
# partition.
@pytest.mark.parametrize("gone_s", [0.1, 0.5, 1.5])
async def test_partition_from_entries_that_were_not_registered(
    gone_s, autojump_clock
):
    cluster = emulator.Cluster(1)
    async with trio.open_nursery() as nursery:
        await nursery.start(cluster.run)
        other_data_centre = await _run_beside_the_owner(cluster)
        for name in cluster.list_entries_in(other_data_centre):
            member_key = keys.build_member_key(name)
            del cluster.store.leases[cluster.store.items[member_key].lease]
            cluster.store.remove(member_key)
        await trio.sleep(gone_s)
        event = faults.FaultEvent(
            0.0, emulator.Fault.PARTITION_DATA_CENTRE, 5.0
        )
        await faults.inject_fault(cluster, event)
        await trio.sleep(60.0)
        cluster.oracle.check_final_states(await cluster.read_states())
        nursery.cancel_scope.cancel()
    assert cluster.oracle.broken == []
    assert cluster.list_owner_failures() == []


# Guards against a lease that outlasts what the successor assumes because the
# worker was idle for long and its clock is slow.
@pytest.mark.parametrize("renews", [False, True])
@pytest.mark.parametrize("idle_s", [1.0, 80.0, 200.0])
@pytest.mark.parametrize("clock_rate", [0.98, 1.0, 1.02])
async def test_handover_after_a_start_on_an_idle_worker(
    clock_rate, idle_s, renews, autojump_clock
):
    """The owner is stopped; its successor reads the worker's clock, in half of
    the rows renews the lease once, and then the worker is cut off.
    """
    cluster = emulator.Cluster(5, worker_count=3)
    for worker in cluster.workers.values():
        worker.clock_rate = clock_rate
    async with trio.open_nursery() as nursery:
        await nursery.start(cluster.run)
        await trio.sleep(3.0 + idle_s)
        await cluster.submit(_make_job(1, expected_s=20.0))
        await trio.sleep(0.1)
        worker = next(w for w in cluster.workers.values() if w.tasks)
        owner = cluster.find_owner()
        first_epoch = worker.highest_epoch
        renewals = _record_renewals(worker, first_epoch + 1)
        async with trio.open_nursery() as stop_nursery:
            stop_nursery.start_soon(cluster.entries[owner].release_all)
            with trio.fail_after(5.0):
                while worker.highest_epoch == first_epoch or (
                    renews and not any(renewals)
                ):
                    await trio.sleep(0.005)
            worker.unreachable_from = set(cluster.entry_names)
        cluster.kill_entry(owner)
        await trio.sleep(40.0)
        nursery.cancel_scope.cancel()
    assert cluster.oracle.broken == []


# Guards against work that ends in an outage of the key-value service which all
# entries see, so that nobody can have succeeded the owner.
@pytest.mark.parametrize(
    "fault", [emulator.StoreFault.SILENT, emulator.StoreFault.BUSY]
)
@pytest.mark.parametrize("leases_expire", [False, True])
async def test_runs_survive_an_outage_that_all_entries_see(
    fault, leases_expire, autojump_clock
):
    cluster = emulator.Cluster(5)
    cluster.store.leases_expire = leases_expire
    async with trio.open_nursery() as nursery:
        await nursery.start(cluster.run)
        await trio.sleep(3.0)
        await cluster.submit(_make_job(1, tasks=6))
        await trio.sleep(1.0)
        cluster.store.fault = fault
        await trio.sleep(20.0)
        cluster.store.fault = emulator.StoreFault.NONE
        await trio.sleep(20.0)
        nursery.cancel_scope.cancel()
    started_runs = sum(w.started_runs for w in cluster.workers.values())
    assert started_runs == 6
    assert cluster.oracle.broken == []

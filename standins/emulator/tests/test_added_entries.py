"""Entries that an owner can't know of, because they came after it was cut off.

In each scene all entries outside the owner's data centre have left before that
data centre is cut off, and others start meanwhile. Runs of the owner's data
centre go on as long as it renews their leases.
"""

from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import os
import random

import pytest
import trio

from crocusrouter import work
from standins import emulator
from standins.emulator import cluster as clusters
from standins.emulator import faults

# Entries that have left are no longer members after this time.
_FORGOTTEN_S = 17.0
# Within this time tasks of a data centre that is lost for good start again,
# whoever the successor is.
_RECOVERY_S = 30.0
_TASK_S = 90.0
_SEED_COUNT = int(os.environ.get("CROCUSROUTER_DAYS", "8"))
_PARTITION_COUNT = 2
# How long jobs may take after a drawn history, in which they may start again.
_CALM_S = _TASK_S + 2 * _RECOVERY_S


def _make_job(tasks: int, number: int = 1, task_s: float = _TASK_S) -> work.Job:
    return work.Job(
        f"{number:016x}",
        steps=(work.Step(tasks, work.Room(1000, 4096, 4), task_s),),
        queue="q",
        pool=clusters.POOL,
        customer="a",
        priority=2,
        max_attempts=3,
        slack=3.0,
        target_s=5.0,
        payload="job 1",
        accepted_at=1_700_000_000.0,
    )


@dataclasses.dataclass
class _Scene:
    """A cluster whose entries are all in the owner's data centre.

    Attributes:
        cluster: The cluster.
        near: The owner's data centre.
        far: The other one.
        gone: Names of the entries that have left the other one.
    """

    cluster: emulator.Cluster
    near: str
    far: str
    gone: list[str]

    async def cut_near(self, cut_s: float) -> None:
        """Cut the owner's data centre off from all else for a while."""
        event = faults.FaultEvent(
            0.0, emulator.Fault.PARTITION_DATA_CENTRE, cut_s / 4
        )
        await faults.inject_fault(self.cluster, event)

    def lose_near(self) -> None:
        """Lose the owner's data centre for good."""
        for name in self.cluster.list_entries_in(self.near):
            self.cluster.kill_entry(name)
        for name in self.cluster.list_workers_in(self.near):
            self.cluster.crash_worker(name)

    def count_running(self) -> int:
        """Return how many tasks run."""
        workers = self.cluster.workers.values()
        return sum(len(worker.tasks) for worker in workers)

    def find_far_owner(self) -> str:
        """Return the owner of the pool in the other data centre."""
        return next(
            name
            for name in self.cluster.list_entries_in(self.far)
            if name in self.cluster.entries
            and clusters.POOL in self.cluster.entries[name].pool_owners
        )


async def _play(
    play: Callable[[_Scene], Awaitable[None]], *, seed: int, tasks: int = 3
) -> emulator.Cluster:
    """Run a job in the owner's data centre, which then has all entries."""
    cluster = emulator.Cluster(seed)
    async with trio.open_nursery() as nursery:
        await nursery.start(cluster.run)
        await trio.sleep(3.0)
        near, far = sorted(
            clusters.DATA_CENTRES,
            key=lambda name: (
                cluster.find_owner() not in cluster.list_entries_in(name)
            ),
        )
        cluster.close_data_centre(far)
        await trio.sleep(3.0)
        await cluster.submit(_make_job(tasks))
        await trio.sleep(2.0)
        cluster.open_data_centre(far)
        gone = list(cluster.list_entries_in(far))
        for name in gone:
            await cluster.entries[name].release_all()
            cluster.kill_entry(name)
        await trio.sleep(_FORGOTTEN_S)
        await play(_Scene(cluster, near, far, gone))
        nursery.cancel_scope.cancel()
    assert cluster.list_owner_failures() == []
    return cluster


async def _add_one(scene: _Scene) -> None:
    scene.cluster.add_entry("n0", scene.far)


async def _add_two(scene: _Scene) -> None:
    scene.cluster.add_entry("n0", scene.far)
    scene.cluster.add_entry("n1", scene.far)


async def _add_one_that_returns(scene: _Scene) -> None:
    scene.cluster.start_entry(scene.gone[0])


async def _add_one_late(scene: _Scene) -> None:
    await trio.sleep(6.0)
    scene.cluster.add_entry("n0", scene.far)


async def _kill_the_successor(scene: _Scene) -> None:
    """Add two entries, and kill the one that owns the pool."""
    scene.cluster.add_entry("n0", scene.far)
    await trio.sleep(4.0)
    scene.cluster.add_entry("n1", scene.far)
    await trio.sleep(3.0)
    scene.cluster.kill_entry(scene.find_far_owner())


async def _release_the_successor(scene: _Scene) -> None:
    """Add two entries; the one that owns the pool stops as planned."""
    scene.cluster.add_entry("n0", scene.far)
    await trio.sleep(4.0)
    scene.cluster.add_entry("n1", scene.far)
    await trio.sleep(3.0)
    successor = scene.find_far_owner()
    await scene.cluster.entries[successor].release_all()
    scene.cluster.kill_entry(successor)


async def _restart_the_successor(scene: _Scene) -> None:
    """Kill the successor, which starts again under its own name."""
    scene.cluster.add_entry("n0", scene.far)
    await trio.sleep(6.0)
    scene.cluster.kill_entry("n0")
    await trio.sleep(1.0)
    scene.cluster.start_entry("n0")


async def _replace_successors_in_turn(scene: _Scene) -> None:
    """Kill each successor a second after its takeover; others follow."""
    for number in range(4):
        scene.cluster.add_entry(f"n{number}", scene.far)
        await trio.sleep(4.0)
        scene.cluster.kill_entry(f"n{number}")
    scene.cluster.add_entry("n4", scene.far)


# Guards against a successor that counts leases as ended while an owner that
# has never heard of it goes on renewing them.
@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("cut_s", [12.0, 40.0])
@pytest.mark.parametrize(
    "add",
    [
        _add_one,
        _add_two,
        _add_one_that_returns,
        _add_one_late,
        _kill_the_successor,
        _release_the_successor,
        _restart_the_successor,
        _replace_successors_in_turn,
    ],
)
async def test_no_task_runs_twice_beside_added_entries(
    add, cut_s, seed, autojump_clock
):
    async def play(scene):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(scene.cut_near, cut_s)
            await trio.sleep(0.02)
            await add(scene)
        await trio.sleep(_TASK_S + _RECOVERY_S)
        states = await scene.cluster.read_states()
        scene.cluster.oracle.check_final_states(states)

    cluster = await _play(play, seed=seed)
    assert cluster.oracle.broken == []


# Guards against a successor that waits without end for an owner and workers
# that are lost for good.
@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize(
    "add", [_add_one, _add_two, _add_one_that_returns, _add_one_late]
)
async def test_tasks_of_a_lost_data_centre_start_again(
    add, seed, autojump_clock
):
    async def play(scene):
        scene.lose_near()
        await add(scene)
        with trio.fail_after(_RECOVERY_S):
            while scene.count_running() < 3:
                await trio.sleep(0.05)

    cluster = await _play(play, seed=seed)
    assert cluster.oracle.broken == []


class _DrawnHistory:
    """Entries that leave, are lost, return and are added beside partitions."""

    def __init__(self, cluster: emulator.Cluster, seed: int) -> None:
        self._cluster = cluster
        self._random = random.Random(f"added entries {seed}")
        self._added_count = 0

    async def run(self) -> None:
        """Play some partitions, each after entries have left."""
        for _ in range(_PARTITION_COUNT):
            await self._remove_from_the_other_side()
            await trio.sleep(self._random.choice([0.1, 3.0, 9.0, 18.0]))
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._cut_the_owner)
                await trio.sleep(0.1)
                await self._take_steps(nursery)
            for name in self._list_gone():
                self._cluster.start_entry(name)
            await trio.sleep(self._random.choice([1.0, 6.0]))

    async def _take_steps(self, nursery: trio.Nursery) -> None:
        for _ in range(self._random.randint(1, 4)):
            step = self._random.choice(
                [
                    self._start_gone,
                    self._add,
                    self._add,
                    self._lose_one,
                    self._silence_the_store,
                ]
            )
            nursery.start_soon(step)
            await trio.sleep(self._random.choice([0.1, 1.0, 4.0]))

    def _list_gone(self) -> list[str]:
        cluster = self._cluster
        return [n for n in cluster.entry_names if n not in cluster.entries]

    def _find_owner_side(self) -> str | None:
        owner = self._cluster.find_owner()
        for data_centre in clusters.DATA_CENTRES:
            if owner in self._cluster.list_entries_in(data_centre):
                return data_centre
        return None

    async def _cut_the_owner(self) -> None:
        drawn_s = self._random.choice([2.5, 4.0, 6.0])
        event = faults.FaultEvent(
            0.0, emulator.Fault.PARTITION_DATA_CENTRE, drawn_s
        )
        await faults.inject_fault(self._cluster, event)

    async def _remove_from_the_other_side(self) -> None:
        near = self._find_owner_side()
        for data_centre in clusters.DATA_CENTRES:
            if data_centre == near or near is None:
                continue
            for name in self._cluster.list_entries_in(data_centre):
                await self._remove(name)

    async def _remove(self, name: str) -> None:
        entry = self._cluster.entries.get(name)
        if entry is not None and len(self._cluster.entries) > 1:
            with trio.move_on_after(3.0):
                await entry.release_all()
            if self._cluster.entries.get(name) is entry:
                self._cluster.kill_entry(name)

    async def _lose_one(self) -> None:
        names = list(self._cluster.entries)
        if len(names) > 1:
            self._cluster.kill_entry(self._random.choice(names))

    async def _start_gone(self) -> None:
        gone = self._list_gone()
        if gone:
            self._cluster.start_entry(self._random.choice(gone))

    async def _add(self) -> None:
        if self._added_count < 6:
            self._added_count += 1
            self._cluster.add_entry(
                f"n{self._added_count}",
                self._random.choice(clusters.DATA_CENTRES),
            )

    async def _silence_the_store(self) -> None:
        if self._cluster.store.fault is emulator.StoreFault.NONE:
            self._cluster.store.fault = emulator.StoreFault.SILENT
            await trio.sleep(self._random.choice([1.0, 4.0, 9.5]))
            self._cluster.store.fault = emulator.StoreFault.NONE


# Guards against tasks that run twice, or jobs that never end, in orders of
# takeovers that no scene above has.
@pytest.mark.parametrize("seed", range(_SEED_COUNT))
async def test_drawn_histories_of_added_entries(seed, autojump_clock):
    cluster = emulator.Cluster(seed)
    history = _DrawnHistory(cluster, seed)
    async with trio.open_nursery() as nursery:
        await nursery.start(cluster.run)
        await trio.sleep(3.0)
        for number in range(1, 7):
            task_s = cluster.random.choice([20.0, 50.0, 90.0])
            nursery.start_soon(
                cluster.submit, _make_job(2, number, task_s=task_s)
            )
        await trio.sleep(2.0)
        await history.run()
        await trio.sleep(_CALM_S)
        cluster.oracle.check_final_states(await cluster.read_states())
        nursery.cancel_scope.cancel()
    assert cluster.oracle.broken == []
    assert cluster.list_owner_failures() == []

"""Entries that an owner can't know of, because they came after it was cut off.

In each scene all entries outside the owner's data centre have left before that
data centre is cut off, and others start meanwhile. Runs of the owner's data
centre go on as long as it renews their leases.
"""

from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses

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


def _make_job(tasks: int) -> work.Job:
    return work.Job(
        f"{1:016x}",
        steps=(work.Step(tasks, work.Room(1000, 4096, 4), _TASK_S),),
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

"""Serving tasks keep their latency while filling tasks share their workers."""

import pytest
import trio

from crocusrouter import work
from standins import emulator

_TARGET_MS = 90
_MAX_HARM_S = 4.0
_WALL_CLOCK_S = 1_700_000_000.0


def _make_job(number, *steps):
    return work.Job(
        f"{number:016x}",
        "q",
        emulator.cluster.POOL,
        "a",
        1,
        3,
        2.0,
        1.0,
        "text",
        steps,
        _WALL_CLOCK_S,
    )


_SERVING = work.Step(
    6, work.Room(2000, 1000, 1), lasting=True, target_ms=_TARGET_MS
)
_FILLING = work.Step(12, work.Room(8000, 1000, 1), 60.0, fills=True)


def _is_harmed(worker):
    """Tell whether filling tasks push a serving task over its target."""
    tails_ms = [worker.measure_tail(task) for task in worker.tasks.values()]
    is_filling = any(
        task.pace
        for task in worker.tasks.values()
        if worker.oracle.jobs[task.key.job].steps[task.key.step].fills
    )
    return is_filling and max(tails_ms, default=0.0) > _TARGET_MS


async def _track_harm(cluster, longest_harm_s):
    """Track the longest uninterrupted time of harm on each worker."""
    harmed_since = {}
    while True:
        now = trio.current_time()
        for name, worker in cluster.workers.items():
            if not _is_harmed(worker):
                harmed_since.pop(name, None)
                continue
            harmed_since.setdefault(name, now)
            longest_harm_s[name] = max(
                longest_harm_s.get(name, 0.0), now - harmed_since[name]
            )
        await trio.sleep(0.05)


# Users of a serving task get slow answers while filling tasks on its worker run
# at full pace; two of them are enough here. An owner that takes over doesn't
# know the paces and must derive them from the tail latency alone.
@pytest.mark.parametrize("kills_owner", [False, True])
async def test_filling_tasks_harm_serving_tasks_only_briefly(
    kills_owner, autojump_clock
):
    cluster = emulator.Cluster(3)
    longest_harm_s = {}
    async with trio.open_nursery() as nursery:
        await nursery.start(cluster.run)
        await trio.sleep(2.0)
        await cluster.submit(_make_job(1, _SERVING))
        await trio.sleep(3.0)
        nursery.start_soon(_track_harm, cluster, longest_harm_s)
        await cluster.submit(_make_job(2, _FILLING))
        await trio.sleep(8.0)
        if kills_owner:
            cluster.kill_entry(cluster.find_owner())
        await trio.sleep(15.0)
        paces = [
            task.pace
            for worker in cluster.workers.values()
            for task in worker.tasks.values()
            if task.key.job.endswith("2")
        ]
        nursery.cancel_scope.cancel()
    assert longest_harm_s and max(longest_harm_s.values()) < _MAX_HARM_S
    assert len(paces) == 12 and sum(paces) > 0

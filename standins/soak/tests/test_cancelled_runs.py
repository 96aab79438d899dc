"""Runs of cancelled jobs at real entry processes, while stops get lost."""

import random
import time

import httpcore
import orjson
import trio

from crocusrouter import platform
from crocusrouter import queues
from standins.soak import cancels
from standins.soak import world as worlds

_QUEUE = queues.Queue("q", worlds.HOST, worlds.PREFIX, worlds.POOL, 1, 3, 2.0)
_HEADERS = {"Host": worlds.HOST, "X-Api-Key": worlds.KEY}
_JOBS = 6
_TASKS = 4
_TIMEOUT_S = 20.0
_POLL_S = 0.1
_LATE_SHARE = 0.9
_LATE_S = 1.0
_STEP = {
    "count": _TASKS,
    "cpu": 1000,
    "mem_mb": 1000,
    "gpu": 1,
    "long_running": True,
}


class _Caller:
    """Calls entries about jobs until they answer with success."""

    def __init__(self, world, pool):
        self._world = world
        self._pool = pool

    async def call(self, name, method, job_id, body=None):
        """Return the status of one call; None without an answer."""
        try:
            response = await self._pool.request(
                method,
                f"{self._world.urls[name]}{worlds.PREFIX}{job_id}",
                headers=_HEADERS,
                content=body,
            )
        except (httpcore.NetworkError, httpcore.ProtocolError):
            return None
        return response.status

    async def cancel(self, name, job_id):
        return await self.call(name, "DELETE", job_id)

    async def submit(self, job_id):
        body = orjson.dumps({"spec": "soak", "steps": [_STEP]})
        self._world.oracle.jobs[job_id] = platform.parse_submission(
            body, job_id, _QUEUE, "a", time.time()
        )
        while await self.call("e0", "POST", job_id, body) != 200:
            await trio.sleep(_POLL_S)
        self._world.oracle.accepted.add(job_id)


def _count_runs(world):
    return sum(len(worker.tasks) for worker in world.workers.values())


def _set_late_share(world, share):
    for worker in world.workers.values():
        worker.late_order_share = share


async def _lose_stops(world, caller):
    """Cancel all jobs at once while most stops are carried out late."""
    for number in range(_JOBS):
        await caller.submit(f"{number:016x}")
    while _count_runs(world) < _JOBS * _TASKS:
        await trio.sleep(_POLL_S)
    canceller = cancels.Canceller(
        world.oracle, world.entry_names, caller.cancel, random.Random(1)
    )
    _set_late_share(world, _LATE_SHARE)
    await canceller.cancel_all()
    await trio.sleep(_LATE_S)
    _set_late_share(world, 0.0)
    await canceller.wait_until_judged()
    await trio.sleep(_LATE_S)


# Guards against tasks that run on after a cancel because their only stop was
# not answered and is carried out seconds later.
async def test_unanswered_stops_are_repeated(tmp_path):
    world = worlds.World(1, 3, 4, tmp_path)
    try:
        async with (
            trio.open_nursery() as nursery,
            httpcore.AsyncConnectionPool(max_connections=20) as pool,
        ):
            await nursery.start(world.run)
            with trio.fail_after(_TIMEOUT_S):
                await _lose_stops(world, _Caller(world, pool))
            nursery.cancel_scope.cancel()
    finally:
        world.processes.stop_all()
    assert world.oracle.broken == []
    assert world.list_internal_errors() == []
    assert world.oracle.judged_cancels >= _JOBS

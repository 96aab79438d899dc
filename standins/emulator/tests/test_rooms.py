"""Owners never start more than fits a worker's room, even if it shrinks.

The workers here don't reject tasks that exceed their room.
"""

import pytest
import trio

from crocusrouter import work
from crocusrouter.work import worker_port
from standins import emulator
from standins.emulator import cluster as clusters
from standins.emulator import faults

_FAULT = faults.Fault
_KINDS = (
    *[_FAULT.SHRINK_WORKER] * 6,
    _FAULT.KILL_OWNER,
    _FAULT.CANCEL_MANY,
    _FAULT.CUT_OWNER_FROM_STORE,
    _FAULT.KILL_ALL,
    _FAULT.LATE_ORDERS,
    _FAULT.STORE_SLOW,
    _FAULT.STORE_SILENT,
    _FAULT.FREEZE_OWNER,
    _FAULT.CUT_WORKER,
)


@pytest.mark.parametrize("seed", [0, 3, 8, 21])
async def test_no_start_exceeds_the_room_of_a_worker(seed, autojump_clock):
    """A worker with 8 accelerators ran tasks that needed 13, and all of them
    slowed down or ran out of memory.

    Jobs were cancelled while their owner was away. Its successor found their
    tasks on the workers and ordered them to stop, but counted their room as
    free at once, and started other tasks in the 0.2 s until they had ended.
    Here rooms also shrink and grow.
    """
    load = emulator.Load(per_s=2.0)
    events = emulator.choose_faults(seed, 10, load.length_s, _KINDS)
    cluster = await emulator.play(seed, load, events, workers_check_room=False)
    assert cluster.oracle.broken == []


@pytest.mark.parametrize(
    ("shrunk_for_s", "gpu", "broken"),
    [(5.0, 4, 1), (4.0, 4, 0), (5.0, 2, 0)],
    ids=["over", "not-known-yet", "fits"],
)
async def test_start_beyond_a_shrunk_room_is_reported(
    shrunk_for_s, gpu, broken, autojump_clock
):
    cluster = clusters.Cluster(1, workers_check_room=False)
    step = work.Step(1, work.Room(1000, 1000, gpu))
    cluster.oracle.jobs["j"] = work.Job(
        "j", "q", clusters.POOL, "a", 1, 2, 1.0, 1.0, "", (step,), 0.0
    )
    worker = cluster.workers["w0"]
    room = work.Room(8000, 65_536, 2)
    worker.set_room(room, 0.0)
    await trio.sleep(shrunk_for_s - trio.current_time())
    until_ms = int(worker.read_clock()) + 5000
    order = worker_port.Start(work.TaskKey("j", 0, 0, 0), 1, "")
    assert isinstance(
        worker.start_run(1, order, until_ms), worker_port.Accepted
    )
    assert len(cluster.oracle.broken) == broken

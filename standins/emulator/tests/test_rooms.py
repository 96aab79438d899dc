"""Workers whose room changes, and that start whatever they are told to."""

import pytest
import trio

from crocusrouter import work
from crocusrouter.work import worker_port
from standins import emulator
from standins.emulator import cluster as clusters
from standins.emulator import faults

_FAULT = faults.Fault
_SHRINKING = (
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
async def test_no_start_brings_a_worker_over_its_room(seed, autojump_clock):
    """A worker ran 13 accelerators' worth of tasks on 8, and all of them
    slowed down or ran out of memory.

    Jobs were cancelled while their owner was away. Its successor found their
    tasks on the workers and ordered them to stop, but counted their room as
    free at once: what it started in the 0.2 s until they had ended came on
    top. Rooms shrink and grow besides.
    """
    load = emulator.Load(per_s=2.0)
    drawn = emulator.choose_faults(seed, 10, load.length_s, _SHRINKING)
    held = await emulator.play(seed, load, drawn, guards=False)
    assert held.oracle.broken == []


@pytest.mark.parametrize(
    ("shrunk_for_s", "gpu", "broken"),
    [(5.0, 4, 1), (4.0, 4, 0), (5.0, 2, 0)],
    ids=["over", "not-known-yet", "fits"],
)
async def test_start_over_a_room_that_has_shrunk_is_seen(
    shrunk_for_s, gpu, broken, autojump_clock
):
    held = clusters.Cluster(1, guards=False)
    step = work.Step(1, work.Room(1000, 1000, gpu))
    held.oracle.jobs["j"] = work.Job(
        "j", "q", clusters.POOL, "a", 1, 2, 1.0, 1.0, "", (step,), 0.0
    )
    worker = held.workers["w0"]
    room = work.Room(8000, 65_536, 2)
    worker.set_room(room, 0.0)
    await trio.sleep(shrunk_for_s - trio.current_time())
    until_ms = int(worker.read_clock()) + 5000
    order = worker_port.Start(work.TaskKey("j", 0, 0, 0), 1, "")
    assert isinstance(worker.begin(1, order, until_ms), worker_port.Accepted)
    assert len(held.oracle.broken) == broken

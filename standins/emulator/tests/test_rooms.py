"""Workers whose room changes, and that start whatever they are told to."""

import pytest

from standins import emulator
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

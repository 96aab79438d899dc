"""Workers whose processes start again under their own ids."""

import pytest

from standins import emulator
from standins.emulator import faults

_MOMENTS = 5


@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize("way", faults.RESTARTS)
async def test_ends_of_a_restarted_worker_are_not_confirmed_unread(
    way, seed, autojump_clock
):
    """Tasks ran again whose ends a new process had listed under an old id."""
    load = emulator.Load(per_s=2.0)
    drawn = emulator.choose_faults(seed, _MOMENTS, load.length_s, [way])
    held = await emulator.play(seed, load, drawn)
    assert held.oracle.broken == []
    assert len(held.oracle.accepted) > 5

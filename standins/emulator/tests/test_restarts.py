"""Workers whose processes restart under the same ids."""

import os

import pytest

from standins import emulator
from standins.emulator import faults

_MOMENTS = 5
_SEEDS = int(os.environ.get("CROCUSROUTER_DAYS", "4"))


@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize("way", faults.RESTARTS)
async def test_ends_of_a_restarted_worker_are_not_confirmed_unread(
    way, seed, autojump_clock
):
    """Tasks ran again whose ends a new process had listed under the old id."""
    load = emulator.Load(per_s=2.0)
    drawn = emulator.choose_faults(seed, _MOMENTS, load.length_s, [way])
    held = await emulator.play(seed, load, drawn)
    assert held.oracle.broken == []
    assert len(held.oracle.accepted) > 5


@pytest.mark.parametrize("seed", range(_SEEDS))
async def test_days_with_restarts_among_all_faults_keep_the_rules(
    seed, autojump_clock
):
    """Owners change and entries fail while workers' processes restart."""
    load = emulator.Load(per_s=2.0)
    drawn = emulator.choose_faults(seed, 4, load.length_s, faults.RESTARTS)
    drawn += emulator.choose_faults(
        seed + _MOMENTS, 4, load.length_s, list(emulator.Fault)
    )
    held = await emulator.play(seed, load, drawn)
    assert held.oracle.broken == []

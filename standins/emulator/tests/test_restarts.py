"""Workers whose processes restart under the same ids."""

import os

import pytest

from standins import emulator
from standins.emulator import faults

_FAULT_COUNT = 5
_SEED_COUNT = int(os.environ.get("CROCUSROUTER_DAYS", "4"))


@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize("kind", faults.RESTART_FAULTS)
async def test_ends_of_a_restarted_worker_are_not_confirmed_unread(
    kind, seed, autojump_clock
):
    """Tasks ran again whose ends a new process had listed under the old id."""
    load = emulator.Load(per_s=2.0)
    events = emulator.choose_faults(seed, _FAULT_COUNT, load.length_s, [kind])
    cluster = await emulator.play(seed, load, events)
    assert cluster.oracle.broken == []
    assert len(cluster.oracle.accepted) > 5


@pytest.mark.parametrize("seed", range(_SEED_COUNT))
async def test_days_with_restarts_among_all_faults_keep_the_rules(
    seed, autojump_clock
):
    """Owners change and entries fail while workers' processes restart."""
    load = emulator.Load(per_s=2.0)
    events = emulator.choose_faults(
        seed, 4, load.length_s, faults.RESTART_FAULTS
    )
    events += emulator.choose_faults(
        seed + _FAULT_COUNT, 4, load.length_s, faults.FAULTS_BEFORE_CLOSURES
    )
    cluster = await emulator.play(seed, load, events)
    assert cluster.oracle.broken == []

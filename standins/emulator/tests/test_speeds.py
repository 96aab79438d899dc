"""Workers whose tasks run slowly, or make no progress for a while."""

import os

import pytest

from standins import emulator
from standins.emulator import faults

_SEED_COUNT = int(os.environ.get("CROCUSROUTER_DAYS", "4"))


@pytest.mark.parametrize("seed", range(_SEED_COUNT))
async def test_days_with_slow_and_stalled_workers_keep_the_rules(
    seed, autojump_clock
):
    """Runs were rescued from workers that still answered, and ran on there."""
    load = emulator.Load(per_s=2.0)
    events = emulator.choose_faults(
        seed, 5, load.length_s, list(faults.SPEED_BY_FAULT)
    )
    events += emulator.choose_faults(
        seed + 7, 3, load.length_s, list(faults.FAULTS_BEFORE_RESTARTS)
    )
    cluster = await emulator.play(seed, load, events)
    assert cluster.oracle.broken == []
    assert len(cluster.oracle.accepted) > 5

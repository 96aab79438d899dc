"""Workers whose tasks run slowly, or make no progress for a while."""

import os

import pytest

from standins import emulator
from standins.emulator import faults

_SEEDS = int(os.environ.get("CROCUSROUTER_DAYS", "4"))


@pytest.mark.parametrize("seed", range(_SEEDS))
async def test_days_with_slow_and_stalled_workers_keep_the_rules(
    seed, autojump_clock
):
    """Runs were rescued from workers that still answered, and ran on there."""
    load = emulator.Load(per_s=2.0)
    drawn = emulator.choose_faults(seed, 5, load.length_s, list(faults.SPEEDS))
    drawn += emulator.choose_faults(
        seed + 7, 3, load.length_s, list(faults.EARLIER)
    )
    held = await emulator.play(seed, load, drawn)
    assert held.oracle.broken == []
    assert len(held.oracle.accepted) > 5

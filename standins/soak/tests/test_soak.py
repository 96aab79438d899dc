"""A short soak of real processes; longer ones: python -m standins.soak."""

import pytest

from standins import soak

_SHAPE = soak.Shape(entries=3, hosts=4, per_s=2.0, length_s=6.0, faults=3)


# Callers see a job lost, run twice, or refused though it ran. Entries are
# killed, paused and stopped, and their links to store and workers are harmed,
# at times drawn from the seed.
@pytest.mark.parametrize("seed", [0, 1])
async def test_entries_keep_their_promises_under_faults(seed, tmp_path):
    result = await soak.soak(seed, _SHAPE, tmp_path)
    assert result.broken == []
    assert result.accepted > 3

"""Tests for the cancels that a soak sends."""

import random

import pytest

from standins.emulator import oracle as oracles
from standins.soak import cancels

_JOB = "00000000000000a1"


# Guards against cancels that are given up after a lost or refused call, or that
# are repeated at the entry that did not confirm them.
@pytest.mark.parametrize(
    ("statuses", "is_confirmed"),
    [
        ([200], True),
        ([None, 200], True),
        ([503, None, 200], True),
        ([410] * 20, False),
    ],
)
async def test_cancel_is_repeated_at_other_entries(
    statuses, is_confirmed, autojump_clock
):
    oracle = oracles.JobOracle()
    called = []

    async def call(name, job_id):
        called.append((name, job_id))
        return statuses[len(called) - 1]

    canceller = cancels.Canceller(
        oracle, ["e0", "e1", "e2"], call, random.Random(1)
    )
    await canceller.cancel(_JOB)
    assert (_JOB in oracle.cancelled) is is_confirmed
    assert oracle.cancels_sent == {_JOB}
    if is_confirmed:
        assert len(called) == len(statuses)
    names = [name for name, _ in called]
    assert all(a != b for a, b in zip(names, names[1:], strict=False))


async def test_all_accepted_jobs_are_cancelled_at_once(autojump_clock):
    """Guards against bursts that repeat cancels or miss jobs."""
    oracle = oracles.JobOracle()
    oracle.accepted |= {"a", "b", "c"}
    oracle.cancels_sent.add("b")
    called = []

    async def call(name, job_id):
        called.append(job_id)
        return 200

    canceller = cancels.Canceller(oracle, ["e0"], call, random.Random(1))
    await canceller.cancel_all()
    assert sorted(called) == ["a", "c"]


@pytest.mark.parametrize(
    ("load", "changed"),
    [
        (cancels.CancelLoad(long_share=0.0, lasting_share=0.0), {}),
        (
            cancels.CancelLoad(long_share=0.0, lasting_share=1.0),
            {"gang": False, "long_running": True},
        ),
    ],
)
def test_steps_are_changed_as_drawn(load, changed):
    """Guards against loads without tasks that only a cancel ends."""
    step = {"count": 1, "gang": True}
    assert load.change_step(step, random.Random(1)) == step | changed

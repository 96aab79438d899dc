"""Workers whose processes restart under the same ids."""

import os

import pytest
import trio
import trio.testing

from standins import emulator
from standins import fuzzing
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


def _play_in_order(order, seed, load, events):
    """Play a day in a fixed order of the tasks that are ready together."""
    clock = trio.testing.MockClock(autojump_threshold=0)
    with fuzzing.fix_schedule(order):
        return trio.run(emulator.play, seed, load, events, clock=clock)


_ONE_RESTART = [faults.FaultEvent(5.0, faults.Fault.RESTART, 3.0)]
_TWELVE_RESTARTS = [
    faults.FaultEvent(1.0 + number, faults.Fault.RESTART, 3.0)
    for number in range(12)
]


@pytest.mark.parametrize(
    ("seed", "order", "crashing", "events"),
    [
        (992, 0, 0.15, _ONE_RESTART),
        (992, 1, 0.15, _ONE_RESTART),
        (992, 8, 0.15, _ONE_RESTART),
        (992, 9, 0.15, _ONE_RESTART),
        (48002, 1, 0.0, _TWELVE_RESTARTS),
        (48004, 1, 0.0, _TWELVE_RESTARTS),
        (48005, 2, 0.15, _TWELVE_RESTARTS),
    ],
)
def test_sound_jobs_are_not_given_up_for_crashes_of_others(
    seed, order, crashing, events
):
    """Callers read "failed" of sound jobs whose workers crashed repeatedly.

    The workers restarted by themselves, or under tasks of other jobs.
    """
    load = emulator.Load(2.0, 12.0, 0.8, advised=0.3, crashing=crashing)
    cluster = _play_in_order(order, seed, load, events)
    assert cluster.oracle.broken == []


def test_gang_that_failed_on_some_workers_starts_again():
    """A gang waited for ever for workers on which it had not failed yet."""
    load = emulator.Load(2.0, 12.0, 0.8, advised=0.3)
    cluster = _play_in_order(0, 48009, load, [])
    assert cluster.oracle.broken == []


def test_day_is_the_same_in_each_play():
    """A fault that is seen once must be seen again by its seed and order."""
    load = emulator.Load(2.0, 8.0, 0.4)
    plays = [_play_in_order(3, 7, load, _TWELVE_RESTARTS[:4]) for _ in range(2)]
    first, second = (play.oracle for play in plays)
    assert first.first_started_at == second.first_started_at
    assert first.done == second.done

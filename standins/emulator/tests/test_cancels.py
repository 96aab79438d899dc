"""Days on which callers cancel many jobs whose tasks run."""

import os

import pytest
import trio
import trio.testing

from standins import emulator
from standins import fuzzing
from standins.emulator import faults

_SEED_COUNT = int(os.environ.get("CROCUSROUTER_DAYS", "1"))
_LENGTH_S = 7.0
_LOAD = emulator.Load(2.0, _LENGTH_S, cancels=0.8, duration_factor=3.0)
_GANGS = emulator.Load(2.0, _LENGTH_S, 0.8, cancels=0.8, duration_factor=3.0)
_ADVISED = emulator.Load(
    2.0,
    _LENGTH_S,
    0.1,
    advised=0.3,
    crashing=0.15,
    cancels=0.8,
    duration_factor=3.0,
)
_LOADS = (_LOAD, _GANGS, _ADVISED)
_KINDS = tuple(emulator.Fault)
_DISTANCE_IN_PAIRS = 7


def _play_in_order(order, seed, load, events):
    """Play a day in a fixed order of the tasks that are ready together."""
    clock = trio.testing.MockClock(autojump_threshold=0)
    with fuzzing.fix_schedule(order):
        return trio.run(emulator.play, seed, load, events, clock=clock)


# A task of a cancelled job runs on, on a calm day.
@pytest.mark.parametrize("order", range(2))
@pytest.mark.parametrize("load", _LOADS, ids=["mixed", "gangs", "advised"])
def test_calm_days_with_cancels_keep_the_rules(load, order):
    oracle = _play_in_order(order, order, load, []).oracle
    assert oracle.broken == []
    assert len(oracle.cancelled) >= 6
    assert oracle.judged_cancels >= 6


# A task of a cancelled job runs on after the faults of one kind, or starts.
@pytest.mark.parametrize("seed", range(_SEED_COUNT))
@pytest.mark.parametrize("fault", _KINDS)
def test_days_with_cancels_and_one_kind_of_fault_keep_the_rules(fault, seed):
    number = _KINDS.index(fault) + seed
    events = [
        faults.FaultEvent(1.0, fault, 2.0),
        faults.FaultEvent(4.5, fault, 1.5),
    ]
    load = _LOADS[number % len(_LOADS)]
    oracle = _play_in_order(seed, number, load, events).oracle
    assert oracle.broken == []
    assert len(oracle.cancelled) >= 3


# The same after faults of two kinds, at drawn times.
@pytest.mark.parametrize("order", range(_SEED_COUNT))
@pytest.mark.parametrize("number", range(0, len(_KINDS), 4))
def test_days_with_cancels_and_pairs_of_faults_keep_the_rules(number, order):
    other = (number + _DISTANCE_IN_PAIRS) % len(_KINDS)
    kinds = [_KINDS[number], _KINDS[other]]
    events = emulator.choose_faults(number, 3, _LENGTH_S, kinds)
    load = _LOADS[(number // 4 + order) % len(_LOADS)]
    oracle = _play_in_order(order, number, load, events).oracle
    assert oracle.broken == []


# The same after faults of all kinds. The days together judge enough cancels.
def test_days_with_cancels_and_all_kinds_of_faults_keep_the_rules():
    broken = []
    judged_count = 0
    for seed in range(6 * _SEED_COUNT):
        order = seed % 3
        events = emulator.choose_faults(seed, 2, _LENGTH_S, _KINDS)
        load = _LOADS[seed // 2 % len(_LOADS)]
        oracle = _play_in_order(order, seed, load, events).oracle
        broken += [f"seed {seed}: {line}" for line in oracle.broken]
        judged_count += oracle.judged_cancels
    assert broken == []
    assert judged_count >= 12 * _SEED_COUNT

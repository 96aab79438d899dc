"""Workers register while the store goes away and its leases run out."""

import os

import pytest
import trio

from crocusrouter import work
from crocusrouter.pools import known_workers
from standins import emulator
from standins.emulator import faults

_SEED_COUNT = int(os.environ.get("CROCUSROUTER_DAYS", "4"))
# Seeds of days on which tasks ran twice.
_KEPT_SEEDS = (9, 12, 36, 38)
_LOAD = emulator.Load(per_s=4.0, poison=0.0)


# Guards against a task that runs twice, because the next owner does not know of
# a worker that registered and got the task right before an outage.
@pytest.mark.parametrize("seed", sorted({*range(_SEED_COUNT), *_KEPT_SEEDS}))
@pytest.mark.parametrize("beside", [(), faults.FAULTS_BEFORE_CLOSURES])
async def test_days_of_lapsing_lists_keep_the_rules(
    beside, seed, autojump_clock
):
    events = _choose_lapses(seed)
    if beside:
        events += emulator.choose_faults(seed + 3, 4, _LOAD.length_s, beside)
    cluster = await emulator.play(seed, _LOAD, events)
    assert cluster.oracle.broken == []
    assert len(cluster.oracle.accepted) > 5


# Guards against a task that runs twice: the pool changes its owner with each of
# many short outages, and entries stand still meanwhile, as on a slow machine.
@pytest.mark.parametrize("seed", range(2))
async def test_outages_in_series_keep_the_rules(seed, autojump_clock):
    load = emulator.Load(per_s=3.0, length_s=34.0, poison=0.0)
    events = _choose_series(seed)
    cluster = await emulator.play(seed, load, events)
    assert cluster.oracle.broken == []
    assert len(cluster.oracle.accepted) > 5


# Guards against an oracle that sees nothing: with an owner that records no
# worker it must find tasks that run twice.
async def test_oracle_finds_tasks_on_unrecorded_workers(
    autojump_clock, monkeypatch
):
    monkeypatch.setattr(known_workers.KnownWorkers, "run", _use_unrecorded)
    cluster = await emulator.play(12, _LOAD, _choose_lapses(12))
    assert any(" twice: " in line for line in cluster.oracle.broken)


# Guards against a record of users that can't tell why a task ran twice.
async def test_lines_tell_that_the_worker_was_unknown(
    autojump_clock, monkeypatch
):
    duplicates = []
    original_note = work.PoolState.note

    def note_kept(pool_state, what, **facts):
        if what == "run:duplicate":
            duplicates.append(facts)
        original_note(pool_state, what, **facts)

    monkeypatch.setattr(work.PoolState, "note", note_kept)
    monkeypatch.setattr(known_workers.KnownWorkers, "run", _use_unrecorded)
    await emulator.play(12, _LOAD, _choose_lapses(12))
    assert duplicates
    assert not any(facts["foreseen"] for facts in duplicates)


def _choose_series(seed):
    """Return eight outages in 46 s, and entries that stand still."""
    return [
        *(
            faults.FaultEvent(at, faults.Fault.LAPSE_TWICE, 0.0)
            for at in (2.0, 13.5, 25.0, 36.5)
        ),
        *emulator.choose_faults(
            seed,
            8,
            40.0,
            (faults.Fault.FREEZE_OWNER, faults.Fault.FREEZE_OTHERS),
        ),
    ]


def _choose_lapses(seed):
    return emulator.choose_faults(seed, 3, _LOAD.length_s, faults.LAPSE_FAULTS)


async def _use_unrecorded(self):
    while True:
        for worker_state in self._pool_state.workers.values():
            worker_state.is_recorded = True
        await trio.sleep(0.01)

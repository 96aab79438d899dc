"""A short soak of real processes; longer ones: python -m standins.soak."""

import dataclasses

import pytest
import typer.testing

from standins import soak
from standins.emulator import config_oracle
from standins.emulator import impairment_log
from standins.soak import __main__ as commands
from standins.soak import cuts

_SHAPE = soak.Shape(entries=3, hosts=4, per_s=2.0, length_s=6.0, faults=3)
_CRASHING = soak.Shape(
    entries=3, hosts=6, per_s=2.0, length_s=6.0, faults=1, crashing=5
)


_RESTARTING = soak.Shape(
    entries=3,
    hosts=6,
    per_s=3.0,
    length_s=12.0,
    faults=12,
    crashing=0,
    kinds=(soak.Fault.RESTART_WORKER,),
)


# Too few restarts for a sound task to be given up after three of them.
_RESTARTING_SELDOM = dataclasses.replace(_RESTARTING, length_s=8.0, faults=2)


# Callers see a job lost, run twice, or refused though it ran. Entries are
# killed, paused and stopped, and their links to store and workers are harmed,
# at times drawn from the seed.
@pytest.mark.parametrize("seed", [0, 1])
async def test_entries_keep_their_promises_under_faults(seed, tmp_path):
    result = await soak.soak(seed, _SHAPE, tmp_path)
    assert result.broken == []
    assert result.accepted > 3


# Callers see a job "running" for ever whose tasks end each worker that starts
# them, and others that start again with each lost worker. Owner processes end
# meanwhile, so the count of crashes has to outlive them.
async def test_jobs_that_crash_workers_are_given_up(tmp_path):
    result = await soak.soak(2, _CRASHING, tmp_path)
    assert result.broken == []
    assert result.accepted > 3
    assert result.crashes > 1


# Tasks ran again whose ends a restarted worker had listed: the owner confirmed
# them unread, since the next process had the id of the one before.
@pytest.mark.parametrize(
    ("seed", "shape"),
    [(4, _RESTARTING), (5, _RESTARTING_SELDOM)],
    ids=["often", "seldom"],
)
async def test_processes_of_one_worker_are_told_apart(seed, shape, tmp_path):
    result = await soak.soak(seed, shape, tmp_path)
    assert result.broken == []
    assert result.accepted > 3


@pytest.mark.parametrize(
    ("broken", "accepted", "verdict"),
    [
        ([], 3, "kept"),
        ([], 0, "judged nothing"),
        (["1.0 twice: a"], 3, "broken"),
        (["1.0 twice: a"], 0, "broken"),
    ],
)
def test_soak_without_a_case_is_not_kept(broken, accepted, verdict):
    """Entries that never served anybody passed for ones that kept all."""
    seen = impairment_log.ImpairmentLog()
    result = soak.Result(
        broken,
        accepted,
        0,
        [],
        config_oracle.ConfigOracle(seen),
        cuts.Cuts(seen),
    )
    assert result.verdict == verdict
    assert ("jobs" in result.list_idle_checks()) is (accepted == 0)


def test_fault_that_does_not_exist_is_refused_with_those_that_do():
    application = typer.Typer()
    application.command()(commands.run)
    runner = typer.testing.CliRunner()
    result = runner.invoke(application, ["--kind", "earthquake"])
    assert result.exit_code == 2
    assert "restart-worker" in result.output

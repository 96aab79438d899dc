"""Short soaks of real processes; longer ones: python -m standins.soak."""

import dataclasses

import pytest
import typer.testing

from standins import soak
from standins.emulator import config_oracle
from standins.emulator import impairment_log
from standins.soak import __main__ as commands
from standins.soak import cut_requests

_SHAPE = soak.Shape(
    entry_count=3, worker_count=4, jobs_per_s=2.0, length_s=6.0, fault_count=3
)
_CRASHING_SHAPE = soak.Shape(
    entry_count=3,
    worker_count=6,
    jobs_per_s=2.0,
    length_s=6.0,
    fault_count=1,
    jobs_per_crashing_job=5,
)


_MANY_RESTARTS = soak.Shape(
    entry_count=3,
    worker_count=6,
    jobs_per_s=3.0,
    length_s=12.0,
    fault_count=12,
    jobs_per_crashing_job=0,
    fault_kinds=(soak.Fault.RESTART_WORKER,),
)


# Too few restarts for an innocent task to be given up after three crashes.
_FEW_RESTARTS = dataclasses.replace(_MANY_RESTARTS, length_s=8.0, fault_count=2)


_CLOSURES = soak.Shape(
    entry_count=3,
    worker_count=6,
    jobs_per_s=4.0,
    length_s=14.0,
    fault_count=5,
    jobs_per_crashing_job=0,
    fault_kinds=(
        soak.Fault.CLOSE_DATA_CENTRE,
        soak.Fault.CLOSE_DATA_CENTRE,
        soak.Fault.KILL,
        soak.Fault.STOP,
        soak.Fault.PAUSE,
        soak.Fault.LOSE_ANSWERS,
        soak.Fault.REFUSE_WATCHES,
    ),
)


_CANCELS = soak.Shape(
    entry_count=3,
    worker_count=4,
    jobs_per_s=2.0,
    length_s=6.0,
    fault_count=4,
    jobs_per_crashing_job=0,
    fault_kinds=(
        soak.Fault.CANCEL_ALL,
        soak.Fault.RENEW_WORKERS,
        soak.Fault.LATE_ORDERS,
    ),
    cancel_load=soak.CancelLoad(
        share=0.6, latest_s=(0.0, 0.3, 3.0), longest_task_s=8.0
    ),
)


_PARTITION = soak.Shape(
    entry_count=4,
    worker_count=6,
    jobs_per_s=3.0,
    length_s=8.0,
    fault_count=1,
    jobs_per_crashing_job=0,
    fault_kinds=(soak.Fault.PARTITION,),
    cancel_load=soak.CancelLoad(share=0.1),
)


# Guards against jobs that are lost, run twice, or rejected although they ran.
# Entries are killed, paused and stopped, and their links to store and workers
# fail, at times drawn from the seed.
@pytest.mark.parametrize("seed", [0, 1])
async def test_entries_break_no_rule_under_faults(seed, tmp_path):
    result = await soak.soak(seed, _SHAPE, tmp_path)
    assert result.broken == []
    assert result.accepted > 3


# Guards against a job that stays "running" forever because its tasks crash each
# worker that starts them, and restarts other jobs with each lost worker. The
# count of crashes must survive the end of the owner's process.
async def test_jobs_that_crash_workers_are_given_up(tmp_path):
    result = await soak.soak(2, _CRASHING_SHAPE, tmp_path)
    assert result.broken == []
    assert result.accepted > 3
    assert result.crashes > 1


# Guards against tasks that run again although a restarted worker had reported
# their ends: its new process has the id of the previous one, so the owner
# confirmed ends that it had not read.
@pytest.mark.parametrize(
    ("seed", "shape"),
    [(4, _MANY_RESTARTS), (5, _FEW_RESTARTS)],
    ids=["often", "seldom"],
)
async def test_processes_of_one_worker_are_told_apart(seed, shape, tmp_path):
    result = await soak.soak(seed, shape, tmp_path)
    assert result.broken == []
    assert result.accepted > 3


# Guards against tasks that real processes start in a closed data centre, also
# while the owner is killed, stopped, paused, or cut off from the store.
@pytest.mark.parametrize("seed", [3, 6])
async def test_no_task_starts_in_a_closed_data_centre(seed, tmp_path):
    result = await soak.soak(seed, _CLOSURES, tmp_path)
    assert result.broken == []
    assert result.accepted > 3


# Guards against an owner that goes on renewing leases in a partition because
# entries within it answer, while its successor counts those leases as ended.
async def test_no_task_runs_twice_in_a_partition(tmp_path):
    result = await soak.soak(2, _PARTITION, tmp_path)
    assert result.broken == []
    assert result.accepted > 3


# Guards against tasks that run on after their job was cancelled: the cancels
# reach other entries than the owner, and workers are renewed or answer late.
async def test_runs_of_cancelled_jobs_end(tmp_path):
    result = await soak.soak(3, _CANCELS, tmp_path)
    assert result.broken == []
    assert result.judged_cancels > 3


@pytest.mark.parametrize(
    ("broken", "accepted", "verdict"),
    [
        ([], 3, "kept"),
        ([], 0, "judged nothing"),
        (["1.0 twice: a"], 3, "broken"),
        (["1.0 twice: a"], 0, "broken"),
    ],
)
def test_verdict_is_kept_only_if_jobs_were_accepted(broken, accepted, verdict):
    """Guards against a verdict "kept" for entries that never served a job."""
    impairments = impairment_log.ImpairmentLog()
    result = soak.Result(
        broken,
        accepted,
        0,
        [],
        config_oracle.ConfigOracle(impairments),
        cut_requests.CutRequestChecker(impairments),
    )
    assert result.verdict == verdict
    assert ("jobs" in result.list_idle_checks()) is (accepted == 0)


def test_unknown_fault_is_rejected_with_list_of_faults():
    application = typer.Typer()
    application.command()(commands.run)
    runner = typer.testing.CliRunner()
    result = runner.invoke(application, ["--kind", "earthquake"])
    assert result.exit_code == 2
    assert "restart-worker" in result.output

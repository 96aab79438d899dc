"""Runs that are better stopped and started elsewhere.

A worker that leaves takes its runs along; tasks on some workers stand still
although the worker answers. Both end far later than a fresh start would.
"""

from crocusrouter.work import model
from crocusrouter.work import pool_state as pool_states
from crocusrouter.work import preemption
from crocusrouter.work import runs

# Looks come once a second; two without progress are needed to tell a stall
# from an unlucky moment.
_SHORTEST_STALL_S = 2.0
# A task shows whole percents: one that takes hours shows none for minutes.
_STALL_SHARE = 0.05
# With a checkpoint a restart costs its room for a second; hangs of a worker
# last some seconds, so a stall of this length is not over soon.
_LONG_STALL_S = 3.0
# What a stop and the start elsewhere take.
_MOVE_S = 0.4


def list_rescues(
    pool_state: pool_states.Book,
    stalled: list[runs.Run],
    now: float,
    wall: float,
) -> list[tuple[runs.Run, str]]:
    """Return the runs to stop now, with the reason.

    Args:
        pool_state: State of the pool; not changed.
        stalled: What `list_stalled` has found.
        now: Steady time in seconds.
        wall: Unix time in seconds.
    """
    found = [
        (run, "it stands still")
        for run in stalled
        if run.work is not None and _pays(pool_state, run, run.work, now, wall)
    ]
    for worker in pool_state.workers.values():
        if worker.leaves_at is None:
            continue
        for run in worker.runs.values():
            work = run.work
            if work is None or not _may_rescue(run, work):
                continue
            if _leaves_first(run, work, worker, now):
                found.append((run, "its worker leaves before it would end"))
    return found


def _may_rescue(run: runs.Run, work: runs.StepWork) -> bool:
    return run.phase is runs.Phase.RUNNING and not work.step.lasting


def list_stalled(pool_state: pool_states.Book, now: float) -> list[runs.Run]:
    """Return the runs that stand still.

    All runs are looked at in each decision, so most must drop out at once.
    """
    found = []
    for run in pool_state.runs.values():
        if now - run.progressed_at <= _SHORTEST_STALL_S:
            continue
        work = run.work
        if work is None or not _may_rescue(run, work):
            continue
        if is_stalled(run, work, now):
            found.append(run)
    return found


def _leaves_first(
    run: runs.Run, work: runs.StepWork, worker: runs.Worker, now: float
) -> bool:
    """Tell whether a run is lost with its worker.

    A task with checkpoints makes one at its stop, so it runs on until just
    before the worker leaves; another one loses least at once.
    """
    if worker.leaves_at is None:
        return False
    left = worker.leaves_at - now
    if preemption.estimate_rest(run, work, now) <= left:
        return False
    return not work.step.checkpoints or left <= 2 * _MOVE_S


def is_stalled(run: runs.Run, work: runs.StepWork, now: float) -> bool:
    """Tell whether a run has shown no progress for longer than chance."""
    still = now - run.progressed_at
    total = work.step.expected_s
    if still <= _SHORTEST_STALL_S or still <= _STALL_SHARE * total:
        return False
    if run.percent < 5:
        return True
    ran = run.progressed_at - (run.confirmed_at or run.since)
    return still > _STALL_SHARE * ran * 100 / run.percent


def _pays(
    pool_state: pool_states.Book,
    run: runs.Run,
    work: runs.StepWork,
    now: float,
    wall: float,
) -> bool:
    """Tell whether a stalled run is better started anew.

    Nobody knows how long a stall lasts; it is taken to last as long again as
    it has lasted. The run is stopped only if it would miss its objective
    then and a fresh start would not: stopping all stalled gangs threw 5,000
    core-seconds away in a day whose hangs they could have sat out.
    """
    still = now - run.progressed_at
    if work.step.checkpoints:
        return still > _LONG_STALL_S
    job = pool_state.jobs[run.key.job].job
    wanted = job.find_due(run.key.occurrence) + job.objective_s
    rest = work.step.expected_s - (
        run.progressed_at - (run.confirmed_at or run.since)
    )
    waits_until = wall + still + max(0.0, rest)
    anew_until = wall + _MOVE_S + work.step.expected_s
    return waits_until > wanted >= anew_until


def list_whole(
    pool_state: pool_states.Book, rescues: list[tuple[runs.Run, str]]
) -> dict[model.TaskKey, tuple[runs.Run, str]]:
    """Return the runs to stop with the other members of their gangs."""
    whole: dict[model.TaskKey, tuple[runs.Run, str]] = {}
    for run, why in rescues:
        work = run.work
        assert work is not None
        members = pool_state.list_step_runs(work) if work.step.gang else [run]
        for member in members:
            whole.setdefault(member.key, (member, why))
    return whole

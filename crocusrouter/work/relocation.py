"""Relocation: runs that should be stopped and started on another worker.

A worker that leaves ends its runs, and tasks on some workers stall although the
worker answers. In both cases a new start elsewhere would finish much earlier.
"""

from crocusrouter.work import gang_progress
from crocusrouter.work import model
from crocusrouter.work import pool_state as pool_states
from crocusrouter.work import tracking

# Workers are polled once a second; two polls without progress are needed to
# tell a stall from chance.
_MIN_STALL_S = 2.0
# Longest time between two reports of a worker that is in touch.
_REPORT_INTERVAL_S = 1.5
# Share of a task's run time. Tasks report whole percents, so a task that takes
# hours reports no progress for minutes.
_STALL_SHARE = 0.05
# Stall after which a task with checkpoints is restarted. The restart costs its
# room for only a second. A worker usually hangs for some seconds, so a stall of
# this length is not over soon.
_CHECKPOINT_STALL_S = 3.0
# Duration of a stop and a new start on another worker.
_RESTART_S = 0.4


def list_relocations(
    pool_state: pool_states.PoolState,
    stalled_runs: list[tracking.Run],
    now: float,
    wall: float,
) -> list[tuple[tracking.Run, str]]:
    """Return the runs to stop now, with the reason.

    Args:
        pool_state: State of the pool; not changed.
        stalled_runs: Result of `list_stalled`.
        now: Steady time in seconds.
        wall: Unix time in seconds.
    """
    gang_measures = gang_progress.GangMeasures()
    relocations = [
        (run, "it makes no progress")
        for run in stalled_runs
        if run.tracked_step is not None
        and _is_worth_restarting(
            pool_state, run, run.tracked_step, gang_measures, now, wall
        )
    ]
    remaining_times = gang_progress.RemainingTimes(now)
    for worker in pool_state.workers.values():
        if worker.leaves_at is None:
            continue
        for run in worker.runs.values():
            tracked_step = run.tracked_step
            if tracked_step is None or not _may_relocate(run, tracked_step):
                continue
            remaining_s = remaining_times.find(run, tracked_step)
            left_s = worker.leaves_at - now
            if _outlasts_worker(tracked_step, remaining_s, left_s):
                relocations.append(
                    (run, "its worker leaves before it would end")
                )
    return relocations


def _may_relocate(
    run: tracking.Run, tracked_step: tracking.TrackedStep
) -> bool:
    return run.phase is tracking.Phase.RUNNING and not tracked_step.step.lasting


def list_stalled(
    pool_state: pool_states.PoolState, now: float
) -> list[tracking.Run]:
    """Return the runs that make no progress.

    Each decision checks all runs, so most of them must be excluded by the
    first, cheap test.
    """
    stalled_runs = []
    gang_measures = gang_progress.GangMeasures()
    for run in pool_state.runs.values():
        if now - run.progressed_at <= _MIN_STALL_S:
            continue
        reported_at = _find_report_time(pool_state, run, now)
        if reported_at - run.progressed_at <= _MIN_STALL_S:
            continue
        tracked_step = run.tracked_step
        if tracked_step is None or not _may_relocate(run, tracked_step):
            continue
        gang_times = gang_measures.find(run, tracked_step)
        if _is_stalled(run, tracked_step, gang_times, reported_at):
            stalled_runs.append(run)
    return stalled_runs


def _find_report_time(
    pool_state: pool_states.PoolState, run: tracking.Run, now: float
) -> float:
    """Return the steady time up to which a run's progress is known.

    Time without reports, while the worker is cut off or this process has not
    run, is no stall.
    """
    worker = pool_state.workers.get(run.worker_id)
    if worker is None or worker.last_report_at is None:
        return now
    return min(now, worker.last_report_at + _REPORT_INTERVAL_S)


def _outlasts_worker(
    tracked_step: tracking.TrackedStep, remaining_s: float, left_s: float
) -> bool:
    """Tell whether a run should be stopped since its worker leaves first.

    A task with checkpoints writes one when it is stopped, so it keeps running
    until just before the worker leaves. Any other task loses least if it is
    stopped at once.

    Args:
        tracked_step: The step of the run.
        remaining_s: Estimated seconds until the run ends.
        left_s: Seconds until the worker leaves.
    """
    if remaining_s <= left_s:
        return False
    return not tracked_step.step.checkpoints or left_s <= 2 * _RESTART_S


def _is_stalled(
    run: tracking.Run,
    tracked_step: tracking.TrackedStep,
    gang_times: gang_progress.GangTimes,
    now: float,
) -> bool:
    """Tell whether a run has made no progress for longer than by chance.

    A member of a gang that has done its share has stalled only if all members
    have, since it waits for the slower ones.
    """
    expected_s = tracked_step.step.expected_s
    is_finished = gang_progress.is_finished_member(run, tracked_step)
    if is_finished and gang_times.is_unfinished:
        return False
    stalled_s = now - _find_last_progress(run, gang_times, is_finished)
    if stalled_s <= _MIN_STALL_S or stalled_s <= _STALL_SHARE * expected_s:
        return False
    if is_finished:
        return stalled_s > _STALL_SHARE * gang_times.restart_s
    measured_s = gang_progress.measure_duration_s(run, gang_times.began_at)
    return measured_s is None or stalled_s > _STALL_SHARE * measured_s


def _find_last_progress(
    run: tracking.Run,
    gang_times: gang_progress.GangTimes,
    is_finished: bool,
) -> float:
    """Return the steady time of the last progress that a stall counts from.

    For a finished member of a gang this is the last progress of any member.
    """
    return gang_times.last_progress_at if is_finished else run.progressed_at


def _is_worth_restarting(
    pool_state: pool_states.PoolState,
    run: tracking.Run,
    tracked_step: tracking.TrackedStep,
    gang_measures: gang_progress.GangMeasures,
    now: float,
    wall: float,
) -> bool:
    """Tell whether a stalled run should be started anew.

    The duration of a stall is unknown; the stall is assumed to last as long
    again as it has lasted. The run is stopped only if it would then miss its
    objective and a new start would not. Stopping all stalled gangs wasted 5,000
    core-seconds in a day of hangs that they could have waited out.
    """
    gang_times = gang_measures.find(run, tracked_step)
    is_finished = gang_progress.is_finished_member(run, tracked_step)
    stalled_s = now - _find_last_progress(run, gang_times, is_finished)
    if tracked_step.step.checkpoints:
        return stalled_s > _CHECKPOINT_STALL_S
    job = pool_state.jobs[run.key.job].job
    objective_at = job.find_due(run.key.occurrence) + job.objective_s
    restart_s = gang_times.restart_s
    remaining_s = 0.0
    if not is_finished:
        ran_s = max(0.0, run.progressed_at - gang_times.began_at)
        remaining_s = max(0.0, restart_s - ran_s)
    ends_if_kept = wall + stalled_s + remaining_s
    ends_if_restarted = wall + _RESTART_S + restart_s
    return ends_if_kept > objective_at >= ends_if_restarted


def add_gang_members(
    pool_state: pool_states.PoolState,
    relocations: list[tuple[tracking.Run, str]],
) -> dict[model.TaskKey, tuple[tracking.Run, str]]:
    """Return the runs to stop, with the other members of their gangs."""
    stops_by_task: dict[model.TaskKey, tuple[tracking.Run, str]] = {}
    for run, reason in relocations:
        tracked_step = run.tracked_step
        assert tracked_step is not None
        members = (
            pool_state.list_step_runs(tracked_step)
            if tracked_step.step.gang
            else [run]
        )
        for member in members:
            stops_by_task.setdefault(member.key, (member, reason))
    return stops_by_task

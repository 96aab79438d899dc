"""Trials: isolated starts of tasks that may have crashed their last worker.

A suspected task gets a worker on which nothing else has just started and that
takes nothing else until the trial is over, so that a crash can only be caused
by this task. The worker with the least load is used, since a crash ends
everything that runs there.
"""

from crocusrouter.work import crash_causes
from crocusrouter.work import model
from crocusrouter.work import packing
from crocusrouter.work import pool_state as pool_states
from crocusrouter.work import tracking

# Under load there may be no quiet worker for long. After this time any worker
# will do, so that an innocent task does not wait while others overtake it.
_MAX_WAIT_S = 4.0
# The last starts of a task wait until no other worker has crashed for this
# long, so that a further crash hardly has another cause than the task.
_CALM_S = 3.0
_MAX_CALM_WAIT_S = 6.0
# If many workers crash by themselves at once, each with a task that has just
# started, trials for all of these tasks would take up the whole pool.
_MAX_TRIAL_SHARE = 0.25


def list_trial_workers(
    pool_state: pool_states.PoolState, now: float
) -> set[str]:
    """Return the workers that are reserved for a trial now.

    A worker that does not answer takes no tasks anyway, so that a crash makes
    room for the next trial.
    """
    return {
        worker_id
        for worker_id, worker in pool_state.workers.items()
        if now < worker.trial_until and worker.silent_since is None
    }


def choose_trial(
    pool_state: pool_states.PoolState,
    tracked_step: tracking.TrackedStep,
    spaces: list[packing.Space],
    trial_workers: set[str],
    now: float,
) -> dict[int, packing.Space] | None:
    """Return where to start a suspected step on trial.

    Args:
        pool_state: State of the pool; not changed.
        tracked_step: The step. One of its tasks is tried at a time; a gang as a
            whole.
        spaces: Workers with room for a task.
        trial_workers: Workers that are reserved for other trials.
        now: Steady time in seconds.

    Returns:
        Space by index of the task; None if the step has to wait.
    """
    if _is_trial_pending(pool_state, tracked_step, now):
        return None
    if _must_wait_for_calm(pool_state, tracked_step, now):
        return None
    quiet_spaces = [
        space for space in spaces if _is_quiet(pool_state, space, now)
    ]
    if not quiet_spaces and _has_waited_long(tracked_step, now):
        quiet_spaces = [
            space for space in spaces if not _is_used_in_plan(pool_state, space)
        ]
    quiet_spaces.sort(
        key=lambda space: _measure_damage(pool_state, space.worker)
    )
    if tracked_step.step.gang:
        spaces_by_index = _spread_gang(tracked_step, quiet_spaces)
    elif quiet_spaces:
        spaces_by_index = {_choose_index(tracked_step): quiet_spaces[0]}
    else:
        spaces_by_index = None
    if spaces_by_index is None or _exceeds_trial_share(
        pool_state, spaces_by_index, trial_workers
    ):
        return None
    return spaces_by_index


def may_skip_trial(
    pool_state: pool_states.PoolState,
    tracked_step: tracking.TrackedStep,
    now: float,
) -> bool:
    """Tell whether a suspected step may start without a trial.

    After one crash a step is more often innocent than not, and should not wait
    for a trial for long. A trial that is under way is waited for.
    """
    if any(
        len(crashes) > 1 for crashes in tracked_step.progress.crashes.values()
    ):
        return False
    if _is_trial_pending(pool_state, tracked_step, now):
        return False
    return _has_waited_long(tracked_step, now)


def _exceeds_trial_share(
    pool_state: pool_states.PoolState,
    spaces_by_index: dict[int, packing.Space],
    trial_workers: set[str],
) -> bool:
    """Tell whether a trial would leave too few workers to other tasks.

    A gang that needs more than the allowed share is tried while no other trial
    is under way.
    """
    new_trial_workers = {space.worker for space in spaces_by_index.values()}
    max_count = _MAX_TRIAL_SHARE * pool_state.count_live_workers()
    return (
        bool(trial_workers)
        and len(trial_workers | new_trial_workers) > max_count
    )


def _is_trial_pending(
    pool_state: pool_states.PoolState,
    tracked_step: tracking.TrackedStep,
    now: float,
) -> bool:
    """Tell whether the outcome of a step's latest start or trial is unknown.

    While the worker of a trial is silent, nobody knows whether the task has
    crashed it.
    """
    return any(
        _has_just_started(run, now)
        or (
            run.is_trial
            and pool_state.workers[run.worker_id].silent_since is not None
        )
        for run in tracked_step.runs_by_index.values()
    )


def _measure_damage(
    pool_state: pool_states.PoolState, worker_id: str
) -> tuple[int, float]:
    """Return what a crash of a worker would cost, to compare workers.

    Runs of tasks that have met crashes weigh most, since a further crash may
    give an innocent task up.
    """
    worker = pool_state.workers[worker_id]
    suspected_count = sum(
        run.tracked_step is not None
        and bool(run.tracked_step.progress.crashes.get(run.key.position))
        for run in worker.runs.values()
    )
    return suspected_count, worker.used.cores


def _must_wait_for_calm(
    pool_state: pool_states.PoolState,
    tracked_step: tracking.TrackedStep,
    now: float,
) -> bool:
    """Tell whether a crash under a step's next start would prove little."""
    if not tracked_step.progress.is_on_last_starts:
        return False
    waiting_since = tracked_step.waiting_since
    if waiting_since is not None and now - waiting_since >= _MAX_CALM_WAIT_S:
        return False
    crashed_at = crash_causes.CrashAnalysis(
        pool_state
    ).find_last_crash_elsewhere(tracked_step.key.job)
    return crashed_at is not None and now - crashed_at < _CALM_S


def _has_just_started(run: tracking.Run, now: float) -> bool:
    return now - run.ordered_at < tracking.TRIAL_S


def _is_quiet(
    pool_state: pool_states.PoolState, space: packing.Space, now: float
) -> bool:
    """Tell whether nothing has just started on a worker or is about to."""
    if _is_used_in_plan(pool_state, space):
        return False
    runs_there = pool_state.workers[space.worker].runs.values()
    return not any(_has_just_started(run, now) for run in runs_there)


def _is_used_in_plan(
    pool_state: pool_states.PoolState, space: packing.Space
) -> bool:
    return space.free != pool_state.workers[space.worker].free


def _has_waited_long(tracked_step: tracking.TrackedStep, now: float) -> bool:
    waiting_since = tracked_step.waiting_since
    return waiting_since is not None and now - waiting_since >= _MAX_WAIT_S


def _choose_index(tracked_step: tracking.TrackedStep) -> int:
    """Return the task with the most crashes, as the most informative one."""
    return max(
        tracked_step.waiting_indices,
        key=lambda index: (
            len(tracked_step.progress.crashes.get(index, ())),
            -index,
        ),
    )


def _spread_gang(
    tracked_step: tracking.TrackedStep, quiet_spaces: list[packing.Space]
) -> dict[int, packing.Space] | None:
    """Return spaces for all members of a gang, in one rack if possible."""
    racks = list(packing.group_by_rack(quiet_spaces).values())
    for spaces in [*racks, quiet_spaces]:
        gang_spaces = _list_task_spaces(tracked_step.step, spaces)
        if len(gang_spaces) >= tracked_step.step.count:
            return dict(
                zip(
                    sorted(tracked_step.waiting_indices),
                    gang_spaces,
                    strict=False,
                )
            )
    return None


def _list_task_spaces(
    step: model.Step, spaces: list[packing.Space]
) -> list[packing.Space]:
    """Return each space as many times as it has room for a member."""
    limit = step.per_worker or step.count
    task_spaces: list[packing.Space] = []
    for space in spaces:
        task_spaces += [space] * min(limit, space.free.count(step.charge))
    return task_spaces

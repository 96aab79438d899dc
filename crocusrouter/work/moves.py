"""Moves of jobs between pools, when a queue gets another service.

Each job has one home, the pool whose owner schedules it. If the configuration
gives the job's queue to another pool, the owner of the home stops starting
tasks of the job, and moves it by one write to the store. That write changes the
job's record and its progress, and fails if the owner has been replaced or if
either has changed. The new home starts what waits as soon as it has read both.

Runs are not interrupted. The former home holds their tasks: it goes on looking
after them and journals their ends, and the new home starts none of them. Once
such a run has ended without success, the former home releases its task.

So several pools write the progress of one job. Each is right about the tasks
that it decides about, and takes the state of all others from the store: a
holder decides about the tasks that the stored progress names as its own, and
the home about those that nobody holds.
"""

import dataclasses

from crocusrouter.work import model
from crocusrouter.work import pool_state as pool_states
from crocusrouter.work import progress as progresses
from crocusrouter.work import tracking


@dataclasses.dataclass(frozen=True)
class Update:
    """What to journal about one job.

    Attributes:
        progress: Its progress.
        job: The job's record to write along with it; None to leave the record.
    """

    progress: progresses.Progress
    job: model.Job | None = None


def is_leaving(tracked_job: tracking.TrackedJob) -> bool:
    """Tell whether no task of a job may start here, since its home changes."""
    return (
        not tracked_job.is_home
        or bool(tracked_job.move_to)
        or tracked_job.is_being_moved
    )


def mark_moves(pool_state: pool_states.PoolState) -> None:
    """Mark the jobs whose queue has another pool; request the moves.

    A job that may run on a worker that has not reported yet stays until then:
    which of its tasks are held is not known before.
    """
    leaving_jobs = []
    for tracked_job in pool_state.live_jobs.values():
        pool = pool_state.queue_pools.get(tracked_job.job.queue)
        if pool in (None, pool_state.pool) and not tracked_job.move_to:
            continue
        tracked_job.move_to = _find_destination(pool_state, tracked_job)
        if tracked_job.move_to and not tracked_job.is_being_moved:
            leaving_jobs.append(tracked_job)
    if not leaving_jobs:
        return
    blocked_jobs = pool_state.list_blocked_jobs()
    pool_state.dirty.update(
        tracked_job.job.id
        for tracked_job in leaving_jobs
        if tracked_job.job.id not in blocked_jobs
    )


def _find_destination(
    pool_state: pool_states.PoolState, tracked_job: tracking.TrackedJob
) -> str:
    """Return the pool to which a job has to move; empty if it stays.

    The owners of two pools may know different versions of the configuration.
    Only a later version than the one that assigned the job's pool moves it, or
    the job would go back and forth.
    """
    job = tracked_job.job
    pool = pool_state.queue_pools.get(job.queue, pool_state.pool)
    if (
        not tracked_job.is_home
        or tracked_job.is_final
        or pool == pool_state.pool
        or pool_state.config_version <= job.config_version
    ):
        return ""
    return pool


def build_update(
    pool_state: pool_states.PoolState,
    tracked_job: tracking.TrackedJob,
    blocked_jobs: frozenset[str],
    *,
    may_move: bool,
) -> Update:
    """Return what to journal about a job now.

    Pools hear of changes by the job's record, which all owners watch. So the
    record is written anew whenever another pool has to read the progress.

    Args:
        pool_state: State of the pool.
        tracked_job: The job.
        blocked_jobs: The result of `PoolState.list_blocked_jobs`.
        may_move: Whether a write of the job's record has room in the batch.
    """
    progress, job = tracked_job.progress, tracked_job.job
    progress.was_started = tracked_job.has_started
    if (
        may_move
        and tracked_job.is_home
        and tracked_job.move_to
        and not tracked_job.is_final
        and job.id not in blocked_jobs
    ):
        tracked_job.is_being_moved = True
        return _build_move(pool_state, tracked_job)
    is_shown_to_holders = progress.final_state is not None and any(
        step_progress.held for step_progress in progress.steps.values()
    )
    if may_move and (not tracked_job.is_home or is_shown_to_holders):
        return Update(progress, job)
    return Update(progress)


def _build_move(
    pool_state: pool_states.PoolState, tracked_job: tracking.TrackedJob
) -> Update:
    """Return a job's progress and record as of after its move."""
    progress = tracked_job.progress
    steps = {
        (occurrence, step): dataclasses.replace(
            step_progress,
            held=step_progress.held
            | dict.fromkeys(
                _list_running(tracked_job, occurrence, step), pool_state.pool
            ),
        )
        for (occurrence, step), step_progress in progress.steps.items()
    }
    job = dataclasses.replace(
        tracked_job.job,
        pool=tracked_job.move_to,
        config_version=pool_state.config_version,
        moves=progress.moves + 1,
    )
    moved_progress = dataclasses.replace(
        progress, steps=steps, home=job.pool, moves=job.moves
    )
    return Update(moved_progress, job)


def _list_running(
    tracked_job: tracking.TrackedJob, occurrence: int, step: int
) -> set[int]:
    """Return the tasks of a step that can't start elsewhere yet.

    A gang starts as a whole, so it is held as a whole.
    """
    key = model.StepKey(tracked_job.job.id, occurrence, step)
    tracked_step = tracked_job.steps.get(key)
    if tracked_step is None or not tracked_step.runs_by_index:
        return set()
    if tracked_step.step.gang:
        return set(range(tracked_step.step.count)) - tracked_step.progress.done
    return tracked_step.runs_by_index.keys() - tracked_step.progress.done


def merge_progress(
    pool_state: pool_states.PoolState,
    tracked_job: tracking.TrackedJob,
    stored: progresses.Progress,
    now: float,
) -> None:
    """Take over what the stored progress says about other pools' tasks.

    Args:
        pool_state: State of the pool.
        tracked_job: A job that has moved, or may have.
        stored: Its progress as it is stored.
        now: Steady time in seconds.
    """
    progress = tracked_job.progress
    is_same_home = tracked_job.is_home and stored.moves == progress.moves
    if stored.home:
        tracked_job.is_home = stored.home == pool_state.pool
        tracked_job.move_to = _find_destination(pool_state, tracked_job)
        progress.home, progress.moves = stored.home, stored.moves
    tracked_job.has_started |= stored.has_started
    if progress.final_state is not None:
        return
    if stored.final_state is not None:
        progress.final_state = stored.final_state
        progress.finished_at = stored.finished_at
        tracked_job.durable = True
        pool_state.close_job(tracked_job, f"job {stored.final_state}", now)
        return
    for occurrence, step in sorted(progress.steps.keys() | stored.steps.keys()):
        mine = progress.get(occurrence, step)
        theirs = stored.steps.get((occurrence, step), progresses.StepProgress())
        if is_same_home:
            mine.drop_holder(pool_state.pool)
            foreign = set(mine.held)
        else:
            indices = range(tracked_job.job.steps[step].count)
            foreign = {
                index
                for index in indices
                if theirs.held.get(index) != pool_state.pool
            }
        _merge_step(mine, theirs, foreign)
        if tracked_job.is_home:
            mine.drop_holder(pool_state.pool)
    _update_waiting(pool_state, tracked_job, now)


def _merge_step(
    mine: progresses.StepProgress,
    theirs: progresses.StepProgress,
    foreign: set[int],
) -> None:
    """Replace the progress of those tasks that another pool decides about."""
    mine.done = (mine.done - foreign) | (theirs.done & foreign)
    for field in (
        "failed_runs",
        "checkpoints",
        "crashes",
        "explained_runs",
        "stopped_runs",
    ):
        values = getattr(mine, field)
        stored_values = getattr(theirs, field)
        for index in foreign & (values.keys() | stored_values.keys()):
            if index in stored_values:
                values[index] = stored_values[index]
            else:
                del values[index]
    mine.held = dict(theirs.held)


def _update_waiting(
    pool_state: pool_states.PoolState,
    tracked_job: tracking.TrackedJob,
    now: float,
) -> None:
    """Bring a job's waiting tasks in line with its merged progress."""
    for tracked_step in tracked_job.steps.values():
        progress = tracked_step.progress
        waiting_indices = {
            index
            for index in range(tracked_step.step.count)
            if index not in progress.done
            and index not in tracked_step.runs_by_index
            and progress.held.get(index, pool_state.pool) == pool_state.pool
        }
        if waiting_indices - tracked_step.waiting_indices:
            tracked_step.waiting_since = None
        tracked_step.waiting_indices = waiting_indices
    if not tracked_job.is_home:
        return
    for occurrence in range(tracked_job.opened_count):
        pool_state.note_ready_steps(tracked_job, occurrence, now)
    if _has_failed(tracked_job):
        pool_state.finish(tracked_job, model.State.FAILED, now)
    pool_state.finish_if_done(tracked_job, now)


def _has_failed(tracked_job: tracking.TrackedJob) -> bool:
    """Tell whether a task has failed as often as it may."""
    return any(
        len(failed_runs) >= tracked_job.job.max_attempts
        for (_, step), step_progress in tracked_job.progress.steps.items()
        if not tracked_job.job.steps[step].lasting
        for failed_runs in step_progress.failed_runs.values()
    )


def release_ended_tasks(pool_state: pool_states.PoolState) -> None:
    """Give the held tasks that no longer run here back to their jobs' homes.

    The journal makes that known, together with how the runs have ended.
    """
    blocked_jobs: frozenset[str] | None = None
    for tracked_job in pool_state.live_jobs.values():
        if tracked_job.is_home:
            continue
        if blocked_jobs is None:
            blocked_jobs = pool_state.list_blocked_jobs()
        if tracked_job.job.id in blocked_jobs:
            continue
        for (occurrence, step), progress in tracked_job.progress.steps.items():
            running = _list_running(tracked_job, occurrence, step)
            ended = {
                index
                for index, holder in progress.held.items()
                if holder == pool_state.pool and index not in running
            }
            for index in ended:
                del progress.held[index]
            if ended:
                pool_state.dirty.add(tracked_job.job.id)


def list_left_jobs(pool_state: pool_states.PoolState) -> list[str]:
    """Return the moved jobs of which nothing is left here."""
    return [
        job_id
        for job_id, tracked_job in pool_state.jobs.items()
        if not tracked_job.is_home
        and not tracked_job.has_runs
        and (
            tracked_job.is_final
            or not any(
                pool_state.pool in step_progress.held.values()
                for step_progress in tracked_job.progress.steps.values()
            )
        )
    ]

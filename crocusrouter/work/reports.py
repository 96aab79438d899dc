"""Updates of a pool's state from the reports of its workers."""

from crocusrouter.work import crashes
from crocusrouter.work import duplicate_runs
from crocusrouter.work import gang_progress
from crocusrouter.work import model
from crocusrouter.work import pool_state as pool_states
from crocusrouter.work import stop_limits
from crocusrouter.work import tracking
from crocusrouter.work import worker_failures
from crocusrouter.work import worker_port

# These ends are caused by the task itself and leave its worker running.
_ENDS_BY_TASK = frozenset(
    {worker_port.RunOutcome.DONE, worker_port.RunOutcome.FAILED}
)


def apply_report(
    pool_state: pool_states.PoolState,
    worker_id: str,
    report: worker_port.Report,
    sent_at: float,
    now: float,
) -> None:
    """Apply a worker's report to the state of its pool.

    Args:
        pool_state: State of the pool.
        worker_id: The worker that sent the report.
        report: The report.
        sent_at: Steady time at which the report was requested; runs ordered
            later may be missing from it.
        now: Steady time in seconds.
    """
    worker = pool_state.workers.get(worker_id)
    if worker is None:
        return
    if worker.silent_since is not None or not worker.reached:
        pool_state.note(
            "worker:reached",
            worker=worker_id,
            clock_ms=report.clock_ms,
            noted=worker.last_end_number,
            ends=[run_end.number for run_end in report.ended],
        )
    if worker.silent_since is not None:
        crashes.withdraw_worker_crash(pool_state, worker)
    worker.silent_since = None
    worker.reached = True
    worker.last_report_at = now
    for run_end in report.ended:
        # The worker lists an end until it is confirmed.
        if run_end.number > worker.last_end_number:
            worker.last_end_number = run_end.number
            duplicate_runs.note_duplicate(pool_state, worker, run_end)
            _apply_end(pool_state, worker_id, run_end, now)
    running_by_key = {
        reported_run.key: reported_run for reported_run in report.running
    }
    known_strays = frozenset(worker.stray_runs)
    worker.stray_runs.clear()
    ended_keys = {
        (reported_run.key, reported_run.run) for reported_run in report.ended
    }
    for reported_run in report.running:
        if (reported_run.key, reported_run.run) not in ended_keys:
            _apply_running(pool_state, worker, reported_run, known_strays, now)
    _drop_missing_runs(pool_state, worker, running_by_key, sent_at, now)


def _apply_running(
    pool_state: pool_states.PoolState,
    worker: tracking.Worker,
    reported_run: worker_port.ReportedRun,
    known_strays: frozenset[tuple[model.TaskKey, int]],
    now: float,
) -> None:
    """Update a run, adopt it after a takeover, or stop it as a stray."""
    worker_id = worker.entry.id
    pool_state.open_reported_occurrence(reported_run.key, now)
    crashes.withdraw_crash(pool_state, reported_run.key, reported_run.run)
    run = pool_state.runs.get(reported_run.key)
    if (
        run is not None
        and run.number == reported_run.run
        and run.worker_id == worker_id
    ):
        pool_state.note_started(reported_run.key, reported_run.run, now)
        pool_state.repeat_stop(run, now)
        gang_progress.record_progress(run, reported_run.percent, now)
        run.load = reported_run.load
        run.checkpoint = reported_run.checkpoint or run.checkpoint
        _observe_speed(pool_state, run, now)
        crashes.clear_working_run(pool_state, run, worker)
        return
    if run is None and _may_adopt(pool_state, reported_run.key):
        adopted_run = pool_state.add_run(
            reported_run.key, reported_run.run, worker_id, now
        )
        adopted_run.checkpoint = (
            reported_run.checkpoint or adopted_run.checkpoint
        )
        gang_progress.record_progress(adopted_run, reported_run.percent, now)
        # Its start time is unknown.
        gang_progress.restart_measurement(adopted_run, now)
        pool_state.note_started(reported_run.key, reported_run.run, now)
        _observe_speed(pool_state, adopted_run, now)
        pool_state.note(
            "run:adopted",
            task=reported_run.key,
            run=reported_run.run,
            worker=worker_id,
        )
        return
    if (reported_run.key, reported_run.run) not in known_strays:
        duplicate_runs.note_duplicate(pool_state, worker, reported_run)
    worker.stray_runs.add((reported_run.key, reported_run.run))
    pool_state.outbox.append(
        (worker_id, worker_port.Stop(reported_run.key, reported_run.run))
    )
    pool_state.note(
        "run:stray",
        task=reported_run.key,
        run=reported_run.run,
        worker=worker_id,
    )


def _observe_speed(
    pool_state: pool_states.PoolState, run: tracking.Run, now: float
) -> None:
    """Update the speeds of workers from a run's progress."""
    if run.tracked_step is not None:
        members = run.tracked_step.runs_by_index.values()
        pool_state.speeds.observe(run, run.tracked_step, members, now)


def _may_adopt(pool_state: pool_states.PoolState, key: model.TaskKey) -> bool:
    """Tell whether a run that a previous owner started is still wanted."""
    tracked_job = pool_state.jobs.get(key.job)
    tracked_step = pool_state.find_tracked_step(key)
    return (
        tracked_job is not None
        and not tracked_job.is_final
        and tracked_step is not None
        and key.position in tracked_step.waiting_indices
        and tracked_job.is_task_of(
            tracked_step.progress, key.position, pool_state.pool
        )
    )


def _drop_missing_runs(
    pool_state: pool_states.PoolState,
    worker: tracking.Worker,
    running_by_key: dict[model.TaskKey, worker_port.ReportedRun],
    sent_at: float,
    now: float,
) -> None:
    """Drop runs that their worker no longer knows.

    A previous owner may have confirmed an end and died before it could record
    it. Without this, the task would count as running for ever. A run that was
    not confirmed may still begin until its worker has answered a stop.
    """
    for key in list(worker.runs):
        if key in running_by_key:
            continue
        run = pool_state.runs[key]
        confirmed_at = run.confirmed_at
        if confirmed_at is None:
            pool_state.repeat_stop(run, now)
            continue
        if confirmed_at >= sent_at:
            continue
        pool_state.note(
            "run:missing",
            task=key,
            run=run.number,
            worker=run.worker_id,
            ran_s=round(now - run.ordered_at, 3),
            noted=worker.last_end_number,
        )
        pool_state.drop_run(run)
        pool_state.requeue(run, worker_port.RunOutcome.LAPSED, now)


def _apply_end(
    pool_state: pool_states.PoolState,
    worker_id: str,
    run_end: worker_port.RunEnd,
    now: float,
) -> None:
    """Record the end of a run."""
    key = run_end.key
    pool_state.open_reported_occurrence(key, now)
    crashes.withdraw_crash(pool_state, key, run_end.run)
    run = pool_state.runs.get(key)
    is_current = (
        run is not None
        and run.number == run_end.run
        and run.worker_id == worker_id
    )
    tracked_step = pool_state.find_tracked_step(key)
    tracked_job = pool_state.jobs.get(key.job)
    if is_current and run is not None:
        run.checkpoint = run_end.checkpoint or run.checkpoint
        pool_state.drop_run(run)
        if (
            run_end.outcome is worker_port.RunOutcome.STOPPED
            and run.stop_ordered_at
        ):
            pool_state.note_stopped(run, now)
        elif run_end.outcome in _ENDS_BY_TASK:
            stop_limits.withdraw_stop(run)
    if tracked_job is None or tracked_step is None:
        pool_state.note(
            "run:stray-ended",
            task=key,
            run=run_end.run,
            worker=worker_id,
            how=str(run_end.outcome),
        )
        return
    tracked_job.has_started = True
    if key.position in tracked_step.progress.done:
        return
    pool_state.note(
        "run:ended",
        task=key,
        run=run_end.run,
        worker=worker_id,
        how=str(run_end.outcome),
        **_describe_cancel(tracked_job, now),
    )
    if run_end.outcome in _ENDS_BY_TASK:
        crashes.clear_working_step(pool_state, tracked_step, key.position)
    if run_end.outcome is worker_port.RunOutcome.DONE:
        _apply_success(
            pool_state, tracked_job, tracked_step, run_end, worker_id, now
        )
        return
    if run_end.outcome is worker_port.RunOutcome.FAILED:
        _apply_failure(
            pool_state, tracked_job, tracked_step, run_end, worker_id, now
        )
    if is_current and run is not None:
        pool_state.requeue(run, run_end.outcome, now)
    elif run is None:
        pool_state.keep_checkpoint(tracked_step, key, run_end.checkpoint)


def _describe_cancel(
    tracked_job: tracking.TrackedJob, now: float
) -> dict[str, float]:
    """Return how long after the cancel of its job a run has ended."""
    if not tracked_job.job.cancelled or tracked_job.over_since is None:
        return {}
    return {"after_cancel_s": round(now - tracked_job.over_since, 3)}


def _apply_success(
    pool_state: pool_states.PoolState,
    tracked_job: tracking.TrackedJob,
    tracked_step: tracking.TrackedStep,
    run_end: worker_port.RunEnd,
    worker_id: str,
    now: float,
) -> None:
    """Record that a task has succeeded."""
    key = run_end.key
    worker_failures.note_success(pool_state.workers.get(worker_id))
    if tracked_step.step.lasting:
        # A lasting task runs again until its job is cancelled, however it ends.
        # The end may be of an earlier run.
        if key not in pool_state.runs:
            tracked_step.waiting_indices.add(key.position)
        return
    indices = (
        range(tracked_step.step.count)
        if tracked_step.step.gang
        else (key.position,)
    )
    for index in indices:
        tracked_step.progress.done.add(index)
        tracked_step.progress.checkpoints.pop(index, None)
        tracked_step.waiting_indices.discard(index)
        other_run = pool_state.runs.get(key._replace(position=index))
        if other_run is None:
            continue
        # Members of the run that has succeeded end by themselves.
        is_member = tracked_step.step.gang and other_run.number == run_end.run
        if not is_member:
            pool_state.stop_run(other_run, "its task has ended elsewhere", now)
    if tracked_step.is_done:
        pool_state.note_ready_steps(tracked_job, key.occurrence, now)
    pool_state.dirty.add(tracked_job.job.id)
    pool_state.finish_if_done(tracked_job, now)


def _apply_failure(
    pool_state: pool_states.PoolState,
    tracked_job: tracking.TrackedJob,
    tracked_step: tracking.TrackedStep,
    run_end: worker_port.RunEnd,
    worker_id: str,
    now: float,
) -> None:
    """Record that a task has failed; fail its job after the last attempt."""
    worker_failures.note_failure(
        pool_state.workers,
        worker_id,
        tracked_job.job.id,
        now,
        pool_state.note,
    )
    tracked_step.avoided_workers.add(worker_id)
    tracked_step.not_before = max(
        tracked_step.not_before, now + pool_states.RETRY_PAUSE_S
    )
    index = 0 if tracked_step.step.gang else run_end.key.position
    failed_runs = tracked_step.progress.failed_runs.setdefault(index, [])
    if run_end.run in failed_runs:
        return
    failed_runs.append(run_end.run)
    pool_state.dirty.add(tracked_job.job.id)
    if (
        len(failed_runs) >= tracked_job.job.max_attempts
        and not tracked_step.step.lasting
    ):
        pool_state.finish(tracked_job, model.State.FAILED, now)

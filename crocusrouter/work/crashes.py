"""Which tasks are suspected when the workers that run them crash.

A task that crashes its worker also ends everything else that runs there, and
does so again wherever it starts next. Which run caused a crash is unknown, so
each crash is recorded for every run that it ended. A suspected task then starts
alone, on a worker that takes nothing else until the task has been seen to work;
a further crash there is stronger evidence.

An innocent task may be running on a crashing worker too, so a task is not given
up after one crash. A worker that falls silent may only be cut off. It then
reports its runs once it is back, and the recorded crash is withdrawn. Crashes
that something else explains (`crash_causes`) are not counted against a task,
except against a bound on its starts that holds in any case.
"""

from collections.abc import Iterable

from crocusrouter.work import crash_causes
from crocusrouter.work import crash_records
from crocusrouter.work import model
from crocusrouter.work import pool_state as pool_states
from crocusrouter.work import progress as progresses
from crocusrouter.work import replacement
from crocusrouter.work import tracking
from crocusrouter.work import worker_port


def note_silent(
    pool_state: pool_states.PoolState, worker_id: str, now: float
) -> None:
    """Record that a worker does not answer.

    It may have crashed because of a task that has just started there. Such a
    crash is recorded now, not some seconds later when it is certain: if this
    owner were lost in between, nobody would know what was running there, and a
    new owner would start the task again. The crash is withdrawn if the worker
    was only cut off and reports the run later.

    Args:
        pool_state: State of the pool.
        worker_id: The worker.
        now: Steady time in seconds.
    """
    worker = pool_state.workers.get(worker_id)
    if worker is None or worker.silent_since is not None:
        return
    pool_state.note_silent(worker_id, now)
    for run in crash_records.list_suspected_runs(worker):
        if crash_records.is_early(run, worker):
            _record_crash(pool_state, run, worker)


def note_lapsed(
    pool_state: pool_states.PoolState, worker_id: str, reason: str, now: float
) -> None:
    """Record that a worker's leases have expired without an answer.

    It may have crashed and stay away for longer than a lease, or be cut off.

    Args:
        pool_state: State of the pool.
        worker_id: The worker.
        reason: Text for the log.
        now: Steady time in seconds.
    """
    worker = pool_state.workers.get(worker_id)
    if worker is None:
        return
    suspected_runs = crash_records.list_suspected_runs(worker)
    for run in suspected_runs:
        _record_crash(pool_state, run, worker)
    # The platform still lists a worker that is only cut off from this entry.
    _note_worker_crash(
        pool_state, worker, suspected_runs, now, is_certain=not worker.listed
    )
    pool_state.note_lapsed(worker_id, reason, now)
    _fail_crashing_tasks(pool_state, suspected_runs, now)


def note_replaced(
    pool_state: pool_states.PoolState,
    worker_id: str,
    now: float,
    successor: str | None = None,
    late_stops: Iterable[worker_port.Stop] = (),
) -> None:
    """Record that another incarnation answers in place of a worker's.

    Args:
        pool_state: State of the pool.
        worker_id: The incarnation that has ended.
        now: Steady time in seconds.
        successor: The incarnation that answers; None if unknown.
        late_stops: Stops of the starts that the successor may carry out late.
    """
    worker = pool_state.workers.get(worker_id)
    if worker is None:
        return
    suspected_runs = crash_records.list_suspected_runs(worker)
    for run in suspected_runs:
        _record_crash(pool_state, run, worker)
    if not worker.replaced:
        _note_worker_crash(
            pool_state, worker, suspected_runs, now, is_certain=True
        )
    _log_crash(pool_state, worker, suspected_runs)
    replacement.note_incarnation_replaced(
        pool_state, worker_id, now, successor, late_stops
    )
    _fail_crashing_tasks(pool_state, suspected_runs, now)


def _note_worker_crash(
    pool_state: pool_states.PoolState,
    worker: tracking.Worker,
    suspected_runs: list[tracking.Run],
    now: float,
    *,
    is_certain: bool,
) -> None:
    """Record a worker's crash, and which of its suspects it speaks against."""
    if worker.was_draining or worker.was_evacuated:
        return
    silent_since = worker.silent_since
    crash = crash_records.WorkerCrash(
        worker.entry.id,
        silent_since if silent_since is not None else now,
        crash_records.build_suspects(worker, suspected_runs),
        is_certain and worker.reached,
    )
    for suspect, run in zip(crash.suspects, suspected_runs, strict=True):
        if not suspect.early:
            _record_late_crash(pool_state, run)
    crash_causes.note_worker_crash(pool_state, crash)
    repeated_runs = [
        run for run in suspected_runs if len(_list_crashes(run)) > 1
    ]
    if repeated_runs:
        analysis = crash_causes.CrashAnalysis(pool_state)
        for run in repeated_runs:
            _update_explained_runs(pool_state, run, analysis)


def _record_late_crash(
    pool_state: pool_states.PoolState, run: tracking.Run
) -> None:
    """Record that a crash came some time after the start of a run."""
    if run.tracked_step is None:
        return
    crashes = run.tracked_step.progress.crashes.get(run.key.position, [])
    for position, crash in enumerate(crashes):
        if crash.run == run.number and crash.early:
            crashes[position] = crash._replace(early=False)
            pool_state.dirty.add(run.key.job)


def _update_explained_runs(
    pool_state: pool_states.PoolState,
    run: tracking.Run,
    analysis: crash_causes.CrashAnalysis,
) -> None:
    """Record which crashes under a task have another likely cause."""
    assert run.tracked_step is not None
    progress = run.tracked_step.progress
    causes = analysis.find_other_causes(run.key)
    for number, cause in causes.items():
        if cause is crash_causes.OtherCause.REPEATED_TASK:
            withdraw_crash(pool_state, run.key, number)
    previous_runs = progress.explained_runs.get(run.key.position, set())
    runs = {number for number, cause in causes.items() if cause is not None}
    runs |= previous_runs - causes.keys()
    if runs != previous_runs:
        pool_state.note(
            "task:crashes-explained",
            task=run.key,
            causes={str(number): cause for number, cause in causes.items()},
        )
        progress.explained_runs[run.key.position] = runs
        pool_state.dirty.add(run.key.job)


def _log_crash(
    pool_state: pool_states.PoolState,
    worker: tracking.Worker,
    suspected_runs: list[tracking.Run],
) -> None:
    if not suspected_runs:
        return
    early_runs = [
        run for run in suspected_runs if crash_records.is_early(run, worker)
    ]
    pool_state.note(
        "worker:crashed",
        worker=worker.entry.id,
        suspects=[str(run.key) for run in early_runs],
        others=[
            str(run.key) for run in suspected_runs if run not in early_runs
        ],
    )


def withdraw_crash(
    pool_state: pool_states.PoolState, key: model.TaskKey, run_number: int
) -> None:
    """Remove the crash recorded for a run that its worker still reports.

    Args:
        pool_state: State of the pool.
        key: The task.
        run_number: Number of the run that the worker lists as running or ended.
    """
    tracked_step = pool_state.find_tracked_step(key)
    crashes = (
        tracked_step.progress.crashes.get(key.position)
        if tracked_step is not None
        else None
    )
    if tracked_step is None or not crashes:
        return
    remaining_crashes = [crash for crash in crashes if crash.run != run_number]
    if len(remaining_crashes) < len(crashes):
        tracked_step.progress.crashes[key.position] = remaining_crashes
        pool_state.dirty.add(key.job)


def withdraw_worker_crash(
    pool_state: pool_states.PoolState, worker: tracking.Worker
) -> None:
    """Remove the crashes recorded for a worker that was only cut off.

    That includes runs which it does not report: their starts may have been lost
    on the way, or their ends when its leases had expired.

    Args:
        pool_state: State of the pool.
        worker: The worker, which answers again.
    """
    for run in list(worker.runs.values()):
        withdraw_crash(pool_state, run.key, run.number)
    crash = pool_state.worker_crashes.pop(worker.entry.id, None)
    for suspect in crash.suspects if crash is not None else ():
        withdraw_crash(pool_state, suspect.key, suspect.run)


def clear_working_run(
    pool_state: pool_states.PoolState,
    run: tracking.Run,
    worker: tracking.Worker,
) -> None:
    """Clear a step of suspicion once one of its tasks is seen to work.

    The tasks of a step run the same program, so the others need no trials of
    their own. Their crashes stay recorded, since one task may still differ.
    """
    tracked_step = run.tracked_step
    if (
        tracked_step is None
        or not tracked_step.progress.crashes
        or crash_records.is_early(run, worker)
    ):
        return
    if tracked_step.step.gang and run.percent <= run.measured_from:
        # The task waits for the other members of its gang, and works only after
        # that. If it resumes from a checkpoint, it starts above 0 percent.
        return
    worked_s = crash_records.measure_work_time(run, worker)
    if (
        worked_s >= crash_records.CLEARED_AFTER_S
        and run.key.position in tracked_step.progress.crashes
    ):
        del tracked_step.progress.crashes[run.key.position]
        tracked_step.progress.explained_runs.pop(run.key.position, None)
        pool_state.dirty.add(run.key.job)
    clear_working_step(pool_state, tracked_step, run.key.position)


def clear_working_step(
    pool_state: pool_states.PoolState,
    tracked_step: tracking.TrackedStep,
    index: int,
) -> None:
    """Stop counting crashes of a step as early once one of its tasks works.

    A task that has met two crashes must be seen to work itself.

    Args:
        pool_state: State of the pool.
        tracked_step: The step.
        index: Index of the task that works.
    """
    for crashed_index, crashes in tracked_step.progress.crashes.items():
        if crashed_index != index and len(crashes) > 1:
            continue
        if any(crash.early for crash in crashes):
            tracked_step.progress.crashes[crashed_index] = [
                crash._replace(early=False) for crash in crashes
            ]
            pool_state.dirty.add(tracked_step.key.job)


def _fail_crashing_tasks(
    pool_state: pool_states.PoolState,
    crashed_runs: list[tracking.Run],
    now: float,
) -> None:
    """Fail the jobs of tasks under which too many workers have crashed.

    The most suspicious task comes first, since crashes that it explains no
    longer count against the others.
    """
    for run in sorted(
        crashed_runs, key=lambda run: len(_list_crashes(run)), reverse=True
    ):
        assert run.tracked_step is not None
        tracked_job = pool_state.jobs.get(run.key.job)
        if run.tracked_step.progress.has_crashed_too_often(
            run.key.position,
            is_gang=run.tracked_step.step.gang,
            is_lasting=run.tracked_step.step.lasting,
            # An earlier owner may have been lost before it could record a
            # crash, so there is no further start to give away.
            counts_explained=tracked_job is not None
            and tracked_job.accepted_revision <= pool_state.epoch,
        ):
            _fail_job(pool_state, run, now)
            _clear_tasks_beside(pool_state, run.key.job)


def _clear_tasks_beside(pool_state: pool_states.PoolState, job: str) -> None:
    """Withdraw the crashes that a given-up job explains from all others."""
    for crash in pool_state.worker_crashes.values():
        if not any(
            suspect.key.job == job and suspect.early
            for suspect in crash.suspects
        ):
            continue
        for suspect in crash.suspects:
            if suspect.key.job != job:
                withdraw_crash(pool_state, suspect.key, suspect.run)


def _record_crash(
    pool_state: pool_states.PoolState,
    run: tracking.Run,
    worker: tracking.Worker,
) -> None:
    if run.tracked_step is None or run.key.job not in pool_state.live_jobs:
        return
    crashes = run.tracked_step.progress.crashes.setdefault(run.key.position, [])
    if any(crash.run == run.number for crash in crashes):
        return
    crash = progresses.Crash(run.number, crash_records.is_early(run, worker))
    crashes.append(crash)
    pool_state.dirty.add(run.key.job)
    if crash.early:
        pool_state.jobs[run.key.job].has_unsaved_crash = True


def _list_crashes(run: tracking.Run) -> list[progresses.Crash]:
    assert run.tracked_step is not None
    return run.tracked_step.progress.crashes.get(run.key.position, [])


def _fail_job(
    pool_state: pool_states.PoolState, run: tracking.Run, now: float
) -> None:
    tracked_job = pool_state.jobs.get(run.key.job)
    if tracked_job is None or tracked_job.is_final:
        return
    pool_state.note(
        "task:given-up",
        task=run.key,
        runs=[crash.run for crash in _list_crashes(run)],
    )
    tracked_job.given_up = True
    pool_state.finish(tracked_job, model.State.FAILED, now)

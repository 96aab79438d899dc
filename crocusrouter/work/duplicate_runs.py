"""Reports of two runs of one task, of which the first had not ended.

An owner starts no task that may run elsewhere. Such a report shows that what it
relied on did not hold, and names what distinguishes the causes: whether the
owner knew of the worker when it took over, and whether it had counted the
worker's leases as ended.
"""

from crocusrouter.work import pool_state as pool_states
from crocusrouter.work import tracking
from crocusrouter.work import worker_port


def note_duplicate(
    pool_state: pool_states.PoolState,
    worker: tracking.Worker,
    reported: worker_port.ReportedRun | worker_port.RunEnd,
) -> None:
    """Note an event if a reported run should not be there beside another.

    That is a run that still works, or has succeeded, while the owner has
    another run of its task; or one that still works after its task was done.
    A run that the owner has ordered to stop, or a start that it has replaced,
    can't be told apart from one that it never knew of; both are noted.

    Args:
        pool_state: State of the pool, before the report is applied.
        worker: The worker that reports the run.
        reported: The run, or its end.
    """
    if (
        isinstance(reported, worker_port.RunEnd)
        and reported.outcome is not worker_port.RunOutcome.DONE
    ):
        return
    other_run = pool_state.runs.get(reported.key)
    if other_run is not None and other_run.number == reported.run:
        return
    if other_run is None and not _works_after_done(pool_state, reported):
        return
    pool_state.note(
        "run:duplicate",
        task=reported.key,
        run=reported.run,
        worker=worker.entry.id,
        other_run=other_run.number if other_run is not None else None,
        other_worker=other_run.worker_id if other_run is not None else None,
        has_ended=isinstance(reported, worker_port.RunEnd),
        foreseen=worker.is_foreseen,
        lapsed=worker.all_runs_ended,
    )


def _works_after_done(
    pool_state: pool_states.PoolState,
    reported: worker_port.ReportedRun | worker_port.RunEnd,
) -> bool:
    """Tell whether a run goes on although its task is done.

    The members of a gang end together, but are reported one by one.
    """
    tracked_step = pool_state.find_tracked_step(reported.key)
    return (
        isinstance(reported, worker_port.ReportedRun)
        and tracked_step is not None
        and not tracked_step.step.gang
        and reported.key.position in tracked_step.progress.done
    )

"""Crashes of workers, and the runs that may have caused them."""

import dataclasses
from typing import NamedTuple

from crocusrouter.work import model
from crocusrouter.work import tracking

# A run that has worked for this long did not cause a crash of its worker.
CLEARED_AFTER_S = 60.0
# A run that had worked for this much longer than another one when their worker
# was last heard is the less likely cause of its crash.
_LONGER_WORK_S = 1.0


class Suspect(NamedTuple):
    """A run that may have crashed its worker.

    Attributes:
        key: The task.
        run: Number of the run.
        early: Whether the crash came right after the start.
    """

    key: model.TaskKey
    run: int
    early: bool


@dataclasses.dataclass(frozen=True)
class WorkerCrash:
    """The end of a worker that had not announced it.

    Attributes:
        worker_id: The incarnation that has ended.
        at: Since when it did not answer, on the steady clock.
        suspects: The runs that may have caused it.
        is_certain: Whether its process has certainly ended, rather than being
            cut off, and all runs there were known.
    """

    worker_id: str
    at: float
    suspects: tuple[Suspect, ...]
    is_certain: bool


def list_suspected_runs(worker: tracking.Worker) -> list[tracking.Run]:
    """Return the runs that may have crashed a worker.

    There are none if the worker was draining or emptied for upkeep.
    """
    if worker.was_draining or worker.was_evacuated:
        return []
    return [
        run
        for run in worker.runs.values()
        if _may_have_crashed_worker(run, worker)
    ]


def _may_have_crashed_worker(
    run: tracking.Run, worker: tracking.Worker
) -> bool:
    """Tell whether a run may have started, and not long ago."""
    may_have_started = run.maybe_started or run.confirmed_at is not None
    return (
        may_have_started
        and run.tracked_step is not None
        and measure_work_time(run, worker) < CLEARED_AFTER_S
    )


def build_suspects(
    worker: tracking.Worker, suspected_runs: list[tracking.Run]
) -> tuple[Suspect, ...]:
    """Return the suspects of a crash.

    A run counts as started early only if no other job's run there had worked
    for clearly less time when the worker was last heard.
    """
    early_work_times = [
        (run.key.job, _measure_known_work_time(run, worker))
        for run in suspected_runs
        if is_early(run, worker)
    ]
    return tuple(
        Suspect(
            run.key,
            run.number,
            is_early(run, worker)
            and not any(
                job != run.key.job and worked_s + _LONGER_WORK_S <= own_worked_s
                for job, worked_s in early_work_times
            ),
        )
        for run in suspected_runs
        for own_worked_s in [_measure_known_work_time(run, worker)]
    )


def is_early(run: tracking.Run, worker: tracking.Worker) -> bool:
    """Tell whether a run has not been seen to work for the time of a trial."""
    return measure_work_time(run, worker) < tracking.TRIAL_S


def measure_work_time(run: tracking.Run, worker: tracking.Worker) -> float:
    """Return for how many seconds a run was certainly seen to work."""
    if run.confirmed_at is None or worker.last_report_at is None:
        return 0.0
    return max(0.0, worker.last_report_at - run.confirmed_at)


def _measure_known_work_time(
    run: tracking.Run, worker: tracking.Worker
) -> float:
    """Return for how long a run had worked when its worker last answered.

    The answers to later starts count here, as the worker had survived until
    then.
    """
    if run.confirmed_at is None:
        return 0.0
    answered_at = max(
        worker.last_report_at or 0.0,
        *(
            other.confirmed_at
            for other in worker.runs.values()
            if other.confirmed_at is not None
        ),
    )
    return max(0.0, answered_at - run.confirmed_at)

"""Detection of workers that fail the tasks they start.

A failure may be the fault of the job or of the worker. If tasks of different
jobs fail on a worker and none succeeds in between, the worker is at fault.
"""

from collections.abc import Callable

from crocusrouter.work import tracking

# Number of different jobs whose failures make a worker suspect. About 2% of
# tasks fail by themselves, so failures of two jobs in a row on one worker are
# far more often the worker's fault than chance.
_JOBS_TO_SUSPECT = 2
# A worker that fails all tasks does so for some seconds. After that, the tasks
# of a single job are enough to tell, since one more failure renews the
# suspicion.
_SUSPECT_S = 4.0


def note_success(worker: tracking.Worker | None) -> None:
    """Record that a task succeeded on a worker."""
    if worker is not None:
        worker.failures.clear()


def note_failure(
    worker: tracking.Worker | None,
    job_id: str,
    now: float,
    note: Callable[..., None],
) -> None:
    """Record that a task failed, and suspect the worker if it is at fault."""
    if worker is None:
        return
    worker.failures.add(job_id)
    if len(worker.failures) >= _JOBS_TO_SUSPECT:
        worker.suspect_until = now + _SUSPECT_S
        note(
            "worker:suspected",
            worker=worker.entry.id,
            jobs=len(worker.failures),
            until=worker.suspect_until,
        )

"""Detection of workers that fail the tasks they start.

A failure may be the fault of the job or of the worker. If tasks of different
jobs fail on a worker and none succeeds in between, the worker is at fault. If
that holds for many workers at once, the jobs are at fault, and the others still
need room.
"""

from collections.abc import Callable
from collections.abc import Mapping

from crocusrouter.work import tracking

# Number of different jobs whose failures make a worker suspect. About 2% of
# tasks fail by themselves, so failures of two jobs in a row on one worker are
# far more often the worker's fault than chance.
_JOBS_TO_SUSPECT = 2
# A worker that fails all tasks does so for some seconds. After that, the tasks
# of a single job are enough to tell, since one more failure renews the
# suspicion.
_SUSPECT_S = 4.0
# Share of the listed workers that may be suspect at a time, but at least one.
_MAX_SUSPECT_SHARE = 1 / 3


def note_success(worker: tracking.Worker | None) -> None:
    """Record that a task succeeded on a worker."""
    if worker is not None:
        worker.failures.clear()


def note_failure(
    workers: Mapping[str, tracking.Worker],
    worker_id: str,
    job_id: str,
    now: float,
    note: Callable[..., None],
) -> None:
    """Record that a task failed, and suspect the worker if it is at fault.

    Args:
        workers: All workers of the pool by id.
        worker_id: The worker on which the task failed.
        job_id: The job of the task.
        now: Steady time in seconds.
        note: Queues a line for the log.
    """
    worker = workers.get(worker_id)
    if worker is None:
        return
    worker.failures.add(job_id)
    if len(worker.failures) < _JOBS_TO_SUSPECT:
        return
    if not _may_suspect(workers, worker, now):
        note("worker:not-suspected", worker=worker_id)
        return
    worker.suspect_until = now + _SUSPECT_S
    note(
        "worker:suspected",
        worker=worker.entry.id,
        jobs=len(worker.failures),
        until=worker.suspect_until,
    )


def _may_suspect(
    workers: Mapping[str, tracking.Worker],
    worker: tracking.Worker,
    now: float,
) -> bool:
    """Tell whether enough workers remain if one more is suspect."""
    live_workers = [
        other
        for other in workers.values()
        if other.listed and not other.replaced
    ]
    suspect_count = sum(
        now < other.suspect_until
        for other in live_workers
        if other is not worker
    )
    return suspect_count < max(1, int(_MAX_SUSPECT_SHARE * len(live_workers)))

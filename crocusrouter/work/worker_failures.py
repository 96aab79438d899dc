"""Which workers fail what they start, and which tasks stand still.

A failure may be the job's fault or the worker's. Failures of different jobs
on one worker, with nothing ended well between them, are the worker's.
"""

from collections.abc import Callable

from crocusrouter.work import runs

# Two different jobs: with 2% of tasks failing by themselves, two in a row on
# one worker are its own fault far more often than chance.
_JOBS_TO_SUSPECT = 2
# A worker that fails all does so for some seconds; afterwards one job's tasks
# tell again, since a single failure renews the suspicion.
_SUSPECT_S = 4.0


def note_good(worker: runs.Worker | None) -> None:
    """Note that a task ended well on a worker."""
    if worker is not None:
        worker.failures.clear()


def note_failure(
    worker: runs.Worker | None,
    job: str,
    now: float,
    note: Callable[..., None],
) -> None:
    """Note that a task failed on a worker; suspect it if others did too."""
    if worker is None:
        return
    worker.failures.add(job)
    if len(worker.failures) >= _JOBS_TO_SUSPECT:
        worker.suspect_until = now + _SUSPECT_S
        note(
            "worker:suspected",
            worker=worker.entry.id,
            jobs=len(worker.failures),
            until=worker.suspect_until,
        )

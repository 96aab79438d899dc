"""Quarantine: tells whether a job or a worker causes task failures.

A job that fails on several workers is itself at fault. A worker is at fault if
jobs fail on it that have failed nowhere else. Such a worker is quarantined for
a while; otherwise it would use up the attempts of one job after another. After
its quarantine the worker is on probation: the next failure quarantines it for
longer, and a success ends the probation.
"""

import dataclasses

_MIN_FAILED_JOBS = 2
_FIRST_QUARANTINE_S = 30.0
_MAX_QUARANTINE_S = 1800.0


@dataclasses.dataclass(frozen=True)
class FailureHistory:
    """Task failures that count against one worker.

    Attributes:
        failed_jobs: Ids of jobs that failed here since the last success.
        quarantined_until: End of the last quarantine, as Unix time.
        quarantine_s: Length of the last quarantine; 0 if there was none since
            the last success.
    """

    failed_jobs: frozenset[str] = frozenset()
    quarantined_until: float = 0.0
    quarantine_s: float = 0.0


def record_success(history: FailureHistory) -> FailureHistory:
    """Clear the failures of a worker on which a task succeeded."""
    return FailureHistory(quarantined_until=history.quarantined_until)


def record_failure(
    history: FailureHistory, job_id: str, failed_elsewhere: bool, now: float
) -> FailureHistory:
    """Record a failure; quarantine the worker if it seems to be the cause.

    >>> history = record_failure(FailureHistory(), "dc.1", False, now=0.0)
    >>> is_quarantined(history, now=1.0)
    False
    >>> history = record_failure(history, "dc.2", False, now=0.0)
    >>> is_quarantined(history, now=1.0), is_quarantined(history, now=31.0)
    (True, False)

    Args:
        history: The worker's earlier failures.
        job_id: The job that failed.
        failed_elsewhere: Whether the job failed on another worker before; its
            failure then does not count against this worker.
        now: Unix time in seconds.
    """
    if failed_elsewhere:
        return history
    failed_jobs = history.failed_jobs | {job_id}
    on_probation = history.quarantine_s > 0
    if len(failed_jobs) < _MIN_FAILED_JOBS and not on_probation:
        return dataclasses.replace(history, failed_jobs=failed_jobs)
    quarantine_s = min(
        _MAX_QUARANTINE_S, max(_FIRST_QUARANTINE_S, 2 * history.quarantine_s)
    )
    return FailureHistory(failed_jobs, now + quarantine_s, quarantine_s)


def is_quarantined(history: FailureHistory, now: float) -> bool:
    """Tell whether a worker is in quarantine."""
    return now < history.quarantined_until

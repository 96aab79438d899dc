"""Who is to blame for a failed task: the job or the worker.

A job that fails on several workers is a poison job; a worker on which jobs
fail that have failed nowhere else is a bad worker. A bad worker is set aside
for a while, so that it can't eat the attempts of one job after another, and
gets one chance after that: a failure sets it aside for longer, a success
clears it.
"""

import dataclasses

_JOBS_TO_SET_ASIDE = 2
_FIRST_PAUSE_S = 30.0
_LONGEST_PAUSE_S = 1800.0


@dataclasses.dataclass(frozen=True)
class Blame:
    """What speaks against one worker.

    Attributes:
        failed_jobs: Jobs that failed here since its last success.
        aside_until: Until when it is set aside, as Unix time.
        pause_s: How long it was set aside last; 0 if it never was.
    """

    failed_jobs: frozenset[str] = frozenset()
    aside_until: float = 0.0
    pause_s: float = 0.0


def note_success(blame: Blame) -> Blame:
    """Clear a worker on which a task succeeded."""
    return Blame(aside_until=blame.aside_until)


def note_failure(
    blame: Blame, job_id: str, failed_elsewhere: bool, now: float
) -> Blame:
    """Note a failure; set the worker aside if it seems to be the cause.

    >>> blame = note_failure(Blame(), "dc.1", False, now=0.0)
    >>> is_aside(blame, now=1.0)
    False
    >>> blame = note_failure(blame, "dc.2", False, now=0.0)
    >>> is_aside(blame, now=1.0), is_aside(blame, now=31.0)
    (True, False)

    Args:
        blame: What spoke against the worker so far.
        job_id: The job that failed.
        failed_elsewhere: Whether it failed on another worker before; then it
            says nothing about this one.
        now: Unix time in seconds.
    """
    if failed_elsewhere:
        return blame
    failed = blame.failed_jobs | {job_id}
    on_probation = blame.pause_s > 0
    if len(failed) < _JOBS_TO_SET_ASIDE and not on_probation:
        return dataclasses.replace(blame, failed_jobs=failed)
    pause_s = min(_LONGEST_PAUSE_S, max(_FIRST_PAUSE_S, 2 * blame.pause_s))
    return Blame(failed, now + pause_s, pause_s)


def is_aside(blame: Blame, now: float) -> bool:
    """Tell whether a worker is set aside."""
    return now < blame.aside_until

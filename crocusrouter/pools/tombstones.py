"""Records under the keys of jobs that were cancelled before they were stored.

A write of a job requires that its key does not exist. While a tombstone is
there, a write that was sent before the cancel, and is carried out after it,
certainly fails.
"""

from crocusrouter import codec
from crocusrouter import work


def build_tombstone(job_id: str, now: float) -> bytes:
    """Return the value of a tombstone.

    It is a cancelled job without steps and of no pool. Entries of earlier
    versions can read it; their owners ignore it as a job of another pool.

    Args:
        job_id: The id in the cancel.
        now: Unix time in seconds.
    """
    tombstone = work.Job(
        job_id,
        queue="",
        pool="",
        customer="",
        priority=0,
        max_attempts=0,
        slack=0.0,
        target_s=0.0,
        payload="",
        steps=(),
        accepted_at=now,
        cancelled=True,
    )
    return codec.pack(tombstone)


def is_tombstone(job: work.Job) -> bool:
    """Tell whether a stored job is a tombstone; submitted jobs have steps."""
    return job.cancelled and not job.steps and not job.pool

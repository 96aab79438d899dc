"""Removes jobs that have been over for long enough from the store.

Without it every job ever accepted would be read at each takeover: 2,200 a
day, each some 600 bytes.
"""

from collections.abc import Callable

import trio

from crocusrouter import work
from crocusrouter.pools import keys
from crocusrouter.pools import tenure as tenures
from crocusrouter.store import key_value
from crocusrouter.telemetry import log

_TICK_S = 10.0
# The store takes 32 rows a call: the owner's guard, and two keys a job.
_BATCH_JOBS = 15


async def expire_jobs(
    store: key_value.KeyValueStore,
    held: tenures.Tenure,
    book: work.Book,
    read_clock: Callable[[], float],
    keep_s: float,
) -> None:
    """Remove final jobs until cancelled.

    Args:
        store: The key-value service.
        held: This owner's tenure; guards each removal.
        book: Told when its jobs are over; forgets them by the watch.
        read_clock: Returns steady seconds.
        keep_s: How long callers may still ask for a job that is over.
    """
    while True:
        await trio.sleep(_TICK_S)
        over = book.list_over(read_clock() - keep_s)[:_BATCH_JOBS]
        if not over:
            continue
        removals = tuple(
            key
            for job_id in over
            for key in (
                keys.build_job_key(job_id),
                keys.build_progress_key(job_id),
            )
        )
        outcome = await store.write((held.guard,), (), removals)
        log("job:expired", jobs=len(over), outcome=type(outcome).__name__)

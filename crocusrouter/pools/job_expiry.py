"""Removes jobs from the store that have been over for long enough.

Otherwise each takeover would read every job ever accepted: 2,200 a day of about
600 bytes each.
"""

from collections.abc import Callable

import trio

from crocusrouter import work
from crocusrouter.pools import keys
from crocusrouter.pools import owner_leases
from crocusrouter.store import key_value
from crocusrouter.telemetry import log

_INTERVAL_S = 10.0
# The store accepts 32 rows per call: the owner's guard and two keys per job.
_BATCH_JOBS = 15


async def expire_jobs(
    store: key_value.KeyValueStore,
    owner_lease: owner_leases.OwnerLease,
    pool_state: work.PoolState,
    read_clock: Callable[[], float],
    keep_s: float,
) -> None:
    """Remove finished jobs until cancelled.

    Args:
        store: The key-value service.
        owner_lease: This owner's lease; guards each removal.
        pool_state: Lists the finished jobs; its watch of the store forgets
            them.
        read_clock: Returns steady seconds.
        keep_s: Seconds for which the state of a finished job stays available.
    """
    while True:
        await trio.sleep(_INTERVAL_S)
        expired_ids = pool_state.list_ended_jobs(read_clock() - keep_s)[
            :_BATCH_JOBS
        ]
        if not expired_ids:
            continue
        removed_keys = tuple(
            key
            for job_id in expired_ids
            for key in (
                keys.build_job_key(job_id),
                keys.build_progress_key(job_id),
            )
        )
        outcome = await store.write((owner_lease.guard,), (), removed_keys)
        log(
            "job:expired", jobs=len(expired_ids), outcome=type(outcome).__name__
        )

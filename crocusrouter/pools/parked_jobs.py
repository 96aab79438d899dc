"""Persists which jobs are parked, that is, certainly have no running task.

A successor asks the workers what they run. While one worker can't be reached,
anything might run there, and the jobs of the previous owner had to wait until
that worker's lease had ended: 8 s after all entries had lost power, with every
other worker idle. A parked job can't run anywhere, because the owner starts
none of its tasks before a record without the job is durable. To save writes,
only jobs that have waited for a while are recorded; on a calm day there are
none.
"""

from collections.abc import Callable

import cbor2
import trio

from crocusrouter import work
from crocusrouter.pools import journal
from crocusrouter.pools import keys
from crocusrouter.pools import owner_leases
from crocusrouter.store import key_value
from crocusrouter.store import records
from crocusrouter.telemetry import log

# Changes within this interval share a write. Removing a job that is about to
# start does not wait for it.
_WRITE_INTERVAL_S = 1.0
# A job is recorded after it has waited this long. Most jobs start at once where
# there is room, and would cost two writes each.
_PARK_AFTER_S = 1.0
# Timeout of the first try of a write; each further try doubles it. A lost
# answer delays a start by 0.3 s instead of the usual 1 s.
_FIRST_TIMEOUT_S = 0.3
_MAX_TIMEOUT_S = 1.2
_RETRY_DELAY_S = 0.1


class ParkedJobs:
    """Maintains the record of parked jobs of one pool."""

    def __init__(
        self,
        store: key_value.KeyValueStore,
        owner_lease: owner_leases.OwnerLease,
        pool_state: work.PoolState,
        is_durable: Callable[[str], bool],
        read_clock: Callable[[], float],
    ) -> None:
        """Prepare; `load` reads the record of the previous owner.

        Args:
            store: The key-value service.
            owner_lease: This owner's lease; guards each write.
            pool_state: The jobs of the pool.
            is_durable: Returns whether the journal holds all ended tasks of a
                job.
            read_clock: Returns steady seconds.
        """
        self._store = store
        self._owner_lease = owner_lease
        self._pool_state = pool_state
        self._is_durable = is_durable
        self._read_clock = read_clock
        self._key = keys.PARKED + owner_lease.pool
        self._revision = 0
        # Jobs that the stored record may name. While a write is unanswered,
        # this is the union of the old and the new record.
        self._maybe_recorded: frozenset[str] = frozenset()
        self._wake_event = trio.Event()
        self._record_changed = trio.Condition()

    async def load(self) -> frozenset[str]:
        """Return the jobs that were parked under the previous owner.

        Raises:
            StoreUnavailableError: The record could not be read.
        """
        record = await self._store.read(self._key)
        if record is None:
            return frozenset()
        self._revision = record.revision
        self._maybe_recorded = _parse_jobs(record)
        return self._maybe_recorded

    def is_parked(self, job_id: str) -> bool:
        """Return whether the stored record may name a job as parked."""
        return job_id in self._maybe_recorded

    async def wait_until_removed(self, job_id: str) -> None:
        """Wait until the stored record certainly no longer names a job.

        The pool's state must already hold the run to be started; that removes
        the job.
        """
        self._wake_event.set()
        async with self._record_changed:
            while self.is_parked(job_id):
                await self._record_changed.wait()

    async def run(self) -> None:
        """Write changes until cancelled; raises DeposedError."""
        timeout_s = _FIRST_TIMEOUT_S
        while True:
            with trio.move_on_after(_WRITE_INTERVAL_S):
                await self._wake_event.wait()
            self._wake_event = trio.Event()
            job_ids = self._list_parkable(self._read_clock())
            if (
                job_ids <= self._maybe_recorded
                and not self._names_running_job()
            ):
                continue
            outcome = await self._write(job_ids, timeout_s)
            if isinstance(outcome, key_value.Written):
                timeout_s = _FIRST_TIMEOUT_S
                async with self._record_changed:
                    self._record_changed.notify_all()
                continue
            if timeout_s == _FIRST_TIMEOUT_S:
                log("parking:retried", outcome=type(outcome).__name__)
            timeout_s = min(_MAX_TIMEOUT_S, 2 * timeout_s)
            # Until a write is answered, the stored record is unknown, and no
            # job that it may name can start.
            self._wake_event.set()
            await trio.sleep(_RETRY_DELAY_S)

    def _names_running_job(self) -> bool:
        """Return whether the record names a job that runs.

        Finished jobs in the record do no harm.
        """
        return any(
            _has_run(self._pool_state.live_jobs.get(job_id))
            for job_id in self._maybe_recorded
        )

    def _list_parkable(self, now: float) -> frozenset[str]:
        """Return the jobs to record: live jobs without a running task.

        Their ended tasks must be durable, because a successor starts at once
        every task of a parked job that it does not know to have ended.
        """
        blocked_ids = self._pool_state.list_blocked_jobs()
        return frozenset(
            job_id
            for job_id, job_work in self._pool_state.live_jobs.items()
            if not job_work.is_final
            and job_id not in blocked_ids
            and not _has_run(job_work)
            and (
                job_id in self._maybe_recorded
                or (_has_waited(job_work, now) and self._is_durable(job_id))
            )
        )

    async def _write(
        self, job_ids: frozenset[str], timeout_s: float
    ) -> key_value.WriteOutcome:
        """Replace the record; raises DeposedError."""
        previous_ids = self._maybe_recorded
        # An unanswered write may still be carried out. Until its outcome is
        # known, jobs of either version of the record count as parked.
        self._maybe_recorded = previous_ids | job_ids
        outcome = await self._store.write(
            (
                self._owner_lease.guard,
                key_value.Guard(self._key, self._revision),
            ),
            (key_value.Write(self._key, cbor2.dumps(sorted(job_ids))),),
            timeout_s=timeout_s,
        )
        match outcome:
            case key_value.Written(revision):
                self._revision = revision
                self._maybe_recorded = job_ids
            case key_value.Mismatched(current_records):
                owner_record = current_records.get(self._owner_lease.key)
                if (
                    owner_record is None
                    or owner_record.revision != self._owner_lease.epoch
                ):
                    raise journal.DeposedError(
                        f"{self._owner_lease.key} changed"
                    )
                record = current_records.get(self._key)
                self._revision = record.revision if record else 0
            case key_value.NotWritten():
                self._maybe_recorded = previous_ids
        return outcome


def _has_run(job_work: work.TrackedJob | None) -> bool:
    if job_work is None:
        return False
    return any(step.runs_by_index for step in job_work.steps.values())


def _has_waited(job_work: work.TrackedJob, now: float) -> bool:
    """Return whether tasks of a job have been ready to start for a while."""
    return any(
        step.waiting_indices and now > step.waiting_since + _PARK_AFTER_S
        for step in job_work.steps.values()
        if step.waiting_since is not None
    )


def _parse_jobs(record: records.Record) -> frozenset[str]:
    """Decode the record; an unreadable record names no job."""
    try:
        return frozenset(str(job_id) for job_id in cbor2.loads(record.value))
    except (cbor2.CBORDecodeError, TypeError, ValueError) as error:
        log("parking:unreadable", key=record.key, error=str(error))
        return frozenset()

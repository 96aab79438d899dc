"""Writes the progress of a pool's jobs to the store in batches.

Each write is guarded by the owner's key and by the revision of every record
that it replaces. The first guard keeps an earlier owner from writing. The
second one keeps our own unanswered write, which may be carried out seconds
later, from replacing a newer record with an older one.
"""

from collections.abc import Iterable

import trio

from crocusrouter import work
from crocusrouter.pools import keys
from crocusrouter.pools import owner_leases
from crocusrouter.store import key_value
from crocusrouter.telemetry import log

# Ended tasks within this window share a write. The end of a job's last task
# does not wait, because the job's caller does.
_BATCH_WINDOW_S = 0.08
_RETRY_DELAY_S = 0.2
# The store accepts 32 rows per call: the owner's guard, and a guard and a write
# per job.
_BATCH_JOBS = 15


class DeposedError(Exception):
    """Another owner has taken over; this owner must stop scheduling."""


class Journal:
    """Writes the progress of the dirty jobs in a pool's state."""

    def __init__(
        self,
        store: key_value.KeyValueStore,
        owner_lease: owner_leases.OwnerLease,
        pool_state: work.PoolState,
        revisions: dict[str, int],
    ) -> None:
        """Open a journal.

        Args:
            store: The key-value service.
            owner_lease: This owner's lease.
            pool_state: The jobs of the pool and which of them are dirty.
            revisions: Revision of each progress record, keyed by job.
        """
        self._store = store
        self._owner_lease = owner_lease
        self._pool_state = pool_state
        self._revisions = revisions
        self._wake_event = trio.Event()
        self._started_cycles = 0
        self._finished_cycles = 0
        self._writing_ids: frozenset[str] = frozenset()
        self._cycle_finished = trio.Condition()

    def wake(self) -> None:
        """Start a write if any job is dirty."""
        if self._pool_state.dirty:
            self._wake_event.set()

    def is_durable(self, job_id: str) -> bool:
        """Return whether a successor would read all that is known of a job."""
        return (
            job_id not in self._pool_state.dirty
            and job_id not in self._writing_ids
        )

    async def settle(self) -> None:
        """Wait until all jobs that are dirty now have been written."""
        if (
            not self._pool_state.dirty
            and self._finished_cycles == self._started_cycles
        ):
            return
        wanted_cycle = self._started_cycles + 1
        self.wake()
        async with self._cycle_finished:
            while self._finished_cycles < wanted_cycle and (
                self._pool_state.dirty
                or self._finished_cycles < self._started_cycles
            ):
                await self._cycle_finished.wait()

    async def run(self) -> None:
        """Write until cancelled; raises DeposedError."""
        while True:
            await self._wake_event.wait()
            self._wake_event = trio.Event()
            if not self._has_finished_job():
                await trio.sleep(_BATCH_WINDOW_S)
            self._started_cycles += 1
            while self._pool_state.dirty:
                await self._write_batch()
            self._finished_cycles = self._started_cycles
            async with self._cycle_finished:
                self._cycle_finished.notify_all()

    def _has_finished_job(self) -> bool:
        return any(
            job_work.progress.final_state is not None
            for job_id in self._pool_state.dirty
            if (job_work := self._pool_state.jobs.get(job_id)) is not None
        )

    async def _write_batch(self) -> None:
        job_ids = sorted(self._pool_state.dirty)[:_BATCH_JOBS]
        self._pool_state.dirty -= set(job_ids)
        self._writing_ids = frozenset(job_ids)
        while values := self._dump_progress(job_ids):
            finished_ids = [
                job_id
                for job_id in values
                if self._pool_state.jobs[job_id].progress.final_state
                is not None
            ]
            outcome = await self._write(values)
            if isinstance(outcome, key_value.Written):
                for job_id in values:
                    self._revisions[job_id] = outcome.revision
                self._pool_state.note_durable(finished_ids)
                if finished_ids:
                    log("jobs:shown", jobs=finished_ids)
                self._pool_state.note_crashes_journaled(
                    values.keys() - self._pool_state.dirty
                )
                break
            if not self._handle_failure(outcome, values):
                await trio.sleep(_RETRY_DELAY_S)
        self._writing_ids = frozenset()

    def _dump_progress(self, job_ids: Iterable[str]) -> dict[str, bytes]:
        """Encode the progress of those jobs that the state still has."""
        return {
            job_id: work.dump_progress(job_work.progress)
            for job_id in job_ids
            if (job_work := self._pool_state.jobs.get(job_id)) is not None
        }

    async def _write(self, values: dict[str, bytes]) -> key_value.WriteOutcome:
        guards = [self._owner_lease.guard]
        writes = []
        for job_id, value in values.items():
            key = keys.build_progress_key(job_id)
            guards.append(key_value.Guard(key, self._revisions.get(job_id, 0)))
            writes.append(key_value.Write(key, value))
        return await self._store.write(tuple(guards), tuple(writes))

    def _handle_failure(
        self, outcome: key_value.WriteOutcome, job_ids: Iterable[str]
    ) -> bool:
        """Handle a failed write; raises DeposedError.

        Args:
            outcome: The result of the write.
            job_ids: The jobs whose progress was to be written.

        Returns:
            Whether the next write has other guards, so that it need not wait.
        """
        if not isinstance(outcome, key_value.Mismatched):
            log("journal:retried", outcome=type(outcome).__name__)
            return False
        owner_record = outcome.current.get(self._owner_lease.key)
        if (
            owner_record is None
            or owner_record.revision != self._owner_lease.epoch
        ):
            raise DeposedError(f"{self._owner_lease.key} has changed")
        # Either an unanswered write of ours was carried out, or the record of
        # an ended job was removed. Nobody else writes under this epoch, so the
        # next write replaces what the store holds now.
        any_changed = False
        for job_id in job_ids:
            record = outcome.current.get(keys.build_progress_key(job_id))
            revision = record.revision if record is not None else 0
            any_changed |= revision != self._revisions.get(job_id, 0)
            self._revisions[job_id] = revision
        return any_changed

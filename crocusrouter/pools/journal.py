"""Writes the progress of a pool's jobs to the store in batches.

Each write is guarded by the owner's key and by the revision of every record
that it replaces. The first guard keeps an earlier owner from writing. The
second one keeps our own unanswered write, which may be carried out seconds
later, from replacing a newer record with an older one.

The journal also moves jobs to other pools (`work.moves`). Owners of several
pools write the progress of a moved job, so what another one has written is
merged before the write is tried again.
"""

from collections.abc import Callable
from collections.abc import Iterable

import trio

from crocusrouter import codec
from crocusrouter import work
from crocusrouter.pools import keys
from crocusrouter.pools import owner_leases
from crocusrouter.store import key_value
from crocusrouter.store import records
from crocusrouter.telemetry import Metrics
from crocusrouter.telemetry import log
from crocusrouter.work import moves
from crocusrouter.work import tracking

# Ended tasks within this window share a write. The end of a job's last task
# does not wait, because the job's caller does.
_BATCH_WINDOW_S = 0.08
_RETRY_DELAY_S = 0.2
# The store accepts 32 rows per call: the owner's guard, and a guard and a write
# per job.
_BATCH_JOBS = 15
# The same if the jobs' own records may be written too.
_BATCH_MOVED_JOBS = 7


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
        read_clock: Callable[[], float] = trio.current_time,
        metrics: Metrics | None = None,
    ) -> None:
        """Open a journal.

        Args:
            store: The key-value service.
            owner_lease: This owner's lease.
            pool_state: The jobs of the pool and which of them are dirty.
            revisions: Revision of each progress record, keyed by job.
            read_clock: Returns steady seconds.
            metrics: Counts moves of jobs; None to leave them uncounted.
        """
        self._store = store
        self._owner_lease = owner_lease
        self._pool_state = pool_state
        self._revisions = revisions
        self._read_clock = read_clock
        self._metrics = metrics
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
        job_ids = self._choose_batch()
        self._pool_state.dirty -= set(job_ids)
        self._writing_ids = frozenset(job_ids)
        while updates := self._build_updates(job_ids):
            finished_ids = [
                job_id
                for job_id in updates
                if self._pool_state.jobs[job_id].progress.final_state
                is not None
            ]
            outcome = await self._write(updates)
            if isinstance(outcome, key_value.Written):
                for job_id, update in updates.items():
                    self._note_written(job_id, update, outcome.revision)
                self._pool_state.note_durable(finished_ids)
                if finished_ids:
                    log("jobs:shown", jobs=finished_ids)
                self._pool_state.note_crashes_journaled(
                    updates.keys() - self._pool_state.dirty
                )
                break
            if not self._handle_failure(outcome, updates):
                await trio.sleep(_RETRY_DELAY_S)
        self._writing_ids = frozenset()

    def _choose_batch(self) -> list[str]:
        job_ids = sorted(self._pool_state.dirty)[:_BATCH_JOBS]
        if any(
            (tracked_job := self._pool_state.jobs.get(job_id)) is not None
            and (tracked_job.move_to or tracked_job.progress.moves)
            for job_id in job_ids
        ):
            return job_ids[:_BATCH_MOVED_JOBS]
        return job_ids

    def _build_updates(self, job_ids: Iterable[str]) -> dict[str, moves.Update]:
        """Return what to write of those jobs that the state still has."""
        tracked_jobs = [
            tracked_job
            for job_id in job_ids
            if (tracked_job := self._pool_state.jobs.get(job_id)) is not None
        ]
        blocked_jobs: frozenset[str] = frozenset()
        if any(tracked_job.move_to for tracked_job in tracked_jobs):
            blocked_jobs = self._pool_state.list_blocked_jobs()
        return {
            tracked_job.job.id: moves.build_update(
                self._pool_state,
                tracked_job,
                blocked_jobs,
                may_move=len(tracked_jobs) <= _BATCH_MOVED_JOBS,
            )
            for tracked_job in tracked_jobs
        }

    async def _write(
        self, updates: dict[str, moves.Update]
    ) -> key_value.WriteOutcome:
        guards = [self._owner_lease.guard]
        writes = []
        for job_id, update in updates.items():
            key = keys.build_progress_key(job_id)
            guards.append(key_value.Guard(key, self._revisions.get(job_id, 0)))
            writes.append(
                key_value.Write(key, work.dump_progress(update.progress))
            )
            if update.job is not None:
                job_key = keys.build_job_key(job_id)
                revision = self._pool_state.jobs[job_id].record_revision
                guards.append(key_value.Guard(job_key, revision))
                writes.append(key_value.Write(job_key, codec.pack(update.job)))
        return await self._store.write(tuple(guards), tuple(writes))

    def _note_written(
        self, job_id: str, update: moves.Update, revision: int
    ) -> None:
        # A read of the record may have returned a later revision already.
        self._revisions[job_id] = max(revision, self._revisions.get(job_id, 0))
        tracked_job = self._pool_state.jobs.get(job_id)
        if tracked_job is None:
            return
        was_being_moved = tracked_job.is_being_moved
        tracked_job.is_being_moved = False
        if update.job is None:
            return
        now = self._read_clock()
        self._pool_state.put_job(update.job, update.progress, revision, now)
        if was_being_moved and self._revisions[job_id] == revision:
            moves.merge_progress(
                self._pool_state, tracked_job, update.progress, now
            )
        self._log_move(tracked_job, was_being_moved)

    def _log_move(
        self, tracked_job: tracking.TrackedJob, was_being_moved: bool
    ) -> None:
        """Log and count a move that has taken place."""
        if not was_being_moved or tracked_job.is_home:
            return
        if self._metrics is not None:
            self._metrics.count_event("job-moved")
        log(
            "job:moved",
            job=tracked_job.job.id,
            queue=tracked_job.job.queue,
            pool=self._pool_state.pool,
            to=tracked_job.progress.home,
            version=tracked_job.job.config_version,
            runs=sum(
                len(step.runs_by_index) for step in tracked_job.steps.values()
            ),
        )

    def _handle_failure(
        self,
        outcome: key_value.WriteOutcome,
        updates: dict[str, moves.Update],
    ) -> bool:
        """Handle a failed write; raises DeposedError.

        Args:
            outcome: The result of the write.
            updates: What was to be written, by job.

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
        # an ended job was removed, or another pool has written about a job that
        # has moved. The next write replaces what the store holds now.
        any_changed = False
        for job_id, update in updates.items():
            record = outcome.current.get(keys.build_progress_key(job_id))
            any_changed |= self._note_stored(job_id, record)
            if update.job is not None:
                job_record = outcome.current.get(keys.build_job_key(job_id))
                any_changed |= self._note_stored_job(job_id, job_record)
        return any_changed

    def _note_stored(self, job_id: str, record: records.Record | None) -> bool:
        """Take over a progress record; return whether it has changed."""
        revision = record.revision if record is not None else 0
        is_changed = revision != self._revisions.get(job_id, 0)
        self._revisions[job_id] = revision
        tracked_job = self._pool_state.jobs.get(job_id)
        if tracked_job is None:
            return is_changed
        was_being_moved = tracked_job.is_being_moved
        tracked_job.is_being_moved = False
        if is_changed and record is not None:
            self._merge(tracked_job, record)
            self._log_move(tracked_job, was_being_moved)
        return is_changed

    def _merge(
        self, tracked_job: tracking.TrackedJob, record: records.Record
    ) -> None:
        """Merge a stored record, if it is that of a job that has moved."""
        try:
            stored = work.parse_progress(record.value)
        except ValueError as error:
            log("progress:unreadable", key=record.key, error=str(error))
            return
        if stored.home:
            moves.merge_progress(
                self._pool_state, tracked_job, stored, self._read_clock()
            )

    def _note_stored_job(
        self, job_id: str, record: records.Record | None
    ) -> bool:
        """Take over a job's record; return whether it has changed."""
        tracked_job = self._pool_state.jobs.get(job_id)
        if tracked_job is None:
            return True
        if record is None:
            self._pool_state.forget_job(job_id)
            return True
        if record.revision == tracked_job.record_revision:
            return False
        try:
            job: work.Job = codec.unpack(work.Job, record.value)
        except codec.BadMessageError as error:
            log("job:unreadable", key=record.key, error=str(error))
            return False
        self._pool_state.put_job(
            job, tracked_job.progress, record.revision, self._read_clock()
        )
        return True

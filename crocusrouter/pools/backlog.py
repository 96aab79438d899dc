"""Follows the accepted jobs of one pool for its owner."""

from collections.abc import Callable
from collections.abc import Iterable
import dataclasses

import trio

from crocusrouter import codec
from crocusrouter import work
from crocusrouter.pools import clocks
from crocusrouter.pools import freshness
from crocusrouter.pools import keys
from crocusrouter.pools import prefix_follower
from crocusrouter.store import client
from crocusrouter.store import key_value
from crocusrouter.store import records
from crocusrouter.telemetry import Metrics
from crocusrouter.telemetry import log
from crocusrouter.work import moves

_RETRY_DELAY_S = 0.2


@dataclasses.dataclass(frozen=True)
class ForeignJob:
    """A job that another pool schedules.

    Attributes:
        pool: That pool.
        queue: The job's queue.
    """

    pool: str
    queue: str


class Backlog:
    """Keeps the jobs of a pool's state in line with the stored ones.

    The progress of a job that has moved is read whenever the job's record
    changes: other pools write it too.

    Attributes:
        freshness: How recently jobs were received.
        revisions: Revision of each progress record that was read, by job.
        foreign_jobs: The stored jobs that other pools schedule, by id;
            cancelled ones are left out.
    """

    def __init__(
        self,
        store: key_value.KeyValueStore,
        pool: str,
        pool_state: work.PoolState,
        clock: clocks.Clock,
        metrics: Metrics,
        on_change: Callable[[], None],
    ) -> None:
        """Prepare to follow the jobs.

        Args:
            store: The key-value service.
            pool: Name of the pool; jobs of other pools are ignored.
            pool_state: Updated with the jobs.
            clock: Source of the current time.
            metrics: Counts unreadable jobs.
            on_change: Called when there may be something to schedule.
        """
        self.freshness = freshness.Freshness(
            keys.JOBS, clock, metrics, on_change
        )
        self.revisions: dict[str, int] = {}
        self.foreign_jobs: dict[str, ForeignJob] = {}
        self._store = store
        self._pool = pool
        self._pool_state = pool_state
        self._clock = clock
        self._metrics = metrics
        self._on_change = on_change
        self._progress_records: dict[str, records.Record] = {}
        # Events of the first snapshot, until progress has been read too.
        self._snapshot_events: list[records.Event] = []
        self._is_loading = False
        # Moved jobs whose progress must be read, with the revision of each
        # job's record.
        self._unread_jobs: dict[str, tuple[work.Job, int]] = {}
        self._has_unread_jobs = trio.Event()
        self._follower = prefix_follower.PrefixFollower(
            store,
            keys.JOBS,
            self._handle_events,
            metrics,
            self.freshness.note_answer,
        )

    async def load(self) -> None:
        """Read all jobs and their progress; raises StoreUnavailableError.

        Progress is read last: a job that moves to this pool in between must not
        be put with the progress of before the move.
        """
        self._is_loading = True
        self._snapshot_events = []
        await self._follower.load()
        snapshot = await self._store.read_prefix(keys.PROGRESS)
        self._progress_records = {
            record.key.removeprefix(keys.PROGRESS): record
            for record in snapshot.records
        }
        self._apply_events(self._snapshot_events)
        for job_id, (job, revision) in self._unread_jobs.items():
            record = self._progress_records.pop(job_id, None)
            self._apply_moved(job, revision, record)
        self._unread_jobs = {}
        self._is_loading = False
        self._on_change()

    async def run(self) -> None:
        """Follow changes until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._follower.run)
            nursery.start_soon(self._read_moved_jobs)

    def list_other_pools(self, queue: str | None = None) -> list[str]:
        """Return the other pools that schedule jobs, or hold tasks of ours.

        Args:
            queue: The queue whose jobs are asked for; None for all jobs.
        """
        pools = {
            job.pool
            for job in self.foreign_jobs.values()
            if queue in (None, job.queue)
        }
        if queue is None:
            for tracked_job in self._pool_state.live_jobs.values():
                if not tracked_job.progress.moves:
                    continue
                for step_progress in tracked_job.progress.steps.values():
                    pools.update(step_progress.held.values())
        return sorted(pools - {self._pool})

    def _handle_events(self, events: tuple[records.Event, ...]) -> None:
        if self._is_loading:
            self._snapshot_events += events
            return
        self._apply_events(events)
        self._on_change()

    def _apply_events(self, events: Iterable[records.Event]) -> None:
        now = self._clock.steady()
        for event in events:
            if isinstance(event, records.Removed):
                job_id = event.key.removeprefix(keys.JOBS)
                self._pool_state.forget_job(job_id)
                self.foreign_jobs.pop(job_id, None)
                self._unread_jobs.pop(job_id, None)
            else:
                self._handle_record(event.record, now)

    def _handle_record(self, record: records.Record, now: float) -> None:
        """Apply one stored job; an unreadable record affects no other job."""
        try:
            job: work.Job = codec.unpack(work.Job, record.value)
            self._note_foreign(job)
            if job.moves:
                self._handle_moved(job, record.revision, now)
            elif job.pool == self._pool:
                self._put_job(job, record.revision, now)
        except (codec.BadMessageError, ValueError) as error:
            self._note_unreadable(record.key, error)

    def _note_unreadable(self, key: str, error: Exception) -> None:
        self._metrics.count_event("job-unreadable")
        log("job:unreadable", key=key, error=str(error))

    def _note_foreign(self, job: work.Job) -> None:
        if job.pool in ("", self._pool) or job.cancelled:
            self.foreign_jobs.pop(job.id, None)
        else:
            self.foreign_jobs[job.id] = ForeignJob(job.pool, job.queue)

    def _put_job(self, job: work.Job, revision: int, now: float) -> None:
        progress = work.Progress()
        progress_record = self._progress_records.get(job.id)
        if progress_record is not None:
            progress = work.parse_progress(progress_record.value)
            # An unreadable record stays, so that its job is never put without.
            del self._progress_records[job.id]
            self.revisions[job.id] = progress_record.revision
        self._add_job(job, progress, revision, now, is_home=True)

    def _add_job(
        self,
        job: work.Job,
        progress: work.Progress,
        revision: int,
        now: float,
        *,
        is_home: bool,
    ) -> None:
        is_known = job.id in self._pool_state.jobs
        self._pool_state.put_job(
            job,
            progress,
            revision,
            now,
            is_home=is_home,
            is_older=self._is_loading and job.moves > 0,
        )
        log(
            "job:seen",
            job=job.id,
            customer=job.customer,
            priority=job.priority,
            cancelled=job.cancelled,
            revision=revision,
            repeat=is_known,
            objective_s=round(job.objective_s, 3),
            expected_s=round(max(job.critical_paths_s, default=0.0), 3),
            moves=job.moves,
            is_home=is_home,
        )

    # Jobs that have moved.

    def _handle_moved(self, job: work.Job, revision: int, now: float) -> None:
        """Apply the record of a job that has moved at least once."""
        tracked_job = self._pool_state.jobs.get(job.id)
        if tracked_job is not None:
            if revision <= tracked_job.record_revision:
                # Our own write, or an earlier one.
                return
            self._pool_state.put_job(job, tracked_job.progress, revision, now)
        elif job.pool != self._pool and not self._is_loading:
            # Tasks of ours could only have been left by an earlier owner.
            self._unread_jobs.pop(job.id, None)
            return
        self._unread_jobs[job.id] = job, revision
        self._has_unread_jobs.set()

    async def _read_moved_jobs(self) -> None:
        """Read the progress of moved jobs until cancelled."""
        while True:
            await self._has_unread_jobs.wait()
            self._has_unread_jobs = trio.Event()
            while self._unread_jobs:
                job_id, (job, revision) = next(iter(self._unread_jobs.items()))
                try:
                    record = await self._store.read(
                        keys.build_progress_key(job_id)
                    )
                except client.StoreUnavailableError as error:
                    log("job:not-read", job=job_id, cause=str(error))
                    await trio.sleep(_RETRY_DELAY_S)
                    continue
                if self._unread_jobs.get(job_id) != (job, revision):
                    # A later record has come meanwhile; it needs a later read.
                    continue
                del self._unread_jobs[job_id]
                self._apply_moved(job, revision, record)
                self._on_change()

    def _apply_moved(
        self,
        job: work.Job,
        revision: int,
        record: records.Record | None,
    ) -> None:
        """Apply the progress of a moved job, read after the job's record."""
        if record is None:
            # The job has ended, and its records have been removed.
            return
        try:
            stored = work.parse_progress(record.value)
        except ValueError as error:
            self._note_unreadable(record.key, error)
            return
        now = self._clock.steady()
        tracked_job = self._pool_state.jobs.get(job.id)
        if tracked_job is not None:
            if record.revision > self.revisions.get(job.id, 0):
                self.revisions[job.id] = record.revision
                moves.merge_progress(self._pool_state, tracked_job, stored, now)
            return
        is_home = stored.home == self._pool
        is_holder = self._is_loading and any(
            self._pool in step_progress.held.values()
            for step_progress in stored.steps.values()
        )
        if is_home or is_holder:
            self.revisions[job.id] = record.revision
            self._add_job(job, stored, revision, now, is_home=is_home)

"""Follows the accepted jobs of one pool for its owner."""

from collections.abc import Callable

from crocusrouter import codec
from crocusrouter import work
from crocusrouter.pools import clocks
from crocusrouter.pools import freshness
from crocusrouter.pools import keys
from crocusrouter.pools import prefix_follower
from crocusrouter.store import key_value
from crocusrouter.store import records
from crocusrouter.telemetry import Metrics
from crocusrouter.telemetry import log


class Backlog:
    """Keeps the jobs of a pool's state in line with the stored ones.

    Attributes:
        freshness: How recently jobs were received.
        revisions: Revision of each progress record that was read, by job.
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
        self._store = store
        self._pool = pool
        self._pool_state = pool_state
        self._clock = clock
        self._metrics = metrics
        self._on_change = on_change
        self._progress_records: dict[str, records.Record] = {}
        self._follower = prefix_follower.PrefixFollower(
            store,
            keys.JOBS,
            self._handle_events,
            metrics,
            self.freshness.note_answer,
        )

    async def load(self) -> None:
        """Read all jobs and their progress; raises StoreUnavailableError."""
        snapshot = await self._store.read_prefix(keys.PROGRESS)
        self._progress_records = {
            record.key.removeprefix(keys.PROGRESS): record
            for record in snapshot.records
        }
        await self._follower.load()

    async def run(self) -> None:
        """Follow changes until cancelled."""
        await self._follower.run()

    def _handle_events(self, events: tuple[records.Event, ...]) -> None:
        now = self._clock.steady()
        for event in events:
            if isinstance(event, records.Removed):
                self._pool_state.forget_job(event.key.removeprefix(keys.JOBS))
            else:
                self._handle_record(event.record, now)
        self._on_change()

    def _handle_record(self, record: records.Record, now: float) -> None:
        """Apply one stored job; an unreadable record affects no other job."""
        try:
            job: work.Job = codec.unpack(work.Job, record.value)
            if job.pool == self._pool:
                self._put_job(job, record.revision, now)
        except (codec.BadMessageError, ValueError) as error:
            self._metrics.count_event("job-unreadable")
            log("job:unreadable", key=record.key, error=str(error))

    def _put_job(self, job: work.Job, revision: int, now: float) -> None:
        progress = work.Progress()
        progress_record = self._progress_records.get(job.id)
        if progress_record is not None:
            progress = work.parse_progress(progress_record.value)
            # An unreadable record stays, so that its job is never put without.
            del self._progress_records[job.id]
            self.revisions[job.id] = progress_record.revision
        is_known = job.id in self._pool_state.jobs
        self._pool_state.put_job(job, progress, revision, now)
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
        )

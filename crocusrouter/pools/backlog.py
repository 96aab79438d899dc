"""The accepted jobs of one pool, as its owner reads and follows them."""

from collections.abc import Callable

from crocusrouter import codec
from crocusrouter import work
from crocusrouter.pools import clock
from crocusrouter.pools import freshness
from crocusrouter.pools import intake
from crocusrouter.pools import keys
from crocusrouter.store import key_value
from crocusrouter.store import records
from crocusrouter.telemetry import Metrics
from crocusrouter.telemetry import log


class Backlog:
    """Keeps a book's jobs as the entries have stored them.

    Attributes:
        freshness: How recently jobs were heard.
        revisions: Revision of each job's progress record that was found.
    """

    def __init__(
        self,
        store: key_value.KeyValueStore,
        pool: str,
        book: work.Book,
        times: clock.Clock,
        metrics: Metrics,
        changed: Callable[[], None],
    ) -> None:
        """Prepare the follower.

        Args:
            store: The key-value service.
            pool: Jobs of other pools are passed over.
            book: Told of the jobs.
            times: The present time.
            metrics: Counts unreadable jobs.
            changed: Called when there may be something to decide.
        """
        self.freshness = freshness.Freshness(keys.JOBS, times, metrics, changed)
        self.revisions: dict[str, int] = {}
        self._store = store
        self._pool = pool
        self._book = book
        self._times = times
        self._metrics = metrics
        self._changed = changed
        self._progress: dict[str, records.Record] = {}
        self._follower = intake.Follower(
            store, keys.JOBS, self._take, metrics, self.freshness.note_answer
        )

    async def load(self) -> None:
        """Read all jobs and what has ended; raises StoreUnavailableError."""
        snapshot = await self._store.read_prefix(keys.PROGRESS)
        self._progress = {
            record.key.removeprefix(keys.PROGRESS): record
            for record in snapshot.records
        }
        await self._follower.load()

    async def run(self) -> None:
        """Follow changes until cancelled."""
        await self._follower.run()

    def _take(self, events: tuple[records.Event, ...]) -> None:
        now = self._times.steady()
        for event in events:
            if isinstance(event, records.Removed):
                self._book.forget_job(event.key.removeprefix(keys.JOBS))
            else:
                self._take_record(event.record, now)
        self._changed()

    def _take_record(self, record: records.Record, now: float) -> None:
        """Take one stored job; a record that can't be read harms no other."""
        try:
            job: work.Job = codec.unpack(work.Job, record.value)
            if job.pool == self._pool:
                self._put_job(job, record.revision, now)
        except (codec.BadMessageError, ValueError) as error:
            self._metrics.count_event("job-unreadable")
            log("job:unreadable", key=record.key, error=str(error))

    def _put_job(self, job: work.Job, revision: int, now: float) -> None:
        progress = work.Progress()
        kept = self._progress.pop(job.id, None)
        if kept is not None:
            progress = work.parse_progress(kept.value)
            self.revisions[job.id] = kept.revision
        known = job.id in self._book.jobs
        self._book.put_job(job, progress, revision, now)
        log(
            "job:seen",
            job=job.id,
            customer=job.customer,
            priority=job.priority,
            cancelled=job.cancelled,
            revision=revision,
            repeat=known,
            objective_s=round(job.objective_s, 3),
            expected_s=round(max(job.tails, default=0.0), 3),
        )

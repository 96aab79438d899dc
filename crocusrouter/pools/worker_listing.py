"""Follows the platform's list of workers for the owner of one pool."""

from collections.abc import Callable
import dataclasses

from crocusrouter import work
from crocusrouter.pools import clocks
from crocusrouter.pools import freshness
from crocusrouter.pools import prefix_follower
from crocusrouter.store import key_value
from crocusrouter.store import records
from crocusrouter.telemetry import Metrics
from crocusrouter.telemetry import log
from crocusrouter.work import tracking
from crocusrouter.work import worker_port

# Workers write every 1.5 s; with this pause their changes share calls.
_ANSWER_PAUSE_S = 0.4

ParseWorker = Callable[[str, bytes], worker_port.WorkerEntry | None]


@dataclasses.dataclass(frozen=True)
class ListSource:
    """Location and format of the list of workers.

    Attributes:
        prefix: Key prefix in the key-value service.
        parse: Decodes an entry; returns None if it is not a valid worker.
    """

    prefix: str
    parse: ParseWorker


@dataclasses.dataclass(frozen=True)
class ListListeners:
    """Callbacks for changes of the list.

    Attributes:
        listed: Called with the incarnation of a worker of the pool.
        unlisted: Called with an incarnation that is no longer listed.
        changed: Called when there may be something to schedule.
    """

    on_listed: Callable[[str], None]
    on_unlisted: Callable[[str], None]
    on_change: Callable[[], None]


class WorkerList:
    """Keeps the workers of a pool's state in line with the platform's list.

    Attributes:
        freshness: How recently the list was received.
    """

    def __init__(
        self,
        source: ListSource,
        store: key_value.KeyValueStore,
        pool: str,
        pool_state: work.PoolState,
        clock: clocks.Clock,
        metrics: Metrics,
        listeners: ListListeners,
    ) -> None:
        """Prepare to follow the list.

        Args:
            source: Location and format of the list.
            store: The key-value service.
            pool: Name of the pool; workers of other pools are ignored.
            pool_state: Updated with the workers.
            clock: Source of the current time.
            metrics: Counts unreadable entries.
            listeners: Called for changes on which the pool's state can't act.
        """
        self._source = source
        self._pool = pool
        self._pool_state = pool_state
        self._clock = clock
        self._metrics = metrics
        self._listeners = listeners
        # Maps each key to the incarnation that it describes.
        self._incarnations_by_key: dict[str, str] = {}
        self.freshness = freshness.Freshness(
            source.prefix, clock, metrics, listeners.on_change
        )
        self._follower = prefix_follower.PrefixFollower(
            store,
            source.prefix,
            self._handle_events,
            metrics,
            self.freshness.note_answer,
            answer_pause_s=_ANSWER_PAUSE_S,
        )

    async def load(self) -> None:
        """Read the whole list; raises StoreUnavailableError."""
        await self._follower.load()

    async def run(self) -> None:
        """Follow changes until cancelled."""
        await self._follower.run()

    def _handle_events(self, events: tuple[records.Event, ...]) -> None:
        now = self._clock.steady()
        for event in events:
            if isinstance(event, records.Removed):
                self._unlist(event.key)
            else:
                self._handle_record(event.record, now)
        self._listeners.on_change()

    def _handle_record(self, record: records.Record, now: float) -> None:
        entry = self._source.parse(record.key, record.value)
        if entry is None:
            self._metrics.count_event("worker-unreadable")
        if entry is None or entry.pool != self._pool:
            # Another writer may have overwritten the worker's entry. The worker
            # gets nothing new until its own heartbeat is stored again, and its
            # runs are still polled.
            self._unlist(record.key)
            return
        if self._incarnations_by_key.get(record.key) != entry.id:
            # Another process has started under the worker's id.
            self._unlist(record.key)
        self._incarnations_by_key[record.key] = entry.id
        worker_state = self._pool_state.workers.get(entry.id)
        starts_draining = entry.draining and not (
            worker_state is not None and worker_state.was_draining
        )
        self._pool_state.set_worker(entry, now)
        if starts_draining:
            self._log_draining(entry.id, record.revision)
        self._listeners.on_listed(entry.id)

    def _unlist(self, key: str) -> None:
        incarnation = self._incarnations_by_key.pop(key, None)
        if incarnation is not None:
            self._pool_state.unlist_worker(incarnation)
            self._listeners.on_unlisted(incarnation)

    def _log_draining(self, incarnation: str, revision: int) -> None:
        """Log that a worker drains, and how many starts may have been too late.

        A start on a draining worker has three possible causes that look alike
        to callers: a list that was not received, an order in flight or
        repeated, and a draining worker that was taken for a new one.
        """
        worker_state = self._pool_state.workers[incarnation]
        log(
            "worker:leaves",
            pool=self._pool,
            worker=incarnation,
            revision=revision,
            unheard_s=round(self.freshness.last_gap_s, 3),
            started_unheard=sum(
                run.ordered_at >= self.freshness.previous_answer_at
                for run in worker_state.runs.values()
            ),
            under_way=sum(
                run.phase is tracking.Phase.ORDERED
                for run in worker_state.runs.values()
            ),
        )

"""The platform's list of workers, as the owner of one pool follows it."""

from collections.abc import Callable
import dataclasses

from crocusrouter import work
from crocusrouter.pools import clock
from crocusrouter.pools import freshness
from crocusrouter.pools import intake
from crocusrouter.store import key_value
from crocusrouter.store import records
from crocusrouter.telemetry import Metrics
from crocusrouter.telemetry import log
from crocusrouter.work import orders
from crocusrouter.work import runs

# Workers write every 1.5 s; with this pause their changes share calls.
_PACE_S = 0.4

ParseWorker = Callable[[str, bytes], orders.WorkerEntry | None]


@dataclasses.dataclass(frozen=True)
class Source:
    """Where workers are listed.

    Attributes:
        prefix: Of their keys in the key-value service.
        parse: Decodes an entry; None if it names no worker.
    """

    prefix: str
    parse: ParseWorker


@dataclasses.dataclass(frozen=True)
class Listeners:
    """Who is told of what the list says.

    Attributes:
        listed: Called with the id and the address of a worker of the pool.
        unlisted: Called with the id of one that is listed no more.
        changed: Called when there may be something to decide.
    """

    listed: Callable[[str, str], None]
    unlisted: Callable[[str], None]
    changed: Callable[[], None]


class WorkerList:
    """Keeps a book's workers as the platform lists them.

    Attributes:
        freshness: How recently the list was heard.
    """

    def __init__(
        self,
        source: Source,
        store: key_value.KeyValueStore,
        pool: str,
        book: work.Book,
        times: clock.Clock,
        metrics: Metrics,
        listeners: Listeners,
    ) -> None:
        """Prepare the follower.

        Args:
            source: Where workers are listed.
            store: The key-value service.
            pool: Workers of other pools are passed over.
            book: Told of the workers.
            times: The present time.
            metrics: Counts unreadable entries.
            listeners: Told what the book can't act on.
        """
        self._source = source
        self._pool = pool
        self._book = book
        self._times = times
        self._metrics = metrics
        self._listeners = listeners
        # The incarnation that each key tells of.
        self._incarnations: dict[str, str] = {}
        self.freshness = freshness.Freshness(
            source.prefix, times, metrics, listeners.changed
        )
        self._follower = intake.Follower(
            store,
            source.prefix,
            self._take,
            metrics,
            self.freshness.note_answer,
            pace_s=_PACE_S,
        )

    async def load(self) -> None:
        """Read the whole list; raises StoreUnavailableError."""
        await self._follower.load()

    async def run(self) -> None:
        """Follow changes until cancelled."""
        await self._follower.run()

    def _take(self, events: tuple[records.Event, ...]) -> None:
        now = self._times.steady()
        for event in events:
            if isinstance(event, records.Removed):
                self._unlist(event.key)
            else:
                self._take_record(event.record, now)
        self._listeners.changed()

    def _take_record(self, record: records.Record, now: float) -> None:
        entry = self._source.parse(record.key, record.value)
        if entry is None:
            self._metrics.count_event("worker-unreadable")
        if entry is None or entry.pool != self._pool:
            # Somebody else may have written over a worker's entry. It gets
            # nothing new until its own heartbeat stands there again, and what
            # it runs is looked after.
            self._unlist(record.key)
            return
        if self._incarnations.get(record.key) != entry.id:
            # Another process has started under the worker's id.
            self._unlist(record.key)
        self._incarnations[record.key] = entry.id
        known = self._book.workers.get(entry.id)
        leaves = entry.draining and not (known is not None and known.sealed)
        self._book.set_worker(entry, now)
        if leaves:
            self._tell_leaving(entry.id, record.revision)
        self._listeners.listed(entry.id, entry.address)

    def _unlist(self, key: str) -> None:
        incarnation = self._incarnations.pop(key, None)
        if incarnation is not None:
            self._book.unlist_worker(incarnation)
            self._listeners.unlisted(incarnation)

    def _tell_leaving(self, worker: str, revision: int) -> None:
        """Log how late the word may have come, and what it came too late for.

        Starts on a worker that leaves have three causes that look alike to its
        callers: a list that was not heard, an order under way or repeated, a
        worker that was taken for a new one.
        """
        held = self._book.workers[worker]
        log(
            "worker:leaves",
            pool=self._pool,
            worker=worker,
            revision=revision,
            unheard_s=round(self.freshness.unheard_s, 3),
            started_unheard=sum(
                run.since >= self.freshness.heard_before
                for run in held.runs.values()
            ),
            under_way=sum(
                run.phase is runs.Phase.ORDERED for run in held.runs.values()
            ),
        )

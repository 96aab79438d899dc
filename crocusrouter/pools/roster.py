"""The workers that may run tasks, written down for a successor.

The platform's own list drops workers that are cut off, and all of them while
it is away; a successor must know whom to wait out. A worker that drains gets
nothing new, so for it the jobs still running there are written down as well:
when it is gone, a successor need not hold all other jobs back.
"""

import cbor2
import trio

from crocusrouter import work
from crocusrouter.pools import keys
from crocusrouter.pools import tenure as tenures
from crocusrouter.store import key_value
from crocusrouter.store import records
from crocusrouter.telemetry import log
from crocusrouter.work import orders
from crocusrouter.work import runs

_TICK_S = 0.25


class Roster:
    """Keeps the record of one pool up to date."""

    def __init__(
        self,
        store: key_value.KeyValueStore,
        held: tenures.Tenure,
        book: work.Book,
    ) -> None:
        self._store = store
        self._tenure = held
        self._book = book
        self._key = keys.KNOWN_WORKERS + held.pool
        self._found: records.Record | None = None

    async def load(self) -> None:
        """Read what the owner before wrote; raises StoreUnavailableError."""
        self._found = await self._store.read(self._key)

    def list_unlisted(self, now: float) -> list[runs.Worker]:
        """Put the workers into the book that the platform lists no more.

        Returns:
            These workers, none of which has told what it runs.
        """
        if self._found is None:
            return []
        unlisted = []
        for name, address, jobs in _parse_rows(self._found):
            if name in self._book.workers:
                held = self._book.workers[name]
            else:
                self._book.set_worker(
                    _make_entry(name, self._tenure.pool, address), now
                )
                self._book.unlist_worker(name)
                held = self._book.workers[name]
                unlisted.append(held)
            if jobs is not None:
                held.sealed = True
                held.blocks = frozenset(jobs)
        return unlisted

    def _describe(self) -> bytes:
        rows = []
        for name, held in sorted(self._book.workers.items()):
            jobs: list[str] | None = None
            if held.sealed:
                jobs = sorted({key.job for key in held.runs})
                if held.is_untold:
                    known = held.blocks
                    jobs = sorted(known) if known is not None else None
                elif not jobs and not held.listed:
                    # One that is still listed stands here as long as that: a
                    # successor that knew nothing of it would hold all older
                    # jobs back until its lease had ended.
                    continue
            elif held.gone or (held.lapsed and not held.listed):
                continue
            rows.append([name, held.entry.address, jobs])
        return cbor2.dumps(rows)

    async def run(self) -> None:
        """Write changes until cancelled."""
        revision = self._found.revision if self._found else 0
        written = self._found.value if self._found else b""
        while True:
            await trio.sleep(_TICK_S)
            value = self._describe()
            if value == written:
                continue
            outcome = await self._store.write(
                (self._tenure.guard, key_value.Guard(self._key, revision)),
                (key_value.Write(self._key, value),),
            )
            if isinstance(outcome, key_value.Written):
                revision, written = outcome.revision, value
            elif isinstance(outcome, key_value.Mismatched):
                current = outcome.current.get(self._key)
                revision = current.revision if current else 0


def _parse_rows(
    record: records.Record,
) -> list[tuple[str, str, list[str] | None]]:
    """Decode the record; one that can't be read names nobody.

    An owner that failed here would be followed by the next one that does.
    """
    try:
        return [
            (str(name), str(address), jobs)
            for name, address, jobs in cbor2.loads(record.value)
        ]
    except (cbor2.CBORDecodeError, TypeError, ValueError) as error:
        log("roster:unreadable", key=record.key, error=str(error))
        return []


def _make_entry(name: str, pool: str, address: str) -> orders.WorkerEntry:
    """Describe a worker of which only its address is known.

    It is not listed and gets nothing, but it doesn't drain: after an outage
    in which all entries lapsed, 17 of 22 workers were taken for draining, and
    15 got nothing any more although they were listed again within a second.
    """
    return orders.WorkerEntry(
        name, pool, address, "", False, work.Room(), frozenset()
    )

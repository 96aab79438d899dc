"""Persists the workers that may run tasks, for the owner's successor.

The platform's own list drops workers that are cut off, and all workers while it
is unavailable; a successor must know which leases it has to wait for. A
draining worker gets no new work, so the jobs still running there are recorded
too: if the worker is gone, a successor need not hold back all other jobs.
"""

import cbor2
import trio

from crocusrouter import work
from crocusrouter.pools import keys
from crocusrouter.pools import owner_leases
from crocusrouter.store import key_value
from crocusrouter.store import records
from crocusrouter.telemetry import log
from crocusrouter.work import tracking
from crocusrouter.work import worker_port

_WRITE_INTERVAL_S = 0.25


class KnownWorkers:
    """Maintains the record of known workers of one pool."""

    def __init__(
        self,
        store: key_value.KeyValueStore,
        owner_lease: owner_leases.OwnerLease,
        pool_state: work.PoolState,
    ) -> None:
        self._store = store
        self._owner_lease = owner_lease
        self._pool_state = pool_state
        self._key = keys.KNOWN_WORKERS + owner_lease.pool
        self._loaded_record: records.Record | None = None

    async def load(self) -> None:
        """Read the previous owner's record; raises StoreUnavailableError."""
        self._loaded_record = await self._store.read(self._key)

    def restore_unlisted(self, now: float) -> list[tracking.Worker]:
        """Add to the state recorded workers that the platform no longer lists.

        Returns:
            The added workers, none of which has reported its runs yet.
        """
        if self._loaded_record is None:
            return []
        restored = []
        for incarnation, address, job_ids in _parse_rows(self._loaded_record):
            if incarnation in self._pool_state.workers:
                worker_state = self._pool_state.workers[incarnation]
            else:
                self._pool_state.set_worker(
                    _make_entry(incarnation, self._owner_lease.pool, address),
                    now,
                )
                self._pool_state.unlist_worker(incarnation)
                worker_state = self._pool_state.workers[incarnation]
                restored.append(worker_state)
            if job_ids is not None:
                worker_state.was_draining = True
                worker_state.possible_jobs = frozenset(job_ids)
        return restored

    def _encode(self) -> bytes:
        rows = []
        for incarnation, worker_state in sorted(
            self._pool_state.workers.items()
        ):
            job_ids: list[str] | None = None
            if worker_state.was_draining:
                job_ids = sorted({key.job for key in worker_state.runs})
                if worker_state.has_unknown_runs:
                    possible_jobs = worker_state.possible_jobs
                    job_ids = (
                        sorted(possible_jobs)
                        if possible_jobs is not None
                        else None
                    )
                elif not job_ids and not worker_state.listed:
                    # A listed worker stays in the record. A successor that knew
                    # nothing of it would hold back all older jobs until its
                    # lease had ended.
                    continue
            elif worker_state.replaced or (
                worker_state.all_runs_ended and not worker_state.listed
            ):
                continue
            rows.append([incarnation, worker_state.entry.address, job_ids])
        return cbor2.dumps(rows)

    async def run(self) -> None:
        """Write changes until cancelled."""
        revision = self._loaded_record.revision if self._loaded_record else 0
        written_value = (
            self._loaded_record.value if self._loaded_record else b""
        )
        while True:
            await trio.sleep(_WRITE_INTERVAL_S)
            value = self._encode()
            if value == written_value:
                continue
            outcome = await self._store.write(
                (self._owner_lease.guard, key_value.Guard(self._key, revision)),
                (key_value.Write(self._key, value),),
            )
            if isinstance(outcome, key_value.Written):
                revision, written_value = outcome.revision, value
            elif isinstance(outcome, key_value.Mismatched):
                current_record = outcome.current.get(self._key)
                revision = current_record.revision if current_record else 0


def _parse_rows(
    record: records.Record,
) -> list[tuple[str, str, list[str] | None]]:
    """Decode the record; an unreadable record names no worker.

    If an owner failed here, each of its successors would fail too.
    """
    try:
        return [
            (str(incarnation), str(address), job_ids)
            for incarnation, address, job_ids in cbor2.loads(record.value)
        ]
    except (cbor2.CBORDecodeError, TypeError, ValueError) as error:
        log("roster:unreadable", key=record.key, error=str(error))
        return []


def _make_entry(
    incarnation: str, pool: str, address: str
) -> worker_port.WorkerEntry:
    """Return an entry for a worker of which only the address is known.

    The worker is unlisted and gets no work, but is not marked as draining: it
    may be listed again, and a worker that has drained never gets work again.
    """
    return worker_port.WorkerEntry(
        incarnation, pool, address, "", False, work.Room(), frozenset()
    )

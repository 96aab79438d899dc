"""Persists the workers that may run tasks, for the owner's successor.

The platform's own list drops workers that are cut off, and all workers while it
is unavailable; a successor must know which leases it has to wait for. Nothing
starts on a worker before a durable record names it. A draining worker gets no
new work, so the jobs still running there are recorded too: if the worker is
gone, a successor need not hold back all other jobs.
"""

from collections.abc import Callable
from typing import TypeGuard

import cbor2
import trio

from crocusrouter import work
from crocusrouter.pools import journal
from crocusrouter.pools import keys
from crocusrouter.pools import owner_leases
from crocusrouter.store import key_value
from crocusrouter.store import records
from crocusrouter.telemetry import log
from crocusrouter.work import tracking
from crocusrouter.work import worker_port

# Changes within this interval share a write. A worker that can't take tasks
# before it is recorded does not wait for it.
_WRITE_INTERVAL_S = 0.25
# Timeout of the first try of a write; each further try doubles it.
_FIRST_TIMEOUT_S = 0.3
_MAX_TIMEOUT_S = 1.2
_RETRY_DELAY_S = 0.25

# Incarnation, address, and jobs that may run there; None for any job.
_Row = tuple[str, str, list[str] | None]


class KnownWorkers:
    """Maintains the record of known workers of one pool."""

    def __init__(
        self,
        store: key_value.KeyValueStore,
        owner_lease: owner_leases.OwnerLease,
        pool_state: work.PoolState,
        is_durable: Callable[[str], bool],
        on_recorded: Callable[[], None],
    ) -> None:
        """Prepare; `load` reads the record of the previous owner.

        Args:
            store: The key-value service.
            owner_lease: This owner's lease; guards each write.
            pool_state: The workers of the pool.
            is_durable: Returns whether the journal holds all ended tasks of a
                job.
            on_recorded: Called when workers have become recorded.
        """
        self._store = store
        self._owner_lease = owner_lease
        self._pool_state = pool_state
        self._is_durable = is_durable
        self._on_recorded = on_recorded
        self._key = keys.KNOWN_WORKERS + owner_lease.pool
        self._loaded_record: records.Record | None = None
        self._revision = 0
        # The stored value; None while a write is unanswered.
        self._stored_value: bytes | None = b""
        # Workers that the stored record certainly names as able to run any job.
        # While a write is unanswered, both versions of the record must do so.
        self._recorded: frozenset[str] = frozenset()
        # Jobs in the rows of draining workers that have reported their runs.
        self._draining_jobs: dict[str, frozenset[str]] = {}
        self._wake_event = trio.Event()
        self._wake_event.set()  # A new owner records its workers at once.

    async def load(self) -> None:
        """Read the previous owner's record; raises StoreUnavailableError."""
        self._loaded_record = await self._store.read(self._key)
        self._note_stored(self._loaded_record)

    def wake(self) -> None:
        """Record changes now, because a worker must be recorded to be used."""
        self._wake_event.set()

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
                worker_state.known_address = address
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
        self._mark_recorded()
        return restored

    def _list_rows(self) -> list[_Row]:
        rows: list[_Row] = []
        draining_jobs: dict[str, frozenset[str]] = {}
        for incarnation, worker_state in sorted(
            self._pool_state.workers.items()
        ):
            job_ids: list[str] | None = None
            if worker_state.was_draining and worker_state.has_unknown_runs:
                possible_jobs = worker_state.possible_jobs
                if possible_jobs is not None:
                    job_ids = sorted(possible_jobs | worker_state.late_jobs)
            elif worker_state.was_draining:
                draining_jobs[incarnation] = self._find_possible_jobs(
                    incarnation, worker_state
                )
                job_ids = sorted(draining_jobs[incarnation])
                if not job_ids and not worker_state.listed:
                    # A listed worker stays in the record. A successor that knew
                    # nothing of it would hold back all older jobs until its
                    # lease had ended.
                    continue
            elif worker_state.replaced or (
                worker_state.all_runs_ended and not worker_state.listed
            ):
                continue
            rows.append((incarnation, worker_state.address, job_ids))
        self._draining_jobs = draining_jobs
        return rows

    def _find_possible_jobs(
        self, incarnation: str, worker_state: tracking.Worker
    ) -> frozenset[str]:
        """Return the jobs of which a draining worker has runs or unsaved ends.

        A successor has to hear of an end from its worker until it is journaled.
        """
        candidates = self._draining_jobs.get(
            incarnation, self._pool_state.jobs.keys()
        )
        return frozenset(
            job_id for job_id in candidates if not self._is_durable(job_id)
        ).union(key.job for key in worker_state.runs)

    async def run(self) -> None:
        """Write changes until cancelled; raises DeposedError."""
        timeout_s = _FIRST_TIMEOUT_S
        while True:
            with trio.move_on_after(_WRITE_INTERVAL_S):
                await self._wake_event.wait()
            self._wake_event = trio.Event()
            rows = self._list_rows()
            value = cbor2.dumps(rows)
            if value == self._stored_value:
                self._mark_recorded()
                continue
            outcome = await self._write(value, _list_usable(rows), timeout_s)
            self._mark_recorded()
            if isinstance(outcome, key_value.Written):
                timeout_s = _FIRST_TIMEOUT_S
                continue
            log("roster:not-written", outcome=type(outcome).__name__)
            timeout_s = min(_MAX_TIMEOUT_S, 2 * timeout_s)
            self._wake_event.set()
            await trio.sleep(_RETRY_DELAY_S)

    async def _write(
        self, value: bytes, usable: frozenset[str], timeout_s: float
    ) -> key_value.WriteOutcome:
        """Replace the record; raises DeposedError."""
        previous_value, previous_recorded = self._stored_value, self._recorded
        # An unanswered write may still be carried out, until a later version of
        # the record makes its guard fail.
        self._stored_value = None
        self._recorded &= usable
        self._mark_recorded()
        outcome = await self._store.write(
            (
                self._owner_lease.guard,
                key_value.Guard(self._key, self._revision),
            ),
            (key_value.Write(self._key, value),),
            timeout_s=timeout_s,
        )
        match outcome:
            case key_value.Written(revision):
                self._revision = revision
                self._stored_value = value
                self._recorded = usable
            case key_value.Mismatched(current_records):
                owner_record = current_records.get(self._owner_lease.key)
                if (
                    owner_record is None
                    or owner_record.revision != self._owner_lease.epoch
                ):
                    raise journal.DeposedError(
                        f"{self._owner_lease.key} changed"
                    )
                self._note_stored(current_records.get(self._key))
            case key_value.NotWritten():
                self._stored_value = previous_value
                self._recorded = previous_recorded
        return outcome

    def _note_stored(self, record: records.Record | None) -> None:
        """Note what the store holds, from an answer that certainly tells."""
        self._revision = record.revision if record else 0
        self._stored_value = record.value if record else b""
        self._recorded = (
            _list_usable(_parse_rows(record)) if record else frozenset()
        )

    def _mark_recorded(self) -> None:
        any_added = False
        for incarnation, worker_state in self._pool_state.workers.items():
            is_recorded = incarnation in self._recorded
            any_added |= is_recorded and not worker_state.is_recorded
            worker_state.is_recorded = is_recorded
        if any_added:
            self._on_recorded()


def _list_usable(rows: list[_Row]) -> frozenset[str]:
    """Return the workers on which a successor takes any job to be possible."""
    return frozenset(
        incarnation for incarnation, _, job_ids in rows if job_ids is None
    )


def _parse_rows(record: records.Record) -> list[_Row]:
    """Decode a record; an unreadable record or row names no worker.

    If an owner failed here, each of its successors would fail too.
    """
    rows: list[_Row] = []
    try:
        for incarnation, address, job_ids in cbor2.loads(record.value):
            if _is_job_list(job_ids):
                rows.append((str(incarnation), str(address), job_ids))
            else:
                log("roster:unreadable", key=record.key, row=str(incarnation))
    except (cbor2.CBORDecodeError, TypeError, ValueError) as error:
        log("roster:unreadable", key=record.key, error=str(error))
        return []
    return rows


def _is_job_list(value: object) -> TypeGuard[list[str] | None]:
    """Tell whether the third column of a row has the type of one."""
    return value is None or (
        isinstance(value, list)
        and all(isinstance(job_id, str) for job_id in value)
    )


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

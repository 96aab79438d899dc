"""Serves callers' requests about jobs: submit, cancel, state, counts."""

from collections.abc import Callable
import dataclasses
import enum
import math

import trio

from crocusrouter import codec
from crocusrouter import work
from crocusrouter.mesh import messages
from crocusrouter.outcomes import Refusal
from crocusrouter.pools import clocks
from crocusrouter.pools import configuration as configurations
from crocusrouter.pools import keys
from crocusrouter.pools import owner as owners
from crocusrouter.pools import peers as peer_links
from crocusrouter.pools import relay
from crocusrouter.pools import tombstones
from crocusrouter.store import client
from crocusrouter.store import key_value
from crocusrouter.store import records
from crocusrouter.telemetry import Metrics
from crocusrouter.telemetry import log

_MAX_CANCEL_TRIES = 3
# Shares of the time for which a caller waits. A job that is certainly not
# stored is refused after the first, so that its caller can still ask again; one
# whose write may be carried out is tried again until the second, since its
# caller could only be told that nobody knows; no try outlasts the third.
_MAX_OUTAGE_SHARE = 0.3
_MAX_DOUBT_SHARE = 0.6
_MAX_TRY_SHARE = 0.9
# Pause between two tries, for a store that answers but takes no writes.
_RETRY_PAUSE_S = 0.1


class AcceptOutcome(enum.StrEnum):
    """Whether a job is stored."""

    STORED = "stored"
    NOT_STORED = "not-stored"  # nor can this call still store it
    UNKNOWN = "unknown"


class CancelOutcome(enum.Enum):
    """Outcome of a cancel request."""

    DONE = "done"
    NO_JOB = "no-job"
    NOT_TRIED = "not-tried"  # the job could not be read
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True)
class _StoredJob:
    """What is stored under a job's key.

    Attributes:
        job: The job; None if the key does not exist or holds a tombstone.
        revision: Revision of the key; 0 if it does not exist.
    """

    job: work.Job | None
    revision: int


class StateUnknownError(Exception):
    """Neither the owner nor the store could tell the state."""


def _classify_outcome(outcome: key_value.WriteOutcome) -> AcceptOutcome:
    """Return what the write of a job says about whether it is stored.

    The write requires that the key does not exist, so a mismatch means that an
    earlier try has stored the job.
    """
    if isinstance(outcome, key_value.Written | key_value.Mismatched):
        return AcceptOutcome.STORED
    if isinstance(outcome, key_value.NotWritten):
        return AcceptOutcome.NOT_STORED
    return AcceptOutcome.UNKNOWN


def _parse_record(record: records.Record | None) -> _StoredJob:
    """Return what a record says about the job under its key.

    Raises:
        BadMessageError: The record can't be read.
    """
    if record is None:
        return _StoredJob(None, 0)
    job: work.Job = codec.unpack(work.Job, record.value)
    is_tombstone = tombstones.is_tombstone(job)
    return _StoredJob(None if is_tombstone else job, record.revision)


def _find_tombstone(
    outcome: key_value.WriteOutcome, guard: key_value.Guard
) -> int | None:
    """Return the revision of the tombstone that prevented a job's write.

    Returns:
        0 if the guard's own tombstone has ended; None if no tombstone
        prevented the write.
    """
    if not isinstance(outcome, key_value.Mismatched):
        return None
    record = outcome.current.get(guard.key)
    if record is None and guard.revision == 0:
        return None
    try:
        stored = _parse_record(record)
    except codec.BadMessageError:
        return None
    return stored.revision if stored.job is None else None


def log_refusal(
    method: str,
    path: str,
    refusal: Refusal,
    basis: configurations.ConfigBasis,
) -> None:
    """Log a refusal with its reason and the job's path.

    Args:
        method: HTTP method.
        path: Path, with the job's id.
        refusal: The answer to the caller.
        basis: The configuration by which the call was decided.
    """
    log(
        "call:refused",
        method=method,
        path=path,
        reason=str(refusal.reason),
        detail=refusal.detail,
        retry_after_s=refusal.retry_after_s,
        **basis.build_log_fields(),
    )


class JobApi:
    """Serves the job requests of one entry's callers."""

    def __init__(
        self,
        store: relay.RelayedStore,
        peers: peer_links.Peers,
        pool_owners: dict[str, owners.PoolOwner],
        find_owner: Callable[[str], str | None],
        clock: clocks.Clock,
        metrics: Metrics,
    ) -> None:
        self._store = store
        self._peers = peers
        self._pool_owners = pool_owners
        self._find_owner = find_owner
        self._clock = clock
        self._metrics = metrics

    # Acceptance.

    async def accept(
        self,
        job: work.Job,
        basis: configurations.ConfigBasis | None = None,
        patience_s: float = 0.0,
    ) -> AcceptOutcome:
        """Store a job.

        The key must not exist before, so any number of tries by any entries
        creates one job. Only if every try certainly had no effect may the
        caller be told that the job never runs. A job whose cancel came before
        it is stored as cancelled.

        Args:
            job: The submitted job.
            basis: The configuration by which the call was decided; None if
                there was none.
            patience_s: Seconds for which the caller waits for an answer; 0 if
                unknown.
        """
        began_at = self._clock.steady()
        accept_outcome = await self._try_to_store(job, patience_s)
        self._metrics.count_job(f"accept-{accept_outcome}")
        log(
            "job:accept",
            job=job.id,
            queue=job.queue,
            customer=job.customer,
            outcome=str(accept_outcome),
            took_s=round(self._clock.steady() - began_at, 3),
            **(basis.build_log_fields() if basis is not None else {}),
        )
        return accept_outcome

    async def _try_to_store(
        self, job: work.Job, patience_s: float
    ) -> AcceptOutcome:
        """Store a job, again once the store serves if its caller still waits.

        Callers ask only a few times and within seconds. Answered at once in an
        outage, they have given up before it ends.
        """
        key = keys.build_job_key(job.id)
        revision = 0
        began_at = self._clock.steady()
        is_in_doubt = False
        while True:
            outcome = AcceptOutcome.UNKNOWN
            left_s = began_at + _MAX_TRY_SHARE * patience_s
            left_s = max(0.0, left_s - self._clock.steady())
            with trio.move_on_after(left_s if patience_s else math.inf):
                guard = key_value.Guard(key, revision)
                write_outcome = await self._store.write(
                    guard, key_value.Write(key, codec.pack(job))
                )
                tombstone_revision = _find_tombstone(write_outcome, guard)
                if tombstone_revision is not None:
                    job = dataclasses.replace(job, cancelled=True)
                    revision = tombstone_revision
                    log("job:tombstone", job=job.id, revision=revision)
                    continue
                outcome = _classify_outcome(write_outcome)
            if outcome is AcceptOutcome.STORED:
                return outcome
            is_in_doubt |= outcome is AcceptOutcome.UNKNOWN
            share = _MAX_DOUBT_SHARE if is_in_doubt else _MAX_OUTAGE_SHARE
            give_up_at = began_at + share * patience_s
            if not await self._wait_for_store(key, give_up_at):
                return AcceptOutcome.UNKNOWN if is_in_doubt else outcome

    async def _wait_for_store(self, key: str, give_up_at: float) -> bool:
        """Return whether the store serves before a steady time."""
        left_s = give_up_at - self._clock.steady()
        if left_s <= _RETRY_PAUSE_S:
            return False
        with trio.move_on_after(left_s) as scope:
            await trio.sleep(_RETRY_PAUSE_S)
            await self._store.wait_until_served(key)
        return not scope.cancelled_caught

    # Cancelling.

    async def cancel(self, job_id: str) -> CancelOutcome:
        """Mark a job as cancelled; its owner stops it.

        If there is no job, a tombstone is stored before the caller is told so:
        a write of the job may still be under way.
        """
        key = keys.build_job_key(job_id)
        has_tried_write = False
        first_revision: int | None = None
        for _ in range(_MAX_CANCEL_TRIES):
            try:
                stored = _parse_record(await self._store.read(key))
            except (
                client.StoreUnavailableError,
                codec.BadMessageError,
            ) as error:
                log("job:cancel", job=job_id, outcome=str(error))
                break
            if first_revision is None:
                first_revision = stored.revision
            if stored.job is None and stored.revision > first_revision:
                # Written since this call began, by an unanswered try or by
                # another cancel.
                return CancelOutcome.NO_JOB
            if stored.job is not None and stored.job.cancelled:
                return CancelOutcome.DONE
            has_tried_write = True
            outcome = await self._write_cancelled(job_id, stored)
            revision = (
                outcome.revision
                if isinstance(outcome, key_value.Written)
                else None
            )
            log(
                "job:cancel",
                job=job_id,
                outcome=type(outcome).__name__,
                revision=revision,
                found=stored.job is not None,
            )
            if revision is not None and stored.job is None:
                return CancelOutcome.NO_JOB
            if revision is not None:
                return CancelOutcome.DONE
        return (
            CancelOutcome.UNKNOWN
            if has_tried_write
            else CancelOutcome.NOT_TRIED
        )

    async def _write_cancelled(
        self, job_id: str, stored: _StoredJob
    ) -> key_value.WriteOutcome:
        """Replace a job by the cancelled job, or no job by a tombstone.

        A tombstone is written anew by each cancel, so that it outlasts the
        writes that were sent before the latest one.
        """
        key = keys.build_job_key(job_id)
        guard = key_value.Guard(key, stored.revision)
        if stored.job is None:
            value = tombstones.build_tombstone(job_id, self._clock.wall())
            return await self._store.write(
                guard, key_value.Write(key, value), is_short_lived=True
            )
        cancelled_job = dataclasses.replace(stored.job, cancelled=True)
        return await self._store.write(
            guard, key_value.Write(key, codec.pack(cancelled_job))
        )

    # State.

    async def find_state(self, pool: str, job_id: str) -> work.State | None:
        """Return a job's state, or None if no such job was accepted.

        Raises:
            StateUnknownError: Neither the owner nor the store answered, or
                the stored job can't be read.
        """
        state = await self._ask_pool(pool, job_id)
        if state is not None:
            return work.State(state)
        return await self._read_state(pool, job_id)

    async def _ask_pool(self, pool: str, job_id: str) -> str | None:
        """Return the state that a pool's owner shows; None if unknown."""
        if pool in self._pool_owners:
            return self.find_local_state(pool, job_id)
        return await self._ask_owner(pool, job_id)

    async def _ask_owner(self, pool: str, job_id: str) -> str | None:
        owner = self._find_owner(pool)
        if owner is None:
            return None
        reply = await self._peers.call(owner, messages.FindState(pool, job_id))
        return reply.state if isinstance(reply, messages.StateReply) else None

    async def _read_state(
        self, asked_pool: str, job_id: str
    ) -> work.State | None:
        """Read a job's state from the store.

        The owner may not know a job yet; only the store can tell that there is
        none. If another pool schedules the job, the queue's service has
        changed, and that pool's owner knows more.

        Args:
            asked_pool: The pool whose owner does not show the job.
            job_id: The job.
        """
        try:
            job_record = await self._store.read(keys.build_job_key(job_id))
            job = _parse_record(job_record).job
            if job is None:
                return None
            progress_record = await self._store.read(
                keys.build_progress_key(job_id)
            )
            progress = (
                work.parse_progress(progress_record.value)
                if progress_record
                else work.Progress()
            )
        except client.StoreUnavailableError as error:
            raise StateUnknownError(str(error)) from error
        except (codec.BadMessageError, ValueError) as error:
            log("job:unreadable", job=job_id, error=str(error))
            raise StateUnknownError(str(error)) from error
        if progress.final_state is not None:
            return progress.final_state
        if job.cancelled:
            return work.State.CANCELLED
        home = progress.home or job.pool
        if home != asked_pool:
            state = await self._ask_pool(home, job_id)
            if state is not None:
                return work.State(state)
        return work.State.RUNNING if progress.has_started else work.State.QUEUED

    def find_local_state(self, pool: str, job_id: str) -> str | None:
        """Return a job's state if this entry owns the pool and has the job."""
        pool_owner = self._pool_owners.get(pool)
        if pool_owner is None or not pool_owner.is_loaded:
            return None
        job_work = pool_owner.pool_state.jobs.get(job_id)
        if job_work is None or not job_work.is_home:
            return None
        return str(job_work.show_state())

    # Counts.

    async def count_pending(self, pool: str, queue: str) -> int | None:
        """Return the number of waiting jobs; None without a reachable owner.

        Jobs that have not moved to the queue's present pool yet count too.
        """
        reply = await self._count_in_pool(pool, queue)
        total = reply.count
        for other_pool in reply.other_pools:
            other_reply = await self._count_in_pool(other_pool, queue)
            if total is None or other_reply.count is None:
                return None
            total += other_reply.count
        return total

    async def _count_in_pool(
        self, pool: str, queue: str
    ) -> messages.PendingReply:
        if pool in self._pool_owners:
            return self.count_local_pending(pool, queue)
        owner = self._find_owner(pool)
        reply = (
            await self._peers.call(owner, messages.CountPending(pool, queue))
            if owner is not None
            else None
        )
        if isinstance(reply, messages.PendingReply):
            return reply
        return messages.PendingReply(None)

    def count_local_pending(
        self, pool: str, queue: str
    ) -> messages.PendingReply:
        """Return the number of waiting jobs if this entry owns the pool."""
        pool_owner = self._pool_owners.get(pool)
        if pool_owner is None or not pool_owner.is_loaded:
            return messages.PendingReply(None)
        return messages.PendingReply(
            pool_owner.pool_state.count_pending(queue),
            tuple(pool_owner.list_other_pools(queue)),
        )

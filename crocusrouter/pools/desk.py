"""What callers ask of jobs: hand in, cancel, state, how many wait."""

from collections.abc import Callable
import dataclasses
import enum

from crocusrouter import codec
from crocusrouter import work
from crocusrouter.mesh import messages
from crocusrouter.outcomes import Refusal
from crocusrouter.pools import clock
from crocusrouter.pools import configuration as configurations
from crocusrouter.pools import keys
from crocusrouter.pools import owner as owners
from crocusrouter.pools import peers as peer_links
from crocusrouter.pools import relay
from crocusrouter.store import client
from crocusrouter.store import key_value
from crocusrouter.telemetry import Metrics
from crocusrouter.telemetry import log

_CANCEL_TRIES = 3


class Stored(enum.StrEnum):
    """Whether a job is stored."""

    STORED = "stored"
    NOT_STORED = "not-stored"  # and never will be by this call
    UNKNOWN = "unknown"


class Cancelled(enum.Enum):
    """How a cancel went."""

    DONE = "done"
    NO_JOB = "no-job"
    NOT_TRIED = "not-tried"  # the job could not even be read
    UNKNOWN = "unknown"


class StateUnknownError(Exception):
    """Neither the owner nor the store could be asked."""


def _judge(outcome: key_value.WriteOutcome) -> Stored:
    """Tell what the write of a job under a key that must not exist means."""
    if isinstance(outcome, key_value.Written | key_value.Mismatched):
        return Stored.STORED
    if isinstance(outcome, key_value.NotWritten):
        return Stored.NOT_STORED
    return Stored.UNKNOWN


def note_refusal(
    method: str,
    path: str,
    refusal: Refusal,
    basis: configurations.Basis,
) -> None:
    """Write the line that explains a refusal, with the job's id in it.

    Args:
        method: HTTP method.
        path: Path, with the job's id.
        refusal: What the caller hears.
        basis: The configuration that decided.
    """
    log(
        "call:refused",
        method=method,
        path=path,
        reason=str(refusal.reason),
        detail=refusal.detail,
        retry_after_s=refusal.retry_after_s,
        **basis.show(),
    )


class Desk:
    """Serves the callers of one entry."""

    def __init__(
        self,
        store: relay.RelayedStore,
        peers: peer_links.Peers,
        owned: dict[str, owners.PoolOwner],
        find_owner: Callable[[str], str | None],
        times: clock.Clock,
        metrics: Metrics,
    ) -> None:
        self._store = store
        self._peers = peers
        self._owned = owned
        self._find_owner = find_owner
        self._times = times
        self._metrics = metrics

    # Acceptance.

    async def accept(
        self, job: work.Job, basis: configurations.Basis | None = None
    ) -> Stored:
        """Store a job.

        A job is stored under a key that must not exist, so any number of
        tries by any entry make one job. Only if every try was certainly
        without effect may the caller hear that the job never runs.

        Args:
            job: What was handed in.
            basis: The configuration that allowed it; None if none did.
        """
        key = keys.build_job_key(job.id)
        outcome = await self._store.write(
            key_value.Guard(key, 0), key_value.Write(key, codec.pack(job))
        )
        stored = _judge(outcome)
        self._metrics.count_job(f"accept-{stored}")
        log(
            "job:accept",
            job=job.id,
            queue=job.queue,
            customer=job.customer,
            outcome=str(stored),
            **(basis.show() if basis is not None else {}),
        )
        return stored

    # Cancelling.

    async def cancel(self, job_id: str) -> Cancelled:
        """Mark a job as cancelled; its owner stops it."""
        key = keys.build_job_key(job_id)
        tried = False
        for _ in range(_CANCEL_TRIES):
            try:
                found = await self._store.read(key)
            except client.StoreUnavailableError as error:
                log("job:cancel", job=job_id, outcome=str(error))
                break
            if found is None:
                return Cancelled.NO_JOB
            job: work.Job = codec.unpack(work.Job, found.value)
            if job.cancelled:
                return Cancelled.DONE
            marked = dataclasses.replace(job, cancelled=True)
            tried = True
            outcome = await self._store.write(
                key_value.Guard(key, found.revision),
                key_value.Write(key, codec.pack(marked)),
            )
            log("job:cancel", job=job_id, outcome=type(outcome).__name__)
            if isinstance(outcome, key_value.Written):
                return Cancelled.DONE
        return Cancelled.UNKNOWN if tried else Cancelled.NOT_TRIED

    # State.

    async def find_state(self, pool: str, job_id: str) -> work.State | None:
        """Return a job's state, or None if no such job was accepted.

        Raises:
            StateUnknownError: Nobody could be asked.
        """
        state = self.show_here(pool, job_id)
        if state is None and pool not in self._owned:
            state = await self._ask_owner(pool, job_id)
        if state is not None:
            return work.State(state)
        return await self._read_state(job_id)

    async def _ask_owner(self, pool: str, job_id: str) -> str | None:
        owner = self._find_owner(pool)
        if owner is None:
            return None
        reply = await self._peers.call(owner, messages.FindState(pool, job_id))
        return reply.state if isinstance(reply, messages.StateReply) else None

    async def _read_state(self, job_id: str) -> work.State | None:
        """Read a job's state from the store.

        The owner may not have heard of a job yet; only the store can say
        that there is none.
        """
        try:
            found = await self._store.read(keys.build_job_key(job_id))
            if found is None:
                return None
            kept = await self._store.read(keys.build_progress_key(job_id))
        except client.StoreUnavailableError as error:
            raise StateUnknownError(str(error)) from error
        job: work.Job = codec.unpack(work.Job, found.value)
        progress = work.parse_progress(kept.value) if kept else work.Progress()
        if progress.final is not None:
            return progress.final
        if job.cancelled:
            return work.State.CANCELLED
        return work.State.RUNNING if progress.steps else work.State.QUEUED

    def show_here(self, pool: str, job_id: str) -> str | None:
        """Return a job's state if this entry owns the pool and knows it."""
        held = self._owned.get(pool)
        if held is None or not held.is_loaded:
            return None
        found = held.book.jobs.get(job_id)
        return str(found.show_state()) if found is not None else None

    # Counts.

    async def count_pending(self, pool: str, queue: str) -> int | None:
        """Return how many jobs wait; None if the owner can't be asked."""
        if pool in self._owned:
            return self.count_here(pool, queue)
        owner = self._find_owner(pool)
        if owner is None:
            return None
        reply = await self._peers.call(
            owner, messages.CountPending(pool, queue)
        )
        return reply.count if isinstance(reply, messages.PendingReply) else None

    def count_here(self, pool: str, queue: str) -> int | None:
        """Return how many jobs wait if this entry owns the pool."""
        held = self._owned.get(pool)
        if held is None or not held.is_loaded:
            return None
        return held.book.count_pending(queue)

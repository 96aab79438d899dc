"""Journal: stores a data centre's jobs in the key-value service.

The service limits the number of calls, not of bytes. Jobs are therefore stored
in a few buckets, and each write replaces a whole bucket. Changes that arrive
during a write are written together by the next write.

A compare-and-swap fences only the key that it names. A write by a paused owner
may still be in flight when the ownership record changes. A successor therefore
rewrites each bucket under its own epoch before it acts. A late write of the
earlier owner then fails, because it names an outdated revision.
"""

from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
import zlib

import cbor2
import trio

from crocusrouter import codec
from crocusrouter import store
from crocusrouter.jobs import model
from crocusrouter.telemetry import log

BUCKETS = 8
_BATCH_WINDOW_S = 0.004
_RETRY_DELAY_S = 0.25
_WRITE_TIMEOUT_S = 2.0


class FencedError(Exception):
    """Another owner has taken over; this owner must stop."""


@dataclasses.dataclass
class _Bucket:
    """One bucket as this owner last knew it in the service.

    Attributes:
        key: Key of the bucket's record.
        record: The record; None if there is none.
        jobs: Encoded jobs in the record, by job id.
        staged_changes: Jobs that are not durable in their latest version;
            None for a job to remove.
        uncertain_write_ids: Writes whose outcome is unknown.
    """

    key: str
    record: store.Record | None = None
    jobs: dict[str, bytes] = dataclasses.field(default_factory=dict)
    staged_changes: dict[str, model.Job | None] = dataclasses.field(
        default_factory=dict
    )
    uncertain_write_ids: list[bytes] = dataclasses.field(default_factory=list)


class Journal:
    """Reads, fences and writes the buckets of one data centre's jobs."""

    def __init__(
        self,
        client: store.StoreClient,
        prefix: str,
        epoch: int,
        note_committed: Callable[[model.Job], None],
    ) -> None:
        """Create a journal; call `take_over` before any other method.

        Args:
            client: Client of the key-value service.
            prefix: Key prefix of the data centre's buckets.
            epoch: The owner's epoch, which each bucket contains.
            note_committed: Called with each version of a job that has become
                durable.
        """
        self._client = client
        self._epoch = epoch
        self._note_committed = note_committed
        self._buckets = [
            _Bucket(f"{prefix}{number:02d}") for number in range(BUCKETS)
        ]
        self._changes_staged = trio.Event()
        self._write_committed = trio.Condition()

    async def take_over(self) -> list[model.Job]:
        """Read all buckets and rewrite each of them under this epoch.

        Returns:
            All accepted jobs.

        Raises:
            FencedError: A bucket contains a higher epoch.
        """
        async with trio.open_nursery() as nursery:
            for bucket in self._buckets:
                nursery.start_soon(self._take_over_bucket, bucket)
        return [
            codec.unpack(model.Job, encoded_job)
            for bucket in self._buckets
            for encoded_job in bucket.jobs.values()
        ]

    def stage(self, jobs: Iterable[model.Job]) -> None:
        """Stage changed jobs for the next write of their buckets."""
        for job in jobs:
            self._find_bucket(job.id).staged_changes[job.id] = job
        self._changes_staged.set()

    def drop(self, job_id: str) -> None:
        """Stage the removal of a job for the next write of its bucket."""
        self._find_bucket(job_id).staged_changes[job_id] = None

    def is_pending(self, job_id: str) -> bool:
        """Tell whether a job's latest change is not yet durable."""
        return job_id in self._find_bucket(job_id).staged_changes

    def is_idle(self) -> bool:
        """Tell whether everything staged is durable."""
        return not any(bucket.staged_changes for bucket in self._buckets)

    async def wait_until(self, is_durable: Callable[[], bool]) -> None:
        """Wait until a write makes `is_durable` return true."""
        async with self._write_committed:
            while not is_durable():
                await self._write_committed.wait()

    async def run(self) -> None:
        """Write staged changes in batches until cancelled.

        Raises:
            FencedError: Another owner rewrote a bucket.
        """
        while True:
            await self._changes_staged.wait()
            await trio.sleep(_BATCH_WINDOW_S)
            self._changes_staged = trio.Event()
            async with trio.open_nursery() as nursery:
                for bucket in self._buckets:
                    if bucket.staged_changes:
                        nursery.start_soon(self._write_staged_changes, bucket)

    def measure_bytes(self) -> int:
        """Return the size of all encoded jobs in bytes."""
        return sum(
            len(encoded_job)
            for bucket in self._buckets
            for encoded_job in bucket.jobs.values()
        )

    def _find_bucket(self, job_id: str) -> _Bucket:
        return self._buckets[zlib.crc32(job_id.encode()) % BUCKETS]

    async def _take_over_bucket(self, bucket: _Bucket) -> None:
        """Read a bucket and rewrite it under this epoch."""
        while True:
            try:
                bucket.record = await self._client.read(bucket.key)
            except store.StoreUnavailableError:
                await trio.sleep(_RETRY_DELAY_S)
                continue
            bucket.jobs = self._decode_bucket(bucket.record)
            outcome = await self._swap_bucket(bucket, bucket.jobs)
            if isinstance(outcome, store.Committed):
                bucket.record = outcome.record
                return
            # A late write of the earlier owner came first, or the response to
            # this write was lost. Read again, so that no write is overwritten
            # without being read.
            await trio.sleep(_RETRY_DELAY_S)

    def _decode_bucket(self, record: store.Record | None) -> dict[str, bytes]:
        """Return a bucket's encoded jobs, by job id."""
        if record is None:
            return {}
        epoch, jobs = cbor2.loads(record.value)
        if epoch > self._epoch:
            raise FencedError(f"{record.key} contains epoch {epoch}")
        return dict(jobs)

    async def _write_staged_changes(self, bucket: _Bucket) -> None:
        """Write the staged changes of one bucket until they are durable."""
        changes = dict(bucket.staged_changes)
        jobs = dict(bucket.jobs)
        for job_id, job in changes.items():
            if job is None:
                jobs.pop(job_id, None)
            else:
                jobs[job_id] = codec.pack(job)
        while True:
            outcome = await self._swap_bucket(bucket, jobs)
            if isinstance(outcome, store.Committed):
                break
            self._check_failed_write(bucket, outcome)
            await trio.sleep(_RETRY_DELAY_S)
        bucket.record = outcome.record
        bucket.jobs = jobs
        bucket.uncertain_write_ids.clear()
        for job_id, job in changes.items():
            # A job that changed again during the write stays staged.
            if bucket.staged_changes.get(job_id) is job:
                del bucket.staged_changes[job_id]
            if job is not None:
                self._note_committed(job)
        if bucket.staged_changes:
            self._changes_staged.set()
        async with self._write_committed:
            self._write_committed.notify_all()

    async def _swap_bucket(
        self, bucket: _Bucket, jobs: dict[str, bytes]
    ) -> store.SwapOutcome:
        value = cbor2.dumps([self._epoch, list(jobs.items())])
        return await self._client.compare_and_swap(
            bucket.key, bucket.record, value, timeout_s=_WRITE_TIMEOUT_S
        )

    def _check_failed_write(
        self, bucket: _Bucket, outcome: store.SwapOutcome
    ) -> None:
        """Tell a write that may be repeated from one that was fenced.

        Raises:
            FencedError: Another owner rewrote the bucket.
        """
        if isinstance(outcome, store.Unavailable):
            if outcome.maybe_written:
                bucket.uncertain_write_ids.append(outcome.write_id)
            return
        if isinstance(outcome, store.Conflict):
            current_record = outcome.current
            if (
                current_record is not None
                and current_record.write_ids[0] in bucket.uncertain_write_ids
            ):
                # An own write whose outcome was unknown has taken effect; the
                # next write replaces it.
                bucket.record = current_record
                return
        log("journal:fenced", key=bucket.key, epoch=self._epoch)
        raise FencedError(f"{bucket.key} was rewritten by another owner")

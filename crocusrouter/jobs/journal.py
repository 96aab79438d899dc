"""The journal: a data centre's jobs in the key-value service.

The service counts calls, not bytes, so jobs are kept in a few buckets and
each write replaces a whole bucket; changes that arrive while a write is under
way share the next one.

A compare-and-swap fences only the key that it names. A paused owner's write
to a bucket may still be on its way when the ownership record changes, so a
successor first rewrites each bucket under its own epoch and acts only then;
after that, the late write names a revision that is gone.
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
_RETRY_PAUSE_S = 0.25
_PATIENCE_S = 2.0


class FencedError(Exception):
    """Another owner has taken over; this one must stop deciding."""


@dataclasses.dataclass
class _Bucket:
    """One bucket as this owner last knew it in the service."""

    key: str
    record: store.Record | None = None
    jobs: dict[str, bytes] = dataclasses.field(default_factory=dict)
    dirty: dict[str, model.Job | None] = dataclasses.field(default_factory=dict)
    uncertain: list[bytes] = dataclasses.field(default_factory=list)


class Journal:
    """Reads, fences and writes the buckets of one data centre."""

    def __init__(
        self,
        client: store.StoreClient,
        prefix: str,
        epoch: int,
        note_committed: Callable[[model.Job], None],
    ) -> None:
        """Open a journal; `take_over` must come first.

        Args:
            client: The key-value service.
            prefix: Key prefix of the data centre's buckets.
            epoch: The owner's epoch; each bucket carries it.
            note_committed: Called with each job as it became durable.
        """
        self._client = client
        self._epoch = epoch
        self._note_committed = note_committed
        self._buckets = [
            _Bucket(f"{prefix}{number:02d}") for number in range(BUCKETS)
        ]
        self._wake = trio.Event()
        self._committed = trio.Condition()

    async def take_over(self) -> list[model.Job]:
        """Read all buckets and rewrite each one under this epoch.

        Returns:
            Every job that was accepted.

        Raises:
            FencedError: A bucket carries a higher epoch.
        """
        async with trio.open_nursery() as nursery:
            for bucket in self._buckets:
                nursery.start_soon(self._fence, bucket)
        return [
            codec.unpack(model.Job, data)
            for bucket in self._buckets
            for data in bucket.jobs.values()
        ]

    def stage(self, jobs: Iterable[model.Job]) -> None:
        """Put changed jobs into the next write of their buckets."""
        for job in jobs:
            self._find_bucket(job.id).dirty[job.id] = job
        self._wake.set()

    def drop(self, job_id: str) -> None:
        """Remove a job with the next write of its bucket."""
        self._find_bucket(job_id).dirty[job_id] = None

    def is_pending(self, job_id: str) -> bool:
        """Tell whether a job's latest change is not yet durable."""
        return job_id in self._find_bucket(job_id).dirty

    def is_idle(self) -> bool:
        """Tell whether everything staged is durable."""
        return not any(bucket.dirty for bucket in self._buckets)

    async def wait_until(self, is_durable: Callable[[], bool]) -> None:
        """Wait for the writes after which `is_durable` holds."""
        async with self._committed:
            while not is_durable():
                await self._committed.wait()

    async def run(self) -> None:
        """Write staged changes until cancelled.

        Raises:
            FencedError: Another owner rewrote a bucket.
        """
        while True:
            await self._wake.wait()
            await trio.sleep(_BATCH_WINDOW_S)
            self._wake = trio.Event()
            async with trio.open_nursery() as nursery:
                for bucket in self._buckets:
                    if bucket.dirty:
                        nursery.start_soon(self._flush, bucket)

    def measure(self) -> int:
        """Return the bytes of all buckets."""
        return sum(
            len(data)
            for bucket in self._buckets
            for data in bucket.jobs.values()
        )

    def _find_bucket(self, job_id: str) -> _Bucket:
        return self._buckets[zlib.crc32(job_id.encode()) % BUCKETS]

    async def _fence(self, bucket: _Bucket) -> None:
        while True:
            try:
                bucket.record = await self._client.read(bucket.key)
            except store.StoreUnavailableError:
                await trio.sleep(_RETRY_PAUSE_S)
                continue
            bucket.jobs = self._read_bucket(bucket.record)
            outcome = await self._write(bucket, bucket.jobs)
            if isinstance(outcome, store.Committed):
                bucket.record = outcome.record
                return
            # A late write of the earlier owner came first, or the answer is
            # lost; read again, so that neither is overwritten unseen.
            await trio.sleep(_RETRY_PAUSE_S)

    def _read_bucket(self, record: store.Record | None) -> dict[str, bytes]:
        if record is None:
            return {}
        epoch, jobs = cbor2.loads(record.value)
        if epoch > self._epoch:
            raise FencedError(f"{record.key} carries epoch {epoch}")
        return dict(jobs)

    async def _flush(self, bucket: _Bucket) -> None:
        """Write one bucket until its changes are durable."""
        changes = dict(bucket.dirty)
        jobs = dict(bucket.jobs)
        for job_id, job in changes.items():
            if job is None:
                jobs.pop(job_id, None)
            else:
                jobs[job_id] = codec.pack(job)
        while True:
            outcome = await self._write(bucket, jobs)
            if isinstance(outcome, store.Committed):
                break
            self._take_failure(bucket, outcome)
            await trio.sleep(_RETRY_PAUSE_S)
        bucket.record = outcome.record
        bucket.jobs = jobs
        bucket.uncertain.clear()
        for job_id, job in changes.items():
            # A job that changed again meanwhile stays dirty.
            if bucket.dirty.get(job_id) is job:
                del bucket.dirty[job_id]
            if job is not None:
                self._note_committed(job)
        if bucket.dirty:
            self._wake.set()
        async with self._committed:
            self._committed.notify_all()

    async def _write(
        self, bucket: _Bucket, jobs: dict[str, bytes]
    ) -> store.SwapOutcome:
        value = cbor2.dumps([self._epoch, list(jobs.items())])
        return await self._client.compare_and_swap(
            bucket.key, bucket.record, value, timeout_s=_PATIENCE_S
        )

    def _take_failure(
        self, bucket: _Bucket, outcome: store.SwapOutcome
    ) -> None:
        """Decide whether a failed write was fenced or may be repeated."""
        if isinstance(outcome, store.Unavailable):
            if outcome.maybe_written:
                bucket.uncertain.append(outcome.write_id)
            return
        if isinstance(outcome, store.Conflict):
            current = outcome.current
            if current is not None and current.write_ids[0] in bucket.uncertain:
                # Our own write, given up on as uncertain, did take effect;
                # the next one replaces it.
                bucket.record = current
                return
        log("journal:fenced", key=bucket.key, epoch=self._epoch)
        raise FencedError(f"{bucket.key} was rewritten by another owner")

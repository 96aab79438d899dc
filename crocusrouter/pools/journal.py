"""The journal of a pool: what has ended, written in batches.

Each write is guarded by the owner's key and by the revision of every record
that it replaces. The first keeps an earlier owner from writing; the second
keeps one of our own writes that was left unanswered, and is carried out
seconds later, from putting an older record over a newer one.
"""

import trio

from crocusrouter import work
from crocusrouter.pools import keys
from crocusrouter.pools import tenure as tenures
from crocusrouter.store import key_value
from crocusrouter.telemetry import log

# Ends that come within this time share a write. A job's last end does not
# wait: its caller does.
_BATCH_WINDOW_S = 0.08
_RETRY_S = 0.2
# The store takes 32 rows a call: the owner's guard, and a guard and a write
# for each job.
_BATCH_JOBS = 15


class DeposedError(Exception):
    """Another owner has taken over; this one must stop deciding."""


class Journal:
    """Writes the progress of a book's dirty jobs."""

    def __init__(
        self,
        store: key_value.KeyValueStore,
        held: tenures.Tenure,
        book: work.Book,
        revisions: dict[str, int],
    ) -> None:
        """Open a journal.

        Args:
            store: The key-value service.
            held: This owner's tenure.
            book: Whose dirty jobs are written.
            revisions: Revision of each progress record, by job.
        """
        self._store = store
        self._tenure = held
        self._book = book
        self._revisions = revisions
        self._wake = trio.Event()
        self._cycle = 0
        self._done = 0
        self._writing: frozenset[str] = frozenset()
        self._finished = trio.Condition()

    def wake(self) -> None:
        """Say that a job may be dirty."""
        if self._book.dirty:
            self._wake.set()

    def is_durable(self, job_id: str) -> bool:
        """Tell whether a successor would read all that is known of a job."""
        return job_id not in self._book.dirty and job_id not in self._writing

    async def settle(self) -> None:
        """Wait until all that is dirty now is durable."""
        if not self._book.dirty and self._done == self._cycle:
            return
        wanted = self._cycle + 1
        self.wake()
        async with self._finished:
            while self._done < wanted and (
                self._book.dirty or self._done < self._cycle
            ):
                await self._finished.wait()

    async def run(self) -> None:
        """Write until cancelled; raises DeposedError."""
        while True:
            await self._wake.wait()
            self._wake = trio.Event()
            if not self._has_final():
                await trio.sleep(_BATCH_WINDOW_S)
            self._cycle += 1
            while self._book.dirty:
                await self._flush()
            self._done = self._cycle
            async with self._finished:
                self._finished.notify_all()

    def _has_final(self) -> bool:
        return any(
            held.progress.final is not None
            for job_id in self._book.dirty
            if (held := self._book.jobs.get(job_id)) is not None
        )

    async def _flush(self) -> None:
        chosen = sorted(self._book.dirty)[:_BATCH_JOBS]
        self._book.dirty -= set(chosen)
        self._writing = frozenset(chosen)
        values = {
            job_id: work.dump_progress(held.progress)
            for job_id in chosen
            if (held := self._book.jobs.get(job_id)) is not None
        }
        finals = [
            job_id
            for job_id in values
            if self._book.jobs[job_id].progress.final is not None
        ]
        while values:
            outcome = await self._write(values)
            if isinstance(outcome, key_value.Written):
                for job_id in values:
                    self._revisions[job_id] = outcome.revision
                self._book.note_durable(finals)
                self._book.note_crashes_kept(values.keys() - self._book.dirty)
                break
            self._take_failure(outcome)
            if not isinstance(outcome, key_value.Mismatched):
                await trio.sleep(_RETRY_S)
        self._writing = frozenset()

    async def _write(self, values: dict[str, bytes]) -> key_value.WriteOutcome:
        guards = [self._tenure.guard]
        writes = []
        for job_id, value in values.items():
            key = keys.build_progress_key(job_id)
            guards.append(key_value.Guard(key, self._revisions.get(job_id, 0)))
            writes.append(key_value.Write(key, value))
        return await self._store.write(tuple(guards), tuple(writes))

    def _take_failure(self, outcome: key_value.WriteOutcome) -> None:
        """Learn from a failed write; raises DeposedError."""
        if not isinstance(outcome, key_value.Mismatched):
            log("journal:retried", outcome=type(outcome).__name__)
            return
        owner = outcome.current.get(self._tenure.key)
        if owner is None or owner.revision != self._tenure.epoch:
            raise DeposedError(f"{self._tenure.key} has changed")
        # An unanswered write of ours was carried out. Nobody else writes
        # under this epoch, so its revision is the one to replace.
        for key, record in outcome.current.items():
            if key.startswith(keys.PROGRESS):
                job_id = key.removeprefix(keys.PROGRESS)
                self._revisions[job_id] = record.revision

"""Jobs of which nothing runs, written down for a successor.

A successor asks the workers what runs. While one of them can't be reached,
anything might run there, and jobs of the owner before had to wait until its
lease had ended: 8 s after all entries had lost power, with every other worker
idle. A job that stands in this record can't run anywhere: the owner starts
nothing of it before a record without it is durable. So it costs a write only
for jobs that have waited for a while, and a calm day has none.
"""

from collections.abc import Callable

import cbor2
import trio

from crocusrouter import work
from crocusrouter.pools import journal
from crocusrouter.pools import keys
from crocusrouter.pools import tenure as tenures
from crocusrouter.store import key_value
from crocusrouter.store import records
from crocusrouter.telemetry import log

# Jobs to record that come within this time share a write. A job that leaves
# the record is never kept waiting for that.
_TICK_S = 1.0
# A job is recorded once it has waited for this long: most start at once where
# there is room, and would cost two writes each.
_WAITED_S = 1.0
# The first try of a write that a start waits for; each further one is given
# twice that. A lost answer then costs a start 0.3 s and not the usual 1 s.
_FIRST_TIMEOUT_S = 0.3
_LONGEST_TIMEOUT_S = 1.2
_RETRY_S = 0.1


class Parking:
    """Keeps the record of one pool."""

    def __init__(
        self,
        store: key_value.KeyValueStore,
        held: tenures.Tenure,
        book: work.Book,
        is_durable: Callable[[str], bool],
        read_clock: Callable[[], float],
    ) -> None:
        """Prepare; `load` reads what the owner before has written.

        Args:
            store: The key-value service.
            held: This owner's tenure; guards each write.
            book: Whose jobs are recorded.
            is_durable: Whether a successor knows all ends of a job's tasks.
            read_clock: Returns steady seconds.
        """
        self._store = store
        self._tenure = held
        self._book = book
        self._is_durable = is_durable
        self._read_clock = read_clock
        self._key = keys.PARKED + held.pool
        self._revision = 0
        # What the record may say: more than one state of it, while a write is
        # unanswered.
        self._recorded: frozenset[str] = frozenset()
        self._wake = trio.Event()
        self._changed = trio.Condition()

    async def load(self) -> frozenset[str]:
        """Return the jobs of which nothing ran.

        Raises:
            StoreUnavailableError: The record could not be read.
        """
        found = await self._store.read(self._key)
        if found is None:
            return frozenset()
        self._revision = found.revision
        self._recorded = _parse_jobs(found)
        return self._recorded

    def is_parked(self, job_id: str) -> bool:
        """Tell whether the record may say that nothing of a job runs."""
        return job_id in self._recorded

    async def leave(self, job_id: str) -> None:
        """Wait until the record says no more that nothing of a job runs.

        The book holds the run that is to start by then, so the job leaves.
        """
        self._wake.set()
        async with self._changed:
            while self.is_parked(job_id):
                await self._changed.wait()

    async def run(self) -> None:
        """Write changes until cancelled; raises DeposedError."""
        timeout_s = _FIRST_TIMEOUT_S
        while True:
            with trio.move_on_after(_TICK_S):
                await self._wake.wait()
            self._wake = trio.Event()
            wanted = self._choose(self._read_clock())
            if wanted <= self._recorded and not self._is_wrong():
                continue
            outcome = await self._write(wanted, timeout_s)
            if isinstance(outcome, key_value.Written):
                timeout_s = _FIRST_TIMEOUT_S
                async with self._changed:
                    self._changed.notify_all()
                continue
            if timeout_s == _FIRST_TIMEOUT_S:
                log("parking:retried", outcome=type(outcome).__name__)
            timeout_s = min(_LONGEST_TIMEOUT_S, 2 * timeout_s)
            # What the record says is not known until a write is answered, and
            # all jobs that it may name can't start before that.
            self._wake.set()
            await trio.sleep(_RETRY_S)

    def _is_wrong(self) -> bool:
        """Tell whether the record names a job that runs.

        Jobs that are over do no harm there.
        """
        return any(
            _has_run(self._book.live.get(job_id)) for job_id in self._recorded
        )

    def _choose(self, now: float) -> frozenset[str]:
        """Return the jobs to record, of which nothing runs.

        A task of theirs that has ended must be known to a successor, which
        would start it again at once.
        """
        blocked = self._book.list_blocked()
        return frozenset(
            job_id
            for job_id, held in self._book.live.items()
            if not held.is_final
            and not self._book.may_run_unseen(held, blocked)
            and not _has_run(held)
            and (
                job_id in self._recorded
                or (_has_waited(held, now) and self._is_durable(job_id))
            )
        )

    async def _write(
        self, wanted: frozenset[str], timeout_s: float
    ) -> key_value.WriteOutcome:
        """Replace the record; raises DeposedError."""
        before = self._recorded
        # An unanswered write may be carried out: until that is known, a job
        # counts as parked that stands in either state of the record.
        self._recorded = before | wanted
        outcome = await self._store.write(
            (self._tenure.guard, key_value.Guard(self._key, self._revision)),
            (key_value.Write(self._key, cbor2.dumps(sorted(wanted))),),
            timeout_s=timeout_s,
        )
        match outcome:
            case key_value.Written(revision):
                self._revision = revision
                self._recorded = wanted
            case key_value.Mismatched(current):
                owner = current.get(self._tenure.key)
                if owner is None or owner.revision != self._tenure.epoch:
                    raise journal.DeposedError(f"{self._tenure.key} changed")
                record = current.get(self._key)
                self._revision = record.revision if record else 0
            case key_value.NotWritten():
                self._recorded = before
        return outcome


def _has_run(held: work.JobWork | None) -> bool:
    if held is None:
        return False
    return any(step.running for step in held.steps.values())


def _has_waited(held: work.JobWork, now: float) -> bool:
    """Tell whether tasks of a job have been in turn for a while."""
    return any(
        step.waiting and now > step.waiting_since + _WAITED_S
        for step in held.steps.values()
        if step.waiting_since is not None
    )


def _parse_jobs(record: records.Record) -> frozenset[str]:
    """Decode the record; one that can't be read names no job."""
    try:
        return frozenset(str(job_id) for job_id in cbor2.loads(record.value))
    except (cbor2.CBORDecodeError, TypeError, ValueError) as error:
        log("parking:unreadable", key=record.key, error=str(error))
        return frozenset()

"""The platform's key-value service in memory, with faults; a view an entry."""

import dataclasses
import enum
import random

import trio

from crocusrouter.store import client
from crocusrouter.store import key_value
from crocusrouter.store import records

_ANSWER_DELAY_S = 0.004
_MAX_WRITE_DELAY_S = 6.0
# How much longer than a watch's time the real client waits for an answer.
_WATCH_TIMEOUT_S = 1.5
# Watches get no changes for this time before the history is dropped.
_COMPACTION_PAUSE_S = 1.0


class StoreFault(enum.StrEnum):
    """A fault of the service."""

    NONE = "none"
    BUSY = "busy"  # rejects every call
    SILENT = "silent"  # accepts calls and never answers
    SLOW = "slow"  # takes 75 times as long to answer
    LOST = "lost"  # doesn't answer a third of the writes, but applies them
    LATE = "late"  # applies those seconds later, if their guards still hold


@dataclasses.dataclass
class _Item:
    value: bytes
    revision: int
    lease: int


class Store:
    """Keys, leases, history and faults, shared by all views.

    Attributes:
        compacted_revision: Revision up to which the history has been dropped.
        watches_paused_until: Until when watches get no changes.
        leases_expire: Whether leases expire while the service is unavailable.
        entry_faults: Faults of calls of single entries, by the entry's name.
        spares_idle_watches: Whether a silence loses only the answers that are
            sent during it, so that a watch without changes survives it.
        rejected_prefixes: Prefixes whose watches are rejected, as calls beyond
            the rate limit are.
        unread_prefixes: Prefixes under which reads are rejected as well.
        calls: How many calls entries have made.
    """

    def __init__(self, seed: int) -> None:
        self.items: dict[str, _Item] = {}
        self.revision = 1
        self.leases: dict[int, tuple[float, float]] = {}
        self.history: list[records.Event] = []
        self.compacted_revision = 0
        self.watches_paused_until = 0.0
        self.fault = StoreFault.NONE
        self.leases_expire = True
        self._last_expiry_at = 0.0
        self.entry_faults: dict[str, StoreFault] = {}
        self._last_silence_at: dict[str, float] = {}
        self.spares_idle_watches = False
        self.rejected_prefixes: set[str] = set()
        self.unread_prefixes: set[str] = set()
        self.calls = 0
        self.random = random.Random(seed)
        self._changed = trio.Event()

    def put(self, key: str, value: bytes, lease: int = 0) -> int:
        """Write one key without guards, as operators and workers do."""
        self.revision += 1
        self._set(key, value, lease)
        return self.revision

    def remove(self, key: str) -> None:
        """Remove one key, as the end of its lease does."""
        if key in self.items:
            self.revision += 1
            self._delete(key)

    def _set(self, key: str, value: bytes, lease: int) -> None:
        self.items[key] = _Item(value, self.revision, lease)
        self._publish(
            records.Changed(records.Record(key, value, self.revision))
        )

    def _delete(self, key: str) -> None:
        del self.items[key]
        self._publish(records.Removed(key, self.revision))

    def _publish(self, event: records.Event) -> None:
        self.history.append(event)
        self._changed.set()
        self._changed = trio.Event()

    def find_fault(self, entry: str) -> StoreFault:
        """Return the fault that calls of an entry meet now."""
        return self.entry_faults.get(entry, self.fault)

    def is_impaired(self, now: float) -> bool:
        """Tell whether a fault or a compaction affects all entries."""
        return (
            self.fault is not StoreFault.NONE or now < self.watches_paused_until
        )

    def note_silences(self, entries: list[str], now: float) -> None:
        """Record which entries get no answers now.

        Calls that are open during a silence are never answered, however long
        they stay open.
        """
        for entry in entries:
            if self.find_fault(entry) is StoreFault.SILENT:
                self._last_silence_at[entry] = now

    def was_silent(self, entry: str, since: float) -> bool:
        """Tell whether answers to an entry have been lost since a time."""
        if self.spares_idle_watches:
            return self.find_fault(entry) is StoreFault.SILENT
        return self._last_silence_at.get(entry, -1.0) >= since

    async def compact_after_pause(self) -> None:
        """Send watches no changes for a second, then drop the history."""
        self.watches_paused_until = trio.current_time() + _COMPACTION_PAUSE_S
        await trio.sleep(_COMPACTION_PAUSE_S)
        self.compact()

    def compact(self) -> None:
        """Drop the history of changes, as a compaction does."""
        self.compacted_revision = self.revision
        self.history.clear()
        self._changed.set()
        self._changed = trio.Event()

    async def wait_for_change(self) -> None:
        """Wait until a key changes or the history is dropped."""
        await self._changed.wait()

    def expire_leases(self, now: float) -> None:
        """Remove the keys of expired leases; called on each clock step."""
        elapsed_s, self._last_expiry_at = now - self._last_expiry_at, now
        is_unavailable = self.fault in (StoreFault.BUSY, StoreFault.SILENT)
        if is_unavailable and not self.leases_expire:
            # Leases pause: each keeps its remaining time.
            self.leases = {
                number: (ttl_s, end + elapsed_s)
                for number, (ttl_s, end) in self.leases.items()
            }
            return
        expired = {n for n, (_, end) in self.leases.items() if end <= now}
        for number in expired:
            del self.leases[number]
        for key in [k for k, i in self.items.items() if i.lease in expired]:
            self.remove(key)

    def apply(
        self,
        guards: tuple[key_value.Guard, ...],
        writes: tuple[key_value.Write, ...],
        removals: tuple[str, ...],
    ) -> key_value.WriteOutcome:
        """Apply a write if all its guards hold, else nothing of it."""
        for guard in guards:
            item = self.items.get(guard.key)
            if (item.revision if item else 0) != guard.revision:
                return key_value.Mismatched(
                    {
                        g.key: self.read(g.key)
                        for g in guards
                        if g.key in self.items
                    }
                )
        if any(w.lease and w.lease not in self.leases for w in writes):
            return key_value.LeaseEnded()
        self.revision += 1
        for write in writes:
            self._set(write.key, write.value, write.lease)
        for key in removals:
            if key in self.items:
                self._delete(key)
        return key_value.Written(self.revision)

    def read(self, key: str) -> records.Record:
        """Return the record of a key that exists."""
        item = self.items[key]
        return records.Record(key, item.value, item.revision)


class StoreView:
    """The store as one entry meets it; implements `KeyValueStore`."""

    def __init__(self, store: Store, entry: str) -> None:
        self._store = store
        self._entry = entry

    async def _delay_call(self) -> StoreFault:
        """Delay a call and return the fault that it meets."""
        fault = self._store.find_fault(self._entry)
        slowdown = 75 if fault is StoreFault.SLOW else 1
        await trio.sleep(
            _ANSWER_DELAY_S * slowdown * self._store.random.uniform(0.5, 1)
        )
        if fault is StoreFault.SLOW and _ANSWER_DELAY_S * slowdown > 1:
            raise client.StoreUnavailableError("slow")
        return fault

    async def _begin_call(self) -> None:
        self._store.calls += 1
        await self._delay_or_fail()

    async def _delay_or_fail(self) -> None:
        fault = await self._delay_call()
        if fault is StoreFault.BUSY:
            raise client.StoreUnavailableError("busy")
        if fault is StoreFault.SILENT:
            await trio.sleep(1.0)
            raise client.StoreUnavailableError("silent")

    def _check_readable(self, key: str) -> None:
        if key.startswith(tuple(self._store.unread_prefixes)):
            raise client.StoreUnavailableError("status 429")

    async def read(self, key: str) -> records.Record | None:
        """Return a key's record, if any."""
        await self._begin_call()
        self._check_readable(key)
        return self._store.read(key) if key in self._store.items else None

    async def read_prefix(self, prefix: str) -> records.Snapshot:
        """Return all records under a prefix."""
        await self._begin_call()
        self._check_readable(prefix)
        found = (k for k in sorted(self._store.items) if k.startswith(prefix))
        return records.Snapshot(
            tuple(map(self._store.read, found)), self._store.revision
        )

    async def write(
        self,
        guards: tuple[key_value.Guard, ...],
        writes: tuple[key_value.Write, ...],
        removals: tuple[str, ...] = (),
        *,
        timeout_s: float = 1.0,
    ) -> key_value.WriteOutcome:
        """Write all or nothing; the answer is lost under some faults."""
        self._store.calls += 1
        fault = await self._delay_call()
        if fault is StoreFault.BUSY:
            return key_value.NotWritten("busy")
        if fault is StoreFault.SILENT:
            await trio.sleep(timeout_s)
            return key_value.MaybeWritten("silent")
        loses_answers = fault in (StoreFault.LOST, StoreFault.LATE)
        if loses_answers and self._store.random.random() < 1 / 3:
            if fault is StoreFault.LATE:
                trio.lowlevel.spawn_system_task(
                    self._apply_late, guards, writes, removals
                )
            else:
                self._store.apply(guards, writes, removals)
            await trio.sleep(timeout_s)
            return key_value.MaybeWritten("lost")
        outcome = self._store.apply(guards, writes, removals)
        await trio.sleep(_ANSWER_DELAY_S / 2)
        return outcome

    async def _apply_late(
        self,
        guards: tuple[key_value.Guard, ...],
        writes: tuple[key_value.Write, ...],
        removals: tuple[str, ...],
    ) -> None:
        await trio.sleep(self._store.random.uniform(1.0, _MAX_WRITE_DELAY_S))
        self._store.apply(guards, writes, removals)

    async def watch(
        self, prefix: str, revision: int, wait_s: float
    ) -> key_value.Changes:
        """Wait for changes under a prefix after a revision."""
        started_at = trio.current_time()
        await self._begin_call()
        if prefix in self._store.rejected_prefixes:
            raise client.StoreUnavailableError("status 429")
        with trio.move_on_after(wait_s):
            while True:
                if revision < self._store.compacted_revision:
                    raise key_value.HistoryGoneError(prefix)
                if self._are_watches_paused():
                    await trio.sleep_until(self._store.watches_paused_until)
                elif self._find_events(prefix, revision):
                    break
                else:
                    await self._store.wait_for_change()
        self._store.note_silences([self._entry], trio.current_time())
        if self._store.was_silent(self._entry, started_at):
            await trio.sleep_until(started_at + wait_s + _WATCH_TIMEOUT_S)
            raise client.StoreUnavailableError("the answer was lost")
        await self._delay_or_fail()
        if self._are_watches_paused():
            return key_value.Changes((), revision)
        if revision < self._store.compacted_revision:
            # The history was dropped while the answer was on its way.
            raise key_value.HistoryGoneError(prefix)
        found = self._find_events(prefix, revision)
        return key_value.Changes(found, self._store.revision)

    def _are_watches_paused(self) -> bool:
        return trio.current_time() < self._store.watches_paused_until

    def _find_events(
        self, prefix: str, revision: int
    ) -> tuple[records.Event, ...]:
        return tuple(
            event
            for event in self._store.history
            if records.get_event_revision(event) > revision
            and _find_key(event).startswith(prefix)
        )

    async def grant_lease(self, ttl_s: float) -> int:
        """Grant a lease."""
        await self._begin_call()
        self._store.revision += 1
        number = self._store.revision
        self._store.leases[number] = (ttl_s, trio.current_time() + ttl_s)
        return number

    async def renew_lease(self, lease: int) -> bool:
        """Renew a lease; return False if it has expired."""
        await self._begin_call()
        self._store.expire_leases(trio.current_time())
        if lease not in self._store.leases:
            return False
        ttl_s, _ = self._store.leases[lease]
        self._store.leases[lease] = (ttl_s, trio.current_time() + ttl_s)
        return True


def _find_key(event: records.Event) -> str:
    if isinstance(event, records.Removed):
        return event.key
    return event.record.key

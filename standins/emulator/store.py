"""The platform's key-value service in memory, one view an entry."""

import dataclasses
import enum
import random

import trio

from crocusrouter.store import client
from crocusrouter.store import key_value
from crocusrouter.store import records

_ANSWER_S = 0.004
_LATEST_S = 6.0
# What a client of the real wire waits for an answer beyond a watch's time.
_WATCH_TIMEOUT_S = 1.5
# While the history is being dropped, watches hear nothing.
_DEAF_S = 1.0


class StoreFault(enum.StrEnum):
    """What the service does wrong."""

    NONE = "none"
    BUSY = "busy"  # refuses every call
    SILENT = "silent"  # takes calls and never answers
    SLOW = "slow"  # answers 75 times later
    LOST = "lost"  # does a third of the writes and does not answer them
    LATE = "late"  # does them seconds later, if their condition still holds


@dataclasses.dataclass
class _Item:
    value: bytes
    revision: int
    lease: int


class Store:
    """Keys, leases, history and faults, shared by all views.

    Attributes:
        spares_quiet_watches: Whether a silence loses only the answers that are
            sent in it, so that a watch on which nothing came stays whole.
        refused_watches: Prefixes whose watches are refused, as calls beyond
            the limits of a second are.
    """

    def __init__(self, seed: int) -> None:
        self.items: dict[str, _Item] = {}
        self.revision = 1
        self.leases: dict[int, tuple[float, float]] = {}
        self.history: list[records.Event] = []
        self.dropped_to = 0
        self.deaf_until = 0.0
        self.fault = StoreFault.NONE
        self.lapses = True
        self._expired_at = 0.0
        self.turned_away: dict[str, StoreFault] = {}
        self._silences: dict[str, float] = {}
        self.spares_quiet_watches = False
        self.refused_watches: set[str] = set()
        self.calls = 0
        self.random = random.Random(seed)
        self._changed = trio.Event()

    def put(self, key: str, value: bytes, lease: int = 0) -> int:
        """Write one key as the operators or the workers do."""
        self.revision += 1
        self._set(key, value, lease)
        return self.revision

    def remove(self, key: str) -> None:
        """Remove one key as its lease's end does."""
        if key in self.items:
            self.revision += 1
            self._drop(key)

    def _set(self, key: str, value: bytes, lease: int) -> None:
        self.items[key] = _Item(value, self.revision, lease)
        self._tell(records.Changed(records.Record(key, value, self.revision)))

    def _drop(self, key: str) -> None:
        del self.items[key]
        self._tell(records.Removed(key, self.revision))

    def _tell(self, event: records.Event) -> None:
        self.history.append(event)
        self._changed.set()
        self._changed = trio.Event()

    def find_fault(self, entry: str) -> StoreFault:
        """Return what an entry meets now."""
        return self.turned_away.get(entry, self.fault)

    def is_impaired(self, now: float) -> bool:
        """Tell whether not all entries are served as usual."""
        return self.fault is not StoreFault.NONE or now < self.deaf_until

    def note_silences(self, entries: list[str], now: float) -> None:
        """Take note of who gets no answers now.

        What was open then is never answered, however long it stays open.
        """
        for entry in entries:
            if self.find_fault(entry) is StoreFault.SILENT:
                self._silences[entry] = now

    def was_silent(self, entry: str, since: float) -> bool:
        """Tell whether answers to an entry have been lost since a time."""
        if self.spares_quiet_watches:
            return self.find_fault(entry) is StoreFault.SILENT
        return self._silences.get(entry, -1.0) >= since

    async def forget_history_later(self) -> None:
        """Tell watches of nothing for a second, then drop the history."""
        self.deaf_until = trio.current_time() + _DEAF_S
        await trio.sleep(_DEAF_S)
        self.forget_history()

    def forget_history(self) -> None:
        """Drop all history, as a compaction does."""
        self.dropped_to = self.revision
        self.history.clear()
        self._changed.set()
        self._changed = trio.Event()

    async def wait_for_change(self) -> None:
        """Wait until some key has changed."""
        await self._changed.wait()

    def expire(self, now: float) -> None:
        """Remove the keys of leases that have run out; called all the time."""
        passed, self._expired_at = now - self._expired_at, now
        away = self.fault in (StoreFault.BUSY, StoreFault.SILENT)
        if away and not self.lapses:
            # They pause: what was left of each is left when it is back.
            self.leases = {
                number: (ttl_s, end + passed)
                for number, (ttl_s, end) in self.leases.items()
            }
            return
        gone = {n for n, (_, end) in self.leases.items() if end <= now}
        for number in gone:
            del self.leases[number]
        for key in [k for k, i in self.items.items() if i.lease in gone]:
            self.remove(key)

    def apply(
        self,
        guards: tuple[key_value.Guard, ...],
        writes: tuple[key_value.Write, ...],
        removals: tuple[str, ...],
    ) -> key_value.WriteOutcome:
        """Carry a write out, all or nothing."""
        for guard in guards:
            held = self.items.get(guard.key)
            if (held.revision if held else 0) != guard.revision:
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
                self._drop(key)
        return key_value.Written(self.revision)

    def read(self, key: str) -> records.Record:
        """Return a key that is there."""
        held = self.items[key]
        return records.Record(key, held.value, held.revision)


class StoreView:
    """The store as one entry meets it; implements `KeyValueStore`."""

    def __init__(self, store: Store, entry: str) -> None:
        self._store = store
        self._entry = entry

    async def _arrive(self) -> StoreFault:
        """Bring a call to the store; raises for what never gets there."""
        fault = self._store.find_fault(self._entry)
        slow = 75 if fault is StoreFault.SLOW else 1
        await trio.sleep(_ANSWER_S * slow * self._store.random.uniform(0.5, 1))
        if fault is StoreFault.SLOW and _ANSWER_S * slow > 1:
            raise client.StoreUnavailableError("slow")
        return fault

    async def _fetch(self) -> None:
        self._store.calls += 1
        await self._answer()

    async def _answer(self) -> None:
        fault = await self._arrive()
        if fault is StoreFault.BUSY:
            raise client.StoreUnavailableError("busy")
        if fault is StoreFault.SILENT:
            await trio.sleep(1.0)
            raise client.StoreUnavailableError("silent")

    async def read(self, key: str) -> records.Record | None:
        """Return a key's record."""
        await self._fetch()
        return self._store.read(key) if key in self._store.items else None

    async def read_prefix(self, prefix: str) -> records.Snapshot:
        """Return all records under a prefix."""
        await self._fetch()
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
        """Write all or nothing; some answers are lost."""
        self._store.calls += 1
        fault = await self._arrive()
        if fault is StoreFault.BUSY:
            return key_value.NotWritten("busy")
        if fault is StoreFault.SILENT:
            await trio.sleep(timeout_s)
            return key_value.MaybeWritten("silent")
        lossy = fault in (StoreFault.LOST, StoreFault.LATE)
        if lossy and self._store.random.random() < 1 / 3:
            if fault is StoreFault.LATE:
                trio.lowlevel.spawn_system_task(
                    self._apply_late, guards, writes, removals
                )
            else:
                self._store.apply(guards, writes, removals)
            await trio.sleep(timeout_s)
            return key_value.MaybeWritten("lost")
        outcome = self._store.apply(guards, writes, removals)
        await trio.sleep(_ANSWER_S / 2)
        return outcome

    async def _apply_late(
        self,
        guards: tuple[key_value.Guard, ...],
        writes: tuple[key_value.Write, ...],
        removals: tuple[str, ...],
    ) -> None:
        await trio.sleep(self._store.random.uniform(1.0, _LATEST_S))
        self._store.apply(guards, writes, removals)

    async def watch(
        self, prefix: str, revision: int, wait_s: float
    ) -> key_value.Changes:
        """Wait for changes under a prefix."""
        began = trio.current_time()
        await self._fetch()
        if prefix in self._store.refused_watches:
            raise client.StoreUnavailableError("status 429")
        with trio.move_on_after(wait_s):
            while True:
                if revision < self._store.dropped_to:
                    raise key_value.HistoryGoneError(prefix)
                if self._is_deaf():
                    await trio.sleep_until(self._store.deaf_until)
                elif self._find_events(prefix, revision):
                    break
                else:
                    await self._store.wait_for_change()
        self._store.note_silences([self._entry], trio.current_time())
        if self._store.was_silent(self._entry, began):
            await trio.sleep_until(began + wait_s + _WATCH_TIMEOUT_S)
            raise client.StoreUnavailableError("the answer was lost")
        await self._answer()
        if self._is_deaf():
            return key_value.Changes((), revision)
        if revision < self._store.dropped_to:
            # Dropped while the answer was on its way.
            raise key_value.HistoryGoneError(prefix)
        found = self._find_events(prefix, revision)
        return key_value.Changes(found, self._store.revision)

    def _is_deaf(self) -> bool:
        return trio.current_time() < self._store.deaf_until

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
        """Open a lease."""
        await self._fetch()
        self._store.revision += 1
        number = self._store.revision
        self._store.leases[number] = (ttl_s, trio.current_time() + ttl_s)
        return number

    async def renew_lease(self, lease: int) -> bool:
        """Renew a lease."""
        await self._fetch()
        self._store.expire(trio.current_time())
        if lease not in self._store.leases:
            return False
        ttl_s, _ = self._store.leases[lease]
        self._store.leases[lease] = (ttl_s, trio.current_time() + ttl_s)
        return True


def _find_key(event: records.Event) -> str:
    if isinstance(event, records.Removed):
        return event.key
    return event.record.key

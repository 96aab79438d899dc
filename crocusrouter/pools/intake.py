"""Follows a prefix of the key-value service: a snapshot, then its changes."""

from collections.abc import Callable

import trio

from crocusrouter.store import client
from crocusrouter.store import port
from crocusrouter.store import records
from crocusrouter.telemetry import log

# A waiting watch is one priced call however long it waits. Silent
# connections are found by keep-alive probes, not by short watches. Shorter
# than the history that the service keeps (20 s on the users' sites), or a
# quiet watch would end with its history gone.
_WATCH_S = 15.0
_RETRY_S = 0.3


class Follower:
    """Keeps a prefix in memory and tells of changes."""

    def __init__(
        self,
        store: port.KeyValueStore,
        prefix: str,
        take: Callable[[tuple[records.Event, ...]], None],
        note_contact: Callable[[], None] = lambda: None,
        pace_s: float = 0.0,
    ) -> None:
        """Open a follower.

        Args:
            store: The key-value service.
            prefix: Which keys.
            take: Called with events; after a snapshot, with a change for
                each key there and a removal for each one that is gone.
            note_contact: Called whenever the service has answered.
            pace_s: Pause after each answer. Where keys change all the time,
                changes then share calls: with 24 workers that write every
                1.5 s, 0.4 s costs 2.5 calls/s instead of 16.
        """
        self.failing = False
        self._store = store
        self._prefix = prefix
        self._take = take
        self._note_contact = note_contact
        self._pace_s = pace_s
        self._known: set[str] = set()
        self._revision = 0

    async def load(self) -> None:
        """Read the snapshot; raises StoreUnavailableError."""
        snapshot = await self._store.read_prefix(self._prefix)
        self._note_contact()
        keys = {record.key for record in snapshot.records}
        gone = tuple(
            records.Removed(key, snapshot.revision)
            for key in sorted(self._known - keys)
        )
        self._known = keys
        self._revision = snapshot.revision
        changed = tuple(map(records.Changed, snapshot.records))
        self._take(gone + changed)

    async def run(self) -> None:
        """Follow changes until cancelled."""
        while True:
            try:
                if not self._revision:
                    await self.load()
                await self._follow()
            except client.StoreUnavailableError as error:
                if not self.failing:
                    log("watch:lost", prefix=self._prefix, cause=str(error))
                self.failing = True
                await trio.sleep(_RETRY_S)
            except port.HistoryGoneError:
                log("watch:history-gone", prefix=self._prefix)
                self._revision = 0

    async def _follow(self) -> None:
        while True:
            changes = await self._store.watch(
                self._prefix, self._revision, _WATCH_S
            )
            self._note_contact()
            if self.failing:
                log("watch:regained", prefix=self._prefix)
                self.failing = False
            self._revision = max(self._revision, changes.revision)
            for event in changes.events:
                if isinstance(event, records.Removed):
                    self._known.discard(event.key)
                else:
                    self._known.add(event.record.key)
            if changes.events:
                self._take(changes.events)
                await trio.sleep(self._pace_s)

"""Follows a prefix of the key-value service: a snapshot, then its changes."""

from collections.abc import Callable

import trio

from crocusrouter.store import client
from crocusrouter.store import key_value
from crocusrouter.store import records
from crocusrouter.telemetry import Metrics
from crocusrouter.telemetry import log

# How long a watch waits for a change. An answer that is lost alone is noticed
# when this and `WATCH_GRACE_S` are over, since its connection stays
# open and goes on answering keep-alive probes. With watches of 15 s an owner
# heard of no new job for 13 s after a silent outage of 4 s, and a day earned
# 0.23 of what it was owed.
_SHORT_S = 0.6
# Where peers tell of what was missed, watches wait longer: each is one call
# however long it waits. Shorter than the history that the service keeps (20 s
# on the users' sites), or a quiet watch would end with its history gone.
_LONG_S = 10.0
# A short watch that has failed is tried again as a question: an empty answer
# also shows that nothing was missed. Waiting for a change again would add 0.6 s
# to the 1.4 s for which one lost answer leaves the list of workers unheard.
_PROBE_S = 0.001
# Pause from the beginning of an attempt that failed to the next one.
_RETRY_S = 0.2
# A follower in doubt knows all changes this long after the service answers
# again, if it answers within a fifth of a second.
DEAF_S = 1.0


class Follower:
    """Keeps a prefix in memory and tells of changes."""

    def __init__(
        self,
        store: key_value.KeyValueStore,
        prefix: str,
        take: Callable[[tuple[records.Event, ...]], None],
        metrics: Metrics,
        note_contact: Callable[[], None] = lambda: None,
        pace_s: float = 0.0,
        *,
        patient: bool = False,
    ) -> None:
        """Open a follower.

        Args:
            store: The key-value service.
            prefix: Which keys.
            take: Called with events; after a snapshot, with a change for
                each key there and a removal for each one that is gone.
            metrics: Told how long the service gave no answer.
            note_contact: Called whenever the service has answered.
            pace_s: Pause after each answer. Where keys change all the time,
                changes then share calls: with 24 workers that write every
                1.5 s, 0.4 s costs 2.5 calls/s instead of 16.
            patient: Whether watches may wait long while nothing is in doubt.
        """
        self.failing = False
        self._store = store
        self._prefix = prefix
        self._take = take
        self._metrics = metrics
        self._note_contact = note_contact
        self._pace_s = pace_s
        self._patient = patient
        self._doubted = False
        self._open = trio.CancelScope()
        self._last_event = 0
        self._known: set[str] = set()
        self._revision = 0
        self._heard_at: float | None = None

    @property
    def last_event(self) -> int:
        """Revision of the latest change that was heard."""
        return self._last_event

    def compare(self, last_event: int) -> None:
        """Look again if a peer has heard of a change that we have not.

        A short watch that is under way is left to end: heartbeats come several
        times a second, and each would end it before a slow service answers.
        """
        if self.failing or self._doubted:
            return
        if self._revision and last_event > self._revision:
            log(
                "watch:behind-peer",
                prefix=self._prefix,
                revision=self._revision,
                peer_revision=last_event,
            )
            self._metrics.count_event("watch-behind-peer")
            self.look_again()

    def look_again(self) -> None:
        """End a watch that may have lost its answer, and ask at once.

        A watch that waits for long would hear of no later change either.
        """
        if self.failing or self._doubted:
            return
        self._doubted = True
        self._open.cancel()

    async def load(self) -> None:
        """Read the snapshot; raises StoreUnavailableError."""
        snapshot = await self._store.read_prefix(self._prefix)
        self._note_heard()
        keys = {record.key for record in snapshot.records}
        gone = tuple(
            records.Removed(key, snapshot.revision)
            for key in sorted(self._known - keys)
        )
        self._known = keys
        self._revision = snapshot.revision
        changed = tuple(map(records.Changed, snapshot.records))
        self._tell(gone + changed)

    def _tell(self, events: tuple[records.Event, ...]) -> None:
        revisions = (records.get_event_revision(event) for event in events)
        self._last_event = max(self._last_event, *revisions, 0)
        self._take(events)

    def _note_heard(self) -> None:
        """Note an answer; tell how long there was none."""
        now = trio.current_time()
        if self.failing and self._heard_at is not None:
            behind_s = now - self._heard_at
            log(
                "watch:regained",
                prefix=self._prefix,
                behind_s=round(behind_s, 3),
            )
            self._metrics.note_behind(self._prefix, behind_s)
        self.failing = False
        self._heard_at = now
        self._note_contact()

    async def run(self) -> None:
        """Follow changes until cancelled."""
        with self._metrics.show_silence(self._prefix, self.measure_silence):
            await self._follow()

    def measure_silence(self) -> float:
        """Return the seconds since the service last answered."""
        if self._heard_at is None:
            return 0.0
        return trio.current_time() - self._heard_at

    async def _follow(self) -> None:
        while True:
            began = trio.current_time()
            try:
                if not self._revision:
                    await self.load()
                await self._follow_once()
            except client.StoreUnavailableError as error:
                if not self.failing:
                    log("watch:lost", prefix=self._prefix, cause=str(error))
                self.failing = True
                await trio.sleep_until(began + _RETRY_S)
            except key_value.HistoryGoneError:
                log("watch:history-gone", prefix=self._prefix)
                self._revision = 0

    def _choose_wait(self) -> float:
        if not self._patient:
            return _PROBE_S if self.failing else _SHORT_S
        return _SHORT_S if self.failing or self._doubted else _LONG_S

    async def _follow_once(self) -> None:
        with trio.CancelScope() as self._open:
            changes = await self._store.watch(
                self._prefix, self._revision, self._choose_wait()
            )
        if self._open.cancelled_caught:
            return
        self._doubted = False
        self._note_heard()
        self._revision = max(self._revision, changes.revision)
        for event in changes.events:
            if isinstance(event, records.Removed):
                self._known.discard(event.key)
            else:
                self._known.add(event.record.key)
        if changes.events:
            self._tell(changes.events)
            await trio.sleep(self._pace_s)

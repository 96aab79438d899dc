"""Follows a key prefix of the key-value service: snapshot, then changes."""

from collections.abc import Callable

import trio

from crocusrouter.store import client
from crocusrouter.store import key_value
from crocusrouter.store import records
from crocusrouter.telemetry import Metrics
from crocusrouter.telemetry import log

# How long a watch waits for a change. A lost answer is noticed only after this
# plus `WATCH_GRACE_S`, since its connection stays open and keeps answering
# keep-alive probes.
_SHORT_WAIT_S = 0.6
# Where peers report missed changes, watches wait longer, since each watch is
# one call however long it waits. This is shorter than the history that the
# service keeps (20 s on the users' sites); otherwise a quiet watch would end
# after its history was gone.
_LONG_WAIT_S = 10.0
# A short watch that has failed is retried with almost no wait: an empty answer
# also shows that nothing was missed. Waiting for a change again would add 0.6 s
# to the 1.4 s during which one lost answer leaves the list of workers out of
# date.
_PROBE_WAIT_S = 0.001
# Delay from the beginning of a failed attempt to the next one.
_RETRY_DELAY_S = 0.2
# If watches have been refused for this long, the prefix is read instead. A
# refused watch fails within `_REFUSAL_S`. One without an answer takes longer;
# where none is refused, a read would have no answer either.
_READ_AFTER_S = 1.0
_REFUSAL_S = 0.2
# A follower that may have missed changes has them all this long after the
# service answers again, if it answers within a fifth of a second.
MAX_CATCH_UP_S = 1.0


class PrefixFollower:
    """Follows the keys under a prefix and reports their changes."""

    def __init__(
        self,
        store: key_value.KeyValueStore,
        prefix: str,
        on_events: Callable[[tuple[records.Event, ...]], None],
        metrics: Metrics,
        on_contact: Callable[[], None] = lambda: None,
        answer_pause_s: float = 0.0,
        *,
        may_wait_long: bool = False,
    ) -> None:
        """Prepare; `run` follows the prefix.

        Args:
            store: The key-value service.
            prefix: The prefix of the keys.
            on_events: Called with events. A snapshot is reported as a change of
                each key in it and a removal of each key that is gone.
            metrics: Measures how long the service gave no answer.
            on_contact: Called whenever the service has answered.
            answer_pause_s: Pause after each answer with changes. If keys change
                all the time, changes then share calls.
            may_wait_long: Whether watches may wait long while no change is
                believed missed.
        """
        self.is_failing = False
        self._store = store
        self._prefix = prefix
        self._on_events = on_events
        self._metrics = metrics
        self._on_contact = on_contact
        self._answer_pause_s = answer_pause_s
        self._may_wait_long = may_wait_long
        self._may_have_missed = False
        self._watch_scope = trio.CancelScope()
        self._last_event_revision = 0
        self._known_keys: set[str] = set()
        self._revision = 0
        self._last_answer_at: float | None = None
        self._refused_since: float | None = None

    @property
    def last_event_revision(self) -> int:
        """Revision of the latest change that was received."""
        return self._last_event_revision

    def check_for_missed(self, peer_event_revision: int) -> None:
        """Watch again if a peer has received a change that we have not.

        A short watch in progress is not interrupted: heartbeats arrive several
        times a second, and each would end it before a slow service answers.
        """
        if self.is_failing or self._may_have_missed:
            return
        if self._revision and peer_event_revision > self._revision:
            log(
                "watch:behind-peer",
                prefix=self._prefix,
                revision=self._revision,
                peer_revision=peer_event_revision,
            )
            self._metrics.count_event("watch-behind-peer")
            self.restart_watch()

    def restart_watch(self) -> None:
        """Cancel a watch whose answer may be lost, and ask again at once.

        A long watch that has lost its answer would report no later change
        either.
        """
        if self.is_failing or self._may_have_missed:
            return
        self._may_have_missed = True
        self._watch_scope.cancel()

    async def load(self) -> None:
        """Read the snapshot; raises StoreUnavailableError."""
        snapshot = await self._store.read_prefix(self._prefix)
        self._note_answer()
        snapshot_keys = {record.key for record in snapshot.records}
        removals = tuple(
            records.Removed(key, snapshot.revision)
            for key in sorted(self._known_keys - snapshot_keys)
        )
        self._known_keys = snapshot_keys
        self._revision = snapshot.revision
        changes = tuple(map(records.Changed, snapshot.records))
        self._report_events(removals + changes)

    def _report_events(self, events: tuple[records.Event, ...]) -> None:
        revisions = (records.get_event_revision(event) for event in events)
        self._last_event_revision = max(
            self._last_event_revision, *revisions, 0
        )
        self._on_events(events)

    def _note_answer(self) -> None:
        """Record an answer; report how long there was none."""
        now = trio.current_time()
        if self.is_failing and self._last_answer_at is not None:
            behind_s = now - self._last_answer_at
            log(
                "watch:regained",
                prefix=self._prefix,
                behind_s=round(behind_s, 3),
            )
            self._metrics.record_outage(self._prefix, behind_s)
        self.is_failing = False
        self._last_answer_at = now
        self._on_contact()

    async def run(self) -> None:
        """Follow changes until cancelled."""
        with self._metrics.export_silence(self._prefix, self.measure_silence):
            await self._follow_forever()

    def measure_silence(self) -> float:
        """Return the seconds since the service last answered."""
        if self._last_answer_at is None:
            return 0.0
        return trio.current_time() - self._last_answer_at

    async def _follow_forever(self) -> None:
        while True:
            began_at = trio.current_time()
            try:
                if not self._revision or self._should_read(began_at):
                    # Without an answer the next attempt reads again.
                    await self.load()
                    self._refused_since = None
                await self._follow_once()
                self._refused_since = None
            except client.StoreUnavailableError as error:
                if not self.is_failing:
                    log("watch:lost", prefix=self._prefix, cause=str(error))
                self.is_failing = True
                self._note_failure(began_at, trio.current_time())
                await trio.sleep_until(began_at + _RETRY_DELAY_S)
            except key_value.HistoryGoneError:
                log("watch:history-gone", prefix=self._prefix)
                self._revision = 0

    def _note_failure(self, began_at: float, now: float) -> None:
        """Record whether a failed attempt was refused.

        An attempt without an answer, between refused ones, does not begin the
        wait for a read anew: what is followed is older then, not younger.
        """
        if now - began_at <= _REFUSAL_S and self._refused_since is None:
            self._refused_since = now

    def _should_read(self, now: float) -> bool:
        """Return whether watches have been refused for long.

        The service may refuse watches and serve other calls, such as the
        renewals that keep a pool with its owner.
        """
        since = self._refused_since
        return since is not None and now >= since + _READ_AFTER_S

    def _choose_wait(self) -> float:
        if not self._may_wait_long:
            return _PROBE_WAIT_S if self.is_failing else _SHORT_WAIT_S
        return (
            _SHORT_WAIT_S
            if self.is_failing or self._may_have_missed
            else _LONG_WAIT_S
        )

    async def _follow_once(self) -> None:
        with trio.CancelScope() as self._watch_scope:
            changes = await self._store.watch(
                self._prefix, self._revision, self._choose_wait()
            )
        if self._watch_scope.cancelled_caught:
            return
        self._may_have_missed = False
        self._note_answer()
        self._revision = max(self._revision, changes.revision)
        for event in changes.events:
            if isinstance(event, records.Removed):
                self._known_keys.discard(event.key)
            else:
                self._known_keys.add(event.record.key)
        if changes.events:
            self._report_events(changes.events)
            await trio.sleep(self._answer_pause_s)

"""Store wrapper that detects outages from the results of calls.

An answer can be lost while its connection stays open and still responds to
keep-alive probes, so an open watch could wait for an answer that never comes.
Other calls of the process fail within about a second of such an outage. The
first failure ends all open watches.
"""

from collections.abc import Callable
from collections.abc import Iterator
import contextlib

import trio

from crocusrouter.store import client
from crocusrouter.store import key_value
from crocusrouter.store import records

# A single lost answer is not an outage; failures for this long are.
_DOWN_AFTER_S = 0.25
# The answer to a watch arrives within this time after its waiting time ends,
# even if answers take 70 times as long as usual (0.28 s).
WATCH_GRACE_S = 0.4
# If the slowest recent answer took longer, the grace time of a watch is this
# many times as long; otherwise every watch would time out before its answer.
_GRACE_FACTOR = 2.0
_MAX_WATCH_GRACE_S = 2.0
# Calls that have waited this long without an answer show an outage, however
# slow the answers were before.
_USUAL_TIMEOUT_S = 1.0
# Factor by which the slowest answer time decays with each further answer.
_SLOWEST_ANSWER_DECAY = 0.8


class ObservedStore:
    """Forwards calls and records their results; implements `KeyValueStore`.

    Watches, lease renewals and reads continue during an outage, so its end is
    noticed without sending the writes of callers.
    """

    def __init__(
        self, store: key_value.KeyValueStore, read_clock: Callable[[], float]
    ) -> None:
        """Wrap a store.

        Args:
            store: The store to which calls are forwarded.
            read_clock: Returns seconds on a monotonic clock that continues
                while the process is suspended.
        """
        self._store = store
        self._read_clock = read_clock
        self._failing_since: float | None = None
        self._slowest_answer_s = 0.0
        self._watch_scopes: set[trio.CancelScope] = set()
        self._served = trio.Event()

    def is_failing(self) -> bool:
        """Tell whether the latest completed call failed."""
        return self._failing_since is not None

    def is_down(self) -> bool:
        """Tell whether calls have failed for long enough to be an outage."""
        since = self._failing_since
        if since is None:
            return False
        return self._read_clock() >= since + _DOWN_AFTER_S

    def measure_outage(self) -> float:
        """Return the seconds since calls started to fail; 0 if they succeed."""
        since = self._failing_since
        return 0.0 if since is None else self._read_clock() - since

    async def wait_until_served(self) -> None:
        """Wait until a call succeeds, unless the latest one has."""
        if self.is_failing():
            await self._served.wait()

    def end_watches(self) -> None:
        """End all open watches, since their answers may have been lost."""
        for scope in list(self._watch_scopes):
            scope.cancel()

    def get_watch_grace(self) -> float:
        """Return how many seconds after its waiting time a watch times out."""
        grace_s = _GRACE_FACTOR * self._slowest_answer_s
        return min(_MAX_WATCH_GRACE_S, max(WATCH_GRACE_S, grace_s))

    def _record_result(self, served: bool) -> None:
        if served:
            self._failing_since = None
            self._served.set()
            self._served = trio.Event()
        elif self._failing_since is None:
            self._failing_since = self._read_clock()
            self.end_watches()

    def _record_answer_time(self, started_at: float) -> None:
        elapsed_s = self._read_clock() - started_at
        self._slowest_answer_s = max(
            elapsed_s, _SLOWEST_ANSWER_DECAY * self._slowest_answer_s
        )

    def _may_be_late(self, timeout_s: float) -> bool:
        """Tell whether a call may have had no answer because it is slow.

        Such a call shows no outage. If each one ended the open watches, a slow
        store would answer few of them.
        """
        usual_s = min(_USUAL_TIMEOUT_S, _GRACE_FACTOR * self._slowest_answer_s)
        return timeout_s < usual_s

    @contextlib.contextmanager
    def _observe_call(self, *, is_paged: bool = False) -> Iterator[None]:
        """Record the result of the call in the body.

        Args:
            is_paged: Whether the call reads several pages. Its time is then
                not the time of one answer and isn't recorded.
        """
        started_at = self._read_clock()
        try:
            yield
        except client.StoreUnavailableError:
            self._record_result(served=False)
            raise
        self._record_result(served=True)
        if not is_paged:
            self._record_answer_time(started_at)

    async def read(self, key: str) -> records.Record | None:
        """See `key_value.KeyValueStore`."""
        with self._observe_call():
            return await self._store.read(key)

    async def read_prefix(self, prefix: str) -> records.Snapshot:
        """See `key_value.KeyValueStore`."""
        with self._observe_call(is_paged=True):
            return await self._store.read_prefix(prefix)

    async def write(
        self,
        guards: tuple[key_value.Guard, ...],
        writes: tuple[key_value.Write, ...],
        removals: tuple[str, ...] = (),
        *,
        timeout_s: float = 1.0,
    ) -> key_value.WriteOutcome:
        """See `key_value.KeyValueStore`."""
        started_at = self._read_clock()
        outcome = await self._store.write(
            guards, writes, removals, timeout_s=timeout_s
        )
        if isinstance(outcome, key_value.MaybeWritten) and self._may_be_late(
            timeout_s
        ):
            return outcome
        failed = isinstance(
            outcome, key_value.NotWritten | key_value.MaybeWritten
        )
        self._record_result(served=not failed)
        if not failed:
            self._record_answer_time(started_at)
        return outcome

    async def watch(
        self, prefix: str, revision: int, wait_s: float
    ) -> key_value.Changes:
        """See `key_value.KeyValueStore`.

        The time limit starts with this call and includes connecting.

        Raises:
            HistoryGoneError: The changes are gone; read the prefix again.
            StoreUnavailableError: No answer in time, or it may be lost.
        """
        limit_s = wait_s + self.get_watch_grace()
        started_at = self._read_clock()
        with trio.move_on_after(limit_s) as scope:
            self._watch_scopes.add(scope)
            try:
                changes = await self._store.watch(prefix, revision, wait_s)
            except client.StoreUnavailableError:
                self._record_result(served=False)
                raise
            finally:
                self._watch_scopes.discard(scope)
        if scope.cancelled_caught:
            if trio.current_time() < scope.deadline:
                raise client.StoreUnavailableError(
                    "the watch was ended because another call failed"
                )
            self._record_result(served=False)
            raise client.StoreUnavailableError(
                f"no answer to a watch within {limit_s:.2f} s"
            )
        if self._read_clock() - started_at > limit_s:
            # The process was suspended, and the answer is from before that.
            # The clock of the time limit stopped meanwhile; this clock didn't.
            raise client.StoreUnavailableError(
                "the answer is from before a pause of the process"
            )
        self._record_result(served=True)
        return changes

    async def grant_lease(self, ttl_s: float) -> int:
        """See `key_value.KeyValueStore`."""
        with self._observe_call():
            return await self._store.grant_lease(ttl_s)

    async def renew_lease(self, lease: int) -> bool:
        """See `key_value.KeyValueStore`."""
        with self._observe_call():
            return await self._store.renew_lease(lease)

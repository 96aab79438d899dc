"""A store that remembers whether it answered last, and how fast.

An answer can get lost while its connection stays open and goes on answering
keep-alive probes, so a watch that was open then waits for nothing. Other calls
of the process show such an outage within a second or so; it ends all watches.
"""

from collections.abc import Callable
from collections.abc import Iterator
import contextlib

import trio

from crocusrouter.store import client
from crocusrouter.store import port
from crocusrouter.store import records

# One lost answer is no outage; calls that fail for this long are.
_DOWN_AFTER_S = 0.25
# An answered watch is back this long after its waiting time; with answers
# 70 times slower than usual (0.28 s) it still is.
WATCH_GRACE_S = 0.4
# Where answers are seen to take longer, watches are given as many times that,
# or none of them would ever be heard.
_GRACE_FACTOR = 2.0
_LONGEST_GRACE_S = 2.0
# Share of the slowest answer that is remembered at each further answer.
_FADING = 0.8


class ObservedStore:
    """Passes calls on and notes how they end; implements `KeyValueStore`.

    Watches, renewals and reads go on while the store is away, so its return
    is noticed without trying the writes of callers.
    """

    def __init__(
        self, store: port.KeyValueStore, read_clock: Callable[[], float]
    ) -> None:
        """Wrap a store.

        Args:
            store: Where calls go.
            read_clock: Returns steady seconds.
        """
        self._store = store
        self._read_clock = read_clock
        self._failing_since: float | None = None
        self._slowest_s = 0.0
        self._watching: set[trio.CancelScope] = set()

    def is_failing(self) -> bool:
        """Tell whether the last call that ended has failed."""
        return self._failing_since is not None

    def is_down(self) -> bool:
        """Tell whether the store has failed for a while and not served."""
        since = self._failing_since
        if since is None:
            return False
        return self._read_clock() >= since + _DOWN_AFTER_S

    def measure_outage(self) -> float:
        """Return for how many seconds no call has been served."""
        since = self._failing_since
        return 0.0 if since is None else self._read_clock() - since

    def end_watches(self) -> None:
        """End all open watches: their answers may have been lost."""
        for scope in list(self._watching):
            scope.cancel()

    def find_watch_grace(self) -> float:
        """Return the seconds that a watch's answer may take on its way."""
        wanted = _GRACE_FACTOR * self._slowest_s
        return min(_LONGEST_GRACE_S, max(WATCH_GRACE_S, wanted))

    def _note(self, served: bool) -> None:
        if served:
            self._failing_since = None
        elif self._failing_since is None:
            self._failing_since = self._read_clock()
            self.end_watches()

    def _note_answer(self, began: float) -> None:
        took = self._read_clock() - began
        self._slowest_s = max(took, _FADING * self._slowest_s)

    @contextlib.contextmanager
    def _noting(self, *, paged: bool = False) -> Iterator[None]:
        """Note how the call in the body ends.

        Args:
            paged: Whether it is several calls; its time tells nothing then.
        """
        began = self._read_clock()
        try:
            yield
        except client.StoreUnavailableError:
            self._note(served=False)
            raise
        self._note(served=True)
        if not paged:
            self._note_answer(began)

    async def read(self, key: str) -> records.Record | None:
        """See `port.KeyValueStore`."""
        with self._noting():
            return await self._store.read(key)

    async def read_prefix(self, prefix: str) -> records.Snapshot:
        """See `port.KeyValueStore`."""
        with self._noting(paged=True):
            return await self._store.read_prefix(prefix)

    async def write(
        self,
        guards: tuple[port.Guard, ...],
        writes: tuple[port.Write, ...],
        removals: tuple[str, ...] = (),
        *,
        timeout_s: float = 1.0,
    ) -> port.WriteOutcome:
        """See `port.KeyValueStore`."""
        began = self._read_clock()
        outcome = await self._store.write(
            guards, writes, removals, timeout_s=timeout_s
        )
        failed = isinstance(outcome, port.NotWritten | port.MaybeWritten)
        self._note(served=not failed)
        if not failed:
            self._note_answer(began)
        return outcome

    async def watch(
        self, prefix: str, revision: int, wait_s: float
    ) -> port.Changes:
        """See `port.KeyValueStore`.

        The time for an answer counts from here and includes connecting.

        Raises:
            HistoryGoneError: Read the prefix again.
            StoreUnavailableError: No answer in time, or it may be lost.
        """
        limit_s = wait_s + self.find_watch_grace()
        began = self._read_clock()
        with trio.move_on_after(limit_s) as scope:
            self._watching.add(scope)
            try:
                changes = await self._store.watch(prefix, revision, wait_s)
            except client.StoreUnavailableError:
                self._note(served=False)
                raise
            finally:
                self._watching.discard(scope)
        if scope.cancelled_caught:
            if trio.current_time() < scope.deadline:
                raise client.StoreUnavailableError("ended by an outage")
            self._note(served=False)
            raise client.StoreUnavailableError(
                f"no answer to a watch within {limit_s:.2f} s"
            )
        if self._read_clock() - began > limit_s:
            # The process was suspended, and the answer is as old as that. The
            # clock of the time limit stood still meanwhile, this one did not.
            raise client.StoreUnavailableError("an answer from before a pause")
        self._note(served=True)
        return changes

    async def grant(self, ttl_s: float) -> int:
        """See `port.KeyValueStore`."""
        with self._noting():
            return await self._store.grant(ttl_s)

    async def keep(self, lease: int) -> bool:
        """See `port.KeyValueStore`."""
        with self._noting():
            return await self._store.keep(lease)

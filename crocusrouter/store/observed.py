"""A store that remembers whether it answered last."""

from collections.abc import Callable

from crocusrouter.store import client
from crocusrouter.store import port
from crocusrouter.store import records

# One lost answer is no outage; calls that fail for this long are.
_DOWN_AFTER_S = 0.25


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

    def _note(self, served: bool) -> None:
        if served:
            self._failing_since = None
        elif self._failing_since is None:
            self._failing_since = self._read_clock()

    async def read(self, key: str) -> records.Record | None:
        """See `port.KeyValueStore`."""
        try:
            found = await self._store.read(key)
        except client.StoreUnavailableError:
            self._note(served=False)
            raise
        self._note(served=True)
        return found

    async def read_prefix(self, prefix: str) -> records.Snapshot:
        """See `port.KeyValueStore`."""
        try:
            snapshot = await self._store.read_prefix(prefix)
        except client.StoreUnavailableError:
            self._note(served=False)
            raise
        self._note(served=True)
        return snapshot

    async def write(
        self,
        guards: tuple[port.Guard, ...],
        writes: tuple[port.Write, ...],
        removals: tuple[str, ...] = (),
        *,
        timeout_s: float = 1.0,
    ) -> port.WriteOutcome:
        """See `port.KeyValueStore`."""
        outcome = await self._store.write(
            guards, writes, removals, timeout_s=timeout_s
        )
        failed = isinstance(outcome, port.NotWritten | port.MaybeWritten)
        self._note(served=not failed)
        return outcome

    async def watch(
        self, prefix: str, revision: int, wait_s: float
    ) -> port.Changes:
        """See `port.KeyValueStore`."""
        try:
            changes = await self._store.watch(prefix, revision, wait_s)
        except client.StoreUnavailableError:
            self._note(served=False)
            raise
        self._note(served=True)
        return changes

    async def grant(self, ttl_s: float) -> int:
        """See `port.KeyValueStore`."""
        try:
            lease = await self._store.grant(ttl_s)
        except client.StoreUnavailableError:
            self._note(served=False)
            raise
        self._note(served=True)
        return lease

    async def keep(self, lease: int) -> bool:
        """See `port.KeyValueStore`."""
        try:
            kept = await self._store.keep(lease)
        except client.StoreUnavailableError:
            self._note(served=False)
            raise
        self._note(served=True)
        return kept

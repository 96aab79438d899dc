"""The store by way of a peer, for an entry that it turns away.

The store may refuse some entries and serve the others. Callers of such an
entry would hear nothing but "come back" for seconds, although a peer beside
it can store their job in a few milliseconds.
"""

from crocusrouter.mesh import messages
from crocusrouter.pools import peers as peer_links
from crocusrouter.store import client
from crocusrouter.store import key_value
from crocusrouter.store import observed_store
from crocusrouter.store import records
from crocusrouter.telemetry import log

# Callers wait 3 s: one try of our own, two of peers.
_STORE_TIMEOUT_S = 0.6
_MAX_HELPERS = 2


class RelayedStore:
    """Reads and writes single keys by the first path that serves."""

    def __init__(
        self,
        store: observed_store.ObservedStore,
        peers: peer_links.Peers,
    ) -> None:
        self._store = store
        self._peers = peers

    async def read(self, key: str) -> records.Record | None:
        """Return a key's record, or None if there is none.

        Raises:
            StoreUnavailableError: No path serves.
        """
        if not self._store.is_down():
            try:
                return await self._store.read(key)
            except client.StoreUnavailableError as error:
                log("relay:read", key=key, cause=str(error))
        return await self.read_by_peers(key)

    async def read_by_peers(self, key: str) -> records.Record | None:
        """Return a key's record as a peer reads it now.

        Raises:
            StoreUnavailableError: No peer is served.
        """
        for helper in self._peers.choose_helpers()[:_MAX_HELPERS]:
            reply = await self._peers.call(helper, messages.RelayRead(key))
            if isinstance(reply, messages.RelayRecord) and reply.known:
                if reply.revision == 0:
                    return None
                return records.Record(key, reply.value, reply.revision)
        raise client.StoreUnavailableError("no path to the store")

    async def write(
        self, guard: key_value.Guard, write: key_value.Write
    ) -> key_value.WriteOutcome:
        """Write one guarded key.

        Returns:
            NotWritten only if every try was certainly without effect.
        """
        outcome = await self._write_here(guard, write)
        if not _has_failed(outcome):
            return outcome
        for helper in self._peers.choose_helpers()[:_MAX_HELPERS]:
            helped = await self._ask(helper, guard, write)
            if not _has_failed(helped):
                return helped
            outcome = _join(outcome, helped)
        return outcome

    async def _write_here(
        self, guard: key_value.Guard, write: key_value.Write
    ) -> key_value.WriteOutcome:
        """Write by our own path, unless it is known to be down.

        A write that breaks off may be carried out later, so its caller can
        only be told that nobody knows. One that is not tried certainly has
        no effect: the caller hears at once when to come back.
        """
        if self._store.is_down():
            return key_value.NotWritten("known to be down; not tried")
        return await self._store.write(
            (guard,), (write,), timeout_s=_STORE_TIMEOUT_S
        )

    async def _ask(
        self, helper: str, guard: key_value.Guard, write: key_value.Write
    ) -> key_value.WriteOutcome:
        request = messages.RelayWrite(guard.key, guard.revision, write.value)
        reply = await self._peers.call(helper, request)
        if not isinstance(reply, messages.RelayOutcome):
            return key_value.MaybeWritten("a peer gave no answer")
        return _read_outcome(guard.key, reply)

    # For peers.

    async def answer_read(
        self, request: messages.RelayRead
    ) -> messages.RelayRecord:
        """Read for a peer, by our own path only."""
        if self._store.is_down():
            return messages.RelayRecord(known=False)
        try:
            found = await self._store.read(request.key)
        except client.StoreUnavailableError:
            return messages.RelayRecord(known=False)
        if found is None:
            return messages.RelayRecord(known=True)
        return messages.RelayRecord(True, found.value, found.revision)

    async def answer_write(
        self, request: messages.RelayWrite
    ) -> messages.RelayOutcome:
        """Write for a peer, by our own path only."""
        outcome = await self._write_here(
            key_value.Guard(request.key, request.revision),
            key_value.Write(request.key, request.value),
        )
        match outcome:
            case key_value.Written(revision):
                return messages.RelayOutcome("written", revision)
            case key_value.Mismatched(current):
                found = current.get(request.key)
                if found is None:
                    return messages.RelayOutcome("mismatched")
                return messages.RelayOutcome(
                    "mismatched", found.revision, found.value
                )
            case key_value.NotWritten():
                return messages.RelayOutcome("not-written")
        return messages.RelayOutcome("unknown")


def _read_outcome(
    key: str, reply: messages.RelayOutcome
) -> key_value.WriteOutcome:
    match reply.outcome:
        case "written":
            return key_value.Written(reply.revision)
        case "mismatched":
            found = records.Record(key, reply.value, reply.revision)
            return key_value.Mismatched({key: found} if reply.revision else {})
        case "not-written":
            return key_value.NotWritten("a peer was refused too")
    return key_value.MaybeWritten("a peer's write was not answered")


def _has_failed(outcome: key_value.WriteOutcome) -> bool:
    return isinstance(outcome, key_value.NotWritten | key_value.MaybeWritten)


def _join(
    first: key_value.WriteOutcome, second: key_value.WriteOutcome
) -> key_value.WriteOutcome:
    """Return the less certain of two failures."""
    return first if isinstance(first, key_value.MaybeWritten) else second

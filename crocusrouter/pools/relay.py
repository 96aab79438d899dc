"""Accesses the store through a peer when it does not serve this entry.

The store may refuse some entries and serve others. Without a relay, callers of
a refused entry would only be told to come back for seconds, although a peer can
store their job within milliseconds.
"""

import dataclasses

import trio

from crocusrouter.mesh import messages
from crocusrouter.pools import clocks
from crocusrouter.pools import peers as peer_links
from crocusrouter.pools import shared_lease
from crocusrouter.store import client
from crocusrouter.store import key_value
from crocusrouter.store import observed_store
from crocusrouter.store import records
from crocusrouter.telemetry import log

# Callers wait 3 s, which allows one direct try and two through peers.
_STORE_TIMEOUT_S = 0.6
_MAX_PEER_TRIES = 2
# While calls wait for the store it is asked this often; watches whose answers
# are lost take up to a second to notice that it serves again.
_PROBE_INTERVAL_S = 0.25


class RelayedStore:
    """Reads and writes single keys over the first path that works."""

    def __init__(
        self,
        store: observed_store.ObservedStore,
        peers: peer_links.Peers,
        clock: clocks.Clock,
    ) -> None:
        self._store = store
        self._peers = peers
        self._clock = clock
        self._shared_lease = shared_lease.SharedLease(store)
        self._is_probing = False

    async def wait_until_served(self, probe_key: str) -> None:
        """Wait until the store serves this entry.

        Waiting calls share one probe at a time.

        Args:
            probe_key: A key that is read to find out.
        """
        while self._store.is_failing():
            with trio.move_on_after(_PROBE_INTERVAL_S):
                if self._is_probing:
                    await self._store.wait_until_served()
                else:
                    await self._probe(probe_key)

    async def _probe(self, key: str) -> None:
        """Read a key; wait for the rest of the interval if that fails."""
        self._is_probing = True
        try:
            await self._store.read(key)
        except client.StoreUnavailableError:
            await trio.sleep_forever()
        finally:
            self._is_probing = False

    async def read(self, key: str) -> records.Record | None:
        """Return a key's record, or None if there is none.

        Raises:
            StoreUnavailableError: Neither the store nor a peer answers.
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
            StoreUnavailableError: The store serves none of the asked peers.
        """
        for peer in self._peers.choose_helpers()[:_MAX_PEER_TRIES]:
            reply = await self._peers.call(peer, messages.RelayRead(key))
            if isinstance(reply, messages.RelayRecord) and reply.store_answered:
                if reply.revision == 0:
                    return None
                return records.Record(key, reply.value, reply.revision)
        raise client.StoreUnavailableError(
            "neither the store nor a peer answers"
        )

    async def write(
        self,
        guard: key_value.Guard,
        write: key_value.Write,
        *,
        is_short_lived: bool = False,
    ) -> key_value.WriteOutcome:
        """Write one guarded key.

        Args:
            guard: Condition of the write.
            write: The key to write, without a lease.
            is_short_lived: Whether the store removes the key after a while,
                but not before `shared_lease.MIN_LIFETIME_S`.

        Returns:
            NotWritten only if every try certainly had no effect.
        """
        make_request = (
            messages.RelayShortLivedWrite
            if is_short_lived
            else messages.RelayWrite
        )
        request = make_request(guard.key, guard.revision, write.value)
        outcome = await self._write_directly(guard, write, is_short_lived)
        if not _has_failed(outcome):
            return outcome
        for peer in self._peers.choose_helpers()[:_MAX_PEER_TRIES]:
            peer_outcome = await self._write_by_peer(peer, request)
            if not _has_failed(peer_outcome):
                return peer_outcome
            outcome = _choose_less_certain(outcome, peer_outcome)
        return outcome

    async def _write_directly(
        self,
        guard: key_value.Guard,
        write: key_value.Write,
        is_short_lived: bool,
    ) -> key_value.WriteOutcome:
        """Write directly, unless the store is known to be unavailable.

        A write that is interrupted may be carried out later, so its caller can
        only be told that the outcome is unknown. A write that is not tried
        certainly has no effect, and its caller is told at once when to come
        back.
        """
        if self._store.is_down():
            return key_value.NotWritten(
                "the store is known to be unavailable; not tried"
            )
        if is_short_lived:
            try:
                lease = await self._shared_lease.obtain(self._clock.steady())
            except client.StoreUnavailableError as error:
                return key_value.NotWritten(f"no lease: {error}")
            write = dataclasses.replace(write, lease=lease)
        outcome = await self._store.write(
            (guard,), (write,), timeout_s=_STORE_TIMEOUT_S
        )
        if isinstance(outcome, key_value.LeaseEnded):
            self._shared_lease.discard(write.lease)
            return key_value.NotWritten("the lease has ended")
        return outcome

    async def _write_by_peer(
        self,
        peer: str,
        request: messages.RelayWrite | messages.RelayShortLivedWrite,
    ) -> key_value.WriteOutcome:
        reply = await self._peers.call(peer, request)
        if not isinstance(reply, messages.RelayOutcome):
            return key_value.MaybeWritten("the peer gave no answer")
        return _parse_outcome(request.key, reply)

    # Requests of peers.

    async def answer_read(
        self, request: messages.RelayRead
    ) -> messages.RelayRecord:
        """Read for a peer, directly only."""
        if self._store.is_down():
            return messages.RelayRecord(store_answered=False)
        try:
            record = await self._store.read(request.key)
        except client.StoreUnavailableError:
            return messages.RelayRecord(store_answered=False)
        if record is None:
            return messages.RelayRecord(store_answered=True)
        return messages.RelayRecord(True, record.value, record.revision)

    async def answer_write(
        self, request: messages.RelayWrite | messages.RelayShortLivedWrite
    ) -> messages.RelayOutcome:
        """Write for a peer, directly only."""
        outcome = await self._write_directly(
            key_value.Guard(request.key, request.expected_revision),
            key_value.Write(request.key, request.value),
            isinstance(request, messages.RelayShortLivedWrite),
        )
        match outcome:
            case key_value.Written(revision):
                return messages.RelayOutcome("written", revision)
            case key_value.Mismatched(current_records):
                current_record = current_records.get(request.key)
                if current_record is None:
                    return messages.RelayOutcome("mismatched")
                return messages.RelayOutcome(
                    "mismatched", current_record.revision, current_record.value
                )
            case key_value.NotWritten():
                return messages.RelayOutcome("not-written")
        return messages.RelayOutcome("unknown")


def _parse_outcome(
    key: str, reply: messages.RelayOutcome
) -> key_value.WriteOutcome:
    match reply.outcome:
        case "written":
            return key_value.Written(reply.revision)
        case "mismatched":
            current_record = records.Record(key, reply.value, reply.revision)
            return key_value.Mismatched(
                {key: current_record} if reply.revision else {}
            )
        case "not-written":
            return key_value.NotWritten("the store refused the peer too")
    return key_value.MaybeWritten("the peer's write was not answered")


def _has_failed(outcome: key_value.WriteOutcome) -> bool:
    return isinstance(outcome, key_value.NotWritten | key_value.MaybeWritten)


def _choose_less_certain(
    first: key_value.WriteOutcome, second: key_value.WriteOutcome
) -> key_value.WriteOutcome:
    """Return the less certain of two failed outcomes."""
    return first if isinstance(first, key_value.MaybeWritten) else second

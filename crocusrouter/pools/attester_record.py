"""Persists which members attest to an owner, for the owner's successors.

A successor that the owner does not ask must wait for longer before it counts
the leases of workers as ended (`predecessors`), so it has to know whom its
predecessors ask. An owner asks every member that the stored record may name,
and relies on its owner lease alone while no record certainly exists.
"""

from collections.abc import Mapping

import cbor2
import trio

from crocusrouter.mesh import messages
from crocusrouter.pools import clocks
from crocusrouter.pools import journal
from crocusrouter.pools import keys
from crocusrouter.pools import owner_leases
from crocusrouter.pools import peers as peer_links
from crocusrouter.pools import predecessors as earlier_owners
from crocusrouter.store import client
from crocusrouter.store import key_value
from crocusrouter.store import records
from crocusrouter.telemetry import Metrics
from crocusrouter.telemetry import log

_WRITE_INTERVAL_S = 0.25
_WRITE_TIMEOUT_S = 0.6
_LOAD_RETRY_S = 0.2
_ASK_INTERVAL_S = 0.5

_Attesters = frozenset[earlier_owners.Attester]


class AttesterRecord:
    """Maintains the record of one pool while this entry owns it."""

    def __init__(
        self,
        store: key_value.KeyValueStore,
        owner_lease: owner_leases.OwnerLease,
        own: earlier_owners.Attester,
        peers: peer_links.Peers,
        clock: clocks.Clock,
        metrics: Metrics,
    ) -> None:
        """Prepare; `run` loads the record of earlier owners and replaces it.

        Args:
            store: The key-value service.
            owner_lease: This owner's lease; guards each write.
            own: This entry.
            peers: The other members, also former ones that may still run.
            clock: Source of the current time.
            metrics: Counts events.
        """
        self._store = store
        self._owner_lease = owner_lease
        self._own = own
        self._peers = peers
        self._clock = clock
        self._metrics = metrics
        self._predecessors = earlier_owners.Predecessors(
            own, owner_lease.epoch, clock.steady()
        )
        self._key = keys.ATTESTERS + owner_lease.pool
        self._revision = 0
        # The stored value; None while a write is unanswered.
        self._stored_value: bytes | None = b""
        # The members that each version of the record names which may be stored.
        self._maybe_recorded: set[_Attesters] = {frozenset()}

    def list_attesters(self) -> set[str]:
        """Return the names of the members that must attest to this owner.

        There are none if a version of the record that may be stored names none,
        or one that is no longer asked at its recorded address.
        """
        addresses = self._peers.list_addresses()
        if not all(
            recorded and _have_addresses(recorded, addresses)
            for recorded in self._maybe_recorded
        ):
            return set()
        return {
            attester.name
            for recorded in self._maybe_recorded
            for attester in recorded
        }

    def have_predecessors_ended(self, now: float) -> bool:
        """Return whether all leases of earlier owners have ended.

        Leases on workers that have answered this owner aren't considered.

        Args:
            now: Steady time in seconds.
        """
        return self._predecessors.have_ended(now)

    async def run(self) -> None:
        """Keep the record current until cancelled; raises DeposedError."""
        await self._load()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._ask_members)
            while True:
                asked = self._list_asked()
                value = self._dump(asked)
                if value != self._stored_value:
                    await self._write(value, asked)
                await trio.sleep(_WRITE_INTERVAL_S)

    async def _load(self) -> None:
        """Read what earlier owners have recorded."""
        while True:
            try:
                record = await self._store.read(self._key)
                break
            except client.StoreUnavailableError as error:
                log("attesters:load-failed", key=self._key, cause=str(error))
                await trio.sleep(_LOAD_RETRY_S)
        if record is None:
            self._predecessors.set_recorded(())
            return
        self._revision = record.revision
        self._stored_value = record.value
        self._predecessors.set_recorded(_parse_record(record))
        unasked = self._predecessors.list_askable(self._clock.steady())
        if unasked:
            self._metrics.count_event("predecessor-unaware")
            log(
                "predecessor:unaware",
                pool=self._owner_lease.pool,
                epoch=self._owner_lease.epoch,
                attesters=sorted(unasked),
            )

    # Asking the attesters of earlier owners.

    async def _ask_members(self) -> None:
        """Ask for confirmations until no earlier owner can renew leases."""
        async with trio.open_nursery() as nursery:
            while not self._predecessors.have_ended(self._clock.steady()):
                askable = self._predecessors.list_askable(self._clock.steady())
                for name in askable & self._peers.list_addresses().keys():
                    nursery.start_soon(self._ask_member, name)
                await trio.sleep(_ASK_INTERVAL_S)

    async def _ask_member(self, name: str) -> None:
        asked_at = self._clock.steady()
        question = messages.ConfirmOwner(
            self._owner_lease.pool, self._owner_lease.epoch, self._own.name
        )
        reply = await self._peers.call(name, question)
        if isinstance(reply, messages.OwnerConfirmed):
            self._predecessors.note_confirmed(
                name, reply, asked_at, self._clock.steady()
            )

    # Writing.

    def _list_asked(self) -> _Attesters:
        """Return the members that this owner can ask."""
        return frozenset(
            earlier_owners.Attester(name, address)
            for name, address in self._peers.list_addresses().items()
        )

    def _dump(self, asked: _Attesters) -> bytes:
        """Encode this owner, and earlier ones that may still renew leases."""
        rows = list(self._predecessors.list_unsettled(self._clock.steady()))
        if asked:
            rows.append(
                earlier_owners.Predecessor(
                    self._owner_lease.epoch, asked | {self._own}
                )
            )
        return _dump_rows(rows)

    async def _write(self, value: bytes, asked: _Attesters) -> None:
        """Replace the record; raises DeposedError.

        Args:
            value: The encoded record.
            asked: The members that it names as asked by this owner.
        """
        previous_value = self._stored_value
        previous_recorded = set(self._maybe_recorded)
        # An unanswered write may still be carried out, until a later version of
        # the record makes its guard fail.
        self._stored_value = None
        self._maybe_recorded.add(asked)
        outcome = await self._store.write(
            (
                self._owner_lease.guard,
                key_value.Guard(self._key, self._revision),
            ),
            (key_value.Write(self._key, value),),
            timeout_s=_WRITE_TIMEOUT_S,
        )
        match outcome:
            case key_value.Written(revision):
                self._revision = revision
                self._stored_value = value
                self._maybe_recorded = {asked}
                return
            case key_value.Mismatched(current_records):
                self._note_mismatch(current_records)
            case key_value.NotWritten():
                self._stored_value = previous_value
                self._maybe_recorded = previous_recorded
        log("attesters:not-written", outcome=type(outcome).__name__)

    def _note_mismatch(
        self, current_records: Mapping[str, records.Record]
    ) -> None:
        """Note an earlier write that was carried out; raises DeposedError."""
        owner_record = current_records.get(self._owner_lease.key)
        if (
            owner_record is None
            or owner_record.revision != self._owner_lease.epoch
        ):
            raise journal.DeposedError(f"{self._owner_lease.key} changed")
        record = current_records.get(self._key)
        self._revision = record.revision if record else 0
        # Any of the versions that were sent; the next write tells.
        self._stored_value = None


def _have_addresses(
    attesters: _Attesters, addresses: Mapping[str, str]
) -> bool:
    """Tell whether all members are asked at their recorded addresses."""
    return all(
        addresses.get(attester.name) == attester.address
        for attester in attesters
    )


def _dump_rows(rows: list[earlier_owners.Predecessor]) -> bytes:
    """Encode owners for the store.

    >>> attester = earlier_owners.Attester("e1", "10.0.0.1:7")
    >>> row = earlier_owners.Predecessor(3, frozenset({attester}))
    >>> _parse_rows(_dump_rows([row])) == [row]
    True
    """
    return cbor2.dumps(
        [
            [
                row.epoch,
                sorted([item.name, item.address] for item in row.attesters),
            ]
            for row in rows
        ]
    )


def _parse_rows(value: bytes) -> list[earlier_owners.Predecessor]:
    """Decode the output of `_dump_rows`; raises ValueError and TypeError."""
    return [
        earlier_owners.Predecessor(
            int(epoch),
            frozenset(
                earlier_owners.Attester(str(name), str(address))
                for name, address in attesters
            ),
        )
        for epoch, attesters in cbor2.loads(value)
    ]


def _parse_record(record: records.Record) -> list[earlier_owners.Predecessor]:
    """Decode a record; an unreadable one names an owner that nobody knows.

    If an owner failed here, each of its successors would fail too.
    """
    try:
        return _parse_rows(record.value)
    except (
        cbor2.CBORDecodeError,
        OverflowError,
        RecursionError,
        TypeError,
        ValueError,
    ) as error:
        log("attesters:unreadable", key=record.key, error=str(error))
        return [earlier_owners.UNKNOWN]

"""Ownership of one pool: a leased key in the store and its epoch.

The epoch is the revision at which the key was created. It rises with every
owner without a separate counter, fences workers, and guards each journal write:
a write requires the key at this revision, so a late write of an earlier owner
fails.
"""

import dataclasses
import os

import trio

from crocusrouter.pools import clocks
from crocusrouter.pools import keys
from crocusrouter.store import client
from crocusrouter.store import key_value
from crocusrouter.telemetry import log

# Time to live of an owner's lease. Takeover after a kill takes about this long.
# Even a store that answers 50 times slower than its usual 4 ms leaves time for
# two renewals.
TTL_S = 1.8
_RENEWAL_INTERVAL_S = 0.5
_RETRY_DELAY_S = 0.1
_PROCESS_ID_BYTES = 4


@dataclasses.dataclass(frozen=True)
class Holder:
    """The process that an owner key names.

    Attributes:
        name: The entry.
        address: "IP:port" of its mesh listener.
        process: Random id of the process; empty if unknown.
        store_lease: The lease under which the key was written; 0 if unknown.
    """

    name: str
    address: str = ""
    process: str = ""
    store_lease: int = dataclasses.field(default=0, compare=False)

    def is_predecessor_of(self, current: "Holder") -> bool:
        """Return whether this is an earlier process that has certainly ended.

        Two processes can't listen on one address. While our process does, an
        earlier one under the same name and address does not run.

        >>> Holder("e1", "10.0.0.1:7", "a1").is_predecessor_of(
        ...     Holder("e1", "10.0.0.1:7", "b2")
        ... )
        True
        """
        has_same_address = (self.name, self.address) == (
            current.name,
            current.address,
        )
        return (
            has_same_address
            and bool(self.process)
            and self.process != current.process
        )


def make_holder(name: str, address: str) -> Holder:
    """Return the holder that this process writes into owner keys."""
    return Holder(name, address, os.urandom(_PROCESS_ID_BYTES).hex())


def dump_holder(holder: Holder) -> bytes:
    """Encode a holder for the store.

    >>> dump_holder(Holder("e1", "10.0.0.1:7", "a1"))
    b'e1 10.0.0.1:7 a1'
    >>> dump_holder(Holder("e1", "10.0.0.1:7", "a1", 17))
    b'e1 10.0.0.1:7 a1 17'
    """
    lease = f" {holder.store_lease}" if holder.store_lease else ""
    return f"{holder.name} {holder.address} {holder.process}{lease}".encode()


def parse_holder(data: bytes) -> Holder:
    """Decode the output of `dump_holder`; a name alone is valid too."""
    name, _, rest = data.decode(errors="replace").partition(" ")
    address, _, rest = rest.partition(" ")
    process, _, lease = rest.partition(" ")
    return Holder(
        name, address, process, int(lease) if lease.isdecimal() else 0
    )


class OwnerLease:
    """One entry's ownership of one pool while its lease lasts."""

    def __init__(
        self,
        store: key_value.KeyValueStore,
        pool: str,
        holder: Holder,
        clock: clocks.Clock,
    ) -> None:
        self.pool = pool
        self.key = keys.build_owner_key(pool)
        self.epoch = 0
        self._store = store
        self._holder = holder
        self._clock = clock
        self._store_lease = 0
        self._valid_until = 0.0

    @property
    def guard(self) -> key_value.Guard:
        """The condition under which this owner may write."""
        return key_value.Guard(self.key, self.epoch)

    @property
    def valid_until(self) -> float:
        """Steady time until which certainly no other entry owns the pool."""
        return self._valid_until

    def is_valid(self) -> bool:
        """Return whether certainly no other entry owns the pool yet.

        Validity counts from the time when the last renewal was sent, not from
        its answer: the process may have been suspended in between.
        """
        return self._clock.steady() < self._valid_until

    async def acquire(self, replaced_revision: int = 0) -> bool:
        """Try to become the owner.

        Args:
            replaced_revision: Revision of the key of an owner that has
                certainly ended; 0 if the key must not exist.

        Returns:
            Whether this entry is the owner now.
        """
        sent_at = self._clock.steady()
        try:
            self._store_lease = await self._store.grant_lease(TTL_S)
        except client.StoreUnavailableError as error:
            log("owner:no-lease", pool=self.pool, cause=str(error))
            return False
        # An earlier attempt may have written the key under another lease, which
        # nobody renews.
        encoded_holder = dump_holder(
            dataclasses.replace(self._holder, store_lease=self._store_lease)
        )
        outcome = await self._store.write(
            (key_value.Guard(self.key, replaced_revision),),
            (key_value.Write(self.key, encoded_holder, self._store_lease),),
        )
        if isinstance(outcome, key_value.MaybeWritten):
            return await self._check_unanswered_write(encoded_holder, sent_at)
        if not isinstance(outcome, key_value.Written):
            return False
        return self._mark_acquired(outcome.revision, sent_at)

    async def _check_unanswered_write(
        self, encoded_holder: bytes, sent_at: float
    ) -> bool:
        """Read back whether an unanswered write has acquired the pool."""
        try:
            record = await self._store.read(self.key)
        except client.StoreUnavailableError:
            return False
        if record is None or record.value != encoded_holder:
            return False
        return self._mark_acquired(record.revision, sent_at)

    def _mark_acquired(self, epoch: int, sent_at: float) -> bool:
        self.epoch = epoch
        self._valid_until = sent_at + TTL_S
        return True

    async def renew_until_lost(self) -> None:
        """Renew the lease until it has ended; returns then."""
        while True:
            await trio.sleep(_RENEWAL_INTERVAL_S)
            while True:
                sent_at = self._clock.steady()
                try:
                    renewed = await self._store.renew_lease(self._store_lease)
                except client.StoreUnavailableError as error:
                    if not self.is_valid():
                        log(
                            "owner:unsure",
                            pool=self.pool,
                            epoch=self.epoch,
                            cause=str(error),
                        )
                    await trio.sleep(_RETRY_DELAY_S)
                    continue
                break
            if not renewed:
                return
            self._valid_until = sent_at + TTL_S

    async def release(self) -> None:
        """Release the pool at once; part of a planned stop."""
        self._valid_until = 0.0
        outcome = await self._store.write((self.guard,), (), (self.key,))
        log("owner:released", pool=self.pool, outcome=type(outcome).__name__)

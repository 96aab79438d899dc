"""Ownership of one pool: a key in the store under a lease.

The epoch is the revision at which the key was created. It rises with every
owner without a counter of its own, fences workers, and guards each journal
write: a write names the key at this revision, so one that an earlier owner
left on its way fails.
"""

import dataclasses
import os

import trio

from crocusrouter.pools import clock
from crocusrouter.pools import keys
from crocusrouter.store import client
from crocusrouter.store import key_value
from crocusrouter.telemetry import log

# How long an owner that says nothing stays owner. Takeover after a kill takes
# about this long; a store that answers 50 times slower than its 4 ms still
# leaves time for two renewals.
TTL_S = 1.8
_RENEWAL_S = 0.5
_RETRY_S = 0.1
_PROCESS_BYTES = 4


@dataclasses.dataclass(frozen=True)
class Holder:
    """Who stands in an owner's key.

    Attributes:
        name: The entry.
        address: "IP:port" of its mesh listener.
        process: Drawn by each process of the entry; empty if it is not told.
    """

    name: str
    address: str = ""
    process: str = ""

    def is_predecessor_of(self, ours: "Holder") -> bool:
        """Tell whether this is an earlier process that has certainly ended.

        Two processes can't listen on one address: while ours does, the one
        that stands in the key under our name and address does not run.

        >>> Holder("e1", "10.0.0.1:7", "a1").is_predecessor_of(
        ...     Holder("e1", "10.0.0.1:7", "b2")
        ... )
        True
        """
        same = (self.name, self.address) == (ours.name, ours.address)
        return same and bool(self.process) and self.process != ours.process


def make_holder(name: str, address: str) -> Holder:
    """Return how this process names itself in owners' keys."""
    return Holder(name, address, os.urandom(_PROCESS_BYTES).hex())


def dump_holder(holder: Holder) -> bytes:
    """Encode for the store.

    >>> dump_holder(Holder("e1", "10.0.0.1:7", "a1"))
    b'e1 10.0.0.1:7 a1'
    """
    return f"{holder.name} {holder.address} {holder.process}".encode()


def parse_holder(data: bytes) -> Holder:
    """Decode what `dump_holder` encoded; a name alone is one too."""
    name, _, rest = data.decode(errors="replace").partition(" ")
    address, _, process = rest.partition(" ")
    return Holder(name, address, process)


class Tenure:
    """One entry's ownership of one pool, while it lasts."""

    def __init__(
        self,
        store: key_value.KeyValueStore,
        pool: str,
        holder: Holder,
        times: clock.Clock,
    ) -> None:
        self.pool = pool
        self.key = keys.build_owner_key(pool)
        self.epoch = 0
        self._store = store
        self._value = dump_holder(holder)
        self._times = times
        self._lease = 0
        self._valid_until = 0.0

    @property
    def guard(self) -> key_value.Guard:
        """The condition under which this owner may write."""
        return key_value.Guard(self.key, self.epoch)

    def is_valid(self) -> bool:
        """Tell whether nobody else can own the pool yet.

        Counted from when the last renewal was sent, not from its answer: the
        process may have been suspended while the answer was on its way.
        """
        return self._times.steady() < self._valid_until

    async def take(self, replacing: int = 0) -> bool:
        """Try to become owner.

        Args:
            replacing: Revision of the key of an owner that has certainly
                ended; 0 if there must be none.

        Returns:
            Whether this entry is owner now.
        """
        sent_at = self._times.steady()
        try:
            self._lease = await self._store.grant_lease(TTL_S)
        except client.StoreUnavailableError as error:
            log("owner:no-lease", pool=self.pool, cause=str(error))
            return False
        outcome = await self._store.write(
            (key_value.Guard(self.key, replacing),),
            (key_value.Write(self.key, self._value, self._lease),),
        )
        if isinstance(outcome, key_value.MaybeWritten):
            return await self._find_out(sent_at)
        if not isinstance(outcome, key_value.Written):
            return False
        return self._begin(outcome.revision, sent_at)

    async def _find_out(self, sent_at: float) -> bool:
        """Read back whether an unanswered take has won."""
        try:
            found = await self._store.read(self.key)
        except client.StoreUnavailableError:
            return False
        if found is None or found.value != self._value:
            return False
        return self._begin(found.revision, sent_at)

    def _begin(self, epoch: int, sent_at: float) -> bool:
        self.epoch = epoch
        self._valid_until = sent_at + TTL_S
        return True

    async def keep(self) -> None:
        """Renew until the lease has ended; returns then."""
        while True:
            await trio.sleep(_RENEWAL_S)
            while True:
                sent_at = self._times.steady()
                try:
                    renewed = await self._store.renew_lease(self._lease)
                except client.StoreUnavailableError as error:
                    if not self.is_valid():
                        log(
                            "owner:unsure",
                            pool=self.pool,
                            epoch=self.epoch,
                            cause=str(error),
                        )
                    await trio.sleep(_RETRY_S)
                    continue
                break
            if not renewed:
                return
            self._valid_until = sent_at + TTL_S

    async def release(self) -> None:
        """Give the pool up at once; part of a planned stop."""
        self._valid_until = 0.0
        outcome = await self._store.write((self.guard,), (), (self.key,))
        log("owner:released", pool=self.pool, outcome=type(outcome).__name__)

"""This entry's own key among the members, under a lease."""

import dataclasses
import os

import trio

from crocusrouter.pools import keys
from crocusrouter.store import client
from crocusrouter.store import key_value
from crocusrouter.telemetry import log

# A member that says nothing for this long is dropped from the list. Nobody
# decides by it alone, so it need not be short: each renewal is a call.
_TTL_S = 8.0
_RENEWAL_S = 3.0
_RETRY_S = 0.4
_SECRET_BYTES = 24


@dataclasses.dataclass(frozen=True)
class Member:
    """What other entries know of one.

    Attributes:
        address: "IP:port" of its mesh listener.
        cores: Processor that its VM has; 0 if it doesn't say.
    """

    address: str
    cores: float = 0.0


def dump_member(member: Member) -> bytes:
    """Encode for the store.

    >>> parse_member(dump_member(Member("10.1.0.1:7000", 2.0))).cores
    2.0
    """
    return f"{member.address} {member.cores:g}".encode()


def parse_member(data: bytes) -> Member:
    """Decode what `dump_member` encoded.

    Raises:
        ValueError: The bytes describe no member.
    """
    address, _, cores = data.decode().partition(" ")
    host, _, port = address.rpartition(":")
    if not host or not port.isdecimal():
        raise ValueError(f"{address!r} is no IP:port")
    return Member(address, float(cores or 0.0))


class Membership:
    """Registers one entry and keeps it registered."""

    def __init__(
        self, store: key_value.KeyValueStore, name: str, member: Member
    ) -> None:
        self._store = store
        self._name = name
        self._member = member
        self._lease = 0
        self._left = False

    async def run(self) -> None:
        """Stay registered until cancelled or gone."""
        while not self._left:
            try:
                await self._register()
            except client.StoreUnavailableError as error:
                log("member:unregistered", cause=str(error))
                await trio.sleep(_RETRY_S)
                continue
            await self._keep()
            log("member:lease-ended")

    async def _keep(self) -> None:
        """Renew until the store says that the lease has ended.

        A lease that was opened anew after each outage had every entry write
        its key, and all others hear of it.
        """
        pause_s = _RENEWAL_S
        while True:
            await trio.sleep(pause_s)
            try:
                if not await self._store.renew_lease(self._lease):
                    return
                pause_s = _RENEWAL_S
            except client.StoreUnavailableError:
                pause_s = _RETRY_S

    async def _register(self) -> None:
        """Write our key under a fresh lease, whatever stands there."""
        lease = await self._store.grant_lease(_TTL_S)
        key = keys.build_member_key(self._name)
        outcome = await self._store.write(
            (), (key_value.Write(key, dump_member(self._member), lease),)
        )
        if not isinstance(outcome, key_value.Written):
            raise client.StoreUnavailableError(type(outcome).__name__)
        self._lease = lease

    async def leave(self) -> None:
        """Take our key away; part of a planned stop."""
        self._left = True
        key = keys.build_member_key(self._name)
        await self._store.write((), (), (key,))


async def find_secret(store: key_value.KeyValueStore) -> str:
    """Return the secret that all entries share, making it if need be.

    Raises:
        StoreUnavailableError: Try again.
    """
    found = await store.read(keys.SECRET)
    if found is None:
        made = os.urandom(_SECRET_BYTES).hex().encode()
        await store.write(
            (key_value.Guard(keys.SECRET, 0),),
            (key_value.Write(keys.SECRET, made),),
        )
        found = await store.read(keys.SECRET)
    if found is None:
        raise client.StoreUnavailableError("the secret could not be stored")
    return found.value.decode()

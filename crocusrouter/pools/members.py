"""Registers this entry as a member by a leased key in the store."""

import dataclasses
import os
import urllib.parse

import trio

from crocusrouter.pools import keys
from crocusrouter.store import client
from crocusrouter.store import key_value
from crocusrouter.telemetry import log

# Time to live of a member's key. No decision depends on the member list alone,
# so it need not be short, and each renewal is a call.
_TTL_S = 8.0
_RENEWAL_INTERVAL_S = 3.0
_RETRY_DELAY_S = 0.4
_SECRET_BYTES = 24


@dataclasses.dataclass(frozen=True)
class Member:
    """Address and size of an entry.

    Attributes:
        address: "IP:port" of its mesh listener.
        cores: Processor cores of its VM; 0 if unknown.
    """

    address: str
    cores: float = 0.0


def dump_member(member: Member) -> bytes:
    """Encode a member for the store.

    >>> parse_member(dump_member(Member("10.1.0.1:7000", 2.0))).cores
    2.0
    """
    return f"{member.address} {member.cores:g}".encode()


def parse_member(data: bytes) -> Member:
    """Decode the output of `dump_member`.

    Raises:
        ValueError: The bytes are not a valid member.
    """
    address, _, cores = data.decode().partition(" ")
    _check_address(address)
    return Member(address, float(cores or 0.0))


def _check_address(address: str) -> None:
    """Raise ValueError if no connection can be opened to an address."""
    parts = urllib.parse.urlsplit(f"ws://{address}")
    if parts.netloc != address or parts.hostname is None or parts.port is None:
        raise ValueError(f"{address!r} is not IP:port")
    # The resolver encodes names so; it fails on an empty or too long label.
    parts.hostname.encode("idna")


class Membership:
    """Registers one entry and keeps it registered."""

    def __init__(
        self, store: key_value.KeyValueStore, name: str, member: Member
    ) -> None:
        self._store = store
        self._name = name
        self._member = member
        self._store_lease = 0
        self._revision = 0
        self._has_left = False

    async def run(self) -> None:
        """Stay registered until cancelled or `leave` was called."""
        while not self._has_left:
            try:
                await self._register()
            except client.StoreUnavailableError as error:
                log("member:unregistered", cause=str(error))
                await trio.sleep(_RETRY_DELAY_S)
                continue
            await self._renew_until_lost()
            log("member:lease-ended")

    async def _renew_until_lost(self) -> None:
        """Renew the lease until the store reports that it has ended.

        Opening a new lease after each outage would make every entry write its
        key, and all other entries receive the change.
        """
        pause_s = _RENEWAL_INTERVAL_S
        while True:
            await trio.sleep(pause_s)
            try:
                if not await self._store.renew_lease(self._store_lease):
                    return
                pause_s = _RENEWAL_INTERVAL_S
            except client.StoreUnavailableError:
                pause_s = _RETRY_DELAY_S

    async def _register(self) -> None:
        """Write our key under a new lease, replacing any earlier value."""
        lease = await self._store.grant_lease(_TTL_S)
        key = keys.build_member_key(self._name)
        outcome = await self._store.write(
            (), (key_value.Write(key, dump_member(self._member), lease),)
        )
        if not isinstance(outcome, key_value.Written):
            raise client.StoreUnavailableError(type(outcome).__name__)
        self._store_lease = lease
        self._revision = outcome.revision

    async def leave(self) -> None:
        """Remove our key; part of a planned stop.

        Carried out late, it must not remove the key of the next process.
        """
        self._has_left = True
        key = keys.build_member_key(self._name)
        guard = key_value.Guard(key, self._revision)
        await self._store.write((guard,), (), (key,))


async def load_or_create_secret(store: key_value.KeyValueStore) -> str:
    """Return the secret that all entries share; create it if missing.

    Raises:
        StoreUnavailableError: The caller should try again.
    """
    record = await store.read(keys.SECRET)
    if record is None:
        new_secret = os.urandom(_SECRET_BYTES).hex().encode()
        await store.write(
            (key_value.Guard(keys.SECRET, 0),),
            (key_value.Write(keys.SECRET, new_secret),),
        )
        record = await store.read(keys.SECRET)
    if record is None:
        raise client.StoreUnavailableError("the secret could not be stored")
    return record.value.decode()

"""Other entries: who they are, and heartbeats with them.

An entry that the store turns away learns of a new configuration, and of a
later owner, from its peers. Heartbeats go to the owners, to two neighbours and
to one peer drawn anew each time, so their number grows with the entries and
not with its square. The drawn one matters: entries that the store turns away
together may have only each other as neighbours, and believed in an owner that
had been replaced for as long as the store kept them out.
"""

from collections.abc import Callable
import hashlib
import random
from typing import Any
from typing import Protocol

import trio

from crocusrouter import mesh
from crocusrouter.mesh import messages
from crocusrouter.pools import clock
from crocusrouter.telemetry import log

_BEAT_S = 1.0
_CALL_TIMEOUT_S = 0.7
_NEIGHBOURS = 2
# An owner that the store turns away goes on renewing leases only while some
# peer would tell it of a successor.
_HEARD_S = 2.5
# A peer that was served this long ago is asked for help first.
_SERVED_S = 3.0
# Peers notice an outage within this of each other.
_NOTICE_S = 0.3


class PeerPort(Protocol):
    """Calls to one peer."""

    async def call(self, message: object, timeout_s: float) -> Any:
        """Ask the peer; raises PeerUnreachableError."""
        ...

    async def run(self) -> None:
        """Keep a connection open until cancelled."""
        ...


# Opens the calls to a peer by its name and address.
MakeLink = Callable[[str, str], PeerPort]


class Peers:
    """Links to the other entries."""

    def __init__(
        self,
        name: str,
        make_link: MakeLink,
        times: clock.Clock,
        describe: Callable[[], messages.Beat],
        take: Callable[[messages.Beat, float], None],
        find_owners: Callable[[], set[str]],
    ) -> None:
        """Prepare the links.

        Args:
            name: This entry.
            make_link: Opens the calls to a peer.
            times: The present time.
            describe: Returns this entry's heartbeat.
            take: Called with a peer's heartbeat and when it was asked for.
            find_owners: Returns the names of the pools' owners.
        """
        self._name = name
        self._make_link = make_link
        self._times = times
        self._describe = describe
        self._take = take
        self._find_owners = find_owners
        self._addresses: dict[str, str] = {}
        self._links: dict[str, tuple[str, PeerPort, trio.CancelScope]] = {}
        self._nursery: trio.Nursery | None = None
        self._heard_at: float | None = None
        self._heard_from: dict[str, float] = {}
        self._served_at: dict[str, float] = {}
        self._random = random.Random(name)

    def set_members(self, addresses: dict[str, str]) -> None:
        """Take the members' mesh addresses by name."""
        self._addresses = {
            name: address
            for name, address in addresses.items()
            if name != self._name
        }
        for name in list(self._links):
            if self._addresses.get(name) != self._links[name][0]:
                _, _, scope = self._links.pop(name)
                scope.cancel()

    def list_members(self) -> list[str]:
        """Return all members by name, this entry included."""
        return sorted({*self._addresses, self._name})

    def may_hear(self, now: float) -> bool:
        """Tell whether some peer would have told us of a successor."""
        if not self._addresses:
            return True
        return self._heard_at is not None and now - self._heard_at < _HEARD_S

    def shares_outage(self, since: float) -> bool:
        """Tell whether peers were heard since a time, and none is served.

        An entry that is cut off alone, or that the store turns away alone,
        must not send its callers away for long: others would serve them.
        """
        settled = since + _NOTICE_S
        heard = any(at >= settled for at in self._heard_from.values())
        served = any(at >= settled for at in self._served_at.values())
        return heard and not served

    def note_heard(self, beat: messages.Beat, asked_at: float) -> None:
        """Note a peer's answer, which is no older than its question."""
        self._heard_at = max(asked_at, self._heard_at or asked_at)
        self._heard_from[beat.name] = asked_at
        if beat.has_store_access:
            self._served_at[beat.name] = asked_at
        else:
            self._served_at.pop(beat.name, None)

    def note_unasked(self, beat: messages.Beat, now: float) -> None:
        """Note a heartbeat of a peer that was not asked for it.

        It may have been on its way for seconds, so it does not show an owner
        that the peer is in reach. That the peer is served may be out of date
        as well, which only sends callers back sooner than need be.
        """
        if beat.has_store_access:
            self._served_at[beat.name] = now

    async def call(self, name: str, message: object) -> object | None:
        """Ask a peer; None if it gave no answer in time."""
        link = self._find_link(name)
        if link is None:
            return None
        try:
            reply: object = await link.call(message, _CALL_TIMEOUT_S)
        except mesh.PeerUnreachableError as error:
            log(
                "peer:no-answer",
                peer=name,
                message=type(message).__name__,
                cause=str(error),
            )
            return None
        return reply

    def _find_link(self, name: str) -> PeerPort | None:
        address = self._addresses.get(name)
        if address is None or self._nursery is None:
            return None
        if name not in self._links:
            link = self._make_link(name, address)
            scope = trio.CancelScope()
            self._links[name] = address, link, scope
            self._nursery.start_soon(_run_link, link, scope)
        return self._links[name][1]

    def choose_helpers(self) -> list[str]:
        """Return the peers to ask for help: served ones, owners, neighbours."""
        now = self._times.steady()
        owners = self._find_owners() - {self._name}
        served = [
            name
            for name, at in self._served_at.items()
            if now - at < _SERVED_S and name in self._addresses
        ]
        served.sort(key=lambda name: (name not in owners, name))
        others = sorted((owners | self._choose_neighbours()) - set(served))
        return served + others

    def _choose_neighbours(self) -> set[str]:
        """Return the next two in an order that is not that of places."""
        names = sorted(self.list_members(), key=_scatter)
        at = names.index(self._name)
        chosen = (
            names[(at + step) % len(names)]
            for step in range(1, _NEIGHBOURS + 1)
        )
        return set(chosen) - {self._name}

    def _draw_peer(self) -> set[str]:
        others = sorted(self._addresses)
        return {self._random.choice(others)} if others else set()

    async def run(self) -> None:
        """Exchange heartbeats until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            try:
                await self._beat_forever(nursery)
            finally:
                # Callers are served until the very end of a stop; a link
                # opened after this would end the process with an error.
                self._nursery = None

    async def _beat_forever(self, nursery: trio.Nursery) -> None:
        while True:
            owners = self._find_owners() - {self._name}
            chosen = owners | self._choose_neighbours()
            for name in chosen | self._draw_peer():
                nursery.start_soon(self._beat, name)
            await trio.sleep(_BEAT_S)

    async def _beat(self, name: str) -> None:
        asked_at = self._times.steady()
        reply = await self.call(name, self._describe())
        if isinstance(reply, messages.Beat):
            self.note_heard(reply, asked_at)
            self._take(reply, asked_at)


def _scatter(name: str) -> bytes:
    return hashlib.blake2b(name.encode(), digest_size=8).digest()


async def _run_link(link: PeerPort, scope: trio.CancelScope) -> None:
    with scope:
        await link.run()

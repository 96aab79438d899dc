"""Exchanges heartbeats with the other entries and sends them calls.

An entry that the store refuses learns of a new configuration, and of a later
owner, from its peers. Heartbeats go to the owners, to two neighbours and to one
peer drawn at random each time, so their number grows linearly with the number
of entries. The random peer is necessary: entries that the store refuses
together may have only each other as neighbours, and then believed in a replaced
owner for as long as the store refused them. An owner without a valid lease
sends them to all members, since any of them may have succeeded it.
"""

from collections.abc import Callable
from collections.abc import Mapping
import hashlib
import random
from typing import Any
from typing import Protocol

import trio

from crocusrouter import mesh
from crocusrouter.mesh import messages
from crocusrouter.pools import clocks
from crocusrouter.telemetry import log

_HEARTBEAT_INTERVAL_S = 1.0
_CALL_TIMEOUT_S = 0.7
_NEIGHBOUR_COUNT = 2
# A peer that the store served within this time is asked for help first.
_SERVED_TIMEOUT_S = 3.0
# Peers notice an outage within this time of each other.
_OUTAGE_DETECTION_S = 0.3


class PeerPort(Protocol):
    """Connection to one peer."""

    async def call(self, message: object, timeout_s: float) -> Any:
        """Send a message and return the answer; raises PeerUnreachableError."""
        ...

    async def run(self) -> None:
        """Keep a connection open until cancelled."""
        ...


# Opens the connection to a peer, given its name and address.
MakeLink = Callable[[str, str], PeerPort]


class Peers:
    """Connections to the other entries."""

    def __init__(
        self,
        name: str,
        make_link: MakeLink,
        clock: clocks.Clock,
        build_heartbeat: Callable[[], messages.Beat],
        on_answer: Callable[[messages.Beat, float], None],
        find_owners: Callable[[], set[str]],
        must_ask_all: Callable[[], bool],
    ) -> None:
        """Prepare the connections; `run` starts the heartbeats.

        Args:
            name: Name of this entry.
            make_link: Opens the connection to a peer.
            clock: Source of the current time.
            build_heartbeat: Returns this entry's heartbeat.
            on_answer: Called with a peer's heartbeat and the time at which it
                was requested.
            find_owners: Returns the names of the pools' owners.
            must_ask_all: Returns whether heartbeats go to all members.
        """
        self._name = name
        self._make_link = make_link
        self._clock = clock
        self._build_heartbeat = build_heartbeat
        self._on_answer = on_answer
        self._find_owners = find_owners
        self._must_ask_all = must_ask_all
        self._addresses: dict[str, str] = {}
        self._links: dict[str, tuple[str, PeerPort, trio.CancelScope]] = {}
        self._nursery: trio.Nursery | None = None
        self._answered_at: dict[str, float] = {}
        self._served_at: dict[str, float] = {}
        self._random = random.Random(name)

    def set_members(self, addresses: Mapping[str, str]) -> None:
        """Replace the members' mesh addresses, keyed by name."""
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
        """Return the names of all members, including this entry."""
        return sorted({*self._addresses, self._name})

    def list_addresses(self) -> Mapping[str, str]:
        """Return the mesh addresses of all other members, by name."""
        return self._addresses

    def shares_outage(self, since: float) -> bool:
        """Return whether peers answered since a time and the store serves none.

        An entry that alone is cut off, or that alone is refused by the store,
        must not send its callers away for long: other entries would serve them.
        """
        settled_at = since + _OUTAGE_DETECTION_S
        has_answers = any(
            answered_at >= settled_at
            for answered_at in self._answered_at.values()
        )
        has_served_peer = any(
            served_at >= settled_at for served_at in self._served_at.values()
        )
        return has_answers and not has_served_peer

    def note_answer(self, heartbeat: messages.Beat, asked_at: float) -> None:
        """Record a peer's answer, which is no older than its request."""
        self._answered_at[heartbeat.name] = asked_at
        if heartbeat.has_store_access:
            self._served_at[heartbeat.name] = asked_at
        else:
            self._served_at.pop(heartbeat.name, None)

    def note_unrequested(self, heartbeat: messages.Beat, now: float) -> None:
        """Record a heartbeat that a peer sent without a request.

        It may have been in flight for seconds, so it does not prove that the
        peer is reachable now. Its claim that the store serves the peer may be
        outdated too; that only makes callers retry sooner than necessary.
        """
        if heartbeat.has_store_access:
            self._served_at[heartbeat.name] = now

    async def call(self, name: str, message: object) -> object | None:
        """Send a message to a peer; return None without an answer in time."""
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
        now = self._clock.steady()
        owners = self._find_owners() - {self._name}
        served = [
            name
            for name, served_at in self._served_at.items()
            if now - served_at < _SERVED_TIMEOUT_S and name in self._addresses
        ]
        served.sort(key=lambda name: (name not in owners, name))
        others = sorted((owners | self._choose_neighbours()) - set(served))
        return served + others

    def _choose_neighbours(self) -> set[str]:
        """Return the next peers in an order that is independent of location."""
        names = sorted(self.list_members(), key=_hash_name)
        position = names.index(self._name)
        neighbours = (
            names[(position + step) % len(names)]
            for step in range(1, _NEIGHBOUR_COUNT + 1)
        )
        return set(neighbours) - {self._name}

    def _draw_random_peer(self) -> set[str]:
        others = sorted(self._addresses)
        return {self._random.choice(others)} if others else set()

    async def run(self) -> None:
        """Exchange heartbeats until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            try:
                await self._send_heartbeats(nursery)
            finally:
                # Callers are served until the end of a stop. A connection
                # opened after this point would end the process with an error.
                self._nursery = None

    async def _send_heartbeats(self, nursery: trio.Nursery) -> None:
        while True:
            for name in self._choose_receivers():
                nursery.start_soon(self._send_heartbeat, name)
            await trio.sleep(_HEARTBEAT_INTERVAL_S)

    def _choose_receivers(self) -> set[str]:
        owners = self._find_owners() - {self._name}
        receivers = owners | self._choose_neighbours()
        receivers |= self._draw_random_peer()
        return set(self._addresses) if self._must_ask_all() else receivers

    async def _send_heartbeat(self, name: str) -> None:
        asked_at = self._clock.steady()
        reply = await self.call(name, self._build_heartbeat())
        if isinstance(reply, messages.Beat):
            self.note_answer(reply, asked_at)
            self._on_answer(reply, asked_at)


def _hash_name(name: str) -> bytes:
    return hashlib.blake2b(name.encode(), digest_size=8).digest()


async def _run_link(link: PeerPort, scope: trio.CancelScope) -> None:
    with scope:
        await link.run()

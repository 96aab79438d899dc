"""Peers: links, heartbeats and what other entries vouch for."""

from collections.abc import Callable

import trio

from crocusrouter import fleet
from crocusrouter import mesh
from crocusrouter.controllers import configuration as configurations
from crocusrouter.mesh import messages
from crocusrouter.telemetry import log
from crocusrouter.templates import InvalidTemplateError
from crocusrouter.templates import parse_catalog


class PeerController:
    """Keeps a link to every other entry and exchanges heartbeats.

    A heartbeat's answer is the peer's own heartbeat. One that names a higher
    revision makes us ask for the catalog, so an entry whose watch is cut off
    learns of an edit from its peers within a heartbeat.
    """

    def __init__(
        self,
        entry: str,
        secret: str,
        interval_s: float,
        configuration: configurations.Configuration,
        describe: Callable[[], messages.Heartbeat],
        take_heartbeat: Callable[[messages.Heartbeat], None],
    ) -> None:
        """Start without peers.

        Args:
            entry: Our name.
            secret: Secret shared by all entries.
            interval_s: Seconds between heartbeats.
            configuration: Takes the catalogs of peers.
            describe: Returns our own heartbeat.
            take_heartbeat: Called with each peer's.
        """
        self.peers: mesh.Peers = {}
        self._entry = entry
        self._secret = secret
        self._interval_s = interval_s
        self._configuration = configuration
        self._describe = describe
        self._take_heartbeat = take_heartbeat
        self._links: dict[str, mesh.PeerLink] = {}
        self._scopes: dict[str, trio.CancelScope] = {}
        self._nursery: trio.Nursery | None = None

    async def run(self) -> None:
        """Run the links until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            try:
                await trio.sleep_forever()
            finally:
                # A stop ends this task before others that still hear of
                # peers; a link opened then would end the whole entry with an
                # error.
                self._nursery = None

    def set_fleet(self, machines: fleet.Fleet) -> None:
        """Bring the peers in line with the VM list."""
        listed = {
            vm.name: vm.address
            for vm in fleet.select_vms(machines, fleet.Role.ENTRY)
            if vm.name != self._entry
        }
        before = self.peers
        self.peers = mesh.update_peers(before, listed)
        for name, peer in self.peers.items():
            if peer.address != getattr(before.get(name), "address", None):
                self._close_link(name)
                self._open_link(peer)
        for name in before.keys() - self.peers.keys():
            self._close_link(name)

    def find_link(self, name: str) -> mesh.PeerLink | None:
        """Return the link to a peer, or None if there is no such peer."""
        return self._links.get(name)

    def list_live(self, now: float) -> list[mesh.Peer]:
        """Return the peers heard of lately."""
        return mesh.list_live(self.peers, self._interval_s, now)

    def note(self, heartbeat: messages.Heartbeat, now: float) -> None:
        """Note a peer's heartbeat, and catch up if it knows more."""
        self.peers = mesh.note_heartbeat(self.peers, heartbeat, now)
        self._take_heartbeat(heartbeat)
        link = self._links.get(heartbeat.name)
        if link is None or self._nursery is None:
            return
        if self._is_ahead(heartbeat):
            self._nursery.start_soon(self._catch_up, link)

    def _is_ahead(self, heard: messages.Heartbeat) -> bool:
        known = self._configuration.catalog.revision
        vouched = self._configuration.is_vouched
        return heard.ready and (heard.revision > known or not vouched)

    def _open_link(self, peer: mesh.Peer) -> None:
        if self._nursery is None:
            return
        opened = mesh.PeerLink(peer.name, peer.address, self._secret)
        self._links[peer.name] = opened
        self._scopes[peer.name] = trio.CancelScope()
        self._nursery.start_soon(self._run_link, opened)

    def _close_link(self, name: str) -> None:
        self._links.pop(name, None)
        scope = self._scopes.pop(name, None)
        if scope is not None:
            scope.cancel()

    async def _run_link(self, opened: mesh.PeerLink) -> None:
        with self._scopes[opened.name]:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(opened.run)
                # An answer is a heartbeat too, so one side of a pair suffices.
                if self._entry < opened.name:
                    nursery.start_soon(self._beat, opened)

    async def _beat(self, opened: mesh.PeerLink) -> None:
        while True:
            try:
                reply = await opened.call(self._describe(), self._interval_s)
                self.note(reply, trio.current_time())
            except mesh.PeerUnreachableError as error:
                log("mesh:no-heartbeat", peer=opened.name, why=str(error))
            await trio.sleep(self._interval_s)

    async def _catch_up(self, opened: mesh.PeerLink) -> None:
        try:
            reply = await opened.call(messages.AskCatalog(), self._interval_s)
            self._configuration.take_catalog(parse_catalog(reply.document))
        except mesh.PeerUnreachableError as error:
            log("mesh:no-catalog", peer=opened.name, why=str(error))
        except InvalidTemplateError as error:
            log("mesh:bad-catalog", peer=opened.name, why=str(error))

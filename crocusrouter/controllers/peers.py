"""Links to the other entries, heartbeats and catalogs from them."""

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

    A peer answers a heartbeat with its own. If a peer's heartbeat names a
    higher catalog revision, this entry fetches the peer's catalog. An entry
    whose watch has lost its connection thus learns of an edit from its peers
    within one heartbeat interval.

    Attributes:
        peers: The other entries in the VM list, by name.
    """

    def __init__(
        self,
        entry_name: str,
        secret: str,
        heartbeat_interval_s: float,
        configuration: configurations.Configuration,
        build_heartbeat: Callable[[], messages.Heartbeat],
        on_heartbeat: Callable[[messages.Heartbeat], None],
    ) -> None:
        """Start without peers.

        Args:
            entry_name: This entry's name.
            secret: Secret shared by all entries.
            heartbeat_interval_s: Seconds between heartbeats.
            configuration: Adopts newer catalogs of peers.
            build_heartbeat: Returns this entry's heartbeat.
            on_heartbeat: Called with each heartbeat of a peer.
        """
        self.peers: mesh.Peers = {}
        self._entry_name = entry_name
        self._secret = secret
        self._heartbeat_interval_s = heartbeat_interval_s
        self._configuration = configuration
        self._build_heartbeat = build_heartbeat
        self._on_heartbeat = on_heartbeat
        self._links: dict[str, mesh.PeerLink] = {}
        self._link_scopes: dict[str, trio.CancelScope] = {}
        self._nursery: trio.Nursery | None = None

    async def run(self) -> None:
        """Run the links to the peers until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            try:
                await trio.sleep_forever()
            finally:
                # A stop may end this task before tasks that still update the
                # peers. Opening a link in the closed nursery would end the
                # whole entry with an error.
                self._nursery = None

    def set_fleet(self, current_fleet: fleet.Fleet) -> None:
        """Open and close links so that the peers match the VM list."""
        addresses = {
            vm.name: vm.address
            for vm in fleet.select_vms(current_fleet, fleet.Role.ENTRY)
            if vm.name != self._entry_name
        }
        previous_peers = self.peers
        self.peers = mesh.update_peers(previous_peers, addresses)
        for name, peer in self.peers.items():
            if peer.address != getattr(
                previous_peers.get(name), "address", None
            ):
                self._close_link(name)
                self._open_link(peer)
        for name in previous_peers.keys() - self.peers.keys():
            self._close_link(name)

    def find_link(self, name: str) -> mesh.PeerLink | None:
        """Return the link to a peer, or None if there is no such peer."""
        return self._links.get(name)

    def list_live_peers(self, now: float) -> list[mesh.Peer]:
        """Return the peers that sent a heartbeat recently."""
        return mesh.list_live_peers(self.peers, self._heartbeat_interval_s, now)

    def record_heartbeat(
        self, heartbeat: messages.Heartbeat, now: float
    ) -> None:
        """Record a peer's heartbeat; fetch its catalog if that is newer."""
        self.peers = mesh.record_heartbeat(self.peers, heartbeat, now)
        self._on_heartbeat(heartbeat)
        link = self._links.get(heartbeat.name)
        if link is None or self._nursery is None:
            return
        if self._has_newer_catalog(heartbeat):
            self._nursery.start_soon(self._fetch_catalog, link)

    def _has_newer_catalog(self, heartbeat: messages.Heartbeat) -> bool:
        own_revision = self._configuration.catalog.revision
        is_confirmed = self._configuration.is_confirmed
        return heartbeat.is_ready and (
            heartbeat.catalog_revision > own_revision or not is_confirmed
        )

    def _open_link(self, peer: mesh.Peer) -> None:
        if self._nursery is None:
            return
        link = mesh.PeerLink(peer.name, peer.address, self._secret)
        self._links[peer.name] = link
        self._link_scopes[peer.name] = trio.CancelScope()
        self._nursery.start_soon(self._run_link, link)

    def _close_link(self, name: str) -> None:
        self._links.pop(name, None)
        scope = self._link_scopes.pop(name, None)
        if scope is not None:
            scope.cancel()

    async def _run_link(self, link: mesh.PeerLink) -> None:
        with self._link_scopes[link.name]:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(link.run)
                # An answer is a heartbeat too, so only one entry of each pair
                # sends them.
                if self._entry_name < link.name:
                    nursery.start_soon(self._exchange_heartbeats, link)

    async def _exchange_heartbeats(self, link: mesh.PeerLink) -> None:
        while True:
            try:
                reply = await link.call(
                    self._build_heartbeat(), self._heartbeat_interval_s
                )
                self.record_heartbeat(reply, trio.current_time())
            except mesh.PeerUnreachableError as error:
                log("mesh:no-heartbeat", peer=link.name, why=str(error))
            await trio.sleep(self._heartbeat_interval_s)

    async def _fetch_catalog(self, link: mesh.PeerLink) -> None:
        try:
            reply = await link.call(
                messages.AskCatalog(), self._heartbeat_interval_s
            )
            self._configuration.adopt_catalog(parse_catalog(reply.document))
        except mesh.PeerUnreachableError as error:
            log("mesh:no-catalog", peer=link.name, why=str(error))
        except InvalidTemplateError as error:
            log("mesh:bad-catalog", peer=link.name, why=str(error))

"""Tracks from heartbeats which other entries are alive."""

import dataclasses

from crocusrouter.mesh import messages

_SUSPECT_AFTER_HEARTBEATS = 3


@dataclasses.dataclass(frozen=True)
class Peer:
    """Another entry.

    Attributes:
        name: Its name in the VM list.
        address: "IP:port" of its mesh listener.
        heard_at: When its last heartbeat arrived, on our own clock; None if
            never.
        heartbeat: Its last heartbeat.
    """

    name: str
    address: str
    heard_at: float | None = None
    heartbeat: messages.Heartbeat | None = None


Peers = dict[str, Peer]


def update_peers(peers: Peers, addresses: dict[str, str]) -> Peers:
    """Return the peers that the VM list names, with what is known of them.

    >>> update_peers({"a": Peer("a", "1.1.1.1:1")}, {"b": "1.1.1.1:2"})
    {'b': Peer(name='b', address='1.1.1.1:2', heard_at=None, heartbeat=None)}

    Args:
        peers: The current peers.
        addresses: Mesh addresses of the other entries by name.
    """
    updated_peers = {}
    for name, address in addresses.items():
        peer = peers.get(name)
        if peer is None or peer.address != address:
            peer = Peer(name, address)
        updated_peers[name] = peer
    return updated_peers


def record_heartbeat(
    peers: Peers, heartbeat: messages.Heartbeat, now: float
) -> Peers:
    """Return the peers with a heartbeat recorded, if its sender is a peer."""
    peer = peers.get(heartbeat.name)
    if peer is None:
        return peers
    updated_peer = dataclasses.replace(peer, heard_at=now, heartbeat=heartbeat)
    return peers | {peer.name: updated_peer}


def is_suspected(peer: Peer, interval_s: float, now: float) -> bool:
    """Tell whether a peer has been silent for several heartbeats.

    A single lost heartbeat is no reason for suspicion. A suspected peer is
    asked less often but never declared dead, so a wrong suspicion costs a
    detour at worst and makes no decision unsafe.

    >>> is_suspected(Peer("a", "1.1.1.1:1", heard_at=0.0), 1.0, now=2.9)
    False
    >>> is_suspected(Peer("a", "1.1.1.1:1", heard_at=0.0), 1.0, now=3.1)
    True
    """
    if peer.heard_at is None:
        return True
    return now - peer.heard_at > _SUSPECT_AFTER_HEARTBEATS * interval_s


def list_live_peers(peers: Peers, interval_s: float, now: float) -> list[Peer]:
    """Return the peers that aren't suspected, ordered by name."""
    return [
        peers[name]
        for name in sorted(peers)
        if not is_suspected(peers[name], interval_s, now)
    ]

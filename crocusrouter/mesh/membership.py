"""Which entries are alive, as one entry sees it."""

import dataclasses

from crocusrouter.mesh import messages

_SUSPECT_AFTER_HEARTBEATS = 3


@dataclasses.dataclass(frozen=True)
class Peer:
    """Another entry.

    Attributes:
        name: Its name in the VM list.
        address: "IP:port" of its mesh listener.
        heard_at: When it last answered, on our own clock; None if never.
        heartbeat: What it said then.
    """

    name: str
    address: str
    heard_at: float | None = None
    heartbeat: messages.Heartbeat | None = None


Peers = dict[str, Peer]


def update_peers(peers: Peers, listed: dict[str, str]) -> Peers:
    """Bring the peers in line with the VM list.

    >>> update_peers({"a": Peer("a", "1.1.1.1:1")}, {"b": "1.1.1.1:2"})
    {'b': Peer(name='b', address='1.1.1.1:2', heard_at=None, heartbeat=None)}

    Args:
        peers: The peers so far.
        listed: Mesh addresses of the other entries by name.
    """
    updated = {}
    for name, address in listed.items():
        held = peers.get(name)
        if held is None or held.address != address:
            held = Peer(name, address)
        updated[name] = held
    return updated


def note_heartbeat(
    peers: Peers, heartbeat: messages.Heartbeat, now: float
) -> Peers:
    """Note that a peer was heard."""
    held = peers.get(heartbeat.name)
    if held is None:
        return peers
    heard = dataclasses.replace(held, heard_at=now, heartbeat=heartbeat)
    return peers | {held.name: heard}


def is_suspected(peer: Peer, interval_s: float, now: float) -> bool:
    """Tell whether a peer has been silent for several heartbeats.

    One lost heartbeat is no news; a suspected peer is only asked less, never
    declared dead, so a wrong suspicion costs a detour and no safety.

    >>> is_suspected(Peer("a", "1.1.1.1:1", heard_at=0.0), 1.0, now=2.9)
    False
    >>> is_suspected(Peer("a", "1.1.1.1:1", heard_at=0.0), 1.0, now=3.1)
    True
    """
    if peer.heard_at is None:
        return True
    return now - peer.heard_at > _SUSPECT_AFTER_HEARTBEATS * interval_s


def list_live(peers: Peers, interval_s: float, now: float) -> list[Peer]:
    """Return the peers that aren't suspected, ordered by name."""
    return [
        peers[name]
        for name in sorted(peers)
        if not is_suspected(peers[name], interval_s, now)
    ]

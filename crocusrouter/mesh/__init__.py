"""Communication between entries: calls, heartbeats and failure suspicion."""

from crocusrouter.mesh.link import PeerLink
from crocusrouter.mesh.link import PeerUnreachableError
from crocusrouter.mesh.membership import Peer
from crocusrouter.mesh.membership import Peers
from crocusrouter.mesh.membership import is_suspected
from crocusrouter.mesh.membership import list_live_peers
from crocusrouter.mesh.membership import record_heartbeat
from crocusrouter.mesh.membership import update_peers
from crocusrouter.mesh.server import serve_mesh

__all__ = [
    "Peer",
    "PeerLink",
    "PeerUnreachableError",
    "Peers",
    "is_suspected",
    "list_live_peers",
    "record_heartbeat",
    "serve_mesh",
    "update_peers",
]

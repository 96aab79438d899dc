"""Access to the platform's key-value service."""

from crocusrouter.store.client import StoreClient
from crocusrouter.store.client import StoreUnavailableError
from crocusrouter.store.records import Changed
from crocusrouter.store.records import Committed
from crocusrouter.store.records import Conflict
from crocusrouter.store.records import Event
from crocusrouter.store.records import Record
from crocusrouter.store.records import Removed
from crocusrouter.store.records import Snapshot
from crocusrouter.store.records import Superseded
from crocusrouter.store.records import SwapOutcome
from crocusrouter.store.records import Unavailable

__all__ = [
    "Changed",
    "Committed",
    "Conflict",
    "Event",
    "Record",
    "Removed",
    "Snapshot",
    "StoreClient",
    "StoreUnavailableError",
    "Superseded",
    "SwapOutcome",
    "Unavailable",
]

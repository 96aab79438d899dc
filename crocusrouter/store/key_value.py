"""Interface of the key-value service that the pools' controllers use."""

import dataclasses
from typing import Protocol

from crocusrouter.store import records


@dataclasses.dataclass(frozen=True)
class Guard:
    """A condition of a write: the key must be at the given revision.

    Attributes:
        key: The whole key.
        revision: Revision of the key's last change; 0 if the key must not
            exist.
    """

    key: str
    revision: int


@dataclasses.dataclass(frozen=True)
class Write:
    """A write of one key.

    Attributes:
        key: The whole key.
        value: The new value.
        lease: Lease to which the key is attached, or 0.
    """

    key: str
    value: bytes
    lease: int = 0


@dataclasses.dataclass(frozen=True)
class Written:
    """All writes took effect at this revision."""

    revision: int


@dataclasses.dataclass(frozen=True)
class Mismatched:
    """A guard failed and nothing was written.

    Attributes:
        current: Current records of those guarded keys that exist.
    """

    current: dict[str, records.Record]


@dataclasses.dataclass(frozen=True)
class LeaseEnded:
    """The lease of a write has expired; nothing was written."""


@dataclasses.dataclass(frozen=True)
class NotWritten:
    """The service refused or was unreachable; nothing was written."""

    cause: str


@dataclasses.dataclass(frozen=True)
class MaybeWritten:
    """No answer: the writes may have taken effect, or may still take effect."""

    cause: str


WriteOutcome = Written | Mismatched | LeaseEnded | NotWritten | MaybeWritten


@dataclasses.dataclass(frozen=True)
class Changes:
    """Events of a watch, complete up to a revision."""

    events: tuple[records.Event, ...]
    revision: int


class HistoryGoneError(Exception):
    """The service no longer has the changes since the given revision."""


class KeyValueStore(Protocol):
    """The key-value service, independent of the wire protocol."""

    async def read(self, key: str) -> records.Record | None:
        """Return the record of a key, or None if the key does not exist.

        Raises:
            StoreUnavailableError: No usable answer.
        """
        ...

    async def read_prefix(self, prefix: str) -> records.Snapshot:
        """Return all records under a prefix, at the returned revision or later.

        The pages of the answer are read one after another. The revision is
        that of the first page, so a watch from that revision misses no change.

        Raises:
            StoreUnavailableError: No usable answer.
        """
        ...

    async def write(
        self,
        guards: tuple[Guard, ...],
        writes: tuple[Write, ...],
        removals: tuple[str, ...] = (),
        *,
        timeout_s: float = 1.0,
    ) -> WriteOutcome:
        """Write all keys atomically if every guard matches.

        Args:
            guards: Conditions of the write.
            writes: Keys to write.
            removals: Keys to delete.
            timeout_s: How long to wait for the answer.
        """
        ...

    async def watch(self, prefix: str, revision: int, wait_s: float) -> Changes:
        """Wait for changes after `revision`.

        Raises:
            HistoryGoneError: The changes are gone; read the prefix again.
            StoreUnavailableError: No usable answer.
        """
        ...

    async def grant_lease(self, ttl_s: float) -> int:
        """Create a lease and return its id.

        Raises:
            StoreUnavailableError: No usable answer.
        """
        ...

    async def renew_lease(self, lease: int) -> bool:
        """Renew a lease; return False if it has expired.

        Raises:
            StoreUnavailableError: The lease may or may not have been renewed.
        """
        ...
